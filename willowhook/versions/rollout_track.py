"""The state of a staged rollout: the contents offered of each unit, and the answers of proxies.

A *unit* has one content at a time, such as a table or a route set; a *content* is one version of it.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

MAX_CONTENTS = 16  # remembered per unit

Unit = Hashable
Content = int | str


@dataclass(slots=True)
class ContentState:
    """One content of a unit.

    Attributes:
        order: a number that increases with each content that is offered for the first time.
        acknowledged: proxies that applied it.
        rejected: proxies that rejected it, with the cause that they stated.
        awaiting: proxies that were offered it last and have not answered.
        current_count: the number of proxies that were offered it last.
    """

    order: int
    acknowledged: set[int] = field(default_factory=set)
    rejected: dict[int, str] = field(default_factory=dict)
    awaiting: set[int] = field(default_factory=set)
    current_count: int = 0

    @property
    def answer_count(self) -> int:
        """The number of proxies that have applied or rejected it."""
        return len(self.rejected) + len(self.acknowledged)


@dataclass(slots=True)
class UnitTrack:
    """The rollout state of one unit.

    Attributes:
        contents: the contents that are remembered.
        current: by proxy, the content that it was offered last.
        good: the newest content that all but a permitted few of the proxies applied; None: there is none yet.
        halted: contents that are not offered any more, with the cause.
        is_staged: whether new contents go to canaries only.
        canaries: the proxies that get new contents first, in this stage.
        stage_began_at: the tick at which this stage began.
        canary_answered_at: the tick at which the first canary applied the new content; None: none has yet.
        stage_count: the number of stages so far.
        released: in the mode that always stages, the content that all proxies may get.
    """

    contents: dict[Content, ContentState] = field(default_factory=dict)
    current: dict[int, Content] = field(default_factory=dict)
    good: Content | None = None
    halted: dict[Content, str] = field(default_factory=dict)
    is_staged: bool = False
    canaries: dict[int, None] = field(default_factory=dict)
    stage_began_at: int = 0
    canary_answered_at: int | None = None
    stage_count: int = 0
    released: Content | None = None

    @property
    def newest(self) -> Content | None:
        """The newest content that is not halted."""
        orders = {
            content: state.order for content, state in self.contents.items() if content not in self.halted
        }
        return max(orders, key=orders.__getitem__) if orders else None

    def rejecting_proxies(self) -> list[int]:
        """Returns the proxies that rejected any remembered content; rejections of newer contents last."""
        return [proxy for state in self.contents.values() for proxy in state.rejected]

    def add_content(self, content: Content, order: int) -> ContentState:
        """Adds a content that is offered for the first time."""
        self._forget_old()
        state = self.contents[content] = ContentState(order)
        return state

    def halt(self, content: Content, cause: str) -> None:
        """Stops offering a content."""
        self.halted[content] = cause
        if len(self.halted) > MAX_CONTENTS:
            del self.halted[next(iter(self.halted))]
        if self.good == content:
            self.good = None

    def leave_current(self, proxy: int) -> ContentState | None:
        """Records that a proxy is offered another content. Returns the state of the one before, if kept."""
        before = self.current.get(proxy)
        state = self.contents.get(before) if before is not None else None
        if state is not None:
            state.current_count -= 1
            state.awaiting.discard(proxy)
        return state

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy that has left, but keeps its rejections."""
        self.leave_current(proxy)
        self.current.pop(proxy, None)
        self.canaries.pop(proxy, None)
        for state in self.contents.values():
            state.acknowledged.discard(proxy)
            state.awaiting.discard(proxy)

    def _forget_old(self) -> None:
        """Makes room for a content: forgets old ones, except the good one, halted ones and those in use.

        If all are needed, the limit is exceeded: by at most one content per proxy and the halted ones.
        """
        for content, state in list(self.contents.items()):
            if len(self.contents) < MAX_CONTENTS:
                return
            if content != self.good and not state.current_count and content not in self.halted:
                del self.contents[content]

"""The state that the publisher keeps for each joined proxy."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ..ticks import TICKS_PER_SECOND
from ..versions.rollout_track import Content, Unit
from .proxy_resources import ProxyResources
from .proxy_state import UpdateMessage
from .update_sinks import UpdateSink

FIRST_REFUSAL_BACKOFF_TICKS = TICKS_PER_SECOND
MAX_REFUSAL_BACKOFF_TICKS = 4 * TICKS_PER_SECOND
MAX_REMEMBERED_MESSAGES = 200  # per proxy, until they are acknowledged


class RolloutContent(NamedTuple):
    """The content of one rollout unit that a message carries."""

    unit: Unit
    content: Content


Contents = tuple[RolloutContent, ...]


class PendingAcknowledgement(NamedTuple):
    """A message that its proxy has not acknowledged yet; `marker` is None if it has no sync marker."""

    message: int
    marker: int | None
    ordered_at: int


class WithheldMessage(NamedTuple):
    """A message that validation holds back until the tick `until`."""

    until: int
    message: UpdateMessage


class RefusedMessage(NamedTuple):
    """A message that validation refused, the tick of its next validation, and the backoff after that."""

    revalidate_at: int
    backoff_ticks: int
    message: UpdateMessage

    def postponed(self, now: int) -> RefusedMessage:
        """Returns the message with its next validation scheduled after another refusal."""
        backoff_ticks = min(2 * self.backoff_ticks, MAX_REFUSAL_BACKOFF_TICKS)
        return RefusedMessage(now + self.backoff_ticks, backoff_ticks, self.message)


class RewriteTimer(NamedTuple):
    """When unacknowledged files are written again, and the backoff that the next one doubles."""

    due_at: int
    backoff_ticks: int


@dataclass(slots=True)
class PublisherSession:
    """The publisher's state of one joined proxy.

    Attributes:
        number: the proxy's number in events and commands.
        name: the proxy's name in its status.
        term: the number of its session, counted over all controllers.
        initial: the resources that it held when it joined.
        sink: the destination of its updates.
        uses_discovery: whether it calls the xDS discovery server; otherwise it reads files.
        pending: the messages that it has not acknowledged.
        written: the number of the last message that was written for it.
        acknowledged: the number of the newest message that it has applied.
        unwritten: the newest message, if writing it failed.
        held: the message that validation withholds for now, if any.
        refused: the message that validation refused last, if no message was sent since.
        rewrite: when its unacknowledged files are written again, if any.
        newest: the last message that left the channel, before the rollout or validation changed it.
        contents: by message number, the contents that the rollout chose.
        is_substituted: whether the rollout replaced a content of the last message by another one.
    """

    number: int
    name: str
    term: int
    initial: ProxyResources
    sink: UpdateSink
    uses_discovery: bool = False
    pending: list[PendingAcknowledgement] = field(default_factory=list)
    written: int = 0
    acknowledged: int = 0
    unwritten: UpdateMessage | None = None
    withheld: WithheldMessage | None = None
    refused: RefusedMessage | None = None
    rewrite: RewriteTimer | None = None
    newest: UpdateMessage | None = None
    contents: dict[int, Contents] = field(default_factory=dict)
    is_substituted: bool = False

    @property
    def has_unfinished_work(self) -> bool:
        """Whether a message is unwritten, withheld or refused, or files may need a rewrite."""
        waiting = (self.unwritten, self.withheld, self.refused, self.rewrite)
        return any(each is not None for each in waiting)

    @property
    def newest_contents(self) -> Contents:
        """The contents of the newest message that was sent."""
        return next(reversed(self.contents.values()), ())

    def remember_contents(self, message: int, contents: Contents) -> None:
        """Stores the contents of a message; the oldest entry is dropped if there are too many."""
        self.contents[message] = contents
        if len(self.contents) > MAX_REMEMBERED_MESSAGES:
            del self.contents[next(iter(self.contents))]


class SessionRegistry:
    """All sessions, and the set of those that the publisher's loop has to check."""

    def __init__(self) -> None:
        """Creates an empty registry."""
        self.by_number: dict[int, PublisherSession] = {}
        self._unfinished: dict[int, None] = {}

    def mark_unfinished(self, session: PublisherSession) -> None:
        """Makes `unfinished_sessions` return the session as long as it has unfinished work."""
        self._unfinished[session.number] = None

    def unfinished_sessions(self) -> list[PublisherSession]:
        """Returns the sessions with unfinished work, which are few unless proxies or disks fail."""
        sessions = []
        for proxy in list(self._unfinished):
            session = self.by_number.get(proxy)
            if session is not None and session.has_unfinished_work:
                sessions.append(session)
            else:
                del self._unfinished[proxy]
        return sessions

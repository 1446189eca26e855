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
MAX_REMEMBERED_MESSAGES = 200  # for one proxy, with their contents, until they are acknowledged


class RolloutContent(NamedTuple):
    """One content of one rollout unit, as a message carries it."""

    unit: Unit
    content: Content


Contents = tuple[RolloutContent, ...]


class PendingAcknowledgement(NamedTuple):
    """A message that its proxy has not acknowledged yet; `marker` is None without a sync marker."""

    message: int
    marker: int | None
    ordered_at: int


class HeldMessage(NamedTuple):
    """A message that validation holds back until a tick."""

    until: int
    message: UpdateMessage


class RefusedMessage(NamedTuple):
    """A message that validation refused, when it is judged again, and the backoff after that in ticks."""

    judge_at: int
    backoff_ticks: int
    message: UpdateMessage

    def postponed(self, now: int) -> RefusedMessage:
        """The message after another refusal."""
        backoff_ticks = min(2 * self.backoff_ticks, MAX_REFUSAL_BACKOFF_TICKS)
        return RefusedMessage(now + self.backoff_ticks, backoff_ticks, self.message)


class RewriteTimer(NamedTuple):
    """When unacknowledged files are written again, and the backoff before it in ticks."""

    due_at: int
    pause_ticks: int


@dataclass(slots=True)
class PublisherSession:
    """A joined proxy that updates are sent to.

    Attributes:
        number: the number by which events and commands name the proxy.
        name: the name in the status of the proxy.
        term: the number of its session, counted over all controllers.
        initial: what it held when it joined.
        sink: where its updates go.
        uses_discovery: whether it calls the discovery server; otherwise it reads files.
        pending: messages that it has not acknowledged.
        written: the number of the message that it can read now.
        acknowledged: the number of the newest message that it has applied.
        unwritten: the newest message, if writing it failed.
        held: a message that validation holds back, if any.
        refused: the message that validation refused last, if none went out since.
        rewrite: when its files are written again, if they wait to be acknowledged.
        newest: the last message that left the channel, as it was ordered.
        contents: by message, the contents that the rollout chose for it.
        is_substituted: whether the last message carried another content than was ordered.
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
    held: HeldMessage | None = None
    refused: RefusedMessage | None = None
    rewrite: RewriteTimer | None = None
    newest: UpdateMessage | None = None
    contents: dict[int, Contents] = field(default_factory=dict)
    is_substituted: bool = False

    @property
    def is_open(self) -> bool:
        """Whether something of it is unwritten, held back, refused, or waits to be acknowledged."""
        waiting = (self.unwritten, self.held, self.refused, self.rewrite)
        return any(each is not None for each in waiting)

    @property
    def newest_contents(self) -> Contents:
        """What the newest message that went out carries."""
        return next(reversed(self.contents.values()), ())

    def remember_contents(self, message: int, contents: Contents) -> None:
        """Keeps what a message carries; the oldest is dropped if there are too many."""
        self.contents[message] = contents
        if len(self.contents) > MAX_REMEMBERED_MESSAGES:
            del self.contents[next(iter(self.contents))]


class SessionRegistry:
    """All sessions, and those of them that the publisher's loop has to check."""

    def __init__(self) -> None:
        """Starts empty."""
        self.by_number: dict[int, PublisherSession] = {}
        self._open: dict[int, None] = {}

    def mark_open(self, session: PublisherSession) -> None:
        """Makes `open_sessions` return the session, as long as it is open."""
        self._open[session.number] = None

    def open_sessions(self) -> list[PublisherSession]:
        """Returns the open sessions, which are few unless proxies or disks fail."""
        found = []
        for proxy in list(self._open):
            session = self.by_number.get(proxy)
            if session is not None and session.is_open:
                found.append(session)
            else:
                del self._open[proxy]
        return found

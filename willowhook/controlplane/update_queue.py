"""The update queue: messages leave at the rate of the channel, and some are queued again."""

from __future__ import annotations

from dataclasses import replace

from ..decisions.settings import ChannelSettings
from .channel import RateLimitedChannel
from .proxy_session import PublisherSession
from .proxy_state import ProxyStateBook, UpdateMessage
from .publisher_context import PublisherContext
from .publisher_listener import Condition


class UpdateQueue:
    """Puts messages into the channel, takes out those that have left it, and reports breached limits."""

    def __init__(
        self, context: PublisherContext, settings: ChannelSettings, proxy_states: ProxyStateBook
    ) -> None:
        """`proxy_states` assigns the numbers of messages that are queued again."""
        self.channel = RateLimitedChannel(settings)
        self._settings = settings
        self._proxy_states = proxy_states
        self._sessions = context.sessions
        self._listener = context.listener
        self._records = context.records

    @property
    def has_room_for_resends(self) -> bool:
        """Whether so few entries wait that messages may be queued again."""
        return self.channel.is_low

    def has_room_for(self, cost_entries: int) -> bool:
        """Whether a message of this cost may be queued again without exceeding the queue limit."""
        return self.channel.waiting_entries + cost_entries <= self._settings.queue_limit_entries

    def put(self, message: UpdateMessage) -> None:
        """Queues a message and records it."""
        is_within_limit = self.channel.put(message)
        self._listener.report_condition(
            Condition.QUEUE_OVER_LIMIT,
            not is_within_limit,
            "update queue within limit" if is_within_limit else "update queue over limit",
            waiting=self.channel.waiting_entries,
            most=self._settings.queue_limit_entries,
        )
        session = self._sessions.by_number.get(message.proxy)
        self._records.record_queued(message, session.name if session is not None else "")

    def put_again(self, now: int, message: UpdateMessage, cost_entries: int) -> None:
        """Queues a message again, under a new number and without its sync marker."""
        number = self._proxy_states.next_message_number()
        self.put(replace(message, number=number, marker=None, ordered_at=now, cost_entries=cost_entries))

    def take(self, now: int) -> UpdateMessage | None:
        """Removes and returns the first message if it has left by now; returns None if none has."""
        departure = self.channel.take(now)
        if departure is None:
            return None
        message = departure.message
        if not departure.is_within_cap:
            self._listener.report_condition(
                Condition.MESSAGE_CAP_EXCEEDED, True, "message cap exceeded", proxy=message.proxy
            )
        return message

    def put_held_messages(self, now: int) -> None:
        """Queues messages that validation held until now, unless superseded by a later message."""
        for session in self._sessions.unfinished_sessions():
            if session.withheld is None or now < session.withheld.until:
                continue
            message = session.withheld.message
            if not self.has_room_for(message.cost_entries):
                continue
            session.withheld = None
            self.put_again_unless_superseded(now, message)

    def put_again_unless_superseded(self, now: int, message: UpdateMessage) -> None:
        """Queues a message again unless a later one of its proxy waits, which holds the complete state."""
        if not self.channel.has_message_for(message.proxy):
            self.put_again(now, message, message.cost_entries)

    def put_newest_again(self, now: int, session: PublisherSession, cost_entries: int) -> None:
        """Queues the newest message of a proxy again, unless a later one waits."""
        if session.newest is not None and not self.channel.has_message_for(session.number):
            self.put_again(now, session.newest, cost_entries)

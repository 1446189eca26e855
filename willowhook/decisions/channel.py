"""Estimates the queue in the channel to the proxies from the messages sent and their acknowledgements.

The channel carries entries at a stated rate and delivers messages in the order in which they were sent. An
acknowledgement therefore proves that everything sent in earlier flushes has left the queue. It proves nothing
about its own flush: when one flush sends to 300 proxies, the first acknowledgement arrives while most of the
messages are still queued.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from ..ticks import TICKS_PER_SECOND
from .message_cap import MessageCap
from .settings import ChannelSettings
from .update_cost import SYNC_MARKER_ENTRIES, message_overhead

MAX_UNACKNOWLEDGED_MESSAGES = (
    64  # per proxy, after they left the queue; a merely slow proxy catches up before
)
MARKERS = 1 << 16  # number of distinct sync markers; they take two bytes on the wire


class SentMessage(NamedTuple):
    """A message that was sent and has not been acknowledged.

    Attributes:
        marker: its sync marker.
        entries: its cost.
        due_at: the time after which its acknowledgement is overdue.
        flush: the number of the flush that sent it.
    """

    marker: int
    entries: int
    due_at: int
    flush: int


class ChannelEstimate:
    """Estimates how many entries are queued in the channel.

    Attributes:
        entries_per_tick: the channel's stated rate.
        overhead_entries: the cost of a message that carries only its sync marker.
        queued: entries in the queue if the channel has kept its stated rate.
        charged_entries: entries charged since the start.
        last_marker: the marker of the last flush.
        overdue: entries of messages whose acknowledgement is overdue.
        pending: by proxy, the entries charged since the last flush.
        unacknowledged: by joined proxy, its unacknowledged messages in sending order.
        message_cap: tracks which proxies may be sent another message.
    """

    def __init__(self, settings: ChannelSettings, now: int) -> None:
        self.entries_per_tick = settings.entries_per_second / TICKS_PER_SECOND
        self.overhead_entries = message_overhead(settings) + SYNC_MARKER_ENTRIES
        self.pending: dict[int, int] = {}
        self.unacknowledged: dict[int, list[SentMessage]] = {}
        self.message_cap = MessageCap(settings)
        self._of_ended_sessions: list[SentMessage] = []  # sessions that this controller ended
        self._max_delay_ticks = settings.max_delay_ticks
        self.queued = 0.0
        self.charged_entries = 0
        self.overdue = 0.0
        self._observed: float | None = None  # entries in the queue as observed, and those charged since
        self._possibly_waiting = 0.0  # entries not proven to have left the queue
        self._certainly_waiting = 0.0  # those of them that cannot be in transit at the stated rate
        self._estimate_advanced_at = now
        self._last_acknowledgement_at = now
        self._lost_before = now  # messages due by then are lost and no longer count
        self.last_marker = 0
        self._flush_count = 0
        self._last_flush: list[int] = []  # the proxies that the last flush was charged for
        self._last_proven_flush = 0  # all messages up to this flush have left the queue

    def add_proxy(self, proxy: int) -> None:
        """Starts tracking the acknowledgements of a proxy that has joined."""
        self.unacknowledged[proxy] = []
        self.message_cap.add_proxy(proxy)

    def remove_proxy(self, proxy: int, *, is_still_counted: bool = False) -> None:
        """Drops the state of a proxy that has left.

        Its messages in the queue are dropped as well, unless they are still counted: then they stay until
        they are proven to have left, or lost.
        """
        messages = self.unacknowledged.pop(proxy, [])
        if is_still_counted:
            self._of_ended_sessions += messages
        self.message_cap.remove_proxy(proxy)

    def queue_estimate(self) -> float:
        """Returns the best estimate of the queued entries."""
        return max(self.queued + self.overdue, self._certainly_waiting)

    def queue_ceiling(self) -> float:
        """Returns an upper bound on the queued entries, however slow the channel is.

        Exclusions, reminders and the binds of a join burst are limited by it.
        """
        return max(self.queue_estimate(), self._possibly_waiting, self._observed or 0.0)

    def cost(self, proxies: Sequence[int], entries: int) -> int:
        """Returns the cost of this many entries for each proxy, including overhead of new messages."""
        new_messages = sum(proxy not in self.pending for proxy in proxies)
        return entries * len(proxies) + self.overhead_entries * new_messages

    def can_message(self, now: int, proxies: Iterable[int]) -> bool:
        """Whether the message cap allows a message to each of these proxies in the next flush."""
        return self.message_cap.allows(now, (proxy for proxy in proxies if proxy not in self.pending))

    def charge(self, proxies: Sequence[int], entries: int) -> None:
        """Charges this many entries for each of these proxies to the next flush."""
        cost = self.cost(proxies, entries)
        self.charged_entries += cost
        self.queued += cost
        self._certainly_waiting += cost
        self._possibly_waiting += cost
        if self._observed is not None:
            self._observed += cost
        for proxy in proxies:
            self.pending[proxy] = self.pending.get(proxy, self.overhead_entries) + entries

    def observe_queue(self, entries: float) -> None:
        """Records how many entries wait, where the runtime keeps the queue and can tell."""
        self._observed = entries

    def advance_queue_estimate(self, now: int) -> None:
        """Subtracts the entries that have left the queue since the last call."""
        self.queued = max(0.0, self.queued - self.entries_per_tick * (now - self._estimate_advanced_at))
        self._estimate_advanced_at = now
        self._possibly_waiting = self.unproven_entries()
        # entries that left within the maximum message delay may not be acknowledged yet; the rest is queued
        in_transit = self.entries_per_tick * self._max_delay_ticks
        self._certainly_waiting = max(0.0, self._possibly_waiting - in_transit)

    def flush(self, now: int) -> int:
        """Turns the pending entries into messages with one sync marker, and returns the marker."""
        self.last_marker = (self.last_marker + 1) % MARKERS
        due_at = now + int(self.queue_estimate() / self.entries_per_tick) + self._max_delay_ticks
        self._flush_count += 1
        self.message_cap.record_messages(now, self.pending)
        for proxy, entries in self.pending.items():
            self.unacknowledged[proxy].append(
                SentMessage(self.last_marker, entries, due_at, self._flush_count)
            )
        self._last_flush = list(self.pending)
        self.pending.clear()
        return self.last_marker

    def settle_flush(self, sent_entries: Mapping[int, int]) -> None:
        """Replaces the charges of the last flush by the entries that its messages hold, by proxy."""
        for proxy in self._last_flush:
            messages = self.unacknowledged.get(proxy)
            if not messages or messages[-1].flush != self._flush_count:
                continue  # the session ended during the flush
            charged = messages.pop()
            sent = sent_entries.get(proxy, 0)
            if sent:
                messages.append(charged._replace(entries=sent))
            surplus = charged.entries - sent
            self.queued = max(0.0, self.queued - surplus)
            self._certainly_waiting = max(0.0, self._certainly_waiting - surplus)
            self._possibly_waiting = max(0.0, self._possibly_waiting - surplus)
        self._last_flush = []

    def acknowledge(self, now: int, proxy: int, marker: int) -> None:
        """Handles the acknowledgement of the message with this marker and all earlier ones by a proxy."""
        self._last_acknowledgement_at = now
        messages = self.unacknowledged.get(proxy, [])
        for index, message in enumerate(messages):
            if message.marker == marker:
                self._last_proven_flush = max(self._last_proven_flush, message.flush - 1)
                del messages[: index + 1]
                return

    def unproven_entries(self) -> int:
        """Returns the entries that no acknowledgement has proven to have left the queue."""
        return sum(message.entries for message in self._unproven_messages())

    def update_overdue(self, now: int, lost_after_ticks: int) -> None:
        """Updates the overdue entries, and gives up messages that have been overdue for too long.

        As long as acknowledgements arrive, however late, the channel is merely slow and unacknowledged
        messages are still queued. If none has arrived for `lost_after_ticks`, messages that have been overdue
        for that long count as lost.
        """
        if now - self._last_acknowledgement_at >= lost_after_ticks:
            self._lost_before = now - lost_after_ticks
        self.overdue = sum(message.entries for message in self._unproven_messages() if message.due_at < now)

    def unresponsive_proxies(self) -> list[int]:
        """Returns proxies that acknowledge nothing although many messages to them have left the queue."""
        return [
            proxy
            for proxy, messages in self.unacknowledged.items()
            if len(messages) > MAX_UNACKNOWLEDGED_MESSAGES
            and messages[MAX_UNACKNOWLEDGED_MESSAGES].flush <= self._last_proven_flush
        ]

    def give_up_messages(self, proxy: int) -> int:
        """Drops the messages to a proxy that are proven to have left the queue, and returns their number."""
        messages = self.unacknowledged.get(proxy, [])
        remaining = [message for message in messages if message.flush > self._last_proven_flush]
        given_up = len(messages) - len(remaining)
        messages[:] = remaining
        return given_up

    def _unproven_messages(self) -> Iterator[SentMessage]:
        self._of_ended_sessions = [
            message for message in self._of_ended_sessions if self._is_unproven(message)
        ]
        yield from self._of_ended_sessions
        for messages in self.unacknowledged.values():
            for message in messages:
                if self._is_unproven(message):
                    yield message

    def _is_unproven(self, message: SentMessage) -> bool:
        return message.flush > self._last_proven_flush and message.due_at > self._lost_before

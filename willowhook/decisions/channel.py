"""An estimate of what waits in the channel to the proxies, by what was sent and what was acknowledged.

The channel carries entries at a stated rate, and messages leave it in the order in which they were sent. So
an acknowledgement proves that everything sent before that message's flush has left. It proves nothing of its
own flush: if one flush sends to 300 proxies, the first acknowledgement comes while most of them still wait.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from ..ticks import TICKS_PER_SECOND
from .message_cap import MessageCap
from .settings import ChannelSettings
from .update_cost import SYNC_MARKER_ENTRIES, message_overhead

MAX_UNACKNOWLEDGED_MESSAGES = 64  # of one proxy, once they have left; one that is only slow catches up before
MARKERS = 1 << 16  # number of sync markers: two bytes on the wire


class SentMessage(NamedTuple):
    """A message that was sent and not acknowledged yet.

    Attributes:
        marker: its sync marker.
        entries: its cost.
        due_at: when its acknowledgement is overdue.
        flush: the number of the flush that sent it.
    """

    marker: int
    entries: int
    due_at: int
    flush: int


class ChannelEstimate:
    """Estimates the entries that wait in the channel.

    Attributes:
        entries_per_tick: the channel's stated rate.
        overhead_entries: the cost of a message with its marker, before it carries anything.
        queued: entries that would wait if the channel kept its stated rate.
        last_marker: the marker of the last flush.
        overdue: entries of messages whose acknowledgement is overdue.
        pending: entries by proxy, charged since the last flush.
        unacknowledged: by joined proxy, its messages in the order in which they were sent.
        message_cap: which proxies may be sent another message.
    """

    def __init__(self, settings: ChannelSettings, now: int) -> None:
        self.entries_per_tick = settings.entries_per_second / TICKS_PER_SECOND
        self.overhead_entries = message_overhead(settings) + SYNC_MARKER_ENTRIES
        self.pending: dict[int, int] = {}
        self.unacknowledged: dict[int, list[SentMessage]] = {}
        self.message_cap = MessageCap(settings)
        self._max_delay_ticks = settings.max_delay_ticks
        self.queued = 0.0
        self.overdue = 0.0
        self._possibly_waiting = 0.0  # not proven to have left
        self._certainly_waiting = 0.0  # of these, what cannot be on its way even at the stated rate
        self._drained_at = now
        self._last_acknowledgement_at = now  # the last acknowledgement
        self._lost_before = now  # what was due by then is lost, or does not count any more
        self.last_marker = 0
        self._flush_count = 0
        self._last_proven_flush = 0  # these have left whole

    def add_proxy(self, proxy: int) -> None:
        """Starts to track the acknowledgements of a proxy that has joined."""
        self.unacknowledged[proxy] = []
        self.message_cap.add_proxy(proxy)

    def remove_proxy(self, proxy: int) -> None:
        """Forgets what was sent to a proxy that has left."""
        self.unacknowledged.pop(proxy, None)
        self.message_cap.remove_proxy(proxy)

    def queue_estimate(self) -> float:
        """Entries that wait, as far as is known."""
        return max(self.queued + self.overdue, self._certainly_waiting)

    def queue_ceiling(self) -> float:
        """The most entries that can wait, however slow the channel has become; checked against its limit."""
        return max(self.queue_estimate(), self._possibly_waiting)

    def cost(self, proxies: Sequence[int], entries: int) -> int:
        """The cost of this many entries for each proxy, with the overhead of messages not pending yet."""
        new_messages = sum(proxy not in self.pending for proxy in proxies)
        return entries * len(proxies) + self.overhead_entries * new_messages

    def can_message(self, now: int, proxies: Iterable[int]) -> bool:
        """Whether the message cap lets all of these proxies have a message in the next flush."""
        return self.message_cap.allows(now, (proxy for proxy in proxies if proxy not in self.pending))

    def charge(self, proxies: Sequence[int], entries: int) -> None:
        """Adds this number of entries for each of these proxies to the next flush."""
        cost = self.cost(proxies, entries)
        self.queued += cost
        self._certainly_waiting += cost
        self._possibly_waiting += cost
        for proxy in proxies:
            self.pending[proxy] = self.pending.get(proxy, self.overhead_entries) + entries

    def drain(self, now: int) -> None:
        """Subtracts what has left since the last call."""
        self.queued = max(0.0, self.queued - self.entries_per_tick * (now - self._drained_at))
        self._drained_at = now
        self._possibly_waiting = self.unproven_entries()
        # what left within a message's longest delay may not be acknowledged yet; the rest still waits
        on_its_way = self.entries_per_tick * self._max_delay_ticks
        self._certainly_waiting = max(0.0, self._possibly_waiting - on_its_way)

    def flush(self, now: int) -> int:
        """Turns what is pending into messages under one marker, and returns the marker."""
        self.last_marker = (self.last_marker + 1) % MARKERS
        due_at = now + int(self.queue_estimate() / self.entries_per_tick) + self._max_delay_ticks
        self._flush_count += 1
        self.message_cap.record_messages(now, self.pending)
        for proxy, entries in self.pending.items():
            self.unacknowledged[proxy].append(
                SentMessage(self.last_marker, entries, due_at, self._flush_count)
            )
        self.pending.clear()
        return self.last_marker

    def acknowledge(self, now: int, proxy: int, marker: int) -> None:
        """A proxy has applied the message with this marker, and all before it."""
        self._last_acknowledgement_at = now
        messages = self.unacknowledged.get(proxy, [])
        for index, message in enumerate(messages):
            if message.marker == marker:
                self._last_proven_flush = max(self._last_proven_flush, message.flush - 1)
                del messages[: index + 1]
                return

    def unproven_entries(self) -> int:
        """Entries that no acknowledgement has proven to have left."""
        return sum(message.entries for message in self._unproven_messages())

    def update_overdue(self, now: int, lost_after_ticks: int) -> None:
        """Sums what is overdue, and gives up what has been overdue for too long.

        While acknowledgements come, however late, the channel is slow, and unacknowledged messages still wait
        in it. When none has come for `lost_after_ticks`, messages overdue for as long count as lost.
        """
        if now - self._last_acknowledgement_at >= lost_after_ticks:
            self._lost_before = now - lost_after_ticks
        self.overdue = sum(message.entries for message in self._unproven_messages() if message.due_at < now)

    def unresponsive_proxies(self) -> list[int]:
        """Proxies that acknowledge nothing, though many messages to them are proven to have left."""
        return [
            proxy
            for proxy, messages in self.unacknowledged.items()
            if len(messages) > MAX_UNACKNOWLEDGED_MESSAGES
            and messages[MAX_UNACKNOWLEDGED_MESSAGES].flush <= self._last_proven_flush
        ]

    def give_up_messages(self, proxy: int) -> int:
        """Forgets what was sent to a proxy and is proven to have left. Returns the number of messages."""
        messages = self.unacknowledged.get(proxy, [])
        left = [message for message in messages if message.flush > self._last_proven_flush]
        given_up = len(messages) - len(left)
        messages[:] = left
        return given_up

    def _unproven_messages(self) -> Iterator[SentMessage]:
        for messages in self.unacknowledged.values():
            for message in messages:
                if message.flush > self._last_proven_flush and message.due_at > self._lost_before:
                    yield message

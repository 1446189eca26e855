"""The update channel of one controller: messages leave one after the other, at a limited rate. No I/O.

The decisions keep within the queue limit and the message cap by estimates. The channel counts both, so that
a breach is reported. Costs and rates are in table entries, times in ticks.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from ..decisions.settings import ChannelSettings
from ..ticks import TICKS_PER_SECOND
from .proxy_state import UpdateMessage

LOW_QUEUE_DIVISOR = 6  # the queue counts as low up to its limit divided by this


class Departure(NamedTuple):
    """A message that has left the channel, and whether its proxy stayed within the message cap."""

    message: UpdateMessage
    is_within_cap: bool


class RateLimitedChannel:
    """The queue of messages that wait to leave, and the entries that left but were not fetched yet.

    Attributes:
        peak_waiting_entries: the largest number of entries that waited at one time.
        peak_messages_in_window: the most messages to one proxy within the window of the message cap.
    """

    def __init__(self, settings: ChannelSettings) -> None:
        """Creates an empty, idle channel."""
        self._settings = settings
        self._entries_per_tick = settings.entries_per_second / TICKS_PER_SECOND
        self._queue: deque[UpdateMessage] = deque()
        self._queued_entries = 0
        self._unfetched: dict[int, int] = {}  # by proxy: entries that wait for its next request
        self._unfetched_entries = 0
        self._idle_at = 0.0  # the tick at which the last message had left
        self._departures: dict[int, deque[int]] = {}  # by proxy: departures within the cap's window
        self.peak_waiting_entries = 0
        self.peak_messages_in_window = 0

    @property
    def waiting_entries(self) -> int:
        """Entries that wait to leave, or to be fetched."""
        return self._queued_entries + self._unfetched_entries

    @property
    def queued_entries(self) -> int:
        """Entries that wait to leave."""
        return self._queued_entries

    @property
    def is_low(self) -> bool:
        """Whether so few entries wait that messages without urgency may be queued too."""
        return self.waiting_entries <= self._settings.queue_limit_entries / LOW_QUEUE_DIVISOR

    def hold_until_fetched(self, proxy: int, entries: int) -> None:
        """Counts sent entries as waiting until the proxy fetches them, in place of its earlier ones."""
        self.release_fetched(proxy)
        self._unfetched[proxy] = entries
        self._unfetched_entries += entries

    def release_fetched(self, proxy: int) -> None:
        """Stops counting the entries that the proxy has fetched."""
        self._unfetched_entries -= self._unfetched.pop(proxy, 0)

    def put(self, message: UpdateMessage) -> bool:
        """Queues a message. Returns whether the entries that wait are within the queue limit."""
        if not self._queue:
            self._idle_at = max(self._idle_at, message.ordered_at)
        self._queue.append(message)
        self._queued_entries += message.cost_entries
        self.peak_waiting_entries = max(self.peak_waiting_entries, self.waiting_entries)
        return self.waiting_entries <= self._settings.queue_limit_entries

    def next_departure(self) -> float | None:
        """Returns the tick at which the first message has left; None if nothing waits."""
        if not self._queue:
            return None
        return self._idle_at + self._queue[0].cost_entries / self._entries_per_tick

    def take(self, now: int) -> Departure | None:
        """Removes and returns the first message if it has left by now; returns None if none has."""
        departed_at = self.next_departure()
        if departed_at is None or departed_at > now:
            return None
        message = self._queue.popleft()
        self._queued_entries -= message.cost_entries
        self._idle_at = departed_at
        return Departure(message, self._count_departure(message.proxy, now))

    def drop_proxy(self, proxy: int) -> int:
        """Drops the messages and entries of a proxy that left. Returns the number of dropped messages."""
        previous_length = len(self._queue)
        self._queue = deque(message for message in self._queue if message.proxy != proxy)
        self._queued_entries = sum(message.cost_entries for message in self._queue)
        self.release_fetched(proxy)
        self._departures.pop(proxy, None)
        return previous_length - len(self._queue)

    def has_message_for(self, proxy: int) -> bool:
        """Whether a message to this proxy waits to leave."""
        return any(message.proxy == proxy for message in self._queue)

    def __len__(self) -> int:
        """The number of messages that wait to leave."""
        return len(self._queue)

    def _count_departure(self, proxy: int, now: int) -> bool:
        """Counts one more message to the proxy; returns whether the proxy stays within the message cap."""
        settings = self._settings
        if not settings.message_cap:
            return True
        departures = self._departures.setdefault(proxy, deque())
        departures.append(now)
        while departures[0] <= now - settings.message_cap_window_ticks:
            departures.popleft()
        self.peak_messages_in_window = max(self.peak_messages_in_window, len(departures))
        return len(departures) <= settings.message_cap

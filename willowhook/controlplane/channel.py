"""The channel of one director: messages leave one after the other, at the stated rate of lines.  No I/O.

What waits is measured here, against the limit of lines and the cap of messages to one proxy; the decision
module keeps both, and a breach is told, never hidden.
"""

from __future__ import annotations

from collections import deque

from ..decisions.settings import ChannelSettings
from .proxy_state import UpdateMessage

SECOND = 10_000


class UpdateChannel:
    def __init__(self, terms: ChannelSettings) -> None:
        self._rate = terms.entries_per_second / SECOND
        self._terms = terms
        self._queue: deque[UpdateMessage] = deque()
        self._gone = 0  # messages to proxies that left, which still stand in the queue
        self._lines = 0  # in the queue
        self._held: dict[int, int] = {}  # by proxy: lines that left, and that its next call is still to fetch
        self._held_lines = 0
        self.most_waiting_entries, self.most_messages_in_window = 0, 0  # ever
        self._free_at = 0.0  # when the line is free for the next message
        self._sent: dict[int, deque[int]] = {}  # by proxy, when its last messages left

    @property
    def waiting_entries(self) -> int:
        """Lines that wait to leave, or to be fetched."""
        return self._lines + self._held_lines

    def hold(self, proxy: int, lines: int) -> None:
        """These left, and wait for the proxy's call; the newest message holds all."""
        self.release(proxy)
        self._held[proxy] = lines
        self._held_lines += lines

    def release(self, proxy: int) -> None:
        self._held_lines -= self._held.pop(proxy, 0)

    def put(self, message: UpdateMessage) -> bool:
        """False if more lines wait now than may."""
        if not self._queue:
            self._free_at = max(self._free_at, message.ordered)
        self._queue.append(message)
        self._lines += message.lines
        self.most_waiting_entries = max(self.most_waiting_entries, self.waiting_entries)
        return self.waiting_entries <= self._terms.queue_limit_entries

    def next_departure(self) -> float | None:
        """When the first message has gone through; None if nothing waits."""
        return self._free_at + self._queue[0].lines / self._rate if self._queue else None

    def take(self, now: int) -> tuple[UpdateMessage, bool] | None:
        """The message that has gone through by now, and whether it kept the cap; None if there is none."""
        due = self.next_departure()
        if due is None or due > now:
            return None
        message = self._queue.popleft()
        self._lines -= message.lines
        self._free_at = due
        kept = True
        if self._terms.message_cap:
            times = self._sent.setdefault(message.proxy, deque())
            times.append(now)
            while times[0] <= now - self._terms.message_cap_window_ticks:
                times.popleft()
            self.most_messages_in_window = max(self.most_messages_in_window, len(times))
            kept = len(times) <= self._terms.message_cap
        return message, kept

    def drop_proxy(self, proxy: int) -> int:
        """What waits for a proxy that left is lost; gives its messages' number."""
        before = len(self._queue)
        self._queue = deque(message for message in self._queue if message.proxy != proxy)
        self._lines = sum(message.lines for message in self._queue)
        self.release(proxy)
        self._sent.pop(proxy, None)
        return before - len(self._queue)

    def has(self, proxy: int) -> bool:
        return any(message.proxy == proxy for message in self._queue)

    def __len__(self) -> int:
        return len(self._queue)

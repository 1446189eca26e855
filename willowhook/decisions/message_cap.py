"""The message cap: limits how many messages a proxy is sent within a time window.

Messages that only improve service are spaced evenly by `pacing.UpdatePacer` and leave one message of the cap
unused. Messages that are needed to keep a rule skip the spacing and may use the complete cap of each proxy.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from ..ticks import TICKS_PER_SECOND
from .settings import ChannelSettings

WRITE_DELAY_TICKS = TICKS_PER_SECOND // 2  # by how much the delay from sending to writing may vary
MIN_CAP_WITH_RESERVE = 3  # a smaller cap is too small to reserve a message


class MessageCap:
    """Counts the messages to each proxy since it joined, within the window of the cap."""

    def __init__(self, settings: ChannelSettings) -> None:
        self._cap = settings.message_cap
        self._window_ticks = settings.message_cap_window_ticks + WRITE_DELAY_TICKS
        self._reserve = 1 if self._cap >= MIN_CAP_WITH_RESERVE else 0
        self._sent_at: dict[int, deque[int]] = {}

    @property
    def is_limited(self) -> bool:
        """Whether there is a cap."""
        return self._cap > 0

    def add_proxy(self, proxy: int) -> None:
        """Starts counting messages to a proxy that has joined."""
        self._sent_at[proxy] = deque()

    def remove_proxy(self, proxy: int) -> None:
        """Drops the state of a proxy that has left."""
        self._sent_at.pop(proxy, None)

    def record_messages(self, now: int, proxies: Iterable[int]) -> None:
        """Records that each of these proxies was sent one message."""
        if self.is_limited:
            for proxy in proxies:
                self._sent_at[proxy].append(now)

    def has_no_recent_messages(self, now: int, proxy: int) -> bool:
        """Whether a proxy was sent no message within the window."""
        return self._recent_message_count(now, proxy) == 0

    def allows(self, now: int, proxies: Iterable[int]) -> bool:
        """Whether all of these proxies may be sent a message."""
        return self._has_room(now, proxies, 1)

    def allows_with_reserve(self, now: int, proxies: Iterable[int]) -> bool:
        """Whether all of these proxies may be sent a message and still have the reserved one left."""
        return self._has_room(now, proxies, 1 + self._reserve)

    def _has_room(self, now: int, proxies: Iterable[int], messages: int) -> bool:
        if not self.is_limited:
            return True
        return all(self._recent_message_count(now, proxy) + messages <= self._cap for proxy in proxies)

    def _recent_message_count(self, now: int, proxy: int) -> int:
        """Returns how many messages a proxy was sent within the window."""
        sent_at = self._sent_at[proxy]
        while sent_at and sent_at[0] <= now - self._window_ticks:
            sent_at.popleft()
        return len(sent_at)

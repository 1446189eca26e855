"""The cap on messages to one proxy: which proxies may be sent another one now.

Messages that only improve service are spaced evenly by `pacing.UpdatePacer`, and leave one message of the cap
unused. What keeps a rule does not wait for them: it may use the whole cap, proxy by proxy.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from ..ticks import TICKS_PER_SECOND
from .settings import ChannelSettings

WRITE_DELAY_TICKS = TICKS_PER_SECOND // 2  # how much sooner than the one before a message may be written
MIN_CAP_WITH_RESERVE = 3  # a smaller cap has no message to keep back


class MessageCap:
    """Counts the messages to each proxy within the window of the cap, from its joining."""

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
        """Starts to count for a proxy that has joined."""
        self._sent_at[proxy] = deque()

    def remove_proxy(self, proxy: int) -> None:
        """Forgets a proxy that has left."""
        self._sent_at.pop(proxy, None)

    def record_messages(self, now: int, proxies: Iterable[int]) -> None:
        """One message has left to each of these proxies."""
        if self.is_limited:
            for proxy in proxies:
                self._sent_at[proxy].append(now)

    def has_no_recent_messages(self, now: int, proxy: int) -> bool:
        """Whether a proxy was sent nothing within the window."""
        return self._recent_message_count(now, proxy) == 0

    def allows(self, now: int, proxies: Iterable[int]) -> bool:
        """Whether all of these proxies may be sent a message."""
        return self._has_room(now, proxies, 1)

    def allows_with_reserve(self, now: int, proxies: Iterable[int]) -> bool:
        """Whether all of these proxies may be sent a message, and then one more that keeps a rule."""
        return self._has_room(now, proxies, 1 + self._reserve)

    def _has_room(self, now: int, proxies: Iterable[int], messages: int) -> bool:
        if not self.is_limited:
            return True
        return all(self._recent_message_count(now, proxy) + messages <= self._cap for proxy in proxies)

    def _recent_message_count(self, now: int, proxy: int) -> int:
        """How many messages it was sent within the window."""
        sent_at = self._sent_at[proxy]
        while sent_at and sent_at[0] <= now - self._window_ticks:
            sent_at.popleft()
        return len(sent_at)

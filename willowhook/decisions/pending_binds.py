"""Tracks the proxies that wait to be bound to their tables, and orders them by priority."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ..ticks import TICKS_PER_SECOND

FRESH_HEAD_START_SECONDS = 2  # a bootstrap table has few endpoints, all of which may become unusable


class BindPriority(NamedTuple):
    """Sort key of waiting proxies: longest wait first, then highest request rate.

    Attributes:
        waiting_since_second: when the proxy joined, less a head start if no controller has sent it a table.
        negative_rate: its usual requests per second, negated.
        has_earlier_table: whether another controller has sent it a table.
    """

    waiting_since_second: int
    negative_rate: float
    has_earlier_table: bool


class PendingBinds:
    """The set of proxies that wait to be bound."""

    def __init__(self) -> None:
        self._waiting: dict[int, BindPriority] = {}
        self._since: dict[int, int] = {}  # by proxy, the tick at which it started to wait

    def __contains__(self, proxy: int) -> bool:
        return proxy in self._waiting

    def __iter__(self) -> Iterator[int]:
        return iter(self._waiting)

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, now: int, proxy: int, rate_per_second: float, is_fresh: bool) -> None:
        """Adds a proxy that has joined."""
        since = now // TICKS_PER_SECOND - FRESH_HEAD_START_SECONDS * is_fresh
        self._waiting[proxy] = BindPriority(since, -rate_per_second, not is_fresh)
        self._since[proxy] = now

    def rebind_all(self, now: int, proxies: Iterable[int]) -> None:
        """Replaces the waiting proxies by these, which are to be bound again."""
        priority = BindPriority(now // TICKS_PER_SECOND, 0.0, has_earlier_table=False)
        self._waiting = dict.fromkeys(proxies, priority)
        self._since = dict.fromkeys(self._waiting, now)

    def remove(self, proxy: int) -> None:
        """Removes a proxy that was bound or has left."""
        self._waiting.pop(proxy, None)
        self._since.pop(proxy, None)

    def waited_ticks(self, now: int, proxy: int) -> int:
        """Returns how long a waiting proxy has waited."""
        return now - self._since[proxy]

    def in_order(self, *, with_earlier_table: bool) -> list[int]:
        """Returns the waiting proxies, most urgent first, with or without those with an earlier table."""
        due = [
            proxy
            for proxy, priority in self._waiting.items()
            if with_earlier_table or not priority.has_earlier_table
        ]
        due.sort(key=self._waiting.__getitem__)
        return due

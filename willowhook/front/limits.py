"""Limits on the connections and the request rate of proxies. No I/O and no clock."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Bucket:
    """A token bucket that refills at a steady rate.

    Attributes:
        tokens_per_tick: the refill rate.
        capacity: the most tokens that the bucket holds.
        tokens: the tokens at `updated_at`.
        updated_at: the tick of the last refill.
    """

    tokens_per_tick: float
    capacity: float
    tokens: float
    updated_at: int

    def take(self, now: int) -> int:
        """Takes a token and returns 0; without a token, returns the ticks until there is one."""
        self.tokens = min(self.capacity, self.tokens + self.tokens_per_tick * max(now - self.updated_at, 0))
        self.updated_at = max(now, self.updated_at)
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return math.ceil((1 - self.tokens) / self.tokens_per_tick)


class Gate:
    """Limits the number of connections, in total and for each proxy, and the request rate of each proxy.

    Attributes:
        open: the connections that are open.
        peak: the most connections that have been open at once.
        rejected: the rejected connections and requests, by the limit that rejected them.
    """

    def __init__(
        self, max_connections: int, max_proxy_connections: int, requests_per_tick: float, burst: float
    ) -> None:
        """Creates limits with no connections.

        Args:
            max_connections: the limit of all connections.
            max_proxy_connections: the limit of the connections of one proxy.
            requests_per_tick: the sustained request rate of one proxy.
            burst: the requests that one proxy may send at once.
        """
        self._max_connections, self._max_proxy_connections, self._requests_per_tick, self._burst = (
            max_connections,
            max_proxy_connections,
            requests_per_tick,
            burst,
        )
        self.open, self.peak = 0, 0
        self._proxy_connections: dict[str, int] = {}
        self._buckets: dict[str, Bucket] = {}
        self.rejected = {"connections": 0, "of one proxy": 0, "asks": 0}

    def try_open(self) -> bool:
        """Counts a new connection; returns False if there are too many."""
        if self.open >= self._max_connections:
            self.rejected["connections"] += 1
            return False
        self.open += 1
        self.peak = max(self.peak, self.open)
        return True

    def try_assign(self, proxy: str) -> bool:
        """Counts an open connection for its proxy; returns False if the proxy has too many."""
        count = self._proxy_connections.get(proxy, 0)
        if count >= self._max_proxy_connections:
            self.rejected["of one proxy"] += 1
            return False
        self._proxy_connections[proxy] = count + 1
        return True

    def release(self, proxy: str) -> None:
        """Removes a closed connection from the counts; `proxy` is empty if it was never assigned to one."""
        self.open -= 1
        count = self._proxy_connections.get(proxy, 0) - 1
        if count > 0:
            self._proxy_connections[proxy] = count
        else:
            self._proxy_connections.pop(proxy, None)

    def acquire(self, now: int, proxy: str) -> int:
        """Admits a request of a proxy and returns 0, or returns the ticks after which it may retry."""
        bucket = self._buckets.get(proxy)
        if bucket is None:
            self._remove_full_buckets(now)
            bucket = self._buckets[proxy] = Bucket(self._requests_per_tick, self._burst, self._burst, now)
        wait = bucket.take(now)
        if wait:
            self.rejected["asks"] += 1
        return wait

    def _remove_full_buckets(self, now: int) -> None:
        """Once there are many buckets, drops those that have refilled: a new bucket starts full too."""
        if len(self._buckets) > 2 * self._max_connections:
            refill_ticks = self._burst / self._requests_per_tick
            self._buckets = {
                name: bucket
                for name, bucket in self._buckets.items()
                if now - bucket.updated_at < refill_ticks
            }

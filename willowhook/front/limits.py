"""What one caller, and all callers, may ask of the front.  No I/O and no clock."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Bucket:
    """Tokens that come back at a steady rate."""

    rate: float  # a tick
    most: float
    level: float
    at: int

    def take(self, now: int) -> int:
        """0 if there was one; otherwise in how many ticks there will be."""
        self.level = min(self.most, self.level + self.rate * max(now - self.at, 0))
        self.at = max(now, self.at)
        if self.level >= 1:
            self.level -= 1
            return 0
        return math.ceil((1 - self.level) / self.rate)


class Gate:
    """Counts connections, of all and of each proxy, and bounds how often one asks."""

    def __init__(self, most: int, most_of_one: int, rate: float, burst: float) -> None:
        """`rate`: asks a tick that one proxy may make; `burst`: as many at once."""
        self._most, self._most_of_one, self._rate, self._burst = most, most_of_one, rate, burst
        self.open, self.peak = 0, 0
        self._of: dict[str, int] = {}
        self._buckets: dict[str, Bucket] = {}
        self.turned_away = {"connections": 0, "of one proxy": 0, "asks": 0}

    def opened(self) -> bool:
        """A connection is there; whether it may stay."""
        if self.open >= self._most:
            self.turned_away["connections"] += 1
            return False
        self.open += 1
        self.peak = max(self.peak, self.open)
        return True

    def named(self, proxy: str) -> bool:
        """It has said whose it is; whether that proxy may have one more."""
        count = self._of.get(proxy, 0)
        if count >= self._most_of_one:
            self.turned_away["of one proxy"] += 1
            return False
        self._of[proxy] = count + 1
        return True

    def closed(self, proxy: str) -> None:
        """`proxy`: '' if it had not said whose it was."""
        self.open -= 1
        count = self._of.get(proxy, 0) - 1
        if count > 0:
            self._of[proxy] = count
        else:
            self._of.pop(proxy, None)

    def asks(self, now: int, proxy: str) -> int:
        """0 if it may ask now; otherwise in how many ticks."""
        bucket = self._buckets.get(proxy)
        if bucket is None:
            self._sweep(now)
            bucket = self._buckets[proxy] = Bucket(self._rate, self._burst, self._burst, now)
        wait = bucket.take(now)
        if wait:
            self.turned_away["asks"] += 1
        return wait

    def _sweep(self, now: int) -> None:
        """Buckets that have been full for long are as good as none."""
        if len(self._buckets) > 2 * self._most:
            full = self._burst / self._rate
            self._buckets = {name: b for name, b in self._buckets.items() if now - b.at < full}

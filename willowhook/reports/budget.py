"""How many reports may be looked at now, and how often proxies should report.

Two buckets, of reports at the stated rate and of time at the stated share: what is over waits, and is sampled
where it waits.  The interval that proxies are asked for rises as soon as more come than fit, by what is
missing, and falls by small steps when there is room for long: proxies that change their pace together would
otherwise swing.
"""

from __future__ import annotations

from collections.abc import Callable

from ..ticks import TICKS_PER_SECOND

LONGEST_TURN = TICKS_PER_SECOND // 20  # of time that may be saved up
TARGET = 0.8  # of the rate, that reports at the asked interval should take
STEP, LOOK = 0.8, 2 * TICKS_PER_SECOND  # one change, and how long there must have been room before one down
CLOSE = 1.1  # a change under a tenth is not told


class Budget:
    def __init__(
        self, per_s: float, share: float, every: int, most: int, told: Callable[[int], None]
    ) -> None:
        """`share`: of all time; `every`: the interval that proxies have by themselves, `most`: the longest
        that may be asked for; `told(interval)`: it is another one.
        """
        self._rate, self._every, self._told = per_s / TICKS_PER_SECOND, every, told
        self._longest = float(max(most, every))
        self._most = max(2.0, per_s / 10)  # a tenth of a second of work may be done on end
        self._tokens, self._at = self._most, -1
        self._share, self._time = share, float(LONGEST_TURN)
        self.interval = every
        self._room_since = -1

    def spend(self, now: int, count: int) -> bool:
        """Whether so many may be looked at."""
        if self._at >= 0:
            passed = now - self._at
            self._tokens = min(self._most, self._tokens + passed * self._rate)
            self._time = min(LONGEST_TURN, self._time + passed * self._share)
        self._at = now
        if self._tokens < 1 or self._time <= 0:
            return False
        self._tokens -= count
        return True

    def took(self, time: float) -> None:
        """So long was looked at what was allowed."""
        self._time -= time

    def look(self, now: int, came_per_s: float, proxies: int, each: float = 0.0) -> None:
        """Once in a while: how many came, from how many, and how long one takes."""
        able = self._rate * TICKS_PER_SECOND
        if each > 0:
            able = min(able, self._share * TICKS_PER_SECOND / each)
        wanted = proxies / (able * TARGET) * TICKS_PER_SECOND
        interval = float(min(max(wanted, self._every), self._longest))
        if came_per_s > able and interval <= self.interval:
            # more come than these proxies should send: some are faster than they were asked to be
            interval = min(self.interval / STEP, self._longest)
        if interval > self.interval * CLOSE:
            self._room_since = -1
            self._change(interval)
        elif self._falls(interval) and came_per_s <= able * TARGET:
            if self._room_since < 0:
                self._room_since = now
            elif now - self._room_since >= LOOK:
                self._room_since = now
                self._change(max(interval, self.interval * STEP))
        else:
            self._room_since = -1

    def _falls(self, interval: float) -> bool:
        return interval * CLOSE < self.interval or interval <= self._every < self.interval

    def _change(self, interval: float) -> None:
        self.interval = round(interval)
        self._told(self.interval)

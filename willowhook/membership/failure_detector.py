"""An accrual failure detector: how likely a silent peer is gone, by how regular its heartbeats were.

The suspicion is minus the logarithm of the chance that a heartbeat comes this late, with intervals taken as
normally distributed and a floor for their spread. Two bounds on the silence stand beside it. Times are in any
one unit.
"""

from __future__ import annotations

import math
from collections import deque

SUSPICION_THRESHOLD = 8.0
KEPT_INTERVALS = 64
MIN_INTERVALS = 4  # with fewer, the announced interval replaces the measured mean
MIN_CHANCE = 1e-300  # a floor under the probability that keeps its logarithm finite
MIN_SPREAD_DIVISOR = 5  # the spread is at least the announced interval divided by this
ASSUMED_SPREAD_DIVISOR = 2  # with fewer intervals, the announced interval divided by this is the spread


class FailureDetector:
    """Watches the heartbeats of one peer."""

    def __init__(
        self,
        interval: float,
        min_silence: float,
        max_silence: float,
        threshold: float = SUSPICION_THRESHOLD,
        kept: int = KEPT_INTERVALS,
    ) -> None:
        """Watches a peer that announced this interval between heartbeats.

        It is never suspected up to `min_silence`, always from `max_silence` on, in between from
        `threshold` on. The last `kept` intervals count.
        """
        self._interval = interval
        self._min_silence = min_silence
        self._max_silence = max_silence
        self._threshold = threshold
        self._gaps: deque[float] = deque(maxlen=kept)
        self._sum = 0.0
        self._squares = 0.0
        self._last: float | None = None

    def record_heartbeat(self, now: float) -> None:
        """Notes a heartbeat."""
        if self._last is not None and now > self._last:
            self._add_gap(min(now - self._last, self._max_silence))
        self._last = now

    def suspicion(self, now: float) -> float:
        """0 or more; with each 1 more the chance that the peer is still there is a tenth."""
        if self._last is None:
            return 0.0
        silence = now - self._last
        count = len(self._gaps)
        if count >= MIN_INTERVALS:
            mean = self._sum / count
            spread = math.sqrt(max(self._squares / count - mean * mean, 0.0))
        else:
            mean = self._interval
            spread = self._interval / ASSUMED_SPREAD_DIVISOR
        spread = max(spread, self._interval / MIN_SPREAD_DIVISOR)
        chance = math.erfc((silence - mean) / spread / math.sqrt(2)) / 2
        return -math.log10(max(chance, MIN_CHANCE))

    def is_suspected(self, now: float) -> bool:
        """Whether the peer counts as gone; one that was never there does not."""
        if self._last is None:
            return False
        silence = now - self._last
        if silence <= self._min_silence:
            return False
        return silence >= self._max_silence or self.suspicion(now) >= self._threshold

    def _add_gap(self, gap: float) -> None:
        if len(self._gaps) == self._gaps.maxlen:
            oldest = self._gaps[0]
            self._sum -= oldest
            self._squares -= oldest * oldest
        self._gaps.append(gap)
        self._sum += gap
        self._squares += gap * gap

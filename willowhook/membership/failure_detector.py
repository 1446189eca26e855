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
LEAST_INTERVALS = 4  # below it the announced interval stands for the mean
LEAST_CHANCE = 1e-300  # of a heartbeat to come, to keep the logarithm finite
LEAST_SPREAD = 5  # the announced interval has so many of it
ASSUMED_SPREAD = 2  # the announced interval has so many of it, where too few heartbeats were seen


class FailureDetector:
    """Watches the heartbeats of one peer."""

    def __init__(
        self,
        interval: float,
        least_silence: float,
        most_silence: float,
        threshold: float = SUSPICION_THRESHOLD,
        kept: int = KEPT_INTERVALS,
    ) -> None:
        """Watches a peer that announced this interval between heartbeats.

        It is never suspected up to `least_silence`, always from `most_silence` on, in between from
        `threshold` on. The last `kept` intervals count.
        """
        self._interval = interval
        self._least_silence = least_silence
        self._most_silence = most_silence
        self._threshold = threshold
        self._gaps: deque[float] = deque(maxlen=kept)
        self._sum = 0.0
        self._squares = 0.0
        self._last: float | None = None

    def record_heartbeat(self, now: float) -> None:
        """Notes a heartbeat."""
        if self._last is not None and now > self._last:
            self._add_gap(min(now - self._last, self._most_silence))
        self._last = now

    def suspicion(self, now: float) -> float:
        """0 or more; with each 1 more the chance that the peer is still there is a tenth."""
        if self._last is None:
            return 0.0
        silence = now - self._last
        count = len(self._gaps)
        if count >= LEAST_INTERVALS:
            mean = self._sum / count
            spread = math.sqrt(max(self._squares / count - mean * mean, 0.0))
        else:
            mean = self._interval
            spread = self._interval / ASSUMED_SPREAD
        spread = max(spread, self._interval / LEAST_SPREAD)
        chance = math.erfc((silence - mean) / spread / math.sqrt(2)) / 2
        return -math.log10(max(chance, LEAST_CHANCE))

    def is_suspected(self, now: float) -> bool:
        """Whether the peer counts as gone; one that was never there does not."""
        if self._last is None:
            return False
        silence = now - self._last
        if silence <= self._least_silence:
            return False
        return silence >= self._most_silence or self.suspicion(now) >= self._threshold

    def _add_gap(self, gap: float) -> None:
        if len(self._gaps) == self._gaps.maxlen:
            oldest = self._gaps[0]
            self._sum -= oldest
            self._squares -= oldest * oldest
        self._gaps.append(gap)
        self._sum += gap
        self._squares += gap * gap

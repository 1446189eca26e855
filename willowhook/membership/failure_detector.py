"""An accrual failure detector: how likely a silent peer has failed, given how regular its heartbeats were.

The suspicion is the negative decimal logarithm of the probability that a heartbeat comes this late. Intervals
are assumed to be normally distributed, and their standard deviation has a lower bound. A minimum and a
maximum silence limit the result. Times are in any one unit.
"""

from __future__ import annotations

import math
from collections import deque

SUSPICION_THRESHOLD = 8.0
KEPT_INTERVALS = 64
MIN_INTERVALS = 4  # with fewer, the announced interval replaces the measured mean
MIN_PROBABILITY = 1e-300  # keeps the logarithm finite
MIN_DEVIATION_DIVISOR = 5  # the deviation is at least the announced interval divided by this
# With fewer than MIN_INTERVALS, the deviation is the announced interval divided by this.
ASSUMED_DEVIATION_DIVISOR = 2


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

        The peer is never suspected up to a silence of `min_silence` and always from `max_silence` on. In
        between it is suspected if the suspicion reaches `threshold`. The last `kept` intervals count.
        """
        self._interval = interval
        self._min_silence = min_silence
        self._max_silence = max_silence
        self._threshold = threshold
        self._intervals: deque[float] = deque(maxlen=kept)
        self._sum = 0.0
        self._sum_of_squares = 0.0
        self._last_heartbeat_at: float | None = None

    def record_heartbeat(self, now: float) -> None:
        """Records a heartbeat."""
        if self._last_heartbeat_at is not None and now > self._last_heartbeat_at:
            self._add_interval(min(now - self._last_heartbeat_at, self._max_silence))
        self._last_heartbeat_at = now

    def suspicion(self, now: float) -> float:
        """Returns 0 or more; each increase by 1 divides the probability that the peer is alive by ten."""
        if self._last_heartbeat_at is None:
            return 0.0
        silence = now - self._last_heartbeat_at
        count = len(self._intervals)
        if count >= MIN_INTERVALS:
            mean = self._sum / count
            deviation = math.sqrt(max(self._sum_of_squares / count - mean * mean, 0.0))
        else:
            mean = self._interval
            deviation = self._interval / ASSUMED_DEVIATION_DIVISOR
        deviation = max(deviation, self._interval / MIN_DEVIATION_DIVISOR)
        probability = math.erfc((silence - mean) / deviation / math.sqrt(2)) / 2
        return -math.log10(max(probability, MIN_PROBABILITY))

    def is_suspected(self, now: float) -> bool:
        """Returns whether the peer counts as failed; a peer that never sent a heartbeat does not."""
        if self._last_heartbeat_at is None:
            return False
        silence = now - self._last_heartbeat_at
        if silence <= self._min_silence:
            return False
        return silence >= self._max_silence or self.suspicion(now) >= self._threshold

    def _add_interval(self, interval: float) -> None:
        if len(self._intervals) == self._intervals.maxlen:
            oldest = self._intervals[0]
            self._sum -= oldest
            self._sum_of_squares -= oldest * oldest
        self._intervals.append(interval)
        self._sum += interval
        self._sum_of_squares += interval * interval

"""Sums with exponential decay: attempts a half-life ago count half, whatever the order of arrival.

An exponential is the one decay for which a sum of any age needs one figure and one time, and for which late
and out-of-order windows come to the same: each is brought to the sum's own time and added. A ring of buckets
is only exact to a bucket, and costs one read a bucket. Times are ticks.
"""

from __future__ import annotations

import math

LN2 = math.log(2)
HALF_LIVES_TO_LANDMARK = 100  # then it moves
MIN_WINDOW = 1e-6  # of a half-life; below it a window is a point in time


class Decay:
    """The weight of what happened some time ago."""

    def __init__(self, half_life: int) -> None:
        """What is `half_life` old counts half."""
        self.half_life = half_life

    def weight(self, age: float) -> float:
        """The weight at this age; what lies ahead, as clocks differ, counts once."""
        return 1.0 if age <= 0 else float(2.0 ** (-age / self.half_life))

    def mean_weight(self, older: float, younger: float) -> float:
        """The mean weight over a window between these ages, through which things happened evenly."""
        older = max(older, 0.0)
        younger = max(younger, 0.0)
        if older - younger < MIN_WINDOW * self.half_life:
            return self.weight(younger)
        difference = self.weight(younger) - self.weight(older)
        return difference * self.half_life / (LN2 * (older - younger))


class ForwardDecay:
    """Sums that decay together, kept as they count at one landmark in time.

    Adding is a multiplication by what is the same for all figures of a report, and nothing is touched as time
    goes on (Cormode, Shkapenyuk, Srivastava and Xu, Forward decay, 2009). A figure `x` of a window is kept as
    `x * gain(since, until)`; what is kept counts `scale(now)` times now.
    """

    def __init__(self, half_life: int) -> None:
        """Sets the landmark by the first window."""
        self._decay = Decay(half_life)
        self._half_life = half_life
        self._landmark: int | None = None

    def gain(self, since: int, until: int) -> float:
        """What figures of this window are multiplied by as they are added."""
        if self._landmark is None:
            self._landmark = until
        lift = 2.0 ** ((until - self._landmark) / self._half_life)
        return float(lift * self._decay.mean_weight(until - since, 0))

    def scale(self, now: int) -> float:
        """What the kept sums are multiplied by to count as of now."""
        if self._landmark is None:
            return 0.0
        return float(2.0 ** ((self._landmark - now) / self._half_life))

    def move_landmark(self, now: int) -> float:
        """Moves the landmark when it is far away; what all kept sums must be multiplied by, 1: it stays.

        Without it the gains would grow without end.
        """
        if self._landmark is None or now - self._landmark < HALF_LIVES_TO_LANDMARK * self._half_life:
            return 1.0
        factor = self.scale(now)
        self._landmark = now
        return factor

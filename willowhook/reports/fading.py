"""Sums with exponential decay: attempts a half-life ago count half, in whatever order they arrive.

With exponential decay, and no other, a sum needs one number and one time, and late or out-of-order windows
give the same result: each is scaled to the time of the sum and added. A ring of buckets would be exact only
to the width of a bucket, and would cost one read for each bucket. Times are ticks.
"""

from __future__ import annotations

import math

LN2 = math.log(2)
HALF_LIVES_TO_LANDMARK = 100  # age at which the landmark moves
MIN_WINDOW = 1e-6  # half-lives; a shorter window counts as a point in time


class Decay:
    """The weight of past events by their age."""

    def __init__(self, half_life: int) -> None:
        """Events that are `half_life` ticks old count half."""
        self.half_life = half_life

    def weight(self, age: float) -> float:
        """The weight at this age; 1 for times in the future, which occur as clocks differ."""
        return 1.0 if age <= 0 else float(2.0 ** (-age / self.half_life))

    def mean_weight(self, older: float, younger: float) -> float:
        """The mean weight of events spread evenly over the window between these ages."""
        older = max(older, 0.0)
        younger = max(younger, 0.0)
        if older - younger < MIN_WINDOW * self.half_life:
            return self.weight(younger)
        difference = self.weight(younger) - self.weight(older)
        return difference * self.half_life / (LN2 * (older - younger))


class ForwardDecay:
    """Sums that decay together, stored at the scale of one reference time, the landmark.

    Adding multiplies all values of a report by the same factor, and stored sums need no update as time passes
    (Cormode, Shkapenyuk, Srivastava and Xu, Forward decay, 2009). A value `x` of a window is stored as
    `x * gain(since, until)`; a stored sum times `scale(now)` is its decayed value.
    """

    def __init__(self, half_life: int) -> None:
        """Creates it without a landmark, which the first window sets."""
        self._decay = Decay(half_life)
        self._half_life = half_life
        self._landmark: int | None = None

    def gain(self, since: int, until: int) -> float:
        """The factor for values of this window when they are added to the stored sums."""
        if self._landmark is None:
            self._landmark = until
        growth = 2.0 ** ((until - self._landmark) / self._half_life)
        return float(growth * self._decay.mean_weight(until - since, 0))

    def scale(self, now: int) -> float:
        """The factor from stored sums to their decayed values at `now`."""
        if self._landmark is None:
            return 0.0
        return float(2.0 ** ((self._landmark - now) / self._half_life))

    def move_landmark(self, now: int) -> float:
        """Moves the landmark to `now` if it is too old, as gains would otherwise grow without bound.

        Returns the factor by which all stored sums must be multiplied; 1 if the landmark did not move.
        """
        if self._landmark is None or now - self._landmark < HALF_LIVES_TO_LANDMARK * self._half_life:
            return 1.0
        factor = self.scale(now)
        self._landmark = now
        return factor

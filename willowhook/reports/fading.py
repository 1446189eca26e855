"""Sums that fade: what happened a half-life ago counts half, whatever the order of arrival.

An exponential is the one rate of fading for which a sum of any age needs one figure and one time, and for
which late and out-of-order windows come to the same: each is brought to the sum's own time and added.  A ring
of buckets is only exact to a bucket, and costs one read a bucket.
"""

from __future__ import annotations

import math

LN2 = math.log(2)
FAR = 100  # half-lives until the landmark moves


class Fading:
    """`half`: in tenths of a millisecond, as all times."""

    def __init__(self, half: int) -> None:
        self.half = half

    def of(self, age: float) -> float:
        """What counts of something that old; what lies ahead (clocks that differ) counts once."""
        return 1.0 if age <= 0 else float(2.0 ** (-age / self.half))

    def over(self, older: float, younger: float) -> float:
        """The mean over a window, from `older` to `younger` ago, through which it came evenly."""
        older, younger = max(older, 0.0), max(younger, 0.0)
        if older - younger < 1e-6 * self.half:
            return self.of(younger)
        return (self.of(younger) - self.of(older)) * self.half / (LN2 * (older - younger))


class Landmark:
    """Sums that fade together, kept as they will count at one far moment: adding is a multiplication by what
    is the same for all figures of a report, and nothing is touched as time goes on (Cormode, Shkapenyuk,
    Srivastava and Xu, Forward decay, 2009).

    A figure `x` of a window is kept as `x * gain(since, until)`; `at(now)` times what is kept counts now.
    """

    def __init__(self, half: int) -> None:
        self._fading, self._half, self._mark = Fading(half), half, -1

    def gain(self, since: int, until: int) -> float:
        if self._mark < 0:
            self._mark = until
        lift = 2.0 ** ((until - self._mark) / self._half)
        return float(lift * self._fading.over(until - since, 0))

    def at(self, now: int) -> float:
        return float(2.0 ** ((self._mark - now) / self._half)) if self._mark >= 0 else 0.0

    def move(self, now: int) -> float:
        """What all that is kept must be multiplied by now, so that no figure grows without end."""
        if self._mark < 0 or now - self._mark < FAR * self._half:
            return 1.0
        factor, self._mark = self.at(now), now
        return factor

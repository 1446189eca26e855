"""Sums that fade: what happened a half-life ago counts half, whatever the order of arrival.

An exponential is the one rate of fading for which a sum of any age needs one figure and one time, and for
which late and out-of-order windows come to the same: each is brought to the sum's own time and added.  A ring
of buckets is only exact to a bucket, and costs one read a bucket.
"""

from __future__ import annotations

import math

LN2 = math.log(2)


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


class Sum:
    """Several figures that fade together.  Times may come in any order."""

    __slots__ = ("at", "values")

    def __init__(self, fields: int) -> None:
        self.at, self.values = 0, [0.0] * fields

    def add(self, fading: Fading, now: int, since: int, until: int, *values: float) -> None:
        """What came evenly from `since` to `until`."""
        if now > self.at:
            factor = 2.0 ** (-(now - self.at) / fading.half) if self.at else 0.0
            self.values = [value * factor for value in self.values]
            self.at = now
        # as it counts at the sum's own time, which may be after `now` where calls come out of order
        share = fading.over(self.at - since, self.at - until)
        for k, value in enumerate(values):
            self.values[k] += value * share

    def total(self, fading: Fading, now: int) -> list[float]:
        factor = fading.of(now - self.at)
        return [value * factor for value in self.values]

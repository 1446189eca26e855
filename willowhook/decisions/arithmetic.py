"""Two figures that the standard library lacks: the weighted median, and an even allowance."""

from __future__ import annotations

from itertools import accumulate


def weighted_median(rows: list[tuple[float, float]]) -> float:
    """The median of (value, weight) rows. There must be at least one."""
    ordered = sorted(rows)
    half = sum(weight for _, weight in ordered) / 2
    reached = accumulate(weight for _, weight in ordered)
    return next(value for (value, _), so_far in zip(ordered, reached, strict=True) if so_far >= half)


def even_allowance(values: list[float], fraction: float) -> float:
    """The allowance for each at which this fraction of the sum of all values is left.

    Values under the allowance stay whole, so the larger ones carry the cut (water filling). 0.0 if there
    are no values.
    """
    left = fraction * sum(values)
    ordered = sorted(values)
    for index, value in enumerate(ordered):
        remaining = len(ordered) - index
        if value * remaining >= left:
            return left / remaining
        left -= value
    return ordered[-1] * fraction if ordered else 0.0

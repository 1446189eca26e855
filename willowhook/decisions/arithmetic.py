"""Weighted median and max-min fair allowance (water filling)."""

from __future__ import annotations

from itertools import accumulate


def weighted_median(weighted_values: list[tuple[float, float]]) -> float:
    """Returns the weighted median of (value, weight) pairs; raises `StopIteration` if there are none."""
    ordered = sorted(weighted_values)
    half = sum(weight for _, weight in ordered) / 2
    cumulative_weights = accumulate(weight for _, weight in ordered)
    return next(
        value for (value, _), so_far in zip(ordered, cumulative_weights, strict=True) if so_far >= half
    )


def even_allowance(values: list[float], fraction: float) -> float:
    """Returns the maximum per value at which this fraction of the sum of all values remains.

    Values below the allowance are not reduced; only larger ones are limited to it (max-min fairness, by water
    filling). Returns 0.0 if there are no values.
    """
    remaining_sum = fraction * sum(values)
    ordered = sorted(values)
    for index, value in enumerate(ordered):
        remaining_count = len(ordered) - index
        if value * remaining_count >= remaining_sum:
            return remaining_sum / remaining_count
        remaining_sum -= value
    return ordered[-1] * fraction if ordered else 0.0

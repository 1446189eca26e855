"""Tests of the weighted median and the even allowance, against their definitions."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.decisions.arithmetic import even_allowance, weighted_median

VALUES = st.integers(0, 20).map(float)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(VALUES, st.integers(1, 9).map(float)), min_size=1, max_size=12))
def test_weighted_median_is_the_least_value_that_half_of_the_weight_does_not_exceed(
    rows: list[tuple[float, float]],
) -> None:
    total = sum(weight for _, weight in rows)
    covering = [
        value for value, _ in rows if 2 * sum(weight for other, weight in rows if other <= value) >= total
    ]
    assert weighted_median(rows) == min(covering)


def test_weighted_median_of_no_values_raises() -> None:
    with pytest.raises(StopIteration):
        weighted_median([])


@settings(derandomize=True, deadline=None)
@given(st.lists(VALUES, min_size=1, max_size=12), st.floats(0, 1))
def test_even_allowance_leaves_the_fraction_of_the_sum(values: list[float], fraction: float) -> None:
    allowance = even_allowance(values, fraction)
    left = sum(min(value, allowance) for value in values)
    assert left == pytest.approx(fraction * sum(values))


@settings(derandomize=True, deadline=None)
@given(st.lists(VALUES, max_size=12), st.floats(1, 3))
def test_even_allowance_of_the_whole_sum_or_more_cuts_nothing(values: list[float], fraction: float) -> None:
    assert even_allowance(values, fraction) >= max(values, default=0.0) * (1 - 1e-9)


def test_even_allowance_without_values_is_zero() -> None:
    assert even_allowance([], 0.5) == 0.0

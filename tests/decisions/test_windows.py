"""Tests of windowed sums and interval histories, against all values that were added."""

from __future__ import annotations

from itertools import accumulate

from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.decisions.windows import IntervalHistory, WindowedSums

BUCKET_TICKS, BUCKETS = 10, 4


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 25), st.integers(0, 9)), max_size=30),
    st.integers(0, 60),
    st.integers(1, BUCKETS),
    st.integers(0, BUCKETS - 1),
)
def test_windowed_total_is_the_sum_over_the_buckets_asked_for(
    steps: list[tuple[int, int]], wait: int, buckets: int, skip: int
) -> None:
    buckets = min(buckets, BUCKETS - skip)
    times = list(accumulate(pause for pause, _ in steps))
    values = [value for _, value in steps]
    sums = WindowedSums(BUCKET_TICKS, BUCKETS, 2)
    for now, value in zip(times, values, strict=True):
        sums.add(now, value, 1)
    now = max(times, default=0) + wait
    newest = now // BUCKET_TICKS - skip
    found = [
        value
        for time, value in zip(times, values, strict=True)
        if newest - buckets < time // BUCKET_TICKS <= newest
    ]
    assert sums.total(now, buckets, skip) == [sum(found), len(found)]


def test_windowed_sums_after_clear_are_zero() -> None:
    sums = WindowedSums(BUCKET_TICKS, BUCKETS, 1)
    sums.add(5, 3.0)
    sums.clear()
    assert sums.total(5, BUCKETS) == [0.0]


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 9), max_size=20), st.integers(0, 3))
def test_interval_history_reads_the_recorded_value_or_the_initial_one(values: list[int], back: int) -> None:
    history = IntervalHistory(BUCKET_TICKS, BUCKETS, -1.0)
    for interval, value in enumerate(values):
        history.record(interval * BUCKET_TICKS, value)
    now = (len(values) - 1) * BUCKET_TICKS + 9
    expected = values[-1 - back] if back < len(values) else -1.0
    assert history.at(now, -back) == expected

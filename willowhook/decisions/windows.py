"""Time series: sums over a sliding window, and one value per interval. Callers pass the time, in ticks."""

from __future__ import annotations


class WindowedSums:
    """Sums of several values over a sliding window, in time buckets of fixed length.

    Args:
        bucket_ticks: length of a bucket.
        buckets: number of buckets kept.
        fields: number of values passed to each `add`.
    """

    def __init__(self, bucket_ticks: int, buckets: int, fields: int) -> None:
        self._bucket_ticks = bucket_ticks
        self._buckets = buckets
        self._zeros = [0.0] * fields
        self.clear()

    def clear(self) -> None:
        """Resets all sums to zero."""
        self._stamped_sums: list[tuple[int | None, list[float]]] = [(None, self._zeros)] * self._buckets

    def add(self, now: int, *values: float) -> None:
        """Adds values to the bucket of `now`."""
        stamp = now // self._bucket_ticks
        stored_stamp, sums = self._stamped_sums[stamp % self._buckets]
        base_sums = sums if stored_stamp == stamp else self._zeros
        new_sums = [old + value for old, value in zip(base_sums, values, strict=True)]
        self._stamped_sums[stamp % self._buckets] = (stamp, new_sums)

    def total(self, now: int, buckets: int, skip: int = 0) -> list[float]:
        """Returns the sums over `buckets` buckets, after leaving out the newest `skip` buckets."""
        last = now // self._bucket_ticks - skip
        kept = [
            sums for stamp, sums in self._stamped_sums if stamp is not None and last - buckets < stamp <= last
        ]
        return [sum(column) for column in zip(*kept, strict=True)] if kept else self._zeros


class IntervalHistory:
    """One value per interval, for the last `length` intervals.

    Args:
        interval_ticks: length of an interval.
        length: number of intervals kept; reading an older one returns the value of one of these.
        initial: value of an interval that has not been recorded.
    """

    def __init__(self, interval_ticks: int, length: int, initial: float) -> None:
        self._interval_ticks = interval_ticks
        self._values = [initial] * length

    def record(self, now: int, value: float) -> None:
        """Sets the value of the interval of `now`."""
        self._values[self._index(now, 0)] = value

    def at(self, now: int, offset: int = 0) -> float:
        """Returns the value of the interval `offset` intervals after that of `now`."""
        return self._values[self._index(now, offset)]

    def _index(self, now: int, offset: int) -> int:
        return (now // self._interval_ticks + offset) % len(self._values)

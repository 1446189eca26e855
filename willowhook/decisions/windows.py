"""Figures by time: sums over a sliding window, and values by interval. No clock; times are ticks."""

from __future__ import annotations


class WindowedSums:
    """Sums of several values over a sliding window, in fixed buckets of time.

    Args:
        bucket_ticks: the length of a bucket.
        buckets: how many are kept.
        fields: how many values each `add` brings.
    """

    def __init__(self, bucket_ticks: int, buckets: int, fields: int) -> None:
        self._bucket_ticks = bucket_ticks
        self._buckets = buckets
        self._zeros = [0.0] * fields
        self.clear()

    def clear(self) -> None:
        """Forgets everything."""
        self._rows: list[tuple[int | None, list[float]]] = [(None, self._zeros)] * self._buckets

    def add(self, now: int, *values: float) -> None:
        """Adds these values to the bucket of `now`."""
        stamp = now // self._bucket_ticks
        found, sums = self._rows[stamp % self._buckets]
        base = sums if found == stamp else self._zeros
        added = [old + value for old, value in zip(base, values, strict=True)]
        self._rows[stamp % self._buckets] = (stamp, added)

    def total(self, now: int, buckets: int, skip: int = 0) -> list[float]:
        """The sums over the last `buckets` buckets, the newest `skip` of them left out."""
        last = now // self._bucket_ticks - skip
        kept = [sums for stamp, sums in self._rows if stamp is not None and last - buckets < stamp <= last]
        return [sum(column) for column in zip(*kept, strict=True)] if kept else self._zeros


class IntervalHistory:
    """One value an interval, for the last `length` intervals.

    Args:
        interval_ticks: the length of an interval.
        length: how many intervals are kept; an older one reads as one of these.
        initial: what an interval reads before it was recorded.
    """

    def __init__(self, interval_ticks: int, length: int, initial: float) -> None:
        self._interval_ticks = interval_ticks
        self._values = [initial] * length

    def record(self, now: int, value: float) -> None:
        """Sets the value of the interval of `now`."""
        self._values[self._index(now, 0)] = value

    def at(self, now: int, offset: int = 0) -> float:
        """The value of the interval that lies `offset` intervals after that of `now`."""
        return self._values[self._index(now, offset)]

    def _index(self, now: int, offset: int) -> int:
        return (now // self._interval_ticks + offset) % len(self._values)

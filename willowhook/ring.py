"""Sums over recent time, and the middle of weighted values: arithmetic, no decisions."""

from __future__ import annotations

from itertools import accumulate


class Ring:
    """Sums in fixed buckets of time, used again in a ring."""

    def __init__(self, width: int, buckets: int, fields: int) -> None:
        self.width, self.buckets, self.nothing = width, buckets, [0.0] * fields
        self.forget()

    def forget(self) -> None:
        self.rows = [(-1, self.nothing)] * self.buckets

    def add(self, now: int, *values: float) -> None:
        stamp = now // self.width
        at, sums = self.rows[stamp % self.buckets]
        old = sums if at == stamp else self.nothing
        self.rows[stamp % self.buckets] = (stamp, [a + b for a, b in zip(old, values, strict=True)])

    def total(self, now: int, buckets: int, back: int = 0) -> list[float]:
        last = now // self.width - back
        kept = [sums for at, sums in self.rows if last - buckets < at <= last]
        return [sum(column) for column in zip(*kept, strict=True)] if kept else self.nothing


def middle(rows: list[tuple[float, float]]) -> float:
    """The median of values by weight; there must be one."""
    rows, half = sorted(rows), sum(weight for _, weight in rows) / 2
    reached = accumulate(weight for _, weight in rows)
    return next(value for (value, _), so_far in zip(rows, reached, strict=True) if so_far >= half)

"""The times at which a controller has asked for an evaluation, for every server that runs a controller."""

from __future__ import annotations

import heapq
from typing import Protocol


class TickClock(Protocol):
    """A clock that counts in ticks and never goes back."""

    def now(self) -> int:
        """The present time in ticks."""


class EvaluationTimer:
    """Holds the times of future evaluations, in ticks of the clock.

    Args:
        clock: the clock that delays are counted on.
    """

    def __init__(self, clock: TickClock) -> None:
        self._clock = clock
        self._due_at: list[int] = []  # a heap: the earliest time is the first element

    def schedule(self, delay_ticks: int) -> None:
        """Adds the time that lies `delay_ticks` after the present; a negative delay counts as 0."""
        heapq.heappush(self._due_at, self._clock.now() + max(delay_ticks, 0))

    def next_due(self) -> int | None:
        """The earliest scheduled time, which may have passed; None if no evaluation is scheduled."""
        return self._due_at[0] if self._due_at else None

    def pop_due(self, now: int) -> bool:
        """Removes the earliest time if it is not later than `now`; returns whether it did."""
        if not self._due_at or self._due_at[0] > now:
            return False
        heapq.heappop(self._due_at)
        return True

"""Schedules the evaluations that a controller requests, for every server that runs a controller."""

from __future__ import annotations

import heapq
from typing import Protocol


class TickClock(Protocol):
    """A clock that counts in ticks and never goes back."""

    def now(self) -> int:
        """The current time in ticks."""


class EvaluationTimer:
    """Holds the times of scheduled evaluations, in ticks of the clock.

    Args:
        clock: the clock that delays are relative to.
    """

    def __init__(self, clock: TickClock) -> None:
        self._clock = clock
        self._due_times: list[int] = []  # a heap: the earliest time is the first element

    def schedule(self, delay_ticks: int) -> None:
        """Schedules an evaluation `delay_ticks` from now; a negative delay counts as 0."""
        heapq.heappush(self._due_times, self._clock.now() + max(delay_ticks, 0))

    def next_due(self) -> int | None:
        """The earliest scheduled time, which may be in the past; None if no evaluation is scheduled."""
        return self._due_times[0] if self._due_times else None

    def pop_due(self, now: int) -> bool:
        """Removes the earliest time if it is not later than `now`; returns whether it did."""
        if not self._due_times or self._due_times[0] > now:
            return False
        heapq.heappop(self._due_times)
        return True

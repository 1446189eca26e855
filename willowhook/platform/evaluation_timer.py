"""The times at which the controller has asked for an evaluation."""

from __future__ import annotations

import heapq

from .clock import Clock


class EvaluationTimer:
    """Keeps the times that are to come, the earliest first."""

    def __init__(self, clock: Clock) -> None:
        """Starts with no time."""
        self._clock = clock
        self._due_at: list[int] = []  # in ticks; a heap

    def schedule(self, delay_ticks: int) -> None:
        """Adds the time that comes after a delay."""
        heapq.heappush(self._due_at, self._clock.now() + max(delay_ticks, 0))

    def ticks_until_next(self) -> int | None:
        """How long it is to the earliest time, negative if it has passed; None: there is none."""
        return self._due_at[0] - self._clock.now() if self._due_at else None

    def take_due(self, now: int) -> bool:
        """Whether the earliest time has come; if so, it is taken out."""
        if not self._due_at or self._due_at[0] > now:
            return False
        heapq.heappop(self._due_at)
        return True

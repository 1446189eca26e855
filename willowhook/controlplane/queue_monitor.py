"""Compares the controller's estimate of its channel with the measured queue."""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND
from .context import ServiceContext
from .decider import Decider
from .publisher import Publisher

MIN_DIVERGENCE_ENTRIES = 100  # a smaller difference is not reported
MAX_DIVERGENCE_FRACTION = 1 / 4  # of the queue limit


class QueueMonitor:
    """Records the queue once a second, and reports when the controller's estimate is far from it."""

    def __init__(self, context: ServiceContext, controller: Decider, publisher: Publisher) -> None:
        """Receives the shared context and the two components to compare."""
        self._records = context.records
        self._conditions = context.conditions
        self._controller = controller
        self._publisher = publisher
        limit = context.settings.channel.queue_limit_entries * MAX_DIVERGENCE_FRACTION
        self._max_divergence_entries = max(limit, MIN_DIVERGENCE_ENTRIES)
        self._recorded_second = 0

    def check(self, now: int) -> None:
        """Compares; once a second also records, and updates the learnt capacities of update validation."""
        estimate = self._controller.queue_estimate()
        channel = self._publisher.channel
        waiting = channel.waiting_entries
        second = now // TICKS_PER_SECOND
        if second != self._recorded_second:
            self._recorded_second = second
            capacities = self._controller.learnt_capacities()
            self._publisher.update_validation(self._publisher.validation.update_capacities, capacities)
            self._records.append(
                now, "queue", believed=round(estimate, 1), waiting=waiting, messages=len(channel)
            )
        has_diverged = abs(estimate - waiting) > self._max_divergence_entries
        event = "queue estimate diverged" if has_diverged else "queue estimate converged"
        self._conditions.report("drift", has_diverged, event, believed=round(estimate), waiting=waiting)

"""Weight solver: periodic steps of the weights towards equal latency, and learnt capacities.

The base weight of an endpoint is its capacity. The target of its latency factor is the median latency of the
endpoints of the same capacity divided by its own latency, at most a factor of two from 1. Each step moves the
factor half of the way to the target.
"""

from __future__ import annotations

from statistics import median

from ..ticks import TICKS_PER_SECOND
from .context import ControllerContext
from .load import MAX_LOAD_AGE_TICKS
from .model import AttemptSums
from .slow_start import SlowStart
from .timing import EVALUATION_INTERVAL_TICKS

STEP_INTERVAL_TICKS = 3 * TICKS_PER_SECOND
DAMPING = 0.5  # share of the gap to the target that one step covers
MAX_FACTOR = 2.0  # the target is at most this, and at least its inverse
MIN_SUCCESSES = 2  # minimum number of successful attempts for a latency to count
MIN_ASSUMED_UTILIZATION = 0.1  # lower utilizations count as this one


class WeightSolver:
    """Updates latency factors, and learns capacities where none are listed."""

    def __init__(self, context: ControllerContext, slow_start: SlowStart) -> None:
        self._fleet = context.fleet
        self._slow_start = slow_start
        self._started_at = context.started_at
        self._next_step_at = context.started_at
        self._next_changes_at = context.started_at

    def is_due(self, now: int) -> bool:
        """Whether the next step is due."""
        return now >= self._next_step_at

    def step(self, now: int) -> bool:
        """Moves all factors by one step.

        Returns False if too few endpoints have reports; the step is then due again after one evaluation.
        """
        has_moved = self._try_step(now)
        self._next_step_at = now + (STEP_INTERVAL_TICKS if has_moved else EVALUATION_INTERVAL_TICKS)
        if has_moved:
            self._next_changes_at = now
        return has_moved

    def should_send_changes(self, now: int) -> bool:
        """Whether to send changed weights now; if so, schedules the next time.

        They are sent after each step, and at the same interval while no step is possible.
        """
        if now < self._next_changes_at:
            return False
        self._next_changes_at = now + STEP_INTERVAL_TICKS
        return True

    def _try_step(self, now: int) -> bool:
        sums = {
            name: endpoint.attempts(now)
            for name, endpoint in self._fleet.endpoints.items()
            if endpoint.is_in_service
        }
        latencies = {
            name: endpoint_sums.mean_latency_ticks
            for name, endpoint_sums in sums.items()
            if endpoint_sums.successes >= MIN_SUCCESSES and endpoint_sums.latency_ticks > 0
        }
        is_starting = now < self._started_at + STEP_INTERVAL_TICKS
        if not latencies or (len(latencies) < len(sums) / 2 and is_starting):
            return False
        if not self._fleet.settings.lists_capacity:
            self._learn_capacities(now, sums)
        self._move_factors(latencies)
        return True

    def _move_factors(self, latencies: dict[str, float]) -> None:
        # compared only among endpoints of equal capacity, which already accounts for differences in speed
        by_capacity: dict[float, list[float]] = {}
        for name, latency in latencies.items():
            by_capacity.setdefault(self._fleet.endpoints[name].capacity, []).append(latency)
        median_by_capacity = {capacity: median(values) for capacity, values in by_capacity.items()}
        overall_median = median(latencies.values())
        for name, endpoint in self._fleet.endpoints.items():
            expected = median_by_capacity.get(endpoint.capacity, overall_median)
            ratio = expected / latencies.get(name, expected)
            target = min(MAX_FACTOR, max(1 / MAX_FACTOR, ratio))
            endpoint.latency_factor += DAMPING * (target - endpoint.latency_factor)

    def _learn_capacities(self, now: int, sums: dict[str, AttemptSums]) -> None:
        """Learns the capacity of each endpoint class, as the median of successes per core in use."""
        successes_per_core: dict[str, list[float]] = {}
        for name, endpoint_sums in sums.items():
            endpoint = self._fleet.endpoints[name]
            is_usable = (
                endpoint_sums.attempts > endpoint_sums.failures
                and not self._slow_start.is_warming_up(now, endpoint)
            )
            if is_usable and endpoint.has_recent_utilization(now, MAX_LOAD_AGE_TICKS):
                rate = endpoint_sums.successes / max(endpoint.utilization, MIN_ASSUMED_UTILIZATION)
                successes_per_core.setdefault(endpoint.endpoint_class, []).append(rate)
        class_capacity = {
            endpoint_class: median(rates) for endpoint_class, rates in successes_per_core.items()
        }
        endpoints = self._fleet.endpoints.values()
        known_capacities = [
            class_capacity[endpoint.endpoint_class]
            for endpoint in endpoints
            if endpoint.endpoint_class in class_capacity
        ]
        for endpoint in endpoints:
            learnt_capacity = class_capacity.get(endpoint.endpoint_class)
            endpoint.capacity = (
                1.0
                if learnt_capacity is None
                else learnt_capacity * len(known_capacities) / sum(known_capacities)
            )

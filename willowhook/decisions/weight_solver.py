"""The periodic step of weights towards equal latency, and the capacity that it starts from.

Each endpoint's target is the median latency of its like over its own, within a factor of two of its base
weight, which is its capacity. Its factor moves half the way to the target a step.
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
MAX_FACTOR = 2.0  # most by which a target may differ from the base weight, as a factor
MIN_SUCCESSES = 2  # successful attempts for a latency to count
MIN_ASSUMED_UTILIZATION = 0.1  # an endpoint that reports less counts as this busy


class WeightSolver:
    """Moves latency factors, and learns capacities where none are listed."""

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
        """Moves all factors one step; False if too few endpoints were heard of: it is tried again soon."""
        is_done = self._try_step(now)
        self._next_step_at = now + (STEP_INTERVAL_TICKS if is_done else EVALUATION_INTERVAL_TICKS)
        if is_done:
            self._next_changes_at = now
        return is_done

    def should_send_changes(self, now: int) -> bool:
        """Whether to send changed weights now: after each step, or as often while no step is possible."""
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
            name: row.mean_latency_ticks
            for name, row in sums.items()
            if row.successes >= MIN_SUCCESSES and row.latency_ticks > 0
        }
        is_starting = now < self._started_at + STEP_INTERVAL_TICKS
        if not latencies or (len(latencies) < len(sums) / 2 and is_starting):
            return False
        if not self._fleet.settings.lists_capacity:
            self._learn_capacities(now, sums)
        self._move_factors(latencies)
        return True

    def _move_factors(self, latencies: dict[str, float]) -> None:
        # compared among endpoints of one capacity only: what that says of speed is not counted twice
        by_capacity: dict[float, list[float]] = {}
        for name, latency in latencies.items():
            by_capacity.setdefault(self._fleet.endpoints[name].capacity, []).append(latency)
        usual = {capacity: median(rows) for capacity, rows in by_capacity.items()}
        overall = median(latencies.values())
        for name, endpoint in self._fleet.endpoints.items():
            expected = usual.get(endpoint.capacity, overall)
            ratio = expected / latencies.get(name, expected)
            target = min(MAX_FACTOR, max(1 / MAX_FACTOR, ratio))
            endpoint.latency_factor += DAMPING * (target - endpoint.latency_factor)

    def _learn_capacities(self, now: int, sums: dict[str, AttemptSums]) -> None:
        """Learns the capacity of each endpoint class: the median of successes per core in use."""
        answered_per_core: dict[str, list[float]] = {}
        for name, row in sums.items():
            endpoint = self._fleet.endpoints[name]
            is_usable = row.attempts > row.failures and not self._slow_start.is_warming_up(now, endpoint)
            if is_usable and endpoint.has_recent_utilization(now, MAX_LOAD_AGE_TICKS):
                rate = row.successes / max(endpoint.utilization, MIN_ASSUMED_UTILIZATION)
                answered_per_core.setdefault(endpoint.endpoint_class, []).append(rate)
        worth = {endpoint_class: median(rates) for endpoint_class, rates in answered_per_core.items()}
        endpoints = self._fleet.endpoints.values()
        known = [worth[endpoint.endpoint_class] for endpoint in endpoints if endpoint.endpoint_class in worth]
        for endpoint in endpoints:
            learnt = worth.get(endpoint.endpoint_class)
            endpoint.capacity = 1.0 if learnt is None else learnt * len(known) / sum(known)

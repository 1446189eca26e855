"""Active health checks: their schedule, and the utilization derived from their results.

They are sent only where endpoints report their load in health checks. Their results are used for utilization
and for partition detection; failing endpoints are detected by their requests (see outliers.py).
"""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND
from .context import ControllerContext
from .events import HealthCheckCompleted, HealthCheckOutcome
from .load import HIGH_LATENCY_RATIO, IDLE_UTILIZATION
from .model import RECENT_BUCKETS, Endpoint
from .partitions import PartitionDetector
from .settings import LoadSource

INTERVAL_TICKS = 2 * TICKS_PER_SECOND
BUSY_INTERVAL_TICKS = INTERVAL_TICKS // 2
MISSED_OUTCOMES = frozenset({HealthCheckOutcome.TIMED_OUT, HealthCheckOutcome.UNREACHABLE})
SATURATED_UTILIZATION = 1.0  # assumed for an overloaded endpoint that reports no utilization


class HealthChecks:
    """Sends health checks and handles their results."""

    def __init__(self, context: ControllerContext, partitions: PartitionDetector) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._conditions = context.conditions
        self._random_fraction = context.random_fraction
        self._partitions = partitions
        settings = context.settings
        self._is_enabled = settings.health_checks and settings.fleet.load_source is LoadSource.HEALTH_CHECKS
        self._shortest_objective_ticks = min(route.latency_objective_ticks for route in settings.routes)

    def send_due(self, now: int) -> None:
        """Sends a health check to each endpoint in service whose next check is due."""
        if not self._is_enabled:
            return
        for endpoint in self._fleet.endpoints.values():
            if endpoint.is_in_service and now >= endpoint.next_health_check_at:
                self._runtime.check_health(endpoint.name)
                is_idle = endpoint.utilization < IDLE_UTILIZATION
                interval = INTERVAL_TICKS if is_idle else BUSY_INTERVAL_TICKS
                endpoint.next_health_check_at = now + int(interval * (0.5 + self._random_fraction()))

    def record(self, now: int, event: HealthCheckCompleted) -> None:
        """Handles the result of a health check; results of unknown endpoints are ignored."""
        endpoint = self._fleet.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        endpoint.missed_health_check = event.outcome in MISSED_OUTCOMES
        if event.cpu_utilization is not None:
            endpoint.utilization = event.cpu_utilization
            endpoint.utilization_at = now
        elif self._is_overloaded(now, endpoint, event.outcome):
            endpoint.utilization = SATURATED_UTILIZATION
            endpoint.utilization_at = now

    def _is_overloaded(self, now: int, endpoint: Endpoint, outcome: HealthCheckOutcome) -> bool:
        """Whether a timed-out health check indicates overload.

        It does only if successful requests are late too, or if no load has been evaluated yet.
        """
        if outcome is not HealthCheckOutcome.TIMED_OUT:
            return False
        if endpoint.zone in self._partitions.unreachable_zones:
            return False
        sums = endpoint.attempts(now, RECENT_BUCKETS)
        is_late = sums.latency_ticks > sums.successes * HIGH_LATENCY_RATIO * self._shortest_objective_ticks
        return is_late or not self._conditions.pressure

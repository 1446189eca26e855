"""Load estimation: current and projected utilization, latency and success of the fleet.

Latency and success are judged by medians over the endpoints. Problems of only some endpoints are handled by
weights and outlier detection.
"""

from __future__ import annotations

from typing import NamedTuple

from ..ticks import TICKS_PER_SECOND
from .arithmetic import weighted_median
from .context import ControllerContext
from .demand import RequestDemand
from .model import RECENT_BUCKETS, REPORT_BUCKETS, Endpoint, EndpointTable
from .settings import LoadSource
from .slow_start import SlowStart
from .timing import EVALUATION_INTERVAL_TICKS
from .windows import IntervalHistory, WindowedSums

MAX_LOAD_AGE_TICKS = 5 * TICKS_PER_SECOND  # maximum age of a reported utilization
HIGH_LATENCY_RATIO = 0.45  # latency as a share of the objective, above which responses count as late
IDLE_UTILIZATION = 0.65  # up to it, late responses do not indicate overload
HIGH_UTILIZATION = 0.88  # share of cores in use; also assumed where endpoints report no load
CALM_UTILIZATION = 0.5  # below it, attempts count as successful before the first reports on them
MIN_WEIGHT_FRACTION = 0.1  # minimum slow-start fraction of a reporting endpoint in the mean
MIN_UTILIZATION = 0.1  # lower utilizations of a table count as this one
INITIAL_UTILIZATION = 1.0  # prevents the first reports from looking like a rise
HISTORY_INTERVALS = 8  # must exceed TREND_INTERVALS
TREND_INTERVALS = 4  # intervals over which a rise is measured
PROJECTED_LAG_FRACTION = 0.7  # share of the feedback time for which a rise is projected
SETTLING_INTERVALS = 10  # after a start, a rise in these intervals only means that reports begin to arrive


class LoadSample(NamedTuple):
    """Load of the fleet at one evaluation.

    Attributes:
        utilization: share of cores in use at the endpoints of the busiest table.
        projected_utilization: utilization expected when reports show the effect of a command sent now.
        mean_latency_ticks: median over the endpoints of their mean latency.
        latency_fraction: that latency divided by the mean latency objective of the requests.
        median_success_fraction: median over the endpoints of their share of successful attempts.
        overall_success_fraction: share of successful attempts over all endpoints.
    """

    utilization: float
    projected_utilization: float
    median_latency_ticks: float
    latency_fraction: float
    median_success_fraction: float
    overall_success_fraction: float

    @property
    def best_success_fraction(self) -> float:
        """The higher of the two success fractions."""
        return max(self.median_success_fraction, self.overall_success_fraction)


class LoadEstimator:
    """Computes a `LoadSample` from the reports of endpoints and proxies.

    Attributes:
        feedback_ticks: time from a command to the reports that show its effect.
    """

    def __init__(self, context: ControllerContext, slow_start: SlowStart, demand: RequestDemand) -> None:
        self._fleet = context.fleet
        self._conditions = context.conditions
        self._slow_start = slow_start
        self._demand = demand
        self._started_at = context.started_at
        self._attempts = WindowedSums(context.bucket_ticks, REPORT_BUCKETS, 2)  # successes, attempts
        self._utilizations = IntervalHistory(
            EVALUATION_INTERVAL_TICKS, HISTORY_INTERVALS, INITIAL_UTILIZATION
        )
        delay_ticks = context.settings.channel.typical_delay_ticks
        self.feedback_ticks = delay_ticks + context.bucket_ticks * 3 // 2 + TICKS_PER_SECOND

    def record_attempts(self, now: int, successes: int, attempts: int) -> None:
        """Adds the attempts of one endpoint report."""
        self._attempts.add(now, successes, attempts)

    def last_utilization(self, now: int) -> float:
        """Returns the utilization at the last evaluation."""
        return self._utilizations.at(now, -1)

    def evaluate(self, now: int) -> LoadSample | None:
        """Records the utilization and returns the load; None without reports on attempts and requests."""
        utilization = max(self.utilization_of(now, table) for table in self._fleet.default_tables)
        self._assume_success_if_calm(utilization)
        projected = self._project(now, utilization)
        sums = [
            endpoint.attempts(now, RECENT_BUCKETS)
            for endpoint in self._fleet.endpoints.values()
            if endpoint.is_in_service and not endpoint.is_ejected
        ]
        successful = [
            endpoint_sums for endpoint_sums in sums if endpoint_sums.attempts > endpoint_sums.failures
        ]
        rates = [(self._demand.total(route), route) for route in self._fleet.settings.routes]
        total_rate = sum(rate for rate, _ in rates)
        successes, attempts = self._attempts.total(now, RECENT_BUCKETS, skip=1)
        if not successful or attempts == 0 or not total_rate:
            return None
        weighted_objectives = sum(rate * route.latency_objective_ticks for rate, route in rates)
        median_latency = weighted_median(
            [(endpoint_sums.mean_latency_ticks, endpoint_sums.attempts) for endpoint_sums in successful]
        )
        failure_fraction = weighted_median(
            [
                (endpoint_sums.failures / endpoint_sums.attempts, endpoint_sums.attempts)
                for endpoint_sums in successful
            ]
        )
        return LoadSample(
            utilization=utilization,
            projected_utilization=projected,
            median_latency_ticks=median_latency,
            latency_fraction=median_latency * total_rate / weighted_objectives,
            median_success_fraction=1 - failure_fraction,
            overall_success_fraction=successes / attempts,
        )

    def utilization_of(self, now: int, table: EndpointTable) -> float:
        """Returns the weighted mean of recently reported utilizations of the endpoints of a table."""
        weighted_utilizations = [
            (endpoint.utilization, self._load_weight(now, endpoint))
            for endpoint in self._fleet.endpoints.values()
            if endpoint.has_recent_utilization(now, MAX_LOAD_AGE_TICKS)
            and self._fleet.is_eligible(table, endpoint)
        ]
        total_weight = sum(weight for _, weight in weighted_utilizations)
        if total_weight:  # a listed weight may be 0
            busy_weight = sum(utilization * weight for utilization, weight in weighted_utilizations)
            return max(busy_weight / total_weight, MIN_UTILIZATION)
        nothing_reports = self._fleet.settings.fleet.load_source is LoadSource.NONE
        return HIGH_UTILIZATION if nothing_reports else IDLE_UTILIZATION

    def _load_weight(self, now: int, endpoint: Endpoint) -> float:
        fraction = max(self._slow_start.weight_fraction(now, endpoint), MIN_WEIGHT_FRACTION)
        return endpoint.capacity * endpoint.latency_factor * fraction

    def _assume_success_if_calm(self, utilization: float) -> None:
        """Takes low utilization as success until there are reports on attempts."""
        if self._conditions.pressure or utilization >= CALM_UTILIZATION:
            return
        if any(endpoint.utilization_at is not None for endpoint in self._fleet.endpoints.values()):
            self._conditions.success_fraction = 1.0

    def _project(self, now: int, utilization: float) -> float:
        earlier = self._utilizations.at(now, -TREND_INTERVALS)
        self._utilizations.record(now, utilization)
        trend_ticks = TREND_INTERVALS * EVALUATION_INTERVAL_TICKS
        rise = (utilization - earlier) * self.feedback_ticks * PROJECTED_LAG_FRACTION / trend_ticks
        is_settled = now > self._started_at + SETTLING_INTERVALS * EVALUATION_INTERVAL_TICKS
        follows_rise = utilization > IDLE_UTILIZATION and is_settled
        return utilization + max(rise, 0.0) * follows_rise

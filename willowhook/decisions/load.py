"""The load estimate: how busy endpoints are and will be, and how late and successful requests are.

It judges by the middle of all endpoints: what is wrong at some of them only is for weights and outlier
detection.
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

MAX_LOAD_AGE_TICKS = 5 * TICKS_PER_SECOND  # how long a reported utilization counts
LATE_FRACTION = 0.45  # share of the latency objective from which responses count as late
IDLE_UTILIZATION = 0.65  # below it, late responses are not taken for overload
HIGH_UTILIZATION = 0.88  # share of cores in use; also assumed where nothing reports load
CALM_UTILIZATION = 0.5  # below it, before the first reports, attempts count as successful
MIN_WEIGHT_FRACTION = 0.1  # least slow-start fraction with which a reporting endpoint counts in the mean
MIN_UTILIZATION = 0.1
INITIAL_UTILIZATION = 1.0  # so that the first reports do not read as a rise
HISTORY_INTERVALS = 8  # intervals kept; more than TREND_INTERVALS
TREND_INTERVALS = 4  # intervals over which a rise is measured
PROJECTED_LAG_FRACTION = 0.7  # share of the feedback time over which a rise is projected
SETTLING_INTERVALS = 10  # intervals after a start in which a rise only means that reports arrive


class LoadSample(NamedTuple):
    """What one evaluation finds.

    Attributes:
        utilization: share of cores in use at the busiest table.
        projected_utilization: what it will be when a command given now shows in reports.
        mean_latency_ticks: of the middle endpoint.
        latency_fraction: that latency over the latency objective.
        median_success_fraction: of attempts, at the middle endpoint.
        overall_success_fraction: of attempts, over all endpoints.
    """

    utilization: float
    projected_utilization: float
    mean_latency_ticks: float
    latency_fraction: float
    median_success_fraction: float
    overall_success_fraction: float

    @property
    def best_success_fraction(self) -> float:
        """The better of the two success fractions."""
        return max(self.median_success_fraction, self.overall_success_fraction)


class LoadEstimator:
    """Makes a `LoadSample` of what endpoints and proxies reported.

    Attributes:
        feedback_ticks: the time from a command to reports that show it.
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
        delay = context.settings.channel.typical_delay_ticks
        self.feedback_ticks = delay + context.bucket_ticks * 3 // 2 + TICKS_PER_SECOND

    def record_attempts(self, now: int, successes: int, attempts: int) -> None:
        """Adds the attempts of one report."""
        self._attempts.add(now, successes, attempts)

    def last_utilization(self, now: int) -> float:
        """The utilization that the last evaluation found."""
        return self._utilizations.at(now, -1)

    def evaluate(self, now: int) -> LoadSample | None:
        """Records the utilization and returns what the reports say; None while there are none."""
        utilization = max(self.utilization_of(now, table) for table in self._fleet.default_tables)
        self._assume_success_if_calm(utilization)
        projected = self._project(now, utilization)
        sums = [
            endpoint.attempts(now, RECENT_BUCKETS)
            for endpoint in self._fleet.endpoints.values()
            if endpoint.is_in_service and not endpoint.is_ejected
        ]
        answering = [row for row in sums if row.attempts > row.failures]
        rates = [(self._demand.total(route), route) for route in self._fleet.settings.routes]
        rate = sum(rate for rate, _ in rates)
        successes, attempts = self._attempts.total(now, RECENT_BUCKETS, skip=1)
        if not answering or attempts == 0 or not rate:
            return None
        objectives = sum(rate * route.latency_objective_ticks for rate, route in rates)
        mean_latency = weighted_median([(row.mean_latency_ticks, row.attempts) for row in answering])
        failures = weighted_median([(row.failures / row.attempts, row.attempts) for row in answering])
        return LoadSample(
            utilization=utilization,
            projected_utilization=projected,
            mean_latency_ticks=mean_latency,
            latency_fraction=mean_latency * rate / objectives,
            median_success_fraction=1 - failures,
            overall_success_fraction=successes / attempts,
        )

    def utilization_of(self, now: int, table: EndpointTable) -> float:
        """The share of cores in use at the endpoints of a table, by weight, as far as reported lately."""
        rows = [
            (endpoint.utilization, self._load_weight(now, endpoint))
            for endpoint in self._fleet.endpoints.values()
            if endpoint.has_recent_utilization(now, MAX_LOAD_AGE_TICKS)
            and self._fleet.is_eligible(table, endpoint)
        ]
        if rows:
            busy = sum(utilization * weight for utilization, weight in rows)
            return max(busy / sum(weight for _, weight in rows), MIN_UTILIZATION)
        nothing_reports = self._fleet.settings.fleet.load_source is LoadSource.NONE
        return HIGH_UTILIZATION if nothing_reports else IDLE_UTILIZATION

    def _load_weight(self, now: int, endpoint: Endpoint) -> float:
        fraction = max(self._slow_start.weight_fraction(now, endpoint), MIN_WEIGHT_FRACTION)
        return endpoint.capacity * endpoint.latency_factor * fraction

    def _assume_success_if_calm(self, utilization: float) -> None:
        """Before the first reports on attempts, low utilization is taken as success."""
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

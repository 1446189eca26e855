"""Admission control: computes the admitted fraction of all work and the resulting limit of each route.

Each evaluation moves the admitted fraction by one control step: down towards a target utilization when
utilization or latency is too high, up when there is spare capacity. Reports show the effect of the fraction
that was in force one feedback time ago, so each step starts from that fraction. The admitted work is assigned
to routes by priority weight per latency objective, above a minimum for each route. The rest is shed at once.

Retry budget: one retry while the admitted fraction is at least 1 and none below, as each retry adds a request
to a fully loaded fleet. Between 1 and `OPEN_FRACTION` the limits are still in force, but a retry is allowed.
"""

from __future__ import annotations

from .arithmetic import even_allowance
from .context import ControllerContext
from .demand import RequestDemand
from .load import HIGH_LATENCY_RATIO, HIGH_UTILIZATION, IDLE_UTILIZATION, LoadSample
from .model import EndpointTable
from .runtime import AdmissionLimit, RetryMode
from .settings import AdmissionUnit, Route
from .timing import EVALUATION_INTERVAL_TICKS
from .windows import IntervalHistory

# Utilization is the share of cores in use.
SHED_UTILIZATION = 0.93  # load is shed above this utilization
SHED_PROJECTED_UTILIZATION = 1.02  # load is shed above this projected utilization
TARGET_UTILIZATION = HIGH_UTILIZATION  # target while the admitted fraction falls
RAISE_UTILIZATION = 0.75  # target while the admitted fraction rises

# Control step. A gain is the multiple of the gap to the target fraction that is covered in one feedback time.
FALL_GAIN = 5.0
RISE_GAIN = 4.0
MAX_GROWTH = 1.5  # factor by which the admitted fraction may grow in one feedback time
MAX_FEEDBACK_TICKS = 30 * EVALUATION_INTERVAL_TICKS  # within the recorded history
HISTORY_INTERVALS = 32

# Admitted fractions are relative to the demand known when load shedding began. As demand may have grown
# since, the limits stay in force above 1 until the fraction reaches OPEN_FRACTION.
OPEN_FRACTION = 1.4  # no limits are in force at this fraction
NEARLY_OPEN = 0.97  # share of OPEN_FRACTION that counts as open
MIN_FRACTION = 0.1  # minimum for every route
RETRY_FRACTION = 1.0  # minimum fraction at which a retry is allowed
UNLIMITED_FRACTION = 0.999  # minimum fraction at which a route counts as unlimited
MIN_RATE_PER_SECOND = 0.1  # minimum limit of a proxy, in requests per second
UNLIMITED_RATE = 1e6  # requests per second


class AdmissionController:
    """Maintains the admitted fraction and derives the admission limits of each table from it.

    Attributes:
        admitted_fraction: share of the demand known when load shedding began; `OPEN_FRACTION` while no load
            is shed.
    """

    def __init__(self, context: ControllerContext, demand: RequestDemand) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._conditions = context.conditions
        self._demand = demand
        self.admitted_fraction = OPEN_FRACTION
        self._history = IntervalHistory(EVALUATION_INTERVAL_TICKS, HISTORY_INTERVALS, OPEN_FRACTION)

    @property
    def is_shedding(self) -> bool:
        """Whether admission limits are in force, to bound request latency."""
        return self.admitted_fraction < OPEN_FRACTION

    def evaluate(self, now: int, sample: LoadSample, feedback_ticks: int) -> None:
        """Updates the admitted fraction.

        Args:
            now: the current time, in ticks.
            sample: the load found by this evaluation.
            feedback_ticks: time from a command to the reports that show its effect, without request latency.
        """
        # failures do not indicate overload while responses are not late
        is_late = sample.latency_fraction > HIGH_LATENCY_RATIO
        success_fraction = sample.median_success_fraction if is_late else 1.0
        self._conditions.pressure = sample.latency_fraction + 1 - success_fraction
        self._conditions.success_fraction = min(success_fraction, sample.overall_success_fraction)
        was_shedding = self.is_shedding
        previous_fraction = self.admitted_fraction
        total_feedback_ticks = min(feedback_ticks + int(sample.median_latency_ticks), MAX_FEEDBACK_TICKS)
        self._step(now, sample, success_fraction, total_feedback_ticks)
        if was_shedding != self.is_shedding:
            self._log_change(previous_fraction, sample, success_fraction)

    def record(self, now: int) -> None:
        """Stores the admitted fraction so that later reports can be matched with it."""
        self._history.record(now, self.admitted_fraction)

    def route_fractions(self) -> list[float]:
        """Returns the admitted fraction of each route, by route index.

        Work is estimated as demand times latency objective, because the real cost of a request is not
        reported. Every route gets `MIN_FRACTION`; the remaining work is admitted in descending order of
        priority weight per latency objective.
        """
        routes = self._fleet.settings.routes
        work = [route.latency_objective_ticks * self._demand.total(route) for route in routes]
        remaining_work = (self.admitted_fraction - MIN_FRACTION) * sum(work)
        fractions = [MIN_FRACTION] * len(work)
        for index in sorted(range(len(routes)), key=lambda index: -_priority(routes[index])):
            admitted_work = min(max(remaining_work, 0.0), (1 - MIN_FRACTION) * work[index])
            if work[index]:
                fractions[index] += admitted_work / work[index]
            else:
                fractions[index] += 1.0  # a route without known demand is not limited
            remaining_work -= admitted_work
        return fractions

    def limits(self, table: EndpointTable, fractions: list[float]) -> dict[int, AdmissionLimit]:
        """Returns the admission limits of a table, by route index, for these route fractions."""
        retries = RetryMode.IF_NOT_EXECUTED if self.admitted_fraction >= RETRY_FRACTION else RetryMode.NEVER
        unit = self._fleet.settings.fleet.admission_unit
        if unit is AdmissionUnit.REQUESTS_PER_SECOND:
            return {k: AdmissionLimit(retries, self._rate_limit(k, fractions[k])) for k in table.routes}
        return {k: AdmissionLimit(retries, fractions[k]) for k in table.routes}

    def _rate_limit(self, index: int, fraction: float) -> float:
        """Returns the rate limit of a route, the same at each proxy; proxies below it shed nothing."""
        rates = list(self._demand.by_proxy(self._fleet.settings.routes[index]).values())
        if fraction >= UNLIMITED_FRACTION or not rates:
            return UNLIMITED_RATE
        return max(even_allowance(rates, fraction), MIN_RATE_PER_SECOND)

    def _step(self, now: int, sample: LoadSample, success_fraction: float, feedback_ticks: int) -> None:
        if self._must_shed(sample, success_fraction):
            self._shed(now, sample, success_fraction, feedback_ticks)
        elif sample.projected_utilization < RAISE_UTILIZATION and self.is_shedding:
            self._raise(now, sample, feedback_ticks)
        is_open = self.admitted_fraction >= OPEN_FRACTION * NEARLY_OPEN
        self.admitted_fraction = OPEN_FRACTION if is_open else max(self.admitted_fraction, MIN_FRACTION)

    def _must_shed(self, sample: LoadSample, success_fraction: float) -> bool:
        """Whether to admit less because utilization, latency or failures are too high.

        Below `RETRY_FRACTION` the utilization threshold is `TARGET_UTILIZATION`.
        """
        has_room = self.admitted_fraction >= RETRY_FRACTION
        max_utilization = SHED_UTILIZATION if has_room else TARGET_UTILIZATION
        max_projected_utilization = SHED_PROJECTED_UTILIZATION if has_room else TARGET_UTILIZATION
        return (
            sample.utilization > max_utilization
            or sample.projected_utilization > max_projected_utilization
            or self._reduction_factor(sample, success_fraction) < 1
        )

    def _reduction_factor(self, sample: LoadSample, success_fraction: float) -> float:
        """Returns the factor, at most 1, by which latency and failures reduce the admitted fraction."""
        if self.is_shedding and sample.projected_utilization <= IDLE_UTILIZATION:
            return 1.0  # the late and failed requests date from before load was shed
        late_fraction = max(sample.latency_fraction, HIGH_LATENCY_RATIO)  # the latency itself may be 0
        return success_fraction * (HIGH_LATENCY_RATIO / late_fraction)

    def _shed(self, now: int, sample: LoadSample, success_fraction: float, feedback_ticks: int) -> None:
        utilization_factor = min(1.0, TARGET_UTILIZATION / sample.projected_utilization)
        target_fraction = (
            self._fraction_in_effect(now, feedback_ticks)
            * utilization_factor
            * self._reduction_factor(sample, success_fraction)
        )
        start_fraction = min(self.admitted_fraction, 1.0)
        gain = min(FALL_GAIN * EVALUATION_INTERVAL_TICKS / feedback_ticks, 1.0)
        self.admitted_fraction = start_fraction + min(target_fraction - start_fraction, 0.0) * gain

    def _raise(self, now: int, sample: LoadSample, feedback_ticks: int) -> None:
        growth = min(RAISE_UTILIZATION / sample.projected_utilization, MAX_GROWTH)
        target_fraction = self._fraction_in_effect(now, feedback_ticks) * growth
        gain = min(RISE_GAIN * EVALUATION_INTERVAL_TICKS / feedback_ticks, 1.0)
        self.admitted_fraction += max(target_fraction - self.admitted_fraction, 0.0) * gain

    def _fraction_in_effect(self, now: int, feedback_ticks: int) -> float:
        """Returns the admitted fraction whose effect the current reports show, at most 1."""
        fractions = [self._history.at(now - feedback_ticks, offset) for offset in (-1, 0, 1)]
        return min(1.0, sum(fractions) / len(fractions))

    def _log_change(self, previous_fraction: float, sample: LoadSample, success_fraction: float) -> None:
        event = "load shedding began" if self.is_shedding else "load shedding ended"
        self._runtime.log(
            f"{event} admitted_fraction={self.admitted_fraction:.2f} before={previous_fraction:.2f} "
            f"latency_fraction={sample.latency_fraction:.2f} success_fraction={success_fraction:.2f} "
            f"utilization={sample.utilization:.2f} "
            f"projected_utilization={sample.projected_utilization:.2f} "
            f"limited_routes={','.join(self._limited_routes()) or 'none'}"
        )

    def _limited_routes(self) -> list[str]:
        """Returns the names of the routes that are shed in part."""
        fractions = self.route_fractions()
        routes = self._fleet.settings.routes
        return [
            route.name
            for route, fraction in zip(routes, fractions, strict=True)
            if fraction < UNLIMITED_FRACTION
        ]


def _priority(route: Route) -> float:
    return route.priority_weight / route.latency_objective_ticks

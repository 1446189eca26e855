"""Admission control: how much of the requests' work is let in, and the limits that follow for each route.

Each evaluation sets the admitted fraction by a control step: down to a target utilization when the fleet is
too busy or too late, up again when it is idle. What reports show now answers to the fraction of a while ago,
so each step starts from that one. The admitted work goes to routes by priority per latency objective; each
keeps a floor. What is not let in is shed at once.

The retry budget: one retry from an admitted fraction of 1 on, none below it, as a retry is one more request
for a full fleet. Between 1 and `OPEN_FRACTION` limits are still in force and a retry is allowed.
"""

from __future__ import annotations

from .arithmetic import even_allowance
from .context import ControllerContext
from .demand import RequestDemand
from .load import HIGH_UTILIZATION, IDLE_UTILIZATION, LATE_FRACTION, LoadSample
from .model import EndpointTable
from .runtime import AdmissionLimit, RetryMode
from .settings import AdmissionUnit, Route
from .timing import EVALUATION_INTERVAL_TICKS
from .windows import IntervalHistory

# Utilization, as a share of cores in use.
SHED_UTILIZATION = 0.93  # over it, load is shed
SHED_PROJECTED_UTILIZATION = 1.02  # the same, for what a rise leads to
TARGET_UTILIZATION = HIGH_UTILIZATION  # what shedding aims at
RAISE_UTILIZATION = 0.75  # what the way back aims at

# The control step. The gains are multiples of the gap to the wanted fraction, covered in one feedback time.
FALL_GAIN = 5.0
RISE_GAIN = 4.0
MAX_GROWTH = 1.5  # factor by which the admitted fraction may grow in one feedback time
MAX_FEEDBACK_TICKS = 30 * EVALUATION_INTERVAL_TICKS  # as far back as the fractions are kept
HISTORY_INTERVALS = 32

# Admitted fractions are relative to the demand known when shedding began, which may have grown since. So the
# limits stay in force above 1 until the fraction reaches OPEN_FRACTION.
OPEN_FRACTION = 1.4  # no limits are in force
NEARLY_OPEN = 0.97  # share of OPEN_FRACTION that counts as open
MIN_FRACTION = 0.1  # every route keeps this much
RETRY_FRACTION = 1.0  # from here on a retry is allowed
WHOLE_FRACTION = 0.999  # from here on a route has no limit
MIN_RATE_PER_SECOND = 0.1  # the least allowance of a proxy, in requests per second
UNLIMITED_RATE = 1e6  # requests per second


class AdmissionController:
    """Keeps the admitted fraction and derives the limits of each table.

    Attributes:
        admitted_fraction: share of the demand known when shedding began; `OPEN_FRACTION` without shedding.
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
        """Whether limits are in force that keep requests in time."""
        return self.admitted_fraction < OPEN_FRACTION

    def evaluate(self, now: int, sample: LoadSample, feedback_ticks: int) -> None:
        """Updates the admitted fraction.

        Args:
            now: the time.
            sample: what the reports say.
            feedback_ticks: the time from a command to reports that show it, without the requests' latency.
        """
        # failures where responses are in time are no overload
        is_late = sample.latency_fraction > LATE_FRACTION
        success = sample.median_success_fraction if is_late else 1.0
        self._conditions.pressure = sample.latency_fraction + 1 - success
        self._conditions.success_fraction = min(success, sample.overall_success_fraction)
        was_shedding = self.is_shedding
        before = self.admitted_fraction
        feedback = min(feedback_ticks + int(sample.mean_latency_ticks), MAX_FEEDBACK_TICKS)
        self._step(now, sample, success, feedback)
        if was_shedding != self.is_shedding:
            self._log_change(before, sample, success)

    def record(self, now: int) -> None:
        """Stores the admitted fraction, for the reports that will be its effect."""
        self._history.record(now, self.admitted_fraction)

    def route_fractions(self) -> list[float]:
        """The fraction admitted of each route, by index.

        Work is estimated as demand times latency objective, as the true cost of a request is not reported. It
        is admitted by priority weight per latency objective, the highest first, above a floor for each route.
        """
        routes = self._fleet.settings.routes
        work = [route.latency_objective_ticks * self._demand.total(route) for route in routes]
        left = (self.admitted_fraction - MIN_FRACTION) * sum(work)
        fractions = [MIN_FRACTION] * len(work)
        for index in sorted(range(len(routes)), key=lambda index: -_priority(routes[index])):
            part = min(max(left, 0.0), (1 - MIN_FRACTION) * work[index])
            if work[index]:
                fractions[index] += part / work[index]
            else:
                fractions[index] += 1.0  # without known demand nothing is limited
            left -= part
        return fractions

    def limits(self, table: EndpointTable, fractions: list[float]) -> dict[int, AdmissionLimit]:
        """The admission limits of a table, by route index, for these route fractions."""
        retries = RetryMode.IF_NOT_EXECUTED if self.admitted_fraction >= RETRY_FRACTION else RetryMode.NEVER
        unit = self._fleet.settings.fleet.admission_unit
        if unit is AdmissionUnit.REQUESTS_PER_SECOND:
            return {k: AdmissionLimit(retries, self._rate_limit(k, fractions[k])) for k in table.routes}
        return {k: AdmissionLimit(retries, fractions[k]) for k in table.routes}

    def _rate_limit(self, index: int, fraction: float) -> float:
        """The same allowance for each proxy, which leaves those with little traffic whole."""
        rates = list(self._demand.by_proxy(self._fleet.settings.routes[index]).values())
        if fraction >= WHOLE_FRACTION or not rates:
            return UNLIMITED_RATE
        return max(even_allowance(rates, fraction), MIN_RATE_PER_SECOND)

    def _step(self, now: int, sample: LoadSample, success: float, feedback: int) -> None:
        if self._must_shed(sample, success):
            self._shed(now, sample, success, feedback)
        elif sample.projected_utilization < RAISE_UTILIZATION and self.is_shedding:
            self._raise(now, sample, feedback)
        is_open = self.admitted_fraction >= OPEN_FRACTION * NEARLY_OPEN
        self.admitted_fraction = OPEN_FRACTION if is_open else max(self.admitted_fraction, MIN_FRACTION)

    def _must_shed(self, sample: LoadSample, success: float) -> bool:
        """Whether to admit less: when full or late; under shedding already over the target utilization."""
        has_room = self.admitted_fraction >= RETRY_FRACTION
        highest = SHED_UTILIZATION if has_room else TARGET_UTILIZATION
        highest_projected = SHED_PROJECTED_UTILIZATION if has_room else TARGET_UTILIZATION
        return (
            sample.utilization > highest
            or sample.projected_utilization > highest_projected
            or self._reduction_factor(sample, success) < 1
        )

    def _reduction_factor(self, sample: LoadSample, success: float) -> float:
        """The factor, at most 1, by which lateness and failures reduce the admitted fraction."""
        if self.is_shedding and sample.projected_utilization <= IDLE_UTILIZATION:
            return 1.0  # late and failed requests are left over from before
        return success * min(1.0, LATE_FRACTION / sample.latency_fraction)

    def _shed(self, now: int, sample: LoadSample, success: float, feedback: int) -> None:
        by_load = min(1.0, TARGET_UTILIZATION / sample.projected_utilization)
        wanted = self._fraction_in_effect(now, feedback) * by_load * self._reduction_factor(sample, success)
        start = min(self.admitted_fraction, 1.0)
        gain = min(FALL_GAIN * EVALUATION_INTERVAL_TICKS / feedback, 1.0)
        self.admitted_fraction = start + min(wanted - start, 0.0) * gain

    def _raise(self, now: int, sample: LoadSample, feedback: int) -> None:
        growth = min(RAISE_UTILIZATION / sample.projected_utilization, MAX_GROWTH)
        wanted = self._fraction_in_effect(now, feedback) * growth
        gain = min(RISE_GAIN * EVALUATION_INTERVAL_TICKS / feedback, 1.0)
        self.admitted_fraction += max(wanted - self.admitted_fraction, 0.0) * gain

    def _fraction_in_effect(self, now: int, feedback: int) -> float:
        """The admitted fraction whose effect the reports show now, at most 1."""
        fractions = [self._history.at(now - feedback, offset) for offset in (-1, 0, 1)]
        return min(1.0, sum(fractions) / len(fractions))

    def _log_change(self, before: float, sample: LoadSample, success: float) -> None:
        what = "load shedding began" if self.is_shedding else "load shedding ended"
        self._runtime.log(
            f"{what} admitted_fraction={self.admitted_fraction:.2f} before={before:.2f} "
            f"latency_fraction={sample.latency_fraction:.2f} success_fraction={success:.2f} "
            f"utilization={sample.utilization:.2f} "
            f"projected_utilization={sample.projected_utilization:.2f} "
            f"limited_routes={','.join(self._limited_routes()) or 'none'}"
        )

    def _limited_routes(self) -> list[str]:
        """The names of the routes of which a part is shed."""
        fractions = self.route_fractions()
        routes = self._fleet.settings.routes
        return [
            route.name for route, fraction in zip(routes, fractions, strict=True) if fraction < WHOLE_FRACTION
        ]


def _priority(route: Route) -> float:
    return route.priority_weight / route.latency_objective_ticks

"""Outlier detection: ejects endpoints that fail nearly all attempts while others do not.

An endpoint that answers some attempts is not ejected: in an asymmetric fault, or under overload, the others
could not serve its requests as well. Each ejection lasts longer than the one before, up to a maximum, until
the endpoint has not been ejected for a while.
"""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND
from .context import ControllerContext
from .model import AttemptSums, Endpoint

MIN_ATTEMPTS = 3  # minimum for an endpoint to count in the usual failure fraction
MIN_FAILURES = 3  # minimum for an endpoint to be ejected
EXCESS_FAILURES = 0.75  # failure fraction above the usual one at which an endpoint is ejected
FIRST_EJECTION_TICKS = 5 * TICKS_PER_SECOND
MAX_EJECTION_TICKS = 4 * FIRST_EJECTION_TICKS
FORGET_EJECTIONS_TICKS = 3 * MAX_EJECTION_TICKS  # time after an ejection until its duration is reset


class OutlierDetector:
    """Ejects endpoints and ends expired ejections."""

    def __init__(self, context: ControllerContext) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime

    def update(self, now: int) -> bool:
        """Updates the ejections of all endpoints in service; returns whether one was ejected."""
        sums_by_endpoint = [
            (endpoint, endpoint.attempts(now))
            for endpoint in self._fleet.endpoints.values()
            if endpoint.is_in_service
        ]
        usual_fraction = self._usual_failure_fraction(sums_by_endpoint)
        has_ejected = False
        for endpoint, sums in sums_by_endpoint:
            failure_fraction = sums.failures / max(sums.attempts, 1.0)
            if endpoint.is_ejected:
                if now >= endpoint.ejected_until:
                    self._end_ejection(endpoint)
            elif sums.failures >= MIN_FAILURES and failure_fraction - usual_fraction > EXCESS_FAILURES:
                self._eject(now, endpoint, sums, usual_fraction)
                has_ejected = True
        return has_ejected

    @staticmethod
    def _usual_failure_fraction(sums_by_endpoint: list[tuple[Endpoint, AttemptSums]]) -> float:
        """Returns the first quartile of the failure fractions, as half of the fleet may be failing."""
        fractions = sorted(
            sums.failures / sums.attempts
            for endpoint, sums in sums_by_endpoint
            if sums.attempts >= MIN_ATTEMPTS and not endpoint.is_ejected
        )
        return fractions[len(fractions) // 4] if fractions else 0.0

    def _eject(self, now: int, endpoint: Endpoint, sums: AttemptSums, usual_fraction: float) -> None:
        if now - endpoint.ejected_until > FORGET_EJECTIONS_TICKS:
            endpoint.ejection_ticks = 0
        doubled = min(2 * endpoint.ejection_ticks, MAX_EJECTION_TICKS)
        endpoint.ejection_ticks = doubled or FIRST_EJECTION_TICKS
        endpoint.is_ejected = True
        endpoint.ejected_until = now + endpoint.ejection_ticks
        self._runtime.log(
            f"endpoint ejected endpoint={endpoint.name} failures={sums.failures:.0f} "
            f"attempts={sums.attempts:.0f} usual_failure_fraction={usual_fraction:.2f} "
            f"seconds={endpoint.ejection_ticks / TICKS_PER_SECOND:.0f}"
        )

    def _end_ejection(self, endpoint: Endpoint) -> None:
        endpoint.is_ejected = False
        endpoint.forget_attempts()
        self._runtime.log(f"endpoint ejection ended endpoint={endpoint.name}")

"""Validates an update by its effect on the fleet in its current state.

Each check looks at the tables that one proxy would hold, together with those that all other proxies hold. The
worst finding decides, with two exemptions: updates that only exclude endpoints that are out of service, and
tables of the last remaining endpoints.
"""

from __future__ import annotations

from collections.abc import Callable

from .case import Case, make_case
from .content_checks import (
    check_known_endpoints,
    check_retries,
    check_route_constraints,
    check_version,
    check_weights,
)
from .endpoint_checks import check_drain_grace, check_empty_tables, check_slow_start
from .load_checks import check_capacity, check_load_concentration, check_queue
from .model import Candidate, ContentKey
from .verdict import Finding, Outcome, Rule, Verdict
from .world import World

Check = Callable[[Case, Verdict], None]

# Whether a check that raises fails closed (refuses the update) or open (is ignored). It fails closed where it
# is safe to keep the last tables, which passed; it fails open where a refusal could block a recovery, or
# would cost more than the failure that the check guards against.
FAILS_CLOSED = {
    "tries": True,  # a wrong retry may execute a request twice, which cannot be undone
    "weights": True,  # weights that cannot be published cannot be sent
    "version": True,  # the proxy rejects an older version anyway
    "cold": True,  # an endpoint without an entry is not overloaded
    "known": True,  # an entry for an unknown endpoint has no use
    "places": True,  # an endpoint that may not serve a route must get none of its requests
    "empty": False,  # the table may be the recovery from an outage
    "drained": False,  # the table may contain the exclusion
    "capacity": False,  # overload is shed; a refusal could leave requests on a dead endpoint
    "swing": False,  # as for capacity
    "queue": False,  # the channel enforces its limit itself
}

CONTENT_CHECKS = ("weights", "known", "places", "tries")  # same result for all proxies of a zone
NEVER_EXEMPT = ("tries", "weights", "version")
MAX_ACCEPTED_CONTENTS = 1000


class Validator:
    """Runs the checks on updates.

    Attributes:
        world: the state that updates are validated against.
        checks: the checks by name, in the order in which they run.
    """

    def __init__(self, world: World, shadow: bool = False) -> None:
        """`shadow`: updates that would not pass are let through, with the outcome noted in the verdict."""
        self.world = world
        self.checks: dict[str, Check] = {
            "version": check_version,
            "weights": check_weights,
            "known": check_known_endpoints,
            "places": check_route_constraints,
            "tries": check_retries,
            "drained": check_drain_grace,
            "empty": check_empty_tables,
            "cold": check_slow_start,
            "capacity": check_capacity,
            "swing": check_load_concentration,
            "queue": check_queue,
        }
        self._shadow = shadow
        # by content and zone: the version of the endpoint list for which the content checks passed
        self._accepted: dict[tuple[ContentKey, str], int] = {}

    def validate(self, now: int, candidate: Candidate) -> Verdict:
        """Validates a candidate. Never raises: a check that raises fails as `FAILS_CLOSED` states."""
        verdict = Verdict()
        try:
            case = make_case(now, self.world, candidate)
        except Exception as error:
            text = f"cannot compute the shares of requests: {error!r}"
            verdict.add(
                Finding(
                    check="shares",
                    outcome=Outcome.REFUSED,
                    rule=Rule.NONE,
                    text=text,
                    remedy="correct the tables",
                )
            )
            return verdict
        is_accepted = self._is_accepted(case)
        for name, check in self.checks.items():
            if not (is_accepted and name in CONTENT_CHECKS):
                _run_check(name, check, case, verdict)
        if not verdict.has_passed:
            _apply_exemptions(case, verdict)
        elif not verdict.check_errors:
            self._accept(case)
        if self._shadow and not verdict.has_passed:
            verdict.exempt(verdict.exemption or f"shadow: it would be {verdict.outcome.value}")
        return verdict

    def _is_accepted(self, case: Case) -> bool:
        """Whether the same tables passed for a proxy of the zone under the same endpoint list."""
        key = case.candidate.tables.key
        list_version = self.world.endpoints.list_version
        return key is not None and self._accepted.get((key, case.zone)) == list_version

    def _accept(self, case: Case) -> None:
        key = case.candidate.tables.key
        if key is None:
            return
        if len(self._accepted) > MAX_ACCEPTED_CONTENTS:
            self._accepted.clear()
        self._accepted[key, case.zone] = self.world.endpoints.list_version


def _run_check(name: str, check: Check, case: Case, verdict: Verdict) -> None:
    try:
        check(case, verdict)
    except Exception as error:
        is_closed = FAILS_CLOSED[name]
        direction = "closed" if is_closed else "open"
        verdict.check_errors.append(f"check {name} raised an error and fails {direction}: {error!r}")
        if is_closed:
            remedy = "report this error with its record"
            verdict.add(
                Finding(
                    check=name,
                    outcome=Outcome.REFUSED,
                    rule=Rule.NONE,
                    text="the check itself raised an error",
                    remedy=remedy,
                )
            )


def _apply_exemptions(case: Case, verdict: Verdict) -> None:
    """Exempts updates that only exclude endpoints, or that are the best available choice."""
    checks = {finding.check for finding in verdict.findings if finding.outcome is not Outcome.PASSED}
    if not checks.isdisjoint(NEVER_EXEMPT):
        return
    if _only_excludes_out_of_service(case):
        verdict.exempt("it only excludes endpoints that are draining or removed")
        return
    endpoints = case.world.endpoints
    in_service = [endpoint for endpoint in endpoints.by_name.values() if endpoint.is_in_service]
    has_warm = any(endpoints.is_warm(case.now, endpoint) for endpoint in in_service)
    if checks == {"cold"} and not has_warm:
        verdict.exempt("all endpoints in service are in slow start")
    elif not in_service:
        verdict.exempt("no endpoint is in service: no better table is available")


def _only_excludes_out_of_service(case: Case) -> bool:
    """Whether the update only excludes endpoints that are draining, removed or unknown."""
    last = case.world.last_tables(case.candidate.proxy)
    tables = case.candidate.tables
    if last is None or last.weights != tables.weights or last.retries != tables.retries:
        return False
    excluded = tables.excluded - last.excluded
    readmitted = last.excluded - tables.excluded
    endpoints = [case.world.endpoints.by_name.get(name) for name in excluded]
    has_in_service = any(endpoint is not None and endpoint.is_in_service for endpoint in endpoints)
    return bool(excluded) and not readmitted and not has_in_service

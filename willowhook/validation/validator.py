"""Judges an update by its effect on the world that it will meet.

Each check looks at the tables of one proxy, as they would be, beside what all others hold. The worst finding
decides, but what only excludes draining endpoints, and the last endpoints there are, always pass.
"""

from __future__ import annotations

from collections.abc import Callable

from .case import Case, make_case
from .content_checks import check_known, check_places, check_retries, check_version, check_weights
from .endpoint_checks import check_cold, check_drained, check_empty
from .load_checks import check_capacity, check_queue, check_swing
from .model import Candidate, ContentKey
from .verdict import Finding, Outcome, Rule, Verdict
from .world import World

Check = Callable[[Case, Verdict], None]

# Which way a check fails that raises. Closed where the last tables, which passed, are safe to go on with;
# open where a refusal could keep back a rescue, or costs more than what it guards against.
FAILS_CLOSED = {
    "tries": True,  # a wrong retry may have an effect twice, and cannot be taken back
    "weights": True,  # what cannot be published cannot be sent
    "version": True,  # the proxy rejects a version that goes back anyway
    "cold": True,  # an endpoint without an entry is not overloaded
    "known": True,  # an entry for an unknown endpoint brings nothing
    "places": True,  # an endpoint that may not serve a route gets none of its requests
    "empty": False,  # the table may be the rescue
    "drained": False,  # the table may carry the exclusion
    "capacity": False,  # overload sheds; a refusal could leave requests with a dead endpoint
    "swing": False,  # the same
    "queue": False,  # the channel measures its limit itself
}

CONTENT_CHECKS = ("weights", "known", "places", "tries")  # their result is the same for a zone's proxies
NEVER_EXEMPT = ("tries", "weights", "version")
MAX_ACCEPTED_CONTENTS = 1000


class Validator:
    """Runs the checks.

    Attributes:
        world: the world that updates are judged against.
        checks: the checks by name, in their order.
    """

    def __init__(self, world: World, shadow: bool = False) -> None:
        """`shadow`: updates that would not pass are passed, marked as such."""
        self.world = world
        self.checks: dict[str, Check] = {
            "version": check_version,
            "weights": check_weights,
            "known": check_known,
            "places": check_places,
            "tries": check_retries,
            "drained": check_drained,
            "empty": check_empty,
            "cold": check_cold,
            "capacity": check_capacity,
            "swing": check_swing,
            "queue": check_queue,
        }
        self._shadow = shadow
        # by content and zone: the endpoint list under which the content checks found nothing
        self._accepted: dict[tuple[ContentKey, str], int] = {}

    def validate(self, now: int, candidate: Candidate) -> Verdict:
        """Judges a candidate. Never raises: a check that does fails in its stated direction."""
        verdict = Verdict()
        try:
            case = make_case(now, self.world, candidate)
        except Exception as error:
            text = f"cannot be worked out: {error!r}"
            verdict.add(
                Finding(
                    check="shares",
                    outcome=Outcome.REFUSED,
                    rule=Rule.NONE,
                    text=text,
                    remedy="mend the tables",
                )
            )
            return verdict
        is_accepted = self._is_accepted(case)
        for name, check in self.checks.items():
            if not (is_accepted and name in CONTENT_CHECKS):
                _run_check(name, check, case, verdict)
        if not verdict.has_passed:
            _exempt_rescue(case, verdict)
        elif not verdict.check_errors:
            self._accept(case)
        if self._shadow and not verdict.has_passed:
            verdict.exempt(verdict.exemption or f"shadow: it would be {verdict.outcome.value}")
        return verdict

    def _is_accepted(self, case: Case) -> bool:
        """Whether the same tables were judged for another proxy of the zone, under the same list."""
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
            remedy = "report it with the record"
            verdict.add(
                Finding(
                    check=name,
                    outcome=Outcome.REFUSED,
                    rule=Rule.NONE,
                    text="the check itself raised an error",
                    remedy=remedy,
                )
            )


def _exempt_rescue(case: Case, verdict: Verdict) -> None:
    """Lets pass what only takes endpoints away, or is the best that there is."""
    checks = {finding.check for finding in verdict.findings if finding.outcome is not Outcome.PASSED}
    if not checks.isdisjoint(NEVER_EXEMPT):
        return
    if _only_excludes_out_of_service(case):
        verdict.exempt("it only withdraws hosts that drain or are gone")
        return
    endpoints = case.world.endpoints
    in_service = [endpoint for endpoint in endpoints.by_name.values() if endpoint.is_in_service]
    has_warm = any(endpoints.is_warm(case.now, endpoint) for endpoint in in_service)
    if checks == {"cold"} and not has_warm:
        verdict.exempt("all hosts that are open are in slow start")
    elif not in_service:
        verdict.exempt("no host is open: every choice is bad, and this one is taken")


def _only_excludes_out_of_service(case: Case) -> bool:
    """Whether all that the update changes is to exclude endpoints that are draining, removed or unknown."""
    last = case.world.last_tables(case.candidate.proxy)
    tables = case.candidate.tables
    if last is None or last.weights != tables.weights or last.retries != tables.retries:
        return False
    excluded = tables.excluded - last.excluded
    readmitted = last.excluded - tables.excluded
    known = [case.world.endpoints.by_name.get(name) for name in excluded]
    has_in_service = any(endpoint is not None and endpoint.is_in_service for endpoint in known)
    return bool(excluded) and not readmitted and not has_in_service

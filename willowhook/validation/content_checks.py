"""Checks of an update's form and content: version, weights, endpoints, retries.

Each check adds what it finds to the verdict. The texts stand in records; their words are those of
`docs/guard.md`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from ..decisions.settings import RequestSemantics
from .case import Case
from .verdict import Finding, Outcome, Rule, Verdict

WEIGHT_SCALE = 10_000  # a weight of 1 as the whole number that is published
MAX_PUBLISHED_WEIGHT = 2**32 / 4096  # so that the sum over a table's entries fits 32 bits
MAX_WEIGHT_RATIO = 1e6  # of the largest to the smallest weight in one table
MAX_ROUNDING_FRACTION = 0.25  # by how much a share may change when weights become whole numbers
MIN_ROUNDING_CHANGE = 0.001  # of all requests; a smaller change of a share does not matter
MIN_RETRIES = 0
MAX_RETRIES = 3
MAX_SAFE_RETRIES = 1  # after proof that the attempt never executed; 2 and 3 retry after any failure


def check_version(case: Case, verdict: Verdict) -> None:
    """Refuses versions that go back, and updates for proxies that have not joined."""
    if case.proxy is None:
        verdict.add(_refused("version", "the proxy has not joined", "wait until it has"))
    elif case.candidate.version <= case.proxy.newest:
        newest = case.proxy.newest
        text = f"{case.candidate.version} goes back, {newest} was sent"
        verdict.add(_refused("version", text, f"go on above {newest}"))


def check_weights(case: Case, verdict: Verdict) -> None:
    """Refuses weights that cannot be published as they are meant, bad limits, and missing routes."""
    seen: set[int] = set()
    tables = case.candidate.tables
    for route, weights in enumerate(tables.weights):
        if id(weights) in seen:
            continue  # routes that share a table
        seen.add(id(weights))
        if not _has_valid_weights(case, route, weights, verdict):
            return
        if weights and _has_valid_range(case, route, weights, verdict):
            _check_rounding(case, route, weights, verdict)
    for route, limit in enumerate(tables.limits):
        if math.isnan(limit) or limit < 0:
            text = f"the admission limit is {limit}"
            verdict.add(_refused("weights", text, "a limit of 0 or more", route=case.route_name(route)))
    expected = len(case.world.settings.routes)
    if len(tables.weights) != expected:
        text = f"{len(tables.weights)} routes of {expected}"
        remedy = "name a table for every route"
        verdict.add(
            Finding(
                check="weights",
                outcome=Outcome.REFUSED,
                rule=Rule.EMPTY_TABLE,
                text=text,
                remedy=remedy,
            )
        )


def _has_valid_weights(case: Case, route: int, weights: Mapping[str, float], verdict: Verdict) -> bool:
    for endpoint, weight in weights.items():
        if not (math.isfinite(weight) and weight > 0):
            text = f"the weight is {weight}"
            verdict.add(
                _refused("weights", text, "a weight above 0", route=case.route_name(route), endpoint=endpoint)
            )
            return False
    return True


def _has_valid_range(case: Case, route: int, weights: Mapping[str, float], verdict: Verdict) -> bool:
    least = min(weights.values())
    most = max(weights.values())
    ratio = most / least
    if ratio <= MAX_WEIGHT_RATIO and most * WEIGHT_SCALE <= MAX_PUBLISHED_WEIGHT:
        return True
    text = f"weights from {least:g} to {most:g}"
    remedy = f"keep them within {MAX_WEIGHT_RATIO:g} of each other"
    name = case.route_name(route)
    verdict.add(_refused("weights", text, remedy, route=name, figure=ratio, limit=MAX_WEIGHT_RATIO))
    return False


def _check_rounding(case: Case, route: int, weights: Mapping[str, float], verdict: Verdict) -> None:
    total = sum(weights.values())
    published = {endpoint: max(round(weight * WEIGHT_SCALE), 1) for endpoint, weight in weights.items()}
    published_total = sum(published.values())
    for endpoint, weight in weights.items():
        meant = weight / total
        becomes = published[endpoint] / published_total
        change = abs(becomes - meant)
        if change > MAX_ROUNDING_FRACTION * meant and change > MIN_ROUNDING_CHANGE:
            text = f"its share is {meant:.2%}, but {becomes:.2%} as whole numbers"
            remedy = f"scale all weights up by {1 / (min(weights.values()) * WEIGHT_SCALE):.0f} or more"
            name = case.route_name(route)
            verdict.add(
                _refused("weights", text, remedy, route=name, endpoint=endpoint, figure=becomes, limit=meant)
            )
            return


def check_known(case: Case, verdict: Verdict) -> None:
    """Refuses endpoints that no list names, or whose address is not known."""
    for name in case.shares.endpoints:
        endpoint = case.world.endpoints.by_name.get(name)
        if endpoint is None:
            verdict.add(_refused("known", "no list names it", "take it out", endpoint=name))
        elif not endpoint.has_address:
            verdict.add(_refused("known", "it has no address", "take it out", endpoint=name))


def check_places(case: Case, verdict: Verdict) -> None:
    """Refuses endpoints of a zone or class that may not serve the route."""
    endpoints = case.world.endpoints
    for route, shares in enumerate(case.shares.by_route):
        if not case.world.settings.routes[route].has_constraints:
            continue
        for name in shares:
            endpoint = endpoints.by_name.get(name)
            if endpoint is not None and not endpoints.may_serve(route, endpoint, case.zone):
                kind = endpoint.endpoint_class or "of no kind"
                text = f"it is {kind} in {endpoint.zone}, which may not serve this route"
                verdict.add(
                    _refused("places", text, "take it out", route=case.route_name(route), endpoint=name)
                )


def check_retries(case: Case, verdict: Verdict) -> None:
    """Refuses retries after any failure where a request must not run twice."""
    for route, retries in enumerate(case.candidate.tables.retries):
        constraints = case.world.settings.routes[route]
        if not MIN_RETRIES <= retries <= MAX_RETRIES:
            text = f"the retry mode {retries} is not defined"
            verdict.add(
                Finding(
                    check="tries",
                    outcome=Outcome.REFUSED,
                    rule=Rule.RETRIES,
                    text=text,
                    remedy="0 to 3",
                    route=constraints.name,
                )
            )
        elif retries > MAX_SAFE_RETRIES and constraints.semantics is not RequestSemantics.IDEMPOTENT:
            semantics = constraints.semantics.value
            text = f"the retry mode {retries} retries after any failure, and calls are {semantics}"
            verdict.add(
                Finding(
                    check="tries",
                    outcome=Outcome.REFUSED,
                    rule=Rule.RETRIES,
                    text=text,
                    remedy="1 at the most",
                    route=constraints.name,
                    figure=retries,
                    limit=MAX_SAFE_RETRIES,
                )
            )


def _refused(
    check: str,
    text: str,
    remedy: str,
    *,
    route: str = "",
    endpoint: str = "",
    figure: float = 0.0,
    limit: float = 0.0,
) -> Finding:
    return Finding(
        check=check,
        outcome=Outcome.REFUSED,
        rule=Rule.NONE,
        text=text,
        remedy=remedy,
        route=route,
        endpoint=endpoint,
        figure=figure,
        limit=limit,
    )

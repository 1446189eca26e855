"""Checks of an update's form and content: version, weights, endpoints, retries.

Each check adds its findings to the verdict. The texts of findings are written to records; the checks are
described in `docs/guard.md`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from ..decisions.settings import RequestSemantics
from .case import Case
from .verdict import Finding, Outcome, Rule, Verdict

WEIGHT_SCALE = 10_000  # the integer that is published for a weight of 1
MAX_PUBLISHED_WEIGHT = 2**32 / 4096  # so that the sum of the weights of a table fits 32 bits
MAX_WEIGHT_RATIO = 1e6  # of the largest to the smallest weight in one table
MAX_ROUNDING_FRACTION = 0.25  # largest relative change of a share when weights are rounded to integers
MIN_ROUNDING_CHANGE = 0.001  # fraction of all requests; a smaller change of a share is ignored
MIN_RETRIES = 0
MAX_RETRIES = 3
MAX_SAFE_RETRIES = 1  # retries only attempts that provably never executed; 2 and 3 retry after any failure


def check_version(case: Case, verdict: Verdict) -> None:
    """Refuses versions that are not newer than the last one sent, and updates for unjoined proxies."""
    if case.proxy is None:
        verdict.add(_refused("version", "the proxy has not joined", "wait until it has joined"))
    elif case.candidate.version <= case.proxy.newest:
        newest = case.proxy.newest
        text = f"version {case.candidate.version} is not newer than {newest}, which was already sent"
        verdict.add(_refused("version", text, f"use a version above {newest}"))


def check_weights(case: Case, verdict: Verdict) -> None:
    """Refuses weights that cannot be published accurately, invalid admission limits, and missing routes."""
    seen: set[int] = set()
    tables = case.candidate.tables
    for route, weights in enumerate(tables.weights):
        if id(weights) in seen:
            continue  # a table that routes share is checked once
        seen.add(id(weights))
        if not _has_valid_weights(case, route, weights, verdict):
            return
        if weights and _has_valid_range(case, route, weights, verdict):
            _check_rounding(case, route, weights, verdict)
    for route, limit in enumerate(tables.limits):
        if math.isnan(limit) or limit < 0:
            text = f"the admission limit is {limit}"
            verdict.add(_refused("weights", text, "set a limit of 0 or more", route=case.route_name(route)))
    expected = len(case.world.settings.routes)
    if len(tables.weights) != expected:
        text = f"{len(tables.weights)} of {expected} routes have a table"
        remedy = "provide a table for every route"
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
                _refused(
                    "weights", text, "set a weight above 0", route=case.route_name(route), endpoint=endpoint
                )
            )
            return False
    return True


def _has_valid_range(case: Case, route: int, weights: Mapping[str, float], verdict: Verdict) -> bool:
    smallest = min(weights.values())
    largest = max(weights.values())
    ratio = largest / smallest
    if ratio <= MAX_WEIGHT_RATIO and largest * WEIGHT_SCALE <= MAX_PUBLISHED_WEIGHT:
        return True
    text = f"the weights range from {smallest:g} to {largest:g}"
    remedy = f"keep them within a factor of {MAX_WEIGHT_RATIO:g} of each other"
    name = case.route_name(route)
    verdict.add(_refused("weights", text, remedy, route=name, figure=ratio, limit=MAX_WEIGHT_RATIO))
    return False


def _check_rounding(case: Case, route: int, weights: Mapping[str, float], verdict: Verdict) -> None:
    total = sum(weights.values())
    published = {endpoint: max(round(weight * WEIGHT_SCALE), 1) for endpoint, weight in weights.items()}
    published_total = sum(published.values())
    for endpoint, weight in weights.items():
        exact_share = weight / total
        published_share = published[endpoint] / published_total
        change = abs(published_share - exact_share)
        if change > MAX_ROUNDING_FRACTION * exact_share and change > MIN_ROUNDING_CHANGE:
            text = f"its share is {exact_share:.2%}, but {published_share:.2%} with weights as integers"
            remedy = f"scale all weights up by {1 / (min(weights.values()) * WEIGHT_SCALE):.0f} or more"
            name = case.route_name(route)
            verdict.add(
                _refused(
                    "weights",
                    text,
                    remedy,
                    route=name,
                    endpoint=endpoint,
                    figure=published_share,
                    limit=exact_share,
                )
            )
            return


def check_known_endpoints(case: Case, verdict: Verdict) -> None:
    """Refuses endpoints that were never listed, or whose address is not known."""
    for name in case.shares.endpoints:
        endpoint = case.world.endpoints.by_name.get(name)
        if endpoint is None:
            verdict.add(_refused("known", "the endpoint was never listed", "remove it", endpoint=name))
        elif not endpoint.has_address:
            verdict.add(_refused("known", "the endpoint has no address", "remove it", endpoint=name))


def check_route_constraints(case: Case, verdict: Verdict) -> None:
    """Refuses endpoints whose zone or class may not serve the route."""
    endpoints = case.world.endpoints
    for route, shares in enumerate(case.shares.by_route):
        if not case.world.settings.routes[route].has_constraints:
            continue
        for name in shares:
            endpoint = endpoints.by_name.get(name)
            if endpoint is not None and not endpoints.may_serve(route, endpoint, case.zone):
                endpoint_class = endpoint.endpoint_class or "none"
                text = f"endpoint class {endpoint_class} in zone {endpoint.zone} may not serve this route"
                verdict.add(
                    _refused("places", text, "remove it", route=case.route_name(route), endpoint=name)
                )


def check_retries(case: Case, verdict: Verdict) -> None:
    """Refuses retry modes that are undefined, or that retry after any failure on non-idempotent routes."""
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
                    remedy="use a retry mode from 0 to 3",
                    route=constraints.name,
                )
            )
        elif retries > MAX_SAFE_RETRIES and constraints.semantics is not RequestSemantics.IDEMPOTENT:
            semantics = constraints.semantics.value
            text = f"the retry mode {retries} retries after any failure, and requests are {semantics}"
            verdict.add(
                Finding(
                    check="tries",
                    outcome=Outcome.REFUSED,
                    rule=Rule.RETRIES,
                    text=text,
                    remedy="use a retry mode of at most 1",
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

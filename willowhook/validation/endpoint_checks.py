"""Checks of an update's effect on endpoints: draining, empty tables, slow start.

Each check adds what it finds to the verdict. The texts stand in records; their words are those of
`docs/guard.md`.
"""

from __future__ import annotations

from collections.abc import Mapping

from .case import Case, exceeds
from .model import ProxyTables, ValidatedEndpoint
from .verdict import Finding, Outcome, Rule, Step, Verdict

FIRST_STEP_MARGIN = 0.95  # of the share that the budget of an endpoint in slow start allows


def check_drained(case: Case, verdict: Verdict) -> None:
    """Refuses endpoints that are draining or removed for longer than the drain grace."""
    grace = case.world.settings.drain_grace_ticks
    endpoints = case.world.endpoints
    for name in endpoints.not_in_service:
        if name not in case.shares.endpoints:
            continue
        endpoint = endpoints.by_name[name]
        past = case.now - endpoint.since
        if past >= grace:
            text = f"it is {endpoint.mode.value} since {past}, the grace is {grace}"
            verdict.add(
                Finding(
                    check="drained",
                    outcome=Outcome.REFUSED,
                    rule=Rule.DRAINING,
                    text=text,
                    remedy="withdraw it",
                    endpoint=name,
                    figure=past,
                    limit=grace,
                )
            )


def check_empty(case: Case, verdict: Verdict) -> None:
    """Refuses to leave a route without a warm endpoint in service while one is listed."""
    for route, shares in enumerate(case.shares.by_route):
        if any(_is_warm_in_service(case, name) for name in shares):
            continue  # most often the first
        better = _find_warm(case, route)
        if better is None:
            continue  # there is nothing warm that the update could name
        known = case.world.endpoints.by_name
        left = [known[name] for name in shares if name in known]
        in_service = sum(endpoint.is_in_service for endpoint in left)
        verdict.add(
            Finding(
                check="empty",
                outcome=Outcome.REFUSED,
                rule=Rule.EMPTY_TABLE,
                text=_describe_empty(len(left), in_service),
                remedy=f"add a warm host, such as {better.name}",
                route=case.route_name(route),
                figure=in_service,
                limit=1,
            )
        )


def _describe_empty(left: int, in_service: int) -> str:
    if in_service:
        return f"all {in_service} hosts that are left when drains complete are in slow start"
    return f"all {left} hosts drain or are gone" if left else "the table has no entry left"


def _is_warm_in_service(case: Case, name: str) -> bool:
    endpoints = case.world.endpoints
    endpoint = endpoints.by_name.get(name)
    return endpoint is not None and endpoint.is_in_service and endpoints.is_warm(case.now, endpoint)


def _find_warm(case: Case, route: int) -> ValidatedEndpoint | None:
    endpoints = case.world.endpoints
    for endpoint in endpoints.by_name.values():
        if not endpoint.is_in_service or not endpoint.has_address:
            continue
        if endpoints.may_serve(route, endpoint, case.zone) and endpoints.is_warm(case.now, endpoint):
            return endpoint
    return None


def check_cold(case: Case, verdict: Verdict) -> None:
    """Splits or refuses what sends an endpoint in slow start more than its budget.

    What other controllers' proxies do is taken to be the same as here, in proportion.
    """
    world = case.world
    for endpoint in world.endpoints.cold(case.now):
        name = endpoint.name
        if name not in case.rises:
            continue  # what takes requests away is never in the way
        before = world.exposure(name)
        after = before + case.rises[name]
        requests = after * world.fleet_factor()
        budget = world.cold_budget(case.now, endpoint)
        if budget > 0 and exceeds(requests, budget) and exceeds(after, before):
            _add_cold_finding(case, verdict, endpoint, after, requests, budget)


def _add_cold_finding(
    case: Case, verdict: Verdict, endpoint: ValidatedEndpoint, after: float, requests: float, budget: float
) -> None:
    world = case.world
    name = endpoint.name
    needed_warmth = requests / budget * world.endpoints.warmth(case.now, endpoint)
    text = f"{requests:.1f} calls/s may come, {budget:.1f} are allowed while it is cold"
    own = world.load_from(case.candidate.proxy, case.shares, name)
    fraction = max(0.0, (budget / world.fleet_factor() - (after - own)) / own) if own else 0.0
    if exceeds(needed_warmth, 1.0):
        remedy = f"{fraction:.0%} of its share"
        verdict.add(
            Finding(
                check="cold",
                outcome=Outcome.REFUSED,
                rule=Rule.SLOW_START,
                text=text,
                remedy=remedy,
                endpoint=name,
                figure=requests,
                limit=budget,
            )
        )
        return
    until = max(_warm_at(case, endpoint, min(needed_warmth, 1.0)), case.now)
    remedy = f"{fraction:.0%} of its share now, or all of it from {until}"
    verdict.add(
        Finding(
            check="cold",
            outcome=Outcome.SPLIT,
            rule=Rule.SLOW_START,
            text=text,
            remedy=remedy,
            endpoint=name,
            figure=requests,
            limit=budget,
            until=until,
        )
    )
    verdict.steps += _split(case.now, case.candidate.tables, name, fraction, until)


def _warm_at(case: Case, endpoint: ValidatedEndpoint, warmth: float) -> int:
    """The tick at which an endpoint has this fraction of its capacity."""
    start = case.world.settings.slow_start_fraction
    slow_start = case.world.settings.slow_start_ticks
    return endpoint.started_at + round((warmth - start) / (1 - start) * slow_start)


def _split(now: int, tables: ProxyTables, endpoint: str, fraction: float, until: int) -> list[Step]:
    """First with a weight that keeps the endpoint within its budget, then whole."""
    first = tuple(_cut_weight(weights, endpoint, fraction) for weights in tables.weights)
    whole = tuple(dict(weights) for weights in tables.weights)
    return [
        Step(now, first, f"{endpoint} at {fraction:.0%} of its weight"),
        Step(until, whole, "the whole table"),
    ]


def _cut_weight(weights: Mapping[str, float], endpoint: str, fraction: float) -> dict[str, float]:
    """The weights with an endpoint's share of the requests cut to this fraction, less a margin."""
    cut = dict(weights)
    weight = weights.get(endpoint, 0.0)
    others = sum(each for name, each in weights.items() if name != endpoint)
    total = others + weight
    if weight and others:
        share = weight / total * fraction * FIRST_STEP_MARGIN if total else 0.0
        cut[endpoint] = share * others / (1 - share)
    return {name: each for name, each in cut.items() if each > 0}

"""Checks of an update's effect on endpoints: draining, empty tables, slow start.

Each check adds its findings to the verdict. The texts of findings are written to records; the checks are
described in `docs/guard.md`.
"""

from __future__ import annotations

from collections.abc import Mapping

from .case import Case, exceeds
from .model import ProxyTables, ValidatedEndpoint
from .verdict import Finding, Outcome, Rule, Step, Verdict

FIRST_STEP_MARGIN = 0.95  # fraction of the share that the load budget of an endpoint in slow start allows


def check_drain_grace(case: Case, verdict: Verdict) -> None:
    """Refuses endpoints that have been draining or removed for the drain grace or longer."""
    grace = case.world.settings.drain_grace_ticks
    endpoints = case.world.endpoints
    for name in endpoints.not_in_service:
        if name not in case.shares.endpoints:
            continue
        endpoint = endpoints.by_name[name]
        elapsed = case.now - endpoint.since
        if elapsed >= grace:
            text = (
                f"it has been {endpoint.mode.value} for {elapsed} ticks of 0.1 ms, the drain grace is {grace}"
            )
            verdict.add(
                Finding(
                    check="drained",
                    outcome=Outcome.REFUSED,
                    rule=Rule.DRAINING,
                    text=text,
                    remedy="exclude it",
                    endpoint=name,
                    figure=elapsed,
                    limit=grace,
                )
            )


def check_empty_tables(case: Case, verdict: Verdict) -> None:
    """Refuses tables that leave a route without a warm endpoint in service while one is listed."""
    for route, shares in enumerate(case.shares.by_route):
        if any(_is_warm_in_service(case, name) for name in shares):
            continue  # usually decided by the first endpoint
        alternative = _find_warm(case, route)
        if alternative is None:
            continue  # no warm endpoint is available to the update
        known = case.world.endpoints.by_name
        listed = [known[name] for name in shares if name in known]
        in_service = sum(endpoint.is_in_service for endpoint in listed)
        verdict.add(
            Finding(
                check="empty",
                outcome=Outcome.REFUSED,
                rule=Rule.EMPTY_TABLE,
                text=_describe_empty(len(listed), in_service),
                remedy=f"add a warm endpoint, such as {alternative.name}",
                route=case.route_name(route),
                figure=in_service,
                limit=1,
            )
        )


def _describe_empty(listed: int, in_service: int) -> str:
    if in_service:
        return f"all {in_service} endpoints that remain when drains complete are in slow start"
    return f"all {listed} endpoints are draining or removed" if listed else "the table has no usable entry"


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


def check_slow_start(case: Case, verdict: Verdict) -> None:
    """Splits or refuses updates that send an endpoint in slow start more than its load budget.

    The load from the proxies of other controllers is estimated in proportion to that of the own proxies.
    """
    world = case.world
    for endpoint in world.endpoints.warming_up(case.now):
        name = endpoint.name
        if name not in case.added_load:
            continue  # an update that adds no load is always allowed
        before = world.exposure(name)
        after = before + case.added_load[name]
        requests = after * world.fleet_factor()
        budget = world.slow_start_budget(case.now, endpoint)
        if budget > 0 and exceeds(requests, budget) and exceeds(after, before):
            _add_slow_start_finding(case, verdict, endpoint, after, requests, budget)


def _add_slow_start_finding(
    case: Case, verdict: Verdict, endpoint: ValidatedEndpoint, after: float, requests: float, budget: float
) -> None:
    world = case.world
    name = endpoint.name
    needed_fraction = requests / budget * world.endpoints.capacity_fraction(case.now, endpoint)
    text = f"it may get {requests:.1f} requests/s, {budget:.1f} are allowed during slow start"
    own = world.load_from(case.candidate.proxy, case.shares, name)
    fraction = max(0.0, (budget / world.fleet_factor() - (after - own)) / own) if own else 0.0
    if exceeds(needed_fraction, 1.0):
        remedy = f"reduce it to {fraction:.0%} of its share"
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
    until = max(_capacity_reached_at(case, endpoint, min(needed_fraction, 1.0)), case.now)
    remedy = f"send it {fraction:.0%} of its share now, or all of it from tick {until} on (1 tick = 0.1 ms)"
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


def _capacity_reached_at(case: Case, endpoint: ValidatedEndpoint, fraction: float) -> int:
    """Returns the tick at which an endpoint reaches this fraction of its capacity in slow start."""
    start = case.world.settings.slow_start_fraction
    slow_start = case.world.settings.slow_start_ticks
    return endpoint.started_at + round((fraction - start) / (1 - start) * slow_start)


def _split(now: int, tables: ProxyTables, endpoint: str, fraction: float, until: int) -> list[Step]:
    """Returns two steps: a weight that keeps the endpoint within its budget, then the complete tables."""
    reduced = tuple(_scale_weight(weights, endpoint, fraction) for weights in tables.weights)
    complete = tuple(dict(weights) for weights in tables.weights)
    return [
        Step(now, reduced, f"{endpoint} at {fraction:.0%} of its weight"),
        Step(until, complete, "the complete table"),
    ]


def _scale_weight(weights: Mapping[str, float], endpoint: str, fraction: float) -> dict[str, float]:
    """Returns weights that reduce an endpoint's share of the requests to this fraction, less a margin."""
    scaled = dict(weights)
    weight = weights.get(endpoint, 0.0)
    others = sum(other for name, other in weights.items() if name != endpoint)
    total = others + weight
    if weight and others:
        share = weight / total * fraction * FIRST_STEP_MARGIN if total else 0.0
        scaled[endpoint] = share * others / (1 - share)
    return {name: scaled_weight for name, scaled_weight in scaled.items() if scaled_weight > 0}

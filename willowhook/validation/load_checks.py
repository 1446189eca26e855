"""Checks of the load that an update causes: on endpoints, and on the update channel.

Each check adds its findings to the verdict. The texts of findings are written to records; the checks are
described in `docs/guard.md`.
"""

from __future__ import annotations

import math

from .case import Case, exceeds
from .model import ValidatedEndpoint
from .verdict import Finding, Outcome, Rule, Verdict

MIN_OVERLOAD_INCREASE_FACTOR = 1.02  # a smaller increase of an existing overload is allowed
MIN_LOAD_INCREASE_FRACTION = 0.02  # of the load before; a smaller increase is not reported


def check_capacity(case: Case, verdict: Verdict) -> None:
    """Refuses more requests for an endpoint than its class can serve, where a capacity is configured."""
    world = case.world
    settings = world.settings
    if not settings.capacity_per_second or case.proxy is None:
        return
    for name, increase in case.added_load.items():
        endpoint = world.endpoints.by_name.get(name)
        if endpoint is None:
            continue
        capacity = settings.capacity_per_second.get(endpoint.endpoint_class, 0.0)
        if not capacity:
            continue
        capacity *= world.endpoints.capacity_fraction(case.now, endpoint) * settings.max_capacity_fraction
        before = world.exposure(name) + world.load_elsewhere(endpoint)
        requests = before + increase
        if exceeds(requests, capacity) and requests > before * MIN_OVERLOAD_INCREASE_FACTOR:
            text = f"it may get {requests:.1f} requests/s, its capacity is {capacity:.1f}"
            remedy = f"reduce it to {capacity / requests:.0%} of its weight"
            verdict.add(
                Finding(
                    check="capacity",
                    outcome=Outcome.REFUSED,
                    rule=Rule.NONE,
                    text=text,
                    remedy=remedy,
                    endpoint=name,
                    figure=requests,
                    limit=capacity,
                )
            )


def check_load_concentration(case: Case, verdict: Verdict) -> None:
    """Refuses to give one endpoint many times its even share of the load of the endpoints in service."""
    world = case.world
    even_load = world.even_load()
    if even_load <= 0:
        return
    for name, increase in case.added_load.items():
        endpoint = world.endpoints.by_name.get(name)
        if endpoint is not None:
            _check_endpoint_load(case, verdict, endpoint, increase, even_load)


def _check_endpoint_load(
    case: Case, verdict: Verdict, endpoint: ValidatedEndpoint, increase: float, even_load: float
) -> None:
    world = case.world
    before = world.load(endpoint.name)
    limit = world.settings.max_share_factor * even_load * endpoint.capacity
    if before + increase <= limit / 2 or increase <= before * MIN_LOAD_INCREASE_FRACTION:
        return
    requests = before + increase + world.load_elsewhere(endpoint)
    if not exceeds(requests, limit) or _is_spread_of_busy_proxy(case, endpoint, before, even_load):
        return
    count = len(world.endpoints.by_name) - len(world.endpoints.not_in_service)
    total = sum(world.total_rates) * world.fleet_factor()
    text = f"it may get {requests:.1f} of {total:.1f} requests/s"
    remedy = f"spread them: {count} endpoints are in service"
    verdict.add(
        Finding(
            check="swing",
            outcome=Outcome.REFUSED,
            rule=Rule.NONE,
            text=text,
            remedy=remedy,
            endpoint=endpoint.name,
            figure=requests,
            limit=limit,
        )
    )


def _is_spread_of_busy_proxy(
    case: Case, endpoint: ValidatedEndpoint, before: float, even_load: float
) -> bool:
    """Whether the load comes from one busy proxy that spreads its requests over few endpoints.

    That is so if the load before is at most an even share, and the endpoint gets at most twice an even part
    of the proxy's own requests.
    """
    world = case.world
    if before > even_load * endpoint.capacity or len(world.proxies) < 2:
        return False
    proxy = case.candidate.proxy
    own_rate = sum(world.proxies[proxy].rates)
    endpoint_count = max(len(shares) for shares in case.shares.by_route if endpoint.name in shares)
    return (
        endpoint_count > 1
        and world.load_from(proxy, case.shares, endpoint.name) <= 2 * own_rate / endpoint_count
    )


def check_queue(case: Case, verdict: Verdict) -> None:
    """Holds updates that exceed the queue limit or the message cap."""
    _check_queue_limit(case, verdict)
    _check_message_cap(case, verdict)


def _check_queue_limit(case: Case, verdict: Verdict) -> None:
    settings = case.world.settings
    candidate = case.candidate
    waiting = case.world.waiting_entries(case.now) + (0 if candidate.is_queued else candidate.cost_entries)
    limit = settings.queue_limit_entries
    if waiting > limit:
        until = case.now + math.ceil((waiting - limit) / settings.entries_per_tick)
        text = f"{waiting:.0f} entries would be queued, the limit is {limit:.0f}"
        verdict.add(_held(text, until=until, figure=waiting, limit=limit))


def _check_message_cap(case: Case, verdict: Verdict) -> None:
    settings = case.world.settings
    cap = settings.message_cap
    if case.proxy is None or not cap:
        return
    window = settings.message_cap_window_ticks
    recent = [sent_at for sent_at in case.proxy.sent_at if sent_at > case.now - window]
    if len(recent) >= cap:
        text = f"{len(recent)} messages were sent to this proxy within the window, the cap is {cap}"
        verdict.add(_held(text, until=recent[-cap] + window, figure=len(recent), limit=cap))


def _held(text: str, *, until: int, figure: float, limit: float) -> Finding:
    remedy = f"send it from tick {until} on (1 tick = 0.1 ms)"
    return Finding(
        check="queue",
        outcome=Outcome.HELD,
        rule=Rule.QUEUE,
        text=text,
        remedy=remedy,
        figure=figure,
        limit=limit,
        until=until,
    )

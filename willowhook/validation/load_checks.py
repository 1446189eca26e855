"""Checks of the load that an update makes: on endpoints, and on the update channel.

Each check adds what it finds to the verdict. The texts stand in records; their words are those of
`docs/guard.md`.
"""

from __future__ import annotations

import math

from .case import Case, exceeds
from .model import ValidatedEndpoint
from .verdict import Finding, Outcome, Rule, Verdict

MIN_RISE_OVER_CAPACITY = 1.02  # a smaller rise of an overload is let through
MIN_RISE_FRACTION = 0.02  # of the load before; a smaller rise is no swing


def check_capacity(case: Case, verdict: Verdict) -> None:
    """Refuses more requests for an endpoint than its class can serve, where that is configured."""
    world = case.world
    settings = world.settings
    if not settings.capacity_per_second or case.proxy is None:
        return
    for name, rise in case.rises.items():
        endpoint = world.endpoints.by_name.get(name)
        if endpoint is None:
            continue
        capacity = settings.capacity_per_second.get(endpoint.endpoint_class, 0.0)
        if not capacity:
            continue
        capacity *= world.endpoints.warmth(case.now, endpoint) * settings.max_capacity_fraction
        before = world.exposure(name) + world.load_elsewhere(endpoint)
        requests = before + rise
        if exceeds(requests, capacity) and requests > before * MIN_RISE_OVER_CAPACITY:
            text = f"{requests:.1f} calls/s may come, it can do {capacity:.1f}"
            remedy = f"{capacity / requests:.0%} of its weight"
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


def check_swing(case: Case, verdict: Verdict) -> None:
    """Refuses to give one endpoint many times its even share while others in service could have a part."""
    world = case.world
    even_load = world.even_load()
    if even_load <= 0:
        return
    for name, rise in case.rises.items():
        endpoint = world.endpoints.by_name.get(name)
        if endpoint is not None:
            _check_swing_of(case, verdict, endpoint, rise, even_load)


def _check_swing_of(
    case: Case, verdict: Verdict, endpoint: ValidatedEndpoint, rise: float, even_load: float
) -> None:
    world = case.world
    before = world.load(endpoint.name)
    limit = world.settings.max_share_factor * even_load * endpoint.capacity
    if before + rise <= limit / 2 or rise <= before * MIN_RISE_FRACTION:
        return
    requests = before + rise + world.load_elsewhere(endpoint)
    if not exceeds(requests, limit) or _is_spread_of_busy_proxy(case, endpoint, before, even_load):
        return
    count = len(world.endpoints.by_name) - len(world.endpoints.not_in_service)
    total = sum(world.total_rates) * world.fleet_factor()
    text = f"{requests:.1f} of {total:.1f} calls/s may come"
    remedy = f"spread them: {count} hosts are open"
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
    """Whether one busy proxy spreads its requests over the few endpoints that it has.

    That is so if the load before is no more than an even share, and the endpoint gets at most twice its
    part of the proxy's own requests.
    """
    world = case.world
    if before > even_load * endpoint.capacity or len(world.proxies) < 2:
        return False
    proxy = case.candidate.proxy
    own = sum(world.proxies[proxy].rates)
    widest = max(len(shares) for shares in case.shares.by_route if endpoint.name in shares)
    return widest > 1 and world.load_from(proxy, case.shares, endpoint.name) <= 2 * own / widest


def check_queue(case: Case, verdict: Verdict) -> None:
    """Holds updates over the queue limit or the message cap."""
    _check_queue_limit(case, verdict)
    _check_message_cap(case, verdict)


def _check_queue_limit(case: Case, verdict: Verdict) -> None:
    settings = case.world.settings
    candidate = case.candidate
    waiting = case.world.waiting_entries(case.now) + (0 if candidate.is_queued else candidate.cost_entries)
    limit = settings.queue_limit_entries
    if waiting > limit:
        until = case.now + math.ceil((waiting - limit) / settings.entries_per_tick)
        text = f"{waiting:.0f} lines would wait, {limit:.0f} may"
        verdict.add(_held(text, until=until, figure=waiting, limit=limit))


def _check_message_cap(case: Case, verdict: Verdict) -> None:
    settings = case.world.settings
    cap = settings.message_cap
    if case.proxy is None or not cap:
        return
    window = settings.message_cap_window_ticks
    recent = [sent_at for sent_at in case.proxy.sent_at if sent_at > case.now - window]
    if len(recent) >= cap:
        text = f"{len(recent)} messages went to this proxy recently, {cap} may"
        verdict.add(_held(text, until=recent[-cap] + window, figure=len(recent), limit=cap))


def _held(text: str, *, until: int, figure: float, limit: float) -> Finding:
    remedy = f"send it from {until}"
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

"""A trial's day: what there is, what calls come, which troubles strike; all drawn ahead from a seed."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from ..config.terms import (
    ChannelTerms,
    FileTerms,
    FleetTerms,
    RecordTerms,
    RosterTerms,
    RouteTerms,
    RuleTerms,
    Terms,
)

ZONES = ("norte", "sur")
KINDS = {"wide": (4, 1.5), "usual": (2, 1.0), "old": (3, 0.6)}  # cores, speed of one
WORK_MS = {"load": 210.0, "save": 130.0, "submit": 210.0}
SHARES = {"load": 0.45, "save": 0.37, "submit": 0.18}


class EndpointPlan(msgspec.Struct):
    id: str
    zone: str
    kind: str
    cores: int
    speed: float
    waiting: int  # calls that may wait for a core
    connections: int
    handshake_ms: float
    port: int = 0


class ProxyPlan(msgspec.Struct):
    id: str
    zone: str
    share: float  # of all calls
    port: int = 0
    form: str = "files"  # by which its director speaks to it: files, whole, delta


class Fault(msgspec.Struct):
    """One trouble: `kind` strikes at `at_s` for `for_s`; `part` of those it may strike, `size` how hard."""

    kind: str
    at_s: float
    for_s: float = 5.0
    part: float = 0.2
    size: float = 0.0
    route: str = ""


class Scenario(msgspec.Struct):
    seed: int
    length_s: float
    calls_per_s: float
    hosts: list[EndpointPlan]
    proxies: list[ProxyPlan]
    routes: list[RouteTerms]
    directors: int
    channel: ChannelTerms
    rules: RuleTerms
    fleet: FleetTerms
    troubles: list[Fault]
    roster_late_s: float = 0.5
    redial_s: float = 0.3
    director_lost_after_s: float = 1.0
    client_retries: int = 1
    client_wait_ms: float = 100.0
    host_slots: int = 0  # hosts that start later (grow)


def routes() -> list[RouteTerms]:
    return [
        RouteTerms(name="load", path="/load-task", slo_time_ms=1500, time_limit_ms=5000, importance=1,
                   late_importance=0.1, semantics="repeatable"),
        RouteTerms(name="save", path="/save-answer", slo_time_ms=1000, time_limit_ms=2500, importance=2,
                   late_importance=0.2, semantics="keyed", group="zone", window_ms=2500, writes=True),
        RouteTerms(name="submit", path="/submit-task", slo_time_ms=1500, time_limit_ms=4000, importance=2,
                   late_importance=0.1, semantics="mutating", writes=True),
    ]  # fmt: skip


def draw_scenario(
    seed: int, length_s: float = 40, hosts: int = 12, proxies: int = 8, directors: int = 2,
    calls_per_s: float = 110.0, troubles: list[Fault] | None = None, spare: int = 2,
) -> Scenario:  # fmt: skip
    """A day of this size; `troubles` None draws a bad day of at least eight kinds."""
    chance = random.Random(seed)
    plans = []
    names = [*KINDS]
    for k in range(hosts + spare):
        kind = names[k % 3] if k < 3 else chance.choices(names, (0.44, 0.3, 0.26))[0]
        cores, speed = KINDS[kind]
        speed *= chance.uniform(0.9, 1.1)
        name, speed = f"host-{chance.randrange(1 << 24):06x}", round(speed, 3)
        plans.append(EndpointPlan(name, ZONES[k % 2], kind, cores, speed, cores * 20, 400, 8.0))
    weights = [chance.lognormvariate(0, 0.6) for _ in range(proxies)]
    fleet = [ProxyPlan(f"proxy-{k}", ZONES[k % 2], weights[k] / sum(weights)) for k in range(proxies)]
    lines = max(1600.0, 5.0 * proxies * 8)
    channel = ChannelTerms(
        lines_per_s=lines, head_lines=6, most_waiting_lines=max(2 * lines, proxies * 16), late_ms=20,
        late_most_ms=300, messages_most=60, messages_over_ms=10_000, order_price=0.05,
    )  # fmt: skip
    rules = RuleTerms(
        bare_ms=2500, drain_grace_ms=2500, start_capacity=0.3, cold_ms=10_000, fall_multiple=4, fall_ms=2000
    )
    terms = FleetTerms(proxies=proxies, pick="pair", standing=5, admit="rps", report_every_ms=500,
                       reports_per_s=2000, cross_zone_price=0.04)  # fmt: skip
    if troubles is None:
        troubles = draw_faults(random.Random(seed + 1), length_s)
    return Scenario(seed, length_s, calls_per_s, plans, fleet, routes(), directors, channel, rules, terms,
               sorted(troubles, key=lambda row: row.at_s), host_slots=spare)  # fmt: skip


def draw_faults(chance: random.Random, length_s: float) -> list[Fault]:
    """At least eight kinds, some overlapping; a director killed and back is always among them."""
    always = [
        Fault("director_killed", 0, chance.uniform(2, 4)),
        Fault("host_crash", 0, chance.uniform(4, 8), 0.15),
        Fault("deploy", 0, chance.uniform(5, 8), chance.uniform(0.2, 0.35)),
        Fault("host_hang", 0, chance.uniform(4, 8), 0.1),
        Fault("fast_errors", 0, chance.uniform(4, 8), 0.15, chance.uniform(0.5, 1.0)),
        Fault("streams_lost", 0, 0.3, chance.uniform(0.3, 0.8)),
        Fault("roster_away", 0, chance.uniform(4, 8)),
        Fault("host_slow", 0, chance.uniform(5, 9), 0.15, chance.uniform(2, 5)),
    ]
    more = [
        Fault("burst", 0, chance.uniform(3, 5), 1, chance.uniform(1.3, 1.7)),
        Fault("disk_full", 0, chance.uniform(1.0, 1.8)),
        Fault("proxy_killed", 0, chance.uniform(1.5, 3), 0.3),
        Fault("zone_cut", 0, chance.uniform(4, 6)),
        Fault("route_unanswered", 0, chance.uniform(4, 8), 0.1, route="submit"),
        Fault("false_load", 0, chance.uniform(6, 9), 0.2, 0.05),
        Fault("one_sided", 0, chance.uniform(4, 7), 0.2, chance.uniform(0.3, 0.8)),
        Fault("roster_frozen", 0, chance.uniform(4, 7)),
        Fault("shrink", 0, chance.uniform(4, 6), 0.15),
        Fault("grow", 0, 1.0),
        Fault("conn_squeeze", 0, chance.uniform(4, 7), 0.3, 0.05),
        Fault("decline", 0, chance.uniform(6, 9), 0.1),
    ]
    picked = always + chance.sample(more, 3)
    chance.shuffle(picked)
    first, room = 4.0, length_s - 4.0 - 8.0
    for k, trouble in enumerate(picked):
        trouble.at_s = round(first + room * (k + chance.uniform(0, 0.8)) / len(picked), 2)
    return picked


def controller_config(
    day: Scenario, rank: int, folder: str, roster_url: str, records: str, **files: Any
) -> Terms:
    """What this director of the day is told."""
    lost = max(2000.0, 3 * day.fleet.report_every_ms)
    return Terms(
        name=f"director-{rank}", rank=rank, directors=day.directors, zone=ZONES[rank % 2], zones=ZONES,
        seed=day.seed, files=FileTerms(folder=folder, proxy_lost_after_ms=lost, **files),
        roster=RosterTerms(url=roster_url, service="tasks", wait_ms=4000, timeout_ms=1000),
        routes=tuple(day.routes), channel=day.channel, rules=day.rules, fleet=day.fleet,
        records=RecordTerms(file=records),
    )  # fmt: skip


class Arrival(msgspec.Struct):
    at: float
    id: str
    proxy: int
    route: str
    work_ms: float
    key: str


def arrivals(day: Scenario) -> list[Arrival]:
    """All calls of the day, from its seed alone: the same whatever serves them."""
    chance = random.Random(day.seed * 7 + 3)
    found, at, k = list[Arrival](), 0.0, 0
    bursts = [row for row in day.troubles if row.kind == "burst"]
    shares = [proxy.share for proxy in day.proxies]
    names, parts = [*SHARES], [*SHARES.values()]
    while True:
        rate = day.calls_per_s * min(1.0, 0.4 + at / 3)  # the first seconds are slower
        for row in bursts:
            if row.at_s <= at < row.at_s + row.for_s:
                rate *= row.size
        at += chance.expovariate(rate)
        if at >= day.length_s:
            return found
        route = chance.choices(names, parts)[0]
        work = min(chance.lognormvariate(-0.18, 0.6), 6.0) * WORK_MS[route]
        found.append(
            Arrival(
                at, f"c{k}", chance.choices(range(len(shares)), shares)[0], route, round(work, 2), f"k{k}"
            )
        )
        k += 1

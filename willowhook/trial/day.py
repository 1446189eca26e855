"""The scenario of a test fleet: its processes, its requests and its faults, all drawn from a seed in advance.

A scenario is handed to the client processes as JSON, so its field names are part of that file format.
"""

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
ENDPOINT_CLASSES = {"wide": (4, 1.5), "usual": (2, 1.0), "old": (3, 0.6)}  # cores, speed of each core
MEAN_WORK_MS = {"load": 210.0, "save": 130.0, "submit": 210.0}
ROUTE_SHARES = {"load": 0.45, "save": 0.37, "submit": 0.18}


class EndpointPlan(msgspec.Struct):
    """An endpoint of the fleet: its place and its capacity."""

    id: str
    zone: str
    kind: str
    cores: int
    speed: float
    waiting: int  # most requests that may wait for a core
    connections: int  # most open connections
    handshake_ms: float
    port: int = 0  # 0 until its process has started


class ProxyPlan(msgspec.Struct):
    """A proxy of the fleet."""

    id: str
    zone: str
    share: float  # of all requests
    port: int = 0
    form: str = "files"  # how its controller sends updates: files, whole (complete xDS responses) or delta


class Fault(msgspec.Struct):
    """A fault of this kind that is injected at `at_s` and lasts `for_s`.

    `part` is the fraction of the possible targets that it affects, and `size` its severity.
    """

    kind: str
    at_s: float
    for_s: float = 5.0
    part: float = 0.2
    size: float = 0.0
    route: str = ""


class Scenario(msgspec.Struct):
    """Everything that a run of a test fleet needs; encoded as JSON for the client processes."""

    seed: int
    length_s: float
    calls_per_s: float
    hosts: list[EndpointPlan]
    proxies: list[ProxyPlan]
    routes: list[RouteTerms]
    directors: int  # number of controllers
    channel: ChannelTerms
    rules: RuleTerms
    fleet: FleetTerms
    troubles: list[Fault]  # by start time
    roster_late_s: float = 0.5  # delay of the registry's entries
    redial_s: float = 0.3
    director_lost_after_s: float = 1.0
    client_retries: int = 1
    client_wait_ms: float = 100.0
    host_slots: int = 0  # endpoints that start only with the fault "grow"


def default_routes() -> list[RouteTerms]:
    """One route of each semantics."""
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
    """A scenario of this size. If `troubles` is None, faults of at least eight kinds are drawn."""
    rng = random.Random(seed)
    endpoint_plans = []
    class_names = [*ENDPOINT_CLASSES]
    for index in range(hosts + spare):
        endpoint_class = (
            class_names[index % 3] if index < 3 else rng.choices(class_names, (0.44, 0.3, 0.26))[0]
        )
        cores, speed = ENDPOINT_CLASSES[endpoint_class]
        speed *= rng.uniform(0.9, 1.1)
        name, speed = f"host-{rng.randrange(1 << 24):06x}", round(speed, 3)
        endpoint_plans.append(
            EndpointPlan(name, ZONES[index % 2], endpoint_class, cores, speed, cores * 20, 400, 8.0)
        )
    weights = [rng.lognormvariate(0, 0.6) for _ in range(proxies)]
    proxy_plans = [
        ProxyPlan(f"proxy-{index}", ZONES[index % 2], weights[index] / sum(weights))
        for index in range(proxies)
    ]
    entries_per_s = max(1600.0, 5.0 * proxies * 8)
    channel = ChannelTerms(
        lines_per_s=entries_per_s, head_lines=6, most_waiting_lines=max(2 * entries_per_s, proxies * 16),
        late_ms=20, late_most_ms=300, messages_most=60, messages_over_ms=10_000, order_price=0.05,
    )  # fmt: skip
    rules = RuleTerms(
        bare_ms=2500, drain_grace_ms=2500, start_capacity=0.3, cold_ms=10_000, fall_multiple=4, fall_ms=2000
    )
    fleet_config = FleetTerms(
        proxies=proxies, pick="pair", standing=5, admit="rps", report_every_ms=500, reports_per_s=2000,
        cross_zone_price=0.04,
    )  # fmt: skip
    if troubles is None:
        troubles = draw_faults(random.Random(seed + 1), length_s)
    return Scenario(
        seed, length_s, calls_per_s, endpoint_plans, proxy_plans, default_routes(), directors, channel, rules,
        fleet_config, sorted(troubles, key=lambda fault: fault.at_s), host_slots=spare,
    )  # fmt: skip


def draw_faults(rng: random.Random, length_s: float) -> list[Fault]:
    """Faults of at least eight kinds, some of which overlap. One kills and restarts a controller."""
    mandatory = [
        Fault("director_killed", 0, rng.uniform(2, 4)),
        Fault("host_crash", 0, rng.uniform(4, 8), 0.15),
        Fault("deploy", 0, rng.uniform(5, 8), rng.uniform(0.2, 0.35)),
        Fault("host_hang", 0, rng.uniform(4, 8), 0.1),
        Fault("fast_errors", 0, rng.uniform(4, 8), 0.15, rng.uniform(0.5, 1.0)),
        Fault("streams_lost", 0, 0.3, rng.uniform(0.3, 0.8)),
        Fault("roster_away", 0, rng.uniform(4, 8)),
        Fault("host_slow", 0, rng.uniform(5, 9), 0.15, rng.uniform(2, 5)),
    ]
    optional = [
        Fault("burst", 0, rng.uniform(3, 5), 1, rng.uniform(1.3, 1.7)),
        Fault("disk_full", 0, rng.uniform(1.0, 1.8)),
        Fault("proxy_killed", 0, rng.uniform(1.5, 3), 0.3),
        Fault("zone_cut", 0, rng.uniform(4, 6)),
        Fault("route_unanswered", 0, rng.uniform(4, 8), 0.1, route="submit"),
        Fault("false_load", 0, rng.uniform(6, 9), 0.2, 0.05),
        Fault("one_sided", 0, rng.uniform(4, 7), 0.2, rng.uniform(0.3, 0.8)),
        Fault("roster_frozen", 0, rng.uniform(4, 7)),
        Fault("shrink", 0, rng.uniform(4, 6), 0.15),
        Fault("grow", 0, 1.0),
        Fault("conn_squeeze", 0, rng.uniform(4, 7), 0.3, 0.05),
        Fault("decline", 0, rng.uniform(6, 9), 0.1),
    ]
    picked = mandatory + rng.sample(optional, 3)
    rng.shuffle(picked)
    first_s, span_s = 4.0, length_s - 4.0 - 8.0
    for index, fault in enumerate(picked):
        fault.at_s = round(first_s + span_s * (index + rng.uniform(0, 0.8)) / len(picked), 2)
    return picked


def controller_config(
    scenario: Scenario, rank: int, folder: str, registry_url: str, record_file: str, **file_settings: Any
) -> Terms:
    """The configuration of the controller with this rank."""
    proxy_lost_after_ms = max(2000.0, 3 * scenario.fleet.report_every_ms)
    return Terms(
        name=f"director-{rank}", rank=rank, directors=scenario.directors, zone=ZONES[rank % 2], zones=ZONES,
        seed=scenario.seed,
        files=FileTerms(folder=folder, proxy_lost_after_ms=proxy_lost_after_ms, **file_settings),
        roster=RosterTerms(url=registry_url, service="tasks", wait_ms=4000, timeout_ms=1000),
        routes=tuple(scenario.routes), channel=scenario.channel, rules=scenario.rules, fleet=scenario.fleet,
        records=RecordTerms(file=record_file),
    )  # fmt: skip


class Arrival(msgspec.Struct):
    """A request that a client makes."""

    at: float  # seconds after the start of the scenario
    id: str
    proxy: int  # index of the proxy that it goes to
    route: str
    work_ms: float  # on a core of speed 1
    key: str  # idempotency key


def arrivals(scenario: Scenario) -> list[Arrival]:
    """All requests of a scenario, drawn from its seed alone: the same whatever serves them."""
    rng = random.Random(scenario.seed * 7 + 3)
    requests, at, number = list[Arrival](), 0.0, 0
    bursts = [burst for burst in scenario.troubles if burst.kind == "burst"]
    shares = [proxy.share for proxy in scenario.proxies]
    route_names, route_shares = [*ROUTE_SHARES], [*ROUTE_SHARES.values()]
    while True:
        rate = scenario.calls_per_s * min(1.0, 0.4 + at / 3)  # ramp up over the first seconds
        for burst in bursts:
            if burst.at_s <= at < burst.at_s + burst.for_s:
                rate *= burst.size
        at += rng.expovariate(rate)
        if at >= scenario.length_s:
            return requests
        route = rng.choices(route_names, route_shares)[0]
        work_ms = min(rng.lognormvariate(-0.18, 0.6), 6.0) * MEAN_WORK_MS[route]
        requests.append(
            Arrival(
                at,
                f"c{number}",
                rng.choices(range(len(shares)), shares)[0],
                route,
                round(work_ms, 2),
                f"k{number}",
            )
        )
        number += 1

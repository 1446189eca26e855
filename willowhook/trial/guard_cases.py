"""Random tables for update validation: bad ones of many kinds and good ones, each confirmed by the oracle."""

from __future__ import annotations

import math
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ..decisions.settings import RequestSemantics
from ..ticks import TICKS_PER_SECOND, ticks_from_seconds
from ..validation.model import (
    Candidate,
    EndpointMode,
    ProxyTables,
    RouteConstraints,
    UpdateVersion,
    ValidatedEndpoint,
    ValidationSettings,
)
from ..validation.validator import Validator
from ..validation.verdict import Outcome
from ..validation.world import World
from .oracle import SimulatedEndpoint, SimulatedProxy, Situation, find_violations

NOW = 1000 * TICKS_PER_SECOND
SEMANTICS = ("idempotent", "deduplicated", "at_most_once")


def healthy_situation(generator: random.Random) -> Situation:
    """Draws a healthy fleet and a candidate that changes little."""
    zones, classes = ("norte", "sur"), ("wide", "usual")
    count = generator.randint(8, 24)
    endpoints = {
        f"h{index}": SimulatedEndpoint(
            weight=generator.uniform(0.8, 1.25),
            endpoint_class=classes[index % 2],
            zone=zones[(index // 2) % 2],
        )
        for index in range(count)
    }
    constraints: list[tuple[bool, tuple[str, ...]]] = [(False, ()), (False, ()), (False, ("wide",))]
    if generator.random() < 0.3:
        constraints[1] = (True, ())
    proxies = []
    for _ in range(generator.randint(3, 12)):
        zone = generator.choice(zones)
        proxies.append(
            SimulatedProxy(
                [generator.uniform(1, 20) for _ in SEMANTICS], zone, table(endpoints, constraints, zone)
            )
        )
    situation = Situation(
        endpoints, proxies, list(SEMANTICS), constraints, grace=2.5, cold_s=generator.uniform(8, 20),
        start_capacity=generator.uniform(0.2, 0.4), fall_multiple=generator.uniform(2.5, 4.0), fall_s=2.0,
        fleet=len(proxies) * generator.choice((1, 1, 2)), tables=[], excluded=set(),
        retry_modes=[generator.choice((0, 1, 2, 3)), generator.choice((0, 1)), generator.choice((0, 1))],
        admission_limits=[generator.choice((0.0, 0.5, 1.0, 30.0, math.inf)) for _ in SEMANTICS],
        version=(2, 1, 8), newest=(2, 1, 7), update_cost=generator.uniform(10, 60),
        waiting=generator.uniform(0, 500), most_waiting=3200, rate=1600,
    )  # fmt: skip
    base_table = table(endpoints, constraints, proxies[0].zone)
    situation.tables = [
        {endpoint: weight * generator.uniform(0.7, 1.4) for endpoint, weight in entries.items()}
        for entries in base_table
    ]
    return situation


def table(
    endpoints: dict[str, SimulatedEndpoint], constraints: list[tuple[bool, tuple[str, ...]]], zone: str
) -> list[dict[str, float]]:
    """Per route, an entry for every open endpoint that may serve it, without cold ones."""
    return [
        {
            name: endpoint.weight
            for name, endpoint in endpoints.items()
            if endpoint.mode == "open" and endpoint.age > 1e6 and (not own_zone_only or endpoint.zone == zone)
            and (not classes or endpoint.endpoint_class in classes)
        }
        for own_zone_only, classes in constraints
    ]  # fmt: skip


def sample_endpoints(situation: Situation, generator: random.Random, count: int, route: int = 0) -> list[str]:
    """Draws endpoints that have an entry in the candidate."""
    return generator.sample(sorted(situation.tables[route]), min(count, len(situation.tables[route])))


def make_cold(situation: Situation, generator: random.Random, name: str) -> SimulatedEndpoint:
    """Makes an endpoint a recently started one, without entries outside the candidate."""
    endpoint = situation.endpoints[name]
    endpoint.age = generator.uniform(0, situation.cold_s * 0.2)
    for proxy in situation.proxies:
        for entries in proxy.tables:
            entries.pop(name, None)
    return endpoint


# Bad cases: each takes a healthy situation and makes the candidate invalid.


def no_entries(situation: Situation, generator: random.Random) -> None:
    """One route has no entries."""
    situation.tables[generator.randrange(3)] = {}


def all_excluded(situation: Situation, generator: random.Random) -> None:
    """All endpoints of a route are excluded."""
    situation.excluded = set(situation.tables[generator.randrange(3)])


def all_draining(situation: Situation, generator: random.Random) -> None:
    """Valid by itself, but all its endpoints are draining and will be removed."""
    names = sample_endpoints(situation, generator, 2)
    for name in names:
        situation.endpoints[name].mode, situation.endpoints[name].since = "draining", generator.uniform(0, 2)
    situation.tables[0] = {name: 1.0 for name in names}


def all_removed(situation: Situation, generator: random.Random) -> None:
    """All endpoints of a route were just removed."""
    names = sample_endpoints(situation, generator, 3)
    for name in names:
        situation.endpoints[name].mode, situation.endpoints[name].since = "gone", generator.uniform(0, 2)
    situation.tables[0] = {name: 1.0 for name in names}


def only_cold_left(situation: Situation, generator: random.Random) -> None:
    """Valid by itself, but after the drain only a cold endpoint is left, while warm ones are listed."""
    cold, draining = sample_endpoints(situation, generator, 2)
    make_cold(situation, generator, cold)
    situation.endpoints[draining].mode, situation.endpoints[draining].since = (
        "draining",
        generator.uniform(0, 2),
    )
    situation.tables[0] = {cold: 0.01, draining: 1.0}


def cold_gets_all(situation: Situation, generator: random.Random) -> None:
    """A cold endpoint has three times the weight of all others together."""
    cold = sample_endpoints(situation, generator, 1)[0]
    make_cold(situation, generator, cold)
    for proxy in situation.proxies[1:]:  # the other proxies have it too
        for entries in proxy.tables:
            if entries:
                entries[cold] = 3 * sum(entries.values())
    for entries in situation.tables:
        if cold in entries:
            entries[cold] = 3 * sum(entries.values())


def cold_by_total_weight(situation: Situation, generator: random.Random) -> None:
    """Each proxy's share is small, but the sum is too much, and this candidate exceeds the limit."""
    cold = sample_endpoints(situation, generator, 1)[0]
    cold_endpoint = make_cold(situation, generator, cold)
    total = sum(sum(p.rates) for p in situation.proxies)
    open_size = sum(endpoint.weight for endpoint in situation.endpoints.values())
    share = min(
        1.35
        * situation.fall_multiple
        * (situation.start_capacity + (1 - situation.start_capacity) * cold_endpoint.age / situation.cold_s)
        * cold_endpoint.weight
        / open_size,
        0.6,
    )
    for index, proxy in enumerate(situation.proxies):
        for entries in situation.tables if index == 0 else proxy.tables:
            other_weight = sum(weight for name, weight in entries.items() if name != cold)
            if other_weight:
                entries[cold] = share * other_weight / (1 - share)
    assert total > 0


def drained_endpoint(situation: Situation, generator: random.Random) -> None:
    """An endpoint has an entry although its drain grace is over."""
    endpoint = situation.endpoints[sample_endpoints(situation, generator, 1)[0]]
    endpoint.mode, endpoint.since = "draining", situation.grace + generator.uniform(0, 30)


def removed_endpoint(situation: Situation, generator: random.Random) -> None:
    """An endpoint has an entry although it was removed longer than the drain grace ago."""
    endpoint = situation.endpoints[sample_endpoints(situation, generator, 1)[0]]
    endpoint.mode, endpoint.since = "gone", situation.grace + generator.uniform(0, 30)


def unknown_endpoint(situation: Situation, generator: random.Random) -> None:
    """An entry names an endpoint that no list contains."""
    situation.tables[generator.randrange(2)][f"x{generator.randrange(99)}"] = generator.uniform(0.01, 2)


def no_address(situation: Situation, generator: random.Random) -> None:
    """An endpoint has no address."""
    situation.endpoints[sample_endpoints(situation, generator, 1)[0]].reachable = False


def wrong_endpoint_class(situation: Situation, generator: random.Random) -> None:
    """An endpoint serves a route that its class may not serve."""
    situation.tables[2][
        generator.choice(
            [name for name, endpoint in situation.endpoints.items() if endpoint.endpoint_class != "wide"]
        )
    ] = generator.uniform(0.1, 1)


def wrong_zone(situation: Situation, generator: random.Random) -> None:
    """A route that must stay in its zone has an endpoint of the other zone."""
    situation.route_constraints[1] = (True, ())
    in_other_zone = [
        name for name, endpoint in situation.endpoints.items() if endpoint.zone != situation.proxies[0].zone
    ]
    situation.tables[1] = {
        name: 1.0
        for name, endpoint in situation.endpoints.items()
        if endpoint.zone == situation.proxies[0].zone
    } | {generator.choice(in_other_zone): 1.0}


def attempts_mutating(situation: Situation, generator: random.Random) -> None:
    """An at-most-once route retries after any failure."""
    situation.retry_modes[2] = generator.choice((2, 3))


def attempts_keyed(situation: Situation, generator: random.Random) -> None:
    """A deduplicated route retries after any failure."""
    situation.retry_modes[1] = generator.choice((2, 3))


def attempts_out_of_range(situation: Situation, generator: random.Random) -> None:
    """The retry mode is not a valid one."""
    situation.retry_modes[generator.randrange(3)] = generator.choice((-1, 4, 7, 99))


def weight_not_finite(situation: Situation, generator: random.Random) -> None:
    """A weight is not a finite positive number."""
    situation.tables[0][sample_endpoints(situation, generator, 1)[0]] = generator.choice(
        (math.nan, math.inf, -1.0, -math.inf, 0.0)
    )


def weights_round_to_zero(situation: Situation, generator: random.Random) -> None:
    """All weights are so small that they are rounded to zero."""
    names = sorted(situation.tables[0])
    situation.tables[0] = {name: 1e-5 * (1 + 20 * (index % 2)) for index, name in enumerate(names)}


def weight_too_large(situation: Situation, generator: random.Random) -> None:
    """A weight exceeds the maximum."""
    situation.tables[0][sample_endpoints(situation, generator, 1)[0]] = generator.uniform(200, 1e9)


def version_regresses(situation: Situation, generator: random.Random) -> None:
    """The version is not newer than the newest one of the proxy."""
    situation.version = generator.choice(((2, 1, 7), (2, 1, 3), (1, 9, 99), (2, 0, 50)))


def queue_full(situation: Situation, generator: random.Random) -> None:
    """The update does not fit into the queue."""
    situation.waiting, situation.update_cost = 3200 - generator.uniform(0, 30), generator.uniform(40, 400)


def too_many_messages(situation: Situation, generator: random.Random) -> None:
    """The message cap of the proxy is reached."""
    situation.messages_most = generator.randint(5, 30)
    situation.messages = situation.messages_most + generator.randint(0, 3)


def concentrate_on(name: str, entries: dict[str, float]) -> dict[str, float]:
    """Gives one endpoint nearly all of the weight."""
    return {name: 50.0, **{other: 0.1 for other in entries if other != name}} if name in entries else entries


def scale_by_class(
    situation: Situation, entries: dict[str, float], wide: float, usual: float
) -> dict[str, float]:
    """Scales the weights by endpoint class."""
    return {
        name: weight * (wide if situation.endpoints[name].endpoint_class == "wide" else usual)
        for name, weight in entries.items()
    }


def all_on_one(situation: Situation, generator: random.Random) -> None:
    """All proxies send nearly everything to one endpoint."""
    name = sample_endpoints(situation, generator, 1)[0]
    for proxy in situation.proxies[1:]:
        proxy.tables = [
            {name: 50.0, **{other: 0.1 for other in entries if other != name}} if name in entries else entries
            for entries in proxy.tables
        ]
    situation.proxies[0].rates = [sum(sum(p.rates) for p in situation.proxies) for _ in SEMANTICS]
    situation.tables = [concentrate_on(name, entries) for entries in situation.tables]
    for index in range(12):  # a large fleet, so that the fair share of one endpoint is small
        situation.endpoints[f"e{index}"] = SimulatedEndpoint(endpoint_class="wide", zone="norte")


def over_capacity(situation: Situation, generator: random.Random) -> None:
    """The endpoints of one class get more requests than their capacity."""
    total = sum(sum(p.rates) for p in situation.proxies) * max(1.0, situation.fleet / len(situation.proxies))
    usual = total / sum(endpoint.weight for endpoint in situation.endpoints.values())
    situation.class_capacity = {"wide": usual * 0.5, "usual": 1e9}
    for proxy in situation.proxies:
        proxy.tables = [scale_by_class(situation, entries, 0.05, 1.0) for entries in proxy.tables]
    situation.tables = [scale_by_class(situation, entries, 9.0, 0.2) for entries in situation.tables]
    situation.proxies[0].rates = [rate * 30 for rate in situation.proxies[0].rates]


def route_missing(situation: Situation, generator: random.Random) -> None:
    """The last route is missing."""
    situation.tables = situation.tables[:2]
    situation.retry_modes, situation.admission_limits = (
        situation.retry_modes[:2],
        situation.admission_limits[:2],
    )


def admission_limit_invalid(situation: Situation, generator: random.Random) -> None:
    """An admission limit is negative or not a number."""
    situation.admission_limits[generator.randrange(3)] = generator.choice((-1.0, math.nan, -0.001))


BAD_CASES: tuple[Callable[[Situation, random.Random], None], ...] = (
    no_entries, all_excluded, all_draining, all_removed, only_cold_left, cold_gets_all, cold_by_total_weight,
    drained_endpoint, removed_endpoint, unknown_endpoint, no_address, wrong_endpoint_class, wrong_zone,
    attempts_mutating, attempts_keyed, attempts_out_of_range, weight_not_finite, weights_round_to_zero,
    weight_too_large, version_regresses, queue_full, too_many_messages, all_on_one, over_capacity,
    route_missing, admission_limit_invalid,
)  # fmt: skip


# Good cases.


def small_weight_change(situation: Situation, generator: random.Random) -> None:
    """Keeps the small weight change of the healthy situation."""


def cold_within_slow_start(situation: Situation, generator: random.Random) -> None:
    """A cold endpoint gets the weight of its slow start."""
    name = sample_endpoints(situation, generator, 1)[0]
    endpoint = make_cold(situation, generator, name)
    for entries in situation.tables:
        if name in entries:
            entries[name] = (
                endpoint.weight
                * (
                    situation.start_capacity
                    + (1 - situation.start_capacity) * endpoint.age / situation.cold_s
                )
                * generator.uniform(0.5, 1.0)
            )


def drain_excluded(situation: Situation, generator: random.Random) -> None:
    """Draining or removed endpoints are excluded."""
    for name in sample_endpoints(situation, generator, 2):
        situation.endpoints[name].mode, situation.endpoints[name].since = (
            generator.choice(("draining", "gone")),
            generator.uniform(0, 60),
        )
        situation.excluded.add(name)


def drain_within_grace(situation: Situation, generator: random.Random) -> None:
    """An endpoint drains whose exclusion is on the way; the others are warm."""
    name = sample_endpoints(situation, generator, 1)[0]
    situation.endpoints[name].mode, situation.endpoints[name].since = (
        "draining",
        generator.uniform(0, situation.grace * 0.9),
    )


def only_exclusions(situation: Situation, generator: random.Random) -> None:
    """The update only excludes endpoints that were just removed."""
    situation.tables = [dict(entries) for entries in situation.proxies[0].tables]
    for name in sample_endpoints(situation, generator, 3):
        situation.endpoints[name].mode, situation.endpoints[name].since = "gone", generator.uniform(0, 1)
        situation.excluded.add(name)


def all_are_cold(situation: Situation, generator: random.Random) -> None:
    """No endpoint is warm: the cold ones share the load evenly."""
    for endpoint in situation.endpoints.values():
        endpoint.age = generator.uniform(0.3, 0.9) * situation.cold_s


def endpoint_left_out(situation: Situation, generator: random.Random) -> None:
    """An endpoint that drops requests is left out although it is listed."""
    name = sample_endpoints(situation, generator, 1)[0]
    for entries in situation.tables:
        if len(entries) > 2:
            entries.pop(name, None)


def latency_weights(situation: Situation, generator: random.Random) -> None:
    """The weights change by a factor of up to two."""
    situation.tables = [
        {name: weight * generator.uniform(0.5, 2.0) for name, weight in entries.items()}
        for entries in situation.tables
    ]


def another_epoch(situation: Situation, generator: random.Random) -> None:
    """The version has another term or epoch, or skips numbers."""
    situation.version = generator.choice(((2, 2, 1), (3, 1, 1), (2, 1, 1000)))


GOOD_CASES: tuple[Callable[[Situation, random.Random], None], ...] = (
    small_weight_change, cold_within_slow_start, drain_excluded, drain_within_grace, only_exclusions,
    all_are_cold, endpoint_left_out, latency_weights, another_epoch,
)  # fmt: skip


def candidate_of(situation: Situation) -> tuple[int, Validator, Candidate]:
    """Converts the situation into the validator's view: the time, the validator and the candidate."""
    routes = tuple(
        RouteConstraints(f"r{index}", RequestSemantics(SEMANTICS[index]), own_zone_only, (), classes)
        for index, (own_zone_only, classes) in enumerate(situation.route_constraints)
    )
    settings = ValidationSettings(
        routes,
        ticks_from_seconds(situation.grace),
        ticks_from_seconds(situation.cold_s),
        situation.start_capacity,
        situation.fall_multiple,
        situation.rate / TICKS_PER_SECOND,
        situation.most_waiting,
        situation.messages_most,
        10 * TICKS_PER_SECOND,
        situation.fleet,
        capacity_per_second=situation.class_capacity,
    )
    world = World(settings)
    validated = []
    for name, played in situation.endpoints.items():
        if played.known:
            started = 0 if played.age > 1e6 else NOW - ticks_from_seconds(played.age)
            mode = EndpointMode(played.mode)
            endpoint = ValidatedEndpoint(
                name, mode, 0, started, played.weight, played.endpoint_class, played.zone, played.reachable
            )
            world.endpoints.by_name[name] = endpoint
            endpoint.since = NOW - ticks_from_seconds(played.since)
            validated.append(endpoint)
    world.endpoints.refresh()
    for index, proxy in enumerate(situation.proxies):
        held = ProxyTables(tuple(proxy.tables), frozenset(proxy.excluded), (1, 1, 1), (math.inf,) * 3)
        if index == 0 and proxy.tables == situation.tables:
            held = ProxyTables(
                tuple(proxy.tables), frozenset(proxy.excluded), tuple(situation.retry_modes), (math.inf,) * 3
            )
        world.add_proxy(index, proxy.zone, tuple(proxy.rates), held)
    world.proxies[0].newest = UpdateVersion(*situation.newest)
    world.proxies[0].sent_at = [NOW - TICKS_PER_SECOND] * situation.messages
    world.update_queue(NOW, situation.waiting)
    tables = ProxyTables(
        tuple(situation.tables),
        frozenset(situation.excluded),
        tuple(situation.retry_modes),
        tuple(situation.admission_limits),
    )
    return (
        NOW,
        Validator(world),
        Candidate(0, tables, UpdateVersion(*situation.version), round(situation.update_cost)),
    )


@dataclass
class ConfusionMatrix:
    """Verdicts by kind of case, wrong verdicts and the duration of the checks."""

    kinds: dict[str, dict[str, int]] = field(default_factory=dict)  # by kind of case: count of each verdict
    redrawn: dict[str, int] = field(default_factory=dict)  # by kind: situations that the oracle contradicted
    false_passes: list[str] = field(default_factory=list)
    false_findings: list[str] = field(default_factory=list)
    durations_us: list[float] = field(default_factory=list)

    def lines(self) -> list[str]:
        """Describes the result for a reader."""
        lines = []
        for name, counts in self.kinds.items():
            verdicts = ", ".join(f"{count} {verdict}" for verdict, count in sorted(counts.items()))
            redraw_note = (
                f" ({self.redrawn[name]} drawn again: contradicted by the oracle)"
                if name in self.redrawn
                else ""
            )
            lines.append(f"{name}: {verdicts}{redraw_note}")
        ranked = sorted(self.durations_us) or [0.0]
        lines.append(
            f"a check: median {statistics.median(ranked):.0f} us,"
            f" p99 {ranked[int(len(ranked) * 0.99)]:.0f} us"
        )
        lines.append(
            f"bad tables passed: {len(self.false_passes)}; good tables not passed: {len(self.false_findings)}"
        )
        return [*lines, *self.false_passes[:5], *self.false_findings[:5]]

    @property
    def passed(self) -> bool:
        """Whether the run found no violation."""
        return not self.false_passes and not self.false_findings


def measure_confusion(tables: int, seed: int) -> ConfusionMatrix:
    """Validates this many tables, half of them bad, with all kinds in turn."""
    generator, result = random.Random(seed), ConfusionMatrix()
    for index in range(tables):
        bad = index % 2 == 0
        make_case = (
            BAD_CASES[index // 2 % len(BAD_CASES)] if bad else GOOD_CASES[index // 2 % len(GOOD_CASES)]
        )
        name = f"{'bad' if bad else 'good'} {make_case.__name__}"
        for _ in range(50):
            situation = healthy_situation(generator)
            make_case(situation, generator)
            if bool(find_violations(situation)) == bad:
                break
            result.redrawn[name] = result.redrawn.get(name, 0) + 1
        else:
            raise RuntimeError(
                f"the oracle never agrees that a table is {name}: {find_violations(situation)}"
            )
        now, validator, candidate = candidate_of(situation)
        started_at = time.perf_counter()
        verdict = validator.validate(now, candidate)
        result.durations_us.append((time.perf_counter() - started_at) * 1e6)
        counts = result.kinds.setdefault(name, {})
        counts[verdict.outcome.value] = counts.get(verdict.outcome.value, 0) + 1
        if bad and verdict.outcome is Outcome.PASSED:
            result.false_passes.append(
                f"{name}, table {index}: {find_violations(situation)}; {verdict.lines()}"
            )
        elif not bad and verdict.outcome is not Outcome.PASSED:
            result.false_findings.append(f"{name}, table {index}: {verdict.lines()}")
    return result

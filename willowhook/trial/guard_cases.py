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
from .oracle import PlayedHost, PlayedProxy, Situation, play

NOW = 1000 * TICKS_PER_SECOND
SEMANTICS = ("idempotent", "deduplicated", "at_most_once")


def healthy_situation(generator: random.Random) -> Situation:
    """Draws a healthy fleet and a candidate that changes little."""
    zones, classes = ("norte", "sur"), ("wide", "usual")
    count = generator.randint(8, 24)
    hosts = {
        f"h{index}": PlayedHost(
            size=generator.uniform(0.8, 1.25), kind=classes[index % 2], zone=zones[(index // 2) % 2]
        )
        for index in range(count)
    }
    places: list[tuple[bool, tuple[str, ...]]] = [(False, ()), (False, ()), (False, ("wide",))]
    if generator.random() < 0.3:
        places[1] = (True, ())
    proxies = []
    for _ in range(generator.randint(3, 12)):
        zone = generator.choice(zones)
        proxies.append(
            PlayedProxy([generator.uniform(1, 20) for _ in SEMANTICS], zone, table(hosts, places, zone))
        )
    situation = Situation(
        hosts, proxies, list(SEMANTICS), places, grace=2.5, cold_s=generator.uniform(8, 20),
        start=generator.uniform(0.2, 0.4), multiple=generator.uniform(2.5, 4.0), fall_s=2.0,
        fleet=len(proxies) * generator.choice((1, 1, 2)), lines=[], out=set(),
        tries=[generator.choice((0, 1, 2, 3)), generator.choice((0, 1)), generator.choice((0, 1))],
        levels=[generator.choice((0.0, 0.5, 1.0, 30.0, math.inf)) for _ in SEMANTICS],
        version=(2, 1, 8), newest=(2, 1, 7), cost=generator.uniform(10, 60),
        waiting=generator.uniform(0, 500), most_waiting=3200, rate=1600,
    )  # fmt: skip
    base_table = table(hosts, places, proxies[0].zone)
    situation.lines = [
        {host: weight * generator.uniform(0.7, 1.4) for host, weight in entries.items()}
        for entries in base_table
    ]
    return situation


def table(
    hosts: dict[str, PlayedHost], places: list[tuple[bool, tuple[str, ...]]], zone: str
) -> list[dict[str, float]]:
    """Per route, an entry for every open endpoint that may serve it, without cold ones."""
    return [
        {
            name: host.size
            for name, host in hosts.items()
            if host.mode == "open" and host.age > 1e6 and (not own or host.zone == zone)
            and (not kinds or host.kind in kinds)
        }
        for own, kinds in places
    ]  # fmt: skip


def sample_endpoints(situation: Situation, generator: random.Random, count: int, route: int = 0) -> list[str]:
    return generator.sample(sorted(situation.lines[route]), min(count, len(situation.lines[route])))


def make_cold(situation: Situation, generator: random.Random, name: str) -> PlayedHost:
    """Makes an endpoint a recently started one, without entries outside the candidate."""
    host = situation.hosts[name]
    host.age = generator.uniform(0, situation.cold_s * 0.2)
    for proxy in situation.proxies:
        for row in proxy.lines:
            row.pop(name, None)
    return host


# Bad cases: each takes a healthy situation and makes the candidate invalid.


def no_entries(situation: Situation, generator: random.Random) -> None:
    situation.lines[generator.randrange(3)] = {}


def all_excluded(situation: Situation, generator: random.Random) -> None:
    situation.out = set(situation.lines[generator.randrange(3)])


def all_draining(situation: Situation, generator: random.Random) -> None:
    """Valid by itself, but all its endpoints are draining and will be removed."""
    keep = sample_endpoints(situation, generator, 2)
    for name in keep:
        situation.hosts[name].mode, situation.hosts[name].since = "draining", generator.uniform(0, 2)
    situation.lines[0] = {name: 1.0 for name in keep}


def all_removed(situation: Situation, generator: random.Random) -> None:
    keep = sample_endpoints(situation, generator, 3)
    for name in keep:
        situation.hosts[name].mode, situation.hosts[name].since = "gone", generator.uniform(0, 2)
    situation.lines[0] = {name: 1.0 for name in keep}


def only_cold_left(situation: Situation, generator: random.Random) -> None:
    """Valid by itself, but after the drain only a cold endpoint is left, while warm ones are listed."""
    one, two = sample_endpoints(situation, generator, 2)
    make_cold(situation, generator, one)
    situation.hosts[two].mode, situation.hosts[two].since = "draining", generator.uniform(0, 2)
    situation.lines[0] = {one: 0.01, two: 1.0}


def cold_gets_all(situation: Situation, generator: random.Random) -> None:
    one = sample_endpoints(situation, generator, 1)[0]
    make_cold(situation, generator, one)
    for proxy in situation.proxies[1:]:  # the other proxies have it too
        for row in proxy.lines:
            if row:
                row[one] = 3 * sum(row.values())
    for row in situation.lines:
        if one in row:
            row[one] = 3 * sum(row.values())


def cold_by_total_weight(situation: Situation, generator: random.Random) -> None:
    """Each proxy's share is small, but the sum is too much, and this candidate exceeds the limit."""
    one = sample_endpoints(situation, generator, 1)[0]
    host = make_cold(situation, generator, one)
    total = sum(sum(p.rates) for p in situation.proxies)
    open_size = sum(h.size for h in situation.hosts.values())
    share = min(
        1.35
        * situation.multiple
        * (situation.start + (1 - situation.start) * host.age / situation.cold_s)
        * host.size
        / open_size,
        0.6,
    )
    for k, proxy in enumerate(situation.proxies):
        for row in situation.lines if k == 0 else proxy.lines:
            rest = sum(weight for name, weight in row.items() if name != one)
            if rest:
                row[one] = share * rest / (1 - share)
    assert total > 0


def drained_endpoint(situation: Situation, generator: random.Random) -> None:
    host = situation.hosts[sample_endpoints(situation, generator, 1)[0]]
    host.mode, host.since = "draining", situation.grace + generator.uniform(0, 30)


def removed_endpoint(situation: Situation, generator: random.Random) -> None:
    host = situation.hosts[sample_endpoints(situation, generator, 1)[0]]
    host.mode, host.since = "gone", situation.grace + generator.uniform(0, 30)


def unknown_endpoint(situation: Situation, generator: random.Random) -> None:
    situation.lines[generator.randrange(2)][f"x{generator.randrange(99)}"] = generator.uniform(0.01, 2)


def no_address(situation: Situation, generator: random.Random) -> None:
    situation.hosts[sample_endpoints(situation, generator, 1)[0]].reachable = False


def wrong_endpoint_class(situation: Situation, generator: random.Random) -> None:
    situation.lines[2][generator.choice([n for n, h in situation.hosts.items() if h.kind != "wide"])] = (
        generator.uniform(0.1, 1)
    )


def wrong_zone(situation: Situation, generator: random.Random) -> None:
    situation.places[1] = (True, ())
    far = [n for n, h in situation.hosts.items() if h.zone != situation.proxies[0].zone]
    situation.lines[1] = {
        n: 1.0 for n, h in situation.hosts.items() if h.zone == situation.proxies[0].zone
    } | {generator.choice(far): 1.0}


def attempts_mutating(situation: Situation, generator: random.Random) -> None:
    situation.tries[2] = generator.choice((2, 3))


def attempts_keyed(situation: Situation, generator: random.Random) -> None:
    situation.tries[1] = generator.choice((2, 3))


def attempts_out_of_range(situation: Situation, generator: random.Random) -> None:
    situation.tries[generator.randrange(3)] = generator.choice((-1, 4, 7, 99))


def weight_not_finite(situation: Situation, generator: random.Random) -> None:
    situation.lines[0][sample_endpoints(situation, generator, 1)[0]] = generator.choice(
        (math.nan, math.inf, -1.0, -math.inf, 0.0)
    )


def weights_round_to_zero(situation: Situation, generator: random.Random) -> None:
    names = sorted(situation.lines[0])
    situation.lines[0] = {name: 1e-5 * (1 + 20 * (k % 2)) for k, name in enumerate(names)}


def weight_too_large(situation: Situation, generator: random.Random) -> None:
    situation.lines[0][sample_endpoints(situation, generator, 1)[0]] = generator.uniform(200, 1e9)


def version_regresses(situation: Situation, generator: random.Random) -> None:
    situation.version = generator.choice(((2, 1, 7), (2, 1, 3), (1, 9, 99), (2, 0, 50)))


def queue_full(situation: Situation, generator: random.Random) -> None:
    situation.waiting, situation.cost = 3200 - generator.uniform(0, 30), generator.uniform(40, 400)


def too_many_messages(situation: Situation, generator: random.Random) -> None:
    situation.messages_most = generator.randint(5, 30)
    situation.messages = situation.messages_most + generator.randint(0, 3)


def concentrate_on(one: str, row: dict[str, float]) -> dict[str, float]:
    return {one: 50.0, **{host: 0.1 for host in row if host != one}} if one in row else row


def scale_by_class(
    situation: Situation, row: dict[str, float], wide: float, usual: float
) -> dict[str, float]:
    return {
        host: weight * (wide if situation.hosts[host].kind == "wide" else usual)
        for host, weight in row.items()
    }


def all_on_one(situation: Situation, generator: random.Random) -> None:
    one = sample_endpoints(situation, generator, 1)[0]
    for proxy in situation.proxies[1:]:
        proxy.lines = [
            {one: 50.0, **{h: 0.1 for h in row if h != one}} if one in row else row for row in proxy.lines
        ]
    situation.proxies[0].rates = [sum(sum(p.rates) for p in situation.proxies) for _ in SEMANTICS]
    situation.lines = [concentrate_on(one, row) for row in situation.lines]
    for extra in range(12):  # a large fleet, so that the fair share of one endpoint is small
        situation.hosts[f"e{extra}"] = PlayedHost(kind="wide", zone="norte")


def over_capacity(situation: Situation, generator: random.Random) -> None:
    total = sum(sum(p.rates) for p in situation.proxies) * max(1.0, situation.fleet / len(situation.proxies))
    usual = total / sum(h.size for h in situation.hosts.values())
    situation.able = {"wide": usual * 0.5, "usual": 1e9}
    for proxy in situation.proxies:
        proxy.lines = [scale_by_class(situation, row, 0.05, 1.0) for row in proxy.lines]
    situation.lines = [scale_by_class(situation, row, 9.0, 0.2) for row in situation.lines]
    situation.proxies[0].rates = [rate * 30 for rate in situation.proxies[0].rates]


def route_missing(situation: Situation, generator: random.Random) -> None:
    situation.lines = situation.lines[:2]
    situation.tries, situation.levels = situation.tries[:2], situation.levels[:2]


def admission_limit_invalid(situation: Situation, generator: random.Random) -> None:
    situation.levels[generator.randrange(3)] = generator.choice((-1.0, math.nan, -0.001))


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
    one = sample_endpoints(situation, generator, 1)[0]
    host = make_cold(situation, generator, one)
    for row in situation.lines:
        if one in row:
            row[one] = (
                host.size
                * (situation.start + (1 - situation.start) * host.age / situation.cold_s)
                * generator.uniform(0.5, 1.0)
            )


def drain_excluded(situation: Situation, generator: random.Random) -> None:
    for name in sample_endpoints(situation, generator, 2):
        situation.hosts[name].mode, situation.hosts[name].since = (
            generator.choice(("draining", "gone")),
            generator.uniform(0, 60),
        )
        situation.out.add(name)


def drain_within_grace(situation: Situation, generator: random.Random) -> None:
    """An endpoint drains whose exclusion is on the way; the others are warm."""
    name = sample_endpoints(situation, generator, 1)[0]
    situation.hosts[name].mode, situation.hosts[name].since = (
        "draining",
        generator.uniform(0, situation.grace * 0.9),
    )


def only_exclusions(situation: Situation, generator: random.Random) -> None:
    situation.lines = [dict(row) for row in situation.proxies[0].lines]
    for name in sample_endpoints(situation, generator, 3):
        situation.hosts[name].mode, situation.hosts[name].since = "gone", generator.uniform(0, 1)
        situation.out.add(name)


def all_are_cold(situation: Situation, generator: random.Random) -> None:
    """No endpoint is warm: the cold ones share the load evenly."""
    for host in situation.hosts.values():
        host.age = generator.uniform(0.3, 0.9) * situation.cold_s


def endpoint_left_out(situation: Situation, generator: random.Random) -> None:
    """An endpoint that drops requests is left out although it is listed."""
    name = sample_endpoints(situation, generator, 1)[0]
    for row in situation.lines:
        if len(row) > 2:
            row.pop(name, None)


def latency_weights(situation: Situation, generator: random.Random) -> None:
    situation.lines = [
        {name: weight * generator.uniform(0.5, 2.0) for name, weight in row.items()}
        for row in situation.lines
    ]


def another_epoch(situation: Situation, generator: random.Random) -> None:
    situation.version = generator.choice(((2, 2, 1), (3, 1, 1), (2, 1, 1000)))


GOOD_CASES: tuple[Callable[[Situation, random.Random], None], ...] = (
    small_weight_change, cold_within_slow_start, drain_excluded, drain_within_grace, only_exclusions,
    all_are_cold, endpoint_left_out, latency_weights, another_epoch,
)  # fmt: skip


def candidate_of(situation: Situation) -> tuple[int, Validator, Candidate]:
    """Converts the situation into the validator's view: the time, the validator and the candidate."""
    routes = tuple(
        RouteConstraints(f"r{index}", RequestSemantics(SEMANTICS[index]), own, (), kinds)
        for index, (own, kinds) in enumerate(situation.places)
    )
    settings = ValidationSettings(
        routes,
        ticks_from_seconds(situation.grace),
        ticks_from_seconds(situation.cold_s),
        situation.start,
        situation.multiple,
        situation.rate / TICKS_PER_SECOND,
        situation.most_waiting,
        situation.messages_most,
        10 * TICKS_PER_SECOND,
        situation.fleet,
        capacity_per_second=situation.able,
    )
    world = World(settings)
    endpoints = []
    for name, host in situation.hosts.items():
        if host.known:
            started = 0 if host.age > 1e6 else NOW - ticks_from_seconds(host.age)
            mode = EndpointMode(host.mode)
            endpoint = ValidatedEndpoint(
                name, mode, 0, started, host.size, host.kind, host.zone, host.reachable
            )
            world.endpoints.by_name[name] = endpoint
            endpoint.since = NOW - ticks_from_seconds(host.since)
            endpoints.append(endpoint)
    world.endpoints.refresh()
    for index, proxy in enumerate(situation.proxies):
        held = ProxyTables(tuple(proxy.lines), frozenset(proxy.out), (1, 1, 1), (math.inf,) * 3)
        if index == 0 and proxy.lines == situation.lines:
            held = ProxyTables(
                tuple(proxy.lines), frozenset(proxy.out), tuple(situation.tries), (math.inf,) * 3
            )
        world.add_proxy(index, proxy.zone, tuple(proxy.rates), held)
    world.proxies[0].newest = UpdateVersion(*situation.newest)
    world.proxies[0].sent_at = [NOW - TICKS_PER_SECOND] * situation.messages
    world.update_queue(NOW, situation.waiting)
    tables = ProxyTables(
        tuple(situation.lines), frozenset(situation.out), tuple(situation.tries), tuple(situation.levels)
    )
    return (
        NOW,
        Validator(world),
        Candidate(0, tables, UpdateVersion(*situation.version), round(situation.cost)),
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
            if bool(play(situation)) == bad:
                break
            result.redrawn[name] = result.redrawn.get(name, 0) + 1
        else:
            raise RuntimeError(f"the oracle never agrees that a table is {name}: {play(situation)}")
        now, validator, candidate = candidate_of(situation)
        started_at = time.perf_counter()
        verdict = validator.validate(now, candidate)
        result.durations_us.append((time.perf_counter() - started_at) * 1e6)
        counts = result.kinds.setdefault(name, {})
        counts[verdict.outcome.value] = counts.get(verdict.outcome.value, 0) + 1
        if bad and verdict.outcome is Outcome.PASSED:
            result.false_passes.append(f"{name}, table {index}: {play(situation)}; {verdict.lines()}")
        elif not bad and verdict.outcome is not Outcome.PASSED:
            result.false_findings.append(f"{name}, table {index}: {verdict.lines()}")
    return result

"""Tables for the guard, drawn from a seed: bad ones of many kinds, and good ones; each shown to be so by the
oracle.
"""

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


def calm(chance: random.Random) -> Situation:
    """A fleet in good order, and a candidate that changes little."""
    zones, kinds = ("norte", "sur"), ("wide", "usual")
    count = chance.randint(8, 24)
    hosts = {
        f"h{k}": PlayedHost(size=chance.uniform(0.8, 1.25), kind=kinds[k % 2], zone=zones[(k // 2) % 2])
        for k in range(count)
    }
    places: list[tuple[bool, tuple[str, ...]]] = [(False, ()), (False, ()), (False, ("wide",))]
    if chance.random() < 0.3:
        places[1] = (True, ())
    proxies = []
    for _ in range(chance.randint(3, 12)):
        zone = chance.choice(zones)
        proxies.append(
            PlayedProxy([chance.uniform(1, 20) for _ in SEMANTICS], zone, table(hosts, places, zone))
        )
    s = Situation(
        hosts, proxies, list(SEMANTICS), places, grace=2.5, cold_s=chance.uniform(8, 20),
        start=chance.uniform(0.2, 0.4), multiple=chance.uniform(2.5, 4.0), fall_s=2.0,
        fleet=len(proxies) * chance.choice((1, 1, 2)), lines=[], out=set(),
        tries=[chance.choice((0, 1, 2, 3)), chance.choice((0, 1)), chance.choice((0, 1))],
        levels=[chance.choice((0.0, 0.5, 1.0, 30.0, math.inf)) for _ in SEMANTICS],
        version=(2, 1, 8), newest=(2, 1, 7), cost=chance.uniform(10, 60), waiting=chance.uniform(0, 500),
        most_waiting=3200, rate=1600,
    )  # fmt: skip
    near = table(hosts, places, proxies[0].zone)
    s.lines = [{host: weight * chance.uniform(0.7, 1.4) for host, weight in row.items()} for row in near]
    return s


def table(
    hosts: dict[str, PlayedHost], places: list[tuple[bool, tuple[str, ...]]], zone: str
) -> list[dict[str, float]]:
    """By route a line for every open host that may serve it; cold ones are left out."""
    return [
        {
            name: host.size
            for name, host in hosts.items()
            if host.mode == "open" and host.age > 1e6 and (not own or host.zone == zone)
            and (not kinds or host.kind in kinds)
        }
        for own, kinds in places
    ]  # fmt: skip


def some(s: Situation, chance: random.Random, count: int, route: int = 0) -> list[str]:
    return chance.sample(sorted(s.lines[route]), min(count, len(s.lines[route])))


def cool(s: Situation, chance: random.Random, name: str) -> PlayedHost:
    """This host has started lately; nobody has a line for it but the candidate, if that has one."""
    host = s.hosts[name]
    host.age = chance.uniform(0, s.cold_s * 0.2)
    for proxy in s.proxies:
        for row in proxy.lines:
            row.pop(name, None)
    return host


# Bad ones.  Each takes a calm situation and spoils the candidate.


def no_lines(s: Situation, c: random.Random) -> None:
    s.lines[c.randrange(3)] = {}


def all_withdrawn(s: Situation, c: random.Random) -> None:
    s.out = set(s.lines[c.randrange(3)])


def all_drain(s: Situation, c: random.Random) -> None:
    """Valid alone; but all that it names is draining, and will be gone."""
    keep = some(s, c, 2)
    for name in keep:
        s.hosts[name].mode, s.hosts[name].since = "draining", c.uniform(0, 2)
    s.lines[0] = {name: 1.0 for name in keep}


def all_gone(s: Situation, c: random.Random) -> None:
    keep = some(s, c, 3)
    for name in keep:
        s.hosts[name].mode, s.hosts[name].since = "gone", c.uniform(0, 2)
    s.lines[0] = {name: 1.0 for name in keep}


def only_cold_left(s: Situation, c: random.Random) -> None:
    """Valid alone; when the drain completes only a cold host is left, while warm ones are listed."""
    one, two = some(s, c, 2)
    cool(s, c, one)
    s.hosts[two].mode, s.hosts[two].since = "draining", c.uniform(0, 2)
    s.lines[0] = {one: 0.01, two: 1.0}


def cold_gets_all(s: Situation, c: random.Random) -> None:
    one = some(s, c, 1)[0]
    cool(s, c, one)
    for proxy in s.proxies[1:]:  # others were given it too
        for row in proxy.lines:
            if row:
                row[one] = 3 * sum(row.values())
    for row in s.lines:
        if one in row:
            row[one] = 3 * sum(row.values())


def cold_by_sum(s: Situation, c: random.Random) -> None:
    """Each proxy's part is small; together they are too much, and this one tips it."""
    one = some(s, c, 1)[0]
    host = cool(s, c, one)
    total = sum(sum(p.rates) for p in s.proxies)
    open_size = sum(h.size for h in s.hosts.values())
    share = min(
        1.35 * s.multiple * (s.start + (1 - s.start) * host.age / s.cold_s) * host.size / open_size, 0.6
    )
    for k, proxy in enumerate(s.proxies):
        for row in s.lines if k == 0 else proxy.lines:
            rest = sum(weight for name, weight in row.items() if name != one)
            if rest:
                row[one] = share * rest / (1 - share)
    assert total > 0


def drained_host(s: Situation, c: random.Random) -> None:
    host = s.hosts[some(s, c, 1)[0]]
    host.mode, host.since = "draining", s.grace + c.uniform(0, 30)


def gone_host(s: Situation, c: random.Random) -> None:
    host = s.hosts[some(s, c, 1)[0]]
    host.mode, host.since = "gone", s.grace + c.uniform(0, 30)


def unknown_host(s: Situation, c: random.Random) -> None:
    s.lines[c.randrange(2)][f"x{c.randrange(99)}"] = c.uniform(0.01, 2)


def no_address(s: Situation, c: random.Random) -> None:
    s.hosts[some(s, c, 1)[0]].reachable = False


def wrong_kind(s: Situation, c: random.Random) -> None:
    s.lines[2][c.choice([n for n, h in s.hosts.items() if h.kind != "wide"])] = c.uniform(0.1, 1)


def wrong_zone(s: Situation, c: random.Random) -> None:
    s.places[1] = (True, ())
    far = [n for n, h in s.hosts.items() if h.zone != s.proxies[0].zone]
    s.lines[1] = {n: 1.0 for n, h in s.hosts.items() if h.zone == s.proxies[0].zone} | {c.choice(far): 1.0}


def tries_mutating(s: Situation, c: random.Random) -> None:
    s.tries[2] = c.choice((2, 3))


def tries_keyed(s: Situation, c: random.Random) -> None:
    s.tries[1] = c.choice((2, 3))


def tries_none(s: Situation, c: random.Random) -> None:
    s.tries[c.randrange(3)] = c.choice((-1, 4, 7, 99))


def weight_no_number(s: Situation, c: random.Random) -> None:
    s.lines[0][some(s, c, 1)[0]] = c.choice((math.nan, math.inf, -1.0, -math.inf, 0.0))


def weights_round_away(s: Situation, c: random.Random) -> None:
    names = sorted(s.lines[0])
    s.lines[0] = {name: 1e-5 * (1 + 20 * (k % 2)) for k, name in enumerate(names)}


def weight_too_large(s: Situation, c: random.Random) -> None:
    s.lines[0][some(s, c, 1)[0]] = c.uniform(200, 1e9)


def version_back(s: Situation, c: random.Random) -> None:
    s.version = c.choice(((2, 1, 7), (2, 1, 3), (1, 9, 99), (2, 0, 50)))


def queue_full(s: Situation, c: random.Random) -> None:
    s.waiting, s.cost = 3200 - c.uniform(0, 30), c.uniform(40, 400)


def too_many_messages(s: Situation, c: random.Random) -> None:
    s.messages_most = c.randint(5, 30)
    s.messages = s.messages_most + c.randint(0, 3)


def heap_on(one: str, row: dict[str, float]) -> dict[str, float]:
    return {one: 50.0, **{host: 0.1 for host in row if host != one}} if one in row else row


def scaled(s: Situation, row: dict[str, float], wide: float, usual: float) -> dict[str, float]:
    return {host: weight * (wide if s.hosts[host].kind == "wide" else usual) for host, weight in row.items()}


def all_on_one(s: Situation, c: random.Random) -> None:
    one = some(s, c, 1)[0]
    for proxy in s.proxies[1:]:
        proxy.lines = [
            {one: 50.0, **{h: 0.1 for h in row if h != one}} if one in row else row for row in proxy.lines
        ]
    s.proxies[0].rates = [sum(sum(p.rates) for p in s.proxies) for _ in SEMANTICS]
    s.lines = [heap_on(one, row) for row in s.lines]
    for extra in range(12):  # a large fleet, so that one host's fair part is small
        s.hosts[f"e{extra}"] = PlayedHost(kind="wide", zone="norte")


def more_than_it_can(s: Situation, c: random.Random) -> None:
    total = sum(sum(p.rates) for p in s.proxies) * max(1.0, s.fleet / len(s.proxies))
    usual = total / sum(h.size for h in s.hosts.values())
    s.able = {"wide": usual * 0.5, "usual": 1e9}
    for proxy in s.proxies:
        proxy.lines = [scaled(s, row, 0.05, 1.0) for row in proxy.lines]
    s.lines = [scaled(s, row, 9.0, 0.2) for row in s.lines]
    s.proxies[0].rates = [rate * 30 for rate in s.proxies[0].rates]


def route_missing(s: Situation, c: random.Random) -> None:
    s.lines = s.lines[:2]
    s.tries, s.levels = s.tries[:2], s.levels[:2]


def level_bad(s: Situation, c: random.Random) -> None:
    s.levels[c.randrange(3)] = c.choice((-1.0, math.nan, -0.001))


BAD_CASES: tuple[Callable[[Situation, random.Random], None], ...] = (
    no_lines, all_withdrawn, all_drain, all_gone, only_cold_left, cold_gets_all, cold_by_sum, drained_host,
    gone_host, unknown_host, no_address, wrong_kind, wrong_zone, tries_mutating, tries_keyed, tries_none,
    weight_no_number, weights_round_away, weight_too_large, version_back, queue_full, too_many_messages,
    all_on_one, more_than_it_can, route_missing, level_bad,
)  # fmt: skip


# Good ones.


def as_it_is(s: Situation, c: random.Random) -> None:
    """A small change of weights."""


def at_its_ramp(s: Situation, c: random.Random) -> None:
    """A cold host enters at what it can do."""
    one = some(s, c, 1)[0]
    host = cool(s, c, one)
    for row in s.lines:
        if one in row:
            row[one] = host.size * (s.start + (1 - s.start) * host.age / s.cold_s) * c.uniform(0.5, 1.0)


def drain_withdrawn(s: Situation, c: random.Random) -> None:
    for name in some(s, c, 2):
        s.hosts[name].mode, s.hosts[name].since = c.choice(("draining", "gone")), c.uniform(0, 60)
        s.out.add(name)


def drain_within_grace(s: Situation, c: random.Random) -> None:
    """Its withdrawal is on the way; the others are warm."""
    name = some(s, c, 1)[0]
    s.hosts[name].mode, s.hosts[name].since = "draining", c.uniform(0, s.grace * 0.9)


def only_withdraws(s: Situation, c: random.Random) -> None:
    s.lines = [dict(row) for row in s.proxies[0].lines]
    for name in some(s, c, 3):
        s.hosts[name].mode, s.hosts[name].since = "gone", c.uniform(0, 1)
        s.out.add(name)


def all_are_cold(s: Situation, c: random.Random) -> None:
    """Nothing warm is listed: the cold ones are all there is, and share evenly."""
    for host in s.hosts.values():
        host.age = c.uniform(0.3, 0.9) * s.cold_s


def a_host_out(s: Situation, c: random.Random) -> None:
    """A host that drops calls is left out, whatever the list says."""
    name = some(s, c, 1)[0]
    for row in s.lines:
        if len(row) > 2:
            row.pop(name, None)


def latency_weights(s: Situation, c: random.Random) -> None:
    s.lines = [{name: weight * c.uniform(0.5, 2.0) for name, weight in row.items()} for row in s.lines]


def another_epoch(s: Situation, c: random.Random) -> None:
    s.version = c.choice(((2, 2, 1), (3, 1, 1), (2, 1, 1000)))


GOOD_CASES: tuple[Callable[[Situation, random.Random], None], ...] = (
    as_it_is, at_its_ramp, drain_withdrawn, drain_within_grace, only_withdraws, all_are_cold, a_host_out,
    latency_weights, another_epoch,
)  # fmt: skip


def candidate_of(s: Situation) -> tuple[int, Validator, Candidate]:
    """The same situation as the guard has it."""
    routes = tuple(
        RouteConstraints(f"r{k}", RequestSemantics(SEMANTICS[k]), own, (), kinds)
        for k, (own, kinds) in enumerate(s.places)
    )
    terms = ValidationSettings(
        routes,
        ticks_from_seconds(s.grace),
        ticks_from_seconds(s.cold_s),
        s.start,
        s.multiple,
        s.rate / TICKS_PER_SECOND,
        s.most_waiting,
        s.messages_most,
        10 * TICKS_PER_SECOND,
        s.fleet,
        capacity_per_second=s.able,
    )
    world = World(terms)
    rows = []
    for name, host in s.hosts.items():
        if host.known:
            started = 0 if host.age > 1e6 else NOW - ticks_from_seconds(host.age)
            mode = EndpointMode(host.mode)
            facts = ValidatedEndpoint(name, mode, 0, started, host.size, host.kind, host.zone, host.reachable)
            world.endpoints.by_name[name] = facts
            facts.since = NOW - ticks_from_seconds(host.since)
            rows.append(facts)
    world.endpoints.refresh()
    for k, proxy in enumerate(s.proxies):
        held = ProxyTables(tuple(proxy.lines), frozenset(proxy.out), (1, 1, 1), (math.inf,) * 3)
        if k == 0 and proxy.lines == s.lines:
            held = ProxyTables(tuple(proxy.lines), frozenset(proxy.out), tuple(s.tries), (math.inf,) * 3)
        world.add_proxy(k, proxy.zone, tuple(proxy.rates), held)
    world.proxies[0].newest = UpdateVersion(*s.newest)
    world.proxies[0].sent_at = [NOW - TICKS_PER_SECOND] * s.messages
    world.update_queue(NOW, s.waiting)
    tables = ProxyTables(tuple(s.lines), frozenset(s.out), tuple(s.tries), tuple(s.levels))
    return NOW, Validator(world), Candidate(0, tables, UpdateVersion(*s.version), round(s.cost))


@dataclass
class ConfusionMatrix:
    kinds: dict[str, dict[str, int]] = field(default_factory=dict)  # by kind, how often which verdict
    unproven: dict[str, int] = field(default_factory=dict)  # the oracle did not agree with the generator
    false_passes: list[str] = field(default_factory=list)
    false_findings: list[str] = field(default_factory=list)
    took_us: list[float] = field(default_factory=list)

    def lines(self) -> list[str]:
        found = []
        for name, row in self.kinds.items():
            told = ", ".join(f"{count} {what}" for what, count in sorted(row.items()))
            doubt = (
                f" ({self.unproven[name]} drawn anew: the oracle saw it otherwise)"
                if name in self.unproven
                else ""
            )
            found.append(f"{name}: {told}{doubt}")
        ranked = sorted(self.took_us) or [0.0]
        found.append(
            f"a check: median {statistics.median(ranked):.0f} us,"
            f" p99 {ranked[int(len(ranked) * 0.99)]:.0f} us"
        )
        found.append(
            f"bad tables passed: {len(self.false_passes)}; good tables not passed: {len(self.false_findings)}"
        )
        return [*found, *self.false_passes[:5], *self.false_findings[:5]]

    @property
    def passed(self) -> bool:
        return not self.false_passes and not self.false_findings


def measure_confusion(tables: int, seed: int) -> ConfusionMatrix:
    """So many tables, half of them bad, all kinds in turn."""
    chance, result = random.Random(seed), ConfusionMatrix()
    for at in range(tables):
        bad = at % 2 == 0
        make = BAD_CASES[at // 2 % len(BAD_CASES)] if bad else GOOD_CASES[at // 2 % len(GOOD_CASES)]
        name = f"{'bad' if bad else 'good'} {make.__name__}"
        for _ in range(50):
            s = calm(chance)
            make(s, chance)
            if bool(play(s)) == bad:
                break
            result.unproven[name] = result.unproven.get(name, 0) + 1
        else:
            raise RuntimeError(f"the oracle never agrees that a table is {name}: {play(s)}")
        now, validator, candidate = candidate_of(s)
        began = time.perf_counter()
        verdict = validator.validate(now, candidate)
        result.took_us.append((time.perf_counter() - began) * 1e6)
        row = result.kinds.setdefault(name, {})
        row[verdict.outcome.value] = row.get(verdict.outcome.value, 0) + 1
        if bad and verdict.outcome is Outcome.PASSED:
            result.false_passes.append(f"{name}, table {at}: {play(s)}; {verdict.lines()}")
        elif not bad and verdict.outcome is not Outcome.PASSED:
            result.false_findings.append(f"{name}, table {at}: {verdict.lines()}")
    return result

"""The original blocks and the imported tables serve the same stand-in hosts, over real loopback sockets.

For each sample a stand-in of blocks and a reader of the imported tables stand side by side before the same
hosts.  Both get the same calls: shares by host, paths as hosts see them, answers without a host, what happens
when primaries die, and how often a call of a mutating path has its effect.  Caps on calls are not part of it.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import trio

from ..nginx.flat import uris
from ..nginx.plan import LEFT, REFUSED, Asked, Plan
from ..nginx.result import table_files, terms_of
from ..nginx.syntax import parse
from ..nginx.verdicts import verdicts
from ..web.wire import Call, ClientConnection, ConnectionLostError, Reply, open_connection, serve_connection
from ..xds import forms, tables
from .corpus import Sample, load_samples
from .ports import PortReservations
from .standin_blocks import BlocksProxy
from .standin_proxy import hash_key, ring_pick

STRIKES, EJECTED_S = 2, 2.0
MOST_URIS = 10


class Hosts:
    """Stand-in hosts of one process, by the address that the configuration gives them."""

    def __init__(self, nursery: trio.Nursery, reservations: PortReservations) -> None:
        self._nursery = nursery
        self._reservations = reservations
        self.ports: dict[str, int] = {}
        self.how: dict[str, str] = {}  # good, cut (after its effect), failing (500 after its effect)
        self._scopes: dict[str, trio.CancelScope] = {}
        self.met: list[tuple[str, str, str]] = []  # call, host, path
        self._idle: dict[str, list[ClientConnection]] = {}

    async def start(self, name: str) -> None:
        async def run(task_status: trio.TaskStatus[None]) -> None:
            with trio.CancelScope() as scope:
                self._scopes[name] = scope
                listeners = await trio.open_tcp_listeners(self.ports[name], host="127.0.0.1")
                task_status.started()
                serve = partial(serve_connection, answer=partial(self._answer, name))
                await trio.serve_listeners(serve, listeners)

        self.how[name] = "good"
        if name not in self.ports:
            self.ports[name] = self._reservations.reserve()
        await self._nursery.start(run)

    def stop(self, name: str) -> None:
        self._scopes[name].cancel()
        self._idle.pop(name, None)

    async def _answer(self, name: str, call: Call) -> Reply | None:
        self.met.append((call.headers.get(b"x-call", b"").decode(), name, call.target.decode("latin-1")))
        if self.how[name] == "cut":
            return None
        return Reply(500 if self.how[name] == "failing" else 200, [], name.encode())

    async def ask(self, name: str, call: Call, target: bytes) -> Reply:
        """One try; raises Broken."""
        if name not in self.ports:
            raise ConnectionLostError(f"{name}: no such host", False)
        idle = self._idle.setdefault(name, [])
        caller: ClientConnection | None = None
        while idle and caller is None:
            caller = idle.pop()
            if not caller.usable or not caller.is_open():
                await caller.close()
                caller = None
        if caller is None:
            caller = await open_connection("127.0.0.1", self.ports[name], 1.0)
        reply = await caller.request(call.method, target, [(b"x-call", call.headers[b"x-call"])], call.body)
        if caller.usable:
            idle.append(caller)
        return reply


class TablesProxy:
    """Does what a group of files says, by the published meaning of its forms; `ask` makes one try."""

    def __init__(self, files: dict[str, bytes], ask: Any, clock: Callable[[], float]) -> None:
        self._ask, self._clock, self._chance = ask, clock, random.Random(8)
        self._tables = {row.cluster_name: row for row in tables.read_tables(files["eds.json"])[1]}
        self._clusters = {row.name: row for row in tables.read_clusters(files["cds.json"])[1]}
        self._routes = tables.read_routes(files["rds.json"])[1][0].virtual_hosts[0].routes
        self._strikes: Counter[str] = Counter()
        self._out_until: dict[str, float] = {}
        self._open: Counter[str] = Counter()

    async def answer(self, call: Call) -> Reply:
        asked = call.target.decode("latin-1")
        row = tables.first_match(self._routes, asked.partition("?")[0])
        if row is None or row.direct_response is not None:
            return Reply(row.direct_response.status if row and row.direct_response else 404)
        tries = tables.tries_of(row.route.retry_policy)
        again = 1 if tries == 1 else max(tries - 1, 0)
        by = hash_key(tables.hash_by(row.route.hash_policy), call)
        target = tables.upstream_path(row, asked).encode("latin-1")
        tried: list[str] = []
        reply = Reply(503)
        while True:
            host = self._pick(row, by, tried)
            if host is None:
                return reply
            tried.append(host)
            self._open[host] += 1
            try:
                reply = await self._ask(host, call, target)
                proof, bad = False, reply.status >= 500
            except ConnectionLostError as fault:
                reply, proof, bad = Reply(503), not fault.sent, True
            finally:
                self._open[host] -= 1
            self._strikes[host] = self._strikes[host] + 1 if bad else 0
            if self._strikes[host] >= STRIKES:
                self._out_until[host] = self._clock() + EJECTED_S
            if not bad or len(tried) > again or (tries == 1 and not proof):
                return reply

    def _pick(self, row: forms.Route, by: str, tried: list[str]) -> str | None:
        cluster = self._clusters[row.route.cluster]
        table = self._tables[cluster.eds_cluster_config.service_name]
        tiers = tables.priorities(table)
        able = [line for line in tables.lines(table) if not line[5] and line[0] not in tried]
        well = [line for line in able if self._out_until.get(line[0], 0.0) <= self._clock()] or able
        if not well:
            return None
        first = min(tiers[line[0]] for line in well)
        rows = [(line[0], line[4]) for line in well if tiers[line[0]] == first]
        if cluster.lb_policy == "RING_HASH" and by:
            return ring_pick(by, rows)
        names, weights = [host for host, _ in rows], [weight for _, weight in rows]
        if cluster.lb_policy != "LEAST_REQUEST":
            return self._chance.choices(names, weights)[0]
        one, two = self._chance.choices(names, weights, k=2)
        return one if self._open[one] <= self._open[two] else two


@dataclass(slots=True)
class Met:
    """What calls of one path came to at one of the two."""

    hosts: Counter[str] = field(default_factory=Counter)
    paths: Counter[str] = field(default_factory=Counter)
    answers: Counter[int] = field(default_factory=Counter)


@dataclass(slots=True)
class Comparison:
    samples: int = 0
    paths: int = 0
    calls: int = 0
    differences: list[str] = field(default_factory=list)
    primary_outages: int = 0  # times that all primaries of a route died
    repeats: dict[str, int] = field(default_factory=lambda: {"blocks": 0, "tables": 0})
    mutating_calls: int = 0

    @property
    def passed(self) -> bool:
        return not self.differences and not self.repeats["tables"]

    def add(self, other: Comparison) -> None:
        self.samples += other.samples
        self.paths += other.paths
        self.calls += other.calls
        self.differences += other.differences
        self.primary_outages += other.primary_outages
        self.mutating_calls += other.mutating_calls
        for way, times in other.repeats.items():
            self.repeats[way] += times

    def lines(self) -> list[str]:
        return [
            f"{self.samples} samples, {self.paths} paths, {self.calls} calls each way:"
            f" {len(self.differences)} differ",
            f"{self.primary_outages} times all primaries died: backups, or nobody, at both alike",
            f"{self.mutating_calls} mutating calls at failing hosts; had their effect twice:"
            f" {self.repeats['blocks']} by the blocks, {self.repeats['tables']} by the tables",
            *self.differences,
        ]


class Bench:
    """One sample before its hosts."""

    def __init__(self, sample: Sample, plan: Plan, files: dict[str, bytes], hosts: Hosts) -> None:
        self.sample, self.plan, self.hosts = sample, plan, hosts
        assert plan.site is not None
        rows = parse(sample.text, sample.place)
        # the same site in a tree of its own, found by its place
        site = next(
            each for top in rows for each in top.walk()
            if each.name == "server" and each.place == plan.site.block.place
        )  # fmt: skip
        self.ways: dict[str, Callable[[Call], Awaitable[Reply]]] = {
            "blocks": BlocksProxy(rows, site, hosts.ask, self.clock).answer,
            "tables": TablesProxy(files, hosts.ask, self.clock).answer,
        }
        self.ahead = 0.0  # of the clock, so that hosts that failed are tried again
        self.ports: dict[str, int] = {}
        self._count = 0

    def clock(self) -> float:
        return trio.current_time() + self.ahead

    async def open(self, nursery: trio.Nursery) -> None:
        for name, answer in self.ways.items():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.ports[name] = listeners[0].socket.getsockname()[1]
            nursery.start_soon(trio.serve_listeners, partial(serve_connection, answer=answer), listeners)

    async def calls(self, way: str, path: str, count: int, method: bytes = b"GET") -> Met:
        made = Met()
        self.hosts.met.clear()
        first = self._count

        async def some(part: range) -> None:
            caller = await open_connection("127.0.0.1", self.ports[way], 2.0)
            for k in part:
                head = [(b"x-call", str(k).encode()), (b"x-user", str(k).encode()),
                        (b"x-student", str(k).encode()), (b"x-source", f"10.{k % 251}.{k // 251}.1".encode()),
                        (b"cookie", f"session=s{k}; c={k}".encode())]  # fmt: skip
                target = f"{path}?q={k}&school={k}".encode("latin-1")
                reply = await caller.request(method, target, head, b"")
                made.answers[reply.status] += 1
                if not caller.usable:
                    await caller.close()
                    caller = await open_connection("127.0.0.1", self.ports[way], 2.0)
            await caller.close()

        self._count += count
        async with trio.open_nursery() as nursery:
            for k in range(4):
                nursery.start_soon(some, range(first + k, first + count, 4))
        for _, host, seen in self.hosts.met:
            made.hosts[host] += 1
            made.paths[seen.partition("?")[0]] += 1
        return made


def share_difference(one: Counter[str], other: Counter[str]) -> str:
    """How two shares differ beyond what chance does in one of ten thousand comparisons; else empty."""
    a, b = sum(one.values()), sum(other.values())
    if not a or not b:
        return "" if a == b else f"{a} and {b} calls reached hosts"
    for host in sorted({*one, *other}):
        p, q = one[host] / a, other[host] / b
        mean = (one[host] + other[host]) / (a + b)
        if abs(p - q) > 3.9 * math.sqrt(mean * (1 - mean) * (1 / a + 1 / b)) + 0.02:
            return f"{host} {p:.0%} and {q:.0%}"
    return ""


async def compare_sample(sample: Sample, count: int, found: Comparison) -> None:
    """Raises what broke a stand-in."""
    rows = parse(sample.text, sample.place)
    told, plan = verdicts(rows, sample.asked)
    if not plan.routes or plan.site is None or plan.setup.faults:
        return  # nothing to serve, or what the program of the blocks would not start with
    files = table_files(plan, terms_of(plan, 8, "run/x", "http://127.0.0.1:1"))
    refused = {str(row.place) for row in told if row.what == REFUSED}
    found.samples += 1
    with PortReservations() as reservations, trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            hosts = Hosts(nursery, reservations)
            for name in plan.hosts:
                await hosts.start(name)
            bench = Bench(sample, plan, files, hosts)
            await bench.open(nursery)
            paths = _paths(plan, sample.asked, refused)
            for path in paths:
                await _compare(bench, path, count, found, sample)
            await _deaths(bench, paths, found, sample)
            await _mutating(bench, found, sample)
            scope.cancel()


def _paths(plan: Plan, asked: Asked, refused: set[str]) -> list[str]:
    """Some paths of each route; none whose location was refused, which is said to be served otherwise."""
    site, by, rows = plan.site, Counter[int](), list[str]()
    assert site is not None
    for uri in uris(site, asked.declared()):
        place = site.place(uri)
        if place is None or by[id(place)] >= 3 or not uri.isascii() or "%" in uri or "#" in uri:
            continue
        marks = {str(each.place) for each in place.location.directive.walk()}
        if marks & refused or any(str(each.place) in refused for each in site.block.args):
            continue
        by[id(place)] += 1
        rows.append(uri)
    return random.Random(3).sample(rows, min(len(rows), MOST_URIS))


async def _compare(bench: Bench, path: str, count: int, found: Comparison, sample: Sample) -> None:
    a = await bench.calls("blocks", path, count)
    b = await bench.calls("tables", path, count)
    found.paths += 1
    found.calls += count
    why = share_difference(a.hosts, b.hosts)
    if not why and set(a.paths) != set(b.paths):
        why = f"hosts are asked for {sorted(a.paths)} and {sorted(b.paths)}"
    if not why and a.hosts and set(a.answers) != set(b.answers):
        why = f"answers {dict(a.answers)} and {dict(b.answers)}"
    if not why and not a.hosts and not _alike(a.answers, b.answers):
        why = f"answers {dict(a.answers)} and {dict(b.answers)}"
    if why:
        found.differences.append(f"{sample.place} {sample.name}: {path}: {why}")


def _alike(a: Counter[int], b: Counter[int]) -> bool:
    """Where no host is met: the same status, or both an error (moved elsewhere is a closed path here)."""
    return set(a) == set(b) or (min(a) >= 300 and min(b) >= 400)


async def _deaths(bench: Bench, paths: list[str], found: Comparison, sample: Sample) -> None:
    """All primaries of a group die: the backups serve, or nobody does, at both."""
    plan, hosts = bench.plan, bench.hosts
    for group in plan.groups.values():
        names = [name for name, each in plan.groups.items() if each is group]
        upstream = plan.setup.upstreams.get(names[0])
        said = (
            [plan.notes.get(id(server.directive), ("", ""))[0] for server in upstream.servers]
            if upstream
            else []
        )
        if LEFT in said:
            continue  # said to be served otherwise
        first = [name for name, _, tier, draining in group.rows if tier == 0 and not draining]
        later = [name for name, _, tier, draining in group.rows if tier and not draining]
        path = next((p for p in paths if _serves(plan, p, group.name)), None)
        if path is None or not first:
            continue
        for name in first:
            hosts.stop(name)
        await trio.sleep(0.01)
        met: dict[str, Met] = {}
        for way in ("blocks", "tables"):
            await bench.calls(way, path, 8)  # until it is noticed
            met[way] = await bench.calls(way, path, 60)
        found.primary_outages += 1
        for way, seen in met.items():
            if set(seen.hosts) - set(later):
                found.differences.append(
                    f"{sample.place} {sample.name}: {path}: {way} meets {dict(seen.hosts)}"
                )
            if later and seen.answers[200] < 57:
                found.differences.append(
                    f"{sample.place} {sample.name}: {path}: {way}, by backups: {dict(seen.answers)}"
                )
            if not later and seen.answers[200]:
                found.differences.append(
                    f"{sample.place} {sample.name}: {path}: {way} answers without a host"
                )
        for name in first:
            await hosts.start(name)
    await trio.sleep(0)


def _serves(plan: Plan, path: str, group: str) -> bool:
    site = plan.site
    place = site.place(path) if site is not None else None
    target = place.target if place is not None else None
    if target is None or target.why or len(target.parts) != 1 or target.choice is not None:
        return False
    return target.parts[0][0] == group


async def _mutating(bench: Bench, found: Comparison, sample: Sample) -> None:
    """Every host has the effect and then fails, one way or the other: nobody may have it twice."""
    for path in sample.asked.mutating:
        for how in ("cut", "failing"):
            for name in bench.hosts.how:
                bench.hosts.how[name] = how
            for way in ("blocks", "tables"):
                for _ in range(20):
                    bench.ahead += 11
                    await bench.calls(way, path + "/1", 1, b"POST")
                    by = Counter(call for call, _, _ in bench.hosts.met)
                    found.repeats[way] += sum(times > 1 for times in by.values())
            found.mutating_calls += 20
        for name in bench.hosts.how:
            bench.hosts.how[name] = "good"


def _alone(sample: Sample, count: int) -> Comparison:
    found = Comparison()
    trio.run(compare_sample, sample, count, found)
    return found


def compare_samples(
    count: int, say: Callable[[str], None] = lambda text: None, only: int = 0, at_once: int = 1
) -> Comparison:
    """`count` calls a path each way; `only`: of so many samples, evenly chosen; 0: all."""
    found, rows = Comparison(), load_samples()
    if only:
        rows = rows[:: max(1, len(rows) // only)][:only]
    with ProcessPoolExecutor(at_once) as pool:
        each = (
            pool.map(_alone, rows, [count] * len(rows)) if at_once > 1 else (_alone(r, count) for r in rows)
        )
        for part in each:
            found.add(part)
            for line in part.differences:
                say(line)
    return found

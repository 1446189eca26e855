"""Compares the original nginx blocks with the imported tables, over loopback sockets.

For each sample a stand-in that interprets the blocks and one that interprets the imported tables serve the
same requests from the same stand-in endpoints.  Compared are the shares by endpoint, the paths that endpoints
see, answers without an endpoint, the behaviour when primaries die, and how often a request of a mutating path
takes effect.  Connection limits are not compared.
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

from ..nginx.flat import probe_uris
from ..nginx.plan import NOT_CARRIED, REFUSED, ImportOptions, ImportPlan
from ..nginx.result import controller_config, table_files
from ..nginx.syntax import parse
from ..nginx.verdicts import diagnose
from ..web.wire import Call, ClientConnection, ConnectionLostError, Reply, open_connection, serve_connection
from ..xds import forms, tables
from .corpus import Sample, load_samples
from .ports import PortReservations
from .standin_blocks import StandInNginxProxy
from .standin_proxy import hash_key, ring_pick

EJECTION_ERRORS, EJECTION_S = 2, 2.0
MAX_URIS = 10


class StandInEndpoints:
    """Stand-in endpoints of one process, by the address that the configuration gives them."""

    def __init__(self, nursery: trio.Nursery, reservations: PortReservations) -> None:
        self._nursery = nursery
        self._reservations = reservations
        self.ports: dict[str, int] = {}
        # good, cut (closes after the effect) or failing (500 after the effect)
        self.behaviour: dict[str, str] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self.received: list[tuple[str, str, str]] = []  # request, endpoint, path
        self._idle: dict[str, list[ClientConnection]] = {}

    async def start(self, name: str) -> None:
        """Starts an endpoint, on the port it had before if it was stopped."""

        async def run(task_status: trio.TaskStatus[None]) -> None:
            with trio.CancelScope() as scope:
                self._scopes[name] = scope
                listeners = await trio.open_tcp_listeners(self.ports[name], host="127.0.0.1")
                task_status.started()
                serve = partial(serve_connection, answer=partial(self._answer, name))
                await trio.serve_listeners(serve, listeners)

        self.behaviour[name] = "good"
        if name not in self.ports:
            self.ports[name] = self._reservations.reserve()
        await self._nursery.start(run)

    def stop(self, name: str) -> None:
        """Stops an endpoint."""
        self._scopes[name].cancel()
        self._idle.pop(name, None)

    async def _answer(self, name: str, request: Call) -> Reply | None:
        self.received.append(
            (request.headers.get(b"x-call", b"").decode(), name, request.target.decode("latin-1"))
        )
        if self.behaviour[name] == "cut":
            return None
        return Reply(500 if self.behaviour[name] == "failing" else 200, [], name.encode())

    async def attempt(self, name: str, request: Call, target: bytes) -> Reply:
        """Sends one attempt; raises ConnectionLostError."""
        if name not in self.ports:
            raise ConnectionLostError(f"{name}: no such endpoint", False)
        idle = self._idle.setdefault(name, [])
        connection: ClientConnection | None = None
        while idle and connection is None:
            connection = idle.pop()
            if not connection.usable or not connection.is_open():
                await connection.close()
                connection = None
        if connection is None:
            connection = await open_connection("127.0.0.1", self.ports[name], 1.0)
        reply = await connection.request(
            request.method, target, [(b"x-call", request.headers[b"x-call"])], request.body
        )
        if connection.usable:
            idle.append(connection)
        return reply


class TablesProxy:
    """Routes requests by a file group, as its published format defines; `attempt` sends one attempt."""

    def __init__(self, files: dict[str, bytes], attempt: Any, clock: Callable[[], float]) -> None:
        self._attempt, self._clock, self._random = attempt, clock, random.Random(8)
        self._tables = {row.cluster_name: row for row in tables.read_tables(files["eds.json"])[1]}
        self._clusters = {row.name: row for row in tables.read_clusters(files["cds.json"])[1]}
        self._routes = tables.read_routes(files["rds.json"])[1][0].virtual_hosts[0].routes
        self._consecutive_errors: Counter[str] = Counter()
        self._ejected_until: dict[str, float] = {}
        self._open_requests: Counter[str] = Counter()

    async def answer(self, request: Call) -> Reply:
        """Answers a request, with retries as the route allows."""
        requested_target = request.target.decode("latin-1")
        route = tables.first_match(self._routes, requested_target.partition("?")[0])
        if route is None or route.direct_response is not None:
            return Reply(route.direct_response.status if route and route.direct_response else 404)
        retry_mode = tables.tries_of(route.route.retry_policy)
        retries = 1 if retry_mode == 1 else max(retry_mode - 1, 0)
        hash_value = hash_key(tables.hash_by(route.route.hash_policy), request)
        target = tables.upstream_path(route, requested_target).encode("latin-1")
        attempted: list[str] = []
        reply = Reply(503)
        while True:
            endpoint = self._pick(route, hash_value, attempted)
            if endpoint is None:
                return reply
            attempted.append(endpoint)
            self._open_requests[endpoint] += 1
            try:
                reply = await self._attempt(endpoint, request, target)
                is_not_executed, has_failed = False, reply.status >= 500
            except ConnectionLostError as error:
                reply, is_not_executed, has_failed = Reply(503), not error.sent, True
            finally:
                self._open_requests[endpoint] -= 1
            self._consecutive_errors[endpoint] = self._consecutive_errors[endpoint] + 1 if has_failed else 0
            if self._consecutive_errors[endpoint] >= EJECTION_ERRORS:
                self._ejected_until[endpoint] = self._clock() + EJECTION_S
            if not has_failed or len(attempted) > retries or (retry_mode == 1 and not is_not_executed):
                return reply

    def _pick(self, route: forms.Route, hash_value: str, attempted: list[str]) -> str | None:
        cluster = self._clusters[route.route.cluster]
        table = self._tables[cluster.eds_cluster_config.service_name]
        tiers = tables.priorities(table)
        eligible = [entry for entry in tables.lines(table) if not entry[5] and entry[0] not in attempted]
        healthy = [
            entry for entry in eligible if self._ejected_until.get(entry[0], 0.0) <= self._clock()
        ] or eligible
        if not healthy:
            return None
        lowest_tier = min(tiers[entry[0]] for entry in healthy)
        weighted = [(entry[0], entry[4]) for entry in healthy if tiers[entry[0]] == lowest_tier]
        if cluster.lb_policy == "RING_HASH" and hash_value:
            return ring_pick(hash_value, weighted)
        names, weights = [endpoint for endpoint, _ in weighted], [weight for _, weight in weighted]
        if cluster.lb_policy != "LEAST_REQUEST":
            return self._random.choices(names, weights)[0]
        first_choice, second_choice = self._random.choices(names, weights, k=2)
        return (
            first_choice
            if self._open_requests[first_choice] <= self._open_requests[second_choice]
            else second_choice
        )


@dataclass(slots=True)
class ObservedRequests:
    """How one of the two sides handled the requests of one path."""

    endpoints: Counter[str] = field(default_factory=Counter)
    paths: Counter[str] = field(default_factory=Counter)
    answers: Counter[int] = field(default_factory=Counter)


@dataclass(slots=True)
class Comparison:
    """Counts of compared samples, and the differences found."""

    samples: int = 0
    paths: int = 0
    calls: int = 0
    differences: list[str] = field(default_factory=list)
    primary_outages: int = 0  # times that all primaries of a group were stopped
    repeats: dict[str, int] = field(default_factory=lambda: {"blocks": 0, "tables": 0})
    mutating_calls: int = 0

    @property
    def passed(self) -> bool:
        """Whether the run found no violation."""
        return not self.differences and not self.repeats["tables"]

    def add(self, other: Comparison) -> None:
        """Adds the counts of another comparison."""
        self.samples += other.samples
        self.paths += other.paths
        self.calls += other.calls
        self.differences += other.differences
        self.primary_outages += other.primary_outages
        self.mutating_calls += other.mutating_calls
        for way, times in other.repeats.items():
            self.repeats[way] += times

    def lines(self) -> list[str]:
        """Describes the result for a reader."""
        return [
            f"{self.samples} samples, {self.paths} paths, {self.calls} requests each way:"
            f" {len(self.differences)} differ",
            f"{self.primary_outages} times all primaries died: at both sides "
            f"backups or no endpoint must serve",
            f"{self.mutating_calls} mutating requests at failing endpoints; took effect twice:"
            f" {self.repeats['blocks']} by the blocks, {self.repeats['tables']} by the tables",
            *self.differences,
        ]


class SampleBench:
    """Both stand-ins of one sample, in front of the same endpoints."""

    def __init__(
        self, sample: Sample, plan: ImportPlan, files: dict[str, bytes], hosts: StandInEndpoints
    ) -> None:
        self.sample, self.plan, self.hosts = sample, plan, hosts
        assert plan.server_block is not None
        directives = parse(sample.text, sample.place)
        # the same server block in a separate syntax tree, found by its place
        site = next(
            directive for top_level in directives for directive in top_level.walk()
            if directive.name == "server" and directive.position == plan.server_block.block.position
        )  # fmt: skip
        self.answer_by_way: dict[str, Callable[[Call], Awaitable[Reply]]] = {
            "blocks": StandInNginxProxy(directives, site, hosts.attempt, self.clock).answer,
            "tables": TablesProxy(files, hosts.attempt, self.clock).answer,
        }
        self.clock_offset_s = 0.0  # moves the clock forward, so that ejected endpoints are readmitted
        self.ports: dict[str, int] = {}
        self._count = 0

    def clock(self) -> float:
        """The time of the stand-ins, in seconds."""
        return trio.current_time() + self.clock_offset_s

    async def open(self, nursery: trio.Nursery) -> None:
        """Starts to listen for both stand-ins."""
        for name, answer in self.answer_by_way.items():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.ports[name] = listeners[0].socket.getsockname()[1]
            nursery.start_soon(trio.serve_listeners, partial(serve_connection, answer=answer), listeners)

    async def calls(self, way: str, path: str, count: int, method: bytes = b"GET") -> ObservedRequests:
        """Sends `count` requests of this path to one of the two stand-ins."""
        observed = ObservedRequests()
        self.hosts.received.clear()
        first_number = self._count

        async def send_part(part: range) -> None:
            connection = await open_connection("127.0.0.1", self.ports[way], 2.0)
            for number in part:
                headers = [(b"x-call", str(number).encode()), (b"x-user", str(number).encode()),
                        (b"x-student", str(number).encode()),
                        (b"x-source", f"10.{number % 251}.{number // 251}.1".encode()),
                        (b"cookie", f"session=s{number}; c={number}".encode())]  # fmt: skip
                target = f"{path}?q={number}&school={number}".encode("latin-1")
                reply = await connection.request(method, target, headers, b"")
                observed.answers[reply.status] += 1
                if not connection.usable:
                    await connection.close()
                    connection = await open_connection("127.0.0.1", self.ports[way], 2.0)
            await connection.close()

        self._count += count
        async with trio.open_nursery() as nursery:
            for part_index in range(4):
                nursery.start_soon(send_part, range(first_number + part_index, first_number + count, 4))
        for _, endpoint, upstream_path in self.hosts.received:
            observed.endpoints[endpoint] += 1
            observed.paths[upstream_path.partition("?")[0]] += 1
        return observed


def share_difference(one: Counter[str], other: Counter[str]) -> str:
    """Describes a difference larger than chance causes in one of ten thousand comparisons, else empty."""
    one_total, other_total = sum(one.values()), sum(other.values())
    if not one_total or not other_total:
        return "" if one_total == other_total else f"{one_total} and {other_total} calls reached hosts"
    for endpoint in sorted({*one, *other}):
        one_share, other_share = one[endpoint] / one_total, other[endpoint] / other_total
        mean = (one[endpoint] + other[endpoint]) / (one_total + other_total)
        if (
            abs(one_share - other_share)
            > 3.9 * math.sqrt(mean * (1 - mean) * (1 / one_total + 1 / other_total)) + 0.02
        ):
            return f"{endpoint} {one_share:.0%} and {other_share:.0%}"
    return ""


async def compare_sample(sample: Sample, count: int, comparison: Comparison) -> None:
    """Compares both sides for one sample; raises the exception of a failed stand-in."""
    directives = parse(sample.text, sample.place)
    directive_verdicts, plan = diagnose(directives, sample.asked)
    if not plan.routes or plan.server_block is None or plan.config.errors:
        return  # nothing to serve, or nginx would not start with it
    files = table_files(plan, controller_config(plan, 8, "run/x", "http://127.0.0.1:1"))
    refused = {str(verdict.position) for verdict in directive_verdicts if verdict.outcome == REFUSED}
    comparison.samples += 1
    with PortReservations() as reservations, trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            hosts = StandInEndpoints(nursery, reservations)
            for name in plan.endpoints:
                await hosts.start(name)
            bench = SampleBench(sample, plan, files, hosts)
            await bench.open(nursery)
            paths = _paths(plan, sample.asked, refused)
            for path in paths:
                await _compare(bench, path, count, comparison, sample)
            await _compare_outages(bench, paths, comparison, sample)
            await _compare_mutating_requests(bench, comparison, sample)
            scope.cancel()


def _paths(plan: ImportPlan, asked: ImportOptions, refused: set[str]) -> list[str]:
    """Samples paths of each location, without refused locations: those are reported as served differently."""
    site, count_by_place, candidates = plan.server_block, Counter[int](), list[str]()
    assert site is not None
    for uri in probe_uris(site, asked.declared_paths()):
        place = site.find_location(uri)
        if place is None or count_by_place[id(place)] >= 3 or not uri.isascii() or "%" in uri or "#" in uri:
            continue
        places = {str(directive.position) for directive in place.location.directive.walk()}
        if places & refused or any(str(directive.position) in refused for directive in site.block.args):
            continue
        count_by_place[id(place)] += 1
        candidates.append(uri)
    return random.Random(3).sample(candidates, min(len(candidates), MAX_URIS))


async def _compare(bench: SampleBench, path: str, count: int, comparison: Comparison, sample: Sample) -> None:
    by_blocks = await bench.calls("blocks", path, count)
    by_tables = await bench.calls("tables", path, count)
    comparison.paths += 1
    comparison.calls += count
    difference = share_difference(by_blocks.endpoints, by_tables.endpoints)
    if not difference and set(by_blocks.paths) != set(by_tables.paths):
        difference = f"endpoints are asked for {sorted(by_blocks.paths)} and {sorted(by_tables.paths)}"
    if not difference and by_blocks.endpoints and set(by_blocks.answers) != set(by_tables.answers):
        difference = f"answers {dict(by_blocks.answers)} and {dict(by_tables.answers)}"
    if (
        not difference
        and not by_blocks.endpoints
        and not _equivalent_answers(by_blocks.answers, by_tables.answers)
    ):
        difference = f"answers {dict(by_blocks.answers)} and {dict(by_tables.answers)}"
    if difference:
        comparison.differences.append(f"{sample.place} {sample.name}: {path}: {difference}")


def _equivalent_answers(by_blocks: Counter[int], by_tables: Counter[int]) -> bool:
    """Without an endpoint: the same statuses, or both errors (a redirect is a closed path in the tables)."""
    return set(by_blocks) == set(by_tables) or (min(by_blocks) >= 300 and min(by_tables) >= 400)


async def _compare_outages(
    bench: SampleBench, paths: list[str], comparison: Comparison, sample: Sample
) -> None:
    """Stops all primaries of each group: at both sides the backups serve, or no endpoint does."""
    plan, hosts = bench.plan, bench.hosts
    for group in plan.groups.values():
        names = [name for name, other in plan.groups.items() if other is group]
        upstream = plan.config.upstreams.get(names[0])
        server_verdicts = (
            [plan.outcomes.get(id(server.directive), ("", ""))[0] for server in upstream.servers]
            if upstream
            else []
        )
        if NOT_CARRIED in server_verdicts:
            continue  # reported as served differently
        primaries = [name for name, _, tier, draining in group.rows if tier == 0 and not draining]
        backups = [name for name, _, tier, draining in group.rows if tier and not draining]
        path = next((candidate for candidate in paths if _serves(plan, candidate, group.name)), None)
        if path is None or not primaries:
            continue
        for name in primaries:
            hosts.stop(name)
        await trio.sleep(0.01)
        observed_by_way: dict[str, ObservedRequests] = {}
        for way in ("blocks", "tables"):
            await bench.calls(way, path, 8)  # until the outage is detected
            observed_by_way[way] = await bench.calls(way, path, 60)
        comparison.primary_outages += 1
        for way, observed in observed_by_way.items():
            if set(observed.endpoints) - set(backups):
                comparison.differences.append(
                    f"{sample.place} {sample.name}: {path}: {way} reaches {dict(observed.endpoints)}"
                )
            if backups and observed.answers[200] < 57:
                comparison.differences.append(
                    f"{sample.place} {sample.name}: {path}: {way}, by backups: {dict(observed.answers)}"
                )
            if not backups and observed.answers[200]:
                comparison.differences.append(
                    f"{sample.place} {sample.name}: {path}: {way} answers without an endpoint"
                )
        for name in primaries:
            await hosts.start(name)
    await trio.sleep(0)


def _serves(plan: ImportPlan, path: str, group: str) -> bool:
    site = plan.server_block
    place = site.find_location(path) if site is not None else None
    target = place.target if place is not None else None
    if target is None or target.unknown_reason or len(target.parts) != 1 or target.mapping is not None:
        return False
    return target.parts[0][0] == group


async def _compare_mutating_requests(bench: SampleBench, comparison: Comparison, sample: Sample) -> None:
    """Every endpoint executes the request and then fails: no request may take effect twice."""
    for path in sample.asked.mutating:
        for behaviour in ("cut", "failing"):
            for name in bench.hosts.behaviour:
                bench.hosts.behaviour[name] = behaviour
            for way in ("blocks", "tables"):
                for _ in range(20):
                    bench.clock_offset_s += 11
                    await bench.calls(way, path + "/1", 1, b"POST")
                    effects_by_request = Counter(request for request, _, _ in bench.hosts.received)
                    comparison.repeats[way] += sum(times > 1 for times in effects_by_request.values())
            comparison.mutating_calls += 20
        for name in bench.hosts.behaviour:
            bench.hosts.behaviour[name] = "good"


def _compare_in_process(sample: Sample, count: int) -> Comparison:
    comparison = Comparison()
    trio.run(compare_sample, sample, count, comparison)
    return comparison


def compare_samples(
    count: int, say: Callable[[str], None] = lambda text: None, only: int = 0, at_once: int = 1
) -> Comparison:
    """Compares `count` requests per path and side; `only` limits the number of samples, 0 takes all."""
    comparison, chosen = Comparison(), load_samples()
    if only:
        chosen = chosen[:: max(1, len(chosen) // only)][:only]
    with ProcessPoolExecutor(at_once) as pool:
        results = (
            pool.map(_compare_in_process, chosen, [count] * len(chosen))
            if at_once > 1
            else (_compare_in_process(sample, count) for sample in chosen)
        )
        for sample_comparison in results:
            comparison.add(sample_comparison)
            for line in sample_comparison.differences:
                say(line)
    return comparison

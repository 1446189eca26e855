"""Stand-in proxies: each an HTTP front that does what its files say, and judges nothing by itself.

`python -m willowhook.trial.standin_proxy FILE`, many proxies in one process.  A proxy starts with a standing
table, joins one director at a time through that director's folder, applies a group of files whole or refuses
it and keeps the last good one, and goes on with what it holds when its director is gone.
"""

from __future__ import annotations

import math
import os
import random
import shutil
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec
import trio
import xxhash

from ..clock import monotonic_ticks
from ..config.terms import PathTerms, RouteTerms
from ..files.follow import FileGroupFollower
from ..files.layout import (
    INBOUND_FOLDER,
    LOAD_FILE,
    OUTBOUND_FOLDER,
    REPORT_INTERVAL_FILE,
    STATUS_FILE,
    last_heartbeat,
)
from ..files.ops import DiskOps
from ..files.swap import swap_file
from ..membership.assignment import preference_order
from ..membership.failure_detector import FailureDetector
from ..membership.ownership import ProxyOwnership, UpdateVerdict
from ..membership.reconnect import FailbackPolicy, ReconnectPace, reconnect_delay
from ..membership.retries import stricter_retries
from ..membership.version import Version, VersionError, parse_version
from ..ticks import TICKS_PER_SECOND, ticks_from_milliseconds, ticks_from_seconds
from ..web.wire import Call, ClientConnection, ConnectionLostError, Reply, open_connection, serve_connection
from ..xds import forms, orca, tables
from ..xds.codec import MessageFormatError, decode, encode, parse_duration, read_response
from .day import ProxyPlan
from .notes import EventLog, serve_commands
from .standin_link import DiscoveryClient


class ControllerAddress(msgspec.Struct):
    name: str
    folder: str
    zone: str
    port: int = 0  # of its front, where there is one


class ProxyWorkerConfig(msgspec.Struct):
    proxies: list[ProxyPlan]
    directors: list[ControllerAddress]
    hosts: list[tuple[str, str, int, str]]  # open at the start: id, address, port, zone
    routes: list[RouteTerms]
    notes: str
    seed: int
    standing: int
    pick: str
    strikes: int
    shun_s: float
    dial_s: float
    report_s: float
    lost_after_s: float
    redial_s: float
    usual_calls_per_s: float
    watch: str = "inotify"
    poll_s: float = 0.02
    fixed: bool = False  # no director: a table of all hosts, for a baseline
    refuse: float = 0.0  # share of groups that are refused, to try the director
    fenced: bool = True  # False: terms and folders of before are not told apart, to show what that costs
    fleet: int = 1  # proxies of all crews
    joins_per_s: float = 200.0
    settle_s: float = 3.0
    stay_s: float = 5.0
    beat_s: float = 0.2
    odd_weight: int = 0  # a table with a line of this weight is refused by some
    odd_share: float = 0.05


@dataclass(slots=True)
class TokenBucket:
    rate: float
    capacity: float
    tokens: float
    updated_at: int

    def take(self, now: int) -> bool:
        self.tokens = min(self.capacity, self.tokens + self.rate * (now - self.updated_at) / TICKS_PER_SECOND)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class EndpointState:
    """What a proxy has of one host."""

    address: str
    port: int
    zone: str
    idle_connections: list[ClientConnection] = field(default_factory=list)
    open_requests: int = 0
    consecutive_failures: int = 0
    ejected_until: int = 0


@dataclass(slots=True)
class EndpointStatistics:
    successes: int = 0
    errors: int = 0
    latency_sum_s: float = 0.0
    metrics: dict[str, list[float]] = field(default_factory=dict)


class StandInProxy:
    assignments: dict[str, forms.ClusterLoadAssignment]
    clusters: dict[str, forms.Cluster]
    routes: list[forms.Route]
    config: ProxyWorkerConfig
    plan: ProxyPlan
    worker: ProxyWorker
    event_log: EventLog
    ownership: ProxyOwnership
    avoided_until: dict[str, int]
    controller: ControllerAddress | None
    route_entries: dict[str, list[tuple[str, float]]]
    rng: random.Random

    def __init__(self, orders: ProxyWorkerConfig, plan: ProxyPlan, worker: ProxyWorker) -> None:
        self.config, self.plan, self.worker, self.event_log = orders, plan, worker, worker.event_log
        self.rng = random.Random(f"{orders.seed} {plan.id}")
        self.endpoints: dict[str, EndpointState] = {}
        self.statistics: dict[tuple[str, str], EndpointStatistics] = {}  # by cluster and address
        self.dropped: dict[str, int] = {}
        self.reported_at = monotonic_ticks()
        self.process_id = f"{monotonic_ticks()}"  # of this process
        self.buckets: dict[str, tuple[object, TokenBucket]] = {}
        self.controller = None
        self.term_folder = f"{os.path.dirname(orders.notes)}/terms"
        self.ownership = ProxyOwnership(self.last_term())
        self.versions: dict[str, tuple[str, str]] = {}  # by kind: version and nonce applied
        self.avoided_until = {}  # directors that sent it away, until when
        near = frozenset(place.name for place in orders.directors if place.zone == plan.zone)
        names = preference_order(plan.id, [place.name for place in orders.directors], near)
        self.preferred_controllers = [
            place for name in names for place in orders.directors if place.name == name
        ]
        reconnect_pace = ReconnectPace(orders.fleet, orders.joins_per_s, orders.settle_s, orders.stay_s)
        self.reconnect_pace, self.failback = (
            reconnect_pace,
            FailbackPolicy(reconnect_pace, names, self.rng.random),
        )
        self.disconnected_until = 0
        self.link = DiscoveryClient(self) if plan.form != "files" else None
        self.load_standing_table()
        if self.link is not None:
            self.link.restore()

    # What it holds.

    def load_standing_table(self) -> None:
        """The standing table: some hosts of its own zone, drawn by chance."""
        near = [row for row in self.config.hosts if row[3] == self.plan.zone]
        pool = near if len(near) >= 3 else self.config.hosts
        drawn = (
            self.config.hosts
            if self.config.fixed
            else self.rng.sample(pool, min(self.config.standing, len(pool)))
        )
        lines = [(host, address, port, zone, 1.0, False) for host, address, port, zone in drawn]
        self.assignments = {"standing": tables.assignment("standing", lines)}
        rows: list[forms.Route] = []
        self.clusters = {}
        paths: list[tuple[RouteTerms, PathTerms | RouteTerms]] = []
        for row in self.config.routes:
            paths += [(row, row), *((row, path) for path in row.more)]
        for route, path in sorted(paths, key=lambda row: (row[1].order, -len(row[1].path))):
            name = f"{route.name}@standing"
            pick, dial_ticks = self.config.pick, ticks_from_seconds(self.config.dial_s)
            self.clusters[name] = tables.cluster(name, "standing", "", pick, dial_ticks, self.config.strikes)
            limit = ticks_from_milliseconds(route.time_limit_ms)
            how = tables.match(path.match, path.path)
            rows.append(tables.route(route.name, how, name, limit, tables.retry(1, 0), {}, path.rewrite))
        self.routes = rows
        self.update_route_entries()

    def update_route_entries(self) -> None:
        """Looks up what calls will need; by route the lines that may be picked."""
        self.route_entries = {}
        for route in tables.cluster_routes(self.routes):
            cluster = self.clusters[route.route.cluster]
            table = self.assignments[cluster.eds_cluster_config.service_name]
            usable = []
            for host, address, port, zone, weight, out in tables.lines(table):
                side = self.endpoints.get(host)
                if side is None or (side.address, side.port) != (address, port):
                    side = self.endpoints[host] = EndpointState(address, port, zone)
                if not out:
                    usable.append((host, weight))
            self.route_entries[route.name] = usable
        held = {host for rows in self.route_entries.values() for host, _ in rows}
        for host, side in self.endpoints.items():
            if (
                host not in held and side.idle_connections
            ):  # connections to hosts that left its tables are closed
                for caller in side.idle_connections:
                    self.worker.start_soon(caller.close)
                side.idle_connections.clear()

    def last_term(self) -> int:
        try:
            with open(f"{self.term_folder}/{self.plan.id}", "rb") as file:
                return int(file.read())
        except FileNotFoundError:
            return 0

    def apply_files(self, place: ControllerAddress, files: dict[str, bytes]) -> None:
        """A group of files: applied whole, or refused and what was held stays."""
        kinds: dict[str, tuple[str, str]] = {}
        try:
            assignments, clusters, routes = dict(self.assignments), dict(self.clusters), self.routes
            for kind, type_url in forms.TYPE_URLS.items():
                if (data := files.get(kind + ".json")) is None:
                    continue
                envelope = read_response(data, type_url)
                kinds[kind] = (envelope.version_info, envelope.nonce)
            versions = [parse_version(version) for version, _ in kinds.values()]
            newest = max(versions, default=Version(0, 0, 0))
            verdict = self.ownership.check(newest, self.config.fenced)
            if verdict is not UpdateVerdict.APPLY:
                if verdict is not UpdateVerdict.OLD:
                    self.worker.void_updates += 1
                    self.event_log.record(
                        "void", p=self.plan.id, d=place.name, v=str(newest), why=verdict.value
                    )
                return
            if self.config.refuse and self.rng.random() < self.config.refuse:
                raise MessageFormatError("refused by chance")
            if "eds" in kinds:
                for table in tables.read_tables(files["eds.json"])[1]:
                    assignments[table.cluster_name] = table
            if "cds" in kinds:
                clusters = {row.name: row for row in tables.read_clusters(files["cds.json"])[1]}
            if "rds" in kinds:
                sets = tables.read_routes(files["rds.json"])[1]
                routes = sets[0].virtual_hosts[0].routes
            for route in tables.cluster_routes(routes):
                tables.matches(route.match, "/")
                cluster = clusters.get(route.route.cluster)
                if cluster is None:
                    raise MessageFormatError(
                        f"route {route.name!r} names no cluster: {route.route.cluster!r}"
                    )
                if cluster.eds_cluster_config.service_name not in assignments:
                    raise MessageFormatError(f"cluster {cluster.name!r} has no table")
                tables.level_of(route.typed_per_filter_config)
            self.check_refused_weight(assignments.values())
        except (MessageFormatError, VersionError, IndexError) as fault:
            self.worker.refused_updates += 1
            self.event_log.record("refused", p=self.plan.id, d=place.name, cause=str(fault))
            self.acknowledge(kinds, str(fault) or "incomplete")
            return
        used = {
            clusters[r.route.cluster].eds_cluster_config.service_name for r in tables.cluster_routes(routes)
        }
        self.assignments = {name: table for name, table in assignments.items() if name in used}
        self.clusters, self.routes = clusters, routes
        self.ownership.record_applied(newest)
        self.update_route_entries()
        self.worker.applied_updates += 1
        told = {"v": [newest.epoch, newest.number], "term": self.ownership.term, **self.describe_state()}
        self.event_log.record("applied", p=self.plan.id, d=place.name, **told)
        self.acknowledge(kinds, "")
        if "directors" in assignments and self.controller is not None:  # it drains
            self.avoided_until[self.controller.name] = monotonic_ticks() + ticks_from_seconds(
                self.config.stay_s * 2
            )
            self.leave("sent away")

    def describe_state(self) -> dict[str, Any]:
        """What it runs now, for its notes."""
        held = {host for rows in self.route_entries.values() for host, _ in rows}
        usable = {name: len(rows) for name, rows in self.route_entries.items()}
        top = max((weight for rows in self.route_entries.values() for _, weight in rows), default=0.0)
        return {"hosts": sorted(held), "usable": usable, "top": round(top, 4)}

    def check_refused_weight(self, assignments: Iterable[forms.ClusterLoadAssignment]) -> None:
        """Raises FormError where a table is of the kind that this proxy refuses."""
        if self.config.odd_weight and random.Random(self.plan.id).random() < self.config.odd_share:
            for table in assignments:
                if any(round(line[4] * 10_000) == self.config.odd_weight for line in tables.lines(table)):
                    raise MessageFormatError(f"{table.cluster_name}: an odd weight")

    def controller_name(self) -> str:
        return self.controller.name if self.controller else ""

    # What it says.

    def node(self) -> forms.Node:
        told: dict[str, Any] = {
            "usual_calls_per_s": self.config.usual_calls_per_s * self.plan.share,
            "director": self.ownership.controller,
            "term": self.ownership.term,
        }
        return forms.Node(self.plan.id, "calls", forms.Locality(zone=self.plan.zone), told)

    def encode_request(self, kind: str, version: str, nonce: str, fault: str) -> bytes:
        detail = forms.Status(3, fault) if fault else None
        return encode(forms.DiscoveryRequest(version, self.node(), [], forms.TYPE_URLS[kind], nonce, detail))

    def acknowledge(self, kinds: dict[str, tuple[str, str]], fault: str) -> None:
        if self.controller is None:
            return
        for kind, (version, nonce) in kinds.items():
            old = self.versions.get(kind, ("", ""))
            if old[1] == nonce:
                continue
            if not fault:
                self.versions[kind] = (version, nonce)
            said = self.encode_request(kind, version if not fault else old[0], nonce, fault)
            self.write_inbound(kind + ".json", said)

    def write_inbound(self, file: str, data: bytes) -> None:
        if self.link is not None:
            self.link.report(data)
        elif self.controller is not None:
            try:
                swap_file(DiskOps(), f"{self.controller.folder}/{INBOUND_FOLDER}/{self.plan.id}", file, data)
            except OSError:
                return  # its folder is gone: noticed by `keep`

    def status(self) -> bytes:
        held: list[tuple[str, str, object]] = [(forms.ASSIGNMENT, n, t) for n, t in self.assignments.items()]
        held += [(forms.CLUSTER, name, cluster) for name, cluster in self.clusters.items()]
        routes = forms.RouteConfiguration("calls", [forms.VirtualHost("all", ["*"], self.routes)])
        held.append((forms.ROUTES, "calls", routes))
        rows = [
            forms.GenericXdsConfig(url, name, "", msgspec.Raw(encode(what)), "ACKED")
            for url, name, what in held
        ]
        return encode(forms.ClientConfig(self.node(), rows))

    def report(self) -> None:
        """The sums of the period that ends now, as the load reporting service has them."""
        now = monotonic_ticks()
        span = f"{(now - self.reported_at) / TICKS_PER_SECOND:.4f}s"
        since, self.reported_at = self.reported_at, now
        clusters: dict[str, forms.ClusterStats] = {}
        zones: dict[tuple[str, str], forms.UpstreamLocalityStats] = {}
        for name in dict.fromkeys([*(key[0] for key in self.statistics), *self.dropped]):
            gone = self.dropped.get(name, 0)
            stats = clusters[name] = forms.ClusterStats(name, total_dropped_requests=gone)
            stats.load_report_interval = span
            if gone:
                stats.dropped_requests.append(forms.DroppedRequests("throttled", gone))
        for (name, host), statistics in self.statistics.items():
            side = self.endpoints[host]
            zone = zones.get((name, side.zone))
            if zone is None:
                zone = zones[name, side.zone] = forms.UpstreamLocalityStats(forms.Locality(zone=side.zone))
                clusters[name].upstream_locality_stats.append(zone)
            at = forms.Address(forms.SocketAddress(side.address, side.port))
            row = forms.UpstreamEndpointStats(
                at,
                statistics.successes,
                side.open_requests,
                statistics.errors,
                statistics.successes + statistics.errors,
            )
            if statistics.successes:
                row.load_metric_stats.append(
                    forms.LoadMetricStats("latency_seconds", statistics.successes, statistics.latency_sum_s)
                )
            for metric, (total, count) in statistics.metrics.items():
                row.load_metric_stats.append(forms.LoadMetricStats(metric, int(count), total))
            zone.upstream_endpoint_stats.append(row)
            zone.total_successful_requests += statistics.successes
            zone.total_error_requests += statistics.errors
        self.statistics.clear()
        self.dropped.clear()
        node, calendar = self.node(), time.time() - now / TICKS_PER_SECOND
        times = {
            "load_from": calendar + since / TICKS_PER_SECOND,
            "load_until": calendar + now / TICKS_PER_SECOND,
        }
        node.metadata |= {**times, "process": self.process_id}
        if now > since:
            self.write_inbound(LOAD_FILE, encode(forms.LoadStatsRequest(node, list(clusters.values()))))

    # Its director.

    def reachable(self, place: ControllerAddress) -> bool:
        if (
            self.worker.is_partitioned(self.plan.zone, place.zone)
            or monotonic_ticks() < self.disconnected_until
        ):
            return False
        return self.worker.is_alive(place.name) and self.avoided_until.get(place.name, 0) <= monotonic_ticks()

    def join(self, place: ControllerAddress) -> None:
        """The new term is on disk before anybody is told of it."""
        up = f"{place.folder}/{INBOUND_FOLDER}"
        temp, failback = f"{up}/.{self.plan.id}", f"{up}/{self.plan.id}"
        standing = all(name == "standing" for name in self.assignments)
        before = self.ownership.applied
        term = self.ownership.next_term()
        os.makedirs(self.term_folder, exist_ok=True)
        swap_file(DiskOps(), self.term_folder, self.plan.id, b"%d" % term, "file")
        self.ownership.join(place.name, term)
        if self.link is not None:
            self.controller = place
            self.failback.record_join(monotonic_ticks() / TICKS_PER_SECOND)
            self.event_log.record("joined", p=self.plan.id, d=place.name, term=term)
            self.link.begin(place)
            return
        shutil.rmtree(temp, ignore_errors=True)
        shutil.rmtree(failback, ignore_errors=True)
        os.mkdir(temp)
        files = {STATUS_FILE: self.status()}
        if not standing:
            said = str(before) if before else "0.0.0"
            files |= {f"{kind}.json": self.encode_request(kind, said, "", "") for kind in forms.TYPE_URLS}
        for name, data in files.items():
            swap_file(DiskOps(), temp, name, data)
        self.versions = {}
        os.rename(temp, failback)
        self.controller = place
        self.failback.record_join(monotonic_ticks() / TICKS_PER_SECOND)
        self.event_log.record("joined", p=self.plan.id, d=place.name, term=term)
        self.report()
        self.worker.follow(self.plan.id, place)

    def leave(self, why: str) -> None:
        if self.controller is None:
            return
        place, self.controller = self.controller, None
        self.ownership.leave()
        if self.link is not None:
            self.link.end()
            self.event_log.record("left", p=self.plan.id, d=place.name, why=why)
            return
        if self.config.fenced:
            self.worker.unfollow(self.plan.id, place)
        self.event_log.record("left", p=self.plan.id, d=place.name, why=why)
        if not self.worker.is_partitioned(self.plan.zone, place.zone):  # else nothing of it gets there
            shutil.rmtree(f"{place.folder}/{INBOUND_FOLDER}/{self.plan.id}", ignore_errors=True)

    async def maintain_session(self) -> None:
        """Joined to one director as long as it shows life, then to another; back when that pays."""
        share = self.plan.share * self.config.fleet
        while True:
            now = monotonic_ticks() / TICKS_PER_SECOND
            for place in self.preferred_controllers:
                self.failback.record_liveness(place.name, self.reachable(place), now)
            if self.controller is None:
                for place in self.preferred_controllers:
                    if self.reachable(place):
                        try:
                            self.join(place)
                        except OSError:
                            self.leave("its folder cannot be used")
                            continue
                        break
                else:
                    await trio.sleep(0.1)
                    continue
            elif self.link is not None and self.link.end_reason:
                self.leave(self.link.end_reason)
                await trio.sleep(self.config.redial_s * (0.5 + self.rng.random()))
            elif not self.reachable(self.controller):
                self.leave("no sign of life")
                wait = reconnect_delay(self.reconnect_pace, share, self.rng.random)
                await trio.sleep(wait + self.config.redial_s * (0.5 + self.rng.random()))
            elif self.failback.target(self.controller.name, now):
                self.leave("goes back")
                continue
            await trio.sleep(0.05)

    async def send_reports(self) -> None:
        await trio.sleep(self.rng.random() * self.config.report_s)
        while True:
            self.report()
            await trio.sleep(self.report_interval_s())

    def report_interval_s(self) -> float:
        """By its director's word, which stands in one file for all who do not call."""
        if self.link is not None:
            return max(self.config.report_s, self.link.report_s)
        if self.controller is not None:
            try:
                with open(f"{self.controller.folder}/{REPORT_INTERVAL_FILE}", "rb") as file:
                    said = decode(file.read(), forms.LoadStatsResponse).load_reporting_interval
                return max(self.config.report_s, parse_duration(said))
            except (OSError, MessageFormatError):
                return self.config.report_s
        return self.config.report_s

    # Calls.

    async def answer(self, call: Call) -> Reply | None:
        path = call.target.split(b"?")[0].decode("latin-1")
        row = tables.first_match(self.routes, path)
        if row is None or row.direct_response is not None:
            return Reply(row.direct_response.status if row and row.direct_response else 404)
        call.target = tables.upstream_path(row, call.target.decode("latin-1")).encode("latin-1")
        return await self.forward(row, call)

    def is_admitted(self, row: forms.Route) -> bool:
        share, rate = tables.level_of(row.typed_per_filter_config)
        if share < 1 and self.rng.random() >= share:
            return False
        if math.isinf(rate):
            return True
        limit = row.typed_per_filter_config[forms.RATE_LIMIT_FILTER]
        key, bucket = self.buckets.get(row.name, (None, None))
        if key != limit or bucket is None:
            assert isinstance(limit, forms.LocalRateLimit)
            most = float(limit.token_bucket.max_tokens)
            level = min(most, bucket.tokens) if bucket else most / 2
            bucket = TokenBucket(rate, most, level, monotonic_ticks())
            self.buckets[row.name] = (limit, bucket)
        return bucket.take(monotonic_ticks())

    async def forward(self, row: forms.Route, call: Call) -> Reply:
        attempt = call.headers.get(b"x-attempt", b"").decode()
        cluster = row.route.cluster
        if not self.is_admitted(row):
            self.dropped[cluster] = self.dropped.get(cluster, 0) + 1
            self.event_log.record("throttled", p=self.plan.id, c=attempt, r=row.name)
            return Reply(429, [(b"retry-after", b"1")], b"throttled")
        # what a call is told at its start holds for all of its tries, but not the hosts it may go to
        policy, lb_policy = row.route.retry_policy, self.clusters[cluster].lb_policy
        tries = tables.tries_of(policy)
        patience = parse_duration(policy.per_try_timeout) if policy and policy.per_try_timeout else math.inf
        by = hash_key(tables.hash_by(row.route.hash_policy), call)
        tried: list[str] = []
        reply = Reply(503, [(b"retry-after", b"1"), (tables.NOT_EXECUTED_HEADER.encode(), b"1")], b"no host")
        with trio.move_on_after(parse_duration(row.route.timeout)) as limit:
            while True:
                host = self.pick(row, lb_policy, tried, by)
                if host is None:
                    if not tried:
                        self.event_log.record("no_host", p=self.plan.id, c=attempt, r=row.name)
                    return reply
                # of the order at its start and that of now, the stricter_retries
                tries = stricter_retries(tries, self.current_retry_mode(row.name))
                again = len(tried) < (1 if tries == 1 else max(tries - 1, 0))
                tried.append(host)
                reply, proof = await self.send_attempt(
                    row, cluster, host, call, patience if again else math.inf
                )
                tries = stricter_retries(tries, self.current_retry_mode(row.name))
                if reply.status < 500 or not again or not tries or (tries == 1 and not proof):
                    return reply
        if limit.cancelled_caught:
            return Reply(504, [(b"retry-after", b"1")], b"time limit")
        return reply

    def current_retry_mode(self, name: str) -> int:
        return next((tables.tries_of(row.route.retry_policy) for row in self.routes if row.name == name), 0)

    def pick(self, row: forms.Route, lb_policy: str, tried: list[str], by: str = "") -> str | None:
        now = monotonic_ticks()
        lines = self.route_entries.get(row.name, [])
        fit = [line for line in lines if line[0] not in tried] or ([] if tried else lines)
        fit = [line for line in fit if self.endpoints[line[0]].ejected_until <= now] or fit
        if not fit:
            return None
        hosts, weights = [line[0] for line in fit], [line[1] for line in fit]
        if lb_policy == "RING_HASH" and by:
            return ring_pick(by, fit)
        if lb_policy != "LEAST_REQUEST":
            return self.rng.choices(hosts, weights)[0]
        one, two = self.rng.choices(hosts, weights, k=2)
        return one if self.endpoints[one].open_requests <= self.endpoints[two].open_requests else two

    async def send_attempt(
        self, row: forms.Route, cluster: str, host: str, call: Call, patience: float
    ) -> tuple[Reply, bool]:
        """One try: its answer, and whether it is proven that it never ran."""
        side, began, told = self.endpoints[host], monotonic_ticks(), b""
        reply, proof, out = Reply(504, [], b"time-out"), False, "timeout"
        attempt = call.headers.get(b"x-attempt", b"").decode()
        ours = [(b"x-proxy", self.plan.id.encode()), (b"x-route", row.name.encode())]
        head = [(k, call.headers[k]) for k in (b"x-attempt", b"x-work-ms", b"x-key") if k in call.headers]
        side.open_requests += 1
        caller: ClientConnection | None = None
        sent = 0
        try:
            with trio.move_on_after(patience):
                if self.worker.is_lost(self.plan, host, side.zone):
                    out = "unreached"
                    await trio.sleep(self.config.dial_s)
                    raise ConnectionLostError("no way there", False)
                while side.idle_connections and caller is None:
                    caller = side.idle_connections.pop()
                    if not caller.usable or not caller.is_open():
                        self.worker.start_soon(caller.close)
                        caller = None
                if caller is None:
                    caller = await open_connection(side.address, side.port, self.config.dial_s)
                sent = monotonic_ticks()
                self.event_log.record(
                    "sent", p=self.plan.id, c=attempt, r=row.name, h=host, d=self.controller_name()
                )
                reply = await caller.request(call.method, call.target, [*ours, *head], call.body)
                told = reply.header(orca.HEADER) or b""
                proof = reply.header(tables.NOT_EXECUTED_HEADER.encode()) is not None
                out = "answered" if reply.status < 500 else "given_back" if proof else "failed"
        except ConnectionLostError as fault:
            proof = not fault.sent
            out = "unreached" if proof else "broke"
            reply = Reply(
                503, [(tables.NOT_EXECUTED_HEADER.encode(), b"1")] if proof else [], b"connection failure"
            )
        finally:
            side.open_requests -= 1
            if caller is not None:
                if caller.usable and any(host == line[0] for line in self.route_entries.get(row.name, ())):
                    side.idle_connections.append(caller)
                else:
                    self.worker.start_soon(caller.close)
            sums = self.statistics.setdefault((cluster, host), EndpointStatistics())
            good = out == "answered"
            if good:
                sums.successes += 1
                sums.latency_sum_s += (monotonic_ticks() - began) / TICKS_PER_SECOND
                side.consecutive_failures = 0
            else:
                sums.errors += 1
                side.consecutive_failures += 1
                if self.config.strikes and side.consecutive_failures >= self.config.strikes:
                    side.consecutive_failures = 0
                    side.ejected_until = monotonic_ticks() + ticks_from_seconds(self.config.shun_s)
            for name, value in orca.read(told).items() if told else ():
                pair = sums.metrics.setdefault(name, [0.0, 0])
                pair[0] += value
                pair[1] += 1
            parts = {"p": self.plan.id, "c": attempt, "r": row.name, "h": host, "term": self.ownership.term}
            self.event_log.record("try", **parts, began=began, sent=sent, out=out, proof=proof)
        return reply, proof


def hash_key(by: str, call: Call) -> str:
    """What of a call decides its place on a ring; empty without a ring.  Tests tell the address."""
    kind, _, name = by.partition(":")
    if kind == "header":
        usual = call.target if name == ":path" else b""
        return call.headers.get(name.lower().encode(), usual).decode("latin-1")
    if kind == "query":
        query = call.target.decode("latin-1").partition("?")[2]
        return next((part.partition("=")[2] for part in query.split("&") if part.startswith(name + "=")), "")
    if kind == "cookie":
        parts = call.headers.get(b"cookie", b"").decode("latin-1").split(";")
        return next((p.strip().partition("=")[2] for p in parts if p.strip().startswith(name + "=")), "")
    return call.headers.get(b"x-source", b"").decode("latin-1") if kind else ""


def ring_pick(key: str, lines: list[tuple[str, float]]) -> str:
    """By weighted rendezvous: each host's share of keys is its weight's, and few keys move."""
    best, found = -math.inf, lines[0][0]
    for host, weight in lines:
        draw = (xxhash.xxh64_intdigest(f"{host} {key}") + 1) / (2**64 + 2)
        score = weight / -math.log(draw)
        if score > best:
            best, found = score, host
    return found


class ProxyWorker:
    """All proxies of one process, and the troubles they share."""

    def __init__(self, orders: ProxyWorkerConfig) -> None:
        self.config, self.event_log = orders, EventLog(orders.notes)
        self.rng = random.Random(orders.seed)
        self.partitioned_zones: list[str] = []
        self.loss_shares: dict[tuple[str, str], float] = {}  # proxy and host: share of tries that get nowhere
        self.applied_updates = self.refused_updates = self.void_updates = 0
        self.follower = FileGroupFollower(orders.watch, orders.poll_s, self.apply_files)
        self.controllers = {place.name: place for place in orders.directors}
        most = orders.lost_after_s
        self.failure_detectors = {
            name: FailureDetector(orders.beat_s, most / 2, most) for name in self.controllers
        }
        self.heartbeats: dict[str, float] = {}
        self.proxies = {plan.id: StandInProxy(orders, plan, self) for plan in orders.proxies}
        self.scopes: dict[str, trio.CancelScope] = {}

    def apply_files(self, key: str, files: dict[str, bytes]) -> None:
        proxy, _, director = key.partition("|")
        self.proxies[proxy].apply_files(self.controllers[director], files)

    def follow(self, proxy: str, place: ControllerAddress) -> None:
        self.follower.follow(f"{proxy}|{place.name}", f"{place.folder}/{OUTBOUND_FOLDER}", proxy)

    def unfollow(self, proxy: str, place: ControllerAddress) -> None:
        self.follower.unfollow(f"{proxy}|{place.name}")

    def is_alive(self, director: str) -> bool:
        return director in self.heartbeats and not self.failure_detectors[director].is_suspected(
            monotonic_ticks() / TICKS_PER_SECOND
        )

    async def watch_heartbeats(self) -> None:
        """The signs of life of all directors, whoever follows them."""
        while True:
            now = monotonic_ticks() / TICKS_PER_SECOND
            for name, place in self.controllers.items():
                beat = last_heartbeat(place.folder)
                if beat != self.heartbeats.get(name) and time.time() - beat < self.config.lost_after_s:
                    self.heartbeats[name] = beat
                    self.failure_detectors[name].record_heartbeat(now)
            await trio.sleep(self.config.beat_s / 4)

    def is_partitioned(self, one: str, other: str) -> bool:
        return one != other and (one in self.partitioned_zones or other in self.partitioned_zones)

    def is_lost(self, plan: ProxyPlan, host: str, zone: str) -> bool:
        if self.is_partitioned(plan.zone, zone):
            return True
        share = self.loss_shares.get((plan.id, host), 0.0)
        return share > 0 and self.rng.random() < share

    def start_soon(self, what: Callable[[], Awaitable[object]]) -> None:
        self.nursery.start_soon(what)

    # Troubles.

    def set_partition(self, zones: list[str]) -> None:
        self.partitioned_zones = zones

    def set_loss(self, proxies: list[str], hosts: list[str], share: float) -> None:
        self.loss_shares = {(proxy, host): share for proxy in proxies for host in hosts}

    def drop_streams(self, proxies: list[str], away_s: float) -> None:
        for name in proxies:
            if name in self.proxies:
                self.proxies[name].leave("stream lost")
                self.proxies[name].disconnected_until = monotonic_ticks() + ticks_from_seconds(away_s)

    def kill(self, proxies: list[str]) -> None:
        for name in proxies:
            if name in self.proxies and name in self.scopes:
                self.scopes.pop(name).cancel()
                proxy = self.proxies[name]
                self.event_log.record("died", p=name)
                for place in self.config.directors:
                    self.unfollow(name, place)
                proxy.controller = None  # its folder stays, as a process that dies leaves it
                if proxy.link is not None:
                    proxy.link.end()

    def start(self, proxies: list[str], hosts: list[tuple[str, str, int, str]]) -> None:
        for name in proxies:
            if name in self.proxies and name not in self.scopes:
                orders = msgspec.structs.replace(self.config, hosts=hosts)
                self.proxies[name] = StandInProxy(orders, self.proxies[name].plan, self)
                self.start_soon(partial(self.run_proxy, self.proxies[name]))

    async def run_proxy(self, proxy: StandInProxy) -> None:
        with trio.CancelScope() as scope:
            self.scopes[proxy.plan.id] = scope
            usable = {route: len(rows) for route, rows in proxy.route_entries.items()}
            held = sorted({host for rows in proxy.route_entries.values() for host, _ in rows})
            self.event_log.record("up", p=proxy.plan.id, usable=usable, hosts=held)
            async with trio.open_nursery() as nursery:
                if not self.config.fixed:
                    nursery.start_soon(proxy.maintain_session)
                    nursery.start_soon(proxy.send_reports)
                serve = partial(serve_connection, answer=proxy.answer)
                await trio.serve_tcp(serve, proxy.plan.port, host="127.0.0.1", handler_nursery=nursery)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.event_log.run)
            if not self.config.fixed:
                nursery.start_soon(self.follower.run)
                nursery.start_soon(self.watch_heartbeats)
            for proxy in self.proxies.values():
                nursery.start_soon(self.run_proxy, proxy)
            print("ready", flush=True)
            orders: dict[str, Callable[..., Any]] = {"cut": self.set_partition, "lossy": self.set_loss}
            orders |= {"drop_streams": self.drop_streams, "kill": self.kill, "start": self.start}
            await serve_commands(orders)
            for proxy in self.proxies.values():
                proxy.leave("the end")
            nursery.cancel_scope.cancel()


def main() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    with open(sys.argv[1].removeprefix("@"), "rb") as file:
        trio.run(ProxyWorker(msgspec.json.decode(file.read(), type=ProxyWorkerConfig)).run)


if __name__ == "__main__":
    main()

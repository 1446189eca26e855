"""Stand-in proxies: each is an HTTP proxy that only does what the updates of its controller say.

`python -m willowhook.trial.standin_proxy FILE` runs many proxies in one process. A proxy starts with a
standing table and has a session with one controller at a time, through that controller's folder or by
requests. It applies a group of files completely, or rejects it and keeps the last good one. It keeps what it
has when its controller is lost.
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
    """Where proxies find a controller."""

    name: str
    folder: str
    zone: str
    port: int = 0  # of its discovery server, 0 if it has none


class ProxyWorkerConfig(msgspec.Struct):
    """What a proxy process does, as the JSON file that it is started with."""

    proxies: list[ProxyPlan]
    directors: list[ControllerAddress]
    hosts: list[tuple[str, str, int, str]]  # open at the start: id, address, port, zone
    routes: list[RouteTerms]
    notes: str  # path of the event log
    seed: int
    standing: int  # number of entries of the standing table
    pick: str
    strikes: int  # consecutive failures after which an endpoint is ejected; 0: never
    shun_s: float  # how long it stays ejected
    dial_s: float
    report_s: float
    lost_after_s: float
    redial_s: float
    usual_calls_per_s: float
    watch: str = "inotify"
    poll_s: float = 0.02
    fixed: bool = False  # no controller: one table of all endpoints, for a baseline
    refuse: float = 0.0  # share of updates that are rejected, to test the controller
    fenced: bool = True  # False: updates of earlier terms are not recognized, to show what that costs
    fleet: int = 1  # number of proxies in all processes
    joins_per_s: float = 200.0
    settle_s: float = 3.0
    stay_s: float = 5.0
    beat_s: float = 0.2
    odd_weight: int = 0  # some proxies reject a table with an entry of this weight
    odd_share: float = 0.05  # of the proxies


@dataclass(slots=True)
class TokenBucket:
    """The request budget of a route, in requests and requests per second."""

    rate: float
    capacity: float
    tokens: float
    updated_at: int

    def take(self, now: int) -> bool:
        """Takes a token, if there is one."""
        self.tokens = min(self.capacity, self.tokens + self.rate * (now - self.updated_at) / TICKS_PER_SECOND)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class EndpointState:
    """A proxy's connections and outlier detection of one endpoint."""

    address: str
    port: int
    zone: str
    idle_connections: list[ClientConnection] = field(default_factory=list)
    open_requests: int = 0
    consecutive_failures: int = 0
    ejected_until: int = 0


@dataclass(slots=True)
class EndpointStatistics:
    """Results of the current report period; `metrics` has sum and count by metric name."""

    successes: int = 0
    errors: int = 0
    latency_sum_s: float = 0.0
    metrics: dict[str, list[float]] = field(default_factory=dict)


class StandInProxy:
    """One proxy."""

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

    def __init__(self, config: ProxyWorkerConfig, plan: ProxyPlan, worker: ProxyWorker) -> None:
        self.config, self.plan, self.worker, self.event_log = config, plan, worker, worker.event_log
        self.rng = random.Random(f"{config.seed} {plan.id}")
        self.endpoints: dict[str, EndpointState] = {}
        self.statistics: dict[tuple[str, str], EndpointStatistics] = {}  # by cluster and endpoint
        self.dropped: dict[str, int] = {}
        self.reported_at = monotonic_ticks()
        self.process_id = f"{monotonic_ticks()}"  # differs after each restart
        self.buckets: dict[str, tuple[object, TokenBucket]] = {}
        self.controller = None
        self.term_folder = f"{os.path.dirname(config.notes)}/terms"
        self.ownership = ProxyOwnership(self.last_term())
        self.versions: dict[str, tuple[str, str]] = {}  # by type: applied version and nonce
        self.avoided_until = {}  # ticks, by controller that ended the session
        same_zone = frozenset(
            controller.name for controller in config.directors if controller.zone == plan.zone
        )
        names = preference_order(plan.id, [controller.name for controller in config.directors], same_zone)
        self.preferred_controllers = [
            controller for name in names for controller in config.directors if controller.name == name
        ]
        reconnect_pace = ReconnectPace(config.fleet, config.joins_per_s, config.settle_s, config.stay_s)
        self.reconnect_pace, self.failback = (
            reconnect_pace,
            FailbackPolicy(reconnect_pace, names, self.rng.random),
        )
        self.disconnected_until = 0
        self.link = DiscoveryClient(self) if plan.form != "files" else None
        self.load_standing_table()
        if self.link is not None:
            self.link.restore()

    # Applied state

    def load_standing_table(self) -> None:
        """Installs the standing table: some endpoints, of its own zone if that has at least three."""
        same_zone = [endpoint for endpoint in self.config.hosts if endpoint[3] == self.plan.zone]
        candidates = same_zone if len(same_zone) >= 3 else self.config.hosts
        drawn = (
            self.config.hosts
            if self.config.fixed
            else self.rng.sample(candidates, min(self.config.standing, len(candidates)))
        )
        entries = [(host, address, port, zone, 1.0, False) for host, address, port, zone in drawn]
        self.assignments = {"standing": tables.assignment("standing", entries)}
        routes: list[forms.Route] = []
        self.clusters = {}
        paths: list[tuple[RouteTerms, PathTerms | RouteTerms]] = []
        for terms in self.config.routes:
            paths += [(terms, terms), *((terms, path) for path in terms.more)]
        for route, path in sorted(paths, key=lambda pair: (pair[1].order, -len(pair[1].path))):
            name = f"{route.name}@standing"
            pick, dial_ticks = self.config.pick, ticks_from_seconds(self.config.dial_s)
            self.clusters[name] = tables.cluster(name, "standing", "", pick, dial_ticks, self.config.strikes)
            timeout_ticks = ticks_from_milliseconds(route.time_limit_ms)
            path_match = tables.match(path.match, path.path)
            routes.append(
                tables.route(
                    route.name, path_match, name, timeout_ticks, tables.retry(1, 0), {}, path.rewrite
                )
            )
        self.routes = routes
        self.update_route_entries()

    def update_route_entries(self) -> None:
        """Recomputes the usable table entries of each route, and closes connections that no table needs."""
        self.route_entries = {}
        for route in tables.cluster_routes(self.routes):
            cluster = self.clusters[route.route.cluster]
            table = self.assignments[cluster.eds_cluster_config.service_name]
            usable = []
            for host, address, port, zone, weight, is_excluded in tables.lines(table):
                state = self.endpoints.get(host)
                if state is None or (state.address, state.port) != (address, port):
                    state = self.endpoints[host] = EndpointState(address, port, zone)
                if not is_excluded:
                    usable.append((host, weight))
            self.route_entries[route.name] = usable
        used_endpoints = {host for entries in self.route_entries.values() for host, _ in entries}
        for host, state in self.endpoints.items():
            if host not in used_endpoints and state.idle_connections:  # endpoints that left the tables
                for connection in state.idle_connections:
                    self.worker.start_soon(connection.close)
                state.idle_connections.clear()

    def last_term(self) -> int:
        """The last term that it used, by its file; 0 if there is none."""
        try:
            with open(f"{self.term_folder}/{self.plan.id}", "rb") as file:
                return int(file.read())
        except FileNotFoundError:
            return 0

    def apply_files(self, controller: ControllerAddress, files: dict[str, bytes]) -> None:
        """Applies a group of files completely, or rejects it and keeps the applied state."""
        received: dict[str, tuple[str, str]] = {}
        try:
            assignments, clusters, routes = dict(self.assignments), dict(self.clusters), self.routes
            for kind, type_url in forms.TYPE_URLS.items():
                if (data := files.get(kind + ".json")) is None:
                    continue
                envelope = read_response(data, type_url)
                received[kind] = (envelope.version_info, envelope.nonce)
            versions = [parse_version(version) for version, _ in received.values()]
            newest = max(versions, default=Version(0, 0, 0))
            verdict = self.ownership.check(newest, self.config.fenced)
            if verdict is not UpdateVerdict.APPLY:
                if verdict is not UpdateVerdict.OLD:
                    self.worker.void_updates += 1
                    self.event_log.record(
                        "void", p=self.plan.id, d=controller.name, v=str(newest), why=verdict.value
                    )
                return
            if self.config.refuse and self.rng.random() < self.config.refuse:
                raise MessageFormatError("refused by chance")
            if "eds" in received:
                for table in tables.read_tables(files["eds.json"])[1]:
                    assignments[table.cluster_name] = table
            if "cds" in received:
                clusters = {cluster.name: cluster for cluster in tables.read_clusters(files["cds.json"])[1]}
            if "rds" in received:
                configurations = tables.read_routes(files["rds.json"])[1]
                routes = configurations[0].virtual_hosts[0].routes
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
        except (MessageFormatError, VersionError, IndexError) as error:
            self.worker.refused_updates += 1
            self.event_log.record("refused", p=self.plan.id, d=controller.name, cause=str(error))
            self.acknowledge(received, str(error) or "incomplete")
            return
        used_tables = {
            clusters[route.route.cluster].eds_cluster_config.service_name
            for route in tables.cluster_routes(routes)
        }
        self.assignments = {name: table for name, table in assignments.items() if name in used_tables}
        self.clusters, self.routes = clusters, routes
        self.ownership.record_applied(newest)
        self.update_route_entries()
        self.worker.applied_updates += 1
        details = {"v": [newest.epoch, newest.number], "term": self.ownership.term, **self.describe_state()}
        self.event_log.record("applied", p=self.plan.id, d=controller.name, **details)
        self.acknowledge(received, "")
        if "directors" in assignments and self.controller is not None:  # this controller drains
            self.avoided_until[self.controller.name] = monotonic_ticks() + ticks_from_seconds(
                self.config.stay_s * 2
            )
            self.leave("sent away")

    def describe_state(self) -> dict[str, Any]:
        """The applied state, for the event log."""
        endpoints = {host for entries in self.route_entries.values() for host, _ in entries}
        usable = {name: len(entries) for name, entries in self.route_entries.items()}
        max_weight = max(
            (weight for entries in self.route_entries.values() for _, weight in entries), default=0.0
        )
        return {"hosts": sorted(endpoints), "usable": usable, "top": round(max_weight, 4)}

    def check_refused_weight(self, assignments: Iterable[forms.ClusterLoadAssignment]) -> None:
        """Raises MessageFormatError if this proxy rejects the weight that a table has."""
        if self.config.odd_weight and random.Random(self.plan.id).random() < self.config.odd_share:
            for table in assignments:
                if any(round(entry[4] * 10_000) == self.config.odd_weight for entry in tables.lines(table)):
                    raise MessageFormatError(f"{table.cluster_name}: an odd weight")

    def controller_name(self) -> str:
        """The name of its controller, empty without a session."""
        return self.controller.name if self.controller else ""

    # Messages to the controller

    def node(self) -> forms.Node:
        """Identity of the proxy, with its usual request rate and its ownership."""
        metadata: dict[str, Any] = {
            "usual_calls_per_s": self.config.usual_calls_per_s * self.plan.share,
            "director": self.ownership.controller,
            "term": self.ownership.term,
        }
        return forms.Node(self.plan.id, "calls", forms.Locality(zone=self.plan.zone), metadata)

    def encode_request(self, kind: str, version: str, nonce: str, error: str) -> bytes:
        """A request that acknowledges this nonce, or rejects it with a cause."""
        detail = forms.Status(3, error) if error else None
        return encode(forms.DiscoveryRequest(version, self.node(), [], forms.TYPE_URLS[kind], nonce, detail))

    def acknowledge(self, received: dict[str, tuple[str, str]], error: str) -> None:
        """Acknowledges or rejects a group of files, by files of its own."""
        if self.controller is None:
            return
        for kind, (version, nonce) in received.items():
            applied = self.versions.get(kind, ("", ""))
            if applied[1] == nonce:
                continue
            if not error:
                self.versions[kind] = (version, nonce)
            request = self.encode_request(kind, version if not error else applied[0], nonce, error)
            self.write_inbound(kind + ".json", request)

    def write_inbound(self, file: str, data: bytes) -> None:
        """Hands a message to its controller."""
        if self.link is not None:
            self.link.report(data)
        elif self.controller is not None:
            try:
                swap_file(DiskOps(), f"{self.controller.folder}/{INBOUND_FOLDER}/{self.plan.id}", file, data)
            except OSError:
                return  # the folder was deleted: `maintain_session` notices that

    def status(self) -> bytes:
        """All resources that it has applied, as a client status message."""
        resources: list[tuple[str, str, object]] = [
            (forms.ASSIGNMENT, n, t) for n, t in self.assignments.items()
        ]
        resources += [(forms.CLUSTER, name, cluster) for name, cluster in self.clusters.items()]
        routes = forms.RouteConfiguration("calls", [forms.VirtualHost("all", ["*"], self.routes)])
        resources.append((forms.ROUTES, "calls", routes))
        configs = [
            forms.GenericXdsConfig(url, name, "", msgspec.Raw(encode(resource)), "ACKED")
            for url, name, resource in resources
        ]
        return encode(forms.ClientConfig(self.node(), configs))

    def report(self) -> None:
        """Sends the statistics of the period that ends now, as a load report."""
        now = monotonic_ticks()
        duration = f"{(now - self.reported_at) / TICKS_PER_SECOND:.4f}s"
        since, self.reported_at = self.reported_at, now
        clusters: dict[str, forms.ClusterStats] = {}
        zones: dict[tuple[str, str], forms.UpstreamLocalityStats] = {}
        for name in dict.fromkeys([*(key[0] for key in self.statistics), *self.dropped]):
            dropped_count = self.dropped.get(name, 0)
            stats = clusters[name] = forms.ClusterStats(name, total_dropped_requests=dropped_count)
            stats.load_report_interval = duration
            if dropped_count:
                stats.dropped_requests.append(forms.DroppedRequests("throttled", dropped_count))
        for (name, host), statistics in self.statistics.items():
            state = self.endpoints[host]
            zone = zones.get((name, state.zone))
            if zone is None:
                zone = zones[name, state.zone] = forms.UpstreamLocalityStats(forms.Locality(zone=state.zone))
                clusters[name].upstream_locality_stats.append(zone)
            address = forms.Address(forms.SocketAddress(state.address, state.port))
            endpoint_stats = forms.UpstreamEndpointStats(
                address,
                statistics.successes,
                state.open_requests,
                statistics.errors,
                statistics.successes + statistics.errors,
            )
            if statistics.successes:
                endpoint_stats.load_metric_stats.append(
                    forms.LoadMetricStats("latency_seconds", statistics.successes, statistics.latency_sum_s)
                )
            for metric, (total, count) in statistics.metrics.items():
                endpoint_stats.load_metric_stats.append(forms.LoadMetricStats(metric, int(count), total))
            zone.upstream_endpoint_stats.append(endpoint_stats)
            zone.total_successful_requests += statistics.successes
            zone.total_error_requests += statistics.errors
        self.statistics.clear()
        self.dropped.clear()
        node, wall_clock_offset = self.node(), time.time() - now / TICKS_PER_SECOND
        period = {
            "load_from": wall_clock_offset + since / TICKS_PER_SECOND,
            "load_until": wall_clock_offset + now / TICKS_PER_SECOND,
        }
        node.metadata |= {**period, "process": self.process_id}
        if now > since:
            self.write_inbound(LOAD_FILE, encode(forms.LoadStatsRequest(node, list(clusters.values()))))

    # Sessions

    def reachable(self, controller: ControllerAddress) -> bool:
        """Whether a session with this controller is possible."""
        if (
            self.worker.is_partitioned(self.plan.zone, controller.zone)
            or monotonic_ticks() < self.disconnected_until
        ):
            return False
        return (
            self.worker.is_alive(controller.name)
            and self.avoided_until.get(controller.name, 0) <= monotonic_ticks()
        )

    def join(self, controller: ControllerAddress) -> None:
        """Starts a session. The new term is on disk before it is sent."""
        inbound = f"{controller.folder}/{INBOUND_FOLDER}"
        temporary_folder, folder = f"{inbound}/.{self.plan.id}", f"{inbound}/{self.plan.id}"
        has_standing_only = all(name == "standing" for name in self.assignments)
        last_applied = self.ownership.applied
        term = self.ownership.next_term()
        os.makedirs(self.term_folder, exist_ok=True)
        swap_file(DiskOps(), self.term_folder, self.plan.id, b"%d" % term, "file")
        self.ownership.join(controller.name, term)
        if self.link is not None:
            self.controller = controller
            self.failback.record_join(monotonic_ticks() / TICKS_PER_SECOND)
            self.event_log.record("joined", p=self.plan.id, d=controller.name, term=term)
            self.link.begin(controller)
            return
        shutil.rmtree(temporary_folder, ignore_errors=True)
        shutil.rmtree(folder, ignore_errors=True)
        os.mkdir(temporary_folder)
        files = {STATUS_FILE: self.status()}
        if not has_standing_only:
            version = str(last_applied) if last_applied else "0.0.0"
            files |= {f"{kind}.json": self.encode_request(kind, version, "", "") for kind in forms.TYPE_URLS}
        for name, data in files.items():
            swap_file(DiskOps(), temporary_folder, name, data)
        self.versions = {}
        os.rename(temporary_folder, folder)
        self.controller = controller
        self.failback.record_join(monotonic_ticks() / TICKS_PER_SECOND)
        self.event_log.record("joined", p=self.plan.id, d=controller.name, term=term)
        self.report()
        self.worker.follow(self.plan.id, controller)

    def leave(self, why: str) -> None:
        """Ends the session, if there is one."""
        if self.controller is None:
            return
        controller, self.controller = self.controller, None
        self.ownership.leave()
        if self.link is not None:
            self.link.end()
            self.event_log.record("left", p=self.plan.id, d=controller.name, why=why)
            return
        if self.config.fenced:
            self.worker.unfollow(self.plan.id, controller)
        self.event_log.record("left", p=self.plan.id, d=controller.name, why=why)
        # in a network partition the removal cannot reach the controller
        if not self.worker.is_partitioned(self.plan.zone, controller.zone):
            shutil.rmtree(f"{controller.folder}/{INBOUND_FOLDER}/{self.plan.id}", ignore_errors=True)

    async def maintain_session(self) -> None:
        """Keeps a session while its controller is alive, else starts another; fails back by its policy."""
        share = self.plan.share * self.config.fleet
        while True:
            now = monotonic_ticks() / TICKS_PER_SECOND
            for controller in self.preferred_controllers:
                self.failback.record_liveness(controller.name, self.reachable(controller), now)
            if self.controller is None:
                for controller in self.preferred_controllers:
                    if self.reachable(controller):
                        try:
                            self.join(controller)
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
                delay_s = reconnect_delay(self.reconnect_pace, share, self.rng.random)
                await trio.sleep(delay_s + self.config.redial_s * (0.5 + self.rng.random()))
            elif self.failback.target(self.controller.name, now):
                self.leave("goes back")
                continue
            await trio.sleep(0.05)

    async def send_reports(self) -> None:
        """Sends a report in each interval; the first one at a random time."""
        await trio.sleep(self.rng.random() * self.config.report_s)
        while True:
            self.report()
            await trio.sleep(self.report_interval_s())

    def report_interval_s(self) -> float:
        """The interval that its controller wants, by its response or by the file that all proxies share."""
        if self.link is not None:
            return max(self.config.report_s, self.link.report_s)
        if self.controller is not None:
            try:
                with open(f"{self.controller.folder}/{REPORT_INTERVAL_FILE}", "rb") as file:
                    interval = decode(file.read(), forms.LoadStatsResponse).load_reporting_interval
                return max(self.config.report_s, parse_duration(interval))
            except (OSError, MessageFormatError):
                return self.config.report_s
        return self.config.report_s

    # Requests

    async def answer(self, call: Call) -> Reply | None:
        """Serves a request by the first route that matches."""
        path = call.target.split(b"?")[0].decode("latin-1")
        route = tables.first_match(self.routes, path)
        if route is None or route.direct_response is not None:
            return Reply(route.direct_response.status if route and route.direct_response else 404)
        call.target = tables.upstream_path(route, call.target.decode("latin-1")).encode("latin-1")
        return await self.forward(route, call)

    def is_admitted(self, route: forms.Route) -> bool:
        """Applies the admitted fraction and the admission limit of a route."""
        fraction, rate = tables.level_of(route.typed_per_filter_config)
        if fraction < 1 and self.rng.random() >= fraction:
            return False
        if math.isinf(rate):
            return True
        limit = route.typed_per_filter_config[forms.RATE_LIMIT_FILTER]
        key, bucket = self.buckets.get(route.name, (None, None))
        if key != limit or bucket is None:
            assert isinstance(limit, forms.LocalRateLimit)
            capacity = float(limit.token_bucket.max_tokens)
            tokens = min(capacity, bucket.tokens) if bucket else capacity / 2
            bucket = TokenBucket(rate, capacity, tokens, monotonic_ticks())
            self.buckets[route.name] = (limit, bucket)
        return bucket.take(monotonic_ticks())

    async def forward(self, route: forms.Route, call: Call) -> Reply:
        """Forwards a request, with the attempts that the route allows."""
        attempt = call.headers.get(b"x-attempt", b"").decode()
        cluster = route.route.cluster
        if not self.is_admitted(route):
            self.dropped[cluster] = self.dropped.get(cluster, 0) + 1
            self.event_log.record("throttled", p=self.plan.id, c=attempt, r=route.name)
            return Reply(429, [(b"retry-after", b"1")], b"throttled")
        # the policies at its start hold for all attempts of a request, but not the usable endpoints
        policy, lb_policy = route.route.retry_policy, self.clusters[cluster].lb_policy
        retry_mode = tables.tries_of(policy)
        attempt_timeout_s = (
            parse_duration(policy.per_try_timeout) if policy and policy.per_try_timeout else math.inf
        )
        key = hash_key(tables.hash_by(route.route.hash_policy), call)
        tried: list[str] = []
        reply = Reply(503, [(b"retry-after", b"1"), (tables.NOT_EXECUTED_HEADER.encode(), b"1")], b"no host")
        with trio.move_on_after(parse_duration(route.route.timeout)) as limit:
            while True:
                host = self.pick(route, lb_policy, tried, key)
                if host is None:
                    if not tried:
                        self.event_log.record("no_host", p=self.plan.id, c=attempt, r=route.name)
                    return reply
                # the stricter of the retry mode at its start and the current one
                retry_mode = stricter_retries(retry_mode, self.current_retry_mode(route.name))
                may_retry = len(tried) < (1 if retry_mode == 1 else max(retry_mode - 1, 0))
                tried.append(host)
                reply, is_not_executed = await self.send_attempt(
                    route, cluster, host, call, attempt_timeout_s if may_retry else math.inf
                )
                retry_mode = stricter_retries(retry_mode, self.current_retry_mode(route.name))
                if (
                    reply.status < 500
                    or not may_retry
                    or not retry_mode
                    or (retry_mode == 1 and not is_not_executed)
                ):
                    return reply
        if limit.cancelled_caught:
            return Reply(504, [(b"retry-after", b"1")], b"time limit")
        return reply

    def current_retry_mode(self, name: str) -> int:
        """The retry mode of this route; 0 if the route does not exist any more."""
        return next(
            (tables.tries_of(route.route.retry_policy) for route in self.routes if route.name == name), 0
        )

    def pick(self, route: forms.Route, lb_policy: str, tried: list[str], key: str = "") -> str | None:
        """Chooses an endpoint for an attempt; prefers those that were not tried and are not ejected."""
        now = monotonic_ticks()
        entries = self.route_entries.get(route.name, [])
        candidates = [entry for entry in entries if entry[0] not in tried] or ([] if tried else entries)
        candidates = [
            entry for entry in candidates if self.endpoints[entry[0]].ejected_until <= now
        ] or candidates
        if not candidates:
            return None
        hosts, weights = [entry[0] for entry in candidates], [entry[1] for entry in candidates]
        if lb_policy == "RING_HASH" and key:
            return ring_pick(key, candidates)
        if lb_policy != "LEAST_REQUEST":
            return self.rng.choices(hosts, weights)[0]
        first, second = self.rng.choices(hosts, weights, k=2)
        return (
            first if self.endpoints[first].open_requests <= self.endpoints[second].open_requests else second
        )

    async def send_attempt(
        self, route: forms.Route, cluster: str, host: str, call: Call, timeout_s: float
    ) -> tuple[Reply, bool]:
        """Makes one attempt. Returns the reply, and whether the request was provably not executed."""
        state, began, load_header = self.endpoints[host], monotonic_ticks(), b""
        reply, is_not_executed, outcome = Reply(504, [], b"time-out"), False, "timeout"
        attempt = call.headers.get(b"x-attempt", b"").decode()
        own_headers = [(b"x-proxy", self.plan.id.encode()), (b"x-route", route.name.encode())]
        headers = [(k, call.headers[k]) for k in (b"x-attempt", b"x-work-ms", b"x-key") if k in call.headers]
        state.open_requests += 1
        connection: ClientConnection | None = None
        sent = 0
        try:
            with trio.move_on_after(timeout_s):
                if self.worker.is_lost(self.plan, host, state.zone):
                    outcome = "unreached"
                    await trio.sleep(self.config.dial_s)
                    raise ConnectionLostError("network partition", False)
                while state.idle_connections and connection is None:
                    connection = state.idle_connections.pop()
                    if not connection.usable or not connection.is_open():
                        self.worker.start_soon(connection.close)
                        connection = None
                if connection is None:
                    connection = await open_connection(state.address, state.port, self.config.dial_s)
                sent = monotonic_ticks()
                self.event_log.record(
                    "sent", p=self.plan.id, c=attempt, r=route.name, h=host, d=self.controller_name()
                )
                reply = await connection.request(
                    call.method, call.target, [*own_headers, *headers], call.body
                )
                load_header = reply.header(orca.HEADER) or b""
                is_not_executed = reply.header(tables.NOT_EXECUTED_HEADER.encode()) is not None
                outcome = "answered" if reply.status < 500 else "given_back" if is_not_executed else "failed"
        except ConnectionLostError as error:
            is_not_executed = not error.sent
            outcome = "unreached" if is_not_executed else "broke"
            reply = Reply(
                503,
                [(tables.NOT_EXECUTED_HEADER.encode(), b"1")] if is_not_executed else [],
                b"connection failure",
            )
        finally:
            state.open_requests -= 1
            if connection is not None:
                if connection.usable and any(
                    host == entry[0] for entry in self.route_entries.get(route.name, ())
                ):
                    state.idle_connections.append(connection)
                else:
                    self.worker.start_soon(connection.close)
            sums = self.statistics.setdefault((cluster, host), EndpointStatistics())
            is_success = outcome == "answered"
            if is_success:
                sums.successes += 1
                sums.latency_sum_s += (monotonic_ticks() - began) / TICKS_PER_SECOND
                state.consecutive_failures = 0
            else:
                sums.errors += 1
                state.consecutive_failures += 1
                if self.config.strikes and state.consecutive_failures >= self.config.strikes:
                    state.consecutive_failures = 0
                    state.ejected_until = monotonic_ticks() + ticks_from_seconds(self.config.shun_s)
            for name, value in orca.read(load_header).items() if load_header else ():
                sum_and_count = sums.metrics.setdefault(name, [0.0, 0])
                sum_and_count[0] += value
                sum_and_count[1] += 1
            details = {
                "p": self.plan.id,
                "c": attempt,
                "r": route.name,
                "h": host,
                "term": self.ownership.term,
            }
            self.event_log.record(
                "try", **details, began=began, sent=sent, out=outcome, proof=is_not_executed
            )
        return reply, is_not_executed


def hash_key(by: str, call: Call) -> str:
    """The part of a request that is hashed, if any. Tests give the client address in a header."""
    kind, _, name = by.partition(":")
    if kind == "header":
        default = call.target if name == ":path" else b""
        return call.headers.get(name.lower().encode(), default).decode("latin-1")
    if kind == "query":
        query = call.target.decode("latin-1").partition("?")[2]
        return next((part.partition("=")[2] for part in query.split("&") if part.startswith(name + "=")), "")
    if kind == "cookie":
        parts = call.headers.get(b"cookie", b"").decode("latin-1").split(";")
        return next((p.strip().partition("=")[2] for p in parts if p.strip().startswith(name + "=")), "")
    return call.headers.get(b"x-source", b"").decode("latin-1") if kind else ""


def ring_pick(key: str, lines: list[tuple[str, float]]) -> str:
    """Weighted rendezvous hashing: keys are shared by weight, and few of them move after a change."""
    best_score, chosen = -math.inf, lines[0][0]
    for host, weight in lines:
        draw = (xxhash.xxh64_intdigest(f"{host} {key}") + 1) / (2**64 + 2)
        score = weight / -math.log(draw)
        if score > best_score:
            best_score, chosen = score, host
    return chosen


class ProxyWorker:
    """All proxies of one process, and the faults that commands set."""

    def __init__(self, config: ProxyWorkerConfig) -> None:
        self.config, self.event_log = config, EventLog(config.notes)
        self.rng = random.Random(config.seed)
        self.partitioned_zones: list[str] = []
        # by proxy and endpoint: share of attempts that fail
        self.loss_shares: dict[tuple[str, str], float] = {}
        self.applied_updates = self.refused_updates = self.void_updates = 0
        self.follower = FileGroupFollower(config.watch, config.poll_s, self.apply_files)
        self.controllers = {controller.name: controller for controller in config.directors}
        lost_after_s = config.lost_after_s
        self.failure_detectors = {
            name: FailureDetector(config.beat_s, lost_after_s / 2, lost_after_s) for name in self.controllers
        }
        self.heartbeats: dict[str, float] = {}
        self.proxies = {plan.id: StandInProxy(config, plan, self) for plan in config.proxies}
        self.scopes: dict[str, trio.CancelScope] = {}

    def apply_files(self, key: str, files: dict[str, bytes]) -> None:
        """Hands a new group of files to its proxy."""
        proxy, _, controller = key.partition("|")
        self.proxies[proxy].apply_files(self.controllers[controller], files)

    def follow(self, proxy: str, controller: ControllerAddress) -> None:
        """Watches the files of a controller for a proxy."""
        self.follower.follow(f"{proxy}|{controller.name}", f"{controller.folder}/{OUTBOUND_FOLDER}", proxy)

    def unfollow(self, proxy: str, controller: ControllerAddress) -> None:
        """Ends that watch."""
        self.follower.unfollow(f"{proxy}|{controller.name}")

    def is_alive(self, name: str) -> bool:
        """Whether the heartbeat of this controller is recent."""
        return name in self.heartbeats and not self.failure_detectors[name].is_suspected(
            monotonic_ticks() / TICKS_PER_SECOND
        )

    async def watch_heartbeats(self) -> None:
        """Reads the heartbeats of all controllers."""
        while True:
            now = monotonic_ticks() / TICKS_PER_SECOND
            for name, controller in self.controllers.items():
                beat = last_heartbeat(controller.folder)
                if beat != self.heartbeats.get(name) and time.time() - beat < self.config.lost_after_s:
                    self.heartbeats[name] = beat
                    self.failure_detectors[name].record_heartbeat(now)
            await trio.sleep(self.config.beat_s / 4)

    def is_partitioned(self, zone: str, other_zone: str) -> bool:
        """Whether a network partition separates these zones."""
        return zone != other_zone and (zone in self.partitioned_zones or other_zone in self.partitioned_zones)

    def is_lost(self, plan: ProxyPlan, host: str, zone: str) -> bool:
        """Whether an attempt to reach this endpoint fails, by a network partition or by chance."""
        if self.is_partitioned(plan.zone, zone):
            return True
        share = self.loss_shares.get((plan.id, host), 0.0)
        return share > 0 and self.rng.random() < share

    def start_soon(self, function: Callable[[], Awaitable[object]]) -> None:
        """Runs a function in the background."""
        self.nursery.start_soon(function)

    # Faults

    def set_partition(self, zones: list[str]) -> None:
        """Cuts these zones off from the others; none ends it."""
        self.partitioned_zones = zones

    def set_loss(self, proxies: list[str], hosts: list[str], share: float) -> None:
        """Makes this share of the attempts between these proxies and endpoints fail."""
        self.loss_shares = {(proxy, host): share for proxy in proxies for host in hosts}

    def drop_streams(self, proxies: list[str], away_s: float) -> None:
        """Ends sessions of these proxies and keeps them away for a while."""
        for name in proxies:
            if name in self.proxies:
                self.proxies[name].leave("stream lost")
                self.proxies[name].disconnected_until = monotonic_ticks() + ticks_from_seconds(away_s)

    def kill(self, proxies: list[str]) -> None:
        """Stops proxies as if they had crashed."""
        for name in proxies:
            if name in self.proxies and name in self.scopes:
                self.scopes.pop(name).cancel()
                proxy = self.proxies[name]
                self.event_log.record("died", p=name)
                for controller in self.config.directors:
                    self.unfollow(name, controller)
                proxy.controller = None  # its folder stays, as after the death of a process
                if proxy.link is not None:
                    proxy.link.end()

    def start(self, proxies: list[str], hosts: list[tuple[str, str, int, str]]) -> None:
        """Starts killed proxies again, with a standing table of these endpoints."""
        for name in proxies:
            if name in self.proxies and name not in self.scopes:
                config = msgspec.structs.replace(self.config, hosts=hosts)
                self.proxies[name] = StandInProxy(config, self.proxies[name].plan, self)
                self.start_soon(partial(self.run_proxy, self.proxies[name]))

    async def run_proxy(self, proxy: StandInProxy) -> None:
        """Serves requests and keeps a session, until the proxy is killed."""
        with trio.CancelScope() as scope:
            self.scopes[proxy.plan.id] = scope
            usable = {route: len(entries) for route, entries in proxy.route_entries.items()}
            endpoints = sorted({host for entries in proxy.route_entries.values() for host, _ in entries})
            self.event_log.record("up", p=proxy.plan.id, usable=usable, hosts=endpoints)
            async with trio.open_nursery() as nursery:
                if not self.config.fixed:
                    nursery.start_soon(proxy.maintain_session)
                    nursery.start_soon(proxy.send_reports)
                serve = partial(serve_connection, answer=proxy.answer)
                await trio.serve_tcp(serve, proxy.plan.port, host="127.0.0.1", handler_nursery=nursery)

    async def run(self) -> None:
        """Runs all proxies and serves commands, until standard input ends."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.event_log.run)
            if not self.config.fixed:
                nursery.start_soon(self.follower.run)
                nursery.start_soon(self.watch_heartbeats)
            for proxy in self.proxies.values():
                nursery.start_soon(self.run_proxy, proxy)
            print("ready", flush=True)
            commands: dict[str, Callable[..., Any]] = {"cut": self.set_partition, "lossy": self.set_loss}
            commands |= {"drop_streams": self.drop_streams, "kill": self.kill, "start": self.start}
            await serve_commands(commands)
            for proxy in self.proxies.values():
                proxy.leave("the end")
            nursery.cancel_scope.cancel()


def main() -> None:
    """Entry point; the interrupt of a terminal is left to the parent process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    with open(sys.argv[1].removeprefix("@"), "rb") as file:
        trio.run(ProxyWorker(msgspec.json.decode(file.read(), type=ProxyWorkerConfig)).run)


if __name__ == "__main__":
    main()

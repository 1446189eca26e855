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
from .standin_link import WebLink


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
class Bucket:
    rate: float
    most: float
    level: float
    at: int

    def take(self, now: int) -> bool:
        self.level = min(self.most, self.level + self.rate * (now - self.at) / TICKS_PER_SECOND)
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


@dataclass(slots=True)
class HostSide:
    """What a proxy has of one host."""

    address: str
    port: int
    zone: str
    idle: list[ClientConnection] = field(default_factory=list)
    out: int = 0
    strikes: int = 0
    shunned_until: int = 0


@dataclass(slots=True)
class Sums:
    good: int = 0
    bad: int = 0
    spent: float = 0.0
    told: dict[str, list[float]] = field(default_factory=dict)


class StandInProxy:
    assignments: dict[str, forms.ClusterLoadAssignment]
    clusters: dict[str, forms.Cluster]
    routes: list[forms.Route]
    o: ProxyWorkerConfig
    plan: ProxyPlan
    crew: Crew
    notes: EventLog
    claim: ProxyOwnership
    avoided: dict[str, int]
    director: ControllerAddress | None
    lines: dict[str, list[tuple[str, float]]]
    chance: random.Random

    def __init__(self, orders: ProxyWorkerConfig, plan: ProxyPlan, crew: Crew) -> None:
        self.o, self.plan, self.crew, self.notes = orders, plan, crew, crew.notes
        self.chance = random.Random(f"{orders.seed} {plan.id}")
        self.sides: dict[str, HostSide] = {}
        self.sums: dict[tuple[str, str], Sums] = {}  # by cluster and address
        self.dropped: dict[str, int] = {}
        self.asked_at = monotonic_ticks()
        self.life = f"{monotonic_ticks()}"  # of this process
        self.buckets: dict[str, tuple[object, Bucket]] = {}
        self.director = None
        self.state = f"{os.path.dirname(orders.notes)}/terms"
        self.claim = ProxyOwnership(self.last_term())
        self.versions: dict[str, tuple[str, str]] = {}  # by kind: version and nonce applied
        self.avoided = {}  # directors that sent it away, until when
        near = frozenset(place.name for place in orders.directors if place.zone == plan.zone)
        names = preference_order(plan.id, [place.name for place in orders.directors], near)
        self.order = [place for name in names for place in orders.directors if place.name == name]
        pace = ReconnectPace(orders.fleet, orders.joins_per_s, orders.settle_s, orders.stay_s)
        self.pace, self.home = pace, FailbackPolicy(pace, names, self.chance.random)
        self.away_until = 0
        self.link = WebLink(self) if plan.form != "files" else None
        self.stand()
        if self.link is not None:
            self.link.take_up()

    # What it holds.

    def stand(self) -> None:
        """The standing table: some hosts of its own zone, drawn by chance."""
        near = [row for row in self.o.hosts if row[3] == self.plan.zone]
        pool = near if len(near) >= 3 else self.o.hosts
        drawn = self.o.hosts if self.o.fixed else self.chance.sample(pool, min(self.o.standing, len(pool)))
        lines = [(host, address, port, zone, 1.0, False) for host, address, port, zone in drawn]
        self.assignments = {"standing": tables.assignment("standing", lines)}
        rows: list[forms.Route] = []
        self.clusters = {}
        paths: list[tuple[RouteTerms, PathTerms | RouteTerms]] = []
        for row in self.o.routes:
            paths += [(row, row), *((row, path) for path in row.more)]
        for route, path in sorted(paths, key=lambda row: (row[1].order, -len(row[1].path))):
            name = f"{route.name}@standing"
            pick, dial_ticks = self.o.pick, ticks_from_seconds(self.o.dial_s)
            self.clusters[name] = tables.cluster(name, "standing", "", pick, dial_ticks, self.o.strikes)
            limit = ticks_from_milliseconds(route.time_limit_ms)
            how = tables.match(path.match, path.path)
            rows.append(tables.route(route.name, how, name, limit, tables.retry(1, 0), {}, path.rewrite))
        self.routes = rows
        self.settle()

    def settle(self) -> None:
        """Looks up what calls will need; by route the lines that may be picked."""
        self.lines = {}
        for route in tables.cluster_routes(self.routes):
            cluster = self.clusters[route.route.cluster]
            table = self.assignments[cluster.eds_cluster_config.service_name]
            usable = []
            for host, address, port, zone, weight, out in tables.lines(table):
                side = self.sides.get(host)
                if side is None or (side.address, side.port) != (address, port):
                    side = self.sides[host] = HostSide(address, port, zone)
                if not out:
                    usable.append((host, weight))
            self.lines[route.name] = usable
        held = {host for rows in self.lines.values() for host, _ in rows}
        for host, side in self.sides.items():
            if host not in held and side.idle:  # connections to hosts that left its tables are closed
                for caller in side.idle:
                    self.crew.later(caller.close)
                side.idle.clear()

    def last_term(self) -> int:
        try:
            with open(f"{self.state}/{self.plan.id}", "rb") as file:
                return int(file.read())
        except FileNotFoundError:
            return 0

    def take(self, place: ControllerAddress, files: dict[str, bytes]) -> None:
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
            verdict = self.claim.check(newest, self.o.fenced)
            if verdict is not UpdateVerdict.APPLY:
                if verdict is not UpdateVerdict.OLD:
                    self.crew.void += 1
                    self.notes.record("void", p=self.plan.id, d=place.name, v=str(newest), why=verdict.value)
                return
            if self.o.refuse and self.chance.random() < self.o.refuse:
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
            self.look_odd(assignments.values())
        except (MessageFormatError, VersionError, IndexError) as fault:
            self.crew.refused += 1
            self.notes.record("refused", p=self.plan.id, d=place.name, cause=str(fault))
            self.answer_config(kinds, str(fault) or "incomplete")
            return
        used = {
            clusters[r.route.cluster].eds_cluster_config.service_name for r in tables.cluster_routes(routes)
        }
        self.assignments = {name: table for name, table in assignments.items() if name in used}
        self.clusters, self.routes = clusters, routes
        self.claim.record_applied(newest)
        self.settle()
        self.crew.applied += 1
        told = {"v": [newest.epoch, newest.number], "term": self.claim.term, **self.runs()}
        self.notes.record("applied", p=self.plan.id, d=place.name, **told)
        self.answer_config(kinds, "")
        if "directors" in assignments and self.director is not None:  # it drains
            self.avoided[self.director.name] = monotonic_ticks() + ticks_from_seconds(self.o.stay_s * 2)
            self.leave("sent away")

    def runs(self) -> dict[str, Any]:
        """What it runs now, for its notes."""
        held = {host for rows in self.lines.values() for host, _ in rows}
        usable = {name: len(rows) for name, rows in self.lines.items()}
        top = max((weight for rows in self.lines.values() for _, weight in rows), default=0.0)
        return {"hosts": sorted(held), "usable": usable, "top": round(top, 4)}

    def look_odd(self, assignments: Iterable[forms.ClusterLoadAssignment]) -> None:
        """Raises FormError where a table is of the kind that this proxy refuses."""
        if self.o.odd_weight and random.Random(self.plan.id).random() < self.o.odd_share:
            for table in assignments:
                if any(round(line[4] * 10_000) == self.o.odd_weight for line in tables.lines(table)):
                    raise MessageFormatError(f"{table.cluster_name}: an odd weight")

    def name_of_director(self) -> str:
        return self.director.name if self.director else ""

    # What it says.

    def node(self) -> forms.Node:
        told: dict[str, Any] = {
            "usual_calls_per_s": self.o.usual_calls_per_s * self.plan.share,
            "director": self.claim.controller,
            "term": self.claim.term,
        }
        return forms.Node(self.plan.id, "calls", forms.Locality(zone=self.plan.zone), told)

    def request(self, kind: str, version: str, nonce: str, fault: str) -> bytes:
        detail = forms.Status(3, fault) if fault else None
        return encode(forms.DiscoveryRequest(version, self.node(), [], forms.TYPE_URLS[kind], nonce, detail))

    def answer_config(self, kinds: dict[str, tuple[str, str]], fault: str) -> None:
        if self.director is None:
            return
        for kind, (version, nonce) in kinds.items():
            old = self.versions.get(kind, ("", ""))
            if old[1] == nonce:
                continue
            if not fault:
                self.versions[kind] = (version, nonce)
            said = self.request(kind, version if not fault else old[0], nonce, fault)
            self.put(kind + ".json", said)

    def put(self, file: str, data: bytes) -> None:
        if self.link is not None:
            self.link.report(data)
        elif self.director is not None:
            try:
                swap_file(DiskOps(), f"{self.director.folder}/{INBOUND_FOLDER}/{self.plan.id}", file, data)
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
        span = f"{(now - self.asked_at) / TICKS_PER_SECOND:.4f}s"
        since, self.asked_at = self.asked_at, now
        clusters: dict[str, forms.ClusterStats] = {}
        zones: dict[tuple[str, str], forms.UpstreamLocalityStats] = {}
        for name in dict.fromkeys([*(key[0] for key in self.sums), *self.dropped]):
            gone = self.dropped.get(name, 0)
            stats = clusters[name] = forms.ClusterStats(name, total_dropped_requests=gone)
            stats.load_report_interval = span
            if gone:
                stats.dropped_requests.append(forms.DroppedRequests("throttled", gone))
        for (name, host), sums in self.sums.items():
            side = self.sides[host]
            zone = zones.get((name, side.zone))
            if zone is None:
                zone = zones[name, side.zone] = forms.UpstreamLocalityStats(forms.Locality(zone=side.zone))
                clusters[name].upstream_locality_stats.append(zone)
            at = forms.Address(forms.SocketAddress(side.address, side.port))
            row = forms.UpstreamEndpointStats(at, sums.good, side.out, sums.bad, sums.good + sums.bad)
            if sums.good:
                row.load_metric_stats.append(forms.LoadMetricStats("latency_seconds", sums.good, sums.spent))
            for metric, (total, count) in sums.told.items():
                row.load_metric_stats.append(forms.LoadMetricStats(metric, int(count), total))
            zone.upstream_endpoint_stats.append(row)
            zone.total_successful_requests += sums.good
            zone.total_error_requests += sums.bad
        self.sums.clear()
        self.dropped.clear()
        node, calendar = self.node(), time.time() - now / TICKS_PER_SECOND
        times = {
            "load_from": calendar + since / TICKS_PER_SECOND,
            "load_until": calendar + now / TICKS_PER_SECOND,
        }
        node.metadata |= {**times, "process": self.life}
        if now > since:
            self.put(LOAD_FILE, encode(forms.LoadStatsRequest(node, list(clusters.values()))))

    # Its director.

    def reachable(self, place: ControllerAddress) -> bool:
        if self.crew.unreachable(self.plan.zone, place.zone) or monotonic_ticks() < self.away_until:
            return False
        return self.crew.alive(place.name) and self.avoided.get(place.name, 0) <= monotonic_ticks()

    def join(self, place: ControllerAddress) -> None:
        """The new term is on disk before anybody is told of it."""
        up = f"{place.folder}/{INBOUND_FOLDER}"
        temp, home = f"{up}/.{self.plan.id}", f"{up}/{self.plan.id}"
        standing = all(name == "standing" for name in self.assignments)
        before = self.claim.applied
        term = self.claim.next_term()
        os.makedirs(self.state, exist_ok=True)
        swap_file(DiskOps(), self.state, self.plan.id, b"%d" % term, "file")
        self.claim.join(place.name, term)
        if self.link is not None:
            self.director = place
            self.home.record_join(monotonic_ticks() / TICKS_PER_SECOND)
            self.notes.record("joined", p=self.plan.id, d=place.name, term=term)
            self.link.begin(place)
            return
        shutil.rmtree(temp, ignore_errors=True)
        shutil.rmtree(home, ignore_errors=True)
        os.mkdir(temp)
        files = {STATUS_FILE: self.status()}
        if not standing:
            said = str(before) if before else "0.0.0"
            files |= {f"{kind}.json": self.request(kind, said, "", "") for kind in forms.TYPE_URLS}
        for name, data in files.items():
            swap_file(DiskOps(), temp, name, data)
        self.versions = {}
        os.rename(temp, home)
        self.director = place
        self.home.record_join(monotonic_ticks() / TICKS_PER_SECOND)
        self.notes.record("joined", p=self.plan.id, d=place.name, term=term)
        self.report()
        self.crew.follow(self.plan.id, place)

    def leave(self, why: str) -> None:
        if self.director is None:
            return
        place, self.director = self.director, None
        self.claim.leave()
        if self.link is not None:
            self.link.end()
            self.notes.record("left", p=self.plan.id, d=place.name, why=why)
            return
        if self.o.fenced:
            self.crew.unfollow(self.plan.id, place)
        self.notes.record("left", p=self.plan.id, d=place.name, why=why)
        if not self.crew.unreachable(self.plan.zone, place.zone):  # else nothing of it gets there
            shutil.rmtree(f"{place.folder}/{INBOUND_FOLDER}/{self.plan.id}", ignore_errors=True)

    async def keep(self) -> None:
        """Joined to one director as long as it shows life, then to another; back when that pays."""
        share = self.plan.share * self.o.fleet
        while True:
            now = monotonic_ticks() / TICKS_PER_SECOND
            for place in self.order:
                self.home.record_liveness(place.name, self.reachable(place), now)
            if self.director is None:
                for place in self.order:
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
            elif self.link is not None and self.link.why_over:
                self.leave(self.link.why_over)
                await trio.sleep(self.o.redial_s * (0.5 + self.chance.random()))
            elif not self.reachable(self.director):
                self.leave("no sign of life")
                wait = reconnect_delay(self.pace, share, self.chance.random)
                await trio.sleep(wait + self.o.redial_s * (0.5 + self.chance.random()))
            elif self.home.target(self.director.name, now):
                self.leave("goes back")
                continue
            await trio.sleep(0.05)

    async def tell(self) -> None:
        await trio.sleep(self.chance.random() * self.o.report_s)
        while True:
            self.report()
            await trio.sleep(self.report_every_s())

    def report_every_s(self) -> float:
        """By its director's word, which stands in one file for all who do not call."""
        if self.link is not None:
            return max(self.o.report_s, self.link.report_s)
        if self.director is not None:
            try:
                with open(f"{self.director.folder}/{REPORT_INTERVAL_FILE}", "rb") as file:
                    said = decode(file.read(), forms.LoadStatsResponse).load_reporting_interval
                return max(self.o.report_s, parse_duration(said))
            except (OSError, MessageFormatError):
                return self.o.report_s
        return self.o.report_s

    # Calls.

    async def answer(self, call: Call) -> Reply | None:
        path = call.target.split(b"?")[0].decode("latin-1")
        row = tables.first_match(self.routes, path)
        if row is None or row.direct_response is not None:
            return Reply(row.direct_response.status if row and row.direct_response else 404)
        call.target = tables.upstream_path(row, call.target.decode("latin-1")).encode("latin-1")
        return await self.route(row, call)

    def admitted(self, row: forms.Route) -> bool:
        share, rate = tables.level_of(row.typed_per_filter_config)
        if share < 1 and self.chance.random() >= share:
            return False
        if math.isinf(rate):
            return True
        limit = row.typed_per_filter_config[forms.RATE_LIMIT_FILTER]
        key, bucket = self.buckets.get(row.name, (None, None))
        if key != limit or bucket is None:
            assert isinstance(limit, forms.LocalRateLimit)
            most = float(limit.token_bucket.max_tokens)
            level = min(most, bucket.level) if bucket else most / 2
            bucket = Bucket(rate, most, level, monotonic_ticks())
            self.buckets[row.name] = (limit, bucket)
        return bucket.take(monotonic_ticks())

    async def route(self, row: forms.Route, call: Call) -> Reply:
        attempt = call.headers.get(b"x-attempt", b"").decode()
        cluster = row.route.cluster
        if not self.admitted(row):
            self.dropped[cluster] = self.dropped.get(cluster, 0) + 1
            self.notes.record("throttled", p=self.plan.id, c=attempt, r=row.name)
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
                        self.notes.record("no_host", p=self.plan.id, c=attempt, r=row.name)
                    return reply
                # of the order at its start and that of now, the stricter_retries
                tries = stricter_retries(tries, self.tries_now(row.name))
                again = len(tried) < (1 if tries == 1 else max(tries - 1, 0))
                tried.append(host)
                reply, proof = await self.try_at(row, cluster, host, call, patience if again else math.inf)
                tries = stricter_retries(tries, self.tries_now(row.name))
                if reply.status < 500 or not again or not tries or (tries == 1 and not proof):
                    return reply
        if limit.cancelled_caught:
            return Reply(504, [(b"retry-after", b"1")], b"time limit")
        return reply

    def tries_now(self, name: str) -> int:
        return next((tables.tries_of(row.route.retry_policy) for row in self.routes if row.name == name), 0)

    def pick(self, row: forms.Route, lb_policy: str, tried: list[str], by: str = "") -> str | None:
        now = monotonic_ticks()
        lines = self.lines.get(row.name, [])
        fit = [line for line in lines if line[0] not in tried] or ([] if tried else lines)
        fit = [line for line in fit if self.sides[line[0]].shunned_until <= now] or fit
        if not fit:
            return None
        hosts, weights = [line[0] for line in fit], [line[1] for line in fit]
        if lb_policy == "RING_HASH" and by:
            return ring_pick(by, fit)
        if lb_policy != "LEAST_REQUEST":
            return self.chance.choices(hosts, weights)[0]
        one, two = self.chance.choices(hosts, weights, k=2)
        return one if self.sides[one].out <= self.sides[two].out else two

    async def try_at(
        self, row: forms.Route, cluster: str, host: str, call: Call, patience: float
    ) -> tuple[Reply, bool]:
        """One try: its answer, and whether it is proven that it never ran."""
        side, began, told = self.sides[host], monotonic_ticks(), b""
        reply, proof, out = Reply(504, [], b"time-out"), False, "timeout"
        attempt = call.headers.get(b"x-attempt", b"").decode()
        ours = [(b"x-proxy", self.plan.id.encode()), (b"x-route", row.name.encode())]
        head = [(k, call.headers[k]) for k in (b"x-attempt", b"x-work-ms", b"x-key") if k in call.headers]
        side.out += 1
        caller: ClientConnection | None = None
        sent = 0
        try:
            with trio.move_on_after(patience):
                if self.crew.lost(self.plan, host, side.zone):
                    out = "unreached"
                    await trio.sleep(self.o.dial_s)
                    raise ConnectionLostError("no way there", False)
                while side.idle and caller is None:
                    caller = side.idle.pop()
                    if not caller.usable or not caller.is_open():
                        self.crew.later(caller.close)
                        caller = None
                if caller is None:
                    caller = await open_connection(side.address, side.port, self.o.dial_s)
                sent = monotonic_ticks()
                self.notes.record(
                    "sent", p=self.plan.id, c=attempt, r=row.name, h=host, d=self.name_of_director()
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
            side.out -= 1
            if caller is not None:
                if caller.usable and any(host == line[0] for line in self.lines.get(row.name, ())):
                    side.idle.append(caller)
                else:
                    self.crew.later(caller.close)
            sums = self.sums.setdefault((cluster, host), Sums())
            good = out == "answered"
            if good:
                sums.good += 1
                sums.spent += (monotonic_ticks() - began) / TICKS_PER_SECOND
                side.strikes = 0
            else:
                sums.bad += 1
                side.strikes += 1
                if self.o.strikes and side.strikes >= self.o.strikes:
                    side.strikes = 0
                    side.shunned_until = monotonic_ticks() + ticks_from_seconds(self.o.shun_s)
            for name, value in orca.read(told).items() if told else ():
                pair = sums.told.setdefault(name, [0.0, 0])
                pair[0] += value
                pair[1] += 1
            parts = {"p": self.plan.id, "c": attempt, "r": row.name, "h": host, "term": self.claim.term}
            self.notes.record("try", **parts, began=began, sent=sent, out=out, proof=proof)
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


class Crew:
    """All proxies of one process, and the troubles they share."""

    def __init__(self, orders: ProxyWorkerConfig) -> None:
        self.o, self.notes = orders, EventLog(orders.notes)
        self.chance = random.Random(orders.seed)
        self.cut: list[str] = []
        self.lossy: dict[tuple[str, str], float] = {}  # proxy and host: share of tries that get nowhere
        self.applied = self.refused = self.void = 0
        self.followers = FileGroupFollower(orders.watch, orders.poll_s, self.seen)
        self.places = {place.name: place for place in orders.directors}
        most = orders.lost_after_s
        self.signs = {name: FailureDetector(orders.beat_s, most / 2, most) for name in self.places}
        self.beats: dict[str, float] = {}
        self.proxies = {plan.id: StandInProxy(orders, plan, self) for plan in orders.proxies}
        self.scopes: dict[str, trio.CancelScope] = {}

    def seen(self, key: str, files: dict[str, bytes]) -> None:
        proxy, _, director = key.partition("|")
        self.proxies[proxy].take(self.places[director], files)

    def follow(self, proxy: str, place: ControllerAddress) -> None:
        self.followers.follow(f"{proxy}|{place.name}", f"{place.folder}/{OUTBOUND_FOLDER}", proxy)

    def unfollow(self, proxy: str, place: ControllerAddress) -> None:
        self.followers.unfollow(f"{proxy}|{place.name}")

    def alive(self, director: str) -> bool:
        return director in self.beats and not self.signs[director].is_suspected(
            monotonic_ticks() / TICKS_PER_SECOND
        )

    async def look_for_life(self) -> None:
        """The signs of life of all directors, whoever follows them."""
        while True:
            now = monotonic_ticks() / TICKS_PER_SECOND
            for name, place in self.places.items():
                beat = last_heartbeat(place.folder)
                if beat != self.beats.get(name) and time.time() - beat < self.o.lost_after_s:
                    self.beats[name] = beat
                    self.signs[name].record_heartbeat(now)
            await trio.sleep(self.o.beat_s / 4)

    def unreachable(self, one: str, other: str) -> bool:
        return one != other and (one in self.cut or other in self.cut)

    def lost(self, plan: ProxyPlan, host: str, zone: str) -> bool:
        if self.unreachable(plan.zone, zone):
            return True
        share = self.lossy.get((plan.id, host), 0.0)
        return share > 0 and self.chance.random() < share

    def later(self, what: Callable[[], Awaitable[object]]) -> None:
        self.nursery.start_soon(what)

    # Troubles.

    def set_cut(self, zones: list[str]) -> None:
        self.cut = zones

    def set_lossy(self, proxies: list[str], hosts: list[str], share: float) -> None:
        self.lossy = {(proxy, host): share for proxy in proxies for host in hosts}

    def drop_streams(self, proxies: list[str], away_s: float) -> None:
        for name in proxies:
            if name in self.proxies:
                self.proxies[name].leave("stream lost")
                self.proxies[name].away_until = monotonic_ticks() + ticks_from_seconds(away_s)

    def kill(self, proxies: list[str]) -> None:
        for name in proxies:
            if name in self.proxies and name in self.scopes:
                self.scopes.pop(name).cancel()
                proxy = self.proxies[name]
                self.notes.record("died", p=name)
                for place in self.o.directors:
                    self.unfollow(name, place)
                proxy.director = None  # its folder stays, as a process that dies leaves it
                if proxy.link is not None:
                    proxy.link.end()

    def start(self, proxies: list[str], hosts: list[tuple[str, str, int, str]]) -> None:
        for name in proxies:
            if name in self.proxies and name not in self.scopes:
                orders = msgspec.structs.replace(self.o, hosts=hosts)
                self.proxies[name] = StandInProxy(orders, self.proxies[name].plan, self)
                self.later(partial(self.live, self.proxies[name]))

    async def live(self, proxy: StandInProxy) -> None:
        with trio.CancelScope() as scope:
            self.scopes[proxy.plan.id] = scope
            usable = {route: len(rows) for route, rows in proxy.lines.items()}
            held = sorted({host for rows in proxy.lines.values() for host, _ in rows})
            self.notes.record("up", p=proxy.plan.id, usable=usable, hosts=held)
            async with trio.open_nursery() as nursery:
                if not self.o.fixed:
                    nursery.start_soon(proxy.keep)
                    nursery.start_soon(proxy.tell)
                serve = partial(serve_connection, answer=proxy.answer)
                await trio.serve_tcp(serve, proxy.plan.port, host="127.0.0.1", handler_nursery=nursery)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.notes.run)
            if not self.o.fixed:
                nursery.start_soon(self.followers.run)
                nursery.start_soon(self.look_for_life)
            for proxy in self.proxies.values():
                nursery.start_soon(self.live, proxy)
            print("ready", flush=True)
            orders: dict[str, Callable[..., Any]] = {"cut": self.set_cut, "lossy": self.set_lossy}
            orders |= {"drop_streams": self.drop_streams, "kill": self.kill, "start": self.start}
            await serve_commands(orders)
            for proxy in self.proxies.values():
                proxy.leave("the end")
            nursery.cancel_scope.cancel()


def main() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    with open(sys.argv[1].removeprefix("@"), "rb") as file:
        trio.run(Crew(msgspec.json.decode(file.read(), type=ProxyWorkerConfig)).run)


if __name__ == "__main__":
    main()

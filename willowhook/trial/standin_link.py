"""How a stand-in proxy speaks to its director by calls: three waits, one a type, and its reports.

It holds the published protocol's other side strictly: an answer is applied whole or refused with a cause, one
that is older than what is held is refused, and what was acknowledged last is on its disk, so that after a
restart it runs that and nothing newer.
"""

from __future__ import annotations

import gzip
import os
import random
from typing import TYPE_CHECKING

import msgspec
import trio

from ..clock import monotonic_ticks
from ..files.ops import DiskOps
from ..files.swap import swap_file
from ..ticks import TICKS_PER_SECOND, ticks_from_seconds
from ..web.wire import ClientConnection, ConnectionLostError, Reply, open_connection
from ..xds import forms, tables
from ..xds.codec import MessageFormatError, decode, encode, parse_duration

if TYPE_CHECKING:
    from .standin_proxy import ControllerAddress, StandInProxy

WORDS = {"cds": ("cluster", "Cluster"), "eds": ("endpoint", "Endpoint"), "rds": ("route", "Route")}
LOAD_REPORT_PATH = b"/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
PATIENCE_S = 14.0  # of one wait: a director ends it sooner


class Kept(msgspec.Struct):
    """What was acknowledged: by type its version, and by name version and body."""

    director: str
    versions: dict[str, str]
    rows: dict[str, dict[str, tuple[str, msgspec.Raw]]]


def era_and_number(version: str) -> tuple[int, int]:
    era, _, number = version.partition(".")
    try:
        return int(era), int(number)
    except ValueError as fault:
        raise MessageFormatError(f"version {version[:40]!r}") from fault


def bearer_token(name: str) -> bytes:
    return f"token of {name}".encode()


class WebLink:
    def __init__(self, proxy: StandInProxy) -> None:
        self.proxy, self.o = proxy, proxy.o
        self.whole = proxy.plan.form == "whole"
        self.kept = Kept("", {}, {})
        self.rows: dict[str, dict[str, tuple[str, bytes]]] = {kind: {} for kind in WORDS}
        self.versions: dict[str, str] = {}
        self.path = f"{os.path.dirname(self.o.notes)}/accepted/{proxy.plan.id}"
        self.why_over = ""
        self.scope: trio.CancelScope | None = None
        self.loads: bytes | None = None
        self.report_s = 0.0  # how often its director wants reports
        self.heard_at = 0

    # What it holds.

    def take_up(self) -> None:
        """After a restart: what was acknowledged last, if anything was."""
        os.makedirs(os.path.dirname(self.path), exist_ok=True)
        try:
            with open(self.path, "rb") as file:
                self.kept = msgspec.json.decode(file.read(), type=Kept)
        except FileNotFoundError:
            return
        if "rds" not in self.kept.versions:
            return  # it never had routes: the standing ones are what it runs
        proxy, rows = self.proxy, self.kept.rows
        self.rows = {
            kind: {n: (v, bytes(raw)) for n, (v, raw) in rows.get(kind, {}).items()} for kind in WORDS
        }
        proxy.assignments = {
            n: decode(b, forms.ClusterLoadAssignment) for n, (_, b) in self.rows["eds"].items()
        }
        proxy.clusters = {n: decode(b, forms.Cluster) for n, (_, b) in self.rows["cds"].items()}
        for _, body in self.rows["rds"].values():
            proxy.routes = decode(body, forms.RouteConfiguration).virtual_hosts[0].routes
        self.versions = dict(self.kept.versions)
        proxy.settle()
        proxy.notes.record("took_up", p=proxy.plan.id, versions=self.versions)

    def keep(self, kind: str) -> None:
        """The acknowledgement of this type is on its way."""
        if kind not in self.versions:
            return  # it has begun another stay meanwhile
        self.kept.director = self.proxy.claim.controller
        self.kept.versions[kind] = self.versions[kind]
        self.kept.rows[kind] = {n: (v, msgspec.Raw(body)) for n, (v, body) in self.rows[kind].items()}
        folder, _, name = self.path.rpartition("/")
        swap_file(DiskOps(), folder, name, encode(self.kept))
        self.proxy.notes.record("acked", p=self.proxy.plan.id, part=kind, version=self.versions[kind])

    # Its director.

    def begin(self, place: ControllerAddress) -> None:
        if self.kept.director != place.name:  # versions of another director say nothing to this one
            self.versions = {}
            self.rows = {
                kind: {n: ("", body) for n, (_, body) in rows.items()} for kind, rows in self.rows.items()
            }
            self.kept = Kept(place.name, {}, {})
        self.why_over, self.scope, self.heard_at = "", trio.CancelScope(), monotonic_ticks()
        self.proxy.crew.later(lambda: self.run(place, self.scope))

    def end(self) -> None:
        if self.scope is not None:
            self.scope.cancel()

    async def run(self, place: ControllerAddress, scope: trio.CancelScope | None) -> None:
        assert scope is not None
        with scope:
            async with trio.open_nursery() as nursery:
                for kind in WORDS:
                    nursery.start_soon(self.follow, place, kind, scope)
                nursery.start_soon(self.tell_loads, place)

    def over(self, why: str, avoid_s: float = 0.0) -> None:
        if avoid_s and self.proxy.director is not None:
            self.proxy.avoided[self.proxy.director.name] = monotonic_ticks() + ticks_from_seconds(avoid_s)
        self.why_over = self.why_over or why

    async def follow(self, place: ControllerAddress, kind: str, scope: trio.CancelScope) -> None:
        """One type: ask, apply, acknowledge by asking again."""
        caller: ClientConnection | None = None
        nonce = fault = ""
        acked = False
        while True:
            try:
                first = caller is None or not caller.usable
                if caller is None or not caller.usable:
                    caller = await self.dialled(caller, place)
                body = self.asks(kind, first, nonce, fault)
                acks = acked

                def gone_out(acks: bool = acks) -> None:
                    if acks:
                        self.keep(kind)

                with trio.fail_after(PATIENCE_S):
                    reply = await caller.request(
                        b"POST", self.target(kind), self.headers(), body, on_sent=gone_out
                    )
                if scope.cancel_called:
                    return  # this stay ended while the answer was on its way
                self.heard_at = monotonic_ticks()
                nonce, fault, acked = "", "", False
                if reply.status == 200:
                    nonce, fault = self.apply(place, kind, reply)
                    acked = not fault
                elif reply.status != 304:
                    await self.turned_away(reply)
            except (ConnectionLostError, trio.TooSlowError):
                nonce, fault, acked = "", "", False  # what was not acknowledged is not on its disk either
                await self.closed(caller)
                caller = None
                if monotonic_ticks() - self.heard_at > self.o.lost_after_s * 2 * TICKS_PER_SECOND:
                    self.over("no answer")
                await trio.sleep(0.05 + 0.1 * self.proxy.chance.random())

    async def turned_away(self, reply: Reply) -> None:
        wait = float(reply.header(b"retry-after") or b"1")
        self.proxy.notes.record(
            "turned_away", p=self.proxy.plan.id, status=reply.status, why=reply.body[:200].decode()
        )
        if reply.status == 503 and b"drains" in reply.body:
            self.over("sent away", self.o.stay_s * 2)
        elif reply.status in (409, 503):
            self.over("its stay is over")
        await trio.sleep(wait)

    async def dialled(self, old: ClientConnection | None, place: ControllerAddress) -> ClientConnection:
        await self.closed(old)
        if self.proxy.crew.unreachable(self.proxy.plan.zone, place.zone):
            await trio.sleep(0.2)
            raise ConnectionLostError("no way there", False)
        return await open_connection("127.0.0.1", place.port, 1.0)

    @staticmethod
    async def closed(caller: ClientConnection | None) -> None:
        if caller is not None:
            await caller.close()

    def target(self, kind: str) -> bytes:
        word, name = WORDS[kind]
        if self.whole:
            return f"/v3/discovery:{word}s".encode()
        return f"/envoy.service.{word}.v3.{name}DiscoveryService/Delta{name}s".encode()

    def headers(self) -> list[tuple[bytes, bytes]]:
        return [
            (b"authorization", b"Bearer " + bearer_token(self.proxy.plan.id)),
            (b"accept-encoding", b"gzip"),
            (b"content-type", b"application/json"),
        ]

    def asks(self, kind: str, first: bool, nonce: str, fault: str) -> bytes:
        node = forms.Node()
        if first:
            node = self.proxy.node()
            node.metadata["holds"] = msgspec.json.decode(self.proxy.status()).get("generic_xds_configs", [])
        detail = forms.Status(3, fault) if fault else None
        if self.whole:
            version = self.versions.get(kind, "")
            return encode(forms.DiscoveryRequest(version, node, [], forms.TYPE_URLS[kind], nonce, detail))
        holds = {name: version for name, (version, _) in self.rows[kind].items() if version} if first else {}
        return encode(forms.DeltaDiscoveryRequest(node, forms.TYPE_URLS[kind], [], [], holds, nonce, detail))

    # Answers.

    def apply(self, place: ControllerAddress, kind: str, reply: Reply) -> tuple[str, str]:
        """The answer's nonce, and why it is refused, if it is."""
        body = reply.body
        if reply.header(b"content-encoding") == b"gzip":
            body = gzip.decompress(body)
        nonce = version = ""
        try:
            if self.whole:
                got = decode(body, forms.DiscoveryResponse)
                nonce, version = got.nonce, got.version_info
                rows = {}
                for raw in got.resources:
                    name = self.name_of(kind, bytes(raw))
                    rows[name] = (version, bytes(raw))
            else:
                delta = decode(body, forms.DeltaDiscoveryResponse)
                nonce, version = delta.nonce, delta.system_version_info
                rows = dict(self.rows[kind])
                for row in delta.resources:  # by difference, it is the resources that have versions
                    had = rows.get(row.name, ("", b""))[0]
                    if had and era_and_number(row.version) <= era_and_number(had):
                        raise MessageFormatError(f"{row.name} goes back to {row.version}, {had} is held")
                    rows[row.name] = (row.version, bytes(row.resource))
                for name in delta.removed_resources:
                    rows.pop(name, None)
            held = self.versions.get(kind, "")
            if self.whole and held and era_and_number(version) < era_and_number(held):
                raise MessageFormatError(f"{version} goes back, {held} is held")
            self.check(kind, version, rows)
        except MessageFormatError as fault:
            self.proxy.crew.refused += 1
            cause = str(fault) or "refused"
            self.proxy.notes.record(
                "refused", p=self.proxy.plan.id, d=place.name, part=kind, version=version, cause=cause
            )
            return nonce, cause
        self.rows[kind], self.versions[kind] = rows, version
        proxy = self.proxy
        proxy.settle()
        proxy.crew.applied += 1
        proxy.notes.record("applied", p=proxy.plan.id, d=place.name, part=kind, version=version,
                         term=proxy.claim.term, **proxy.runs())  # fmt: skip
        return nonce, ""

    @staticmethod
    def name_of(kind: str, body: bytes) -> str:
        if kind == "eds":
            return decode(body, forms.ClusterLoadAssignment).cluster_name
        if kind == "cds":
            return decode(body, forms.Cluster).name
        return decode(body, forms.RouteConfiguration).name

    def check(self, kind: str, version: str, rows: dict[str, tuple[str, bytes]]) -> None:
        """Puts the rows in place, or raises FormError and leaves everything as it is."""
        proxy = self.proxy
        chance = random.Random(f"{self.o.seed} {proxy.plan.id} {kind} {version}")
        if self.o.refuse and chance.random() < self.o.refuse:
            raise MessageFormatError("refused by chance")
        assignments, clusters, routes = proxy.assignments, proxy.clusters, proxy.routes
        if kind == "eds":
            assignments = {n: decode(body, forms.ClusterLoadAssignment) for n, (_, body) in rows.items()}
            standing = proxy.assignments.get("standing")
            if standing is not None and "standing" not in assignments and self.in_use("standing"):
                assignments["standing"] = standing
            for table in assignments.values():
                tables.lines(table)
            proxy.look_odd(assignments.values())
        elif kind == "cds":
            clusters = {n: decode(body, forms.Cluster) for n, (_, body) in rows.items()}
            for name, cluster in proxy.clusters.items():  # what it started with, as long as routes lead there
                if name.endswith("@standing") and any(r.route.cluster == name for r in proxy.routes):
                    clusters.setdefault(name, cluster)
        else:
            sets = [decode(body, forms.RouteConfiguration) for _, body in rows.values()]
            if len(sets) != 1 or not sets[0].virtual_hosts:
                raise MessageFormatError(f"{len(sets)} sets of routes")
            routes = sets[0].virtual_hosts[0].routes
        for route in tables.cluster_routes(routes):
            to = clusters.get(route.route.cluster)
            if to is None:
                raise MessageFormatError(f"route {route.name!r} names no cluster: {route.route.cluster!r}")
            if to.eds_cluster_config.service_name not in assignments:
                raise MessageFormatError(f"cluster {to.name!r} has no table")
            tables.level_of(route.typed_per_filter_config)
        proxy.assignments, proxy.clusters, proxy.routes = assignments, clusters, routes

    def in_use(self, table: str) -> bool:
        clusters = [
            self.proxy.clusters[route.route.cluster] for route in tables.cluster_routes(self.proxy.routes)
        ]
        return any(cluster.eds_cluster_config.service_name == table for cluster in clusters)

    # Reports.

    def report(self, data: bytes) -> None:
        self.loads = data

    async def tell_loads(self, place: ControllerAddress) -> None:
        caller: ClientConnection | None = None
        while True:
            data, self.loads = self.loads, None
            if data is None:
                await trio.sleep(0.05)
                continue
            try:
                if caller is None or not caller.usable:
                    caller = await self.dialled(caller, place)
                with trio.fail_after(3.0):
                    reply = await caller.request(b"POST", LOAD_REPORT_PATH, self.headers(), data)
                if reply.status == 200:
                    self.report_s = parse_duration(
                        decode(reply.body, forms.LoadStatsResponse).load_reporting_interval
                    )
            except (ConnectionLostError, trio.TooSlowError):
                await self.closed(caller)
                caller = None
                await trio.sleep(0.1)

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

SERVICE_NAMES = {"cds": ("cluster", "Cluster"), "eds": ("endpoint", "Endpoint"), "rds": ("route", "Route")}
LOAD_REPORT_PATH = b"/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
RESPONSE_TIMEOUT_S = 14.0  # of one wait: a director ends it sooner


class AcknowledgedState(msgspec.Struct):
    """What was acknowledged: by type its version, and by name version and body."""

    director: str
    versions: dict[str, str]
    rows: dict[str, dict[str, tuple[str, msgspec.Raw]]]


def parse_epoch_and_number(version: str) -> tuple[int, int]:
    era, _, number = version.partition(".")
    try:
        return int(era), int(number)
    except ValueError as fault:
        raise MessageFormatError(f"version {version[:40]!r}") from fault


def bearer_token(name: str) -> bytes:
    return f"token of {name}".encode()


class DiscoveryClient:
    def __init__(self, proxy: StandInProxy) -> None:
        self.proxy, self.config = proxy, proxy.config
        self.is_state_of_the_world = proxy.plan.form == "whole"
        self.acknowledged = AcknowledgedState("", {}, {})
        self.resources: dict[str, dict[str, tuple[str, bytes]]] = {kind: {} for kind in SERVICE_NAMES}
        self.versions: dict[str, str] = {}
        self.path = f"{os.path.dirname(self.config.notes)}/accepted/{proxy.plan.id}"
        self.end_reason = ""
        self.scope: trio.CancelScope | None = None
        self.pending_report: bytes | None = None
        self.report_s = 0.0  # how often its director wants reports
        self.last_response_at = 0

    # What it holds.

    def restore(self) -> None:
        """After a restart: what was acknowledged last, if anything was."""
        os.makedirs(os.path.dirname(self.path), exist_ok=True)
        try:
            with open(self.path, "rb") as file:
                self.acknowledged = msgspec.json.decode(file.read(), type=AcknowledgedState)
        except FileNotFoundError:
            return
        if "rds" not in self.acknowledged.versions:
            return  # it never had routes: the standing ones are what it runs
        proxy, rows = self.proxy, self.acknowledged.rows
        self.resources = {
            kind: {n: (v, bytes(raw)) for n, (v, raw) in rows.get(kind, {}).items()} for kind in SERVICE_NAMES
        }
        proxy.assignments = {
            n: decode(b, forms.ClusterLoadAssignment) for n, (_, b) in self.resources["eds"].items()
        }
        proxy.clusters = {n: decode(b, forms.Cluster) for n, (_, b) in self.resources["cds"].items()}
        for _, body in self.resources["rds"].values():
            proxy.routes = decode(body, forms.RouteConfiguration).virtual_hosts[0].routes
        self.versions = dict(self.acknowledged.versions)
        proxy.update_route_entries()
        proxy.event_log.record("took_up", p=proxy.plan.id, versions=self.versions)

    def persist_acknowledged(self, kind: str) -> None:
        """The acknowledgement of this type is on its way."""
        if kind not in self.versions:
            return  # it has begun another stay meanwhile
        self.acknowledged.director = self.proxy.ownership.controller
        self.acknowledged.versions[kind] = self.versions[kind]
        self.acknowledged.rows[kind] = {
            n: (v, msgspec.Raw(body)) for n, (v, body) in self.resources[kind].items()
        }
        folder, _, name = self.path.rpartition("/")
        swap_file(DiskOps(), folder, name, encode(self.acknowledged))
        self.proxy.event_log.record("acked", p=self.proxy.plan.id, part=kind, version=self.versions[kind])

    # Its director.

    def begin(self, place: ControllerAddress) -> None:
        if self.acknowledged.director != place.name:  # versions of another director say nothing to this one
            self.versions = {}
            self.resources = {
                kind: {n: ("", body) for n, (_, body) in rows.items()}
                for kind, rows in self.resources.items()
            }
            self.acknowledged = AcknowledgedState(place.name, {}, {})
        self.end_reason, self.scope, self.last_response_at = "", trio.CancelScope(), monotonic_ticks()
        self.proxy.worker.start_soon(lambda: self.run(place, self.scope))

    def end(self) -> None:
        if self.scope is not None:
            self.scope.cancel()

    async def run(self, place: ControllerAddress, scope: trio.CancelScope | None) -> None:
        assert scope is not None
        with scope:
            async with trio.open_nursery() as nursery:
                for kind in SERVICE_NAMES:
                    nursery.start_soon(self.watch, place, kind, scope)
                nursery.start_soon(self.send_reports, place)

    def end_session(self, why: str, avoid_s: float = 0.0) -> None:
        if avoid_s and self.proxy.controller is not None:
            self.proxy.avoided_until[self.proxy.controller.name] = monotonic_ticks() + ticks_from_seconds(
                avoid_s
            )
        self.end_reason = self.end_reason or why

    async def watch(self, place: ControllerAddress, kind: str, scope: trio.CancelScope) -> None:
        """One type: ask, apply, acknowledge by asking again."""
        caller: ClientConnection | None = None
        nonce = fault = ""
        acked = False
        while True:
            try:
                first = caller is None or not caller.usable
                if caller is None or not caller.usable:
                    caller = await self.reconnect(caller, place)
                body = self.encode_request(kind, first, nonce, fault)
                acks = acked

                def gone_out(acks: bool = acks) -> None:
                    if acks:
                        self.persist_acknowledged(kind)

                with trio.fail_after(RESPONSE_TIMEOUT_S):
                    reply = await caller.request(
                        b"POST", self.request_path(kind), self.headers(), body, on_sent=gone_out
                    )
                if scope.cancel_called:
                    return  # this stay ended while the answer was on its way
                self.last_response_at = monotonic_ticks()
                nonce, fault, acked = "", "", False
                if reply.status == 200:
                    nonce, fault = self.apply(place, kind, reply)
                    acked = not fault
                elif reply.status != 304:
                    await self.handle_error(reply)
            except (ConnectionLostError, trio.TooSlowError):
                nonce, fault, acked = "", "", False  # what was not acknowledged is not on its disk either
                await self.close_connection(caller)
                caller = None
                if (
                    monotonic_ticks() - self.last_response_at
                    > self.config.lost_after_s * 2 * TICKS_PER_SECOND
                ):
                    self.end_session("no answer")
                await trio.sleep(0.05 + 0.1 * self.proxy.rng.random())

    async def handle_error(self, reply: Reply) -> None:
        wait = float(reply.header(b"retry-after") or b"1")
        self.proxy.event_log.record(
            "turned_away", p=self.proxy.plan.id, status=reply.status, why=reply.body[:200].decode()
        )
        if reply.status == 503 and b"drains" in reply.body:
            self.end_session("sent away", self.config.stay_s * 2)
        elif reply.status in (409, 503):
            self.end_session("its stay is over")
        await trio.sleep(wait)

    async def reconnect(self, old: ClientConnection | None, place: ControllerAddress) -> ClientConnection:
        await self.close_connection(old)
        if self.proxy.worker.is_partitioned(self.proxy.plan.zone, place.zone):
            await trio.sleep(0.2)
            raise ConnectionLostError("no way there", False)
        return await open_connection("127.0.0.1", place.port, 1.0)

    @staticmethod
    async def close_connection(caller: ClientConnection | None) -> None:
        if caller is not None:
            await caller.close()

    def request_path(self, kind: str) -> bytes:
        word, name = SERVICE_NAMES[kind]
        if self.is_state_of_the_world:
            return f"/v3/discovery:{word}s".encode()
        return f"/envoy.service.{word}.v3.{name}DiscoveryService/Delta{name}s".encode()

    def headers(self) -> list[tuple[bytes, bytes]]:
        return [
            (b"authorization", b"Bearer " + bearer_token(self.proxy.plan.id)),
            (b"accept-encoding", b"gzip"),
            (b"content-type", b"application/json"),
        ]

    def encode_request(self, kind: str, first: bool, nonce: str, fault: str) -> bytes:
        node = forms.Node()
        if first:
            node = self.proxy.node()
            node.metadata["holds"] = msgspec.json.decode(self.proxy.status()).get("generic_xds_configs", [])
        detail = forms.Status(3, fault) if fault else None
        if self.is_state_of_the_world:
            version = self.versions.get(kind, "")
            return encode(forms.DiscoveryRequest(version, node, [], forms.TYPE_URLS[kind], nonce, detail))
        holds = (
            {name: version for name, (version, _) in self.resources[kind].items() if version} if first else {}
        )
        return encode(forms.DeltaDiscoveryRequest(node, forms.TYPE_URLS[kind], [], [], holds, nonce, detail))

    # Answers.

    def apply(self, place: ControllerAddress, kind: str, reply: Reply) -> tuple[str, str]:
        """The answer's nonce, and why it is refused, if it is."""
        body = reply.body
        if reply.header(b"content-encoding") == b"gzip":
            body = gzip.decompress(body)
        nonce = version = ""
        try:
            if self.is_state_of_the_world:
                got = decode(body, forms.DiscoveryResponse)
                nonce, version = got.nonce, got.version_info
                rows = {}
                for raw in got.resources:
                    name = self.resource_name(kind, bytes(raw))
                    rows[name] = (version, bytes(raw))
            else:
                delta = decode(body, forms.DeltaDiscoveryResponse)
                nonce, version = delta.nonce, delta.system_version_info
                rows = dict(self.resources[kind])
                for row in delta.resources:  # by difference, it is the resources that have versions
                    had = rows.get(row.name, ("", b""))[0]
                    if had and parse_epoch_and_number(row.version) <= parse_epoch_and_number(had):
                        raise MessageFormatError(f"{row.name} goes back to {row.version}, {had} is held")
                    rows[row.name] = (row.version, bytes(row.resource))
                for name in delta.removed_resources:
                    rows.pop(name, None)
            held = self.versions.get(kind, "")
            if (
                self.is_state_of_the_world
                and held
                and parse_epoch_and_number(version) < parse_epoch_and_number(held)
            ):
                raise MessageFormatError(f"{version} goes back, {held} is held")
            self.install(kind, version, rows)
        except MessageFormatError as fault:
            self.proxy.worker.refused_updates += 1
            cause = str(fault) or "refused"
            self.proxy.event_log.record(
                "refused", p=self.proxy.plan.id, d=place.name, part=kind, version=version, cause=cause
            )
            return nonce, cause
        self.resources[kind], self.versions[kind] = rows, version
        proxy = self.proxy
        proxy.update_route_entries()
        proxy.worker.applied_updates += 1
        proxy.event_log.record("applied", p=proxy.plan.id, d=place.name, part=kind, version=version,
                         term=proxy.ownership.term, **proxy.describe_state())  # fmt: skip
        return nonce, ""

    @staticmethod
    def resource_name(kind: str, body: bytes) -> str:
        if kind == "eds":
            return decode(body, forms.ClusterLoadAssignment).cluster_name
        if kind == "cds":
            return decode(body, forms.Cluster).name
        return decode(body, forms.RouteConfiguration).name

    def install(self, kind: str, version: str, resources: dict[str, tuple[str, bytes]]) -> None:
        """Puts the rows in place, or raises FormError and leaves everything as it is."""
        proxy = self.proxy
        chance = random.Random(f"{self.config.seed} {proxy.plan.id} {kind} {version}")
        if self.config.refuse and chance.random() < self.config.refuse:
            raise MessageFormatError("refused by chance")
        assignments, clusters, routes = proxy.assignments, proxy.clusters, proxy.routes
        if kind == "eds":
            assignments = {n: decode(body, forms.ClusterLoadAssignment) for n, (_, body) in resources.items()}
            standing = proxy.assignments.get("standing")
            if standing is not None and "standing" not in assignments and self.is_table_in_use("standing"):
                assignments["standing"] = standing
            for table in assignments.values():
                tables.lines(table)
            proxy.check_refused_weight(assignments.values())
        elif kind == "cds":
            clusters = {n: decode(body, forms.Cluster) for n, (_, body) in resources.items()}
            for name, cluster in proxy.clusters.items():  # what it started with, as long as routes lead there
                if name.endswith("@standing") and any(r.route.cluster == name for r in proxy.routes):
                    clusters.setdefault(name, cluster)
        else:
            sets = [decode(body, forms.RouteConfiguration) for _, body in resources.values()]
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

    def is_table_in_use(self, table: str) -> bool:
        clusters = [
            self.proxy.clusters[route.route.cluster] for route in tables.cluster_routes(self.proxy.routes)
        ]
        return any(cluster.eds_cluster_config.service_name == table for cluster in clusters)

    # Reports.

    def report(self, data: bytes) -> None:
        self.pending_report = data

    async def send_reports(self, place: ControllerAddress) -> None:
        caller: ClientConnection | None = None
        while True:
            data, self.pending_report = self.pending_report, None
            if data is None:
                await trio.sleep(0.05)
                continue
            try:
                if caller is None or not caller.usable:
                    caller = await self.reconnect(caller, place)
                with trio.fail_after(3.0):
                    reply = await caller.request(b"POST", LOAD_REPORT_PATH, self.headers(), data)
                if reply.status == 200:
                    self.report_s = parse_duration(
                        decode(reply.body, forms.LoadStatsResponse).load_reporting_interval
                    )
            except (ConnectionLostError, trio.TooSlowError):
                await self.close_connection(caller)
                caller = None
                await trio.sleep(0.1)

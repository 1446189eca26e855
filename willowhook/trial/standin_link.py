"""The discovery client of a stand-in proxy: one blocking request for each resource type, and load reports.

It enforces the published protocol strictly: a response is applied completely or rejected with a cause; one
that is older than the applied version is rejected. The last acknowledged state is on disk, so that a
restarted proxy runs exactly that and nothing newer.
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
RESPONSE_TIMEOUT_S = 14.0  # of one blocking request; a controller ends it sooner


class AcknowledgedState(msgspec.Struct):
    """The last acknowledged state on disk: versions by type; by type and name, version and body of resources.

    Its field names are part of the file format.
    """

    director: str
    versions: dict[str, str]
    rows: dict[str, dict[str, tuple[str, msgspec.Raw]]]


def parse_epoch_and_number(version: str) -> tuple[int, int]:
    """Splits a version. Raises MessageFormatError if it is malformed."""
    epoch, _, number = version.partition(".")
    try:
        return int(epoch), int(number)
    except ValueError as error:
        raise MessageFormatError(f"version {version[:40]!r}") from error


def bearer_token(name: str) -> bytes:
    """The credential of the proxy with this name."""
    return f"token of {name}".encode()


class DiscoveryClient:
    """The sessions of a proxy that gets its updates by requests."""

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
        self.report_s = 0.0  # report interval that its controller asked for
        self.last_response_at = 0

    # Persistent state

    def restore(self) -> None:
        """Applies the last acknowledged state after a restart, if there is one."""
        os.makedirs(os.path.dirname(self.path), exist_ok=True)
        try:
            with open(self.path, "rb") as file:
                self.acknowledged = msgspec.json.decode(file.read(), type=AcknowledgedState)
        except FileNotFoundError:
            return
        if "rds" not in self.acknowledged.versions:
            return  # without acknowledged routes it keeps the standing table
        proxy, stored = self.proxy, self.acknowledged.rows
        self.resources = {
            kind: {n: (v, bytes(raw)) for n, (v, raw) in stored.get(kind, {}).items()}
            for kind in SERVICE_NAMES
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
        """Writes the state of this type to disk, when its acknowledgement is sent."""
        if kind not in self.versions:
            return  # another session has begun meanwhile
        self.acknowledged.director = self.proxy.ownership.controller
        self.acknowledged.versions[kind] = self.versions[kind]
        self.acknowledged.rows[kind] = {
            n: (v, msgspec.Raw(body)) for n, (v, body) in self.resources[kind].items()
        }
        folder, _, name = self.path.rpartition("/")
        swap_file(DiskOps(), folder, name, encode(self.acknowledged))
        self.proxy.event_log.record("acked", p=self.proxy.plan.id, part=kind, version=self.versions[kind])

    # Sessions

    def begin(self, controller: ControllerAddress) -> None:
        """Starts a session with this controller."""
        if self.acknowledged.director != controller.name:  # versions of another controller mean nothing here
            self.versions = {}
            self.resources = {
                kind: {n: ("", body) for n, (_, body) in rows.items()}
                for kind, rows in self.resources.items()
            }
            self.acknowledged = AcknowledgedState(controller.name, {}, {})
        self.end_reason, self.scope, self.last_response_at = "", trio.CancelScope(), monotonic_ticks()
        self.proxy.worker.start_soon(lambda: self.run(controller, self.scope))

    def end(self) -> None:
        """Cancels the requests of the session."""
        if self.scope is not None:
            self.scope.cancel()

    async def run(self, controller: ControllerAddress, scope: trio.CancelScope | None) -> None:
        """Watches all resource types and sends reports, until the session ends."""
        assert scope is not None
        with scope:
            async with trio.open_nursery() as nursery:
                for kind in SERVICE_NAMES:
                    nursery.start_soon(self.watch, controller, kind, scope)
                nursery.start_soon(self.send_reports, controller)

    def end_session(self, why: str, avoid_s: float = 0.0) -> None:
        """Asks the proxy to leave its controller, and to avoid it for a while; the first reason counts."""
        if avoid_s and self.proxy.controller is not None:
            self.proxy.avoided_until[self.proxy.controller.name] = monotonic_ticks() + ticks_from_seconds(
                avoid_s
            )
        self.end_reason = self.end_reason or why

    async def watch(self, controller: ControllerAddress, kind: str, scope: trio.CancelScope) -> None:
        """One resource type: requests, applies, and acknowledges with the next request."""
        connection: ClientConnection | None = None
        nonce = error = ""
        is_applied = False
        while True:
            try:
                is_first = connection is None or not connection.usable
                if connection is None or not connection.usable:
                    connection = await self.reconnect(connection, controller)
                request_body = self.encode_request(kind, is_first, nonce, error)
                is_acknowledgement = is_applied

                def on_sent_persist(is_acknowledgement: bool = is_acknowledgement) -> None:
                    if is_acknowledgement:
                        self.persist_acknowledged(kind)

                with trio.fail_after(RESPONSE_TIMEOUT_S):
                    reply = await connection.request(
                        b"POST",
                        self.request_path(kind),
                        self.headers(),
                        request_body,
                        on_sent=on_sent_persist,
                    )
                if scope.cancel_called:
                    return  # the session ended before the response arrived
                self.last_response_at = monotonic_ticks()
                nonce, error, is_applied = "", "", False
                if reply.status == 200:
                    nonce, error = self.apply(controller, kind, reply)
                    is_applied = not error
                elif reply.status != 304:
                    await self.handle_error(reply)
            except (ConnectionLostError, trio.TooSlowError):
                # an update that was not acknowledged is not on disk either
                nonce, error, is_applied = "", "", False
                await self.close_connection(connection)
                connection = None
                if (
                    monotonic_ticks() - self.last_response_at
                    > self.config.lost_after_s * 2 * TICKS_PER_SECOND
                ):
                    self.end_session("no answer")
                await trio.sleep(0.05 + 0.1 * self.proxy.rng.random())

    async def handle_error(self, reply: Reply) -> None:
        """Ends the session if the controller asks for it; waits as long as it asks."""
        wait_s = float(reply.header(b"retry-after") or b"1")
        self.proxy.event_log.record(
            "turned_away", p=self.proxy.plan.id, status=reply.status, why=reply.body[:200].decode()
        )
        if reply.status == 503 and b"drains" in reply.body:
            self.end_session("sent away", self.config.stay_s * 2)
        elif reply.status in (409, 503):
            self.end_session("its stay is over")
        await trio.sleep(wait_s)

    async def reconnect(
        self, old: ClientConnection | None, controller: ControllerAddress
    ) -> ClientConnection:
        """Opens a connection. Raises ConnectionLostError if a network partition prevents it."""
        await self.close_connection(old)
        if self.proxy.worker.is_partitioned(self.proxy.plan.zone, controller.zone):
            await trio.sleep(0.2)
            raise ConnectionLostError("network partition", False)
        return await open_connection("127.0.0.1", controller.port, 1.0)

    @staticmethod
    async def close_connection(connection: ClientConnection | None) -> None:
        """Closes a connection, if there is one."""
        if connection is not None:
            await connection.close()

    def request_path(self, kind: str) -> bytes:
        """The path of complete or of delta requests for this type."""
        resource, service = SERVICE_NAMES[kind]
        if self.is_state_of_the_world:
            return f"/v3/discovery:{resource}s".encode()
        return f"/envoy.service.{resource}.v3.{service}DiscoveryService/Delta{service}s".encode()

    def headers(self) -> list[tuple[bytes, bytes]]:
        """The headers of all requests."""
        return [
            (b"authorization", b"Bearer " + bearer_token(self.proxy.plan.id)),
            (b"accept-encoding", b"gzip"),
            (b"content-type", b"application/json"),
        ]

    def encode_request(self, kind: str, is_first: bool, nonce: str, error: str) -> bytes:
        """A request that acknowledges or rejects this nonce; the first one of a connection names the node."""
        node = forms.Node()
        if is_first:
            node = self.proxy.node()
            node.metadata["holds"] = msgspec.json.decode(self.proxy.status()).get("generic_xds_configs", [])
        detail = forms.Status(3, error) if error else None
        if self.is_state_of_the_world:
            version = self.versions.get(kind, "")
            return encode(forms.DiscoveryRequest(version, node, [], forms.TYPE_URLS[kind], nonce, detail))
        holds = (
            {name: version for name, (version, _) in self.resources[kind].items() if version}
            if is_first
            else {}
        )
        return encode(forms.DeltaDiscoveryRequest(node, forms.TYPE_URLS[kind], [], [], holds, nonce, detail))

    # Responses

    def apply(self, controller: ControllerAddress, kind: str, reply: Reply) -> tuple[str, str]:
        """The nonce of the response, and why it is rejected if it is."""
        body = reply.body
        if reply.header(b"content-encoding") == b"gzip":
            body = gzip.decompress(body)
        nonce = version = ""
        try:
            if self.is_state_of_the_world:
                response = decode(body, forms.DiscoveryResponse)
                nonce, version = response.nonce, response.version_info
                resources = {}
                for raw in response.resources:
                    name = self.resource_name(kind, bytes(raw))
                    resources[name] = (version, bytes(raw))
            else:
                delta = decode(body, forms.DeltaDiscoveryResponse)
                nonce, version = delta.nonce, delta.system_version_info
                resources = dict(self.resources[kind])
                for resource in delta.resources:  # in delta responses the versions are those of the resources
                    old_version = resources.get(resource.name, ("", b""))[0]
                    if old_version and parse_epoch_and_number(resource.version) <= parse_epoch_and_number(
                        old_version
                    ):
                        raise MessageFormatError(
                            f"{resource.name} goes back to {resource.version}, {old_version} is held"
                        )
                    resources[resource.name] = (resource.version, bytes(resource.resource))
                for name in delta.removed_resources:
                    resources.pop(name, None)
            held_version = self.versions.get(kind, "")
            if (
                self.is_state_of_the_world
                and held_version
                and parse_epoch_and_number(version) < parse_epoch_and_number(held_version)
            ):
                raise MessageFormatError(f"{version} goes back, {held_version} is held")
            self.install(kind, version, resources)
        except MessageFormatError as error:
            self.proxy.worker.refused_updates += 1
            cause = str(error) or "refused"
            self.proxy.event_log.record(
                "refused", p=self.proxy.plan.id, d=controller.name, part=kind, version=version, cause=cause
            )
            return nonce, cause
        self.resources[kind], self.versions[kind] = resources, version
        proxy = self.proxy
        proxy.update_route_entries()
        proxy.worker.applied_updates += 1
        proxy.event_log.record(
            "applied", p=proxy.plan.id, d=controller.name, part=kind, version=version,
            term=proxy.ownership.term, **proxy.describe_state(),
        )  # fmt: skip
        return nonce, ""

    @staticmethod
    def resource_name(kind: str, body: bytes) -> str:
        """The name in an encoded resource of this type."""
        if kind == "eds":
            return decode(body, forms.ClusterLoadAssignment).cluster_name
        if kind == "cds":
            return decode(body, forms.Cluster).name
        return decode(body, forms.RouteConfiguration).name

    def install(self, kind: str, version: str, resources: dict[str, tuple[str, bytes]]) -> None:
        """Installs the resources of one type, or raises MessageFormatError and changes nothing."""
        proxy = self.proxy
        rng = random.Random(f"{self.config.seed} {proxy.plan.id} {kind} {version}")
        if self.config.refuse and rng.random() < self.config.refuse:
            raise MessageFormatError("refused by chance")
        assignments, clusters, routes = proxy.assignments, proxy.clusters, proxy.routes
        if kind == "eds":
            assignments = {
                name: decode(body, forms.ClusterLoadAssignment) for name, (_, body) in resources.items()
            }
            standing = proxy.assignments.get("standing")
            if standing is not None and "standing" not in assignments and self.is_table_in_use("standing"):
                assignments["standing"] = standing
            for table in assignments.values():
                tables.lines(table)
            proxy.check_refused_weight(assignments.values())
        elif kind == "cds":
            clusters = {name: decode(body, forms.Cluster) for name, (_, body) in resources.items()}
            for name, cluster in proxy.clusters.items():  # standing clusters stay while routes use them
                if name.endswith("@standing") and any(r.route.cluster == name for r in proxy.routes):
                    clusters.setdefault(name, cluster)
        else:
            configurations = [decode(body, forms.RouteConfiguration) for _, body in resources.values()]
            if len(configurations) != 1 or not configurations[0].virtual_hosts:
                raise MessageFormatError(f"{len(configurations)} route configurations")
            routes = configurations[0].virtual_hosts[0].routes
        for route in tables.cluster_routes(routes):
            target = clusters.get(route.route.cluster)
            if target is None:
                raise MessageFormatError(f"route {route.name!r} names no cluster: {route.route.cluster!r}")
            if target.eds_cluster_config.service_name not in assignments:
                raise MessageFormatError(f"cluster {target.name!r} has no table")
            tables.level_of(route.typed_per_filter_config)
        proxy.assignments, proxy.clusters, proxy.routes = assignments, clusters, routes

    def is_table_in_use(self, table: str) -> bool:
        """Whether a route uses this table."""
        clusters = [
            self.proxy.clusters[route.route.cluster] for route in tables.cluster_routes(self.proxy.routes)
        ]
        return any(cluster.eds_cluster_config.service_name == table for cluster in clusters)

    # Reports

    def report(self, data: bytes) -> None:
        """Sends this load report instead of one that still waits."""
        self.pending_report = data

    async def send_reports(self, controller: ControllerAddress) -> None:
        """Sends reports, and takes over the interval from the responses."""
        connection: ClientConnection | None = None
        while True:
            data, self.pending_report = self.pending_report, None
            if data is None:
                await trio.sleep(0.05)
                continue
            try:
                if connection is None or not connection.usable:
                    connection = await self.reconnect(connection, controller)
                with trio.fail_after(3.0):
                    reply = await connection.request(b"POST", LOAD_REPORT_PATH, self.headers(), data)
                if reply.status == 200:
                    self.report_s = parse_duration(
                        decode(reply.body, forms.LoadStatsResponse).load_reporting_interval
                    )
            except (ConnectionLostError, trio.TooSlowError):
                await self.close_connection(connection)
                connection = None
                await trio.sleep(0.1)

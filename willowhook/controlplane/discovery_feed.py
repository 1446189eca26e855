"""Connects the xDS discovery server, from which proxies request updates, to the control plane.

Events of the server go to the decision task in the order in which they happened. The tasks that serve
requests keep the state of the server; they run in the same thread.
"""

from __future__ import annotations

from typing import Any

import trio

from ..config.terms import FrontTerms
from ..files.layout import STATUS_FILE
from ..front.bodies import ResponseCache
from ..front.discovery import DiscoveryServer
from ..front.identity import BearerIdentity, CredentialError, Identity, UnverifiedIdentity
from ..front.limits import Gate
from ..front.serve import Server, Timeouts
from ..ticks import TICKS_PER_SECOND
from ..versions.discovery_session import DiscoverySession
from ..versions.resources import Resource, ResourceSet, ResourceStore
from ..xds import forms
from ..xds.codec import encode
from .context import ServiceContext
from .inbound_events import (
    InboundEvent,
    PartAcknowledged,
    ProxyCalled,
    ResourceRejected,
    SessionReply,
    SessionRequested,
)
from .intake import ProxyIntake
from .proxy_events import UpdateApplied
from .proxy_resources import ProxyResources
from .publisher import Publisher
from .report_processor import ReportProcessor
from .resource_renderer import references
from .update_sinks import HttpUpdateSink

LISTEN_BACKLOG = 2048  # connections; a complete fleet may connect at once
ENDPOINT_REQUEST_FILE = "eds.json"


def identity_of(settings: FrontTerms) -> Identity:
    """Returns the authentication of callers.

    Raises CredentialError if no credentials are configured, or OSError if their file cannot be read.
    """
    if settings.identity == "none":
        return UnverifiedIdentity()
    if not settings.credentials:
        raise CredentialError("front.credentials is not set")
    with open(settings.credentials, "rb") as file:
        return BearerIdentity(file.read())


def _gate(settings: FrontTerms) -> Gate:
    requests_per_tick = settings.asks_per_s / TICKS_PER_SECOND
    return Gate(
        settings.connections_most, settings.proxy_connections_most, requests_per_tick, settings.asks_burst
    )


def _timeouts(settings: FrontTerms) -> Timeouts:
    return Timeouts(
        settings.header_ms / 1000,
        settings.write_ms / 1000,
        settings.idle_ms / 1000,
        settings.wait_ms / 1000,
    )


class DiscoveryFeed:
    """Runs the xDS discovery server and sends its events to the decision task.

    Attributes:
        gate: the limits on connections and requests.
        response_cache: the encoded and compressed bodies of responses.
        discovery_server: serves the discovery protocol.
        http_server: serves the HTTP connections.
    """

    def __init__(
        self,
        context: ServiceContext,
        store: ResourceStore,
        publisher: Publisher,
        intake: ProxyIntake,
        reports: ReportProcessor,
    ) -> None:
        """Creates a server that listens once it runs.

        Args:
            context: the shared context.
            store: the store of the resources.
            publisher: the publisher of updates.
            intake: the sessions of proxies.
            reports: the processor of load reports.

        Raises:
            CredentialError: the credentials are missing or malformed.
            OSError: the file of credentials cannot be read.
        """
        self._queue = context.queue
        self._store = store
        self._publisher = publisher
        self._intake = intake
        self._reports = reports
        self._discovery_sessions: dict[str, DiscoverySession] = {}  # by the name of the proxy
        self._pending: list[InboundEvent] = []  # the events of the request that is being served
        settings = self._settings = context.terms.front
        self.gate = _gate(settings)
        self.response_cache = ResponseCache(settings.cache_bytes, settings.compress_from_bytes)
        self.discovery_server = DiscoveryServer(
            context.terms.name,
            self,
            identity_of(settings),
            self.gate,
            self.response_cache,
            settings.come_back_ms / 1000,
            context.terms.fleet.report_every_ms / 1000,
        )
        on_request, on_close = (
            self.discovery_server.handle_request,
            self.discovery_server.handle_connection_closed,
        )
        self.http_server = Server(
            self.gate, _timeouts(settings), settings.largest_ask_bytes, on_request, on_close
        )

    async def run(self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves proxies until cancelled; the task's start value is the port.

        Raises OSError if the address cannot be bound.
        """
        address, _, port = self._settings.listen.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=address, backlog=LISTEN_BACKLOG)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.discovery_server.run)
            task_status.started(listeners[0].socket.getsockname()[1])
            await trio.serve_listeners(self.http_server.serve, listeners)

    def set_report_interval(self, interval_seconds: float) -> None:
        """Sets the interval at which proxies are to send load reports."""
        self.discovery_server.set_report_interval(interval_seconds)

    # Sessions, in the decision task.

    def make_sink(self, proxy: int, name: str, held: ProxyResources) -> HttpUpdateSink:
        """Creates the update sink of a proxy that has joined and holds these resources."""
        session = DiscoverySession(
            proxy, self._store, self, references, self._publisher.renderer.exclude_from, held.resources()
        )
        self._discovery_sessions[name] = session
        return HttpUpdateSink(session, self._store, self.discovery_server.notify_session)

    def open_session(self, now: int, request: SessionRequested) -> None:
        """Opens the session of a proxy that uses the xDS discovery server, unless it is open already."""
        session = self._intake.sessions.get(request.name)
        has_session = session is not None and session.uses_discovery and session.term == request.term
        if not has_session and not self._intake.open_session(
            now, request.name, request.files, uses_discovery=True
        ):
            request.reply.error = self._intake.last_error
        request.reply.is_ready.set()

    def close_session(self, name: str) -> None:
        """Ends the waiting requests of a proxy that has left."""
        session = self._discovery_sessions.pop(name, None)
        if session is not None:
            self.discovery_server.remove_session(session)

    def has_unanswered_request(self, name: str) -> bool:
        """Whether a request of a proxy waits on an open connection, which lasts `wait_ms` at the most."""
        session = self._discovery_sessions.get(name)
        return session is not None and self.discovery_server.has_waiting_call(session)

    # The interface that the xDS discovery server calls, `DiscoveryBackend`.

    def session_state(self, name: str) -> tuple[int, bool] | None:
        """The term of a proxy's session, and whether it uses the xDS discovery server; None without one."""
        session = self._intake.sessions.get(name)
        return (session.term, session.uses_discovery) if session is not None else None

    def discovery_session(self, name: str) -> DiscoverySession | None:
        """The discovery session of a proxy, which holds the resources offered to it; None if it has none."""
        return self._discovery_sessions.get(name)

    def is_redirected(self, name: str) -> bool:
        """Whether a proxy is to join another controller because this one is draining."""
        session = self._intake.sessions.get(name)
        open_session = self._publisher.sessions.get(session.number) if session is not None else None
        sink = open_session.sink if open_session is not None else None
        return isinstance(sink, HttpUpdateSink) and sink.is_sent_away

    def record_request(self, name: str) -> None:
        """Records a request of a proxy as activity."""
        self._pending.append(ProxyCalled(name))

    def record_delivery(self, name: str) -> None:
        """Records that an update was sent on a proxy's connection."""
        session = self._intake.sessions.get(name)
        if session is not None:
            self._publisher.handle_delivered(session.number)

    async def join(self, name: str, node: forms.Node, holds: list[Any], fresh: bool) -> str:
        """Opens the session of a proxy; returns what is malformed in its request, or an empty string."""
        files = {STATUS_FILE: encode({"node": node, "generic_xds_configs": holds})}
        if not fresh:
            files[ENDPOINT_REQUEST_FILE] = encode(forms.DiscoveryRequest("held", node))
        reply = SessionReply()
        await self._queue.send(SessionRequested(name, node.metadata.get("term", 0), files, reply))
        await reply.is_ready.wait()
        return reply.error

    async def submit_report(self, name: str, body: bytes) -> None:
        """Queues a load report."""
        self._reports.offer(self._publisher.now(), name, body)

    async def flush_events(self) -> None:
        """Sends the events of an answered request to the decision task."""
        pending, self._pending = self._pending, []
        for event in pending:
            await self._queue.send(event)

    # The interface that discovery sessions call, `SessionListener`.

    def handle_applied(self, proxy: int, number: int) -> None:
        """Records that a proxy has applied this update message."""
        self._pending.append(UpdateApplied(proxy, number))

    def handle_rejected(self, proxy: int, resource: Resource, error: str) -> None:
        """Records that a proxy has rejected a resource."""
        self._pending.append(ResourceRejected(proxy, resource, error))

    def handle_acknowledged(self, proxy: int, resources: ResourceSet) -> None:
        """Records that a proxy has acknowledged a part of its resources."""
        self._pending.append(PartAcknowledged(proxy, resources))

    def record_known_version(self, proxy: int, kind: str, version: str, state: str) -> None:
        """Records the version of a kind of resources that a proxy runs."""
        session = self._publisher.sessions.get(proxy)
        if session is not None:
            self._publisher.record_known_version(session, kind, version, state)

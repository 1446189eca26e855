"""The xDS discovery protocol over HTTP: full state and deltas, by POST requests that wait for an update.

Full state: `POST /v3/discovery:{clusters,endpoints,routes}` with a `DiscoveryRequest`. Deltas and load
reports: the path of the published gRPC method, with the same messages in JSON.

One connection takes the place of one gRPC stream: its first request of a resource type carries the node and
the versions that the proxy holds. A request waits while there is no update for it, and gets status 304 when
the wait ends. Errors are `google.rpc.Status`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec
import trio

from ..clock import monotonic_ticks
from ..membership.ownership import OwnershipClaim, check_claim
from ..ticks import TICKS_PER_SECOND
from ..versions.discovery_session import DiscoverySession
from ..versions.exchange import ResourceRequest, ResourceResponse
from ..versions.resources import KINDS
from ..web.wire import Call, Reply
from ..xds import forms
from ..xds.codec import MessageFormatError, decode, encode, encode_response
from .bodies import ResponseCache, choose_encoding
from .identity import Identity
from .limits import Gate
from .serve import Line, Waiting, error_response
from .turns import WakeupQueue

MAX_REPORT_DELAY_S = 2.0  # the longest that the response to an early load report is delayed
WAKEUP_BATCH_SIZE = 32  # waiting requests that are woken before other tasks run
SERVICES = {"cds": ("cluster", "Cluster"), "eds": ("endpoint", "Endpoint"), "rds": ("route", "Route")}
FULL_STATE_PATHS = {f"/v3/discovery:{word}s".encode(): kind for kind, (word, _) in SERVICES.items()}
DELTA_PATHS = {
    f"/envoy.service.{word}.v3.{name}DiscoveryService/Delta{name}s".encode(): kind
    for kind, (word, name) in SERVICES.items()
}
LOAD_REPORT_PATH = b"/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
JSON_CONTENT_TYPE = (b"content-type", b"application/json")


class DiscoveryBackend(Protocol):
    """The control plane, as the xDS discovery server uses it."""

    def session_state(self, name: str) -> tuple[int, bool] | None:
        """Returns the term of a proxy's session and whether it uses this server; None without a session."""

    def discovery_session(self, name: str) -> DiscoverySession | None:
        """Returns the discovery session of a proxy; None if it has none."""
        ...

    def is_redirected(self, name: str) -> bool:
        """Returns whether a proxy is to follow another controller, as this one drains."""
        ...

    def record_request(self, name: str) -> None:
        """Records that a proxy has sent a request, which shows that it is alive."""
        ...

    def record_delivery(self, name: str) -> None:
        """Records that an update is sent to a proxy."""
        ...

    async def join(self, name: str, node: forms.Node, holds: list[Any], fresh: bool) -> str:
        """Opens a session for a proxy; returns why its request is malformed, or an empty string."""

    async def submit_report(self, name: str, body: bytes) -> None:
        """Queues a load report."""
        ...

    async def flush_events(self) -> None:
        """Passes on the events that the discovery sessions have emitted."""


@dataclass(slots=True)
class ConnectionState:
    """What the requests on one connection have established.

    Attributes:
        node: the latest node that a request has carried.
        session: the session of the proxy.
        kinds: the resource types requested so far; an ordered set.
    """

    node: forms.Node | None = None
    session: DiscoverySession | None = None
    kinds: dict[str, None] = field(default_factory=dict)


@dataclass(eq=False, slots=True)
class WaitingRequest:
    """A request for resources that waits for an update.

    Attributes:
        session: the session of the proxy.
        name: the name of the proxy.
        kind: the resource type.
        is_full_state: whether the response has the full state instead of a delta.
        encoding: the content encoding of the response; empty for none.
        waiting: the server's state of the request.
        end_reason: why the request ends without an update.
    """

    session: DiscoverySession
    name: str
    kind: str
    is_full_state: bool
    encoding: bytes
    waiting: Waiting | None = None
    end_reason: str = ""


class DiscoveryServer:
    """Handles the requests of proxies; `run` wakes those that wait, in the order of the wakeup queue.

    `handle_request` and `handle_connection_closed` are the callbacks of the HTTP server; discovery sessions
    call `notify_session`.

    Attributes:
        bodies: the cache of response bodies.
        answers: the updates sent.
        expired_waits: the requests whose wait ended without an update.
    """

    def __init__(
        self, controller: str, backend: DiscoveryBackend, identity: Identity, gate: Gate,
        bodies: ResponseCache, retry_after_s: float, report_interval_s: float,
    ) -> None:  # fmt: skip
        self._controller, self._backend, self._identity, self._gate = controller, backend, identity, gate
        self.bodies, self._retry_after_s, self._report_interval_s = bodies, retry_after_s, report_interval_s
        self._waiting: dict[tuple[DiscoverySession, str], WaitingRequest] = {}
        self._answered_at: dict[DiscoverySession, int] = {}
        self._wakeups = WakeupQueue()
        self._has_wakeups = trio.Event()
        self.answers = self.expired_waits = 0

    # Requests.

    async def handle_request(self, connection: Line, http_request: Call) -> Reply | Waiting:
        """Answers a request, or returns that it waits."""
        authenticated_name = self._identity.authenticate(http_request.headers, connection.peer)
        if authenticated_name is None:
            return error_response(401, 16, "no credential that is known", 0, True)
        path, state = http_request.target.split(b"?")[0], connection.state
        if state is None:
            state = connection.state = ConnectionState()
        kind, is_full_state = FULL_STATE_PATHS.get(path, ""), path in FULL_STATE_PATHS
        kind = kind or DELTA_PATHS.get(path, "")
        if not kind and path != LOAD_REPORT_PATH:
            return error_response(404, 12, "no method of this path")
        if http_request.method != b"POST":
            return error_response(405, 12, "POST it")
        try:
            return await self._handle_message(
                connection, state, http_request, authenticated_name, kind, is_full_state
            )
        except MessageFormatError as error:
            return error_response(400, 3, str(error)[:300])

    async def _handle_message(
        self,
        connection: Line,
        state: ConnectionState,
        http_request: Call,
        authenticated_name: str,
        kind: str,
        is_full_state: bool,
    ) -> Reply | Waiting:
        if not kind:
            report = decode(http_request.body, forms.LoadStatsRequest)
            if (
                rejection := self._check_node(connection, state, report.node, authenticated_name)
            ) is not None:
                return rejection
            return await self._handle_report(connection, http_request)
        message: forms.DiscoveryRequest | forms.DeltaDiscoveryRequest
        if is_full_state:
            message = decode(http_request.body, forms.DiscoveryRequest)
        else:
            message = decode(http_request.body, forms.DeltaDiscoveryRequest)
        if (rejection := self._check_node(connection, state, message.node, authenticated_name)) is not None:
            return rejection
        if message.type_url not in ("", forms.TYPE_URLS[kind]):
            return error_response(
                400, 3, f"type_url is {message.type_url[:80]!r}, not {forms.TYPE_URLS[kind]!r}"
            )
        is_first = kind not in state.kinds
        if (rejection := await self._check_session(connection.proxy, state, message, is_first)) is not None:
            return rejection
        state.kinds[kind] = None
        session = state.session
        assert session is not None
        self._backend.record_request(connection.proxy)
        response = session.handle_request(self._resource_request(message, kind, is_first))
        await self._backend.flush_events()
        self.notify_session(session)  # this request may have made an update of another type available
        encoding = choose_encoding(http_request.headers.get(b"accept-encoding", b""))
        request = WaitingRequest(session, connection.proxy, kind, is_full_state, encoding)
        if self._backend.is_redirected(connection.proxy):
            return self._draining_response()
        if response is not None:
            self._end_waiting(session, kind, "superseded by a later request")
            return self._encode_update(request, response)
        return self._wait(request)

    def _check_node(
        self, connection: Line, state: ConnectionState, node: forms.Node, authenticated_name: str
    ) -> Reply | None:
        """Binds the connection to the proxy that its node and credential name; returns an error otherwise.

        No proxy can act for another. Only the first request of a connection has to carry the node.
        """
        if node.id:
            if authenticated_name and node.id != authenticated_name:
                return error_response(
                    403, 7, f"the credential is of {authenticated_name!r}, the node {node.id[:80]!r}", 0, True
                )
            state.node = node
        if state.node is None:
            return error_response(400, 3, "node: the first call of a connection has it")
        name = authenticated_name or state.node.id
        if name == connection.proxy:
            return None
        if connection.proxy:
            return error_response(403, 7, f"this connection is of {connection.proxy!r}", 0, True)
        if not self._gate.try_assign(name):
            return error_response(429, 8, "too many connections of one proxy", self._retry_after_s, True)
        connection.proxy = name
        return None

    async def _check_session(
        self,
        name: str,
        state: ConnectionState,
        message: forms.DiscoveryRequest | forms.DeltaDiscoveryRequest,
        is_first: bool,
    ) -> Reply | None:
        """Finds the session of the connection, or opens one with its first request.

        Returns an error if the proxy sends too many requests or the request belongs to an earlier session.
        """
        wait = self._gate.acquire(monotonic_ticks(), name)
        if wait:
            return error_response(429, 8, "too many calls", wait / TICKS_PER_SECOND)
        session_state, node = self._backend.session_state(name), state.node
        assert node is not None
        term = node.metadata.get("term", 0)
        if session_state is not None and session_state[1] and isinstance(term, int | float):
            claimed_controller = str(node.metadata.get("director", ""))
            claim = check_claim(
                self._controller, claimed_controller, term=session_state[0], claimed_term=int(term)
            )
            if claim is OwnershipClaim.OUTDATED:
                return error_response(409, 9, f"term {int(term)} is over, {session_state[0]} is now", 0, True)
            if claim is OwnershipClaim.OWNED and state.session is not None:
                if self._backend.discovery_session(name) is state.session:
                    return None
                return error_response(503, 14, "this stay is over", self._retry_after_s, True)
            if claim is OwnershipClaim.OWNED:
                state.session = self._backend.discovery_session(name)
                if state.session is not None:
                    return None
        if not is_first or state.session is not None:
            return error_response(503, 14, "this stay is over", self._retry_after_s, True)
        held_resources = node.metadata.pop("holds", [])
        if not isinstance(held_resources, list):
            raise MessageFormatError("node.metadata.holds is no list")
        holds_nothing = not (message.version_info if isinstance(message, forms.DiscoveryRequest)
                             else message.initial_resource_versions) and not held_resources  # fmt: skip
        rejection = await self._backend.join(name, node, held_resources, holds_nothing)
        if rejection:
            return error_response(400, 3, rejection)
        state.session = self._backend.discovery_session(name)
        if state.session is None:
            return error_response(503, 14, "this stay is over", self._retry_after_s, True)
        return None

    @staticmethod
    def _resource_request(
        message: forms.DiscoveryRequest | forms.DeltaDiscoveryRequest, kind: str, is_first: bool
    ) -> ResourceRequest:
        error = (
            message.error_detail.message[:500] or "no cause told" if message.error_detail is not None else ""
        )
        if isinstance(message, forms.DiscoveryRequest):
            names = tuple(message.resource_names)
            return ResourceRequest(
                kind, True, is_first, message.version_info, None, message.response_nonce, error, names
            )
        held_versions = message.initial_resource_versions if is_first else None
        subscribed, unsubscribed = (
            tuple(message.resource_names_subscribe),
            tuple(message.resource_names_unsubscribe),
        )
        return ResourceRequest(
            kind, False, is_first, "", held_versions, message.response_nonce, error, subscribed, unsubscribed
        )

    def set_report_interval(self, interval_s: float) -> None:
        """Sets how often proxies are to send load reports; each learns it with its next response."""
        self._report_interval_s = interval_s

    async def _handle_report(self, connection: Line, http_request: Call) -> Reply:
        wait = self._gate.acquire(monotonic_ticks(), connection.proxy)
        if wait:
            return error_response(429, 8, "too many calls", wait / TICKS_PER_SECOND)
        if self._backend.session_state(connection.proxy) is None:
            return error_response(400, 9, "ask for resources first")
        await self._backend.submit_report(connection.proxy, http_request.body)
        # slows down a proxy that reports far too often: its response is delayed until a report is almost due
        now = monotonic_ticks()
        due = connection.reported_at + round(self._report_interval_s * TICKS_PER_SECOND * 0.75)
        wait = due - now if connection.reported_at >= 0 else 0
        if wait > 0:
            await trio.sleep(min(wait / TICKS_PER_SECOND, MAX_REPORT_DELAY_S))
        connection.reported_at = monotonic_ticks()
        return Reply(
            200,
            [JSON_CONTENT_TYPE],
            encode(forms.LoadStatsResponse(True, f"{self._report_interval_s:.3f}".rstrip("0") + "s")),
        )

    # Responses.

    def _wait(self, request: WaitingRequest) -> Waiting:
        """Lets a request wait, and ends an earlier one of the same session and type."""
        self._end_waiting(request.session, request.kind, "superseded by a later request")
        key = (request.session, request.kind)
        self._waiting[key] = request

        def remove() -> None:
            if self._waiting.get(key) is request:
                del self._waiting[key]
                self._wakeups.discard(key)

        request.waiting = Waiting(lambda is_expired: self._poll(request, is_expired), on_end=remove)
        return request.waiting

    def _poll(self, request: WaitingRequest, is_expired: bool) -> Reply | None:
        if (
            self._backend.is_redirected(request.name)
            or self._backend.discovery_session(request.name) is not request.session
        ):
            return self._draining_response()
        if request.end_reason:
            return Reply(304)
        response = request.session.pending_response(request.kind, request.is_full_state)
        if response is not None:
            return self._encode_update(request, response)
        if is_expired:
            self.expired_waits += 1
            self._backend.record_request(request.name)
        return Reply(304) if is_expired else None

    def _draining_response(self) -> Reply:
        return error_response(503, 14, "this director drains: follow another", self._retry_after_s, True)

    def _end_waiting(self, session: DiscoverySession, kind: str, reason: str) -> None:
        request = self._waiting.pop((session, kind), None)
        if request is not None:
            request.end_reason = reason
            if request.waiting is not None:
                request.waiting.wake.set()

    def _encode_update(self, request: WaitingRequest, response: ResourceResponse) -> Reply:
        """Records the update as sent, since the proxy may run it from now on, and encodes it."""
        request.session.record_sent(request.kind, response)
        self._answered_at[request.session] = monotonic_ticks()
        self._backend.record_delivery(request.name)
        self.answers += 1
        body, encoding = self.bodies.get(*self._body_factory(request, response), request.encoding)
        headers = [JSON_CONTENT_TYPE, (b"content-encoding", encoding)] if encoding else [JSON_CONTENT_TYPE]
        return Reply(200, headers, body)

    def _body_factory(
        self, request: WaitingRequest, response: ResourceResponse
    ) -> tuple[Any, Callable[[], bytes]]:
        """Returns the cache key of a response body, None if no other proxy can share it, and its encoder."""
        resource_set, type_url = response.resource_set, forms.TYPE_URLS[request.kind]
        if response.delta is None:
            bodies = [resource.body for resource in resource_set.resources.values()]
            key: Any = (request.kind, resource_set.version)
            return key, lambda: encode_response(resource_set.version, type_url, response.nonce, bodies)
        delta = response.delta
        changed = [forms.Resource(r.name, r.version, msgspec.Raw(r.body)) for r in delta.changed]
        key = (
            (request.kind, resource_set.version, response.base.version) if response.base is not None else None
        )
        if response.base is None and not delta.removed and len(changed) == len(resource_set.resources):
            key = (request.kind, resource_set.version, "")
        removed = list(delta.removed)
        return key, lambda: encode(
            forms.DeltaDiscoveryResponse(resource_set.version, changed, type_url, removed, response.nonce)
        )

    # Updates.

    def notify_session(self, session: DiscoverySession) -> None:
        """Queues the waiting requests of a session to be woken, as there may be an update for them."""
        for kind in KINDS:
            if (session, kind) in self._waiting:
                self._wakeups.add((session, kind), self._answered_at.get(session, 0))
        if len(self._wakeups):
            self._has_wakeups.set()

    def has_waiting_call(self, session: DiscoverySession) -> bool:
        """Returns whether a request of any resource type waits for an update."""
        return any((session, kind) in self._waiting for kind in KINDS)

    def remove_session(self, session: DiscoverySession) -> None:
        """Wakes the waiting requests of a proxy that has left, so that they end."""
        self.notify_session(session)
        self._answered_at.pop(session, None)

    async def run(self) -> None:
        """Wakes waiting requests until cancelled."""
        while True:
            await self._has_wakeups.wait()
            self._has_wakeups = trio.Event()
            while len(self._wakeups):
                for key in self._wakeups.pop(WAKEUP_BATCH_SIZE):
                    request = self._waiting.get(key)  # type: ignore[call-overload]
                    if request is not None and request.waiting is not None:
                        request.waiting.wake.set()
                await trio.lowlevel.checkpoint()

    def handle_connection_closed(self, connection: Line) -> None:
        """Tells the session that a connection has ended: a response in flight may have arrived or not."""
        state: ConnectionState | None = connection.state
        if state is not None and state.session is not None:
            for kind in state.kinds:
                state.session.handle_connection_lost(kind)

    def __len__(self) -> int:
        return len(self._waiting)

"""The optional HTTP link between controllers.

A packet is the body of a POST request. The response has status 204 if the packet could be decoded; the sender
treats any other status as a failure.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

import trio

from ..web.wire import Call, ClientConnection, ConnectionLostError, Reply, open_connection, serve_connection

HANDOFF_PATH = b"/v3/handoff"
MAX_PACKET_BYTES = 1 << 20
MAX_RESPONSE_BYTES = 4096
MAX_CONNECTIONS = 32  # a new one ends the oldest; peers use one connection for each packet
REQUEST_TIMEOUT_S = 5.0
DEFAULT_PORT = 80


class PeerClient:
    """Sends packets to one peer; the user of this class resends failed packets."""

    def __init__(self, url: str, timeout_seconds: float) -> None:
        """`url` is the base URL of the peer, `timeout_seconds` the timeout of one request."""
        parts = urlsplit(url)
        self._address = parts.hostname or ""
        self._port = parts.port or DEFAULT_PORT
        self._timeout_seconds = timeout_seconds

    async def send(self, packet: bytes) -> bool:
        """Sends a packet; returns whether the peer has accepted it."""
        connection: ClientConnection | None = None
        try:
            with trio.move_on_after(self._timeout_seconds):
                connection = await open_connection(self._address, self._port, self._timeout_seconds)
                response = await connection.request(b"POST", HANDOFF_PATH, [], packet, MAX_RESPONSE_BYTES)
                return response.status == 204
        except ConnectionLostError:
            return False
        finally:
            if connection is not None:
                with trio.CancelScope(shield=True):
                    await connection.close()
        return False


async def serve_peers(
    listen: str,
    accept: Callable[[bytes], Awaitable[bool]],
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves peers until cancelled; the task's start value is the port.

    Args:
        listen: `ADDRESS:PORT`; port 0 binds any free port.
        accept: processes a packet and returns whether it could be decoded.
        task_status: receives the port once the server listens.

    Raises:
        OSError: the address cannot be bound.
    """

    async def handle_request(request: Call) -> Reply | None:
        if request.method != b"POST" or request.target != HANDOFF_PATH:
            return Reply(404)
        return Reply(204 if await accept(request.body) else 400)

    slots = trio.CapacityLimiter(MAX_CONNECTIONS)
    open_connections: dict[trio.CancelScope, None] = {}  # the oldest first

    async def serve(stream: trio.SocketStream) -> None:
        if len(open_connections) >= MAX_CONNECTIONS:
            oldest = next(iter(open_connections))
            del open_connections[oldest]
            oldest.cancel()
        with trio.CancelScope() as scope:
            open_connections[scope] = None
            try:
                async with slots:
                    await serve_connection(stream, handle_request, MAX_PACKET_BYTES, REQUEST_TIMEOUT_S)
            finally:
                open_connections.pop(scope, None)

    address, _, port = listen.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=address)
    task_status.started(listeners[0].socket.getsockname()[1])
    await trio.serve_listeners(serve, listeners)

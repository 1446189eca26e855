"""Connections of the platform server: acceptance and rejection."""

from __future__ import annotations

import socket

import trio

from willowhook.platform.address import Address
from willowhook.platform.connection_server import ConnectionServer


def test_connection_reset_before_it_is_accepted_ends_nothing_else() -> None:
    """As some kernels do: options cannot be set on a connection that was reset in the backlog."""
    accepted, peer = socket.socketpair()

    class ResetSocket(socket.socket):
        def setsockopt(self, *_: object) -> None:
            raise OSError(22, "invalid")

    pending = [ResetSocket(fileno=accepted.detach())]

    class Listener:
        def accept(self) -> tuple[socket.socket, None]:
            if not pending:
                raise BlockingIOError
            return pending.pop(), None

    async def scenario() -> None:
        async with trio.open_nursery() as nursery:
            server = ConnectionServer(Address("127.0.0.1", 0), 99, lambda *_: None, lambda *_: None)
            server._nursery = nursery
            assert server._accept_pending(Listener())  # type: ignore[arg-type]
            assert server.open_count == 0 and peer.recv(1) == b""

    trio.run(scenario)
    peer.close()

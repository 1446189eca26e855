"""Connections of the platform server: acceptance and rejection."""

from __future__ import annotations

import socket

import trio

from willowhook.platform.address import Address
from willowhook.platform.connection import (
    MAX_FIRST_MESSAGE_BYTES,
    MAX_QUEUED_BYTES,
    Connection,
    PeerRole,
)
from willowhook.platform.connection_server import ConnectionServer
from willowhook.platform.fields import Fields
from willowhook.platform.framing import encode_frame
from willowhook.platform.messages import REJECTION


def test_connection_reset_before_it_is_accepted_is_skipped() -> None:
    """Some kernels report only at setsockopt that a connection was reset in the backlog."""
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
            server = ConnectionServer(Address("127.0.0.1", 0), 99, 1 << 20, lambda *_: None, lambda *_: None)
            server._nursery = nursery
            assert server._accept_pending(Listener())  # type: ignore[arg-type]
            assert server.open_count == 0 and peer.recv(1) == b""

    trio.run(scenario)
    peer.close()


class ConnectionHarness:
    """A server with one connection, whose handler identifies the peer if `identifies` is true."""

    def __init__(self, *, identifies: bool) -> None:
        self.identifies = identifies
        self.message_types: list[str] = []
        self.server = ConnectionServer(Address("127.0.0.1", 0), 99, 1 << 20, self.handle, lambda _: None)
        accepted, self.peer = socket.socketpair()
        self.connection = self.server.add_connection(accepted)

    def handle(self, connection: Connection, fields: Fields) -> None:
        self.message_types.append(fields["t"])
        if self.identifies:
            connection.role = PeerRole.COLLECTOR
            self.server.confirm_identity(connection)


def receive_long_message_after_a_short_one(*, identifies: bool) -> ConnectionHarness:
    harnesses: list[ConnectionHarness] = []

    async def main() -> None:
        harness = ConnectionHarness(identifies=identifies)
        harnesses.append(harness)
        short = encode_frame({"t": "short"})
        long = encode_frame({"t": "long", "padding": "x" * MAX_FIRST_MESSAGE_BYTES})
        harness.server.receive(harness.connection, short + long)

    trio.run(main)
    return harnesses[0]


def test_identified_peer_may_send_long_messages() -> None:
    harness = receive_long_message_after_a_short_one(identifies=True)
    assert harness.message_types == ["short", "long"]
    assert harness.connection.is_open and harness.server.rejected_count == 0
    harness.connection.socket.close()
    harness.peer.close()


def test_unidentified_peer_is_rejected_for_a_long_message() -> None:
    harness = receive_long_message_after_a_short_one(identifies=False)
    assert harness.message_types == ["short"]
    assert not harness.connection.is_open
    assert harness.server.rejected_count == 1 and harness.server.open_count == 0
    assert harness.peer.recv(99) == REJECTION and harness.peer.recv(1) == b""
    harness.peer.close()


# Guards against the loss of a peer's own leaving, and against counting it as one of this side.
def test_close_tells_whether_this_side_ended_the_connection() -> None:
    ended_here: list[bool] = []

    async def main() -> None:
        server = ConnectionServer(
            Address("127.0.0.1", 0),
            99,
            1 << 20,
            lambda *_: None,
            lambda each: ended_here.append(each.is_ended_here),
        )
        async with trio.open_nursery() as nursery:
            server._nursery = nursery
            for reads_nothing in (True, False):
                accepted, peer = socket.socketpair()
                accepted.setblocking(False)
                connection = server.add_connection(accepted)
                connection.role = PeerRole.PROXY
                if not reads_nothing:
                    peer.close()
                while connection.is_open:
                    server.send(connection, bytes(MAX_QUEUED_BYTES // 4))
                peer.close()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert ended_here == [True, False]

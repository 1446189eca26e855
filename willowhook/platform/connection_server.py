"""Accepts connections of proxies and collectors, and reads their messages.

A connection is unidentified until its first message identifies the peer. Unidentified connections have a time
limit, and are the first to be closed when the process runs out of file descriptors.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

import trio

from ..errors import WillowhookError
from .address import Address
from .buffer_budget import BufferBudget
from .connection import Connection
from .fields import Fields
from .framing import FramingError
from .messages import REJECTION

RECEIVE_BYTES = 64 << 10  # maximum of one read
IDENTIFICATION_TIMEOUT_S = 2.0
OVERDUE_CHECK_INTERVAL_S = 0.25
OUT_OF_DESCRIPTORS_PAUSE_S = 0.25  # before the next connection is accepted
SEND_BUFFER_BYTES = 64 << 10  # of the kernel, per socket; limits the memory for a peer that does not read
LISTEN_BACKLOG = 1024
MAX_ACCEPTED_PER_TURN = 64  # so that other tasks can run between batches
LONG_MESSAGE_BYTES = 64 << 10  # from here on, messages are decoded one at a time
RESERVED_DESCRIPTORS = 24  # listener, discovery (two while its address changes), event loop, log, spare
OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class IdentificationError(WillowhookError):
    """The first message of a connection does not identify the peer, which is then rejected."""


# A handler rejects the peer by raising FramingError or IdentificationError.
MessageHandler = Callable[[Connection, Fields], None]
CloseHandler = Callable[[Connection], None]  # for identified connections only


class ConnectionServer:
    """Listens at the controller's address and owns the connections that it accepts.

    Args:
        address: the address at which it listens while it serves.
        max_descriptors: the maximum number of file descriptors of the whole process.
        max_buffered_bytes: the maximum that all connections together may hold.
        handle_message: handles each message that is received.
        handle_close: handles the close of each identified connection.

    Attributes:
        open_count: number of open connections.
        rejected_count: number of connections rejected since the start.
    """

    def __init__(
        self,
        address: Address,
        max_descriptors: int,
        max_buffered_bytes: int,
        handle_message: MessageHandler,
        handle_close: CloseHandler,
    ) -> None:
        self._address = address
        self._max_descriptors = max_descriptors
        self._handle_message = handle_message
        self._handle_close = handle_close
        self._budget = BufferBudget(max_buffered_bytes)
        self._long_message_turn = trio.Lock()
        self._connections: dict[Connection, None] = {}
        self._unidentified: dict[Connection, None] = {}  # in the order of acceptance
        self._accepted_count = 0
        self._nursery: trio.Nursery | None = None
        self.open_count = 0
        self.rejected_count = 0

    def set_max_descriptors(self, max_descriptors: int) -> None:
        """Changes the limit, which is checked when a connection is accepted."""
        self._max_descriptors = max_descriptors

    async def serve(self) -> None:
        """Listens until cancelled. Raises OSError if it cannot listen at the address."""
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            listener.bind(self._address)
            listener.listen(LISTEN_BACKLOG)
            listener.setblocking(False)
            async with trio.open_nursery() as self._nursery:
                self._nursery.start_soon(self._reject_overdue_connections)
                while True:
                    await trio.lowlevel.wait_readable(listener)
                    if not self._accept_pending(listener):
                        await trio.sleep(OUT_OF_DESCRIPTORS_PAUSE_S)

    def add_connection(self, sock: socket.socket) -> Connection:
        """Adds the connection of an accepted socket. Its peer is unidentified."""
        self._accepted_count += 1
        connection = Connection(sock, trio.current_time(), self._accepted_count, self._budget)
        self.open_count += 1
        self._connections[connection] = None
        self._unidentified[connection] = None
        return connection

    def send(self, connection: Connection, data: bytes) -> None:
        """Sends without blocking. Closes a connection that has failed or whose peer reads too slowly."""
        if not connection.send(data):
            self.close(connection)
        elif connection.has_queued_bytes and not connection.is_sending_queue:
            assert self._nursery is not None
            connection.is_sending_queue = True
            self._nursery.start_soon(connection.send_queue)
        self._close_largest_over_budget()

    def receive(self, connection: Connection, data: bytes) -> None:
        """Handles the messages that `data` completes; rejects the peer if they cannot be decoded."""
        try:
            for message in connection.decoder.feed(data):
                self._handle_message(connection, message)
                if not connection.is_open:
                    break
        except (FramingError, IdentificationError):
            self.reject(connection)
        connection.count_held_bytes()
        self._close_largest_over_budget()

    def confirm_identity(self, connection: Connection) -> None:
        """Removes the time limit and the message size limit for unidentified peers from a connection."""
        self._unidentified.pop(connection, None)
        connection.allow_long_messages()

    def reject(self, connection: Connection) -> None:
        """Closes a connection, after sending the peer a rejection if possible."""
        if connection.is_open:
            self.rejected_count += 1
            connection.send(REJECTION)
        self.close(connection)

    def close(self, connection: Connection) -> None:
        """Closes a connection, and calls `handle_close` if its peer was identified.

        Does nothing if the connection is closed.
        """
        self._unidentified.pop(connection, None)
        if not connection.is_open:
            return
        self.open_count -= 1
        self._connections.pop(connection, None)
        connection.close()
        if connection.is_identified:
            self._handle_close(connection)

    def _accept_pending(self, listener: socket.socket) -> bool:
        """Accepts pending connections. Returns False if file descriptors or memory have run out."""
        for _ in range(MAX_ACCEPTED_PER_TURN):
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in OUT_OF_RESOURCES:
                    self._reject_oldest_unidentified()
                    return False
                continue  # the peer closed the connection before it was accepted
            try:
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError:  # some kernels report here that a connection was reset in the backlog
                sock.close()
                continue
            self._start_connection(sock)
        return True

    def _start_connection(self, sock: socket.socket) -> None:
        assert self._nursery is not None
        connection = self.add_connection(sock)
        if self.open_count + RESERVED_DESCRIPTORS > self._max_descriptors:
            self._reject_oldest_unidentified()
        if connection.is_open:
            self._nursery.start_soon(self._read, connection)

    def _reject_oldest_unidentified(self) -> None:
        oldest = next(iter(self._unidentified), None)
        if oldest is not None:
            self.reject(oldest)

    def _close_largest_over_budget(self) -> None:
        """Closes the connections that hold most, while all together hold more than they may."""
        while self._budget.is_exceeded:
            largest = max(self._connections, key=lambda connection: connection.held_bytes)
            largest.is_ended_here = True
            self.rejected_count += 1
            self.close(largest)

    async def _receive_in_turn(self, connection: Connection, data: bytes) -> None:
        """As `receive`; of long messages, whose decoding takes long, one is decoded between other tasks."""
        if connection.decoder.buffered_bytes < LONG_MESSAGE_BYTES:
            self.receive(connection, data)
            return
        async with self._long_message_turn:
            if connection.is_open:
                self.receive(connection, data)
            await trio.lowlevel.checkpoint()

    async def _read(self, connection: Connection) -> None:
        while connection.is_open:
            try:
                await trio.lowlevel.wait_readable(connection.socket)
                data = connection.socket.recv(RECEIVE_BYTES)
            except (BlockingIOError, InterruptedError):
                continue
            except (OSError, trio.ClosedResourceError):
                break
            if not data:
                break
            await self._receive_in_turn(connection, data)
        self.close(connection)

    async def _reject_overdue_connections(self) -> None:
        """Rejects connections that are not identified within the time limit, until cancelled."""
        while True:
            await trio.sleep(OVERDUE_CHECK_INTERVAL_S)
            deadline = trio.current_time() - IDENTIFICATION_TIMEOUT_S
            overdue = [connection for connection in self._unidentified if connection.accepted_at < deadline]
            for connection in overdue:
                self.reject(connection)

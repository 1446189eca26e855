"""One TCP connection of a proxy or a collector: its identity, its decoder and its queue of unsent bytes.

Sockets are non-blocking and are written to as soon as a message is encoded, so no message waits for a slow
proxy. Bytes that the kernel does not accept immediately are queued here and sent by a separate task of the
connection.
"""

from __future__ import annotations

import socket
from collections import deque
from enum import Enum

import trio

from .buffer_budget import BufferBudget
from .framing import MAX_MESSAGE_BYTES, FrameDecoder

MAX_FIRST_MESSAGE_BYTES = 4 << 10  # until the peer is identified; join messages are short
MAX_QUEUED_BYTES = 256 << 10  # for a peer that does not read, in addition to the kernel's send buffer


class PeerRole(Enum):
    """The role with which a peer has identified itself."""

    PROXY = "proxy"
    COLLECTOR = "collector"


class Connection:
    """A connection, from when it is accepted until it is closed.

    Args:
        sock: the accepted socket, which is non-blocking; the connection closes it.
        accepted_at: the time of acceptance, in seconds of trio's clock.
        sequence_number: the number of connections accepted so far; a later connection has a higher number.
        budget: counts what all connections hold.

    Attributes:
        socket: the argument `sock`.
        accepted_at: as given.
        sequence_number: as given.
        role: the role with which the peer has identified itself; None if it has not.
        proxy: the number of the proxy, if `role` is PROXY; else None.
        is_open: whether the connection has not been closed with `close`.
        is_ended_here: whether it is closed for a reason of this side: the session is ended, or too much is
            queued; else the peer, or the path to it, has failed.
        is_sending_queue: whether a task is running `send_queue`.
        decoder: decodes the bytes that the peer sends.
    """

    def __init__(
        self, sock: socket.socket, accepted_at: float, sequence_number: int, budget: BufferBudget
    ) -> None:
        self.socket = sock
        self.accepted_at = accepted_at
        self.sequence_number = sequence_number
        self.role: PeerRole | None = None
        self.proxy: int | None = None
        self.is_open = True
        self.is_ended_here = False
        self.is_sending_queue = False
        self.decoder = FrameDecoder(MAX_FIRST_MESSAGE_BYTES)
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._budget = budget
        self._counted_bytes = 0

    @property
    def is_identified(self) -> bool:
        """Whether the peer has identified itself."""
        return self.role is not None

    @property
    def has_queued_bytes(self) -> bool:
        """Whether bytes are queued until the kernel accepts them."""
        return bool(self._queue)

    @property
    def held_bytes(self) -> int:
        """The bytes of an incomplete message, and those that are queued."""
        return self._queued_bytes + self.decoder.buffered_bytes if self.is_open else 0

    def count_held_bytes(self) -> None:
        """Counts in the budget what the connection holds now."""
        held_bytes = self.held_bytes
        self._budget.change(held_bytes - self._counted_bytes)
        self._counted_bytes = held_bytes

    def allow_long_messages(self) -> None:
        """Replaces the message size limit for unidentified peers by that of the protocol."""
        self.decoder.max_message_bytes = MAX_MESSAGE_BYTES

    def send(self, data: bytes) -> bool:
        """Sends the bytes that the kernel accepts immediately, and queues the rest.

        Returns whether the connection can still be used; False if it has failed or too many bytes are queued.
        """
        if not self.is_open:
            return False
        if not self._queue:
            try:
                sent_bytes = self._send_now(data)
            except OSError:
                return False
            if sent_bytes == len(data):
                return True
            data = data[sent_bytes:]
        self._queue.append(data)
        self._queued_bytes += len(data)
        self.count_held_bytes()
        self.is_ended_here = self._queued_bytes > MAX_QUEUED_BYTES
        return not self.is_ended_here

    async def send_queue(self) -> None:
        """Sends the queued bytes as the kernel accepts them, until none is left or the connection ends."""
        try:
            while self._queue and self.is_open:
                await trio.lowlevel.wait_writable(self.socket)
                if not self._queue:
                    break  # the connection was closed after this task was woken and before it ran
                self._send_queue_head()
        except (OSError, trio.ClosedResourceError):
            pass  # the task that reads from the connection detects the failure too, and closes it
        finally:
            self.is_sending_queue = False

    def close(self) -> None:
        """Closes the socket and discards the queued bytes. Does nothing if the connection is closed."""
        if self.is_open:
            self.is_open = False
            trio.lowlevel.notify_closing(self.socket)
            self.socket.close()
            self._queue.clear()
            self.count_held_bytes()

    def _send_queue_head(self) -> None:
        data = self._queue.popleft()
        self._queued_bytes -= len(data)
        sent_bytes = self._send_now(data)
        if sent_bytes < len(data):
            self._queue.appendleft(data[sent_bytes:])
            self._queued_bytes += len(data) - sent_bytes
        self.count_held_bytes()

    def _send_now(self, data: bytes) -> int:
        """Returns the number of bytes that the kernel accepted. Raises OSError if the connection failed."""
        try:
            return self.socket.send(data)
        except BlockingIOError:
            return 0

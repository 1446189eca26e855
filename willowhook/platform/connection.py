"""One TCP connection of a proxy or a collector: its identity, its decoder and its queue of unsent bytes.

Sockets do not block and are written to where a message is made: no message waits for a slow proxy. What the
kernel does not take at once is queued here, and a task of the connection's own sends it.
"""

from __future__ import annotations

import socket
from collections import deque

import trio

from .framing import MAX_MESSAGE_BYTES, FrameDecoder

MAX_FIRST_MESSAGE_BYTES = 4 << 10  # until the peer is identified: messages that join are short
MAX_QUEUED_BYTES = 256 << 10  # for a peer that reads nothing, behind the kernel's own buffer


class Connection:
    """A connection, from its acceptance to its close.

    Attributes:
        socket: not blocking.
        accepted_at: in seconds of trio's clock.
        sequence_number: counts accepted connections; a later one has a higher number.
        proxy: the number of the proxy whose session it carries; None: it is no proxy's, or not identified.
        zone: of the collector that it belongs to; empty: it is no collector's, or not identified.
        is_open: whether it has not been closed on this side.
        is_sending_queue: whether a task is running `send_queue`.
        decoder: of what the peer sends.
    """

    def __init__(self, sock: socket.socket, accepted_at: float, sequence_number: int) -> None:
        """Takes over a socket that does not block."""
        self.socket = sock
        self.accepted_at = accepted_at
        self.sequence_number = sequence_number
        self.proxy: int | None = None
        self.zone = ""
        self.is_open = True
        self.is_sending_queue = False
        self.decoder = FrameDecoder(MAX_FIRST_MESSAGE_BYTES)
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0

    @property
    def is_identified(self) -> bool:
        """Whether the peer has said who it is."""
        return self.proxy is not None or bool(self.zone)

    @property
    def has_queued_bytes(self) -> bool:
        """Whether bytes wait for the kernel to take them."""
        return bool(self._queue)

    def allow_long_messages(self) -> None:
        """Lifts the limit for peers that are not identified."""
        self.decoder.max_message_bytes = MAX_MESSAGE_BYTES

    def send(self, data: bytes) -> bool:
        """Sends what the kernel takes now and queues the rest.

        Returns whether the connection is of further use; if not, it failed or too many bytes are queued.
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
        return self._queued_bytes <= MAX_QUEUED_BYTES

    async def send_queue(self) -> None:
        """Sends what is queued as the kernel takes it; ends when nothing is, or the connection has ended."""
        try:
            while self._queue and self.is_open:
                await trio.lowlevel.wait_writable(self.socket)
                if not self._queue:
                    break  # closed between the wake-up of this task and its turn
                self._send_queue_head()
        except (OSError, trio.ClosedResourceError):
            pass  # the task that reads the connection meets the fault as well, and closes it
        finally:
            self.is_sending_queue = False

    def close(self) -> None:
        """Closes the socket and drops what is queued. Does nothing if it is closed."""
        if self.is_open:
            self.is_open = False
            trio.lowlevel.notify_closing(self.socket)
            self.socket.close()
            self._queue.clear()

    def _send_queue_head(self) -> None:
        data = self._queue.popleft()
        self._queued_bytes -= len(data)
        sent_bytes = self._send_now(data)
        if sent_bytes < len(data):
            self._queue.appendleft(data[sent_bytes:])
            self._queued_bytes += len(data) - sent_bytes

    def _send_now(self, data: bytes) -> int:
        """The number of bytes that the kernel took. Raises OSError if the connection has failed."""
        try:
            return self.socket.send(data)
        except BlockingIOError:
            return 0

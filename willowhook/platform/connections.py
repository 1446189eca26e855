"""Connections at the director's address: who speaks, what is read of it, and what waits to be sent.

Sockets are not blocking and are sent to where the order is given: no send waits for a slow proxy.  What a
kernel does not take at once waits in a queue of its own link, which a task empties.
"""

from __future__ import annotations

import errno
import socket
from collections import deque
from collections.abc import Callable

import trio

from .fields import Fields
from .framing import MAX_MESSAGE_BYTES, FrameDecoder, FramingError
from .messages import REJECTION

CHUNK = 64 << 10  # read at one go: half of what may be left unread
FIRST_MOST = 4096  # bytes of a message before it is known who speaks: joinings are short
FIRST_S, LOOK_S = (
    2.0,
    0.25,
)  # time to join, after which a stranger is owed a close; between looks at who has not
WAITING_MOST = 256 << 10  # bytes that may wait for a proxy that reads nothing, behind the kernel's own
KERNEL_BYTES = 64 << 10  # of each socket's sending side, so that silent ones cost little memory
BACKLOG, TURN = 1024, 64  # connections that wait to be taken; taken at one go
OWN = 24  # descriptors for other than links: listener, discovery (two while it moves), polls, logs, spare


class Link:
    """One connection.  `proxy` is -1 and `zone` empty until it is known who speaks."""

    def __init__(self, sock: socket.socket, since: float, turn: int) -> None:
        self.sock, self.since, self.turn = sock, since, turn  # the how-manieth that was taken
        self.proxy, self.zone, self.open = -1, "", True
        self.decoder = FrameDecoder(FIRST_MOST)
        self._waiting: deque[bytes] = deque()
        self._bytes = 0
        self.flushing = False

    @property
    def known(self) -> bool:
        return self.proxy >= 0 or bool(self.zone)

    def put(self, data: bytes) -> bool:
        """Sends, or queues what the kernel does not take; False if the link is of no more use."""
        if not self.open:
            return False
        if not self._waiting:
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                return False
            if sent == len(data):
                return True
            data = data[sent:]
        self._waiting.append(data)
        self._bytes += len(data)
        return self._bytes <= WAITING_MOST

    @property
    def waiting(self) -> bool:
        return bool(self._waiting)

    async def flush(self) -> None:
        """Sends what waits, as the kernel takes it; ends when nothing waits or the link has ended."""
        try:
            while self._waiting and self.open:
                await trio.lowlevel.wait_writable(self.sock)
                if not self._waiting:
                    break  # it was closed after it had become writable, before its turn here
                data = self._waiting.popleft()
                self._bytes -= len(data)
                try:
                    sent = self.sock.send(data)
                except BlockingIOError:
                    sent = 0
                if sent < len(data):
                    self._waiting.appendleft(data[sent:])
                    self._bytes += len(data) - sent
        except (OSError, trio.ClosedResourceError):
            pass  # its reader finds it broken
        finally:
            self.flushing = False

    def close(self) -> None:
        if self.open:
            self.open = False
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()
            self._waiting.clear()


class Links:
    """`heard` is called for each message, and may raise FramingError; `ended` when a known link ended."""

    def __init__(
        self, address: tuple[str, int], sockets: int,
        heard: Callable[[Link, Fields], None], ended: Callable[[Link], None],
    ) -> None:  # fmt: skip
        self._address, self._sockets = address, sockets
        self._heard, self._ended = heard, ended
        self._strangers: dict[Link, None] = {}  # who has not said who it is, the oldest first
        self.held, self._turn = 0, 0  # links that are open; that were ever taken
        self.turned_away = 0
        self._nursery: trio.Nursery | None = None

    def limit(self, sockets: int) -> None:
        self._sockets = sockets

    async def serve(self) -> None:
        """Listens until cancelled.  Raises OSError if the address cannot be had."""
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BYTES)
            listener.bind(self._address)
            listener.listen(BACKLOG)
            listener.setblocking(False)
            async with trio.open_nursery() as self._nursery:
                self._nursery.start_soon(self._look)
                while True:
                    await trio.lowlevel.wait_readable(listener)
                    if not self._accept(listener):
                        await trio.sleep(LOOK_S)

    def _accept(self, listener: socket.socket) -> bool:
        """Takes who waits; False if descriptors have run out."""
        assert self._nursery is not None
        for _ in range(TURN):
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return True
            except OSError as fault:
                if fault.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self._make_room()
                    return False
                continue  # it was gone before it was taken
            try:
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError:  # reset before it was taken: it concerns nobody else
                sock.close()
                continue
            self._turn += 1
            link = Link(sock, trio.current_time(), self._turn)
            self.held += 1
            self._strangers[link] = None
            if self.held + OWN > self._sockets:
                self._make_room()
            if link.open:
                self._nursery.start_soon(self._read, link)
        return True

    def _make_room(self) -> None:
        """Lets go of who has waited longest without saying who it is."""
        oldest = next(iter(self._strangers), None)
        if oldest is not None:
            self.turn_away(oldest)

    def turn_away(self, link: Link) -> None:
        if link.open:
            self.turned_away += 1
            link.put(REJECTION)
        self.end(link)

    def end(self, link: Link) -> None:
        """Closes it, and says so where it was known who spoke."""
        self._strangers.pop(link, None)
        if link.open:
            self.held -= 1
            link.close()
            if link.known:
                self._ended(link)

    def meet(self, link: Link) -> None:
        """It is known now who speaks."""
        self._strangers.pop(link, None)
        link.decoder.max_message_bytes = MAX_MESSAGE_BYTES

    def send(self, link: Link, data: bytes) -> None:
        if not link.put(data):
            self.end(link)
        elif link.waiting and not link.flushing:
            assert self._nursery is not None
            link.flushing = True
            self._nursery.start_soon(link.flush)

    async def _read(self, link: Link) -> None:
        while link.open:
            try:
                await trio.lowlevel.wait_readable(link.sock)
                data = link.sock.recv(CHUNK)
            except (BlockingIOError, InterruptedError):
                continue
            except (OSError, trio.ClosedResourceError):
                break
            if not data:
                break
            try:
                for message in link.decoder.feed(data):
                    self._heard(link, message)
                    if not link.open:
                        break
            except FramingError:
                self.turn_away(link)
        self.end(link)

    async def _look(self) -> None:
        while True:
            await trio.sleep(LOOK_S)
            late = trio.current_time() - FIRST_S
            for link in [link for link in self._strangers if link.since < late]:
                self.turn_away(link)

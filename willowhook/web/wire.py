"""One HTTP/1.1 connection, as the caller or as the one who answers; one call on it at a time."""

from __future__ import annotations

import math
import select
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import h11
import trio

from ..errors import WillowhookError

Header = tuple[bytes, bytes]
Headers = list[Header]
MOST_BODY = 16 << 20  # bytes of a body, unless a caller says otherwise
CHUNK = 64 << 10  # bytes per read


class ConnectionLostError(WillowhookError):
    """The connection ended or spoke no HTTP.

    Args:
        text: what happened.
        sent: as the attribute.

    Attributes:
        sent: whether the call may have reached the other side.
    """

    def __init__(self, text: str, sent: bool) -> None:
        super().__init__(text)
        self.sent = sent


@dataclass(slots=True)
class Call:
    """A request, complete with its body; names of headers are in lower case."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes = b""


@dataclass(slots=True)
class Reply:
    """A response, complete with its body.

    Attributes:
        status: the status code.
        headers: names in lower case; those of the body's length are added as it is sent.
        body: of at most as many bytes as its reader allows.
        close: whether the connection ends after it, when it is sent.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    close: bool = False

    def header(self, name: bytes) -> bytes | None:
        """The value of the first header of this name."""
        return next((value for key, value in self.headers if key == name), None)


class ClientConnection:
    """Makes calls, one after the other. After `Broken` or a cancelled call it is of no more use.

    Args:
        stream: the connection, which the caller closes.
        host: the value of the Host header.

    Attributes:
        usable: whether another call can be made on this connection.
    """

    def __init__(self, stream: trio.abc.Stream, host: bytes) -> None:
        self._stream = stream
        self._host = host
        self._wire = h11.Connection(h11.CLIENT)
        self.usable = True

    async def request(
        self,
        method: bytes,
        target: bytes,
        headers: Sequence[Header] = (),
        body: bytes = b"",
        max_body_bytes: int = MOST_BODY,
        on_sent: Callable[[], None] = lambda: None,
    ) -> Reply:
        """Makes a call and returns its response.

        Args:
            method: of the request.
            target: of the request.
            headers: besides those of the host and the body's length.
            body: of the request.
            most: bytes that the response's body may have.
            gone_out: is called when the whole request has been handed to the kernel.

        Raises:
            Broken: if the connection ends, the other side speaks no HTTP, or its body is too long.
        """
        self.usable = False
        sent = False
        try:
            data = self._encode_request(method, target, headers, body)
            sent = True
            await self._stream.send_all(data)
            on_sent()
            reply = await self._receive_reply(max_body_bytes)
            if self._wire.our_state is h11.DONE and self._wire.their_state is h11.DONE:
                self._wire.start_next_cycle()
                self.usable = True
            return reply
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError) as error:
            raise ConnectionLostError(f"{type(error).__name__}: {error}", sent) from error

    def is_open(self) -> bool:
        """Whether the other side has left the connection open, as far as this side has heard."""
        if not isinstance(self._stream, trio.SocketStream):
            return True
        try:  # readable while no call is out: it was closed, or what came belongs to no call
            poll = select.poll()
            poll.register(self._stream.socket.fileno(), select.POLLIN | select.POLLHUP)
            return not poll.poll(0)
        except (OSError, ValueError):
            return False

    async def close(self) -> None:
        """Closes the connection without waiting for the other side."""
        self.usable = False
        await trio.aclose_forcefully(self._stream)

    def _encode_request(self, method: bytes, target: bytes, headers: Sequence[Header], body: bytes) -> bytes:
        all_headers = [(b"host", self._host), *headers]
        if body or method in (b"POST", b"PUT"):
            all_headers.append((b"content-length", b"%d" % len(body)))
        return _encode_message(
            self._wire, h11.Request(method=method, target=target, headers=all_headers), body
        )

    async def _receive_reply(self, most: int) -> Reply:
        reply = Reply(0)
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._wire.next_event()
            if event is h11.NEED_DATA:
                self._wire.receive_data(await self._stream.receive_some(CHUNK))
            elif isinstance(event, h11.Response):
                reply = Reply(event.status_code, list(event.headers))
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > most:
                    raise ConnectionLostError(f"an answer of over {most} bytes", True)
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                reply.body = b"".join(parts)
                return reply
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionLostError("closed before an answer", True)


async def open_connection(address: str, port: int, timeout_seconds: float = math.inf) -> ClientConnection:
    """Connects to `address:port`.

    Raises `Broken`, with nothing sent, if there is no connection within `patience` seconds.
    """
    try:
        with trio.fail_after(timeout_seconds):
            stream = await trio.open_tcp_stream(address, port)
    except (OSError, trio.TooSlowError) as error:
        raise ConnectionLostError(f"no connection: {type(error).__name__}: {error}", False) from error
    stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
    return ClientConnection(stream, f"{address}:{port}".encode())


Answer = Callable[[Call], Awaitable[Reply | None]]


async def serve_connection(stream: trio.abc.Stream, answer: Answer, most: int = MOST_BODY) -> None:
    """Answers the calls on a connection until the other side is done, and closes it.

    Args:
        stream: of the connection.
        answer: makes the response to a call; None closes the connection without one.
        most: bytes that a call's body may have; a longer one closes the connection.
    """
    wire = h11.Connection(h11.SERVER)
    try:
        while True:
            call = await _receive_call(stream, wire, most)
            reply = await answer(call) if call is not None else None
            if reply is None:
                return
            await stream.send_all(_encode_reply(wire, reply))
            if wire.our_state is h11.MUST_CLOSE or wire.their_state is not h11.DONE:
                return
            wire.start_next_cycle()
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
        return  # the other side broke off or spoke no HTTP: there is nobody to answer
    finally:
        await trio.aclose_forcefully(stream)


async def _receive_call(stream: trio.abc.Stream, wire: h11.Connection, most: int) -> Call | None:
    """The next call; None if the other side has closed the connection, or the body is too long."""
    call = Call(b"", b"", {})
    parts: list[bytes] = []
    size = 0
    while True:
        event = wire.next_event()
        if event is h11.NEED_DATA:
            wire.receive_data(await stream.receive_some(CHUNK))
        elif isinstance(event, h11.Request):
            call = Call(event.method, event.target, dict(event.headers))
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size > most:
                return None
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            call.body = b"".join(parts)
            return call
        else:
            return None


def _encode_reply(wire: h11.Connection, reply: Reply) -> bytes:
    length = (b"content-length", b"%d" % len(reply.body))
    close = [(b"connection", b"close")] if reply.close else []
    head = h11.Response(status_code=reply.status, headers=[*reply.headers, length, *close])
    return _encode_message(wire, head, reply.body)


def _encode_message(wire: h11.Connection, head: h11.Request | h11.Response, body: bytes) -> bytes:
    data = wire.send(head) or b""
    if body:
        data += wire.send(h11.Data(data=body)) or b""
    return data + (wire.send(h11.EndOfMessage()) or b"")

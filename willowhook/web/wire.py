"""HTTP/1.1 connections of a client and of a server, each with one request at a time."""

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
MAX_BODY_BYTES = 16 << 20  # the default limit of a message body
READ_SIZE_BYTES = 64 << 10


class ConnectionLostError(WillowhookError):
    """The connection ended, or the peer does not speak HTTP.

    Args:
        text: what happened.
        sent: as the attribute.

    Attributes:
        sent: whether the request may have reached the server.
    """

    def __init__(self, text: str, sent: bool) -> None:
        super().__init__(text)
        self.sent = sent


@dataclass(slots=True)
class Call:
    """A request, complete with its body; header names are in lower case."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes = b""


@dataclass(slots=True)
class Reply:
    """A response, complete with its body.

    Attributes:
        status: the status code.
        headers: with names in lower case; the content-length header is added when the response is sent.
        body: no longer than the limit of the client that received it.
        close: whether the server closes the connection after this response.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    close: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of the first header with this name."""
        return next((value for key, value in self.headers if key == name), None)


class ClientConnection:
    """Sends requests one after the other.

    After `ConnectionLostError` or a cancelled request the connection cannot be used again.

    Args:
        stream: the open stream, which this connection owns and closes.
        host: the value of the Host header.

    Attributes:
        usable: whether another request can be sent on this connection.
    """

    def __init__(self, stream: trio.abc.Stream, host: bytes) -> None:
        self._stream = stream
        self._host = host
        self._protocol = h11.Connection(h11.CLIENT)
        self.usable = True

    async def request(
        self,
        method: bytes,
        target: bytes,
        headers: Sequence[Header] = (),
        body: bytes = b"",
        max_body_bytes: int = MAX_BODY_BYTES,
        on_sent: Callable[[], None] = lambda: None,
    ) -> Reply:
        """Sends a request and returns its response.

        Args:
            method: the request method.
            target: the request target.
            headers: the headers besides Host and Content-Length.
            body: the request body.
            max_body_bytes: the limit of the response body.
            on_sent: called when the whole request has been handed to the kernel.

        Raises:
            ConnectionLostError: the connection ended, the server does not speak HTTP, or the response body is
                over the limit.
        """
        self.usable = False
        sent = False
        try:
            data = self._encode_request(method, target, headers, body)
            sent = True
            await self._stream.send_all(data)
            on_sent()
            response = await self._receive_response(max_body_bytes)
            if self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE:
                self._protocol.start_next_cycle()
                self.usable = True
            return response
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError) as error:
            raise ConnectionLostError(f"{type(error).__name__}: {error}", sent) from error

    def is_open(self) -> bool:
        """Returns whether the idle connection is still open, as far as this side knows."""
        if not isinstance(self._stream, trio.SocketStream):
            return True
        try:  # readable without an outstanding request: closed by the server, or it sent unrequested data
            poll = select.poll()
            poll.register(self._stream.socket.fileno(), select.POLLIN | select.POLLHUP)
            return not poll.poll(0)
        except (OSError, ValueError):
            return False

    async def close(self) -> None:
        """Closes the connection without waiting for the server."""
        self.usable = False
        await trio.aclose_forcefully(self._stream)

    def _encode_request(self, method: bytes, target: bytes, headers: Sequence[Header], body: bytes) -> bytes:
        all_headers = [(b"host", self._host), *headers]
        if body or method in (b"POST", b"PUT"):
            all_headers.append((b"content-length", b"%d" % len(body)))
        return _encode_message(
            self._protocol, h11.Request(method=method, target=target, headers=all_headers), body
        )

    async def _receive_response(self, max_body_bytes: int) -> Reply:
        response = Reply(0)
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                self._protocol.receive_data(await self._stream.receive_some(READ_SIZE_BYTES))
            elif isinstance(event, h11.Response):
                response = Reply(event.status_code, list(event.headers))
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > max_body_bytes:
                    raise ConnectionLostError(f"response body is over {max_body_bytes} bytes", True)
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                response.body = b"".join(parts)
                return response
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionLostError("connection closed before a response", True)


async def open_connection(address: str, port: int, timeout_seconds: float = math.inf) -> ClientConnection:
    """Connects to `address:port`.

    Raises `ConnectionLostError`, with nothing sent, if there is no connection within `timeout_seconds`.
    """
    try:
        with trio.fail_after(timeout_seconds):
            stream = await trio.open_tcp_stream(address, port)
    except (OSError, trio.TooSlowError) as error:
        raise ConnectionLostError(f"cannot connect: {type(error).__name__}: {error}", False) from error
    stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
    return ClientConnection(stream, f"{address}:{port}".encode())


RequestHandler = Callable[[Call], Awaitable[Reply | None]]


async def serve_connection(
    stream: trio.abc.Stream,
    answer: RequestHandler,
    max_body_bytes: int = MAX_BODY_BYTES,
    request_timeout_s: float = math.inf,
) -> None:
    """Answers the requests on a connection until the client closes it, then closes the stream.

    Args:
        stream: the stream of the connection.
        answer: returns the response to a request, or None to close the connection without a response.
        max_body_bytes: the limit of a request body; a longer one closes the connection.
        request_timeout_s: the time within which a request has to be complete; a later one closes the
            connection.
    """
    protocol = h11.Connection(h11.SERVER)
    try:
        while True:
            request = None
            with trio.move_on_after(request_timeout_s):
                request = await _receive_request(stream, protocol, max_body_bytes)
            response = await answer(request) if request is not None else None
            if response is None:
                return
            await stream.send_all(_encode_response(protocol, response))
            if protocol.our_state is h11.MUST_CLOSE or protocol.their_state is not h11.DONE:
                return
            protocol.start_next_cycle()
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
        return  # the client disconnected or does not speak HTTP, so no response can be sent
    finally:
        await trio.aclose_forcefully(stream)


async def _receive_request(
    stream: trio.abc.Stream, protocol: h11.Connection, max_body_bytes: int
) -> Call | None:
    """Returns the next request, or None if the client closed the connection or the body is over the limit."""
    request = Call(b"", b"", {})
    parts: list[bytes] = []
    size = 0
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(READ_SIZE_BYTES))
        elif isinstance(event, h11.Request):
            request = Call(event.method, event.target, dict(event.headers))
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size > max_body_bytes:
                return None
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            request.body = b"".join(parts)
            return request
        else:
            return None


def _encode_response(protocol: h11.Connection, response: Reply) -> bytes:
    length = (b"content-length", b"%d" % len(response.body))
    close = [(b"connection", b"close")] if response.close else []
    header = h11.Response(status_code=response.status, headers=[*response.headers, length, *close])
    return _encode_message(protocol, header, response.body)


def _encode_message(protocol: h11.Connection, header: h11.Request | h11.Response, body: bytes) -> bytes:
    data = protocol.send(header) or b""
    if body:
        data += protocol.send(h11.Data(data=body)) or b""
    return data + (protocol.send(h11.EndOfMessage()) or b"")

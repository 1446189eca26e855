"""The HTTP/1.1 server of the proxies' connections, with limits against slow, silent and flooding clients."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import h11
import trio

from ..web.wire import Call, Reply
from .limits import Gate

READ_SIZE_BYTES = 65536
MAX_BUFFERED_BODIES = 32  # of the longest, in all incomplete requests together


@dataclass(slots=True)
class Waiting:
    """A request that waits until there is an update to send.

    Attributes:
        poll: returns the response, or None if there is none yet; `poll(True)`, at the end of the wait, always
            returns one.
        wake: set when there may be a response.
        on_end: called when the request no longer waits.
    """

    poll: Callable[[bool], Reply | None]
    wake: trio.Event = field(default_factory=trio.Event)
    on_end: Callable[[], None] = lambda: None


@dataclass(slots=True, eq=False)
class Line:
    """The state of one connection.

    Attributes:
        peer: the address of the client.
        proxy: the name of the proxy, empty until a request has named it.
        state: the state of the protocol that the handler implements.
        calls: the requests so far.
        reported_at: the tick at which the last load report was answered, -1 if there was none.
    """

    peer: object = None
    proxy: str = ""
    state: Any = None
    calls: int = 0
    reported_at: int = -1


@dataclass(frozen=True, slots=True)
class Timeouts:
    """The timeouts of a connection, in seconds.

    Attributes:
        header: from the first byte of a request to its end.
        write: for sending a response.
        idle: without a request.
        wait: for a response to a request that waits.
    """

    header: float
    write: float
    idle: float
    wait: float


Handler = Callable[[Line, Call], Awaitable[Reply | Waiting]]


def error_response(
    status: int, code: int, message: str, retry_after_s: float = 0.0, close: bool = False
) -> Reply:
    """Returns an error as a `google.rpc.Status`, with a Retry-After header if `retry_after_s` is above 0."""
    body = b'{"code":%d,"message":"%s"}' % (code, message.encode().replace(b'"', b"'"))
    headers = [(b"content-type", b"application/json")]
    if retry_after_s > 0:
        headers.append((b"retry-after", b"%d" % max(1, round(retry_after_s))))
    return Reply(status, headers, body, close)


class Server:
    """Serves connections within the limits and timeouts.

    Attributes:
        gate: the limits on connections.
        timeouts: the timeouts of each connection.
        max_body_bytes: the limit of a request body.
        handler: returns the response to a request, or a `Waiting` if there is none yet.
        on_closed: called when a connection has ended.
        slow_readers: the connections closed because the client did not read a response in time.
        late_requests: the requests that did not arrive completely in time.
        rejected_requests: the requests rejected as malformed, too long or late.
        buffered_bytes: the bytes of the bodies of incomplete requests.
        peak_buffered_bytes: the most of them at one time.
    """

    def __init__(
        self,
        gate: Gate,
        timeouts: Timeouts,
        max_body_bytes: int,
        handler: Handler,
        on_closed: Callable[[Line], None],
    ) -> None:
        self.gate, self.timeouts, self.max_body_bytes = gate, timeouts, max_body_bytes
        self.handler, self.on_closed = handler, on_closed
        self.slow_readers = self.late_requests = self.rejected_requests = 0
        self.buffered_bytes = self.peak_buffered_bytes = 0

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serves one connection until it ends, and closes it."""
        connection = Line(getattr(getattr(stream, "socket", None), "getpeername", lambda: None)())
        protocol = h11.Connection(h11.SERVER)
        if not self.gate.try_open():
            try:
                await self._send(stream, protocol, error_response(503, 14, "too many connections", 1, True))
            except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
                pass  # the client disconnected before the response
            finally:
                await trio.aclose_forcefully(stream)
            return
        try:
            while await self._serve_request(stream, protocol, connection):
                protocol.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            return  # the client disconnected, so no response can be sent
        finally:
            self.gate.release(connection.proxy)
            self.on_closed(connection)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _serve_request(
        self, stream: trio.abc.Stream, protocol: h11.Connection, connection: Line
    ) -> bool:
        """Receives and answers one request; returns whether another may follow on the connection."""
        request = await self._receive_request(stream, protocol)
        if request is None:
            return False
        if isinstance(request, Reply):
            self.rejected_requests += 1
            await self._send(stream, protocol, request)
            return False
        connection.calls += 1
        response = await self.handler(connection, request)
        if isinstance(response, Waiting):
            try:
                late_response = await self._wait(stream, protocol, response)
            finally:
                response.on_end()
            if late_response is None:
                return False
            response = late_response
        if not await self._send(stream, protocol, response):
            return False
        return protocol.our_state is h11.DONE and protocol.their_state is h11.DONE

    async def _receive_request(
        self, stream: trio.abc.Stream, protocol: h11.Connection
    ) -> Call | Reply | None:
        """Returns the next request; the error response to a bad one; None if the client is done."""
        parts: list[bytes] = []
        try:
            return await self._receive_parts(stream, protocol, parts)
        finally:
            self.buffered_bytes -= sum(map(len, parts))

    def _buffer_part(self, parts: list[bytes], part: bytes) -> bool:
        """Keeps a part of a body; returns False if all incomplete requests hold too much."""
        parts.append(part)
        self.buffered_bytes += len(part)
        self.peak_buffered_bytes = max(self.peak_buffered_bytes, self.buffered_bytes)
        return self.buffered_bytes <= MAX_BUFFERED_BODIES * self.max_body_bytes

    async def _receive_parts(
        self, stream: trio.abc.Stream, protocol: h11.Connection, parts: list[bytes]
    ) -> Call | Reply | None:
        request, size, has_begun = Call(b"", b"", {}), 0, False
        with trio.CancelScope(deadline=trio.current_time() + self.timeouts.idle) as scope:
            try:
                while True:
                    event = protocol.next_event()
                    if event is h11.NEED_DATA:
                        if has_begun and protocol.they_are_waiting_for_100_continue:
                            continue_response = h11.InformationalResponse(status_code=100, headers=[])
                            await stream.send_all(protocol.send(continue_response) or b"")
                        data = await stream.receive_some(READ_SIZE_BYTES)
                        if not has_begun and data:
                            has_begun = True
                            scope.deadline = trio.current_time() + self.timeouts.header
                        protocol.receive_data(data)
                    elif isinstance(event, h11.Request):
                        if not has_begun:  # it was received while the previous request waited
                            has_begun = True
                            scope.deadline = trio.current_time() + self.timeouts.header
                        request = Call(event.method, event.target, dict(event.headers))
                        content_length = request.headers.get(b"content-length", b"0")
                        if int(content_length) > self.max_body_bytes:
                            return error_response(
                                413, 8, f"a body of over {self.max_body_bytes} bytes", 0, True
                            )
                    elif isinstance(event, h11.Data):
                        size += len(event.data)
                        if size > self.max_body_bytes:
                            return error_response(
                                413, 8, f"a body of over {self.max_body_bytes} bytes", 0, True
                            )
                        if not self._buffer_part(parts, bytes(event.data)):
                            return error_response(503, 14, "too many long requests", 1, True)
                    elif isinstance(event, h11.EndOfMessage):
                        request.body = b"".join(parts)
                        return request
                    else:
                        return None
            except h11.RemoteProtocolError as error:
                if protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
                    return None
                return error_response(error.error_status_hint or 400, 3, str(error)[:200], 0, True)
        self.late_requests += has_begun
        if has_begun and protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            return error_response(408, 4, "the call took too long to come", 0, True)
        return None

    async def _wait(
        self, stream: trio.abc.Stream, protocol: h11.Connection, waiting: Waiting
    ) -> Reply | None:
        """Returns the response once there is one or the wait is over; None if the client disconnects."""
        is_disconnected = False

        async def watch(scope: trio.CancelScope) -> None:
            """Ends the wait if the client disconnects.

            Data that arrives meanwhile belongs to the next request: it is buffered, and no more is read.
            """
            nonlocal is_disconnected
            try:
                data = await stream.receive_some(READ_SIZE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if data:
                protocol.receive_data(data)
            else:
                is_disconnected = True
                scope.cancel()

        response: Reply | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, nursery.cancel_scope)
            with trio.move_on_after(self.timeouts.wait):
                while response is None:
                    await waiting.wake.wait()
                    waiting.wake = trio.Event()
                    response = waiting.poll(False)
            if response is None:
                response = waiting.poll(True)
            nursery.cancel_scope.cancel()
        return None if is_disconnected else response

    async def _send(self, stream: trio.abc.Stream, protocol: h11.Connection, response: Reply) -> bool:
        """Sends a response; returns False if the client does not read it in time and must be disconnected."""
        length = (b"content-length", b"%d" % len(response.body))
        close = [(b"connection", b"close")] if response.close else []
        if response.status == 304:
            header = h11.Response(status_code=304, headers=[*response.headers, *close])
            data = protocol.send(header) or b""
        else:
            header = h11.Response(status_code=response.status, headers=[*response.headers, length, *close])
            data = protocol.send(header) or b""
            if response.body:
                data += protocol.send(h11.Data(data=response.body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        with trio.move_on_after(self.timeouts.write) as scope:
            await stream.send_all(data)
        self.slow_readers += scope.cancelled_caught
        return not scope.cancelled_caught

"""HTTP/1.1 connections of many proxies, each within its bounds, whoever is slow, silent or floods."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import h11
import trio

from ..web.wire import Call, Reply
from .limits import Gate

CHUNK = 65536


@dataclass(slots=True)
class Waiting:
    """A call that waits for news: `wake` when there may be some, and `reply` to look whether there is.

    `reply(over)` gives None as long as there is nothing to say; with `over` it always gives an answer.
    """

    reply: Callable[[bool], Reply | None]
    wake: trio.Event = field(default_factory=trio.Event)
    ended: Callable[[], None] = lambda: None


@dataclass(slots=True, eq=False)
class Line:
    """One connection, and what its proxy has said on it."""

    peer: object = None
    proxy: str = ""  # whose it is, once it has said so
    state: Any = None  # the protocol's own
    calls: int = 0
    reported_at: int = -1  # when its last report was answered


@dataclass(frozen=True, slots=True)
class Timeouts:
    """In seconds."""

    header: float
    write: float
    idle: float
    wait: float


Handler = Callable[[Line, Call], Awaitable[Reply | Waiting]]


def refusal(status: int, code: int, message: str, back_s: float = 0.0, close: bool = False) -> Reply:
    """An error as the published `google.rpc.Status`; `back_s`: when to come back."""
    body = b'{"code":%d,"message":"%s"}' % (code, message.encode().replace(b'"', b"'"))
    headers = [(b"content-type", b"application/json")]
    if back_s > 0:
        headers.append((b"retry-after", b"%d" % max(1, round(back_s))))
    return Reply(status, headers, body, close)


class Server:
    """`handler(line, call)` answers, or says that the call waits; `ended(line)` when a connection is over."""

    def __init__(
        self, gate: Gate, times: Timeouts, most_body: int, handler: Handler, ended: Callable[[Line], None]
    ) -> None:
        self.gate, self.times, self.most_body = gate, times, most_body
        self.handler, self.ended = handler, ended
        self.slow_readers = self.late = self.bad = (
            0  # readers cut off, callers cut off, calls that were no HTTP
        )

    async def serve(self, stream: trio.abc.Stream) -> None:
        line = Line(getattr(getattr(stream, "socket", None), "getpeername", lambda: None)())
        wire = h11.Connection(h11.SERVER)
        if not self.gate.opened():
            try:
                await self._send(stream, wire, refusal(503, 14, "too many connections", 1, True))
            except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
                pass  # it did not even wait to be told
            finally:
                await trio.aclose_forcefully(stream)
            return
        try:
            while await self._one(stream, wire, line):
                wire.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            return  # the other side broke off: nobody is left to tell
        finally:
            self.gate.closed(line.proxy)
            self.ended(line)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _one(self, stream: trio.abc.Stream, wire: h11.Connection, line: Line) -> bool:
        """One call and its answer; whether another may follow."""
        call = await self._read(stream, wire)
        if call is None:
            return False
        if isinstance(call, Reply):
            self.bad += 1
            await self._send(stream, wire, call)
            return False
        line.calls += 1
        reply = await self.handler(line, call)
        if isinstance(reply, Waiting):
            try:
                answer = await self._wait(stream, wire, reply)
            finally:
                reply.ended()
            if answer is None:
                return False
            reply = answer
        if not await self._send(stream, wire, reply):
            return False
        return wire.our_state is h11.DONE and wire.their_state is h11.DONE

    async def _read(self, stream: trio.abc.Stream, wire: h11.Connection) -> Call | Reply | None:
        """The next call; an answer to what is none; None if the other side is done."""
        call, parts, size, begun = Call(b"", b"", {}), list[bytes](), 0, False
        with trio.CancelScope(deadline=trio.current_time() + self.times.idle) as scope:
            try:
                while True:
                    event = wire.next_event()
                    if event is h11.NEED_DATA:
                        if begun and wire.they_are_waiting_for_100_continue:
                            go_on = h11.InformationalResponse(status_code=100, headers=[])
                            await stream.send_all(wire.send(go_on) or b"")
                        data = await stream.receive_some(CHUNK)
                        if not begun and data:
                            begun = True
                            scope.deadline = trio.current_time() + self.times.header
                        wire.receive_data(data)
                    elif isinstance(event, h11.Request):
                        if not begun:  # it had come while the last call waited
                            begun = True
                            scope.deadline = trio.current_time() + self.times.header
                        call = Call(event.method, event.target, dict(event.headers))
                        told = call.headers.get(b"content-length", b"0")
                        if int(told) > self.most_body:
                            return refusal(413, 8, f"a body of over {self.most_body} bytes", 0, True)
                    elif isinstance(event, h11.Data):
                        size += len(event.data)
                        if size > self.most_body:
                            return refusal(413, 8, f"a body of over {self.most_body} bytes", 0, True)
                        parts.append(bytes(event.data))
                    elif isinstance(event, h11.EndOfMessage):
                        call.body = b"".join(parts)
                        return call
                    else:
                        return None
            except h11.RemoteProtocolError as fault:
                if wire.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
                    return None
                return refusal(fault.error_status_hint or 400, 3, str(fault)[:200], 0, True)
        self.late += begun
        if begun and wire.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            return refusal(408, 4, "the call took too long to come", 0, True)
        return None

    async def _wait(self, stream: trio.abc.Stream, wire: h11.Connection, waiting: Waiting) -> Reply | None:
        """The answer, when there is news or the wait is over; None if the caller has gone."""
        gone = False

        async def watch(scope: trio.CancelScope) -> None:
            """One who closes is noticed; what comes too early is the next call, and nothing more is read."""
            nonlocal gone
            try:
                data = await stream.receive_some(CHUNK)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if data:
                wire.receive_data(data)
            else:
                gone = True
                scope.cancel()

        answer: Reply | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, nursery.cancel_scope)
            with trio.move_on_after(self.times.wait):
                while answer is None:
                    await waiting.wake.wait()
                    waiting.wake = trio.Event()
                    answer = waiting.reply(False)
            if answer is None:
                answer = waiting.reply(True)
            nursery.cancel_scope.cancel()
        return None if gone else answer

    async def _send(self, stream: trio.abc.Stream, wire: h11.Connection, reply: Reply) -> bool:
        """Whether it was taken within the time; who reads too slowly is cut off."""
        length = (b"content-length", b"%d" % len(reply.body))
        ends = [(b"connection", b"close")] if reply.close else []
        if reply.status == 304:
            head = h11.Response(status_code=304, headers=[*reply.headers, *ends])
            data = wire.send(head) or b""
        else:
            head = h11.Response(status_code=reply.status, headers=[*reply.headers, length, *ends])
            data = wire.send(head) or b""
            if reply.body:
                data += wire.send(h11.Data(data=reply.body)) or b""
        data += wire.send(h11.EndOfMessage()) or b""
        with trio.move_on_after(self.times.write) as scope:
            await stream.send_all(data)
        self.slow_readers += scope.cancelled_caught
        return not scope.cancelled_caught

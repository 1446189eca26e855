"""One HTTP/1.1 connection, as the caller or as the one who answers; one call on it at a time."""

from __future__ import annotations

import math
import select
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import h11
import trio

Headers = list[tuple[bytes, bytes]]
MOST_BODY = 16 << 20
CHUNK = 65536


class Broken(Exception):
    """The connection ended or spoke no HTTP.  `sent`: the call may have reached the other side."""

    def __init__(self, text: str, sent: bool) -> None:
        super().__init__(text)
        self.sent = sent


@dataclass(slots=True)
class Call:
    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes = b""


@dataclass(slots=True)
class Reply:
    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    close: bool = False  # end the connection after it

    def header(self, name: bytes) -> bytes | None:
        return next((value for key, value in self.headers if key == name), None)


class Caller:
    """Makes calls, one after the other.  After Broken or a cancelled call it is of no more use."""

    def __init__(self, stream: trio.abc.Stream, host: bytes) -> None:
        self._stream, self._host = stream, host
        self._wire = h11.Connection(h11.CLIENT)
        self.usable = True

    async def call(self, method: bytes, target: bytes, headers: Sequence[tuple[bytes, bytes]] = (),
                   body: bytes = b"", most: int = MOST_BODY,
                   gone_out: Callable[[], None] = lambda: None) -> Reply:  # fmt: skip
        """Raises Broken.  `gone_out` is called when all of it is on its way."""
        wire, self.usable = self._wire, False
        sent = False
        try:
            head = [(b"host", self._host), *headers]
            if body or method in (b"POST", b"PUT"):
                head.append((b"content-length", b"%d" % len(body)))
            data = wire.send(h11.Request(method=method, target=target, headers=head)) or b""
            if body:
                data += wire.send(h11.Data(data=body)) or b""
            data += wire.send(h11.EndOfMessage()) or b""
            sent = True
            await self._stream.send_all(data)
            gone_out()
            reply, parts, size = Reply(0), list[bytes](), 0
            while True:
                event = wire.next_event()
                if event is h11.NEED_DATA:
                    wire.receive_data(await self._stream.receive_some(CHUNK))
                elif isinstance(event, h11.Response):
                    reply = Reply(event.status_code, list(event.headers))
                elif isinstance(event, h11.Data):
                    size += len(event.data)
                    if size > most:
                        raise Broken(f"an answer of over {most} bytes", True)
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif not isinstance(event, h11.InformationalResponse):
                    raise Broken("closed before an answer", True)
            reply.body = b"".join(parts)
            if wire.our_state is h11.DONE and wire.their_state is h11.DONE:
                wire.start_next_cycle()
                self.usable = True
            return reply
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError) as fault:
            raise Broken(f"{type(fault).__name__}: {fault}", sent) from fault

    def fresh(self) -> bool:
        """Whether the other side has left the connection open, as far as this side has heard."""
        if not isinstance(self._stream, trio.SocketStream):
            return True
        try:  # readable while nothing was asked: it was closed, or what came belongs to no call
            poll = select.poll()
            poll.register(self._stream.socket.fileno(), select.POLLIN | select.POLLHUP)
            return not poll.poll(0)
        except (OSError, ValueError):
            return False

    async def close(self) -> None:
        self.usable = False
        await trio.aclose_forcefully(self._stream)


async def dial(address: str, port: int, patience: float = math.inf) -> Caller:
    """A connection to `address:port`; Broken, with nothing sent, if none is made in `patience` seconds."""
    try:
        with trio.fail_after(patience):
            stream = await trio.open_tcp_stream(address, port)
    except (OSError, trio.TooSlowError) as fault:
        raise Broken(f"no connection: {type(fault).__name__}: {fault}", False) from fault
    stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
    return Caller(stream, f"{address}:{port}".encode())


Answer = Callable[[Call], Awaitable[Reply | None]]


async def answer_calls(stream: trio.abc.Stream, answer: Answer, most: int = MOST_BODY) -> None:
    """Answers calls until the other side is done; an answer of None breaks the connection off."""
    wire = h11.Connection(h11.SERVER)
    try:
        while True:
            call, parts, size = Call(b"", b"", {}), list[bytes](), 0
            while True:
                event = wire.next_event()
                if event is h11.NEED_DATA:
                    wire.receive_data(await stream.receive_some(CHUNK))
                elif isinstance(event, h11.Request):
                    call = Call(event.method, event.target, dict(event.headers))
                elif isinstance(event, h11.Data):
                    size += len(event.data)
                    if size > most:
                        return
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    break
                else:
                    return
            call.body = b"".join(parts)
            reply = await answer(call)
            if reply is None:
                return
            length = (b"content-length", b"%d" % len(reply.body))
            ends = [(b"connection", b"close")] if reply.close else []
            head = h11.Response(status_code=reply.status, headers=[*reply.headers, length, *ends])
            data = wire.send(head) or b""
            if reply.body:
                data += wire.send(h11.Data(data=reply.body)) or b""
            data += wire.send(h11.EndOfMessage()) or b""
            await stream.send_all(data)
            if wire.our_state is h11.MUST_CLOSE or wire.their_state is not h11.DONE:
                return
            wire.start_next_cycle()
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
        return  # the other side broke off or spoke no HTTP: nobody is left to tell
    finally:
        await trio.aclose_forcefully(stream)

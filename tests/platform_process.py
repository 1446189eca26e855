"""A controller process as the platform starts it, a fake discovery server, and peers that connect to it."""

from __future__ import annotations

import json
import os
import socket
import struct
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

import trio

from willowhook.platform.configuration import PATH_VARIABLE
from willowhook.platform.fields import Fields
from willowhook.platform.framing import FrameDecoder, encode_frame
from willowhook.trial.ports import PortReservations
from willowhook.web.wire import Call, Reply, serve_connection

REPOSITORY = Path(__file__).parent.parent
SETTINGS = json.loads((Path(__file__).parent / "options.json").read_text())
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER
ATTACH = {"t": "attach", "proxy": 0, "zone": "north", "weight": 5.0, "fresh": True}


reserve_port = PortReservations().reserve  # until this process ends


class FakeDiscovery:
    """A discovery server whose requests for changes wait for one.

    Attributes:
        max_change_wait_s: the longest wait.
        version: the present version of the list.
        entries: the list, by endpoint.
        request_count: the number of requests.
    """

    max_change_wait_s = 1.0

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, Fields] = {}
        self.changed = trio.Event()
        self.request_count = 0

    def set_entry(self, endpoint: str, health: str = "active") -> None:
        entry = {
            "host": endpoint,
            "dial": "127.0.0.1:1",
            "site": "north",
            "class": "fast",
            "block": 0,
            "share": 1.0,
        }
        self.entries[endpoint] = {**entry, "health": health, "born_ms": 0}
        self._publish()

    def remove_entries(self, *endpoints: str) -> None:
        for endpoint in endpoints:
            del self.entries[endpoint]
        self._publish()

    def _publish(self) -> None:
        self.version += 1
        self.changed.set()
        self.changed = trio.Event()

    async def answer(self, request: Call) -> Reply:
        self.request_count += 1
        target = request.target.decode()
        if f"after={self.version}&" in target:
            wait_ms = int(target.partition("wait_ms=")[2])
            with trio.move_on_after(min(self.max_change_wait_s, wait_ms / 1000)):
                await self.changed.wait()
        answer = {"seq": self.version, "whole": True, "hosts": list(self.entries.values())}
        return Reply(200, body=json.dumps(answer).encode())

    async def serve(self, port: int, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED) -> None:
        handler = partial(serve_connection, answer=self.answer)
        await trio.serve_tcp(handler, port, host="127.0.0.1", task_status=task_status)


class CuttableDiscovery(FakeDiscovery):
    """A discovery server whose network path can be cut.

    While the path is cut, answers are lost, open connections are silent and new ones do not come up. When it
    is restored, the connections from before are reset.

    Attributes:
        is_cut: whether the path is cut at present.
        last_target: the target of the last request.
        last_requested_at: when the last request arrived, in the clock of trio.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_cut = False
        self.last_target = ""
        self.last_requested_at = 0.0
        self._restored = trio.Event()
        self._listener = socket.socket()
        self._backlog_filler: socket.socket | None = None
        self._connections: dict[trio.CancelScope, trio.SocketStream] = {}

    async def answer(self, request: Call) -> Reply:
        self.last_target = request.target.decode()
        self.last_requested_at = trio.current_time()
        reply = await super().answer(request)
        if self.is_cut:
            await trio.sleep_forever()  # until the connection is reset
        return reply

    async def serve(self, port: int, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED) -> None:
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", port))
        self._listener.listen(16)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(self._listener))
        task_status.started()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.lowlevel.wait_readable(self._listener)
                if self.is_cut:
                    await self._restored.wait()
                nursery.start_soon(self._serve_connection, await listener.accept())

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        with trio.CancelScope() as scope:
            self._connections[scope] = stream
            await serve_connection(stream, self.answer)
        del self._connections[scope]

    def cut(self) -> None:
        """Cuts the path: new connections do not come up, as the queue of the listener is full."""
        self.is_cut = True
        self._restored = trio.Event()
        self._listener.listen(0)
        self._backlog_filler = socket.create_connection(self._listener.getsockname(), 1.0)

    def restore(self) -> None:
        """Restores the path, and resets the connections from before."""
        assert self._backlog_filler is not None
        self._backlog_filler.close()
        self._listener.listen(16)
        for scope, stream in self._connections.items():
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            scope.cancel()
        self.is_cut = False
        self._restored.set()


class Peer:
    """A peer of the controller; it acknowledges the updates that it receives as proxy 0."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.decoder = FrameDecoder()
        self.received: list[Fields] = []

    async def send(self, *messages: Fields) -> None:
        await self.stream.send_all(b"".join(map(encode_frame, messages)))

    async def receive_until(self, is_complete: Callable[[list[Fields]], bool]) -> None:
        with trio.fail_after(8):
            while not is_complete(self.received):
                data = await self.stream.receive_some(65536)
                assert data, "closed"
                for message in self.decoder.feed(data):
                    self.received.append(message)
                    if "stamp" in message:
                        await self.send({"t": "done", "proxy": 0, "mark": message["stamp"], "took_ms": 1.0})

    async def receive_until_closed(self) -> None:
        while await self.stream.receive_some(4096):
            pass


class ControllerProcess:
    """The configuration of a controller process, and how to run and reach it."""

    def __init__(
        self,
        folder: Path,
        settings: Fields = SETTINGS,
        *,
        seed: str = "8c",
        discovery: FakeDiscovery | None = None,
        **limits: int,
    ) -> None:
        self.configuration_path = folder / "config.json"
        self.settings = settings
        self.seed = seed
        self.arguments = ["-m", "willowhook.platform"]
        self.log_path = folder / "log"
        self.port = reserve_port()
        self.discovery_port = reserve_port()
        self.limits = {"sockets": 256, **limits}
        self.discovery = discovery or FakeDiscovery()
        self.known: Fields = {"seq": 0, "whole": True, "hosts": []}
        self.write_configuration(self.discovery_port)

    def write_configuration(self, discovery_port: int) -> None:
        configuration = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": self.seed,
            "limits": self.limits,
            "known": self.known,
            "settings": self.settings,
        }
        self.configuration_path.write_text(json.dumps(configuration))

    def command(self) -> dict[str, Any]:
        """The arguments of `subprocess.Popen` that start the process."""
        return {
            "args": [sys.executable, *self.arguments],
            "env": {**os.environ, PATH_VARIABLE: str(self.configuration_path), "PYTHONPATH": str(REPOSITORY)},
        }

    def read_log(self) -> str:
        return self.log_path.read_text()

    async def connect(self) -> Peer:
        return Peer(await trio.open_tcp_stream("127.0.0.1", self.port))

    async def wait_until_ready(self) -> None:
        with trio.fail_after(20):
            while True:
                try:
                    peer = await self.connect()
                    break
                except OSError:
                    await trio.sleep(0.05)
            await peer.send({"t": "hb"})
            await peer.receive_until(lambda received: received == [{"t": "hb_ok"}])
            await peer.stream.aclose()

    @asynccontextmanager
    async def running(self) -> AsyncIterator[subprocess.Popen[bytes]]:
        async with trio.open_nursery() as nursery:
            await nursery.start(self.discovery.serve, self.discovery_port)
            with self.log_path.open("wb") as log:
                process = subprocess.Popen(**self.command(), stderr=log)
                try:
                    await self.wait_until_ready()
                    yield process
                finally:
                    process.kill()
                    process.wait()
                    nursery.cancel_scope.cancel()

    def run(self, scenario: Callable[[subprocess.Popen[bytes]], Awaitable[None]]) -> str:
        """Starts the process, runs a scenario against it, and returns its log."""

        async def main() -> None:
            async with self.running() as process:
                await scenario(process)

        trio.run(main)
        return self.read_log()


def received_weights(received: list[Fields]) -> dict[str, float]:
    return {endpoint: weight for part in received for endpoint, weight in part.get("rows", ())}


def received_exclusions(received: list[Fields]) -> list[str]:
    return [endpoint for part in received for endpoint in part.get("drop", ())]

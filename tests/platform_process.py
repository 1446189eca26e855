"""A controller process as the platform starts it, with a fake discovery, and peers that connect to it."""

from __future__ import annotations

import json
import os
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
ATTACH = {"t": "attach", "proxy": 0, "zone": "north", "weight": 5.0, "fresh": True}


reserve_port = PortReservations().reserve  # until this process ends


class FakeDiscovery:
    """The list and its version; a request for what is newer waits for a change."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, Fields] = {}
        self.changed = trio.Event()
        self.request_count = 0

    def list(self, host: str, health: str = "active") -> None:
        entry = {
            "host": host,
            "dial": "127.0.0.1:1",
            "site": "north",
            "class": "fast",
            "block": 0,
            "share": 1.0,
        }
        self.entries[host] = {**entry, "health": health, "born_ms": 0}
        self.version += 1
        self.changed.set()
        self.changed = trio.Event()

    async def answer(self, call: Call) -> Reply:
        self.request_count += 1
        if f"after={self.version}&" in call.target.decode():
            with trio.move_on_after(1.0):
                await self.changed.wait()
        answer = {"seq": self.version, "whole": True, "hosts": list(self.entries.values())}
        return Reply(200, body=json.dumps(answer).encode())

    async def serve(self, port: int, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED) -> None:
        handler = partial(serve_connection, answer=self.answer)
        await trio.serve_tcp(handler, port, host="127.0.0.1", task_status=task_status)


class Peer:
    """A peer of the controller, which acknowledges as proxy 0 the updates that it receives."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.decoder = FrameDecoder()
        self.received: list[Fields] = []

    async def send(self, *messages: Fields) -> None:
        await self.stream.send_all(b"".join(map(encode_frame, messages)))

    async def receive_until(self, is_enough: Callable[[list[Fields]], bool]) -> None:
        with trio.fail_after(8):
            while not is_enough(self.received):
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

    def __init__(self, folder: Path, settings: Fields = SETTINGS, **limits: int) -> None:
        self.configuration_path = folder / "config.json"
        self.settings = settings
        self.arguments = ["-m", "willowhook.platform"]
        self.log_path = folder / "log"
        self.port = reserve_port()
        self.discovery_port = reserve_port()
        self.limits = {"sockets": 256, **limits}
        self.discovery = FakeDiscovery()
        self.write_configuration(self.discovery_port)

    def write_configuration(self, discovery_port: int) -> None:
        configuration = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "8c",
            "limits": self.limits,
            "known": {"seq": 0, "whole": True, "hosts": []},
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
        """Runs the process through a scenario; returns its log."""

        async def main() -> None:
            async with self.running() as process:
                await scenario(process)

        trio.run(main)
        return self.read_log()


def weights_in(received: list[Fields]) -> dict[str, float]:
    return {host: weight for part in received for host, weight in part.get("rows", ())}


def excluded_in(received: list[Fields]) -> list[str]:
    return [host for part in received for host in part.get("drop", ())]

"""One director as the platform starts it, against stand-ins for discovery, proxies and strangers."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

import pytest
import trio

from willowhook.platform.address import Address
from willowhook.platform.configuration import PATH_VARIABLE, ConfigurationError, read_configuration
from willowhook.platform.connection_server import ConnectionServer
from willowhook.platform.fields import Fields
from willowhook.platform.framing import FrameDecoder, encode_frame
from willowhook.web.wire import Call, Reply, answer_calls

SETTINGS = json.loads((Path(__file__).parent / "options.json").read_text())
ATTACH = {"t": "attach", "proxy": 0, "zone": "north", "weight": 5.0, "fresh": True}
STRANGERS = {
    "silent": b"",
    "half a message": encode_frame(ATTACH)[:-3],
    "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "too long": (2 << 20).to_bytes(4, "little") + b"x" * 99,
    "orders": encode_frame({"t": "assign", "drop": ["h0"]}),
    "a report with no joining": encode_frame({"t": "client_stats", "proxy": 0}),
    "no proxy": encode_frame({**ATTACH, "proxy": 6}),
    "no zone": encode_frame({"t": "telemetry", "zone": "west"}),
    "no JSON": b"\4\0\0\0nope",
}


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Discovery:
    """The list, its version, and watches that wait for a newer one."""

    def __init__(self) -> None:
        self.seq, self.rows, self.news, self.asked = 1, dict[str, Fields](), trio.Event(), list[str]()
        self.calls = 0

    def list(self, host: str, health: str = "active") -> None:
        row = {
            "host": host,
            "dial": "127.0.0.1:1",
            "site": "north",
            "class": "fast",
            "block": 0,
            "share": 1.0,
        }
        self.rows[host] = {**row, "health": health, "born_ms": 0}
        self.seq += 1
        self.news.set()
        self.news = trio.Event()

    async def answer(self, call: Call) -> Reply:
        self.calls += 1
        if f"after={self.seq}&" in call.target.decode():
            with trio.move_on_after(1.0):
                await self.news.wait()
        whole = {"seq": self.seq, "whole": True, "hosts": list(self.rows.values())}
        return Reply(200, body=json.dumps(whole).encode())

    async def serve(self, port: int, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        await trio.serve_tcp(partial(answer_calls, answer=self.answer), port, host="127.0.0.1",
                             task_status=task_status)  # fmt: skip


class Peer:
    """Whoever dials the director."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self.decoder, self.got = stream, FrameDecoder(), list[Fields]()

    async def say(self, *messages: Fields) -> None:
        await self.stream.send_all(b"".join(map(encode_frame, messages)))

    async def hear(self, wanted: Callable[[list[Fields]], bool]) -> None:
        with trio.fail_after(8):
            while not wanted(self.got):
                data = await self.stream.receive_some(65536)
                assert data, "closed"
                for message in self.decoder.feed(data):
                    self.got.append(message)
                    if "stamp" in message:
                        await self.say({"t": "done", "proxy": 0, "mark": message["stamp"], "took_ms": 1.0})


class Service:
    def __init__(self, folder: Path, **limits: int) -> None:
        self.path, self.port, self.place = folder / "config.json", free_port(), free_port()
        self.limits = {"sockets": 256, **limits}
        self.discovery = Discovery()
        self.write(self.place)

    def write(self, place: int, **more: object) -> None:
        top = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{place}",
            "seed": "8c",
            "limits": self.limits,
            "known": {"seq": 0, "whole": True, "hosts": []},
            "settings": SETTINGS,
        }
        self.path.write_text(json.dumps({**top, **more}))  # fmt: skip

    async def dial(self) -> Peer:
        return Peer(await trio.open_tcp_stream("127.0.0.1", self.port))


@asynccontextmanager
async def serving(service: Service) -> AsyncIterator[subprocess.Popen[bytes]]:
    async with trio.open_nursery() as nursery:
        await nursery.start(service.discovery.serve, service.place)
        log = service.path.with_name("log").open("wb")
        run = [sys.executable, "-m", "willowhook.platform"]
        process = subprocess.Popen(run, env={**os.environ, PATH_VARIABLE: str(service.path)}, stderr=log)
        try:
            with trio.fail_after(20):
                while True:
                    try:
                        peer = await service.dial()
                        break
                    except OSError:
                        await trio.sleep(0.05)
                await peer.say({"t": "hb"})
                await peer.hear(lambda got: got == [{"t": "hb_ok"}])
                await peer.stream.aclose()
            yield process
        finally:
            process.kill()
            process.wait()
            log.close()
            nursery.cancel_scope.cancel()


def play(service: Service, scene: Callable[[subprocess.Popen[bytes]], Awaitable[None]]) -> str:
    async def whole() -> None:
        async with serving(service) as process:
            await scene(process)

    trio.run(whole)
    return service.path.with_name("log").read_text()


def rows(got: list[Fields]) -> dict[str, float]:
    return {host: weight for part in got for host, weight in part.get("rows", ())}


def dropped(got: list[Fields]) -> list[str]:
    return [host for part in got for host in part.get("drop", ())]


def test_a_proxy_is_served_through_drains_new_streams_a_new_configuration_and_the_end(tmp_path: Path) -> None:
    service, elsewhere = Service(tmp_path), Discovery()
    for host in ("h0", "h1"):
        service.discovery.list(host)

    async def scene(process: subprocess.Popen[bytes]) -> None:
        proxy = await service.dial()
        for byte in encode_frame(ATTACH):  # its bytes come one by one
            await proxy.stream.send_all(bytes([byte]))
        await proxy.hear(lambda got: set(rows(got)) == {"h0", "h1"})
        service.discovery.list("h1", "leaving")
        await proxy.hear(lambda got: dropped(got) == ["h1"])
        # spoilt messages cost nothing but themselves
        await proxy.say({"t": "done", "mark": "x"}, {"t": "odd"}, {"t": "client_stats"}, {"t": "hb"})
        await proxy.hear(lambda got: {"t": "hb_ok"} in got)
        again = await service.dial()  # before the old stream was seen to end
        await again.say({**ATTACH, "fresh": False})
        await again.hear(lambda got: "h0" in rows(got))
        with trio.fail_after(5):
            while await proxy.stream.receive_some(4096):
                pass
        elsewhere.seq, elsewhere.rows = service.discovery.seq, dict(service.discovery.rows)
        place = free_port()
        async with trio.open_nursery() as nursery:
            await nursery.start(elsewhere.serve, place)
            service.path.write_text("{")
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.3)
            service.write(place)
            process.send_signal(signal.SIGHUP)
            with trio.fail_after(5):
                while not elsewhere.calls:
                    await trio.sleep(0.02)
            elsewhere.list("h2")
            await again.hear(lambda got: "h2" in rows(got))
            nursery.cancel_scope.cancel()
        process.send_signal(signal.SIGTERM)
        with trio.fail_after(5):
            while process.poll() is None:
                await trio.sleep(0.02)
        assert process.returncode == 0

    log = play(service, scene)
    assert "configuration reload failed" in log and "configuration reloaded" in log and "Traceback" not in log


def test_a_configuration_half_written_as_the_signal_comes_is_read_once_it_is_whole(tmp_path: Path) -> None:
    service, elsewhere = Service(tmp_path), Discovery()

    async def scene(process: subprocess.Popen[bytes]) -> None:
        async with trio.open_nursery() as nursery:
            place = free_port()
            await nursery.start(elsewhere.serve, place)
            service.write(place)
            text = service.path.read_text()
            service.path.write_text(text[: len(text) // 2])
            process.send_signal(signal.SIGHUP)
            with trio.fail_after(5):
                while "configuration reload failed" not in service.path.with_name("log").read_text():
                    await trio.sleep(0.01)
            service.path.write_text(text)  # and no further signal
            with trio.fail_after(5):
                while not elsewhere.calls:
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    assert play(service, scene).count("configuration reload failed") == 1


def test_who_is_reset_before_it_is_taken_ends_nothing_else() -> None:
    """As some kernels do: options cannot be set on a connection that was reset in the backlog."""
    ours, theirs = socket.socketpair()

    class Reset(socket.socket):
        def setsockopt(self, *_: object) -> None:
            raise OSError(22, "invalid")

    waiting = [Reset(fileno=ours.detach())]

    class Listener:
        def accept(self) -> tuple[socket.socket, None]:
            if not waiting:
                raise BlockingIOError
            return waiting.pop(), None

    async def scene() -> None:
        async with trio.open_nursery() as nursery:
            connections = ConnectionServer(Address("127.0.0.1", 0), 99, lambda *_: None, lambda *_: None)
            connections._nursery = nursery
            assert connections._accept_pending(Listener())  # type: ignore[arg-type]
            assert connections.open_count == 0 and theirs.recv(1) == b""

    trio.run(scene)
    theirs.close()


def test_a_proxy_that_joins_on_two_streams_in_one_read_has_the_last(tmp_path: Path) -> None:
    service = Service(tmp_path)
    service.discovery.list("h0")

    async def scene(process: subprocess.Popen[bytes]) -> None:
        process.send_signal(signal.SIGSTOP)  # so that all of it is read in one turn
        old, new = await service.dial(), await service.dial()
        await old.say(ATTACH, ATTACH, {"t": "hb"})  # twice on one stream, too
        await new.say({**ATTACH, "fresh": False})
        process.send_signal(signal.SIGCONT)
        await new.hear(lambda got: "h0" in rows(got))
        with trio.fail_after(5):
            while await old.stream.receive_some(4096):
                pass
        service.discovery.list("h0", "leaving")
        await new.hear(lambda got: dropped(got) == ["h0"])
        assert process.poll() is None

    assert "Traceback" not in play(service, scene)


def test_strangers_are_turned_away_in_time_and_leave_room_for_proxies(tmp_path: Path) -> None:
    service = Service(tmp_path, sockets=64)
    service.discovery.list("h0")

    async def owed(bytes_sent: bytes) -> None:
        peer = await service.dial()
        with trio.fail_after(3):
            try:
                if bytes_sent:
                    await peer.stream.send_all(bytes_sent)
                while await peer.stream.receive_some(4096):
                    pass
            except trio.BrokenResourceError:
                pass

    async def scene(process: subprocess.Popen[bytes]) -> None:
        async with trio.open_nursery() as nursery:
            for bytes_sent in STRANGERS.values():
                nursery.start_soon(owed, bytes_sent)
        crowd = [await service.dial() for _ in range(150)]  # more than the descriptors it may hold
        proxy = await service.dial()
        await proxy.say(ATTACH)
        await proxy.hear(lambda got: "h0" in rows(got))
        assert len(os.listdir(f"/proc/{process.pid}/fd")) <= 64
        for peer in crowd:
            await peer.stream.aclose()
        assert process.poll() is None

    play(service, scene)


def test_who_reads_nothing_is_let_go_and_holds_up_nobody(tmp_path: Path) -> None:
    service = Service(tmp_path)
    for k in range(40):
        service.discovery.list(f"h{k}-{'x' * 150}")

    async def scene(process: subprocess.Popen[bytes]) -> None:
        deaf, good = await service.dial(), await service.dial()
        await deaf.say(ATTACH)
        await good.say({**ATTACH, "proxy": 1})
        await good.hear(lambda got: len(rows(got)) == 40)
        with pytest.raises(trio.BrokenResourceError):
            for _ in range(100):
                await deaf.say(*[{"t": "hb"}] * 10_000)
        await good.say({"t": "hb"})
        await good.hear(lambda got: got[-1] == {"t": "hb_ok"})
        assert process.poll() is None

    play(service, scene)


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("{", "no JSON"),
        ('{"name": "n"}', "settings is missing"),
        ('{"settings": {}}', "is missing"),
        (json.dumps({"settings": SETTINGS, "listen": "here"}), "listen"),
        (
            json.dumps({"settings": SETTINGS, "listen": "127.0.0.1:1", "discovery": 5}),
            "discovery: expected str, got int",
        ),
    ],
)
def test_an_unusable_configuration_is_told_in_one_line(tmp_path: Path, text: str, why: str) -> None:
    (tmp_path / "c.json").write_text(text)
    with pytest.raises(ConfigurationError, match=why):
        read_configuration({PATH_VARIABLE: str(tmp_path / "c.json")})
    with pytest.raises(ConfigurationError, match="not set"):
        read_configuration({})

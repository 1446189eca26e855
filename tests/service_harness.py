"""Runs one real controller in this process, with proxies played by hand and a fake service discovery."""

from __future__ import annotations

import json
import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import trio

from willowhook.config.example import EXAMPLE
from willowhook.controlplane.service import Service
from willowhook.decisions.controller import Controller
from willowhook.files.ops import DiskOps
from willowhook.files.swap import read_group, swap_file
from willowhook.web.wire import Call, Reply, serve_connection
from willowhook.xds import forms, tables
from willowhook.xds.codec import encode, read_response


class RecordingLog:
    """Keeps the level, event and fields of each line."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, str, dict[str, Any]]] = []

    def bind(self, **_: Any) -> RecordingLog:
        return self

    def info(self, text: str, **parts: Any) -> None:
        self.lines.append(("info", text, parts))

    def warning(self, text: str, **parts: Any) -> None:
        self.lines.append(("warning", text, parts))

    def texts(self, level: str = "") -> list[str]:
        return [text for each, text, _ in self.lines if level in ("", each)]


class FileProxy:
    """A proxy's side of the folder, written as a test wants it."""

    def __init__(self, service: Service, name: str) -> None:
        self.name, self.root = name, Path(service.folder.path)
        self.up, self.down = self.root / "up" / name, self.root / "down" / name
        self.node = forms.Node(
            name, "calls", forms.Locality(zone="north"), {"usual_calls_per_s": 4, "term": 1}
        )

    def join(self, status: bytes | None = None) -> None:
        temp = self.root / "up" / f".{self.name}"
        temp.mkdir()
        (temp / "status.json").write_bytes(
            encode(forms.ClientConfig(self.node)) if status is None else status
        )
        os.rename(temp, self.up)

    def put(self, file: str, data: bytes) -> None:
        swap_file(DiskOps(), str(self.up), file, data)

    def write_load_report(self) -> None:
        self.put("load.json", encode(forms.LoadStatsRequest(self.node)))

    def acknowledge(self) -> None:
        for name, data in read_group(str(self.down))[1].items():
            got = read_response(data, forms.TYPE_URLS[name[:-5]])
            said = forms.DiscoveryRequest(got.version_info, self.node, [], got.type_url, got.nonce)
            self.put(name, encode(said))

    def weights(self) -> dict[str, float]:
        rows = tables.read_tables(read_group(str(self.down))[1]["eds.json"])[1]
        return {line[0]: line[4] for table in rows for line in tables.lines(table)}

    def is_sent_away(self) -> bool:
        rows = tables.read_tables(read_group(str(self.down))[1]["eds.json"])[1]
        return any(table.cluster_name == "directors" for table in rows)

    def message_number(self) -> int:
        return int(
            read_response(read_group(str(self.down))[1]["eds.json"], forms.ASSIGNMENT).nonce.split(".")[2]
        )

    def usable_endpoints(self) -> set[str]:
        try:
            data = read_group(str(self.down))[1]["eds.json"]
        except FileNotFoundError:
            return set()
        held = [table for table in tables.read_tables(data)[1] if table.cluster_name != "directors"]
        rows = [line for table in held for line in tables.lines(table)]
        return {line[0] for line in rows if not line[5]}


class FakeDiscovery:
    """Answers for the endpoint list: well, with something else, or not at all."""

    def __init__(self) -> None:
        self.index, self.mode = 1, "good"
        self.endpoints = {"a": False, "b": False, "c": False}
        self.started: dict[str, float] = {}

    def body(self) -> bytes:
        rows = [
            {
                "Service": {
                    "ID": name,
                    "Address": "127.0.0.1",
                    "Port": 9000 + k,
                    "Meta": {"started": str(self.started.get(name, 0))},
                },
                "Node": {"Datacenter": "north"},
                "Checks": [{"CheckID": f"_service_maintenance:{name}", "Status": "critical"}] if out else [],
            }
            for k, (name, out) in enumerate(self.endpoints.items())
        ]
        return json.dumps(rows).encode()

    async def answer(self, call: Call) -> Reply | None:
        asked = self.index if b"index=" in call.target else 0
        for _ in range(10):  # well within what the reader waits, also on a slow machine
            if self.mode == "good" and asked == self.index:
                await trio.sleep(0.02)
        if self.mode == "stall":
            await trio.sleep_forever()
        body = self.body() if self.mode == "good" else b"<h1>maintenance</h1>"
        return Reply(200, [(b"x-consul-index", b"%d" % self.index)], body)


Play = Callable[[Service, FakeDiscovery, RecordingLog], Awaitable[None]]


def serve(
    tmp_path: Path,
    play: Play,
    listen: str = "",
    decider: Any = Controller,
    store_folder: str = EXAMPLE.store.folder,
    **parts: Any,
) -> RecordingLog:
    """Runs a controller while `play` goes on."""
    log = RecordingLog()

    async def run() -> None:
        discovery = FakeDiscovery()

        async def handler(stream: trio.SocketStream) -> None:
            await serve_connection(stream, discovery.answer)

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            url = f"http://127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            nursery.start_soon(trio.serve_listeners, handler, listeners)
            replace = msgspec.structs.replace
            files = replace(
                EXAMPLE.files, folder=str(tmp_path / "d"), **{"proxy_lost_after_ms": 20_000, **parts}
            )
            asked = replace(EXAMPLE.roster, url=url, wait_ms=300, timeout_ms=200)
            kept = replace(EXAMPLE.records, file=str(tmp_path / "records"))
            service = Service(
                replace(
                    EXAMPLE,
                    fleet=replace(EXAMPLE.fleet, standing=0),  # proxies played by hand start with nothing
                    files=files,
                    roster=asked,
                    records=kept,
                    links=replace(EXAMPLE.links, listen=listen),
                    store=replace(EXAMPLE.store, folder=store_folder),
                ),
                log=log,
                decider=decider,
            )
            await nursery.start(service.run)
            with trio.fail_after(30):
                await play(service, discovery, log)
            nursery.cancel_scope.cancel()

    trio.run(run)
    return log


async def wait_until(condition: Callable[[], bool], timeout_seconds: float = 8.0) -> None:
    with trio.fail_after(timeout_seconds):
        while not condition():
            await trio.sleep(0.02)

"""A thousand calls that wait, and one change: how long until the last has it, and what that costs.

The director runs in this process, with a decider that orders when it is told to; the callers are plain
sockets in processes of their own, some of which read slowly or not at all.
"""

from __future__ import annotations

import hashlib
import resource
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import trio
import zstandard

from ..clock import monotonic_ticks
from ..config.terms import FrontTerms
from ..controlplane.service import Service
from ..web.wire import ClientConnection, ConnectionLostError, open_connection
from ..xds import forms
from ..xds.codec import decode, encode
from .day import draw, terms_of
from .notes import Notes
from .standin_link import token
from .standin_roster import StandInRoster
from .swaps import ChurnDecider

TABLES_PATH = b"/envoy.service.endpoint.v3.EndpointDiscoveryService/DeltaEndpoints"
PARTS = 4  # processes of callers
CHANGES = 5


class OnDemand(ChurnDecider):
    """Orders a new weight for every host whenever `go` says so."""

    go = 0

    def evaluate(self, now: int) -> None:
        if OnDemand.go > self.moment and self.endpoints:
            self.moment = OnDemand.go
            for name in self.endpoints:
                self.runtime.set_weight(0, name, 1 + self.moment / 100)
        self.runtime.schedule_evaluation(20)

    def send_commands(self) -> None:
        for name in self.endpoints:
            self.runtime.set_weight(0, name, 1.0)


class Herd(msgspec.Struct):
    port: int
    names: list[str]
    slow: list[str]
    encoding: str
    out: str


async def _follow(orders: Herd, name: str, rows: list[tuple[str, int, float]], chance: float) -> None:
    """One caller: asks, notes when each answer came, acknowledges."""
    node = forms.Node(name, "calls", forms.Locality(zone="norte"), {"term": 1, "director": "director-0"})
    head = [(b"authorization", b"Bearer " + token(name)), (b"accept-encoding", orders.encoding.encode())]
    await trio.sleep(chance)
    caller: ClientConnection | None = None
    nonce = ""
    while True:
        try:
            if caller is None or not caller.usable:
                caller = await open_connection("127.0.0.1", orders.port, 5.0)
                if name in orders.slow:  # a small window: what is not read is not taken
                    stream: Any = caller._stream
                    stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 2048)
                asked = forms.DeltaDiscoveryRequest(node, forms.ASSIGNMENT)
            else:
                asked = forms.DeltaDiscoveryRequest(type_url=forms.ASSIGNMENT, response_nonce=nonce)
            if name in orders.slow and nonce:
                await _ask_and_not_read(caller, head, encode(asked))
                caller, nonce = None, ""
                continue
            reply = await caller.request(b"POST", TABLES_PATH, head, encode(asked))
            if reply.status == 200:
                body = reply.body
                if reply.header(b"content-encoding"):
                    body = zstandard.ZstdDecompressor().decompress(body)
                got = decode(body, forms.DeltaDiscoveryResponse)
                nonce = got.nonce
                table = decode(bytes(got.resources[0].resource), forms.ClusterLoadAssignment)
                weight = (
                    table.endpoints[0].lb_endpoints[0].load_balancing_weight / 10_000
                    if table.endpoints
                    else 0
                )
                rows.append((name, monotonic_ticks(), weight))
            elif reply.status != 304:
                nonce = ""
                await trio.sleep(0.5)
        except ConnectionLostError:
            caller, nonce = None, ""
            await trio.sleep(0.2)


async def _ask_and_not_read(caller: ClientConnection, head: list[tuple[bytes, bytes]], body: bytes) -> None:
    """Asks, and lets the answer lie."""
    stream: Any = caller._stream
    lines = b"".join(name + b": " + value + b"\r\n" for name, value in head)
    length = b"content-length: %d\r\n\r\n" % len(body)
    await stream.send_all(b"POST " + TABLES_PATH + b" HTTP/1.1\r\nhost: a\r\n" + lines + length + body)
    await trio.sleep(30)


def follow_all(path: str) -> None:
    """The main of a process of callers."""
    orders = msgspec.json.decode(Path(path).read_bytes(), type=Herd)
    rows: list[tuple[str, int, float]] = []

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            for k, name in enumerate(orders.names):
                nursery.start_soon(_follow, orders, name, rows, k * 0.004)
            while not (Path(orders.out).parent / "stop").exists():
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(run)
    Path(orders.out).write_bytes(msgspec.json.encode(rows))


@dataclass
class HerdReport:
    callers: int
    slow: int
    hosts: int
    body: int  # bytes of one answer, as it went out
    joined_s: float
    last_ms: list[float] = field(default_factory=list)  # of each change, until the last had it
    p50_ms: list[float] = field(default_factory=list)
    p99_ms: list[float] = field(default_factory=list)
    missed: int = 0
    cpu_ms: float = 0.0  # of the director, a change
    rss_mb: float = 0.0
    encoded: int = 0  # bodies made and packed while the changes went out
    packed: int = 0
    cut: int = 0  # slow readers

    def lines(self) -> list[str]:
        def shown(rows: list[float]) -> str:
            return (
                f"{statistics.median(rows):.0f} ms ({min(rows):.0f} to {max(rows):.0f})" if rows else "none"
            )

        return [
            f"{self.callers} callers wait, {self.slow} of them do not read; {self.hosts} hosts, "
            f"{self.body} bytes an answer; all here after {self.joined_s:.1f} s",
            f"one change, {len(self.last_ms)} times: half have it after {shown(self.p50_ms)}, 99% after "
            f"{shown(self.p99_ms)}, the last after {shown(self.last_ms)}; {self.missed} missed",
            f"{self.cpu_ms:.0f} ms of CPU a change, {self.rss_mb:.0f} MB; {self.encoded} bodies encoded and "
            f"{self.packed} compressed; {self.cut} slow readers cut off",
        ]

    @property
    def passed(self) -> bool:
        return not self.missed and bool(self.last_ms)


def run_herd(
    folder: Path, callers: int, slow_share: float, hosts: int, encoding: str, say: Callable[[str], None]
) -> HerdReport:
    folder.mkdir(parents=True, exist_ok=True)
    names = [f"p{k}" for k in range(callers)]
    slow = names[:: round(1 / slow_share)] if slow_share else []
    day = draw(3, 60.0, hosts=hosts, proxies=1, directors=1, calls_per_s=1.0, troubles=[], spare=0)
    day.channel = msgspec.structs.replace(
        day.channel, lines_per_s=1e8, most_waiting_lines=1e8, messages_most=0
    )
    day.fleet = msgspec.structs.replace(day.fleet, proxies=callers)
    report = HerdReport(callers, len(slow), hosts, 0, 0.0)

    async def run() -> None:
        roster = StandInRoster(Notes(str(folder / "roster.notes")), 0.0)
        for k, plan in enumerate(day.hosts):
            plan.port = 20_000 + k
            roster.show(plan)
        async with trio.open_nursery() as nursery:
            await nursery.start(roster.run)
            await _directed(nursery, roster)
            nursery.cancel_scope.cancel()

    async def _directed(nursery: trio.Nursery, roster: StandInRoster) -> None:
        sums = {name: hashlib.sha256(token(name)).hexdigest() for name in names}
        (folder / "credentials.json").write_bytes(msgspec.json.encode({"proxies": sums}))
        url = f"http://127.0.0.1:{roster.port}"
        terms = terms_of(day, 0, str(folder / "d"), url, "")
        front = FrontTerms(
            listen="127.0.0.1:0", credentials=str(folder / "credentials.json"), wait_ms=30_000,
            idle_ms=60_000, write_ms=4000,
        )  # fmt: skip
        files = msgspec.structs.replace(terms.files, proxy_lost_after_ms=120_000)
        service = Service(
            msgspec.structs.replace(terms, front=front, files=files), decider=partial(OnDemand, bool)
        )
        service.log = Silent()
        await nursery.start(service.run)
        began = time.perf_counter()
        processes = []
        for part in range(PARTS):
            orders = Herd(
                service.discovery_port, names[part::PARTS], slow, encoding, str(folder / f"out{part}.json")
            )
            path = folder / f"herd{part}.json"
            path.write_bytes(msgspec.json.encode(orders))
            args = [
                sys.executable,
                "-c",
                f"from willowhook.trial.herd import follow_all; follow_all({str(path)!r})",
            ]
            processes.append(subprocess.Popen(args))
        web = service.discovery
        assert web is not None
        need = callers - len(slow)
        with trio.fail_after(120):
            while len(web.discovery_server) < need or len(service.publisher.sessions) < callers:
                await trio.sleep(0.05)
        report.joined_s = time.perf_counter() - began
        await trio.sleep(1.0)
        sent_at, made, packed = [], web.response_cache.encoded, web.response_cache.compressed
        cpu = time.process_time()
        for change in range(1, CHANGES + 1):
            OnDemand.go = change
            sent_at.append(monotonic_ticks())
            await trio.sleep(3.0 if hosts <= 200 else 8.0)
        report.cpu_ms = (time.process_time() - cpu) / CHANGES * 1000
        report.encoded, report.packed = (
            web.response_cache.encoded - made,
            web.response_cache.compressed - packed,
        )
        report.rss_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        report.cut = web.http_server.slow_readers
        kept = web.response_cache._cache
        report.body = max(
            (len(body) for (_, coded), body in kept.items() if bool(coded) == bool(encoding)), default=0
        )
        (folder / "stop").write_bytes(b"")
        for process in processes:
            await trio.to_thread.run_sync(process.wait)
        _read(folder, report, sent_at, frozenset(slow))

    OnDemand.go = 0
    trio.run(run)
    return report


class Silent:
    """A log of nothing: a thousand lines of who joined are no result."""

    def bind(self, **_: Any) -> Silent:
        return self

    def info(self, text: str, /, **parts: Any) -> None:
        """Nobody reads it."""

    warning = info


def _read(folder: Path, report: HerdReport, sent_at: list[int], slow: frozenset[str]) -> None:
    came: dict[float, dict[str, int]] = {}
    for path in sorted(folder.glob("out*.json")):
        for name, t, weight in msgspec.json.decode(path.read_bytes()):
            if name not in slow:
                came.setdefault(round(weight, 2), {}).setdefault(name, t)
    for change, at in enumerate(sent_at, 1):
        took = sorted((t - at) / 10 for t in came.get(round(1 + change / 100, 2), {}).values())
        report.missed += report.callers - len(slow) - len(took)
        if took:
            report.p50_ms.append(took[len(took) // 2])
            report.p99_ms.append(took[int(len(took) * 0.99)])
            report.last_ms.append(took[-1])

"""Thundering herd: a thousand waiting requests are answered at once when one update is published.

Measures how long it takes until the last caller has the update, and what that costs the controller.  The
controller runs in this process, with a decider that sends commands on demand; the callers are plain sockets
in other processes, and some of them read slowly or not at all.
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
from .day import controller_config, draw_scenario
from .notes import EventLog
from .standin_link import bearer_token
from .standin_roster import StandInRegistry
from .swaps import ChurnDecider

TABLES_PATH = b"/envoy.service.endpoint.v3.EndpointDiscoveryService/DeltaEndpoints"
CALLER_PROCESSES = 4
CHANGES = 5


class OnDemandDecider(ChurnDecider):
    """Sets a new weight for every endpoint when `requested_change` is raised."""

    requested_change = 0

    def evaluate(self, now: int) -> None:
        """Sends the requested change once."""
        if OnDemandDecider.requested_change > self.generation and self.endpoints:
            self.generation = OnDemandDecider.requested_change
            for name in self.endpoints:
                self.runtime.set_weight(0, name, 1 + self.generation / 100)
        self.runtime.schedule_evaluation(20)

    def send_commands(self) -> None:
        """Gives all endpoints the same weight."""
        for name in self.endpoints:
            self.runtime.set_weight(0, name, 1.0)


class CallerSettings(msgspec.Struct):
    """Settings of one process of callers, handed over as a JSON file."""

    port: int
    names: list[str]
    slow: list[str]
    encoding: str
    out: str


async def _run_caller(
    settings: CallerSettings, name: str, received: list[tuple[str, int, float]], start_delay_s: float
) -> None:
    """Runs one caller: sends requests, stores the time of each response, and acknowledges it."""
    node = forms.Node(name, "calls", forms.Locality(zone="norte"), {"term": 1, "director": "director-0"})
    headers = [
        (b"authorization", b"Bearer " + bearer_token(name)),
        (b"accept-encoding", settings.encoding.encode()),
    ]
    await trio.sleep(start_delay_s)
    connection: ClientConnection | None = None
    nonce = ""
    while True:
        try:
            if connection is None or not connection.usable:
                connection = await open_connection("127.0.0.1", settings.port, 5.0)
                if name in settings.slow:  # a small receive buffer: unread data stays with the sender
                    stream: Any = connection._stream
                    stream.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 2048)
                request = forms.DeltaDiscoveryRequest(node, forms.ASSIGNMENT)
            else:
                request = forms.DeltaDiscoveryRequest(type_url=forms.ASSIGNMENT, response_nonce=nonce)
            if name in settings.slow and nonce:
                await _request_without_reading(connection, headers, encode(request))
                connection, nonce = None, ""
                continue
            reply = await connection.request(b"POST", TABLES_PATH, headers, encode(request))
            if reply.status == 200:
                body = reply.body
                if reply.header(b"content-encoding"):
                    body = zstandard.ZstdDecompressor().decompress(body)
                response = decode(body, forms.DeltaDiscoveryResponse)
                nonce = response.nonce
                table = decode(bytes(response.resources[0].resource), forms.ClusterLoadAssignment)
                weight = (
                    table.endpoints[0].lb_endpoints[0].load_balancing_weight / 10_000
                    if table.endpoints
                    else 0
                )
                received.append((name, monotonic_ticks(), weight))
            elif reply.status != 304:
                nonce = ""
                await trio.sleep(0.5)
        except ConnectionLostError:
            connection, nonce = None, ""
            await trio.sleep(0.2)


async def _request_without_reading(
    connection: ClientConnection, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Sends a request and never reads the response."""
    stream: Any = connection._stream
    header_lines = b"".join(name + b": " + value + b"\r\n" for name, value in headers)
    content_length = b"content-length: %d\r\n\r\n" % len(body)
    await stream.send_all(
        b"POST " + TABLES_PATH + b" HTTP/1.1\r\nhost: a\r\n" + header_lines + content_length + body
    )
    await trio.sleep(30)


def run_callers(path: str) -> None:
    """Main function of a process of callers."""
    settings = msgspec.json.decode(Path(path).read_bytes(), type=CallerSettings)
    received: list[tuple[str, int, float]] = []

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            for index, name in enumerate(settings.names):
                nursery.start_soon(_run_caller, settings, name, received, index * 0.004)
            while not (Path(settings.out).parent / "stop").exists():
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(run)
    Path(settings.out).write_bytes(msgspec.json.encode(received))


@dataclass
class HerdReport:
    """Delays and costs of the updates of one run."""

    callers: int
    slow: int
    hosts: int
    body_bytes: int  # size of one response as sent
    joined_s: float
    max_ms: list[float] = field(default_factory=list)  # per update, until the last caller has it
    p50_ms: list[float] = field(default_factory=list)
    p99_ms: list[float] = field(default_factory=list)
    missed: int = 0
    cpu_ms: float = 0.0  # of the controller, per update
    rss_mb: float = 0.0
    encoded: int = 0  # response bodies encoded and compressed during the updates
    compressed: int = 0
    closed_readers: int = 0  # slow readers whose connection the controller closed

    def lines(self) -> list[str]:
        """Describes the result for a reader."""

        def format_spread(values_ms: list[float]) -> str:
            return (
                f"{statistics.median(values_ms):.0f} ms ({min(values_ms):.0f} to {max(values_ms):.0f})"
                if values_ms
                else "none"
            )

        return [
            f"{self.callers} callers wait, {self.slow} of them do not read; {self.hosts} endpoints, "
            f"{self.body_bytes} bytes per response; all connected after {self.joined_s:.1f} s",
            f"{len(self.max_ms)} updates: half of the callers have one after {format_spread(self.p50_ms)}, "
            f"99% after {format_spread(self.p99_ms)}, the last after {format_spread(self.max_ms)}; "
            f"{self.missed} missed",
            f"{self.cpu_ms:.0f} ms of CPU per update, {self.rss_mb:.0f} MB; "
            f"{self.encoded} bodies encoded and "
            f"{self.compressed} compressed; {self.closed_readers} slow readers disconnected",
        ]

    @property
    def passed(self) -> bool:
        """Whether the run found no violation."""
        return not self.missed and bool(self.max_ms)


def run_herd(
    folder: Path, callers: int, slow_share: float, endpoints: int, encoding: str, say: Callable[[str], None]
) -> HerdReport:
    """Runs the controller in this process and the callers in others, and publishes the updates."""
    folder.mkdir(parents=True, exist_ok=True)
    names = [f"p{index}" for index in range(callers)]
    slow = names[:: round(1 / slow_share)] if slow_share else []
    scenario = draw_scenario(
        3, 60.0, hosts=endpoints, proxies=1, directors=1, calls_per_s=1.0, troubles=[], spare=0
    )
    scenario.channel = msgspec.structs.replace(
        scenario.channel, lines_per_s=1e8, most_waiting_lines=1e8, messages_most=0
    )
    scenario.fleet = msgspec.structs.replace(scenario.fleet, proxies=callers)
    report = HerdReport(callers, len(slow), endpoints, 0, 0.0)

    async def run() -> None:
        discovery = StandInRegistry(EventLog(str(folder / "roster.notes")), 0.0)
        for index, plan in enumerate(scenario.hosts):
            plan.port = 20_000 + index
            discovery.register(plan)
        async with trio.open_nursery() as nursery:
            await nursery.start(discovery.run)
            await run_with_controller(nursery, discovery)
            nursery.cancel_scope.cancel()

    async def run_with_controller(nursery: trio.Nursery, discovery: StandInRegistry) -> None:
        token_hashes = {name: hashlib.sha256(bearer_token(name)).hexdigest() for name in names}
        (folder / "credentials.json").write_bytes(msgspec.json.encode({"proxies": token_hashes}))
        url = f"http://127.0.0.1:{discovery.port}"
        terms = controller_config(scenario, 0, str(folder / "d"), url, "")
        front = FrontTerms(
            listen="127.0.0.1:0", credentials=str(folder / "credentials.json"), wait_ms=30_000,
            idle_ms=60_000, write_ms=4000,
        )  # fmt: skip
        files = msgspec.structs.replace(terms.files, proxy_lost_after_ms=120_000)
        service = Service(
            msgspec.structs.replace(terms, front=front, files=files), decider=partial(OnDemandDecider, bool)
        )
        service.log = SilentLog()
        await nursery.start(service.run)
        started_at = time.perf_counter()
        processes = []
        for part in range(CALLER_PROCESSES):
            settings = CallerSettings(
                service.discovery_port,
                names[part::CALLER_PROCESSES],
                slow,
                encoding,
                str(folder / f"out{part}.json"),
            )
            path = folder / f"herd{part}.json"
            path.write_bytes(msgspec.json.encode(settings))
            args = [
                sys.executable,
                "-c",
                f"from willowhook.trial.herd import run_callers; run_callers({str(path)!r})",
            ]
            processes.append(subprocess.Popen(args))
        discovery_front = service.discovery
        assert discovery_front is not None
        reading_callers = callers - len(slow)
        with trio.fail_after(120):
            while (
                len(discovery_front.discovery_server) < reading_callers
                or len(service.publisher.sessions) < callers
            ):
                await trio.sleep(0.05)
        report.joined_s = time.perf_counter() - started_at
        await trio.sleep(1.0)
        sent_at, encoded_before, compressed_before = (
            [],
            discovery_front.response_cache.encoded,
            discovery_front.response_cache.compressed,
        )
        cpu_before = time.process_time()
        for change in range(1, CHANGES + 1):
            OnDemandDecider.requested_change = change
            sent_at.append(monotonic_ticks())
            await trio.sleep(3.0 if endpoints <= 200 else 8.0)
        report.cpu_ms = (time.process_time() - cpu_before) / CHANGES * 1000
        report.encoded, report.compressed = (
            discovery_front.response_cache.encoded - encoded_before,
            discovery_front.response_cache.compressed - compressed_before,
        )
        report.rss_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        report.closed_readers = discovery_front.http_server.slow_readers
        cached_bodies = discovery_front.response_cache._cache
        report.body_bytes = max(
            (
                len(body)
                for (_, body_encoding), body in cached_bodies.items()
                if bool(body_encoding) == bool(encoding)
            ),
            default=0,
        )
        (folder / "stop").write_bytes(b"")
        for process in processes:
            await trio.to_thread.run_sync(process.wait)
        _read_results(folder, report, sent_at, frozenset(slow))

    OnDemandDecider.requested_change = 0
    trio.run(run)
    return report


class SilentLog:
    """A log that discards everything: a thousand lines about joins are of no use here."""

    def bind(self, **_: Any) -> SilentLog:
        """Returns this log."""
        return self

    def info(self, text: str, /, **parts: Any) -> None:
        """Discards the event."""

    warning = info


def _read_results(folder: Path, report: HerdReport, sent_at: list[int], slow: frozenset[str]) -> None:
    received_at: dict[float, dict[str, int]] = {}
    for path in sorted(folder.glob("out*.json")):
        for name, t, weight in msgspec.json.decode(path.read_bytes()):
            if name not in slow:
                received_at.setdefault(round(weight, 2), {}).setdefault(name, t)
    for change, change_sent_at in enumerate(sent_at, 1):
        delays_ms = sorted(
            (t - change_sent_at) / 10 for t in received_at.get(round(1 + change / 100, 2), {}).values()
        )
        report.missed += report.callers - len(slow) - len(delays_ms)
        if delays_ms:
            report.p50_ms.append(delays_ms[len(delays_ms) // 2])
            report.p99_ms.append(delays_ms[int(len(delays_ms) * 0.99)])
            report.max_ms.append(delays_ms[-1])

"""Fuzzes the HTTP front of a real controller with malformed HTTP and JSON: no crash, hang or memory growth.

Each input is a valid request that was truncated, duplicated, bit-flipped, padded or mixed with another.
After every thousand inputs a well-behaved proxy must still be served.
"""

from __future__ import annotations

import hashlib
import random
import resource
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import msgspec
import trio

from ..config.terms import FrontTerms
from ..controlplane.service import Service
from ..web.wire import open_connection
from ..xds import forms
from ..xds.codec import encode
from .day import controller_config, draw_scenario
from .herd import TABLES_PATH, OnDemandDecider, SilentLog
from .notes import EventLog
from .standin_link import bearer_token
from .standin_roster import StandInRegistry

CONCURRENT_INPUTS = 24
PATHS = (
    b"/v3/discovery:endpoints", b"/v3/discovery:clusters", b"/v3/discovery:routes", TABLES_PATH,
    b"/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats", b"/", b"*", b"//x?y#z",
)  # fmt: skip


@dataclass
class FuzzReport:
    """Responses by status, hung requests and memory use of one run."""

    inputs: int
    seconds: float = 0.0
    by_status: dict[str, int] = field(default_factory=dict)
    hung: int = 0  # requests with neither a response nor a closed connection within the time limit
    rss_mb: tuple[float, float] = (0.0, 0.0)  # after a tenth of the inputs, and at the end
    checks: int = 0  # times that the well-behaved proxy was served

    def lines(self) -> list[str]:
        """Describes the result for a reader."""
        rows = ", ".join(f"{name} {count}" for name, count in sorted(self.by_status.items()))
        return [
            f"{self.inputs} inputs in {self.seconds:.0f} s: {rows}",
            f"{self.hung} hung; {self.rss_mb[0]:.0f} MB after a tenth, {self.rss_mb[1]:.0f} MB at the end; "
            f"the well-behaved proxy was served {self.checks} times",
        ]

    @property
    def passed(self) -> bool:
        """Whether the run found no violation."""
        return not self.hung and self.checks > 0 and self.rss_mb[1] < self.rss_mb[0] * 1.3 + 10


def valid_request(generator: random.Random, name: str) -> tuple[bytes, bytes]:
    """Returns the header and the body of a request that a proxy might send."""
    node = forms.Node(name, "calls", forms.Locality(zone="norte"), {"term": 1, "director": "director-0"})
    bodies = [
        encode(forms.DiscoveryRequest("1.1", node, ["a"], forms.ASSIGNMENT, "1.1", forms.Status(3, "no"))),
        encode(forms.DeltaDiscoveryRequest(node, forms.CLUSTER, ["*"], ["b"], {"a": "1.2"}, "0-1.1")),
        encode(forms.LoadStatsRequest(node, [forms.ClusterStats("load@t", load_report_interval="1s")])),
        encode(forms.DiscoveryRequest(node=forms.Node(name, metadata={"term": 1, "holds": [{"a": 1}] * 3}))),
    ]
    body = generator.choice(bodies)
    header_lines = [
        b"POST " + generator.choice(PATHS) + b" HTTP/1.1", b"host: a",
        b"authorization: Bearer " + bearer_token(name),
        b"accept-encoding: " + generator.choice([b"gzip", b"zstd;q=0.5, *", b"", b";;;", b"," * 200]),
        b"content-length: %d" % len(body),
    ]  # fmt: skip
    return b"\r\n".join(header_lines) + b"\r\n\r\n", body


def malformed_request(generator: random.Random) -> bytes:
    """Returns a valid request with one to four random mutations."""
    name = generator.choice(["p1", "p2", "nobody", "p1" * 40, "../p1"])
    header, body = valid_request(generator, name)
    data = bytearray(header + body)
    for _ in range(generator.randint(1, 4)):
        position = generator.randrange(len(data) + 1) if generator.random() < 0.7 else len(header) - 2
        mutation = generator.randrange(9)
        if mutation == 0 and data:
            data[position % len(data)] ^= 1 << generator.randrange(8)
        elif mutation == 1:
            del data[position:]
        elif mutation == 2:
            data[position:position] = generator.randbytes(generator.randint(1, 40))
        elif mutation == 3:
            data[position:position] = generator.choice(
                [b"[" * 3000, b'{"a":' * 2000, b'"' + b"x" * 5000, b"\x00", b"\xff\xfe"]
            )
        elif mutation == 4:
            data[position:position] = generator.choice(
                [b"1e999", b"-0", b"9" * 400, b"NaN", b"null", b"true", b'"\\ud800"']
            )
        elif mutation == 5:
            data += b"".join(valid_request(generator, "p2"))
        elif mutation == 6:
            data[position:position] = generator.choice(
                [b"transfer-encoding: chunked\r\n", b"content-length: 5\r\n", b"\r\n"]
            )
        elif mutation == 7:
            data[position:position] = data[: generator.randrange(len(data) + 1)]
        elif len(data) > 10:
            start, end = sorted((generator.randrange(len(data)), generator.randrange(len(data))))
            del data[start:end]
    return bytes(data)


def run_fuzz(folder: Path, inputs: int, seed: int, say: Callable[[str], None]) -> FuzzReport:
    """Sends this many malformed inputs to a controller that runs in this process."""
    folder.mkdir(parents=True, exist_ok=True)
    report = FuzzReport(inputs)
    scenario = draw_scenario(3, 60.0, hosts=6, proxies=1, directors=1, calls_per_s=1.0, troubles=[], spare=0)
    scenario.channel = msgspec.structs.replace(
        scenario.channel, lines_per_s=1e6, most_waiting_lines=1e6, messages_most=0
    )

    async def send_input(port: int, data: bytes, send_eof: bool) -> None:
        status = "closed"
        with trio.move_on_after(8.0) as limit:
            try:
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                async with stream:
                    await stream.send_all(data)
                    if send_eof:
                        await stream.send_eof()
                    response = await stream.receive_some(4096)
                    if response:
                        status = (
                            response[9:12].decode("latin-1")
                            if response.startswith(b"HTTP/1.1 ")
                            else "no HTTP"
                        )
            except (trio.BrokenResourceError, OSError):
                status = "broken off"
        if limit.cancelled_caught:
            status = "hung"
            report.hung += 1
        report.by_status[status] = report.by_status.get(status, 0) + 1

    async def check_served(service: Service, term: int) -> None:
        """Serves the well-behaved proxy once, in a new session."""
        node = forms.Node(
            "sound", "calls", forms.Locality(zone="norte"), {"term": term, "director": "director-0"}
        )
        connection = await open_connection("127.0.0.1", service.discovery_port)
        headers = [(b"authorization", b"Bearer " + bearer_token("sound"))]
        request = encode(forms.DeltaDiscoveryRequest(node, forms.ASSIGNMENT))
        with trio.fail_after(10):
            while (await connection.request(b"POST", TABLES_PATH, headers, request)).status != 200:
                request = encode(forms.DeltaDiscoveryRequest(type_url=forms.ASSIGNMENT))
        await connection.close()
        report.checks += 1

    async def run() -> None:
        discovery = StandInRegistry(EventLog(str(folder / "roster.notes")), 0.0)
        for index, plan in enumerate(scenario.hosts):
            plan.port = 20_000 + index
            discovery.register(plan)
        async with trio.open_nursery() as nursery:
            await nursery.start(discovery.run)
            token_hashes = {
                name: hashlib.sha256(bearer_token(name)).hexdigest() for name in ("p1", "p2", "sound")
            }
            (folder / "credentials.json").write_bytes(msgspec.json.encode({"proxies": token_hashes}))
            terms = controller_config(
                scenario, 0, str(folder / "d"), f"http://127.0.0.1:{discovery.port}", ""
            )
            front = FrontTerms(
                listen="127.0.0.1:0", credentials=str(folder / "credentials.json"), wait_ms=100,
                header_ms=300, idle_ms=500, asks_per_s=10_000, asks_burst=10_000, proxy_connections_most=100,
            )  # fmt: skip
            terms = msgspec.structs.replace(terms, front=front)
            service = Service(terms, decider=partial(OnDemandDecider, bool))
            service.log = SilentLog()
            await nursery.start(service.run)
            generator, started_at, early_rss_mb = random.Random(seed), time.perf_counter(), 0.0
            for index in range(0, inputs, CONCURRENT_INPUTS):
                async with trio.open_nursery() as batch:
                    for _ in range(min(CONCURRENT_INPUTS, inputs - index)):
                        batch.start_soon(
                            send_input,
                            service.discovery_port,
                            malformed_request(generator),
                            generator.random() < 0.9,
                        )
                if not early_rss_mb and index >= inputs / 10:
                    early_rss_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
                if index // 1000 != (index - CONCURRENT_INPUTS) // 1000:
                    await check_served(service, index + 1)
            report.seconds = time.perf_counter() - started_at
            report.rss_mb = (early_rss_mb, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)
            nursery.cancel_scope.cancel()

    OnDemandDecider.requested_change = 0
    trio.run(run)
    return report

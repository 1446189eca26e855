"""Malformed HTTP and JSON, without end, at a real director's front: no crash, no hang, no growth.

Each input is a sound call that was cut, doubled, flipped, stuffed or mixed with another.  A sound proxy goes
on beside them and must be served after every thousand.
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
from .day import draw, terms_of
from .herd import TABLES_PATH, OnDemand, Silent
from .notes import Notes
from .standin_link import token
from .standin_roster import StandInRoster

AT_ONCE = 24
PATHS = (
    b"/v3/discovery:endpoints", b"/v3/discovery:clusters", b"/v3/discovery:routes", TABLES_PATH,
    b"/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats", b"/", b"*", b"//x?y#z",
)  # fmt: skip


@dataclass
class FuzzReport:
    inputs: int
    seconds: float = 0.0
    by_status: dict[str, int] = field(default_factory=dict)
    hung: int = 0  # that had neither an answer nor an end within the time
    rss_mb: tuple[float, float] = (0.0, 0.0)  # after a tenth, at the end
    checks: int = 0  # times that the sound proxy was served

    def lines(self) -> list[str]:
        rows = ", ".join(f"{name} {count}" for name, count in sorted(self.by_status.items()))
        return [
            f"{self.inputs} inputs in {self.seconds:.0f} s: {rows}",
            f"{self.hung} hung; {self.rss_mb[0]:.0f} MB after a tenth, {self.rss_mb[1]:.0f} MB at the end; "
            f"the sound proxy was served {self.checks} times",
        ]

    @property
    def passed(self) -> bool:
        return not self.hung and self.checks > 0 and self.rss_mb[1] < self.rss_mb[0] * 1.3 + 10


def sound(chance: random.Random, name: str) -> tuple[bytes, bytes]:
    """A head and a body that a proxy might send."""
    node = forms.Node(name, "calls", forms.Locality(zone="norte"), {"term": 1, "director": "director-0"})
    bodies = [
        encode(forms.DiscoveryRequest("1.1", node, ["a"], forms.ASSIGNMENT, "1.1", forms.Status(3, "no"))),
        encode(forms.DeltaDiscoveryRequest(node, forms.CLUSTER, ["*"], ["b"], {"a": "1.2"}, "0-1.1")),
        encode(forms.LoadStatsRequest(node, [forms.ClusterStats("load@t", load_report_interval="1s")])),
        encode(forms.DiscoveryRequest(node=forms.Node(name, metadata={"term": 1, "holds": [{"a": 1}] * 3}))),
    ]
    body = chance.choice(bodies)
    lines = [
        b"POST " + chance.choice(PATHS) + b" HTTP/1.1", b"host: a", b"authorization: Bearer " + token(name),
        b"accept-encoding: " + chance.choice([b"gzip", b"zstd;q=0.5, *", b"", b";;;", b"," * 200]),
        b"content-length: %d" % len(body),
    ]  # fmt: skip
    return b"\r\n".join(lines) + b"\r\n\r\n", body


def spoiled(chance: random.Random) -> bytes:
    name = chance.choice(["p1", "p2", "nobody", "p1" * 40, "../p1"])
    head, body = sound(chance, name)
    data = bytearray(head + body)
    for _ in range(chance.randint(1, 4)):
        at = chance.randrange(len(data) + 1) if chance.random() < 0.7 else len(head) - 2
        way = chance.randrange(9)
        if way == 0 and data:
            data[at % len(data)] ^= 1 << chance.randrange(8)
        elif way == 1:
            del data[at:]
        elif way == 2:
            data[at:at] = chance.randbytes(chance.randint(1, 40))
        elif way == 3:
            data[at:at] = chance.choice(
                [b"[" * 3000, b'{"a":' * 2000, b'"' + b"x" * 5000, b"\x00", b"\xff\xfe"]
            )
        elif way == 4:
            data[at:at] = chance.choice([b"1e999", b"-0", b"9" * 400, b"NaN", b"null", b"true", b'"\\ud800"'])
        elif way == 5:
            data += b"".join(sound(chance, "p2"))
        elif way == 6:
            data[at:at] = chance.choice(
                [b"transfer-encoding: chunked\r\n", b"content-length: 5\r\n", b"\r\n"]
            )
        elif way == 7:
            data[at:at] = data[: chance.randrange(len(data) + 1)]
        elif len(data) > 10:
            one, other = sorted((chance.randrange(len(data)), chance.randrange(len(data))))
            del data[one:other]
    return bytes(data)


def run_fuzz(folder: Path, inputs: int, seed: int, say: Callable[[str], None]) -> FuzzReport:
    folder.mkdir(parents=True, exist_ok=True)
    report = FuzzReport(inputs)
    day = draw(3, 60.0, hosts=6, proxies=1, directors=1, calls_per_s=1.0, troubles=[], spare=0)
    day.channel = msgspec.structs.replace(
        day.channel, lines_per_s=1e6, most_waiting_lines=1e6, messages_most=0
    )

    async def one(port: int, data: bytes, cut: bool) -> None:
        status = "closed"
        with trio.move_on_after(8.0) as limit:
            try:
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                async with stream:
                    await stream.send_all(data)
                    if cut:
                        await stream.send_eof()
                    got = await stream.receive_some(4096)
                    if got:
                        status = got[9:12].decode("latin-1") if got.startswith(b"HTTP/1.1 ") else "no HTTP"
            except (trio.BrokenResourceError, OSError):
                status = "broken off"
        if limit.cancelled_caught:
            status = "hung"
            report.hung += 1
        report.by_status[status] = report.by_status.get(status, 0) + 1

    async def served(service: Service, term: int) -> None:
        """The sound proxy, in a stay of its own."""
        node = forms.Node(
            "sound", "calls", forms.Locality(zone="norte"), {"term": term, "director": "director-0"}
        )
        caller = await open_connection("127.0.0.1", service.discovery_port)
        head = [(b"authorization", b"Bearer " + token("sound"))]
        asked = encode(forms.DeltaDiscoveryRequest(node, forms.ASSIGNMENT))
        with trio.fail_after(10):
            while (await caller.request(b"POST", TABLES_PATH, head, asked)).status != 200:
                asked = encode(forms.DeltaDiscoveryRequest(type_url=forms.ASSIGNMENT))
        await caller.close()
        report.checks += 1

    async def run() -> None:
        roster = StandInRoster(Notes(str(folder / "roster.notes")), 0.0)
        for k, plan in enumerate(day.hosts):
            plan.port = 20_000 + k
            roster.show(plan)
        async with trio.open_nursery() as nursery:
            await nursery.start(roster.run)
            sums = {n: hashlib.sha256(token(n)).hexdigest() for n in ("p1", "p2", "sound")}
            (folder / "credentials.json").write_bytes(msgspec.json.encode({"proxies": sums}))
            terms = terms_of(day, 0, str(folder / "d"), f"http://127.0.0.1:{roster.port}", "")
            front = FrontTerms(
                listen="127.0.0.1:0", credentials=str(folder / "credentials.json"), wait_ms=100,
                header_ms=300, idle_ms=500, asks_per_s=10_000, asks_burst=10_000, proxy_connections_most=100,
            )  # fmt: skip
            terms = msgspec.structs.replace(terms, front=front)
            service = Service(terms, decider=partial(OnDemand, bool))
            service.log = Silent()
            await nursery.start(service.run)
            chance, began, early = random.Random(seed), time.perf_counter(), 0.0
            for k in range(0, inputs, AT_ONCE):
                async with trio.open_nursery() as some:
                    for _ in range(min(AT_ONCE, inputs - k)):
                        some.start_soon(one, service.discovery_port, spoiled(chance), chance.random() < 0.9)
                if not early and k >= inputs / 10:
                    early = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
                if k // 1000 != (k - AT_ONCE) // 1000:
                    await served(service, k + 1)
            report.seconds = time.perf_counter() - began
            report.rss_mb = (early, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)
            nursery.cancel_scope.cancel()

    OnDemand.go = 0
    trio.run(run)
    return report

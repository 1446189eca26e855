"""A thousand proxies that report to one director: steadily, all at once, ten times too often; some hostile.

The reporters are stand-ins of a proxy's reporting side alone: they join, answer what they are sent and report
sums of hosts that nobody asks, half through files and half by calls.  Beside them the list of hosts changes
ten times a second: from the change to the moment in which the director decides on it is the delay.  Once a
phase a host drains; that it is kept in time, and nobody without hosts, is read from the folders.
"""

from __future__ import annotations

import hashlib
import json
import math
import os
import random
import shutil
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import trio

from ..clock import monotonic_ticks
from ..config.terms import FrontTerms
from ..files.follow import FileGroupFollower
from ..files.layout import INBOUND_FOLDER, LOAD_FILE, OUTBOUND_FOLDER, REPORT_INTERVAL_FILE, STATUS_FILE
from ..files.ops import DiskOps
from ..files.swap import read_group, swap_file
from ..records.writer import read_records
from ..ticks import TICKS_PER_SECOND, ticks_from_seconds
from ..web.wire import ClientConnection, ConnectionLostError, open_connection
from ..xds import forms, tables
from ..xds.codec import MessageFormatError, decode, encode, parse_duration
from .day import HostPlan, draw, terms_of
from .notes import Notes, read_notes
from .ports import PortReservations
from .standin_link import LOADS, token
from .standin_roster import StandInRoster

PHASES = ("steady", "at once", "ten times", "steady again")
PERIOD_S = 2.0  # between reports
SEEN = 12  # hosts of one report
ASK = {
    forms.ASSIGNMENT: b"/envoy.service.endpoint.v3.EndpointDiscoveryService/DeltaEndpoints",
    forms.CLUSTER: b"/envoy.service.cluster.v3.ClusterDiscoveryService/DeltaClusters",
    forms.ROUTES: b"/envoy.service.route.v3.RouteDiscoveryService/DeltaRoutes",
}
HOSTILE = ("cut", "huge", "deep", "lies", "old")


class Orders(msgspec.Struct):
    names: list[str]
    hostile: list[str]
    folder: str
    port: int
    hosts: list[tuple[str, int]]
    routes: list[str]
    period_s: float
    start: int
    phase_s: float
    seed: int
    out: str


class Reporter:
    """One proxy's reporting side."""

    def __init__(self, orders: Orders, name: str, web: bool) -> None:
        self.o, self.name, self.web = orders, name, web
        self.chance = random.Random(f"{orders.seed} {name}")
        self.bad = HOSTILE[self.chance.randrange(len(HOSTILE))] if name in orders.hostile else ""
        self.sent = self.asked = 0
        self.every = orders.period_s
        self.made = self._template()
        self.last = time.time()
        self.wait_s = self.chance.random() * 4
        self.versions: dict[str, bytes] = {}

    def node(self, **more: Any) -> forms.Node:
        told = {"term": 1, "director": "director-0", "usual_calls_per_s": 5.0, **more}
        return forms.Node(self.name, "calls", forms.Locality(zone="norte"), told)

    def _template(self) -> list[forms.ClusterStats]:
        """Sums of hosts that all do equally well: tables stay as they are, so reports are all there is."""
        rows = []
        for route in self.o.routes:
            zone = forms.UpstreamLocalityStats(forms.Locality(zone="norte"))
            for address, port in self.chance.sample(self.o.hosts, SEEN):
                at = forms.Address(forms.SocketAddress(address, port))
                good = self.chance.randrange(1, 9)
                row = forms.UpstreamEndpointStats(at, good, 0, 0, good)
                row.load_metric_stats = [
                    forms.LoadMetricStats("latency_seconds", good, 0.2 * good),
                    forms.LoadMetricStats("cpu_utilization", good, 0.4 * good),
                ]
                zone.upstream_endpoint_stats.append(row)
            rows.append(forms.ClusterStats(f"{route}@t0", "", [zone], 0, [], ""))
        return rows

    def report(self) -> bytes:
        now = time.time()
        if self.bad == "cut":
            return self.whole(now)[:-40]
        if self.bad == "huge":
            return b'{"node": {"id": "' + b"x" * 1_500_000 + b'"}}'
        if self.bad == "deep":
            return b"[" * 50_000
        if self.bad == "lies":
            return self.whole(now).replace(
                b'"total_successful_requests":', b'"total_successful_requests":9999999999'
            )
        if self.bad == "old":  # what it reported first, again and again
            self.old = getattr(self, "old", None) or self.whole(now)
            return self.old
        return self.whole(now)

    def whole(self, now: float) -> bytes:
        since, self.last = min(self.last, now - 0.001), now
        for row in self.made:
            row.load_report_interval = f"{max(now - since, 0.001):.4f}s"
        node = self.node(load_from=since, load_until=now, process="1")
        return encode(forms.LoadStatsRequest(node, self.made))

    # By files.

    def join(self) -> None:
        up = f"{self.o.folder}/{INBOUND_FOLDER}"
        temp = f"{up}/.{self.name}"
        shutil.rmtree(temp, ignore_errors=True)
        os.mkdir(temp)
        swap_file(DiskOps(), temp, STATUS_FILE, encode(forms.ClientConfig(self.node())))
        os.rename(temp, f"{up}/{self.name}")

    def answer_files(self, files: dict[str, bytes]) -> None:
        """What lies there is answered at once, as proxies do."""
        for kind, url in forms.TYPE_URLS.items():
            data = files.get(f"{kind}.json")
            if data is None or self.versions.get(kind) == data:
                continue
            self.versions[kind] = data
            try:
                got = decode(data, forms.DiscoveryResponse)
                said = forms.DiscoveryRequest(got.version_info, self.node(), [], url, got.nonce)
                swap_file(
                    DiskOps(), f"{self.o.folder}/{INBOUND_FOLDER}/{self.name}", f"{kind}.json", encode(said)
                )
            except (OSError, MessageFormatError):
                return

    def pace(self) -> None:
        try:
            with open(f"{self.o.folder}/{REPORT_INTERVAL_FILE}", "rb") as file:
                said = decode(file.read(), forms.LoadStatsResponse).load_reporting_interval
            self.every = max(self.o.period_s, parse_duration(said))
        except (OSError, MessageFormatError):
            self.every = self.o.period_s

    # Both.

    async def run(self) -> None:
        caller: ClientConnection | None = None
        if not self.web:
            await trio.sleep(self.wait_s)
            self.join()
        else:
            await trio.sleep(self.wait_s + 0.5)
        while True:
            phase = self.phase()
            if self.web:
                caller = await self._post(caller)
            else:
                self.pace()
                try:
                    swap_file(
                        DiskOps(), f"{self.o.folder}/{INBOUND_FOLDER}/{self.name}", LOAD_FILE, self.report()
                    )
                    self.sent += 1
                except OSError:
                    self.join()  # it was given up, and comes again
            now = (monotonic_ticks() - self.o.start) / TICKS_PER_SECOND
            if phase == 1:
                await trio.sleep(max(0.0, (math.floor(now / self.every) + 1) * self.every - now))
            elif phase == 2:
                await trio.sleep(self.o.period_s / 10)
            else:
                await trio.sleep(self.every * (0.9 + 0.2 * self.chance.random()))

    def phase(self) -> int:
        return min(
            max(0, int((monotonic_ticks() - self.o.start) / TICKS_PER_SECOND / self.o.phase_s)),
            len(PHASES) - 1,
        )

    async def _post(self, caller: ClientConnection | None) -> ClientConnection | None:
        head = [(b"authorization", b"Bearer " + token(self.name))]
        try:
            if caller is None or not caller.usable:
                caller = await open_connection("127.0.0.1", self.o.port, 5.0)
            with trio.fail_after(5.0):
                reply = await caller.request(b"POST", LOADS, head, self.report())
            self.sent += 1
            if reply.status == 200:
                said = decode(reply.body, forms.LoadStatsResponse)
                self.every = max(self.o.period_s, parse_duration(said.load_reporting_interval))
            return caller
        except (ConnectionLostError, MessageFormatError, trio.TooSlowError):
            if caller is not None:
                await caller.close()
            return None

    async def follow(self, kind: str) -> None:
        """What it is to hold of one type, by calls that wait."""
        head = [(b"authorization", b"Bearer " + token(self.name))]
        caller: ClientConnection | None = None
        nonce = ""
        await trio.sleep(self.wait_s)
        while True:
            try:
                if caller is None or not caller.usable:
                    caller, nonce = await open_connection("127.0.0.1", self.o.port, 5.0), ""
                    asked = forms.DeltaDiscoveryRequest(self.node(), kind)
                else:
                    asked = forms.DeltaDiscoveryRequest(type_url=kind, response_nonce=nonce)
                reply = await caller.request(b"POST", ASK[kind], head, encode(asked))
                if reply.status == 200:
                    nonce = decode(reply.body, forms.DeltaDiscoveryResponse).nonce
                elif reply.status != 304:
                    await trio.sleep(0.5)
                    nonce = ""
            except (ConnectionLostError, MessageFormatError):
                caller = None
                await trio.sleep(0.3)


async def _report_all(orders: Orders) -> None:
    rows = [Reporter(orders, name, int(name.rpartition("-")[2]) % 2 == 1) for name in orders.names]
    by_name = {row.name: row for row in rows}
    followers = FileGroupFollower("inotify", 0.02, lambda name, files: by_name[name].answer_files(files))
    with trio.move_on_after(
        (orders.start - monotonic_ticks()) / TICKS_PER_SECOND + orders.phase_s * len(PHASES)
    ):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(followers.run)
            for row in rows:
                nursery.start_soon(row.run)
                if not row.web:
                    followers.follow(row.name, f"{orders.folder}/{OUTBOUND_FOLDER}", row.name)
                for kind in ASK if row.web else ():
                    nursery.start_soon(row.follow, kind)
            print("ready", flush=True)
    Path(orders.out).write_bytes(msgspec.json.encode({row.name: row.sent for row in rows}))


def report_all(path: str) -> None:
    """The main of a process of reporters."""
    trio.run(_report_all, msgspec.json.decode(Path(path).read_bytes(), type=Orders))


@dataclass
class Phase:
    delays_ms: list[float] = field(default_factory=list)
    looked_at: int = 0
    came: int = 0
    dropped: int = 0
    spent_us: int = 0
    handed: int = 0
    waiting: int = 0
    bytes: int = 0
    interval_ms: float = 0.0
    rss_mb: float = 0.0

    def line(self, name: str, length_s: float) -> str:
        rows = sorted(self.delays_ms) or [0.0]
        p99 = rows[min(len(rows) - 1, int(len(rows) * 0.99))]
        each = self.spent_us / max(self.looked_at, 1)
        return (
            f"{name:13} delay median {statistics.median(rows):5.1f} ms, p99 {p99:5.1f}, max {rows[-1]:5.1f}"
            f" of {len(rows)}; came {self.came / length_s:.0f}/s, seen {self.looked_at / length_s:.0f}/s,"
            f" {each:.0f} us each; waiting {self.waiting} ({self.bytes / 1e6:.1f} MB);"
            f" every {self.interval_ms:.0f} ms; {self.rss_mb:.0f} MB"
        )


@dataclass
class FloodReport:
    proxies: int
    phases: dict[str, Phase]
    phase_s: float
    faults: list[str] = field(default_factory=list)
    quarantined: int = 0
    hostile: int = 0
    cpu_s: float = 0.0

    @property
    def passed(self) -> bool:
        return not self.faults

    def lines(self) -> list[str]:
        rows = [phase.line(name, self.phase_s) for name, phase in self.phases.items()]
        told = f"{self.hostile} hostile, {self.quarantined} left aside; director {self.cpu_s:.1f} s of CPU"
        return [f"{self.proxies} proxies", *rows, told, *self.faults]


def run_flood(
    folder: Path, proxies: int, hosts: int, phase_s: float, per_s: float, say: Callable[[str], None],
    parts: int = 4, seed: int = 1,
) -> FloodReport:  # fmt: skip
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    with PortReservations() as reservations:
        port = reservations.reserve()
        return trio.run(_flood, folder, proxies, hosts, phase_s, per_s, say, parts, seed, port)


async def _flood(
    folder: Path, proxies: int, hosts: int, phase_s: float, per_s: float, say: Callable[[str], None],
    parts: int, seed: int, port: int,
) -> FloodReport:  # fmt: skip
    replace = msgspec.structs.replace
    day = draw(seed, hosts=1, proxies=proxies, directors=1, troubles=[], spare=0)
    chance = random.Random(seed)
    plans = [HostPlan(f"host-{k}", "norte", "usual", 4, 1.0, 80, 400, 8.0, 30_000 + k) for k in range(hosts)]
    roster = StandInRoster(Notes(str(folder / "roster.notes")), 0.0)
    for plan in plans:
        roster.show(plan)
    place = folder / "director-0"
    credentials = folder / "credentials.json"
    names = [f"proxy-{k}" for k in range(proxies)]
    sums = {name: hashlib.sha256(token(name)).hexdigest() for name in names}
    credentials.write_bytes(msgspec.json.encode({"proxies": sums}))
    done = FloodReport(proxies, {name: Phase() for name in PHASES}, phase_s)
    async with trio.open_nursery() as nursery:
        await nursery.start(roster.run)
        url, records = f"http://127.0.0.1:{roster.port}", str(folder / "director-0.records")
        day.fleet = replace(
            day.fleet, proxies=proxies + 50, report_every_ms=PERIOD_S * 1000, reports_per_s=per_s
        )
        lines = max(4000.0, 20.0 * proxies)
        day.channel = replace(day.channel, lines_per_s=lines, most_waiting_lines=4 * lines, messages_most=0)
        terms = terms_of(day, 0, str(place), url, records)
        front = FrontTerms(
            listen=f"127.0.0.1:{port}", credentials=str(credentials), wait_ms=10_000,
            connections_most=max(4000, 4 * proxies + 400),
        )  # fmt: skip
        terms = replace(terms, front=front, directors=1, zone="norte")
        path = folder / "director-0.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(terms)))
        with open(folder / "director-0.log", "wb") as log:
            command = [sys.executable, "-m", "willowhook.cli", "director", "--config", str(path)]
            director = subprocess.Popen(command, stderr=log, stdout=subprocess.DEVNULL)
        reporters: list[subprocess.Popen[bytes]] = []
        try:
            with trio.fail_after(20):
                while not (place / "lock").exists():
                    await trio.sleep(0.05)
            await trio.sleep(1.0)
            hostile = chance.sample(names, max(1, proxies // 100))
            done.hostile = len(hostile)
            settle = 6.0 + proxies / 80
            start = monotonic_ticks() + ticks_from_seconds(settle)
            for part in range(parts):
                orders = Orders(
                    names[part::parts], hostile, str(place), port,
                    [("127.0.0.1", plan.port) for plan in plans], [r.name for r in day.routes], PERIOD_S,
                    start, phase_s, seed, str(folder / f"sent-{part}.json"),
                )  # fmt: skip
                one = folder / f"reporters-{part}.json"
                one.write_bytes(msgspec.json.encode(orders))
                code = f"from willowhook.trial.flood import report_all; report_all({str(one)!r})"
                reporters.append(subprocess.Popen([sys.executable, "-c", code]))
            await trio.sleep(max(0.0, (start - monotonic_ticks()) / TICKS_PER_SECOND))
            marks = [_usage(director.pid)]
            changes: dict[int, int] = {}
            files = [name for name in names[::2] if name not in hostile]
            for k, name in enumerate(PHASES):
                end = start + round((k + 1) * phase_s * TICKS_PER_SECOND)
                await _probe(roster, plans, place, files, end, k, changes, done)
                marks.append(_usage(director.pid))
                done.phases[name].rss_mb = marks[-1][1]
                say(f"{name}: {len(changes)} changes so far")
            done.cpu_s = marks[-1][0] - marks[0][0]
            done.faults += _check(place, names, hostile)
        finally:
            for process in [*reporters, director]:
                process.terminate()
            for process in [*reporters, director]:
                process.wait()
            nursery.cancel_scope.cancel()
    roster.notes.flush()
    _read(done, records, start, phase_s, changes, str(folder / "roster.notes"))
    return done


def _usage(pid: int) -> tuple[float, float]:
    """Seconds of CPU and MB."""
    parts = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu = (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")
    return cpu, int(parts[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def _probe(
    roster: StandInRoster, plans: list[HostPlan], place: Path, names: list[str], end: int, k: int,
    changes: dict[int, int], done: FloodReport,
) -> None:  # fmt: skip
    """The list changes ten times a second, and once in a phase a host drains, which must be kept in time."""
    drained = plans[k + 1]
    half, at = (monotonic_ticks() + end) // 2, 0
    while monotonic_ticks() < end:
        entry = roster.entries[plans[0].id]
        entry["Service"]["Meta"]["mark"] = str(len(changes))  # it means nothing to anybody
        roster._set(plans[0].id, entry)
        changes[roster.index] = monotonic_ticks()
        if monotonic_ticks() > half and not at:
            at = monotonic_ticks()
            roster._set(drained.id, roster.entry(drained, True, 0.0))
        await trio.sleep(0.1)
    await trio.sleep(max(0.0, (at - monotonic_ticks()) / TICKS_PER_SECOND + 2.5))
    late = [name for name in names if _sends_to(place, name, drained.id)]
    if late:
        done.faults.append(f"{len(late)} proxies send to {drained.id} 2.5 s after it began to drain (rule 3)")


def _sends_to(place: Path, name: str, host: str) -> bool:
    try:
        rows = tables.read_tables(read_group(str(place / OUTBOUND_FOLDER / name))[1]["eds.json"])[1]
    except (OSError, MessageFormatError, KeyError):
        return False
    return any(line[0] == host and not line[5] for table in rows for line in tables.lines(table))


def _check(place: Path, names: list[str], hostile: list[str]) -> list[str]:
    """By what lies in the folders: nobody who reports was given up, and every table has hosts (rule 1)."""
    found = []
    for name in names[::2]:
        if name in hostile:
            continue
        try:
            _, files = read_group(str(place / OUTBOUND_FOLDER / name))
            rows = tables.read_tables(files["eds.json"])[1]
            if not rows or any(not tables.lines(table) for table in rows):
                found.append(f"{name} has a table without a host")
        except (OSError, MessageFormatError, KeyError) as fault:
            found.append(f"{name} has no tables: {fault}")
    return found[:5]


def _read(
    done: FloodReport, records: str, start: int, phase_s: float, changes: dict[int, int], notes_of_roster: str
) -> None:
    """The director's own count of reports, by phase; and whether its queue kept its limit."""
    rows = list(read_records(records))
    offset = 100_000 * TICKS_PER_SECOND  # of its clock beside the machine's
    notes = [row for row in rows if row["kind"] == "intake"]
    # the lists that the roster gave, in order, are those that the director decided on, after its own last one
    given = [row["index"] for row in read_notes(notes_of_roster) if row["kind"] == "listed"]
    decided = [row["t"] - offset for row in rows if row["kind"] == "list"][1:]
    for number, at in changes.items():
        k = next((k for k, index in enumerate(given) if index >= number), len(given))
        phase = done.phases[
            PHASES[min(max(0, int((at - start) / TICKS_PER_SECOND / phase_s)), len(PHASES) - 1)]
        ]
        if k >= len(decided):
            done.faults.append(f"change {number} was never decided on")
        else:
            phase.delays_ms.append((decided[k] - at) / 10)
    for k, phase in enumerate(done.phases.values()):
        since = start + offset + round(k * phase_s * TICKS_PER_SECOND)
        inside = [row for row in notes if since <= row["t"] < since + phase_s * TICKS_PER_SECOND]
        if len(inside) < 2:
            continue
        a, b = inside[0], inside[-1]
        scale = phase_s * TICKS_PER_SECOND / (b["t"] - a["t"])
        for name in ("looked_at", "came", "dropped", "spent_us", "handed"):
            setattr(phase, name, round((b[name] - a[name]) * scale))
        phase.waiting, phase.bytes = max(r["waiting"] for r in inside), max(r["bytes"] for r in inside)
        phase.interval_ms = b["interval"] / 10
    done.quarantined = len({row["proxy"] for row in rows if row["kind"] == "quarantined"})
    most = json.loads(Path(records.replace(".records", ".json")).read_text())["channel"]["most_waiting_lines"]
    over = [row for row in rows if row["kind"] == "queue" and row["waiting"] > most]
    if over:
        done.faults.append(f"the queue was over its limit {len(over)} times")

"""Load test of one controller's report intake: a thousand proxies report steadily, all at once or too often.

The reporters are stand-ins for the reporting side of a proxy only: they join, acknowledge updates and report
statistics of endpoints that receive no requests; half of them use files and half HTTP.  Some send malformed
reports.  Meanwhile the endpoint list changes ten times a second; the measured delay is the time from a change
to the controller's decision on it.  Once per phase an endpoint drains.  The outbound folders show whether it
was drained in time and whether every proxy has endpoints.
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
from .day import EndpointPlan, controller_config, draw_scenario
from .notes import EventLog, read_events
from .ports import PortReservations
from .standin_link import LOAD_REPORT_PATH, bearer_token
from .standin_roster import StandInRegistry

PHASES = ("steady", "at once", "ten times", "steady again")
PERIOD_S = 2.0  # between two reports of a proxy
ENDPOINTS_PER_REPORT = 12
DELTA_PATHS = {
    forms.ASSIGNMENT: b"/envoy.service.endpoint.v3.EndpointDiscoveryService/DeltaEndpoints",
    forms.CLUSTER: b"/envoy.service.cluster.v3.ClusterDiscoveryService/DeltaClusters",
    forms.ROUTES: b"/envoy.service.route.v3.RouteDiscoveryService/DeltaRoutes",
}
MALFORMED_REPORT_KINDS = ("cut", "huge", "deep", "lies", "old")


class ReporterSettings(msgspec.Struct):
    """Settings of one process of reporters, handed over as a JSON file."""

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
    """The reporting side of one proxy."""

    def __init__(self, settings: ReporterSettings, name: str, over_http: bool) -> None:
        self.settings, self.name, self.over_http = settings, name, over_http
        self.random = random.Random(f"{settings.seed} {name}")
        self.malformed_kind = (
            MALFORMED_REPORT_KINDS[self.random.randrange(len(MALFORMED_REPORT_KINDS))]
            if name in settings.hostile
            else ""
        )
        self.sent = self.asked = 0
        self.interval_s = settings.period_s
        self.statistics = self._template()
        self.last_report = time.time()
        self.start_delay_s = self.random.random() * 4
        self.versions: dict[str, bytes] = {}

    def node(self, **fields: Any) -> forms.Node:
        """The node of a request, with these additional metadata fields."""
        metadata = {"term": 1, "director": "director-0", "usual_calls_per_s": 5.0, **fields}
        return forms.Node(self.name, "calls", forms.Locality(zone="norte"), metadata)

    def _template(self) -> list[forms.ClusterStats]:
        """Statistics of endpoints that all perform equally, so that the tables don't change."""
        clusters = []
        for route in self.settings.routes:
            zone = forms.UpstreamLocalityStats(forms.Locality(zone="norte"))
            for address, port in self.random.sample(self.settings.hosts, ENDPOINTS_PER_REPORT):
                endpoint_address = forms.Address(forms.SocketAddress(address, port))
                successes = self.random.randrange(1, 9)
                endpoint = forms.UpstreamEndpointStats(endpoint_address, successes, 0, 0, successes)
                endpoint.load_metric_stats = [
                    forms.LoadMetricStats("latency_seconds", successes, 0.2 * successes),
                    forms.LoadMetricStats("cpu_utilization", successes, 0.4 * successes),
                ]
                zone.upstream_endpoint_stats.append(endpoint)
            clusters.append(forms.ClusterStats(f"{route}@t0", "", [zone], 0, [], ""))
        return clusters

    def report(self) -> bytes:
        """The next report, malformed if this reporter sends malformed ones."""
        now = time.time()
        if self.malformed_kind == "cut":
            return self.complete_report(now)[:-40]
        if self.malformed_kind == "huge":
            return b'{"node": {"id": "' + b"x" * 1_500_000 + b'"}}'
        if self.malformed_kind == "deep":
            return b"[" * 50_000
        if self.malformed_kind == "lies":
            return self.complete_report(now).replace(
                b'"total_successful_requests":', b'"total_successful_requests":9999999999'
            )
        if self.malformed_kind == "old":  # repeats its first report
            self.first_report = getattr(self, "first_report", None) or self.complete_report(now)
            return self.first_report
        return self.complete_report(now)

    def complete_report(self, now: float) -> bytes:
        """A well-formed report for the time since the last one."""
        since, self.last_report = min(self.last_report, now - 0.001), now
        for cluster in self.statistics:
            cluster.load_report_interval = f"{max(now - since, 0.001):.4f}s"
        node = self.node(load_from=since, load_until=now, process="1")
        return encode(forms.LoadStatsRequest(node, self.statistics))

    # Reporting by files.

    def join(self) -> None:
        """Creates the inbound folder of this proxy."""
        inbound = f"{self.settings.folder}/{INBOUND_FOLDER}"
        temporary = f"{inbound}/.{self.name}"
        shutil.rmtree(temporary, ignore_errors=True)
        os.mkdir(temporary)
        swap_file(DiskOps(), temporary, STATUS_FILE, encode(forms.ClientConfig(self.node())))
        os.rename(temporary, f"{inbound}/{self.name}")

    def acknowledge_files(self, files: dict[str, bytes]) -> None:
        """Acknowledges new files at once, as proxies do."""
        for kind, url in forms.TYPE_URLS.items():
            data = files.get(f"{kind}.json")
            if data is None or self.versions.get(kind) == data:
                continue
            self.versions[kind] = data
            try:
                response = decode(data, forms.DiscoveryResponse)
                acknowledgement = forms.DiscoveryRequest(
                    response.version_info, self.node(), [], url, response.nonce
                )
                swap_file(
                    DiskOps(),
                    f"{self.settings.folder}/{INBOUND_FOLDER}/{self.name}",
                    f"{kind}.json",
                    encode(acknowledgement),
                )
            except (OSError, MessageFormatError):
                return

    def read_report_interval(self) -> None:
        """Reads the report interval that the controller asks for."""
        try:
            with open(f"{self.settings.folder}/{REPORT_INTERVAL_FILE}", "rb") as file:
                interval = decode(file.read(), forms.LoadStatsResponse).load_reporting_interval
            self.interval_s = max(self.settings.period_s, parse_duration(interval))
        except (OSError, MessageFormatError):
            self.interval_s = self.settings.period_s

    # Reporting by files or by HTTP.

    async def run(self) -> None:
        """Joins and sends reports in the rhythm of the current phase."""
        connection: ClientConnection | None = None
        if not self.over_http:
            await trio.sleep(self.start_delay_s)
            self.join()
        else:
            await trio.sleep(self.start_delay_s + 0.5)
        while True:
            phase = self.phase()
            if self.over_http:
                connection = await self._post(connection)
            else:
                self.read_report_interval()
                try:
                    swap_file(
                        DiskOps(),
                        f"{self.settings.folder}/{INBOUND_FOLDER}/{self.name}",
                        LOAD_FILE,
                        self.report(),
                    )
                    self.sent += 1
                except OSError:
                    self.join()  # the controller removed this proxy's folder: join again
            elapsed_s = (monotonic_ticks() - self.settings.start) / TICKS_PER_SECOND
            if phase == 1:
                await trio.sleep(
                    max(0.0, (math.floor(elapsed_s / self.interval_s) + 1) * self.interval_s - elapsed_s)
                )
            elif phase == 2:
                await trio.sleep(self.settings.period_s / 10)
            else:
                await trio.sleep(self.interval_s * (0.9 + 0.2 * self.random.random()))

    def phase(self) -> int:
        """The index of the current phase."""
        return min(
            max(0, int((monotonic_ticks() - self.settings.start) / TICKS_PER_SECOND / self.settings.phase_s)),
            len(PHASES) - 1,
        )

    async def _post(self, connection: ClientConnection | None) -> ClientConnection | None:
        headers = [(b"authorization", b"Bearer " + bearer_token(self.name))]
        try:
            if connection is None or not connection.usable:
                connection = await open_connection("127.0.0.1", self.settings.port, 5.0)
            with trio.fail_after(5.0):
                reply = await connection.request(b"POST", LOAD_REPORT_PATH, headers, self.report())
            self.sent += 1
            if reply.status == 200:
                response = decode(reply.body, forms.LoadStatsResponse)
                self.interval_s = max(
                    self.settings.period_s, parse_duration(response.load_reporting_interval)
                )
            return connection
        except (ConnectionLostError, MessageFormatError, trio.TooSlowError):
            if connection is not None:
                await connection.close()
            return None

    async def follow_updates(self, type_url: str) -> None:
        """Follows the updates of one resource type by long polling, and acknowledges them."""
        headers = [(b"authorization", b"Bearer " + bearer_token(self.name))]
        connection: ClientConnection | None = None
        nonce = ""
        await trio.sleep(self.start_delay_s)
        while True:
            try:
                if connection is None or not connection.usable:
                    connection, nonce = await open_connection("127.0.0.1", self.settings.port, 5.0), ""
                    request = forms.DeltaDiscoveryRequest(self.node(), type_url)
                else:
                    request = forms.DeltaDiscoveryRequest(type_url=type_url, response_nonce=nonce)
                reply = await connection.request(b"POST", DELTA_PATHS[type_url], headers, encode(request))
                if reply.status == 200:
                    nonce = decode(reply.body, forms.DeltaDiscoveryResponse).nonce
                elif reply.status != 304:
                    await trio.sleep(0.5)
                    nonce = ""
            except (ConnectionLostError, MessageFormatError):
                connection = None
                await trio.sleep(0.3)


async def _run_reporters(settings: ReporterSettings) -> None:
    reporters = [Reporter(settings, name, int(name.rpartition("-")[2]) % 2 == 1) for name in settings.names]
    reporter_by_name = {reporter.name: reporter for reporter in reporters}
    followers = FileGroupFollower(
        "inotify", 0.02, lambda name, files: reporter_by_name[name].acknowledge_files(files)
    )
    with trio.move_on_after(
        (settings.start - monotonic_ticks()) / TICKS_PER_SECOND + settings.phase_s * len(PHASES)
    ):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(followers.run)
            for reporter in reporters:
                nursery.start_soon(reporter.run)
                if not reporter.over_http:
                    followers.follow(reporter.name, f"{settings.folder}/{OUTBOUND_FOLDER}", reporter.name)
                for kind in DELTA_PATHS if reporter.over_http else ():
                    nursery.start_soon(reporter.follow_updates, kind)
            print("ready", flush=True)
    Path(settings.out).write_bytes(
        msgspec.json.encode({reporter.name: reporter.sent for reporter in reporters})
    )


def run_reporters(path: str) -> None:
    """Main function of a process of reporters."""
    trio.run(_run_reporters, msgspec.json.decode(Path(path).read_bytes(), type=ReporterSettings))


@dataclass
class PhaseResult:
    """Delays and the controller's intake counters of one phase."""

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
        """Describes the phase in one line."""
        ranked_ms = sorted(self.delays_ms) or [0.0]
        p99 = ranked_ms[min(len(ranked_ms) - 1, int(len(ranked_ms) * 0.99))]
        us_per_report = self.spent_us / max(self.looked_at, 1)
        return (
            f"{name:13} delay median {statistics.median(ranked_ms):5.1f} ms, p99 {p99:5.1f}, "
            f"max {ranked_ms[-1]:5.1f}"
            f" of {len(ranked_ms)}; received {self.came / length_s:.0f}/s, "
            f"processed {self.looked_at / length_s:.0f}/s,"
            f" {us_per_report:.0f} us each; waiting {self.waiting} ({self.bytes / 1e6:.1f} MB);"
            f" every {self.interval_ms:.0f} ms; {self.rss_mb:.0f} MB"
        )


@dataclass
class FloodReport:
    """Results of all phases, and the invariants that were broken."""

    proxies: int
    phases: dict[str, PhaseResult]
    phase_s: float
    failures: list[str] = field(default_factory=list)
    quarantined: int = 0
    hostile: int = 0
    cpu_s: float = 0.0

    @property
    def passed(self) -> bool:
        """Whether the run found no violation."""
        return not self.failures

    def lines(self) -> list[str]:
        """Describes the result for a reader."""
        phases = [phase.line(name, self.phase_s) for name, phase in self.phases.items()]
        summary = (
            f"{self.hostile} hostile, {self.quarantined} quarantined; controller {self.cpu_s:.1f} s of CPU"
        )
        return [f"{self.proxies} proxies", *phases, summary, *self.failures]


def run_flood(
    folder: Path, proxies: int, endpoints: int, phase_s: float, per_s: float, say: Callable[[str], None],
    parts: int = 4, seed: int = 1,
) -> FloodReport:  # fmt: skip
    """Runs the load test in this folder, which is cleared first."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    with PortReservations() as reservations:
        port = reservations.reserve()
        return trio.run(_run_flood, folder, proxies, endpoints, phase_s, per_s, say, parts, seed, port)


async def _run_flood(
    folder: Path, proxies: int, endpoints: int, phase_s: float, per_s: float, say: Callable[[str], None],
    parts: int, seed: int, port: int,
) -> FloodReport:  # fmt: skip
    replace = msgspec.structs.replace
    scenario = draw_scenario(seed, hosts=1, proxies=proxies, directors=1, troubles=[], spare=0)
    generator = random.Random(seed)
    plans = [
        EndpointPlan(f"host-{index}", "norte", "usual", 4, 1.0, 80, 400, 8.0, 30_000 + index)
        for index in range(endpoints)
    ]
    discovery = StandInRegistry(EventLog(str(folder / "roster.notes")), 0.0)
    for plan in plans:
        discovery.register(plan)
    controller_folder = folder / "director-0"
    credentials = folder / "credentials.json"
    names = [f"proxy-{index}" for index in range(proxies)]
    token_hashes = {name: hashlib.sha256(bearer_token(name)).hexdigest() for name in names}
    credentials.write_bytes(msgspec.json.encode({"proxies": token_hashes}))
    report = FloodReport(proxies, {name: PhaseResult() for name in PHASES}, phase_s)
    async with trio.open_nursery() as nursery:
        await nursery.start(discovery.run)
        url, records = f"http://127.0.0.1:{discovery.port}", str(folder / "director-0.records")
        scenario.fleet = replace(
            scenario.fleet, proxies=proxies + 50, report_every_ms=PERIOD_S * 1000, reports_per_s=per_s
        )
        entries_per_s = max(4000.0, 20.0 * proxies)
        scenario.channel = replace(
            scenario.channel, lines_per_s=entries_per_s, most_waiting_lines=4 * entries_per_s, messages_most=0
        )
        terms = controller_config(scenario, 0, str(controller_folder), url, records)
        front = FrontTerms(
            listen=f"127.0.0.1:{port}", credentials=str(credentials), wait_ms=10_000,
            connections_most=max(4000, 4 * proxies + 400),
        )  # fmt: skip
        terms = replace(terms, front=front, directors=1, zone="norte")
        path = folder / "director-0.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(terms)))
        with open(folder / "director-0.log", "wb") as log:
            command = [sys.executable, "-m", "willowhook.cli", "director", "--config", str(path)]
            controller = subprocess.Popen(command, stderr=log, stdout=subprocess.DEVNULL)
        reporters: list[subprocess.Popen[bytes]] = []
        try:
            with trio.fail_after(20):
                while not (controller_folder / "lock").exists():
                    await trio.sleep(0.05)
            await trio.sleep(1.0)
            hostile = generator.sample(names, max(1, proxies // 100))
            report.hostile = len(hostile)
            settle_s = 6.0 + proxies / 80
            start = monotonic_ticks() + ticks_from_seconds(settle_s)
            for part in range(parts):
                settings = ReporterSettings(
                    names[part::parts], hostile, str(controller_folder), port,
                    [("127.0.0.1", plan.port) for plan in plans], [r.name for r in scenario.routes], PERIOD_S,
                    start, phase_s, seed, str(folder / f"sent-{part}.json"),
                )  # fmt: skip
                settings_path = folder / f"reporters-{part}.json"
                settings_path.write_bytes(msgspec.json.encode(settings))
                code = (
                    f"from willowhook.trial.flood import run_reporters; run_reporters({str(settings_path)!r})"
                )
                reporters.append(subprocess.Popen([sys.executable, "-c", code]))
            await trio.sleep(max(0.0, (start - monotonic_ticks()) / TICKS_PER_SECOND))
            usages = [_usage(controller.pid)]
            changes: dict[int, int] = {}
            file_reporters = [name for name in names[::2] if name not in hostile]
            for index, name in enumerate(PHASES):
                end = start + round((index + 1) * phase_s * TICKS_PER_SECOND)
                await _change_endpoint_list(
                    discovery, plans, controller_folder, file_reporters, end, index, changes, report
                )
                usages.append(_usage(controller.pid))
                report.phases[name].rss_mb = usages[-1][1]
                say(f"{name}: {len(changes)} changes so far")
            report.cpu_s = usages[-1][0] - usages[0][0]
            report.failures += _check_outbound_folders(controller_folder, names, hostile)
        finally:
            for process in [*reporters, controller]:
                process.terminate()
            for process in [*reporters, controller]:
                process.wait()
            nursery.cancel_scope.cancel()
    discovery.event_log.flush()
    _read_results(report, records, start, phase_s, changes, str(folder / "roster.notes"))
    return report


def _usage(pid: int) -> tuple[float, float]:
    """Returns the process's CPU time in seconds and its resident memory in MB."""
    parts = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu = (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")
    return cpu, int(parts[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def _change_endpoint_list(
    discovery: StandInRegistry, plans: list[EndpointPlan], controller_folder: Path, names: list[str],
    end: int, phase: int, changes: dict[int, int], report: FloodReport,
) -> None:  # fmt: skip
    """Changes the endpoint list ten times a second, and checks that one endpoint is drained in time."""
    drained = plans[phase + 1]
    halfway, drained_at = (monotonic_ticks() + end) // 2, 0
    while monotonic_ticks() < end:
        entry = discovery.entries[plans[0].id]
        # ignored by all readers; it makes the entry differ
        entry["Service"]["Meta"]["mark"] = str(len(changes))
        discovery.set_entry(plans[0].id, entry)
        changes[discovery.index] = monotonic_ticks()
        if monotonic_ticks() > halfway and not drained_at:
            drained_at = monotonic_ticks()
            discovery.set_entry(drained.id, discovery.make_entry(drained, True, 0.0))
        await trio.sleep(0.1)
    await trio.sleep(max(0.0, (drained_at - monotonic_ticks()) / TICKS_PER_SECOND + 2.5))
    late = [name for name in names if _sends_to(controller_folder, name, drained.id)]
    if late:
        report.failures.append(
            f"{len(late)} proxies send to {drained.id} 2.5 s after it began to drain (rule 3)"
        )


def _sends_to(controller_folder: Path, name: str, endpoint: str) -> bool:
    try:
        assignments = tables.read_tables(
            read_group(str(controller_folder / OUTBOUND_FOLDER / name))[1]["eds.json"]
        )[1]
    except (OSError, MessageFormatError, KeyError):
        return False
    return any(
        entry[0] == endpoint and not entry[5] for table in assignments for entry in tables.lines(table)
    )


def _check_outbound_folders(controller_folder: Path, names: list[str], hostile: list[str]) -> list[str]:
    """Checks in the outbound folders that no reporter was dropped and every table has endpoints (rule 1)."""
    failures = []
    for name in names[::2]:
        if name in hostile:
            continue
        try:
            _, files = read_group(str(controller_folder / OUTBOUND_FOLDER / name))
            assignments = tables.read_tables(files["eds.json"])[1]
            if not assignments or any(not tables.lines(table) for table in assignments):
                failures.append(f"{name} has a table without an endpoint")
        except (OSError, MessageFormatError, KeyError) as error:
            failures.append(f"{name} has no tables: {error}")
    return failures[:5]


def _read_results(
    report: FloodReport, records: str, start: int, phase_s: float, changes: dict[int, int], discovery_log: str
) -> None:
    """Reads the controller's report counters by phase, and checks that its queue kept its limit."""
    all_records = list(read_records(records))
    offset = 100_000 * TICKS_PER_SECOND  # of the controller's clock relative to the machine's
    intake_records = [row for row in all_records if row["kind"] == "intake"]
    # The controller decides on the lists that service discovery served in their order; its first list is
    # not among them.
    served_indexes = [row["index"] for row in read_events(discovery_log) if row["kind"] == "listed"]
    decided_at = [row["t"] - offset for row in all_records if row["kind"] == "list"][1:]
    for number, changed_at in changes.items():
        position = next(
            (position for position, index in enumerate(served_indexes) if index >= number),
            len(served_indexes),
        )
        phase = report.phases[
            PHASES[min(max(0, int((changed_at - start) / TICKS_PER_SECOND / phase_s)), len(PHASES) - 1)]
        ]
        if position >= len(decided_at):
            report.failures.append(f"no decision on change {number}")
        else:
            phase.delays_ms.append((decided_at[position] - changed_at) / 10)
    for position, phase in enumerate(report.phases.values()):
        since = start + offset + round(position * phase_s * TICKS_PER_SECOND)
        in_phase = [row for row in intake_records if since <= row["t"] < since + phase_s * TICKS_PER_SECOND]
        if len(in_phase) < 2:
            continue
        first, last = in_phase[0], in_phase[-1]
        scale = phase_s * TICKS_PER_SECOND / (last["t"] - first["t"])
        for name in ("looked_at", "came", "dropped", "spent_us", "handed"):
            setattr(phase, name, round((last[name] - first[name]) * scale))
        phase.waiting, phase.bytes = max(r["waiting"] for r in in_phase), max(r["bytes"] for r in in_phase)
        phase.interval_ms = last["interval"] / 10
    report.quarantined = len({row["proxy"] for row in all_records if row["kind"] == "quarantined"})
    queue_limit = json.loads(Path(records.replace(".records", ".json")).read_text())["channel"][
        "most_waiting_lines"
    ]
    over = [row for row in all_records if row["kind"] == "queue" and row["waiting"] > queue_limit]
    if over:
        report.failures.append(f"the queue exceeded its limit {len(over)} times")

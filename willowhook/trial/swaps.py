"""Swaps thousands of file groups under load, and checks that no reader sees files of two groups.

It also counts requests that found no endpoint, and measures the cost of a swap.  A complete controller runs,
with a decider that sends commands without pause.  Each round of commands is a generation: every weight
encodes the generation's number, and in every fifth generation the admission limits encode it too.  So a mix
of two generations, or a partial file, is detected.
"""

from __future__ import annotations

import os
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import trio

from ..config.terms import Terms
from ..controlplane.service import Service
from ..controlplane.update_sinks import FileUpdateSink
from ..decisions.events import (
    EndpointListLost,
    EndpointListReceived,
    EndpointState,
    EvaluationDue,
    Event,
    ProxyJoined,
    ProxyLeft,
)
from ..decisions.runtime import AdmissionLimit, ControllerRuntime, RetryMode
from ..decisions.settings import DeploymentSettings
from ..files.swap import FileGroupWriter, read_group
from ..records.writer import read_records
from ..xds import tables
from .day import controller_config, draw_scenario
from .notes import read_events
from .stage import FleetHarness

EVALUATION_INTERVAL_TICKS = 40  # 4 ms between generations
SWAP_KIND_NAMES = {True: "one file", False: "a group"}  # by whether a single file changed
# Weights encode the generation modulo the first number; admission limits change every fifth generation.
GENERATION_MODULUS, GENERATIONS_PER_ADMISSION_CHANGE = 1000, 5


class ChurnDecider:
    """A decider that binds each proxy that joins, and changes all weights whenever the channel is empty."""

    def __init__(
        self,
        is_idle: Callable[[], bool],
        runtime: ControllerRuntime,
        settings: DeploymentSettings,
        seed: int,
        now: int,
    ) -> None:
        self.idle, self.runtime, self.settings = is_idle, runtime, settings
        self.routes = range(len(settings.routes))
        self.endpoints: list[str] = []
        self.known_endpoints: dict[str, None] = {}
        self.joined_proxies: list[int] = []
        self.generation, self.sync_marker = 0, 0
        runtime.watch_endpoints()
        runtime.schedule_evaluation(EVALUATION_INTERVAL_TICKS)

    def observe_queue(self, entries: float) -> None:
        """Ignores the queue: this decider sends when the channel is empty."""

    def queue_estimate(self) -> float:
        """Returns no estimate: these runs don't compare it with the real queue."""
        return 0.0

    def learnt_capacities(self) -> dict[str, float]:
        """Returns none: this decider learns no capacities."""
        return {}

    def handle(self, now: int, event: Event) -> None:
        """Handles one event of the controller."""
        match event:
            case EndpointListReceived():
                in_service = [row for row in event.entries if row.state is EndpointState.IN_SERVICE]
                self.endpoints = [row.name for row in in_service]
                self.send_commands()
            case EndpointListLost():
                # the list is requested again only on command, and one request may be lost at a start
                self.runtime.watch_endpoints()
            case ProxyJoined():
                self.joined_proxies.append(event.proxy)
                self.runtime.bind(event.proxy, 0, self.routes)
            case ProxyLeft():
                self.joined_proxies.remove(event.proxy)
            case EvaluationDue():
                self.evaluate(now)

    def send_commands(self) -> None:
        """Sends all weights of the next generation, and its admission limits if they change."""
        self.generation += 1
        encoded = self.generation % GENERATION_MODULUS + GENERATIONS_PER_ADMISSION_CHANGE
        for name in dict.fromkeys([*self.known_endpoints, *self.endpoints]):
            self.runtime.set_weight(0, name, encoded / 100 if name in self.endpoints else 0.0)
        self.known_endpoints = dict.fromkeys(self.endpoints)
        # These generations change two files, all others one.
        if self.generation % GENERATIONS_PER_ADMISSION_CHANGE == 0 or self.generation == 1:
            for route in self.routes:
                self.runtime.set_admission(
                    0,
                    route,
                    AdmissionLimit(
                        RetryMode.IF_NOT_EXECUTED, 20.0 + encoded // GENERATIONS_PER_ADMISSION_CHANGE
                    ),
                )

    def evaluate(self, now: int) -> None:
        """Sends the next generation if the channel is empty."""
        if self.endpoints and self.idle():
            self.send_commands()
        self.runtime.schedule_evaluation(EVALUATION_INTERVAL_TICKS)

    def flush(self, now: int) -> None:
        """Sends a sync marker."""
        self.sync_marker = (self.sync_marker + 1) % 65536
        self.runtime.send_sync_marker(self.sync_marker)


class TimedFileGroupWriter(FileGroupWriter):
    """Times each swap, and after every fifth one a plain write and rename of the same bytes.

    The plain write is timed with and without fsync.  The durations are those of all writers.
    """

    swap_durations: dict[bool, list[float]] = {}  # noqa: RUF012 - by whether a single file changed
    synced_write_durations: list[float] = []  # noqa: RUF012
    unsynced_write_durations: list[float] = []  # noqa: RUF012

    def put(self, files: Any) -> bool:
        """Writes the file group and stores the duration."""
        is_single_file = (
            bool(self.files) and sum(self.files.get(name) != data for name, data in files.items()) == 1
        )
        started_at = time.perf_counter()
        is_written = super().put(files)
        durations = self.swap_durations.setdefault(is_single_file, [])
        durations.append(time.perf_counter() - started_at)
        if len(durations) % 5 == 0 and "eds.json" in files:
            parent = self.folder.rpartition("/")[0].rpartition("/")[0]
            for sync, durations in (
                (True, self.synced_write_durations),
                (False, self.unsynced_write_durations),
            ):
                started_at = time.perf_counter()
                temporary_path = f"{parent}/.new-bare"
                fd = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
                os.write(fd, files["eds.json"])
                if sync:
                    os.fsync(fd)
                os.close(fd)
                os.rename(temporary_path, f"{parent}/bare")
                durations.append(time.perf_counter() - started_at)
        return is_written


@dataclass
class SwapReport:
    """Counts, inconsistent reads and durations of one run."""

    swaps: int
    seconds: float
    reads: int
    torn: list[str]
    requests: int
    requests_without_endpoint: int
    refused: int
    command_to_applied_ms: tuple[float, float]  # median and 99th percentile
    # by whether a single file changed: count, median ms, ratio to a plain write and rename
    cost_by_kind: dict[bool, tuple[int, float, float]]

    def lines(self) -> list[str]:
        """Describes the result for a reader."""
        return [
            f"{self.swaps} swaps in {self.seconds:.1f} s",
            f"{self.reads} concurrent reads, {len(self.torn)} inconsistent; "
            f"{self.refused} groups refused by proxies",
            f"{self.requests} requests, {self.requests_without_endpoint} without an endpoint",
            f"command to applied: median {self.command_to_applied_ms[0]:.1f} ms, "
            f"p99 {self.command_to_applied_ms[1]:.1f} ms",
            *[
                f"{SWAP_KIND_NAMES[one]}: {n} swaps, median {ms:.3f} ms, "
                f"{ratio:.2f} of a plain write and rename"
                for one, (n, ms, ratio) in sorted(self.cost_by_kind.items(), reverse=True)
            ],
            *self.torn[:5],
        ]

    @property
    def passed(self) -> bool:
        """Whether the run found no violation."""
        return not self.torn and not self.requests_without_endpoint and not self.refused and self.reads > 0


READER_PROGRAM = """
import sys, time
from willowhook.trial.swaps import run_reader
run_reader(sys.argv[1], sys.argv[2])
"""


def generations_in(files: dict[str, bytes]) -> set[int]:
    """The generations that a file group encodes: one, or the group is a mix."""
    generations = set[int]()
    for table in tables.read_tables(files["eds.json"])[1]:
        in_table = {round(entry[4] * 100) for entry in tables.lines(table)}
        generations |= (
            {generation // GENERATIONS_PER_ADMISSION_CHANGE for generation in in_table}
            if len(in_table) == 1
            else in_table | {-1}
        )
    for route in tables.read_routes(files["rds.json"])[1][0].virtual_hosts[0].routes:
        generations.add(round(tables.level_of(route.typed_per_filter_config)[1]) - 20)
    return generations


def run_reader(folder: str, out: str) -> None:
    """Reads a proxy's file group repeatedly, until a file named `stop` exists beside `out`."""
    reads, torn = 0, list[str]()
    stop = Path(out).parent / "stop"
    while not stop.exists():
        try:
            place, files = read_group(folder)
        except FileNotFoundError:
            time.sleep(0.01)
            continue
        if set(files) == {"cds.json", "eds.json", "rds.json"}:
            reads += 1
            try:
                if len(generations := generations_in(files)) != 1:
                    torn.append(f"{place} holds generations {sorted(generations)}")
            except Exception as error:  # any failure to read a group counts as an inconsistent read
                torn.append(f"{place}: {error}")
        time.sleep(0.002)
    Path(out).write_bytes(msgspec.json.encode([reads, torn]))


class SwapStage(FleetHarness):
    """A fleet without a controller process: the controller runs in this process."""

    def __init__(self, folder: Path, proxies: int, durability: str) -> None:
        scenario = draw_scenario(
            7, 600.0, hosts=6, proxies=proxies, directors=1, calls_per_s=60.0, troubles=[], spare=0
        )
        channel = msgspec.structs.replace(
            scenario.channel, lines_per_s=1e7, most_waiting_lines=1e7, messages_most=0
        )
        scenario.channel = channel
        super().__init__(scenario, folder, durability=durability)
        self.swap_count = 0

    def start_controller(self, rank: int) -> None:
        """Starts nothing: the controller runs in this process."""


def service_with_churn(terms: Terms) -> Service:
    """A controller whose decider sends commands again as soon as the channel is empty."""
    services: list[Service] = []

    def is_idle() -> bool:
        return not len(services[0].channel)

    services.append(Service(terms, decider=partial(ChurnDecider, is_idle), file_writer=TimedFileGroupWriter))
    return services[0]


def count_swaps(service: Service) -> int:
    """The number of swaps of all sessions that use files."""
    sinks = [session.sink for session in service.publisher.sessions.values()]
    return sum(sink.file_writer.swap_count for sink in sinks if isinstance(sink, FileUpdateSink))


def run_swaps(
    folder: Path, count: int, readers: int, durability: str, say: Callable[[str], None]
) -> SwapReport:
    """Runs a controller in this process until `count` swaps are done, and evaluates the logs."""
    stage = SwapStage(folder, readers, durability)
    (
        TimedFileGroupWriter.swap_durations,
        TimedFileGroupWriter.synced_write_durations,
        TimedFileGroupWriter.unsynced_write_durations,
    ) = {}, [], []

    async def run() -> float:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stage.registry.event_log.run)
            await nursery.start(stage.registry.run)
            stage.nursery = nursery
            terms = controller_config(
                stage.day, 0, stage.controller_folder(0), f"http://127.0.0.1:{stage.registry.port}",
                str(folder / "director-0.records"), durability=durability,
            )  # fmt: skip
            terms = msgspec.structs.replace(
                terms, records=msgspec.structs.replace(terms.records, most_waiting=1_000_000)
            )
            service = service_with_churn(terms)
            with trio.CancelScope() as playing:
                nursery.start_soon(stage.run_scenario, nursery)
                while not stage.proxy_workers:
                    await trio.sleep(0.05)
                    if stage.open_endpoints() and not hasattr(service, "controller"):
                        await nursery.start(service.run)
                started_at = time.perf_counter()
                reader_processes = [
                    subprocess.Popen(
                        [
                            sys.executable,
                            "-c",
                            READER_PROGRAM,
                            f"{service.folder.outbound_path}/{plan.id}",
                            str(folder / f"reader-{index}.json"),
                        ]
                    )  # fmt: skip
                    for index, plan in enumerate(stage.day.proxies)
                ]
                while count_swaps(service) < count:
                    await trio.sleep(0.05)
                duration_s = time.perf_counter() - started_at
                stage.swap_count = count_swaps(service)
                (folder / "stop").write_bytes(b"")
                for reader_process in reader_processes:
                    await trio.to_thread.run_sync(reader_process.wait)
                stage.stop()
                playing.cancel()
            nursery.cancel_scope.cancel()
        return duration_s

    duration_s = trio.run(run)
    reader_results = [msgspec.json.decode(path.read_bytes()) for path in sorted(folder.glob("reader-*.json"))]
    events = [row for path in folder.glob("proxies*.notes") for row in read_events(str(path))]
    command_to_applied_ms = [
        row["after"] / 10
        for row in read_records(str(folder / "director-0.records"))
        if row["kind"] == "applied"
    ]
    ranked = sorted(command_to_applied_ms) or [0.0]
    plain_writes = (
        TimedFileGroupWriter.unsynced_write_durations
        if durability == "none"
        else TimedFileGroupWriter.synced_write_durations
    )
    plain_write_s = statistics.median(plain_writes)
    swap_s = {one: statistics.median(times) for one, times in TimedFileGroupWriter.swap_durations.items()}
    return SwapReport(
        stage.swap_count, duration_s, sum(row[0] for row in reader_results),
        [text for row in reader_results for text in row[1]],
        sum(row["kind"] == "sent" for row in events), sum(row["kind"] == "no_host" for row in events),
        sum(row["kind"] == "refused" for row in events),
        (statistics.median(ranked), ranked[int(len(ranked) * 0.99)]),
        {
            one: (len(TimedFileGroupWriter.swap_durations[one]), s * 1000, s / plain_write_s)
            for one, s in swap_s.items()
        },
    )  # fmt: skip

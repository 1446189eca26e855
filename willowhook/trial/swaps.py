"""Thousands of swaps under load: does a reader ever see a mix, a call find no host, and what does it cost.

The whole path of a director runs, with a decider in the module's place that orders without rest.  In moment k
every weight says k, and every fifth every level too, so files of two moments, or half a file, show.
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
from .day import draw, terms_of
from .notes import read_notes
from .stage import Stage

EVERY = 40  # tenths of a millisecond between moments
NAMES = {True: "one file", False: "a group"}
STEPS, GROUP = 1000, 5  # weights and levels say the moment, modulo this; levels change every fifth time


class ChurnDecider:
    """In the module's place: binds who joins, and changes everything whenever the channel is empty."""

    def __init__(
        self,
        idle: Callable[[], bool],
        runtime: ControllerRuntime,
        settings: DeploymentSettings,
        seed: int,
        now: int,
    ) -> None:
        self.idle, self.runtime, self.settings = idle, runtime, settings
        self.routes = range(len(settings.routes))
        self.endpoints: list[str] = []
        self.known: dict[str, None] = {}
        self.joined_proxies: list[int] = []
        self.moment, self.mark = 0, 0
        runtime.watch_endpoints()
        runtime.schedule_evaluation(EVERY)

    def queue_estimate(self) -> float:
        """Nothing is estimated: the comparison with the true queue is not of interest here."""
        return 0.0

    def learnt_capacities(self) -> dict[str, float]:
        """No capacities are learnt."""
        return {}

    def handle(self, now: int, event: Event) -> None:
        match event:
            case EndpointListReceived():
                ready = [row for row in event.entries if row.state is EndpointState.IN_SERVICE]
                self.endpoints = [row.name for row in ready]
                self.send_commands()
            case EndpointListLost():
                # it is asked for again only when ordered: one question may be lost at a start
                self.runtime.watch_endpoints()
            case ProxyJoined():
                self.joined_proxies.append(event.proxy)
                self.runtime.bind(event.proxy, 0, self.routes)
            case ProxyLeft():
                self.joined_proxies.remove(event.proxy)
            case EvaluationDue():
                self.evaluate(now)

    def send_commands(self) -> None:
        """All lines and levels of this moment."""
        self.moment += 1
        says = self.moment % STEPS + GROUP
        for name in dict.fromkeys([*self.known, *self.endpoints]):
            self.runtime.set_weight(0, name, says / 100 if name in self.endpoints else 0.0)
        self.known = dict.fromkeys(self.endpoints)
        if self.moment % GROUP == 0 or self.moment == 1:  # a moment of two files; the others are of one
            for route in self.routes:
                self.runtime.set_admission(
                    0, route, AdmissionLimit(RetryMode.IF_NOT_EXECUTED, 20.0 + says // GROUP)
                )

    def evaluate(self, now: int) -> None:
        if self.endpoints and self.idle():
            self.send_commands()
        self.runtime.schedule_evaluation(EVERY)

    def flush(self, now: int) -> None:
        self.mark = (self.mark + 1) % 65536
        self.runtime.send_sync_marker(self.mark)


class TimedShelf(FileGroupWriter):
    """Also times each swap, and now and then a bare write, fsync and rename of the same bytes beside it."""

    took: dict[bool, list[float]] = {}  # noqa: RUF012 - of all shelves, by whether one file changed
    bare: list[float] = []  # noqa: RUF012
    plain: list[float] = []  # noqa: RUF012

    def put(self, files: Any) -> bool:
        one = bool(self.files) and sum(self.files.get(name) != data for name, data in files.items()) == 1
        began = time.perf_counter()
        done = super().put(files)
        times = self.took.setdefault(one, [])
        times.append(time.perf_counter() - began)
        if len(times) % 5 == 0 and "eds.json" in files:
            place = self.folder.rpartition("/")[0].rpartition("/")[0]
            for sync, times in ((True, self.bare), (False, self.plain)):
                began = time.perf_counter()
                temp = f"{place}/.new-bare"
                fd = os.open(temp, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
                os.write(fd, files["eds.json"])
                if sync:
                    os.fsync(fd)
                os.close(fd)
                os.rename(temp, f"{place}/bare")
                times.append(time.perf_counter() - began)
        return done


@dataclass
class SwapReport:
    swaps: int
    seconds: float
    reads: int
    torn: list[str]
    calls: int
    without_host: int
    refused: int
    to_applied_ms: tuple[float, float]  # median and 99th of a hundred
    cost: dict[bool, tuple[int, float, float]]  # of one file, of a group: how many, ms, ratio to a bare swap

    def lines(self) -> list[str]:
        return [
            f"{self.swaps} swaps in {self.seconds:.1f} s",
            f"{self.reads} reads by others, {len(self.torn)} torn; {self.refused} groups refused by proxies",
            f"{self.calls} calls meanwhile, {self.without_host} without a host",
            f"order to applied: median {self.to_applied_ms[0]:.1f} ms, p99 {self.to_applied_ms[1]:.1f} ms",
            *[
                f"{NAMES[one]}: {n} swaps, median {ms:.3f} ms, {ratio:.2f} of a bare one"
                for one, (n, ms, ratio) in sorted(self.cost.items(), reverse=True)
            ],
            *self.torn[:5],
        ]

    @property
    def passed(self) -> bool:
        return not self.torn and not self.without_host and not self.refused and self.reads > 0


READER = """
import sys, time
from willowhook.trial.swaps import read_on
read_on(sys.argv[1], sys.argv[2])
"""


def says(files: dict[str, bytes]) -> set[int]:
    """The moments that a group of files speaks of: one, or it is a mix."""
    found = set[int]()
    for table in tables.read_tables(files["eds.json"])[1]:
        moments = {round(line[4] * 100) for line in tables.lines(table)}
        found |= {moment // GROUP for moment in moments} if len(moments) == 1 else moments | {-1}
    for route in tables.read_routes(files["rds.json"])[1][0].virtual_hosts[0].routes:
        found.add(round(tables.level_of(route.typed_per_filter_config)[1]) - 20)
    return found


def read_on(folder: str, out: str) -> None:
    """Reads a proxy's group over and over, until its `out` has a neighbour named stop."""
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
                if len(moments := says(files)) != 1:
                    torn.append(f"{place} speaks of moments {sorted(moments)}")
            except Exception as fault:  # whatever cannot be read is what this is looking for
                torn.append(f"{place}: {fault}")
        time.sleep(0.002)
    Path(out).write_bytes(msgspec.json.encode([reads, torn]))


class SwapStage(Stage):
    """A day without a director of its own: one runs in this process."""

    def __init__(self, folder: Path, proxies: int, durability: str) -> None:
        day = draw(7, 600.0, hosts=6, proxies=proxies, directors=1, calls_per_s=60.0, troubles=[], spare=0)
        channel = msgspec.structs.replace(
            day.channel, lines_per_s=1e7, most_waiting_lines=1e7, messages_most=0
        )
        day.channel = channel
        super().__init__(day, folder, durability=durability)
        self.swapped = 0

    def start_director(self, rank: int) -> None:
        """It is in this process."""


def quiet_service(terms: Terms) -> Service:
    """A director whose decider orders again as soon as the channel is empty."""
    held: list[Service] = []

    def idle() -> bool:
        return not len(held[0].channel)

    held.append(Service(terms, decider=partial(ChurnDecider, idle), file_writer=TimedShelf))
    return held[0]


def swaps_of(service: Service) -> int:
    sinks = [session.sink for session in service.publisher.sessions.values()]
    return sum(sink.file_writer.swap_count for sink in sinks if isinstance(sink, FileUpdateSink))


def run_swaps(
    folder: Path, count: int, readers: int, durability: str, say: Callable[[str], None]
) -> SwapReport:
    stage = SwapStage(folder, readers, durability)
    TimedShelf.took, TimedShelf.bare, TimedShelf.plain = {}, [], []

    async def run() -> float:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stage.roster.notes.run)
            await nursery.start(stage.roster.run)
            stage.nursery = nursery
            terms = terms_of(
                stage.day, 0, stage.director_folder(0), f"http://127.0.0.1:{stage.roster.port}",
                str(folder / "director-0.records"), durability=durability,
            )  # fmt: skip
            terms = msgspec.structs.replace(
                terms, records=msgspec.structs.replace(terms.records, most_waiting=1_000_000)
            )
            service = quiet_service(terms)
            with trio.CancelScope() as playing:
                nursery.start_soon(stage.play, nursery)
                while not stage.crews:
                    await trio.sleep(0.05)
                    if stage.open_hosts() and not hasattr(service, "controller"):
                        await nursery.start(service.run)
                began = time.perf_counter()
                others = [
                    subprocess.Popen(
                        [
                            sys.executable,
                            "-c",
                            READER,
                            f"{service.folder.outbound_path}/{plan.id}",
                            str(folder / f"reader-{k}.json"),
                        ]
                    )  # fmt: skip
                    for k, plan in enumerate(stage.day.proxies)
                ]
                while swaps_of(service) < count:
                    await trio.sleep(0.05)
                took = time.perf_counter() - began
                stage.swapped = swaps_of(service)
                (folder / "stop").write_bytes(b"")
                for other in others:
                    await trio.to_thread.run_sync(other.wait)
                stage.end()
                playing.cancel()
            nursery.cancel_scope.cancel()
        return took

    took = trio.run(run)
    got = [msgspec.json.decode(path.read_bytes()) for path in sorted(folder.glob("reader-*.json"))]
    notes = [row for path in folder.glob("proxies*.notes") for row in read_notes(str(path))]
    ends = [
        row["after"] / 10
        for row in read_records(str(folder / "director-0.records"))
        if row["kind"] == "applied"
    ]
    ranked = sorted(ends) or [0.0]
    bare = TimedShelf.plain if durability == "none" else TimedShelf.bare
    bare_s = statistics.median(bare)
    swap_s = {one: statistics.median(times) for one, times in TimedShelf.took.items()}
    return SwapReport(
        stage.swapped, took, sum(row[0] for row in got), [text for row in got for text in row[1]],
        sum(row["kind"] == "sent" for row in notes), sum(row["kind"] == "no_host" for row in notes),
        sum(row["kind"] == "refused" for row in notes),
        (statistics.median(ranked), ranked[int(len(ranked) * 0.99)]),
        {one: (len(TimedShelf.took[one]), s * 1000, s / bare_s) for one, s in swap_s.items()},
    )  # fmt: skip

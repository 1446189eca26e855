"""Kills, stops and restarts controllers repeatedly, and checks that proxies fail over correctly.

Every proxy must be taken over by another controller, and no term may hold updates of two controllers.
Controllers are killed (SIGKILL), paused (SIGSTOP, then SIGCONT) or killed all at once.  A *late rename* puts
files of an earlier session into the folder that a proxy reads now, with a retry policy that repeats every
request.  Proxies with fencing discard these files; without it (`fenced` False) they take effect, and the
invariant checker names the requests that ran twice.
"""

from __future__ import annotations

import shutil
import signal
import statistics
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import trio

from ..clock import monotonic_ticks
from ..files.layout import OUTBOUND_FOLDER
from ..files.ops import DiskOps, remove
from ..files.swap import CURRENT, read_group
from ..ticks import TICKS_PER_SECOND
from ..xds import forms, tables
from ..xds.codec import encode, encode_response, read_response
from .day import ZONES, Fault, Scenario, draw_scenario
from .notes import read_events
from .stage import FleetHarness, RunResult

DISRUPTIONS = ("kill", "kill", "stop", "both", "late")


def takeover_scenario(seed: int, kills: int, every_s: float, **size: Any) -> Scenario:
    """A scenario long enough for all disruptions; endpoints fail and are replaced throughout."""
    length = 8.0 + kills * every_s + 6.0
    troubles = []
    at, index = 6.0, 0
    kinds = ("host_crash", "deploy", "host_hang", "fast_errors", "streams_lost")
    while at < length - 12:
        troubles.append(Fault(kinds[index % len(kinds)], at, 3.0, 0.15, 0.8))
        at, index = at + 5.0, index + 1
    size = {"hosts": 10, "proxies": 8, "directors": 2, "calls_per_s": 80.0, "spare": 0, **size}
    scenario = draw_scenario(seed, length, troubles=troubles, **size)
    # The message cap is off: a controller that restarts repeatedly sends more messages.
    scenario.channel = msgspec.structs.replace(scenario.channel, messages_most=0)
    return scenario


class TakeoverStage(FleetHarness):
    """Disrupts controllers `kills` times, on average every `every_s` seconds."""

    def __init__(
        self, scenario: Scenario, folder: Path, disruption_count: int, every_s: float, **options: Any
    ) -> None:
        super().__init__(scenario, folder, **options)
        self.disruption_count, self.interval_s = disruption_count, every_s
        # by controller and proxy: an earlier file group
        self.earlier_groups: dict[str, dict[str, dict[str, bytes]]] = defaultdict(dict)
        self.disrupted_ranks: dict[int, None] = {}
        self.disruption_counts: dict[str, int] = defaultdict(int)

    async def disrupt_controllers(self) -> None:
        """Starts the disruptions at random intervals."""
        await trio.sleep(max((self.zero - monotonic_ticks()) / TICKS_PER_SECOND + 4.0, 0))
        for _ in range(self.disruption_count):
            disruption = self.chance.choice(DISRUPTIONS)
            self.nursery.start_soon(self.disrupt, disruption, self.chance.uniform(0.1, 2.2))
            await trio.sleep(self.interval_s * self.chance.uniform(0.6, 1.4))

    async def disrupt(self, disruption: str, away_s: float) -> None:
        """Applies one disruption, and ends it after `away_s`."""
        candidates = [
            rank
            for rank in range(self.day.directors)
            if rank not in self.disrupted_ranks and rank in self.controllers
        ]
        if disruption == "late":
            self.disruption_counts[disruption] += self.apply_late_renames()
            return
        ranks = (
            candidates if disruption == "both" else self.chance.sample(candidates, min(len(candidates), 1))
        )
        if not ranks:
            return
        self.disruption_counts[disruption] += 1
        self.disrupted_ranks.update(dict.fromkeys(ranks))
        for rank in ranks:
            if disruption == "stop":
                process = self.controllers[rank]
                process.send_signal(signal.SIGSTOP)
                self.event_log.record("director_stopped", d=f"director-{rank}")
            else:
                self.kill_controller(rank)
        await trio.sleep(away_s)
        for rank in ranks:
            if disruption == "stop":
                self.controllers[rank].send_signal(signal.SIGCONT)
                self.event_log.record("director_goes_on", d=f"director-{rank}")
            else:
                self.start_controller(rank)
            del self.disrupted_ranks[rank]

    def apply_late_renames(self) -> int:
        """Renames earlier files into every proxy's folder, with more retries than any update had."""
        renamed = 0
        for rank in range(self.day.directors):
            outbound = Path(self.controller_folder(rank)) / OUTBOUND_FOLDER
            earlier_groups = self.earlier_groups[f"director-{rank}"]
            for proxy_folder in sorted(outbound.iterdir()) if outbound.is_dir() else ():
                try:
                    files = read_group(str(proxy_folder))[1]
                except OSError:
                    continue
                earlier = earlier_groups.get(proxy_folder.name)
                if earlier is None or self.chance.random() < 0.3:
                    earlier_groups[proxy_folder.name] = files
                if earlier is not None and set(earlier) == {"cds.json", "eds.json", "rds.json"}:
                    self.rename_into_place(proxy_folder, earlier)
                    renamed += 1
        return renamed > 0

    def rename_into_place(self, proxy_folder: Path, earlier: dict[str, bytes]) -> None:
        """Acts like an earlier writer that was paused just before its last rename."""
        ops, name = DiskOps(), f"vlate{monotonic_ticks()}"
        files = dict(earlier)
        envelope = read_response(earlier["rds.json"], forms.ROUTES)
        routes = tables.read_routes(earlier["rds.json"])[1][0]
        for route in routes.virtual_hosts[0].routes:
            route.route.retry_policy = tables.retry(3, 3000)
            route.route.retry_policy.per_try_timeout = "0.3s"
        body = [encode(routes)]
        version = envelope.version_info
        files["rds.json"] = encode_response(version, forms.ROUTES, envelope.nonce, body)
        try:
            ops.mkdir(str(proxy_folder / name))
            for file, data in files.items():
                ops.write(str(proxy_folder / name / file), data, False)
            remove(ops, str(proxy_folder / ".late"))
            ops.symlink(name, str(proxy_folder / ".late"))
            ops.rename(str(proxy_folder / ".late"), str(proxy_folder / CURRENT))
            self.event_log.record("late", p=proxy_folder.name, v=version)
        except OSError:
            return  # the folder was just removed, and with it the earlier writer

    async def run_scenario(self, nursery: trio.Nursery) -> None:
        """Runs the scenario and the disruptions."""

        async def disrupt_when_started() -> None:
            while not hasattr(self, "zero"):
                await trio.sleep(0.05)
            await self.disrupt_controllers()

        nursery.start_soon(disrupt_when_started)
        await super().run_scenario(nursery)

    def check_processes(self) -> None:
        """Checks the stand-ins; a controller that is paused or dead is no failure here."""
        for rank in list(self.disrupted_ranks):
            if rank in self.controllers:
                self.controllers[rank].send_signal(signal.SIGCONT)
        self.controllers = {rank: p for rank, p in self.controllers.items() if p.poll() is None}
        super().check_processes()


@dataclass
class TakeoverReport:
    """Takeovers of one run: terms that two controllers shared, and recovery times of the proxies."""

    outcome: RunResult
    disruptions: dict[str, int]
    late_renames: int
    discarded_groups: int
    shared_terms: list[str]
    recovery_s: list[float]  # per orphaned proxy: from the controller's death to the next applied update
    joins: int
    peak_joins: int  # maximum per second, over all controllers
    detection_s: float
    found: list[str] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether the run found no violation."""
        return self.outcome.kept and not self.shared_terms

    def lines(self) -> list[str]:
        """Describes the result for a reader."""
        ranked = sorted(self.recovery_s) or [0.0]
        counts = ", ".join(f"{count} {way}" for way, count in sorted(self.disruptions.items()))
        p99 = ranked[int(len(ranked) * 0.99)]
        return [
            *[verdict.summary() for verdict in self.outcome.verdicts],
            f"disruptions: {counts}; {self.late_renames} late renames applied, "
            f"{self.discarded_groups} discarded by proxies",
            f"terms with updates of two controllers: {len(self.shared_terms)}",
            *self.shared_terms[:5],
            f"from a controller's death to the next update: median {statistics.median(ranked):.2f} s, "
            f"p99 {p99:.2f} s"
            f" over {len(ranked)}; a death is detected within {self.detection_s:.2f} s",
            f"{self.joins} joins, at most {self.peak_joins} in one second",
            f"service {self.outcome.service_level:.3f}; "
            f"{self.outcome.answered} requests answered of {self.outcome.calls}",
        ]


def evaluate_run(stage: TakeoverStage, outcome: RunResult) -> TakeoverReport:
    """Derives from the event logs which controller updated which proxy, and the recovery times."""
    folder = stage.folder
    notes = [row for path in sorted(folder.glob("proxies*.notes")) for row in read_events(str(path))]
    notes.sort(key=lambda row: row["t"])
    controllers_by_term: dict[tuple[str, int], dict[str, int]] = defaultdict(dict)
    applied_by_proxy: dict[str, list[int]] = defaultdict(list)
    joins_by_proxy: dict[str, list[tuple[int, str]]] = defaultdict(list)
    joins_by_second: dict[int, int] = defaultdict(int)
    for row in notes:
        if row["kind"] == "applied":
            controllers_by_term[row["p"], row["term"]].setdefault(row["d"], row["t"])
            applied_by_proxy[row["p"]].append(row["t"])
        elif row["kind"] in ("joined", "left"):
            joins_by_proxy[row["p"]].append((row["t"], row["d"] if row["kind"] == "joined" else ""))
            joins_by_second[row["t"] // TICKS_PER_SECOND] += row["kind"] == "joined"
    shared_terms = []
    for (proxy, term), first_applied in controllers_by_term.items():
        if len(first_applied) > 1:
            times = ", ".join(
                f"{name} at {(t - stage.zero) / TICKS_PER_SECOND:.2f} s" for name, t in first_applied.items()
            )
            shared_terms.append(f"{proxy} in term {term}: {times}")
    events = read_events(str(folder / "stage.notes"))
    recovery_s = []
    for row in events:
        if row["kind"] != "director_died":
            continue
        for proxy, joins in joins_by_proxy.items():
            controllers = [controller for t, controller in joins if t <= row["t"]]
            if controllers and controllers[-1] == row["d"]:
                next_applied = next((t for t in applied_by_proxy[proxy] if t > row["t"]), None)
                if next_applied is not None:
                    recovery_s.append((next_applied - row["t"]) / TICKS_PER_SECOND)
    return TakeoverReport(
        outcome, dict(stage.disruption_counts), sum(row["kind"] == "late" for row in events),
        sum(row["kind"] == "void" for row in notes), shared_terms, recovery_s, sum(joins_by_second.values()),
        max(joins_by_second.values(), default=0), stage.day.director_lost_after_s,
    )  # fmt: skip


def run_takeover(
    seed: int, kills: int, every_s: float, folder: Path, say: Callable[[str], None], fenced: bool = True,
    disrupted: bool = True, front: str = "files", store: str = "none", **size: Any,
) -> TakeoverReport:  # fmt: skip
    """Runs the scenario; with `disrupted` False it runs undisturbed, as a reference for the service level."""
    scenario = takeover_scenario(seed, kills, every_s, **size)
    shutil.rmtree(folder, ignore_errors=True)
    stage = TakeoverStage(scenario, folder, kills if disrupted else 0, every_s, front=front, store=store)
    stage.fenced = fenced
    outcome = trio.run(stage.run)
    return evaluate_run(stage, outcome)


def run_orphans(
    folder: Path, proxies: int, endpoints: int, calls_per_s: float, seed: int = 1
) -> TakeoverReport:
    """All proxies permanently lose their controller at the same moment and join the other one."""
    scenario = draw_scenario(
        seed,
        26.0,
        hosts=endpoints,
        proxies=proxies,
        directors=2,
        calls_per_s=calls_per_s,
        troubles=[],
        spare=0,
    )
    for plan in scenario.proxies:
        plan.zone = ZONES[0]  # the zone of the first controller
    shutil.rmtree(folder, ignore_errors=True)
    stage = OrphanStage(scenario, folder, 0, 1.0)
    outcome = trio.run(stage.run)
    return evaluate_run(stage, outcome)


class OrphanStage(TakeoverStage):
    """Kills the first controller once, and never restarts it."""

    async def disrupt_controllers(self) -> None:
        """Kills the first controller after ten seconds."""
        await trio.sleep(max((self.zero - monotonic_ticks()) / TICKS_PER_SECOND + 10.0, 0))
        self.kill_controller(0)
        self.disruption_counts["kill"] += 1

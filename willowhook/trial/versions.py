"""Versions that proxies refuse: test fleets that receive updates by files and over HTTP.

In `run_versions` proxies refuse updates at random and restart, and controllers are killed, all along.
`run_bad_version` publishes one table that a share of the proxies refuses, and measures how far it spread.
"""

from __future__ import annotations

import shutil
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import trio

from ..controlplane.service import Service
from ..records.writer import read_records
from ..ticks import TICKS_PER_SECOND
from .beliefs import BeliefReport, check_beliefs
from .day import Fault, Scenario, controller_config, draw_scenario
from .notes import read_events
from .stage import FleetHarness, RunResult
from .swaps import ChurnDecider


def versions_scenario(seed: int, proxies: int, length: float) -> Scenario:
    """A scenario in which proxies, controllers and endpoints fail in turn."""
    troubles = []
    at, index = 4.0, 0
    kinds = ("proxy_killed", "director_killed", "proxy_killed", "deploy", "streams_lost", "host_crash")
    while at < length - 8:
        kind = kinds[index % len(kinds)]
        troubles.append(Fault(kind, at, 1.5 if kind == "director_killed" else 1.0, 0.15))
        at, index = at + 2.5, index + 1
    scenario = draw_scenario(
        seed, length, troubles=troubles, hosts=16, proxies=proxies, directors=2, calls_per_s=120.0, spare=0
    )
    scenario.channel = msgspec.structs.replace(scenario.channel, messages_most=0)
    return scenario


@dataclass
class VersionsReport:
    """Outcome of the scenario, and whether the controllers knew what their proxies run."""

    beliefs: BeliefReport
    outcome: RunResult

    def lines(self) -> list[str]:
        """Describes the result for a reader."""
        outcome = self.outcome
        lines = [verdict.summary() for verdict in outcome.verdicts]
        lines.append(
            f"service {outcome.service_level:.3f}; {outcome.answered} of {outcome.calls} requests answered"
        )
        return [*lines, *self.beliefs.summary_lines()]

    @property
    def passed(self) -> bool:
        """Whether the run found no violation."""
        return self.outcome.kept and not self.beliefs.violations and self.beliefs.applied > 0


def run_versions(
    folder: Path, seed: int, proxies: int, length: float, refuse: float, say: Callable[[str], None]
) -> VersionsReport:
    """Runs the scenario, and checks what the controllers believe about their proxies."""
    if folder.exists():
        shutil.rmtree(folder)
    stage = FleetHarness(versions_scenario(seed, proxies, length), folder, say=say, front="mixed")
    stage.refuse = refuse
    outcome = trio.run(stage.run)
    return VersionsReport(check_beliefs(folder), outcome)


ODD_WEIGHT = 7.777  # the weight that some proxies refuse
GENERATION_INTERVAL_TICKS = TICKS_PER_SECOND  # between two generations


class SteppingDecider(ChurnDecider):
    """A decider that publishes a new generation every second; some proxies refuse one of them."""

    odd_generation = 6

    def evaluate(self, now: int) -> None:
        """Publishes the next generation if the controller is idle."""
        if self.endpoints and self.idle():
            self.generation += 1
            for name in self.endpoints:
                self.runtime.set_weight(
                    0,
                    name,
                    ODD_WEIGHT if self.generation == self.odd_generation else 1 + self.generation / 100,
                )
        self.runtime.schedule_evaluation(GENERATION_INTERVAL_TICKS)

    def send_commands(self) -> None:
        """Gives all endpoints the same weight."""
        for name in self.endpoints:
            self.runtime.set_weight(0, name, 1.0)


@dataclass
class BadVersionReport:
    """How far the refused version spread, and how fast it was rolled back."""

    proxies: int
    refusers: int
    affected: int  # proxies that ran the bad version
    stopped_ms: float  # from its first use until its rollout was halted
    # from the halt until each affected proxy ran another version
    rollback_ms: list[float] = field(default_factory=list)
    halts: int = 0
    still_affected: int = 0  # proxies that run it at the end
    resent_to: int = 0  # proxies that refused it more often than expected
    on_newest: int = 0  # proxies that hold the newest version at the end

    def lines(self) -> list[str]:
        """Describes the result for a reader."""
        rollback_ms = self.rollback_ms or [0.0]
        return [
            f"{self.refusers} of {self.proxies} proxies refuse it; {self.halts} halts, the first "
            f"{self.stopped_ms:.0f} ms after its first use",
            f"{self.affected} ran it; rolled back to the last good version after median "
            f"{statistics.median(rollback_ms):.0f} ms, at most {max(rollback_ms):.0f} ms; "
            f"{self.still_affected} still run it, "
            f"{self.resent_to} were sent it twice",
            f"{self.on_newest} hold the newest version at the end",
        ]

    @property
    def passed(self) -> bool:
        """Whether the run found no violation."""
        return (
            self.halts > 0
            and not self.still_affected
            and not self.resent_to
            and self.on_newest >= self.proxies * 0.9
        )


class BadVersionStage(FleetHarness):
    """A fleet with little load; its only controller runs in this process."""

    def start_controller(self, rank: int) -> None:
        """Starts nothing: the controller runs in this process."""


def run_bad_version(folder: Path, proxies: int, share: float, front: str) -> BadVersionReport:
    """Publishes a version that a share of the proxies refuses."""
    scenario = draw_scenario(
        7, 600.0, hosts=8, proxies=proxies, directors=1, calls_per_s=5.0, troubles=[], spare=0
    )
    scenario.channel = msgspec.structs.replace(scenario.channel, messages_most=0)
    stage = BadVersionStage(scenario, folder, front=front)
    stage.odd_weight, stage.odd_share = round(ODD_WEIGHT * 10_000), share

    async def run() -> None:
        services: list[Service] = []

        def is_idle() -> bool:
            return not len(services[0].channel) and len(services[0].publisher.sessions) == proxies

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stage.registry.event_log.run)
            await nursery.start(stage.registry.run)
            stage.nursery = nursery
            url = f"http://127.0.0.1:{stage.registry.port}"
            terms = controller_config(
                scenario, 0, stage.controller_folder(0), url, str(folder / "director-0.records")
            )
            terms = stage.with_discovery_server(terms, 0)
            services.append(Service(terms, decider=partial(SteppingDecider, is_idle)))
            with trio.CancelScope() as playing:
                nursery.start_soon(stage.run_scenario, nursery)
                while not hasattr(services[0], "controller"):
                    await trio.sleep(0.05)
                    if len(stage.open_endpoints()) == len(scenario.hosts):
                        await nursery.start(services[0].run)
                decider: Any = services[0].controller
                with trio.move_on_after(60):
                    while decider.generation < SteppingDecider.odd_generation + 6:
                        await trio.sleep(0.1)
                await trio.sleep(1.0)
                stage.stop()
                playing.cancel()
            nursery.cancel_scope.cancel()

    trio.run(run)
    return _bad_version_report(folder, proxies)


def _bad_version_report(folder: Path, proxies: int) -> BadVersionReport:
    records = read_records(str(folder / "director-0.records"))
    start = 100_000 * TICKS_PER_SECOND
    events = [row for path in folder.glob("proxies*.notes") for row in read_events(str(path))]
    refusals: dict[str, int] = {}
    for row in events:
        if row["kind"] == "refused" and "odd weight" in row["cause"]:
            refusals[row["p"]] = refusals.get(row["p"], 0) + 1
    halts = [row["t"] - start for row in records if row["kind"] == "halted"]
    applied: dict[str, list[dict[str, Any]]] = {}
    for row in sorted(events, key=lambda row: row["t"]):
        if row["kind"] == "applied":
            applied.setdefault(row["p"], []).append(row)
    newest_weight = max(
        row["top"] for of_proxy in applied.values() for row in of_proxy if row["top"] != ODD_WEIGHT
    )
    first_applied, rollback_ms, affected, still_affected = 0, list[float](), 0, 0
    for of_proxy in applied.values():
        still_affected += of_proxy[-1]["top"] == ODD_WEIGHT
        index = next((position for position, row in enumerate(of_proxy) if row["top"] == ODD_WEIGHT), None)
        if index is None:
            continue
        affected += 1
        first_applied = min(first_applied or of_proxy[index]["t"], of_proxy[index]["t"])
        recovered_at = next((row["t"] for row in of_proxy[index + 1 :] if row["top"] != ODD_WEIGHT), None)
        if recovered_at is not None and halts:
            rollback_ms.append((recovered_at - max(halts[0], of_proxy[index]["t"])) / 10)
    on_newest = sum(of_proxy[-1]["top"] >= newest_weight - 0.015 for of_proxy in applied.values())
    halted_after_ms = (halts[0] - first_applied) / 10 if halts and first_applied else 0.0
    # one refusal in an update batch and one alone are expected
    resent_to = sum(count > 2 for count in refusals.values())
    return BadVersionReport(
        proxies,
        len(refusals),
        affected,
        halted_after_ms,
        rollback_ms,
        len(halts),
        still_affected,
        resent_to,
        on_newest,
    )

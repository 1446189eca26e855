"""Versions, known and unknown, refused and taken back: whole fleets on both fronts.

`versions` lets proxies refuse by chance, die and come back, and directors die, all along; `bad_version`
publishes one table that a share of the proxies refuses, and measures how far it got.
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
from .beliefs import Beliefs, check
from .day import Day, Trouble, draw, terms_of
from .notes import read_notes
from .stage import Outcome, Stage
from .swaps import ChurnDecider


def versions_day(seed: int, proxies: int, length: float) -> Day:
    troubles = []
    at, k = 4.0, 0
    kinds = ("proxy_killed", "director_killed", "proxy_killed", "deploy", "streams_lost", "host_crash")
    while at < length - 8:
        kind = kinds[k % len(kinds)]
        troubles.append(Trouble(kind, at, 1.5 if kind == "director_killed" else 1.0, 0.15))
        at, k = at + 2.5, k + 1
    day = draw(
        seed, length, troubles=troubles, hosts=16, proxies=proxies, directors=2, calls_per_s=120.0, spare=0
    )
    day.channel = msgspec.structs.replace(day.channel, messages_most=0)
    return day


@dataclass
class VersionsReport:
    beliefs: Beliefs
    outcome: Outcome

    def lines(self) -> list[str]:
        out = self.outcome
        rows = [verdict.line() for verdict in out.verdicts]
        rows.append(f"service {out.service:.3f}; {out.answered} of {out.calls} calls answered")
        return [*rows, *self.beliefs.lines()]

    @property
    def passed(self) -> bool:
        return self.outcome.kept and not self.beliefs.wrong and self.beliefs.applied > 0


def run_versions(
    folder: Path, seed: int, proxies: int, length: float, refuse: float, say: Callable[[str], None]
) -> VersionsReport:
    if folder.exists():
        shutil.rmtree(folder)
    stage = Stage(versions_day(seed, proxies, length), folder, say=say, front="mixed")
    stage.refuse = refuse
    outcome = trio.run(stage.run)
    return VersionsReport(check(folder), outcome)


ODD = 7.777  # the weight that some refuse
STEP = TICKS_PER_SECOND  # between contents


class Steps(ChurnDecider):
    """In the module's place: a new content each second, one of which some proxies refuse."""

    odd_at = 6

    def evaluate(self, now: int) -> None:
        if self.endpoints and self.idle():
            self.moment += 1
            for name in self.endpoints:
                self.runtime.set_weight(0, name, ODD if self.moment == self.odd_at else 1 + self.moment / 100)
        self.runtime.schedule_evaluation(STEP)

    def send_commands(self) -> None:
        for name in self.endpoints:
            self.runtime.set_weight(0, name, 1.0)


@dataclass
class BadVersionReport:
    proxies: int
    refusers: int
    ran: int  # proxies that ran the bad content
    stopped_ms: float  # from its order until it was stopped
    back_ms: list[float] = field(default_factory=list)  # from then until each that ran it ran another
    halts: int = 0
    left: int = 0  # that run it at the end
    resent: int = 0  # times that it was refused again by one who had refused it
    newest: int = 0  # proxies that hold the newest content at the end

    def lines(self) -> list[str]:
        back = self.back_ms or [0.0]
        return [
            f"{self.refusers} of {self.proxies} proxies refuse it; {self.halts} stops, the first "
            f"{self.stopped_ms:.0f} ms after the first ran it",
            f"{self.ran} ran it; back on the last good one after median {statistics.median(back):.0f} ms, at "
            f"most {max(back):.0f} ms; {self.left} run it still, {self.resent} were sent it twice",
            f"{self.newest} hold the newest content at the end",
        ]

    @property
    def passed(self) -> bool:
        return self.halts > 0 and not self.left and not self.resent and self.newest >= self.proxies * 0.9


class BadStage(Stage):
    """A day without calls to speak of; its one director runs in this process."""

    def start_director(self, rank: int) -> None:
        """It is in this process."""


def run_bad_version(folder: Path, proxies: int, share: float, front: str) -> BadVersionReport:
    day = draw(7, 600.0, hosts=8, proxies=proxies, directors=1, calls_per_s=5.0, troubles=[], spare=0)
    day.channel = msgspec.structs.replace(day.channel, messages_most=0)
    stage = BadStage(day, folder, front=front)
    stage.odd_weight, stage.odd_share = round(ODD * 10_000), share

    async def run() -> None:
        held: list[Service] = []

        def idle() -> bool:
            return not len(held[0].channel) and len(held[0].publisher.sessions) == proxies

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stage.roster.notes.run)
            await nursery.start(stage.roster.run)
            stage.nursery = nursery
            url = f"http://127.0.0.1:{stage.roster.port}"
            terms = terms_of(day, 0, stage.director_folder(0), url, str(folder / "director-0.records"))
            terms = stage.with_front(terms, 0)
            held.append(Service(terms, decider=partial(Steps, idle)))
            with trio.CancelScope() as playing:
                nursery.start_soon(stage.play, nursery)
                while not hasattr(held[0], "controller"):
                    await trio.sleep(0.05)
                    if len(stage.open_hosts()) == len(day.hosts):
                        await nursery.start(held[0].run)
                decider: Any = held[0].controller
                with trio.move_on_after(60):
                    while decider.moment < Steps.odd_at + 6:
                        await trio.sleep(0.1)
                await trio.sleep(1.0)
                stage.end()
                playing.cancel()
            nursery.cancel_scope.cancel()

    trio.run(run)
    return _bad_report(folder, proxies)


def _bad_report(folder: Path, proxies: int) -> BadVersionReport:
    records = read_records(str(folder / "director-0.records"))
    start = 100_000 * TICKS_PER_SECOND
    notes = [row for path in folder.glob("proxies*.notes") for row in read_notes(str(path))]
    refusals: dict[str, int] = {}
    for row in notes:
        if row["kind"] == "refused" and "odd weight" in row["cause"]:
            refusals[row["p"]] = refusals.get(row["p"], 0) + 1
    halts = [row["t"] - start for row in records if row["kind"] == "halted"]
    applied: dict[str, list[dict[str, Any]]] = {}
    for row in sorted(notes, key=lambda row: row["t"]):
        if row["kind"] == "applied":
            applied.setdefault(row["p"], []).append(row)
    top = max(row["top"] for rows in applied.values() for row in rows if row["top"] != ODD)
    ordered, ends, ran, left = 0, list[float](), 0, 0
    for rows in applied.values():
        left += rows[-1]["top"] == ODD
        at = next((k for k, row in enumerate(rows) if row["top"] == ODD), None)
        if at is None:
            continue
        ran += 1
        ordered = min(ordered or rows[at]["t"], rows[at]["t"])
        after = next((row["t"] for row in rows[at + 1 :] if row["top"] != ODD), None)
        if after is not None and halts:
            ends.append((after - max(halts[0], rows[at]["t"])) / 10)
    newest = sum(rows[-1]["top"] >= top - 0.015 for rows in applied.values())
    stopped = (halts[0] - ordered) / 10 if halts and ordered else 0.0
    twice = sum(count > 2 for count in refusals.values())  # once with others, once alone
    return BadVersionReport(proxies, len(refusals), ran, stopped, ends, len(halts), left, twice, newest)

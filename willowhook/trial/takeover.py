"""Directors that die, hang and come back, over and over: is every proxy taken over, and never ruled by two.

Beside kills by SIGKILL there are stops (SIGSTOP, then SIGCONT), both directors at once, and *late
renames*: files of an earlier stay that land in the folder a proxy reads now, with orders to try
everything again.  With the proxies' fence they are void; without it (`fenced` False) they take effect,
and the judge names what ran twice.
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
from .day import ZONES, Day, Trouble, draw
from .notes import read_notes
from .stage import Outcome, Stage

WAYS = ("kill", "kill", "stop", "both", "late")


def takeover_day(seed: int, kills: int, every_s: float, **size: Any) -> Day:
    """A day as long as so many strikes take; hosts fail and are replaced all along."""
    length = 8.0 + kills * every_s + 6.0
    troubles = []
    at, k = 6.0, 0
    kinds = ("host_crash", "deploy", "host_hang", "fast_errors", "streams_lost")
    while at < length - 12:
        troubles.append(Trouble(kinds[k % len(kinds)], at, 3.0, 0.15, 0.8))
        at, k = at + 5.0, k + 1
    size = {"hosts": 10, "proxies": 8, "directors": 2, "calls_per_s": 80.0, "spare": 0, **size}
    day = draw(seed, length, troubles=troubles, **size)
    # a director that starts again and again sends more
    day.channel = msgspec.structs.replace(day.channel, messages_most=0)
    return day


class TakeoverStage(Stage):
    """A day on which directors are struck every `every_s`, `kills` times."""

    def __init__(self, day: Day, folder: Path, kills: int, every_s: float, **more: Any) -> None:
        super().__init__(day, folder, **more)
        self.kills, self.every = kills, every_s
        self.kept: dict[str, dict[str, dict[str, bytes]]] = defaultdict(dict)  # director, proxy: an old group
        self.busy: dict[int, None] = {}
        self.count: dict[str, int] = defaultdict(int)

    async def strike_directors(self) -> None:
        await trio.sleep(max((self.zero - monotonic_ticks()) / TICKS_PER_SECOND + 4.0, 0))
        for _ in range(self.kills):
            way = self.chance.choice(WAYS)
            self.nursery.start_soon(self.strike, way, self.chance.uniform(0.1, 2.2))
            await trio.sleep(self.every * self.chance.uniform(0.6, 1.4))

    async def strike(self, way: str, away_s: float) -> None:
        free = [
            rank for rank in range(self.day.directors) if rank not in self.busy and rank in self.directors
        ]
        if way == "late":
            self.count[way] += self.late_rename()
            return
        ranks = free if way == "both" else self.chance.sample(free, min(len(free), 1))
        if not ranks:
            return
        self.count[way] += 1
        self.busy.update(dict.fromkeys(ranks))
        for rank in ranks:
            if way == "stop":
                process = self.directors[rank]
                process.send_signal(signal.SIGSTOP)
                self.notes.note("director_stopped", d=f"director-{rank}")
            else:
                self.kill_director(rank)
        await trio.sleep(away_s)
        for rank in ranks:
            if way == "stop":
                self.directors[rank].send_signal(signal.SIGCONT)
                self.notes.note("director_goes_on", d=f"director-{rank}")
            else:
                self.start_director(rank)
            del self.busy[rank]

    def late_rename(self) -> int:
        """Files of earlier stays land now, in every folder, with more tries ordered than ever was."""
        landed = 0
        for rank in range(self.day.directors):
            down = Path(self.director_folder(rank)) / OUTBOUND_FOLDER
            kept = self.kept[f"director-{rank}"]
            for place in sorted(down.iterdir()) if down.is_dir() else ():
                try:
                    files = read_group(str(place))[1]
                except OSError:
                    continue
                old = kept.get(place.name)
                if old is None or self.chance.random() < 0.3:
                    kept[place.name] = files
                if old is not None and set(old) == {"cds.json", "eds.json", "rds.json"}:
                    self.land(place, old)
                    landed += 1
        return landed > 0

    def land(self, place: Path, old: dict[str, bytes]) -> None:
        """As a writer of before would have it, had it been stopped just before its last rename."""
        ops, name = DiskOps(), f"vlate{monotonic_ticks()}"
        files = dict(old)
        envelope = read_response(old["rds.json"], forms.ROUTES)
        routes = tables.read_routes(old["rds.json"])[1][0]
        for route in routes.virtual_hosts[0].routes:
            route.route.retry_policy = tables.retry(3, 3000)
            route.route.retry_policy.per_try_timeout = "0.3s"
        body = [encode(routes)]
        version = envelope.version_info
        files["rds.json"] = encode_response(version, forms.ROUTES, envelope.nonce, body)
        try:
            ops.mkdir(str(place / name))
            for file, data in files.items():
                ops.write(str(place / name / file), data, False)
            remove(ops, str(place / ".late"))
            ops.symlink(name, str(place / ".late"))
            ops.rename(str(place / ".late"), str(place / CURRENT))
            self.notes.note("late", p=place.name, v=version)
        except OSError:
            return  # the folder has just gone: so has the writer of before

    async def play(self, nursery: trio.Nursery) -> None:
        async def strikes() -> None:
            while not hasattr(self, "zero"):
                await trio.sleep(0.05)
            await self.strike_directors()

        nursery.start_soon(strikes)
        await super().play(nursery)

    def all_alive(self) -> None:
        for rank in list(self.busy):
            if rank in self.directors:
                self.directors[rank].send_signal(signal.SIGCONT)
        self.directors = {rank: p for rank, p in self.directors.items() if p.poll() is None}
        super().all_alive()


@dataclass
class TakeoverReport:
    outcome: Outcome
    strikes: dict[str, int]
    late: int
    void: int
    two_rulers: list[str]
    to_ruled_s: list[float]  # from a death to the next order applied, for each proxy that it left
    joins: int
    peak_joins: int  # in one second, at all directors
    detection_s: float
    found: list[str] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        return self.outcome.kept and not self.two_rulers

    def lines(self) -> list[str]:
        ranked = sorted(self.to_ruled_s) or [0.0]
        done = ", ".join(f"{count} {way}" for way, count in sorted(self.strikes.items()))
        late = ranked[int(len(ranked) * 0.99)]
        return [
            *[verdict.line() for verdict in self.outcome.verdicts],
            f"strikes: {done}; {self.late} late renames landed, {self.void} seen and void",
            f"terms with orders of two directors: {len(self.two_rulers)}",
            *self.two_rulers[:5],
            f"from a death to ruled again: median {statistics.median(ranked):.2f} s, p99 {late:.2f} s"
            f" over {len(ranked)}; a death shows within {self.detection_s:.2f} s",
            f"{self.joins} joins, at most {self.peak_joins} in one second",
            f"service {self.outcome.service:.3f}; {self.outcome.answered} answered of {self.outcome.calls}",
        ]


def look_back(stage: TakeoverStage, outcome: Outcome) -> TakeoverReport:
    """What the notes say of who ruled whom, and how soon again."""
    folder = stage.folder
    notes = [row for path in sorted(folder.glob("proxies*.notes")) for row in read_notes(str(path))]
    notes.sort(key=lambda row: row["t"])
    rulers: dict[tuple[str, int], dict[str, int]] = defaultdict(dict)
    applied: dict[str, list[int]] = defaultdict(list)
    joined: dict[str, list[tuple[int, str]]] = defaultdict(list)
    seconds: dict[int, int] = defaultdict(int)
    for row in notes:
        if row["kind"] == "applied":
            rulers[row["p"], row["term"]].setdefault(row["d"], row["t"])
            applied[row["p"]].append(row["t"])
        elif row["kind"] in ("joined", "left"):
            joined[row["p"]].append((row["t"], row["d"] if row["kind"] == "joined" else ""))
            seconds[row["t"] // TICKS_PER_SECOND] += row["kind"] == "joined"
    two = []
    for (proxy, term), by in rulers.items():
        if len(by) > 1:
            told = ", ".join(
                f"{name} at {(t - stage.zero) / TICKS_PER_SECOND:.2f} s" for name, t in by.items()
            )
            two.append(f"{proxy} in term {term}: {told}")
    events = read_notes(str(folder / "stage.notes"))
    waits = []
    for row in events:
        if row["kind"] != "director_died":
            continue
        for proxy, rows in joined.items():
            held = [who for t, who in rows if t <= row["t"]]
            if held and held[-1] == row["d"]:
                again = next((t for t in applied[proxy] if t > row["t"]), None)
                if again is not None:
                    waits.append((again - row["t"]) / TICKS_PER_SECOND)
    return TakeoverReport(
        outcome, dict(stage.count), sum(row["kind"] == "late" for row in events),
        sum(row["kind"] == "void" for row in notes), two, waits, sum(seconds.values()),
        max(seconds.values(), default=0), stage.day.director_lost_after_s,
    )  # fmt: skip


def run_takeover(
    seed: int, kills: int, every_s: float, folder: Path, say: Callable[[str], None], fenced: bool = True,
    strikes: bool = True, front: str = "files", store: str = "none", **size: Any,
) -> TakeoverReport:  # fmt: skip
    """`strikes` False: the same day with nobody struck, to set the service beside."""
    day = takeover_day(seed, kills, every_s, **size)
    shutil.rmtree(folder, ignore_errors=True)
    stage = TakeoverStage(day, folder, kills if strikes else 0, every_s, front=front, store=store)
    stage.fenced = fenced
    outcome = trio.run(stage.run)
    return look_back(stage, outcome)


def run_orphans(folder: Path, proxies: int, hosts: int, calls_per_s: float, seed: int = 1) -> TakeoverReport:
    """All proxies lose their one director at once, for good, and go to the other."""
    day = draw(
        seed, 26.0, hosts=hosts, proxies=proxies, directors=2, calls_per_s=calls_per_s, troubles=[], spare=0
    )
    for plan in day.proxies:
        plan.zone = ZONES[0]  # where the first director is
    shutil.rmtree(folder, ignore_errors=True)
    stage = OrphanStage(day, folder, 0, 1.0)
    outcome = trio.run(stage.run)
    return look_back(stage, outcome)


class OrphanStage(TakeoverStage):
    async def strike_directors(self) -> None:
        await trio.sleep(max((self.zero - monotonic_ticks()) / TICKS_PER_SECOND + 10.0, 0))
        self.kill_director(0)
        self.count["kill"] += 1

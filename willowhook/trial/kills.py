"""A program that commits and compacts is killed, over and over: nothing acknowledged is lost."""

from __future__ import annotations

import os
import random
import select
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import trio

from ..store.commit import Committer
from ..store.store import DEBUG, OUTCOMES, Op, Store

WRITERS = 24


def value_of(key: str, count: int) -> bytes:
    """So that what is read says itself whether it was ever written."""
    return f"{key} {count} ".encode() * (1 + count % 9)


def write_on(folder: str) -> None:
    """The main of the program that is killed: says on its output what was acknowledged."""
    store = Store(folder, segment_bytes=20_000, ranks={"debug": DEBUG, "outcomes": OUTCOMES})
    committer = Committer(store)
    out = os.fdopen(1, "wb", buffering=0)

    async def one(k: int) -> None:
        key, space = f"k{k}", ("debug", "orders", "outcomes")[k % 3]
        entry = store.get(space, key)
        count = int(entry.value.split()[1]) if entry is not None else 0
        while True:
            count += 1
            out.write(b"try %s %s %d\n" % (space.encode(), key.encode(), count))
            await committer.commit([Op(space, key, count, value_of(key, count))])
            out.write(b"ok %s %s %d\n" % (space.encode(), key.encode(), count))

    async def tidy() -> None:
        while True:
            await trio.sleep(0.01)
            for _ in store.compact(2000):
                await trio.sleep(0)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(committer.run)
            nursery.start_soon(tidy)
            for k in range(WRITERS):
                nursery.start_soon(one, k)

    trio.run(run)


@dataclass
class KillReport:
    kills: int = 0
    acknowledged: int = 0
    seconds: float = 0.0
    recover_ms: list[float] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)

    def lines(self) -> list[str]:
        ranked = sorted(self.recover_ms) or [0.0]
        return [
            f"{self.kills} kills, {self.acknowledged} acknowledged records, in {self.seconds:.0f} s; "
            f"recovery median {ranked[len(ranked) // 2]:.1f} ms, at most {ranked[-1]:.1f} ms",
            f"{len(self.wrong)} lost or invented",
            *self.wrong[:8],
        ]

    @property
    def passed(self) -> bool:
        return not self.wrong and self.acknowledged > self.kills


def run_kills(folder: Path, count: int, seed: int, say: Callable[[str], None]) -> KillReport:
    report, chance, began = KillReport(), random.Random(seed), time.perf_counter()
    acked: dict[tuple[str, str], int] = {}
    tried: dict[tuple[str, str], int] = {}
    code = f"from willowhook.trial.kills import write_on; write_on({str(folder / 's')!r})"
    for _ in range(count):
        process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
        assert process.stdout is not None
        data, end = b"", 0.0
        lives = chance.uniform(0.0, 0.12)
        while not end or time.perf_counter() < end:
            ready, _, _ = select.select([process.stdout], [], [], 0.005 if end else 10)
            if ready:
                data += os.read(process.stdout.fileno(), 1 << 16)
                end = end or time.perf_counter() + lives
        process.send_signal(signal.SIGKILL)
        data += process.stdout.read()
        process.wait()
        process.stdout.close()
        report.kills += 1
        for line in data.split(b"\n")[:-1]:
            what, space, key, number = line.decode().split()
            book = acked if what == "ok" else tried
            book[space, key] = max(book.get((space, key), 0), int(number))
            report.acknowledged += what == "ok"
        _look(folder, report, acked, tried)
    report.seconds = time.perf_counter() - began
    return report


def _look(
    folder: Path, report: KillReport, acked: dict[tuple[str, str], int], tried: dict[tuple[str, str], int]
) -> None:  # fmt: skip
    at = time.perf_counter()
    store = Store(str(folder / "s"))
    report.recover_ms.append((time.perf_counter() - at) * 1000)
    what = f"after kill {report.kills}"
    report.wrong += [f"{what}: {row.describe()}" for row in store.recovery.corruptions]
    for (space, key), number in acked.items():
        entry = store.get(space, key)
        count = int(entry.value.split()[1]) if entry is not None else 0
        if count < number:
            report.wrong.append(f"{what}: {space} {key} {number} was acknowledged, {count} is there")
    for space, rows in store.state.items():
        for key, entry in rows.items():
            count = int(entry.value.split()[1])
            if count > tried.get((space, key), 0) or entry.value != value_of(key, count):
                report.wrong.append(f"{what}: {space} {key} {count} was never written")
    store.close()

"""Kills a program that commits and compacts repeatedly, and checks that no acknowledged record is lost."""

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

WRITER_COUNT = 24


def value_of(key: str, count: int) -> bytes:
    """A value that encodes its key and count, so that a reader can tell whether it was ever written."""
    return f"{key} {count} ".encode() * (1 + count % 9)


def run_writer(folder: str) -> None:
    """Main function of the program that is killed; it prints attempted and acknowledged writes."""
    store = Store(folder, segment_bytes=20_000, ranks={"debug": DEBUG, "outcomes": OUTCOMES})
    committer = Committer(store)
    output = os.fdopen(1, "wb", buffering=0)

    async def write_repeatedly(index: int) -> None:
        key, space = f"k{index}", ("debug", "orders", "outcomes")[index % 3]
        entry = store.get(space, key)
        count = int(entry.value.split()[1]) if entry is not None else 0
        while True:
            count += 1
            output.write(b"try %s %s %d\n" % (space.encode(), key.encode(), count))
            await committer.commit([Op(space, key, count, value_of(key, count))])
            output.write(b"ok %s %s %d\n" % (space.encode(), key.encode(), count))

    async def compact_repeatedly() -> None:
        while True:
            await trio.sleep(0.01)
            for _ in store.compact(2000):
                await trio.sleep(0)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(committer.run)
            nursery.start_soon(compact_repeatedly)
            for index in range(WRITER_COUNT):
                nursery.start_soon(write_repeatedly, index)

    trio.run(run)


@dataclass
class KillReport:
    """Counts, recovery times and wrong records of one run."""

    kills: int = 0
    acknowledged: int = 0
    seconds: float = 0.0
    recover_ms: list[float] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)

    def lines(self) -> list[str]:
        """Describes the result for a reader."""
        ranked = sorted(self.recover_ms) or [0.0]
        return [
            f"{self.kills} kills, {self.acknowledged} acknowledged records, in {self.seconds:.0f} s; "
            f"recovery median {ranked[len(ranked) // 2]:.1f} ms, at most {ranked[-1]:.1f} ms",
            f"{len(self.wrong)} lost or never written",
            *self.wrong[:8],
        ]

    @property
    def passed(self) -> bool:
        """Whether the run found no violation."""
        return not self.wrong and self.acknowledged > self.kills


def run_kills(folder: Path, count: int, seed: int, say: Callable[[str], None]) -> KillReport:
    """Kills the program `count` times and checks the store after each kill."""
    report, generator, started_at = KillReport(), random.Random(seed), time.perf_counter()
    acknowledged: dict[tuple[str, str], int] = {}
    attempted: dict[tuple[str, str], int] = {}
    code = f"from willowhook.trial.kills import run_writer; run_writer({str(folder / 's')!r})"
    for _ in range(count):
        process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
        assert process.stdout is not None
        data, end = b"", 0.0
        lifetime_s = generator.uniform(0.0, 0.12)
        while not end or time.perf_counter() < end:
            ready, _, _ = select.select([process.stdout], [], [], 0.005 if end else 10)
            if ready:
                data += os.read(process.stdout.fileno(), 1 << 16)
                end = end or time.perf_counter() + lifetime_s
        process.send_signal(signal.SIGKILL)
        data += process.stdout.read()
        process.wait()
        process.stdout.close()
        report.kills += 1
        for line in data.split(b"\n")[:-1]:
            event, space, key, number = line.decode().split()
            counts = acknowledged if event == "ok" else attempted
            counts[space, key] = max(counts.get((space, key), 0), int(number))
            report.acknowledged += event == "ok"
        _check_store(folder, report, acknowledged, attempted)
    report.seconds = time.perf_counter() - started_at
    return report


def _check_store(
    folder: Path, report: KillReport, acknowledged: dict[tuple[str, str], int],
    attempted: dict[tuple[str, str], int]
) -> None:  # fmt: skip
    started_at = time.perf_counter()
    store = Store(str(folder / "s"))
    report.recover_ms.append((time.perf_counter() - started_at) * 1000)
    description = f"after kill {report.kills}"
    report.wrong += [f"{description}: {row.describe()}" for row in store.recovery.corruptions]
    for (space, key), number in acknowledged.items():
        entry = store.get(space, key)
        count = int(entry.value.split()[1]) if entry is not None else 0
        if count < number:
            report.wrong.append(f"{description}: {space} {key} {number} was acknowledged, {count} is there")
    for space, rows in store.state.items():
        for key, entry in rows.items():
            count = int(entry.value.split()[1])
            if count > attempted.get((space, key), 0) or entry.value != value_of(key, count):
                report.wrong.append(f"{description}: {space} {key} {count} was never written")
    store.close()

"""Every file of a store cut at every byte, flipped at every byte, and caught by power failures.

The history is written once, with what was acknowledged when.  After each injury the store is recovered and
held against it: the state must be that of some number, or what is lost must be told with its place; no
outcome may be told that is not true.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ..store.outcomes import (
    ANSWERED,
    DONE,
    FAILED,
    NOT_DONE,
    NOT_EXECUTED,
    UNKNOWN,
    RequestRecord,
    after_recovery,
)
from ..store.store import STORE_SPACE, Op, Store, StoreError, recover
from .power import PowerDisk

Plain = dict[tuple[str, str], bytes]


@dataclass
class History:
    """Beside a plain dict: the state after each number, and which number was acknowledged when."""

    states: dict[int, Plain] = field(default_factory=lambda: {0: {}})
    acked: int = 0
    truth: dict[str, str] = field(default_factory=dict)  # by call: whether it had its effect
    written: int = 0


def plain_of(state: dict[str, dict[str, object]]) -> Plain:
    return {
        (space, key): bytes(entry.value)  # type: ignore[attr-defined]
        for space, rows in state.items()
        for key, entry in rows.items()
        if space != STORE_SPACE
    }


def script(
    disk: PowerDisk, seed: int, steps: int, note: Callable[[History], None] = lambda history: None
) -> History:
    """Writes, groups, rolls and compactions on this disk."""
    chance, history = random.Random(seed), History()
    store = Store("s", disk, segment_bytes=700, store_id=12345, lock=False)
    now: Plain = {}
    calls: dict[str, RequestRecord] = {}
    compacting = None
    for k in range(steps):
        ops: list[Op] = []
        for _ in range(chance.randint(1, 3)):
            what = chance.random()
            if what < 0.4:
                key, value = f"t{chance.randrange(6)}", chance.randbytes(chance.choice([3, 20, 90]))
                ops.append(Op("orders", key, k, value))
                now["orders", key] = value
            elif what < 0.5:
                key = f"t{chance.randrange(6)}"
                ops.append(Op("orders", key, k, None))
                now.pop(("orders", key), None)
            else:
                name = f"c{chance.randrange(8)}"
                found = calls.setdefault(name, RequestRecord())
                _advance(found, chance, k, name, history)
                value = msgspec.msgpack.encode(found.tries)
                ops.append(Op("outcomes", name, k, value))
                now["outcomes", name] = value
        number = store.write(ops)
        assert number is not None
        history.states[number], history.written = dict(now), number
        note(history)
        if chance.random() < 0.5:
            batch = store.next_batch()
            store.write_batch(batch)
            history.acked = batch[-1].number
            store.apply_batch(batch)
            note(history)
        if compacting is None and chance.random() < 0.12 and store.number:
            compacting = store.compact(64)
        if compacting is not None and next(compacting, None) is None:
            compacting = None
    store.flush()
    history.acked = store.number
    store.close()
    return history


def _advance(found: RequestRecord, chance: random.Random, at: int, name: str, history: History) -> None:
    out = [k for k, what in found.tries.items() if what == "out"]
    if out and chance.random() < 0.7:
        what = chance.choice([ANSWERED, NOT_EXECUTED, FAILED])
        found.end_attempt(out[0], what)
        if what == ANSWERED:
            history.truth[name] = DONE
    else:
        found.start_attempt(len(found.tries), at)
        history.truth.setdefault(name, UNKNOWN)  # it may have run from now on


@dataclass
class CutReport:
    cuts: int = 0
    flips: int = 0
    failures: int = 0  # of power
    bytes: int = 0
    reported_damage: int = 0  # injuries that were told as damage
    seconds: float = 0.0
    wrong: list[str] = field(default_factory=list)

    def lines(self) -> list[str]:
        return [
            f"{self.bytes} bytes: {self.cuts} cuts, {self.flips} flips, {self.failures} states after a power "
            f"failure, in {self.seconds:.0f} s",
            f"{self.reported_damage} were told as damage; {len(self.wrong)} wrong",
            *self.wrong[:8],
        ]

    @property
    def passed(self) -> bool:
        return not self.wrong and self.cuts > 0


def look(
    files: dict[str, bytes], history: History, injured: str, report: CutReport, what: str, acked: int
) -> None:
    """Recovers these files and holds the result against the history."""
    disk = PowerDisk.load(files)
    try:
        store = Store("s", disk, lock=False, store_id=12345)
    except (StoreError, OSError, ValueError, msgspec.MsgspecError) as fault:
        report.wrong.append(f"{what}: it cannot be opened: {fault!r}")
        return
    state, damage = plain_of(store.state), store.recovery.corruptions  # type: ignore[arg-type]
    report.reported_damage += bool(damage)
    if not store.has_lost_entries:
        fits = [n for n, each in history.states.items() if each == state and acked <= n <= history.written]
        if not fits:
            report.wrong.append(
                f"{what}: a state that never was, or older than what was acknowledged ({acked})"
            )
    elif injured and injured not in {row.file for row in damage}:
        report.wrong.append(f"{what}: told as damage of {[row.file for row in damage]}")
    for key, value in state.items():
        if not any(each.get(key) == value for each in history.states.values()):
            report.wrong.append(f"{what}: {key} has a value that was never written")
    _outcomes(store, history, report, what, acked)
    again = recover(PowerDisk.load(disk.files()), "s")
    if plain_of(again.state) != state:  # type: ignore[arg-type]
        report.wrong.append(f"{what}: a second recovery differs from the first")


def _outcomes(store: Store, history: History, report: CutReport, what: str, acked: int) -> None:
    """Done only where it is true; not done only where no try had left, by what was acknowledged."""
    for name in history.truth:
        entry = store.get("outcomes", name)
        found = None
        if entry is not None:
            found = RequestRecord(tries=msgspec.msgpack.decode(entry.value, type=dict[int, str]))
        told = after_recovery(found, store.has_lost_entries).state()
        until = acked if store.has_lost_entries else store.recovery.number
        latest = history.states[until].get(("outcomes", name))
        known = (
            RequestRecord(tries=msgspec.msgpack.decode(latest, type=dict[int, str]))
            if latest
            else RequestRecord()
        )
        if told == DONE and history.truth[name] != DONE:
            report.wrong.append(f"{what}: {name} is told to be done, and never was")
        if told == NOT_DONE and known.state() != NOT_DONE:
            report.wrong.append(f"{what}: {name} is told not to be done, and a try had left")


def run_cuts(seed: int, steps: int, power_steps: int, say: Callable[[str], None]) -> CutReport:
    report, began = CutReport(), time.perf_counter()
    disk = PowerDisk()
    history = script(disk, seed, steps)
    files = disk.files()
    report.bytes = sum(len(data) for data in files.values())
    say(f"{len(files)} files, {report.bytes} bytes, {history.written} numbers")
    for name, data in sorted(files.items()):
        if name == "reserve":
            continue
        for at in range(len(data)):
            report.cuts += 1
            look({**files, name: data[:at]}, history, name, report, f"{name} cut at {at}", history.acked)
            report.flips += 1
            flipped = data[:at] + bytes([data[at] ^ 1 << at % 8]) + data[at + 1 :]
            look(
                {**files, name: flipped},
                history,
                name,
                report,
                f"{name} flipped at {at}",
                history.acked,
            )
    _power(seed, power_steps, report)
    report.seconds = time.perf_counter() - began
    return report


def _power(seed: int, steps: int, report: CutReport) -> None:
    disk, chance = PowerDisk(), random.Random(seed)
    seen: set[int] = set()
    current: list[History] = [History()]

    def note(history: History) -> None:
        current[0] = history

    def after() -> None:
        for files in disk.crashes(chance, 24):
            key = hash(tuple(sorted(files.items())))
            if key in seen:
                continue
            seen.add(key)
            report.failures += 1
            look(
                files,
                current[0],
                "",
                report,
                f"power failed after operation {report.failures}",
                current[0].acked,
            )

    disk.after = after
    script(disk, seed, steps, note)

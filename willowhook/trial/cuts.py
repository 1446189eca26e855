"""Crash and corruption tests of the store: truncation and bit flips at every byte, and power failures.

A history of writes is recorded once, with the numbers that were acknowledged.  After each fault the store is
recovered and compared with the history: its state must be the state after some number, or the loss must be
reported with its place; no reported outcome may be false.
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

PlainState = dict[tuple[str, str], bytes]


@dataclass
class History:
    """The state after each number as plain dicts, the last acknowledged number, and the true outcomes."""

    states: dict[int, PlainState] = field(default_factory=lambda: {0: {}})
    acknowledged: int = 0
    true_outcomes: dict[str, str] = field(default_factory=dict)  # by request: whether it took effect
    written: int = 0


def plain_state(state: dict[str, dict[str, object]]) -> PlainState:
    """The state as a plain dict, without the space that the store keeps for itself."""
    return {
        (space, key): bytes(entry.value)  # type: ignore[attr-defined]
        for space, rows in state.items()
        for key, entry in rows.items()
        if space != STORE_SPACE
    }


def write_history(
    disk: PowerDisk, seed: int, steps: int, note: Callable[[History], None] = lambda history: None
) -> History:
    """Runs random writes, batches, segment rolls and compactions on this disk."""
    generator, history = random.Random(seed), History()
    store = Store("s", disk, segment_bytes=700, store_id=12345, lock=False)
    now: PlainState = {}
    requests: dict[str, RequestRecord] = {}
    compacting = None
    for step in range(steps):
        ops: list[Op] = []
        for _ in range(generator.randint(1, 3)):
            choice = generator.random()
            if choice < 0.4:
                key, value = f"t{generator.randrange(6)}", generator.randbytes(generator.choice([3, 20, 90]))
                ops.append(Op("orders", key, step, value))
                now["orders", key] = value
            elif choice < 0.5:
                key = f"t{generator.randrange(6)}"
                ops.append(Op("orders", key, step, None))
                now.pop(("orders", key), None)
            else:
                name = f"c{generator.randrange(8)}"
                request = requests.setdefault(name, RequestRecord())
                _advance_request(request, generator, step, name, history)
                value = msgspec.msgpack.encode(request.tries)
                ops.append(Op("outcomes", name, step, value))
                now["outcomes", name] = value
        number = store.write(ops)
        assert number is not None
        history.states[number], history.written = dict(now), number
        note(history)
        if generator.random() < 0.5:
            batch = store.next_batch()
            store.write_batch(batch)
            history.acknowledged = batch[-1].number
            store.apply_batch(batch)
            note(history)
        if compacting is None and generator.random() < 0.12 and store.number:
            compacting = store.compact(64)
        if compacting is not None and next(compacting, None) is None:
            compacting = None
    store.flush()
    history.acknowledged = store.number
    store.close()
    return history


def _advance_request(
    request: RequestRecord, generator: random.Random, step: int, name: str, history: History
) -> None:
    pending = [number for number, outcome in request.tries.items() if outcome == "out"]
    if pending and generator.random() < 0.7:
        outcome = generator.choice([ANSWERED, NOT_EXECUTED, FAILED])
        request.end_attempt(pending[0], outcome)
        if outcome == ANSWERED:
            history.true_outcomes[name] = DONE
    else:
        request.start_attempt(len(request.tries), step)
        history.true_outcomes.setdefault(name, UNKNOWN)  # it may have been executed from here on


@dataclass
class CutReport:
    """Number of faults by kind, and the wrong results of recovery."""

    cuts: int = 0
    flips: int = 0
    failures: int = 0  # power failures
    bytes: int = 0
    reported_damage: int = 0  # faults that recovery reported as corruption
    seconds: float = 0.0
    wrong: list[str] = field(default_factory=list)

    def lines(self) -> list[str]:
        """Describes the result for a reader."""
        return [
            f"{self.bytes} bytes: {self.cuts} truncations, {self.flips} flips, "
            f"{self.failures} states after a power "
            f"failure, in {self.seconds:.0f} s",
            f"{self.reported_damage} were reported as corruption; {len(self.wrong)} wrong",
            *self.wrong[:8],
        ]

    @property
    def passed(self) -> bool:
        """Whether the run found no violation."""
        return not self.wrong and self.cuts > 0


def check_recovery(
    files: dict[str, bytes],
    history: History,
    damaged_file: str,
    report: CutReport,
    description: str,
    acknowledged: int,
) -> None:
    """Recovers the store from these files and compares the result with the history."""
    disk = PowerDisk.load(files)
    try:
        store = Store("s", disk, lock=False, store_id=12345)
    except (StoreError, OSError, ValueError, msgspec.MsgspecError) as error:
        report.wrong.append(f"{description}: cannot be opened: {error!r}")
        return
    state, corruptions = plain_state(store.state), store.recovery.corruptions  # type: ignore[arg-type]
    report.reported_damage += bool(corruptions)
    if not store.has_lost_entries:
        matching_numbers = [
            number
            for number, past_state in history.states.items()
            if past_state == state and acknowledged <= number <= history.written
        ]
        if not matching_numbers:
            report.wrong.append(
                f"{description}: the state never existed, "
                f"or is older than the acknowledged number ({acknowledged})"
            )
    elif damaged_file and damaged_file not in {row.file for row in corruptions}:
        report.wrong.append(f"{description}: reported as corruption of {[row.file for row in corruptions]}")
    for key, value in state.items():
        if not any(past_state.get(key) == value for past_state in history.states.values()):
            report.wrong.append(f"{description}: {key} has a value that was never written")
    _check_outcomes(store, history, report, description, acknowledged)
    second_recovery = recover(PowerDisk.load(disk.files()), "s")
    if plain_state(second_recovery.state) != state:  # type: ignore[arg-type]
        report.wrong.append(f"{description}: a second recovery differs from the first")


def _check_outcomes(
    store: Store, history: History, report: CutReport, description: str, acknowledged: int
) -> None:
    """Checks that `done` is reported only if true, `not done` only if no acknowledged attempt was sent."""
    for name in history.true_outcomes:
        entry = store.get("outcomes", name)
        recovered = None
        if entry is not None:
            recovered = RequestRecord(tries=msgspec.msgpack.decode(entry.value, type=dict[int, str]))
        reported = after_recovery(recovered, store.has_lost_entries).state()
        last_number = acknowledged if store.has_lost_entries else store.recovery.number
        latest = history.states[last_number].get(("outcomes", name))
        known = (
            RequestRecord(tries=msgspec.msgpack.decode(latest, type=dict[int, str]))
            if latest
            else RequestRecord()
        )
        if reported == DONE and history.true_outcomes[name] != DONE:
            report.wrong.append(f"{description}: {name} is reported as done, but never was")
        if reported == NOT_DONE and known.state() != NOT_DONE:
            report.wrong.append(
                f"{description}: {name} is reported as not done, but an attempt had been sent"
            )


def run_cuts(seed: int, steps: int, power_steps: int, say: Callable[[str], None]) -> CutReport:
    """Runs truncations, bit flips and power failures on histories of these lengths."""
    report, started_at = CutReport(), time.perf_counter()
    disk = PowerDisk()
    history = write_history(disk, seed, steps)
    files = disk.files()
    report.bytes = sum(len(data) for data in files.values())
    say(f"{len(files)} files, {report.bytes} bytes, {history.written} numbers")
    for name, data in sorted(files.items()):
        if name == "reserve":
            continue
        for position in range(len(data)):
            report.cuts += 1
            check_recovery(
                {**files, name: data[:position]},
                history,
                name,
                report,
                f"{name} cut at {position}",
                history.acknowledged,
            )
            report.flips += 1
            flipped = data[:position] + bytes([data[position] ^ 1 << position % 8]) + data[position + 1 :]
            check_recovery(
                {**files, name: flipped},
                history,
                name,
                report,
                f"{name} flipped at {position}",
                history.acknowledged,
            )
    _check_power_failures(seed, power_steps, report)
    report.seconds = time.perf_counter() - started_at
    return report


def _check_power_failures(seed: int, steps: int, report: CutReport) -> None:
    disk, generator = PowerDisk(), random.Random(seed)
    seen: set[int] = set()
    current: list[History] = [History()]

    def note(history: History) -> None:
        current[0] = history

    def check_crashes() -> None:
        for files in disk.crashes(generator, 24):
            files_hash = hash(tuple(sorted(files.items())))
            if files_hash in seen:
                continue
            seen.add(files_hash)
            report.failures += 1
            check_recovery(
                files,
                current[0],
                "",
                report,
                f"power failed after operation {report.failures}",
                current[0].acknowledged,
            )

    disk.after = check_crashes
    write_history(disk, seed, steps, note)

"""The store: damage told from a cut tail, every injury of a small history, a machine beside a plain dict."""

from __future__ import annotations

import errno
import json
import multiprocessing
import os
import random
import signal
import time
from pathlib import Path
from typing import Any

import pytest
import trio
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from willowhook.cli.main import main
from willowhook.store import frames
from willowhook.store.commit import Committer
from willowhook.store.ledger import RequestLedger
from willowhook.store.outcomes import (
    ANSWERED,
    DONE,
    FAILED,
    NOT_DONE,
    NOT_EXECUTED,
    REPORT_UNKNOWN,
    RETRY,
    RETURN_RESPONSE,
    UNKNOWN,
    RequestRecord,
    after_recovery,
)  # fmt: skip
from willowhook.store.store import DEBUG, OUTCOMES, Op, Reader, Store, StoreError, StoreInUseError
from willowhook.trial.cuts import run_cuts
from willowhook.trial.power import PowerDisk
from willowhook.trial.submits import run_submits


def log(count: int, safes: dict[int, int] | None = None) -> bytes:
    rows = [frames.frame(7, n, (safes or {}).get(n, n - 1), 1, b"p%d" % n * 3) for n in range(1, count + 1)]
    return frames.head(7, 1) + b"".join(rows)


def test_a_hole_is_damage_if_a_later_frame_says_that_it_was_safe_and_a_cut_tail_if_none_does() -> None:
    data = log(6)
    whole = frames.scan(7, data, 1)
    assert whole.verdict == frames.WHOLE and [f.number for f in whole.frames] == [1, 2, 3, 4, 5, 6]
    at = whole.frames[2].at
    torn = data[: at + 5] + b"\0" * 10 + data[at + 15 :]
    got = frames.scan(7, torn, 1)
    assert got.verdict == frames.DAMAGED and [f.number for f in got.frames] == [1, 2, 4, 5, 6]
    assert [(h.at, h.end, h.first, h.last) for h in got.holes] == [(at, whole.frames[3].at, 3, 3)]
    # of one group, none of which was acknowledged: what came to lie behind the hole is nobody's
    same = log(6, dict.fromkeys(range(3, 7), 2))
    got = frames.scan(7, same[: at + 5] + b"\0" * 10 + same[at + 15 :], 1)
    assert got.verdict == frames.CUT and [f.number for f in got.frames] == [1, 2] and got.end == at
    assert frames.scan(8, data, 1).frames == []  # of another store


def test_every_injury_of_a_small_history_is_recovered_or_told() -> None:
    report = run_cuts(4, 14, 10, lambda text: None)
    assert not report.wrong, report.wrong[:5]
    assert report.cuts > 500 and report.failures > 200 and report.reported_damage > 500


def test_the_trial_sees_a_store_that_does_not_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PowerDisk, "sync", lambda self, handle: None)
    assert run_cuts(4, 10, 10, lambda text: None).wrong


def put(key: str, value: bytes = b"v", space: str = "orders", at: int = 0) -> list[Op]:
    return [Op(space, key, at, value)]


class Machine(RuleBasedStateMachine):
    """Beside a plain dict, with crashes that keep a prefix of what was not acknowledged."""

    def __init__(self) -> None:
        super().__init__()
        self.disk = PowerDisk()
        self.store = Store("s", self.disk, segment_bytes=300, store_id=9, lock=False)
        self.states: list[dict[str, bytes]] = [{}]  # after each number that was written
        self.base = 0  # the number of the first
        self.compacting: Any = None

    @rule(keys=st.lists(st.tuples(st.integers(0, 4), st.binary(max_size=30)), min_size=1, max_size=3))
    def write(self, keys: list[tuple[int, bytes]]) -> None:
        now = dict(self.states[-1])
        ops = [Op("orders", f"k{k}", 0, value or None) for k, value in keys]
        for op in ops:
            if op.value is None:
                now.pop(op.key, None)
            else:
                now[op.key] = op.value
        self.store.write(ops)
        self.states.append(now)

    @rule(most=st.integers(1, 200))
    def commit(self, most: int) -> None:
        batch = self.store.next_batch(most)
        self.store.write_batch(batch)
        self.store.apply_batch(batch)

    @rule(steps=st.integers(1, 4))
    def compact(self, steps: int) -> None:
        if self.compacting is None:
            self.compacting = self.store.compact(40)
        for _ in range(steps):
            if next(self.compacting, None) is None:
                self.compacting = None
                return

    @rule(which=st.integers(0, 1000))
    def crash(self, which: int) -> None:
        acked = self.store.number
        found = list(self.disk.crashes(random.Random(which), 8))
        self.disk = PowerDisk.load(found[which % len(found)])
        self.store = Store("s", self.disk, segment_bytes=300, store_id=9, lock=False)
        self.compacting = None
        assert (
            not self.store.recovery.corruptions
            and acked <= self.store.number <= self.base + len(self.states) - 1
        )
        self.states = self.states[: self.store.number - self.base + 1]

    @rule(error=st.sampled_from([errno.EIO, errno.ENOSPC]), after=st.integers(0, 3))
    def fault(self, error: int, after: int) -> None:
        """The disk fails once: the store moves on to another segment, and nothing is lost."""
        left = [after]

        def before(what: str) -> None:
            left[0] -= 1
            if left[0] == -1:
                raise OSError(error, what)

        self.disk.before = before
        batch = self.store.next_batch(10_000)
        try:
            self.store.write_batch(batch)
            self.store.apply_batch(batch)
        except OSError:
            pass  # it stays in what waits
        self.disk.before = lambda what: None
        self.compacting = None if self.compacting is None else self.compacting

    @invariant()
    def what_is_read_is_what_was_acknowledged(self) -> None:
        rows = {key: entry.value for key, entry in self.store.by_key("orders")}
        assert rows == self.states[self.store.number - self.base]


TestMachine = Machine.TestCase
TestMachine.settings = settings(derandomize=True, max_examples=120, stateful_step_count=30, deadline=None)


def test_one_writer_many_readers_and_what_is_read_is_on_disk(tmp_path: Path) -> None:
    store = Store(str(tmp_path / "s"))
    with pytest.raises(StoreInUseError, match=f"process {os.getpid()}"):
        Store(str(tmp_path / "s"))
    reader = Reader(str(tmp_path / "s"))
    store.write(put("a"))
    assert store.get("orders", "a") is None and reader.refresh() == 0
    store.flush()
    assert reader.refresh() == 1 and reader.state["orders"]["a"].value == b"v"
    for k in range(50):
        store.write(put(f"k{k:02}", b"x" * 100, at=100 - k))
        store.flush()
        for _ in store.compact(200):
            reader.refresh()
    assert [key for key, _ in store.by_key("orders", "k10", "k12")] == ["k10", "k11", "k12"]
    assert [key for key, _ in store.by_time("orders", 99)] == ["k01", "k00"]
    assert reader.refresh() == 51 and len(reader.state["orders"]) == 51
    assert len(list((tmp_path / "s").glob("snap-*"))) == 2
    store.close()
    again = Store(str(tmp_path / "s"))  # the lock of one that ended is nobody's
    assert len(again.by_key("orders")) == 51 and not again.has_lost_entries and again.epoch == 2
    again.close()


def test_retention_takes_the_oldest_and_they_do_not_come_back(tmp_path: Path) -> None:
    store = Store(str(tmp_path / "s"))
    for k in range(30):
        store.write(put(f"d{k:02}", space="debug", at=k) + put(f"o{k:02}", space="outcomes", at=k))
        store.flush()
    list(store.compact(retain={"debug": (5, 20)}))
    assert [key for key, _ in store.by_key("debug")] == [f"d{k}" for k in range(25, 30)]
    store.close()
    again = Store(str(tmp_path / "s"))
    assert len(again.by_key("debug")) == 5 and len(again.by_key("outcomes")) == 30
    again.close()


def test_a_full_disk_drops_the_least_dear_first_and_outcomes_last() -> None:
    disk = PowerDisk()
    store = Store("s", disk, ranks={"debug": DEBUG, "outcomes": OUTCOMES}, lock=False)

    def full(what: str) -> None:
        if what.startswith(("append", "create")):
            raise OSError(errno.ENOSPC, "full")

    store.write(put("a", space="debug"))
    store.write(put("b"))
    store.write(put("c", space="outcomes"))
    disk.before = full
    gone = []
    for _ in range(2):
        batch = store.next_batch()
        with pytest.raises(OSError, match="full"):
            store.write_batch(batch)
        gone += [each.ops[0].key for each in store.handle_write_error(OSError(errno.ENOSPC, "full"))]
    assert gone == ["a"] and store.min_rank == 2 and store.write(put("d", space="debug")) is None
    disk.before = lambda what: None
    store.flush()
    assert store.get("outcomes", "c") is not None and store.get("orders", "b") is not None
    assert "reserve" not in disk.files()
    store.resume_writes()
    assert store.write(put("e", space="debug")) is not None and "reserve" in disk.files()
    disk.before = full
    for _ in range(4):
        store.handle_write_error(OSError(errno.ENOSPC, "full"))
    with pytest.raises(StoreError, match="read-only"):
        store.write(put("f", space="outcomes"))


@pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC, 0])
def test_a_fault_at_each_call_loses_nothing_that_was_acknowledged(error: int) -> None:
    """Once, at every operation in turn; 0: a short write instead."""
    for at in range(200):
        disk, count = PowerDisk(), [0]
        append = disk.append

        def before(what: str, count: list[int] = count, at: int = at) -> None:
            count[0] += 1
            if count[0] == at and error:
                raise OSError(error, what)

        def short(
            handle: int, data: bytes, count: list[int] = count, at: int = at, append: Any = append
        ) -> int:
            took: int = append(
                handle, data[: len(data) // 2] if count[0] + 1 == at and len(data) > 1 else data
            )
            return took

        disk.before = before
        if not error:
            disk.append = short  # type: ignore[method-assign]
        acked: dict[str, bytes] = {}
        try:
            store = Store("s", disk, segment_bytes=300, store_id=3, lock=False)
        except OSError:
            continue  # not even begun: said so
        for k in range(12):
            try:
                store.write(put(f"k{k % 4}", b"%d" % k * 20))
                batch = store.next_batch()
                store.write_batch(batch)
                store.apply_batch(batch)
                acked.update({each.ops[0].key: each.ops[0].value or b"" for each in batch})
                if k % 5 == 4:
                    list(store.compact(50))
            except (OSError, StoreError):
                pass  # told; the next write tries again
        if count[0] < at:
            return
        for files in disk.crashes(random.Random(at), 6):
            again = Store("s", PowerDisk.load(files), lock=False, store_id=3)
            assert (
                not again.recovery.corruptions and {k: e.value for k, e in again.by_key("orders")} == acked
            ), at
    raise AssertionError("more operations than were looked at")


def test_a_segment_whose_sync_failed_is_never_used_again() -> None:
    disk = PowerDisk()
    store = Store("s", disk, lock=False)
    store.write(put("a"))
    failed = [0]

    def once(what: str) -> None:
        if what == "sync" and not failed[0]:
            failed[0] = 1
            raise OSError(errno.EIO, "lost")

    disk.before = once
    store.flush()
    assert store.get("orders", "a") is not None and len(store.segments) == 2
    assert any("given up" in text for text in store.events)


def test_group_commit_gives_each_its_own_answer_also_when_the_disk_fails(tmp_path: Path) -> None:
    store = Store(str(tmp_path / "s"), ranks={"debug": DEBUG, "outcomes": OUTCOMES})
    committer, answers = Committer(store), dict[str, Any]()

    async def one(key: str, space: str) -> None:
        try:
            answers[key] = await committer.commit(put(key, space=space))
        except StoreError as fault:
            answers[key] = str(fault)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(committer.run)
            async with trio.open_nursery() as many:
                for k in range(200):
                    many.start_soon(one, f"k{k}", "orders")
            assert set(answers.values()) == {True} and committer.batch_count < 100
            put_down, count = store.write_batch, [0]

            def full(batch: Any) -> None:
                count[0] += 1
                if count[0] <= 2:
                    raise OSError(errno.ENOSPC, "full")
                put_down(batch)

            store.write_batch = full  # type: ignore[method-assign]
            async with trio.open_nursery() as many:
                many.start_soon(one, "debug", "debug")
                many.start_soon(one, "outcome", "outcomes")
            assert answers["debug"] is False and answers["outcome"] is True
            nursery.cancel_scope.cancel()

    trio.run(run)
    store.close()
    again = Store(str(tmp_path / "s"))
    assert len(again.by_key("orders")) == 200 and again.get("outcomes", "outcome") is not None
    again.close()


def _writes_on(folder: str, pipe: Any) -> None:
    store = Store(folder, segment_bytes=2000)
    k = store.number
    while True:
        k += 1
        store.write(put(f"k{k % 40}", b"%d" % k * 5))
        store.flush()
        pipe.send(store.number)
        if k % 7 == 0:
            list(store.compact(100))


def test_what_was_acknowledged_survives_kills_in_the_middle_of_it(tmp_path: Path) -> None:
    folder, promised = str(tmp_path / "s"), 0
    for k in range(12):
        ours, theirs = multiprocessing.Pipe(False)
        process = multiprocessing.get_context("fork").Process(target=_writes_on, args=(folder, theirs))
        process.start()
        time.sleep(0.05 + k * 0.007)
        assert process.pid is not None
        os.kill(process.pid, signal.SIGKILL)
        process.join()
        theirs.close()
        while ours.poll():
            try:
                promised = ours.recv()
            except EOFError:
                break
        store = Store(folder)
        assert store.number >= promised and not store.recovery.corruptions
        for key, entry in store.by_key("orders"):
            number = int(entry.value[: len(entry.value) // 5])
            assert f"k{number % 40}" == key and number == entry.number
        store.close()
    assert promised > 20


# Outcomes.


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["out", ANSWERED, NOT_EXECUTED, FAILED]), st.integers(0, 3)), max_size=12
    )
)
def test_an_outcome_is_never_guessed(steps: list[tuple[str, int]]) -> None:
    """Beside what truly happened: a try that is out, or failed, may have run or not."""
    found = RequestRecord()
    ran: dict[int, list[bool]] = {}  # what may be true of each try
    for what, number in steps:
        if what == "out":
            found.start_attempt(number, 0)
            ran.setdefault(number, [False, True])
        elif number in ran:
            before = found.tries[number]
            found.end_attempt(number, what)
            if before in ("out", FAILED):
                ran[number] = {ANSWERED: [True], NOT_EXECUTED: [False], FAILED: [False, True]}[what]
    may_be_done = any(True in each for each in ran.values())
    may_be_not = all(False in each for each in ran.values())
    told = found.state()
    assert told == (UNKNOWN if may_be_done and may_be_not else DONE if may_be_done else NOT_DONE)
    crashed = after_recovery(found, has_lost_entries=True).state()
    assert crashed == (DONE if told == DONE else UNKNOWN)


def test_a_repeat_is_decided_by_what_is_known() -> None:
    call = RequestRecord("mutating")
    assert call.retry_decision(0) == RETRY  # nothing ever left
    call.start_attempt(0, 10)
    assert call.retry_decision(20) == REPORT_UNKNOWN
    call.end_attempt(0, NOT_EXECUTED)
    assert call.retry_decision(20) == RETRY
    call.start_attempt(1, 30)
    call.end_attempt(1, FAILED)
    call.end_attempt(0, FAILED)  # proof stands
    assert call.tries[0] == NOT_EXECUTED and call.retry_decision(40) == REPORT_UNKNOWN
    call.end_attempt(1, ANSWERED, b"yes")
    assert call.retry_decision(40) == RETURN_RESPONSE and call.answer == b"yes"
    keyed = RequestRecord("keyed", window=100)
    keyed.start_attempt(0, 10, "north")
    keyed.end_attempt(0, FAILED)
    assert (
        keyed.retry_decision(100, "north") == RETRY and keyed.retry_decision(100, "south") == REPORT_UNKNOWN
    )
    assert keyed.retry_decision(111, "north") == REPORT_UNKNOWN
    free = RequestRecord("repeatable")
    free.start_attempt(0, 0)
    assert free.retry_decision(10**9) == RETRY
    assert after_recovery(None, False).state() == NOT_DONE and after_recovery(None, True).state() == UNKNOWN


def test_an_operator_checks_dumps_and_repairs_and_nothing_is_invented(tmp_path: Path) -> None:
    folder = str(tmp_path / "s")
    store = Store(folder, segment_bytes=400)
    for k in range(30):
        store.write(put(f"k{k:02}", b"value %d" % k, at=k))
        store.flush()
    store.close()

    def told(*args: str) -> tuple[int, str]:
        done = CliRunner().invoke(main, ["store", *args])
        return done.exit_code, done.output

    assert told("check", folder)[0] == 0 and told("check", str(tmp_path / "no"))[0] == 2
    assert json.loads(told("stats", folder)[1])["spaces"]["orders"]["entries"] == 30
    assert json.loads(told("dump", folder, "--key", "k07")[1])["value"] == "value 7"
    bad = sorted((tmp_path / "s").glob("seg-*"))[2]
    data = bytearray(bad.read_bytes())
    data[60] ^= 4
    bad.write_bytes(data)
    code, text = told("check", folder)
    assert code == 1 and f"{bad.name}: from byte 32" in text and "are lost" in text
    before = {row["key"]: row["value"] for row in map(json.loads, told("dump", folder)[1].splitlines())}
    assert len(before) == 29
    held = Store(folder)
    assert held.has_lost_entries and told("repair", folder)[0] == 3
    held.close()
    code, text = told("repair", folder)
    assert code == 0 and "put aside" in text
    code, text = told("check", folder)
    assert code == 1 and "lost before" in text  # until somebody says that it is seen
    assert told("repair", folder, "--seen")[0] == 0 and told("check", folder)[0] == 0
    after = [json.loads(line) for line in told("dump", folder, "--space", "orders")[1].splitlines()]
    assert {row["key"]: row["value"] for row in after} == {
        k: v for k, v in before.items() if k[0] == "k"
    } | {}


# The ledger.


def test_a_ledger_has_each_try_on_disk_before_it_leaves_and_knows_after_a_crash_what_may_be_repeated() -> (
    None
):
    disk, ledgers = PowerDisk(), dict[str, str]()

    def power_fails() -> None:
        """Whatever was written is there, or only what was synced: the call is never told to be not done."""
        for files in disk.crashes(random.Random(1), 4):
            store = Store("s", PowerDisk.load(files), lock=False, store_id=3)
            ledger = RequestLedger(store, Committer(store))
            for call in ("gone", "answered", "refused"):
                ledgers[call] = ledger.request(call).retry_decision(0)
            assert (
                ledgers["gone"] == REPORT_UNKNOWN
                and ledgers["answered"] == RETURN_RESPONSE
                and ledgers["refused"] == RETRY
            )
            assert set(ledger.unreported()) == {"gone", "answered", "refused"}

    async def run() -> None:
        store = Store("s", disk, lock=False, store_id=3)
        committer = Committer(store)
        ledger = RequestLedger(store, committer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(committer.run)
            for call, what in (
                ("gone", ""),
                ("answered", ANSWERED),
                ("refused", NOT_EXECUTED),
                ("known", ANSWERED),
            ):
                await ledger.begin(call, "mutating", 1)
                number = await ledger.start_attempt(call, 2)
                if what:
                    await ledger.end_attempt(call, number, what, 3, b"yes")
            await ledger.mark_reported("known", 4)
            again = await ledger.start_attempt("refused", 5)
            await ledger.cancel_attempt("refused", again, 6)
            power_fails()
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_a_program_that_submits_and_is_killed_repeats_nothing_that_may_have_run(tmp_path: Path) -> None:
    done = run_submits(tmp_path, 3, 2, lambda text: None)
    assert done.passed and done.reported_outcomes["done"] > 10, done.lines()

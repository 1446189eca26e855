"""What a director keeps of its life, for its next: evidence, withdrawals, who ran what.

Decisions never wait for it: what is to be kept is gathered by key, and a task of its own commits it some
times a second.  After a restart it is advice that ages: the list and the proxies say what is, and of what was
met only what is recent counts, and only for hosts that are listed and have not started since.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from ..store.commit import Committer
from ..store.store import APPLIED, DEBUG, ORDERS, Op, Store, StoreError

SECOND = 10_000
MET, HOSTS, OUT, PROXIES, LIVES, BELIEFS = "met", "hosts", "withdrawn", "proxies", "lives", "beliefs"
RANKS = {MET: DEBUG, BELIEFS: APPLIED, PROXIES: APPLIED, HOSTS: ORDERS, OUT: ORDERS, LIVES: ORDERS}
COMPACT_FROM = 4 << 20  # bytes of the log since the last snapshot
_encode = msgspec.msgpack.Encoder().encode


class Sums(msgspec.Struct, array_like=True):
    """What was met with one host from one zone, over a window in ticks; `at` is of the calendar."""

    zone: str
    tries: int
    errors: int
    mean: int
    window: int


class Memory:
    """`say(text)` is told of what an operator is to know.  Raises StoreError or OSError at start."""

    def __init__(self, folder: str, name: str, epoch: int, lasts: int, say: Callable[[str], None]) -> None:
        """`lasts`: for how many ticks what was met is of use."""
        self.store = Store(folder, ranks=RANKS)
        self._lasts, self._say = lasts, say
        self._committer = Committer(self.store, say)
        self._gathered: dict[tuple[str, str], bytes | None] = {}
        self._met: dict[tuple[str, str], list[float]] = {}  # by host and zone since the last look
        self._met_at = -1
        self.failing = ""
        before = self.store.get(LIVES, name)
        self.last_life = int(before.value) if before is not None else 0
        self.keep(LIVES, name, b"%d" % epoch)
        if self.store.damaged:
            say("the store has lost records: see willowhook store check")

    @staticmethod
    def calendar() -> int:
        """Tenths of a millisecond since 1970: a store outlives the machine's own clock."""
        return time.time_ns() // 100_000

    # What is kept.

    def keep(self, space: str, key: str, value: bytes | None) -> None:
        self._gathered[space, key] = value

    def listed(self, hosts: dict[str, list[Any]]) -> None:
        """Hosts as listed: mode and start; only what has changed is written."""
        for name, row in hosts.items():
            value = _encode(row)
            held = self.store.get(HOSTS, name)
            if held is None or held.value != value:
                self.keep(HOSTS, name, value)
        for name in [name for name in self.store.state.get(HOSTS, {}) if name not in hosts]:
            self.keep(HOSTS, name, None)
            self.keep(OUT, name, None)

    def withdrawn(self, host: str, on: bool) -> None:
        self.keep(OUT, host, b"1" if on else None)

    def believes(self, proxy: str, part: str, version: str) -> None:
        self.keep(BELIEFS, f"{proxy} {part}", version.encode())

    def ordered(self, proxy: str, term: int, message: int) -> None:
        self.keep(PROXIES, proxy, _encode([term, message]))

    def met(self, now: int, host: str, zone: str, tries: int, errors: int, mean: int) -> None:
        row = self._met.setdefault((host, zone), [0.0, 0.0, 0.0])
        row[0] += tries
        row[1] += errors
        row[2] += mean * (tries - errors)
        if self._met_at < 0:
            self._met_at = now
        if now - self._met_at >= SECOND:
            self._write_met(now)

    def _write_met(self, now: int) -> None:
        window = now - self._met_at
        for (host, zone), (tries, errors, spent) in self._met.items():
            mean = round(spent / max(tries - errors, 1))
            sums = Sums(zone, round(tries), round(errors), mean, window)
            self.keep(MET, f"{host} {zone}", _encode(sums))
        self._met.clear()
        self._met_at = now

    # What is of use after a restart.

    def recall(self, listed: dict[str, float]) -> list[tuple[str, Sums, int]]:
        """Of each listed host (by name, its start by the calendar in seconds) what was met of late, and how
        many ticks ago; what is older than it lasts, or is of a start before, is not told.
        """
        found = []
        now = self.calendar()
        for key, entry in self.store.by_key(MET):
            host = key.partition(" ")[0]
            age = now - entry.at
            if host not in listed or not 0 <= age <= self._lasts:
                continue
            if listed[host] * SECOND > entry.at:
                continue
            found.append((host, msgspec.msgpack.decode(entry.value, type=Sums), age))
        return found

    # The task.

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._committer.run)
            written = 0
            try:
                while True:
                    await trio.sleep(0.2)
                    written += await self._commit()
                    if written > COMPACT_FROM:
                        written = 0
                        await self._compact()
            finally:
                nursery.cancel_scope.cancel()

    async def _commit(self) -> int:
        if not self._gathered:
            return 0
        at = self.calendar()
        by_rank: dict[int, list[Op]] = {}
        for (space, key), value in self._gathered.items():
            by_rank.setdefault(RANKS[space], []).append(Op(space, key, at, value))
        self._gathered.clear()
        size = 0
        try:
            for ops in by_rank.values():  # what is less dear may be dropped by itself
                await self._committer.commit(ops)
                size += sum(len(op.value or b"") + 40 for op in ops)
            self._well("")
        except StoreError as fault:
            self._well(str(fault))
            self.store.relieved()  # the next time it is tried anew; until then nothing is promised
        return size

    def _well(self, cause: str) -> None:
        if bool(cause) != bool(self.failing):
            self._say(f"the store cannot keep anything: {cause}" if cause else "the store keeps again")
        self.failing = cause

    async def _compact(self) -> None:
        """A piece at a time, with the loop's other work in between."""
        try:
            for _ in self.store.compact(1 << 15):
                await trio.sleep(0.005)
        except OSError as fault:
            self._say(f"the store could not be compacted: {fault}")

    def close(self) -> None:
        """What was gathered last is written too."""
        at = self.calendar()
        try:
            rows = [Op(space, key, at, value) for (space, key), value in self._gathered.items()]
            if rows and not self.store.read_only and not self.store.take():
                self.store.write(rows)
                self.store.flush()
        except (OSError, StoreError) as fault:
            self._say(f"the store could not keep its last records: {fault}")
        self.store.close()

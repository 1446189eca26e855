"""What a controller stores: evidence about endpoints, the endpoint list, exclusions, and versions at proxies.

Decisions never wait for the store: changes are collected by key, and a separate task commits them five times
a second. Of all this, a restarted controller reads back its last epoch and the evidence (`recent_evidence`),
which counts only if it is recent and the endpoint is listed and has not restarted since. No other
record is read back.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec
import trio

from ..store.commit import Committer
from ..store.store import APPLIED, COMMANDS, DEBUG, Op, Store, StoreError
from ..ticks import NANOSECONDS_PER_TICK, TICKS_PER_SECOND

# The spaces of the store, and the ranks by which a full store drops records; these words are on disk.
EVIDENCE = "met"
ENDPOINTS = "hosts"
EXCLUSIONS = "withdrawn"
PROXIES = "proxies"
STARTS = "lives"
VERSIONS = "beliefs"
RANKS = {
    EVIDENCE: DEBUG,
    VERSIONS: APPLIED,
    PROXIES: APPLIED,
    ENDPOINTS: COMMANDS,
    EXCLUSIONS: COMMANDS,
    STARTS: COMMANDS,
}

COMMIT_INTERVAL_SECONDS = 0.2
EVIDENCE_INTERVAL_TICKS = TICKS_PER_SECOND  # for which evidence is summed before it is stored
RECORD_OVERHEAD_BYTES = 40  # of one record in the log, estimated
COMPACT_AFTER_BYTES = 4 << 20  # of the log since the last snapshot
COMPACT_CHUNK_BYTES = 1 << 15
COMPACT_PAUSE_SECONDS = 0.005  # between chunks, for the other tasks

_encode = msgspec.msgpack.Encoder().encode


class Sums(msgspec.Struct, array_like=True):
    """A stored record of the attempts at one endpoint from one zone.

    Attributes:
        zone: the zone.
        tries: the number of attempts that ended.
        errors: the number of failures among them.
        mean: the mean latency of the successes, in ticks.
        window: the time that this covers, in ticks.
    """

    zone: str
    tries: int
    errors: int
    mean: int
    window: int


@dataclass(frozen=True, slots=True)
class StoredEvidence:
    """Evidence of an endpoint from before this start.

    Attributes:
        endpoint: the name of the endpoint.
        sums: the stored record.
        age_ticks: the time since the record was stored.
    """

    endpoint: str
    sums: Sums
    age_ticks: int


@dataclass(slots=True)
class _Attempts:
    """The attempts at one endpoint from one zone since evidence was last gathered."""

    attempts: float = 0.0
    failures: float = 0.0
    latency_sum_ticks: float = 0.0


class ControllerMemory:
    """Gathers changes to the store, and commits them in a separate task.

    Attributes:
        store: the store on disk.
        last_epoch: the epoch of the previous start of this controller; 0: there was none.
        failure: why the store cannot be written now; empty: it can.
    """

    def __init__(
        self, folder: str, controller: str, epoch: int, max_age_ticks: int, announce: Callable[[str], None]
    ) -> None:
        """Opens the store and notes this start.

        Args:
            folder: the folder of the store.
            controller: the name of this controller.
            epoch: the epoch of this start.
            max_age_ticks: evidence that is older is of no use.
            announce: receives what an operator should know.

        Raises:
            StoreError: the folder holds no usable store, or another process holds it.
            OSError: the folder cannot be used.
        """
        self.store = Store(folder, ranks=RANKS)
        self._max_age_ticks = max_age_ticks
        self._announce = announce
        self._committer = Committer(self.store, announce)
        self._changes: dict[tuple[str, str], bytes | None] = {}  # by space and key; None: to be removed
        self._attempts: dict[tuple[str, str], _Attempts] = {}  # by endpoint and zone
        self._gathered_since: int | None = None
        self.failure = ""
        last = self.store.get(STARTS, controller)
        self.last_epoch = int(last.value) if last is not None else 0
        self._change(STARTS, controller, b"%d" % epoch)
        if self.store.has_lost_entries:
            announce("the store has lost records: see willowhook store check")

    @staticmethod
    def wall_clock() -> int:
        """Ticks since 1970: records outlive the machine's monotonic clock."""
        return time.time_ns() // NANOSECONDS_PER_TICK

    # What is stored.

    def _change(self, space: str, key: str, value: bytes | None) -> None:
        self._changes[space, key] = value

    def record_endpoints(self, endpoints: Mapping[str, tuple[bool, float]]) -> None:
        """Stores the endpoint list: by name whether it drains, and its start in seconds since 1970.

        Only changes are written. The records of endpoints that are not listed are removed.
        """
        for name, row in endpoints.items():
            value = _encode(row)
            stored = self.store.get(ENDPOINTS, name)
            if stored is None or stored.value != value:
                self._change(ENDPOINTS, name, value)
        for name in [name for name in self.store.state.get(ENDPOINTS, {}) if name not in endpoints]:
            self._change(ENDPOINTS, name, None)
            self._change(EXCLUSIONS, name, None)

    def record_exclusion(self, endpoint: str, excluded: bool) -> None:
        """Stores that an endpoint has been excluded, or removes that record."""
        self._change(EXCLUSIONS, endpoint, b"1" if excluded else None)

    def record_version(self, proxy: str, part: str, version: str) -> None:
        """Stores which version of a part of its resources a proxy runs."""
        self._change(VERSIONS, f"{proxy} {part}", version.encode())

    def record_message(self, proxy: str, term: int, message: int) -> None:
        """Stores the number of the last update message to a proxy, and of its session."""
        self._change(PROXIES, proxy, _encode([term, message]))

    def record_attempts(
        self, now: int, endpoint: str, zone: str, attempts: int, failures: int, mean_latency_ticks: int
    ) -> None:
        """Adds the attempts of the proxies of a zone at an endpoint to the evidence."""
        row = self._attempts.setdefault((endpoint, zone), _Attempts())
        row.attempts += attempts
        row.failures += failures
        row.latency_sum_ticks += mean_latency_ticks * (attempts - failures)
        if self._gathered_since is None:
            self._gathered_since = now
        if now - self._gathered_since >= EVIDENCE_INTERVAL_TICKS:
            self._gather_evidence(now - self._gathered_since)
            self._gathered_since = now

    def _gather_evidence(self, window_ticks: int) -> None:
        for (endpoint, zone), row in self._attempts.items():
            mean = round(row.latency_sum_ticks / max(row.attempts - row.failures, 1))
            sums = Sums(zone, round(row.attempts), round(row.failures), mean, window_ticks)
            self._change(EVIDENCE, f"{endpoint} {zone}", _encode(sums))
        self._attempts.clear()

    # What is read back after a restart.

    def recent_evidence(self, started: Mapping[str, float]) -> list[StoredEvidence]:
        """The evidence that still counts.

        Args:
            started: the start of each listed endpoint, in seconds since 1970.

        Returns:
            What is not too old and was met after the endpoint's start.
        """
        found = []
        now = self.wall_clock()
        for key, entry in self.store.by_key(EVIDENCE):
            endpoint = key.partition(" ")[0]
            age_ticks = now - entry.timestamp
            if endpoint not in started or not 0 <= age_ticks <= self._max_age_ticks:
                continue
            if started[endpoint] * TICKS_PER_SECOND > entry.timestamp:
                continue
            found.append(StoredEvidence(endpoint, msgspec.msgpack.decode(entry.value, type=Sums), age_ticks))
        return found

    # The task.

    async def run(self) -> None:
        """Commits what has been gathered, and compacts the store, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._committer.run)
            try:
                await self._run_commits()
            finally:
                nursery.cancel_scope.cancel()

    async def _run_commits(self) -> None:
        written_bytes = 0
        while True:
            await trio.sleep(COMMIT_INTERVAL_SECONDS)
            written_bytes += await self._commit()
            if written_bytes > COMPACT_AFTER_BYTES:
                written_bytes = 0
                await self._compact()

    async def _commit(self) -> int:
        """Commits all changes, a rank at a time; the result is an estimate of the bytes written."""
        if not self._changes:
            return 0
        now = self.wall_clock()
        by_rank: dict[int, list[Op]] = {}
        for (space, key), value in self._changes.items():
            by_rank.setdefault(RANKS[space], []).append(Op(space, key, now, value))
        self._changes.clear()
        written_bytes = 0
        try:
            for changes in by_rank.values():  # a full store may drop a rank and keep the others
                await self._committer.commit(changes)
                written_bytes += sum(len(each.value or b"") + RECORD_OVERHEAD_BYTES for each in changes)
            self._set_failure("")
        except StoreError as error:
            self._set_failure(str(error))
            self.store.resume_writes()  # the next commit tries again; until then nothing is promised
        return written_bytes

    def _set_failure(self, cause: str) -> None:
        if bool(cause) != bool(self.failure):
            self._announce(f"the store cannot keep anything: {cause}" if cause else "the store keeps again")
        self.failure = cause

    async def _compact(self) -> None:
        try:
            for _ in self.store.compact(COMPACT_CHUNK_BYTES):
                await trio.sleep(COMPACT_PAUSE_SECONDS)
        except OSError as error:
            self._announce(f"the store could not be compacted: {error}")

    def close(self) -> None:
        """Writes what has been gathered and closes the store."""
        now = self.wall_clock()
        try:
            changes = [Op(space, key, now, value) for (space, key), value in self._changes.items()]
            if changes and not self.store.read_only and not self.store.next_batch():
                self.store.write(changes)
                self.store.flush()
        except (OSError, StoreError) as error:
            self._announce(f"the store could not keep its last records: {error}")
        self.store.close()

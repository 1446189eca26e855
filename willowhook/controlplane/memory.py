"""The persistent state of a controller: evidence, the endpoint list, exclusions and proxy versions.

Decisions never wait for the store: changes are collected by key, and a separate task commits them five times
a second. A restarted controller reads back only its last epoch and the evidence (`recent_evidence`). Evidence
is used only if it is recent and its endpoint is listed and has not restarted since.
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

# The spaces of the store, whose names are part of the disk format, and the ranks by which a full store drops
# records.
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
EVIDENCE_INTERVAL_TICKS = TICKS_PER_SECOND  # evidence is summed for this long before it is stored
RECORD_OVERHEAD_BYTES = 40  # estimate for one record in the log
COMPACT_AFTER_BYTES = 4 << 20  # log growth since the last snapshot
COMPACT_CHUNK_BYTES = 1 << 15
COMPACT_PAUSE_SECONDS = 0.005  # between chunks, so that other tasks can run

_encode = msgspec.msgpack.Encoder().encode


class AttemptSums(msgspec.Struct, array_like=True):
    """The stored record of the attempts at one endpoint from one zone.

    Attributes:
        zone: the zone.
        tries: the number of completed attempts.
        errors: the number of failed attempts among them.
        mean: the mean latency of the successes, in ticks.
        window: the time that the record covers, in ticks.
    """

    zone: str
    tries: int
    errors: int
    mean: int
    window: int


@dataclass(frozen=True, slots=True)
class StoredEvidence:
    """Evidence about an endpoint from before this start.

    Attributes:
        endpoint: the name of the endpoint.
        sums: the stored record.
        age_ticks: the time since the record was stored.
    """

    endpoint: str
    sums: AttemptSums
    age_ticks: int


@dataclass(slots=True)
class _Attempts:
    """The attempts at one endpoint from one zone since evidence was last stored."""

    attempts: float = 0.0
    failures: float = 0.0
    latency_sum_ticks: float = 0.0


class ControllerMemory:
    """Collects changes to the store and commits them in a separate task.

    Attributes:
        store: the store on disk.
        last_epoch: the epoch of the previous start of this controller; 0 if there was none.
        failure: why the store cannot be written; empty if it can.
    """

    def __init__(
        self, folder: str, controller: str, epoch: int, max_age_ticks: int, announce: Callable[[str], None]
    ) -> None:
        """Opens the store and records this start.

        Args:
            folder: the folder of the store.
            controller: the name of this controller.
            epoch: the epoch of this start.
            max_age_ticks: the maximum age of evidence that is read back.
            announce: logs a line for the operator.

        Raises:
            StoreError: the folder holds no usable store, or another process holds it.
            OSError: the folder cannot be used.
        """
        self.store = Store(folder, ranks=RANKS)
        self._max_age_ticks = max_age_ticks
        self._announce = announce
        self._committer = Committer(self.store, announce)
        self._changes: dict[tuple[str, str], bytes | None] = {}  # by space and key; None removes the record
        self._attempts: dict[tuple[str, str], _Attempts] = {}  # by endpoint and zone
        self._collecting_since: int | None = None
        self.failure = ""
        last = self.store.get(STARTS, controller)
        self.last_epoch = int(last.value) if last is not None else 0
        self._add_change(STARTS, controller, b"%d" % epoch)
        if self.store.has_lost_entries:
            announce("store has lost records: see willowhook store check")

    @staticmethod
    def wall_clock() -> int:
        """Returns the ticks since 1970, as records outlive the machine's monotonic clock."""
        return time.time_ns() // NANOSECONDS_PER_TICK

    # Recording changes.

    def _add_change(self, space: str, key: str, value: bytes | None) -> None:
        self._changes[space, key] = value

    def record_endpoints(self, endpoints: Mapping[str, tuple[bool, float]]) -> None:
        """Stores the endpoint list: by name, whether the endpoint is draining, and its start in Unix seconds.

        Only changes are written. The records of unlisted endpoints are removed.
        """
        for name, endpoint in endpoints.items():
            value = _encode(endpoint)
            stored = self.store.get(ENDPOINTS, name)
            if stored is None or stored.value != value:
                self._add_change(ENDPOINTS, name, value)
        for name in [name for name in self.store.state.get(ENDPOINTS, {}) if name not in endpoints]:
            self._add_change(ENDPOINTS, name, None)
            self._add_change(EXCLUSIONS, name, None)

    def record_exclusion(self, endpoint: str, excluded: bool) -> None:
        """Stores the exclusion of an endpoint, or removes its record."""
        self._add_change(EXCLUSIONS, endpoint, b"1" if excluded else None)

    def record_version(self, proxy: str, part: str, version: str) -> None:
        """Stores the version that a proxy runs of a part of its resources."""
        self._add_change(VERSIONS, f"{proxy} {part}", version.encode())

    def record_message(self, proxy: str, term: int, message: int) -> None:
        """Stores the term of a proxy's session and the number of the last update message sent to it."""
        self._add_change(PROXIES, proxy, _encode([term, message]))

    def record_attempts(
        self, now: int, endpoint: str, zone: str, attempts: int, failures: int, mean_latency_ticks: int
    ) -> None:
        """Adds attempts at an endpoint by the proxies of a zone to the evidence."""
        pending = self._attempts.setdefault((endpoint, zone), _Attempts())
        pending.attempts += attempts
        pending.failures += failures
        pending.latency_sum_ticks += mean_latency_ticks * (attempts - failures)
        if self._collecting_since is None:
            self._collecting_since = now
        if now - self._collecting_since >= EVIDENCE_INTERVAL_TICKS:
            self._store_evidence(now - self._collecting_since)
            self._collecting_since = now

    def _store_evidence(self, window_ticks: int) -> None:
        for (endpoint, zone), pending in self._attempts.items():
            mean = round(pending.latency_sum_ticks / max(pending.attempts - pending.failures, 1))
            sums = AttemptSums(zone, round(pending.attempts), round(pending.failures), mean, window_ticks)
            self._add_change(EVIDENCE, f"{endpoint} {zone}", _encode(sums))
        self._attempts.clear()

    # Reading back after a restart.

    def recent_evidence(self, started: Mapping[str, float]) -> list[StoredEvidence]:
        """Returns the stored evidence that is still valid.

        Args:
            started: the start of each listed endpoint, in Unix seconds.

        Returns:
            The evidence that is not too old and was stored after the start of its endpoint.
        """
        evidence = []
        now = self.wall_clock()
        for key, entry in self.store.by_key(EVIDENCE):
            endpoint = key.partition(" ")[0]
            age_ticks = now - entry.timestamp
            if endpoint not in started or not 0 <= age_ticks <= self._max_age_ticks:
                continue
            if started[endpoint] * TICKS_PER_SECOND > entry.timestamp:
                continue
            evidence.append(
                StoredEvidence(endpoint, msgspec.msgpack.decode(entry.value, type=AttemptSums), age_ticks)
            )
        return evidence

    # The commit task.

    async def run(self) -> None:
        """Commits the collected changes and compacts the store, until cancelled."""
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
        """Commits all changes, one rank at a time; returns an estimate of the bytes written."""
        if not self._changes:
            return 0
        now = self.wall_clock()
        by_rank: dict[int, list[Op]] = {}
        for (space, key), value in self._changes.items():
            by_rank.setdefault(RANKS[space], []).append(Op(space, key, now, value))
        self._changes.clear()
        written_bytes = 0
        try:
            for changes in by_rank.values():  # a full store may drop one rank and keep the others
                await self._committer.commit(changes)
                written_bytes += sum(len(change.value or b"") + RECORD_OVERHEAD_BYTES for change in changes)
            self._set_failure("")
        except StoreError as error:
            self._set_failure(str(error))
            self.store.resume_writes()  # lets the next commit retry; until then nothing is guaranteed
        return written_bytes

    def _set_failure(self, cause: str) -> None:
        if bool(cause) != bool(self.failure):
            self._announce(f"store cannot be written: {cause}" if cause else "store can be written again")
        self.failure = cause

    async def _compact(self) -> None:
        try:
            for _ in self.store.compact(COMPACT_CHUNK_BYTES):
                await trio.sleep(COMPACT_PAUSE_SECONDS)
        except OSError as error:
            self._announce(f"store could not be compacted: {error}")

    def close(self) -> None:
        """Writes the collected changes and closes the store."""
        now = self.wall_clock()
        try:
            changes = [Op(space, key, now, value) for (space, key), value in self._changes.items()]
            if changes and not self.store.read_only and not self.store.next_batch():
                self.store.write(changes)
                self.store.flush()
        except (OSError, StoreError) as error:
            self._announce(f"last changes could not be stored: {error}")
        self.store.close()

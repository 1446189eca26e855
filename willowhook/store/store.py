"""The store: a log of frames in segments, the state that it makes, and snapshots that bound both.

One writer.  `write` takes what is to be kept, `take` hands out what is written down at once, `put_down` does
so (in whatever thread), and `done` makes it part of the state: what is read is what is on disk.  A snapshot
holds the whole state up to a number; two are kept, and the segments since the older one, so that one
damaged file never takes anything with it.
"""

from __future__ import annotations

import errno
import fcntl
import os
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec
import xxhash
import zstandard

from . import frames
from .disk import Disk, RealDisk

SEGMENT, SNAPSHOT, MARKS, TEMP = "seg-", "snap-", "mark-", ".new-"
LOCK, RESERVE = "lock", "reserve"
STORE_SPACE, LOST = (
    "_store",
    "lost",
)  # the space and key under which the store remembers that it lost something
PACK_FROM = 512  # bytes of a payload
DEBUG, APPLIED, COMMANDS, OUTCOMES = range(4)  # ranks: on a full disk the lowest go first
RESERVED = 64 << 10
FOOT = struct.Struct("<8sQQQ")  # magic, entries, number, sum of all before
FOOT_MAGIC = b"WHSNAP_E"


class StoreError(Exception):
    """The store cannot do this; what and where."""


class StoreInUseError(StoreError):
    """Another process writes here."""


class Op(msgspec.Struct, array_like=True):
    """`value` None: the entry is dropped.  `at`: the writer's time."""

    space: str
    key: str
    timestamp: int
    value: bytes | None


class Entry(msgspec.Struct, array_like=True):
    number: int
    timestamp: int
    value: bytes


@dataclass(slots=True)
class Write:
    number: int
    ops: list[Op]
    rank: int
    data: bytes


@dataclass(slots=True)
class Corruption:
    file: str
    at: int
    end: int
    first: int
    last: int  # numbers that are lost; none if below `first`
    what: str = "bytes that are no frame"

    def describe(self) -> str:
        lost = f", numbers {self.first} to {self.last} are lost" if self.last >= self.first else ""
        return f"{self.file}: from byte {self.at} to {self.end}: {self.what}{lost}"


@dataclass(slots=True)
class RecoveryReport:
    """What a recovery found."""

    snapshot: str = ""
    number: int = 0  # the last that is there
    frames: int = 0
    cut: dict[str, int] = field(default_factory=dict)  # by file, bytes of a tail that nobody was promised
    corruptions: list[Corruption] = field(default_factory=list)
    left: list[str] = field(default_factory=list)  # files that are no part of it

    @property
    def lost(self) -> bool:
        return any(row.last >= row.first for row in self.corruptions)


_encode = msgspec.msgpack.Encoder().encode
_ops = msgspec.msgpack.Decoder(list[Op])
State = dict[str, dict[str, Entry]]


def index_of(name: str) -> int:
    """The number in a segment's name, or in that of its marks."""
    return int(name.partition("-")[2].partition(".")[0])


def pack(ops: Iterable[Op]) -> bytes:
    plain = _encode(list(ops))
    if len(plain) < PACK_FROM:
        return b"\0" + plain
    return b"\1" + zstandard.ZstdCompressor(level=1).compress(plain)


def unpack(payload: bytes) -> list[Op]:
    if payload[:1] == b"\1":
        payload = b"\0" + zstandard.ZstdDecompressor().decompress(payload[1:], max_output_size=frames.MOST)
    return _ops.decode(payload[1:])


def apply(state: State, number: int, ops: Iterable[Op]) -> None:
    """Idempotent: what is older than what stands there changes nothing."""
    for op in ops:
        space = state.setdefault(op.space, {})
        held = space.get(op.key)
        if held is not None and held.number > number:
            continue
        if op.value is None:
            space.pop(op.key, None)
        else:
            space[op.key] = Entry(number, op.timestamp, op.value)


@dataclass(slots=True)
class Segment:
    name: str
    first: int
    last: int
    size: int


@dataclass(slots=True)
class RecoveredStore:
    store_id: int = 0  # 0: there is none yet
    state: State = field(default_factory=dict)
    number: int = 0
    epoch: int = 0
    segments: list[Segment] = field(default_factory=list)
    snapshots: list[str] = field(default_factory=list)  # good ones, oldest first
    report: RecoveryReport = field(default_factory=RecoveryReport)


def recover(disk: Disk, folder: str) -> RecoveredStore:
    """What the files make.  Reads only; damage is told, never raised."""
    got = RecoveredStore()
    found, names = got.report, sorted(disk.listdir(folder))
    found.left = [name for name in names if name.startswith(TEMP)]
    data = {
        name: disk.read(f"{folder}/{name}") for name in names if name.startswith((SEGMENT, SNAPSHOT, MARKS))
    }
    got.store_id = _store_of(data)
    for name in [name for name in names if name.startswith(SNAPSHOT)][::-1]:
        try:
            told = read_snapshot(data[name])
        except StoreError as fault:
            found.corruptions.append(Corruption(name, 0, len(data[name]), 1, 0, str(fault)))
            continue
        got.snapshots.insert(0, name)
        if not found.snapshot:
            got.store_id, got.number, got.epoch, got.state = told
            found.snapshot = name
    base = got.number
    read: list[tuple[Segment, frames.Scan]] = []
    for name in [name for name in names if name.startswith(SEGMENT)]:
        scanned = _segment(got, name, data[name])
        if scanned is not None:
            read.append(scanned)
    for k, (segment, scan) in enumerate(read):
        # a later segment wins: it began where this one was given up
        limit = min((row[0].first for row in read[k + 1 :]), default=1 << 62)
        for hole in scan.holes:
            if hole.last < hole.first or hole.first < limit:
                last = min(hole.last, limit - 1)
                found.corruptions.append(Corruption(segment.name, hole.at, hole.end, hole.first, last))
        _replay(got, segment, scan, limit, read[k - 1] if k else None)
    found.number = got.number
    promised = max(
        (frames.newest_mark(got.store_id, data[n]) for n in names if n.startswith(MARKS)), default=0
    )
    if promised > got.number:
        last_one = read[-1] if read else (Segment("no segment", 0, 0, 0), frames.Scan())
        size = last_one[0].size
        text = "what had been promised is not there"
        row = Corruption(last_one[0].name, last_one[1].end, size, got.number + 1, promised, text)
        if got.segments and got.segments[-1].first == 0:  # the newest has no head
            row = Corruption(got.segments[-1].name, 0, got.segments[-1].size, row.first, promised, text)
        found.corruptions.append(row)
        got.number = promised
    found.corruptions = [row for row in found.corruptions if row.last < row.first or row.last > base]
    return got


def _store_of(data: dict[str, bytes]) -> int:
    """Of the first file whose head is sound."""
    for body in data.values():
        top = frames.read_head(body)
        if top is not None:
            return top[0]
    return 0


def _segment(got: RecoveredStore, name: str, data: bytes) -> tuple[Segment, frames.Scan] | None:
    top, found = frames.read_head(data), got.report
    if top is None:  # nothing in it was ever safe, or its head is damaged
        here = frames.next_frame(got.store_id, data, 0, 1, 1 << 62) if got.store_id else None
        if here is None:
            found.cut[name] = len(data)
            got.segments.append(Segment(name, 0, -1, len(data)))
            return None
        found.corruptions.append(Corruption(name, 0, here.at, 1, 0, "its head is damaged"))
        top = (got.store_id, here.number)
        data = frames.head(*top) + data[here.at :]
    elif top[0] != got.store_id:
        found.corruptions.append(Corruption(name, 0, frames.HEAD.size, 1, 0, "it is of another store"))
        return None
    scan = frames.scan(got.store_id, data, top[1])
    last = scan.frames[-1].number if scan.frames else top[1] - 1
    segment = Segment(name, top[1], last, len(data))
    got.segments.append(segment)
    if scan.end < len(data):
        found.cut[name] = len(data) - scan.end
    return segment, scan


def _replay(
    got: RecoveredStore, segment: Segment, scan: frames.Scan, limit: int,
    before: tuple[Segment, frames.Scan] | None,
) -> None:  # fmt: skip
    for each in scan.frames:
        got.epoch = max(got.epoch, each.epoch)
        if each.number <= got.number or each.number >= limit:
            continue
        missing = got.number + 1
        if each.number > missing and not any(hole.first <= missing <= hole.last for hole in scan.holes):
            got.report.corruptions.append(_missing(got, segment, each, before))
        apply(got.state, each.number, unpack(each.payload))
        got.number = each.number
        got.report.frames += 1


def _missing(
    got: RecoveredStore, segment: Segment, each: frames.Frame, before: tuple[Segment, frames.Scan] | None
) -> Corruption:  # fmt: skip
    """Frames before this one are missing: where they went."""
    first, last = got.number + 1, each.number - 1
    since = before[0].name if before is not None else ""
    for row in got.segments:  # one without a head, between the two
        if since < row.name < segment.name and row.last < row.first and row.first == 0:
            return Corruption(row.name, 0, row.size, first, last, "it has no head")
    if before is not None and before[0].last < last:
        return Corruption(before[0].name, before[1].end, before[0].size, first, last, "it ends too early")
    return Corruption(segment.name, each.at, each.at, first, last, "frames before it are missing")


def write_snapshot(store: int, number: int, epoch: int, state: State, chunk: int) -> Iterator[bytes]:
    """A snapshot's bytes, in pieces of about so many."""
    top = frames.head(store, number) + struct.pack("<Q", epoch)
    digest = xxhash.xxh3_64(top)
    yield top
    rows: list[tuple[str, str, Entry]] = []
    count = size = 0
    for space in sorted(state):
        for key in sorted(state[space]):
            entry = state[space][key]
            rows.append((space, key, entry))
            count += 1
            size += len(entry.value) + len(key) + 24
            if size >= chunk:
                yield _block(rows, digest)
                rows, size = [], 0
    if rows:
        yield _block(rows, digest)
    yield FOOT.pack(FOOT_MAGIC, count, number, digest.intdigest())


def _block(rows: list[tuple[str, str, Entry]], digest: xxhash.xxh3_64) -> bytes:
    body = zstandard.ZstdCompressor(level=1).compress(_encode(rows))
    data = struct.pack("<I", len(body)) + body
    digest.update(data)
    return data


def read_snapshot(data: bytes) -> tuple[int, int, int, State]:
    """Store, number, epoch, state.  Raises StoreError: a snapshot counts whole or not at all."""
    top = frames.read_head(data)
    size = frames.HEAD.size + 8
    if top is None or len(data) < size + FOOT.size:
        raise StoreError("its head is damaged, or it is too short")
    magic, count, number, sum_ = FOOT.unpack_from(data, len(data) - FOOT.size)
    if magic != FOOT_MAGIC or number != top[1]:
        raise StoreError(f"from byte {len(data) - FOOT.size}: its end is damaged")
    if xxhash.xxh3_64_intdigest(data[: len(data) - FOOT.size]) != sum_:
        raise StoreError("its sum is not that of its bytes")
    (epoch,) = struct.unpack_from("<Q", data, frames.HEAD.size)
    state: State = {}
    at, decode, seen = size, msgspec.msgpack.Decoder(list[tuple[str, str, Entry]]), 0
    while at < len(data) - FOOT.size:
        (length,) = struct.unpack_from("<I", data, at)
        body = zstandard.ZstdDecompressor().decompress(
            data[at + 4 : at + 4 + length], max_output_size=1 << 30
        )
        for space, key, entry in decode.decode(body):
            state.setdefault(space, {})[key] = entry
            seen += 1
        at += 4 + length
    if seen != count:
        raise StoreError(f"{seen} entries, and {count} were written")
    return top[0], number, epoch, state


class Store:
    """`ranks`: by space, how dear it is; unknown ones are orders.  Raises StoreTaken, StoreError, OSError."""

    def __init__(
        self, folder: str, disk: Disk | None = None, segment_bytes: int = 4 << 20,
        ranks: dict[str, int] | None = None, store_id: int = 0, lock: bool = True,
    ) -> None:  # fmt: skip
        self.folder, self.disk = os.path.abspath(folder) if disk is None else folder, disk or RealDisk()
        self._most, self._ranks = segment_bytes, ranks or {}
        self._lock = -1
        if lock:
            self._take_lock()
        got = recover(self.disk, self.folder)
        self.state, self.number, self.recovery = got.state, got.number, got.report
        self.segments, self.snapshots = got.segments, got.snapshots
        self.id = got.store_id or store_id or int.from_bytes(os.urandom(8), "little") | 1
        self.epoch = got.epoch + 1
        self.next = self.number + 1
        self._waiting: list[Write] = []
        self._handle, self._marks, self._size = -1, -1, 0
        self.read_only = ""  # why
        self.min_rank = DEBUG  # on a full disk, what is below is dropped
        self.dropped = 0
        self.events: list[str] = []  # that an operator is to know
        for name in self.recovery.left:
            self._quietly_unlink(name)
        self._drop_empty()
        self._roll()
        self._reserve()
        if self.recovery.lost:  # remembered until an operator has seen to it: what is not there may have been
            told = "; ".join(row.describe() for row in self.recovery.corruptions)
            self.write([Op(STORE_SPACE, LOST, 0, told.encode())])
            self.flush()

    @property
    def has_lost_entries(self) -> bool:
        """Whether something that was promised is lost: of what is not found nothing is known."""
        return self.get(STORE_SPACE, LOST) is not None

    # One writer.

    def _take_lock(self) -> None:
        os.makedirs(self.folder, exist_ok=True)
        self._lock = os.open(f"{self.folder}/{LOCK}", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as fault:
            owner = os.pread(self._lock, 200, 0).decode("ascii", "replace").strip() or "another process"
            os.close(self._lock)
            raise StoreInUseError(f"{self.folder} is written by {owner}") from fault
        os.ftruncate(self._lock, 0)
        os.pwrite(self._lock, f"process {os.getpid()}\n".encode(), 0)

    def close(self) -> None:
        self._close_handles()
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    # Writing.

    def write(self, ops: list[Op]) -> int | None:
        """Takes a group that counts whole or not at all; its number.  None: dropped, as the disk is full."""
        if self.read_only:
            raise StoreError(f"read-only: {self.read_only}")
        rank = max([self._ranks.get(op.space, COMMANDS) for op in ops], default=COMMANDS)
        if rank < self.min_rank:
            self.dropped += 1
            return None
        data = frames.frame(self.id, self.next, self.number, self.epoch, pack(ops))
        self._waiting.append(Write(self.next, ops, rank, data))
        self.next += 1
        return self.next - 1

    def next_batch(self, most_bytes: int = 1 << 20) -> list[Write]:
        """What is to be put down next, in order."""
        size, count = 0, 0
        for each in self._waiting:
            if count and size + len(each.data) > most_bytes:
                break
            size, count = size + len(each.data), count + 1
        return self._waiting[:count]

    def write_batch(self, batch: list[Write]) -> None:
        """Writes and syncs.  A segment whose sync failed is never used again: what it took may be lost."""
        if not batch:
            return
        data = b"".join(each.data for each in batch)
        try:
            if self._handle < 0 or self._size > self._most:
                self._roll()
            self._append(data)
            self.disk.sync(self._handle)
        except OSError as fault:
            self._move_on(data, fault)

    def _move_on(self, data: bytes, fault: OSError) -> None:
        """Once more, in a segment of its own."""
        self.events.append(f"a segment was given up: {fault}")
        if fault.errno in (errno.ENOSPC, errno.EDQUOT, errno.EFBIG):
            self._free_reserve()
        try:
            self._roll()
            self._append(data)
            self.disk.sync(self._handle)
        except OSError as again:
            self._close_handles()
            raise again

    def apply_batch(self, batch: list[Write]) -> None:
        """It is on disk: from now on it is read."""
        for each in batch:
            apply(self.state, each.number, each.ops)
        if batch:
            self.number = batch[-1].number
            self.segments[-1].last = self.number
            del self._waiting[: len(batch)]
            self._mark()

    def _mark(self) -> None:
        """Not synced: it is there to tell damage from a tail that was cut, not to keep anything."""
        try:
            if self._marks >= 0:
                self.disk.append(self._marks, frames.mark(self.id, self.number, self.epoch))
        except OSError:
            self.disk.close(self._marks)
            self._marks = -1

    def handle_write_error(self, fault: OSError) -> list[Write]:
        """Nothing could be put down: what is dear waits, the rest is dropped, in the stated order.

        Gives what is dropped; the store is read-only once only the dearest are left and cannot be kept.
        """
        full = fault.errno in (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
        if full and self.min_rank < OUTCOMES:
            self.min_rank += 1
            self.events.append(f"the disk is full: records below rank {self.min_rank} are dropped")
        else:
            self.read_only = str(fault)
            self.events.append(f"read-only: {fault}")
        keep = [] if self.read_only else [each for each in self._waiting if each.rank >= self.min_rank]
        gone = [each for each in self._waiting if each not in keep]
        self.dropped += len(gone)
        self._waiting = []
        self.next = self.number + 1
        for each in keep:  # numbers have no gaps
            each.number = self.next
            each.data = frames.frame(self.id, self.next, self.number, self.epoch, pack(each.ops))
            self._waiting.append(each)
            self.next += 1
        return gone

    def resume_writes(self) -> None:
        """There is room again."""
        if self.min_rank or self.read_only:
            self.events.append("all records are kept again")
        self.min_rank, self.read_only = DEBUG, ""
        self._reserve()

    def flush(self) -> None:
        """All that waits, at once; for callers without a loop.  Raises OSError."""
        while batch := self.next_batch():
            self.write_batch(batch)
            self.apply_batch(batch)

    def _append(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            taken = self.disk.append(self._handle, bytes(view))
            if taken <= 0:
                raise OSError(errno.EIO, "nothing was written")
            view = view[taken:]
        self._size += len(data)

    def _roll(self) -> None:
        """A new segment, on disk with its name before anything is put into it."""
        self._close_handles()
        used = [row.name for row in self.segments]
        used += [name for name in self.disk.listdir(self.folder) if name.startswith(MARKS)]
        index = 1 + max(map(index_of, used), default=0)
        name, first = f"{SEGMENT}{index:08d}.log", self.number + 1
        self._handle = self.disk.create(f"{self.folder}/{name}")
        self.segments.append(Segment(name, first, first - 1, frames.HEAD.size))
        self._size = 0
        self._append(frames.head(self.id, first))
        self.disk.sync(self._handle)
        self._marks = self.disk.create(f"{self.folder}/{MARKS}{index:08d}.log")
        self.disk.sync_folder(self.folder)

    def _close_handles(self) -> None:
        handles, self._handle, self._marks = (self._handle, self._marks), -1, -1
        for handle in handles:
            try:
                if handle >= 0:
                    self.disk.close(handle)
            except OSError as fault:
                self.events.append(f"a segment did not close: {fault}")

    def _drop_empty(self) -> None:
        """Segments of earlier starts in which nothing came to lie."""
        for row in [row for row in self.segments if row.last < row.first and row.name not in self._told_of()]:
            self._quietly_unlink(row.name)
            self.segments.remove(row)
        names = self.disk.listdir(self.folder)
        kept = {index_of(row.name) for row in self.segments}
        for name in names:
            if name.startswith(MARKS) and index_of(name) not in kept and not self.recovery.corruptions:
                self._quietly_unlink(name)

    def _told_of(self) -> set[str]:
        return {row.file for row in self.recovery.corruptions}

    def _quietly_unlink(self, name: str) -> None:
        try:
            self.disk.unlink(f"{self.folder}/{name}")
        except OSError as fault:
            self.events.append(f"{name} cannot be cleared: {fault}")

    def _reserve(self) -> None:
        """Room that is given up when the disk is full, so that outcomes still find some."""
        try:
            if RESERVE not in self.disk.listdir(self.folder):
                handle = self.disk.create(f"{self.folder}/{RESERVE}")
                try:
                    self.disk.append(handle, bytes(RESERVED))
                finally:
                    self.disk.close(handle)
        except OSError as fault:
            self.events.append(f"no room is held in reserve: {fault}")

    def _free_reserve(self) -> None:
        if RESERVE in self.disk.listdir(self.folder):
            self._quietly_unlink(RESERVE)

    # Snapshots and compaction.

    def compact(
        self, chunk: int = 1 << 16, retain: dict[str, tuple[int, int]] | None = None
    ) -> Iterator[int]:
        """Writes a snapshot and clears what it makes needless; yields the bytes written after each piece.

        The caller decides when to go on, which bounds time and bytes a second, and calls between `done`s.
        `retain`: by space, how many entries and from which time on; of others all.
        """
        state = {space: dict(rows) for space, rows in self.state.items()}
        for space, (most, since) in (retain or {}).items():
            rows = [
                (e.timestamp, e.number, key)
                for key, e in state.get(space, {}).items()
                if e.timestamp >= since
            ]
            kept = frozenset(key for _, _, key in sorted(rows)[-most:])
            state[space] = {key: e for key, e in state.get(space, {}).items() if key in kept}
        number = self.number
        name = f"{SNAPSHOT}{number:016d}.whs"
        temp = f"{self.folder}/{TEMP}{name}"
        if name in self.snapshots:
            return
        self._clear_temp(name)
        handle = self.disk.create(temp)
        try:
            for piece in write_snapshot(self.id, number, self.epoch, state, chunk):
                view = memoryview(piece)
                while view:
                    view = view[self.disk.append(handle, bytes(view)) :]
                yield len(piece)
            self.disk.sync(handle)
        finally:
            self.disk.close(handle)
        yield 0
        self.disk.rename(temp, f"{self.folder}/{name}")
        self.disk.sync_folder(self.folder)
        self.snapshots.append(name)
        for space in retain or {}:  # from now on they are gone for good
            held = self.state.get(space, {})
            self.state[space] = {k: e for k, e in held.items() if e.number > number or k in state[space]}
        yield 0
        for old in self.snapshots[:-2]:
            self.disk.unlink(f"{self.folder}/{old}")
            yield 0
        self.snapshots = self.snapshots[-2:]
        if len(self.snapshots) < 2:
            return  # the older of two is what segments are measured by
        since = int(self.snapshots[0][len(SNAPSHOT) : -4])
        while len(self.segments) > 1 and max(self.segments[0].last, self.segments[1].first - 1) <= since:
            index = index_of(self.segments[0].name)
            self.disk.unlink(f"{self.folder}/{self.segments[0].name}")
            del self.segments[0]
            if f"{MARKS}{index:08d}.log" in self.disk.listdir(self.folder):
                self.disk.unlink(f"{self.folder}/{MARKS}{index:08d}.log")
            yield 0
        self.disk.sync_folder(self.folder)

    def _clear_temp(self, name: str) -> None:
        if f"{TEMP}{name}" in self.disk.listdir(self.folder):
            self.disk.unlink(f"{self.folder}/{TEMP}{name}")

    # Reading.

    def get(self, space: str, key: str) -> Entry | None:
        return self.state.get(space, {}).get(key)

    def by_key(self, space: str, first: str = "", last: str = "\uffff") -> list[tuple[str, Entry]]:
        rows = self.state.get(space, {})
        return [(key, rows[key]) for key in sorted(rows) if first <= key <= last]

    def by_time(self, space: str, since: int = 0) -> list[tuple[str, Entry]]:
        """The oldest first."""
        rows = [(key, e) for key, e in self.state.get(space, {}).items() if e.timestamp >= since]
        return sorted(rows, key=lambda row: (row[1].timestamp, row[1].number))


class Reader:
    """Reads a store that another process writes; `refresh` takes what has come since.  Never writes."""

    def __init__(self, folder: str, disk: Disk | None = None) -> None:
        self.folder, self.disk = folder, disk or RealDisk()
        self.state: State = {}
        self.number = 0
        self.recovery = RecoveryReport()

    def refresh(self) -> int:
        """The last number; raises StoreError if files went away under it again and again."""
        for _ in range(20):
            try:
                got = recover(self.disk, self.folder)
                self.state, self.number, self.recovery = got.state, got.number, got.report
                return self.number
            except FileNotFoundError:
                continue  # a compaction cleared it meanwhile
        raise StoreError(f"{self.folder}: changes faster than it can be read")

"""The store: a log of frames in segments, the state it produces, and snapshots that bound the size of both.

There is one writer. `write` queues operations, `next_batch` returns what to write next, `write_batch` writes
and syncs it (in any thread), and `apply_batch` adds it to the state, so reads only return data on disk.
A snapshot holds the whole state up to a number. The last two snapshots are kept, and the segments since the
older one, so no data is lost if a single file is damaged.
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

SEGMENT_PREFIX, SNAPSHOT_PREFIX, WATERMARK_PREFIX, TEMP_PREFIX = "seg-", "snap-", "mark-", ".new-"
LOCK_FILE, RESERVE_FILE = "lock", "reserve"
STORE_SPACE, LOST_KEY = "_store", "lost"  # the space and key of the store's own record that it lost entries
COMPRESS_FROM_BYTES = 512
DEBUG, APPLIED, COMMANDS, OUTCOMES = range(4)  # ranks: on a full disk the lowest are dropped first
RESERVE_BYTES = 64 << 10
FOOTER = struct.Struct("<8sQQQ")  # magic, entry count, number, checksum of all bytes before
FOOTER_MAGIC = b"WHSNAP_E"


class StoreError(Exception):
    """The store cannot do what was asked; the message says what and where."""


class StoreInUseError(StoreError):
    """Another process is the writer of this store."""


class Op(msgspec.Struct, array_like=True):
    """Sets an entry, or removes it if `value` is None. `timestamp` is in the writer's own unit."""

    space: str
    key: str
    timestamp: int
    value: bytes | None


class Entry(msgspec.Struct, array_like=True):
    """A stored value, with the number of the write that set it."""

    number: int
    timestamp: int
    value: bytes


@dataclass(slots=True)
class PendingWrite:
    """A write that is not committed yet; `data` is its encoded frame."""

    number: int
    ops: list[Op]
    rank: int
    data: bytes


@dataclass(slots=True)
class Corruption:
    """A corrupt range of a file.

    Attributes:
        file: the name of the file.
        start: the offset of the first corrupt byte.
        end: the offset after the last one.
        first: the first lost number.
        last: the last lost number; none is lost if it is below `first`.
        reason: what is wrong with the bytes.
    """

    file: str
    start: int
    end: int
    first: int
    last: int
    reason: str = "no valid frame"

    def describe(self) -> str:
        """Returns one line for the operator."""
        lost = f", numbers {self.first} to {self.last} are lost" if self.last >= self.first else ""
        return f"{self.file}: from byte {self.start} to {self.end}: {self.reason}{lost}"


@dataclass(slots=True)
class RecoveryReport:
    """What a recovery found.

    Attributes:
        snapshot: the snapshot that was read; empty: none.
        number: the last number that was read.
        frames: the number of frames that were read.
        torn_tails: by file, the bytes of an interrupted write, which was never acknowledged.
        corruptions: the corrupt ranges.
        leftovers: temporary files.
    """

    snapshot: str = ""
    number: int = 0
    frames: int = 0
    torn_tails: dict[str, int] = field(default_factory=dict)
    corruptions: list[Corruption] = field(default_factory=list)
    leftovers: list[str] = field(default_factory=list)

    @property
    def has_lost_entries(self) -> bool:
        """Whether committed numbers are missing."""
        return any(corruption.last >= corruption.first for corruption in self.corruptions)


_encode = msgspec.msgpack.Encoder().encode
_ops_decoder = msgspec.msgpack.Decoder(list[Op])
State = dict[str, dict[str, Entry]]


def file_index(name: str) -> int:
    """Returns the number in the name of a segment or watermark file."""
    return int(name.partition("-")[2].partition(".")[0])


def encode_ops(ops: Iterable[Op]) -> bytes:
    """Returns the payload of a frame; its first byte says whether the rest is compressed."""
    encoded = _encode(list(ops))
    if len(encoded) < COMPRESS_FROM_BYTES:
        return b"\0" + encoded
    return b"\1" + zstandard.ZstdCompressor(level=1).compress(encoded)


def decode_ops(payload: bytes) -> list[Op]:
    """Returns the operations of a frame's payload."""
    if payload[:1] == b"\1":
        payload = b"\0" + zstandard.ZstdDecompressor().decompress(
            payload[1:], max_output_size=frames.MAX_FRAME_BYTES
        )
    return _ops_decoder.decode(payload[1:])


def apply_ops(state: State, number: int, ops: Iterable[Op]) -> None:
    """Applies a write to the state. Idempotent: an entry of a later write is not changed."""
    for op in ops:
        space = state.setdefault(op.space, {})
        current = space.get(op.key)
        if current is not None and current.number > number:
            continue
        if op.value is None:
            space.pop(op.key, None)
        else:
            space[op.key] = Entry(number, op.timestamp, op.value)


@dataclass(slots=True)
class Segment:
    """A segment file, the numbers of its first and last frame, and its size in bytes.

    It is empty if `last` is below `first`; `first` is 0 if its header is invalid and it holds no frame.
    """

    name: str
    first: int
    last: int
    size: int


@dataclass(slots=True)
class RecoveredStore:
    """The content of a store's files.

    Attributes:
        store_id: the store's id; 0: the store does not exist yet.
        state: the entries by space and key.
        number: the last committed number.
        epoch: the epoch of the last writer.
        segments: the segments, oldest first.
        snapshots: the valid snapshots, oldest first.
        report: what the recovery found.
    """

    store_id: int = 0
    state: State = field(default_factory=dict)
    number: int = 0
    epoch: int = 0
    segments: list[Segment] = field(default_factory=list)
    snapshots: list[str] = field(default_factory=list)
    report: RecoveryReport = field(default_factory=RecoveryReport)


def recover(disk: Disk, folder: str) -> RecoveredStore:
    """Reads the files of a store without changing them. Corruption is reported, not raised."""
    recovered = RecoveredStore()
    report, names = recovered.report, sorted(disk.listdir(folder))
    report.leftovers = [name for name in names if name.startswith(TEMP_PREFIX)]
    data = {
        name: disk.read(f"{folder}/{name}")
        for name in names
        if name.startswith((SEGMENT_PREFIX, SNAPSHOT_PREFIX, WATERMARK_PREFIX))
    }
    recovered.store_id = _find_store_id(data)
    for name in [name for name in names if name.startswith(SNAPSHOT_PREFIX)][::-1]:
        try:
            snapshot = read_snapshot(data[name])
        except StoreError as error:
            report.corruptions.append(Corruption(name, 0, len(data[name]), 1, 0, str(error)))
            continue
        recovered.snapshots.insert(0, name)
        if not report.snapshot:
            recovered.store_id, recovered.number, recovered.epoch, recovered.state = snapshot
            report.snapshot = name
    snapshot_number = recovered.number
    scans: list[tuple[Segment, frames.Scan]] = []
    for name in [name for name in names if name.startswith(SEGMENT_PREFIX)]:
        scanned = _scan_segment_file(recovered, name, data[name])
        if scanned is not None:
            scans.append(scanned)
    for index, (segment, scan) in enumerate(scans):
        # A later segment takes precedence: it starts where this one was abandoned.
        limit = min((later[0].first for later in scans[index + 1 :]), default=1 << 62)
        for gap in scan.corrupt_ranges:
            if gap.last < gap.first or gap.first < limit:
                last = min(gap.last, limit - 1)
                report.corruptions.append(Corruption(segment.name, gap.start, gap.end, gap.first, last))
        _replay(recovered, segment, scan, limit, scans[index - 1] if index else None)
    report.number = recovered.number
    committed = max(
        (
            frames.newest_watermark(recovered.store_id, data[n])
            for n in names
            if n.startswith(WATERMARK_PREFIX)
        ),
        default=0,
    )
    if committed > recovered.number:
        newest = scans[-1] if scans else (Segment("no segment", 0, 0, 0), frames.Scan())
        size = newest[0].size
        reason = "committed frames are missing"
        corruption = Corruption(newest[0].name, newest[1].end, size, recovered.number + 1, committed, reason)
        if recovered.segments and recovered.segments[-1].first == 0:  # the newest segment has no valid header
            corruption = Corruption(
                recovered.segments[-1].name,
                0,
                recovered.segments[-1].size,
                corruption.first,
                committed,
                reason,
            )
        report.corruptions.append(corruption)
        recovered.number = committed
    report.corruptions = [
        found for found in report.corruptions if found.last < found.first or found.last > snapshot_number
    ]
    return recovered


def _find_store_id(data: dict[str, bytes]) -> int:
    """Returns the id in the first file that has a valid header, or 0."""
    for content in data.values():
        header = frames.decode_header(content)
        if header is not None:
            return header[0]
    return 0


def _scan_segment_file(
    recovered: RecoveredStore, name: str, data: bytes
) -> tuple[Segment, frames.Scan] | None:
    header, report = frames.decode_header(data), recovered.report
    if header is None:  # either nothing in it was committed, or its header is corrupt
        frame = frames.find_frame(recovered.store_id, data, 0, 1, 1 << 62) if recovered.store_id else None
        if frame is None:
            report.torn_tails[name] = len(data)
            recovered.segments.append(Segment(name, 0, -1, len(data)))
            return None
        report.corruptions.append(Corruption(name, 0, frame.start, 1, 0, "the header is corrupt"))
        header = (recovered.store_id, frame.number)
        data = frames.encode_header(*header) + data[frame.start :]
    elif header[0] != recovered.store_id:
        report.corruptions.append(
            Corruption(name, 0, frames.HEADER.size, 1, 0, "the file belongs to another store")
        )
        return None
    scan = frames.scan_segment(recovered.store_id, data, header[1])
    last = scan.frames[-1].number if scan.frames else header[1] - 1
    segment = Segment(name, header[1], last, len(data))
    recovered.segments.append(segment)
    if scan.end < len(data):
        report.torn_tails[name] = len(data) - scan.end
    return segment, scan


def _replay(
    recovered: RecoveredStore, segment: Segment, scan: frames.Scan, limit: int,
    previous: tuple[Segment, frames.Scan] | None,
) -> None:  # fmt: skip
    """Applies the frames of a segment with numbers below `limit`, and reports gaps between segments."""
    for frame in scan.frames:
        recovered.epoch = max(recovered.epoch, frame.epoch)
        if frame.number <= recovered.number or frame.number >= limit:
            continue
        missing = recovered.number + 1
        if frame.number > missing and not any(
            gap.first <= missing <= gap.last for gap in scan.corrupt_ranges
        ):
            recovered.report.corruptions.append(_locate_missing_frames(recovered, segment, frame, previous))
        apply_ops(recovered.state, frame.number, decode_ops(frame.payload))
        recovered.number = frame.number
        recovered.report.frames += 1


def _locate_missing_frames(
    recovered: RecoveredStore, segment: Segment, frame: frames.Frame,
    previous: tuple[Segment, frames.Scan] | None
) -> Corruption:  # fmt: skip
    """Returns the file and range that most likely held the frames that are missing before `frame`."""
    first, last = recovered.number + 1, frame.number - 1
    previous_name = previous[0].name if previous is not None else ""
    for other in recovered.segments:  # a segment without a valid header between the two
        if previous_name < other.name < segment.name and other.last < other.first and other.first == 0:
            return Corruption(other.name, 0, other.size, first, last, "the header is missing")
    if previous is not None and previous[0].last < last:
        return Corruption(
            previous[0].name, previous[1].end, previous[0].size, first, last, "the file ends too early"
        )
    return Corruption(segment.name, frame.start, frame.start, first, last, "earlier frames are missing")


def write_snapshot(store: int, number: int, epoch: int, state: State, chunk: int) -> Iterator[bytes]:
    """Yields the bytes of a snapshot in pieces of about `chunk` bytes."""
    header = frames.encode_header(store, number) + struct.pack("<Q", epoch)
    digest = xxhash.xxh3_64(header)
    yield header
    block: list[tuple[str, str, Entry]] = []
    count = size = 0
    for space in sorted(state):
        for key in sorted(state[space]):
            entry = state[space][key]
            block.append((space, key, entry))
            count += 1
            size += len(entry.value) + len(key) + 24
            if size >= chunk:
                yield _encode_block(block, digest)
                block, size = [], 0
    if block:
        yield _encode_block(block, digest)
    yield FOOTER.pack(FOOTER_MAGIC, count, number, digest.intdigest())


def _encode_block(entries: list[tuple[str, str, Entry]], digest: xxhash.xxh3_64) -> bytes:
    compressed = zstandard.ZstdCompressor(level=1).compress(_encode(entries))
    data = struct.pack("<I", len(compressed)) + compressed
    digest.update(data)
    return data


def read_snapshot(data: bytes) -> tuple[int, int, int, State]:
    """Returns the store's id, the number, the epoch and the state of a snapshot.

    Raises:
        StoreError: the snapshot is corrupt; no part of it is used.
    """
    header = frames.decode_header(data)
    size = frames.HEADER.size + 8
    if header is None or len(data) < size + FOOTER.size:
        raise StoreError("the header is corrupt, or the file is too short")
    magic, count, number, checksum = FOOTER.unpack_from(data, len(data) - FOOTER.size)
    if magic != FOOTER_MAGIC or number != header[1]:
        raise StoreError(f"from byte {len(data) - FOOTER.size}: the footer is corrupt")
    if xxhash.xxh3_64_intdigest(data[: len(data) - FOOTER.size]) != checksum:
        raise StoreError("the checksum does not match")
    (epoch,) = struct.unpack_from("<Q", data, frames.HEADER.size)
    state: State = {}
    offset, decoder, entry_count = size, msgspec.msgpack.Decoder(list[tuple[str, str, Entry]]), 0
    while offset < len(data) - FOOTER.size:
        (length,) = struct.unpack_from("<I", data, offset)
        block = zstandard.ZstdDecompressor().decompress(
            data[offset + 4 : offset + 4 + length], max_output_size=1 << 30
        )
        for space, key, entry in decoder.decode(block):
            state.setdefault(space, {})[key] = entry
            entry_count += 1
        offset += 4 + length
    if entry_count != count:
        raise StoreError(f"{entry_count} entries found, {count} written")
    return header[0], number, epoch, state


class Store:
    """The store and its only writer.

    Attributes:
        folder: the folder of its files.
        disk: the disk operations.
        state: the committed entries by space and key.
        number: the last committed number.
        recovery: what was found when the store was opened.
        segments: the segments, oldest first.
        snapshots: the snapshots, oldest first.
        id: the id in all of its files.
        epoch: how many times it was opened.
        read_only: why nothing can be written; empty: it can.
        min_rank: on a full disk, writes of a lower rank are dropped.
        dropped: the number of dropped writes.
        events: messages for the operator.
    """

    def __init__(
        self, folder: str, disk: Disk | None = None, segment_bytes: int = 4 << 20,
        ranks: dict[str, int] | None = None, store_id: int = 0, lock: bool = True,
    ) -> None:  # fmt: skip
        """Recovers the store, or creates it, and starts a new segment.

        Args:
            folder: the folder of its files.
            disk: the disk operations; None: those of the operating system.
            segment_bytes: a larger segment is followed by a new one.
            ranks: the rank of each space; others have the rank COMMANDS.
            store_id: the id of a store that is created; 0: a random one.
            lock: whether to lock the folder against other writers.

        Raises:
            StoreInUseError: another process is the writer.
            OSError: the folder cannot be used.
        """
        self.folder, self.disk = os.path.abspath(folder) if disk is None else folder, disk or RealDisk()
        self._max_segment_bytes, self._ranks = segment_bytes, ranks or {}
        self._lock = -1
        if lock:
            self._acquire_lock()
        recovered = recover(self.disk, self.folder)
        self.state, self.number, self.recovery = recovered.state, recovered.number, recovered.report
        self.segments, self.snapshots = recovered.segments, recovered.snapshots
        self.id = recovered.store_id or store_id or int.from_bytes(os.urandom(8), "little") | 1
        self.epoch = recovered.epoch + 1
        self._next_number = self.number + 1
        self._pending: list[PendingWrite] = []
        self._segment_handle, self._watermark_handle, self._segment_size = -1, -1, 0
        self.read_only = ""
        self.min_rank = DEBUG
        self.dropped = 0
        self.events: list[str] = []
        for name in self.recovery.leftovers:
            self._try_unlink(name)
        self._remove_empty_segments()
        self._start_segment()
        self._create_reserve()
        if (
            self.recovery.has_lost_entries
        ):  # recorded until an operator confirms it: a missing entry may have existed
            description = "; ".join(corruption.describe() for corruption in self.recovery.corruptions)
            self.write([Op(STORE_SPACE, LOST_KEY, 0, description.encode())])
            self.flush()

    @property
    def has_lost_entries(self) -> bool:
        """Whether committed entries were lost, so that a missing entry may have existed."""
        return self.get(STORE_SPACE, LOST_KEY) is not None

    def _acquire_lock(self) -> None:
        os.makedirs(self.folder, exist_ok=True)
        self._lock = os.open(f"{self.folder}/{LOCK_FILE}", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            owner = os.pread(self._lock, 200, 0).decode("ascii", "replace").strip() or "another process"
            os.close(self._lock)
            raise StoreInUseError(f"{self.folder} is in use by {owner}") from error
        os.ftruncate(self._lock, 0)
        os.pwrite(self._lock, f"process {os.getpid()}\n".encode(), 0)

    def close(self) -> None:
        """Closes the files and releases the lock. Pending writes are not written."""
        self._close_handles()
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    # Writing.

    def write(self, ops: list[Op]) -> int | None:
        """Queues operations that take effect together or not at all.

        Returns:
            The number of the write, or None if it was dropped because the disk is full.

        Raises:
            StoreError: the store is read-only.
        """
        if self.read_only:
            raise StoreError(f"read-only: {self.read_only}")
        rank = max([self._ranks.get(op.space, COMMANDS) for op in ops], default=COMMANDS)
        if rank < self.min_rank:
            self.dropped += 1
            return None
        data = frames.encode_frame(self.id, self._next_number, self.number, self.epoch, encode_ops(ops))
        self._pending.append(PendingWrite(self._next_number, ops, rank, data))
        self._next_number += 1
        return self._next_number - 1

    def next_batch(self, max_bytes: int = 1 << 20) -> list[PendingWrite]:
        """Returns the oldest pending writes, up to about `max_bytes`; they stay pending."""
        size, count = 0, 0
        for write in self._pending:
            if count and size + len(write.data) > max_bytes:
                break
            size, count = size + len(write.data), count + 1
        return self._pending[:count]

    def write_batch(self, batch: list[PendingWrite]) -> None:
        """Writes and syncs a batch.

        A segment whose sync failed is never used again: what was written to it may be lost.

        Raises:
            OSError: the second attempt, in a new segment, failed too.
        """
        if not batch:
            return
        data = b"".join(write.data for write in batch)
        try:
            if self._segment_handle < 0 or self._segment_size > self._max_segment_bytes:
                self._start_segment()
            self._append(data)
            self.disk.sync(self._segment_handle)
        except OSError as error:
            self._retry_in_new_segment(data, error)

    def _retry_in_new_segment(self, data: bytes, error: OSError) -> None:
        """Writes the batch once more, in a new segment."""
        self.events.append(f"segment abandoned after a write error: {error}")
        if error.errno in (errno.ENOSPC, errno.EDQUOT, errno.EFBIG):
            self._release_reserve()
        try:
            self._start_segment()
            self._append(data)
            self.disk.sync(self._segment_handle)
        except OSError as retry_error:
            self._close_handles()
            raise retry_error

    def apply_batch(self, batch: list[PendingWrite]) -> None:
        """Applies a batch that is on disk to the state, and removes it from the pending writes."""
        for write in batch:
            apply_ops(self.state, write.number, write.ops)
        if batch:
            self.number = batch[-1].number
            self.segments[-1].last = self.number
            del self._pending[: len(batch)]
            self._append_watermark()

    def _append_watermark(self) -> None:
        """Not synced: it helps to tell corruption from a torn tail, and is not needed to recover data."""
        try:
            if self._watermark_handle >= 0:
                self.disk.append(
                    self._watermark_handle, frames.encode_watermark(self.id, self.number, self.epoch)
                )
        except OSError:
            self.disk.close(self._watermark_handle)
            self._watermark_handle = -1

    def handle_write_error(self, error: OSError) -> list[PendingWrite]:
        """Drops pending writes after `write_batch` failed, and returns them.

        Each time the disk is full, the next lowest rank is dropped. If only the highest rank is left, or on
        any other error, the store becomes read-only and all pending writes are dropped.
        """
        full = error.errno in (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
        if full and self.min_rank < OUTCOMES:
            self.min_rank += 1
            self.events.append(f"disk full: writes below rank {self.min_rank} are dropped")
        else:
            self.read_only = str(error)
            self.events.append(f"read-only: {error}")
        kept = [] if self.read_only else [write for write in self._pending if write.rank >= self.min_rank]
        dropped = [write for write in self._pending if write not in kept]
        self.dropped += len(dropped)
        self._pending = []
        self._next_number = self.number + 1
        for write in kept:  # renumbered, as numbers have no gaps
            write.number = self._next_number
            write.data = frames.encode_frame(
                self.id, self._next_number, self.number, self.epoch, encode_ops(write.ops)
            )
            self._pending.append(write)
            self._next_number += 1
        return dropped

    def resume_writes(self) -> None:
        """Accepts all ranks again, once the disk has room or an error may have passed."""
        if self.min_rank or self.read_only:
            self.events.append("writes of all ranks are accepted again")
        self.min_rank, self.read_only = DEBUG, ""
        self._create_reserve()

    def flush(self) -> None:
        """Commits all pending writes; for callers without an event loop. Raises OSError."""
        while batch := self.next_batch():
            self.write_batch(batch)
            self.apply_batch(batch)

    def _append(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            written = self.disk.append(self._segment_handle, bytes(view))
            if written <= 0:
                raise OSError(errno.EIO, "nothing was written")
            view = view[written:]
        self._segment_size += len(data)

    def _start_segment(self) -> None:
        """Creates a segment; its header and name are durable before any frame is written to it."""
        self._close_handles()
        used = [segment.name for segment in self.segments]
        used += [name for name in self.disk.listdir(self.folder) if name.startswith(WATERMARK_PREFIX)]
        index = 1 + max(map(file_index, used), default=0)
        name, first = f"{SEGMENT_PREFIX}{index:08d}.log", self.number + 1
        self._segment_handle = self.disk.create(f"{self.folder}/{name}")
        self.segments.append(Segment(name, first, first - 1, frames.HEADER.size))
        self._segment_size = 0
        self._append(frames.encode_header(self.id, first))
        self.disk.sync(self._segment_handle)
        self._watermark_handle = self.disk.create(f"{self.folder}/{WATERMARK_PREFIX}{index:08d}.log")
        self.disk.sync_folder(self.folder)

    def _close_handles(self) -> None:
        handles, self._segment_handle, self._watermark_handle = (
            (self._segment_handle, self._watermark_handle),
            -1,
            -1,
        )
        for handle in handles:
            try:
                if handle >= 0:
                    self.disk.close(handle)
            except OSError as error:
                self.events.append(f"cannot close a segment: {error}")

    def _remove_empty_segments(self) -> None:
        """Deletes segments of earlier epochs that hold no frames, and watermark files without a segment."""
        for segment in [
            segment
            for segment in self.segments
            if segment.last < segment.first and segment.name not in self._corrupt_files()
        ]:
            self._try_unlink(segment.name)
            self.segments.remove(segment)
        names = self.disk.listdir(self.folder)
        kept = {file_index(segment.name) for segment in self.segments}
        for name in names:
            if (
                name.startswith(WATERMARK_PREFIX)
                and file_index(name) not in kept
                and not self.recovery.corruptions
            ):
                self._try_unlink(name)

    def _corrupt_files(self) -> set[str]:
        return {corruption.file for corruption in self.recovery.corruptions}

    def _try_unlink(self, name: str) -> None:
        try:
            self.disk.unlink(f"{self.folder}/{name}")
        except OSError as error:
            self.events.append(f"{name} cannot be deleted: {error}")

    def _create_reserve(self) -> None:
        """Creates a file that is deleted when the disk is full, which leaves space for outcomes."""
        try:
            if RESERVE_FILE not in self.disk.listdir(self.folder):
                handle = self.disk.create(f"{self.folder}/{RESERVE_FILE}")
                try:
                    self.disk.append(handle, bytes(RESERVE_BYTES))
                finally:
                    self.disk.close(handle)
        except OSError as error:
            self.events.append(f"cannot reserve disk space: {error}")

    def _release_reserve(self) -> None:
        if RESERVE_FILE in self.disk.listdir(self.folder):
            self._try_unlink(RESERVE_FILE)

    # Snapshots and compaction.

    def compact(
        self, chunk: int = 1 << 16, retain: dict[str, tuple[int, int]] | None = None
    ) -> Iterator[int]:
        """Writes a snapshot, deletes the files that it makes obsolete, and yields the bytes written per step.

        The caller decides when to continue, which limits the time and the bytes per second that this takes.
        It must not continue during `apply_batch`.

        Args:
            chunk: the size of a piece of the snapshot, in bytes.
            retain: by space, how many entries to keep and the oldest timestamp; all entries of other spaces
                are kept.
        """
        state = {space: dict(entries) for space, entries in self.state.items()}
        for space, (max_entries, since) in (retain or {}).items():
            ranked = [
                (e.timestamp, e.number, key)
                for key, e in state.get(space, {}).items()
                if e.timestamp >= since
            ]
            kept = frozenset(key for _, _, key in sorted(ranked)[-max_entries:])
            state[space] = {key: e for key, e in state.get(space, {}).items() if key in kept}
        number = self.number
        name = f"{SNAPSHOT_PREFIX}{number:016d}.whs"
        temp = f"{self.folder}/{TEMP_PREFIX}{name}"
        if name in self.snapshots:
            return
        self._remove_temp(name)
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
        for space in retain or {}:  # drop them from the state only now that the snapshot is durable
            entries = self.state.get(space, {})
            self.state[space] = {k: e for k, e in entries.items() if e.number > number or k in state[space]}
        yield 0
        for old in self.snapshots[:-2]:
            self.disk.unlink(f"{self.folder}/{old}")
            yield 0
        self.snapshots = self.snapshots[-2:]
        if len(self.snapshots) < 2:
            return  # segments are kept since the older of two snapshots
        oldest_snapshot_number = int(self.snapshots[0][len(SNAPSHOT_PREFIX) : -4])
        while (
            len(self.segments) > 1
            and max(self.segments[0].last, self.segments[1].first - 1) <= oldest_snapshot_number
        ):
            index = file_index(self.segments[0].name)
            self.disk.unlink(f"{self.folder}/{self.segments[0].name}")
            del self.segments[0]
            if f"{WATERMARK_PREFIX}{index:08d}.log" in self.disk.listdir(self.folder):
                self.disk.unlink(f"{self.folder}/{WATERMARK_PREFIX}{index:08d}.log")
            yield 0
        self.disk.sync_folder(self.folder)

    def _remove_temp(self, name: str) -> None:
        if f"{TEMP_PREFIX}{name}" in self.disk.listdir(self.folder):
            self.disk.unlink(f"{self.folder}/{TEMP_PREFIX}{name}")

    # Reading.

    def get(self, space: str, key: str) -> Entry | None:
        """Returns an entry, or None if there is none."""
        return self.state.get(space, {}).get(key)

    def by_key(self, space: str, first: str = "", last: str = "\uffff") -> list[tuple[str, Entry]]:
        """Returns the entries from key `first` to `last`, both included, in the order of their keys."""
        entries = self.state.get(space, {})
        return [(key, entries[key]) for key in sorted(entries) if first <= key <= last]

    def by_time(self, space: str, since: int = 0) -> list[tuple[str, Entry]]:
        """Returns the entries with a timestamp of at least `since`, the oldest first."""
        entries = [(key, e) for key, e in self.state.get(space, {}).items() if e.timestamp >= since]
        return sorted(entries, key=lambda item: (item[1].timestamp, item[1].number))


class Reader:
    """Reads a store that another process writes. It never writes.

    Attributes:
        folder: the folder of the store's files.
        disk: the disk operations.
        state: the entries by space and key, as of the last refresh.
        number: the last committed number.
        recovery: what the last refresh found.
    """

    def __init__(self, folder: str, disk: Disk | None = None) -> None:
        self.folder, self.disk = folder, disk or RealDisk()
        self.state: State = {}
        self.number = 0
        self.recovery = RecoveryReport()

    def refresh(self) -> int:
        """Reads the store again and returns the last number.

        Raises:
            StoreError: on every attempt a file was deleted while it was read.
        """
        for _ in range(20):
            try:
                recovered = recover(self.disk, self.folder)
                self.state, self.number, self.recovery = recovered.state, recovered.number, recovered.report
                return self.number
            except FileNotFoundError:
                continue  # a compaction deleted a file meanwhile
        raise StoreError(f"{self.folder}: changes faster than it can be read")

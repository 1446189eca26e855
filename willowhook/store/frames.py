"""Binary format of the log: numbered frames with checksums, and how corruption is told from a torn tail.

Each frame holds its number and the number up to which all frames were *committed* (on disk and acknowledged)
when it was written. A reader that finds a gap can therefore classify it: if a later frame says that the
missing frames were committed, the file is corrupt, and the range is reported. Otherwise the gap is the tail
of an interrupted write, and no acknowledged data is lost. This module does no I/O and reads no clock.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import xxhash

MAGIC = b"WHSTORE1"
HEADER = struct.Struct("<8sQQQ")  # magic, store id, first number, checksum
FRAME_HEADER = struct.Struct("<IIQQQ")  # payload length, epoch, number, committed number, checksum
CHECKSUMMED_FIELDS = struct.Struct("<IIQQ")  # the part of the frame header that the checksum covers
MAX_FRAME_BYTES = 1 << 26  # a larger length field is corrupt
COMPLETE, TRUNCATED, CORRUPTED = "whole", "cut", "damaged"


@dataclass(frozen=True, slots=True)
class Frame:
    """A decoded frame.

    Attributes:
        number: its sequence number; numbers have no gaps.
        epoch: the epoch of the writer.
        committed: the last number that was committed when the frame was written.
        payload: the encoded operations.
        start: the offset of its first byte.
        end: the offset after its last byte.
    """

    number: int
    epoch: int
    committed: int
    payload: bytes
    start: int
    end: int


@dataclass(frozen=True, slots=True)
class CorruptRange:
    """Bytes without a valid frame, and the missing numbers `first` to `last` (none if `last` < `first`)."""

    start: int
    end: int
    first: int
    last: int


@dataclass(slots=True)
class Scan:
    """The result of a scan of a segment.

    Attributes:
        frames: the valid frames, in order.
        end: the offset after the last of them.
        status: COMPLETE, TRUNCATED or CORRUPTED.
        corrupt_ranges: the ranges in which committed frames are missing.
    """

    frames: list[Frame] = field(default_factory=list)
    end: int = 0
    status: str = COMPLETE
    corrupt_ranges: list[CorruptRange] = field(default_factory=list)


def encode_header(store: int, first: int) -> bytes:
    """Returns the header of a segment or snapshot."""
    checksum = xxhash.xxh3_64_intdigest(MAGIC + struct.pack("<QQ", store, first))
    return HEADER.pack(MAGIC, store, first, checksum)


def decode_header(data: bytes) -> tuple[int, int] | None:
    """Returns the store's id and the first number, or None if the header is invalid."""
    if len(data) < HEADER.size:
        return None
    magic, store, first, checksum = HEADER.unpack_from(data)
    if magic != MAGIC or checksum != xxhash.xxh3_64_intdigest(MAGIC + struct.pack("<QQ", store, first)):
        return None
    return store, first


def encode_frame(store: int, number: int, committed: int, epoch: int, payload: bytes) -> bytes:
    """Returns the bytes of a frame."""
    fields = CHECKSUMMED_FIELDS.pack(len(payload), epoch, number, committed)
    return fields + struct.pack("<Q", _checksum(store, fields, payload)) + payload


def _checksum(store: int, fields: bytes, payload: bytes) -> int:
    """Seeded with the store's id, so that frames of another store are invalid."""
    digest = xxhash.xxh3_64(fields, seed=store)
    digest.update(payload)
    return digest.intdigest()


def decode_frame_at(store: int, data: bytes, start: int, min_number: int, max_number: int) -> Frame | None:
    """Returns the frame at this offset, or None if there is no valid frame with a number in this range."""
    if start + FRAME_HEADER.size > len(data):
        return None
    length, epoch, number, committed, checksum = FRAME_HEADER.unpack_from(data, start)
    end = start + FRAME_HEADER.size + length
    if not min_number <= number <= max_number or length > MAX_FRAME_BYTES or end > len(data):
        return None
    payload = data[start + FRAME_HEADER.size : end]
    if checksum != _checksum(store, data[start : start + CHECKSUMMED_FIELDS.size], payload):
        return None
    return Frame(number, epoch, committed, payload, start, end)


WATERMARK = struct.Struct("<QQQ")  # committed number, epoch, checksum


def encode_watermark(store: int, number: int, epoch: int) -> bytes:
    """Returns a record that all numbers up to this one are committed; a watermark file is a list of these."""
    return WATERMARK.pack(
        number, epoch, xxhash.xxh3_64_intdigest(struct.pack("<QQ", number, epoch), seed=store)
    )


def newest_watermark(store: int, data: bytes) -> int:
    """Returns the last valid committed number of a watermark file, or 0 if it has none."""
    for start in range(len(data) // WATERMARK.size * WATERMARK.size - WATERMARK.size, -1, -WATERMARK.size):
        number, epoch, _ = WATERMARK.unpack_from(data, start)
        if data[start : start + WATERMARK.size] == encode_watermark(store, number, epoch):
            return int(number)
    return 0


def scan_segment(store: int, data: bytes, first: int) -> Scan:
    """Reads all frames after the header of a segment whose first frame has the number `first`."""
    result = Scan(end=HEADER.size)
    offset, expected = HEADER.size, first
    pending: list[Frame] = []  # frames after a gap that is not classified yet
    gaps: list[CorruptRange] = []
    while offset < len(data):
        frame = decode_frame_at(store, data, offset, expected, expected)
        if frame is None:
            frame = find_frame(store, data, offset, expected, expected + len(data) // FRAME_HEADER.size)
            if frame is None:
                break
            gaps.append(CorruptRange(offset, frame.start, expected, frame.number - 1))
            pending.append(frame)
        elif gaps:
            pending.append(frame)
        else:
            result.frames.append(frame)
        offset, expected = frame.end, frame.number + 1
        if gaps and frame.committed >= gaps[0].first:  # committed frames are missing
            result.frames += pending
            result.corrupt_ranges += gaps
            result.status = CORRUPTED
            pending, gaps = [], []
    if result.frames:
        result.end = result.frames[-1].end
    if result.status == COMPLETE and (result.end < len(data)):
        result.status = TRUNCATED
    return result


def find_frame(store: int, data: bytes, start: int, min_number: int, max_number: int) -> Frame | None:
    """Returns the first valid frame from this offset on with a number in this range."""
    for offset in range(start, len(data) - FRAME_HEADER.size + 1):
        frame = decode_frame_at(store, data, offset, min_number, max_number)
        if frame is not None:
            return frame
    return None

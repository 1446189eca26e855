"""Bytes of a log: frames with a length, a place in order, and a checksum; and what a reader makes of damage.

Each frame says up to which one all were *safe* (on disk, and acknowledged) when it was written.  So a reader
that finds a hole knows what it is: if a later frame says that what is missing was safe, it is damage, and
is told with its place; if none does, it is the tail of a writer that was cut short, and nothing is lost that
anybody was promised.  No I/O and no clock.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import xxhash

MAGIC = b"WHSTORE1"
HEAD = struct.Struct("<8sQQQ")  # magic, store, first number, sum
FRAME = struct.Struct("<IIQQQ")  # length, epoch, number, safe, sum
REST = struct.Struct("<IIQQ")  # what the sum covers of it
MOST = 1 << 26  # bytes of one frame; more is no length
WHOLE, CUT, DAMAGED = "whole", "cut", "damaged"


@dataclass(frozen=True, slots=True)
class Frame:
    number: int
    epoch: int
    safe: int
    payload: bytes
    at: int  # offset
    end: int


@dataclass(frozen=True, slots=True)
class Hole:
    """Damage: bytes that are no frame, and the numbers that are missing for it (none if `last` < `first`)."""

    at: int
    end: int
    first: int
    last: int


@dataclass(slots=True)
class Scan:
    frames: list[Frame] = field(default_factory=list)
    end: int = 0  # up to where bytes count
    verdict: str = WHOLE
    holes: list[Hole] = field(default_factory=list)


def head(store: int, first: int) -> bytes:
    sum_ = xxhash.xxh3_64_intdigest(MAGIC + struct.pack("<QQ", store, first))
    return HEAD.pack(MAGIC, store, first, sum_)


def read_head(data: bytes) -> tuple[int, int] | None:
    """Store and first number; None if it is no head."""
    if len(data) < HEAD.size:
        return None
    magic, store, first, sum_ = HEAD.unpack_from(data)
    if magic != MAGIC or sum_ != xxhash.xxh3_64_intdigest(MAGIC + struct.pack("<QQ", store, first)):
        return None
    return store, first


def frame(store: int, number: int, safe: int, epoch: int, payload: bytes) -> bytes:
    rest = REST.pack(len(payload), epoch, number, safe)
    return rest + struct.pack("<Q", _sum(store, rest, payload)) + payload


def _sum(store: int, rest: bytes, payload: bytes) -> int:
    digest = xxhash.xxh3_64(rest, seed=store)
    digest.update(payload)
    return digest.intdigest()


def frame_at(store: int, data: bytes, at: int, least: int, most: int) -> Frame | None:
    """The frame that begins there, if there is one with a number in this range."""
    if at + FRAME.size > len(data):
        return None
    length, epoch, number, safe, sum_ = FRAME.unpack_from(data, at)
    end = at + FRAME.size + length
    if not least <= number <= most or length > MOST or end > len(data):
        return None
    payload = data[at + FRAME.size : end]
    if sum_ != _sum(store, data[at : at + REST.size], payload):
        return None
    return Frame(number, epoch, safe, payload, at, end)


MARK = struct.Struct("<QQQ")  # number, epoch, sum


def mark(store: int, number: int, epoch: int) -> bytes:
    """Says that all up to this number are safe; many of them, one after the other, make a file of marks."""
    return MARK.pack(number, epoch, xxhash.xxh3_64_intdigest(struct.pack("<QQ", number, epoch), seed=store))


def newest_mark(store: int, data: bytes) -> int:
    """The highest number that a file of marks says to be safe; 0 if none does."""
    for at in range(len(data) // MARK.size * MARK.size - MARK.size, -1, -MARK.size):
        number, epoch, _ = MARK.unpack_from(data, at)
        if data[at : at + MARK.size] == mark(store, number, epoch):
            return int(number)
    return 0


def scan(store: int, data: bytes, first: int) -> Scan:
    """All frames of a segment, from its head on, of which the first has this number."""
    found = Scan(end=HEAD.size)
    at, expected = HEAD.size, first
    pending: list[Frame] = []  # behind a hole that is not yet known for what it is
    holes: list[Hole] = []
    while at < len(data):
        here = frame_at(store, data, at, expected, expected)
        if here is None:
            here = next_frame(store, data, at, expected, expected + len(data) // FRAME.size)
            if here is None:
                break
            holes.append(Hole(at, here.at, expected, here.number - 1))
            pending.append(here)
        elif holes:
            pending.append(here)
        else:
            found.frames.append(here)
        at, expected = here.end, here.number + 1
        if holes and here.safe >= holes[0].first:  # what is missing had been promised
            found.frames += pending
            found.holes += holes
            found.verdict = DAMAGED
            pending, holes = [], []
    if found.frames:
        found.end = found.frames[-1].end
    if found.verdict == WHOLE and (found.end < len(data)):
        found.verdict = CUT
    return found


def next_frame(store: int, data: bytes, at: int, expected: int, most: int) -> Frame | None:
    """The first frame from there on with a number in this range."""
    for place in range(at, len(data) - FRAME.size + 1):
        here = frame_at(store, data, place, expected, most)
        if here is not None:
            return here
    return None

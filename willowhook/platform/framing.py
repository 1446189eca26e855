"""Frames: a length of four bytes, least significant first, then so many bytes that hold one JSON object."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

HEAD = 4
MOST = 1 << 20  # bytes of one message, by the protocol

Fields = dict[str, Any]  # a message as it was decoded: messages get no types

_decode = msgspec.json.Decoder().decode
_encode = msgspec.json.Encoder().encode


class Unreadable(Exception):
    """What came cannot be read, nor can anything that follows it on the connection."""


class Spoilt(Exception):
    """One message, or one entry, is of no use; those around it are not concerned."""


class Cutter:
    """Cuts the bytes of one connection into messages, however they were cut on their way.

    It holds less than one message of `most` bytes, whatever comes.
    """

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self._held = bytearray()

    def take(self, data: bytes) -> Iterator[Fields]:
        """The messages that `data` completes, in turn.  Raises Unreadable after the last good one."""
        held, at = self._held, 0
        held += data
        try:
            while len(held) - at >= HEAD:
                size = int.from_bytes(held[at : at + HEAD], "little")
                if size > self.most:
                    raise Unreadable(f"a message of {size} bytes")
                if len(held) - at - HEAD < size:
                    return
                body = bytes(held[at + HEAD : at + HEAD + size])
                at += HEAD + size
                yield read_object(body)
        finally:
            del held[:at]


def read_object(body: bytes) -> Fields:
    """Raises Unreadable on what is no JSON object."""
    try:
        found = _decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise Unreadable(f"no JSON: {fault}") from fault
    if not isinstance(found, dict):
        raise Unreadable(f"no object but {type(found).__name__}")
    return found


def frame(message: Fields) -> bytes:
    body = _encode(message)
    return len(body).to_bytes(HEAD, "little") + body

"""Frames of the platform protocol: a length prefix, and a body of that length that is one JSON object.

The prefix is an unsigned little-endian integer of four bytes.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from ..errors import WillowhookError
from .fields import Fields

LENGTH_BYTES = 4  # size of the length prefix
MAX_MESSAGE_BYTES = 1 << 20  # defined by the protocol

_decode_json = msgspec.json.Decoder().decode
_encode_json = msgspec.json.Encoder().encode


class FramingError(WillowhookError):
    """The bytes that a peer sent cannot be decoded, nor can the bytes that follow them on the connection.

    The peer caused the error, and the connection can no longer be used.
    """


class FrameDecoder:
    """Decodes the byte stream of one connection into messages, regardless of how the network splits it.

    It buffers less than one message of `max_message_bytes`. The limit may be changed between two messages.

    Args:
        max_message_bytes: the limit; a longer message raises FramingError.
    """

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self.max_message_bytes = max_message_bytes
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """The bytes of an incomplete message."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[Fields]:
        """Yields the messages that `data` completes, in order.

        Raises FramingError in place of the first message that cannot be decoded.
        """
        buffer = self._buffer
        position = 0
        buffer += data
        try:
            while len(buffer) - position >= LENGTH_BYTES:
                start = position + LENGTH_BYTES
                size = int.from_bytes(buffer[position:start], "little")
                if size > self.max_message_bytes:
                    raise FramingError(f"a message of {size} bytes exceeds {self.max_message_bytes}")
                if len(buffer) - start < size:
                    return
                body = bytes(buffer[start : start + size])
                position = start + size
                yield decode_object(body)
        finally:
            del buffer[:position]


def decode_object(body: bytes) -> Fields:
    """Decodes one JSON object. Raises FramingError if `body` is not one."""
    try:
        document = _decode_json(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise FramingError(f"invalid JSON: {error}") from error
    if not isinstance(document, dict):
        raise FramingError(f"expected a JSON object, got {type(document).__name__}")
    return document


def encode_frame(message: Fields) -> bytes:
    """Encodes one message, length prefix included."""
    body = _encode_json(message)
    return len(body).to_bytes(LENGTH_BYTES, "little") + body

"""Encodes and decodes xDS messages in proto3 JSON; errors name the place in the input."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from ..ticks import NANOSECONDS_PER_TICK
from . import forms

T = TypeVar("T")
NANOSECONDS_PER_SECOND = 1_000_000_000
encode = msgspec.json.Encoder().encode
_decoders: dict[Any, msgspec.json.Decoder[Any]] = {}


class MessageFormatError(Exception):
    """A message is malformed; the text says what is wrong and where."""


def decode(data: bytes, kind: type[T]) -> T:
    """Decodes one message. Raises MessageFormatError, which names the place in the JSON."""
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.json.Decoder(kind)
    try:
        result: T = decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageFormatError(f"not a {kind.__name__}: {error}") from error
    return result


def encode_response(version: str, type_url: str, nonce: str, resources: list[bytes]) -> bytes:
    """Encodes a `DiscoveryResponse` with resources that are already encoded."""
    raw_resources = [msgspec.Raw(body) for body in resources]
    return encode(forms.DiscoveryResponse(version, type_url, nonce, raw_resources))


def read_response(data: bytes, type_url: str) -> forms.DiscoveryResponse:
    """Decodes a `DiscoveryResponse`. Raises MessageFormatError, also if it is of another resource type."""
    response = decode(data, forms.DiscoveryResponse)
    if response.type_url != type_url:
        raise MessageFormatError(f"type_url is {response.type_url!r}, not {type_url!r}")
    return response


def format_duration(ticks: int) -> str:
    """Formats ticks as a proto3 duration."""
    return format_nanoseconds(ticks * NANOSECONDS_PER_TICK)


def format_nanoseconds(nanoseconds: int) -> str:
    """Formats nanoseconds as a proto3 duration."""
    seconds, remainder = divmod(nanoseconds, NANOSECONDS_PER_SECOND)
    text = f"{seconds}.{remainder:09d}".rstrip("0").rstrip(".")
    return text + "s"


def parse_duration(text: str) -> float:
    """Returns a proto3 duration in seconds. Raises MessageFormatError."""
    try:
        if text.endswith("s"):
            value = float(text[:-1])
            if -1e9 < value < 1e9:
                return value
    except ValueError:
        pass
    raise MessageFormatError(f"not a duration: {text[:40]!r}")

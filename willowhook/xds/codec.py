"""Bytes to forms and back, with errors that name the place."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from ..ticks import NANOSECONDS_PER_TICK
from . import forms

T = TypeVar("T")
NANOS = 1_000_000_000
encode = msgspec.json.Encoder().encode
_decoders: dict[Any, msgspec.json.Decoder[Any]] = {}


class MessageFormatError(Exception):
    """A file that is not the form it should be: what, and where in it."""


def decode(data: bytes, kind: type[T]) -> T:
    """Reads one message; raises FormError with the place in the JSON."""
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.json.Decoder(kind)
    try:
        result: T = decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise MessageFormatError(f"not a {kind.__name__}: {fault}") from fault
    return result


def encode_response(version: str, type_url: str, nonce: str, resources: list[bytes]) -> bytes:
    """One `DiscoveryResponse` around resources that are encoded already."""
    raw = [msgspec.Raw(body) for body in resources]
    return encode(forms.DiscoveryResponse(version, type_url, nonce, raw))


def read_response(data: bytes, type_url: str) -> forms.DiscoveryResponse:
    """The envelope, checked to be of this type."""
    got = decode(data, forms.DiscoveryResponse)
    if got.type_url != type_url:
        raise MessageFormatError(f"type_url is {got.type_url!r}, not {type_url!r}")
    return got


def format_duration(ticks: int) -> str:
    """Ticks as a proto3 duration."""
    return nanos(ticks * NANOSECONDS_PER_TICK)


def nanos(count: int) -> str:
    whole, part = divmod(count, NANOS)
    text = f"{whole}.{part:09d}".rstrip("0").rstrip(".")
    return text + "s"


def parse_duration(text: str) -> float:
    """A proto3 duration in seconds; raises FormError."""
    try:
        if text.endswith("s"):
            value = float(text[:-1])
            if -1e9 < value < 1e9:
                return value
    except ValueError:
        pass
    raise MessageFormatError(f"not a duration: {text[:40]!r}")

"""Converts values between the text of the simulator's wire format and numbers or ticks.

On the wire, times are in seconds and `-` stands for an absent value.
"""

from __future__ import annotations

import base64
import binascii

from ..errors import WillowhookError
from ..ticks import TICKS_PER_SECOND, ticks_from_seconds

ABSENT = "-"


class FieldError(WillowhookError):
    """A field has a value of the wrong type; the error names the field and the value."""

    def __init__(self, field: str, text: str, expected: str) -> None:
        """Takes the wire name of the field, its text and a description of the expected value."""
        super().__init__(f"{field} is {text[:60]!r}, not {expected}")


def parse_integer(field: str, text: str) -> int:
    """Parses an integer. Raises FieldError."""
    try:
        return int(text)
    except ValueError as error:
        raise FieldError(field, text, "an integer") from error


def parse_number(field: str, text: str) -> float:
    """Parses a number. Raises FieldError."""
    try:
        return float(text)
    except ValueError as error:
        raise FieldError(field, text, "a number") from error


def parse_ticks(field: str, text: str) -> int:
    """Parses a time in seconds and rounds it to ticks. Raises FieldError."""
    try:
        return ticks_from_seconds(text)
    except (ValueError, OverflowError) as error:
        raise FieldError(field, text, "a time in seconds") from error


def parse_bytes(field: str, text: str) -> bytes:
    """Decodes base64. Raises FieldError."""
    if text == ABSENT:
        return b""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise FieldError(field, text, "base64") from error


def parse_load_report(field: str, text: str) -> dict[str, float]:
    """Parses a load report such as `busy:0.62,q:3`; names without a number are skipped. Raises FieldError."""
    report: dict[str, float] = {}
    if text == ABSENT:
        return report
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        if value and value != ABSENT:
            report[name] = parse_number(field, value)
    return report


def format_seconds(ticks: int) -> str:
    """Formats ticks as seconds, without loss of precision."""
    seconds, fraction = divmod(ticks, TICKS_PER_SECOND)
    return f"{seconds}.{fraction:04d}"


def format_number(value: float) -> str:
    """Formats a weight or limit with up to six decimals; the wire format allows no exponent."""
    text = f"{value:.6f}".rstrip("0").rstrip(".")
    return text if text else "0"

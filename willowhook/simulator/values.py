"""The values of the simulator's wire: text there, numbers and ticks here.

The wire gives times in seconds and writes `-` for a value that is absent.
"""

from __future__ import annotations

import base64
import binascii

from ..errors import WillowhookError
from ..ticks import TICKS_PER_SECOND, ticks_from_seconds

ABSENT = "-"


class FieldError(WillowhookError):
    """A field has no value of its type; the message names the field and the value."""

    def __init__(self, field: str, text: str, expected: str) -> None:
        """Describes the field by its wire name, its text and what it should have been."""
        super().__init__(f"{field} is {text[:60]!r}, not {expected}")


def parse_integer(field: str, text: str) -> int:
    """Reads a whole number. Raises FieldError."""
    try:
        return int(text)
    except ValueError as error:
        raise FieldError(field, text, "an integer") from error


def parse_number(field: str, text: str) -> float:
    """Reads a number. Raises FieldError."""
    try:
        return float(text)
    except ValueError as error:
        raise FieldError(field, text, "a number") from error


def parse_ticks(field: str, text: str) -> int:
    """Reads a time in seconds as whole ticks, rounded. Raises FieldError."""
    try:
        return ticks_from_seconds(text)
    except (ValueError, OverflowError) as error:
        raise FieldError(field, text, "a time in seconds") from error


def parse_bytes(field: str, text: str) -> bytes:
    """Reads base64. Raises FieldError."""
    if text == ABSENT:
        return b""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise FieldError(field, text, "base64") from error


def parse_load_report(field: str, text: str) -> dict[str, float]:
    """Reads a load report such as `busy:0.62,q:3`; a name without a number is left out. Raises FieldError."""
    report: dict[str, float] = {}
    if text == ABSENT:
        return report
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        if value and value != ABSENT:
            report[name] = parse_number(field, value)
    return report


def format_seconds(ticks: int) -> str:
    """Ticks as seconds, exactly."""
    seconds, fraction = divmod(ticks, TICKS_PER_SECOND)
    return f"{seconds}.{fraction:04d}"


def format_number(value: float) -> str:
    """A weight or a limit with up to six decimals and no exponent, as the wire knows none."""
    text = f"{value:.6f}".rstrip("0").rstrip(".")
    return text if text else "0"

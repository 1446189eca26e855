"""Checks of single fields of decoded JSON objects, as they come from peers.

Every check raises MalformedFieldError on a value that is missing, of another type or out of range.
"""

from __future__ import annotations

from typing import Any

from ..errors import WillowhookError

MAX_TEXT_CHARACTERS = 200
MAX_SHOWN_FIGURE = 1e18  # larger ones are named by their type: an integer may have thousands of digits

Fields = dict[str, Any]  # a JSON object as it was decoded, before its fields are checked


class MalformedFieldError(WillowhookError):
    """A message, or one entry of a message, is malformed; what surrounds it is not affected.

    The peer's fault. The text names the field and what was expected of it.
    """


def read_integer(fields: Fields, key: str, maximum: int) -> int:
    """The integer from 0 to `maximum` that a field holds. Raises MalformedFieldError."""
    value = fields.get(key)
    if type(value) is not int or not 0 <= value <= maximum:
        raise MalformedFieldError(f"{key}: expected an integer from 0 to {maximum}, got {describe(value)}")
    return value


def read_number(fields: Fields, key: str, maximum: float) -> float:
    """The number from 0 to `maximum` that a field holds, integers included. Raises MalformedFieldError."""
    value = fields.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedFieldError(f"{key}: expected a number, got {describe(value)}")
    if not 0 <= value <= maximum:  # refuses infinities and NaN as well
        raise MalformedFieldError(f"{key}: expected a number from 0 to {maximum:g}, got {describe(value)}")
    return float(value)


def read_text(fields: Fields, key: str) -> str:
    """The text that a field holds, neither empty nor over MAX_TEXT_CHARACTERS. Raises MalformedFieldError."""
    value = fields.get(key)
    if type(value) is not str or not 0 < len(value) <= MAX_TEXT_CHARACTERS:
        raise MalformedFieldError(
            f"{key}: expected 1 to {MAX_TEXT_CHARACTERS} characters, got {describe(value)}"
        )
    return value


def read_boolean(fields: Fields, key: str) -> bool:
    """The truth value that a field holds. Raises MalformedFieldError."""
    value = fields.get(key)
    if type(value) is not bool:
        raise MalformedFieldError(f"{key}: expected a boolean, got {describe(value)}")
    return value


def describe(value: object) -> str:
    """A value as an error names it: short, whatever a peer has sent."""
    if value is None:
        return "nothing"
    if isinstance(value, str):
        return f"text of {len(value)} characters"
    if isinstance(value, int | float) and abs(value) < MAX_SHOWN_FIGURE:
        return f"{type(value).__name__} {value}"
    return type(value).__name__

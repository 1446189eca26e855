"""Checks of individual fields of JSON objects received from peers.

Every check raises MalformedFieldError on a value that is missing, of another type or out of range.
"""

from __future__ import annotations

from typing import Any

from ..errors import WillowhookError

MAX_TEXT_CHARACTERS = 200
MAX_QUOTED_NUMBER = 1e18  # larger ones are described by type: an integer may have thousands of digits

Fields = dict[str, Any]  # a decoded JSON object whose fields have not been checked


class MalformedFieldError(WillowhookError):
    """A message, or one entry of a message, is malformed; other messages and entries are not affected.

    The peer caused the error. The message names the field and the expected value.
    """


def read_integer(fields: Fields, key: str, maximum: int) -> int:
    """Returns the value of a field, an integer from 0 to `maximum`. Raises MalformedFieldError."""
    value = fields.get(key)
    if type(value) is not int or not 0 <= value <= maximum:
        raise MalformedFieldError(f"{key}: expected an integer from 0 to {maximum}, got {describe(value)}")
    return value


def read_number(fields: Fields, key: str, maximum: float) -> float:
    """Returns the value of a field, a number from 0 to `maximum`. Raises MalformedFieldError."""
    value = fields.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedFieldError(f"{key}: expected a number, got {describe(value)}")
    if not 0 <= value <= maximum:  # refuses infinities and NaN as well
        raise MalformedFieldError(f"{key}: expected a number from 0 to {maximum:g}, got {describe(value)}")
    return float(value)


def read_text(fields: Fields, key: str) -> str:
    """Returns the value of a field, a string of 1 to MAX_TEXT_CHARACTERS. Raises MalformedFieldError."""
    value = fields.get(key)
    if type(value) is not str or not 0 < len(value) <= MAX_TEXT_CHARACTERS:
        raise MalformedFieldError(
            f"{key}: expected 1 to {MAX_TEXT_CHARACTERS} characters, got {describe(value)}"
        )
    return value


def read_boolean(fields: Fields, key: str) -> bool:
    """Returns the value of a field, a boolean. Raises MalformedFieldError."""
    value = fields.get(key)
    if type(value) is not bool:
        raise MalformedFieldError(f"{key}: expected a boolean, got {describe(value)}")
    return value


def describe(value: object) -> str:
    """Describes a value for an error message, in a few characters whatever the peer has sent."""
    if value is None:
        return "no value"
    if isinstance(value, str):
        return f"a string of {len(value)} characters"
    if isinstance(value, int | float) and abs(value) < MAX_QUOTED_NUMBER:
        return f"{type(value).__name__} {value}"
    return type(value).__name__

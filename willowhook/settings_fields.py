"""Reads and validates fields of a settings document. Errors name the key, the value and the expected type."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from .errors import WillowhookError
from .ticks import TICKS_PER_SECOND, ticks_from_seconds

MAX_NUMBER = 1e12  # no setting is larger; ticks and their products stay exact integers
MIN_POSITIVE_NUMBER = 1e-6  # no setting that has to be over 0 is smaller; its quotients stay finite
MAX_SHOWN_CHARACTERS = 60  # of a value, in an error message

Document = Mapping[str, Any]  # a decoded JSON object


class SettingsError(WillowhookError):
    """The settings document is invalid; the error names the key or the value."""


def read_object(document: Document, key: str) -> Document:
    """Reads an object; an empty one if the key is missing. Raises SettingsError."""
    value = document.get(key)
    return {} if value is None else check_object(key, value)


def check_object(key: str, value: object) -> Document:
    """Returns the value if it is an object. Raises SettingsError."""
    if not isinstance(value, dict):
        raise _unexpected(key, "an object", value)
    return value


def read_objects(document: Document, key: str) -> list[Document]:
    """Reads a required, non-empty list of objects. Raises SettingsError."""
    value = _required(document, key)
    if not isinstance(value, list) or not value:
        raise _unexpected(key, "a list of objects", value)
    return [check_object(f"{key}[{index}]", element) for index, element in enumerate(value)]


def read_string(document: Document, key: str) -> str:
    """Reads a required string. Raises SettingsError."""
    value = _required(document, key)
    if not isinstance(value, str):
        raise _unexpected(key, "a string", value)
    return value


def read_strings(document: Document, key: str) -> tuple[str, ...]:
    """Reads a list of strings; an empty one if the key is missing. Raises SettingsError."""
    value = document.get(key)
    if value is None:
        return ()
    if not isinstance(value, list) or not all(isinstance(element, str) for element in value):
        raise _unexpected(key, "a list of strings", value)
    return tuple(value)


def read_boolean(document: Document, key: str) -> bool:
    """Reads a boolean; false if the key is missing. Raises SettingsError."""
    value = document.get(key)
    if value is not None and not isinstance(value, bool):
        raise _unexpected(key, "a boolean", value)
    return bool(value)


def read_booleans(document: Document, key: str) -> list[bool]:
    """Reads a list of booleans; an empty one if the key is missing. Raises SettingsError."""
    value = document.get(key)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(element, bool) for element in value):
        raise _unexpected(key, "a list of booleans", value)
    return value


def read_number(document: Document, key: str, default: float | None = None) -> float:
    """Reads a finite number that is not negative. Raises SettingsError.

    Args:
        document: the object that contains the key.
        key: the key.
        default: the result if the key is missing; None if the key is required.
    """
    value = document.get(key)
    if value is None:
        if default is None:
            raise SettingsError(f"{key} is missing")
        return float(default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _unexpected(key, "a number", value)
    if not 0 <= value <= MAX_NUMBER or math.isnan(value):
        raise _unexpected(key, f"a number from 0 to {MAX_NUMBER:.0e}", value)
    return float(value)


def read_positive_number(document: Document, key: str) -> float:
    """Reads a required number over 0, of at least MIN_POSITIVE_NUMBER. Raises SettingsError."""
    number = read_number(document, key)
    if number <= 0:
        raise _unexpected(key, "a number over 0", document[key])
    if number < MIN_POSITIVE_NUMBER:
        raise _unexpected(key, f"at least {MIN_POSITIVE_NUMBER:g}", document[key])
    return number


def read_integer(document: Document, key: str, default: int) -> int:
    """Reads an integer that is not negative. Raises SettingsError."""
    number = read_number(document, key, default)
    if not number.is_integer():
        raise _unexpected(key, "an integer", document[key])
    return int(number)


def read_ticks(document: Document, key: str, default_seconds: float | None = None) -> int:
    """Reads a time in seconds and converts it to ticks. Raises SettingsError."""
    return ticks_from_seconds(read_number(document, key, default_seconds))


def read_positive_ticks(document: Document, key: str) -> int:
    """Reads a required time of at least one tick, in seconds. Returns it in ticks. Raises SettingsError."""
    ticks = ticks_from_seconds(read_positive_number(document, key))
    if ticks == 0:
        raise _unexpected(key, f"at least {1 / TICKS_PER_SECOND:g} seconds", document[key])
    return ticks


def _required(document: Document, key: str) -> Any:
    value = document.get(key)
    if value is None:
        raise SettingsError(f"{key} is missing")
    return value


def _unexpected(key: str, expected: str, value: object) -> SettingsError:
    try:
        shown = repr(value)
    except (ValueError, RecursionError):  # integers of thousands of digits cannot be formatted
        shown = "a value too large to show"
    if len(shown) > MAX_SHOWN_CHARACTERS:
        shown = shown[:MAX_SHOWN_CHARACTERS] + "..."
    return SettingsError(f"{key}: expected {expected}, got {shown} ('{type(value).__name__}' object)")

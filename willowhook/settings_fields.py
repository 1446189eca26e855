"""Reads single fields of a settings document; an error names the key, the value and what was expected."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from .errors import WillowhookError
from .ticks import ticks_from_seconds

MAX_NUMBER = 1e12  # larger ones are no settings; ticks and products of them stay exact integers
MAX_SHOWN_CHARACTERS = 60

Document = Mapping[str, Any]  # a JSON object as it was decoded


class SettingsError(WillowhookError):
    """The settings document is of no use; the message names the key or the value."""


def read_object(document: Document, key: str) -> Document:
    """An object; an empty one if the key is missing. Raises SettingsError."""
    value = document.get(key)
    return {} if value is None else check_object(key, value)


def check_object(key: str, value: object) -> Document:
    """The value as an object. Raises SettingsError."""
    if not isinstance(value, dict):
        raise _unexpected(key, "an object", value)
    return value


def read_objects(document: Document, key: str) -> list[Document]:
    """A list of objects, which has to be there. Raises SettingsError."""
    value = _required(document, key)
    if not isinstance(value, list) or not value:
        raise _unexpected(key, "a list of objects", value)
    return [check_object(f"{key}[{index}]", row) for index, row in enumerate(value)]


def read_string(document: Document, key: str) -> str:
    """A text, which has to be there. Raises SettingsError."""
    value = _required(document, key)
    if not isinstance(value, str):
        raise _unexpected(key, "a text", value)
    return value


def read_strings(document: Document, key: str) -> tuple[str, ...]:
    """A list of texts; an empty one if the key is missing. Raises SettingsError."""
    value = document.get(key)
    if value is None:
        return ()
    if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
        raise _unexpected(key, "a list of texts", value)
    return tuple(value)


def read_boolean(document: Document, key: str) -> bool:
    """True or false; false if the key is missing. Raises SettingsError."""
    value = document.get(key)
    if value is not None and not isinstance(value, bool):
        raise _unexpected(key, "true or false", value)
    return bool(value)


def read_booleans(document: Document, key: str) -> list[bool]:
    """A list of true and false; an empty one if the key is missing. Raises SettingsError."""
    value = document.get(key)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(each, bool) for each in value):
        raise _unexpected(key, "a list of true and false", value)
    return value


def read_number(document: Document, key: str, default: float | None = None) -> float:
    """A finite number that is not negative. Raises SettingsError.

    Args:
        document: the object with the key.
        key: the key.
        default: the number if the key is missing; None: it has to be there.
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
    """A finite number over 0, which has to be there. Raises SettingsError."""
    number = read_number(document, key)
    if number <= 0:
        raise _unexpected(key, "a number over 0", document[key])
    return number


def read_integer(document: Document, key: str, default: int) -> int:
    """A whole number that is not negative. Raises SettingsError."""
    number = read_number(document, key, default)
    if not number.is_integer():
        raise _unexpected(key, "a whole number", document[key])
    return int(number)


def read_ticks(document: Document, key: str, default_seconds: float | None = None) -> int:
    """A time of so many seconds, in ticks. Raises SettingsError."""
    return ticks_from_seconds(read_number(document, key, default_seconds))


def read_positive_ticks(document: Document, key: str) -> int:
    """A time over 0, which has to be there, in ticks. Raises SettingsError."""
    return ticks_from_seconds(read_positive_number(document, key))


def _required(document: Document, key: str) -> Any:
    value = document.get(key)
    if value is None:
        raise SettingsError(f"{key} is missing")
    return value


def _unexpected(key: str, expected: str, value: object) -> SettingsError:
    try:
        shown = repr(value)
    except (ValueError, RecursionError):  # an integer of thousands of digits has no text
        shown = "a value too large to show"
    if len(shown) > MAX_SHOWN_CHARACTERS:
        shown = shown[:MAX_SHOWN_CHARACTERS] + "..."
    return SettingsError(f"{key}: expected {expected}, got {shown} ('{type(value).__name__}' object)")

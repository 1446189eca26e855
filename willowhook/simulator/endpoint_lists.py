"""Parses the endpoint lists of the simulator: REGISTER, its ENTRY lines, and ROSTER_CHANGE.

A list is registered once for all instances under a number, and the changes that instances receive refer to
that number. A number may be registered again for a later list.
"""

from __future__ import annotations

from collections.abc import Iterator

from ..decisions.events import EndpointEntry, EndpointListLost, EndpointListReceived, EndpointState
from .messages import MalformedMessageError
from .values import ABSENT, parse_integer, parse_number, parse_ticks

REGISTER_FIELDS = 3
ENTRY_FIELDS = 8
ENDPOINT_STATES = {
    "in_service": EndpointState.IN_SERVICE,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
CHANGES_ONLY, LOST = "incr", "lost"
LIST_CHANGE_TYPES = frozenset((CHANGES_ONLY, "total", "warm_copy", LOST))
DEFAULT_STARTED_AT = 0  # tick, for endpoints listed without a start time: they started long ago
DEFAULT_WEIGHT = 1.0


class RegisteredList:
    """The entries of one registered list, decoded when an instance first receives the list."""

    def __init__(self, entry_fields: list[list[str]]) -> None:
        """Stores the fields of the ENTRY lines."""
        self._entry_fields = entry_fields
        self._entries: tuple[EndpointEntry, ...] | None = None

    def entries(self) -> tuple[EndpointEntry, ...]:
        """Returns the entries in list order. Raises FieldError."""
        if self._entries is None:
            self._entries = tuple(_parse_entry(fields) for fields in self._entry_fields)
        return self._entries


class EndpointListRegistry:
    """The currently registered lists, by number."""

    def __init__(self) -> None:
        """Starts with no registered list."""
        self._lists: dict[str, RegisteredList] = {}

    def register(self, fields: list[str], lines: Iterator[str]) -> None:
        """Parses REGISTER and reads its ENTRY lines from the input.

        Raises MalformedMessageError, FieldError.
        """
        if len(fields) < REGISTER_FIELDS:
            raise MalformedMessageError(
                f"REGISTER has {len(fields) - 1} values, expected {REGISTER_FIELDS - 1}"
            )
        count = parse_integer("members", fields[2])
        self._lists[fields[1]] = RegisteredList([_split_entry(next(lines, "")) for _ in range(count)])

    def parse_change(self, fields: list[str]) -> EndpointListReceived | EndpointListLost:
        """Parses ROSTER_CHANGE. Raises MalformedMessageError, FieldError."""
        _, _, _, number, change_type = fields
        if change_type not in LIST_CHANGE_TYPES:
            raise MalformedMessageError(f"ROSTER_CHANGE: unknown change type {change_type!r}")
        if change_type == LOST:
            return EndpointListLost()
        if number not in self._lists:
            raise MalformedMessageError(f"ROSTER_CHANGE: list {number} is not registered")
        return EndpointListReceived(change_type != CHANGES_ONLY, self._lists[number].entries())


def _split_entry(line: str) -> list[str]:
    fields = line.rstrip("\r\n").split("\t")
    if len(fields) != ENTRY_FIELDS or fields[0] != "ENTRY" or fields[2] not in ENDPOINT_STATES:
        raise MalformedMessageError(f"malformed ENTRY: {line.rstrip()[:120]}")
    return fields


def _parse_entry(fields: list[str]) -> EndpointEntry:
    _, name, state, started_at, _, weight, endpoint_class, zone = fields
    return EndpointEntry(
        name=name,
        state=ENDPOINT_STATES[state],
        started_at=DEFAULT_STARTED_AT if started_at == ABSENT else parse_ticks("ready-at", started_at),
        listed_weight=DEFAULT_WEIGHT if weight == ABSENT else parse_number("size", weight),
        endpoint_class=endpoint_class,
        zone=zone,
    )

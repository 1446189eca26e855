"""The endpoint lists on the simulator's wire: REGISTER, its ENTRY lines, and ROSTER_CHANGE.

A list is registered once for all instances under a number, which is used again later; the changes that
instances receive refer to it.
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
DEFAULT_STARTED_AT = 0  # ticks: the start of an endpoint that the list gives none for
DEFAULT_WEIGHT = 1.0


class RegisteredList:
    """The entries of one registered list, decoded when the first instance receives them."""

    def __init__(self, rows: list[list[str]]) -> None:
        """Keeps the fields of the ENTRY lines."""
        self._rows = rows
        self._entries: tuple[EndpointEntry, ...] | None = None

    def entries(self) -> tuple[EndpointEntry, ...]:
        """The entries in the order of the list. Raises FieldError."""
        if self._entries is None:
            self._entries = tuple(_parse_entry(row) for row in self._rows)
        return self._entries


class EndpointListRegistry:
    """The lists that are registered at present, by their number."""

    def __init__(self) -> None:
        """Starts without a list."""
        self._lists: dict[str, RegisteredList] = {}

    def register(self, fields: list[str], lines: Iterator[str]) -> None:
        """Reads REGISTER and takes its ENTRY lines from the input.

        Raises MalformedMessageError, FieldError.
        """
        if len(fields) < REGISTER_FIELDS:
            raise MalformedMessageError(f"REGISTER has {len(fields) - 1} values, not {REGISTER_FIELDS - 1}")
        count = parse_integer("members", fields[2])
        self._lists[fields[1]] = RegisteredList([_split_entry(next(lines, "")) for _ in range(count)])

    def parse_change(self, fields: list[str]) -> EndpointListReceived | EndpointListLost:
        """Reads ROSTER_CHANGE. Raises MalformedMessageError, FieldError."""
        _, _, _, number, form = fields
        if form not in LIST_CHANGE_TYPES:
            raise MalformedMessageError(f"ROSTER_CHANGE: unknown form {form!r}")
        if form == LOST:
            return EndpointListLost()
        if number not in self._lists:
            raise MalformedMessageError(f"ROSTER_CHANGE: no REGISTER {number}")
        return EndpointListReceived(form != CHANGES_ONLY, self._lists[number].entries())


def _split_entry(line: str) -> list[str]:
    fields = line.rstrip("\r\n").split("\t")
    if len(fields) != ENTRY_FIELDS or fields[0] != "ENTRY" or fields[2] not in ENDPOINT_STATES:
        raise MalformedMessageError(f"not an ENTRY: {line.rstrip()[:120]}")
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

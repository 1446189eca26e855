"""The platform's endpoint list: request targets, and decoding of the answers of service discovery.

A controller's configuration contains a copy of the list, in the format of an answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..decisions.events import EndpointEntry, EndpointListReceived, EndpointState
from ..ticks import ticks_from_milliseconds
from .fields import Fields, MalformedFieldError, describe, read_boolean, read_integer, read_number, read_text

LIST_PATH = "/v1/servers"
STATES = {
    "active": EndpointState.IN_SERVICE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
MAX_VERSION = 1 << 62
EMPTY_LIST: Fields = {"seq": 0, "whole": True, "hosts": []}  # an answer with an empty list
MAX_START_TIME_MS = 1e15  # since the Unix epoch
MAX_LISTED_WEIGHT = 1e9


def list_request_target() -> str:
    """The request target for the complete list, which the server answers immediately."""
    return LIST_PATH


def change_request_target(version: int, wait_ms: int) -> str:
    """The request target for the changes after a version; the server waits `wait_ms` milliseconds for one."""
    return f"{LIST_PATH}?after={version}&wait_ms={wait_ms}"


@dataclass(frozen=True, slots=True)
class _DecodedEntries:
    by_name: dict[str, EndpointEntry]
    unidentified_count: int  # number of malformed entries that name no known endpoint


class EndpointListDecoder:
    """Decodes successive answers of service discovery, and refuses implausible ones.

    A malformed entry is replaced by the last valid entry of its endpoint, because a malformed field is no
    reason to remove an endpoint. A complete list is refused if it is older than the last one or has entries
    that name no known endpoint, unless the previous answer was such a list as well.

    Attributes:
        version: the version of the last list that was accepted; None if there is none yet.
        malformed_entries: number of malformed entries in all answers.
    """

    def __init__(self) -> None:
        self.version: int | None = None
        self.malformed_entries = 0
        self._was_last_implausible = False  # last answer: a complete list, older or perhaps lacking endpoints
        self._last_valid_entries: dict[str, EndpointEntry] = {}

    def decode(self, answer: Fields) -> EndpointListReceived:
        """Decodes an answer. Raises MalformedFieldError if it is malformed or implausible as a whole."""
        version = read_integer(answer, "seq", MAX_VERSION)
        is_complete = read_boolean(answer, "whole")
        listed = answer.get("hosts")
        if type(listed) is not list:
            raise MalformedFieldError(f"hosts: expected a list, got {describe(listed)}")
        if self._is_older(version) and not is_complete and not listed:
            return EndpointListReceived(False, ())  # no changes, from a discovery replica with an older list
        entries = self._decode_entries(listed)
        self._check_plausibility(version, is_complete, entries.unidentified_count, len(listed))
        self.version = version
        self._record_entries(is_complete, entries.by_name)
        return EndpointListReceived(is_complete, tuple(entries.by_name.values()))

    def _is_older(self, version: int) -> bool:
        return self.version is not None and version < self.version

    def _decode_entries(self, listed: list[Any]) -> _DecodedEntries:
        entries: dict[str, EndpointEntry] = {}
        unidentified_count = 0
        for fields in listed:
            try:
                entry = _decode_entry(fields)
            except MalformedFieldError:
                self.malformed_entries += 1
                known = self._find_last_valid_entry(fields)
                if known is None:
                    unidentified_count += 1
                    continue
                entry = known
            entries[entry.name] = entry
        return _DecodedEntries(entries, unidentified_count)

    def _find_last_valid_entry(self, fields: Any) -> EndpointEntry | None:
        name = fields.get("host") if type(fields) is dict else None
        return self._last_valid_entries.get(name) if type(name) is str else None

    def _check_plausibility(
        self, version: int, is_complete: bool, unidentified_count: int, entry_count: int
    ) -> None:
        """Raises MalformedFieldError if the list is older, or is complete and may lack endpoints."""
        is_older = self._is_older(version)
        is_repeated = self._was_last_implausible
        self._was_last_implausible = is_complete and (is_older or unidentified_count > 0)
        if is_older and not (is_complete and is_repeated):
            raise MalformedFieldError(f"seq: {version} is older than {self.version}")
        if is_complete and unidentified_count and (not is_repeated or 2 * unidentified_count >= entry_count):
            raise MalformedFieldError(
                f"hosts: {unidentified_count} of {entry_count} entries name no known endpoint"
            )

    def _record_entries(self, is_complete: bool, entries: dict[str, EndpointEntry]) -> None:
        if is_complete:
            self._last_valid_entries = {}
        for name, entry in entries.items():
            if entry.state is EndpointState.REMOVED:
                self._last_valid_entries.pop(name, None)
            else:
                self._last_valid_entries[name] = entry


def _decode_entry(fields: Any) -> EndpointEntry:
    if type(fields) is not dict:
        raise MalformedFieldError(f"entry: expected an object, got {describe(fields)}")
    state = STATES.get(read_text(fields, "health"))
    if state is None:
        raise MalformedFieldError("health: unknown state")
    return EndpointEntry(
        started_at=ticks_from_milliseconds(read_number(fields, "born_ms", MAX_START_TIME_MS)),
        listed_weight=read_number(fields, "share", MAX_LISTED_WEIGHT),
        name=read_text(fields, "host"),
        state=state,
        endpoint_class=read_text(fields, "class"),
        zone=read_text(fields, "site"),
    )

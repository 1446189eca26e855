"""The platform's endpoint list: how it is requested, and how an answer of discovery is decoded.

A controller's configuration brings a copy of the list, in the form of an answer.
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
EMPTY_LIST: Fields = {"seq": 0, "whole": True, "hosts": []}  # an answer that lists nothing
MAX_START_TIME_MS = 1e15  # since the Unix epoch
MAX_LISTED_WEIGHT = 1e9


def list_request_target() -> str:
    """The request target that gets the complete list at once."""
    return LIST_PATH


def change_request_target(version: int, wait_ms: int) -> str:
    """The request target that gets what is newer than a version, within `wait_ms` milliseconds."""
    return f"{LIST_PATH}?after={version}&wait_ms={wait_ms}"


@dataclass(frozen=True, slots=True)
class _DecodedEntries:
    by_name: dict[str, EndpointEntry]
    unidentified_count: int  # malformed entries that belong to no known endpoint


class EndpointListDecoder:
    """Decodes answers of discovery, one after the other, and refuses implausible ones.

    A malformed entry stands for what was last known of its endpoint: a bad field is no reason to take an
    endpoint out. A complete list is refused if it is older than the last one or has entries that name no
    known endpoint, unless the next answer is such a list as well.

    Attributes:
        version: of the newest list that was accepted; None: there was none yet.
        malformed_entries: how many were met, in all answers.
    """

    def __init__(self) -> None:
        self.version: int | None = None
        self.malformed_entries = 0
        self._is_doubtful = False  # the last answer was a complete list that is older, or lacks endpoints
        self._known: dict[str, EndpointEntry] = {}

    def decode(self, answer: Fields) -> EndpointListReceived:
        """Decodes an answer. Raises MalformedFieldError if it is malformed or implausible as a whole."""
        version = read_integer(answer, "seq", MAX_VERSION)
        is_complete = read_boolean(answer, "whole")
        listed = answer.get("hosts")
        if type(listed) is not list:
            raise MalformedFieldError(f"hosts: expected a list, got {describe(listed)}")
        if self._is_older(version) and not is_complete and not listed:
            return EndpointListReceived(False, ())  # no changes, from a replica that lags behind
        entries = self._decode_entries(listed)
        self._check_plausibility(version, is_complete, entries.unidentified_count, len(listed))
        self.version = version
        self._remember(is_complete, entries.by_name)
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
                known = self._find_known(fields)
                if known is None:
                    unidentified_count += 1
                    continue
                entry = known
            entries[entry.name] = entry
        return _DecodedEntries(entries, unidentified_count)

    def _find_known(self, fields: Any) -> EndpointEntry | None:
        name = fields.get("host") if type(fields) is dict else None
        return self._known.get(name) if type(name) is str else None

    def _check_plausibility(
        self, version: int, is_complete: bool, unidentified_count: int, entry_count: int
    ) -> None:
        """Raises MalformedFieldError on an older list, and on a complete one whose gaps say nothing."""
        is_older = self._is_older(version)
        is_repeated = self._is_doubtful
        self._is_doubtful = is_complete and (is_older or unidentified_count > 0)
        if is_older and not (is_complete and is_repeated):
            raise MalformedFieldError(f"seq: {version} after {self.version}")
        if is_complete and unidentified_count and (not is_repeated or 2 * unidentified_count >= entry_count):
            raise MalformedFieldError(
                f"hosts: {unidentified_count} of {entry_count} entries name no known endpoint"
            )

    def _remember(self, is_complete: bool, entries: dict[str, EndpointEntry]) -> None:
        if is_complete:
            self._known = {}
        for name, entry in entries.items():
            if entry.state is EndpointState.REMOVED:
                self._known.pop(name, None)
            else:
                self._known[name] = entry


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

"""The platform's list of hosts: an answer of discovery, or the copy that a configuration brings along."""

from __future__ import annotations

from typing import Any

from ..decisions.events import EndpointEntry, EndpointListReceived, EndpointState
from .framing import Fields, Spoilt
from .messages import figure, whole, word

STATES = {
    "active": EndpointState.IN_SERVICE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
VERSIONS, BORN_MS, SHARE = 1 << 62, 1e15, 1e9


class Listing:
    """Follows the list: every answer gives the version, whether it is whole, and its rows.

    An entry that is spoilt keeps what was last known of its host: it is no reason to take a host out.  Nor
    is an answer that is older than what is held, or has entries without names, unless it comes so twice.
    """

    def __init__(self) -> None:
        self.seq = -1  # of the newest answer; -1: none yet
        self.spoilt = 0
        self._doubted = False  # the last answer was a whole list that is older, or lacks names
        self._rows: dict[str, EndpointEntry] = {}

    def read(self, answer: Fields) -> EndpointListReceived:
        """Whether the rows are the whole list, and the rows.  Raises Spoilt on an answer of no use."""
        seq, full, entries = whole(answer, "seq", VERSIONS), answer.get("whole"), answer.get("hosts")
        if type(full) is not bool:
            raise Spoilt("whole")
        if type(entries) is not list:
            raise Spoilt("hosts")
        if seq < self.seq and not full and not entries:
            return EndpointListReceived(False, ())  # nothing new, by a discovery that is behind
        rows: dict[str, EndpointEntry] = {}
        nameless = 0
        for entry in entries:
            try:
                row = self._row(entry)
            except Spoilt:
                self.spoilt += 1
                name = entry.get("host") if type(entry) is dict else None
                kept = self._rows.get(name) if type(name) is str else None
                if kept is None:
                    nameless += 1
                    continue
                row = kept
            rows[row.name] = row
        again, self._doubted = self._doubted, full and (seq < self.seq or nameless > 0)
        if seq < self.seq and not (full and again):
            raise Spoilt(f"seq: {seq} after {self.seq}")
        if full and nameless and (not again or 2 * nameless >= len(entries)):
            raise Spoilt(f"hosts: {nameless} of {len(entries)} entries")  # whose absence says nothing
        self.seq = seq
        if full:
            self._rows = {}
        for name, row in rows.items():
            if row.state is EndpointState.REMOVED:
                self._rows.pop(name, None)
            else:
                self._rows[name] = row
        return EndpointListReceived(full, tuple(rows.values()))

    @staticmethod
    def _row(entry: Any) -> EndpointEntry:
        if type(entry) is not dict:
            raise Spoilt("entry")
        state = STATES.get(word(entry, "health"))
        if state is None:
            raise Spoilt("health")
        born = figure(entry, "born_ms", BORN_MS)
        size = figure(entry, "share", SHARE)
        return EndpointEntry(
            word(entry, "host"),
            state,
            round(born * 10),
            size,
            word(entry, "class"),
            word(entry, "site"),
        )

"""Quarantine of proxies that repeatedly send malformed reports; the start of a malformed report is kept.

Only the reports of such a proxy are skipped: it is still served, and its acknowledgements count. A quarantine
begins after three malformed reports in a row or five within a minute. After it, the next report decides: a
malformed one begins another quarantine of twice the duration, from five seconds up to a minute; a well-formed
one drops the proxy's record, so that the duration starts at five seconds again. Without a quarantine, the
first well-formed report after a minute without malformed ones drops the record. Times are ticks.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from ..ticks import TICKS_PER_SECOND

MALFORMED_IN_A_ROW = 3
MALFORMED_IN_WINDOW = 5
MALFORMED_WINDOW_TICKS = 60 * TICKS_PER_SECOND
MIN_QUARANTINE_TICKS = 5 * TICKS_PER_SECOND
MAX_QUARANTINE_TICKS = 60 * TICKS_PER_SECOND
EVIDENCE_BYTES = 200  # of the malformed report, passed to the listener


class QuarantineListener(Protocol):
    """Notified of the beginning and the end of each quarantine."""

    def quarantined(self, proxy: str, duration: int, cause: str, evidence: bytes) -> None:
        """Called when the reports of a proxy are skipped for `duration` ticks from now."""

    def released(self, proxy: str) -> None:
        """Called when the reports of a proxy are processed again."""


@dataclass(slots=True)
class _MalformedRecord:
    in_a_row: int = 0
    malformed_times: deque[int] = field(default_factory=deque)
    quarantined_until: int | None = None
    duration: int = 0  # of the last quarantine


class Quarantine:
    """Counts the malformed reports of each proxy and decides whose reports are skipped.

    Attributes:
        skipped: the number of reports that were skipped.
    """

    def __init__(self, listener: QuarantineListener) -> None:
        """Creates it without any malformed report on record."""
        self._listener = listener
        self._records: dict[str, _MalformedRecord] = {}  # by proxy, if it sent malformed reports recently
        self.skipped = 0

    def should_skip(self, now: int, proxy: str) -> bool:
        """Whether to skip a report of a proxy; counts the report as skipped if so."""
        record = self._records.get(proxy)
        if record is None or record.quarantined_until is None:
            return False
        if now < record.quarantined_until:
            self.skipped += 1
            return True
        self._release(proxy, record)
        return False

    def record_malformed(self, now: int, proxy: str, cause: str, data: bytes) -> None:
        """Records a malformed report."""
        record = self._records.setdefault(proxy, _MalformedRecord())
        record.in_a_row += 1
        record.malformed_times.append(now)
        while record.malformed_times and record.malformed_times[0] <= now - MALFORMED_WINDOW_TICKS:
            record.malformed_times.popleft()
        is_due = record.in_a_row >= MALFORMED_IN_A_ROW or len(record.malformed_times) >= MALFORMED_IN_WINDOW
        if record.quarantined_until is None and is_due:
            doubled = max(MIN_QUARANTINE_TICKS, 2 * record.duration)
            record.duration = min(doubled, MAX_QUARANTINE_TICKS)
            record.quarantined_until = now + record.duration
            self._listener.quarantined(proxy, record.duration, cause, data[:EVIDENCE_BYTES])

    def record_valid(self, now: int, proxy: str) -> None:
        """Records a well-formed report."""
        record = self._records.get(proxy)
        if record is not None:
            record.in_a_row = 0
            if not record.malformed_times or record.malformed_times[-1] <= now - MALFORMED_WINDOW_TICKS:
                del self._records[proxy]

    def release_due(self, now: int) -> None:
        """Releases proxies whose quarantine is over, even if they send nothing."""
        for proxy, record in list(self._records.items()):
            if record.quarantined_until is not None and record.quarantined_until <= now:
                self._release(proxy, record)

    def remove_proxy(self, proxy: str) -> None:
        """Drops the record of a proxy that left, unless it is in quarantine: it may reconnect."""
        record = self._records.get(proxy)
        if record is not None and record.quarantined_until is None:
            del self._records[proxy]

    def _release(self, proxy: str, record: _MalformedRecord) -> None:
        record.quarantined_until = None
        record.in_a_row = MALFORMED_IN_A_ROW - 1  # one more malformed report begins the next quarantine
        record.malformed_times.clear()
        self._listener.released(proxy)

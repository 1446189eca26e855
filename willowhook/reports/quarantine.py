"""Quarantine of proxies whose reports are malformed again and again; what they sent is kept as evidence.

Only their reports are left out: they are served, and what they apply counts. A quarantine begins after some
malformed reports in a row, or more within a minute, and doubles each time up to a minute. After a minute of
well-formed reports it is forgotten. Times are ticks.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from ..ticks import TICKS_PER_SECOND

FAULTS_IN_A_ROW = 3
FAULTS_IN_WINDOW = 5
FAULT_WINDOW_TICKS = 60 * TICKS_PER_SECOND
MIN_QUARANTINE_TICKS = 5 * TICKS_PER_SECOND
MAX_QUARANTINE_TICKS = 60 * TICKS_PER_SECOND
EVIDENCE_BYTES = 200


class QuarantineListener(Protocol):
    """Is notified of the beginning and the end of each quarantine."""

    def quarantined(self, proxy: str, duration: int, cause: str, evidence: bytes) -> None:
        """Called when the reports of a proxy are left out for `duration` ticks."""

    def released(self, proxy: str) -> None:
        """Called when the reports of a proxy are processed again."""


@dataclass(slots=True)
class _FaultRecord:
    in_a_row: int = 0
    fault_times: deque[int] = field(default_factory=deque)
    quarantined_until: int | None = None
    duration: int = 0  # of the last quarantine


class Quarantine:
    """Keeps the faults of each proxy.

    Attributes:
        skipped: the number of reports that were left out.
    """

    def __init__(self, listener: QuarantineListener) -> None:
        """Starts without a fault."""
        self._listener = listener
        self._records: dict[str, _FaultRecord] = {}  # by proxy, of those with recent faults
        self.skipped = 0

    def should_skip(self, now: int, proxy: str) -> bool:
        """Whether to leave out a report of a proxy, which is counted then."""
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
        record = self._records.setdefault(proxy, _FaultRecord())
        record.in_a_row += 1
        record.fault_times.append(now)
        while record.fault_times and record.fault_times[0] <= now - FAULT_WINDOW_TICKS:
            record.fault_times.popleft()
        is_due = record.in_a_row >= FAULTS_IN_A_ROW or len(record.fault_times) >= FAULTS_IN_WINDOW
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
            if not record.fault_times or record.fault_times[-1] <= now - FAULT_WINDOW_TICKS:
                del self._records[proxy]

    def release_due(self, now: int) -> None:
        """Releases proxies whose quarantine is over, also if nothing comes from them."""
        for proxy, record in list(self._records.items()):
            if record.quarantined_until is not None and record.quarantined_until <= now:
                self._release(proxy, record)

    def remove_proxy(self, proxy: str) -> None:
        """Drops the record of a proxy that has left, but for a quarantine: it may come again."""
        record = self._records.get(proxy)
        if record is not None and record.quarantined_until is None:
            del self._records[proxy]

    def _release(self, proxy: str, record: _FaultRecord) -> None:
        record.quarantined_until = None
        record.in_a_row = FAULTS_IN_A_ROW - 1  # one more fault begins the next quarantine
        record.fault_times.clear()
        self._listener.released(proxy)

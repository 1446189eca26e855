"""Proxies whose reports are bad again and again: not looked at for a while, with what they sent as evidence.

Nothing but their reports is left aside: they are served, and what they apply counts.  A rest begins after
three bad reports on end, or five within a minute, is five seconds and doubles each time up to a minute; a
minute of good ones and it is forgotten.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from ..ticks import TICKS_PER_SECOND

ON_END, WITHIN, LONG = 3, 5, 60 * TICKS_PER_SECOND
REST, MOST_REST = 5 * TICKS_PER_SECOND, 60 * TICKS_PER_SECOND
EVIDENCE = 200  # bytes


class Ear(Protocol):
    def quarantined(self, proxy: str, rest: int, cause: str, evidence: bytes) -> None: ...
    def released(self, proxy: str) -> None: ...


@dataclass(slots=True)
class Record:
    on_end: int = 0
    bad: deque[int] = field(default_factory=deque)  # when
    until: int = -1  # it rests
    rest: int = 0  # the last one


class Quarantine:
    def __init__(self, ear: Ear) -> None:
        self._ear = ear
        self._records: dict[str, Record] = {}  # of proxies that were bad lately
        self.left_aside = 0

    def rests(self, now: int, proxy: str) -> bool:
        record = self._records.get(proxy)
        if record is None or record.until < 0:
            return False
        if now < record.until:
            self.left_aside += 1
            return True
        self._release(proxy, record)
        return False

    def _release(self, proxy: str, record: Record) -> None:
        record.until, record.on_end = -1, ON_END - 1  # one more bad one, and it rests again
        record.bad.clear()
        self._ear.released(proxy)

    def bad(self, now: int, proxy: str, cause: str, data: bytes) -> None:
        record = self._records.setdefault(proxy, Record())
        record.on_end += 1
        record.bad.append(now)
        while record.bad and record.bad[0] <= now - LONG:
            record.bad.popleft()
        if record.until < 0 and (record.on_end >= ON_END or len(record.bad) >= WITHIN):
            record.rest = min(max(REST, 2 * record.rest), MOST_REST)
            record.until = now + record.rest
            self._ear.quarantined(proxy, record.rest, cause, data[:EVIDENCE])

    def good(self, now: int, proxy: str) -> None:
        record = self._records.get(proxy)
        if record is not None:
            record.on_end = 0
            if not record.bad or record.bad[-1] <= now - LONG:
                del self._records[proxy]

    def look(self, now: int) -> None:
        """Releases whose rest is over, also if nothing comes from them."""
        for proxy, record in list(self._records.items()):
            if 0 <= record.until <= now:
                self._release(proxy, record)

    def forget(self, proxy: str) -> None:
        """It has left: a rest stays, as one that comes again is the same."""
        record = self._records.get(proxy)
        if record is not None and record.until < 0:
            del self._records[proxy]

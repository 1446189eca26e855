"""Reports on their way to the decisions: what arrives waits here, and is looked at as there is room.

The reading tasks `offer`; the deciding task calls `work` between its moments, for a few milliseconds at most,
and `look` now and then.  Nothing here waits.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

from ..config.terms import IntakeTerms
from ..records.writer import Records
from ..reports.budget import ReportBudget
from ..reports.quarantine import Quarantine
from ..reports.queue import ReportQueue
from ..reports.sums import Heard, ReportSums
from .intake import Intake

SECOND = 10_000
LOOK = SECOND  # between looks at the pace


class Ear(Protocol):
    def now(self) -> int: ...
    def wake_up(self) -> None: ...
    def mode(self, name: str, on: bool, text: str, **parts: Any) -> None: ...
    def ask_every(self, interval: int) -> None: ...


class ReportDesk:
    """`per_s`, `every`: the stated rate of reports, and the interval of proxies by themselves; `lost_after`:
    how long one may say nothing.
    """

    def __init__(
        self, terms: IntakeTerms, per_s: float, every: int, lost_after: int, ear: Ear, intake: Intake,
        heard: Heard, records: Records, log: Any, draw: Callable[[int], int],
    ) -> None:  # fmt: skip
        self._ear, self._intake, self._records, self._log = ear, intake, records, log
        self._slice_ns = round(terms.slice_ms * 1e6)
        self._flush_every = min(every // 4, SECOND // 4)
        self._flushed_at = self._looked_at = 0
        self._came_before = 0
        self.queue = ReportQueue(draw)
        # a proxy that reports less often than that is taken for lost
        self.budget = ReportBudget(per_s, terms.share, every, lost_after * 2 // 5, self._pace)
        self.quarantine = Quarantine(self)
        self.sums = ReportSums(round(terms.half_life_ms * 10), heard)
        self.looked_at = self.handed = 0
        self._read_at: dict[str, int] = {}  # when a proxy's file was read last
        self.spent_ns = 0
        self._mean_came = 1.0

    # What arrives.

    def offer(self, now: int, name: str, data: bytes) -> None:
        if name not in self._intake.present or self.quarantine.rests(now, name):
            return
        self._intake.called(now, name)
        if not len(self.queue):
            self._ear.wake_up()
        self.queue.offer(now, name, data)

    def aside(self, name: str) -> bool:
        """Whether what this proxy puts in place need not be read."""
        return self.quarantine.rests(self._ear.now(), name)

    def due(self, now: int, name: str) -> int:
        """When what this proxy put in place may be read: hardly more often than it is asked to report."""
        last = self._read_at.get(name)
        return now if last is None else last + self.budget.interval * 3 // 4

    def read(self, now: int, name: str) -> None:
        self._read_at[name] = now

    def unreadable(self, now: int, name: str, cause: str) -> None:
        self.quarantine.bad(now, name, cause, b"")

    def forget(self, name: str) -> None:
        self.queue.forget(name)
        self.quarantine.forget(name)
        self._read_at.pop(name, None)

    # What is done with it.

    def work(self) -> bool:
        """Looks at what there is room for; whether some is left that could be looked at soon."""
        began = last = time.perf_counter_ns()
        while len(self.queue):
            now = self._ear.now()
            if not self.budget.spend(now, 1):
                break
            taken = self.queue.take(now)
            if taken is None:
                break
            self.looked_at += len(taken.rows)
            bad = self._intake.loads(now, taken.proxy, taken.rows, taken.came)
            if bad:
                self.quarantine.bad(now, taken.proxy, *bad[0])
            else:
                self.quarantine.good(now, taken.proxy)
            end = time.perf_counter_ns()
            self.budget.took((end - last) / 100_000)
            last = end
            if end - began > self._slice_ns:
                break
        self.spent_ns += last - began
        return len(self.queue) > 0

    def weigh(self, name: str, calls: float) -> None:
        """A proxy's calls beside the mean decide how soon it is looked at when not all can be."""
        self._mean_came += (calls - self._mean_came) * 0.01
        self.queue.weigh(name, calls / max(self._mean_came, 1e-9))

    def look(self, now: int, proxies: int) -> None:
        if now - self._flushed_at >= self._flush_every:
            self._flushed_at = now
            self.handed += self.sums.flush()
        if now - self._looked_at >= LOOK:
            span, self._looked_at = now - self._looked_at, now
            came, self._came_before = self.queue.came - self._came_before, self.queue.came
            each = self.spent_ns / 100_000 / self.looked_at if self.looked_at else 0.0
            self.budget.look(now, came * SECOND / span, proxies, each)
            self.quarantine.look(now)
            self._intake.windows.look(now)
            self._records.note(
                now, "intake", came=self.queue.came, dropped=self.queue.dropped, looked_at=self.looked_at,
                handed=self.handed, repeats=self._intake.windows.repeats, waiting=len(self.queue),
                bytes=self.queue.bytes, interval=self.budget.interval, spent_us=self.spent_ns // 1000,
                aside=self.quarantine.left_aside,
            )  # fmt: skip

    # What the pace and the quarantine tell.

    def _pace(self, interval: int) -> None:
        self._log.info("proxies are asked to report at another pace", every_ms=interval / 10)
        self._records.note(self._ear.now(), "pace", every=interval)
        self._ear.ask_every(interval)

    def quarantined(self, proxy: str, rest: int, cause: str, evidence: bytes) -> None:
        self._log.warning("reports of a proxy are left aside", proxy=proxy, cause=cause, for_s=rest / SECOND)
        told = evidence.decode("latin-1")
        self._records.note(self._ear.now(), "quarantined", proxy=proxy, rest=rest, cause=cause, evidence=told)

    def released(self, proxy: str) -> None:
        self._log.info("reports of a proxy are looked at again", proxy=proxy)
        self._records.note(self._ear.now(), "released", proxy=proxy)

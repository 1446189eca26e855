"""Processes load reports within a budget: reports are queued here until the budget allows to read them.

The tasks that receive reports offer them; the decision task processes them between its flushes, for a few
milliseconds at a time. No method here blocks.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from ..decisions.events import EndpointReport
from ..reports.budget import ReportBudget
from ..reports.quarantine import Quarantine
from ..reports.queue import ReportQueue
from ..reports.sums import FlushedSums, ReportSums
from ..ticks import (
    NANOSECONDS_PER_TICK,
    TICKS_PER_MILLISECOND,
    TICKS_PER_SECOND,
    ticks_from_milliseconds,
)
from .context import ServiceContext
from .intake import ProxyIntake

NANOSECONDS_PER_MILLISECOND = 1e6
NANOSECONDS_PER_MICROSECOND = 1000
INTERVAL_ADAPTATION_PERIOD_TICKS = TICKS_PER_SECOND  # how often the report interval is adapted
MAX_SUMS_FLUSH_INTERVAL_TICKS = TICKS_PER_SECOND // 4
MEAN_RATE_SMOOTHING = 0.01  # the factor of the moving average of request rates


class ReportProcessor:
    """Queues load reports, reads them within a budget, and sends their sums to the controller.

    Attributes:
        queue: the reports that wait to be read.
        budget: the limit on the reports that may be read now.
        quarantine: the proxies whose reports are not read for a while.
        sums: the sums of the reports since the last flush to the controller.
        processed: the number of reports that have been read.
        sent_endpoint_reports: the number of events that were sent to the controller.
        spent_nanoseconds: the time that reading reports has taken.
    """

    def __init__(
        self, context: ServiceContext, intake: ProxyIntake, set_interval: Callable[[int], None]
    ) -> None:
        """Creates a processor with an empty queue.

        Args:
            context: the shared context.
            intake: reads the reports.
            set_interval: is called with each new report interval, in ticks.
        """
        self._context = context
        self._intake = intake
        self._set_interval = set_interval
        settings, fleet = context.terms.intake, context.terms.fleet
        interval_ticks = ticks_from_milliseconds(fleet.report_every_ms)
        self._slice_nanoseconds = round(settings.slice_ms * NANOSECONDS_PER_MILLISECOND)
        self._flush_interval_ticks = min(interval_ticks // 4, MAX_SUMS_FLUSH_INTERVAL_TICKS)
        self._flushed_at = 0
        self._interval_adapted_at = 0
        self._previously_arrived = 0  # reports that had arrived when the interval was last adapted
        self._read_at: dict[str, int] = {}  # by proxy: when its file was last read
        self._mean_rate_per_second = 1.0
        # a proxy that reported less often could exceed the session timeout
        max_interval_ticks = ticks_from_milliseconds(context.terms.files.proxy_lost_after_ms) * 2 // 5
        self.queue = ReportQueue(random.Random(context.seed).randrange)
        self.budget = ReportBudget(
            fleet.reports_per_s, settings.share, interval_ticks, max_interval_ticks, self._interval_changed
        )
        self.quarantine = Quarantine(self)
        self.sums = ReportSums(ticks_from_milliseconds(settings.half_life_ms), self._send_endpoint_report)
        self.processed = 0
        self.sent_endpoint_reports = 0
        self.spent_nanoseconds = 0

    # What arrives.

    def offer(self, now: int, name: str, data: bytes) -> None:
        """Queues a report, or drops it if its proxy has no session or is in quarantine."""
        if name not in self._intake.sessions or self.quarantine.should_skip(now, name):
            return
        self._intake.record_activity(now, name)
        if not self.has_waiting():
            self._context.queue.wake()
        self.queue.offer(now, name, data)

    def is_quarantined(self, name: str) -> bool:
        """Whether the reports of this proxy need not be read now."""
        return self.quarantine.should_skip(self._context.now(), name)

    def readable_at(self, now: int, name: str) -> int:
        """The tick from which a proxy's report file may be read again: 3/4 of the interval after the last."""
        last_read_at = self._read_at.get(name)
        return now if last_read_at is None else last_read_at + self.budget.interval * 3 // 4

    def record_read(self, now: int, name: str) -> None:
        """Records that a proxy's report file is read now."""
        self._read_at[name] = now

    def reject_unreadable(self, now: int, name: str, cause: str) -> None:
        """Counts a report file that could not be read as malformed."""
        self.quarantine.record_malformed(now, name, cause, b"")

    def drop_proxy(self, name: str) -> None:
        """Drops the reports of a proxy that has left."""
        self.queue.remove_proxy(name)
        self.quarantine.remove_proxy(name)
        self._read_at.pop(name, None)

    # Processing, in the decision task.

    def has_waiting(self) -> bool:
        """Whether any report waits to be read."""
        return len(self.queue) > 0

    def process_waiting(self) -> bool:
        """Reads reports as the budget allows, for one slice of time at most.

        Returns:
            Whether reports are left.
        """
        started_at = last_ended_at = time.perf_counter_ns()
        while self.has_waiting():
            now = self._context.now()
            if not self.budget.spend(now, 1) or not self._process_next(now):
                break
            ended_at = time.perf_counter_ns()
            self.budget.record_time((ended_at - last_ended_at) / NANOSECONDS_PER_TICK)
            last_ended_at = ended_at
            if ended_at - started_at > self._slice_nanoseconds:
                break
        self.spent_nanoseconds += last_ended_at - started_at
        return self.has_waiting()

    def _process_next(self, now: int) -> bool:
        """Reads the reports of the proxy whose turn it is; returns whether there was one."""
        taken = self.queue.take(now)
        if taken is None:
            return False
        self.processed += len(taken.reports)
        malformed = self._intake.process_reports(now, taken.proxy, taken.reports, taken.arrived)
        if malformed:
            cause, data = malformed[0]
            self.quarantine.record_malformed(now, taken.proxy, cause, data)
        else:
            self.quarantine.record_valid(now, taken.proxy)
        return True

    def update_share(self, name: str, rate_per_second: float) -> None:
        """Sets a proxy's share of the budget: its weighted request rate relative to the mean."""
        self._mean_rate_per_second += (rate_per_second - self._mean_rate_per_second) * MEAN_RATE_SMOOTHING
        self.queue.set_share(name, rate_per_second / max(self._mean_rate_per_second, 1e-9))

    def maintain(self, now: int, proxy_count: int) -> None:
        """Flushes the sums to the controller and adapts the report interval, each when it is due."""
        if now - self._flushed_at >= self._flush_interval_ticks:
            self._flushed_at = now
            self.sent_endpoint_reports += self.sums.flush()
        if now - self._interval_adapted_at >= INTERVAL_ADAPTATION_PERIOD_TICKS:
            elapsed_ticks = now - self._interval_adapted_at
            self._interval_adapted_at = now
            self._adapt_interval(now, elapsed_ticks, proxy_count)

    def _adapt_interval(self, now: int, elapsed_ticks: int, proxy_count: int) -> None:
        """Adapts the report interval to the arrivals in the elapsed time, and records the total counts."""
        newly_arrived = self.queue.arrived - self._previously_arrived
        self._previously_arrived = self.queue.arrived
        ticks_per_report = 0.0
        if self.processed:
            ticks_per_report = self.spent_nanoseconds / NANOSECONDS_PER_TICK / self.processed
        self.budget.adapt_interval(
            now, newly_arrived * TICKS_PER_SECOND / elapsed_ticks, proxy_count, ticks_per_report
        )
        self.quarantine.release_due(now)
        self._intake.windows.drop_expired(now)
        self._context.records.append(
            now,
            "intake",
            came=self.queue.arrived,
            dropped=self.queue.dropped,
            looked_at=self.processed,
            handed=self.sent_endpoint_reports,
            repeats=self._intake.windows.repeats,
            waiting=len(self.queue),
            bytes=self.queue.waiting_bytes,
            interval=self.budget.interval,
            spent_us=self.spent_nanoseconds // NANOSECONDS_PER_MICROSECOND,
            aside=self.quarantine.skipped,
        )

    def _send_endpoint_report(self, sums: FlushedSums) -> None:
        event = EndpointReport(
            sums.endpoint, sums.attempts, sums.failures, sums.mean_latency_ticks, sums.load.get("busy")
        )
        self._context.handle(self._context.now(), event)

    # Callbacks of the budget and the quarantine.

    def _interval_changed(self, interval_ticks: int) -> None:
        self._context.log.info("report interval changed", interval_ms=interval_ticks / TICKS_PER_MILLISECOND)
        self._context.records.append(self._context.now(), "pace", every=interval_ticks)
        self._set_interval(interval_ticks)

    def quarantined(self, proxy: str, duration: int, cause: str, evidence: bytes) -> None:
        """Called by the quarantine when the reports of a proxy are not to be read for `duration` ticks."""
        seconds = duration / TICKS_PER_SECOND
        self._context.log.warning("proxy reports quarantined", proxy=proxy, cause=cause, duration_s=seconds)
        evidence_text = evidence.decode("latin-1")
        self._context.records.append(
            self._context.now(),
            "quarantined",
            proxy=proxy,
            rest=duration,
            cause=cause,
            evidence=evidence_text,
        )

    def released(self, proxy: str) -> None:
        """Called by the quarantine when the reports of a proxy are to be read again."""
        self._context.log.info("proxy reports released from quarantine", proxy=proxy)
        self._context.records.append(self._context.now(), "released", proxy=proxy)

"""Estimates the sums of all reports of one proxy from a sample, by the time covered or by count.

A proxy that states the times of its reports begins each one where the last one ended. If reports were dropped
or replaced, all of the time from the latest end that was known before to the latest end in the sample was
reported, and the sums of the sample are scaled up to that time. Example: time is known up to 10 s, five
reports of 1 s arrived, and those that end at 12 s and 15 s were kept. They cover 2 s of the 5 s since, so
their sums are multiplied by 2.5. A copy of a report covers no new time and is not counted. If a proxy states
no times, each report of the sample counts as the number that arrived divided by the number in the sample.
Times are ticks.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from ..ticks import TICKS_PER_SECOND
from .read import Report
from .sums import Cell, ReportCells, ReportedAttempts, combine_reports
from .windows import Covered, ReportWindows

MAX_STRETCH_TICKS = 120 * TICKS_PER_SECOND  # the longest period that a sample represents
ReceivedReport = tuple[int, int, Report]  # arrival time, hash of the bytes, report


@dataclass(slots=True)
class SampleSums:
    """The sums of all reports about one period of time, as estimated from the sample.

    Attributes:
        cells: attempts by endpoint and route.
        loads: load metrics by endpoint.
        requests: requests and failures, by route.
        since: the beginning of the period, by the controller's clock.
        until: the end of the period.
        window: the length of the time that the sums represent.
    """

    cells: dict[Cell, ReportedAttempts] = field(default_factory=dict)
    loads: dict[str, dict[str, float]] = field(default_factory=dict)
    requests: dict[str, tuple[float, float]] = field(default_factory=dict)
    since: int = 0
    until: int = 0
    window: int = 0


@dataclass(frozen=True, slots=True)
class _NewReport:
    report: Report
    covered: Covered  # its `part` is above 0

    def covered_ticks(self) -> float:
        return (self.covered.until - self.covered.since) * self.covered.part

    def cells(self) -> ReportCells:
        """The attempts of the report, scaled to the part of its time that is new."""
        part = self.covered.part
        if part >= 1:
            return self.report.contents
        cells = {
            cell: ReportedAttempts(sums.attempts * part, sums.failures * part, sums.latency_sum * part)
            for cell, sums in self.report.contents.cells.items()
        }
        return ReportCells(cells, self.report.contents.loads)


def sum_sample(
    now: int,
    proxy: str,
    windows: ReportWindows,
    reports: Sequence[ReceivedReport],
    arrived: int,
    has_gaps: bool,
) -> SampleSums | None:
    """Sums up a sample; None if none of it is new.

    Args:
        now: the current tick.
        proxy: the name of the proxy.
        windows: the times of the proxy that are already counted.
        reports: all reports that arrived, or two drawn from them.
        arrived: the number of reports that arrived.
        has_gaps: whether later reports may have replaced earlier ones before they were read.
    """
    process, latest_end = windows.last_known(proxy)
    new_reports = _find_new(proxy, windows, reports)
    if not new_reports:
        return None
    covered_ticks = sum(new.covered_ticks() for new in new_reports)
    timed = [new.report for new in new_reports if new.report.until >= 0]
    may_be_incomplete = has_gaps or arrived > len(reports)
    if not timed:
        factor = arrived / len(reports)
    elif latest_end >= 0 and may_be_incomplete and all(report.process == process for report in timed):
        newest = max(report.until for report in timed)
        factor = min(newest - latest_end, MAX_STRETCH_TICKS) / max(covered_ticks, 1.0)
        if factor > 1:  # these represent unread reports too, which must not count again if they arrive
            windows.count(proxy, latest_end, newest)
    else:
        factor = 1.0  # from a new process, whose earlier reports are unknown
    return _scale(new_reports, max(factor, 1.0), covered_ticks)


def _find_new(proxy: str, windows: ReportWindows, reports: Sequence[ReceivedReport]) -> list[_NewReport]:
    new_reports = []
    for arrived_at, content_hash, report in sorted(
        reports, key=lambda received: (received[2].until, received[0])
    ):
        if report.until >= 0:
            covered = windows.record_timed(arrived_at, proxy, report.process, report.since, report.until)
        else:
            covered = windows.record_untimed(arrived_at, proxy, max(report.length, 1), content_hash)
        if covered.part > 0:
            new_reports.append(_NewReport(report, covered))
    return new_reports


def _scale(new_reports: Sequence[_NewReport], factor: float, covered_ticks: float) -> SampleSums:
    """Sums up the sample, multiplied by `factor`."""
    sums = SampleSums(combine_reports([new.cells() for new in new_reports], factor))
    for new in new_reports:
        sums.loads.update(new.report.contents.loads)
        for route, (requests, failures) in new.report.requests.items():
            old = sums.requests.get(route, (0.0, 0.0))
            part = new.covered.part * factor
            sums.requests[route] = (old[0] + requests * part, old[1] + failures * part)
    sums.window = max(1, round(covered_ticks * factor))
    sums.until = max(new.covered.until for new in new_reports)
    sums.since = min(sums.until - sums.window, *(new.covered.since for new in new_reports))
    return sums

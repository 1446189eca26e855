"""What a sample of one proxy's reports comes to: what each stands for, by the time covered and by count."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from ..ticks import TICKS_PER_SECOND
from .read import Report
from .sums import Row, combined
from .windows import Covered, Windows

LONGEST = 120 * TICKS_PER_SECOND  # of a stretch that a sample stands for
Cells = dict[tuple[str, str], tuple[float, float, float, float]]


@dataclass(slots=True)
class Whole:
    """Of all reports of one stretch; by host and route tries, errors, time and the variance of the tries."""

    cells: Cells = field(default_factory=dict)
    loads: dict[str, dict[str, float]] = field(default_factory=dict)
    came: dict[str, tuple[float, float]] = field(default_factory=dict)
    since: int = 0
    until: int = 0
    window: int = 0  # that the sums stand for


def whole(
    now: int, proxy: str, windows: Windows, reports: Sequence[tuple[int, int, Report]], came: int, gaps: bool
) -> Whole | None:
    """`reports`: when each came, a hash of its bytes, itself: all that came, or two drawn of them.  None if
    none of it is new.  `gaps`: some may have been replaced in their place before they were read.

    A proxy that tells its times begins each report where the last one ended.  So where some were dropped or
    replaced, it reported all the time from the latest end known before to the latest of these: the sample
    stands for that time, and a copy for none.  What came after it is told by the next.  Of proxies that tell
    no times each stands for `came` over their number.
    """
    process, before = windows.before(proxy)
    kept: list[tuple[Report, Covered]] = []
    for at, content, report in sorted(reports, key=lambda row: (row[2].until, row[0])):
        if report.until >= 0:
            covered = windows.told(at, proxy, report.process, report.since, report.until)
        else:
            covered = windows.untold(at, proxy, max(report.length, 1), content)
        if covered.part > 0:
            kept.append((report, covered))
    if not kept:
        return None
    looked_at = sum((covered.until - covered.since) * covered.part for _, covered in kept)
    told = [report for report, _ in kept if report.until >= 0]
    if not told:
        factor = came / len(reports)
    elif before >= 0 and (gaps or came > len(reports)) and all(row.process == process for row in told):
        newest = max(report.until for report in told)
        factor = min(newest - before, LONGEST) / max(looked_at, 1.0)
        if factor > 1:  # what was never read is told by these, and counts no more if it comes after all
            windows.cover(proxy, before, newest)
    else:
        factor = 1.0  # of another life: it told of nothing in between
    factor = max(factor, 1.0)
    rows = [_part(report.row, covered.part) for report, covered in kept]
    made = Whole(combined(rows, factor))
    for report, covered in kept:
        made.loads.update(report.row.loads)
        for route, (calls, errors) in report.came.items():
            old = made.came.get(route, (0.0, 0.0))
            part = covered.part * factor
            made.came[route] = (old[0] + calls * part, old[1] + errors * part)
    made.window = max(1, round(looked_at * factor))
    made.until = max(covered.until for _, covered in kept)
    made.since = min(made.until - made.window, min(covered.since for _, covered in kept))
    return made


def _part(row: Row, part: float) -> Row:
    if part >= 1:
        return row
    return Row({key: (a * part, b * part, c * part) for key, (a, b, c) in row.cells.items()}, row.loads)

"""What a sample of one proxy's reports comes to: what each stands for, by the time covered and by count."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from .read import Report
from .sums import Row, combined
from .windows import Covered, Windows

SLACK = 1.25
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
    now: int,
    proxy: str,
    windows: Windows,
    reports: Sequence[tuple[int, int, Report]],
    came: int,
    span: int = -1,
) -> Whole | None:
    """`reports`: when each came, a hash of its bytes, itself: all that came, or two drawn of them.  None if
    none of it is new.

    Each stands for `came` over their number, but all of them for no more time than that in which they came
    (`span`, -1 if that is not known): of a flood of copies only one counts, and a report of a tenth of the
    usual time counts a tenth.
    """
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
    factor = came / len(reports)
    # reports come early and late; what is far over the time that has passed is copies, or covers less time
    if span >= 0 and factor > 1 and factor > SLACK * span / max(looked_at, 1.0):
        factor = max(1.0, span / max(looked_at, 1.0))
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

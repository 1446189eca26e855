"""What reports say, summed by host, zone and route, with how sure each sum is; handed on in a few calls.

A served proxy's two reports stand for `k`: each figure is `k / 2` times their sum.  Its variance is estimated
from the two, `k^2 (1 - 2/k) d^2 / 4` with `d` their difference (simple random sampling without replacement,
Cochran 1977, theorem 2.2), and variances of proxies add up.  Nothing is guessed where all were looked at.

What is late is scaled by what counts of it at its age.  The decisions are given one call a host and zone each
time they are to hear, not one for each report and host; whole numbers, with the rest carried over.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from .fading import Fading, Landmark

TRIES, ERRORS, SPENT = range(3)
SURE = 1.96  # standard errors, for 95 of 100


@dataclass(frozen=True, slots=True)
class Estimate:
    """A figure and the half width of its bar, at 95 of 100."""

    value: float
    bar: float

    def holds(self, truth: float) -> bool:
        return abs(truth - self.value) <= self.bar


@dataclass(slots=True)
class Row:
    """Of one report: by host and route tries, errors, time; by host what was told of load."""

    cells: dict[tuple[str, str], tuple[float, float, float]] = field(default_factory=dict)
    loads: dict[str, dict[str, float]] = field(default_factory=dict)


@dataclass(slots=True)
class Pending:
    """Of one host and zone, since the decisions last heard."""

    tries: float = 0.0
    errors: float = 0.0
    spent: float = 0.0
    window: int = 0
    load: dict[str, float] = field(default_factory=dict)


Heard = Callable[[str, str, int, int, int, int, dict[str, float]], None]


def combined(rows: list[Row], factor: float) -> dict[tuple[str, str], tuple[float, float, float, float]]:
    """By host and route the estimates, and the variance of the tries; each row stands for `factor` of them.

    `rows`: all there are (`factor` 1), two drawn evenly, or one.  Of one alone nothing is known of the rest:
    its count is taken for that of events that come by themselves.
    """
    found = dict[tuple[str, str], tuple[float, float, float, float]]()
    if factor <= 1 and len(rows) == 1:
        return {key: (*row, 0.0) for key, row in rows[0].cells.items()}
    n, all_of_them = len(rows), factor * len(rows)
    for key in dict.fromkeys(key for row in rows for key in row.cells):
        each = [row.cells.get(key, (0.0, 0.0, 0.0)) for row in rows]
        tries, errors, spent = (factor * sum(column) for column in zip(*each, strict=True))
        variance = 0.0
        if factor > 1 and n > 1:
            mean = sum(row[0] for row in each) / n
            spread = sum((row[0] - mean) ** 2 for row in each) / (n - 1)
            variance = all_of_them**2 * (1 - n / all_of_them) * spread / n
        elif factor > 1:
            variance = factor * (factor - 1) * each[0][0]
        found[key] = (tries, errors, spent, variance)
    return found


class Sums:
    """`heard(host, zone, tries, errors, mean, window, load)`: the decisions' ear."""

    def __init__(self, half: int, heard: Heard) -> None:
        self._fading, self._landmark, self._heard = Fading(half), Landmark(half), heard
        self._cells: dict[tuple[str, str, str], list[float]] = {}  # tries, errors, time, variance of tries
        self._pending: dict[tuple[str, str], Pending] = {}

    def __len__(self) -> int:
        return len(self._cells)

    def add(
        self, now: int, zone: str, since: int, until: int,
        cells: dict[tuple[str, str], tuple[float, float, float, float]], loads: dict[str, dict[str, float]],
    ) -> None:  # fmt: skip
        """What came evenly from `since` to `until`, by this clock."""
        factor = self._landmark.move(now)
        if factor != 1:
            for cell in self._cells.values():
                cell[:] = (*(value * factor for value in cell[:3]), cell[3] * factor * factor)
        late, gain, window = self._fading.of(now - until), self._landmark.gain(since, until), until - since
        for (host, route), (tries, errors, spent, variance) in cells.items():
            cell = self._cells.get((host, zone, route)) or self._new(host, zone, route)
            cell[0] += tries * gain
            cell[1] += errors * gain
            cell[2] += spent * gain
            if variance:
                cell[3] += variance * gain * gain
            row = self._pending.get((host, zone)) or self._wait(host, zone)
            row.tries += tries * late
            row.errors += errors * late
            row.spent += spent * late
            if window > row.window:
                row.window = window
        for host, load in loads.items():
            if (host, zone) in self._pending:
                self._pending[host, zone].load = load

    def _new(self, host: str, zone: str, route: str) -> list[float]:
        cell = self._cells[host, zone, route] = [0.0, 0.0, 0.0, 0.0]
        return cell

    def _wait(self, host: str, zone: str) -> Pending:
        row = self._pending[host, zone] = Pending()
        return row

    def flush(self) -> int:
        """Hands on all that is new; how many calls that took."""
        count = 0
        for (host, zone), row in self._pending.items():
            tries, errors = int(row.tries + 1e-9), int(row.errors + 1e-9)
            errors = min(errors, tries)
            if not tries:
                continue
            good = row.tries - row.errors
            mean = round(row.spent / good) if good > 0.5 else 0
            self._heard(host, zone, tries, errors, mean, row.window, row.load)
            count += 1
            answered = tries - errors
            row.tries -= tries
            row.errors -= errors
            row.spent = max(0.0, row.spent - mean * answered)
            row.window, row.load = 0, {}
        if len(self._pending) > 50_000:
            self._pending = {key: row for key, row in self._pending.items() if row.tries > 0.5}
        return count

    def estimate(self, now: int, host: str, zone: str, route: str, field_: int = TRIES) -> Estimate:
        """A faded sum and how sure it is; the bar of tries is the sample's, of others it is in proportion."""
        cell = self._cells.get((host, zone, route))
        if cell is None:
            return Estimate(0.0, 0.0)
        counts = self._landmark.at(now)
        bar = SURE * math.sqrt(cell[3]) * counts
        if field_ != TRIES:
            bar *= cell[field_] / cell[TRIES] if cell[TRIES] else 0.0
        return Estimate(cell[field_] * counts, bar)

    def keep(self, hosts: frozenset[str]) -> None:
        """Of hosts that are not listed any more nothing is kept."""
        self._cells = {key: cell for key, cell in self._cells.items() if key[0] in hosts}
        self._pending = {key: row for key, row in self._pending.items() if key[0] in hosts}

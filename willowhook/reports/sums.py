"""Sums of reports by endpoint, zone and route, with the uncertainty of each sum.

The two reports in the sample of a proxy represent `k` reports: each estimate is `k / 2` times their sum. Its
variance is estimated from the two as `k^2 (1 - 2/k) d^2 / 4`, where `d` is their difference (simple random
sampling without replacement, Cochran 1977, theorem 2.2). The variances of proxies add up. Nothing is
estimated if all reports were processed.

Late reports are scaled by the decay at their age. Each flush passes one set of sums for each endpoint and
zone to the decisions, not one for each report. Counts are passed as whole numbers; the remainder is carried
over. Times are ticks.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from .fading import Decay, ForwardDecay

STANDARD_ERRORS = 1.96  # half width of a 95 % confidence interval
ROUNDING = 1e-9  # a count that is below a whole number by no more than this counts as that number
MAX_PENDING = 50_000  # pairs of endpoint and zone; above it, pairs with too few attempts are dropped
MIN_PENDING_ATTEMPTS = 0.5  # to be kept above MAX_PENDING


class ReportedAttempts(NamedTuple):
    """The reported attempts at an endpoint for a route.

    Attributes:
        attempts: the number of attempts that have ended.
        failures: the number of failures among them.
        latency_sum: the sum of the latencies of the attempts that succeeded, in ticks.
        variance: the variance of the number of attempts, if estimated from a sample; 0 if counted.
    """

    attempts: float
    failures: float
    latency_sum: float
    variance: float = 0.0


NO_ATTEMPTS = ReportedAttempts(0.0, 0.0, 0.0)
Cell = tuple[str, str]  # an endpoint, by address or by name, and a route
Loads = Mapping[str, dict[str, float]]  # by endpoint: load metrics by name


@dataclass(frozen=True, slots=True)
class Estimate:
    """A value and the half width of its 95 % confidence interval."""

    value: float
    half_width: float

    def holds(self, truth: float) -> bool:
        """Whether the confidence interval contains this value."""
        return abs(truth - self.value) <= self.half_width


@dataclass(slots=True)
class ReportCells:
    """The contents of one report by endpoint.

    Attributes:
        cells: attempts by endpoint and route.
        loads: load metrics by endpoint.
    """

    cells: dict[Cell, ReportedAttempts] = field(default_factory=dict)
    loads: dict[str, dict[str, float]] = field(default_factory=dict)


@dataclass(slots=True)
class _DecayedSums:
    """Sums of one endpoint, zone and route, scaled to the landmark."""

    attempts: float = 0.0
    failures: float = 0.0
    latency_sum: float = 0.0
    variance: float = 0.0

    def scale(self, factor: float) -> None:
        self.attempts *= factor
        self.failures *= factor
        self.latency_sum *= factor
        self.variance = self.variance * factor * factor


@dataclass(slots=True)
class _PendingSums:
    """Sums of one endpoint and zone since the last flush."""

    attempts: float = 0.0
    failures: float = 0.0
    latency_sum: float = 0.0
    window: int = 0
    load: dict[str, float] = field(default_factory=dict)


class FlushedSums(NamedTuple):
    """The sums of an endpoint from the reports of one zone's proxies since the last flush.

    Attributes:
        endpoint: its name.
        zone: the zone of the proxies that reported.
        attempts: the number of attempts that ended.
        failures: the number of failures among them.
        mean_latency_ticks: the mean latency of the attempts that succeeded; 0 if none succeeded.
        window_ticks: the longest time that one report covered.
        load: the latest load metrics, by name.
    """

    endpoint: str
    zone: str
    attempts: int
    failures: int
    mean_latency_ticks: int
    window_ticks: int
    load: dict[str, float]


def combine_reports(reports: Sequence[ReportCells], factor: float) -> dict[Cell, ReportedAttempts]:
    """Sums reports, each of which represents `factor` reports.

    `reports` are all reports (`factor` 1), two of them drawn at random, or one. A single report gives no
    information about the others: its count is then treated as one of independent events.
    """
    if factor <= 1 and len(reports) == 1:
        return reports[0].cells
    return {
        cell: _combine_cell([report.cells.get(cell, NO_ATTEMPTS) for report in reports], factor)
        for cell in dict.fromkeys(cell for report in reports for cell in report.cells)
    }


def _combine_cell(sample: Sequence[ReportedAttempts], factor: float) -> ReportedAttempts:
    attempts, failures, latency_sum, _ = (factor * sum(column) for column in zip(*sample, strict=True))
    size = len(sample)
    variance = 0.0
    if factor > 1 and size > 1:
        population = factor * size
        mean = sum(sums.attempts for sums in sample) / size
        spread = sum((sums.attempts - mean) ** 2 for sums in sample) / (size - 1)
        variance = population**2 * (1 - size / population) * spread / size
    elif factor > 1:
        variance = factor * (factor - 1) * sample[0].attempts
    return ReportedAttempts(attempts, failures, latency_sum, variance)


class ReportSums:
    """Sums of reported attempts by endpoint, zone and route, for the decisions and for estimates."""

    def __init__(self, half_life: int, hand_over: Callable[[FlushedSums], None]) -> None:
        """Creates empty sums that decay with this half-life and are passed to `hand_over` at each `flush`."""
        self._decay = Decay(half_life)
        self._forward_decay = ForwardDecay(half_life)
        self._hand_over = hand_over
        self._cells: dict[tuple[str, str, str], _DecayedSums] = {}
        self._pending: dict[tuple[str, str], _PendingSums] = {}

    def __len__(self) -> int:
        """The number of combinations of endpoint, zone and route that have sums."""
        return len(self._cells)

    def add(
        self,
        now: int,
        zone: str,
        since: int,
        until: int,
        cells: Mapping[Cell, ReportedAttempts],
        loads: Loads,
    ) -> None:
        """Adds a zone's attempts, spread evenly from `since` to `until` by the controller's clock."""
        factor = self._forward_decay.move_landmark(now)
        if factor != 1:
            for kept in self._cells.values():
                kept.scale(factor)
        gain = self._forward_decay.gain(since, until)
        weight = self._decay.weight(now - until)
        window = until - since
        for (endpoint, route), (attempts, failures, latency_sum, variance) in cells.items():
            kept = self._cells.get((endpoint, zone, route)) or self._new_cell((endpoint, zone, route))
            kept.attempts += attempts * gain
            kept.failures += failures * gain
            kept.latency_sum += latency_sum * gain
            kept.variance += variance * gain * gain
            pending = self._pending.get((endpoint, zone)) or self._new_pending((endpoint, zone))
            pending.attempts += attempts * weight
            pending.failures += failures * weight
            pending.latency_sum += latency_sum * weight
            if window > pending.window:
                pending.window = window
        for endpoint, load in loads.items():
            if (endpoint, zone) in self._pending:
                self._pending[endpoint, zone].load = load

    def flush(self) -> int:
        """Passes on all pending sums; returns the number of calls to `hand_over`."""
        count = 0
        for (endpoint, zone), pending in self._pending.items():
            count += self._flush_one(endpoint, zone, pending)
        if len(self._pending) > MAX_PENDING:
            self._pending = {
                key: pending
                for key, pending in self._pending.items()
                if pending.attempts > MIN_PENDING_ATTEMPTS
            }
        return count

    def estimate_attempts(self, now: int, endpoint: str, zone: str, route: str) -> Estimate:
        """Returns the decayed sum of attempts with its confidence interval."""
        sums = self._cells.get((endpoint, zone, route))
        if sums is None:
            return Estimate(0.0, 0.0)
        scale = self._forward_decay.scale(now)
        half_width = STANDARD_ERRORS * math.sqrt(sums.variance) * scale
        return Estimate(sums.attempts * scale, half_width)

    def keep(self, endpoints: frozenset[str]) -> None:
        """Drops the sums of all other endpoints."""
        self._cells = {key: sums for key, sums in self._cells.items() if key[0] in endpoints}
        self._pending = {key: sums for key, sums in self._pending.items() if key[0] in endpoints}

    def _new_cell(self, key: tuple[str, str, str]) -> _DecayedSums:
        cell = self._cells[key] = _DecayedSums()
        return cell

    def _new_pending(self, key: tuple[str, str]) -> _PendingSums:
        pending = self._pending[key] = _PendingSums()
        return pending

    def _flush_one(self, endpoint: str, zone: str, pending: _PendingSums) -> int:
        """Passes on the whole successes and the whole failures, each without its remainder.

        A success is passed on only when one has been reported in full, so that it has a latency.
        """
        pending_successes = pending.attempts - pending.failures
        successes = max(int(pending_successes + ROUNDING), 0)
        failures = int(pending.failures + ROUNDING)
        if not successes + failures:
            return 0
        mean_latency = round(pending.latency_sum / pending_successes) if successes else 0
        self._hand_over(
            FlushedSums(
                endpoint=endpoint,
                zone=zone,
                attempts=successes + failures,
                failures=failures,
                mean_latency_ticks=mean_latency,
                window_ticks=pending.window,
                load=pending.load,
            )
        )
        pending.attempts -= successes + failures
        pending.failures -= failures
        pending.latency_sum = max(0.0, pending.latency_sum - mean_latency * successes)
        pending.window = 0
        pending.load = {}
        return 1

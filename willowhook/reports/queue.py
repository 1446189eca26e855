"""The queue of reports: bounded, fair among proxies, and an unbiased sample if too many arrive.

The queue holds two reports of each proxy. Of the `k` reports that arrived since the proxy was last served,
any two are kept with the same probability (reservoir sampling, Vitter 1985), so that `k / 2` times their sum
is an unbiased estimate of the total, and their difference yields an estimate of its variance. Proxies are
served by deficit round robin (Shreedhar and Varghese 1996), with shares by their request rates, weighted by
priority weight; those that were never served go first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

SAMPLE_SIZE = 2
MIN_SHARE = 0.25  # relative to the mean of all proxies
MAX_SHARE = 4.0
REPORT_COST = 1.0  # of a proxy's deficit


class ArrivedReport(NamedTuple):
    """A report as it arrived: when, in ticks, and its bytes."""

    arrived_at: int
    data: bytes


@dataclass(slots=True)
class _ProxyReports:
    sample: list[ArrivedReport] = field(default_factory=list)
    arrived: int = 0  # since the proxy was last served
    deficit: float = 0.0
    share: float = 1.0
    was_served: bool = False  # ever


@dataclass(frozen=True, slots=True)
class TakenReports:
    """The reports of one proxy, taken from the queue.

    Attributes:
        proxy: its name.
        reports: the sample, in no order.
        arrived: the number of reports that the sample was drawn from.
    """

    proxy: str
    reports: tuple[ArrivedReport, ...]
    arrived: int


class ReportQueue:
    """Queue of the reports that wait to be processed.

    Attributes:
        arrived: the number of reports that have arrived.
        dropped: the number of reports that were dropped.
        waiting_bytes: the total size of the waiting reports.
    """

    def __init__(self, draw: Callable[[int], int], sample_size: int = SAMPLE_SIZE) -> None:
        """Creates an empty queue; `draw(n)` returns a random integer from 0 to `n - 1`."""
        self._draw = draw
        self._sample_size = sample_size
        self._proxies: dict[str, _ProxyReports] = {}
        self._never_served: deque[str] = deque()
        self._round: deque[str] = deque()
        self.arrived = 0
        self.dropped = 0
        self.waiting_bytes = 0

    def __len__(self) -> int:
        """The number of proxies with waiting reports."""
        return len(self._never_served) + len(self._round)

    def offer(self, now: int, proxy: str, data: bytes) -> None:
        """Adds a report; drops it, or one that it replaces, if the sample of its proxy is full."""
        reports = self._proxies.get(proxy)
        if reports is None:
            reports = self._proxies[proxy] = _ProxyReports()
        self.arrived += 1
        reports.arrived += 1
        if reports.arrived == 1:
            (self._round if reports.was_served else self._never_served).append(proxy)
        if len(reports.sample) < self._sample_size:
            reports.sample.append(ArrivedReport(now, data))
            self.waiting_bytes += len(data)
            return
        self.dropped += 1
        index = self._draw(reports.arrived)
        if index < self._sample_size:
            self.waiting_bytes += len(data) - len(reports.sample[index].data)
            reports.sample[index] = ArrivedReport(now, data)

    def take(self, now: int) -> TakenReports | None:
        """Takes the reports of the proxy whose turn it is; returns None if none are waiting."""
        if self._never_served:
            return self._serve(self._never_served.popleft())
        while self._round:
            proxy = self._round.popleft()
            reports = self._proxies[proxy]
            reports.deficit += reports.share
            cost = REPORT_COST * len(reports.sample)
            if reports.deficit >= cost or not self._round:
                reports.deficit = max(0.0, reports.deficit - cost)
                return self._serve(proxy)
            self._round.append(proxy)
        return None

    def set_share(self, proxy: str, share: float) -> None:
        """Sets a proxy's share: its weighted request rate relative to the mean of all proxies."""
        reports = self._proxies.get(proxy)
        if reports is not None:
            reports.share = min(max(share, MIN_SHARE), MAX_SHARE)

    def remove_proxy(self, proxy: str) -> None:
        """Drops the reports of a proxy that left."""
        reports = self._proxies.pop(proxy, None)
        if reports is not None and reports.arrived:
            self.waiting_bytes -= sum(len(data) for _, data in reports.sample)
            for waiting in (self._never_served, self._round):
                if proxy in waiting:
                    waiting.remove(proxy)

    def _serve(self, proxy: str) -> TakenReports:
        reports = self._proxies[proxy]
        taken = TakenReports(proxy, tuple(reports.sample), reports.arrived)
        self.waiting_bytes -= sum(len(data) for _, data in reports.sample)
        reports.sample = []
        reports.arrived = 0
        reports.was_served = True
        return taken

"""Limits how many reports are processed, and adapts the interval at which proxies send them.

Two token buckets limit the rate of reports and the share of processing time. Reports above the limits wait in
the queue, which samples them. The requested report interval rises at once, to the value that fits, when more
reports arrive than can be processed. It falls in small steps, and only after spare capacity has lasted for
some time: all proxies change their interval together, so that larger steps would oscillate. Times are ticks.
"""

from __future__ import annotations

from collections.abc import Callable

from ..ticks import TICKS_PER_SECOND

TIME_BURST_TICKS = TICKS_PER_SECOND // 20  # of processing time that may accumulate
RATE_BURST_DIVISOR = 10  # the burst is the reports of one second, divided by this
MIN_BURST = 2.0  # reports, at any rate
TARGET_LOAD = 0.8  # the fraction of the rate that reports at the requested interval use
DECREASE_FACTOR = 0.8  # of the interval, in one step
DECREASE_DELAY_TICKS = 2 * TICKS_PER_SECOND  # of spare capacity, before each step down
CHANGE_THRESHOLD = 1.1  # factor; smaller changes are not sent to the proxies


class ReportBudget:
    """Admits reports to processing and controls the interval at which proxies send them.

    Attributes:
        interval: the interval that proxies are asked for, in ticks.
    """

    def __init__(
        self,
        rate_per_second: float,
        time_share: float,
        usual_interval: int,
        max_interval: int,
        set_interval: Callable[[int], None],
    ) -> None:
        """Creates the budget with full buckets.

        Args:
            rate_per_second: the number of reports that may be processed in a second.
            time_share: the fraction of all time that processing may use.
            usual_interval: the interval that proxies have by default.
            max_interval: the longest interval that they may be asked for.
            set_interval: called with each new interval.
        """
        self._rate = rate_per_second / TICKS_PER_SECOND
        self._time_share = time_share
        self._usual_interval = usual_interval
        self._max_interval = float(max(max_interval, usual_interval))
        self._set_interval = set_interval
        self._burst = max(MIN_BURST, rate_per_second / RATE_BURST_DIVISOR)
        self._report_tokens = self._burst
        self._time_tokens = float(TIME_BURST_TICKS)
        self._refilled_at: int | None = None
        self._spare_since: int | None = None
        self.interval = usual_interval

    def spend(self, now: int, count: int) -> bool:
        """Spends the budget of `count` reports; returns False if none may be processed now."""
        if self._refilled_at is not None:
            elapsed = now - self._refilled_at
            self._report_tokens = min(self._burst, self._report_tokens + elapsed * self._rate)
            self._time_tokens = min(TIME_BURST_TICKS, self._time_tokens + elapsed * self._time_share)
        self._refilled_at = now
        if self._report_tokens < 1 or self._time_tokens <= 0:
            return False
        self._report_tokens -= count
        return True

    def record_time(self, ticks: float) -> None:
        """Subtracts the time that processing took from the budget."""
        self._time_tokens -= ticks

    def adapt_interval(
        self, now: int, arrived_per_second: float, proxies: int, ticks_per_report: float = 0.0
    ) -> None:
        """Adapts the interval to the arrival rate, the number of proxies and the time that a report takes."""
        capacity = self._rate * TICKS_PER_SECOND
        if ticks_per_report > 0:
            capacity = min(capacity, self._time_share * TICKS_PER_SECOND / ticks_per_report)
        interval = self._wanted_interval(arrived_per_second, proxies, capacity)
        if interval > self.interval * CHANGE_THRESHOLD:
            self._spare_since = None
            self._change(interval)
        elif self._is_decrease(interval) and arrived_per_second <= capacity * TARGET_LOAD:
            if self._spare_since is None:
                self._spare_since = now
            elif now - self._spare_since >= DECREASE_DELAY_TICKS:
                self._spare_since = now
                self._change(max(interval, self.interval * DECREASE_FACTOR))
        else:
            self._spare_since = None

    def _wanted_interval(self, arrived_per_second: float, proxies: int, capacity: float) -> float:
        wanted = proxies / (capacity * TARGET_LOAD) * TICKS_PER_SECOND
        interval = float(min(max(wanted, self._usual_interval), self._max_interval))
        if arrived_per_second > capacity and interval <= self.interval:
            # more arrive than these proxies should send: some report more often than requested
            interval = min(self.interval / DECREASE_FACTOR, self._max_interval)
        return interval

    def _is_decrease(self, interval: float) -> bool:
        if interval * CHANGE_THRESHOLD < self.interval:
            return True
        return interval <= self._usual_interval < self.interval

    def _change(self, interval: float) -> None:
        self.interval = round(interval)
        self._set_interval(self.interval)

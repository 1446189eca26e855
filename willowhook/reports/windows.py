"""Finds the time that a report covers, how late it arrived, and which part of that time is already counted.

A report states its beginning and end by its proxy's clock; the offset of that clock from the controller's is
taken from the report with the shortest delay. Each span of time counts once: a report that is resent, copied,
or published again by a new process of the same proxy covers time that is already counted, and one that
overlaps counts by the part that is new. A report without times covers a span that ends now, and a report with
the same bytes counts once. Times are ticks.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field

from ..ticks import TICKS_PER_SECOND

CLOCK_DRIFT_DIVISOR = 10_000  # clocks drift by at most the elapsed time divided by this
MAX_SPANS = 16  # separate spans of a proxy; above it the two oldest are merged
CLOCK_RESET_TICKS = 10 * TICKS_PER_SECOND  # a clock that repeats counted times for this long was set back
CLOCK_RESET_PACE = 2  # such a clock runs at most this many times faster or slower than the controller's
RETENTION_TICKS = 600 * TICKS_PER_SECOND  # for the state of a proxy that sends nothing
CLEANUPS_PER_RETENTION = 10
KEPT_HASHES = 4  # of the latest reports without times


class CountedSpans:
    """The spans of time that are counted, sorted and disjoint.

    If there are `MAX_SPANS` of them, all time before the first counts as counted, too.
    """

    __slots__ = ("ends", "starts")

    def __init__(self) -> None:
        """Creates it without any counted span."""
        self.starts: list[int] = []
        self.ends: list[int] = []

    def add(self, since: int, until: int) -> float:
        """Counts a span of time; returns the fraction of it that is new, from 0 to 1."""
        if self.starts and until <= self.starts[0] and len(self.starts) >= MAX_SPANS:
            return 0.0  # too old to tell whether it was counted
        first = bisect_left(self.ends, since)
        last = bisect_right(self.starts, until)
        counted = 0
        for index in range(first, last):
            counted += min(self.ends[index], until) - max(self.starts[index], since)
        start = min([since, *self.starts[first:last]])
        end = max([until, *self.ends[first:last]])
        self.starts[first:last] = [start]
        self.ends[first:last] = [end]
        if len(self.starts) > MAX_SPANS:
            self.starts[0:2] = [self.starts[0]]
            self.ends[0:2] = [self.ends[1]]
        return 1.0 - counted / (until - since)


@dataclass(slots=True)
class _ProxyClock:
    """The state of one proxy's clock.

    Attributes:
        process: identifies the run of the proxy's program.
        offset: the controller's clock minus the proxy's, by the report with the shortest delay.
        newest: the latest end that a report stated.
        last_report_at: when the last report arrived.
        spans: the spans of time that are counted, by the proxy's clock.
        repeats_since: since when reports cover only counted time; None if the last one covered new time.
        first_repeat: the end that the first of those reports stated.
        hashes: the hashes of reports without times.
    """

    process: str
    offset: int
    newest: int
    last_report_at: int
    spans: CountedSpans = field(default_factory=CountedSpans)
    repeats_since: int | None = None
    first_repeat: int = 0
    hashes: list[int] = field(default_factory=list)

    def follow(self, now: int, process: str, until: int) -> None:
        """Updates the offset by a report of this process that arrived now and states this end."""
        if until > self.newest and process != self.process:  # it continues where the last process ended
            self.process = process
            self.offset = now - until
        drift = max(0, now - self.last_report_at) // CLOCK_DRIFT_DIVISOR
        self.offset = min(self.offset + drift, now - until)
        self.last_report_at = now

    def was_set_back(self, now: int, until: int) -> bool:
        """Whether a report that covers counted time is a new one, by a clock that was set back.

        That is so if all reports have covered counted time for `CLOCK_RESET_TICKS` and their ends advance at
        about the speed of the controller's clock. The ends of old reports that are resent stand still, or
        advance faster.
        """
        if self.repeats_since is None:
            self.repeats_since = now
            self.first_repeat = until
            return False
        elapsed = now - self.repeats_since
        advance = until - self.first_repeat
        is_at_pace = elapsed / CLOCK_RESET_PACE <= advance <= elapsed * CLOCK_RESET_PACE
        return elapsed >= CLOCK_RESET_TICKS and is_at_pace


@dataclass(frozen=True, slots=True)
class Covered:
    """The time that a report covers.

    Attributes:
        part: the fraction of it that is new, from 0 to 1.
        since: its beginning, by the controller's clock.
        until: its end, by the controller's clock.
    """

    part: float
    since: int
    until: int


class ReportWindows:
    """Tracks the time that each proxy's reports cover.

    Attributes:
        repeats: the number of reports that covered nothing new.
        clock_resets: how often a proxy's clock was set back.
    """

    def __init__(self) -> None:
        """Creates it without any proxy."""
        self._clocks: dict[str, _ProxyClock] = {}
        self._cleaned_at = 0
        self.repeats = 0
        self.clock_resets = 0

    def __len__(self) -> int:
        """The number of proxies with state."""
        return len(self._clocks)

    def last_known(self, proxy: str) -> tuple[str, int]:
        """Returns a proxy's process and the latest end it stated, by its clock; ('', -1) if none."""
        clock = self._clocks.get(proxy)
        return (clock.process, clock.newest) if clock is not None and clock.newest else ("", -1)

    def count(self, proxy: str, since: int, until: int) -> None:
        """Marks a span of time, by the proxy's clock, as counted without a report of it."""
        clock = self._clocks.get(proxy)
        if clock is not None and until > since:
            clock.spans.add(since, until)

    def drop_expired(self, now: int) -> None:
        """Drops the state of proxies that have sent nothing for `RETENTION_TICKS`.

        The state of a proxy outlives its session, as the next session may resend old reports.
        """
        if now - self._cleaned_at >= RETENTION_TICKS // CLEANUPS_PER_RETENTION:
            self._cleaned_at = now
            self._clocks = {
                name: clock
                for name, clock in self._clocks.items()
                if now - clock.last_report_at < RETENTION_TICKS
            }

    def record_timed(self, now: int, proxy: str, process: str, since: int, until: int) -> Covered:
        """Counts a report that states its times by the proxy's clock; `since` is before `until`."""
        clock = self._clocks.get(proxy)
        if clock is None:
            clock = self._clocks[proxy] = _ProxyClock(process, now - until, until, now)
        clock.follow(now, process, until)
        part = clock.spans.add(since, until)
        if part > 0:
            clock.repeats_since = None
        elif clock.was_set_back(now, until):
            self.clock_resets += 1
            clock = self._clocks[proxy] = _ProxyClock(process, now - until, until, now)
            part = clock.spans.add(since, until)
        else:
            self.repeats += 1
        clock.newest = max(clock.newest, until)
        return Covered(max(part, 0.0), since + clock.offset, until + clock.offset)

    def record_untimed(self, now: int, proxy: str, length: int, content_hash: int) -> Covered:
        """Counts a report of a span of this length that ends now; `content_hash` is the hash of its bytes."""
        clock = self._clocks.get(proxy)
        if clock is None:
            clock = self._clocks[proxy] = _ProxyClock("", 0, 0, now)
        clock.last_report_at = now
        if content_hash in clock.hashes:
            self.repeats += 1
            return Covered(0.0, now - length, now)
        clock.hashes = [*clock.hashes[-KEPT_HASHES + 1 :], content_hash]
        return Covered(1.0, now - length, now)

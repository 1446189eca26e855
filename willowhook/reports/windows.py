"""Which stretch of its proxy's time a report covers, how late it arrives, and what of it was counted before.

A report states its beginning and end by its proxy's own clock; the offset of that clock to this one is taken
from the report that arrived quickest. A stretch counts once: a report sent again, copied, or put in place
once more by a new process of the same proxy covers what is counted already. One that overlaps counts by the
part that is new. A report without times covers what ends now, and the same bytes count once. Times are ticks.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field

from ..ticks import TICKS_PER_SECOND

CLOCK_DRIFT_DIVISOR = 10_000  # clocks drift by at most the elapsed time divided by this
MAX_SPANS = 16  # separate spans of a proxy; beyond it the two oldest are merged
CLOCK_RESET_TICKS = 10 * TICKS_PER_SECOND  # a clock that repeats counted times for longer was set back
CLOCK_RESET_PACE = 2  # if it meanwhile ran at most this many times faster or slower than this clock
RETENTION_TICKS = 600 * TICKS_PER_SECOND  # of the state of a proxy that sends nothing
CLEANUPS_PER_RETENTION = 10
KEPT_HASHES = 4  # of reports without times


class CountedSpans:
    """Stretches of time that are counted, in order and apart; what lies before the first is counted, too."""

    __slots__ = ("ends", "starts")

    def __init__(self) -> None:
        """Starts with nothing counted."""
        self.starts: list[int] = []
        self.ends: list[int] = []

    def add(self, since: int, until: int) -> float:
        """Counts a span of time; returns the fraction of it that is new, from 0 to 1."""
        if self.starts and until <= self.starts[0] and len(self.starts) >= MAX_SPANS:
            return 0.0  # too old to know whether it was counted
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
        process: names the run of its program.
        offset: this clock less its own, by the report that arrived quickest.
        newest: the latest end that it told.
        heard_at: the last report arrived.
        spans: the spans of time that are counted, by its clock.
        repeats_since: since when only counted stretches have come; None: the last one was new.
        first_repeat: the end that the first of them told.
        hashes: the hashes of reports without times.
    """

    process: str
    offset: int
    newest: int
    heard_at: int
    spans: CountedSpans = field(default_factory=CountedSpans)
    repeats_since: int | None = None
    first_repeat: int = 0
    hashes: list[int] = field(default_factory=list)

    def follow(self, now: int, process: str, until: int) -> None:
        """Notes that a report of this process and this end arrived."""
        if until > self.newest and process != self.process:  # it continues where the last process ended
            self.process = process
            self.offset = now - until
        drift = max(0, now - self.heard_at) // CLOCK_DRIFT_DIVISOR
        self.offset = min(self.offset + drift, now - until)
        self.heard_at = now

    def was_set_back(self, now: int, until: int) -> bool:
        """Whether a counted stretch is a new one of a clock that was set back.

        It is if only counted stretches have come for long, at the pace of time. Old reports that are sent
        again stand still, or come faster.
        """
        if self.repeats_since is None:
            self.repeats_since = now
            self.first_repeat = until
            return False
        elapsed = now - self.repeats_since
        told = until - self.first_repeat
        is_at_pace = elapsed / CLOCK_RESET_PACE <= told <= elapsed * CLOCK_RESET_PACE
        return elapsed >= CLOCK_RESET_TICKS and is_at_pace


@dataclass(frozen=True, slots=True)
class Covered:
    """The time that a report covers.

    Attributes:
        part: the fraction of it that is new, from 0 to 1.
        since: its beginning, by this clock.
        until: its end, by this clock.
    """

    part: float
    since: int
    until: int


class ReportWindows:
    """The time that each proxy's reports cover.

    Attributes:
        repeats: the number of reports that covered nothing new.
        clocks_set: how often a proxy's clock was set back.
    """

    def __init__(self) -> None:
        """Starts without a proxy."""
        self._clocks: dict[str, _ProxyClock] = {}
        self._cleaned_at = 0
        self.repeats = 0
        self.clocks_set = 0

    def __len__(self) -> int:
        """The number of proxies that have state here."""
        return len(self._clocks)

    def last_known(self, proxy: str) -> tuple[str, int]:
        """The process and the latest end that a proxy told, by its clock; ('', -1) if none."""
        clock = self._clocks.get(proxy)
        return (clock.process, clock.newest) if clock is not None and clock.newest else ("", -1)

    def count(self, proxy: str, since: int, until: int) -> None:
        """Counts a stretch, by the proxy's clock, without a report of it."""
        clock = self._clocks.get(proxy)
        if clock is not None and until > since:
            clock.spans.add(since, until)

    def drop_expired(self, now: int) -> None:
        """Drops proxies that have been silent for long.

        What is known of a proxy outlives its session, as old reports may come with the next.
        """
        if now - self._cleaned_at >= RETENTION_TICKS // CLEANUPS_PER_RETENTION:
            self._cleaned_at = now
            self._clocks = {
                name: clock for name, clock in self._clocks.items() if now - clock.heard_at < RETENTION_TICKS
            }

    def record_timed(self, now: int, proxy: str, process: str, since: int, until: int) -> Covered:
        """Counts a report that states its times by the proxy's clock, `since` before `until`."""
        clock = self._clocks.get(proxy)
        if clock is None:
            clock = self._clocks[proxy] = _ProxyClock(process, now - until, until, now)
        clock.follow(now, process, until)
        part = clock.spans.add(since, until)
        if part > 0:
            clock.repeats_since = None
        elif clock.was_set_back(now, until):
            self.clocks_set += 1
            clock = self._clocks[proxy] = _ProxyClock(process, now - until, until, now)
            part = clock.spans.add(since, until)
        else:
            self.repeats += 1
        clock.newest = max(clock.newest, until)
        return Covered(max(part, 0.0), since + clock.offset, until + clock.offset)

    def record_untimed(self, now: int, proxy: str, length: int, content: int) -> Covered:
        """Counts a report of the stretch of this length that ends now; `content` is a hash of its bytes."""
        clock = self._clocks.get(proxy)
        if clock is None:
            clock = self._clocks[proxy] = _ProxyClock("", 0, 0, now)
        clock.heard_at = now
        if content in clock.hashes:
            self.repeats += 1
            return Covered(0.0, now - length, now)
        clock.hashes = [*clock.hashes[-KEPT_HASHES + 1 :], content]
        return Covered(1.0, now - length, now)

"""Which stretch of its proxy's time a report covers, how late it comes, and what of it was counted before.

A report tells from when to when, by its proxy's own clock; where that clock stands beside this one is taken
from the report that came quickest.  A stretch counts once: a report sent again, copied, or put in place once
more by a new process of the same proxy covers what is counted already.  One that overlaps counts by the part
that is new.  A report without times covers what ends now, and the same bytes count once.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field

from ..ticks import TICKS_PER_SECOND

DRIFT = 10_000  # clocks run apart by one part in so many at the most
MOST_SPANS = 16  # apart from each other, a proxy; older ones grow together
BACK = 10 * TICKS_PER_SECOND  # a clock that stands still or goes back for so long was set anew
KEEP = 600 * TICKS_PER_SECOND  # what is known of a proxy that says nothing
KEPT = 4  # hashes of reports without times


class Spans:
    """Stretches that were counted, in order and apart; what lies before the first is counted too."""

    __slots__ = ("ends", "starts")

    def __init__(self) -> None:
        self.starts: list[int] = []
        self.ends: list[int] = []

    def take(self, since: int, until: int) -> float:
        """The part of it that is new, from 0 to 1; from now on none of it is."""
        if self.starts and until <= self.starts[0] and len(self.starts) >= MOST_SPANS:
            return 0.0  # so old that nobody knows any more
        first, last = bisect_left(self.ends, since), bisect_right(self.starts, until)
        known = 0
        for k in range(first, last):
            known += min(self.ends[k], until) - max(self.starts[k], since)
        start = min([since, *self.starts[first:last]])
        end = max([until, *self.ends[first:last]])
        self.starts[first:last], self.ends[first:last] = [start], [end]
        if len(self.starts) > MOST_SPANS:
            self.starts[0:2], self.ends[0:2] = [self.starts[0]], [self.ends[1]]
        return 1.0 - known / (until - since)


@dataclass(slots=True)
class Clock:
    """What is known of one proxy's time."""

    process: str
    offset: int  # this clock less its own, by the report that came quickest
    newest: int  # the latest end that was told
    heard_at: int
    spans: Spans = field(default_factory=Spans)
    old_since: int = -1  # reports of counted stretches have come since then, without a new one between
    old_first: int = 0  # the end that the first of them told
    hashes: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Covered:
    """`part`: what of it is new; `since`, `until`: by this clock."""

    part: float
    since: int
    until: int


class Windows:
    """By proxy.  Times are tenths of a millisecond."""

    def __init__(self) -> None:
        self._clocks: dict[str, Clock] = {}
        self.repeats = self.clocks_set = 0
        self._looked_at = 0

    def __len__(self) -> int:
        return len(self._clocks)

    def before(self, proxy: str) -> tuple[str, int]:
        """The process and the latest end that it told, by its clock; ('', -1) if none."""
        clock = self._clocks.get(proxy)
        return (clock.process, clock.newest) if clock is not None and clock.newest else ("", -1)

    def cover(self, proxy: str, since: int, until: int) -> None:
        """From now on this stretch, by the proxy's clock, is counted."""
        clock = self._clocks.get(proxy)
        if clock is not None and until > since:
            clock.spans.take(since, until)

    def look(self, now: int) -> None:
        """What is known of a proxy outlives its stay, as old reports may come with the next; not for ever."""
        if now - self._looked_at >= KEEP // 10:
            self._looked_at = now
            self._clocks = {
                name: clock for name, clock in self._clocks.items() if now - clock.heard_at < KEEP
            }

    def told(self, now: int, proxy: str, process: str, since: int, until: int) -> Covered:
        """A report that tells its times, by the proxy's clock; `since` < `until`."""
        clock = self._clocks.get(proxy)
        if clock is None:
            clock = self._clocks[proxy] = Clock(process, now - until, until, now)
        if until > clock.newest and process != clock.process:  # it goes on where the last process ended
            clock.process, clock.offset = process, now - until
        slack = max(0, now - clock.heard_at) // DRIFT
        clock.offset, clock.heard_at = min(clock.offset + slack, now - until), now
        part = clock.spans.take(since, until)
        if part > 0:
            clock.old_since = -1
        elif self._was_set_back(now, clock, until):
            self.clocks_set += 1
            clock = self._clocks[proxy] = Clock(process, now - until, until, now)
            part = clock.spans.take(since, until)
        else:
            self.repeats += 1
        clock.newest = max(clock.newest, until)
        return Covered(max(part, 0.0), since + clock.offset, until + clock.offset)

    @staticmethod
    def _was_set_back(now: int, clock: Clock, until: int) -> bool:
        """Only counted stretches have come for long, at the pace of time: they are new ones of a clock that
        was set.  Old reports that are sent again stand still, or come faster.
        """
        if clock.old_since < 0:
            clock.old_since, clock.old_first = now, until
            return False
        passed = now - clock.old_since
        return passed >= BACK and passed / 2 <= until - clock.old_first <= 2 * passed

    def untold(self, now: int, proxy: str, length: int, content: int) -> Covered:
        """A report of the stretch of this length that ends now; `content`: a hash of its bytes."""
        clock = self._clocks.setdefault(proxy, Clock("", 0, 0, now))
        clock.heard_at = now
        if content in clock.hashes:
            self.repeats += 1
            return Covered(0.0, now - length, now)
        clock.hashes = [*clock.hashes[-KEPT + 1 :], content]
        return Covered(1.0, now - length, now)

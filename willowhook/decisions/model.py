"""What a director holds of hosts and tables, and the arithmetic on it: no decisions, no tuned values."""

from __future__ import annotations

from itertools import accumulate

from .events import EndpointState
from .settings import Route

NEVER = 1 << 60  # a time, in tenths of a millisecond


class Ring:
    """Sums in fixed buckets of time, used again in a ring."""

    def __init__(self, width: int, buckets: int, fields: int) -> None:
        self.width, self.buckets, self.nothing = width, buckets, [0.0] * fields
        self.forget()

    def forget(self) -> None:
        self.rows = [(-1, self.nothing)] * self.buckets

    def add(self, now: int, *values: float) -> None:
        stamp = now // self.width
        at, sums = self.rows[stamp % self.buckets]
        old = sums if at == stamp else self.nothing
        self.rows[stamp % self.buckets] = (stamp, [a + b for a, b in zip(old, values, strict=True)])

    def total(self, now: int, buckets: int, back: int = 0) -> list[float]:
        last = now // self.width - back
        kept = [sums for at, sums in self.rows if last - buckets < at <= last]
        return [sum(column) for column in zip(*kept, strict=True)] if kept else self.nothing


def middle(rows: list[tuple[float, float]]) -> float:
    """The median of values by weight; there must be one."""
    rows, half = sorted(rows), sum(weight for _, weight in rows) / 2
    reached = accumulate(weight for _, weight in rows)
    return next(value for (value, _), so_far in zip(rows, reached, strict=True) if so_far >= half)


def cap(values: list[float], share: float) -> float:
    """What all values are cut down to for this share of their sum to be left; the smallest stay whole."""
    left, rows = share * sum(values), sorted(values)
    for i, value in enumerate(rows):
        if value * (len(rows) - i) >= left:
            return left / (len(rows) - i)
        left -= value
    return rows[-1] * share if rows else 0.0


class Upstream:
    """A listed host, as this director knows it."""

    def __init__(self, width: int, buckets: int) -> None:
        self.mode = EndpointState.REMOVED
        self.started, self.size, self.kind, self.zone = 0, 1.0, "", ""
        self.heard = Ring(width, buckets, 3)  # tries, errors, time of the answered
        self.factor = 1.0  # what latency has made of its base weight
        self.sick, self.out_until, self.rest = False, 0, 0  # out until then; how long the last time
        self.busy, self.busy_at = 0.0, -(1 << 40)  # cores in use, as last told
        self.probe_at, self.missed = 0, False  # its next probe; whether it missed the last
        self.withdrawn, self.shifted_at = False, 0  # as ordered, and when
        self.new = False  # it was listed for the first time while this director looked on
        self.anew = False  # it started anew while in service, and was not withdrawn since


class Table:
    """A shared table: routes that may use the same hosts, for all proxies, a zone's or a group's."""

    def __init__(self, number: int, routes: list[int], like: Route, zone: str, group: int = -1) -> None:
        self.number, self.routes, self.like, self.zone = number, routes, like, zone
        self.group, self.only = group, list[Upstream]()  # narrow: of a group of proxies, with these hosts
        self.far = 1.0  # what hosts elsewhere count there
        self.sent: dict[str, float] = {}
        self.levels: dict[int, tuple[int, float]] = {}  # by route: tries and level, as ordered
        self.owed: dict[str, None] = {}  # lines to send again, as proxies were bound since they went out


class Channel:
    """What waits in a channel: lines ordered, at its stated rate, and those whose answer is overdue."""

    def __init__(self, rate: float, head: int, late: int, now: int) -> None:
        self.rate, self.head, self.late = rate, head, late  # lines a tick, of a head; a message's longest way
        self.queue, self.overdue, self.drained_at, self.mark = 0.0, 0.0, now, 0
        self.since, self.heard_at = now, now  # what was due by then is lost; when the last answer came
        self.floor, self.left = (
            0.0,
            0.0,
        )  # lines that wait for certain, at the stated rate or any lower; may wait
        self.turn, self.passed = 0, 0  # moments sent, and those that have left whole
        self.waiting: dict[int, list[tuple[int, int, int, int]]] = {}  # by proxy: mark, lines, due, turn
        self.moment: dict[int, int] = {}  # lines by proxy, ordered since the last moment was over

    def load(self) -> float:
        return max(self.queue + self.overdue, self.floor)

    def ceiling(self) -> float:
        """What may wait at the most, however slow the channel has become: its limit is set against this."""
        return max(self.load(), self.left)

    def cost(self, proxies: list[int], lines: int) -> int:
        return lines * len(proxies) + self.head * sum(proxy not in self.moment for proxy in proxies)

    def charge(self, proxies: list[int], lines: int) -> None:
        cost = self.cost(proxies, lines)
        self.queue, self.floor, self.left = self.queue + cost, self.floor + cost, self.left + cost
        for proxy in proxies:
            self.moment[proxy] = self.moment.get(proxy, self.head) + lines

    def drain(self, now: int) -> None:
        self.queue = max(0.0, self.queue - self.rate * (now - self.drained_at))
        self.drained_at = now
        # what left within a message's longest way may not be answered yet; the rest still waits
        self.left = self.unproven()
        self.floor = max(0.0, self.left - self.rate * self.late)

    def send(self, now: int) -> int:
        """Books the moment's messages under one mark, and gives it."""
        self.mark = (self.mark + 1) % 65536
        due = now + int(self.load() / self.rate) + self.late
        self.turn += 1
        for proxy, lines in self.moment.items():
            self.waiting[proxy].append((self.mark, lines, due, self.turn))
        self.moment.clear()
        return self.mark

    def answered(self, now: int, proxy: int, number: int) -> None:
        """Messages leave in turn: what was sent in moments before an answered one has left.

        Of its own moment it proves nothing: a wave takes a second to leave, and its first answer comes early.
        """
        book, self.heard_at = self.waiting.get(proxy, []), now
        for i, (mark, _, _, turn) in enumerate(book):
            if mark == number:
                self.passed = max(self.passed, turn - 1)
                del book[: i + 1]
                return

    def unproven(self) -> int:
        """Lines of which no answer, their own or a later one's, shows yet that they have left."""
        return self._left(self.since, NEVER)

    def look(self, now: int, lost: int) -> None:
        """Sums what is overdue; what is so for longer than `lost` is lost, if no answer comes any more.

        While answers come, however late, the channel is slow, and what has none still waits in its turn.
        """
        if now - self.heard_at >= lost:
            self.since = now - lost
        self.overdue = self._left(self.since, now)

    def _left(self, since: int, until: int) -> int:
        rows = [row for book in self.waiting.values() for row in book if row[3] > self.passed]
        return sum(lines for _, lines, due, _ in rows if since < due < until)

"""A fake host: holds what was ordered.  It lacks the orders that are never given: tell."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from pathlib import Path

from willowhook.facts import read_facts
from willowhook.host import Facts
from willowhook.rules import Director

SECOND = 10_000
FACTS = read_facts((Path(__file__).parent / "options.json").read_text())


def facts(**parts: object) -> Facts:
    """The example's facts, with some replaced: `channel__messages_most=6` reaches inside."""
    made = FACTS
    for key, value in parts.items():
        outer, _, inner = key.partition("__")
        new = replace(getattr(made, outer), **{inner: value}) if inner else value
        made = replace(made, **{outer: new})
    return made


@dataclass
class FakeHost:
    terms: Facts
    now: int = 0
    logs: list[str] = field(default_factory=list)
    watched: int = 0
    fetched: int = 0
    withdrawals: int = 0
    lines: dict[int, dict[str, float]] = field(default_factory=dict)
    out: dict[str, bool] = field(default_factory=dict)
    bound: dict[int, dict[int, int]] = field(default_factory=dict)  # proxy, route, table
    tries: dict[int, int] = field(default_factory=dict)  # by route, the most ordered
    levels: dict[tuple[int, int], float] = field(default_factory=dict)
    timers: list[tuple[int, int]] = field(default_factory=list)
    joined: dict[int, None] = field(default_factory=dict)
    queue: float = 0.0
    messages: dict[int, list[int]] = field(default_factory=dict)
    moment: dict[int, int] = field(default_factory=dict)
    marks: list[tuple[int, int, float]] = field(default_factory=list)  # proxy, number, lines up to it
    total: float = 0.0  # lines ever ordered
    probes: list[str] = field(default_factory=list)
    shut: dict[int, list[str]] = field(default_factory=dict)  # by proxy: told that they went before it came
    number: int = -1

    def after(self, delay: int, key: int) -> None:
        self.timers.append((self.now + delay, key))

    def log(self, text: str) -> None:
        self.logs.append(text)

    def watch(self, on: bool) -> None:
        self.watched += on

    def fetch(self) -> None:
        self.fetched += 1

    def probe(self, host: str) -> None:
        assert self.terms.probes
        self.probes.append(host)

    def _reaches(self, table: int) -> list[int]:
        return [p for p, book in self.bound.items() if table in book.values()]

    def _charge(self, proxies: list[int], lines: int) -> None:
        for proxy in proxies:
            self.moment[proxy] = self.moment.get(proxy, 0) + lines

    def line(self, table: int, host: str, weight: float) -> None:
        assert weight >= 0
        book = self.lines.setdefault(table, {})
        book.pop(host, None)
        if weight > 0:
            book[host] = weight
        self._charge(self._reaches(table), 1)

    def withdraw(self, host: str, on: bool) -> None:
        self.out[host] = on
        self.withdrawals += on
        holding = [t for t, book in self.lines.items() if host in book]  # by the wire: who has a line for it
        users = {proxy for table in holding for proxy in self._reaches(table)}
        self._charge([p for p in self.joined if p in users or p not in self.bound], 1)

    def shut_out(self, proxy: int, hosts: list[str]) -> None:
        assert self.terms.keeps_shut and proxy in self.joined
        self.shut.setdefault(proxy, []).extend(hosts)
        self._charge([proxy], len(hosts))

    def let_back(self, proxy: int, hosts: list[str]) -> None:
        assert self.terms.keeps_shut and proxy in self.joined
        self._charge([proxy], len(hosts))

    def clear(self, table: int) -> None:
        self.lines.pop(table, None)
        self._charge(self._reaches(table), 1)

    def forget(self, host: str) -> None:
        assert not any(host in book for book in self.lines.values())
        self.out.pop(host)

    def bind(self, proxy: int, table: int, routes: int) -> None:
        assert proxy in self.joined
        for k in range(len(self.terms.routes)):
            if routes == 0 or routes >> k & 1:
                self.bound.setdefault(proxy, {})[k] = table
        held = sum(1 for t, _ in self.levels if t == table)
        self._charge([proxy], 1 + len(self.lines.get(table, {})) + held)

    def allow(self, table: int, routes: int, tries: int, level: float) -> None:
        assert level >= 0
        for k in range(len(self.terms.routes)):
            if routes == 0 or routes >> k & 1:
                self.tries[k] = max(self.tries.get(k, 0), tries)
                self.levels[table, k] = level
        self._charge(self._reaches(table), 1)

    def mark(self, number: int, everyone: bool) -> None:
        assert 0 <= number < 65536
        self.number = number

    def sent(self) -> None:
        for proxy, lines in self.moment.items():
            self.queue += lines + self.terms.channel.head_lines + 1
            self.total += lines + self.terms.channel.head_lines + 1
            self.messages.setdefault(proxy, []).append(self.now)
            self.marks.append((proxy, self.number, self.total))
        self.moment.clear()

    def leave(self, proxy: int) -> None:
        self.joined.pop(proxy)
        self.bound.pop(proxy, None)
        self.messages.pop(proxy, None)
        self.marks = [row for row in self.marks if row[0] != proxy]


class Stage:
    def __init__(self, terms: Facts = FACTS, seed: int = 1) -> None:
        self.host = FakeHost(terms)
        self.director = Director(self.host, terms, seed, 0)

    @property
    def now(self) -> int:
        return self.host.now

    def over(self) -> None:
        self.director.moment_over(self.now)
        self.host.sent()

    def pass_time(self, ticks: int, speed: float = 1.0) -> None:
        """Runs the timers that fall due, and the channel at this share of its stated rate."""
        end = self.now + ticks
        while True:
            due = min((t for t, _ in self.host.timers), default=end + 1)
            at = min(due, end)
            drained = self.host.terms.channel.lines_per_s * speed * (at - self.now) / SECOND
            self.host.queue = max(0.0, self.host.queue - drained)
            self.host.now = at
            left = self.host.total - self.host.queue + 1e-6
            while self.host.marks and self.host.marks[0][2] <= left:  # messages leave in turn
                proxy, number, _ = self.host.marks.pop(0)
                self.director.mark_answered(at, proxy, number, 0)
            if due > end:
                return
            keys = [k for t, k in self.host.timers if t <= at]
            self.host.timers = [(t, k) for t, k in self.host.timers if t > at]
            for key in keys:
                self.director.timer_due(at, key)
            self.over()

    def list(self, rows: dict[str, tuple[str, int]], whole: bool = True) -> None:
        """`{host: (mode, started)}`; zones and kinds follow from the place in the list."""
        self.director.list_began(self.now, whole)
        zones = self.host.terms.zones
        for name, (mode, started) in rows.items():
            k = int(name[1:])
            kind, zone = "fast" if k % 2 else "std", zones[k % len(zones)]
            self.director.host_listed(self.now, name, mode, started, str(k % 3), 1.0, kind, zone)
        self.director.list_ended(self.now)

    def join(self, proxy: int, rate: float = 10.0, fresh: bool = True) -> None:
        self.host.joined[proxy] = None
        zones = self.host.terms.zones
        self.director.proxy_joined(self.now, proxy, zones[proxy % len(zones)], rate, fresh)

    def leave(self, proxy: int) -> None:
        self.host.leave(proxy)
        self.director.proxy_left(self.now, proxy)

    def hear(self, name: str, tries: int, errors: int, latency_ms: float, busy: float = 0.5) -> None:
        window, zone = self.host.terms.fleet.period, self.host.terms.zones[0]
        self.director.hosts_heard(
            self.now, name, zone, tries, errors, int(latency_ms * 10), window, {"busy": busy}
        )

    def come(self, proxy: int, route: str, calls: int) -> None:
        self.director.calls_came(self.now, proxy, route, calls, 0, self.host.terms.fleet.period)

    def weights(self, table: int = 0) -> dict[str, float]:
        return {h: w for h, w in self.host.lines.get(table, {}).items() if not self.host.out.get(h)}

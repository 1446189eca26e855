"""A fake host: holds what was ordered.  It lacks the orders that are never given: tell."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

from willowhook.decisions.controller import Controller
from willowhook.decisions.events import (
    EndpointEntry,
    EndpointListReceived,
    EndpointReport,
    EndpointState,
    EvaluationDue,
    MessageAcknowledged,
    ProxyJoined,
    ProxyLeft,
    RequestReport,
)
from willowhook.decisions.runtime import AdmissionLimit
from willowhook.decisions.settings import DeploymentSettings
from willowhook.settings_codec import parse_settings

SECOND = 10_000
SETTINGS = parse_settings((Path(__file__).parent / "options.json").read_text())


def replaced(**parts: object) -> DeploymentSettings:
    """The example's settings, with some replaced: `channel__message_cap=6` reaches inside."""
    made = SETTINGS
    for key, value in parts.items():
        outer, _, inner = key.partition("__")
        new = replace(getattr(made, outer), **{inner: value}) if inner else value
        made = replace(made, **{outer: new})
    return made


@dataclass
class FakeHost:
    terms: DeploymentSettings
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
    timers: list[int] = field(default_factory=list)
    joined: dict[int, None] = field(default_factory=dict)
    queue: float = 0.0
    messages: dict[int, list[int]] = field(default_factory=dict)
    moment: dict[int, int] = field(default_factory=dict)
    marks: list[tuple[int, int, float]] = field(default_factory=list)  # proxy, number, lines up to it
    total: float = 0.0  # lines ever ordered
    probes: list[str] = field(default_factory=list)
    shut: dict[int, list[str]] = field(default_factory=dict)  # by proxy: told that they went before it came
    number: int = -1

    def schedule_evaluation(self, delay_ticks: int) -> None:
        self.timers.append(self.now + delay_ticks)

    def log(self, text: str) -> None:
        self.logs.append(text)

    def watch_endpoints(self) -> None:
        self.watched += 1

    def fetch_endpoint_list(self) -> None:
        self.fetched += 1

    def check_health(self, endpoint: str) -> None:
        assert self.terms.health_checks
        self.probes.append(endpoint)

    def _reaches(self, table: int) -> list[int]:
        return [p for p, book in self.bound.items() if table in book.values()]

    def _charge(self, proxies: list[int], lines: int) -> None:
        for proxy in proxies:
            self.moment[proxy] = self.moment.get(proxy, 0) + lines

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        assert weight >= 0
        book = self.lines.setdefault(table, {})
        book.pop(endpoint, None)
        if weight > 0:
            book[endpoint] = weight
        self._charge(self._reaches(table), 1)

    def exclude_endpoint(self, endpoint: str) -> None:
        self.withdrawals += 1
        self._withdraw(endpoint, True)

    def readmit_endpoint(self, endpoint: str) -> None:
        self._withdraw(endpoint, False)

    def _withdraw(self, host: str, on: bool) -> None:
        self.out[host] = on
        holding = [t for t, book in self.lines.items() if host in book]  # by the wire: who has a line for it
        users = {proxy for table in holding for proxy in self._reaches(table)}
        self._charge([p for p in self.joined if p in users or p not in self.bound], 1)

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        assert self.terms.exclusions_outlive_sessions and proxy in self.joined
        self.shut.setdefault(proxy, []).extend(endpoints)
        self._charge([proxy], len(endpoints))

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        assert self.terms.exclusions_outlive_sessions and proxy in self.joined
        self._charge([proxy], len(endpoints))

    def clear_table(self, table: int) -> None:
        self.lines.pop(table, None)
        self._charge(self._reaches(table), 1)

    def forget_endpoint(self, endpoint: str) -> None:
        assert not any(endpoint in book for book in self.lines.values())
        self.out.pop(endpoint)

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        assert proxy in self.joined
        assert routes and all(0 <= route < len(self.terms.routes) for route in routes)
        for route in routes:
            self.bound.setdefault(proxy, {})[route] = table
        held = sum(1 for t, _ in self.levels if t == table)
        self._charge([proxy], 1 + len(self.lines.get(table, {})) + held)

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        assert admission.limit >= 0 and 0 <= route < len(self.terms.routes)
        self.tries[route] = max(self.tries.get(route, 0), admission.retries)
        self.levels[table, route] = admission.limit
        self._charge(self._reaches(table), 1)

    def send_sync_marker(self, marker: int) -> None:
        assert 0 <= marker < 65536
        self.number = marker

    def sent(self) -> None:
        for proxy, lines in self.moment.items():
            self.queue += lines + self.terms.channel.message_overhead_entries + 1
            self.total += lines + self.terms.channel.message_overhead_entries + 1
            self.messages.setdefault(proxy, []).append(self.now)
            self.marks.append((proxy, self.number, self.total))
        self.moment.clear()

    def leave(self, proxy: int) -> None:
        self.joined.pop(proxy)
        self.bound.pop(proxy, None)
        self.messages.pop(proxy, None)
        self.marks = [row for row in self.marks if row[0] != proxy]


class Stage:
    def __init__(self, terms: DeploymentSettings = SETTINGS, seed: int = 1) -> None:
        self.host = FakeHost(terms)
        self.director = Controller(self.host, terms, seed, 0)

    @property
    def now(self) -> int:
        return self.host.now

    def over(self) -> None:
        self.director.flush(self.now)
        self.host.sent()

    def pass_time(self, ticks: int, speed: float = 1.0) -> None:
        """Runs the timers that fall due, and the channel at this share of its stated rate."""
        end = self.now + ticks
        while True:
            due = min(self.host.timers, default=end + 1)
            at = min(due, end)
            drained = self.host.terms.channel.entries_per_second * speed * (at - self.now) / SECOND
            self.host.queue = max(0.0, self.host.queue - drained)
            self.host.now = at
            left = self.host.total - self.host.queue + 1e-6
            while self.host.marks and self.host.marks[0][2] <= left:  # messages leave in turn
                proxy, number, _ = self.host.marks.pop(0)
                self.director.handle(at, MessageAcknowledged(proxy, number))
            if due > end:
                return
            count = sum(t <= at for t in self.host.timers)
            self.host.timers = [t for t in self.host.timers if t > at]
            for _ in range(count):
                self.director.handle(at, EvaluationDue())
            self.over()

    def list(self, rows: dict[str, tuple[EndpointState, int]], whole: bool = True) -> None:
        """`{endpoint: (state, started)}`; zones and classes follow from the place in the list."""
        zones, entries = self.host.terms.zones, list[EndpointEntry]()
        for name, (state, started) in rows.items():
            k = int(name[1:])
            kind, zone = "fast" if k % 2 else "std", zones[k % len(zones)]
            entries.append(EndpointEntry(name, state, started, 1.0, kind, zone))
        self.director.handle(self.now, EndpointListReceived(whole, tuple(entries)))

    def join(self, proxy: int, rate: float = 10.0, fresh: bool = True) -> None:
        self.host.joined[proxy] = None
        zones = self.host.terms.zones
        self.director.handle(self.now, ProxyJoined(proxy, zones[proxy % len(zones)], rate, fresh))

    def leave(self, proxy: int) -> None:
        self.host.leave(proxy)
        self.director.handle(self.now, ProxyLeft(proxy))

    def hear(self, name: str, tries: int, errors: int, latency_ms: float, busy: float = 0.5) -> None:
        self.director.handle(self.now, EndpointReport(name, tries, errors, int(latency_ms * 10), busy))

    def come(self, proxy: int, route: str, calls: int) -> None:
        window = self.host.terms.fleet.report_interval_ticks
        self.director.handle(self.now, RequestReport(proxy, route, calls, window))

    def weights(self, table: int = 0) -> dict[str, float]:
        return {h: w for h, w in self.host.lines.get(table, {}).items() if not self.host.out.get(h)}

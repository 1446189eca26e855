"""What a candidate will meet: hosts as listed, and what every proxy holds or may hold soon.

Proxies that hold the same tables are one *class*; a class has the sum of its proxies' calls a second by
route.  So the calls that a host may be sent are a sum over classes that have a line for it, and a proxy
that goes from one table to the next costs two sums, however many proxies and hosts there are.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

OPEN, DRAINING, GONE = "open", "draining", "gone"


@dataclass(frozen=True, slots=True)
class RouteFacts:
    name: str
    semantics: str  # idempotent, deduplicated or at_most_once
    own_zone: bool = False
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class GuardTerms:
    """Times in one unit, that of `now`."""

    routes: tuple[RouteFacts, ...]
    grace: int
    cold: int
    start_capacity: float
    fall_multiple: float
    lines_per_tick: float
    most_waiting: float
    messages_most: int
    messages_over: int
    fleet: int  # proxies of all directors
    cold_part: float = 0.8  # of a cold host's budget that tables may use
    swing: float = 6.0  # how many times its fair part of all calls one host may be given
    capacity: Mapping[str, float] = field(default_factory=dict)  # calls a second, by kind, where it is told
    most_of_capacity: float = 1.0


@dataclass(slots=True)
class HostFacts:
    name: str
    mode: str
    since: int  # when it was first listed in this mode
    started: int = 0  # 0: long ago
    size: float = 1.0
    kind: str = ""
    zone: str = ""
    address: bool = True  # whether it is known where it is


@dataclass(frozen=True, slots=True)
class Tables:
    """What a proxy holds: by route its lines, the tries and the level; and what is withdrawn."""

    lines: tuple[Mapping[str, float], ...]  # by route
    withdrawn: frozenset[str]
    tries: tuple[int, ...]
    levels: tuple[float, ...]
    key: object = None  # the same for the same content, where the maker knows; else what it holds is the key

    def usable(self, route: int) -> dict[str, float]:
        return {h: w for h, w in self.lines[route].items() if h not in self.withdrawn and w > 0}


@dataclass(slots=True)
class ProxyFacts:
    rates: tuple[float, ...]  # calls a second, by route
    zone: str = ""
    held: tuple[object, ...] = ()  # keys: applied first, then in flight in their order
    newest: tuple[int, int, int] = (0, 0, 0)  # term, epoch, message last sent or applied
    sent_at: list[int] = field(default_factory=list)


class Shares:
    """One content of tables, worked out once: by route each host's share of the calls."""

    __slots__ = ("by_route", "hosts", "tables", "users")

    def __init__(self, tables: Tables) -> None:
        self.tables, self.users = tables, 0
        self.by_route: list[dict[str, float]] = []
        known: dict[int, dict[str, float]] = {}  # routes that share one table are worked out once
        for route, lines in enumerate(tables.lines):
            found = known.get(id(lines))
            if found is None:
                usable = tables.usable(route)
                total = sum(usable.values())
                good = total > 0 and math.isfinite(total)
                found = known[id(lines)] = {h: w / total for h, w in usable.items()} if good else {}
            self.by_route.append(found)
        self.hosts = dict.fromkeys(host for row in self.by_route for host in row)


class World:
    def __init__(self, terms: GuardTerms) -> None:
        self.terms = terms
        self.hosts: dict[str, HostFacts] = {}
        self.proxies: dict[object, ProxyFacts] = {}
        self.contents: dict[object, Shares] = {}
        self.classes: dict[tuple[object, ...], list[float]] = {}  # keys held, rates by route and a count last
        self.by_host: dict[str, dict[tuple[object, ...], None]] = {}  # classes that may send there
        self.waiting, self.waiting_at = 0.0, 0
        self.total = [0.0] * len(terms.routes)

    # Hosts.

    def list_hosts(self, now: int, rows: Iterable[HostFacts]) -> None:
        """The whole list; what is missing is gone."""
        here: dict[str, None] = {}
        for row in rows:
            here[row.name] = None
            old = self.hosts.get(row.name)
            row.since = old.since if old is not None and old.mode == row.mode else now
            self.hosts[row.name] = row
        for name, old in self.hosts.items():
            if name not in here and old.mode != GONE:
                old.mode, old.since = GONE, now

    def warmth(self, now: int, host: HostFacts) -> float:
        """The part of its usual work that it can do, by the stated ramp."""
        terms = self.terms
        age = now - host.started
        if not host.started or age >= terms.cold:
            return 1.0
        return terms.start_capacity + (1 - terms.start_capacity) * max(age, 0) / terms.cold

    def fits(self, route: int, host: HostFacts, zone: str) -> bool:
        row = self.terms.routes[route]
        if row.own_zone and host.zone != zone:
            return False
        return (not row.kinds or host.kind in row.kinds) and (not row.zones or host.zone in row.zones)

    # Proxies.

    def join(self, proxy: object, zone: str, rates: tuple[float, ...], tables: Tables | None) -> None:
        self.leave(proxy)
        self.proxies[proxy] = ProxyFacts(rates, zone)
        self._count(rates, 1)
        if tables is not None:
            self._hold(proxy, (self._key(tables),))

    def leave(self, proxy: object) -> None:
        facts = self.proxies.get(proxy)
        if facts is not None:
            self._hold(proxy, ())
            self._count(facts.rates, -1)
            del self.proxies[proxy]

    def rate(self, proxy: object, rates: tuple[float, ...]) -> None:
        """What comes to this proxy now."""
        facts = self.proxies.get(proxy)
        if facts is None or facts.rates == rates:
            return
        self._count(facts.rates, -1)
        self._count(rates, 1)
        row = self.classes.get(facts.held)
        for k, (old, new) in enumerate(zip(facts.rates, rates, strict=True)):
            if row is not None:
                row[k] += new - old
        facts.rates = rates

    def sent(self, now: int, proxy: object, tables: Tables, version: tuple[int, int, int]) -> None:
        """On its way: until it is answered, the proxy may hold this or what it held before."""
        facts = self.proxies[proxy]
        key = self._key(tables)
        if not facts.held or facts.held[-1] != key:
            self._hold(proxy, (*facts.held, key))
        facts.newest = max(facts.newest, version)
        facts.sent_at.append(now)
        while facts.sent_at[0] <= now - self.terms.messages_over:
            del facts.sent_at[0]

    def answered(self, proxy: object, tables: Tables | None = None) -> None:
        """All that was sent up to these tables has been applied; None: all that was sent."""
        facts = self.proxies.get(proxy)
        if facts is None or not facts.held:
            return
        key = facts.held[-1] if tables is None else self.key_of(tables)
        if key in facts.held:
            at = len(facts.held) - 1 - facts.held[::-1].index(key)
            self._hold(proxy, facts.held[at:])

    def _count(self, rates: tuple[float, ...], sign: int) -> None:
        for k, rate in enumerate(rates):
            self.total[k] += sign * rate

    @staticmethod
    def key_of(tables: Tables) -> object:
        """The same for the same content."""
        if tables.key is not None:
            return tables.key
        lines = tuple(tuple(sorted(row.items())) for row in tables.lines)
        return (lines, tables.withdrawn, tables.tries, tables.levels)

    def _key(self, tables: Tables) -> object:
        key = self.key_of(tables)
        if key not in self.contents:
            self.contents[key] = Shares(tables)
        return key

    def _hold(self, proxy: object, keys: tuple[object, ...]) -> None:
        facts = self.proxies[proxy]
        old = facts.held
        if old == keys:
            return
        if keys:
            row = self.classes.get(keys)
            if row is None:
                row = self.classes[keys] = [0.0] * (len(facts.rates) + 1)
                for key in dict.fromkeys(keys):
                    self.contents[key].users += 1
                    for host in self.contents[key].hosts:
                        self.by_host.setdefault(host, {})[keys] = None
            for k, rate in enumerate(facts.rates):
                row[k] += rate
            row[-1] += 1
        facts.held = keys
        if old:
            row = self.classes[old]
            for k, rate in enumerate(facts.rates):
                row[k] -= rate
            row[-1] -= 1
            if row[-1] == 0:
                self._end(old)

    def _end(self, keys: tuple[object, ...]) -> None:
        """Nobody is of this class any more."""
        del self.classes[keys]
        for key in dict.fromkeys(keys):
            shares = self.contents[key]
            for host in shares.hosts:  # the same host may stand in several contents
                classes = self.by_host.get(host)
                if classes is not None:
                    classes.pop(keys, None)
                    if not classes:
                        del self.by_host[host]
            shares.users -= 1
            if shares.users == 0:
                del self.contents[key]

    # What hosts may be sent.

    def exposure(self, host: str) -> float:
        """The most calls a second that this director's proxies may send there, by what they hold or may
        hold.
        """
        return sum(self._class_share(keys, row, host) for keys, row in self._rows(host))

    def _rows(self, host: str) -> Iterable[tuple[tuple[object, ...], list[float]]]:
        return ((keys, self.classes[keys]) for keys in self.by_host.get(host, ()))

    def _class_share(self, keys: tuple[object, ...], row: list[float], host: str) -> float:
        calls = 0.0
        for k in range(len(self.terms.routes)):
            if row[k]:
                calls += row[k] * max(self.contents[key].by_route[k].get(host, 0.0) for key in keys)
        return calls

    def exposure_with(self, host: str, proxy: object, shares: Shares) -> float:
        """The same once these tables are on their way to the proxy as well."""
        facts = self.proxies[proxy]
        calls = self.exposure(host)
        for k, rate in enumerate(facts.rates):
            before = max((self.contents[key].by_route[k].get(host, 0.0) for key in facts.held), default=0.0)
            calls += rate * max(shares.by_route[k].get(host, 0.0) - before, 0.0)
        return calls

    def exposure_in_full(self, host: str) -> float:
        """The same from every proxy one by one: what the classes are measured and tested against."""
        calls = 0.0
        for facts in self.proxies.values():
            for k, rate in enumerate(facts.rates):
                calls += rate * max(
                    (self.contents[key].by_route[k].get(host, 0.0) for key in facts.held), default=0
                )
        return calls

    def others(self) -> float:
        """How many times the calls of this director's proxies there are: others may do as it does."""
        return max(self.terms.fleet / max(len(self.proxies), 1), 1.0)

    # The queue.

    def queue(self, now: int, waiting: float) -> None:
        self.waiting, self.waiting_at = waiting, now

    def waiting_now(self, now: int) -> float:
        return max(0.0, self.waiting - (now - self.waiting_at) * self.terms.lines_per_tick)

"""What a candidate will meet: hosts as listed, and what every proxy holds or may hold soon.

Proxies that hold the same tables, and wait for the same, are one *class*, for which the most that each
host may get of each route's calls is worked out once.  What every host may be sent is kept as a running
sum: a proxy that goes from one class to another costs one pass over the lines of both, however many
proxies there are.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

OPEN, DRAINING, GONE = "open", "draining", "gone"
MOST_STEPS = 300  # from one table to another, whose differences are kept
NOTHING: dict[str, float] = {}
REBUILD = 65_536  # changes after which running sums are made anew


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
        self._peaks: dict[tuple[object, ...], list[tuple[list[int], dict[str, float]]]] = {}
        # by the two tables: they, and by how much shares grow
        self._steps: dict[
            tuple[int, int], tuple[dict[str, float], dict[str, float], list[tuple[str, float]]]
        ] = {}
        self.load: dict[str, float] = {}  # by host: the most calls a second that may come
        self._changes = 0
        self.listing = 0  # how many lists came
        self.shut: dict[str, None] = {}  # hosts that are not open
        self.open_size = 0.0
        self._young: list[HostFacts] = []
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
        self.look_again()

    def look_again(self) -> None:
        """Works out what follows from the hosts as they are listed."""
        self.listing += 1
        rows = self.hosts.values()
        self.shut = {host.name: None for host in rows if host.mode != OPEN}
        self.open_size = sum(host.size for host in rows if host.mode == OPEN)
        self._young = [host for host in rows if host.mode == OPEN and host.started]

    def sized(self, sizes: Mapping[str, float]) -> None:
        """What hosts are worth beside each other, where no list says so but answers have told."""
        for name, size in sizes.items():
            if name in self.hosts:
                self.hosts[name].size = size
        self.open_size = sum(host.size for host in self.hosts.values() if host.mode == OPEN)

    def cold(self, now: int) -> list[HostFacts]:
        """Open hosts that are not warm yet."""
        self._young = [host for host in self._young if now - host.started < self.terms.cold]
        return self._young

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
        if facts.held:
            row = self.classes[facts.held]
            more = tuple(new - old for old, new in zip(facts.rates, rates, strict=True))
            for k, rate in enumerate(more):
                row[k] += rate
            self._add(facts.held, more, 1)
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
                self._peaks[keys] = self._peak(keys)
            for k, rate in enumerate(facts.rates):
                row[k] += rate
            row[-1] += 1
            self._add(keys, facts.rates, 1)
        facts.held = keys
        if old:
            row = self.classes[old]
            for k, rate in enumerate(facts.rates):
                row[k] -= rate
            row[-1] -= 1
            self._add(old, facts.rates, -1)
            if row[-1] == 0:
                self._end(old)
        self._changes += 1
        if self._changes % REBUILD == 0:
            self._rebuild()

    def _peak(self, keys: tuple[object, ...]) -> list[tuple[list[int], dict[str, float]]]:
        """The most of each route's calls that a host may get, for routes that share their tables at one
        time.
        """
        groups: dict[tuple[int, ...], list[int]] = {}
        for k in range(len(self.terms.routes)):
            same = tuple(id(self.contents[key].by_route[k]) for key in keys)
            groups.setdefault(same, []).append(k)
        found = []
        for routes in groups.values():
            peak = dict(self.contents[keys[0]].by_route[routes[0]])
            for key in keys[1:]:
                for host, share in self.contents[key].by_route[routes[0]].items():
                    if share > peak.get(host, 0.0):
                        peak[host] = share
            found.append((routes, peak))
        return found

    def _add(self, keys: tuple[object, ...], rates: tuple[float, ...], sign: int) -> None:
        load = self.load
        for routes, peak in self._peaks[keys]:
            calls = sign * sum(rates[k] for k in routes)
            if calls:
                for host, share in peak.items():
                    load[host] = load.get(host, 0.0) + calls * share

    def _rebuild(self) -> None:
        """Sums that were added to and taken from for long are made anew."""
        self.load = {}
        for keys, row in self.classes.items():
            self._add(keys, tuple(row[:-1]), 1)

    def _end(self, keys: tuple[object, ...]) -> None:
        """Nobody is of this class any more."""
        del self.classes[keys], self._peaks[keys]
        for key in dict.fromkeys(keys):
            shares = self.contents[key]
            shares.users -= 1
            if shares.users == 0:
                del self.contents[key]

    # What hosts may be sent.

    def exposure(self, host: str) -> float:
        """The most calls a second that this director's proxies may send there, by what they hold or may
        hold.
        """
        return max(self.load.get(host, 0.0), 0.0)

    def rises(self, proxy: object, shares: Shares) -> dict[str, float]:
        """By host the calls a second that come on top, once these tables are on their way to the proxy."""
        facts = self.proxies[proxy]
        held = self._peaks.get(facts.held, [])
        found: dict[str, float] = {}
        done: dict[tuple[int, int], float] = {}
        before_of = {k: peak for routes, peak in held for k in routes}
        rows: dict[tuple[int, int], tuple[dict[str, float], dict[str, float]]] = {}
        for k, rate in enumerate(facts.rates):
            new, old = shares.by_route[k], before_of.get(k, NOTHING)
            same = (id(new), id(old))
            done[same] = done.get(same, 0.0) + rate
            rows[same] = (new, old)
        for same, rate in done.items():
            for host, more in self._gains(*rows[same]):
                found[host] = found.get(host, 0.0) + rate * more
        return found

    def _gains(self, new: dict[str, float], old: dict[str, float]) -> list[tuple[str, float]]:
        """By how much shares grow from one table to the next; a fleet makes the same step proxy by proxy."""
        key = (id(new), id(old))
        kept = self._steps.get(key)
        if kept is not None and kept[0] is new and kept[1] is old:
            return kept[2]
        gains = [(host, share - old.get(host, 0.0)) for host, share in new.items()]
        gains = [(host, more) for host, more in gains if more > 0]
        if len(self._steps) >= MOST_STEPS:
            self._steps.clear()
        self._steps[key] = (new, old, gains)
        return gains

    def exposure_in_full(self, host: str) -> float:
        """The same from every proxy one by one: what the classes are measured and tested against."""
        calls = 0.0
        for facts in self.proxies.values():
            for k, rate in enumerate(facts.rates):
                calls += rate * max(
                    (self.contents[key].by_route[k].get(host, 0.0) for key in facts.held), default=0
                )
        return calls

    def elsewhere(self, host: HostFacts) -> float:
        """The calls a second that other directors' proxies may bring it, spread as evenly as hosts are
        large.
        """
        calls = sum(self.total) * (self.others() - 1)
        return calls * host.size / self.open_size if host.mode == OPEN and self.open_size > 0 else 0.0

    def others(self) -> float:
        """How many times the calls of this director's proxies there are: others may do as it does."""
        return max(self.terms.fleet / max(len(self.proxies), 1), 1.0)

    # The queue.

    def queue(self, now: int, waiting: float) -> None:
        self.waiting, self.waiting_at = waiting, now

    def waiting_now(self, now: int) -> float:
        return max(0.0, self.waiting - (now - self.waiting_at) * self.terms.lines_per_tick)

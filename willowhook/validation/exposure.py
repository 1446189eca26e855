"""How many requests each endpoint may get from this controller's proxies, as a running sum.

Until an update is acknowledged its proxy may hold the update's tables or those before. Proxies that hold the
same tables, and wait for the same, form one class, for which the most that each endpoint may get of each
route's requests (the peak share) is worked out once. A proxy that moves from one class to another costs one
pass over the entries of both, however many proxies there are.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .model import ContentKey, ProxyTables, RequestShares

MAX_CACHED_GAINS = 300  # steps from one table to another
REBUILD_INTERVAL = 65_536  # moves after which the sums are recomputed, as rounding errors add up

ClassKey = tuple[ContentKey, ...]  # contents: applied first, then in flight in their order
Rates = tuple[float, ...]  # requests a second by route index
Shares = dict[str, float]  # of a route's requests, by endpoint

NO_SHARES: Shares = {}


class PeakShares(NamedTuple):
    """The most of their requests that each endpoint may get, for routes that share all their tables."""

    routes: list[int]
    shares: Shares


@dataclass(slots=True)
class ProxyClass:
    """Proxies that hold the same tables and wait for the same.

    Attributes:
        peaks: the peak shares of all routes.
        rates: the request rates of all its proxies together, by route index.
        count: the number of its proxies.
    """

    peaks: list[PeakShares]
    rates: list[float]
    count: int = 0


class _Gains(NamedTuple):
    """By how much shares grow from one table to another; both are kept, so that their ids stay theirs."""

    old: Shares
    new: Shares
    gains: list[tuple[str, float]]


@dataclass(slots=True)
class _RateOfStep:
    """A step from one table to another, and the requests a second that make it."""

    old: Shares
    new: Shares
    rate: float = 0.0


class ExposureIndex:
    """Keeps the running sums.

    Attributes:
        contents: all contents that proxies hold or may hold soon.
    """

    def __init__(self, route_count: int) -> None:
        """Starts without proxies."""
        self._route_count = route_count
        self.contents: dict[ContentKey, RequestShares] = {}
        self._classes: dict[ClassKey, ProxyClass] = {}
        self._gains: dict[tuple[int, int], _Gains] = {}  # by the ids of both tables
        self._load: dict[str, float] = {}
        self._moves = 0

    # Reading.

    def load(self, endpoint: str) -> float:
        """Returns the most requests a second that the proxies may send there now."""
        return self._load.get(endpoint, 0.0)

    def rises(self, rates: Rates, held: ClassKey, shares: RequestShares) -> dict[str, float]:
        """Returns the requests a second, by endpoint, that come on top if a proxy gets new tables.

        Args:
            rates: the request rates of the proxy.
            held: the class that it is in.
            shares: the shares of requests by the new tables.
        """
        peak_of: dict[int, Shares] = {}
        if held in self._classes:
            for peak in self._classes[held].peaks:
                peak_of.update(dict.fromkeys(peak.routes, peak.shares))
        steps: dict[tuple[int, int], _RateOfStep] = {}
        for route, rate in enumerate(rates):
            old = peak_of.get(route, NO_SHARES)
            new = shares.by_route[route]
            step = steps.setdefault((id(old), id(new)), _RateOfStep(old, new))
            step.rate += rate
        found: dict[str, float] = {}
        for step in steps.values():
            for endpoint, gain in self._gains_of(step.old, step.new):
                found[endpoint] = found.get(endpoint, 0.0) + step.rate * gain
        return found

    def _gains_of(self, old: Shares, new: Shares) -> list[tuple[str, float]]:
        """Cached, as a fleet makes the same step proxy by proxy."""
        key = (id(old), id(new))
        cached = self._gains.get(key)
        if cached is not None and cached.old is old and cached.new is new:
            return cached.gains
        differences = [(endpoint, share - old.get(endpoint, 0.0)) for endpoint, share in new.items()]
        gains = [(endpoint, gain) for endpoint, gain in differences if gain > 0]
        if len(self._gains) >= MAX_CACHED_GAINS:
            self._gains.clear()
        self._gains[key] = _Gains(old, new, gains)
        return gains

    # Changes.

    def register(self, tables: ProxyTables) -> ContentKey:
        """Registers a content that a proxy is about to move to. Returns its key."""
        key = tables.content_key()
        if key not in self.contents:
            self.contents[key] = RequestShares(tables)
        return key

    def move(self, rates: Rates, old: ClassKey, new: ClassKey) -> None:
        """Moves a proxy with these rates from one class to another; an empty key is no class."""
        if old == new:
            return
        if new:
            self._enter(rates, new)
        if old:
            self._leave(rates, old)
        self._moves += 1
        if self._moves % REBUILD_INTERVAL == 0:
            self._rebuild()

    def change_rates(self, key: ClassKey, old: Rates, new: Rates) -> None:
        """Changes the rates of a proxy in a class."""
        group = self._classes[key]
        change = tuple(after - before for before, after in zip(old, new, strict=True))
        for route, rate in enumerate(change):
            group.rates[route] += rate
        self._add_load(group, change, 1)

    def _enter(self, rates: Rates, key: ClassKey) -> None:
        group = self._classes.get(key)
        if group is None:
            for content in dict.fromkeys(key):
                self.contents[content].class_count += 1
            group = self._classes[key] = ProxyClass(self._peaks(key), [0.0] * len(rates))
        for route, rate in enumerate(rates):
            group.rates[route] += rate
        group.count += 1
        self._add_load(group, rates, 1)

    def _leave(self, rates: Rates, key: ClassKey) -> None:
        group = self._classes[key]
        for route, rate in enumerate(rates):
            group.rates[route] -= rate
        group.count -= 1
        self._add_load(group, rates, -1)
        if group.count == 0:
            self._drop(key)

    def _drop(self, key: ClassKey) -> None:
        """Drops a class that is empty, and contents that no class is left to hold."""
        del self._classes[key]
        for content in dict.fromkeys(key):
            shares = self.contents[content]
            shares.class_count -= 1
            if shares.class_count == 0:
                del self.contents[content]

    def _peaks(self, key: ClassKey) -> list[PeakShares]:
        """The peaks of a class, one for all routes that share their tables at each time."""
        groups: dict[tuple[int, ...], list[int]] = {}
        for route in range(self._route_count):
            same = tuple(id(self.contents[content].by_route[route]) for content in key)
            groups.setdefault(same, []).append(route)
        peaks = []
        for routes in groups.values():
            peak = dict(self.contents[key[0]].by_route[routes[0]])
            for content in key[1:]:
                for endpoint, share in self.contents[content].by_route[routes[0]].items():
                    if share > peak.get(endpoint, 0.0):
                        peak[endpoint] = share
            peaks.append(PeakShares(routes, peak))
        return peaks

    def _add_load(self, group: ProxyClass, rates: Rates, sign: int) -> None:
        load = self._load
        for routes, peak in group.peaks:
            requests = sign * sum(rates[route] for route in routes)
            if requests:
                for endpoint, share in peak.items():
                    load[endpoint] = load.get(endpoint, 0.0) + requests * share

    def _rebuild(self) -> None:
        self._load = {}
        for group in self._classes.values():
            self._add_load(group, tuple(group.rates), 1)

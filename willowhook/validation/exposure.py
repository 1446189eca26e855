"""The largest load that each endpoint may get from this controller's proxies, kept as running sums.

Until an update is acknowledged its proxy may use the tables of the update or those before it. Proxies that
hold the same tables and have the same updates in flight form one class, for which the largest share of each
route's requests that each endpoint may get (the peak share) is computed once. Moving a proxy from one class
to another takes one pass over the entries of both, independent of the number of proxies.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .model import ContentKey, ProxyTables, RequestShares

MAX_CACHED_GAINS = 300  # pairs of an old and a new table
REBUILD_INTERVAL = 65_536  # moves after which the sums are recomputed, because rounding errors accumulate

ClassKey = tuple[ContentKey, ...]  # the applied content, then those in flight in the order they were sent
Rates = tuple[float, ...]  # requests per second by route index
Shares = dict[str, float]  # fractions of a route's requests, by endpoint

NO_SHARES: Shares = {}


class PeakShares(NamedTuple):
    """The largest share of requests that each endpoint may get, for routes that share all their tables."""

    routes: list[int]
    shares: Shares


@dataclass(slots=True)
class ProxyClass:
    """Proxies that hold the same tables and have the same updates in flight.

    Attributes:
        peaks: the peak shares of all routes.
        rates: the total request rates of its proxies, by route index.
        count: the number of its proxies.
    """

    peaks: list[PeakShares]
    rates: list[float]
    count: int = 0


class _ShareGains(NamedTuple):
    """The increases of shares from one table to another.

    Both tables are referenced so that their ids, which are the cache key, are not reused.
    """

    old: Shares
    new: Shares
    gains: list[tuple[str, float]]


@dataclass(slots=True)
class _StepRate:
    """A change from one table to another, and the requests per second that it applies to."""

    old: Shares
    new: Shares
    rate: float = 0.0


class ExposureIndex:
    """Keeps the running sums.

    Attributes:
        contents: all contents that proxies hold or have in flight, by key.
    """

    def __init__(self, route_count: int) -> None:
        """Creates an index without proxies."""
        self._route_count = route_count
        self.contents: dict[ContentKey, RequestShares] = {}
        self._classes: dict[ClassKey, ProxyClass] = {}
        self._gains: dict[tuple[int, int], _ShareGains] = {}  # by the ids of both tables
        self._load: dict[str, float] = {}
        self._move_count = 0

    # Reading.

    def load(self, endpoint: str) -> float:
        """Returns the largest number of requests per second that the proxies may send to an endpoint now."""
        return self._load.get(endpoint, 0.0)

    def added_load(self, rates: Rates, held: ClassKey, shares: RequestShares) -> dict[str, float]:
        """Returns the requests per second, by endpoint, that are added if a proxy gets new tables.

        Args:
            rates: the request rates of the proxy.
            held: the key of the class that it is in.
            shares: the shares of requests under the new tables.
        """
        peaks_by_route: dict[int, Shares] = {}
        if held in self._classes:
            for peak in self._classes[held].peaks:
                peaks_by_route.update(dict.fromkeys(peak.routes, peak.shares))
        steps: dict[tuple[int, int], _StepRate] = {}
        for route, rate in enumerate(rates):
            old = peaks_by_route.get(route, NO_SHARES)
            new = shares.by_route[route]
            step = steps.setdefault((id(old), id(new)), _StepRate(old, new))
            step.rate += rate
        added: dict[str, float] = {}
        for step in steps.values():
            for endpoint, gain in self._share_gains(step.old, step.new):
                added[endpoint] = added.get(endpoint, 0.0) + step.rate * gain
        return added

    def _share_gains(self, old: Shares, new: Shares) -> list[tuple[str, float]]:
        """Returns the increases of shares; cached, because many proxies change between the same tables."""
        key = (id(old), id(new))
        cached = self._gains.get(key)
        if cached is not None and cached.old is old and cached.new is new:
            return cached.gains
        differences = [(endpoint, share - old.get(endpoint, 0.0)) for endpoint, share in new.items()]
        gains = [(endpoint, gain) for endpoint, gain in differences if gain > 0]
        if len(self._gains) >= MAX_CACHED_GAINS:
            self._gains.clear()
        self._gains[key] = _ShareGains(old, new, gains)
        return gains

    # Changes.

    def register(self, tables: ProxyTables) -> ContentKey:
        """Registers a content that a proxy is about to get. Returns its key."""
        key = tables.content_key()
        if key not in self.contents:
            self.contents[key] = RequestShares(tables)
        return key

    def move(self, rates: Rates, old: ClassKey, new: ClassKey) -> None:
        """Moves a proxy with these rates from one class to another; an empty key means no class."""
        if old == new:
            return
        if new:
            self._add_to_class(rates, new)
        if old:
            self._remove_from_class(rates, old)
        self._move_count += 1
        if self._move_count % REBUILD_INTERVAL == 0:
            self._rebuild()

    def change_rates(self, key: ClassKey, old: Rates, new: Rates) -> None:
        """Changes the rates of a proxy in a class."""
        proxy_class = self._classes[key]
        change = tuple(after - before for before, after in zip(old, new, strict=True))
        for route, rate in enumerate(change):
            proxy_class.rates[route] += rate
        self._add_load(proxy_class, change, 1)

    def _add_to_class(self, rates: Rates, key: ClassKey) -> None:
        proxy_class = self._classes.get(key)
        if proxy_class is None:
            for content in dict.fromkeys(key):
                self.contents[content].class_count += 1
            proxy_class = self._classes[key] = ProxyClass(self._peak_shares(key), [0.0] * len(rates))
        for route, rate in enumerate(rates):
            proxy_class.rates[route] += rate
        proxy_class.count += 1
        self._add_load(proxy_class, rates, 1)

    def _remove_from_class(self, rates: Rates, key: ClassKey) -> None:
        proxy_class = self._classes[key]
        for route, rate in enumerate(rates):
            proxy_class.rates[route] -= rate
        proxy_class.count -= 1
        self._add_load(proxy_class, rates, -1)
        if proxy_class.count == 0:
            self._remove_class(key)

    def _remove_class(self, key: ClassKey) -> None:
        """Removes an empty class, and the contents that no other class holds."""
        del self._classes[key]
        for content in dict.fromkeys(key):
            shares = self.contents[content]
            shares.class_count -= 1
            if shares.class_count == 0:
                del self.contents[content]

    def _peak_shares(self, key: ClassKey) -> list[PeakShares]:
        """Returns the peak shares of a class, one for each group of routes that share their tables."""
        groups: dict[tuple[int, ...], list[int]] = {}
        for route in range(self._route_count):
            table_ids = tuple(id(self.contents[content].by_route[route]) for content in key)
            groups.setdefault(table_ids, []).append(route)
        peaks = []
        for routes in groups.values():
            peak = dict(self.contents[key[0]].by_route[routes[0]])
            for content in key[1:]:
                for endpoint, share in self.contents[content].by_route[routes[0]].items():
                    if share > peak.get(endpoint, 0.0):
                        peak[endpoint] = share
            peaks.append(PeakShares(routes, peak))
        return peaks

    def _add_load(self, proxy_class: ProxyClass, rates: Rates, sign: int) -> None:
        load = self._load
        for routes, peak in proxy_class.peaks:
            requests = sign * sum(rates[route] for route in routes)
            if requests:
                for endpoint, share in peak.items():
                    load[endpoint] = load.get(endpoint, 0.0) + requests * share

    def _rebuild(self) -> None:
        self._load = {}
        for proxy_class in self._classes.values():
            self._add_load(proxy_class, tuple(proxy_class.rates), 1)

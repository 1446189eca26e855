"""What updates are judged against: endpoints, the tables that proxies hold or may hold soon, the queue."""

from __future__ import annotations

from dataclasses import dataclass, field

from .endpoints import EndpointIndex
from .exposure import ClassKey, ExposureIndex, Rates
from .model import ProxyKey, ProxyTables, RequestShares, UpdateVersion, ValidatedEndpoint, ValidationSettings

NO_VERSION = UpdateVersion(0, 0, 0)  # below any that is sent
NO_CAPACITY = 1e-9  # relative; what is divided by stays above 0


@dataclass(slots=True)
class ProxyRecord:
    """A joined proxy.

    Attributes:
        rates: requests a second by route index.
        zone: its zone.
        held: keys of the contents that it may hold: applied first, then in flight in their order.
        newest: the version of the update last sent to it.
        sent_at: when updates were sent to it, within the window of the message cap.
    """

    rates: Rates
    zone: str = ""
    held: ClassKey = ()
    newest: UpdateVersion = NO_VERSION
    sent_at: list[int] = field(default_factory=list)


class World:
    """Keeps the state that updates are judged against.

    Attributes:
        endpoints: as listed.
        proxies: the joined proxies of this controller.
        total_rates: the request rates of all proxies together, by route index.
    """

    def __init__(self, settings: ValidationSettings) -> None:
        """Starts without endpoints and proxies."""
        self.settings = settings
        self.endpoints = EndpointIndex(settings)
        self.proxies: dict[ProxyKey, ProxyRecord] = {}
        self.total_rates = [0.0] * len(settings.routes)
        self._exposure = ExposureIndex(len(settings.routes))
        self._waiting_entries = 0.0
        self._waiting_at = 0

    # Proxies.

    def add_proxy(self, proxy: ProxyKey, zone: str, rates: Rates, tables: ProxyTables | None) -> None:
        """Registers a proxy that has joined, and holds these tables."""
        self.remove_proxy(proxy)
        record = self.proxies[proxy] = ProxyRecord(rates, zone)
        self._add_total(rates, 1)
        if tables is not None:
            self._move(record, (self._exposure.register(tables),))

    def remove_proxy(self, proxy: ProxyKey) -> None:
        """Forgets a proxy that has left, if it is known."""
        record = self.proxies.get(proxy)
        if record is not None:
            self._move(record, ())
            self._add_total(record.rates, -1)
            del self.proxies[proxy]

    def update_rates(self, proxy: ProxyKey, rates: Rates) -> None:
        """Sets the rates of requests at a proxy; those of an unknown proxy are ignored."""
        record = self.proxies.get(proxy)
        if record is None or record.rates == rates:
            return
        self._add_total(record.rates, -1)
        self._add_total(rates, 1)
        if record.held:
            self._exposure.change_rates(record.held, record.rates, rates)
        record.rates = rates

    def record_sent(self, now: int, proxy: ProxyKey, tables: ProxyTables, version: UpdateVersion) -> None:
        """Notes an update on its way: until it is applied, its proxy may hold it or what it held before.

        Raises KeyError for an unknown proxy.
        """
        record = self.proxies[proxy]
        key = self._exposure.register(tables)
        if not record.held or record.held[-1] != key:
            self._move(record, (*record.held, key))
        record.newest = max(record.newest, version)
        record.sent_at.append(now)
        while record.sent_at[0] <= now - self.settings.message_cap_window_ticks:
            del record.sent_at[0]

    def record_applied(self, proxy: ProxyKey, tables: ProxyTables | None = None) -> None:
        """Notes that a proxy has applied all that was sent up to these tables; None: all that was sent."""
        record = self.proxies.get(proxy)
        if record is None or not record.held:
            return
        key = record.held[-1] if tables is None else tables.content_key()
        if key in record.held:
            last = len(record.held) - 1 - record.held[::-1].index(key)
            self._move(record, record.held[last:])

    def _move(self, record: ProxyRecord, held: ClassKey) -> None:
        self._exposure.move(record.rates, record.held, held)
        record.held = held

    def _add_total(self, rates: Rates, sign: int) -> None:
        for route, rate in enumerate(rates):
            self.total_rates[route] += sign * rate

    # Contents.

    @property
    def contents(self) -> dict[object, RequestShares]:
        """All contents that proxies hold or may hold soon, by key."""
        return self._exposure.contents

    def shares_of(self, tables: ProxyTables) -> RequestShares:
        """Returns the shares of tables, from the known contents where they have a key."""
        known = self.contents.get(tables.key) if tables.key is not None else None
        return known if known is not None else RequestShares(tables)

    def last_tables(self, proxy: ProxyKey) -> ProxyTables | None:
        """Returns what was last sent to a proxy, or what it joined with; None if neither is known."""
        record = self.proxies.get(proxy)
        return self.contents[record.held[-1]].tables if record is not None and record.held else None

    # Load of endpoints, in requests a second.

    def load(self, endpoint: str) -> float:
        """Returns the most that this controller's proxies may send there, by what they may hold.

        As a running sum it may be a rounding error below 0.
        """
        return self._exposure.load(endpoint)

    def exposure(self, endpoint: str) -> float:
        """Returns `load`, never below 0."""
        return max(self.load(endpoint), 0.0)

    def exposure_in_full(self, endpoint: str) -> float:
        """Returns the same, summed over every proxy: what the running sum is tested and measured against."""
        requests = 0.0
        for record in self.proxies.values():
            for route, rate in enumerate(record.rates):
                shares = [self.contents[key].by_route[route].get(endpoint, 0.0) for key in record.held]
                requests += rate * max(shares, default=0)
        return requests

    def load_elsewhere(self, endpoint: ValidatedEndpoint) -> float:
        """Returns what other controllers' proxies may send there, spread in proportion to capacity."""
        capacity = self.endpoints.capacity_in_service
        if not endpoint.is_in_service or capacity <= 0:
            return 0.0
        requests = sum(self.total_rates) * (self.fleet_factor() - 1)
        return requests * endpoint.capacity / capacity

    def rises(self, proxy: ProxyKey, shares: RequestShares) -> dict[str, float]:
        """Returns what comes on top, by endpoint, once tables with these shares are on their way."""
        record = self.proxies[proxy]
        return self._exposure.rises(record.rates, record.held, shares)

    def load_from(self, proxy: ProxyKey, shares: RequestShares, endpoint: str) -> float:
        """Returns what one proxy sends there by tables with these shares."""
        rates = self.proxies[proxy].rates
        return sum(rate * shares.by_route[route].get(endpoint, 0.0) for route, rate in enumerate(rates))

    def even_load(self) -> float:
        """Returns what an endpoint in service of capacity 1 gets when all load is spread evenly."""
        capacity = max(self.endpoints.capacity_in_service, NO_CAPACITY)
        return sum(self.total_rates) * self.fleet_factor() / capacity

    def cold_budget(self, now: int, endpoint: ValidatedEndpoint) -> float:
        """Returns what all proxies together may send an endpoint that is warming up."""
        settings = self.settings
        return (
            settings.slow_start_budget_fraction
            * settings.recovery_overload_factor
            * self.endpoints.warmth(now, endpoint)
            * endpoint.capacity
            * self.even_load()
        )

    def fleet_factor(self) -> float:
        """Returns how many times this controller's proxies the fleet is: others may do as it does."""
        return max(self.settings.proxy_count / max(len(self.proxies), 1), 1.0)

    # The queue.

    def update_queue(self, now: int, waiting_entries: float) -> None:
        """Sets the number of entries that wait in the channel."""
        self._waiting_entries = waiting_entries
        self._waiting_at = now

    def waiting_entries(self, now: int) -> float:
        """Returns the entries that still wait, at the rate of the channel."""
        left = (now - self._waiting_at) * self.settings.entries_per_tick
        return max(0.0, self._waiting_entries - left)

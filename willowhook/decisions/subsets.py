"""Subsets: small tables with a few endpoints, each used by a part of the proxies.

Two conditions trigger subsets. In a join burst, so many proxies wait that complete tables would not reach all
of them within the drain grace: each is bound to a subset first, and to the default tables when no bind is
pending. When idle endpoints refuse connections, each proxy is limited to a few endpoints for a time that
doubles with each repetition.
"""

from __future__ import annotations

import math
from enum import Enum

from ..ticks import TICKS_PER_SECOND
from .context import ControllerContext
from .load import HIGH_LATENCY_RATIO, HIGH_UTILIZATION, LoadSample
from .model import Endpoint, EndpointTable
from .update_cost import BIND_ENTRIES
from .weights import EndpointWeights

MIN_ENDPOINTS = 2  # endpoints in a subset table
MIN_BURST_ENDPOINTS = 3  # two are often neighbours that drain together
FIRST_CONNECTION_LIMIT_TICKS = 30 * TICKS_PER_SECOND
REFUSED_SUCCESS_FRACTION = (
    0.4  # success fraction of idle, fast endpoints below which they count as refusing connections
)
TABLE_OVERHEAD_ENTRIES = (
    BIND_ENTRIES + 1
)  # estimated cost of a bind without its entries, plus a margin of one
GRACE_FRACTION = 0.5  # share of the drain grace within which all joining proxies should be bound


class SubsetMode(Enum):
    """Whether proxies use subset tables, and why."""

    OFF = "off"
    JOIN_BURST = "join burst"
    CONNECTION_LIMIT = "connection limit"


class SubsetAssigner:
    """Makes subset tables and assigns proxies to them."""

    def __init__(self, context: ControllerContext, weights: EndpointWeights) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._channel = context.channel
        self._random_fraction = context.random_fraction
        self._weights = weights
        self._assigned: dict[int, int] = {}  # by proxy, the subset it is assigned to
        self._first_subset = 0
        self._subset_count = 1
        self._endpoints_per_subset = MIN_ENDPOINTS
        self._last_table_number = len(context.fleet.default_tables)
        self._limited_until: int | None = None
        self._limit_ended_at = 0
        self._next_limit_ticks = FIRST_CONNECTION_LIMIT_TICKS
        # every proxy uses as many tables as there are for one zone
        tables = context.fleet.default_tables
        self._tables_per_proxy = [table for table in tables if table.zone == tables[0].zone]

    @property
    def mode(self) -> SubsetMode:
        """Whether proxies use subset tables now, and why."""
        if self._limited_until is not None:
            return SubsetMode.CONNECTION_LIMIT
        return SubsetMode.JOIN_BURST if self._assigned else SubsetMode.OFF

    def assigned(self, proxy: int) -> int | None:
        """Returns the subset that a proxy is to be bound to; None: the default tables."""
        return self._assigned.get(proxy)

    def add_proxy(self, proxy: int) -> None:
        """Assigns a proxy that has joined to a subset while connections are limited."""
        if self.mode is SubsetMode.CONNECTION_LIMIT:
            self._assigned.setdefault(proxy, self._draw_subset())

    # Join bursts.

    def is_burst(self, waiting: list[int]) -> bool:
        """Whether complete tables, with their exclusions, would reach these proxies too late."""
        if self.mode is SubsetMode.CONNECTION_LIMIT or not waiting:
            return False
        entries = sum(
            len(table.entries) + len(table.limits) + TABLE_OVERHEAD_ENTRIES
            for table in self._tables_per_proxy
        )
        cost = self._channel.cost(waiting, entries)
        return self._channel.queue_estimate() + cost > self._entries_in_time()

    def assign_burst(self, now: int, waiting: list[int]) -> bool:
        """Assigns waiting proxies to random subsets; returns whether they can be bound to them now."""
        if self.mode is SubsetMode.OFF:
            if self._fleet.has_subset_bindings():
                return False  # the table numbers in use would be assigned again
            self._endpoints_per_subset = self._burst_table_size(len(waiting))
            self._subset_count = self._burst_subset_count(now)
            self._make_tables(now)
            self._runtime.log(f"join burst began waiting={len(waiting)} subsets={self._subset_count}")
        assignments = {proxy: self._draw_subset() for proxy in waiting}
        self._assigned = assignments | self._assigned
        return True

    def next_assigned(self) -> int:
        """Returns the proxy of a join burst that has been assigned to its subset for longest."""
        return next(iter(self._assigned))

    def release(self, proxy: int) -> None:
        """Removes a proxy of a join burst from its subset."""
        del self._assigned[proxy]

    def _burst_table_size(self, waiting: int) -> int:
        """Returns the largest size that binds all expected proxies in time, at least the bootstrap size."""
        expected = waiting + self._fleet.absent_proxies
        entries_left = self._entries_in_time() - self._channel.queue_estimate()
        entries = entries_left / expected - self._channel.overhead_entries
        affordable = int(entries / len(self._tables_per_proxy)) - TABLE_OVERHEAD_ENTRIES
        return max(MIN_BURST_ENDPOINTS, self._fleet.settings.fleet.bootstrap_table_size, affordable)

    def _burst_subset_count(self, now: int) -> int:
        """Returns the number of subsets with which no subset table exceeds the wanted size."""
        sizes = [len(self._best_endpoints(now, table)) for table in self._fleet.default_tables]
        return max(1, *(math.ceil(size / self._endpoints_per_subset) for size in sizes))

    def _entries_in_time(self) -> float:
        """Returns the entries that the channel carries within the share of the drain grace for binds."""
        grace = self._fleet.settings.rules.drain_grace_ticks
        return self._channel.entries_per_tick * grace * GRACE_FRACTION

    # Refused connections.

    def refuses_connections(self, sample: LoadSample) -> bool:
        """Whether idle endpoints fail most attempts but answer the rest in time: they refuse connections."""
        return (
            self.mode is not SubsetMode.CONNECTION_LIMIT
            and sample.best_success_fraction < REFUSED_SUCCESS_FRACTION
            and sample.utilization < HIGH_UTILIZATION
            and sample.latency_fraction < HIGH_LATENCY_RATIO
        )

    def limit_connections(self, now: int, sample: LoadSample) -> None:
        """Limits each proxy to a few endpoints for a time, with about equal traffic to each subset."""
        self._runtime.log(
            f"connection limit began success_fraction={sample.median_success_fraction:.2f} "
            f"utilization={sample.utilization:.2f}"
        )
        if now - self._limit_ended_at > self._next_limit_ticks:  # the previous incident is over
            self._next_limit_ticks = FIRST_CONNECTION_LIMIT_TICKS
        self._limited_until = now + self._next_limit_ticks
        self._next_limit_ticks *= 2
        self._endpoints_per_subset = MIN_ENDPOINTS
        zones = len({table.zone for table in self._fleet.default_tables})
        in_service = sum(endpoint.is_in_service for endpoint in self._fleet.endpoints.values())
        self._subset_count = max(1, in_service // (MIN_ENDPOINTS * zones))
        self._make_tables(now)
        self._assigned = {}  # also of proxies that have left, whose subsets may not exist any more
        # alternating the direction balances the traffic: proxies are sorted by their request rate
        subset_order = [*self._subsets(), *reversed(self._subsets())]
        proxies = self._fleet.proxies
        for zone in dict.fromkeys(table.zone for table in self._fleet.default_tables):
            local = [proxy for proxy, session in proxies.items() if zone is None or session.zone == zone]
            local.sort(key=lambda proxy: -proxies[proxy].usual_rate_per_second)
            for index, proxy in enumerate(local):
                self._assigned[proxy] = subset_order[index % len(subset_order)]

    def end_connection_limit_if_due(self, now: int) -> bool:
        """Ends the connection limit if it is due. Returns whether it has just ended."""
        if self._limited_until is None or now < self._limited_until:
            return False
        self._limited_until = None
        self._limit_ended_at = now
        self._assigned = {}
        self._runtime.log(f"connection limit ended proxies={len(self._fleet.proxies)}")
        return True

    # Tables.

    def _draw_subset(self) -> int:
        return self._subsets()[int(self._random_fraction() * self._subset_count)]

    def _subsets(self) -> range:
        """Returns the subsets that proxies are assigned to now."""
        return range(self._first_subset, self._first_subset + self._subset_count)

    def replace_lost_members(self, now: int) -> None:
        """Gives subset tables that lost all their endpoints others, at most as many as were wanted."""
        for table in self._fleet.tables:
            if table.subset is None or (table.members and not table.entries):
                continue
            if self._fleet.has_only_excluded_entries(table):
                table.members = []  # any, if none is usable
                usable = self._usable_endpoints(now, table)
                if usable:
                    members = self._members(table.subset, self._by_locality(table, usable))
                    table.members = members[: self._endpoints_per_subset]

    def _make_tables(self, now: int) -> None:
        """Adds the tables of new subsets; those of earlier subsets stay while proxies are bound to them."""
        fleet = self._fleet
        in_use = [table for table in fleet.tables if table.subset is not None and fleet.users(table)]
        fleet.tables = [*fleet.default_tables, *in_use]
        self._first_subset = 1 + max(
            (subset for subset in fleet.subset_of.values() if subset is not None), default=-1
        )
        if not in_use:
            self._last_table_number = len(fleet.default_tables)
        for table in fleet.default_tables:
            endpoints = self._best_endpoints(now, table)
            for subset in self._subsets():
                fleet.tables.append(self._make_table(table, subset, endpoints))

    def _make_table(self, table: EndpointTable, subset: int, endpoints: list[Endpoint]) -> EndpointTable:
        self._last_table_number += 1
        self._runtime.clear_table(self._last_table_number)
        subset_table = EndpointTable(
            self._last_table_number, table.routes, table.requirements, table.zone, subset
        )
        subset_table.members = self._members(subset, endpoints)
        return subset_table

    def _members(self, subset: int, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Deals endpoints to the subsets in turn; where they are few, some belong to several subsets."""
        minimum = min(MIN_ENDPOINTS, len(endpoints))
        first = subset % self._subset_count
        positions = dict.fromkeys(range(first, len(endpoints), self._subset_count))
        following = range(first, first + self._subset_count * minimum, self._subset_count)
        for position in (*following, *range(first, first + len(endpoints))):
            if len(positions) >= minimum:
                break
            positions[position % len(endpoints)] = None
        return [endpoints[position] for position in positions]

    def _best_endpoints(self, now: int, table: EndpointTable) -> list[Endpoint]:
        """Returns the endpoints allowed in a table, usable and local ones if there are any, largest first."""
        candidates = self._usable_endpoints(now, table) or self._eligible_endpoints(table)
        return self._by_locality(table, candidates)

    def _eligible_endpoints(self, table: EndpointTable) -> list[Endpoint]:
        endpoints = self._fleet.endpoints.values()
        return [endpoint for endpoint in endpoints if self._fleet.is_eligible(table, endpoint)]

    def _usable_endpoints(self, now: int, table: EndpointTable) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._eligible_endpoints(table)
            if self._weights.weight(now, table, endpoint) and not endpoint.is_excluded
        ]

    @staticmethod
    def _by_locality(table: EndpointTable, candidates: list[Endpoint]) -> list[Endpoint]:
        """Returns the local candidates, or all if none is local; the largest first."""
        local = [endpoint for endpoint in candidates if table.is_for_zone(endpoint.zone)]
        return sorted(local or candidates, key=lambda endpoint: -endpoint.capacity * endpoint.latency_factor)

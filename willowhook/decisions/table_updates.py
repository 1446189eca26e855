"""Table updates: which weights and admission limits are sent, in which order, and when again.

A message costs as much as several entries, so changed weights wait for the next step of the solver and go
out a table at a time. Only what leaves a table, and what enters one that has nothing open, is urgent. Entries
that proxies may lack, as they were bound after these were sent, are sent again at a small rate.
"""

from __future__ import annotations

import math
from enum import IntEnum
from typing import NamedTuple

from ..ticks import TICKS_PER_SECOND
from .admission import AdmissionController
from .context import ControllerContext
from .demand import RequestDemand
from .locality import LocalitySpillover
from .model import EndpointTable
from .runtime import AdmissionLimit
from .update_cost import UPDATE_ENTRIES
from .weights import EndpointWeights

MIN_CHANGE = 0.1  # a smaller change is not sent; logarithm of the ratio of new to old weight
ENTERS_OR_LEAVES = 9.0  # stands for that logarithm when an entry is added or removed
MIN_LIMIT_CHANGE = MIN_CHANGE / 2  # of an admission limit, relative
PAYBACK_TICKS = 2 * TICKS_PER_SECOND  # time within which a change must earn its price
MIN_TRAFFIC_FRACTION = 0.1  # least share of all requests that a table is assumed to carry
RESEND_RATE = 0.05  # share of the channel's rate that resends may take


class Urgency(IntEnum):
    """The order in which changes go out."""

    LEAVES_OR_NEEDED = 0  # leaves its table, or enters one without a usable endpoint
    CHANGED = 1
    RESEND = 2


class WeightChange(NamedTuple):
    """A weight worth sending.

    Attributes:
        urgency: the order in which it goes out.
        magnitude: how far the weight moved, multiplied by the share of requests that use the table.
        endpoint: its name.
        weight: the new weight; 0 removes the entry.
    """

    urgency: Urgency
    magnitude: float
    endpoint: str
    weight: float


class PlannedChange(NamedTuple):
    """A weight change with its table and its place among the changes of all tables.

    Attributes:
        order: sort key: urgency, then the table that moved most, then the change that moved most.
        table: the table to change.
        users: the proxies that use the table.
        change: the weight change.
    """

    order: tuple[int, float, float]
    table: EndpointTable
    users: list[int]
    change: WeightChange


class TableUpdater:
    """Brings tables up to date, within a limit of the queue.

    Attributes:
        has_changes: whether weights may differ from those that were sent.
    """

    def __init__(
        self,
        context: ControllerContext,
        weights: EndpointWeights,
        locality: LocalitySpillover,
        admission: AdmissionController,
        demand: RequestDemand,
    ) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._channel = context.channel
        self._weights = weights
        self._locality = locality
        self._admission = admission
        self._demand = demand
        self._resend_at = 0
        self.has_changes = True

    def update(self, now: int, tables: list[EndpointTable], limit: float) -> bool:
        """Sends admission limits, then changed weights, then resends, as far as the queue stays in the limit.

        Tables that nobody uses cost nothing and are brought up to date whole.

        Args:
            now: the time.
            tables: the tables to bring up to date.
            limit: entries that may wait in the queue.

        Returns:
            Whether changed weights are left.
        """
        planned: list[PlannedChange] = []
        fractions = self._admission.route_fractions()
        for table in tables:
            users = self._fleet.users(table)
            self._send_limits(table, users, fractions)
            planned += self._plan(now, table, users)
        planned.sort(key=lambda row: row.order)
        return self._send(now, planned, limit)

    def fill_empty_tables(self, now: int, limit: float) -> None:
        """Fills tables with no open entry: before a proxy is bound to them, or when their endpoints went."""
        for table in self._fleet.tables:
            may_send = self._channel.can_message(now, self._fleet.users(table))
            if may_send and self._fleet.has_only_excluded_entries(table):
                if table.entries:
                    table.members = []  # a subset table whose endpoints are all gone may use any
                self._locality.rebalance(now, table)
                self.update(now, [table], limit)

    def set_weight(self, table: EndpointTable, users: list[int], endpoint: str, weight: float) -> None:
        """Sends one weight; 0 removes the entry."""
        self._runtime.set_weight(table.number, endpoint, weight)
        self._channel.charge(users, UPDATE_ENTRIES)
        table.pending_resend.pop(endpoint, None)
        table.entries.pop(endpoint, None)
        if weight > 0:
            table.entries[endpoint] = weight

    def _send_limits(self, table: EndpointTable, users: list[int], fractions: list[float]) -> None:
        for route, admission in self._admission.limits(table, fractions).items():
            if _differs(table.limits.get(route), admission):
                self._runtime.set_admission(table.number, route, admission)
                table.limits[route] = admission
                self._channel.charge(users, UPDATE_ENTRIES)

    def _plan(self, now: int, table: EndpointTable, users: list[int]) -> list[PlannedChange]:
        changes = self._changes(now, table, users)
        moved = sum(change.magnitude for change in changes)
        return [
            PlannedChange((change.urgency, -moved, -change.magnitude), table, users, change)
            for change in changes
            if self.has_changes or not users or change.urgency is Urgency.LEAVES_OR_NEEDED
        ]

    def _send(self, now: int, planned: list[PlannedChange], limit: float) -> bool:
        is_quiet = all(row.change.urgency is Urgency.RESEND for row in planned)
        left = False
        resent = 0
        for _, table, users, change in planned:
            is_resend = change.urgency is Urgency.RESEND
            if users and (self._channel.queue_estimate() >= limit or (is_resend and not is_quiet)):
                left = not is_resend
                break
            if is_resend:
                resent += self._channel.cost(users, UPDATE_ENTRIES)
            self.set_weight(table, users, change.endpoint, change.weight)
        pause = int(resent / (self._channel.entries_per_tick * RESEND_RATE))
        self._resend_at = max(self._resend_at, now + pause)
        return left

    def _changes(self, now: int, table: EndpointTable, users: list[int]) -> list[WeightChange]:
        """The weights of a table that are worth sending."""
        weights = self._weights.weights(now, table)
        traffic = self._traffic_fraction(table, users)
        threshold = self._change_threshold(len(users), len(weights), traffic)
        # a table without a usable endpoint waits for nothing, nor does one under load shedding
        is_needed = self._fleet.has_only_excluded_entries(table) or self._admission.is_shedding
        changes: list[WeightChange] = []
        for name, weight in weights.items():
            old = table.entries.get(name, 0.0)
            moved = _distance(old, weight) if weight != old else 0.0
            if moved > threshold:
                is_excluded = self._fleet.endpoints[name].is_excluded
                is_urgent = (not weight or (not old and is_needed)) and not is_excluded
                urgency = Urgency.LEAVES_OR_NEEDED if is_urgent else Urgency.CHANGED
                changes.append(WeightChange(urgency, moved * traffic * (not is_excluded), name, weight))
            elif name in table.pending_resend and weight and now >= self._resend_at:
                changes.append(WeightChange(Urgency.RESEND, 0.0, name, weight))
        return changes

    def _traffic_fraction(self, table: EndpointTable, users: list[int]) -> float:
        """The share of all requests that uses a table."""
        routes = self._fleet.settings.routes
        rates = [(index in table.routes, self._demand.by_proxy(route)) for index, route in enumerate(routes)]
        own = sum(rate.get(proxy, 0.0) for is_own, rate in rates if is_own for proxy in users)
        return own / (sum(sum(rate.values()) for _, rate in rates) or 1.0)

    def _change_threshold(self, users: int, endpoints: int, traffic: float) -> float:
        """How far a weight must move to earn what it costs at all users."""
        price = self._fleet.settings.channel.entry_price * users * endpoints
        payback = self._channel.entries_per_tick * PAYBACK_TICKS * max(traffic, MIN_TRAFFIC_FRACTION)
        return max(MIN_CHANGE, math.sqrt(price / payback))


def _differs(old: AdmissionLimit | None, new: AdmissionLimit) -> bool:
    """Whether an admission limit is worth sending."""
    if old is None or old.retries != new.retries:
        return True
    return abs(new.limit - old.limit) > MIN_LIMIT_CHANGE * old.limit


def _distance(old: float, new: float) -> float:
    """How far a weight moved: the logarithm of the ratio."""
    if new and old:
        return abs(math.log(new / old))
    return ENTERS_OR_LEAVES if new or old else 0.0

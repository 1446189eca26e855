"""Table updates: decides which weights and admission limits are sent or resent, and in which order.

A message costs as much as several entries, so changed weights wait for the next step of the weight solver and
are sent table by table. Only entries that leave a table, or enter one without a usable endpoint, are urgent.
Entries that some proxies may lack, because they were bound after the entries were sent, are resent at a low
rate.
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
from .readmissions import SessionReadmissions
from .runtime import AdmissionLimit
from .update_cost import UPDATE_ENTRIES
from .weights import EndpointWeights

MIN_CHANGE = 0.1  # smallest change that is sent, as logarithm of the ratio of new to old weight
MEMBERSHIP_CHANGE_DISTANCE = 9.0  # used in place of that logarithm when an entry is added or removed
MIN_LIMIT_CHANGE = MIN_CHANGE / 2  # smallest relative change of an admission limit that is sent
PAYBACK_TICKS = 2 * TICKS_PER_SECOND  # time within which a change must pay for the price of its entries
MIN_TRAFFIC_FRACTION = 0.1  # lower bound on the share of all requests that a table is assumed to carry
RESEND_RATE = 0.05  # share of the channel's rate that resends may take


class Urgency(IntEnum):
    """The order in which changes are sent."""

    URGENT = 0  # the entry leaves its table, or enters one without a usable endpoint
    CHANGED = 1
    RESEND = 2


class WeightChange(NamedTuple):
    """A weight change that is worth its cost.

    Attributes:
        urgency: its place in the sending order.
        magnitude: the distance between old and new weight, times the share of requests that use the table.
        endpoint: the name of the endpoint.
        weight: the new weight; 0 removes the entry.
    """

    urgency: Urgency
    magnitude: float
    endpoint: str
    weight: float


class PlannedChange(NamedTuple):
    """A weight change with its table and its place in the sending order of all tables.

    Attributes:
        sort_key: urgency, then the magnitude of all changes of the table, then of this one, largest first.
        table: the table to change.
        users: the proxies that use the table.
        change: the weight change.
    """

    sort_key: tuple[int, float, float]
    table: EndpointTable
    users: list[int]
    change: WeightChange


class TableUpdater:
    """Brings tables up to date within a queue limit.

    Attributes:
        has_changes: whether weights may differ from the ones sent last.
    """

    def __init__(
        self,
        context: ControllerContext,
        weights: EndpointWeights,
        locality: LocalitySpillover,
        admission: AdmissionController,
        demand: RequestDemand,
        readmissions: SessionReadmissions,
    ) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._channel = context.channel
        self._limits = context.limits
        self._weights = weights
        self._locality = locality
        self._admission = admission
        self._demand = demand
        self._readmissions = readmissions
        self._resend_at = 0
        self.has_changes = True

    def update(self, now: int, tables: list[EndpointTable], limit: float) -> bool:
        """Sends admission limits, then changed weights, then resends, until the queue reaches the limit.

        Tables that no proxy uses cost nothing and are updated completely.

        Args:
            now: the current time.
            tables: the tables to update.
            limit: the queue limit, in entries.

        Returns:
            Whether changed weights or admission limits are left to send.
        """
        planned: list[PlannedChange] = []
        fractions = self._admission.route_fractions()
        are_limits_sent = True
        for table in tables:
            users = self._fleet.users(table)
            are_limits_sent &= self._send_limits(table, users, fractions)
            planned += self._plan(now, table, users)
        planned.sort(key=lambda planned_change: planned_change.sort_key)
        has_changes_left = self._send(now, planned, limit)
        return has_changes_left or not are_limits_sent

    def fill_empty_tables(self, now: int, limit: float) -> None:
        """Fills tables without a usable endpoint: new tables, and tables that lost all their endpoints."""
        for table in self._fleet.tables:
            may_send = self._channel.can_message(now, self._fleet.users(table))
            if may_send and self._fleet.has_only_excluded_entries(table):
                self._locality.rebalance(now, table)
                self.update(now, [table], limit)

    def weight_cost(self, users: list[int], endpoint: str, weight: float) -> int:
        """Returns the cost of `set_weight`, with the readmissions that join it."""
        cost = self._channel.cost(users, UPDATE_ENTRIES)
        if weight > 0:
            excluding = self._excluding(users, endpoint)
            cost += UPDATE_ENTRIES * (len(excluding) + self._readmissions.count_joining(users, endpoint))
        return cost

    def set_weight(self, table: EndpointTable, users: list[int], endpoint: str, weight: float) -> None:
        """Sends one weight to the users of a table; 0 removes the entry."""
        self._runtime.set_weight(table.number, endpoint, weight)
        self._channel.charge(users, UPDATE_ENTRIES)
        if weight > 0:
            self._channel.charge(self._excluding(users, endpoint), UPDATE_ENTRIES)
        table.pending_resend.pop(endpoint, None)
        table.entries.pop(endpoint, None)
        if weight > 0:
            table.entries[endpoint] = weight
            self._readmissions.join_weight(users, endpoint)

    def _excluding(self, users: list[int], endpoint: str) -> list[int]:
        """Returns the users whose bind in this flush has to exclude an endpoint that enters the table."""
        if not self._fleet.endpoints[endpoint].is_excluded:
            return []
        return [proxy for proxy in users if proxy in self._fleet.newly_bound]

    def _send_limits(self, table: EndpointTable, users: list[int], fractions: list[float]) -> bool:
        """Sends changed admission limits; returns False if the queue has no room for one."""
        for route, admission in self._admission.limits(table, fractions).items():
            if not _differs(table.limits.get(route), admission):
                continue
            if users and not self._limits.has_room(self._channel.cost(users, UPDATE_ENTRIES)):
                return False
            self._runtime.set_admission(table.number, route, admission)
            table.limits[route] = admission
            self._channel.charge(users, UPDATE_ENTRIES)
        return True

    def _plan(self, now: int, table: EndpointTable, users: list[int]) -> list[PlannedChange]:
        changes = self._changes(now, table, users)
        table_magnitude = sum(change.magnitude for change in changes)
        return [
            PlannedChange((change.urgency, -table_magnitude, -change.magnitude), table, users, change)
            for change in changes
            if self.has_changes or not users or change.urgency is Urgency.URGENT
        ]

    def _send(self, now: int, planned: list[PlannedChange], limit: float) -> bool:
        has_only_resends = all(planned_change.change.urgency is Urgency.RESEND for planned_change in planned)
        has_changes_left = False
        resent_entries = 0
        for _, table, users, change in planned:
            is_resend = change.urgency is Urgency.RESEND
            is_full = self._channel.queue_estimate() >= limit or not self._has_room(users, change)
            if users and (is_full or (is_resend and not has_only_resends)):
                has_changes_left = not is_resend
                break
            if is_resend:
                resent_entries += self._channel.cost(users, UPDATE_ENTRIES)
            self.set_weight(table, users, change.endpoint, change.weight)
        pause_ticks = int(resent_entries / (self._channel.entries_per_tick * RESEND_RATE))
        self._resend_at = max(self._resend_at, now + pause_ticks)
        return has_changes_left

    def _has_room(self, users: list[int], change: WeightChange) -> bool:
        return self._limits.has_room(self.weight_cost(users, change.endpoint, change.weight))

    def _changes(self, now: int, table: EndpointTable, users: list[int]) -> list[WeightChange]:
        """Returns the weight changes of a table that are worth sending."""
        weights = self._weights.weights(now, table)
        traffic = self._traffic_fraction(table, users)
        threshold = self._change_threshold(len(users), len(weights), traffic)
        # new entries are urgent in a table without a usable endpoint, and while load is shed
        is_needed = self._fleet.has_only_excluded_entries(table) or self._admission.is_shedding
        changes: list[WeightChange] = []
        for name, weight in weights.items():
            old_weight = table.entries.get(name, 0.0)
            distance = _distance(old_weight, weight) if weight != old_weight else 0.0
            if distance > threshold:
                is_excluded = self._fleet.endpoints[name].is_excluded
                is_urgent = (not weight or (not old_weight and is_needed)) and not is_excluded
                urgency = Urgency.URGENT if is_urgent else Urgency.CHANGED
                changes.append(WeightChange(urgency, distance * traffic * (not is_excluded), name, weight))
            elif name in table.pending_resend and weight and now >= self._resend_at:
                changes.append(WeightChange(Urgency.RESEND, 0.0, name, weight))
        return changes

    def _traffic_fraction(self, table: EndpointTable, users: list[int]) -> float:
        """Returns the share of all requests that use a table."""
        routes = self._fleet.settings.routes
        rates = [(index in table.routes, self._demand.by_proxy(route)) for index, route in enumerate(routes)]
        table_rate = sum(rate.get(proxy, 0.0) for is_own, rate in rates if is_own for proxy in users)
        return table_rate / (sum(sum(rate.values()) for _, rate in rates) or 1.0)

    def _change_threshold(self, users: int, endpoints: int, traffic: float) -> float:
        """Returns the smallest distance that pays for sending the change to all users of the table."""
        price = self._fleet.settings.channel.entry_price * users * endpoints
        payback = self._channel.entries_per_tick * PAYBACK_TICKS * max(traffic, MIN_TRAFFIC_FRACTION)
        return max(MIN_CHANGE, math.sqrt(price / payback))


def _differs(old: AdmissionLimit | None, new: AdmissionLimit) -> bool:
    """Whether an admission limit is worth sending."""
    if old is None or old.retries != new.retries:
        return True
    return abs(new.limit - old.limit) > MIN_LIMIT_CHANGE * old.limit


def _distance(old: float, new: float) -> float:
    """Returns the absolute logarithm of the ratio of two weights.

    Returns MEMBERSHIP_CHANGE_DISTANCE if one of them is 0, or if the ratio is 0 or infinite by rounding.
    """
    if new == old:
        return 0.0
    ratio = new / old if old else 0.0
    return abs(math.log(ratio)) if 0 < ratio < math.inf else MEMBERSHIP_CHANGE_DISTANCE

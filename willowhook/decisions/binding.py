"""Binding: decides when each joining proxy is bound to its tables.

A controller that has just started has no latency measurements. A proxy that still has tables from another
controller, or a bootstrap table that serves it equally well, keeps them until the first step of the weight
solver.
"""

from __future__ import annotations

import math

from .context import ControllerContext
from .model import EndpointTable
from .pending_binds import PendingBinds
from .readmissions import SessionReadmissions
from .subsets import SubsetAssigner, SubsetMode
from .table_updates import TableUpdater
from .timing import urgent_after_ticks
from .update_cost import UPDATE_ENTRIES, bind_cost
from .weight_solver import STEP_INTERVAL_TICKS

BIND_COST_MARGIN_ENTRIES = 1  # added to the estimated cost of a bind, which must not be too low


class ProxyBinder:
    """Binds proxies to the default tables or to the tables of their subset."""

    def __init__(
        self,
        context: ControllerContext,
        pending_binds: PendingBinds,
        readmissions: SessionReadmissions,
        subsets: SubsetAssigner,
        updater: TableUpdater,
    ) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._channel = context.channel
        self._limits = context.limits
        self._pending_binds = pending_binds
        self._readmissions = readmissions
        self._subsets = subsets
        self._updater = updater
        self._delay_binds_until = context.started_at + STEP_INTERVAL_TICKS
        grace_ticks = context.settings.rules.empty_table_grace_ticks
        self._urgent_after_ticks = urgent_after_ticks(grace_ticks, context.settings.channel)

    def stop_holding_back(self) -> None:
        """Lifts the startup delay: weights are known, or binds have to carry exclusions that did not fit."""
        self._delay_binds_until = 0

    def due(self, now: int) -> list[int]:
        """Returns the proxies that may be bound now, most urgent first; none while no endpoint is known."""
        endpoints = self._fleet.endpoints.values()
        if not endpoints:
            return []  # a bind would replace the proxy's table with an empty one
        excluded = sum(endpoint.is_excluded for endpoint in endpoints)
        if now >= self._delay_binds_until or 2 * excluded >= len(endpoints):
            return self._pending_binds.in_order(with_earlier_table=True)
        settings = self._fleet.settings
        bootstrap_table_suffices = settings.fleet.bootstrap_table_size and not settings.lists_capacity
        if bootstrap_table_suffices:
            return []
        return self._pending_binds.in_order(with_earlier_table=False)

    def urgent(self, now: int) -> list[int]:
        """Returns the due proxies that were sent nothing recently and may exceed the empty-table grace."""
        message_cap = self._channel.message_cap
        return [
            proxy
            for proxy in self.due(now)
            if self._pending_binds.waited_ticks(now, proxy) >= self._urgent_after_ticks
            and message_cap.has_no_recent_messages(now, proxy)
        ]

    def bind_burst(self, now: int, due: list[int]) -> None:
        """Binds proxies that were never bound to subsets, if complete tables would reach them too late.

        A subset table contains no excluded endpoint, and binding a proxy to one costs less than sending it
        all earlier exclusions.
        """
        never_bound = [proxy for proxy in due if proxy not in self._fleet.subset_of]
        if self._subsets.is_burst(never_bound) and self._subsets.assign_burst(now, never_bound):
            self.bind_in_order(now, never_bound, math.inf)

    def bind_in_order(self, now: int, due: list[int], limit: float) -> None:
        """Binds these pending proxies in order while the queue is shorter than the limit and has room."""
        if due and self._channel.queue_estimate() < limit:
            # updating a table that no proxy uses costs nothing, so do it before the first bind
            unused = [table for table in self._fleet.tables if not self._fleet.users(table)]
            self._updater.update(now, unused, limit)
        for proxy in due:
            if self._channel.queue_estimate() >= limit:
                break
            if not self._bind(now, proxy, self._subsets.assigned(proxy)):
                break
            self._pending_binds.remove(proxy)

    def end_burst(self, now: int, limit: float) -> None:
        """Rebinds proxies of a join burst to the default tables when no bind is pending."""
        if self._subsets.mode is not SubsetMode.JOIN_BURST or self._pending_binds:
            return
        while self._subsets.mode is SubsetMode.JOIN_BURST:
            if self._channel.queue_estimate() >= limit:
                return
            proxy = self._subsets.next_assigned()
            if proxy in self._fleet.proxies and not self._bind(now, proxy, None):
                return
            self._subsets.release(proxy)
        self._fleet.tables = list(self._fleet.default_tables)

    def _bind(self, now: int, proxy: int, subset: int | None) -> bool:
        """Binds a proxy to the tables of a subset; returns False if the queue has no room for them."""
        tables = self._fleet.tables_for(proxy, subset)
        readmitted = self._readmissions.due_with_bind(now, proxy, tables, subset)
        entries = len(readmitted) * UPDATE_ENTRIES + sum(map(self._table_cost, tables))
        if not self._limits.has_room(self._channel.cost([proxy], entries)):
            return False
        self._fleet.subset_of[proxy] = subset
        self._fleet.newly_bound.add(proxy)
        self._readmissions.readmit_with_bind(proxy, readmitted, subset)
        for table in tables:
            self._runtime.bind(proxy, table.number, table.routes)
            self._channel.charge([proxy], self._table_cost(table))
            table.pending_resend = dict.fromkeys(table.entries)
        return True

    def _table_cost(self, table: EndpointTable) -> int:
        """Returns the cost of binding a proxy to a table as it is now, without the message overhead."""
        excluded = sum(self._fleet.endpoints[name].is_excluded for name in table.entries)
        return bind_cost(len(table.entries), len(table.limits), excluded) + BIND_COST_MARGIN_ENTRIES

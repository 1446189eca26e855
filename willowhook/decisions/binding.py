"""Binding: which joining proxy gets its tables when.

A controller that has just started knows no endpoint's latency. A proxy with a table of another controller, or
with a bootstrap table that is as good, keeps it until the first step of the weight solver.
"""

from __future__ import annotations

import math

from .context import ControllerContext
from .pending_binds import PendingBinds
from .readmissions import SessionReadmissions
from .subsets import SubsetAssigner, SubsetMode
from .table_updates import TableUpdater
from .timing import urgent_after_ticks
from .update_cost import bind_cost
from .weight_solver import STEP_INTERVAL_TICKS

BIND_COST_MARGIN_ENTRIES = 1  # added to the estimated cost of a bind, to err on the safe side


class ProxyBinder:
    """Binds proxies to the default tables or to those of their subset."""

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
        self._pending_binds = pending_binds
        self._readmissions = readmissions
        self._subsets = subsets
        self._updater = updater
        self._delay_binds_until = context.started_at + STEP_INTERVAL_TICKS
        grace_ticks = context.settings.rules.empty_table_grace_ticks
        self._urgent_after_ticks = urgent_after_ticks(grace_ticks, context.settings.channel)

    def stop_holding_back(self) -> None:
        """Weights are known, or binds are needed to keep the drain rule: no proxy is held back any more."""
        self._delay_binds_until = 0

    def due(self, now: int) -> list[int]:
        """The proxies that may be bound now, the most urgent first; none while no endpoint is known."""
        endpoints = self._fleet.endpoints.values()
        if not endpoints:
            return []  # an empty table would replace the one that a proxy holds
        excluded = sum(endpoint.is_excluded for endpoint in endpoints)
        if now >= self._delay_binds_until or 2 * excluded >= len(endpoints):
            return self._pending_binds.in_order(with_earlier_table=True)
        settings = self._fleet.settings
        bootstrap_table_is_as_good = settings.fleet.bootstrap_table_size and not settings.lists_capacity
        if bootstrap_table_is_as_good:
            return []
        return self._pending_binds.in_order(with_earlier_table=False)

    def urgent(self, now: int) -> list[int]:
        """Of those due, the ones that were sent nothing yet and may soon lack an endpoint for too long."""
        message_cap = self._channel.message_cap
        return [
            proxy
            for proxy in self.due(now)
            if self._pending_binds.waited_ticks(now, proxy) >= self._urgent_after_ticks
            and message_cap.has_no_recent_messages(now, proxy)
        ]

    def bind_burst(self, now: int, due: list[int]) -> None:
        """Binds proxies that never were to subsets, if too many of them wait for whole tables.

        A subset table holds nothing that has to be excluded, and its bind costs less than telling a proxy
        what has been.
        """
        new = [proxy for proxy in due if proxy not in self._fleet.subset_of]
        if self._subsets.is_burst(new):
            self.bind_in_order(now, self._subsets.assign_burst(now, new), math.inf)

    def bind_in_order(self, now: int, due: list[int], limit: float) -> None:
        """Binds those of these proxies that still wait, as long as the queue stays under the limit."""
        if due and self._channel.queue_estimate() < limit:
            # a table that nobody uses yet is brought up to date before anyone is bound, and costs nothing
            unused = [table for table in self._fleet.tables if not self._fleet.users(table)]
            self._updater.update(now, unused, limit)
        for proxy in due:
            if self._channel.queue_estimate() >= limit:
                break
            self._bind(now, proxy)
            self._pending_binds.remove(proxy)

    def end_burst(self, now: int, limit: float) -> None:
        """Binds proxies with a subset to the default tables, once nobody waits, as the queue allows."""
        if self._subsets.mode is not SubsetMode.JOIN_BURST or self._pending_binds:
            return
        while self._subsets.mode is SubsetMode.JOIN_BURST:
            if self._channel.queue_estimate() >= limit:
                return
            proxy = self._subsets.release_next()
            if proxy in self._fleet.proxies:
                self._bind(now, proxy)
        self._fleet.tables = list(self._fleet.default_tables)

    def _bind(self, now: int, proxy: int) -> None:
        subset = self._subsets.assigned(proxy)
        self._fleet.subset_of[proxy] = subset
        tables = self._fleet.tables_for(proxy, subset)
        self._readmissions.readmit_at(now, proxy, tables)
        for table in tables:
            self._runtime.bind(proxy, table.number, table.routes)
            excluded = sum(self._fleet.endpoints[name].is_excluded for name in table.entries)
            cost = bind_cost(len(table.entries), len(table.limits), excluded)
            self._channel.charge([proxy], cost + BIND_COST_MARGIN_ENTRIES)
            table.pending_resend = dict.fromkeys(table.entries)

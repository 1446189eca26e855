"""Exclusion of draining and removed endpoints, which get no requests after the drain grace.

An exclusion tells a proxy to stop using an endpoint, whatever its table says; the table entry is removed
later.
How a proxy learns that an endpoint drains or was removed:

| proxy                                    | notified by                                                     |
| ---------------------------------------- | --------------------------------------------------------------- |
| bound here, its table has the endpoint   | the exclusion; batched with others while the queue is long      |
| bound here, to another table or subset   | nothing: it has no entry for the endpoint                       |
| joined, not bound yet                    | the exclusion, and a reminder of those from before it joined    |
| bound here later                         | the bind, which excludes all endpoints outside its table        |
| joined from another controller           | the same; readmissions.py reverts that controller's exclusions  |

Under a message cap an urgent exclusion does not wait for the message spacing. It is urgent when the endpoint
has restarted in service, or when half of the time that the drain grace leaves has passed.

An endpoint that is back in service is readmitted at all proxies, with its current weight. The readmission of
a warming endpoint waits until no proxy waits to be bound, because the tables of those proxies were made
without its slow start.
"""

from __future__ import annotations

from ..ticks import TICKS_PER_MILLISECOND
from .context import ControllerContext
from .model import Endpoint, EndpointTable
from .pending_binds import PendingBinds
from .queue_limits import EXCLUSION_BATCH_DIVISOR
from .slow_start import SlowStart
from .table_updates import TableUpdater
from .timing import urgent_after_ticks
from .update_cost import UPDATE_ENTRIES
from .weights import EndpointWeights

LATE_DIVISOR = 2  # exclusions count as late after drain grace / 2
MAX_BATCH_INTERVALS = 3  # longest wait of exclusions for a batch while not all of them fit in the queue


class EndpointExclusions:
    """Excludes draining and removed endpoints, and readmits those that are back in service."""

    def __init__(
        self,
        context: ControllerContext,
        pending_binds: PendingBinds,
        slow_start: SlowStart,
        weights: EndpointWeights,
        updater: TableUpdater,
    ) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._channel = context.channel
        self._limits = context.limits
        self._pending_binds = pending_binds
        self._slow_start = slow_start
        self._weights = weights
        self._updater = updater
        grace_ticks = context.settings.rules.drain_grace_ticks
        self._urgent_after_ticks = urgent_after_ticks(grace_ticks, context.settings.channel)
        self._late_after_ticks = grace_ticks // LATE_DIVISOR
        self._batch_interval_ticks = grace_ticks / EXCLUSION_BATCH_DIVISOR
        self._has_logged_late = False
        self._changed: dict[str, int] = {}  # time of change of endpoints to check

    def record_change(self, now: int, endpoint: str) -> None:
        """Records an endpoint that was listed or is missing, to be excluded or readmitted if needed."""
        self._changed.setdefault(endpoint, now)

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops a removed endpoint."""
        self._changed.pop(endpoint, None)

    def has_pending_exclusions(self) -> bool:
        """Whether changed endpoints are not excluded yet; binds and table updates wait for them."""
        return any(not self._fleet.endpoints[name].is_excluded for name in self._changed)

    def log_if_late(self, now: int) -> None:
        """Logs late exclusions and the state of the queue, once until no exclusion is late."""
        waits = [
            now - self._changed[endpoint.name] for endpoint in self._due_changes() if not endpoint.is_excluded
        ]
        is_late = bool(waits) and max(waits) >= self._late_after_ticks
        if is_late and not self._has_logged_late:
            self._runtime.log(
                f"exclusions late endpoints={len(waits)} oldest_ms={max(waits) // TICKS_PER_MILLISECOND} "
                f"queue_entries={self._channel.queue_estimate():.0f} "
                f"unproven_entries={self._channel.unproven_entries()} "
                f"proxies={len(self._fleet.proxies)} waiting_proxies={len(self._pending_binds)}"
            )
        self._has_logged_late = is_late

    def send(self, now: int) -> None:
        """Sends exclusions, oldest first, then readmissions, as far as they fit in the queue."""
        self._send(now, self._due_changes(), with_readmissions=True)

    def send_urgent(self, now: int) -> None:
        """Sends the pending exclusions, but no readmissions, if one exclusion is urgent."""
        due = self._due_changes()
        if any(self._is_urgent(now, endpoint) for endpoint in due):
            self._send(now, due, with_readmissions=False)

    def _send(self, now: int, due: list[Endpoint], *, with_readmissions: bool) -> None:
        unsent: dict[str, int] = {}
        is_queue_long = self._channel.queue_estimate() >= self._limits.for_binds()
        is_batching = is_queue_long and self._should_batch(now, due)
        for endpoint in due:
            if endpoint.is_excluded:
                may_send = with_readmissions and not self._must_wait(now, endpoint, is_queue_long)
                is_sent = may_send and self._readmit(now, endpoint)
            elif endpoint.restarted_in_service and self._can_send_weights_alone():
                is_sent = self._send_weights(now, endpoint)
            else:
                is_sent = not is_batching and self._exclude(now, endpoint)
            if not is_sent:
                unsent[endpoint.name] = self._changed[endpoint.name]
            elif (
                endpoint.restarted_in_service
            ):  # excluded only so that its readmission carries its new weight
                endpoint.restarted_in_service = False
                unsent[endpoint.name] = now
        self._changed = unsent

    def holders(self, endpoint: str) -> list[int]:
        """Returns the proxies that may use an endpoint: those waiting to be bound and users of its tables.

        The runtimes send exclusions to the same proxies (`platform/proxy_updates.py`,
        `controlplane/proxy_state.py`), so that the estimated cost matches the actual cost.
        """
        tables = self._fleet.tables_with(endpoint)
        users = [proxy for table in tables for proxy in self._fleet.users(table)]
        return [*dict.fromkeys([*self._pending_binds, *users])]

    def _due_changes(self) -> list[Endpoint]:
        """Returns the endpoints to exclude, then those to readmit, each by time of last exclusion change."""
        changed = [self._fleet.endpoints[name] for name in self._changed]
        due = [endpoint for endpoint in changed if endpoint.is_excluded == _is_usable(endpoint)]
        return sorted(due, key=lambda endpoint: (endpoint.is_excluded, endpoint.exclusion_changed_at))

    def _is_urgent(self, now: int, endpoint: Endpoint) -> bool:
        """Whether an endpoint has to be excluded before the next regular message."""
        if endpoint.is_excluded:
            return False
        return endpoint.restarted_in_service or now - self._changed[endpoint.name] >= self._urgent_after_ticks

    def _can_send_weights_alone(self) -> bool:
        """Whether a restart can be announced by weights alone, without an exclusion and a readmission.

        Under a message cap the readmission might wait for an entire window of the cap. Proxies that wait to
        be bound need the exclusion, as their tables are not known here.
        """
        return self._channel.message_cap.is_limited and not len(self._pending_binds)

    def _should_batch(self, now: int, due: list[Endpoint]) -> bool:
        """Whether exclusions wait to be batched, as the overhead of a message costs more than one entry."""
        waiting = [endpoint for endpoint in due if not endpoint.is_excluded]
        age_ticks = max((now - self._changed[endpoint.name] for endpoint in waiting), default=0)
        if age_ticks < self._batch_interval_ticks:
            return True
        if self._limits.has_room(self._cost_at_most(waiting)):
            return False
        # no single exclusions while the queue drains: a message should carry as many entries as its overhead
        worth_a_message = waiting[: self._channel.overhead_entries]
        may_wait = age_ticks < MAX_BATCH_INTERVALS * self._batch_interval_ticks
        return may_wait or not self._limits.has_room(self._cost_at_most(worth_a_message))

    def _cost_at_most(self, endpoints: list[Endpoint]) -> int:
        """Returns the maximum cost of excluding all of these at the proxies that may use them."""
        waiting = [*self._pending_binds]
        entries = len(waiting) * len(endpoints)
        reached = set(waiting)
        for table in self._fleet.tables:
            held = sum(endpoint.name in table.entries for endpoint in endpoints)
            if held:
                users = self._fleet.users(table)
                entries += held * len(users)
                reached.update(users)
        return entries * UPDATE_ENTRIES + self._channel.cost([*reached], 0)

    def _must_wait(self, now: int, endpoint: Endpoint, is_queue_long: bool) -> bool:
        """Whether a readmission has to wait."""
        if is_queue_long:
            return True
        return len(self._pending_binds) > 0 and self._slow_start.is_warming_up(now, endpoint)

    def _exclude(self, now: int, endpoint: Endpoint) -> bool:
        """Excludes an endpoint at all proxies that may use it.

        Returns False if the queue limit or the message cap does not allow it.
        """
        holders = self.holders(endpoint.name)
        if not self._can_send(now, holders, self._channel.cost(holders, UPDATE_ENTRIES)):
            return False
        endpoint.is_excluded = True
        endpoint.exclusion_changed_at = now
        self._runtime.exclude_endpoint(endpoint.name)
        self._channel.charge(holders, UPDATE_ENTRIES)
        return True

    def _readmit(self, now: int, endpoint: Endpoint) -> bool:
        """Readmits an endpoint at all proxies.

        Its weights are sent first, because those of its previous process may overload the new one. Returns
        False if the queue limit or the message cap does not allow it.
        """
        proxies = list(self._fleet.proxies)
        tables = self._fleet.tables_with(endpoint.name)
        cost = self._channel.cost(proxies, UPDATE_ENTRIES * (1 + len(tables)))
        if not self._can_send(now, proxies, cost):
            return False
        self._set_weights(now, endpoint, tables)
        endpoint.is_excluded = False
        endpoint.exclusion_changed_at = now
        self._runtime.readmit_endpoint(endpoint.name)
        self._channel.charge(proxies, UPDATE_ENTRIES)
        return True

    def _send_weights(self, now: int, endpoint: Endpoint) -> bool:
        """Sends the current weights of an endpoint; returns False if the channel does not allow it."""
        tables = self._fleet.tables_with(endpoint.name)
        users_by_table = [self._fleet.users(table) for table in tables]
        users = [*dict.fromkeys(proxy for table_users in users_by_table for proxy in table_users)]
        weight = 1.0  # stands for any weight but 0
        cost = sum(
            self._updater.weight_cost(table_users, endpoint.name, weight) for table_users in users_by_table
        )
        if not self._can_send(now, users, cost):
            return False
        self._set_weights(now, endpoint, tables)
        return True

    def _set_weights(self, now: int, endpoint: Endpoint, tables: list[EndpointTable]) -> None:
        for table in tables:
            weight = self._weights.weight(now, table, endpoint)
            self._updater.set_weight(table, self._fleet.users(table), endpoint.name, weight)

    def _can_send(self, now: int, proxies: list[int], cost: int) -> bool:
        return self._limits.has_room(cost) and self._channel.can_message(now, proxies)


def _is_usable(endpoint: Endpoint) -> bool:
    """Whether proxies should be allowed to use an endpoint."""
    return endpoint.is_in_service and not endpoint.restarted_in_service

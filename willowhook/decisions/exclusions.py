"""The rule on draining and removed endpoints: nothing is sent to them after the drain grace.

An exclusion notifies a proxy not to use an endpoint, whatever its table says; the entry in the table is
removed later. How a proxy is notified of an endpoint that drains or is removed:

| proxy                                    | notified by                                              |
| ---------------------------------------- | -------------------------------------------------------- |
| bound here, its table has the endpoint   | the exclusion; while the queue is long, some gather      |
| bound here, to another table or subset   | nothing: it holds no entry for the endpoint              |
| joined, not bound yet                    | the exclusion, and a reminder of those before it joined  |
| bound here later                         | the bind, which excludes what is out of its table        |
| joined from another controller           | the same; readmissions.py takes back that one's own      |

Under a message cap an exclusion does not wait for the spacing of messages when it is urgent: when the
endpoint has restarted in service, or when half of the time that the grace leaves has passed.

An endpoint that is in service again is readmitted at all proxies, with its present weight. A warming one
waits until no proxy waits to be bound, as the tables that those hold know no slow start.
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

LATE_DIVISOR = 2  # exclusions that have waited for this part of the grace are logged
MAX_GATHERINGS = 3  # the most gathering times that exclusions wait while not all of them fit


class EndpointExclusions:
    """Excludes endpoints that drain or are removed, and readmits those that are back."""

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
        self._has_logged_late = False
        self._changed: dict[str, int] = {}  # endpoints that may have to be excluded or readmitted, since when

    def note_change(self, now: int, endpoint: str) -> None:
        """An endpoint was listed, or is missing: it may have to be excluded or readmitted."""
        self._changed.setdefault(endpoint, now)

    def forget_endpoint(self, endpoint: str) -> None:
        """An endpoint is gone for good."""
        self._changed.pop(endpoint, None)

    def has_pending_exclusions(self) -> bool:
        """Whether changed endpoints are not excluded yet: binds and table updates then wait."""
        return any(not self._fleet.endpoints[name].is_excluded for name in self._changed)

    def log_if_late(self, now: int) -> None:
        """Logs that exclusions wait for long, and what is ahead of them; once until none is late."""
        waits = [
            now - self._changed[endpoint.name] for endpoint in self._due_changes() if not endpoint.is_excluded
        ]
        is_late = max(waits, default=0) >= self._late_after_ticks
        if is_late and not self._has_logged_late:
            self._runtime.log(
                f"exclusions late endpoints={len(waits)} oldest_ms={max(waits) // TICKS_PER_MILLISECOND} "
                f"queue_entries={self._channel.queue_estimate():.0f} "
                f"unproven_entries={self._channel.unproven_entries()} "
                f"proxies={len(self._fleet.proxies)} waiting_proxies={len(self._pending_binds)}"
            )
        self._has_logged_late = is_late

    def send(self, now: int) -> None:
        """Sends exclusions, the oldest first, then readmissions, as far as they fit in the queue."""
        self._send(now, self._due_changes(), with_readmissions=True)

    def send_urgent(self, now: int) -> None:
        """Sends exclusions if one of them is urgent; readmissions wait."""
        due = self._due_changes()
        if any(self._is_urgent(now, endpoint) for endpoint in due):
            self._send(now, due, with_readmissions=False)

    def _send(self, now: int, due: list[Endpoint], *, with_readmissions: bool) -> None:
        left: dict[str, int] = {}
        is_queue_long = self._channel.queue_estimate() >= self._limits.for_binds()
        is_gathering = is_queue_long and self._should_gather(now, due)
        for endpoint in due:
            if endpoint.is_excluded:
                may_send = with_readmissions and not self._must_wait(now, endpoint, is_queue_long)
                is_sent = may_send and self._readmit(now, endpoint)
            elif endpoint.restarted_in_service and self._can_send_weights_alone():
                is_sent = self._send_weights(now, endpoint)
            else:
                is_sent = not is_gathering and self._exclude(now, endpoint)
            if not is_sent:
                left[endpoint.name] = self._changed[endpoint.name]
            elif endpoint.restarted_in_service:  # it was excluded only to be readmitted with its new weight
                endpoint.restarted_in_service = False
                left[endpoint.name] = now
        self._changed = left

    def holders(self, endpoint: str) -> list[int]:
        """The proxies that may use an endpoint: all that wait to be bound, and the users of its tables.

        The runtimes send exclusions to the same proxies (`platform/proxy_updates.py`,
        `controlplane/proxy_state.py`), so that the estimated and the real cost agree.
        """
        tables = self._fleet.tables_with(endpoint)
        users = [proxy for table in tables for proxy in self._fleet.users(table)]
        return [*dict.fromkeys([*self._pending_binds, *users])]

    def _due_changes(self) -> list[Endpoint]:
        """Endpoints that are not as they should be: those to exclude first, each in order of time."""
        changed = [self._fleet.endpoints[name] for name in self._changed]
        due = [endpoint for endpoint in changed if endpoint.is_excluded == _is_usable(endpoint)]
        return sorted(due, key=lambda endpoint: (endpoint.is_excluded, endpoint.exclusion_changed_at))

    def _is_urgent(self, now: int, endpoint: Endpoint) -> bool:
        """Whether an exclusion may not wait for the next ordinary message."""
        if endpoint.is_excluded:
            return False
        return endpoint.restarted_in_service or now - self._changed[endpoint.name] >= self._urgent_after_ticks

    def _can_send_weights_alone(self) -> bool:
        """Whether a restart is told by weights: under a cap the readmission might wait for a whole window.

        The tables of proxies that wait to be bound are not known here: they need the exclusion.
        """
        return self._channel.message_cap.is_limited and not len(self._pending_binds)

    def _should_gather(self, now: int, due: list[Endpoint]) -> bool:
        """Whether exclusions wait a little for more: a message costs more than its entry."""
        waiting = [endpoint for endpoint in due if not endpoint.is_excluded]
        age_ticks = max((now - self._changed[endpoint.name] for endpoint in waiting), default=0)
        gatherings = age_ticks * EXCLUSION_BATCH_DIVISOR // self._fleet.settings.rules.drain_grace_ticks
        if gatherings < 1:
            return True
        if self._fits(self._cost_at_most(waiting)):
            return False
        # not one by one as the queue drains: a message should carry as much as it costs
        worth_a_message = waiting[: self._channel.overhead_entries]
        return gatherings < MAX_GATHERINGS or not self._fits(self._cost_at_most(worth_a_message))

    def _cost_at_most(self, endpoints: list[Endpoint]) -> int:
        """What it costs at the most to exclude all of these at the proxies that may use them."""
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
        """Excludes an endpoint at all proxies that may use it; False if the channel does not allow that."""
        holders = self.holders(endpoint.name)
        if not self._can_send(now, holders, UPDATE_ENTRIES):
            return False
        endpoint.is_excluded = True
        endpoint.exclusion_changed_at = now
        self._runtime.exclude_endpoint(endpoint.name)
        self._channel.charge(holders, UPDATE_ENTRIES)
        return True

    def _readmit(self, now: int, endpoint: Endpoint) -> bool:
        """Readmits an endpoint at all proxies, its weights first; False if the channel does not allow that.

        The weights come first, as those of the process before may be too much for the new one.
        """
        proxies = list(self._fleet.proxies)
        tables = self._fleet.tables_with(endpoint.name)
        if not self._can_send(now, proxies, UPDATE_ENTRIES * (1 + len(tables))):
            return False
        self._set_weights(now, endpoint, tables)
        endpoint.is_excluded = False
        endpoint.exclusion_changed_at = now
        self._runtime.readmit_endpoint(endpoint.name)
        self._channel.charge(proxies, UPDATE_ENTRIES)
        return True

    def _send_weights(self, now: int, endpoint: Endpoint) -> bool:
        """Sends the present weights of an endpoint; False if the channel does not allow that."""
        tables = self._fleet.tables_with(endpoint.name)
        users = [*dict.fromkeys(proxy for table in tables for proxy in self._fleet.users(table))]
        if not self._can_send(now, users, UPDATE_ENTRIES * len(tables)):
            return False
        self._set_weights(now, endpoint, tables)
        return True

    def _set_weights(self, now: int, endpoint: Endpoint, tables: list[EndpointTable]) -> None:
        for table in tables:
            weight = self._weights.weight(now, table, endpoint)
            self._updater.set_weight(table, self._fleet.users(table), endpoint.name, weight)

    def _can_send(self, now: int, proxies: list[int], entries: int) -> bool:
        return self._fits(self._channel.cost(proxies, entries)) and self._channel.can_message(now, proxies)

    def _fits(self, cost: int) -> bool:
        return self._channel.queue_ceiling() + cost <= self._limits.for_exclusions()


def _is_usable(endpoint: Endpoint) -> bool:
    """Whether proxies should be allowed to use an endpoint."""
    return endpoint.is_in_service and not endpoint.restarted_in_service

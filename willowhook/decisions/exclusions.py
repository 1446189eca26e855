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

An endpoint that is in service again is readmitted at all proxies, with its present weight. A warming one
waits until no proxy waits to be bound, as the tables that those hold know no slow start.
"""

from __future__ import annotations

from .context import ControllerContext
from .model import Endpoint
from .pending_binds import PendingBinds
from .queue_limits import EXCLUSION_GATHER_DIVISOR
from .slow_start import SlowStart
from .table_updates import TableUpdater
from .update_cost import UPDATE_ENTRIES
from .weights import EndpointWeights

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

    def send(self, now: int) -> None:
        """Sends exclusions, the oldest first, then readmissions, as far as they fit in the queue."""
        due = self._due_changes()
        left: dict[str, int] = {}
        is_queue_long = self._channel.queue_estimate() >= self._limits.for_binds()
        is_gathering = is_queue_long and self._should_gather(now, due)
        for endpoint in due:
            if endpoint.is_excluded:
                is_sent = not self._must_wait(now, endpoint, is_queue_long) and self._readmit(now, endpoint)
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

    def _should_gather(self, now: int, due: list[Endpoint]) -> bool:
        """Whether exclusions wait a little for more: a message costs more than its entry."""
        ages = [now - self._changed[endpoint.name] for endpoint in due if not endpoint.is_excluded]
        grace_ticks = self._fleet.settings.rules.drain_grace_ticks
        gatherings = max(ages, default=0) * EXCLUSION_GATHER_DIVISOR // grace_ticks
        cost = self._channel.cost([*self._fleet.proxies], len(ages) * UPDATE_ENTRIES)
        fits = self._fits(cost)
        return gatherings < MAX_GATHERINGS and not (fits and gatherings >= 1)

    def _must_wait(self, now: int, endpoint: Endpoint, is_queue_long: bool) -> bool:
        """Whether a readmission has to wait."""
        if is_queue_long:
            return True
        return len(self._pending_binds) > 0 and self._slow_start.is_warming_up(now, endpoint)

    def _exclude(self, now: int, endpoint: Endpoint) -> bool:
        """Excludes an endpoint at all proxies that may use it; False if that does not fit in the queue."""
        holders = self.holders(endpoint.name)
        if not self._fits(self._channel.cost(holders, UPDATE_ENTRIES)):
            return False
        endpoint.is_excluded = True
        endpoint.exclusion_changed_at = now
        self._runtime.exclude_endpoint(endpoint.name)
        self._channel.charge(holders, UPDATE_ENTRIES)
        return True

    def _readmit(self, now: int, endpoint: Endpoint) -> bool:
        """Readmits an endpoint at all proxies, its weights first; False if that does not fit in the queue.

        The weights come first, as those of the process before may be too much for the new one.
        """
        proxies = list(self._fleet.proxies)
        tables = self._fleet.tables_with(endpoint.name)
        if not self._fits(self._channel.cost(proxies, UPDATE_ENTRIES * (1 + len(tables)))):
            return False
        for table in tables:
            weight = self._weights.weight(now, table, endpoint)
            self._updater.set_weight(table, self._fleet.users(table), endpoint.name, weight)
        endpoint.is_excluded = False
        endpoint.exclusion_changed_at = now
        self._runtime.readmit_endpoint(endpoint.name)
        self._channel.charge(proxies, UPDATE_ENTRIES)
        return True

    def _fits(self, cost: int) -> bool:
        return self._channel.queue_ceiling() + cost <= self._limits.for_exclusions()


def _is_usable(endpoint: Endpoint) -> bool:
    """Whether proxies should be allowed to use an endpoint."""
    return endpoint.is_in_service and not endpoint.restarted_in_service

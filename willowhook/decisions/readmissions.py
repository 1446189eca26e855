"""Readmission at proxies that may hold exclusions which are not known here.

Where exclusions outlive a session, a proxy keeps those that any controller has ordered: another one, an
earlier process of this one, or this one before it dropped the endpoint. Endpoints in service are readmitted
by name:

| endpoint                                            | at which proxies        | when                      |
| --------------------------------------------------- | ----------------------- | ------------------------- |
| in service at the bind, and returned lately         | from another controller | with the bind             |
| first listed since this controller started          | from another controller | with its next weight      |
| listed again after this controller dropped it       | all                     | with its next weight      |

The last two are many while endpoints are replaced, and cost one entry each in a message that is sent anyway.
An endpoint whose weight does not change is readmitted alone after a while, when the queue is short. It is
warming up meanwhile, so it has little weight. Unbound proxies wait for their bind: until then they may have a
weight for it from before its restart.
"""

from __future__ import annotations

from collections.abc import Iterable

from .context import ControllerContext
from .model import Endpoint, EndpointTable
from .timing import EVALUATION_INTERVAL_TICKS
from .update_cost import UPDATE_ENTRIES

WAITS_PER_SLOW_START = 3  # a readmission waits for a weight for at most slow-start time / 3
MAX_DROPPED_NAMES = 10_000  # names of dropped endpoints that are remembered, the latest ones


class SessionReadmissions:
    """Tracks which endpoints may be excluded at which proxies by orders that are not known here."""

    def __init__(self, context: ControllerContext) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._channel = context.channel
        self._limits = context.limits
        self._is_active = context.settings.exclusions_outlive_sessions
        self._max_wait_ticks = context.settings.rules.slow_start_ticks // WAITS_PER_SLOW_START
        self._from_elsewhere: dict[int, None] = {}  # proxies from another controller
        self._unbound: dict[int, None] = {}  # of these, the ones not bound to default tables yet
        self._pending: dict[str, dict[int, int]] = {}  # by endpoint and proxy: since when it is pending
        self._dropped: dict[str, None] = {}  # names of endpoints that were excluded and dropped here
        self._next_check_at = context.started_at  # for overdue readmissions

    def add_proxy(self, now: int, proxy: int) -> None:
        """Adds a proxy that has joined from another controller."""
        if not self._is_active:
            return
        self._unbound[proxy] = None
        self._from_elsewhere[proxy] = None
        for endpoint in self._fleet.endpoints.values():
            if endpoint.is_new:
                self._pending.setdefault(endpoint.name, {})[proxy] = now

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy that has left."""
        self._unbound.pop(proxy, None)
        self._from_elsewhere.pop(proxy, None)
        for since_by_proxy in self._pending.values():
            since_by_proxy.pop(proxy, None)

    def add_endpoint(self, now: int, endpoint: str) -> None:
        """Schedules the readmission of an endpoint that is listed for the first time, or again."""
        if not self._is_active:
            return
        was_dropped = endpoint in self._dropped
        self._dropped.pop(endpoint, None)
        proxies: Iterable[int] = self._fleet.proxies if was_dropped else self._from_elsewhere
        self._pending[endpoint] = dict.fromkeys(proxies, now)

    def drop_endpoint(self, endpoint: str) -> None:
        """Remembers the name of an excluded endpoint that is dropped, in case it is listed again."""
        if not self._is_active:
            return
        self._pending.pop(endpoint, None)
        self._dropped.pop(endpoint, None)
        self._dropped[endpoint] = None
        if len(self._dropped) > MAX_DROPPED_NAMES:
            del self._dropped[next(iter(self._dropped))]

    def due_with_bind(
        self, now: int, proxy: int, tables: list[EndpointTable], subset: int | None
    ) -> list[str]:
        """Returns what another controller may have excluded at a proxy that is bound to these tables."""
        if proxy not in self._unbound:
            return []
        since = now - self._fleet.settings.rules.slow_start_ticks
        endpoints = [
            endpoint.name
            for endpoint in self._fleet.endpoints.values()
            if _is_open(endpoint) and _returned_at(endpoint) > since
        ]
        if subset is not None:
            # endpoints outside its subset are readmitted once it is bound to the default tables
            endpoints = [name for name in endpoints if any(name in table.entries for table in tables)]
        return endpoints

    def readmit_with_bind(self, proxy: int, endpoints: list[str], subset: int | None) -> None:
        """Readmits the endpoints that `due_with_bind` returned."""
        if subset is None:
            self._unbound.pop(proxy, None)
        self._readmit(proxy, endpoints)

    def count_joining(self, proxies: list[int], endpoint: str) -> int:
        """Returns at how many of these proxies `join_weight` would readmit an endpoint."""
        since_by_proxy = self._pending.get(endpoint)
        if not since_by_proxy or not _is_open(self._fleet.endpoints[endpoint]):
            return 0
        return sum(proxy in since_by_proxy for proxy in proxies)

    def join_weight(self, proxies: list[int], endpoint: str) -> None:
        """Readmits an endpoint where it is pending among these proxies, in the message of its weight."""
        since_by_proxy = self._pending.get(endpoint)
        if not since_by_proxy or not _is_open(self._fleet.endpoints[endpoint]):
            return
        for proxy in proxies:
            if since_by_proxy.pop(proxy, None) is not None:
                self._readmit(proxy, [endpoint])

    def send_overdue(self, now: int, limit: float) -> None:
        """Sends the readmissions that have waited too long, while the queue is shorter than the limit."""
        if now < self._next_check_at:
            return
        self._next_check_at = now + EVALUATION_INTERVAL_TICKS
        for proxy, endpoints in self._overdue(now).items():
            if self._channel.queue_estimate() >= limit:
                return
            if not self._limits.has_room(self._channel.cost([proxy], len(endpoints) * UPDATE_ENTRIES)):
                return
            for endpoint in endpoints:
                del self._pending[endpoint][proxy]
            self._readmit(proxy, endpoints)

    def _overdue(self, now: int) -> dict[int, list[str]]:
        """Returns by bound proxy the endpoints whose readmission has waited too long."""
        overdue: dict[int, list[str]] = {}
        for endpoint, since_by_proxy in self._pending.items():
            if not _is_open(self._fleet.endpoints[endpoint]):
                continue
            for proxy, since in since_by_proxy.items():
                if now - since >= self._max_wait_ticks and proxy in self._fleet.subset_of:
                    overdue.setdefault(proxy, []).append(endpoint)
        return overdue

    def _readmit(self, proxy: int, endpoints: list[str]) -> None:
        if endpoints:
            self._runtime.readmit_for_proxy(proxy, endpoints)
            self._channel.charge([proxy], len(endpoints) * UPDATE_ENTRIES)


def _is_open(endpoint: Endpoint) -> bool:
    return endpoint.is_in_service and not endpoint.is_excluded


def _returned_at(endpoint: Endpoint) -> int:
    """Returns the last time, in ticks, at which an endpoint that was listed at the start may have returned.

    One that was first listed later is not readmitted with a bind, because it may be one of many.
    """
    started_at = 0 if endpoint.is_new else endpoint.started_at
    return max(started_at, endpoint.exclusion_changed_at)

"""Readmission at proxies that may hold exclusions which are not known here.

Where exclusions outlive a session, a proxy keeps those that any controller has ordered: another one, an
earlier process of this one, or this one before it dropped the endpoint. Endpoints in service are readmitted
by name:

| endpoint                                            | at which proxies        | when                    |
| --------------------------------------------------- | ----------------------- | ----------------------- |
| in service at the bind, and returned lately         | from another controller | with the bind           |
| first listed since this controller started          | from another controller | once the queue is short |
| listed again after this controller dropped it       | all                     | once the queue is short |

The last two wait, because they are many while endpoints are replaced. Meanwhile the endpoint is warming up,
so it has little weight. They also wait for the bind: until then a proxy may have a weight from before the
restart.
"""

from __future__ import annotations

from collections.abc import Iterable

from .context import ControllerContext
from .model import Endpoint, EndpointTable
from .update_cost import UPDATE_ENTRIES

MAX_DROPPED_NAMES = 10_000  # names of dropped endpoints that are remembered, the latest ones


class SessionReadmissions:
    """Tracks which endpoints may be excluded at which proxies by orders that are not known here."""

    def __init__(self, context: ControllerContext) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._channel = context.channel
        self._unbound: dict[int, None] = {}  # proxies from another controller, until bound to default tables
        self._from_elsewhere: dict[int, None] = {}  # proxies from another controller
        self._pending: dict[
            int, dict[str, None]
        ] = {}  # by proxy: endpoints to readmit once the queue is short
        self._dropped: dict[str, None] = {}  # names of endpoints excluded and dropped by this controller

    def add_proxy(self, proxy: int) -> None:
        """Adds a proxy that has joined from another controller."""
        if not self._fleet.settings.exclusions_outlive_sessions:
            return
        self._unbound[proxy] = None
        self._from_elsewhere[proxy] = None
        self._pending[proxy] = {
            endpoint.name: None for endpoint in self._fleet.endpoints.values() if endpoint.is_new
        }

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy that has left."""
        self._unbound.pop(proxy, None)
        self._from_elsewhere.pop(proxy, None)
        self._pending.pop(proxy, None)

    def add_endpoint(self, endpoint: str) -> None:
        """Schedules the readmission of an endpoint that is listed for the first time, or again."""
        if not self._fleet.settings.exclusions_outlive_sessions:
            return
        was_dropped = endpoint in self._dropped
        self._dropped.pop(endpoint, None)
        proxies: Iterable[int] = self._fleet.proxies if was_dropped else self._from_elsewhere
        for proxy in proxies:
            self._pending.setdefault(proxy, {})[endpoint] = None

    def drop_endpoint(self, endpoint: str) -> None:
        """Remembers the name of an excluded endpoint that is dropped, in case it is listed again."""
        if not self._fleet.settings.exclusions_outlive_sessions:
            return
        self._dropped.pop(endpoint, None)
        self._dropped[endpoint] = None
        if len(self._dropped) > MAX_DROPPED_NAMES:
            del self._dropped[next(iter(self._dropped))]

    def readmit_at(self, now: int, proxy: int, tables: list[EndpointTable]) -> None:
        """Readmits, at a proxy bound to these tables, what another controller may have excluded there."""
        if proxy not in self._unbound:
            return
        since = now - self._fleet.settings.rules.slow_start_ticks
        endpoints = [
            endpoint.name
            for endpoint in self._fleet.endpoints.values()
            if _is_open(endpoint) and _returned_at(endpoint) > since
        ]
        if self._fleet.subset_of[proxy] is None:
            del self._unbound[proxy]
        else:  # endpoints outside its subset are readmitted once it is bound to the default tables
            endpoints = [name for name in endpoints if any(name in table.entries for table in tables)]
        self._readmit(proxy, endpoints)

    def send_pending(self, limit: float) -> None:
        """Sends the readmissions that waited for a short queue, while the queue is shorter than the limit."""
        bound = [proxy for proxy in self._pending if proxy in self._fleet.subset_of]
        for proxy in bound:
            if self._channel.queue_estimate() >= limit:
                return
            names = self._pending.pop(proxy)
            self._readmit(proxy, [name for name in names if self._is_listed_as_open(name)])

    def _is_listed_as_open(self, name: str) -> bool:
        """Whether an endpoint may be readmitted; if not, its return to service readmits it."""
        endpoint = self._fleet.endpoints.get(name)
        return endpoint is not None and _is_open(endpoint)

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

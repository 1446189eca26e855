"""Readmission at proxies that come from another controller.

Where exclusions outlive a session, such a proxy keeps the exclusions of its previous controller. Endpoints
that are back in service are readmitted by name when the proxy is bound.
"""

from __future__ import annotations

from .context import ControllerContext
from .model import Endpoint, EndpointTable
from .update_cost import UPDATE_ENTRIES


class SessionReadmissions:
    """Tracks the proxies that may have exclusions from another controller."""

    def __init__(self, context: ControllerContext) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._channel = context.channel
        self._proxies: dict[int, None] = {}

    def add_proxy(self, proxy: int) -> None:
        """Adds a proxy that has joined from another controller."""
        if self._fleet.settings.exclusions_outlive_sessions:
            self._proxies[proxy] = None

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy that has left."""
        self._proxies.pop(proxy, None)

    def readmit_at(self, now: int, proxy: int, tables: list[EndpointTable]) -> None:
        """Readmits, at a proxy bound to these tables, what another controller may have excluded there."""
        if proxy not in self._proxies:
            return
        since = now - self._fleet.settings.rules.slow_start_ticks
        endpoints = [
            endpoint.name
            for endpoint in self._fleet.endpoints.values()
            if endpoint.is_in_service and not endpoint.is_excluded and _returned_at(endpoint) > since
        ]
        if self._fleet.subset_of[proxy] is None:
            del self._proxies[proxy]
        else:  # endpoints outside its subset are readmitted once it is bound to the default tables
            endpoints = [name for name in endpoints if any(name in table.entries for table in tables)]
        if endpoints:
            self._runtime.readmit_for_proxy(proxy, endpoints)
            self._channel.charge([proxy], len(endpoints) * UPDATE_ENTRIES)


def _returned_at(endpoint: Endpoint) -> int:
    """Returns the last time, in ticks, at which an endpoint may have returned to service.

    The start of an endpoint that was first listed while this controller was running does not count, as no
    other controller can have excluded it before.
    """
    started_at = 0 if endpoint.is_new else endpoint.started_at
    return max(started_at, endpoint.exclusion_changed_at)

"""The endpoints known to this controller: the endpoint list, the addresses and the active priority tiers.

The decisions see an endpoint of an inactive tier as draining.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from ..decisions.events import EndpointEntry, EndpointListReceived, EndpointState
from ..membership.priority_tiers import PriorityTiers, TieredEndpoint
from ..registry.endpoint import DiscoveredEndpoint
from ..ticks import ticks_from_milliseconds
from .context import ServiceContext
from .resource_renderer import Address, ResourceRenderer


class EndpointDirectory:
    """Holds the endpoint list and passes it on with the endpoints of inactive tiers marked as draining."""

    def __init__(
        self,
        context: ServiceContext,
        renderer: ResourceRenderer,
        on_change: Callable[[int, list[DiscoveredEndpoint]], None],
    ) -> None:
        """Creates an empty directory.

        Args:
            context: the shared context.
            renderer: receives the addresses of all endpoints ever listed.
            on_change: called with the current tick and the endpoints for the decisions, on each change.
        """
        self._context = context
        self._renderer = renderer
        self._on_change = on_change
        slow_start_ticks = ticks_from_milliseconds(context.terms.rules.cold_ms)
        self._tiers = PriorityTiers(self, slow_start_ticks)
        self._listed: Sequence[DiscoveredEndpoint] = ()  # as listed by service discovery
        self._published: dict[str, DiscoveredEndpoint] = {}  # as passed to the decisions
        self._has_tier_changes = False  # since the endpoints were last published
        self._names_by_address: dict[str, str] = {}
        self._pools_by_class: dict[str, tuple[str, ...]] = {}
        self.addresses: dict[str, Address] = {}  # of all endpoints ever listed

    # The list.

    def update(self, now: int, endpoints: Sequence[DiscoveredEndpoint]) -> None:
        """Processes a complete endpoint list and publishes it."""
        addresses = {endpoint.id: (endpoint.address, endpoint.port, endpoint.zone) for endpoint in endpoints}
        self._names_by_address.update(
            {f"{endpoint.address}:{endpoint.port}": endpoint.id for endpoint in endpoints}
        )
        self._renderer.set_addresses({**self.addresses, **addresses})
        self.addresses.update(addresses)
        self._record(endpoints)
        self._listed = endpoints
        start_of = self._context.clock.start_of
        tiered_endpoints = [
            TieredEndpoint(e.id, self._pools_of(e.endpoint_class), e.tier, e.draining, start_of(e))
            for e in endpoints
        ]
        self._tiers.update_list(now, tiered_endpoints)
        self._publish(now)

    def _record(self, endpoints: Sequence[DiscoveredEndpoint]) -> None:
        entries = [
            [endpoint.id, "draining" if endpoint.draining else "open", endpoint.started]
            for endpoint in endpoints
        ]
        self._context.records.append(self._context.now(), "list", hosts=entries)
        memory = self._context.memory
        if memory is not None:
            memory.record_endpoints(
                {endpoint.id: (endpoint.draining, endpoint.started) for endpoint in endpoints}
            )

    def _pools_of(self, endpoint_class: str) -> tuple[str, ...]:
        """Returns the pools that endpoints of this class belong to.

        Routes that allow the same classes share a pool, which is named after these classes.
        """
        if endpoint_class not in self._pools_by_class:
            pools = [
                " ".join(route.allowed_classes)
                for route in self._context.settings.routes
                if not route.allowed_classes or endpoint_class in route.allowed_classes
            ]
            self._pools_by_class[endpoint_class] = tuple(dict.fromkeys(pools))
        return self._pools_by_class[endpoint_class]

    def find(self, name: str) -> DiscoveredEndpoint | None:
        """Returns a listed endpoint as passed to the decisions; None if it is not listed."""
        return self._published.get(name)

    def is_in_service(self, name: str) -> bool:
        """Returns whether an endpoint is listed, not draining, and of an active tier."""
        endpoint = self._published.get(name)
        return endpoint is not None and not endpoint.draining

    @property
    def names_by_address(self) -> Mapping[str, str]:
        """The name of the endpoint most recently listed with each `ADDRESS:PORT`."""
        return self._names_by_address

    # Priority tiers.

    def record_attempts(self, now: int, name: str, attempts: int, failures: int) -> None:
        """Records attempts at an endpoint; a tier whose endpoints all fail is replaced."""
        self._tiers.record_attempts(now, name, attempts, failures)

    def update_tiers(self, now: int) -> None:
        """Activates and deactivates the tiers that are due for it."""
        self._tiers.evaluate(now)

    def set_active(self, endpoint: str, is_active: bool, reason: str) -> None:
        """Called by `PriorityTiers` when it activates or deactivates an endpoint."""
        self._has_tier_changes = True
        self._context.records.append(self._context.now(), "tier", host=endpoint, on=is_active, cause=reason)
        event = "endpoint of a later tier activated" if is_active else "endpoint of a later tier deactivated"
        self._context.log.info(event, endpoint=endpoint, cause=reason)

    def publish_tier_changes(self, now: int) -> None:
        """Publishes the endpoints again if a tier has changed since the last time."""
        if self._has_tier_changes:
            self._publish(now)

    def _publish(self, now: int) -> None:
        self._has_tier_changes = False
        endpoints = [
            replace(endpoint, draining=True) if self._tiers.is_standby(endpoint.id) else endpoint
            for endpoint in self._listed
        ]
        self._published = {endpoint.id: endpoint for endpoint in endpoints}
        self._on_change(now, endpoints)

    def list_event(self, endpoints: Sequence[DiscoveredEndpoint]) -> EndpointListReceived:
        """Returns the event that passes these endpoints to the controller."""
        return EndpointListReceived(True, tuple(self._entry(endpoint) for endpoint in endpoints))

    def _entry(self, endpoint: DiscoveredEndpoint) -> EndpointEntry:
        state = EndpointState.DRAINING if endpoint.draining else EndpointState.IN_SERVICE
        started_at = self._context.clock.start_of(endpoint)
        return EndpointEntry(
            endpoint.id, state, started_at, endpoint.weight, endpoint.endpoint_class, endpoint.zone
        )

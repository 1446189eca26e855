"""The endpoints that this controller knows: the list, their addresses and which tiers are in use.

An endpoint of a later tier that is not needed is shown to the decisions as draining.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from ..decisions.events import EndpointEntry, EndpointListReceived, EndpointState
from ..membership.priority_tiers import PriorityTiers, TieredEndpoint
from ..roster.forms import DiscoveredEndpoint
from ..ticks import ticks_from_milliseconds
from .context import ServiceContext
from .resource_renderer import Address, ResourceRenderer


class EndpointDirectory:
    """Holds the endpoint list and hands it on, with the endpoints of unused tiers as draining."""

    def __init__(
        self,
        context: ServiceContext,
        renderer: ResourceRenderer,
        shown: Callable[[int, list[DiscoveredEndpoint]], None],
    ) -> None:
        """Creates an empty directory.

        Args:
            context: the shared context.
            renderer: receives all addresses.
            shown: receives the endpoints as the decisions are to see them, each time they change.
        """
        self._context = context
        self._renderer = renderer
        self._shown_to = shown
        slow_start_ticks = ticks_from_milliseconds(context.terms.rules.cold_ms)
        self._tiers = PriorityTiers(self, slow_start_ticks)
        self._listed: Sequence[DiscoveredEndpoint] = ()  # as service discovery lists them
        self._shown: dict[str, DiscoveredEndpoint] = {}  # as the decisions see them
        self._has_tier_changes = False  # since the endpoints were shown
        self._names_by_address: dict[str, str] = {}
        self._pools_by_class: dict[str, tuple[str, ...]] = {}
        self.addresses: dict[str, Address] = {}  # of all endpoints ever listed

    # The list.

    def update(self, now: int, endpoints: Sequence[DiscoveredEndpoint]) -> None:
        """Handles a complete endpoint list and shows it."""
        addresses = {each.id: (each.address, each.port, each.zone) for each in endpoints}
        self._names_by_address.update({f"{each.address}:{each.port}": each.id for each in endpoints})
        self._renderer.set_addresses({**self.addresses, **addresses})
        self.addresses.update(addresses)
        self._record(endpoints)
        self._listed = endpoints
        start_of = self._context.clock.start_of
        rows = [
            TieredEndpoint(e.id, self._pools_of(e.endpoint_class), e.tier, e.draining, start_of(e))
            for e in endpoints
        ]
        self._tiers.update_list(now, rows)
        self._show(now)

    def _record(self, endpoints: Sequence[DiscoveredEndpoint]) -> None:
        rows = [[each.id, "draining" if each.draining else "open", each.started] for each in endpoints]
        self._context.records.append(self._context.now(), "list", hosts=rows)
        memory = self._context.memory
        if memory is not None:
            memory.record_endpoints({each.id: (each.draining, each.started) for each in endpoints})

    def _pools_of(self, endpoint_class: str) -> tuple[str, ...]:
        """The pools that endpoints of this class are in.

        Routes that may use the same classes share a pool; it is named by these.
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
        """A listed endpoint as the decisions see it; None if it is not listed."""
        return self._shown.get(name)

    def is_in_service(self, name: str) -> bool:
        """Whether an endpoint is listed, not draining, and of a tier in use."""
        endpoint = self._shown.get(name)
        return endpoint is not None and not endpoint.draining

    @property
    def names_by_address(self) -> Mapping[str, str]:
        """The name of the endpoint that was listed last with each `ADDRESS:PORT`."""
        return self._names_by_address

    # Priority tiers.

    def record_attempts(self, now: int, name: str, attempts: int, failures: int) -> None:
        """Handles the attempts of proxies at an endpoint: tiers whose endpoints all fail are replaced."""
        self._tiers.record_attempts(now, name, attempts, failures)

    def update_tiers(self, now: int) -> None:
        """Activates and deactivates the tiers for which the time has come."""
        self._tiers.evaluate(now)

    def set_active(self, endpoint: str, is_active: bool, reason: str) -> None:
        """Is called by `PriorityTiers` when it activates or deactivates an endpoint."""
        self._has_tier_changes = True
        self._context.records.append(self._context.now(), "tier", host=endpoint, on=is_active, cause=reason)
        event = "endpoint of a later tier activated" if is_active else "endpoint of a later tier deactivated"
        self._context.log.info(event, endpoint=endpoint, cause=reason)

    def show_tier_changes(self, now: int) -> None:
        """Shows the endpoints again if a tier has changed since they were shown."""
        if self._has_tier_changes:
            self._show(now)

    def _show(self, now: int) -> None:
        self._has_tier_changes = False
        endpoints = [
            replace(each, draining=True) if self._tiers.is_standby(each.id) else each for each in self._listed
        ]
        self._shown = {each.id: each for each in endpoints}
        self._shown_to(now, endpoints)

    def list_event(self, endpoints: Sequence[DiscoveredEndpoint]) -> EndpointListReceived:
        """The event by which the controller learns of these endpoints."""
        return EndpointListReceived(True, tuple(self._entry(each) for each in endpoints))

    def _entry(self, endpoint: DiscoveredEndpoint) -> EndpointEntry:
        state = EndpointState.DRAINING if endpoint.draining else EndpointState.IN_SERVICE
        started_at = self._context.clock.start_of(endpoint)
        return EndpointEntry(
            endpoint.id, state, started_at, endpoint.weight, endpoint.endpoint_class, endpoint.zone
        )

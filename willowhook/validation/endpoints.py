"""The endpoints as listed, and what follows from the list."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .model import EndpointMode, ValidatedEndpoint, ValidationSettings


class EndpointIndex:
    """All endpoints that were ever listed.

    Attributes:
        by_name: the endpoints by name, with removed ones. A caller that changes it directly calls `refresh`.
        not_in_service: the endpoints that are draining or removed, in the order of the list.
        capacity_in_service: the sum of the capacities of the endpoints in service.
        list_version: a number that rises with each list.
    """

    def __init__(self, settings: ValidationSettings) -> None:
        """Starts without endpoints."""
        self._settings = settings
        self.by_name: dict[str, ValidatedEndpoint] = {}
        self.not_in_service: dict[str, None] = {}
        self.capacity_in_service = 0.0
        self.list_version = 0
        self._may_be_cold: list[ValidatedEndpoint] = []

    def update_list(self, now: int, endpoints: Iterable[ValidatedEndpoint]) -> None:
        """Handles the complete list; sets `since` of each endpoint. Missing ones count as removed."""
        listed: dict[str, None] = {}
        for endpoint in endpoints:
            listed[endpoint.name] = None
            before = self.by_name.get(endpoint.name)
            has_same_mode = before is not None and before.mode is endpoint.mode
            endpoint.since = before.since if before is not None and has_same_mode else now
            self.by_name[endpoint.name] = endpoint
        for name, endpoint in self.by_name.items():
            if name not in listed and endpoint.mode is not EndpointMode.REMOVED:
                endpoint.mode = EndpointMode.REMOVED
                endpoint.since = now
        self.refresh()

    def refresh(self) -> None:
        """Recomputes the values that depend on the list."""
        self.list_version += 1
        endpoints = self.by_name.values()
        self.not_in_service = {each.name: None for each in endpoints if not each.is_in_service}
        self._may_be_cold = [each for each in endpoints if each.is_in_service and each.started_at]
        self._sum_capacity()

    def update_capacities(self, capacities: Mapping[str, float]) -> None:
        """Sets relative capacities that were learnt, if the list states none."""
        for name, capacity in capacities.items():
            if name in self.by_name:
                self.by_name[name].capacity = capacity
        self._sum_capacity()

    def _sum_capacity(self) -> None:
        self.capacity_in_service = sum(each.capacity for each in self.by_name.values() if each.is_in_service)

    def cold(self, now: int) -> list[ValidatedEndpoint]:
        """Returns the endpoints in service that are still warming up."""
        slow_start = self._settings.slow_start_ticks
        self._may_be_cold = [each for each in self._may_be_cold if now - each.started_at < slow_start]
        return self._may_be_cold

    def warmth(self, now: int, endpoint: ValidatedEndpoint) -> float:
        """Returns the fraction of its capacity that an endpoint has by now: slow start is linear."""
        settings = self._settings
        age = now - endpoint.started_at
        if not endpoint.started_at or age >= settings.slow_start_ticks:
            return 1.0
        start = settings.slow_start_fraction
        return start + (1 - start) * max(age, 0) / settings.slow_start_ticks

    def is_warm(self, now: int, endpoint: ValidatedEndpoint) -> bool:
        """Whether an endpoint has all of its capacity."""
        return self.warmth(now, endpoint) >= 1

    def may_serve(self, route: int, endpoint: ValidatedEndpoint, zone: str) -> bool:
        """Whether the route allows an endpoint to a proxy in this zone."""
        constraints = self._settings.routes[route]
        if constraints.same_zone_only and endpoint.zone != zone:
            return False
        classes = constraints.allowed_classes
        zones = constraints.allowed_zones
        return (not classes or endpoint.endpoint_class in classes) and (not zones or endpoint.zone in zones)

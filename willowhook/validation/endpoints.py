"""The listed endpoints and the values derived from the list."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .model import EndpointMode, ValidatedEndpoint, ValidationSettings


class EndpointIndex:
    """All endpoints that were ever listed.

    Attributes:
        by_name: the endpoints by name, including removed ones. A caller that changes it directly must call
            `refresh` afterwards.
        not_in_service: the endpoints that are draining or removed, in the order of the list.
        capacity_in_service: the sum of the capacities of the endpoints in service.
        list_version: a number that increases with each list.
    """

    def __init__(self, settings: ValidationSettings) -> None:
        """Creates an index without endpoints."""
        self._settings = settings
        self.by_name: dict[str, ValidatedEndpoint] = {}
        self.not_in_service: dict[str, None] = {}
        self.capacity_in_service = 0.0
        self.list_version = 0
        self._warm_up_candidates: list[ValidatedEndpoint] = []

    def update_list(self, now: int, endpoints: Iterable[ValidatedEndpoint]) -> None:
        """Applies a complete list and sets `since` of each endpoint. Missing endpoints become removed."""
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
        self.not_in_service = {endpoint.name: None for endpoint in endpoints if not endpoint.is_in_service}
        self._warm_up_candidates = [each for each in endpoints if each.is_in_service and each.started_at]
        self._sum_capacity()

    def update_capacities(self, capacities: Mapping[str, float]) -> None:
        """Sets learnt relative capacities, by endpoint; unknown endpoints are ignored."""
        for name, capacity in capacities.items():
            if name in self.by_name:
                self.by_name[name].capacity = capacity
        self._sum_capacity()

    def _sum_capacity(self) -> None:
        self.capacity_in_service = sum(each.capacity for each in self.by_name.values() if each.is_in_service)

    def warming_up(self, now: int) -> list[ValidatedEndpoint]:
        """Returns the endpoints in service that are still warming up."""
        slow_start = self._settings.slow_start_ticks
        self._warm_up_candidates = [
            each for each in self._warm_up_candidates if now - each.started_at < slow_start
        ]
        return self._warm_up_candidates

    def capacity_fraction(self, now: int, endpoint: ValidatedEndpoint) -> float:
        """Returns the fraction of its capacity that an endpoint has now; it grows linearly in slow start."""
        settings = self._settings
        age = now - endpoint.started_at
        if not endpoint.started_at or age >= settings.slow_start_ticks:
            return 1.0
        start = settings.slow_start_fraction
        return start + (1 - start) * max(age, 0) / settings.slow_start_ticks

    def is_warm(self, now: int, endpoint: ValidatedEndpoint) -> bool:
        """Whether an endpoint has its full capacity."""
        return self.capacity_fraction(now, endpoint) >= 1

    def may_serve(self, route: int, endpoint: ValidatedEndpoint, zone: str) -> bool:
        """Whether an endpoint may serve the route for a proxy in this zone."""
        constraints = self._settings.routes[route]
        if constraints.same_zone_only and endpoint.zone != zone:
            return False
        classes = constraints.allowed_classes
        zones = constraints.allowed_zones
        return (not classes or endpoint.endpoint_class in classes) and (not zones or endpoint.zone in zones)

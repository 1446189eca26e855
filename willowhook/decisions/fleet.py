"""State shared by the components: endpoints, proxies, tables, and which proxy uses which table."""

from __future__ import annotations

from .model import Endpoint, EndpointTable, ProxySession
from .settings import DeploymentSettings, Route

ZONE_TABLES_MIN_PRICE = 0.05  # lowest price of a cross-zone request at which each zone has its own tables


class FleetState:
    """Endpoints, proxies and tables known to one controller.

    Attributes:
        settings: settings of the deployment.
        endpoints: listed endpoints and those not yet dropped, by name.
        proxies: sessions of the proxies that have joined, by proxy number.
        default_tables: one for each group of routes that allow the same endpoints, and each zone if needed.
        tables: the default tables and the subset tables, if any.
        subset_of: subset of each bound proxy; None if it uses the default tables.
        newly_bound: proxies bound since the last flush, which are sent complete tables.
    """

    def __init__(self, settings: DeploymentSettings) -> None:
        self.settings = settings
        self.endpoints: dict[str, Endpoint] = {}
        self.proxies: dict[int, ProxySession] = {}
        self.default_tables = build_default_tables(settings)
        self.tables = list(self.default_tables)
        self.subset_of: dict[int, int | None] = {}
        self.newly_bound: set[int] = set()

    @property
    def absent_proxies(self) -> int:
        """Number of proxies of the deployment that have not joined this controller."""
        return max(self.settings.fleet.proxy_count - len(self.proxies), 0)

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy that has left, and its binding."""
        self.proxies.pop(proxy, None)
        self.subset_of.pop(proxy, None)
        self.newly_bound.discard(proxy)

    def users(self, table: EndpointTable) -> list[int]:
        """Returns the proxies that are bound to a table."""
        bound = self.subset_of.items()
        return [proxy for proxy, subset in bound if subset == table.subset and self.is_local(table, proxy)]

    def is_local(self, table: EndpointTable, proxy: int) -> bool:
        """Whether a table serves the zone of this proxy."""
        return table.is_for_zone(self.proxies[proxy].zone)

    def tables_for(self, proxy: int, subset: int | None) -> list[EndpointTable]:
        """Returns the tables that a proxy of this subset uses."""
        return [table for table in self.tables if table.subset == subset and self.is_local(table, proxy)]

    def tables_with(self, endpoint: str) -> list[EndpointTable]:
        """Returns the tables with an entry for an endpoint."""
        return [table for table in self.tables if endpoint in table.entries]

    def has_subset_bindings(self) -> bool:
        """Whether any proxy is bound to the tables of a subset."""
        return any(subset is not None for subset in self.subset_of.values())

    def has_only_excluded_entries(self, table: EndpointTable) -> bool:
        """Whether all entries of a table are for excluded endpoints; True for an empty table."""
        return all(self.endpoints[name].is_excluded for name in table.entries)

    @staticmethod
    def is_eligible(table: EndpointTable, endpoint: Endpoint) -> bool:
        """Whether an endpoint is in service and meets the requirements of a table."""
        requirements = table.requirements
        if not endpoint.is_in_service:
            return False
        if requirements.same_zone_only and endpoint.zone != table.zone:
            return False
        if requirements.allowed_classes and endpoint.endpoint_class not in requirements.allowed_classes:
            return False
        if requirements.allowed_zones and endpoint.zone not in requirements.allowed_zones:
            return False
        return not table.members or endpoint in table.members


def build_default_tables(settings: DeploymentSettings) -> list[EndpointTable]:
    """Makes a table for each group of routes that allow the same endpoints, and for each zone if needed."""
    groups: dict[tuple[object, ...], list[int]] = {}
    zones: dict[tuple[object, ...], str | None] = {}
    for index, route in enumerate(settings.routes):
        for zone in _table_zones(settings, route):
            key = (route.allowed_classes, route.allowed_zones, route.same_zone_only, zone)
            groups.setdefault(key, []).append(index)
            zones[key] = zone
    return [
        EndpointTable(number, routes, settings.routes[routes[0]], zones[key])
        for number, (key, routes) in enumerate(groups.items())
    ]


def _table_zones(settings: DeploymentSettings, route: Route) -> tuple[str | None, ...]:
    prefers_local = settings.fleet.cross_zone_price >= ZONE_TABLES_MIN_PRICE
    return settings.zones if route.same_zone_only or prefers_local else (None,)

"""Tests of the default tables and of the proxies that use them."""

from __future__ import annotations

from builders import SETTINGS, settings_with

from willowhook.decisions.fleet import FleetState, build_default_tables
from willowhook.decisions.model import ProxySession
from willowhook.decisions.settings import DeploymentSettings


def table_keys(settings: DeploymentSettings) -> list[tuple[int, list[int], str | None]]:
    """Returns number, routes and zone of each default table."""
    return [(table.number, table.routes, table.zone) for table in build_default_tables(settings)]


def test_default_tables_group_routes_that_allow_the_same_endpoints() -> None:
    assert table_keys(SETTINGS) == [(0, [0, 1], None), (1, [2], None)]


def test_default_tables_are_per_zone_from_a_cross_zone_price_on() -> None:
    per_zone = [(0, [0, 1], "north"), (1, [0, 1], "south"), (2, [2], "north"), (3, [2], "south")]
    assert table_keys(settings_with(fleet__cross_zone_price=0.05)) == per_zone
    assert len(table_keys(settings_with(fleet__cross_zone_price=0.049))) == 2


def test_default_tables_are_per_zone_for_a_route_that_stays_in_its_zone() -> None:
    read, save, book = SETTINGS.routes
    settings = settings_with(routes=(read, save._replace(same_zone_only=True), book))
    assert table_keys(settings) == [(0, [0], None), (1, [1], "north"), (2, [1], "south"), (3, [2], None)]


def test_tables_of_a_zone_are_used_by_bound_proxies_of_that_zone() -> None:
    fleet = FleetState(settings_with(fleet__cross_zone_price=0.05))
    for proxy, zone in enumerate(("north", "south", "north")):
        fleet.proxies[proxy] = ProxySession(zone, 1.0)
    fleet.subset_of = {0: None, 1: None}  # proxy 2 is not bound
    assert [fleet.users(table) for table in fleet.default_tables] == [[0], [1], [0], [1]]
    assert [table.number for table in fleet.tables_for(1, None)] == [1, 3]
    assert fleet.absent_proxies == 3

"""Tests rendering views as resources: admission limits, addresses and shared encodings."""

from __future__ import annotations

import msgspec
import pytest
from controlplane_fixtures import ALL_ROUTES

from willowhook.config.example import EXAMPLE
from willowhook.config.terms import Terms
from willowhook.controlplane.proxy_resources import ProxyResources
from willowhook.controlplane.proxy_state import ProxyView, VersionedTable
from willowhook.controlplane.resource_renderer import ResourceRenderer, references
from willowhook.decisions.runtime import AdmissionLimit
from willowhook.versions.resources import CLUSTERS, ROUTES, TABLES, ResourceStore, first_era
from willowhook.xds import forms, tables
from willowhook.xds.codec import decode

ADDRESSES = {name: ("127.0.0.1", 80 + ord(name), "north") for name in "ab"}


def terms_with(admit: str, **route: float) -> Terms:
    """Returns the example with this unit of admission limits and these settings of its first route."""
    fleet = msgspec.structs.replace(EXAMPLE.fleet, admit=admit)
    first = msgspec.structs.replace(EXAMPLE.routes[0], **route)
    return msgspec.structs.replace(EXAMPLE, fleet=fleet, routes=(first, *EXAMPLE.routes[1:]))


def view_of(table: VersionedTable, excluded: str = "") -> ProxyView:
    return ProxyView({route: table for route in ALL_ROUTES}, dict.fromkeys(excluded))


def first_route(renderer: ResourceRenderer, table: VersionedTable) -> forms.Route:
    (_, body), *_ = renderer.render(view_of(table), ProxyResources())[ROUTES]
    routes = decode(body, forms.RouteConfiguration).virtual_hosts[0].routes
    return next(route for route in routes if route.name == EXAMPLE.routes[0].name)


@pytest.mark.parametrize(
    ("commanded", "max_retries", "expected"),
    [(None, 3, EXAMPLE.fleet.usual_tries), (3, 3, 3), (3, 2, 2), (0, 3, 0)],
)
def test_retries_are_those_commanded_within_the_cap_of_the_route(
    commanded: int | None, max_retries: int, expected: int
) -> None:
    renderer = ResourceRenderer(terms_with("rps", tries=max_retries), 1)
    limits = {} if commanded is None else {0: AdmissionLimit(commanded, 5.0)}
    route = first_route(renderer, VersionedTable(0, {"a": 1.0}, limits))
    assert tables.tries_of(route.route.retry_policy) == expected


@pytest.mark.parametrize(("commanded", "expected"), [(2.0, 2.0), (50.0, 10.0), (None, 10.0)])
def test_rate_limits_are_those_commanded_within_the_cap_of_the_route(
    commanded: float | None, expected: float
) -> None:
    renderer = ResourceRenderer(terms_with("rps", most_per_s=10.0), 1)
    limits = {} if commanded is None else {0: AdmissionLimit(1, commanded)}
    route = first_route(renderer, VersionedTable(0, {"a": 1.0}, limits))
    assert tables.level_of(route.typed_per_filter_config)[1] == pytest.approx(expected)


def test_admitted_fraction_is_not_capped_by_a_rate() -> None:
    renderer = ResourceRenderer(terms_with("ratio", most_per_s=0.25), 1)
    route = first_route(renderer, VersionedTable(0, {"a": 1.0}, {0: AdmissionLimit(1, 0.5)}))
    assert tables.level_of(route.typed_per_filter_config)[0] == pytest.approx(0.5)


def test_endpoints_without_an_address_have_no_entry_until_one_is_known() -> None:
    renderer = ResourceRenderer(EXAMPLE, 1)
    table = VersionedTable(0, {"a": 1.0, "b": 2.0}, {})
    for known in ("a", "ab"):
        renderer.set_addresses({name: ADDRESSES[name] for name in known})
        ((_, body),) = renderer.render(view_of(table, "a"), ProxyResources())[TABLES]
        entries = tables.lines(decode(body, forms.ClusterLoadAssignment))
        assert [(entry[0], entry[5]) for entry in entries] == [(name, name == "a") for name in known]


def test_table_is_encoded_once_for_all_views_with_the_same_exclusions() -> None:
    renderer = ResourceRenderer(EXAMPLE, 1)
    renderer.set_addresses(ADDRESSES)
    table = VersionedTable(0, {"a": 1.0}, {})
    first = renderer.render(view_of(table), ProxyResources())
    second = renderer.render(view_of(table, "b"), ProxyResources())  # not in the table
    third = renderer.render(view_of(table, "a"), ProxyResources())
    assert first[TABLES][0][1] is second[TABLES][0][1]
    assert first[TABLES][0][1] != third[TABLES][0][1]


def test_route_sets_refer_to_clusters_and_clusters_to_tables() -> None:
    store = ResourceStore(first_era(1, 1))
    rendered = ResourceRenderer(EXAMPLE, 1).render(
        view_of(VersionedTable(4, {"a": 1.0}, {})), ProxyResources()
    )
    sets = {kind: store.make_set(kind, bodies) for kind, bodies in rendered.items()}
    (routes,) = sets[ROUTES].resources.values()
    assert set(references(routes)) == set(sets[CLUSTERS].resources)
    tables_used = {name for cluster in sets[CLUSTERS].resources.values() for name in references(cluster)}
    assert tables_used == set(sets[TABLES].resources) == {f"{EXAMPLE.name}.1.t4"}
    (table,) = sets[TABLES].resources.values()
    assert references(table) == ()

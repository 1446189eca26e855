"""Tests of the files that a file sink makes of rendered resources."""

from __future__ import annotations

from controlplane_fixtures import ALL_ROUTES, SETTINGS, file_sink

from willowhook.config.example import EXAMPLE
from willowhook.controlplane.proxy_resources import InitialRoute, ProxyResources
from willowhook.controlplane.proxy_state import ProxyStateBook, UpdateMessage
from willowhook.controlplane.resource_renderer import ResourceRenderer
from willowhook.decisions.runtime import AdmissionLimit
from willowhook.xds import tables
from willowhook.xds.codec import encode


def default_resources() -> ProxyResources:
    """The resources of a proxy with a default table for one route, which holds one endpoint."""
    table = tables.assignment("standing", [("a", "127.0.0.1", 81, "north", 1.0, False)])
    entry = tables.route("load", "/load-task", "load@standing", 1, tables.retry(1, 0), {})
    cluster = tables.cluster("load@standing", "standing", "", "pair", 1, 0)
    return ProxyResources({"load": InitialRoute([entry], encode(cluster), "standing")}, {"standing": table})


def test_only_changed_files_get_a_new_version_and_unbound_proxies_keep_their_tables() -> None:
    sent: list[UpdateMessage] = []
    book = ProxyStateBook(SETTINGS, sent.append)
    renderer = ResourceRenderer(EXAMPLE, 4)
    sink = file_sink(6, 4)
    renderer.set_addresses({"a": ("127.0.0.1", 81, "north"), "b": ("127.0.0.1", 82, "south")})
    initial = default_resources()
    book.add_proxy(0, "north", {0: initial.endpoints_of("load")})
    book.exclude_endpoint("a")
    book.flush(0)
    first = sink.files(1, renderer.render(sent[-1].view, initial))
    assert set(first) == {"eds.json"}
    assert tables.lines(tables.read_tables(first["eds.json"])[1][0])[0][5]  # draining in the default table
    book.set_weight(0, "b", 1.0)
    book.bind(0, 0, ALL_ROUTES)
    book.set_admission(0, 0, AdmissionLimit(0, 2.0))
    book.flush(1)
    second = sink.files(2, renderer.render(sent[-1].view, initial))
    assert set(second) == {"cds.json", "eds.json", "rds.json"}
    routes = tables.read_routes(second["rds.json"])[1][0].virtual_hosts[0].routes
    by_name = {route.name: route for route in routes}
    assert tables.tries_of(by_name["load"].route.retry_policy) == 0
    assert abs(tables.level_of(by_name["load"].typed_per_filter_config)[1] - 2.0) < 1e-6
    book.set_weight(0, "b", 0.5)
    book.flush(2)
    third = sink.files(3, renderer.render(sent[-1].view, initial))
    assert third["cds.json"] == second["cds.json"]
    assert third["rds.json"] == second["rds.json"]
    assert tables.read_tables(third["eds.json"])[0].nonce == "6.4.3"

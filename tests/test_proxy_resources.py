"""Tests reading the resources of a joining proxy."""

from __future__ import annotations

import pytest

from willowhook.controlplane.proxy_resources import CONTROLLERS_RESOURCE, read_proxy_resources
from willowhook.xds import forms, tables
from willowhook.xds.codec import MessageFormatError, encode

TABLE = tables.assignment(
    "standing", [("a", "127.0.0.1", 81, "north", 1.0, False), ("b", "127.0.0.1", 82, "south", 0.5, True)]
)
CLUSTER = tables.cluster("load@standing", "standing", "", "pair", 1, 0)


def entry(path: str, cluster: str = "load@standing") -> forms.Route:
    return tables.route("load", path, cluster, 1, tables.retry(1, 0), {})


def route_set(*entries: forms.Route) -> tuple[str, bytes]:
    return forms.ROUTES, encode(tables.route_configuration("calls", list(entries)))


def test_tables_are_found_by_route_and_exclusions_in_all_tables() -> None:
    resources = [
        (forms.ASSIGNMENT, encode(TABLE)),
        (forms.CLUSTER, encode(CLUSTER)),
        route_set(entry("/load"), entry("/more")),
    ]
    proxy_resources = read_proxy_resources(resources)
    assert proxy_resources.weights("load") == {"a": 1.0, "b": 0.5}
    assert proxy_resources.endpoints_of("load") == {"a", "b"}
    assert proxy_resources.excluded() == {"b"}
    assert len(proxy_resources.routes["load"].entries) == 2
    assert proxy_resources.weights("save") == {} and proxy_resources.endpoints_of("save") == frozenset()


def test_resources_are_encoded_again_unchanged() -> None:
    resources = [
        (forms.ASSIGNMENT, encode(TABLE)),
        (forms.CLUSTER, encode(CLUSTER)),
        route_set(entry("/load")),
    ]
    proxy_resources = read_proxy_resources(resources)
    urls = {"eds": forms.ASSIGNMENT, "cds": forms.CLUSTER, "rds": forms.ROUTES}
    encoded = [(urls[kind], body) for kind, named in proxy_resources.resources().items() for _, body in named]
    assert encoded == resources
    assert read_proxy_resources(encoded) == proxy_resources


def test_table_of_controllers_is_left_out() -> None:
    table = forms.ClusterLoadAssignment(CONTROLLERS_RESOURCE)
    assert read_proxy_resources([(forms.ASSIGNMENT, encode(table))]).assignments == {}


def test_route_to_a_missing_cluster_is_malformed() -> None:
    with pytest.raises(MessageFormatError, match="refers to cluster 'unknown@standing', which is missing"):
        read_proxy_resources(
            [(forms.CLUSTER, encode(CLUSTER)), route_set(entry("/load", "unknown@standing"))]
        )

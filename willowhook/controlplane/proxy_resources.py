"""What a proxy held when it joined, read from the xDS resources in its own status."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ..versions.resources import CLUSTERS, ROUTES, TABLES
from ..xds import forms, tables
from ..xds.codec import MessageFormatError, decode, encode

CONTROLLERS_RESOURCE = "directors"  # a table of controllers, whose only entry is this one, draining
ROUTE_SET_NAME = "calls"  # the one route configuration of a proxy

ResourcesByType = dict[str, list[tuple[str, bytes]]]  # names and JSON bodies


@dataclass(frozen=True, slots=True)
class InitialRoute:
    """What a proxy held for one route.

    Attributes:
        entries: the entries of its route configuration, in their order; all lead to one cluster.
        cluster: the JSON body of that cluster.
        table: the name of the cluster's endpoint table.
    """

    entries: list[forms.Route]
    cluster: bytes
    table: str

    @property
    def cluster_name(self) -> str:
        """The cluster to which the entries lead."""
        return self.entries[0].route.cluster


@dataclass(slots=True)
class ProxyResources:
    """What a proxy held when it joined.

    Attributes:
        routes: the routes by name.
        assignments: endpoint tables by name.
        entries: the entries of all routes, in the order of the route configuration.
    """

    routes: dict[str, InitialRoute] = field(default_factory=dict)
    assignments: dict[str, forms.ClusterLoadAssignment] = field(default_factory=dict)
    entries: list[forms.Route] = field(default_factory=list)

    def weights(self, route: str) -> dict[str, float]:
        """Returns the weights of the route's endpoints; empty if it held no table for it."""
        return {endpoint: weight for endpoint, _, _, _, weight, _ in self._lines(route)}

    def endpoints_of(self, route: str) -> frozenset[str]:
        """Returns the endpoints of the route's table; empty if it held none for it."""
        return frozenset(endpoint for endpoint, *_ in self._lines(route))

    def excluded(self) -> frozenset[str]:
        """Returns the endpoints that stand as draining in any table."""
        lines = [line for table in self.assignments.values() for line in tables.lines(table)]
        return frozenset(endpoint for endpoint, _, _, _, _, is_draining in lines if is_draining)

    def resources(self) -> ResourcesByType:
        """Returns all of it as resources again."""
        clusters = {route.cluster_name: route.cluster for route in self.routes.values()}
        route_set = tables.route_configuration(ROUTE_SET_NAME, self.entries)
        return {
            TABLES: [(name, encode(table)) for name, table in self.assignments.items()],
            CLUSTERS: list(clusters.items()),
            ROUTES: [(ROUTE_SET_NAME, encode(route_set))] if self.routes else [],
        }

    def _lines(self, route: str) -> list[tables.TableEntry]:
        initial = self.routes.get(route)
        table = self.assignments.get(initial.table) if initial is not None else None
        return tables.lines(table) if table is not None else []


class _Cluster(NamedTuple):
    body: bytes
    table: str


def read_proxy_resources(resources: Iterable[tuple[str, bytes]]) -> ProxyResources:
    """Reads resources, given as pairs of type URL and JSON body.

    Raises FormError where one is no proper resource, or a route leads to a cluster that is missing.
    """
    found = ProxyResources()
    clusters: dict[str, _Cluster] = {}
    for type_url, body in resources:
        if type_url == forms.ASSIGNMENT:
            table = decode(body, forms.ClusterLoadAssignment)
            if table.cluster_name != CONTROLLERS_RESOURCE:
                tables.lines(table)  # raises if an entry could not be used
                found.assignments[table.cluster_name] = table
        elif type_url == forms.CLUSTER:
            cluster = decode(body, forms.Cluster)
            clusters[cluster.name] = _Cluster(body, cluster.eds_cluster_config.service_name or cluster.name)
        elif type_url == forms.ROUTES:
            for host in decode(body, forms.RouteConfiguration).virtual_hosts:
                found.entries += host.routes
    _group_entries(found, clusters)
    return found


def _group_entries(found: ProxyResources, clusters: dict[str, _Cluster]) -> None:
    """Collects entries by route; where a route's entries change cluster, the later cluster stands."""
    for entry in tables.cluster_routes(found.entries):
        cluster = clusters.get(entry.route.cluster)
        if cluster is None:
            raise MessageFormatError(
                f"route {entry.name!r} names cluster {entry.route.cluster!r}, which is not held"
            )
        before = found.routes.get(entry.name)
        if before is not None and before.cluster_name == entry.route.cluster:
            before.entries.append(entry)
        else:
            found.routes[entry.name] = InitialRoute([entry], cluster.body, cluster.table)

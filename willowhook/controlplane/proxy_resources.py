"""The state of a proxy when it joined, read from the xDS resources in its status."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ..versions.resources import CLUSTERS, ROUTES, TABLES
from ..xds import forms, tables
from ..xds.codec import MessageFormatError, decode, encode

CONTROLLERS_RESOURCE = "directors"  # a table whose only entry is this controller, draining
ROUTE_SET_NAME = "calls"  # the only route configuration of a proxy

ResourcesByType = dict[str, list[tuple[str, bytes]]]  # names and JSON bodies by type


@dataclass(frozen=True, slots=True)
class InitialRoute:
    """The state of one route of a proxy when the proxy joined.

    Attributes:
        entries: its entries of the route configuration, in order; all lead to the same cluster.
        cluster: the JSON body of this cluster.
        table: the name of the cluster's endpoint table.
    """

    entries: list[forms.Route]
    cluster: bytes
    table: str

    @property
    def cluster_name(self) -> str:
        """The name of the cluster to which the entries lead."""
        return self.entries[0].route.cluster


@dataclass(slots=True)
class ProxyResources:
    """The resources of a proxy when it joined.

    Attributes:
        routes: the routes by name.
        assignments: endpoint tables by name.
        entries: the entries of all routes, in the order of the route configuration.
    """

    routes: dict[str, InitialRoute] = field(default_factory=dict)
    assignments: dict[str, forms.ClusterLoadAssignment] = field(default_factory=dict)
    entries: list[forms.Route] = field(default_factory=list)

    def weights(self, route: str) -> dict[str, float]:
        """Returns the weights of the route's endpoints; empty if the route had no table."""
        return {endpoint: weight for endpoint, _, _, _, weight, _ in self._table_entries(route)}

    def endpoints_of(self, route: str) -> frozenset[str]:
        """Returns the endpoints of the route's table; empty if the route had no table."""
        return frozenset(endpoint for endpoint, *_ in self._table_entries(route))

    def excluded(self) -> frozenset[str]:
        """Returns the endpoints that are marked as draining in any table."""
        entries = [entry for table in self.assignments.values() for entry in tables.lines(table)]
        return frozenset(endpoint for endpoint, _, _, _, _, is_draining in entries if is_draining)

    def resources(self) -> ResourcesByType:
        """Returns all resources, encoded again."""
        clusters = {route.cluster_name: route.cluster for route in self.routes.values()}
        route_set = tables.route_configuration(ROUTE_SET_NAME, self.entries)
        return {
            TABLES: [(name, encode(table)) for name, table in self.assignments.items()],
            CLUSTERS: list(clusters.items()),
            ROUTES: [(ROUTE_SET_NAME, encode(route_set))] if self.routes else [],
        }

    def _table_entries(self, route: str) -> list[tables.TableEntry]:
        initial = self.routes.get(route)
        table = self.assignments.get(initial.table) if initial is not None else None
        return tables.lines(table) if table is not None else []


class _Cluster(NamedTuple):
    body: bytes
    table: str


def read_proxy_resources(resources: Iterable[tuple[str, bytes]]) -> ProxyResources:
    """Reads resources, given as pairs of type URL and JSON body.

    Raises:
        MessageFormatError: a resource is malformed, or a route leads to a missing cluster.
    """
    proxy_resources = ProxyResources()
    clusters: dict[str, _Cluster] = {}
    for type_url, body in resources:
        if type_url == forms.ASSIGNMENT:
            table = decode(body, forms.ClusterLoadAssignment)
            if table.cluster_name != CONTROLLERS_RESOURCE:
                tables.lines(table)  # raises if an entry is malformed
                proxy_resources.assignments[table.cluster_name] = table
        elif type_url == forms.CLUSTER:
            cluster = decode(body, forms.Cluster)
            clusters[cluster.name] = _Cluster(body, cluster.eds_cluster_config.service_name or cluster.name)
        elif type_url == forms.ROUTES:
            for host in decode(body, forms.RouteConfiguration).virtual_hosts:
                proxy_resources.entries += host.routes
    _group_entries(proxy_resources, clusters)
    return proxy_resources


def _group_entries(proxy_resources: ProxyResources, clusters: dict[str, _Cluster]) -> None:
    """Groups the entries by route. If a route changes its cluster, only entries after the change are kept."""
    for entry in tables.cluster_routes(proxy_resources.entries):
        cluster = clusters.get(entry.route.cluster)
        if cluster is None:
            raise MessageFormatError(
                f"route {entry.name!r} refers to cluster {entry.route.cluster!r}, which is missing"
            )
        previous = proxy_resources.routes.get(entry.name)
        if previous is not None and previous.cluster_name == entry.route.cluster:
            previous.entries.append(entry)
        else:
            proxy_resources.routes[entry.name] = InitialRoute([entry], cluster.body, cluster.table)

"""What a proxy held when it joined, read from the resources that it shows itself."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..xds import forms, tables
from ..xds.codec import FormError, decode, encode

CONTROLLERS_RESOURCE = "directors"  # the table of controllers, whose only line is this one, draining
ROUTE_SET_NAME = "calls"  # the one set of routes
Rows = dict[str, list[tuple[str, bytes]]]  # by type: names and bodies
Row = tuple[list[forms.Route], bytes, str]  # what a proxy held for a route: paths, cluster, table's name


@dataclass(slots=True)
class ProxyResources:
    """What a proxy held when it joined, from its own status."""

    rows: dict[str, Row] = field(default_factory=dict)  # by route
    assignments: dict[str, forms.ClusterLoadAssignment] = field(default_factory=dict)
    routes: list[forms.Route] = field(default_factory=list)  # all, in their order

    def weights(self, route: str) -> dict[str, float]:
        row = self.rows.get(route)
        table = self.assignments.get(row[2]) if row else None
        return {line[0]: line[4] for line in tables.lines(table)} if table else {}

    def out(self) -> frozenset[str]:
        """What is withdrawn from all that is held."""
        rows = [line for table in self.assignments.values() for line in tables.lines(table)]
        return frozenset(line[0] for line in rows if line[5])

    def resources(self) -> Rows:
        """All of it, by type."""
        clusters = {rows[0].route.cluster: body for rows, body, _ in self.rows.values()}
        routes = tables.in_order(ROUTE_SET_NAME, self.routes)
        made = {"eds": [(name, encode(table)) for name, table in self.assignments.items()]}
        return made | {
            "cds": list(clusters.items()),
            "rds": [(ROUTE_SET_NAME, encode(routes))] if self.rows else [],
        }

    def endpoints_of(self, route: str) -> frozenset[str]:
        row = self.rows.get(route)
        table = self.assignments.get(row[2]) if row else None
        return frozenset(line[0] for line in tables.lines(table)) if table else frozenset()


def read_proxy_resources(resources: list[tuple[str, bytes]]) -> ProxyResources:
    """What these resources, each with its type, make; FormError where one is no proper resource."""
    held, clusters = ProxyResources(), dict[str, tuple[bytes, str]]()
    rows: list[forms.Route] = []
    for type_url, body in resources:
        if type_url == forms.ASSIGNMENT:
            table = decode(body, forms.ClusterLoadAssignment)
            if table.cluster_name == CONTROLLERS_RESOURCE:
                continue
            tables.lines(table)
            held.assignments[table.cluster_name] = table
        elif type_url == forms.CLUSTER:
            cluster = decode(body, forms.Cluster)
            clusters[cluster.name] = (body, cluster.eds_cluster_config.service_name or cluster.name)
        elif type_url == forms.ROUTES:
            for host in decode(body, forms.RouteConfiguration).virtual_hosts:
                rows += host.routes
    held.routes = rows
    for row in tables.leading(rows):
        if row.route.cluster not in clusters:
            raise FormError(f"route {row.name!r} names cluster {row.route.cluster!r}, which is not held")
        body, name = clusters[row.route.cluster]
        if row.name in held.rows and held.rows[row.name][0][0].route.cluster == row.route.cluster:
            held.rows[row.name][0].append(row)
        else:
            held.rows[row.name] = ([row], body, name)
    return held

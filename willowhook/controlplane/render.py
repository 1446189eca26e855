"""What a proxy is to hold, as resources of the published types; a table is encoded once for all who use it.

No I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import msgspec

from ..config.deployment import SEMANTICS, ordered_paths
from ..config.terms import ClosedTerms, PathTerms, RouteTerms, Terms
from ..membership.retries import publishable_retries
from ..versions.core import Resource
from ..xds import forms, tables
from ..xds.codec import FormError, decode, encode
from .book import TableState, View

DIRECTORS = "directors"  # the table of directors, whose only line is this one, draining
CALLS = "calls"  # the one set of routes
Address = tuple[str, int, str]  # address, port, zone
Rows = dict[str, list[tuple[str, bytes]]]  # by type: names and bodies
Row = tuple[list[forms.Route], bytes, str]  # what a proxy held for a route: paths, cluster, table's name


@dataclass(slots=True)
class Held:
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
        routes = tables.in_order(CALLS, self.routes)
        made = {"eds": [(name, encode(table)) for name, table in self.assignments.items()]}
        return made | {"cds": list(clusters.items()), "rds": [(CALLS, encode(routes))] if self.rows else []}

    def hosts(self, route: str) -> frozenset[str]:
        row = self.rows.get(route)
        table = self.assignments.get(row[2]) if row else None
        return frozenset(line[0] for line in tables.lines(table)) if table else frozenset()


def read_held(resources: list[tuple[str, bytes]]) -> Held:
    """What these resources, each with its type, make; FormError where one is no proper resource."""
    held, clusters = Held(), dict[str, tuple[bytes, str]]()
    rows: list[forms.Route] = []
    for type_url, body in resources:
        if type_url == forms.ASSIGNMENT:
            table = decode(body, forms.ClusterLoadAssignment)
            if table.cluster_name == DIRECTORS:
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


class Renderer:
    def __init__(self, terms: Terms, epoch: int) -> None:
        self._terms, self._epoch = terms, epoch
        self._prefix = f"{terms.name}.{epoch}"
        self._dial = round(terms.fleet.dial_ms * 10)
        self._rows: dict[object, bytes] = {}  # routes and clusters, by what is in them
        self._paths = ordered_paths(terms)
        self._addresses: Mapping[str, Address] = {}
        self._generation = 0  # of the addresses

    def readdress(self, addresses: Mapping[str, Address]) -> None:
        """Where hosts are from now on; a host that is not named has no line in any file."""
        if addresses != self._addresses:
            self._addresses = addresses
            self._generation += 1

    def rows(self, view: View, held: Held) -> Rows:
        """By type its resources, name and JSON; types that a proxy keeps as they are, unbound as it is, are
        left out.
        """
        assignments, clusters, rows = dict[str, bytes](), dict[str, bytes](), list[bytes]()
        kept = set[str]()
        for k, path in self._paths:
            if isinstance(path, ClosedTerms):
                rows.append(self._closed(path))
                continue
            assert k is not None  # as every path but a closed one has a route
            route, state = self._terms.routes[k], view.bound.get(k)
            if state is not None:
                name = f"{self._prefix}.t{state.number}"
                if name not in assignments:
                    assignments[name] = self._table(name, state, view)
                to = f"{route.name}@{name}"
                clusters[to] = self._cluster(to, name, "ring" if route.hash_by else self._terms.fleet.pick)
                rows.append(self._route(k, path, to, state, view))
            elif route.name in held.rows and route.name not in kept:
                kept.add(route.name)  # all it held of this route, where the first of its paths stands
                mine, body, name = held.rows[route.name]
                if name not in assignments and name in held.assignments:
                    assignments[name] = self._drained(held.assignments[name], view.withdrawn)
                clusters[mine[0].route.cluster] = body
                rows += [encode(row) for row in mine]
        made = {"eds": list(assignments.items())}
        if view.bound:
            made["cds"] = list(clusters.items())
            made["rds"] = [(CALLS, self._route_set(rows))]
        return made

    def table_name(self, number: int) -> str:
        """The resource under which the module's table of this number goes out."""
        return f"{self._prefix}.t{number}"

    def away(self) -> bytes:
        """This director as a table of one that drains: the proxy is to follow another."""
        at = forms.Address(pipe=forms.Pipe(self._terms.files.folder))
        row = forms.LbEndpoint(forms.Endpoint(at, self._terms.name), forms.DRAINING)
        return encode(forms.ClusterLoadAssignment(DIRECTORS, [forms.LocalityLbEndpoints(lb_endpoints=[row])]))

    def _table(self, name: str, state: TableState, view: View) -> bytes:
        out = tuple(host for host in state.lines if host in view.withdrawn)
        key = (out, self._generation)
        body = state.bodies.get(key)
        if body is None:
            known = [(host, weight, self._addresses.get(host)) for host, weight in state.lines.items()]
            rows = [(host, *at, weight, host in view.withdrawn) for host, weight, at in known if at]
            body = state.bodies[key] = encode(tables.assignment(name, rows))
        return body

    @staticmethod
    def _drained(table: forms.ClusterLoadAssignment, withdrawn: Collection[str]) -> bytes:
        """A table of before, with what is withdrawn now: the proxy has heard of nothing else from here."""
        rows = [(*line[:5], line[0] in withdrawn or line[5]) for line in tables.lines(table)]
        return encode(tables.assignment(table.cluster_name, rows))

    def drained(self, row: Resource, withdrawn: frozenset[str]) -> bytes:
        """The same of a resource; as it is if that takes nothing out."""
        table = decode(row.body, forms.ClusterLoadAssignment)
        if not any(line[0] in withdrawn and not line[5] for line in tables.lines(table)):
            return row.body
        return self._drained(table, withdrawn)

    def _closed(self, path: ClosedTerms) -> bytes:
        body = self._rows.get(path)
        if body is None:
            made = tables.closed(tables.match(path.match, path.path), path.status)
            body = self._rows[path] = encode(made)
        return body

    def _cluster(self, name: str, table: str, pick: str) -> bytes:
        body = self._rows.get(name)
        if body is None:
            fleet = self._terms.fleet
            made = tables.cluster(name, table, "eds.json", pick, self._dial, fleet.strikes)
            body = self._rows[name] = encode(made)
        return body

    def _route(self, k: int, path: PathTerms | RouteTerms, to: str, state: TableState, view: View) -> bytes:
        route, fleet = self._terms.routes[k], self._terms.fleet
        tries, level = state.levels.get(k, (fleet.usual_tries, float("inf")))
        if k in view.levels:
            wide_tries, wide = view.levels[k]
            tries, level = (tries if k in state.levels else wide_tries), min(level, wide)
        tries = min(tries, route.tries)
        if route.most_per_s and fleet.admit == "rps":
            level = min(level, route.most_per_s)
        key = (to, path, tries, level)
        body = self._rows.get(key)
        if body is None:
            if len(self._rows) > 5000:  # levels of long ago
                self._rows.clear()
            policy = tables.retry(
                publishable_retries(SEMANTICS[route.semantics], tries),
                round(fleet.try_factor * route.slo_time_ms * 10),
            )
            filters = tables.level(fleet.admit, level, fleet.come_back_s)
            row = tables.route(
                route.name, tables.match(path.match, path.path), to, round(route.time_limit_ms * 10),
                policy, filters, path.rewrite, route.hash_by,
            )  # fmt: skip
            body = self._rows[key] = encode(row)
        return body

    @staticmethod
    def _route_set(rows: list[bytes]) -> bytes:
        routes = [msgspec.Raw(row) for row in rows]
        host = {"name": "all", "domains": ["*"], "routes": routes}
        return encode({"@type": forms.ROUTES, "name": CALLS, "virtual_hosts": [host]})


def uses(row: Resource) -> tuple[str, ...]:
    """The clusters that routes lead to, or a cluster's table."""
    if row.uses is None:
        row.uses = ()
        if row.kind == "rds":
            hosts = decode(row.body, forms.RouteConfiguration).virtual_hosts
            row.uses = tuple(
                dict.fromkeys(r.route.cluster for host in hosts for r in tables.leading(host.routes))
            )
        elif row.kind == "cds":
            cluster = decode(row.body, forms.Cluster)
            row.uses = (cluster.eds_cluster_config.service_name or cluster.name,)
    return row.uses

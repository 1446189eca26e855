"""Renders the desired state of proxies as xDS resources, without I/O.

A table is encoded once for all proxies that use it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from math import inf

import msgspec

from ..config.deployment import SEMANTICS, ordered_paths
from ..config.terms import ClosedTerms, PathTerms, RouteTerms, Terms
from ..decisions.runtime import AdmissionLimit, RetryMode
from ..membership.retries import publishable_retries, stricter_retries
from ..ticks import ticks_from_milliseconds
from ..versions.resources import CLUSTERS, ROUTES, TABLES, Resource
from ..xds import forms, tables
from ..xds.codec import decode, encode
from .proxy_resources import CONTROLLERS_RESOURCE, ROUTE_SET_NAME, ProxyResources, ResourcesByType
from .proxy_state import ProxyView, VersionedTable

MAX_CACHED_BODIES = 5000  # bodies of routes and clusters, including those of earlier admission limits
TABLE_FILE = "eds.json"  # the file from which a cluster's table is read

Address = tuple[str, int, str]  # address, port, zone


@dataclass(slots=True)
class _Rendering:
    """The resources of one proxy that have been rendered so far."""

    assignments: dict[str, bytes] = field(default_factory=dict)
    clusters: dict[str, bytes] = field(default_factory=dict)
    entries: list[bytes] = field(default_factory=list)
    initial_routes: set[str] = field(default_factory=set)  # copied from the state that the proxy joined with


class ResourceRenderer:
    """Renders views as resources and caches the encoded bodies, which many proxies share."""

    def __init__(self, terms: Terms, epoch: int) -> None:
        """`epoch` distinguishes the resource names of this run from those of earlier runs."""
        self._terms = terms
        self._prefix = f"{terms.name}.{epoch}"
        self._connect_timeout_ticks = ticks_from_milliseconds(terms.fleet.dial_ms)
        self._bodies: dict[object, bytes] = {}  # of routes and clusters, keyed by what determines them
        self._paths = ordered_paths(terms)
        self._addresses: Mapping[str, Address] = {}
        self._addresses_version = 0

    def set_addresses(self, addresses: Mapping[str, Address]) -> None:
        """Sets the addresses of endpoints; an endpoint without one gets no entry in any table."""
        if addresses != self._addresses:
            self._addresses = addresses
            self._addresses_version += 1

    def table_name(self, number: int) -> str:
        """Returns the name of the resource that carries the controller's table of this number."""
        return f"{self._prefix}.t{number}"

    def render(self, view: ProxyView, initial: ProxyResources) -> ResourcesByType:
        """Renders a view for a proxy that joined with `initial`.

        Clusters and routes are left out for a proxy that is not bound to any table yet, as it keeps its own.
        """
        rendering = _Rendering()
        for index, path in self._paths:
            if isinstance(path, ClosedTerms):
                rendering.entries.append(self._closed_entry(path))
                continue
            assert index is not None  # only closed paths have no route
            if (table := view.bound.get(index)) is not None:
                self._add_bound_route(rendering, index, path, table, view)
            else:
                self._add_initial_route(rendering, self._terms.routes[index].name, initial, view)
        resources = {TABLES: list(rendering.assignments.items())}
        if view.bound:
            resources[CLUSTERS] = list(rendering.clusters.items())
            resources[ROUTES] = [(ROUTE_SET_NAME, self._route_set(rendering.entries))]
        return resources

    def render_send_away(self) -> bytes:
        """Renders this controller as a draining entry, which makes the proxy join another controller."""
        address = forms.Address(pipe=forms.Pipe(self._terms.files.folder))
        entry = forms.LbEndpoint(forms.Endpoint(address, self._terms.name), forms.DRAINING)
        locality = forms.LocalityLbEndpoints(lb_endpoints=[entry])
        return encode(forms.ClusterLoadAssignment(CONTROLLERS_RESOURCE, [locality]))

    def exclude_from(self, resource: Resource, excluded: frozenset[str]) -> bytes:
        """Returns a table's body with these endpoints marked as draining; unchanged if they already are."""
        table = decode(resource.body, forms.ClusterLoadAssignment)
        entries = tables.lines(table)
        if not any(endpoint in excluded and not is_draining for endpoint, _, _, _, _, is_draining in entries):
            return resource.body
        return self._with_exclusions(table, excluded)

    # One route.

    def _add_bound_route(
        self,
        rendering: _Rendering,
        index: int,
        path: PathTerms | RouteTerms,
        table: VersionedTable,
        view: ProxyView,
    ) -> None:
        route = self._terms.routes[index]
        name = self.table_name(table.number)
        if name not in rendering.assignments:
            rendering.assignments[name] = self._assignment(name, table, view)
        cluster = f"{route.name}@{name}"
        pick = "ring" if route.hash_by else self._terms.fleet.pick
        rendering.clusters[cluster] = self._cluster(cluster, name, pick)
        limit = self._admission(index, table)
        rendering.entries.append(self._route_entry(route, path, cluster, limit))

    def _add_initial_route(
        self, rendering: _Rendering, name: str, initial: ProxyResources, view: ProxyView
    ) -> None:
        """Copies the route that the proxy joined with, at the position of the route's first path."""
        route = initial.routes.get(name)
        if route is None or name in rendering.initial_routes:
            return
        rendering.initial_routes.add(name)
        if route.table not in rendering.assignments and route.table in initial.assignments:
            table = initial.assignments[route.table]
            rendering.assignments[route.table] = self._with_exclusions(table, view.excluded)
        rendering.clusters[route.cluster_name] = route.cluster
        rendering.entries += [encode(entry) for entry in route.entries]

    def _admission(self, index: int, table: VersionedTable) -> AdmissionLimit:
        """Returns the limit set by the controller, capped by the configuration."""
        route = self._terms.routes[index]
        fleet = self._terms.fleet
        commanded = table.limits.get(index, AdmissionLimit(RetryMode(fleet.usual_tries), inf))
        limit = commanded.limit
        if route.most_per_s and fleet.admit == "rps":
            limit = min(limit, route.most_per_s)
        return AdmissionLimit(RetryMode(stricter_retries(commanded.retries, route.tries)), limit)

    # Bodies.

    def _assignment(self, name: str, table: VersionedTable, view: ProxyView) -> bytes:
        excluded = tuple(endpoint for endpoint in table.weights if endpoint in view.excluded)
        key = (excluded, self._addresses_version)
        body = table.encoded.get(key)
        if body is None:
            entries: list[tables.TableEntry] = []
            for endpoint, weight in table.weights.items():
                known_address = self._addresses.get(endpoint)
                if known_address is not None:
                    address, port, zone = known_address
                    entries.append((endpoint, address, port, zone, weight, endpoint in view.excluded))
            body = table.encoded[key] = encode(tables.assignment(name, entries))
        return body

    @staticmethod
    def _with_exclusions(table: forms.ClusterLoadAssignment, excluded: Collection[str]) -> bytes:
        """Encodes a table that the proxy joined with; this controller only adds exclusions to it."""
        entries = [
            (endpoint, address, port, zone, weight, endpoint in excluded or is_draining)
            for endpoint, address, port, zone, weight, is_draining in tables.lines(table)
        ]
        return encode(tables.assignment(table.cluster_name, entries))

    def _closed_entry(self, path: ClosedTerms) -> bytes:
        body = self._bodies.get(path)
        if body is None:
            entry = tables.direct_response_route(tables.match(path.match, path.path), path.status)
            body = self._bodies[path] = encode(entry)
        return body

    def _cluster(self, name: str, table: str, pick: str) -> bytes:
        body = self._bodies.get(name)
        if body is None:
            strikes = self._terms.fleet.strikes
            cluster = tables.cluster(name, table, TABLE_FILE, pick, self._connect_timeout_ticks, strikes)
            body = self._bodies[name] = encode(cluster)
        return body

    def _route_entry(
        self, route: RouteTerms, path: PathTerms | RouteTerms, cluster: str, limit: AdmissionLimit
    ) -> bytes:
        key = (cluster, path, limit.retries, limit.limit)
        body = self._bodies.get(key)
        if body is None:
            if len(self._bodies) > MAX_CACHED_BODIES:
                self._bodies.clear()
            body = self._bodies[key] = encode(self._make_route(route, path, cluster, limit))
        return body

    def _make_route(
        self, route: RouteTerms, path: PathTerms | RouteTerms, cluster: str, limit: AdmissionLimit
    ) -> forms.Route:
        fleet = self._terms.fleet
        attempt_timeout_ticks = ticks_from_milliseconds(fleet.try_factor * route.slo_time_ms)
        retries = publishable_retries(SEMANTICS[route.semantics], limit.retries)
        return tables.route(
            route.name,
            tables.match(path.match, path.path),
            cluster,
            ticks_from_milliseconds(route.time_limit_ms),
            tables.retry(retries, attempt_timeout_ticks),
            tables.level(fleet.admit, limit.limit, fleet.come_back_s),
            path.rewrite,
            route.hash_by,
        )

    @staticmethod
    def _route_set(entries: list[bytes]) -> bytes:
        routes = [msgspec.Raw(entry) for entry in entries]
        virtual_host = {"name": "all", "domains": ["*"], "routes": routes}
        return encode({"@type": forms.ROUTES, "name": ROUTE_SET_NAME, "virtual_hosts": [virtual_host]})


def references(resource: Resource) -> tuple[str, ...]:
    """Returns the names that a resource refers to: the clusters of a route set or the table of a cluster."""
    if resource.references is None:
        resource.references = _find_references(resource)
    return resource.references


def _find_references(resource: Resource) -> tuple[str, ...]:
    if resource.kind == ROUTES:
        virtual_hosts = decode(resource.body, forms.RouteConfiguration).virtual_hosts
        clusters = [
            entry.route.cluster for host in virtual_hosts for entry in tables.cluster_routes(host.routes)
        ]
        return tuple(dict.fromkeys(clusters))
    if resource.kind == CLUSTERS:
        cluster = decode(resource.body, forms.Cluster)
        return (cluster.eds_cluster_config.service_name or cluster.name,)
    return ()

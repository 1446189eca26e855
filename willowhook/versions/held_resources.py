"""The resources that one proxy holds or may hold: acknowledged sets, sets in flight, and its initial ones."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from .resources import CLUSTERS, KINDS, ROUTES, TABLES, Resource, ResourceSet, ResourceStore
from .version_tracker import VersionTracker

References = Callable[[Resource], tuple[str, ...]]  # names of the clusters of routes, or of a cluster's table


class HeldResources:
    """The resources that one proxy holds.

    Attributes:
        trackers: by type, the tracker of the version that the proxy runs.
        initial: by type, the set that it joined with, used until it acknowledges a set that it was sent.
    """

    def __init__(
        self,
        store: ResourceStore,
        references: References,
        initial: Mapping[str, list[tuple[str, bytes]]],
    ) -> None:
        """`initial`: by type, names and bodies of the resources that the proxy joined with."""
        self._references = references
        self.trackers = {kind: VersionTracker(kind) for kind in KINDS}
        self.initial = {kind: store.make_set(kind, bodies) for kind, bodies in initial.items() if bodies}

    def held(self, kind: str) -> Mapping[str, Resource]:
        """Returns the acknowledged resources by name, or those that it joined with if there are none."""
        known = self.trackers[kind].known or self.initial.get(kind)
        return known.resources if known is not None else {}

    def find(self, kind: str, name: str) -> Resource | None:
        """Returns a resource that it acknowledged, or else one that it joined with."""
        for resources in (self.trackers[kind].known, self.initial.get(kind)):
            if resources is not None and name in resources.resources:
                return resources.resources[name]
        return None

    def find_certain(self, kind: str, name: str) -> Resource | None:
        """Returns the resource of a name if every response in flight keeps one; None if it may be missing."""
        if any(name not in each.resources for each in self.trackers[kind].in_flight.values()):
            return None
        return self.held(kind).get(name)

    def has(self, kind: str, resource: Resource) -> bool:
        """Whether the proxy is known to hold this resource with this content."""
        tracker = self.trackers[kind]
        if tracker.known is not None or tracker.in_flight:
            return tracker.holds(resource)
        initial = self.initial.get(kind)
        initial_resource = initial.resources.get(resource.name) if initial is not None else None
        return initial_resource is not None and initial_resource.body == resource.body

    def clusters_in_use(self) -> dict[str, None]:
        """Returns the names of the clusters that its routes may refer to now."""
        tracker = self.trackers[ROUTES]
        sets: list[ResourceSet] = [*tracker.in_flight.values()]
        current = tracker.known or self.initial.get(ROUTES)
        if current is not None:
            sets.append(current)
        all_routes = [routes for resources in sets for routes in resources.resources.values()]
        return {name: None for routes in all_routes for name in self._references(routes)}

    def tables_in_use(self) -> dict[str, None]:
        """Returns the names of the tables that its routes may refer to now."""
        clusters = [self.find(CLUSTERS, name) for name in self.clusters_in_use()]
        return {
            table: None for cluster in clusters if cluster is not None for table in self._references(cluster)
        }

    def are_references_held(self, routes: Resource) -> bool:
        """Whether the proxy certainly holds all clusters and tables that routes refer to."""
        for name in self._references(routes):
            cluster = self.find_certain(CLUSTERS, name)
            if cluster is None:
                return False
            if any(self.find_certain(TABLES, table) is None for table in self._references(cluster)):
                return False
        return True

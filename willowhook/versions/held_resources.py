"""What one proxy holds, or may hold: sets that it acknowledged, sets in flight, and what it joined with."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from .resources import CLUSTERS, KINDS, ROUTES, TABLES, Resource, ResourceSet, ResourceStore
from .version_tracker import VersionTracker

References = Callable[[Resource], tuple[str, ...]]  # names of a route set's clusters, or a cluster's table


class HeldResources:
    """What one proxy holds.

    Attributes:
        trackers: by type, what the proxy is known to run.
        initial: by type, what it joined with. It counts until the proxy acknowledges a set of ours.
    """

    def __init__(
        self,
        store: ResourceStore,
        references: References,
        initial: Mapping[str, list[tuple[str, bytes]]],
    ) -> None:
        """`initial`: by type, names and bodies of what the proxy joined with."""
        self._references = references
        self.trackers = {kind: VersionTracker(kind) for kind in KINDS}
        self.initial = {kind: store.make_set(kind, bodies) for kind, bodies in initial.items() if bodies}

    def held(self, kind: str) -> Mapping[str, Resource]:
        """Returns what it holds of ours by name, or what it joined with."""
        known = self.trackers[kind].known or self.initial.get(kind)
        return known.resources if known is not None else {}

    def find(self, kind: str, name: str) -> Resource | None:
        """Returns a resource that it acknowledged, or else joined with."""
        for resources in (self.trackers[kind].known, self.initial.get(kind)):
            if resources is not None and name in resources.resources:
                return resources.resources[name]
        return None

    def find_certain(self, kind: str, name: str) -> Resource | None:
        """Returns a resource of a name that it holds, whichever of the responses in flight has arrived."""
        if any(name not in each.resources for each in self.trackers[kind].in_flight.values()):
            return None
        return self.held(kind).get(name)

    def has(self, kind: str, resource: Resource) -> bool:
        """Whether it is known to hold this content."""
        tracker = self.trackers[kind]
        if tracker.known is not None or tracker.in_flight:
            return tracker.holds(resource)
        initial = self.initial.get(kind)
        found = initial.resources.get(resource.name) if initial is not None else None
        return found is not None and found.body == resource.body

    def clusters_in_use(self) -> dict[str, None]:
        """Returns the clusters that its routes may lead to by now."""
        tracker = self.trackers[ROUTES]
        sets: list[ResourceSet] = [*tracker.in_flight.values()]
        current = tracker.known or self.initial.get(ROUTES)
        if current is not None:
            sets.append(current)
        routes = [each for resources in sets for each in resources.resources.values()]
        return {name: None for each in routes for name in self._references(each)}

    def tables_in_use(self) -> dict[str, None]:
        """Returns the tables that its routes may lead to by now."""
        clusters = [self.find(CLUSTERS, name) for name in self.clusters_in_use()]
        return {
            table: None for cluster in clusters if cluster is not None for table in self._references(cluster)
        }

    def is_reachable(self, routes: Resource) -> bool:
        """Whether all clusters and tables that routes lead to are certain to be held."""
        for name in self._references(routes):
            cluster = self.find_certain(CLUSTERS, name)
            if cluster is None:
                return False
            if any(self.find_certain(TABLES, table) is None for table in self._references(cluster)):
                return False
        return True

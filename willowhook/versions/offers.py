"""The resources that one proxy may be offered now on the way to its wanted ones, in make-before-break order.

Clusters and tables are offered first, then the routes that refer to them once the proxy holds them; resources
that no route refers to any more are removed last.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from .held_resources import HeldResources
from .rejections import Rejections
from .resources import (
    CLUSTERS,
    KINDS,
    NO_VERSION,
    ROUTES,
    TABLES,
    Resource,
    ResourceSet,
    ResourceStore,
)

ExcludeFrom = Callable[[Resource, frozenset[str]], bytes]  # marks endpoints as draining in a table's body


class Offers:
    """The offers to one proxy.

    Attributes:
        wanted: by type, the set that the proxy is to run in the end.
        current: by type, the set that it is offered now.
        names: by type, the names that it subscribes to; None: all.
        reported_versions: by type, the version that the proxy states it runs, of a set that is no longer
            kept. Later offers must be newer.
    """

    def __init__(
        self,
        store: ResourceStore,
        held: HeldResources,
        rejections: Rejections,
        exclude_from: ExcludeFrom,
    ) -> None:
        """Creates the offers of a proxy; there are none before `set_wanted`."""
        self._store = store
        self._held = held
        self._rejections = rejections
        self._exclude_from = exclude_from
        self._excluded: frozenset[str] = frozenset()
        self.wanted: dict[str, ResourceSet] = {}
        self.current: dict[str, ResourceSet] = {}
        self.names: dict[str, dict[str, None] | None] = dict.fromkeys(KINDS)
        self.reported_versions = dict.fromkeys(KINDS, NO_VERSION)

    def set_wanted(self, sets: Mapping[str, ResourceSet], excluded: frozenset[str]) -> None:
        """Sets the wanted sets; missing types are unchanged. Call `recompute` afterwards."""
        for kind, resources in sets.items():
            self.wanted[kind] = resources
            self._rejections.forget_outdated(kind, resources)
        self._excluded = excluded

    def rebuild_for_new_era(self) -> None:
        """Makes all wanted and initial sets anew in the new era. Nothing is offered until `recompute`."""
        for sets in (self.wanted, self._held.initial):
            for kind, resources in list(sets.items()):
                sets[kind] = self._store.make_set(kind, resources.bodies().items())
        self.current.clear()

    def newest(self, kind: str) -> ResourceSet | None:
        """Returns the newest set that the proxy was offered; a later set must have a higher version."""
        tracker = self._held.trackers[kind]
        newest = self.current.get(kind)
        for resources in (self.wanted.get(kind), *tracker.in_flight.values(), tracker.known):
            if resources is not None and (
                newest is None or resources.resource_version > newest.resource_version
            ):
                newest = resources
        return newest

    def recompute(self) -> None:
        """Recomputes the sets that may be offered now."""
        self._recompute_kind(CLUSTERS, self._offerable_clusters())
        self._recompute_kind(TABLES, self._offerable_tables())
        self._recompute_kind(ROUTES, self._offerable_routes())

    def _recompute_kind(self, kind: str, offerable: Mapping[str, Resource] | None) -> None:
        if offerable is None:
            return
        resources = self._rejections.replace(kind, offerable)
        if kind == ROUTES and not resources:
            return  # the proxy rejected the routes and holds none of this store: it keeps its own
        names = self.names[kind]
        if names is not None:
            resources = {name: each for name, each in resources.items() if name in names}
        newest = self.newest(kind)
        wanted = self.wanted.get(kind)
        above = max(
            newest.resource_version if newest is not None else NO_VERSION, self.reported_versions[kind]
        )
        if wanted is not None and resources == wanted.resources and wanted.resource_version >= above:
            self.current[kind] = wanted
        else:
            self.current[kind] = self._store.assemble(kind, resources, newest, self.reported_versions[kind])

    def _offerable_clusters(self) -> dict[str, Resource] | None:
        """Returns the wanted clusters and those that are still in use."""
        wanted = self.wanted.get(CLUSTERS)
        if wanted is None:
            return None
        resources = dict(wanted.resources)
        for name in self._held.clusters_in_use():
            old = self._held.find(CLUSTERS, name)
            if name not in resources and old is not None:
                resources[name] = old
        return resources

    def _offerable_tables(self) -> dict[str, Resource] | None:
        """Returns the wanted tables and those that are still in use, to which exclusions apply too."""
        wanted = self.wanted.get(TABLES)
        if wanted is None:
            return None
        resources = dict(wanted.resources)
        for name in self._held.tables_in_use():
            old = self._held.find(TABLES, name)
            if name not in resources and old is not None:
                body = self._exclude_from(old, self._excluded)
                resources[name] = self._store.resource(TABLES, name, body, old)
        return resources

    def _offerable_routes(self) -> Mapping[str, Resource] | None:
        """Returns the wanted routes once all that they refer to is known to be held; else the known ones.

        None if there are none.
        """
        wanted = self.wanted.get(ROUTES)
        if wanted is None:
            return None
        if all(self._held.are_references_held(routes) for routes in wanted.resources.values()):
            return wanted.resources
        known = self._held.trackers[ROUTES].known
        return known.resources if known is not None else None

"""Versioned resources and sets of resources, immutable and shared by all proxies that hold the same content.

Encodings and comparisons that are made for one proxy serve all others. Versions have the form `ERA.NUMBER`:
numbers increase over the life of a store, and eras over the runs of a controller, so that a proxy is never
offered an older version than it holds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple
from weakref import WeakValueDictionary

CLUSTERS = "cds"
TABLES = "eds"
ROUTES = "rds"
KINDS = (CLUSTERS, TABLES, ROUTES)

MAX_ERA = 1 << 60  # a proxy's reported version with this era or above was not made by a controller
MAX_VERSION_LENGTH = 40  # characters
ERAS_PER_RUN = 1 << 20  # the high bits of an era count the runs; the low bits are a salt
MAX_CACHED_DELTAS = 2000


class ResourceVersion(NamedTuple):
    """The version of a resource or of a set. Versions are ordered by when they were made."""

    era: int
    number: int

    def __str__(self) -> str:
        """Returns the form used on the wire."""
        return f"{self.era}.{self.number}"


NO_VERSION = ResourceVersion(0, 0)  # below any version that is made


def read_version(text: str) -> ResourceVersion | None:
    """Parses `ERA.NUMBER`; returns None for anything else."""
    era, dot, number = text.partition(".")
    if not dot or len(text) > MAX_VERSION_LENGTH or not (era.isascii() and era.isdigit()):
        return None
    if not (number.isascii() and number.isdigit()):
        return None
    return ResourceVersion(int(era), int(number))


def first_era(run: int, salt: int) -> int:
    """Returns the first era of a run.

    `salt` distinguishes runs with the same count, which occur when the count is lost with a disk.
    """
    return run * ERAS_PER_RUN + salt % ERAS_PER_RUN


def next_era(reported: int, own: int) -> int:
    """Returns an era above one that a proxy reports, with the salt of this run."""
    return (reported // ERAS_PER_RUN + 1) * ERAS_PER_RUN + own % ERAS_PER_RUN


class Resource:
    """One resource.

    Attributes:
        kind: its type, one of `KINDS`.
        name: the name of the resource.
        resource_version: its version.
        body: its content as JSON.
        references: names of the resources that it refers to; None: not computed yet.
    """

    __slots__ = ("__weakref__", "body", "kind", "name", "references", "resource_version")

    def __init__(self, kind: str, name: str, resource_version: ResourceVersion, body: bytes) -> None:
        """Must only be called by a `ResourceStore`."""
        self.kind = kind
        self.name = name
        self.resource_version = resource_version
        self.body = body
        self.references: tuple[str, ...] | None = None

    @property
    def version(self) -> str:
        """Its version, as on the wire."""
        return str(self.resource_version)


class ResourceSet:
    """All resources of one type that a proxy is to hold. Immutable.

    Attributes:
        kind: their type, one of `KINDS`.
        resource_version: the version of the set.
        resources: the resources by name.
    """

    __slots__ = ("__weakref__", "kind", "resource_version", "resources")

    def __init__(
        self, kind: str, resource_version: ResourceVersion, resources: Mapping[str, Resource]
    ) -> None:
        """Must only be called by a `ResourceStore`."""
        self.kind = kind
        self.resource_version = resource_version
        self.resources = resources

    @property
    def version(self) -> str:
        """Its version, as on the wire."""
        return str(self.resource_version)

    def versions(self) -> dict[str, str]:
        """Returns the versions of the resources by name."""
        return {name: resource.version for name, resource in self.resources.items()}

    def bodies(self) -> dict[str, bytes]:
        """Returns the bodies of the resources by name."""
        return {name: resource.body for name, resource in self.resources.items()}


@dataclass(frozen=True, slots=True)
class ResourceDelta:
    """The changes from one set to the next: new or changed resources, and the names of removed ones."""

    changed: tuple[Resource, ...]
    removed: tuple[str, ...]


class ResourceStore:
    """Makes resources and sets, and returns the same object for the same content.

    Only weak references are kept: resources and sets live as long as something else references them.

    Attributes:
        era: the current era of this run, above those of earlier runs.
    """

    def __init__(self, era: int, max_cached_deltas: int = MAX_CACHED_DELTAS) -> None:
        """Creates an empty store."""
        self.era = era
        self._number = 0
        self._own_eras = {era}
        self._max_cached_deltas = max_cached_deltas
        self._resources: WeakValueDictionary[tuple[str, str, bytes], Resource] = WeakValueDictionary()
        self._sets: WeakValueDictionary[tuple[str, tuple[int, ...]], ResourceSet] = WeakValueDictionary()
        self._sets_by_version: WeakValueDictionary[tuple[str, str], ResourceSet] = WeakValueDictionary()
        self._deltas: OrderedDict[tuple[str, str, str], ResourceDelta] = OrderedDict()

    # Creation.

    def resource(self, kind: str, name: str, body: bytes, above: Resource | None = None) -> Resource:
        """Returns the resource with this content; newer than `above` unless it has the same content.

        Content that returns after other content gets a new version, so that versions only increase.
        """
        if above is not None and above.body == body and above.resource_version.era == self.era:
            return above
        existing = self._resources.get((kind, name, body))
        if (
            existing is not None
            and existing.resource_version.era == self.era
            and (above is None or existing.resource_version > above.resource_version)
        ):
            return existing
        created = Resource(kind, name, self._next_version(), body)
        self._resources[kind, name, body] = created
        return created

    def make_set(
        self, kind: str, bodies: Iterable[tuple[str, bytes]], last: ResourceSet | None = None
    ) -> ResourceSet:
        """Returns the set with these bodies, given by name; newer than `last` unless it is the same."""
        before = last.resources if last is not None else {}
        resources = {name: self.resource(kind, name, body, before.get(name)) for name, body in bodies}
        return self.assemble(kind, resources, last)

    def assemble(
        self,
        kind: str,
        resources: Mapping[str, Resource],
        last: ResourceSet | None = None,
        floor: ResourceVersion = NO_VERSION,
    ) -> ResourceSet:
        """Returns the set of these resources: `last` if it is the same, else one above `floor` and `last`."""
        if last is not None and last.resource_version.era == self.era and last.resources == resources:
            return last
        content = tuple(resource.resource_version.number for resource in resources.values())
        existing = self._sets.get((kind, content))
        above = max(last.resource_version, floor) if last is not None else floor
        if (
            existing is not None
            and existing.resource_version.era == self.era
            and existing.resource_version > above
        ):
            return existing
        created = ResourceSet(kind, self._next_version(), resources)
        self._sets[kind, content] = created
        self._sets_by_version[kind, created.version] = created
        return created

    def _next_version(self) -> ResourceVersion:
        self._number += 1
        return ResourceVersion(self.era, self._number)

    # Lookup.

    def find(self, kind: str, version: str) -> ResourceSet | None:
        """Returns the set of this version, if it is still referenced."""
        return self._sets_by_version.get((kind, version))

    def delta(self, base: ResourceSet | Mapping[str, str], new: ResourceSet) -> ResourceDelta:
        """Returns the changes from a base: a set, or the versions by name that a proxy states it holds."""
        if not isinstance(base, ResourceSet):
            changed = tuple(each for name, each in new.resources.items() if base.get(name) != each.version)
            return ResourceDelta(changed, tuple(name for name in base if name not in new.resources))
        key = (new.kind, base.version, new.version)
        cached = self._deltas.get(key)
        if cached is not None:
            self._deltas.move_to_end(key)
            return cached
        old = base.resources
        changed = tuple(each for name, each in new.resources.items() if old.get(name) is not each)
        delta = ResourceDelta(changed, tuple(name for name in old if name not in new.resources))
        self._deltas[key] = delta
        if len(self._deltas) > self._max_cached_deltas:
            self._deltas.popitem(last=False)
        return delta

    # Eras.

    def era_ahead(self, version: str) -> int | None:
        """Returns the era of a version that a proxy reports, if versions made now would be older.

        That happens when the controller has lost its count of runs. None for any other version.
        """
        reported = read_version(version)
        if reported is None or reported.era in self._own_eras or not self.era < reported.era < MAX_ERA:
            return None
        return reported.era

    def own_version(self, version: str) -> ResourceVersion:
        """Parses a version of this store's eras; returns `NO_VERSION` for any other."""
        reported = read_version(version)
        return reported if reported is not None and reported.era in self._own_eras else NO_VERSION

    def raise_era(self, reported: int) -> None:
        """Starts an era whose versions are newer than those of an era that a proxy reports."""
        self.era = next_era(reported, self.era)
        self._own_eras.add(self.era)

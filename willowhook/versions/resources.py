"""Versioned resources and sets of them: immutable, numbered, and shared by all proxies that hold the same.

What is encoded or compared for one proxy serves all. Versions are `ERA.NUMBER`: numbers rise over the life of
a store, and eras over the runs of a controller, so nothing that a proxy is offered is older than what it has.
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

MAX_ERA = 1 << 60  # of a version that a proxy reports; more is no version of ours
MAX_VERSION_LENGTH = 40  # characters
ERAS_PER_RUN = 1 << 20  # an era is a count of runs and, below it, a salt that distinguishes runs of one count
MAX_CACHED_DELTAS = 2000


class ResourceVersion(NamedTuple):
    """The version of a resource or of a set; its order is that in which versions were made."""

    era: int
    number: int

    def __str__(self) -> str:
        """As on the wire."""
        return f"{self.era}.{self.number}"


NO_VERSION = ResourceVersion(0, 0)  # below any that is made


def read_version(text: str) -> ResourceVersion | None:
    """Reads `ERA.NUMBER`; returns None for anything else."""
    era, dot, number = text.partition(".")
    if not dot or len(text) > MAX_VERSION_LENGTH or not (era.isascii() and era.isdigit()):
        return None
    if not (number.isascii() and number.isdigit()):
        return None
    return ResourceVersion(int(era), int(number))


def first_era(run: int, salt: int) -> int:
    """Returns the era of a run; `salt` distinguishes runs with the same count, as after a lost disk."""
    return run * ERAS_PER_RUN + salt % ERAS_PER_RUN


def next_era(reported: int, own: int) -> int:
    """Returns an era above one that a proxy reports, with the salt of this run."""
    return (reported // ERAS_PER_RUN + 1) * ERAS_PER_RUN + own % ERAS_PER_RUN


class Resource:
    """One resource.

    Attributes:
        kind: its type, one of `KINDS`.
        name: the name of the resource.
        order: its version.
        body: its JSON.
        references: names of the resources that it refers to; None: not worked out yet.
    """

    __slots__ = ("__weakref__", "body", "kind", "name", "order", "references")

    def __init__(self, kind: str, name: str, order: ResourceVersion, body: bytes) -> None:
        """Only a `ResourceStore` makes resources."""
        self.kind = kind
        self.name = name
        self.order = order
        self.body = body
        self.references: tuple[str, ...] | None = None

    @property
    def version(self) -> str:
        """Its version, as on the wire."""
        return str(self.order)


class ResourceSet:
    """All resources of one type that a proxy is to hold. It is never changed.

    Attributes:
        kind: their type, one of `KINDS`.
        order: the version of the set.
        resources: the resources by name.
    """

    __slots__ = ("__weakref__", "kind", "order", "resources")

    def __init__(self, kind: str, order: ResourceVersion, resources: Mapping[str, Resource]) -> None:
        """Only a `ResourceStore` makes sets."""
        self.kind = kind
        self.order = order
        self.resources = resources

    @property
    def version(self) -> str:
        """Its version, as on the wire."""
        return str(self.order)

    def versions(self) -> dict[str, str]:
        """Returns the versions of the resources by name."""
        return {name: resource.version for name, resource in self.resources.items()}

    def bodies(self) -> dict[str, bytes]:
        """Returns the bodies of the resources by name."""
        return {name: resource.body for name, resource in self.resources.items()}


@dataclass(frozen=True, slots=True)
class ResourceDelta:
    """What changes from one set to the next: resources that are new or changed, and names that are gone."""

    changed: tuple[Resource, ...]
    removed: tuple[str, ...]


class ResourceStore:
    """Makes resources and sets, and returns the same object for the same content.

    Resources and sets live as long as somebody holds them.

    Attributes:
        era: the era of this run, above those of earlier runs.
    """

    def __init__(self, era: int, max_cached_deltas: int = MAX_CACHED_DELTAS) -> None:
        """Starts without resources."""
        self.era = era
        self._number = 0
        self._own_eras = {era}
        self._max_cached_deltas = max_cached_deltas
        self._resources: WeakValueDictionary[tuple[str, str, bytes], Resource] = WeakValueDictionary()
        self._sets: WeakValueDictionary[tuple[str, tuple[int, ...]], ResourceSet] = WeakValueDictionary()
        self._sets_by_version: WeakValueDictionary[tuple[str, str], ResourceSet] = WeakValueDictionary()
        self._deltas: OrderedDict[tuple[str, str, str], ResourceDelta] = OrderedDict()

    # Making.

    def resource(self, kind: str, name: str, body: bytes, above: Resource | None = None) -> Resource:
        """Returns the resource of this content; newer than `above` unless that is the same.

        Content that comes back after other content is given a new number: a version never goes back.
        """
        if above is not None and above.body == body and above.order.era == self.era:
            return above
        found = self._resources.get((kind, name, body))
        if found is not None and found.order.era == self.era and (above is None or found.order > above.order):
            return found
        made = Resource(kind, name, self._next_version(), body)
        self._resources[kind, name, body] = made
        return made

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
        """Returns the set of these resources; newer than `floor`, and than `last` unless it is the same."""
        if last is not None and last.order.era == self.era and last.resources == resources:
            return last
        content = tuple(resource.order.number for resource in resources.values())
        found = self._sets.get((kind, content))
        above = max(last.order, floor) if last is not None else floor
        if found is not None and found.order.era == self.era and found.order > above:
            return found
        made = ResourceSet(kind, self._next_version(), resources)
        self._sets[kind, content] = made
        self._sets_by_version[kind, made.version] = made
        return made

    def _next_version(self) -> ResourceVersion:
        self._number += 1
        return ResourceVersion(self.era, self._number)

    # Reading.

    def find(self, kind: str, version: str) -> ResourceSet | None:
        """Returns the set of this version, if anybody still holds it."""
        return self._sets_by_version.get((kind, version))

    def delta(self, base: ResourceSet | Mapping[str, str], new: ResourceSet) -> ResourceDelta:
        """Returns what changes from a set, or from the versions by name that a proxy says it holds."""
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
        made = ResourceDelta(changed, tuple(name for name in old if name not in new.resources))
        self._deltas[key] = made
        if len(self._deltas) > self._max_cached_deltas:
            self._deltas.popitem(last=False)
        return made

    # Eras.

    def era_ahead(self, version: str) -> int | None:
        """Returns the era of a version that a proxy reports, if all that is made now would be older.

        That is so when the controller has lost its count of runs. None for any other version.
        """
        reported = read_version(version)
        if reported is None or reported.era in self._own_eras or not self.era < reported.era < MAX_ERA:
            return None
        return reported.era

    def own_version(self, version: str) -> ResourceVersion:
        """Returns a version that this store made; `NO_VERSION` for any other."""
        reported = read_version(version)
        return reported if reported is not None and reported.era in self._own_eras else NO_VERSION

    def raise_era(self, reported: int) -> None:
        """Makes all versions from now on newer than those of an era that a proxy reports."""
        self.era = next_era(reported, self.era)
        self._own_eras.add(self.era)

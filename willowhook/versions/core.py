"""The versioned core of all fronts: resources and sets of them, immutable, numbered, shared.

A set of one type (a *part*) is the same object for all proxies that are to hold the same, so what is
encoded or compared for one serves all.  Versions are `ERA.NUMBER`; numbers rise over the core's life, and
eras over the lives of a director, so that nothing that a proxy is offered is older than what it has.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from weakref import WeakValueDictionary

MOST_ERA = 1 << 60  # of a version that a proxy tells; more is no version of ours
LIFE = 1 << 20  # an era is a count of lives and, below it, a number that tells lives of one count apart
HISTORY = 2000  # differences between two parts that are kept


class Resource:
    """One resource of one type.  `body`: its JSON."""

    __slots__ = ("__weakref__", "body", "era", "kind", "name", "number", "uses")

    def __init__(self, kind: str, name: str, era: int, number: int, body: bytes) -> None:
        self.kind, self.name, self.era, self.number, self.body = kind, name, era, number, body
        self.uses: tuple[str, ...] | None = None  # names of what it refers to; worked out when first asked

    @property
    def version(self) -> str:
        return f"{self.era}.{self.number}"

    @property
    def at(self) -> tuple[int, int]:
        return self.era, self.number


class Part:
    """All resources of one type that a proxy is to hold, by name.  It is never changed."""

    __slots__ = ("__weakref__", "era", "kind", "number", "rows")

    def __init__(self, kind: str, era: int, number: int, rows: Mapping[str, Resource]) -> None:
        self.kind, self.era, self.number, self.rows = kind, era, number, rows

    @property
    def version(self) -> str:
        return f"{self.era}.{self.number}"

    @property
    def at(self) -> tuple[int, int]:
        return self.era, self.number

    def versions(self) -> dict[str, str]:
        return {name: row.version for name, row in self.rows.items()}


@dataclass(frozen=True, slots=True)
class Delta:
    """What changes from one part to the next."""

    changed: tuple[Resource, ...]
    removed: tuple[str, ...]


def first_era(count: int, chance: int) -> int:
    """Of the life of this count; `chance` tells it from another that counted the same, as after a loss."""
    return count * LIFE + chance % LIFE


def next_era(told: int, own: int) -> int:
    """Above the era that a proxy tells, with the chance of this life."""
    return (told // LIFE + 1) * LIFE + own % LIFE


def read_version(text: str) -> tuple[int, int] | None:
    """`ERA.NUMBER`; None if it is no version of ours."""
    era, dot, number = text.partition(".")
    if not dot or len(text) > 40 or not (era.isascii() and era.isdigit()):
        return None
    if not (number.isascii() and number.isdigit()):
        return None
    return int(era), int(number)


class Core:
    """`era`: of this life of a director, above those of its lives before."""

    def __init__(self, era: int, history: int = HISTORY) -> None:
        self.era, self._number, self._history = era, 0, history
        self._eras = {era}
        self._resources: WeakValueDictionary[tuple[str, str, bytes], Resource] = WeakValueDictionary()
        self._parts: WeakValueDictionary[tuple[str, tuple[int, ...]], Part] = WeakValueDictionary()
        self._by_version: WeakValueDictionary[tuple[str, str], Part] = WeakValueDictionary()
        self._deltas: OrderedDict[tuple[str, str, str], Delta] = OrderedDict()
        self.made = 0  # parts, ever

    def resource(self, kind: str, name: str, body: bytes, above: Resource | None = None) -> Resource:
        """The resource of this content; newer than `above` unless that is the same.

        Content that comes back after other content is given a new number: a version never goes back.
        """
        if above is not None and above.body == body and above.era == self.era:
            return above
        found = self._resources.get((kind, name, body))
        if found is not None and found.era == self.era and (above is None or found.at > above.at):
            return found
        made = Resource(kind, name, self.era, self._next(), body)
        self._resources[kind, name, body] = made
        return made

    def part(self, kind: str, rows: Iterable[tuple[str, bytes]], last: Part | None = None) -> Part:
        """The part with these bodies; newer than `last` unless it is the same as that."""
        held = last.rows if last is not None else {}
        return self.assemble(kind, {n: self.resource(kind, n, body, held.get(n)) for n, body in rows}, last)

    def assemble(
        self,
        kind: str,
        rows: Mapping[str, Resource],
        last: Part | None = None,
        floor: tuple[int, int] = (0, 0),
    ) -> Part:
        """The part of these resources; newer than `last` unless it is the same as that, and than `floor`."""
        if last is not None and last.era == self.era and last.rows == rows:
            return last
        content = tuple(row.number for row in rows.values())
        found = self._parts.get((kind, content))
        above = max(last.at, floor) if last is not None else floor
        if found is not None and found.era == self.era and found.at > above:
            return found
        part = Part(kind, self.era, self._next(), rows)
        self._parts[kind, content] = part
        self._by_version[kind, part.version] = part
        self.made += 1
        return part

    def find(self, kind: str, version: str) -> Part | None:
        """The part of this version, if anybody still holds it."""
        return self._by_version.get((kind, version))

    def delta(self, base: Part | Mapping[str, str], new: Part) -> Delta:
        """From a part, or from what a proxy says it holds (versions by name)."""
        if not isinstance(base, Part):
            changed = tuple(row for name, row in new.rows.items() if base.get(name) != row.version)
            return Delta(changed, tuple(name for name in base if name not in new.rows))
        key = (new.kind, base.version, new.version)
        found = self._deltas.get(key)
        if found is None:
            old = base.rows
            changed = tuple(row for name, row in new.rows.items() if old.get(name) is not row)
            found = Delta(changed, tuple(name for name in old if name not in new.rows))
            self._deltas[key] = found
            if len(self._deltas) > self._history:
                self._deltas.popitem(last=False)
        else:
            self._deltas.move_to_end(key)
        return found

    def ahead(self, version: str) -> int:
        """The era of a version that a proxy tells, if what is made now would be older; 0 if not."""
        told = read_version(version)
        if told is None or told[0] in self._eras or not self.era < told[0] < MOST_ERA:
            return 0
        return told[0]

    def own(self, version: str) -> tuple[int, int]:
        """A version that this core made; (0, 0) of any other."""
        told = read_version(version)
        return told if told is not None and told[0] in self._eras else (0, 0)

    def rebase(self, era: int) -> None:
        """A proxy holds a version of this era: all that is made from now on is above it."""
        self.era = next_era(era, self.era)
        self._eras.add(self.era)

    def _next(self) -> int:
        self._number += 1
        return self._number

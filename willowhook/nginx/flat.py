"""The locations of a server as one list of which the first match wins: the form that proxies read.

Nested locations, `^~` and expressions make the language's search a tree; a list can say nearly all of it.
What it cannot say is found by asking both for URIs made from the patterns themselves (`differences`).
"""

from __future__ import annotations

import random
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from re import _parser

import rstr

from .after import left_after
from .locations import EXACT, NAMED, PRIORITY, REGEX_NOCASE, Location
from .setup import LocationConfig, ServerBlock

BELOW, WHOLE, PREFIX, REGEX = "below", "exact", "prefix", "regex"
MOST_REPEATS = 1000  # of the published expressions
MOST_ASKED = 20_000  # URIs of one server
MOST_PAIRED = 60  # prefixes with which each drawn text is joined
NOT_THERE = {"ASSERT": "looks ahead or behind", "ASSERT_NOT": "looks ahead or behind",
             "GROUPREF": "refers back", "GROUPREF_EXISTS": "refers back",
             "ATOMIC_GROUP": "has an atomic group",
             "POSSESSIVE_REPEAT": "has a possessive repeat"}  # fmt: skip

ANCHORED = re.compile(r"^(\(\?[a-z]+\))\^\(\?:(.*)\)\$$", re.DOTALL)


@dataclass(slots=True)
class Entry:
    """Calls whose path matches go as `place` says.  `declared`: the operator's word on them, if any."""

    match: str
    path: str
    location_config: LocationConfig
    declared: str = ""  # a path that the operator named
    value: str = ""  # by a map: the upstream that this path selects


def whole(location: Location, within: str = "") -> str:
    """An expression that matches all of a path in which this one is found, of those that begin with `within`;
    empty if it is found in all of these.
    """
    nocase = location.modifier == REGEX_NOCASE
    text = re.sub(r"\(\?<(?=[A-Za-z_])", "(?P<", location.pattern)
    flags = "(?si)" if nocase else "(?s)"
    if not within:
        return _anchored_already(text, nocase) or f"{flags}.*(?:{text}).*"
    rest = left_after(text, within, nocase)
    if rest is None:  # what is missed is found when the list is set beside the search
        plain = f"(?:{text})" if "|" in text else text
        return f"(?s){re.escape(within)}{'(?i:' if nocase else '(?:'}.*{plain}.*)"
    if not rest:
        return ""
    return f"(?s){re.escape(within)}{'(?i:' if nocase else '(?:'}{rest})"


def _anchored_already(text: str, nocase: bool) -> str:
    """What stands between the ends of an expression for whole paths, as an export writes it; else empty."""
    found = ANCHORED.match(text)
    if found is None or nocase:
        return ""
    try:
        re.compile(found[2])
    except re.error:
        return ""
    return f"{found[1]}{found[2]}"


def _expression(place: LocationConfig, within: str = "") -> Entry:
    text = whole(place.location, within)
    return Entry(REGEX, text, place) if text else Entry(PREFIX, within, place)


def beyond(location: Location) -> str:
    """What of an expression the published form lacks; empty if it has all of it."""
    pattern = re.sub(r"\(\?<(?=[A-Za-z_])", "(?P<", location.pattern)

    def walk(part: object) -> Iterator[str]:
        if isinstance(part, _parser.SubPattern):
            part = list(part)
        if isinstance(part, tuple) and part and str(part[0]) in NOT_THERE:
            yield NOT_THERE[str(part[0])]
        if isinstance(part, tuple) and len(part) == 2 and str(part[0]) in ("MAX_REPEAT", "MIN_REPEAT"):
            least, most = part[1][0], part[1][1]
            if least > MOST_REPEATS or (most != _parser.MAXREPEAT and most > MOST_REPEATS):
                yield f"repeats over {MOST_REPEATS} times"
        if isinstance(part, list | tuple):
            for each in part:
                yield from walk(each)

    return next(walk(_parser.parse(pattern)), "")


@dataclass
class Flattener:
    """`declared`: paths about which the operator said something."""

    site: ServerBlock
    declared: tuple[str, ...] = ()
    inexpressible: list[tuple[LocationConfig, str]] = field(
        default_factory=list
    )  # expressions that cannot be said, and why

    def __post_init__(self) -> None:
        self._extra: dict[int, list[LocationConfig]] = {}  # by location: its inner ones and declared paths
        self._names: dict[int, str] = {}
        for path in self.declared:
            at = self.site.find_location(path) or self.site.find_location(path + "/")
            if at is None or at.location.regex is not None or at.location.modifier == EXACT:
                continue
            own = Location("", path, at.location.directive)
            made = LocationConfig(own, at.proxy_settings, at.target, at.passes, at.status, at.unsafe)
            self._names[id(made)] = path
            self._extra.setdefault(id(at), []).append(made)

    def entries(self) -> list[Entry]:
        top = [place for place in self.site.locations if place.location.modifier != NAMED]
        regexes = [place for place in top if place.location.regex is not None and self._can(place)]
        found = [*self._exacts(top)]
        prefixes = self._sorted(place for place in top if _is_prefix(place))
        early = [p for p in prefixes if self._alone(p)]
        early += [
            p
            for p in prefixes
            if p not in early and any(p.location.pattern.startswith(q.location.pattern) for q in early)
        ]
        for place in self._sorted(early):
            found += self._block(place, regexes)
        for place in regexes:
            found.append(_expression(place))
        plain: list[Entry] = []
        chosen = {id(place) for place in early}
        for place in prefixes:
            if id(place) not in chosen:
                plain += self._block(place, [])
        found += sorted(plain, key=lambda row: -len(row.path))
        rows: dict[tuple[str, str], Entry] = {}
        for each in found:
            for row in _by_map(each):
                rows.setdefault((row.match, row.path), row)  # what stands twice is reached once
        return list(rows.values())

    def _inner(self, place: LocationConfig) -> list[LocationConfig]:
        return [*place.nested, *self._extra.get(id(place), ())]

    @staticmethod
    def _sorted(places: Iterable[LocationConfig]) -> list[LocationConfig]:
        return sorted(places, key=lambda place: -len(place.location.pattern))

    def _exacts(self, places: list[LocationConfig]) -> Iterator[Entry]:
        for place in places:
            if place.location.modifier == EXACT:
                yield Entry(WHOLE, place.location.pattern, place)
            yield from self._exacts(place.nested)

    def _alone(self, place: LocationConfig) -> bool:
        """Whether its search ends otherwise than that of the locations beside it."""
        if place.location.modifier == PRIORITY:
            return True
        return any(each.location.regex is not None or self._alone(each) for each in place.nested)

    def _can(self, place: LocationConfig) -> bool:
        why = beyond(place.location)
        if why and all(place is not each for each, _ in self.inexpressible):
            self.inexpressible.append((place, why))
        return not why

    def _block(self, place: LocationConfig, after: list[LocationConfig]) -> Iterator[Entry]:
        """All that falls to a prefix: what lies within it, the expressions that go before it, itself."""
        after = [] if place.location.modifier == PRIORITY else after
        inner = self._inner(place)
        mine = [each for each in inner if each.location.regex is not None and self._can(each)] + after
        for each in self._sorted(each for each in inner if _is_prefix(each)):
            yield from self._block(each, mine)
        for each in mine:
            yield _expression(each, place.location.pattern)
        name = self._names.get(id(place), "")
        yield Entry(BELOW if name else PREFIX, place.location.pattern, place, name)


def _is_prefix(place: LocationConfig) -> bool:
    return place.location.regex is None and place.location.modifier not in (EXACT, NAMED)


def _by_map(entry: Entry) -> Iterator[Entry]:
    """What a map by the path selects within a location goes before the rest of it."""
    choice = entry.location_config.target.mapping if entry.location_config.target is not None else None
    if choice is not None and choice.kind == "map" and len(choice.values()) > 1:
        for pattern, value, _ in choice.rows:
            if pattern.startswith("~"):
                kind = REGEX_NOCASE if pattern.startswith("~*") else "~"
                made = Location(kind, pattern.lstrip("~*"), choice.directive)
                within = entry.path if entry.match in (PREFIX, BELOW) else ""
                text = whole(made, within)
                match, path = (REGEX, text) if text else (PREFIX, within)
                yield Entry(match, path, entry.location_config, entry.declared, value)
            elif entry.match != WHOLE and pattern.startswith("/"):
                yield Entry(WHOLE, pattern, entry.location_config, entry.declared, value)
    yield entry


class FirstMatch:
    """The first of many entries that matches, without trying all but the expressions."""

    def __init__(self, entries: list[Entry]) -> None:
        self._exact: dict[str, int] = {}
        self._prefix: dict[str, int] = {}
        self._regexes: list[tuple[int, re.Pattern[str]]] = []
        self._below: dict[str, int] = {}
        for at, row in enumerate(entries):
            if row.match == REGEX:
                self._regexes.append((at, re.compile(row.path)))
            elif row.match == WHOLE:
                self._exact.setdefault(row.path, at)
            elif row.match == PREFIX:
                self._prefix.setdefault(row.path, at)
            else:
                self._below.setdefault(row.path.rstrip("/"), at)
        self._lengths = sorted({len(path) for path in self._prefix})
        self._entries = entries

    def find(self, uri: str) -> Entry | None:
        best = len(self._entries)
        best = min(best, self._exact.get(uri, best))
        for length in self._lengths:
            if length > len(uri):
                break
            best = min(best, self._prefix.get(uri[:length], best))
        if self._below:
            end = len(uri)
            while end > 0:
                best = min(
                    best, self._below.get(uri[:end].rstrip("/") if end == len(uri) else uri[:end], best)
                )
                end = uri.rfind("/", 0, end)
            best = min(best, self._below.get("", best))
        for at, regex in self._regexes:
            if at >= best:
                break
            if regex.fullmatch(uri):
                best = at
                break
        return self._entries[best] if best < len(self._entries) else None


def samples(pattern: str, chance: random.Random, count: int = 3) -> list[str]:
    """Texts that an expression matches; none if none can be drawn."""
    drawer = rstr.Rstr(chance)
    found = []
    for _ in range(count):
        try:
            text = drawer.xeger(re.sub(r"\(\?<(?=[A-Za-z_])", "(?P<", pattern).replace(".*", "[a-z]{0,3}"))
        except Exception:  # the drawer knows less than the language
            continue
        if text.isprintable() and " " not in text and len(text) < 300:
            found.append(text)
    return found


def probe_uris(site: ServerBlock, declared: Iterable[str], seed: int = 1) -> list[str]:
    """Paths that tell locations apart, made from their patterns."""
    chance = random.Random(seed)
    found: dict[str, None] = {}
    prefixes: list[str] = []
    drawn: list[str] = []

    def walk(places: list[LocationConfig]) -> None:
        for place in places:
            text = place.location.pattern
            if place.location.regex is not None:
                drawn.extend(samples(text, chance))
            elif place.location.modifier != NAMED:
                prefixes.append(text)
                found.update(dict.fromkeys((text, text + "x", text + "/x", text.rstrip("/") or "/")))
            walk(place.nested)

    walk(site.locations)
    for path in declared:
        found.update(dict.fromkeys((path, path + "/", path + "/x", path + "x")))
    whole_prefixes = prefixes if len(prefixes) <= MOST_PAIRED else chance.sample(prefixes, MOST_PAIRED)
    for text in drawn:
        for prefix in whole_prefixes:
            found.update(dict.fromkeys((prefix + text, prefix + "/" + text, prefix + text + "/x")))
            # an expression may begin within the prefix and end beyond it
            found.update(
                (prefix + text[k:], None) for k in range(1, len(text) + 1) if prefix.endswith(text[:k])
            )
            found[prefix + "x" + chance.choice(drawn) + text] = None
        found[text if text.startswith("/") else "/" + text] = None
    rows = [uri for uri in found if uri.startswith("/")]
    return rows if len(rows) <= MOST_ASKED else chance.sample(rows, MOST_ASKED)


def differences(
    site: ServerBlock, entries: list[Entry], declared: Iterable[str]
) -> list[tuple[str, LocationConfig, Entry]]:
    """URIs that the list sends elsewhere than the search does: the URI, its location, what the list says."""
    flat, found = FirstMatch(entries), []
    for uri in probe_uris(site, declared):
        place, entry = site.find_location(uri), flat.find(uri)
        here = entry.location_config.location.directive if entry is not None else None
        if place is not None and entry is not None and place.location.directive is not here:
            found.append((uri, place, entry))
    return found

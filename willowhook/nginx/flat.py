"""Flattens the locations of a server into one first-match list, the form that proxies read.

nginx searches a tree, because of nested locations, `^~` and regular expressions; a list can express nearly
all of it.  What it cannot express is found by looking up URIs made from the patterns in both
(`routing_differences`).
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

MATCH_BELOW, MATCH_EXACT, MATCH_PREFIX, MATCH_REGEX = "below", "exact", "prefix", "regex"
MAX_REGEX_REPEATS = 1000  # limit of the regular expressions in routes
MAX_PROBE_URIS = 20_000  # of one server
MAX_PAIRED_PREFIXES = 60  # prefixes with which each text drawn from a regex is joined
# Node types of Python's regex parser that regexes of routes lack
UNSUPPORTED_REGEX_PARTS = {"ASSERT": "looks ahead or behind", "ASSERT_NOT": "looks ahead or behind",
                           "GROUPREF": "refers back", "GROUPREF_EXISTS": "refers back",
                           "ATOMIC_GROUP": "has an atomic group",
                           "POSSESSIVE_REPEAT": "has a possessive repeat"}  # fmt: skip

ANCHORED_REGEX = re.compile(r"^(\(\?[a-z]+\))\^\(\?:(.*)\)\$$", re.DOTALL)


@dataclass(slots=True)
class Entry:
    """Routes requests with a matching path as `location_config` says."""

    match: str
    path: str
    location_config: LocationConfig
    declared: str = ""  # the path, if the operator declared its semantics
    mapped_upstream: str = ""  # the upstream that a map selects for this path


def full_path_regex(location: Location, within: str = "") -> str:
    """A regex that fully matches the paths below the prefix `within` in which the location's regex is found.

    Empty if it is found in all paths that begin with `within`.
    """
    nocase = location.modifier == REGEX_NOCASE
    text = re.sub(r"\(\?<(?=[A-Za-z_])", "(?P<", location.pattern)
    flags = "(?si)" if nocase else "(?s)"
    if not within:
        return _unanchored_body(text, nocase) or f"{flags}.*(?:{text}).*"
    remainder = left_after(text, within, nocase)
    if remainder is None:  # routing_differences() finds the paths that this misses
        body = f"(?:{text})" if "|" in text else text
        return f"(?s){re.escape(within)}{'(?i:' if nocase else '(?:'}.*{body}.*)"
    if not remainder:
        return ""
    return f"(?s){re.escape(within)}{'(?i:' if nocase else '(?:'}{remainder})"


def _unanchored_body(text: str, nocase: bool) -> str:
    """Flags and body of an anchored regex as the export writes it (`^(?:...)$`); empty for others."""
    match = ANCHORED_REGEX.match(text)
    if match is None or nocase:
        return ""
    try:
        re.compile(match[2])
    except re.error:
        return ""
    return f"{match[1]}{match[2]}"


def _regex_entry(config: LocationConfig, prefix: str = "") -> Entry:
    text = full_path_regex(config.location, prefix)
    return Entry(MATCH_REGEX, text, config) if text else Entry(MATCH_PREFIX, prefix, config)


def unsupported_construct(location: Location) -> str:
    """What a location's regex uses that regexes of routes lack; empty if nothing."""
    pattern = re.sub(r"\(\?<(?=[A-Za-z_])", "(?P<", location.pattern)

    def walk(part: object) -> Iterator[str]:
        if isinstance(part, _parser.SubPattern):
            part = list(part)
        if isinstance(part, tuple) and part and str(part[0]) in UNSUPPORTED_REGEX_PARTS:
            yield UNSUPPORTED_REGEX_PARTS[str(part[0])]
        if isinstance(part, tuple) and len(part) == 2 and str(part[0]) in ("MAX_REPEAT", "MIN_REPEAT"):
            minimum, maximum = part[1][0], part[1][1]
            if minimum > MAX_REGEX_REPEATS or (maximum != _parser.MAXREPEAT and maximum > MAX_REGEX_REPEATS):
                yield f"repeats over {MAX_REGEX_REPEATS} times"
        if isinstance(part, list | tuple):
            for child in part:
                yield from walk(child)

    return next(walk(_parser.parse(pattern)), "")


@dataclass
class Flattener:
    """Makes the first-match list of a server; `declared` are the paths whose semantics the operator gave."""

    server_block: ServerBlock
    declared: tuple[str, ...] = ()
    # Locations whose regex has no equivalent, and why
    inexpressible: list[tuple[LocationConfig, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._declared_configs: dict[int, list[LocationConfig]] = {}  # by location: its declared paths
        self._declared_paths: dict[int, str] = {}
        for path in self.declared:
            config = self.server_block.find_location(path) or self.server_block.find_location(path + "/")
            if config is None or config.location.regex is not None or config.location.modifier == EXACT:
                continue
            location = Location("", path, config.location.directive)
            declared_config = LocationConfig(
                location,
                config.proxy_settings,
                config.target,
                config.proxy_pass,
                config.status,
                config.unsafe_reason,
            )
            self._declared_paths[id(declared_config)] = path
            self._declared_configs.setdefault(id(config), []).append(declared_config)

    def entries(self) -> list[Entry]:
        """The list, most specific entries first where order matters."""
        top_level = [config for config in self.server_block.locations if config.location.modifier != NAMED]
        regexes = [
            config
            for config in top_level
            if config.location.regex is not None and self._is_expressible(config)
        ]
        ordered = [*self._exact_entries(top_level)]
        prefixes = self._longest_first(config for config in top_level if _is_prefix(config))
        priority = [p for p in prefixes if self._ends_search_early(p)]
        priority += [
            p
            for p in prefixes
            if p not in priority and any(p.location.pattern.startswith(q.location.pattern) for q in priority)
        ]
        for config in self._longest_first(priority):
            ordered += self._prefix_entries(config, regexes)
        for config in regexes:
            ordered.append(_regex_entry(config))
        plain_entries: list[Entry] = []
        priority_ids = {id(config) for config in priority}
        for config in prefixes:
            if id(config) not in priority_ids:
                plain_entries += self._prefix_entries(config, [])
        ordered += sorted(plain_entries, key=lambda entry: -len(entry.path))
        unique: dict[tuple[str, str], Entry] = {}
        for original in ordered:
            for entry in _expand_map(original):
                # Only the first of two equal entries is reached.
                unique.setdefault((entry.match, entry.path), entry)
        return list(unique.values())

    def _nested_configs(self, config: LocationConfig) -> list[LocationConfig]:
        return [*config.nested, *self._declared_configs.get(id(config), ())]

    @staticmethod
    def _longest_first(configs: Iterable[LocationConfig]) -> list[LocationConfig]:
        return sorted(configs, key=lambda config: -len(config.location.pattern))

    def _exact_entries(self, configs: list[LocationConfig]) -> Iterator[Entry]:
        for config in configs:
            if config.location.modifier == EXACT:
                yield Entry(MATCH_EXACT, config.location.pattern, config)
            yield from self._exact_entries(config.nested)

    def _ends_search_early(self, config: LocationConfig) -> bool:
        """Whether its search ends before the regexes of the enclosing level are tried."""
        if config.location.modifier == PRIORITY:
            return True
        return any(
            nested.location.regex is not None or self._ends_search_early(nested) for nested in config.nested
        )

    def _is_expressible(self, config: LocationConfig) -> bool:
        construct = unsupported_construct(config.location)
        if construct and all(config is not known for known, _ in self.inexpressible):
            self.inexpressible.append((config, construct))
        return not construct

    def _prefix_entries(self, config: LocationConfig, later_regexes: list[LocationConfig]) -> Iterator[Entry]:
        """The entries of a prefix location: nested prefixes, regexes that precede it, then itself."""
        later_regexes = [] if config.location.modifier == PRIORITY else later_regexes
        nested_configs = self._nested_configs(config)
        regexes = [
            nested
            for nested in nested_configs
            if nested.location.regex is not None and self._is_expressible(nested)
        ] + later_regexes
        for nested in self._longest_first(nested for nested in nested_configs if _is_prefix(nested)):
            yield from self._prefix_entries(nested, regexes)
        for nested in regexes:
            yield _regex_entry(nested, config.location.pattern)
        name = self._declared_paths.get(id(config), "")
        yield Entry(MATCH_BELOW if name else MATCH_PREFIX, config.location.pattern, config, name)


def _is_prefix(config: LocationConfig) -> bool:
    return config.location.regex is None and config.location.modifier not in (EXACT, NAMED)


def _expand_map(entry: Entry) -> Iterator[Entry]:
    """Precedes an entry with one for each path that a `map` by URI sends to another upstream."""
    mapping = entry.location_config.target.mapping if entry.location_config.target is not None else None
    if mapping is not None and mapping.kind == "map" and len(mapping.values()) > 1:
        for pattern, value, _ in mapping.entries:
            if pattern.startswith("~"):
                modifier = REGEX_NOCASE if pattern.startswith("~*") else "~"
                location = Location(modifier, pattern.lstrip("~*"), mapping.directive)
                within = entry.path if entry.match in (MATCH_PREFIX, MATCH_BELOW) else ""
                text = full_path_regex(location, within)
                match, path = (MATCH_REGEX, text) if text else (MATCH_PREFIX, within)
                yield Entry(match, path, entry.location_config, entry.declared, value)
            elif entry.match != MATCH_EXACT and pattern.startswith("/"):
                yield Entry(MATCH_EXACT, pattern, entry.location_config, entry.declared, value)
    yield entry


class FirstMatch:
    """Finds the first matching entry with lookups by path; only regexes are tried one by one."""

    def __init__(self, entries: list[Entry]) -> None:
        self._exact: dict[str, int] = {}
        self._prefix: dict[str, int] = {}
        self._regexes: list[tuple[int, re.Pattern[str]]] = []
        self._below: dict[str, int] = {}
        for index, entry in enumerate(entries):
            if entry.match == MATCH_REGEX:
                self._regexes.append((index, re.compile(entry.path)))
            elif entry.match == MATCH_EXACT:
                self._exact.setdefault(entry.path, index)
            elif entry.match == MATCH_PREFIX:
                self._prefix.setdefault(entry.path, index)
            else:
                self._below.setdefault(entry.path.rstrip("/"), index)
        self._lengths = sorted({len(path) for path in self._prefix})
        self._entries = entries

    def find(self, uri: str) -> Entry | None:
        """The first entry that matches a path."""
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
        for index, regex in self._regexes:
            if index >= best:
                break
            if regex.fullmatch(uri):
                best = index
                break
        return self._entries[best] if best < len(self._entries) else None


def draw_matching_texts(pattern: str, rng: random.Random, count: int = 3) -> list[str]:
    """Random texts that a regex matches; none if none can be generated."""
    generator = rstr.Rstr(rng)
    texts = []
    for _ in range(count):
        try:
            text = generator.xeger(re.sub(r"\(\?<(?=[A-Za-z_])", "(?P<", pattern).replace(".*", "[a-z]{0,3}"))
        except Exception:  # rstr does not support all of Python's regexes
            continue
        if text.isprintable() and " " not in text and len(text) < 300:
            texts.append(text)
    return texts


def probe_uris(server_block: ServerBlock, declared: Iterable[str], seed: int = 1) -> list[str]:
    """Paths made from the patterns of the locations, to compare where requests go."""
    rng = random.Random(seed)
    paths: dict[str, None] = {}
    prefixes: list[str] = []
    texts: list[str] = []

    def walk(configs: list[LocationConfig]) -> None:
        for config in configs:
            text = config.location.pattern
            if config.location.regex is not None:
                texts.extend(draw_matching_texts(text, rng))
            elif config.location.modifier != NAMED:
                prefixes.append(text)
                paths.update(dict.fromkeys((text, text + "x", text + "/x", text.rstrip("/") or "/")))
            walk(config.nested)

    walk(server_block.locations)
    for path in declared:
        paths.update(dict.fromkeys((path, path + "/", path + "/x", path + "x")))
    paired_prefixes = (
        prefixes if len(prefixes) <= MAX_PAIRED_PREFIXES else rng.sample(prefixes, MAX_PAIRED_PREFIXES)
    )
    for text in texts:
        for prefix in paired_prefixes:
            paths.update(dict.fromkeys((prefix + text, prefix + "/" + text, prefix + text + "/x")))
            # A regex match may begin within the prefix and end beyond it.
            paths.update(
                (prefix + text[split:], None)
                for split in range(1, len(text) + 1)
                if prefix.endswith(text[:split])
            )
            paths[prefix + "x" + rng.choice(texts) + text] = None
        paths[text if text.startswith("/") else "/" + text] = None
    uris = [uri for uri in paths if uri.startswith("/")]
    return uris if len(uris) <= MAX_PROBE_URIS else rng.sample(uris, MAX_PROBE_URIS)


def routing_differences(
    server_block: ServerBlock, entries: list[Entry], declared: Iterable[str]
) -> list[tuple[str, LocationConfig, Entry]]:
    """URIs for which the list and nginx's search differ: the URI, its location, and the list's entry."""
    first_match, differing = FirstMatch(entries), []
    for uri in probe_uris(server_block, declared):
        config, entry = server_block.find_location(uri), first_match.find(uri)
        listed = entry.location_config.location.directive if entry is not None else None
        if config is not None and entry is not None and config.location.directive is not listed:
            differing.append((uri, config, entry))
    return differing

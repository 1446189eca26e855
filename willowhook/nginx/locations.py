"""Which location a URI falls to, by the published rules.

An exact match (`=`) ends the search.  Then the longest prefix is remembered; if it has `^~`, or the URI is it
exactly with `=`, regular expressions are not looked at.  Otherwise those of the server are tried in the order
of the file, and the first that matches wins; if none does, the remembered prefix.  Nested locations are
searched within the one that was chosen, regular expressions of inner levels before those of outer ones.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field

from .syntax import ConfigSyntaxError, Directive, SourcePosition

EXACT, PRIORITY, PREFIX, REGEX, REGEX_NOCASE, NAMED = "=", "^~", "", "~", "~*", "@"
KINDS = (EXACT, PRIORITY, REGEX, REGEX_NOCASE)


@dataclass(slots=True)
class Location:
    modifier: str
    pattern: str
    directive: Directive
    nested: list[Location] = field(default_factory=list)
    regex: re.Pattern[str] | None = None

    def matches(self, uri: str) -> bool:
        if self.regex is not None:
            return self.regex.search(uri) is not None
        return uri == self.pattern if self.modifier == EXACT else uri.startswith(self.pattern)

    def __str__(self) -> str:
        return f"location {self.modifier} {self.pattern}".replace("  ", " ")


def compiled(pattern: str, nocase: bool, place: SourcePosition) -> re.Pattern[str]:
    """An expression of the language; groups may be named its way.  Raises SyntaxFault."""
    try:
        return re.compile(re.sub(r"\(\?<(?=[A-Za-z_])", "(?P<", pattern), re.IGNORECASE if nocase else 0)
    except (re.error, RecursionError, OverflowError) as fault:
        raise ConfigSyntaxError(place, f"no regular expression: {fault}") from fault


Kept = Callable[[Directive, ConfigSyntaxError], None]


def read(directive: Directive, kept: Kept | None = None) -> Location:
    """One `location` with those in it; raises SyntaxFault."""
    words = [word.text for word in directive.args]
    if len(words) == 2 and words[0] in KINDS:
        kind, pattern = words
    elif len(words) == 1:
        kind, pattern = PREFIX, words[0]
        for mark in (REGEX_NOCASE, REGEX, PRIORITY, EXACT):  # written without a space
            if pattern.startswith(mark) and not directive.args[0].quoted:
                kind, pattern = mark, pattern[len(mark) :]
                break
        if pattern.startswith("@"):
            kind = NAMED
    else:
        raise ConfigSyntaxError(
            directive.position, f"location has a modifier and a pattern, here are {len(words)} words"
        )
    made = Location(kind, pattern, directive)
    if kind in (REGEX, REGEX_NOCASE):
        made.regex = compiled(pattern, kind == REGEX_NOCASE, directive.args[-1].position)
    made.nested = read_locations(directive.block or [], kept)
    for each in list(made.nested):
        try:
            _within(made, each)
        except ConfigSyntaxError as fault:
            if kept is None:
                raise
            kept(each.directive, fault)
            made.nested.remove(each)
    return made


def _within(made: Location, each: Location) -> None:
    """Raises SyntaxFault where `each` cannot stand in `made`."""
    if made.modifier == EXACT:
        raise ConfigSyntaxError(each.directive.position, f"a location within {made}, which is exact")
    if NAMED in (made.modifier, each.modifier):
        raise ConfigSyntaxError(each.directive.position, "named locations stand in the server alone")
    if each.regex is None and made.regex is None and not each.pattern.startswith(made.pattern):
        raise ConfigSyntaxError(each.directive.position, f"{each} is outside {made}")


def read_locations(rows: list[Directive], kept: Kept | None = None) -> list[Location]:
    """The locations of one block, in order; raises SyntaxFault, or hands it to `kept` and goes on."""
    found: list[Location] = []
    seen: dict[tuple[str, str], Location] = {}
    for row in rows:
        if row.name != "location":
            continue
        try:
            made = read(row, kept)
            # a prefix with and without `^~` is the same location
            key = ("prefix" if made.modifier in (PREFIX, PRIORITY) else made.modifier, made.pattern)
            if made.regex is None and key in seen:
                raise ConfigSyntaxError(
                    row.position, f"{made} stands twice, first at {seen[key].directive.position}"
                )
        except ConfigSyntaxError as fault:
            if kept is None:
                raise
            kept(row, fault)
            continue
        seen.setdefault(key, made)
        found.append(made)
    return found


class LocationMatcher:
    """The locations of one block; prefixes by length, so that the longest is found without trying all."""

    def __init__(self, rows: list[Location]) -> None:
        self._exact = {row.pattern: row for row in rows if row.modifier == EXACT}
        self._prefixes = {row.pattern: row for row in rows if row.modifier in (PREFIX, PRIORITY)}
        self._lengths = sorted({len(pattern) for pattern in self._prefixes}, reverse=True)
        self._regexes = [row for row in rows if row.regex is not None]
        self._named = {row.pattern: row for row in rows if row.modifier == NAMED}
        self._inner = {id(row): LocationMatcher(row.nested) for row in rows if row.nested}

    def named(self, name: str) -> Location | None:
        return self._named.get(name)

    def find(self, uri: str) -> Location | None:
        """`uri`: normalized, without arguments."""
        return self._find(uri)[0]

    def _find(self, uri: str) -> tuple[Location | None, bool]:
        """The location, and whether the search ends with it (no outer regular expression may take over)."""
        if uri in self._exact:
            return self._exact[uri], True
        longest = None
        for length in self._lengths:
            longest = self._prefixes.get(uri[:length]) if length <= len(uri) else None
            if longest is not None:
                break
        best = longest
        if longest is not None and id(longest) in self._inner:
            inner, ends = self._inner[id(longest)]._find(uri)
            if inner is not None:
                best = inner
                if ends:
                    return inner, True
        if longest is not None and longest.modifier == PRIORITY:
            return best, False
        for row in self._regexes:
            if row.matches(uri):
                if id(row) in self._inner:
                    inner, _ = self._inner[id(row)]._find(uri)
                    if inner is not None:
                        return inner, True
                return row, True
        return best, False

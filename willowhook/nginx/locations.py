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

from .syntax import Directive, Place, SyntaxFault

EXACT, PRIORITY, PREFIX, REGEX, REGEX_NOCASE, NAMED = "=", "^~", "", "~", "~*", "@"
KINDS = (EXACT, PRIORITY, REGEX, REGEX_NOCASE)


@dataclass(slots=True)
class Location:
    kind: str
    pattern: str
    directive: Directive
    inner: list[Location] = field(default_factory=list)
    regex: re.Pattern[str] | None = None

    def fits(self, uri: str) -> bool:
        if self.regex is not None:
            return self.regex.search(uri) is not None
        return uri == self.pattern if self.kind == EXACT else uri.startswith(self.pattern)

    def __str__(self) -> str:
        return f"location {self.kind} {self.pattern}".replace("  ", " ")


def compiled(pattern: str, nocase: bool, place: Place) -> re.Pattern[str]:
    """An expression of the language; groups may be named its way.  Raises SyntaxFault."""
    try:
        return re.compile(re.sub(r"\(\?<(?=[A-Za-z_])", "(?P<", pattern), re.IGNORECASE if nocase else 0)
    except (re.error, RecursionError, OverflowError) as fault:
        raise SyntaxFault(place, f"no regular expression: {fault}") from fault


Kept = Callable[[Directive, SyntaxFault], None]


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
        raise SyntaxFault(
            directive.place, f"location has a modifier and a pattern, here are {len(words)} words"
        )
    made = Location(kind, pattern, directive)
    if kind in (REGEX, REGEX_NOCASE):
        made.regex = compiled(pattern, kind == REGEX_NOCASE, directive.args[-1].place)
    made.inner = read_all(directive.block or [], kept)
    for each in list(made.inner):
        try:
            _within(made, each)
        except SyntaxFault as fault:
            if kept is None:
                raise
            kept(each.directive, fault)
            made.inner.remove(each)
    return made


def _within(made: Location, each: Location) -> None:
    """Raises SyntaxFault where `each` cannot stand in `made`."""
    if made.kind == EXACT:
        raise SyntaxFault(each.directive.place, f"a location within {made}, which is exact")
    if NAMED in (made.kind, each.kind):
        raise SyntaxFault(each.directive.place, "named locations stand in the server alone")
    if each.regex is None and made.regex is None and not each.pattern.startswith(made.pattern):
        raise SyntaxFault(each.directive.place, f"{each} is outside {made}")


def read_all(rows: list[Directive], kept: Kept | None = None) -> list[Location]:
    """The locations of one block, in order; raises SyntaxFault, or hands it to `kept` and goes on."""
    found: list[Location] = []
    seen: dict[tuple[str, str], Location] = {}
    for row in rows:
        if row.name != "location":
            continue
        try:
            made = read(row, kept)
            # a prefix with and without `^~` is the same location
            key = ("prefix" if made.kind in (PREFIX, PRIORITY) else made.kind, made.pattern)
            if made.regex is None and key in seen:
                raise SyntaxFault(row.place, f"{made} stands twice, first at {seen[key].directive.place}")
        except SyntaxFault as fault:
            if kept is None:
                raise
            kept(row, fault)
            continue
        seen.setdefault(key, made)
        found.append(made)
    return found


class Matcher:
    """The locations of one block; prefixes by length, so that the longest is found without trying all."""

    def __init__(self, rows: list[Location]) -> None:
        self._exact = {row.pattern: row for row in rows if row.kind == EXACT}
        self._prefixes = {row.pattern: row for row in rows if row.kind in (PREFIX, PRIORITY)}
        self._lengths = sorted({len(pattern) for pattern in self._prefixes}, reverse=True)
        self._regexes = [row for row in rows if row.regex is not None]
        self._named = {row.pattern: row for row in rows if row.kind == NAMED}
        self._inner = {id(row): Matcher(row.inner) for row in rows if row.inner}

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
        if longest is not None and longest.kind == PRIORITY:
            return best, False
        for row in self._regexes:
            if row.fits(uri):
                if id(row) in self._inner:
                    inner, _ = self._inner[id(row)]._find(uri)
                    if inner is not None:
                        return inner, True
                return row, True
        return best, False

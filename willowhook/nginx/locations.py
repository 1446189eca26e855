"""Location matching by nginx's published rules.

An exact match (`=`) ends the search.  Otherwise the longest matching prefix is remembered; if it has `^~`,
regular expressions are not tried.  Without `^~`, regular expressions are tried in the order of the file, and
the first that matches wins; if none does, the remembered prefix wins.  Nested locations are searched within
the chosen one, regular expressions of inner levels before those of outer ones.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field

from .syntax import ConfigSyntaxError, Directive, SourcePosition

EXACT, PRIORITY, PREFIX, REGEX, REGEX_NOCASE, NAMED = "=", "^~", "", "~", "~*", "@"
MODIFIERS = (EXACT, PRIORITY, REGEX, REGEX_NOCASE)


@dataclass(slots=True)
class Location:
    """One `location` block with its modifier, pattern and nested locations."""

    modifier: str
    pattern: str
    directive: Directive
    nested: list[Location] = field(default_factory=list)
    regex: re.Pattern[str] | None = None

    def matches(self, uri: str) -> bool:
        """Whether this location alone matches a normalized URI."""
        if self.regex is not None:
            return self.regex.search(uri) is not None
        return uri == self.pattern if self.modifier == EXACT else uri.startswith(self.pattern)

    def __str__(self) -> str:
        return f"location {self.modifier} {self.pattern}".replace("  ", " ")


def compile_regex(pattern: str, nocase: bool, position: SourcePosition) -> re.Pattern[str]:
    """Compiles an nginx regular expression, with named groups as `(?<name>...)`; raises ConfigSyntaxError."""
    try:
        return re.compile(re.sub(r"\(\?<(?=[A-Za-z_])", "(?P<", pattern), re.IGNORECASE if nocase else 0)
    except (re.error, RecursionError, OverflowError) as error:
        raise ConfigSyntaxError(position, f"invalid regular expression: {error}") from error


ErrorHandler = Callable[[Directive, ConfigSyntaxError], None]


def read_location(directive: Directive, on_error: ErrorHandler | None = None) -> Location:
    """Reads one `location` with its nested locations.

    Raises ConfigSyntaxError, or passes errors of nested locations to `on_error`.
    """
    words = [word.text for word in directive.args]
    if len(words) == 2 and words[0] in MODIFIERS:
        modifier, pattern = words
    elif len(words) == 1:
        modifier, pattern = PREFIX, words[0]
        for candidate in (REGEX_NOCASE, REGEX, PRIORITY, EXACT):  # modifier without a space after it
            if pattern.startswith(candidate) and not directive.args[0].quoted:
                modifier, pattern = candidate, pattern[len(candidate) :]
                break
        if pattern.startswith("@"):
            modifier = NAMED
    else:
        raise ConfigSyntaxError(
            directive.position, f"location takes an optional modifier and a pattern, got {len(words)} words"
        )
    location = Location(modifier, pattern, directive)
    if modifier in (REGEX, REGEX_NOCASE):
        location.regex = compile_regex(pattern, modifier == REGEX_NOCASE, directive.args[-1].position)
    location.nested = read_locations(directive.block or [], on_error)
    for child in list(location.nested):
        try:
            _check_nesting(location, child)
        except ConfigSyntaxError as error:
            if on_error is None:
                raise
            on_error(child.directive, error)
            location.nested.remove(child)
    return location


def _check_nesting(outer: Location, inner: Location) -> None:
    """Raises ConfigSyntaxError if `inner` must not be nested in `outer`."""
    if outer.modifier == EXACT:
        raise ConfigSyntaxError(inner.directive.position, f"a location within {outer}, which is exact")
    if NAMED in (outer.modifier, inner.modifier):
        raise ConfigSyntaxError(inner.directive.position, "named locations are only allowed at server level")
    if inner.regex is None and outer.regex is None and not inner.pattern.startswith(outer.pattern):
        raise ConfigSyntaxError(inner.directive.position, f"{inner} is outside {outer}")


def read_locations(directives: list[Directive], on_error: ErrorHandler | None = None) -> list[Location]:
    """The locations of one block, in order.

    Raises ConfigSyntaxError, or passes it to `on_error` and goes on.
    """
    locations: list[Location] = []
    by_key: dict[tuple[str, str], Location] = {}
    for directive in directives:
        if directive.name != "location":
            continue
        try:
            location = read_location(directive, on_error)
            # A prefix with and without `^~` is the same location.
            key = (
                "prefix" if location.modifier in (PREFIX, PRIORITY) else location.modifier,
                location.pattern,
            )
            if location.regex is None and key in by_key:
                raise ConfigSyntaxError(
                    directive.position,
                    f"{location} is defined twice, first at {by_key[key].directive.position}",
                )
        except ConfigSyntaxError as error:
            if on_error is None:
                raise
            on_error(directive, error)
            continue
        by_key.setdefault(key, location)
        locations.append(location)
    return locations


class LocationMatcher:
    """Finds the location of a URI among those of one block.

    Prefixes are looked up by length, longest first, so that not every prefix is tried.
    """

    def __init__(self, locations: list[Location]) -> None:
        self._exact = {location.pattern: location for location in locations if location.modifier == EXACT}
        self._prefixes = {
            location.pattern: location for location in locations if location.modifier in (PREFIX, PRIORITY)
        }
        self._lengths = sorted({len(pattern) for pattern in self._prefixes}, reverse=True)
        self._regexes = [location for location in locations if location.regex is not None]
        self._named = {location.pattern: location for location in locations if location.modifier == NAMED}
        self._inner = {
            id(location): LocationMatcher(location.nested) for location in locations if location.nested
        }

    def named(self, name: str) -> Location | None:
        """The named location `name`, with its `@`."""
        return self._named.get(name)

    def find(self, uri: str) -> Location | None:
        """The location that serves `uri`, which is normalized and has no arguments."""
        return self._find(uri)[0]

    def _find(self, uri: str) -> tuple[Location | None, bool]:
        """The location, and whether the search ends with it (no outer regular expression may override it)."""
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
        for location in self._regexes:
            if location.matches(uri):
                if id(location) in self._inner:
                    inner, _ = self._inner[id(location)]._find(uri)
                    if inner is not None:
                        return inner, True
                return location, True
        return best, False

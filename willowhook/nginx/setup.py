"""All that routing needs of a configuration: servers, locations, upstreams, choices, what is inherited.

Faults are kept by directive, so that one bad block does not hide what is wrong with the next; `strict` raises
the first.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from .locations import REGEX, REGEX_NOCASE, Location, LocationMatcher, compiled, read_locations
from .syntax import ConfigSyntaxError, Directive, Word
from .syntax import SourcePosition as At
from .upstreams import Retry, Upstream, milliseconds, passed_to, retry_of, upstream_of

USUAL_MS = 60_000  # of proxy_read_timeout and proxy_connect_timeout
URI_VARIABLES = ("$uri", "$request_uri", "$document_uri")
RATE = re.compile(r"rate=(\d+)r/([sm])$")
VARIABLE = re.compile(r"^\$\{?(\w+)\}?$")
MOVED = (301, 302, 303, 307, 308)
NOWHERE = At("-", 1, 1)
AS_IT_CAME = ("$request_uri", "$uri$is_args$args", "$uri?$args")


@dataclass(slots=True)
class Limit:
    """One `limit_req`: its zone's key, and calls a second."""

    key: str
    per_s: float
    directive: Directive


@dataclass(frozen=True, slots=True)
class Manner:
    """How a block passes calls on; an inner block has what it does not say from the outer one."""

    retry: Retry = field(default_factory=Retry)
    retry_from: Directive | None = None  # the directive that says so
    connect_ms: int = USUAL_MS
    read_ms: int = USUAL_MS
    limits: tuple[Limit, ...] = ()


@dataclass(slots=True)
class VariableMapping:
    """`split_clients` or `map`: a variable's value by another's.  Rows: pattern or share, value."""

    kind: str  # split or map
    source: str
    directive: Directive
    rows: list[tuple[str, str, Directive]] = field(default_factory=list)
    usual: str = ""

    def values(self) -> list[str]:
        if self.kind == "split":
            return list(dict.fromkeys(value for value, _ in self.shares()))
        return list(dict.fromkeys([*(value for _, value, _ in self.rows), self.usual]))

    def shares(self) -> list[tuple[str, float]]:
        """Of a split, in order; they come to 1."""
        rows = [(value, float(share[:-1]) / 100) for share, value, _ in self.rows]
        rest = 1 - sum(share for _, share in rows)
        return [*rows, (self.usual, rest)] if rest > 1e-9 else rows


@dataclass(slots=True)
class Target:
    """Where a location's calls go: upstreams with their shares of the calls, or why nowhere known."""

    parts: list[tuple[str, float]] = field(default_factory=list)
    uri: str = ""  # in the place of the location's prefix
    mapping: VariableMapping | None = None  # by which the parts are chosen, call by call
    unknown_reason: str = ""


@dataclass(slots=True)
class LocationConfig:
    """One location with all that holds there."""

    location: Location
    proxy_settings: Manner
    target: Target | None = None  # None: it passes nothing on
    passes: Directive | None = None
    status: int = 0  # it answers by itself
    unsafe: str = ""  # calls could go elsewhere than this says
    nested: list[LocationConfig] = field(default_factory=list)


@dataclass(slots=True)
class ServerBlock:
    names: list[str]
    listens: list[str]
    matcher: LocationMatcher
    block: Directive
    manner: Manner
    locations: list[LocationConfig]
    usual: bool = False  # where no name fits
    by_location: dict[int, LocationConfig] = field(default_factory=dict)
    whole: str = ""  # why none of its locations is ever reached

    def find_location(self, uri: str) -> LocationConfig | None:
        found = self.matcher.find(uri)
        return self.by_location[id(found)] if found is not None else None

    def title(self) -> str:
        return self.names[0] if self.names else ""


class NginxConfig:
    """Of one configuration's top directives."""

    def __init__(self, rows: list[Directive], strict: bool = True) -> None:
        self._strict = strict
        self.errors: dict[int, ConfigSyntaxError] = {}  # by directive
        self.upstreams: dict[str, Upstream] = {}
        self.broken: set[str] = set()  # upstreams that cannot be read
        self.choices: dict[str, VariableMapping] = {}
        self.zones: dict[str, tuple[str, float]] = {}  # of limit_req: key, calls a second
        self.server_blocks: list[ServerBlock] = []
        top = [inner for row in rows for inner in (row.block or [] if row.name == "http" else [row])]
        for row in top:
            if row.name == "upstream":
                self._try(row, self._upstream)
            elif row.name in ("split_clients", "map"):
                self._try(row, self._choice)
            elif row.name == "limit_req_zone":
                self._try(row, self._zone)
        outer = self._manner(top, Manner())
        for row in top:
            if row.name == "server" and row.block is not None:
                self._site(row, outer)

    def _try(self, row: Directive, what: Callable[[Directive], None]) -> None:
        try:
            what(row)
        except ConfigSyntaxError as fault:
            if self._strict:
                raise
            self.errors.setdefault(id(row), fault)

    # What stands beside servers.

    def _upstream(self, row: Directive) -> None:
        try:
            made = upstream_of(row)
        except ConfigSyntaxError:
            self.broken.add(row.arg(0))
            raise
        if made.name in self.upstreams:
            first = self.upstreams[made.name].directive.position
            raise ConfigSyntaxError(row.position, f"upstream {made.name!r} stands twice, first at {first}")
        self.upstreams[made.name] = made

    def _choice(self, row: Directive) -> None:
        if len(row.args) != 2 or row.block is None or not VARIABLE.match(row.arg(1)):
            raise ConfigSyntaxError(row.position, f"{row.name} has a source, a variable and a block")
        kind = "split" if row.name == "split_clients" else "map"
        made = VariableMapping(kind, row.arg(0), row)
        total = 0.0
        for each in row.block:
            if kind == "map" and each.name in ("hostnames", "volatile", "include") and not each.args:
                continue
            if len(each.args) != 1:
                raise ConfigSyntaxError(each.position, f"a row of {row.name} has two words")
            if (kind == "split" and each.name == "*") or (kind == "map" and each.name == "default"):
                made.usual = each.arg(0)
                continue
            if kind == "split":
                if not re.fullmatch(r"\d+(\.\d{1,2})?%", each.name):
                    raise ConfigSyntaxError(each.position, f"{each.name!r} is no share")
                total += float(each.name[:-1])
            made.rows.append((each.name, each.arg(0), each))
        if total > 100:
            raise ConfigSyntaxError(row.position, f"shares of {total:g}% in all")
        self.choices[VARIABLE.sub(r"\1", row.arg(1))] = made

    def _zone(self, row: Directive) -> None:
        told = {word.text.partition("=")[0]: word for word in row.args[1:]}
        rate = RATE.match(told["rate"].text) if "rate" in told else None
        if "zone" not in told or rate is None or not int(rate[1]):
            raise ConfigSyntaxError(
                row.position, "limit_req_zone has a key, zone=NAME:SIZE and rate=Nr/s or Nr/m"
            )
        name = told["zone"].text.partition("=")[2].partition(":")[0]
        self.zones[name] = (row.arg(0), int(rate[1]) / (60 if rate[2] == "m" else 1))

    # Servers and locations.

    def _manner(self, rows: list[Directive], outer: Manner) -> Manner:
        made: dict[str, Any] = {}
        limits: list[Limit] = []
        for row in rows:

            def take(row: Directive = row) -> None:
                if row.name.startswith("proxy_next_upstream"):
                    made["retry"] = retry_of([row], made.get("retry", outer.retry))
                    if row.name == "proxy_next_upstream":
                        made["retry_from"] = row
                elif row.name in ("proxy_connect_timeout", "proxy_read_timeout"):
                    name = "connect_ms" if "connect" in row.name else "read_ms"
                    made[name] = milliseconds(row.args[0] if row.args else Word("", row.position))
                elif row.name == "limit_req":
                    told = dict(word.text.partition("=")[::2] for word in row.args)
                    if told.get("zone", "") not in self.zones:
                        raise ConfigSyntaxError(row.position, f"no limit_req_zone {told.get('zone', '')!r}")
                    limits.append(Limit(*self.zones[told["zone"]], row))

            self._try(row, lambda row, take=take: take())  # type: ignore[misc]
        if limits:
            made["limits"] = tuple(limits)
        return replace(outer, **made)

    def _site(self, row: Directive, outer: Manner) -> None:
        inner = row.block or []
        names = [word.text for each in inner if each.name == "server_name" for word in each.args]
        listens = [each.arg(0) for each in inner if each.name == "listen"]
        usual = any("default_server" in [w.text for w in each.args] for each in inner)
        locations: list[Location] = []
        faults: list[tuple[Directive, ConfigSyntaxError]] = []
        locations = read_locations(
            inner, None if self._strict else lambda at, fault: faults.append((at, fault))
        )
        self.errors.update((id(at), fault) for at, fault in faults)
        manner = self._manner(inner, outer)
        made = ServerBlock(names, listens, LocationMatcher(locations), row, manner, [], usual)
        made.locations = [self._place(each, manner, made) for each in locations]
        stops = [each for each in inner if each.name == "return"]
        if stops:
            made.whole = f"{stops[0].position.line}: the server answers every call itself"
        self.server_blocks.append(made)

    def _place(self, location: Location, outer: Manner, site: ServerBlock) -> LocationConfig:
        rows = location.directive.block or []
        made = LocationConfig(location, self._manner(rows, outer))
        site.by_location[id(location)] = made
        for row in rows:
            if row.name == "proxy_pass":
                made.passes = row
                self._try(row, lambda row: setattr(made, "target", self._target(row, location)))
                if id(row) in self.errors:
                    made.unsafe = "where it passes calls to cannot be read"
            elif row.name == "return":
                code = int(row.arg(0)) if row.arg(0).isdigit() and len(row.arg(0)) == 3 else 404
                made.status = code if 200 <= code < 600 and code not in MOVED else 404
            elif row.name == "if" and _leads(row):
                made.unsafe = f"the condition in line {row.position.line} sends some of its calls elsewhere"
            elif row.name == "rewrite" and row.arg(2) != "break":
                made.unsafe = f"the rewrite in line {row.position.line} sends calls to other locations"
        if made.status:  # `return` acts before anything is passed on
            made.target = None
        made.nested = [self._place(each, made.proxy_settings, site) for each in location.nested]
        return made

    def _target(self, row: Directive, location: Location) -> Target:
        name, uri = passed_to(row)
        if uri and location.modifier in (REGEX, REGEX_NOCASE, "@") and "$" not in uri:
            raise ConfigSyntaxError(row.position, f"proxy_pass has a URI, which {location} cannot take")
        whole, rest = name + uri, ""
        for tail in AS_IT_CAME:
            if whole.endswith(tail) and whole != tail:
                whole, rest = whole[: -len(tail)], tail
                break
        name, slash, uri = whole.partition("/")
        uri = slash + uri
        if rest and uri not in ("", "/"):
            return Target(unknown_reason="a URI made of variables")
        if rest:
            uri = ""
        variable = VARIABLE.match(name)
        if variable is None:
            if "$" in whole:
                return Target(unknown_reason="where it goes is only known at each call")
            return Target([(name, 1.0)], uri)
        choice = self.choices.get(variable[1])
        if choice is None:
            return Target(unknown_reason=f"{name} is set by nothing that is read here")
        if any("$" in value for value in choice.values()):
            return Target(unknown_reason=f"{name} has values that are variables themselves")
        if any(not value for value in choice.values()):
            return Target(unknown_reason=f"{name} has no value for some calls")
        if choice.kind == "split":
            return Target(choice.shares(), uri, choice)
        values = choice.values()
        if len(values) == 1:
            return Target([(values[0], 1.0)], uri, choice)
        if choice.source not in URI_VARIABLES:
            return Target(unknown_reason=f"{name} goes by {choice.source}, and routes go by path alone")
        for pattern, _, each in choice.rows:
            if pattern.startswith("~"):
                compiled(pattern.lstrip("~*"), pattern.startswith("~*"), each.position)
        return Target([(choice.usual, 1.0)], uri, choice)

    # Questions.

    def find_server_block(self, name: str) -> ServerBlock | None:
        """By `server_name`: the exact one, the longest `*.x`, the longest `x.*`, the first expression; else
        the usual one, or the first.
        """
        fits: list[tuple[int, int, int]] = []
        for at, site in enumerate(self.server_blocks):
            for each in site.names:
                if each == name or (each.startswith(".") and name == each[1:]):
                    fits.append((4, len(each), -at))
                elif each.startswith(".") and name.endswith(each):
                    fits.append((3, len(each) + 1, -at))
                elif each.startswith("*.") and name.endswith(each[1:]):
                    fits.append((3, len(each), -at))
                elif each.endswith(".*") and name.startswith(each[:-1]):
                    fits.append((2, len(each), -at))
                elif each.startswith("~") and name and _name_fits(each[1:], name):
                    fits.append((1, 0, -at))
        if fits:
            return self.server_blocks[-max(fits)[2]]
        usual = [site for site in self.server_blocks if site.usual]
        return usual[0] if usual else self.server_blocks[0] if self.server_blocks else None

    def upstream(self, name: str) -> Upstream | None:
        """A named one, or the address that `proxy_pass` gives itself."""
        found = self.upstreams.get(name)
        if found is None:
            try:
                place = NOWHERE
                found = upstream_of(Directive("upstream", [Word(name, place)], place, [
                    Directive("server", [Word(name, place)], place)
                ]))  # fmt: skip
            except ConfigSyntaxError:
                return None
        return found


def _leads(row: Directive) -> bool:
    return any(each.name in ("proxy_pass", "return", "rewrite") for each in row.walk() if each is not row)


def _name_fits(pattern: str, name: str) -> bool:
    try:
        return compiled(pattern, False, NOWHERE).search(name) is not None
    except ConfigSyntaxError:
        return False

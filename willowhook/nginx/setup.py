"""The routing configuration of nginx: servers, locations, upstreams, mapped variables, inherited settings.

Syntax errors are collected by directive, so that one invalid block does not hide errors in the next; with
`strict` the first one is raised.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from .locations import REGEX, REGEX_NOCASE, Location, LocationMatcher, compile_regex, read_locations
from .syntax import ConfigSyntaxError, Directive, Word
from .syntax import SourcePosition as Position
from .upstreams import (
    RetryPolicy,
    Upstream,
    parse_milliseconds,
    parse_proxy_pass,
    parse_retry_policy,
    parse_upstream,
)

DEFAULT_TIMEOUT_MS = 60_000  # nginx's default of proxy_read_timeout and proxy_connect_timeout
URI_VARIABLES = ("$uri", "$request_uri", "$document_uri")
RATE = re.compile(r"rate=(\d+)r/([sm])$")
VARIABLE = re.compile(r"^\$\{?(\w+)\}?$")
REDIRECT_STATUSES = (301, 302, 303, 307, 308)
NO_POSITION = Position("-", 1, 1)
UNCHANGED_URI_SUFFIXES = ("$request_uri", "$uri$is_args$args", "$uri?$args")


@dataclass(slots=True)
class RateLimit:
    """One `limit_req`: the key of its zone, and its rate."""

    key: str
    requests_per_s: float
    directive: Directive


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """Retry policy, timeouts and rate limits of a block; what it does not set is inherited."""

    retry: RetryPolicy = field(default_factory=RetryPolicy)
    retry_from: Directive | None = None  # the proxy_next_upstream directive
    connect_ms: int = DEFAULT_TIMEOUT_MS
    read_ms: int = DEFAULT_TIMEOUT_MS
    limits: tuple[RateLimit, ...] = ()


@dataclass(slots=True)
class VariableMapping:
    """A `split_clients` or `map` block, which sets a variable by the value of `source`.

    An entry holds a pattern (map) or share (split), the value, and its directive.
    """

    kind: str  # split or map
    source: str
    directive: Directive
    entries: list[tuple[str, str, Directive]] = field(default_factory=list)
    default: str = ""

    def values(self) -> list[str]:
        """All values the variable can take."""
        if self.kind == "split":
            return list(dict.fromkeys(value for value, _ in self.shares()))
        return list(dict.fromkeys([*(value for _, value, _ in self.entries), self.default]))

    def shares(self) -> list[tuple[str, float]]:
        """The values of a split with their shares, in order; the shares add up to 1."""
        listed = [(value, float(share[:-1]) / 100) for share, value, _ in self.entries]
        remainder = 1 - sum(share for _, share in listed)
        return [*listed, (self.default, remainder)] if remainder > 1e-9 else listed


@dataclass(slots=True)
class Target:
    """Where a location passes requests: upstreams with their shares, or why that is unknown."""

    parts: list[tuple[str, float]] = field(default_factory=list)
    uri: str = ""  # replaces the location's prefix
    mapping: VariableMapping | None = None  # selects one of the parts for each request
    unknown_reason: str = ""


@dataclass(slots=True)
class LocationConfig:
    """One location with its settings, inherited ones included, and its target."""

    location: Location
    proxy_settings: ProxySettings
    target: Target | None = None  # None: there is no proxy_pass
    proxy_pass: Directive | None = None
    status: int = 0  # of `return`
    unsafe_reason: str = ""  # why requests could go elsewhere than to the target
    nested: list[LocationConfig] = field(default_factory=list)


@dataclass(slots=True)
class ServerBlock:
    """One `server` block with its names and locations."""

    names: list[str]
    listens: list[str]
    matcher: LocationMatcher
    block: Directive
    proxy_settings: ProxySettings
    locations: list[LocationConfig]
    is_default: bool = False  # serves requests whose host matches no server_name
    by_location: dict[int, LocationConfig] = field(default_factory=dict)
    unreachable_reason: str = ""  # why none of its locations is ever reached

    def find_location(self, uri: str) -> LocationConfig | None:
        """The location that serves a normalized URI without arguments."""
        found = self.matcher.find(uri)
        return self.by_location[id(found)] if found is not None else None

    def title(self) -> str:
        """The first server name; empty without one."""
        return self.names[0] if self.names else ""


class NginxConfig:
    """The routing configuration read from the top-level directives."""

    def __init__(self, directives: list[Directive], strict: bool = True) -> None:
        self._strict = strict
        self.errors: dict[int, ConfigSyntaxError] = {}  # by directive
        self.upstreams: dict[str, Upstream] = {}
        self.invalid_upstreams: set[str] = set()  # names of upstreams with syntax errors
        self.mappings: dict[str, VariableMapping] = {}
        self.limit_zones: dict[str, tuple[str, float]] = {}  # limit_req_zone: key, requests per second
        self.server_blocks: list[ServerBlock] = []
        top_level = [
            nested
            for directive in directives
            for nested in (directive.block or [] if directive.name == "http" else [directive])
        ]
        for directive in top_level:
            if directive.name == "upstream":
                self._collect_errors(directive, self._read_upstream)
            elif directive.name in ("split_clients", "map"):
                self._collect_errors(directive, self._read_mapping)
            elif directive.name == "limit_req_zone":
                self._collect_errors(directive, self._read_limit_zone)
        outer = self._read_proxy_settings(top_level, ProxySettings())
        for directive in top_level:
            if directive.name == "server" and directive.block is not None:
                self._read_server_block(directive, outer)

    def _collect_errors(self, directive: Directive, read: Callable[[Directive], None]) -> None:
        try:
            read(directive)
        except ConfigSyntaxError as error:
            if self._strict:
                raise
            self.errors.setdefault(id(directive), error)

    # Directives beside the servers.

    def _read_upstream(self, directive: Directive) -> None:
        try:
            upstream = parse_upstream(directive)
        except ConfigSyntaxError:
            self.invalid_upstreams.add(directive.arg(0))
            raise
        if upstream.name in self.upstreams:
            first = self.upstreams[upstream.name].directive.position
            raise ConfigSyntaxError(
                directive.position, f"upstream {upstream.name!r} stands twice, first at {first}"
            )
        self.upstreams[upstream.name] = upstream

    def _read_mapping(self, directive: Directive) -> None:
        if len(directive.args) != 2 or directive.block is None or not VARIABLE.match(directive.arg(1)):
            raise ConfigSyntaxError(
                directive.position, f"{directive.name} has a source, a variable and a block"
            )
        kind = "split" if directive.name == "split_clients" else "map"
        mapping = VariableMapping(kind, directive.arg(0), directive)
        total = 0.0
        for entry in directive.block:
            if kind == "map" and entry.name in ("hostnames", "volatile", "include") and not entry.args:
                continue
            if len(entry.args) != 1:
                raise ConfigSyntaxError(entry.position, f"a row of {directive.name} has two words")
            if (kind == "split" and entry.name == "*") or (kind == "map" and entry.name == "default"):
                mapping.default = entry.arg(0)
                continue
            if kind == "split":
                if not re.fullmatch(r"\d+(\.\d{1,2})?%", entry.name):
                    raise ConfigSyntaxError(entry.position, f"{entry.name!r} is no share")
                total += float(entry.name[:-1])
            mapping.entries.append((entry.name, entry.arg(0), entry))
        if total > 100:
            raise ConfigSyntaxError(directive.position, f"shares of {total:g}% in all")
        self.mappings[VARIABLE.sub(r"\1", directive.arg(1))] = mapping

    def _read_limit_zone(self, directive: Directive) -> None:
        parameters = {word.text.partition("=")[0]: word for word in directive.args[1:]}
        rate = RATE.match(parameters["rate"].text) if "rate" in parameters else None
        if "zone" not in parameters or rate is None or not int(rate[1]):
            raise ConfigSyntaxError(
                directive.position, "limit_req_zone has a key, zone=NAME:SIZE and rate=Nr/s or Nr/m"
            )
        name = parameters["zone"].text.partition("=")[2].partition(":")[0]
        self.limit_zones[name] = (directive.arg(0), int(rate[1]) / (60 if rate[2] == "m" else 1))

    # Servers and locations.

    def _read_proxy_settings(self, directives: list[Directive], outer: ProxySettings) -> ProxySettings:
        settings: dict[str, Any] = {}
        limits: list[RateLimit] = []
        for directive in directives:

            def read_setting(directive: Directive = directive) -> None:
                if directive.name.startswith("proxy_next_upstream"):
                    settings["retry"] = parse_retry_policy([directive], settings.get("retry", outer.retry))
                    if directive.name == "proxy_next_upstream":
                        settings["retry_from"] = directive
                elif directive.name in ("proxy_connect_timeout", "proxy_read_timeout"):
                    name = "connect_ms" if "connect" in directive.name else "read_ms"
                    settings[name] = parse_milliseconds(
                        directive.args[0] if directive.args else Word("", directive.position)
                    )
                elif directive.name == "limit_req":
                    parameters = dict(word.text.partition("=")[::2] for word in directive.args)
                    if parameters.get("zone", "") not in self.limit_zones:
                        raise ConfigSyntaxError(
                            directive.position, f"no limit_req_zone {parameters.get('zone', '')!r}"
                        )
                    limits.append(RateLimit(*self.limit_zones[parameters["zone"]], directive))

            self._collect_errors(directive, lambda directive, read_setting=read_setting: read_setting())  # type: ignore[misc]
        if limits:
            settings["limits"] = tuple(limits)
        return replace(outer, **settings)

    def _read_server_block(self, directive: Directive, outer: ProxySettings) -> None:
        children = directive.block or []
        names = [word.text for child in children if child.name == "server_name" for word in child.args]
        listens = [child.arg(0) for child in children if child.name == "listen"]
        is_default = any("default_server" in [w.text for w in child.args] for child in children)
        locations: list[Location] = []
        errors: list[tuple[Directive, ConfigSyntaxError]] = []
        locations = read_locations(
            children, None if self._strict else lambda failed, error: errors.append((failed, error))
        )
        self.errors.update((id(failed), error) for failed, error in errors)
        settings = self._read_proxy_settings(children, outer)
        server_block = ServerBlock(
            names, listens, LocationMatcher(locations), directive, settings, [], is_default
        )
        server_block.locations = [
            self._read_location_config(child, settings, server_block) for child in locations
        ]
        returns = [child for child in children if child.name == "return"]
        if returns:
            server_block.unreachable_reason = (
                f"{returns[0].position.line}: the server answers every call itself"
            )
        self.server_blocks.append(server_block)

    def _read_location_config(
        self, location: Location, outer: ProxySettings, server_block: ServerBlock
    ) -> LocationConfig:
        directives = location.directive.block or []
        config = LocationConfig(location, self._read_proxy_settings(directives, outer))
        server_block.by_location[id(location)] = config
        for directive in directives:
            if directive.name == "proxy_pass":
                config.proxy_pass = directive
                self._collect_errors(
                    directive,
                    lambda directive: setattr(config, "target", self._read_target(directive, location)),
                )
                if id(directive) in self.errors:
                    config.unsafe_reason = "where it passes calls to cannot be read"
            elif directive.name == "return":
                status = (
                    int(directive.arg(0))
                    if directive.arg(0).isdigit() and len(directive.arg(0)) == 3
                    else 404
                )
                config.status = status if 200 <= status < 600 and status not in REDIRECT_STATUSES else 404
            elif directive.name == "if" and _redirects_requests(directive):
                config.unsafe_reason = (
                    f"the condition in line {directive.position.line} sends some of its calls elsewhere"
                )
            elif directive.name == "rewrite" and directive.arg(2) != "break":
                config.unsafe_reason = (
                    f"the rewrite in line {directive.position.line} sends calls to other locations"
                )
        if config.status:  # `return` acts before proxy_pass
            config.target = None
        config.nested = [
            self._read_location_config(nested, config.proxy_settings, server_block)
            for nested in location.nested
        ]
        return config

    def _read_target(self, directive: Directive, location: Location) -> Target:
        name, uri = parse_proxy_pass(directive)
        if uri and location.modifier in (REGEX, REGEX_NOCASE, "@") and "$" not in uri:
            raise ConfigSyntaxError(directive.position, f"proxy_pass has a URI, which {location} cannot take")
        destination, uri_suffix = name + uri, ""
        for suffix in UNCHANGED_URI_SUFFIXES:
            if destination.endswith(suffix) and destination != suffix:
                destination, uri_suffix = destination[: -len(suffix)], suffix
                break
        name, slash, uri = destination.partition("/")
        uri = slash + uri
        if uri_suffix and uri not in ("", "/"):
            return Target(unknown_reason="a URI made of variables")
        if uri_suffix:
            uri = ""
        variable = VARIABLE.match(name)
        if variable is None:
            if "$" in destination:
                return Target(unknown_reason="where it goes is only known at each call")
            return Target([(name, 1.0)], uri)
        mapping = self.mappings.get(variable[1])
        if mapping is None:
            return Target(unknown_reason=f"{name} is set by nothing that is read here")
        if any("$" in value for value in mapping.values()):
            return Target(unknown_reason=f"{name} has values that are variables themselves")
        if any(not value for value in mapping.values()):
            return Target(unknown_reason=f"{name} has no value for some calls")
        if mapping.kind == "split":
            return Target(mapping.shares(), uri, mapping)
        values = mapping.values()
        if len(values) == 1:
            return Target([(values[0], 1.0)], uri, mapping)
        if mapping.source not in URI_VARIABLES:
            return Target(unknown_reason=f"{name} goes by {mapping.source}, and routes go by path alone")
        for pattern, _, entry in mapping.entries:
            if pattern.startswith("~"):
                compile_regex(pattern.lstrip("~*"), pattern.startswith("~*"), entry.position)
        return Target([(mapping.default, 1.0)], uri, mapping)

    # Lookups.

    def find_server_block(self, name: str) -> ServerBlock | None:
        """The server block for a host name.

        In this order: the exact `server_name`, the longest `*.x`, the longest `x.*`, the first regular
        expression, the default server, the first server.
        """
        candidates: list[tuple[int, int, int]] = []
        for index, server_block in enumerate(self.server_blocks):
            for server_name in server_block.names:
                if server_name == name or (server_name.startswith(".") and name == server_name[1:]):
                    candidates.append((4, len(server_name), -index))
                elif server_name.startswith(".") and name.endswith(server_name):
                    candidates.append((3, len(server_name) + 1, -index))
                elif server_name.startswith("*.") and name.endswith(server_name[1:]):
                    candidates.append((3, len(server_name), -index))
                elif server_name.endswith(".*") and name.startswith(server_name[:-1]):
                    candidates.append((2, len(server_name), -index))
                elif server_name.startswith("~") and name and _server_name_matches(server_name[1:], name):
                    candidates.append((1, 0, -index))
        if candidates:
            return self.server_blocks[-max(candidates)[2]]
        defaults = [server_block for server_block in self.server_blocks if server_block.is_default]
        return defaults[0] if defaults else self.server_blocks[0] if self.server_blocks else None

    def upstream(self, name: str) -> Upstream | None:
        """A named upstream, or one made of the address that `proxy_pass` gives instead of a name."""
        upstream = self.upstreams.get(name)
        if upstream is None:
            try:
                position = NO_POSITION
                upstream = parse_upstream(Directive("upstream", [Word(name, position)], position, [
                    Directive("server", [Word(name, position)], position)
                ]))  # fmt: skip
            except ConfigSyntaxError:
                return None
        return upstream


def _redirects_requests(directive: Directive) -> bool:
    return any(
        child.name in ("proxy_pass", "return", "rewrite")
        for child in directive.walk()
        if child is not directive
    )


def _server_name_matches(pattern: str, name: str) -> bool:
    try:
        return compile_regex(pattern, False, NO_POSITION).search(name) is not None
    except ConfigSyntaxError:
        return False

"""Plans an import: routes, endpoints with tiers and weights, closed paths, the outcome of each directive.

No I/O.  Whatever could execute a request twice, or send requests to endpoints that never received them, is
refused and left out of the result; whatever is imported with a difference is reported.
"""

from __future__ import annotations

import difflib
import math
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..config.terms import ClosedTerms, Match, PathTerms, RouteTerms, Semantics
from .flat import MATCH_BELOW, MATCH_PREFIX, MATCH_REGEX, Entry, Flattener, routing_differences
from .setup import LocationConfig, NginxConfig, ServerBlock, Target, VariableMapping
from .syntax import Directive
from .upstreams import Upstream, UpstreamServer

CARRIED, DIFFERS, NOT_CARRIED, REFUSED = "carried", "carried, differs", "not carried", "refused"
MAX_ROUTES, MAX_WEIGHT = 64, 65_535
UNAVAILABLE_STATUS = 503  # for requests whose endpoints are unknown or refused
# Hash keys of routes by nginx variable
HASH_KEYS = {"$remote_addr": "source_ip", "$binary_remote_addr": "source_ip", "$request_uri": "header::path"}
CONSTANT_VARIABLES = ("$server_name", "$server_addr", "$server_port")  # equal for all requests of a server
# The pattern of a `rewrite` that replaces a path prefix, the only kind that routes can express
PREFIX_REWRITE_REGEX = re.compile(r"^\^(/[\w/.-]*)\(\.\*\)\$?$")
# `fleet.pick` by the load balancing method of an upstream
PICK_BY_LOAD_BALANCING = {"wheel": "wheel", "pair": "pair", "lottery": "lottery",
                          "hash": "pair", "ip_hash": "pair"}  # fmt: skip


class ImportPlanError(Exception):
    """The configuration as a whole cannot become one service; the message says why and what would help."""


@dataclass(frozen=True, slots=True)
class ImportOptions:
    """What the operator gives besides the configuration."""

    server_name: str = ""  # of the server to import
    mutating: tuple[str, ...] = ()
    repeatable: tuple[str, ...] = ()
    keyed: tuple[tuple[str, int], ...] = ()  # path and deduplication window, ms
    slo_ms: int = 1000
    zone: str = "here"

    def declared_paths(self) -> tuple[str, ...]:
        """The paths whose semantics the operator gave."""
        return (*self.mutating, *self.repeatable, *(path for path, _ in self.keyed))

    def semantics(self, path: str) -> tuple[Semantics | None, int]:
        """Semantics and window of the longest declared path at or above `path`; None if there is none."""
        candidates: list[tuple[str, Semantics, int]] = [
            (declared, "mutating", 0) for declared in self.mutating
        ]
        candidates += [(declared, "repeatable", 0) for declared in self.repeatable]
        candidates += [(declared, "keyed", window_ms) for declared, window_ms in self.keyed]
        matching = [
            candidate
            for candidate in candidates
            if path == candidate[0] or path.startswith(candidate[0].rstrip("/") + "/")
        ]
        return max(matching, key=lambda candidate: len(candidate[0]))[1:] if matching else (None, 0)


@dataclass(slots=True)
class ListedEndpoint:
    """An endpoint as the endpoint list has it, and the groups in which it serves."""

    address: str
    port: int
    weight: float
    tier: int
    draining: bool
    groups: list[str] = field(default_factory=list)

    @property
    def id(self) -> str:
        """Address and port; names the endpoint in tables and in the endpoint list."""
        return f"{self.address}:{self.port}"


@dataclass(slots=True)
class Group:
    """The endpoints of one target, under a name."""

    name: str
    pick: str
    hash_by: str  # key of a consistent hash ring; empty without one
    rows: list[tuple[str, float, int, bool]]  # endpoint, weight in this group, tier, draining


@dataclass(frozen=True, slots=True)
class RouteKey:
    """What paths must have in common to share one route."""

    group: str
    semantics: Semantics
    window_ms: int  # of keyed semantics
    time_limit_ms: float
    requests_per_s: float  # 0: no limit
    retries_disabled: bool  # of `proxy_next_upstream off`
    hash_by: str  # key of a consistent hash ring; empty without one


class ImportPlan:
    """The import of one server of a configuration; made completely by the constructor."""

    def __init__(self, config: NginxConfig, options: ImportOptions) -> None:
        self.config, self.options = config, options
        self.outcomes: dict[int, tuple[str, str]] = {}  # by directive: outcome and reason
        self.remarks: list[str] = []
        self.dropped_locations: set[int] = set()  # ids of location directives of which nothing is imported
        self.endpoints: dict[str, ListedEndpoint] = {}
        self.groups: dict[str, Group] = {}
        self.routes: list[RouteTerms] = []
        self.closed_paths: list[ClosedTerms] = []
        self.group_of: dict[str, str] = {}  # group name by route name
        self.connect_ms = self.slow_start_ms = self.max_failures = 0
        self.server_block = self._select_server_block()
        self._used_upstreams: set[str] = set()  # names of upstreams that some route uses
        self._primary_endpoints: set[str] = set()  # endpoints that are no backups in some route
        self._weight_scales: dict[str, float] = {}  # upstreams' weight factors that keep split shares
        if self.server_block is not None:
            self._record_locations(self.server_block.locations)
            self._scale_splits(self.server_block.locations)
            self._check_declared_paths()
            entries = self._build_entries(self.server_block)
            self._build_routes(entries)
            self._finish_endpoints()
        self._record_unused_upstreams()

    # Choice of the server.

    def _select_server_block(self) -> ServerBlock | None:
        server_blocks = self.config.server_blocks
        if self.options.server_name:
            selected = self.config.find_server_block(self.options.server_name)
        else:
            passing = [
                server_block
                for server_block in server_blocks
                if any(_passes_requests(location) for location in server_block.locations)
            ]
            if len(passing) > 1:
                names = ", ".join(
                    server_block.title() or f"line {server_block.block.position.line}"
                    for server_block in passing
                )
                text = "one service is one server, and here are several: name one with --host"
                self.remarks.append(f"{text}: {names}")
            selected = passing[0] if passing else server_blocks[0] if server_blocks else None
        for server_block in server_blocks:
            if server_block is not selected:
                title = f" {server_block.title()}" if server_block.title() else ""
                self._record_subtree(
                    server_block.block, NOT_CARRIED, f"of another server:{title or ' without a name'}"
                )
        if selected is not None and selected.unreachable_reason:
            self._record_subtree(selected.block, NOT_CARRIED, f"line {selected.unreachable_reason}")
            return None
        return selected

    def server_ambiguity(self) -> str:
        """The remark that several servers could be imported; empty if the choice is unique."""
        return next((text for text in self.remarks if text.startswith("one service is one")), "")

    # Outcomes of directives.

    def record(self, directive: Directive | None, outcome: str, reason: str) -> None:
        """Records a directive's outcome.

        The most severe outcome wins; reasons of equal outcomes are joined.
        """
        if directive is None:
            return
        severity = (CARRIED, DIFFERS, NOT_CARRIED, REFUSED)
        previous = self.outcomes.get(id(directive))
        if previous is None or severity.index(outcome) > severity.index(previous[0]):
            self.outcomes[id(directive)] = (outcome, reason)
        elif outcome == previous[0] and reason and reason not in previous[1]:
            self.outcomes[id(directive)] = (outcome, f"{previous[1]}; {reason}" if previous[1] else reason)

    def _record_subtree(self, directive: Directive, outcome: str, reason: str) -> None:
        for descendant in directive.walk():
            self.outcomes[id(descendant)] = (outcome, reason)

    # Locations.

    def _record_locations(self, configs: Iterable[LocationConfig]) -> None:
        for location_config in configs:
            self._record_location(location_config)
            self._record_locations(location_config.nested)

    def _record_location(self, location_config: LocationConfig) -> None:
        directive = location_config.location.directive
        if location_config.unsafe_reason:
            text = f"{location_config.unsafe_reason}: its calls get {UNAVAILABLE_STATUS}, and no host"
            self.record(directive, REFUSED, text)
            self.dropped_locations.add(id(directive))
            return
        if location_config.location.modifier == "@":
            self.record(directive, NOT_CARRIED, "no call asks for it by its path")
            self.dropped_locations.add(id(directive))
            return
        if location_config.status and location_config.proxy_pass is not None:
            self.record(
                location_config.proxy_pass, NOT_CARRIED, "the location answers before it passes anything on"
            )
        if location_config.target is None and not location_config.status:
            self.record(
                directive,
                NOT_CARRIED,
                "it passes nothing on: its calls get 404, and no other location's hosts",
            )
        elif location_config.target is not None and location_config.target.unknown_reason:
            self._drop_location(location_config, "target unknown")
            self.record(location_config.proxy_pass, NOT_CARRIED, location_config.target.unknown_reason)
        elif location_config.target is not None:
            parts = location_config.target.parts
            missing = [
                name
                for name, _ in parts
                if name in self.config.invalid_upstreams or self.config.upstream(name) is None
            ]
            if missing:
                self.record(
                    location_config.proxy_pass,
                    REFUSED,
                    f"there is no upstream {missing[0]!r} that can be read",
                )
                location_config.target = Target(unknown_reason=f"no upstream {missing[0]!r}")
                self._drop_location(location_config, f"there is no upstream {missing[0]!r}")
            else:
                self._record_proxy_pass(location_config)
            self._record_rate_limits(location_config)

    def _drop_location(self, location_config: LocationConfig, reason: str) -> None:
        self.record(
            location_config.location.directive, NOT_CARRIED, f"its calls get {UNAVAILABLE_STATUS}: {reason}"
        )
        self.dropped_locations.add(id(location_config.location.directive))

    def _record_proxy_pass(self, location_config: LocationConfig) -> None:
        directive, target = location_config.proxy_pass, location_config.target
        assert directive is not None and target is not None
        if not directive.arg(0).startswith("http://"):
            self.record(directive, DIFFERS, "hosts are spoken to without TLS")
        mapping = target.mapping
        for name, _ in target.parts:
            if name not in self.config.upstreams:
                close_names = difflib.get_close_matches(name, self.config.upstreams, 1, 0.7)
                suggestion = f"; is {close_names[0]!r} meant?" if close_names else ""
                self.record(
                    directive, CARRIED, f"no upstream is named {name!r}: a host of that address{suggestion}"
                )
        if mapping is not None and mapping.kind == "split":
            self.record(directive, DIFFERS, "shares of calls: a caller may meet another share each time")
            self.record(mapping.directive, DIFFERS, f"shares of calls, not of {mapping.source}")
            for _, _, entry in mapping.entries:
                self.record(entry, CARRIED, "")
        elif mapping is not None:
            self.record(mapping.directive, CARRIED, "")
        self.record(directive, CARRIED, "")

    def _record_rate_limits(self, location_config: LocationConfig) -> None:
        for limit in location_config.proxy_settings.limits:
            constant = "$" not in limit.key or limit.key in CONSTANT_VARIABLES
            if constant:
                text = f"a cap of {limit.requests_per_s:g} calls/s at each proxy, not for all together"
                self.record(limit.directive, DIFFERS, text)
            else:
                text = f"no cap for each {limit.key}: under load routes are throttled by importance"
                self.record(limit.directive, NOT_CARRIED, text)

    def _check_declared_paths(self) -> None:
        server_block = self.server_block
        assert server_block is not None
        for path in self.options.declared_paths():
            if server_block.find_location(path) is None and server_block.find_location(path + "/x") is None:
                self.remarks.append(f"{path}: no location serves it")

    # Entries of the first-match list.

    def _build_entries(self, server_block: ServerBlock) -> list[Entry]:
        flattener = Flattener(server_block, self.options.declared_paths())
        entries = flattener.entries()
        for location_config, reason in flattener.inexpressible:
            text = f"regex unsupported: it {reason}; its calls would go elsewhere"
            self.record(location_config.location.directive, REFUSED, text)
            self.dropped_locations.add(id(location_config.location.directive))
        self._record_nested_in_regexes(server_block.locations)
        recorded = set[int]()
        for uri, location_config, entry in routing_differences(
            server_block, entries, self.options.declared_paths()
        ):
            directive = location_config.location.directive
            if id(directive) in recorded or any(
                location_config is known for known, _ in flattener.inexpressible
            ):
                continue
            recorded.add(id(directive))
            same = _routing_effect(location_config) == _routing_effect(entry.location_config)
            text = f"{uri} falls to {entry.location_config.location} here"
            self.record(
                directive, DIFFERS if same else REFUSED, text + (", which goes the same way" if same else "")
            )
        return entries

    def _record_nested_in_regexes(
        self, configs: Iterable[LocationConfig], enclosing: LocationConfig | None = None
    ) -> None:
        """A list cannot express locations nested in a regex location: the outer one serves their requests."""
        for location_config in configs:
            if enclosing is not None:
                directive, same = (
                    location_config.location.directive,
                    _routing_effect(location_config) == _routing_effect(enclosing),
                )
                if not same:
                    self.dropped_locations.add(id(directive))
                text = f"its calls are handled by the enclosing location, {enclosing.location}"
                self.record(directive, DIFFERS if same else REFUSED, text)
            nested_in = location_config if location_config.location.regex is not None else enclosing
            self._record_nested_in_regexes(location_config.nested, nested_in)

    def _entry_semantics(self, entry: Entry) -> tuple[Semantics | None, int]:
        location = entry.location_config.location
        if entry.declared:
            return self.options.semantics(entry.declared)
        if location.regex is not None:
            mutating = [path for path in self.options.mutating if _may_match(location.regex, path)]
            if mutating:
                return "mutating", 0
            declared = {
                self.options.semantics(path)
                for path in self.options.declared_paths()
                if location.regex.search(path)
            }
            return declared.pop() if len(declared) == 1 else (None, 0)
        return self.options.semantics(location.pattern.rstrip("/") or "/")

    # Routes.

    def _build_routes(self, entries: list[Entry]) -> None:
        grouped: dict[RouteKey, list[PathTerms]] = {}
        for order, entry in enumerate(entries):
            route = self._route_key(entry)
            match, order_number = _match_kind(entry.match), min(order, 99_999)
            if isinstance(route, int):
                self.closed_paths.append(
                    ClosedTerms(path=entry.path, match=match, order=order_number, status=route)
                )
            else:
                key, rewrite = route
                path = PathTerms(path=entry.path, match=match, order=order_number, rewrite=rewrite)
                grouped.setdefault(key, []).append(path)
        if len(grouped) > MAX_ROUTES:
            text = f"{len(grouped)} routes differ by hosts, semantics or limits, and {MAX_ROUTES} are served"
            raise ImportPlanError(f"{text}: import the servers one by one, or fewer locations")
        names = set[str]()
        for key, paths in grouped.items():
            first, *more = paths
            keyed = key.semantics == "keyed"
            name = _unique_name(
                key.group if key.semantics == "mutating" else f"{key.group}-{key.semantics}", names
            )
            self.group_of[name] = key.group
            self.routes.append(RouteTerms(
                name=name, path=first.path, match=first.match, order=first.order, rewrite=first.rewrite,
                more=tuple(more), hash_by=key.hash_by, tries=0 if key.retries_disabled else 3,
                most_per_s=key.requests_per_s,
                slo_time_ms=min(self.options.slo_ms, key.time_limit_ms), time_limit_ms=key.time_limit_ms,
                semantics=key.semantics, writes=key.semantics != "repeatable",
                group="all" if keyed else "", window_ms=key.window_ms if keyed else 0,
            ))  # fmt: skip
        if self.routes:
            self.remarks.append(f"slo_time_ms is not in the source: {self.options.slo_ms} or the time limit")
            self.remarks.append("importance is not in the source: 1 for every route")

    def _route_key(self, entry: Entry) -> tuple[RouteKey, str] | int:
        """The entry's route and the rewrite of its path; or the status with which the path is closed."""
        location_config, target = entry.location_config, entry.location_config.target
        if location_config.unsafe_reason or target is None or target.unknown_reason:
            return location_config.status or (
                404 if target is None and not location_config.unsafe_reason else UNAVAILABLE_STATUS
            )
        rewrite = self._prefix_rewrite(location_config, entry, target)
        if rewrite is None:
            self._drop_location(location_config, "rewrite not expressible")
            return UNAVAILABLE_STATUS
        group = self._build_group(
            [(entry.mapped_upstream, 1.0)] if entry.mapped_upstream else target.parts, location_config
        )
        if group is None:
            self._drop_location(location_config, "no host is left for them")
            return UNAVAILABLE_STATUS
        semantics, window_ms = self._entry_semantics(entry)
        self._record_retry(entry, semantics)
        limits = location_config.proxy_settings.limits
        rates = [
            limit.requests_per_s
            for limit in limits
            if "$" not in limit.key or limit.key in CONSTANT_VARIABLES
        ]
        key = RouteKey(group.name, semantics or "mutating", window_ms,
                       self._time_limit_ms(location_config), min(rates, default=0.0),
                       location_config.proxy_settings.retry.disabled, group.hash_by)  # fmt: skip
        return key, rewrite

    def _prefix_rewrite(self, location_config: LocationConfig, entry: Entry, target: Target) -> str | None:
        """What replaces the matched path, empty for nothing; None if that cannot be expressed."""
        location = location_config.location
        rewrites = [rewrite for rewrite in location.directive.block or [] if rewrite.name == "rewrite"]
        uri = target.uri
        if rewrites:
            rewrite = rewrites[0]
            match = PREFIX_REWRITE_REGEX.match(rewrite.arg(0))
            is_supported = (
                match is not None and len(rewrites) == 1 and not uri and rewrite.arg(1).endswith("$1")
            )
            if (
                not is_supported
                or match is None
                or match[1] != location.pattern
                or "$" in rewrite.arg(1)[:-2]
            ):
                self.record(
                    rewrite,
                    REFUSED,
                    f"rewrite not expressible: its calls get {UNAVAILABLE_STATUS}",
                )
                return None
            self.record(rewrite, CARRIED, "")
            uri = rewrite.arg(1)[:-2]
        if not uri:
            return ""
        if entry.match == MATCH_REGEX:
            self.record(
                location_config.proxy_pass,
                REFUSED,
                f"an expression has no prefix to replace: its calls get {UNAVAILABLE_STATUS}",
            )
            return None
        # A declared path, or one that a map selects, is longer than the prefix that is replaced.
        return uri + entry.path[len(location.pattern) :] if location.regex is None else None

    def _time_limit_ms(self, location_config: LocationConfig) -> float:
        settings = location_config.proxy_settings
        retry_timeout_ms = settings.retry.timeout_ms
        self.connect_ms = min(self.connect_ms or settings.connect_ms, settings.connect_ms)
        return float(
            max(1, min(settings.read_ms, retry_timeout_ms) if retry_timeout_ms else settings.read_ms)
        )

    def _record_retry(self, entry: Entry, semantics: Semantics | None) -> None:
        retry, directive = (
            entry.location_config.proxy_settings.retry,
            entry.location_config.proxy_settings.retry_from,
        )
        if directive is None:
            return
        path = entry.declared or entry.location_config.location.pattern
        if retry.disabled:
            self.record(directive, CARRIED, "")
        elif semantics == "mutating" and retry.non_idempotent and retry.retried_conditions():
            conditions = ", ".join(retry.retried_conditions())
            paths = self._mutating_paths(entry) or path
            text = f"calls of {paths} could have their effect twice after {conditions}"
            self.record(directive, REFUSED, text)
        elif semantics == "repeatable":
            self.record(
                directive, DIFFERS, f"{path}: after any failure, not only after {', '.join(retry.conditions)}"
            )
        else:
            hint = "" if semantics else " (say --repeatable if they may run twice)"
            text = f"calls of {path} are tried once more only after proof that none ran{hint}"
            self.record(directive, DIFFERS, text)

    def _mutating_paths(self, entry: Entry) -> str:
        location = entry.location_config.location
        if location.regex is not None:
            return ", ".join(path for path in self.options.mutating if _may_match(location.regex, path))
        return entry.declared or ", ".join(
            path for path in self.options.mutating if location.pattern.startswith(path)
        )

    # Groups and endpoints.

    def _scale_splits(self, configs: Iterable[LocationConfig]) -> None:
        """Brings the weights of upstreams that share requests to one scale.

        An endpoint has one weight in the endpoint list, whatever the route.
        """
        for location_config in configs:
            target = location_config.target
            for name, _ in target.parts if target is not None and not target.unknown_reason else ():
                upstream = self.config.upstream(name)
                primaries = upstream.primaries() if upstream is not None else []
                self._primary_endpoints.update(f"{server.address}:{server.port}" for server in primaries)
            if (
                target is not None
                and not target.unknown_reason
                and len(target.parts) > 1
                and not location_config.unsafe_reason
            ):
                self._scale_split(target)
            self._scale_splits(location_config.nested)

    def _scale_split(self, target: Target) -> None:
        scales = {}
        for name, share in target.parts:
            upstream = self.config.upstream(name)
            if upstream is not None and share > 0:
                total = sum(server.weight for server in upstream.primaries() or upstream.backups()) or 1
                scales[name] = share / total * 1000
        scaled = [name for name in scales if name in self._weight_scales]
        factor = self._weight_scales[scaled[0]] / scales[scaled[0]] if scaled else 1.0
        for name, scale in scales.items():
            if name not in self._weight_scales:
                self._weight_scales[name] = scale * factor
            elif not math.isclose(self._weight_scales[name], scale * factor) and target.mapping is not None:
                text = f"{name} stands in two splits that differ: a host has one weight for all routes"
                self.record(target.mapping.directive, DIFFERS, text)

    def _build_group(self, parts: list[tuple[str, float]], location_config: LocationConfig) -> Group | None:
        parts = [(name, share) for name, share in parts if share > 0]
        key = " ".join(f"{name}={share:.4f}" if len(parts) > 1 else name for name, share in parts)
        if key in self.groups:
            return self.groups[key]
        upstreams: list[Upstream] = []
        for name, _ in parts:
            upstream = self.config.upstream(name)
            if upstream is None:
                self.record(
                    location_config.proxy_pass, REFUSED, f"there is no upstream {name!r} that can be read"
                )
                return None
            upstreams.append(upstream)
            self._used_upstreams.add(name)
        members: dict[str, tuple[str, float, int, bool]] = {}
        has_primaries = all(any(not listed.backup for listed in upstream.servers) for upstream in upstreams)
        for (name, share), upstream in zip(parts, upstreams, strict=True):
            total = sum(server.weight for server in upstream.primaries() or upstream.backups()) or 1
            for server in upstream.servers:
                group_weight = (
                    server.weight * share / total * 1000 if len(parts) > 1 else float(server.weight)
                )
                self._add_server(
                    server,
                    members,
                    server.weight * self._weight_scales.get(name, 1.0),
                    has_primaries,
                    group_weight,
                )
        if not members:
            return None
        taken_names = {existing.name for existing in self.groups.values()}
        name = _unique_name("-".join(name for name, _ in parts), taken_names)
        hash_by = self._ring_key(upstreams)
        pick = (
            PICK_BY_LOAD_BALANCING[upstreams[0].load_balancing]
            if len({candidate.load_balancing for candidate in upstreams}) == 1
            else "pair"
        )
        group = self.groups[key] = Group(name, pick, hash_by, list(members.values()))
        return group

    def _ring_key(self, upstreams: list[Upstream]) -> str:
        """The hash key in the form that proxies read; empty without a consistent hash ring."""
        hash_by = ""
        for upstream in upstreams:
            hash_directives = [
                directive
                for directive in upstream.directive.block or []
                if directive.name in ("hash", "ip_hash")
            ]
            if not hash_directives:
                continue
            hash_by = _hash_key(upstream.hash_key)
            difference = "the same spread; which key goes where differs"
            if not hash_by:
                self.record(
                    hash_directives[0],
                    NOT_CARRIED,
                    f"proxies have no key {upstream.hash_key!r}: the less loaded of two hosts",
                )
            elif len(upstreams) > 1:
                self.record(
                    hash_directives[0], DIFFERS, "where calls are split first: the less loaded of two hosts"
                )
                hash_by = ""
            elif upstream.consistent_hash:
                self.record(hash_directives[0], DIFFERS, f"a ring by {hash_by}: {difference}")
            else:
                self.record(
                    hash_directives[0],
                    DIFFERS,
                    f"a ring by {hash_by}: {difference}, and fewer move when hosts change",
                )
        return hash_by

    def _add_server(
        self,
        server: UpstreamServer,
        members: dict[str, tuple[str, float, int, bool]],
        weight: float,
        has_primaries: bool,
        group_weight: float,
    ) -> None:
        tier = 1 if server.backup and has_primaries else 0
        name, directive = f"{server.address}:{server.port}", server.directive
        if tier and name in self._primary_endpoints:
            self.record(
                directive,
                NOT_CARRIED,
                f"{name} is no backup for another upstream, and a host is one or the other",
            )
            return
        if name in members:
            previous = members[name]
            members[name] = (
                name,
                previous[1] + group_weight,
                min(previous[2], tier),
                previous[3] and server.down,
            )
            self.record(directive, DIFFERS, f"{name} stands twice: one host with both weights")
            return
        endpoint = self.endpoints.get(name)
        if endpoint is not None and not math.isclose(endpoint.weight, weight):
            self.record(directive, DIFFERS, f"{name} has one weight for all routes, {endpoint.weight:g}")
        if endpoint is not None and endpoint.draining != server.down:
            self.record(directive, DIFFERS, f"{name} is down for one upstream and is used by none")
            endpoint.draining = True
        if endpoint is None:
            endpoint = ListedEndpoint(server.address, server.port, weight, tier, server.down)
            self.endpoints[name] = endpoint
        members[name] = (name, group_weight, tier, endpoint.draining)
        self._record_server(server)

    def _record_server(self, server: UpstreamServer) -> None:
        directive, differences = server.directive, []
        if server.down:
            self.record(directive, CARRIED, "listed as draining")
        if server.backup:
            differences.append(
                "serves only when no other host of its upstream is open and answers, and 5 s longer"
            )
        if server.max_conns:
            differences.append(f"max_conns {server.max_conns}: no cap on connections; levels bound calls")
        if server.slow_start_ms:
            self.slow_start_ms = max(self.slow_start_ms, server.slow_start_ms)
            differences.append("slow_start: the longest is the ramp of all cold hosts, rules.cold_ms")
        if server.max_fails != 1 or server.fail_timeout_ms != 10_000:
            if server.max_fails > 1:
                self.max_failures = min(self.max_failures or server.max_fails, server.max_fails)
            differences.append("the lowest max_fails becomes fleet.strikes; fail_timeout is not carried over")
        self.record(directive, DIFFERS if differences else CARRIED, "; ".join(differences))

    def _finish_endpoints(self) -> None:
        for group in self.groups.values():
            for name, *_ in group.rows:
                self.endpoints[name].groups.append(group.name)
        max_weight = max((endpoint.weight for endpoint in self.endpoints.values()), default=1.0)
        factor = MAX_WEIGHT / max_weight if max_weight > MAX_WEIGHT else 1.0
        for endpoint in self.endpoints.values():
            scaled = endpoint.weight * factor
            endpoint.weight = max(1, round(scaled))
            if scaled < 0.95:
                text = f"its weight would round away: {scaled:.2g} becomes 1"
                self.remarks.append(f"{endpoint.id}: {text}")
        if self.groups and len({group.pick for group in self.groups.values()}) > 1:
            self.remarks.append(f"upstreams pick differently, and a fleet has one way: {self.fleet_pick()}")

    def endpoint_classes(self) -> dict[str, str]:
        """The endpoint class by endpoint: endpoints that serve in the same groups share a class."""
        names, taken_names, classes = dict[tuple[str, ...], str](), set[str](), dict[str, str]()
        for endpoint in self.endpoints.values():
            key = tuple(endpoint.groups)
            if key not in names:
                names[key] = _unique_name("_".join(key) or "unused", taken_names)
            classes[endpoint.id] = names[key]
        return classes

    def fleet_pick(self) -> str:
        """The load balancing method of most groups, as `fleet.pick` names it."""
        picks = [group.pick for group in self.groups.values()] or ["pair"]
        return max(("pair", "wheel", "lottery"), key=picks.count)

    def has_unequal_weights(self) -> bool:
        """Whether endpoints differ in weight."""
        return len({endpoint.weight for endpoint in self.endpoints.values()}) > 1

    # Unused directives.

    def _record_unused_upstreams(self) -> None:
        used = {
            id(self.config.upstreams[name].directive)
            for name in self._used_upstreams
            if name in self.config.upstreams
        }
        for upstream in self.config.upstreams.values():
            if id(upstream.directive) not in used:
                for descendant in upstream.directive.walk():
                    self.outcomes.setdefault(id(descendant), (NOT_CARRIED, "no route leads to this upstream"))
        for mapping in self.config.mappings.values():
            self._record_unused_mapping(mapping)

    def _record_unused_mapping(self, mapping: VariableMapping) -> None:
        if id(mapping.directive) not in self.outcomes:
            reason = "no carried route goes by it"
            for descendant in mapping.directive.walk():
                self.outcomes.setdefault(id(descendant), (NOT_CARRIED, reason))
        for descendant in mapping.directive.walk():
            self.outcomes.setdefault(id(descendant), (CARRIED, ""))


def _passes_requests(location_config: LocationConfig) -> bool:
    return location_config.target is not None or any(
        _passes_requests(nested) for nested in location_config.nested
    )


def _routing_effect(location_config: LocationConfig) -> object:
    """Everything about a location that decides how its requests are served, for comparison."""
    target = location_config.target
    if location_config.unsafe_reason or target is None or target.unknown_reason:
        return (location_config.status, location_config.unsafe_reason, target is None)
    retry = location_config.proxy_settings.retry
    retry_settings = (tuple(retry.conditions), retry.non_idempotent, retry.max_attempts)
    return tuple(target.parts), target.uri, location_config.proxy_settings.read_ms, retry_settings


def _match_kind(kind: str) -> Match:
    kinds: dict[str, Match] = {MATCH_BELOW: "below", MATCH_PREFIX: "prefix", MATCH_REGEX: "regex"}
    return kinds.get(kind, "exact")


def _may_match(regex: re.Pattern[str], path: str) -> bool:
    """Whether requests at a path or below it may match."""
    return any(regex.search(candidate) for candidate in (path, path + "/", path + "/x", path + "/1.json"))


def _hash_key(text: str) -> str:
    if text in HASH_KEYS:
        return HASH_KEYS[text]
    match = re.fullmatch(r"\$(http|arg|cookie)_(\w+)", text)
    if match is None:
        return ""
    kind, name = match.groups()
    return (
        f"header:{name.replace('_', '-')}"
        if kind == "http"
        else f"{'query' if kind == 'arg' else kind}:{name}"
    )


def _unique_name(text: str, taken: set[str]) -> str:
    """A valid name made of `text` that is not taken; it is added to `taken`."""
    base = re.sub(r"[^A-Za-z0-9_.-]", "-", text).lstrip("_.-")[:56] or "route"
    name, suffix = base, 2
    while name in taken:
        name, suffix = f"{base}-{suffix}", suffix + 1
    taken.add(name)
    return name

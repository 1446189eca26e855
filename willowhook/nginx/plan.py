"""What an import decides: routes, hosts with tiers and weights, closed paths, a word on each directive.

No I/O.  Whatever could have an effect twice or send calls to hosts that never had them is refused, and left
out of what is made; whatever is carried otherwise than it was is said.
"""

from __future__ import annotations

import difflib
import math
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..config.terms import ClosedTerms, Match, PathTerms, RouteTerms, Semantics
from .flat import BELOW, PREFIX, REGEX, Entry, Flattener, differences
from .setup import LocationConfig, NginxConfig, ServerBlock, Target, VariableMapping
from .syntax import Directive
from .upstreams import Server, Upstream

CARRIED, DIFFERS, NOT_CARRIED, REFUSED = "carried", "carried, differs", "not carried", "refused"
MOST_ROUTES, MOST_WEIGHT = 64, 65_535
AWAY = 503  # what calls get that would otherwise go where they must not
KEYS = {"$remote_addr": "source_ip", "$binary_remote_addr": "source_ip", "$request_uri": "header::path"}
CONSTANT = ("$server_name", "$server_addr", "$server_port")
STRIP = re.compile(r"^\^(/[\w/.-]*)\(\.\*\)\$?$")
PICKS = {"wheel": "wheel", "pair": "pair", "lottery": "lottery", "hash": "pair", "ip_hash": "pair"}


class ImportPlanError(Exception):
    """The configuration as a whole cannot become one service; the text says why and what would help."""


@dataclass(frozen=True, slots=True)
class ImportOptions:
    """What the operator says besides the configuration."""

    server_name: str = ""  # the server's name
    mutating: tuple[str, ...] = ()
    repeatable: tuple[str, ...] = ()
    keyed: tuple[tuple[str, int], ...] = ()  # with its window, ms
    slo_ms: int = 1000
    zone: str = "here"

    def declared_paths(self) -> tuple[str, ...]:
        return (*self.mutating, *self.repeatable, *(path for path, _ in self.keyed))

    def semantics(self, path: str) -> tuple[Semantics | None, int]:
        """Of the longest declared path that holds this one; None: nobody spoke for it."""
        rows: list[tuple[str, Semantics, int]] = [(each, "mutating", 0) for each in self.mutating]
        rows += [(each, "repeatable", 0) for each in self.repeatable]
        rows += [(each, "keyed", window) for each, window in self.keyed]
        fits = [row for row in rows if path == row[0] or path.startswith(row[0].rstrip("/") + "/")]
        return max(fits, key=lambda row: len(row[0]))[1:] if fits else (None, 0)


@dataclass(slots=True)
class Listed:
    """A host as the list has it, and in what groups of hosts it serves."""

    address: str
    port: int
    weight: float
    tier: int
    draining: bool
    groups: list[str] = field(default_factory=list)

    @property
    def id(self) -> str:
        return f"{self.address}:{self.port}"


@dataclass(slots=True)
class Group:
    """The hosts of one target, under a name."""

    name: str
    pick: str
    by: str  # of a ring
    rows: list[tuple[str, float, int, bool]]  # host, weight here, tier, draining


@dataclass(frozen=True, slots=True)
class Alike:
    """What calls must have in common to be of one route."""

    group: str
    semantics: Semantics
    window: int  # ms, of keyed ones
    limit_ms: float
    cap: float  # calls a second, 0: none
    off: bool  # nothing is ever tried again
    by: str  # of a ring


class ImportPlan:
    """Of one server of a configuration."""

    def __init__(self, config: NginxConfig, options: ImportOptions) -> None:
        self.config, self.options = config, options
        self.outcomes: dict[int, tuple[str, str]] = {}  # by directive
        self.remarks: list[str] = []
        self.dropped: set[int] = set()  # location directives of which nothing is carried
        self.endpoints: dict[str, Listed] = {}
        self.groups: dict[str, Group] = {}
        self.routes: list[RouteTerms] = []
        self.closed: list[ClosedTerms] = []
        self.group_of: dict[str, str] = {}  # by route
        self.dial_ms = self.cold_ms = self.strikes = 0
        self.server_block = self._site()
        self._used: set[str] = set()  # upstreams
        self._primaries: set[str] = set()  # hosts that some route uses at once
        self._scale: dict[str, float] = {}  # of an upstream's weights, so that splits come out
        if self.server_block is not None:
            self._all_places(self.server_block.locations)
            self._scale_splits(self.server_block.locations)
            self._declared()
            entries = self._entries(self.server_block)
            self._make_routes(entries)
            self._make_hosts()
        self._unused()

    # Which server.

    def _site(self) -> ServerBlock | None:
        sites = self.config.server_blocks
        if self.options.server_name:
            found = self.config.find_server_block(self.options.server_name)
        else:
            passing = [site for site in sites if any(_passes(place) for place in site.locations)]
            if len(passing) > 1:
                names = ", ".join(site.title() or f"line {site.block.position.line}" for site in passing)
                text = "one service is one server, and here are several: name one with --host"
                self.remarks.append(f"{text}: {names}")
            found = passing[0] if passing else sites[0] if sites else None
        for site in sites:
            if site is not found:
                named = f" {site.title()}" if site.title() else ""
                self._tell_all(site.block, NOT_CARRIED, f"of another server:{named or ' without a name'}")
        if found is not None and found.whole:
            self._tell_all(found.block, NOT_CARRIED, f"line {found.whole}")
            return None
        return found

    def server_ambiguity(self) -> str:
        return next((text for text in self.remarks if text.startswith("one service is one")), "")

    # Notes.

    def tell(self, row: Directive | None, what: str, why: str) -> None:
        """The graver word stands; the same word gathers reasons."""
        if row is None:
            return
        grave = (CARRIED, DIFFERS, NOT_CARRIED, REFUSED)
        old = self.outcomes.get(id(row))
        if old is None or grave.index(what) > grave.index(old[0]):
            self.outcomes[id(row)] = (what, why)
        elif what == old[0] and why and why not in old[1]:
            self.outcomes[id(row)] = (what, f"{old[1]}; {why}" if old[1] else why)

    def _tell_all(self, row: Directive, what: str, why: str) -> None:
        for each in row.walk():
            self.outcomes[id(each)] = (what, why)

    # Places.

    def _all_places(self, places: Iterable[LocationConfig]) -> None:
        for place in places:
            self._tell_place(place)
            self._all_places(place.nested)

    def _tell_place(self, place: LocationConfig) -> None:
        row = place.location.directive
        if place.unsafe:
            text = f"{place.unsafe}: its calls get {AWAY}, and no host"
            self.tell(row, REFUSED, text)
            self.dropped.add(id(row))
            return
        if place.location.modifier == "@":
            self.tell(row, NOT_CARRIED, "no call asks for it by its path")
            self.dropped.add(id(row))
            return
        if place.status and place.passes is not None:
            self.tell(place.passes, NOT_CARRIED, "the location answers before it passes anything on")
        if place.target is None and not place.status:
            self.tell(
                row, NOT_CARRIED, "it passes nothing on: its calls get 404, and no other location's hosts"
            )
        elif place.target is not None and place.target.unknown_reason:
            self._drop(place, "where they go cannot be said")
            self.tell(place.passes, NOT_CARRIED, place.target.unknown_reason)
        elif place.target is not None:
            parts = place.target.parts
            missing = [n for n, _ in parts if n in self.config.broken or self.config.upstream(n) is None]
            if missing:
                self.tell(place.passes, REFUSED, f"there is no upstream {missing[0]!r} that can be read")
                place.target = Target(unknown_reason=f"no upstream {missing[0]!r}")
                self._drop(place, f"there is no upstream {missing[0]!r}")
            else:
                self._tell_passes(place)
            self._tell_limits(place)

    def _drop(self, place: LocationConfig, why: str) -> None:
        self.tell(place.location.directive, NOT_CARRIED, f"its calls get {AWAY}: {why}")
        self.dropped.add(id(place.location.directive))

    def _tell_passes(self, place: LocationConfig) -> None:
        row, target = place.passes, place.target
        assert row is not None and target is not None
        if not row.arg(0).startswith("http://"):
            self.tell(row, DIFFERS, "hosts are spoken to without TLS")
        choice = target.mapping
        for name, _ in target.parts:
            if name not in self.config.upstreams:
                near = difflib.get_close_matches(name, self.config.upstreams, 1, 0.7)
                meant = f"; is {near[0]!r} meant?" if near else ""
                self.tell(row, CARRIED, f"no upstream is named {name!r}: a host of that address{meant}")
        if choice is not None and choice.kind == "split":
            self.tell(row, DIFFERS, "shares of calls: a caller may meet another share each time")
            self.tell(choice.directive, DIFFERS, f"shares of calls, not of {choice.source}")
            for _, _, each in choice.rows:
                self.tell(each, CARRIED, "")
        elif choice is not None:
            self.tell(choice.directive, CARRIED, "")
        self.tell(row, CARRIED, "")

    def _tell_limits(self, place: LocationConfig) -> None:
        for limit in place.proxy_settings.limits:
            constant = "$" not in limit.key or limit.key in CONSTANT
            if constant:
                text = f"a cap of {limit.per_s:g} calls/s at each proxy, not for all together"
                self.tell(limit.directive, DIFFERS, text)
            else:
                text = f"no cap for each {limit.key}: under load routes are throttled by importance"
                self.tell(limit.directive, NOT_CARRIED, text)

    def _declared(self) -> None:
        site = self.server_block
        assert site is not None
        for path in self.options.declared_paths():
            if site.find_location(path) is None and site.find_location(path + "/x") is None:
                self.remarks.append(f"{path}: no location serves it")

    # Entries.

    def _entries(self, site: ServerBlock) -> list[Entry]:
        made = Flattener(site, self.options.declared_paths())
        entries = made.entries()
        for place, why in made.inexpressible:
            text = f"the published expressions cannot say it: it {why}; its calls would go elsewhere"
            self.tell(place.location.directive, REFUSED, text)
            self.dropped.add(id(place.location.directive))
        self._within_expressions(site.locations)
        told = set[int]()
        for uri, place, entry in differences(site, entries, self.options.declared_paths()):
            row = place.location.directive
            if id(row) in told or any(place is each for each, _ in made.inexpressible):
                continue
            told.add(id(row))
            same = _goes(place) == _goes(entry.location_config)
            text = f"{uri} falls to {entry.location_config.location} here"
            self.tell(row, DIFFERS if same else REFUSED, text + (", which goes the same way" if same else ""))
        return entries

    def _within_expressions(
        self, places: Iterable[LocationConfig], around: LocationConfig | None = None
    ) -> None:
        """A list has no place for what stands within an expression: its calls go as the outer one's."""
        for place in places:
            if around is not None:
                row, same = place.location.directive, _goes(place) == _goes(around)
                if not same:
                    self.dropped.add(id(row))
                text = f"it stands within {around.location}: its calls go as those of that"
                self.tell(row, DIFFERS if same else REFUSED, text)
            inner = place if place.location.regex is not None else around
            self._within_expressions(place.nested, inner)

    def _semantics(self, entry: Entry) -> tuple[Semantics | None, int]:
        location = entry.location_config.location
        if entry.declared:
            return self.options.semantics(entry.declared)
        if location.regex is not None:
            hits = [path for path in self.options.mutating if _could(location.regex, path)]
            if hits:
                return "mutating", 0
            said = {
                self.options.semantics(path)
                for path in self.options.declared_paths()
                if location.regex.search(path)
            }
            return said.pop() if len(said) == 1 else (None, 0)
        return self.options.semantics(location.pattern.rstrip("/") or "/")

    # Routes.

    def _make_routes(self, entries: list[Entry]) -> None:
        rows: dict[Alike, list[PathTerms]] = {}
        for order, entry in enumerate(entries):
            found = self._alike(entry)
            match, at = _match(entry.match), min(order, 99_999)
            if isinstance(found, int):
                self.closed.append(ClosedTerms(path=entry.path, match=match, order=at, status=found))
            else:
                like, rewrite = found
                path = PathTerms(path=entry.path, match=match, order=at, rewrite=rewrite)
                rows.setdefault(like, []).append(path)
        if len(rows) > MOST_ROUTES:
            text = f"{len(rows)} routes differ by hosts, semantics or limits, and {MOST_ROUTES} are served"
            raise ImportPlanError(f"{text}: import the servers one by one, or fewer locations")
        names = set[str]()
        for like, paths in rows.items():
            first, *more = paths
            keyed = like.semantics == "keyed"
            name = _name(
                like.group if like.semantics == "mutating" else f"{like.group}-{like.semantics}", names
            )
            self.group_of[name] = like.group
            self.routes.append(RouteTerms(
                name=name, path=first.path, match=first.match, order=first.order, rewrite=first.rewrite,
                more=tuple(more), hash_by=like.by, tries=0 if like.off else 3, most_per_s=like.cap,
                slo_time_ms=min(self.options.slo_ms, like.limit_ms), time_limit_ms=like.limit_ms,
                semantics=like.semantics, writes=like.semantics != "repeatable",
                group="all" if keyed else "", window_ms=like.window if keyed else 0,
            ))  # fmt: skip
        if self.routes:
            self.remarks.append(f"slo_time_ms is not in the source: {self.options.slo_ms} or the time limit")
            self.remarks.append("importance is not in the source: 1 for every route")

    def _alike(self, entry: Entry) -> tuple[Alike, str] | int:
        """What the entry's route must be, and what takes its path's place; or the status of a closed one."""
        place, target = entry.location_config, entry.location_config.target
        if place.unsafe or target is None or target.unknown_reason:
            return place.status or (404 if target is None and not place.unsafe else AWAY)
        rewrite = self._rewrite(place, entry, target)
        if rewrite is None:
            self._drop(place, "what hosts would be asked for cannot be said")
            return AWAY
        group = self._group([(entry.value, 1.0)] if entry.value else target.parts, place)
        if group is None:
            self._drop(place, "no host is left for them")
            return AWAY
        said, window = self._semantics(entry)
        self._tell_retry(entry, said)
        limits = place.proxy_settings.limits
        caps = [limit.per_s for limit in limits if "$" not in limit.key or limit.key in CONSTANT]
        like = Alike(group.name, said or "mutating", window, self._limit_ms(place), min(caps, default=0.0),
                     place.proxy_settings.retry.off, group.by)  # fmt: skip
        return like, rewrite

    def _rewrite(self, place: LocationConfig, entry: Entry, target: Target) -> str | None:
        """What stands in the place of the matched path; None if that cannot be said."""
        location = place.location
        rules = [row for row in location.directive.block or [] if row.name == "rewrite"]
        uri = target.uri
        if rules:
            row = rules[0]
            told = STRIP.match(row.arg(0))
            plain = told is not None and len(rules) == 1 and not uri and row.arg(1).endswith("$1")
            if not plain or told is None or told[1] != location.pattern or "$" in row.arg(1)[:-2]:
                self.tell(
                    row, REFUSED, f"it changes what hosts are asked for in a way that cannot be said: {AWAY}"
                )
                return None
            self.tell(row, CARRIED, "")
            uri = row.arg(1)[:-2]
        if not uri:
            return ""
        if entry.match == REGEX:
            self.tell(place.passes, REFUSED, f"an expression has no prefix to replace: its calls get {AWAY}")
            return None
        # a declared path, or one that a map selects, is longer than the prefix that is replaced
        return uri + entry.path[len(location.pattern) :] if location.regex is None else None

    def _limit_ms(self, place: LocationConfig) -> float:
        manner = place.proxy_settings
        within = manner.retry.timeout_ms
        self.dial_ms = min(self.dial_ms or manner.connect_ms, manner.connect_ms)
        return float(max(1, min(manner.read_ms, within) if within else manner.read_ms))

    def _tell_retry(self, entry: Entry, said: Semantics | None) -> None:
        retry, row = (
            entry.location_config.proxy_settings.retry,
            entry.location_config.proxy_settings.retry_from,
        )
        if row is None:
            return
        path = entry.declared or entry.location_config.location.pattern
        if retry.off:
            self.tell(row, CARRIED, "")
        elif said == "mutating" and retry.non_idempotent and retry.may_run_twice():
            after = ", ".join(retry.may_run_twice())
            calls = self._mutating_under(entry) or path
            text = f"calls of {calls} could have their effect twice after {after}"
            self.tell(row, REFUSED, text)
        elif said == "repeatable":
            self.tell(
                row, DIFFERS, f"{path}: after any failure, not only after {', '.join(retry.conditions)}"
            )
        else:
            why = "" if said else " (say --repeatable if they may run twice)"
            text = f"calls of {path} are tried once more only after proof that none ran{why}"
            self.tell(row, DIFFERS, text)

    def _mutating_under(self, entry: Entry) -> str:
        location = entry.location_config.location
        if location.regex is not None:
            return ", ".join(path for path in self.options.mutating if _could(location.regex, path))
        return entry.declared or ", ".join(
            path for path in self.options.mutating if location.pattern.startswith(path)
        )

    # Groups and hosts.

    def _scale_splits(self, places: Iterable[LocationConfig]) -> None:
        """A host has one weight in the list: those of upstreams that share calls are brought to one scale."""
        for place in places:
            target = place.target
            for name, _ in target.parts if target is not None and not target.unknown_reason else ():
                upstream = self.config.upstream(name)
                rows = upstream.primaries() if upstream is not None else []
                self._primaries.update(f"{server.address}:{server.port}" for server in rows)
            if (
                target is not None
                and not target.unknown_reason
                and len(target.parts) > 1
                and not place.unsafe
            ):
                self._scale_split(target)
            self._scale_splits(place.nested)

    def _scale_split(self, target: Target) -> None:
        wanted = {}
        for name, share in target.parts:
            upstream = self.config.upstream(name)
            if upstream is not None and share > 0:
                total = sum(server.weight for server in upstream.primaries() or upstream.backups()) or 1
                wanted[name] = share / total * 1000
        before = [name for name in wanted if name in self._scale]
        factor = self._scale[before[0]] / wanted[before[0]] if before else 1.0
        for name, scale in wanted.items():
            if name not in self._scale:
                self._scale[name] = scale * factor
            elif not math.isclose(self._scale[name], scale * factor) and target.mapping is not None:
                text = f"{name} stands in two splits that differ: a host has one weight for all routes"
                self.tell(target.mapping.directive, DIFFERS, text)

    def _group(self, parts: list[tuple[str, float]], place: LocationConfig) -> Group | None:
        parts = [(name, share) for name, share in parts if share > 0]
        key = " ".join(f"{name}={share:.4f}" if len(parts) > 1 else name for name, share in parts)
        if key in self.groups:
            return self.groups[key]
        found: list[Upstream] = []
        for name, _ in parts:
            upstream = self.config.upstream(name)
            if upstream is None:
                self.tell(place.passes, REFUSED, f"there is no upstream {name!r} that can be read")
                return None
            found.append(upstream)
            self._used.add(name)
        rows: dict[str, tuple[str, float, int, bool]] = {}
        ranked = all(any(not s.backup for s in upstream.servers) for upstream in found)
        for (name, share), upstream in zip(parts, found, strict=True):
            total = sum(server.weight for server in upstream.primaries() or upstream.backups()) or 1
            for server in upstream.servers:
                own = server.weight * share / total * 1000 if len(parts) > 1 else float(server.weight)
                self._server(server, rows, server.weight * self._scale.get(name, 1.0), ranked, own)
        if not rows:
            return None
        taken = {group.name for group in self.groups.values()}
        name = _name("-".join(name for name, _ in parts), taken)
        by = self._ring(found)
        pick = PICKS[found[0].pick] if len({up.pick for up in found}) == 1 else "pair"
        made = self.groups[key] = Group(name, pick, by, list(rows.values()))
        return made

    def _ring(self, found: list[Upstream]) -> str:
        """The key of a ring, as proxies have it; empty without one."""
        by = ""
        for upstream in found:
            rows = [row for row in upstream.directive.block or [] if row.name in ("hash", "ip_hash")]
            if not rows:
                continue
            by = _key(upstream.key)
            where = "the same spread; which key goes where differs"
            if not by:
                self.tell(
                    rows[0],
                    NOT_CARRIED,
                    f"proxies have no key {upstream.key!r}: the less loaded of two hosts",
                )
            elif len(found) > 1:
                self.tell(rows[0], DIFFERS, "where calls are split first: the less loaded of two hosts")
                by = ""
            elif upstream.ring:
                self.tell(rows[0], DIFFERS, f"a ring by {by}: {where}")
            else:
                self.tell(rows[0], DIFFERS, f"a ring by {by}: {where}, and fewer move when hosts change")
        return by

    def _server(
        self,
        server: Server,
        rows: dict[str, tuple[str, float, int, bool]],
        weight: float,
        ranked: bool,
        own: float,
    ) -> None:
        tier = 1 if server.backup and ranked else 0
        name, row = f"{server.address}:{server.port}", server.directive
        if tier and name in self._primaries:
            self.tell(
                row, NOT_CARRIED, f"{name} is no backup for another upstream, and a host is one or the other"
            )
            return
        if name in rows:
            old = rows[name]
            rows[name] = (name, old[1] + own, min(old[2], tier), old[3] and server.down)
            self.tell(row, DIFFERS, f"{name} stands twice: one host with both weights")
            return
        known = self.endpoints.get(name)
        if known is not None and not math.isclose(known.weight, weight):
            self.tell(row, DIFFERS, f"{name} has one weight for all routes, {known.weight:g}")
        if known is not None and known.draining != server.down:
            self.tell(row, DIFFERS, f"{name} is down for one upstream and is used by none")
            known.draining = True
        if known is None:
            known = Listed(server.address, server.port, weight, tier, server.down)
            self.endpoints[name] = known
        rows[name] = (name, own, tier, known.draining)
        self._tell_server(server)

    def _tell_server(self, server: Server) -> None:
        row, notes = server.directive, []
        if server.down:
            self.tell(row, CARRIED, "listed as draining")
        if server.backup:
            notes.append("serves only when no other host of its upstream is open and answers, and 5 s longer")
        if server.max_conns:
            notes.append(f"max_conns {server.max_conns}: no cap on connections; levels bound calls")
        if server.slow_start_ms:
            self.cold_ms = max(self.cold_ms, server.slow_start_ms)
            notes.append("slow_start: the longest is the ramp of all cold hosts, rules.cold_ms")
        if server.max_fails != 1 or server.fail_timeout_ms != 10_000:
            if server.max_fails > 1:
                self.strikes = min(self.strikes or server.max_fails, server.max_fails)
            notes.append(
                "max_fails, fail_timeout: the fewest are fleet.strikes; how long is the proxies' own"
            )
        self.tell(row, DIFFERS if notes else CARRIED, "; ".join(notes))

    def _make_hosts(self) -> None:
        for group in self.groups.values():
            for name, *_ in group.rows:
                self.endpoints[name].groups.append(group.name)
        most = max((host.weight for host in self.endpoints.values()), default=1.0)
        factor = MOST_WEIGHT / most if most > MOST_WEIGHT else 1.0
        for host in self.endpoints.values():
            wanted = host.weight * factor
            host.weight = max(1, round(wanted))
            if wanted < 0.95:
                text = f"its weight would round away: {wanted:.2g} becomes 1"
                self.remarks.append(f"{host.id}: {text}")
        if self.groups and len({group.pick for group in self.groups.values()}) > 1:
            self.remarks.append(f"upstreams pick differently, and a fleet has one way: {self.pick()}")

    def kinds(self) -> dict[str, str]:
        """By host its kind: hosts that serve in the same groups are of one."""
        names, taken, found = dict[tuple[str, ...], str](), set[str](), dict[str, str]()
        for host in self.endpoints.values():
            key = tuple(host.groups)
            if key not in names:
                names[key] = _name("_".join(key) or "unused", taken)
            found[host.id] = names[key]
        return found

    def pick(self) -> str:
        picks = [group.pick for group in self.groups.values()] or ["pair"]
        return max(("pair", "wheel", "lottery"), key=picks.count)

    def weighted(self) -> bool:
        return len({host.weight for host in self.endpoints.values()}) > 1

    # What nobody uses.

    def _unused(self) -> None:
        used = {
            id(self.config.upstreams[name].directive) for name in self._used if name in self.config.upstreams
        }
        for upstream in self.config.upstreams.values():
            if id(upstream.directive) not in used:
                for each in upstream.directive.walk():
                    self.outcomes.setdefault(id(each), (NOT_CARRIED, "no route leads to this upstream"))
        for choice in self.config.choices.values():
            self._unused_choice(choice)

    def _unused_choice(self, choice: VariableMapping) -> None:
        if id(choice.directive) not in self.outcomes:
            why = "no carried route goes by it"
            for each in choice.directive.walk():
                self.outcomes.setdefault(id(each), (NOT_CARRIED, why))
        for each in choice.directive.walk():
            self.outcomes.setdefault(id(each), (CARRIED, ""))


def _passes(place: LocationConfig) -> bool:
    return place.target is not None or any(_passes(each) for each in place.nested)


def _goes(place: LocationConfig) -> object:
    """What a location comes to for its calls."""
    target = place.target
    if place.unsafe or target is None or target.unknown_reason:
        return (place.status, place.unsafe, target is None)
    retry = place.proxy_settings.retry
    told = (tuple(retry.conditions), retry.non_idempotent, retry.tries)
    return tuple(target.parts), target.uri, place.proxy_settings.read_ms, told


def _match(kind: str) -> Match:
    found: dict[str, Match] = {BELOW: "below", PREFIX: "prefix", REGEX: "regex"}
    return found.get(kind, "exact")


def _could(regex: re.Pattern[str], path: str) -> bool:
    """Whether calls of a path, or below it, may match."""
    return any(regex.search(each) for each in (path, path + "/", path + "/x", path + "/1.json"))


def _key(text: str) -> str:
    if text in KEYS:
        return KEYS[text]
    found = re.fullmatch(r"\$(http|arg|cookie)_(\w+)", text)
    if found is None:
        return ""
    kind, name = found.groups()
    return (
        f"header:{name.replace('_', '-')}"
        if kind == "http"
        else f"{'query' if kind == 'arg' else kind}:{name}"
    )


def _name(text: str, taken: set[str]) -> str:
    """A name of the configuration's form that is not taken."""
    made = re.sub(r"[^A-Za-z0-9_.-]", "-", text).lstrip("_.-")[:56] or "route"
    name, k = made, 2
    while name in taken:
        name, k = f"{made}-{k}", k + 1
    taken.add(name)
    return name

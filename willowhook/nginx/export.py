"""Exports tables and routes as nginx upstream and location blocks, the reverse of the import.  No I/O.

A first-match list of routes becomes locations: a prefix after a regex gets that regex as a nested location, a
prefix before a regex gets `^~`, and unreachable routes are left out.  What the blocks cannot express is
reported as a remark.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import reduce

from ..xds import forms, tables
from ..xds.codec import MessageFormatError, parse_duration

UPSTREAMS, LOCATIONS = "upstreams.conf", "locations.conf"  # for the http block and for the server block
RETRY_CONDITIONS = "error timeout http_500 http_502 http_503 http_504 non_idempotent"
HASH_VARIABLES = {"source_ip": "$remote_addr", "header::path": "$request_uri"}
UNQUOTED_WORD = re.compile(r"^[A-Za-z0-9_./@$:-]+$")


@dataclass
class Exported:
    """The exported files by name, and remarks on what they cannot express."""

    files: dict[str, bytes] = field(default_factory=dict)
    remarks: list[str] = field(default_factory=list)


@dataclass(slots=True)
class ExportedLocation:
    """One exported location: how it matches, and the lines of its block."""

    kind: str  # exact, prefix or regex
    path: str
    lines: list[str]


class Exporter:
    """Exports one proxy's files; raises MessageFormatError if a proxy could not use them."""

    def __init__(self, files: Mapping[str, bytes]) -> None:
        self._exported = Exported()
        self._upstream_names: dict[tuple[str, str, str], str] = {}  # by table, lb_policy and hash key
        self._http_lines: list[str] = []
        self._tables = {message.cluster_name: message for message in tables.read_tables(files["eds.json"])[1]}
        self._clusters = {message.name: message for message in tables.read_clusters(files["cds.json"])[1]}
        configurations = tables.read_routes(files["rds.json"])[1]
        if len(configurations) != 1 or not configurations[0].virtual_hosts:
            raise MessageFormatError(
                f"{len(configurations)} route configurations, expected one with a virtual host"
            )
        self._routes = configurations[0].virtual_hosts[0].routes

    def run(self) -> Exported:
        """Makes both files."""
        locations: list[ExportedLocation] = []
        for route in self._routes:
            locations += self._route_locations(route)
        lines = [line for block in self._location_blocks(locations) for line in block]
        self._exported.files = {
            UPSTREAMS: "".join(f"{line}\n" for line in self._http_lines).encode(),
            LOCATIONS: "".join(f"{line}\n" for line in lines).encode(),
        }
        self._exported.remarks = list(dict.fromkeys(self._exported.remarks))
        return self._exported

    def _remark(self, text: str) -> None:
        self._exported.remarks.append(text)

    # Upstreams.

    def _upstream(self, route: forms.Route) -> str:
        """The name of the upstream block for a route's endpoints; empty if its table has none."""
        cluster = self._clusters.get(route.route.cluster)
        if cluster is None:
            raise MessageFormatError(
                f"route {route.name!r} refers to an unknown cluster: {route.route.cluster!r}"
            )
        name = cluster.eds_cluster_config.service_name
        table = self._tables.get(name)
        if table is None:
            raise MessageFormatError(f"cluster {cluster.name!r} has no table")
        hash_by = tables.hash_by(route.route.hash_policy) if cluster.lb_policy == "RING_HASH" else ""
        key = (name, cluster.lb_policy, hash_by)
        if key in self._upstream_names:
            return self._upstream_names[key]
        entries = tables.lines(table)
        if not entries:
            self._remark(f"table {name} is empty: its calls get 503")
            self._upstream_names[key] = ""
            return ""
        tiers = tables.priorities(table)
        if max(tiers.values()) > 1:
            self._remark(
                f"table {name}: nginx has a single backup tier, the table has {max(tiers.values()) + 1} tiers"
            )
        weights = [round(entry[4] * tables.SCALE) for entry in entries]
        divisor = reduce(math.gcd, weights)
        taken_names = [*self._upstream_names.values()]
        upstream_name = re.sub(r"[^A-Za-z0-9_.-]", "-", name) or "table"
        while upstream_name in taken_names:
            upstream_name += "x"
        block = [f"upstream {upstream_name} {{"]
        block += [
            f"  {entry}"
            for entry in self._balancing_directives(cluster.lb_policy, hash_by, any(tiers.values()), name)
        ]
        for entry, weight in zip(entries, weights, strict=True):
            host, address, port, _, _, draining = entry
            shown_address = f"[{address}]" if ":" in address else address
            if not UNQUOTED_WORD.match(address):
                raise MessageFormatError(f"{name}: {host!r} has the invalid address {address!r}")
            parameters = [f"server {shown_address}:{port}", f"weight={weight // divisor}"]
            parameters += ["backup"] if tiers[host] else []
            parameters += ["down"] if draining else []
            block.append(f"  {' '.join(parameters)};")
        self._http_lines += [*block, "}"]
        self._upstream_names[key] = upstream_name
        return upstream_name

    def _balancing_directives(self, policy: str, hash_by: str, backups: bool, name: str) -> list[str]:
        if policy == "LEAST_REQUEST":
            return ["least_conn;"] if backups else ["random two least_conn;"]
        if policy == "RANDOM" and not backups:
            return ["random;"]
        if policy == "RING_HASH" and hash_by and not backups:
            kind, _, name_in_request = hash_by.partition(":")
            variable = {"header": "http", "query": "arg", "cookie": "cookie"}.get(kind, "")
            key = HASH_VARIABLES.get(hash_by) or f"${variable}_{name_in_request.replace('-', '_')}"
            return [f"hash {key} consistent;"]
        if policy in ("RANDOM", "RING_HASH") and backups:
            self._remark(
                f"table {name}: backup servers exclude random and hash balancing: round robin is used"
            )
        return []

    # Locations.

    def _route_locations(self, route: forms.Route) -> list[ExportedLocation]:
        kind, path = tables.match_kind_and_path(route.match)
        if route.direct_response is not None:
            body = [f"return {route.direct_response.status};"]
            return _split_path(kind, path, body, body)
        upstream = self._upstream(route)
        if not upstream:
            return _split_path(kind, path, ["return 503;"], ["return 503;"])
        body = self._location_directives(route)
        rewrite = route.route.prefix_rewrite if kind != "regex" else ""
        first = [f"proxy_pass http://{upstream}{rewrite};", *body]
        below = [f"proxy_pass http://{upstream}{rewrite}{'/' if rewrite else ''};", *body]
        return _split_path(kind, path, first, below)

    def _location_directives(self, route: forms.Route) -> list[str]:
        retry_mode = tables.tries_of(route.route.retry_policy)
        cluster = self._clusters[route.route.cluster]
        timeout_ms = round(parse_duration(route.route.timeout) * 1000)
        connect_ms = round(parse_duration(cluster.connect_timeout) * 1000)
        directives = [f"proxy_read_timeout {timeout_ms}ms;", f"proxy_connect_timeout {connect_ms}ms;"]
        if retry_mode > 1:
            directives += [
                f"proxy_next_upstream {RETRY_CONDITIONS};",
                f"proxy_next_upstream_tries {retry_mode};",
            ]
        else:
            directives.append("proxy_next_upstream off;")
        if retry_mode == 1:
            self._remark(
                "a retry after proof that no attempt was executed is not expressible: retries are off"
            )
        admitted, requests_per_s = tables.level_of(route.typed_per_filter_config)
        if not math.isinf(requests_per_s):
            directives += self._rate_limit_directives(route.name, requests_per_s)
        if admitted < 1:
            zone = f"let_{_identifier(route.name)}"
            split = f'split_clients "$request_id" ${zone} {{ {(1 - admitted) * 100:.2f}% 1; * ""; }}'
            if split not in self._http_lines:
                self._http_lines.append(split)
            directives.insert(0, f"if (${zone}) {{ return 429; }}")
        return directives

    def _rate_limit_directives(self, name: str, requests_per_s: float) -> list[str]:
        shown_rate = (
            f"{max(1, round(requests_per_s))}r/s"
            if requests_per_s >= 10
            else f"{max(1, round(requests_per_s * 60))}r/m"
        )
        zone = f"level_{_identifier(name)}_{shown_rate.replace('/', '')}"
        zone_line = f"limit_req_zone $server_name zone={zone}:64k rate={shown_rate};"
        if zone_line not in self._http_lines:
            self._http_lines.append(zone_line)
        return [
            f"limit_req zone={zone} burst={max(1, math.ceil(requests_per_s))} nodelay;",
            "limit_req_status 429;",
        ]

    def _location_blocks(self, locations: list[ExportedLocation]) -> Iterable[list[str]]:
        """The lines of each location block."""
        exact: dict[str, None] = {}
        prefixes: list[str] = []
        regexes: list[ExportedLocation] = []
        last_regex = max(
            (index for index, location in enumerate(locations) if location.kind == "regex"), default=-1
        )
        for index, location in enumerate(locations):
            if any(location.path.startswith(prefix) for prefix in prefixes) and location.kind != "regex":
                continue  # unreachable behind that prefix
            if location.kind == "regex":
                regexes.append(location)
                yield _format_location("~", location, [])
            elif location.kind == "exact":
                earlier_regex = next(
                    (regex for regex in regexes if re.fullmatch(regex.path, location.path)), None
                )
                if location.path not in exact:
                    exact[location.path] = None
                    yield _format_location(
                        "=", ExportedLocation("exact", location.path, (earlier_regex or location).lines), []
                    )
            else:
                prefixes.append(location.path)
                if index < last_regex and regexes:
                    # In a nested location of its own, so that the regexes do not inherit its directives.
                    nested = [line for regex in regexes for line in _format_location("~", regex, [])]
                    yield _format_location(
                        "^~",
                        ExportedLocation("prefix", location.path, []),
                        nested + _format_location("", location, []),
                    )
                elif index < last_regex:  # a later regex must not take its requests
                    yield _format_location("^~", location, [])
                else:
                    yield _format_location("", location, [])


def _split_path(
    kind: str, path: str, directives: list[str], directives_below: list[str]
) -> list[ExportedLocation]:
    """A path with everything below it becomes two locations."""
    if kind != "below":
        return [ExportedLocation(kind, path, directives)]
    path = path.rstrip("/")
    return [ExportedLocation("prefix", "/", directives_below)] if not path else [
        ExportedLocation("exact", path, directives), ExportedLocation("prefix", path + "/", directives_below)
    ]  # fmt: skip


def _format_location(modifier: str, location: ExportedLocation, nested: list[str]) -> list[str]:
    path = anchored_regex(location.path) if location.kind == "regex" else location.path
    shown = path if UNQUOTED_WORD.match(path) else '"' + path.replace("\\", "\\\\").replace('"', '\\"') + '"'
    header = " ".join(word for word in ("location", modifier, shown) if word)
    return [f"{header} {{", *(f"  {line}" for line in [*location.lines, *nested]), "}"]


def anchored_regex(regex: str) -> str:
    """Anchors a full-match regex, since nginx searches for a match anywhere in the path."""
    flags = re.match(r"^\(\?[a-z]+\)", regex)
    flag_group = flags[0] if flags else ""
    return f"{flag_group}^(?:{regex[len(flag_group) :]})$"


def _identifier(name: str) -> str:
    return re.sub(r"\W", "_", name)


def export(files: Mapping[str, bytes]) -> Exported:
    """Exports the files cds.json, eds.json and rds.json.

    Raises MessageFormatError, also if one of them is missing.
    """
    missing = [name for name in ("cds.json", "eds.json", "rds.json") if name not in files]
    if missing:
        raise MessageFormatError(f"{missing[0]} is missing: the table group is incomplete")
    return Exporter(files).run()

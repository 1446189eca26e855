"""Tables and routes as upstream and location blocks, for proxies that read that form: the import, backwards.

A list of which the first match wins becomes locations: what an expression before it could take gets that
expression inside, what an expression behind it could take gets `^~`, what nothing can reach is left out.
What the form cannot say is told.  No I/O.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import reduce

from ..xds import forms, tables
from ..xds.codec import MessageFormatError, parse_duration

UPSTREAMS, LOCATIONS = "upstreams.conf", "locations.conf"  # for the http block and for the server's
AGAIN = "error timeout http_500 http_502 http_503 http_504 non_idempotent"
KEYS = {"source_ip": "$remote_addr", "header::path": "$request_uri"}
PLAIN = re.compile(r"^[A-Za-z0-9_./@$:-]+$")


@dataclass
class Exported:
    files: dict[str, bytes] = field(default_factory=dict)
    remarks: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Spot:
    """One location to be: how it matches, and the route's lines."""

    kind: str  # exact, prefix or regex
    path: str
    lines: list[str]


class Exporter:
    """Raises FormError where the files are not what a proxy could use."""

    def __init__(self, files: Mapping[str, bytes]) -> None:
        self._made = Exported()
        self._blocks: dict[tuple[str, str, str], str] = {}  # by table, pick and key: the upstream's name
        self._text: list[str] = []
        self._tables = {row.cluster_name: row for row in tables.read_tables(files["eds.json"])[1]}
        self._clusters = {row.name: row for row in tables.read_clusters(files["cds.json"])[1]}
        sets = tables.read_routes(files["rds.json"])[1]
        if len(sets) != 1 or not sets[0].virtual_hosts:
            raise MessageFormatError(f"{len(sets)} sets of routes")
        self._routes = sets[0].virtual_hosts[0].routes

    def run(self) -> Exported:
        spots: list[Spot] = []
        for row in self._routes:
            spots += self._spots(row)
        shown = [line for spot in self._ordered(spots) for line in spot]
        self._made.files = {
            UPSTREAMS: "".join(f"{line}\n" for line in self._text).encode(),
            LOCATIONS: "".join(f"{line}\n" for line in shown).encode(),
        }
        self._made.remarks = list(dict.fromkeys(self._made.remarks))
        return self._made

    def _remark(self, text: str) -> None:
        self._made.remarks.append(text)

    # Upstreams.

    def _upstream(self, row: forms.Route) -> str:
        """The name of the block for this route's hosts; empty if there is none to name."""
        cluster = self._clusters.get(row.route.cluster)
        if cluster is None:
            raise MessageFormatError(f"route {row.name!r} names no cluster: {row.route.cluster!r}")
        name = cluster.eds_cluster_config.service_name
        table = self._tables.get(name)
        if table is None:
            raise MessageFormatError(f"cluster {cluster.name!r} has no table")
        by = tables.hash_by(row.route.hash_policy) if cluster.lb_policy == "RING_HASH" else ""
        key = (name, cluster.lb_policy, by)
        if key in self._blocks:
            return self._blocks[key]
        lines = tables.lines(table)
        if not lines:
            self._remark(f"table {name} is empty: its calls get 503")
            self._blocks[key] = ""
            return ""
        tiers = tables.priorities(table)
        if max(tiers.values()) > 1:
            self._remark(f"table {name}: backups are of one rank here, in {max(tiers.values()) + 1} there")
        weights = [round(line[4] * tables.SCALE) for line in lines]
        divisor = reduce(math.gcd, weights)
        taken = [*self._blocks.values()]
        title = re.sub(r"[^A-Za-z0-9_.-]", "-", name) or "table"
        while title in taken:
            title += "x"
        rows = [f"upstream {title} {{"]
        rows += [f"  {line}" for line in self._pick(cluster.lb_policy, by, any(tiers.values()), name)]
        for line, weight in zip(lines, weights, strict=True):
            host, address, port, _, _, draining = line
            shown = f"[{address}]" if ":" in address else address
            if not PLAIN.match(address):
                raise MessageFormatError(f"{name}: {host!r} has the address {address!r}")
            words = [f"server {shown}:{port}", f"weight={weight // divisor}"]
            words += ["backup"] if tiers[host] else []
            words += ["down"] if draining else []
            rows.append(f"  {' '.join(words)};")
        self._text += [*rows, "}"]
        self._blocks[key] = title
        return title

    def _pick(self, policy: str, by: str, backups: bool, name: str) -> list[str]:
        if policy == "LEAST_REQUEST":
            return ["least_conn;"] if backups else ["random two least_conn;"]
        if policy == "RANDOM" and not backups:
            return ["random;"]
        if policy == "RING_HASH" and by and not backups:
            kind, _, word = by.partition(":")
            variable = {"header": "http", "query": "arg", "cookie": "cookie"}.get(kind, "")
            key = KEYS.get(by) or f"${variable}_{word.replace('-', '_')}"
            return [f"hash {key} consistent;"]
        if policy in ("RANDOM", "RING_HASH") and backups:
            self._remark(f"table {name}: a backup goes with neither chance nor a ring: hosts in turn")
        return []

    # Locations.

    def _spots(self, row: forms.Route) -> list[Spot]:
        kind, path = tables.match_kind_and_path(row.match)
        if row.direct_response is not None:
            body = [f"return {row.direct_response.status};"]
            return _split(kind, path, body, body)
        upstream = self._upstream(row)
        if not upstream:
            return _split(kind, path, ["return 503;"], ["return 503;"])
        body = self._body(row)
        rewrite = row.route.prefix_rewrite if kind != "regex" else ""
        first = [f"proxy_pass http://{upstream}{rewrite};", *body]
        below = [f"proxy_pass http://{upstream}{rewrite}{'/' if rewrite else ''};", *body]
        return _split(kind, path, first, below)

    def _body(self, row: forms.Route) -> list[str]:
        tries = tables.tries_of(row.route.retry_policy)
        cluster = self._clusters[row.route.cluster]
        limit = round(parse_duration(row.route.timeout) * 1000)
        dial = round(parse_duration(cluster.connect_timeout) * 1000)
        rows = [f"proxy_read_timeout {limit}ms;", f"proxy_connect_timeout {dial}ms;"]
        if tries > 1:
            rows += [f"proxy_next_upstream {AGAIN};", f"proxy_next_upstream_tries {tries};"]
        else:
            rows.append("proxy_next_upstream off;")
        if tries == 1:
            self._remark("one more try after proof that none ran cannot be said: there is none")
        share, rate = tables.level_of(row.typed_per_filter_config)
        if not math.isinf(rate):
            rows += self._cap(row.name, rate)
        if share < 1:
            zone = f"let_{_word(row.name)}"
            cut = f'split_clients "$request_id" ${zone} {{ {(1 - share) * 100:.2f}% 1; * ""; }}'
            if cut not in self._text:
                self._text.append(cut)
            rows.insert(0, f"if (${zone}) {{ return 429; }}")
        return rows

    def _cap(self, name: str, rate: float) -> list[str]:
        told = f"{max(1, round(rate))}r/s" if rate >= 10 else f"{max(1, round(rate * 60))}r/m"
        zone = f"level_{_word(name)}_{told.replace('/', '')}"
        row = f"limit_req_zone $server_name zone={zone}:64k rate={told};"
        if row not in self._text:
            self._text.append(row)
        return [f"limit_req zone={zone} burst={max(1, math.ceil(rate))} nodelay;", "limit_req_status 429;"]

    def _ordered(self, spots: list[Spot]) -> Iterable[list[str]]:
        """Each as the lines of its location."""
        exact: dict[str, None] = {}
        prefixes: list[str] = []
        regexes: list[Spot] = []
        last = max((k for k, spot in enumerate(spots) if spot.kind == "regex"), default=-1)
        for k, spot in enumerate(spots):
            if any(spot.path.startswith(each) for each in prefixes) and spot.kind != "regex":
                continue  # nothing gets here
            if spot.kind == "regex":
                regexes.append(spot)
                yield _location("~", spot, [])
            elif spot.kind == "exact":
                before = next((r for r in regexes if re.fullmatch(r.path, spot.path)), None)
                if spot.path not in exact:
                    exact[spot.path] = None
                    yield _location("=", Spot("exact", spot.path, (before or spot).lines), [])
            else:
                prefixes.append(spot.path)
                if k < last and regexes:
                    # in a location of its own within: what is said there must not hold for the expressions
                    inner = [line for r in regexes for line in _location("~", r, [])]
                    yield _location("^~", Spot("prefix", spot.path, []), inner + _location("", spot, []))
                elif k < last:  # an expression behind it must not take its calls
                    yield _location("^~", spot, [])
                else:
                    yield _location("", spot, [])


def _split(kind: str, path: str, body: list[str], below: list[str]) -> list[Spot]:
    """A path and all below it is two locations."""
    if kind != "below":
        return [Spot(kind, path, body)]
    path = path.rstrip("/")
    return [Spot("prefix", "/", below)] if not path else [
        Spot("exact", path, body), Spot("prefix", path + "/", below)
    ]  # fmt: skip


def _location(modifier: str, spot: Spot, inner: list[str]) -> list[str]:
    path = anchored(spot.path) if spot.kind == "regex" else spot.path
    shown = path if PLAIN.match(path) else '"' + path.replace("\\", "\\\\").replace('"', '\\"') + '"'
    head = " ".join(word for word in ("location", modifier, shown) if word)
    return [f"{head} {{", *(f"  {line}" for line in [*spot.lines, *inner]), "}"]


def anchored(regex: str) -> str:
    """An expression that matches whole paths, in the form that is looked for anywhere."""
    flags = re.match(r"^\(\?[a-z]+\)", regex)
    head = flags[0] if flags else ""
    return f"{head}^(?:{regex[len(head) :]})$"


def _word(name: str) -> str:
    return re.sub(r"\W", "_", name)


def export(files: Mapping[str, bytes]) -> Exported:
    """`files`: cds.json, eds.json, rds.json.  Raises FormError, also where one is missing."""
    missing = [name for name in ("cds.json", "eds.json", "rds.json") if name not in files]
    if missing:
        raise MessageFormatError(f"{missing[0]} is missing: the group is no whole one yet")
    return Exporter(files).run()

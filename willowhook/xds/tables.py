"""What is ordered, in published forms: tables, binds, tries, levels and picks, and back again for a reader.

Where a form cannot carry an order to the letter the docs (`docs/files.md`) say what differs.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import TypeVar

from . import forms
from .codec import MessageFormatError, decode, format_duration, nanos, parse_duration, read_response

SCALE = 10_000  # a weight of 1, as the whole number that the form asks for
MAX_UINT32 = 2**32 - 1
FILL = 0.05  # the shortest time between fills that the published filter allows, seconds
MILLION = 1_000_000
LEAST = 1e-4  # calls a second at one proxy under which none is let in
UNLIMITED = 100_000.0  # calls a second at one proxy from which no limit is written
NOT_EXECUTED_HEADER = "x-never-ran"  # a host that gives a call back unbegun says so with this header
NEVER_RAN = "connect-failure,refused-stream,retriable-headers"
ANY_FAILURE = "5xx,reset,connect-failure,refused-stream"
THROTTLED, DROPPED = 429, 503

TableEntry = tuple[str, str, int, str, float, bool]  # host, address, port, zone, weight, draining


def whole(weight: float) -> int:
    """A weight as the form's whole number, never 0 for a weight above 0."""
    return min(max(round(weight * SCALE), 1), MAX_UINT32 // 4096)


def assignment(
    name: str, lines: Iterable[TableEntry], later: Mapping[str, int] | None = None
) -> forms.ClusterLoadAssignment:
    """A table; hosts are grouped by zone in the order in which zones first appear.

    `later`: hosts of a priority over 0, which serve only when none before them is open.
    """
    zones: dict[tuple[str, int], forms.LocalityLbEndpoints] = {}
    for host, address, port, zone, weight, draining in lines:
        priority = later.get(host, 0) if later else 0
        group = zones.get((zone, priority))
        if group is None:
            made = forms.LocalityLbEndpoints(forms.Locality(zone=zone), priority=priority)
            group = zones[zone, priority] = made
        at = forms.Address(forms.SocketAddress(address, port))
        health = forms.DRAINING if draining else forms.HEALTHY
        group.lb_endpoints.append(forms.LbEndpoint(forms.Endpoint(at, host), health, whole(weight)))
    return forms.ClusterLoadAssignment(name, list(zones.values()))


def lines(table: forms.ClusterLoadAssignment) -> list[TableEntry]:
    """A table's lines; raises FormError at one that no proxy could use."""
    found = []
    for group in table.endpoints:
        for row in group.lb_endpoints:
            at = row.endpoint.address.socket_address
            if at is None or not at.address or not 0 < at.port_value < 65536:
                raise MessageFormatError(f"{table.cluster_name}: {row.endpoint.hostname!r} has no address")
            if not 0 < row.load_balancing_weight <= MAX_UINT32:
                raise MessageFormatError(f"{table.cluster_name}: {row.endpoint.hostname!r} has no weight")
            name = row.endpoint.hostname or f"{at.address}:{at.port_value}"
            weight, out = row.load_balancing_weight / SCALE, row.health_status == forms.DRAINING
            found.append((name, at.address, at.port_value, group.locality.zone, weight, out))
    return found


def priorities(table: forms.ClusterLoadAssignment) -> dict[str, int]:
    """By host, in the order of `lines`."""
    found = {}
    for group in table.endpoints:
        for row in group.lb_endpoints:
            at = row.endpoint.address.socket_address
            usual = f"{at.address}:{at.port_value}" if at is not None else ""
            found[row.endpoint.hostname or usual] = group.priority
    return found


def cluster(name: str, table: str, path: str, pick: str, dial_ticks: int, strikes: int) -> forms.Cluster:
    """One route's cluster: several may name one table, which is what makes it shared."""
    made = forms.Cluster(name, "EDS", connect_timeout=format_duration(dial_ticks))
    made.eds_cluster_config = forms.EdsClusterConfig(forms.PathConfigSource(forms.PathSource(path)), table)
    if pick == "pair":
        made.lb_policy, made.least_request_lb_config = "LEAST_REQUEST", forms.LeastRequest(2)
    elif pick == "lottery":
        made.lb_policy = "RANDOM"
    elif pick == "ring":
        made.lb_policy = "RING_HASH"
    if strikes:
        made.outlier_detection = forms.OutlierDetection(strikes)
    return made


def retry(tries: int, per_try_ticks: int) -> forms.RetryPolicy:
    """0: none; 1: one, elsewhere, after proof that none ran; 2, 3: one or two after any failure."""
    if tries <= 0:
        return forms.RetryPolicy(num_retries=0)
    elsewhere = forms.RetryHostPredicate(forms.PREVIOUS_HOSTS, forms.TypedConfig(forms.PREVIOUS_HOSTS_TYPE))
    policy = forms.RetryPolicy(NEVER_RAN, 1, retry_host_predicate=[elsewhere])
    policy.host_selection_retry_max_attempts = 5
    if tries == 1:
        policy.retriable_headers = [forms.HeaderMatcher(NOT_EXECUTED_HEADER, True)]
    else:
        policy.retry_on, policy.num_retries = ANY_FAILURE, tries - 1
        policy.per_try_timeout = format_duration(per_try_ticks)
    return policy


def tries_of(policy: forms.RetryPolicy | None) -> int:
    """The number that `retry` was given; without a policy a proxy's own default, which is 1."""
    if policy is None:
        return 1
    if not policy.num_retries or not policy.retry_on:
        return 0
    return 1 if "5xx" not in policy.retry_on else 1 + policy.num_retries


def level(admit: str, value: float, come_back_s: int) -> dict[str, forms.HTTPFault | forms.LocalRateLimit]:
    """A level: as a rate the local rate limit, as a share the abort percentage; nothing if all is let in."""
    if admit == "none" or (admit == "ratio" and value >= 1) or (admit == "rps" and value >= UNLIMITED):
        return {}
    if admit == "ratio" or value < LEAST:
        share = min(max(value, 0.0), 1.0) if admit == "ratio" else 0.0
        cut = round((1 - share) * MILLION)
        abort = forms.FaultAbort(THROTTLED, forms.Percentage(cut, "MILLION"))
        return {forms.FAULT_FILTER: forms.HTTPFault(abort)}
    tokens = max(1, math.ceil(value * FILL))
    bucket = forms.TokenBucket(max(tokens, math.ceil(value)), tokens, nanos(round(tokens / value * 1e9)))
    whole_share = forms.RuntimeFraction(forms.Percentage(100))
    limit = forms.LocalRateLimit(
        "level", forms.HttpStatus(THROTTLED), bucket, whole_share, whole_share,
        [forms.HeaderValueOption(forms.HeaderValue("retry-after", str(come_back_s)))],
    )  # fmt: skip
    return {forms.RATE_LIMIT_FILTER: limit}


def level_of(filters: Mapping[str, forms.HTTPFault | forms.LocalRateLimit]) -> tuple[float, float]:
    """The share let in and the rate let in (infinite without a limit) of one route."""
    share, rate = 1.0, math.inf
    for row in filters.values():
        if isinstance(row, forms.HTTPFault):
            cut = row.abort.percentage if row.abort else forms.Percentage()
            per = {"HUNDRED": 100, "TEN_THOUSAND": 10_000, "MILLION": MILLION}.get(cut.denominator)
            if per is None or cut.numerator < 0:
                raise MessageFormatError(f"abort percentage of {cut.numerator} per {cut.denominator!r}")
            share = max(0.0, 1 - cut.numerator / per)
        else:
            rate = row.token_bucket.tokens_per_fill / max(
                parse_duration(row.token_bucket.fill_interval), 1e-9
            )
    return share, rate


def match(kind: str, path: str) -> forms.RouteMatch:
    """`kind`: below, exact, prefix or regex."""
    if kind == "regex":
        return forms.RouteMatch(safe_regex=forms.RegexMatcher(path))
    if kind == "exact":
        return forms.RouteMatch(path=path)
    return forms.RouteMatch(prefix=path) if kind == "prefix" else forms.RouteMatch(path)


def match_kind_and_path(made: forms.RouteMatch) -> tuple[str, str]:
    """Kind and path, as `match` was given them."""
    if made.safe_regex is not None:
        return "regex", made.safe_regex.regex
    if made.path:
        return "exact", made.path
    return ("prefix", made.prefix) if made.prefix else ("below", made.path_separated_prefix)


@lru_cache(4096)
def _regex(text: str) -> re.Pattern[str]:
    try:
        return re.compile(text)
    except re.error as fault:
        raise MessageFormatError(f"safe_regex {text[:80]!r}: {fault}") from fault


def matches(made: forms.RouteMatch, path: str) -> bool:
    """Whether a path, without its arguments, is matched; raises FormError for what is no expression."""
    kind, told = match_kind_and_path(made)
    if kind == "regex":
        return _regex(told).fullmatch(path) is not None
    if kind == "exact":
        return path == told
    if kind == "prefix":
        return path.startswith(told)
    told = told.rstrip("/")
    return path == told or path.startswith(told + "/")


def first_match(rows: Iterable[forms.Route], path: str) -> forms.Route | None:
    return next((row for row in rows if matches(row.match, path)), None)


def upstream_path(row: forms.Route, asked: str) -> str:
    """What a host is asked for: `asked`, its prefix rewritten where the route says so."""
    kind, told = match_kind_and_path(row.match)
    if not row.route.prefix_rewrite or kind not in ("prefix", "below", "exact"):
        return asked
    return row.route.prefix_rewrite + asked[len(told.rstrip("/") if kind == "below" else told) :]


def hash_policy(by: str) -> list[forms.HashPolicy]:
    """`by`: empty, source_ip, or header:, cookie: or query: with a name."""
    kind, _, name = by.partition(":")
    if kind == "header":
        return [forms.HashPolicy(header=forms.HashHeader(name))]
    if kind == "cookie":
        return [forms.HashPolicy(cookie=forms.HashNamed(name))]
    if kind == "query":
        return [forms.HashPolicy(query_parameter=forms.HashNamed(name))]
    return [forms.HashPolicy(connection_properties=forms.HashConnection(True))] if by else []


def hash_by(rows: list[forms.HashPolicy]) -> str:
    """What `hash_policy` was given; the first that is known."""
    for row in rows:
        if row.header is not None:
            return f"header:{row.header.header_name}"
        if row.cookie is not None:
            return f"cookie:{row.cookie.name}"
        if row.query_parameter is not None:
            return f"query:{row.query_parameter.name}"
        if row.connection_properties is not None and row.connection_properties.source_ip:
            return "source_ip"
    return ""


def route(
    name: str, path: str | forms.RouteMatch, to: str, limit_ticks: int, policy: forms.RetryPolicy,
    filters: dict[str, forms.HTTPFault | forms.LocalRateLimit], rewrite: str = "", by: str = "",
) -> forms.Route:  # fmt: skip
    """`path`: a text is matched by itself and all below it; `by`: see `hash_policy`."""
    action = forms.RouteAction(to, format_duration(limit_ticks), policy, rewrite, hash_policy(by))
    how = forms.RouteMatch(path) if isinstance(path, str) else path
    return forms.Route(name, how, action, typed_per_filter_config=filters)


def direct_response_route(made: forms.RouteMatch, status: int) -> forms.Route:
    """Calls that no host gets."""
    return forms.Route("closed", made, direct_response=forms.DirectResponse(status))


def route_set(name: str, rows: list[forms.Route]) -> forms.RouteConfiguration:
    """All routes of a proxy; the longest path first, as the first match wins."""
    ordered = sorted(rows, key=lambda row: -len(match_kind_and_path(row.match)[1]))
    return route_configuration(name, ordered)


def route_configuration(name: str, rows: list[forms.Route]) -> forms.RouteConfiguration:
    return forms.RouteConfiguration(name, [forms.VirtualHost("all", ["*"], rows)])


def cluster_routes(rows: Iterable[forms.Route]) -> list[forms.Route]:
    """Those that lead to hosts."""
    return [row for row in rows if row.direct_response is None]


T = TypeVar("T")


def read(data: bytes, type_url: str, kind: type[T]) -> tuple[forms.DiscoveryResponse, list[T]]:
    """One file: its envelope and its resources; raises FormError naming the resource."""
    got = read_response(data, type_url)
    found = []
    for at, raw in enumerate(got.resources):
        try:
            found.append(decode(bytes(raw), kind))
        except MessageFormatError as fault:
            raise MessageFormatError(f"resources[{at}]: {fault}") from fault
    return got, found


def read_tables(data: bytes) -> tuple[forms.DiscoveryResponse, list[forms.ClusterLoadAssignment]]:
    return read(data, forms.ASSIGNMENT, forms.ClusterLoadAssignment)


def read_clusters(data: bytes) -> tuple[forms.DiscoveryResponse, list[forms.Cluster]]:
    return read(data, forms.CLUSTER, forms.Cluster)


def read_routes(data: bytes) -> tuple[forms.DiscoveryResponse, list[forms.RouteConfiguration]]:
    return read(data, forms.ROUTES, forms.RouteConfiguration)

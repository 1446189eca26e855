"""Builds tables, clusters, routes and their limits as published xDS messages, and reads them back.

`docs/files.md` says where a message cannot express a setting exactly.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import TypeVar

from . import forms
from .codec import (
    MessageFormatError,
    decode,
    format_duration,
    format_nanoseconds,
    parse_duration,
    read_response,
)

SCALE = 10_000  # the integer that encodes a weight of 1
MAX_UINT32 = 2**32 - 1
MIN_FILL_INTERVAL_S = 0.05  # the shortest fill interval that the published filter allows
MILLION = 1_000_000
LEAST = 1e-4  # requests per second at one proxy below which none is admitted
UNLIMITED = 100_000.0  # requests per second at one proxy from which no limit is written
NOT_EXECUTED_HEADER = "x-never-ran"  # an endpoint sets it when it returns a request without executing it
RETRY_ON_NOT_EXECUTED = "connect-failure,refused-stream,retriable-headers"
RETRY_ON_ANY_FAILURE = "5xx,reset,connect-failure,refused-stream"
TOO_MANY_REQUESTS, DROPPED = 429, 503

TableEntry = tuple[str, str, int, str, float, bool]  # endpoint, address, port, zone, weight, draining


def scaled_weight(weight: float) -> int:
    """Returns a weight as the integer that the message has, never 0 for a weight above 0."""
    return min(max(round(weight * SCALE), 1), MAX_UINT32 // 4096)


def assignment(
    name: str, entries: Iterable[TableEntry], priorities_above_0: Mapping[str, int] | None = None
) -> forms.ClusterLoadAssignment:
    """Returns a table; endpoints are grouped by zone, in the order in which the zones first appear.

    Args:
        name: the name of the table.
        entries: the entries of the table.
        priorities_above_0: the priorities of the endpoints that serve only while none before them can.
    """
    zones: dict[tuple[str, int], forms.LocalityLbEndpoints] = {}
    for endpoint, address, port, zone, weight, draining in entries:
        priority = priorities_above_0.get(endpoint, 0) if priorities_above_0 else 0
        group = zones.get((zone, priority))
        if group is None:
            new_group = forms.LocalityLbEndpoints(forms.Locality(zone=zone), priority=priority)
            group = zones[zone, priority] = new_group
        socket = forms.Address(forms.SocketAddress(address, port))
        health = forms.DRAINING if draining else forms.HEALTHY
        group.lb_endpoints.append(
            forms.LbEndpoint(forms.Endpoint(socket, endpoint), health, scaled_weight(weight))
        )
    return forms.ClusterLoadAssignment(name, list(zones.values()))


def lines(table: forms.ClusterLoadAssignment) -> list[TableEntry]:
    """Returns the entries of a table. Raises MessageFormatError at an entry that no proxy could use."""
    entries = []
    for group in table.endpoints:
        for lb_endpoint in group.lb_endpoints:
            socket = lb_endpoint.endpoint.address.socket_address
            if socket is None or not socket.address or not 0 < socket.port_value < 65536:
                raise MessageFormatError(
                    f"{table.cluster_name}: {lb_endpoint.endpoint.hostname!r} has no address"
                )
            if not 0 < lb_endpoint.load_balancing_weight <= MAX_UINT32:
                raise MessageFormatError(
                    f"{table.cluster_name}: {lb_endpoint.endpoint.hostname!r} has no weight"
                )
            name = lb_endpoint.endpoint.hostname or f"{socket.address}:{socket.port_value}"
            weight, draining = (
                lb_endpoint.load_balancing_weight / SCALE,
                lb_endpoint.health_status == forms.DRAINING,
            )
            entries.append((name, socket.address, socket.port_value, group.locality.zone, weight, draining))
    return entries


def priorities(table: forms.ClusterLoadAssignment) -> dict[str, int]:
    """Returns the priority of each endpoint, in the order of `lines`."""
    priority_by_endpoint = {}
    for group in table.endpoints:
        for lb_endpoint in group.lb_endpoints:
            socket = lb_endpoint.endpoint.address.socket_address
            default_name = f"{socket.address}:{socket.port_value}" if socket is not None else ""
            priority_by_endpoint[lb_endpoint.endpoint.hostname or default_name] = group.priority
    return priority_by_endpoint


def cluster(
    name: str, table: str, path: str, pick: str, connect_timeout_ticks: int, consecutive_5xx: int
) -> forms.Cluster:
    """Returns the cluster of one route; the clusters of several routes may share one table.

    Args:
        name: the name of the cluster.
        table: the name of its table.
        path: the file of the tables.
        pick: how an endpoint is chosen: "pair" for least request of two, "lottery" for random, "ring" for
            ring hash, otherwise round robin.
        connect_timeout_ticks: the timeout of a connection attempt.
        consecutive_5xx: the failures in a row after which outlier detection ejects an endpoint; 0 for never.
    """
    message = forms.Cluster(name, "EDS", connect_timeout=format_duration(connect_timeout_ticks))
    message.eds_cluster_config = forms.EdsClusterConfig(forms.PathConfigSource(forms.PathSource(path)), table)
    if pick == "pair":
        message.lb_policy, message.least_request_lb_config = "LEAST_REQUEST", forms.LeastRequest(2)
    elif pick == "lottery":
        message.lb_policy = "RANDOM"
    elif pick == "ring":
        message.lb_policy = "RING_HASH"
    if consecutive_5xx:
        message.outlier_detection = forms.OutlierDetection(consecutive_5xx)
    return message


def retry(retry_mode: int, attempt_timeout_ticks: int) -> forms.RetryPolicy:
    """Returns the retry policy of a retry mode.

    0: no retry. 1: one retry, only if the request has provably not been executed. 2 and 3: one or two retries
    after any failure. Retries go to an endpoint that has not been tried.
    """
    if retry_mode <= 0:
        return forms.RetryPolicy(num_retries=0)
    other_endpoint = forms.RetryHostPredicate(
        forms.PREVIOUS_HOSTS, forms.TypedConfig(forms.PREVIOUS_HOSTS_TYPE)
    )
    policy = forms.RetryPolicy(RETRY_ON_NOT_EXECUTED, 1, retry_host_predicate=[other_endpoint])
    policy.host_selection_retry_max_attempts = 5
    if retry_mode == 1:
        policy.retriable_headers = [forms.HeaderMatcher(NOT_EXECUTED_HEADER, True)]
    else:
        policy.retry_on, policy.num_retries = RETRY_ON_ANY_FAILURE, retry_mode - 1
        policy.per_try_timeout = format_duration(attempt_timeout_ticks)
    return policy


def tries_of(policy: forms.RetryPolicy | None) -> int:
    """Returns the retry mode of a policy, as given to `retry`; without a policy, the proxy's default of 1."""
    if policy is None:
        return 1
    if not policy.num_retries or not policy.retry_on:
        return 0
    return 1 if "5xx" not in policy.retry_on else 1 + policy.num_retries


def level(admit: str, value: float, retry_after_s: int) -> dict[str, forms.HTTPFault | forms.LocalRateLimit]:
    """Returns the filters of an admission limit, none if all requests are admitted.

    A rate ("rps") becomes a local rate limit, an admitted fraction ("ratio") an abort percentage.
    """
    if admit == "none" or (admit == "ratio" and value >= 1) or (admit == "rps" and value >= UNLIMITED):
        return {}
    if admit == "ratio" or value < LEAST:
        admitted_fraction = min(max(value, 0.0), 1.0) if admit == "ratio" else 0.0
        aborts_per_million = round((1 - admitted_fraction) * MILLION)
        abort = forms.FaultAbort(TOO_MANY_REQUESTS, forms.Percentage(aborts_per_million, "MILLION"))
        return {forms.FAULT_FILTER: forms.HTTPFault(abort)}
    tokens = max(1, math.ceil(value * MIN_FILL_INTERVAL_S))
    bucket = forms.TokenBucket(
        max(tokens, math.ceil(value)), tokens, format_nanoseconds(round(tokens / value * 1e9))
    )
    all_requests = forms.RuntimeFraction(forms.Percentage(100))
    limit = forms.LocalRateLimit(
        "level", forms.HttpStatus(TOO_MANY_REQUESTS), bucket, all_requests, all_requests,
        [forms.HeaderValueOption(forms.HeaderValue("retry-after", str(retry_after_s)))],
    )  # fmt: skip
    return {forms.RATE_LIMIT_FILTER: limit}


def level_of(filters: Mapping[str, forms.HTTPFault | forms.LocalRateLimit]) -> tuple[float, float]:
    """Returns the admitted fraction and the admitted rate of one route; without a limit, 1 and infinity."""
    admitted_fraction, rate = 1.0, math.inf
    for message in filters.values():
        if isinstance(message, forms.HTTPFault):
            aborted = message.abort.percentage if message.abort else forms.Percentage()
            denominator = {"HUNDRED": 100, "TEN_THOUSAND": 10_000, "MILLION": MILLION}.get(
                aborted.denominator
            )
            if denominator is None or aborted.numerator < 0:
                raise MessageFormatError(
                    f"abort percentage of {aborted.numerator} per {aborted.denominator!r}"
                )
            admitted_fraction = max(0.0, 1 - aborted.numerator / denominator)
        else:
            rate = message.token_bucket.tokens_per_fill / max(
                parse_duration(message.token_bucket.fill_interval), 1e-9
            )
    return admitted_fraction, rate


def match(kind: str, path: str) -> forms.RouteMatch:
    """Returns the match of a path; `kind` is "below" (the path and all below it), exact, prefix or regex."""
    if kind == "regex":
        return forms.RouteMatch(safe_regex=forms.RegexMatcher(path))
    if kind == "exact":
        return forms.RouteMatch(path=path)
    return forms.RouteMatch(prefix=path) if kind == "prefix" else forms.RouteMatch(path)


def match_kind_and_path(route_match: forms.RouteMatch) -> tuple[str, str]:
    """Returns the kind and the path that `match` was given."""
    if route_match.safe_regex is not None:
        return "regex", route_match.safe_regex.regex
    if route_match.path:
        return "exact", route_match.path
    return (
        ("prefix", route_match.prefix) if route_match.prefix else ("below", route_match.path_separated_prefix)
    )


@lru_cache(4096)
def _regex(text: str) -> re.Pattern[str]:
    try:
        return re.compile(text)
    except re.error as error:
        raise MessageFormatError(f"safe_regex {text[:80]!r}: {error}") from error


def matches(route_match: forms.RouteMatch, path: str) -> bool:
    """Returns whether a path without its query matches. Raises MessageFormatError if a regex is malformed."""
    kind, pattern = match_kind_and_path(route_match)
    if kind == "regex":
        return _regex(pattern).fullmatch(path) is not None
    if kind == "exact":
        return path == pattern
    if kind == "prefix":
        return path.startswith(pattern)
    pattern = pattern.rstrip("/")
    return path == pattern or path.startswith(pattern + "/")


def first_match(routes: Iterable[forms.Route], path: str) -> forms.Route | None:
    """Returns the first route that matches a path without its query, or None."""
    return next((route for route in routes if matches(route.match, path)), None)


def upstream_path(route: forms.Route, requested_path: str) -> str:
    """Returns the path that the endpoint receives: the matched prefix is rewritten if the route says so."""
    kind, pattern = match_kind_and_path(route.match)
    if not route.route.prefix_rewrite or kind not in ("prefix", "below", "exact"):
        return requested_path
    return (
        route.route.prefix_rewrite
        + requested_path[len(pattern.rstrip("/") if kind == "below" else pattern) :]
    )


def hash_policy(by: str) -> list[forms.HashPolicy]:
    """Returns the hash policy of a `hash_by` setting.

    `by` is empty, "source_ip", or "header:", "cookie:" or "query:" with a name.
    """
    kind, _, name = by.partition(":")
    if kind == "header":
        return [forms.HashPolicy(header=forms.HashHeader(name))]
    if kind == "cookie":
        return [forms.HashPolicy(cookie=forms.HashNamed(name))]
    if kind == "query":
        return [forms.HashPolicy(query_parameter=forms.HashNamed(name))]
    return [forms.HashPolicy(connection_properties=forms.HashConnection(True))] if by else []


def hash_by(policies: list[forms.HashPolicy]) -> str:
    """Returns what `hash_policy` was given, by the first policy of a known kind."""
    for policy in policies:
        if policy.header is not None:
            return f"header:{policy.header.header_name}"
        if policy.cookie is not None:
            return f"cookie:{policy.cookie.name}"
        if policy.query_parameter is not None:
            return f"query:{policy.query_parameter.name}"
        if policy.connection_properties is not None and policy.connection_properties.source_ip:
            return "source_ip"
    return ""


def route(
    name: str, path: str | forms.RouteMatch, cluster_name: str, timeout_ticks: int,
    retry_policy: forms.RetryPolicy, filters: dict[str, forms.HTTPFault | forms.LocalRateLimit],
    prefix_rewrite: str = "", by: str = "",
) -> forms.Route:  # fmt: skip
    """Returns a route to a cluster; a `path` that is a string matches itself and all below it.

    `by` is as in `hash_policy`.
    """
    action = forms.RouteAction(
        cluster_name, format_duration(timeout_ticks), retry_policy, prefix_rewrite, hash_policy(by)
    )
    route_match = forms.RouteMatch(path) if isinstance(path, str) else path
    return forms.Route(name, route_match, action, typed_per_filter_config=filters)


def direct_response_route(route_match: forms.RouteMatch, status: int) -> forms.Route:
    """Returns a route whose requests the proxy answers with this status."""
    return forms.Route("closed", route_match, direct_response=forms.DirectResponse(status))


def route_set(name: str, routes: list[forms.Route]) -> forms.RouteConfiguration:
    """Returns a route configuration with the longest path first, since the first match wins."""
    ordered = sorted(routes, key=lambda route: -len(match_kind_and_path(route.match)[1]))
    return route_configuration(name, ordered)


def route_configuration(name: str, routes: list[forms.Route]) -> forms.RouteConfiguration:
    """Returns a route configuration of one virtual host, with the routes in the given order."""
    return forms.RouteConfiguration(name, [forms.VirtualHost("all", ["*"], routes)])


def cluster_routes(routes: Iterable[forms.Route]) -> list[forms.Route]:
    """Returns the routes that lead to a cluster."""
    return [route for route in routes if route.direct_response is None]


T = TypeVar("T")


def read(data: bytes, type_url: str, kind: type[T]) -> tuple[forms.DiscoveryResponse, list[T]]:
    """Decodes a response and its resources. Raises MessageFormatError, which names the resource."""
    response = read_response(data, type_url)
    resources = []
    for index, raw in enumerate(response.resources):
        try:
            resources.append(decode(bytes(raw), kind))
        except MessageFormatError as error:
            raise MessageFormatError(f"resources[{index}]: {error}") from error
    return response, resources


def read_tables(data: bytes) -> tuple[forms.DiscoveryResponse, list[forms.ClusterLoadAssignment]]:
    """Decodes a response of tables."""
    return read(data, forms.ASSIGNMENT, forms.ClusterLoadAssignment)


def read_clusters(data: bytes) -> tuple[forms.DiscoveryResponse, list[forms.Cluster]]:
    """Decodes a response of clusters."""
    return read(data, forms.CLUSTER, forms.Cluster)


def read_routes(data: bytes) -> tuple[forms.DiscoveryResponse, list[forms.RouteConfiguration]]:
    """Decodes a response of route configurations."""
    return read(data, forms.ROUTES, forms.RouteConfiguration)

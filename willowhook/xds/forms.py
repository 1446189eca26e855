"""The messages of xDS v3 that this program speaks, field by field as published, in proto3 JSON.

Only fields that are used are named; what a message holds besides is left alone when read, as proto3
has it.  Times are proto3 durations (`"0.25s"`).  Source: the protobuf files of the xDS API, version 3.
"""

from __future__ import annotations

from typing import Any

import msgspec

TYPES = "type.googleapis.com/"
ASSIGNMENT = TYPES + "envoy.config.endpoint.v3.ClusterLoadAssignment"
CLUSTER = TYPES + "envoy.config.cluster.v3.Cluster"
ROUTES = TYPES + "envoy.config.route.v3.RouteConfiguration"
RATE_LIMIT = TYPES + "envoy.extensions.filters.http.local_ratelimit.v3.LocalRateLimit"
FAULT = TYPES + "envoy.extensions.filters.http.fault.v3.HTTPFault"
RATE_LIMIT_FILTER, FAULT_FILTER = "envoy.filters.http.local_ratelimit", "envoy.filters.http.fault"
PREVIOUS_HOSTS = "envoy.retry_host_predicates.previous_hosts"
PREVIOUS_HOSTS_TYPE = TYPES + "envoy.extensions.retry.host.previous_hosts.v3.PreviousHostsPredicate"
DRAINING, HEALTHY = "DRAINING", "HEALTHY"
TYPE_URLS = {
    "cds": CLUSTER,
    "eds": ASSIGNMENT,
    "rds": ROUTES,
}  # by name of file, in the order in which to apply


class Form(msgspec.Struct, omit_defaults=True):
    """A message; a field at its default is left out, as in proto3."""


class Locality(Form):
    region: str = ""
    zone: str = ""


class Node(Form):
    id: str = ""
    cluster: str = ""
    locality: Locality = msgspec.field(default_factory=Locality)
    metadata: dict[str, Any] = msgspec.field(default_factory=dict)


class SocketAddress(Form):
    address: str = ""
    port_value: int = 0


class Pipe(Form):
    path: str = ""


class Address(Form):
    """One of the two."""

    socket_address: SocketAddress | None = None
    pipe: Pipe | None = None


class Endpoint(Form):
    address: Address
    hostname: str = ""


class LbEndpoint(Form):
    endpoint: Endpoint
    health_status: str = "UNKNOWN"
    load_balancing_weight: int = 0


class LocalityLbEndpoints(Form):
    locality: Locality = msgspec.field(default_factory=Locality)
    lb_endpoints: list[LbEndpoint] = msgspec.field(default_factory=list)
    priority: int = 0


class ClusterLoadAssignment(Form, tag_field="@type", tag=ASSIGNMENT):
    cluster_name: str = ""
    endpoints: list[LocalityLbEndpoints] = msgspec.field(default_factory=list)


class PathSource(Form):
    path: str = ""


class PathConfigSource(Form):
    path_config_source: PathSource = msgspec.field(default_factory=PathSource)


class EdsClusterConfig(Form):
    eds_config: PathConfigSource = msgspec.field(default_factory=PathConfigSource)
    service_name: str = ""


class LeastRequest(Form):
    choice_count: int = 0


class OutlierDetection(Form):
    consecutive_5xx: int = 0
    base_ejection_time: str = ""


class Cluster(Form, tag_field="@type", tag=CLUSTER):
    name: str = ""
    type: str = "STATIC"
    eds_cluster_config: EdsClusterConfig = msgspec.field(default_factory=EdsClusterConfig)
    connect_timeout: str = ""
    lb_policy: str = "ROUND_ROBIN"
    least_request_lb_config: LeastRequest = msgspec.field(default_factory=LeastRequest)
    outlier_detection: OutlierDetection | None = None


class Percentage(Form):
    numerator: int = 0
    denominator: str = "HUNDRED"


class FaultAbort(Form):
    http_status: int = 0
    percentage: Percentage = msgspec.field(default_factory=Percentage)


class HTTPFault(Form, tag_field="@type", tag=FAULT):
    abort: FaultAbort | None = None


class TokenBucket(Form):
    max_tokens: int = 0
    tokens_per_fill: int = 0
    fill_interval: str = ""


class HttpStatus(Form):
    code: int = 0


class HeaderValue(Form):
    key: str = ""
    value: str = ""


class HeaderValueOption(Form):
    header: HeaderValue


class RuntimeFraction(Form):
    default_value: Percentage = msgspec.field(default_factory=Percentage)


class LocalRateLimit(Form, tag_field="@type", tag=RATE_LIMIT):
    stat_prefix: str = ""
    status: HttpStatus = msgspec.field(default_factory=HttpStatus)
    token_bucket: TokenBucket = msgspec.field(default_factory=TokenBucket)
    filter_enabled: RuntimeFraction = msgspec.field(default_factory=RuntimeFraction)
    filter_enforced: RuntimeFraction = msgspec.field(default_factory=RuntimeFraction)
    response_headers_to_add: list[HeaderValueOption] = msgspec.field(default_factory=list)


class HeaderMatcher(Form):
    name: str = ""
    present_match: bool = False


class TypedConfig(Form):
    type: str = msgspec.field(name="@type", default="")


class RetryHostPredicate(Form):
    name: str = ""
    typed_config: TypedConfig = msgspec.field(default_factory=TypedConfig)


class RetryPolicy(Form):
    retry_on: str = ""
    num_retries: int | None = None
    per_try_timeout: str = ""
    retry_host_predicate: list[RetryHostPredicate] = msgspec.field(default_factory=list)
    host_selection_retry_max_attempts: int = 0
    retriable_headers: list[HeaderMatcher] = msgspec.field(default_factory=list)


class RegexMatcher(Form):
    regex: str = ""


class RouteMatch(Form):
    """One of the four; `safe_regex` is matched by the whole path."""

    path_separated_prefix: str = ""
    prefix: str = ""
    path: str = ""
    safe_regex: RegexMatcher | None = None


class HashHeader(Form):
    header_name: str = ""


class HashNamed(Form):
    name: str = ""


class HashConnection(Form):
    source_ip: bool = False


class HashPolicy(Form):
    """One of the four."""

    header: HashHeader | None = None
    cookie: HashNamed | None = None
    connection_properties: HashConnection | None = None
    query_parameter: HashNamed | None = None


class RouteAction(Form):
    cluster: str = ""
    timeout: str = ""
    retry_policy: RetryPolicy | None = None
    prefix_rewrite: str = ""
    hash_policy: list[HashPolicy] = msgspec.field(default_factory=list)


class DirectResponse(Form):
    status: int = 0


class Route(Form):
    """It leads to a cluster, or answers by itself."""

    name: str = ""
    match: RouteMatch = msgspec.field(default_factory=RouteMatch)
    route: RouteAction = msgspec.field(default_factory=RouteAction)
    direct_response: DirectResponse | None = None
    typed_per_filter_config: dict[str, HTTPFault | LocalRateLimit] = msgspec.field(default_factory=dict)


class VirtualHost(Form):
    name: str = ""
    domains: list[str] = msgspec.field(default_factory=list)
    routes: list[Route] = msgspec.field(default_factory=list)


class RouteConfiguration(Form, tag_field="@type", tag=ROUTES):
    name: str = ""
    virtual_hosts: list[VirtualHost] = msgspec.field(default_factory=list)


class DiscoveryResponse(Form):
    version_info: str = ""
    type_url: str = ""
    nonce: str = ""
    resources: list[msgspec.Raw] = msgspec.field(default_factory=list)


class Status(Form):
    code: int = 0
    message: str = ""


class DiscoveryRequest(Form):
    version_info: str = ""
    node: Node = msgspec.field(default_factory=Node)
    resource_names: list[str] = msgspec.field(default_factory=list)
    type_url: str = ""
    response_nonce: str = ""
    error_detail: Status | None = None


class Resource(Form):
    """One resource of a difference; `resource` has its type in it."""

    name: str = ""
    version: str = ""
    resource: msgspec.Raw = msgspec.Raw(b"{}")


class DeltaDiscoveryRequest(Form):
    node: Node = msgspec.field(default_factory=Node)
    type_url: str = ""
    resource_names_subscribe: list[str] = msgspec.field(default_factory=list)
    resource_names_unsubscribe: list[str] = msgspec.field(default_factory=list)
    initial_resource_versions: dict[str, str] = msgspec.field(default_factory=dict)
    response_nonce: str = ""
    error_detail: Status | None = None


class DeltaDiscoveryResponse(Form):
    system_version_info: str = ""
    resources: list[Resource] = msgspec.field(default_factory=list)
    type_url: str = ""
    removed_resources: list[str] = msgspec.field(default_factory=list)
    nonce: str = ""


class LoadStatsResponse(Form):
    send_all_clusters: bool = False
    load_reporting_interval: str = ""


class LoadMetricStats(Form):
    metric_name: str = ""
    num_requests_finished_with_metric: int = 0
    total_metric_value: float = 0.0


class UpstreamEndpointStats(Form):
    address: Address
    total_successful_requests: int = 0
    total_requests_in_progress: int = 0
    total_error_requests: int = 0
    total_issued_requests: int = 0
    load_metric_stats: list[LoadMetricStats] = msgspec.field(default_factory=list)


class UpstreamLocalityStats(Form):
    locality: Locality = msgspec.field(default_factory=Locality)
    total_successful_requests: int = 0
    total_error_requests: int = 0
    total_issued_requests: int = 0
    upstream_endpoint_stats: list[UpstreamEndpointStats] = msgspec.field(default_factory=list)


class DroppedRequests(Form):
    category: str = ""
    dropped_count: int = 0


class ClusterStats(Form):
    cluster_name: str = ""
    cluster_service_name: str = ""
    upstream_locality_stats: list[UpstreamLocalityStats] = msgspec.field(default_factory=list)
    total_dropped_requests: int = 0
    dropped_requests: list[DroppedRequests] = msgspec.field(default_factory=list)
    load_report_interval: str = ""


class LoadStatsRequest(Form):
    node: Node = msgspec.field(default_factory=Node)
    cluster_stats: list[ClusterStats] = msgspec.field(default_factory=list)


class GenericXdsConfig(Form):
    type_url: str = ""
    name: str = ""
    version_info: str = ""
    xds_config: msgspec.Raw = msgspec.Raw(b"{}")
    client_status: str = "UNKNOWN"


class ClientConfig(Form):
    """What a proxy holds, as the client status discovery service tells it."""

    node: Node = msgspec.field(default_factory=Node)
    generic_xds_configs: list[GenericXdsConfig] = msgspec.field(default_factory=list)

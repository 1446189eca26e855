"""The xDS v3 messages that this program reads and writes, in proto3 JSON.

Names are as published in the protobuf files of the xDS API, version 3. Only the fields in use are declared;
others are ignored when a message is read, as in proto3. Times are proto3 durations (`"0.25s"`).
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
TYPE_URLS = {  # by resource type, in the order in which a proxy applies them
    "cds": CLUSTER,
    "eds": ASSIGNMENT,
    "rds": ROUTES,
}


class Message(msgspec.Struct, omit_defaults=True):
    """The base of all messages; fields at their default are left out, as in proto3."""


class Locality(Message):
    """Where a proxy or an endpoint runs."""

    region: str = ""
    zone: str = ""


class Node(Message):
    """A proxy, as it identifies itself."""

    id: str = ""
    cluster: str = ""
    locality: Locality = msgspec.field(default_factory=Locality)
    metadata: dict[str, Any] = msgspec.field(default_factory=dict)


class SocketAddress(Message):
    """An IP address and a port."""

    address: str = ""
    port_value: int = 0


class Pipe(Message):
    """The path of a Unix domain socket."""

    path: str = ""


class Address(Message):
    """A socket address or a Unix domain socket; one of the two is set."""

    socket_address: SocketAddress | None = None
    pipe: Pipe | None = None


class Endpoint(Message):
    """The address and the name of an endpoint."""

    address: Address
    hostname: str = ""


class LbEndpoint(Message):
    """An endpoint with its health and its weight."""

    endpoint: Endpoint
    health_status: str = "UNKNOWN"
    load_balancing_weight: int = 0


class LocalityLbEndpoints(Message):
    """The endpoints of one locality and one priority."""

    locality: Locality = msgspec.field(default_factory=Locality)
    lb_endpoints: list[LbEndpoint] = msgspec.field(default_factory=list)
    priority: int = 0


class ClusterLoadAssignment(Message, tag_field="@type", tag=ASSIGNMENT):
    """A table of weighted endpoints."""

    cluster_name: str = ""
    endpoints: list[LocalityLbEndpoints] = msgspec.field(default_factory=list)


class PathSource(Message):
    """A file on the proxy."""

    path: str = ""


class PathConfigSource(Message):
    """A configuration source that is a file."""

    path_config_source: PathSource = msgspec.field(default_factory=PathSource)


class EdsClusterConfig(Message):
    """Which table a cluster uses, and where it comes from."""

    eds_config: PathConfigSource = msgspec.field(default_factory=PathConfigSource)
    service_name: str = ""


class LeastRequest(Message):
    """The settings of least-request load balancing."""

    choice_count: int = 0


class OutlierDetection(Message):
    """When a proxy ejects an endpoint, and for how long."""

    consecutive_5xx: int = 0
    base_ejection_time: str = ""


class Cluster(Message, tag_field="@type", tag=CLUSTER):
    """The upstream of a route: its table, load balancing and outlier detection."""

    name: str = ""
    type: str = "STATIC"
    eds_cluster_config: EdsClusterConfig = msgspec.field(default_factory=EdsClusterConfig)
    connect_timeout: str = ""
    lb_policy: str = "ROUND_ROBIN"
    least_request_lb_config: LeastRequest = msgspec.field(default_factory=LeastRequest)
    outlier_detection: OutlierDetection | None = None


class Percentage(Message):
    """A fraction, `numerator` out of `denominator`."""

    numerator: int = 0
    denominator: str = "HUNDRED"


class FaultAbort(Message):
    """The fraction of requests that a proxy rejects, and with which status."""

    http_status: int = 0
    percentage: Percentage = msgspec.field(default_factory=Percentage)


class HTTPFault(Message, tag_field="@type", tag=FAULT):
    """The settings of the fault injection filter."""

    abort: FaultAbort | None = None


class TokenBucket(Message):
    """The size and the refill rate of a rate limit."""

    max_tokens: int = 0
    tokens_per_fill: int = 0
    fill_interval: str = ""


class HttpStatus(Message):
    """An HTTP status code."""

    code: int = 0


class HeaderValue(Message):
    """A header."""

    key: str = ""
    value: str = ""


class HeaderValueOption(Message):
    """A header that a filter adds."""

    header: HeaderValue


class RuntimeFraction(Message):
    """The fraction of requests that a filter applies to."""

    default_value: Percentage = msgspec.field(default_factory=Percentage)


class LocalRateLimit(Message, tag_field="@type", tag=RATE_LIMIT):
    """The settings of the local rate limit filter."""

    stat_prefix: str = ""
    status: HttpStatus = msgspec.field(default_factory=HttpStatus)
    token_bucket: TokenBucket = msgspec.field(default_factory=TokenBucket)
    filter_enabled: RuntimeFraction = msgspec.field(default_factory=RuntimeFraction)
    filter_enforced: RuntimeFraction = msgspec.field(default_factory=RuntimeFraction)
    response_headers_to_add: list[HeaderValueOption] = msgspec.field(default_factory=list)


class HeaderMatcher(Message):
    """A condition on a header."""

    name: str = ""
    present_match: bool = False


class TypedConfig(Message):
    """The settings of an extension, of which only the type is given."""

    type: str = msgspec.field(name="@type", default="")


class RetryHostPredicate(Message):
    """Which endpoints a retry avoids."""

    name: str = ""
    typed_config: TypedConfig = msgspec.field(default_factory=TypedConfig)


class RetryPolicy(Message):
    """When, how often and where a proxy retries a request."""

    retry_on: str = ""
    num_retries: int | None = None
    per_try_timeout: str = ""
    retry_host_predicate: list[RetryHostPredicate] = msgspec.field(default_factory=list)
    host_selection_retry_max_attempts: int = 0
    retriable_headers: list[HeaderMatcher] = msgspec.field(default_factory=list)


class RegexMatcher(Message):
    """A regular expression."""

    regex: str = ""


class RouteMatch(Message):
    """Which paths a route matches; one of the four is set, and `safe_regex` has to match the whole path."""

    path_separated_prefix: str = ""
    prefix: str = ""
    path: str = ""
    safe_regex: RegexMatcher | None = None


class HashHeader(Message):
    """The header that ring hash uses."""

    header_name: str = ""


class HashNamed(Message):
    """The cookie or the query parameter that ring hash uses."""

    name: str = ""


class HashConnection(Message):
    """The property of the connection that ring hash uses."""

    source_ip: bool = False


class HashPolicy(Message):
    """What ring hash uses as its key; one of the four is set."""

    header: HashHeader | None = None
    cookie: HashNamed | None = None
    connection_properties: HashConnection | None = None
    query_parameter: HashNamed | None = None


class RouteAction(Message):
    """The cluster of a route, and how requests are sent to it."""

    cluster: str = ""
    timeout: str = ""
    retry_policy: RetryPolicy | None = None
    prefix_rewrite: str = ""
    hash_policy: list[HashPolicy] = msgspec.field(default_factory=list)


class DirectResponse(Message):
    """The status with which a proxy itself answers requests."""

    status: int = 0


class Route(Message):
    """A route to a cluster, or one whose requests the proxy answers itself."""

    name: str = ""
    match: RouteMatch = msgspec.field(default_factory=RouteMatch)
    route: RouteAction = msgspec.field(default_factory=RouteAction)
    direct_response: DirectResponse | None = None
    typed_per_filter_config: dict[str, HTTPFault | LocalRateLimit] = msgspec.field(default_factory=dict)


class VirtualHost(Message):
    """The routes of some domains; the first match wins."""

    name: str = ""
    domains: list[str] = msgspec.field(default_factory=list)
    routes: list[Route] = msgspec.field(default_factory=list)


class RouteConfiguration(Message, tag_field="@type", tag=ROUTES):
    """All routes of a proxy."""

    name: str = ""
    virtual_hosts: list[VirtualHost] = msgspec.field(default_factory=list)


class DiscoveryResponse(Message):
    """The full state of one resource type, or one of its files."""

    version_info: str = ""
    type_url: str = ""
    nonce: str = ""
    resources: list[msgspec.Raw] = msgspec.field(default_factory=list)


class Status(Message):
    """An error, as `google.rpc.Status`."""

    code: int = 0
    message: str = ""


class DiscoveryRequest(Message):
    """A request for the full state of a resource type; it also accepts or rejects the last response."""

    version_info: str = ""
    node: Node = msgspec.field(default_factory=Node)
    resource_names: list[str] = msgspec.field(default_factory=list)
    type_url: str = ""
    response_nonce: str = ""
    error_detail: Status | None = None


class Resource(Message):
    """One resource of a delta; `resource` carries its own type."""

    name: str = ""
    version: str = ""
    resource: msgspec.Raw = msgspec.Raw(b"{}")


class DeltaDiscoveryRequest(Message):
    """A request for a delta of a resource type; it also accepts or rejects the last response."""

    node: Node = msgspec.field(default_factory=Node)
    type_url: str = ""
    resource_names_subscribe: list[str] = msgspec.field(default_factory=list)
    resource_names_unsubscribe: list[str] = msgspec.field(default_factory=list)
    initial_resource_versions: dict[str, str] = msgspec.field(default_factory=dict)
    response_nonce: str = ""
    error_detail: Status | None = None


class DeltaDiscoveryResponse(Message):
    """The resources that have changed, and the names of those that were removed."""

    system_version_info: str = ""
    resources: list[Resource] = msgspec.field(default_factory=list)
    type_url: str = ""
    removed_resources: list[str] = msgspec.field(default_factory=list)
    nonce: str = ""


class LoadStatsResponse(Message):
    """For which clusters and how often a proxy is to send load reports."""

    send_all_clusters: bool = False
    load_reporting_interval: str = ""


class LoadMetricStats(Message):
    """The sum of one metric that responses have carried."""

    metric_name: str = ""
    num_requests_finished_with_metric: int = 0
    total_metric_value: float = 0.0


class UpstreamEndpointStats(Message):
    """The requests to one endpoint within a report."""

    address: Address
    total_successful_requests: int = 0
    total_requests_in_progress: int = 0
    total_error_requests: int = 0
    total_issued_requests: int = 0
    load_metric_stats: list[LoadMetricStats] = msgspec.field(default_factory=list)


class UpstreamLocalityStats(Message):
    """The requests to the endpoints of one locality within a report."""

    locality: Locality = msgspec.field(default_factory=Locality)
    total_successful_requests: int = 0
    total_error_requests: int = 0
    total_issued_requests: int = 0
    upstream_endpoint_stats: list[UpstreamEndpointStats] = msgspec.field(default_factory=list)


class DroppedRequests(Message):
    """The requests that a proxy has rejected itself, for one reason."""

    category: str = ""
    dropped_count: int = 0


class ClusterStats(Message):
    """The requests to one cluster within a report."""

    cluster_name: str = ""
    cluster_service_name: str = ""
    upstream_locality_stats: list[UpstreamLocalityStats] = msgspec.field(default_factory=list)
    total_dropped_requests: int = 0
    dropped_requests: list[DroppedRequests] = msgspec.field(default_factory=list)
    load_report_interval: str = ""


class LoadStatsRequest(Message):
    """A load report."""

    node: Node = msgspec.field(default_factory=Node)
    cluster_stats: list[ClusterStats] = msgspec.field(default_factory=list)


class GenericXdsConfig(Message):
    """A resource that a proxy holds, and whether it has accepted it."""

    type_url: str = ""
    name: str = ""
    version_info: str = ""
    xds_config: msgspec.Raw = msgspec.Raw(b"{}")
    client_status: str = "UNKNOWN"


class ClientConfig(Message):
    """What a proxy holds, as in the client status discovery service."""

    node: Node = msgspec.field(default_factory=Node)
    generic_xds_configs: list[GenericXdsConfig] = msgspec.field(default_factory=list)

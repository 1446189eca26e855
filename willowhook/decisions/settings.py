"""Settings of a deployment.

Times are in ticks, rates are per second, and update costs are in endpoint entries. The settings document is
read by `willowhook.settings_codec`, the configuration file of the file control plane by `willowhook.config`;
only these two know the keys.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .runtime import RetryMode


class RequestSemantics(Enum):
    """Effect of running a request twice. The values are those of the settings document."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"  # endpoints detect repeated requests by their idempotency key
    AT_MOST_ONCE = "at_most_once"


class AdmissionUnit(Enum):
    """Unit of the admission limits, as proxies interpret them."""

    FRACTION = "fraction"  # of the route's requests
    REQUESTS_PER_SECOND = "requests_per_second"  # at each proxy
    NONE = "none"  # proxies ignore limits, but follow retry modes


class LoadSource(Enum):
    """How endpoints report their load."""

    RESPONSES = "responses"  # with requests and health checks
    HEALTH_CHECKS = "health_checks"  # with health checks only
    NONE = "none"


class Route(NamedTuple):
    """A class of requests with common settings.

    Attributes:
        name: name in load reports.
        latency_objective_ticks: latency above which a response has a lower value.
        deadline_ticks: latency above which a response has no value.
        priority_weight: value of a response within the latency objective.
        semantics: whether a request may run more than once.
        same_zone_only: whether only endpoints in the proxy's zone may serve it.
        allowed_zones: zones whose endpoints may serve it; empty if any may.
        allowed_classes: endpoint classes that may serve it; empty if any may.
    """

    name: str
    latency_objective_ticks: int
    deadline_ticks: int
    priority_weight: float
    semantics: RequestSemantics
    same_zone_only: bool
    allowed_zones: tuple[str, ...]
    allowed_classes: tuple[str, ...]


class ChannelSettings(NamedTuple):
    """The channel that carries a controller's updates to its proxies.

    Attributes:
        entries_per_second: rate at which it carries endpoint entries.
        message_overhead_entries: cost of a message without its entries.
        queue_limit_entries: maximum number of entries that may wait in the channel.
        typical_delay_ticks: typical delay of a message after it has left the queue.
        max_delay_ticks: maximum delay of a message after it has left the queue.
        message_cap: maximum number of messages to one proxy within `message_cap_window_ticks`; 0 for no cap.
        message_cap_window_ticks: window of the message cap.
        entry_price: price of one entry, in the unit of `Route.priority_weight`.
    """

    entries_per_second: float
    message_overhead_entries: float
    queue_limit_entries: float
    typical_delay_ticks: int
    max_delay_ticks: int
    message_cap: int
    message_cap_window_ticks: int
    entry_price: float


class RuleSettings(NamedTuple):
    """Limits that a controller has to respect.

    Attributes:
        empty_table_grace_ticks: maximum time that a connected proxy may be without a usable endpoint.
        drain_grace_ticks: time after which no request may reach a draining or removed endpoint.
        discovery_poll_ticks: maximum time between two requests for the endpoint list; 0 if none is stated.
        slow_start_fraction: share of its capacity that an endpoint has when it starts.
        slow_start_ticks: time after its start when an endpoint has its full capacity.
        recovery_overload_factor: maximum load of a recovering endpoint, as a multiple of its capacity.
    """

    empty_table_grace_ticks: int
    drain_grace_ticks: int
    discovery_poll_ticks: int
    slow_start_fraction: float
    slow_start_ticks: int
    recovery_overload_factor: float


class FleetSettings(NamedTuple):
    """The fleet of proxies.

    Attributes:
        proxy_count: number of proxies in the deployment, over all controllers.
        avoidance_failures: consecutive failures after which a proxy itself avoids an endpoint; 0 for never.
        bootstrap_table_size: number of endpoints in the table that a proxy starts with; 0 for no table.
        admission_unit: unit of the admission limits.
        default_retries: retry mode of a proxy until a controller sets one.
        report_interval_ticks: interval between two reports of one sender.
        cross_zone_price: price of a request to an endpoint in another zone, in the unit of
            `Route.priority_weight`.
        load_source: how endpoints report their load.
    """

    proxy_count: int
    avoidance_failures: int
    bootstrap_table_size: int
    admission_unit: AdmissionUnit
    default_retries: RetryMode
    report_interval_ticks: int
    cross_zone_price: float
    load_source: LoadSource


class DeploymentSettings(NamedTuple):
    """Settings of a deployment, for one of its controllers.

    Attributes:
        local_zone: zone of the controller.
        zones: all zones, in the order of the settings document.
        list_on_request: whether the endpoint list is sent only on request.
        health_checks: whether the controller may send health checks.
        lists_capacity: whether the listed weight of an endpoint is its capacity.
        routes: in the order of the settings document; commands name a route by its index here.
        channel: settings of the channel to the proxies.
        rules: limits that the controller has to respect.
        fleet: settings of the proxies.
        exclusions_outlive_sessions: whether a proxy that joins another controller keeps the exclusions of the
            previous one.
    """

    local_zone: str
    zones: tuple[str, ...]
    list_on_request: bool
    health_checks: bool
    lists_capacity: bool
    routes: tuple[Route, ...]
    channel: ChannelSettings
    rules: RuleSettings
    fleet: FleetSettings
    exclusions_outlive_sessions: bool = False

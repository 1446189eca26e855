"""The settings of a deployment, as the decisions read them.

Times are ticks, rates are per second, and the cost of an update is counted in endpoint entries. The settings
document is read by `willowhook.settings_codec`, the configuration file of the file control plane by
`willowhook.config`; nothing past those two knows the keys.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .runtime import RetryMode


class RequestSemantics(Enum):
    """What running a request a second time does. The values are those of the settings document."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"  # an endpoint recognizes a repeat by its idempotency key
    AT_MOST_ONCE = "at_most_once"


class AdmissionUnit(Enum):
    """How proxies read an admission limit."""

    FRACTION = "fraction"  # of the route's requests
    REQUESTS_PER_SECOND = "requests_per_second"  # at each proxy
    NONE = "none"  # limits are ignored, retry modes are followed


class LoadSource(Enum):
    """Where endpoints report their load."""

    RESPONSES = "responses"  # with requests and health checks
    HEALTH_CHECKS = "health_checks"  # with health checks only
    NONE = "none"


class Route(NamedTuple):
    """A class of requests.

    Attributes:
        name: the name used in reports.
        latency_objective_ticks: a response that is later earns less.
        deadline_ticks: a response that is later earns nothing.
        priority_weight: the value of a response within the latency objective.
        semantics: whether a request may run more than once.
        same_zone_only: whether only endpoints in the proxy's zone may serve it.
        allowed_zones: zones whose endpoints may serve it; empty: any.
        allowed_classes: endpoint classes that may serve it; empty: any.
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
        entries_per_second: the rate at which it carries endpoint entries.
        message_overhead_entries: the cost of a message without its entries.
        queue_limit_entries: the most entries that may wait in the channel.
        typical_delay_ticks: how long a message usually takes once it has left the queue.
        max_delay_ticks: how long one may take.
        message_cap: messages to one proxy within `message_cap_window_ticks`; 0: no cap.
        message_cap_window_ticks: the window of the cap.
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
    """The limits of the rules that a controller has to keep.

    Attributes:
        empty_table_grace_ticks: how long a connected proxy may be without a usable endpoint.
        drain_grace_ticks: time after which no request may reach a draining or removed endpoint.
        discovery_poll_ticks: the longest time between two requests for the endpoint list; bounds the backoff.
        slow_start_fraction: share of its capacity that a newly started endpoint has at once.
        slow_start_ticks: time after its start when an endpoint has all of its capacity.
        recovery_overload_factor: how far over its capacity a recovering endpoint may be loaded.
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
        proxy_count: in the whole deployment, over all controllers.
        avoidance_failures: failures in a row after which a proxy avoids an endpoint by itself; 0: never.
        bootstrap_table_size: number of endpoints in the table that a proxy starts with; 0: it has none.
        admission_unit: how proxies read admission limits.
        default_retries: when a proxy retries before a controller sets it.
        report_interval_ticks: between two reports of one sender.
        cross_zone_price: what a request to an endpoint in another zone costs, in the unit of
            `Route.priority_weight`.
        load_source: where endpoints report their load.
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
    """All that a controller is told of its deployment.

    Attributes:
        local_zone: the controller's own zone.
        zones: all zones, in the order of the settings document.
        list_on_request: whether the endpoint list comes only when it is asked for.
        health_checks: whether the controller may send health checks.
        lists_capacity: whether the weight of a listed endpoint tells of its capacity.
        routes: in the order of the settings document; commands name a route by its index here.
        channel: the channel to the proxies.
        rules: the limits of the rules.
        fleet: the proxies.
        exclusions_outlive_sessions: whether a proxy keeps, when it joins another controller, the endpoints
            that the one before excluded.
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

"""What happens to a controller, as typed events.

The platform server, the simulator's adapter and the file control plane make these from what they read; a
`Controller` handles them. Proxies are named by their number, endpoints by their name, routes by their name in
reports. Times are ticks.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class EndpointState(Enum):
    """Where an endpoint stands in its life, as the endpoint list says."""

    IN_SERVICE = "in service"
    DRAINING = "draining"
    REMOVED = "removed"


class HealthCheckOutcome(Enum):
    """How a health check ended."""

    HEALTHY = "healthy"
    FAILED = "failed"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    ABORTED = "aborted"


class ProxyJoined(NamedTuple):
    """A proxy has opened a session with this controller.

    Attributes:
        proxy: its number.
        zone: its zone.
        usual_rate_per_second: the rate of requests that usually reach it.
        is_fresh: whether no controller has sent it a table since it started.
    """

    proxy: int
    zone: str
    usual_rate_per_second: float
    is_fresh: bool


class ProxyLeft(NamedTuple):
    """A proxy's session with this controller has ended."""

    proxy: int


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list.

    Attributes:
        name: of the endpoint.
        state: in service, draining or removed.
        started_at: when its process started, in ticks; 0: long ago.
        listed_weight: its share; it tells of its capacity if `DeploymentSettings.lists_capacity`.
        endpoint_class: the kind of machine; routes may allow some only.
        zone: where it is.
    """

    name: str
    state: EndpointState
    started_at: int
    listed_weight: float
    endpoint_class: str
    zone: str


class EndpointListReceived(NamedTuple):
    """The endpoint list, or changes to it.

    Attributes:
        is_complete: whether endpoints that have no entry are not listed any more.
        entries: the entries, in the order of the list.
    """

    is_complete: bool
    entries: tuple[EndpointEntry, ...]


class EndpointListLost(NamedTuple):
    """Discovery did not answer, or not with an endpoint list."""


class EndpointReport(NamedTuple):
    """What proxies met at one endpoint since the last report.

    Attributes:
        endpoint: its name.
        attempts: number of attempts that have ended.
        failures: number of these that failed.
        mean_latency_ticks: mean latency of those that succeeded.
        cpu_utilization: share of its cores in use, as last reported; None: not reported.
    """

    endpoint: str
    attempts: int
    failures: int
    mean_latency_ticks: int
    cpu_utilization: float | None


class RequestReport(NamedTuple):
    """The requests of one route that reached a proxy.

    Attributes:
        proxy: its number.
        route: the route's name.
        requests: number of requests that reached it.
        window_ticks: length of the time window that the report covers.
    """

    proxy: int
    route: str
    requests: int
    window_ticks: int


class HealthCheckCompleted(NamedTuple):
    """A health check that the controller asked for has ended.

    Attributes:
        endpoint: its name.
        outcome: its result.
        cpu_utilization: share of the cores in use, as the endpoint answered; None: not reported.
    """

    endpoint: str
    outcome: HealthCheckOutcome
    cpu_utilization: float | None


class MessageAcknowledged(NamedTuple):
    """A proxy has applied the message that carried this sync marker, and all before it."""

    proxy: int
    marker: int


class EvaluationDue(NamedTuple):
    """The time of the periodic evaluation has come, as the controller asked for."""


Event = (
    ProxyJoined
    | ProxyLeft
    | EndpointListReceived
    | EndpointListLost
    | EndpointReport
    | RequestReport
    | HealthCheckCompleted
    | MessageAcknowledged
    | EvaluationDue
)

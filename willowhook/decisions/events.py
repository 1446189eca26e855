"""The input events of a `Controller`.

The platform server, the simulator's adapter and the file control plane create these from their inputs.
Proxies are identified by number, endpoints by name, and routes by their name in load reports. Times are in
ticks.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class EndpointState(Enum):
    """Lifecycle state of an endpoint, as listed by service discovery."""

    IN_SERVICE = "in service"
    DRAINING = "draining"
    REMOVED = "removed"


class HealthCheckOutcome(Enum):
    """Result of a health check."""

    HEALTHY = "healthy"
    FAILED = "failed"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    ABORTED = "aborted"


class ProxyJoined(NamedTuple):
    """A proxy has opened a session with this controller.

    Attributes:
        proxy: number of the proxy.
        zone: zone of the proxy.
        usual_rate_per_second: usual rate of requests at the proxy.
        is_fresh: whether no controller has sent the proxy a table since it started.
    """

    proxy: int
    zone: str
    usual_rate_per_second: float
    is_fresh: bool


class ProxyLeft(NamedTuple):
    """A proxy's session with this controller has ended.

    Attributes:
        proxy: number of the proxy.
        is_ended_by_controller: whether this controller closed the connection; the messages to the proxy that
            wait in the channel then go on counting.
    """

    proxy: int
    is_ended_by_controller: bool = False


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list.

    Attributes:
        name: name of the endpoint.
        state: in service, draining or removed.
        started_at: start time of its process, in ticks; 0 if it started long ago.
        listed_weight: its listed weight; its capacity if `DeploymentSettings.lists_capacity` is set.
        endpoint_class: its endpoint class, such as a machine type; routes may allow only some classes.
        zone: zone of the endpoint.
    """

    name: str
    state: EndpointState
    started_at: int
    listed_weight: float
    endpoint_class: str
    zone: str


class EndpointListReceived(NamedTuple):
    """Service discovery has sent the endpoint list, or changes to it.

    Attributes:
        is_complete: whether endpoints without an entry are no longer listed.
        entries: the entries, in the order of the list.
    """

    is_complete: bool
    entries: tuple[EndpointEntry, ...]


class EndpointListLost(NamedTuple):
    """A request to service discovery returned no endpoint list."""


class EndpointReport(NamedTuple):
    """Outcomes of the attempts at one endpoint since the last report.

    Attributes:
        endpoint: name of the endpoint.
        attempts: number of completed attempts.
        failures: number of failed attempts among these.
        mean_latency_ticks: mean latency of the successful attempts.
        cpu_utilization: share of its cores in use, as last reported; None if not reported.
    """

    endpoint: str
    attempts: int
    failures: int
    mean_latency_ticks: int
    cpu_utilization: float | None


class RequestReport(NamedTuple):
    """Number of requests of one route that reached a proxy in a time window.

    Attributes:
        proxy: number of the proxy.
        route: name of the route.
        requests: number of requests that reached the proxy.
        window_ticks: length of the time window that the report covers.
    """

    proxy: int
    route: str
    requests: int
    window_ticks: int


class HealthCheckCompleted(NamedTuple):
    """A health check requested by the controller has completed.

    Attributes:
        endpoint: name of the endpoint.
        outcome: result of the check.
        cpu_utilization: share of the cores in use, from the response; None if not reported.
    """

    endpoint: str
    outcome: HealthCheckOutcome
    cpu_utilization: float | None


class MessageAcknowledged(NamedTuple):
    """A proxy has applied the message with this sync marker and all earlier messages."""

    proxy: int
    marker: int


class EvaluationDue(NamedTuple):
    """A timer that the controller set is due: for the periodic evaluation, or to request the list again."""


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

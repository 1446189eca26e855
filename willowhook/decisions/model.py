"""Data model of endpoints, tables and proxies, without decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .events import EndpointState
from .runtime import AdmissionLimit
from .settings import Route
from .windows import WindowedSums

REPORT_BUCKETS = 4  # buckets kept, and summed for single endpoints; see ControllerContext.bucket_ticks
RECENT_BUCKETS = 2  # buckets summed for the whole fleet, which needs fewer reports


class AttemptSums(NamedTuple):
    """Outcomes of attempts, summed over a window.

    Attributes:
        attempts: number of attempts.
        failures: number of failed attempts.
        latency_ticks: sum of the latencies of the successful attempts.
    """

    attempts: float
    failures: float
    latency_ticks: float

    @property
    def successes(self) -> float:
        """Number of successful attempts."""
        return self.attempts - self.failures

    @property
    def mean_latency_ticks(self) -> float:
        """Mean latency of the successful attempts; requires at least one."""
        return self.latency_ticks / (self.attempts - self.failures)


class Endpoint:
    """State of a listed endpoint.

    Attributes:
        name: name in the endpoint list.
        state, is_in_service: state as last listed; set by `set_state`.
        started_at: start time of its process; 0 if it started long ago.
        endpoint_class: its endpoint class, such as a machine type.
        zone: zone of the endpoint.
        capacity: capacity relative to the mean, listed or learnt.
        latency_factor: factor on its capacity, learnt from its latency.
        is_ejected, ejected_until, ejection_ticks: outlier ejection, its end, and its duration.
        utilization, utilization_at: last reported share of cores in use, and its time; the time is None if
            none was reported.
        next_health_check_at, missed_health_check: time of the next check, and whether the last one timed out
            or could not reach the endpoint.
        is_excluded, exclusion_changed_at: whether proxies were notified not to use it, and the time of the
            last change.
        is_new: whether it was first listed while this controller was running.
        restarted_in_service: whether it restarted without being listed as draining in between; it is
            excluded first, so that its readmission carries its slow-start weight.
    """

    def __init__(self, name: str, bucket_ticks: int) -> None:
        self.name = name
        self.state = EndpointState.REMOVED
        self.is_in_service = False  # cached, as it is read for each endpoint of each table
        self.started_at = 0
        self.endpoint_class = ""
        self.zone = ""
        self.capacity = 1.0
        self.latency_factor = 1.0
        self.is_ejected = False
        self.ejected_until = 0
        self.ejection_ticks = 0
        self.utilization = 0.0
        self.utilization_at: int | None = None
        self.next_health_check_at = 0
        self.missed_health_check = False
        self.is_excluded = False
        self.exclusion_changed_at = 0
        self.is_new = False
        self.restarted_in_service = False
        self._attempts = WindowedSums(bucket_ticks, REPORT_BUCKETS, len(AttemptSums._fields))

    def set_state(self, state: EndpointState) -> None:
        """Sets the state that the endpoint list gives."""
        self.state = state
        self.is_in_service = state is EndpointState.IN_SERVICE

    def record_attempts(self, now: int, attempts: int, failures: int, latency_ticks: int) -> None:
        """Adds reported attempts; `latency_ticks` is the sum over the successful ones."""
        self._attempts.add(now, attempts, failures, latency_ticks)

    def attempts(self, now: int, buckets: int = REPORT_BUCKETS) -> AttemptSums:
        """Returns the outcomes of the attempts in the last `buckets` buckets."""
        return AttemptSums(*self._attempts.total(now, buckets))

    def forget_attempts(self) -> None:
        """Clears the sums when they date from a previous process or from before an ejection."""
        self._attempts.clear()

    def has_recent_utilization(self, now: int, max_age_ticks: int) -> bool:
        """Whether the last reported utilization is more recent than this age."""
        return self.utilization_at is not None and now - self.utilization_at < max_age_ticks


@dataclass(eq=False, slots=True)
class EndpointTable:
    """A table of weighted endpoints, shared by all proxies bound to it.

    Attributes:
        number: number of the table in commands.
        routes: indexes of the routes that it serves.
        requirements: one of these routes, for its placement constraints; all of them have the same.
        zone: zone of the proxies that use it; None for proxies of all zones.
        subset: subset of proxies that uses it; None for a default table.
        members: endpoints of a subset table; empty if all that meet the requirements are allowed.
        remote_factor: factor on the weights of endpoints in other zones.
        entries: last sent weight, by endpoint.
        limits: last sent admission limit, by route index.
        pending_resend: entries to send again because proxies were bound after they were sent.
    """

    number: int
    routes: list[int]
    requirements: Route
    zone: str | None
    subset: int | None = None
    members: list[Endpoint] = field(default_factory=list)
    remote_factor: float = 1.0
    entries: dict[str, float] = field(default_factory=dict)
    limits: dict[int, AdmissionLimit] = field(default_factory=dict)
    pending_resend: dict[str, None] = field(default_factory=dict)

    def is_for_zone(self, zone: str) -> bool:
        """Whether proxies of this zone use the table."""
        return self.zone is None or self.zone == zone


class ProxySession(NamedTuple):
    """Session of a proxy that has joined.

    Attributes:
        zone: zone of the proxy.
        usual_rate_per_second: usual rate of requests at the proxy.
    """

    zone: str
    usual_rate_per_second: float

"""What a controller knows of endpoints, tables and proxies. No decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .events import EndpointState
from .runtime import AdmissionLimit
from .settings import Route
from .windows import WindowedSums

REPORT_BUCKETS = 4  # buckets kept, and used to judge one endpoint; see ControllerContext.bucket_ticks
RECENT_BUCKETS = 2  # buckets used to judge the fleet, which needs less


class AttemptSums(NamedTuple):
    """Outcomes of attempts, summed over a window.

    Attributes:
        attempts: number of attempts.
        failures: number of these that failed.
        latency_ticks: sum of the latencies of those that succeeded.
    """

    attempts: float
    failures: float
    latency_ticks: float

    @property
    def successes(self) -> float:
        """Attempts that succeeded."""
        return self.attempts - self.failures

    @property
    def mean_latency_ticks(self) -> float:
        """Mean latency of the attempts that succeeded; there must be one."""
        return self.latency_ticks / (self.attempts - self.failures)


class Endpoint:
    """A listed endpoint, as this controller knows it.

    Attributes:
        name: as in the endpoint list.
        state, is_in_service: as last listed; set by `set_state`.
        started_at: when its process started; 0: long ago.
        endpoint_class: the kind of machine.
        zone: where it is.
        capacity: relative to the mean, as listed or as learnt.
        latency_factor: factor on its capacity, learnt from its latency.
        is_ejected, ejected_until, ejection_ticks: outlier ejection, its end, and its duration.
        utilization, utilization_at: share of cores in use as last reported, and when; None: never.
        next_health_check_at, missed_health_check: when the next is due; whether the last one failed.
        is_excluded, exclusion_changed_at: whether proxies were told not to use it, and since when.
        is_new: whether it was listed for the first time while this controller was running.
        restarted_in_service: whether it restarted without being listed as draining in between; it is
            excluded first, so that its readmission carries its slow-start weight.
    """

    def __init__(self, name: str, bucket_ticks: int) -> None:
        self.name = name
        self.state = EndpointState.REMOVED
        self.is_in_service = False  # kept beside the state: read for each endpoint of each table
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
        """Notes what the endpoint list says of its life."""
        self.state = state
        self.is_in_service = state is EndpointState.IN_SERVICE

    def record_attempts(self, now: int, attempts: int, failures: int, latency_ticks: int) -> None:
        """Adds reported attempts; `latency_ticks` is the sum over those that succeeded."""
        self._attempts.add(now, attempts, failures, latency_ticks)

    def attempts(self, now: int, buckets: int = REPORT_BUCKETS) -> AttemptSums:
        """The outcomes of the attempts in the last buckets."""
        return AttemptSums(*self._attempts.total(now, buckets))

    def forget_attempts(self) -> None:
        """Drops the sums: they are of an earlier process, or from before an ejection."""
        self._attempts.clear()

    def has_recent_utilization(self, now: int, max_age_ticks: int) -> bool:
        """Whether its utilization was reported within this time."""
        return self.utilization_at is not None and now - self.utilization_at < max_age_ticks


@dataclass(eq=False, slots=True)
class EndpointTable:
    """A table of weighted endpoints, shared by all proxies that are bound to it.

    Attributes:
        number: as in commands.
        routes: the indexes of the routes that it serves.
        requirements: one of these routes, for its placement constraints; all of them have the same.
        zone: zone of the proxies that use it; None: proxies of all zones.
        subset: the subset of proxies that uses it; None: it is a default table.
        members: the endpoints of a subset table; empty: all that the requirements allow.
        remote_factor: factor on the weights of endpoints in other zones.
        entries: by endpoint, the weight that was sent last.
        limits: by route, the admission limit that was sent last.
        pending_resend: entries to send again: proxies were bound after these were sent.
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
        """Whether proxies of this zone use it."""
        return self.zone is None or self.zone == zone


class ProxySession(NamedTuple):
    """A proxy that has joined.

    Attributes:
        zone: its zone.
        usual_rate_per_second: the rate of requests that usually reach it.
    """

    zone: str
    usual_rate_per_second: float

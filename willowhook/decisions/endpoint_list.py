"""Endpoint list handling: applies received lists, and rejects implausible removals."""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND
from .context import ControllerContext
from .events import EndpointEntry, EndpointListReceived, EndpointState
from .exclusions import EndpointExclusions
from .list_requests import ListRequests
from .model import RECENT_BUCKETS, Endpoint
from .readmissions import SessionReadmissions

INITIAL_LATENCY_FACTOR = 0.5  # latency factor of a newly started endpoint
FORGET_AFTER_TICKS = 30 * TICKS_PER_SECOND  # time after its exclusion when a removed endpoint is dropped
INITIAL_LISTS = 2  # the saved copy and the first response: their endpoints do not count as new


class EndpointListTracker:
    """Applies endpoint lists to the endpoints of the fleet."""

    def __init__(
        self,
        context: ControllerContext,
        requests: ListRequests,
        exclusions: EndpointExclusions,
        readmissions: SessionReadmissions,
    ) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._requests = requests
        self._exclusions = exclusions
        self._readmissions = readmissions
        self._bucket_ticks = context.bucket_ticks
        self._rules = context.settings.rules
        self._received_lists = 0

    def handle_list(self, now: int, event: EndpointListReceived) -> None:
        """Applies a complete list, or a set of changes to the list."""
        self._received_lists += 1
        self._requests.record_answer(event.is_complete)
        for entry in event.entries:
            self._update_endpoint(now, entry)
        if event.is_complete:
            self._requests.cancel_refetch()
            self._remove_missing(now, {entry.name for entry in event.entries})

    def forget_removed(self, now: int) -> None:
        """Drops removed endpoints some time after their exclusion, once no table has an entry for them."""
        removed = [
            endpoint.name
            for endpoint in self._fleet.endpoints.values()
            if endpoint.state is EndpointState.REMOVED
            and endpoint.is_excluded
            and now - endpoint.exclusion_changed_at > FORGET_AFTER_TICKS
            and not self._fleet.tables_with(endpoint.name)
        ]
        for name in removed:
            del self._fleet.endpoints[name]
            self._exclusions.forget_endpoint(name)
            self._readmissions.drop_endpoint(name)
            self._runtime.forget_endpoint(name)

    def _update_endpoint(self, now: int, entry: EndpointEntry) -> None:
        endpoint = self._fleet.endpoints.get(entry.name)
        if endpoint is None:
            endpoint = Endpoint(entry.name, self._bucket_ticks)
            endpoint.is_new = self._received_lists > INITIAL_LISTS
            self._fleet.endpoints[entry.name] = endpoint
            self._readmissions.add_endpoint(now, entry.name)
        if entry.started_at != endpoint.started_at and now - entry.started_at < self._rules.slow_start_ticks:
            self._reset_after_restart(endpoint, entry)
        if self._fleet.settings.lists_capacity:
            endpoint.capacity = entry.listed_weight
        endpoint.set_state(entry.state)
        endpoint.started_at = entry.started_at
        endpoint.endpoint_class = entry.endpoint_class
        endpoint.zone = entry.zone
        self._exclusions.record_change(now, entry.name)

    @staticmethod
    def _reset_after_restart(endpoint: Endpoint, entry: EndpointEntry) -> None:
        """Resets the state that was learnt from the previous process of a restarted endpoint."""
        endpoint.forget_attempts()
        endpoint.latency_factor = INITIAL_LATENCY_FACTOR
        endpoint.is_ejected = False
        endpoint.ejection_ticks = 0
        stayed_in_service = endpoint.is_in_service and entry.state is EndpointState.IN_SERVICE
        endpoint.restarted_in_service = stayed_in_service and not endpoint.is_excluded

    def _remove_missing(self, now: int, listed: set[str]) -> None:
        """Removes endpoints that a complete list lacks, unless it lacks most of those in service.

        Service discovery may lose entries without reporting an error. A list that lacks most endpoints in
        service is therefore implausible: of those, only the ones without recent attempts or with at least
        half of their attempts failed are removed, and the complete list is requested again.
        """
        missing = [name for name in self._fleet.endpoints if name not in listed]
        if not missing:
            return
        sums = {
            name: endpoint.attempts(now, RECENT_BUCKETS)
            for name, endpoint in self._fleet.endpoints.items()
            if endpoint.is_in_service
        }
        if 2 * sum(name in sums for name in missing) > len(sums):
            missing = [
                name for name in missing if name not in sums or sums[name].attempts <= 2 * sums[name].failures
            ]
            self._requests.schedule_refetch(now)
            self._runtime.log(
                f"endpoint list implausible listed={len(listed)} in_service={len(sums)} "
                f"removed={len(missing)}"
            )
        for name in missing:
            self._fleet.endpoints[name].set_state(EndpointState.REMOVED)
            self._exclusions.record_change(now, name)

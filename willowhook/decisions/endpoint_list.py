"""Endpoint list handling: applies received lists, and rejects implausible removals.

Service discovery may lose entries without reporting an error. A complete list that lacks most endpoints in
service is therefore implausible: endpoints that it lacks stay in service while they answer, and the complete
list is requested again. They may have left all the same, so the drain grace of the list that lacked them is
running: they are removed as soon as they are reported to fail, whether another list has come or not.
"""

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
LATEST_BUCKETS = 1  # buckets that show whether an endpoint answers; an earlier one may be from before its end
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
        # Endpoints that are kept in service although a list lacked them: when the first such list came.
        self._unlisted_since: dict[str, int] = {}

    def handle_list(self, now: int, event: EndpointListReceived) -> None:
        """Applies a complete list, or a set of changes to the list."""
        self._received_lists += 1
        self._requests.record_answer(event.is_complete)
        for entry in event.entries:
            self._update_endpoint(now, entry)
            self._unlisted_since.pop(entry.name, None)
        if event.is_complete:
            self._requests.cancel_refetch()
            self._handle_missing(now, {entry.name for entry in event.entries})

    def remove_if_failing(self, now: int, endpoint: Endpoint) -> None:
        """Removes an endpoint that fails, if a list lacked it and it was kept because it answered."""
        if endpoint.name in self._unlisted_since and not self._is_answering(now, endpoint):
            self._runtime.log(f"unlisted endpoint removed endpoint={endpoint.name}")
            self._remove(now, endpoint.name)

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

    def _handle_missing(self, now: int, listed: set[str]) -> None:
        """Removes endpoints that a complete list lacks; of an implausible list, those that do not answer."""
        missing = [name for name in self._fleet.endpoints if name not in listed]
        in_service = [endpoint for endpoint in self._fleet.endpoints.values() if endpoint.is_in_service]
        missing_in_service = [endpoint for endpoint in in_service if endpoint.name not in listed]
        is_implausible = 2 * len(missing_in_service) > len(in_service)
        kept = {
            endpoint.name: self._unlisted_since.get(endpoint.name, now)
            for endpoint in missing_in_service
            if is_implausible and self._is_answering(now, endpoint)
        }
        removed = [name for name in missing if name not in kept]
        for name in removed:
            self._remove(now, name)
        self._unlisted_since = kept
        if is_implausible:
            self._requests.schedule_refetch(now)
            self._runtime.log(
                f"endpoint list implausible listed={len(listed)} in_service={len(in_service)} "
                f"removed={len(removed)}"
            )

    def _remove(self, now: int, name: str) -> None:
        """Removes an endpoint; its exclusion counts from the first list that lacked it."""
        unlisted_since = self._unlisted_since.pop(name, now)
        self._fleet.endpoints[name].set_state(EndpointState.REMOVED)
        self._exclusions.record_change(unlisted_since, name)

    @staticmethod
    def _is_answering(now: int, endpoint: Endpoint) -> bool:
        """Whether most of the latest attempts that were reported have succeeded; False if there are none."""
        sums = endpoint.attempts(now, LATEST_BUCKETS)
        if not sums.attempts:
            sums = endpoint.attempts(now, RECENT_BUCKETS)
        return sums.attempts > 2 * sums.failures

"""Endpoint list handling: applies received lists, rejects implausible removals, and requests lists again."""

from __future__ import annotations

import heapq

from ..ticks import TICKS_PER_SECOND
from .context import ControllerContext
from .events import EndpointEntry, EndpointListReceived, EndpointState
from .exclusions import EndpointExclusions
from .model import RECENT_BUCKETS, Endpoint
from .readmissions import SessionReadmissions
from .timing import MIN_LIST_PAUSE_TICKS, max_list_pause_ticks

INITIAL_LATENCY_FACTOR = 0.5  # latency factor of a newly started endpoint
FORGET_AFTER_TICKS = 30 * TICKS_PER_SECOND  # time after its exclusion when a removed endpoint is dropped
INITIAL_LISTS = 2  # the saved copy and the first response: their endpoints do not count as new
REFETCH_DIVISOR = 4  # refetch interval of an implausible list = drain grace / 4
MIN_JITTER = 0.5  # smallest factor on the backoff; the largest one is 1


class EndpointListTracker:
    """Applies endpoint lists and requests them from service discovery."""

    def __init__(
        self, context: ControllerContext, exclusions: EndpointExclusions, readmissions: SessionReadmissions
    ) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._random_fraction = context.random_fraction
        self._exclusions = exclusions
        self._readmissions = readmissions
        self._bucket_ticks = context.bucket_ticks
        self._rules = context.settings.rules
        self._received_lists = 0
        self._backoff_ticks = MIN_LIST_PAUSE_TICKS
        self._logged_backoff_ticks = 0
        self._watch_at: int | None = context.started_at if context.settings.list_on_request else None
        self._watch_timers: list[int] = []  # a heap: when the timers are due that were set for a watch
        self._refetch_at: int | None = None

    def handle_list(self, now: int, event: EndpointListReceived) -> None:
        """Applies a complete list, or a set of changes to the list."""
        self._received_lists += 1
        self._backoff_ticks = MIN_LIST_PAUSE_TICKS
        self._logged_backoff_ticks = 0
        for entry in event.entries:
            self._update_endpoint(now, entry)
        if event.is_complete:
            self._refetch_at = None
            self._remove_missing(now, {entry.name for entry in event.entries})

    def handle_loss(self, now: int) -> None:
        """Handles a failed request for the list: requests it again after a backoff with jitter.

        Only a pause that is longer than the one before is logged.
        """
        if self._backoff_ticks > self._logged_backoff_ticks:
            self._logged_backoff_ticks = self._backoff_ticks
            max_wait_seconds = self._backoff_ticks / TICKS_PER_SECOND
            self._runtime.log(f"endpoint list lost retry_within_seconds={max_wait_seconds:g}")
        jitter = MIN_JITTER + (1 - MIN_JITTER) * self._random_fraction()
        self._schedule_watch(now, int(jitter * self._backoff_ticks))
        self._backoff_ticks = min(2 * self._backoff_ticks, max_list_pause_ticks(self._rules))

    def take_timer(self, now: int) -> bool:
        """Takes a due timer that was set for a watch; returns False if none is due."""
        if not self._watch_timers or now < self._watch_timers[0]:
            return False
        heapq.heappop(self._watch_timers)
        return True

    def watch_if_due(self, now: int) -> None:
        """Requests the list and its later changes if a request is due."""
        if self._watch_at is not None and self._watch_at <= now:
            self._runtime.watch_endpoints()
            self._watch_at = None

    def refetch_if_due(self, now: int) -> None:
        """Requests the complete list again, at intervals, while the last one was implausible."""
        if self._refetch_at is not None and now >= self._refetch_at:
            self._refetch_at = now + self._refetch_ticks
            self._runtime.fetch_endpoint_list()

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

    def _schedule_watch(self, now: int, delay_ticks: int) -> None:
        """Schedules a watch, and a timer, because a controller without events would be late to notice."""
        self._watch_at = now + delay_ticks
        heapq.heappush(self._watch_timers, self._watch_at)
        self._runtime.schedule_evaluation(delay_ticks)

    @property
    def _refetch_ticks(self) -> int:
        return self._rules.drain_grace_ticks // REFETCH_DIVISOR

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
            self._refetch_at = now + self._refetch_ticks
            self._runtime.log(
                f"endpoint list implausible listed={len(listed)} in_service={len(sums)} "
                f"removed={len(missing)}"
            )
        for name in missing:
            self._fleet.endpoints[name].set_state(EndpointState.REMOVED)
            self._exclusions.record_change(now, name)

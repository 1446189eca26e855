"""The endpoint list: what it changes, when it is doubted, and when it is asked for again."""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND
from .context import ControllerContext
from .events import EndpointEntry, EndpointListReceived, EndpointState
from .exclusions import EndpointExclusions
from .model import RECENT_BUCKETS, Endpoint
from .queue_limits import REMINDER_DIVISOR

FIRST_BACKOFF_TICKS = TICKS_PER_SECOND
POLLS_PER_BACKOFF = 3  # the longest backoff is this part of the longest time between polls
STARTED_FACTOR = 0.5  # latency factor of a newly started endpoint
FORGET_AFTER_TICKS = 30 * TICKS_PER_SECOND  # after its exclusion; no session waits so long for a table
INITIAL_LISTS = 2  # the copy of before the start and the first answer: what they name is not new


class EndpointListTracker:
    """Takes endpoint lists in, and asks discovery for them."""

    def __init__(self, context: ControllerContext, exclusions: EndpointExclusions) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._random_fraction = context.random_fraction
        self._exclusions = exclusions
        self._bucket_ticks = context.bucket_ticks
        self._rules = context.settings.rules
        self._lists = 0
        self._backoff_ticks = FIRST_BACKOFF_TICKS
        self._watch_at: int | None = context.started_at if context.settings.list_on_request else None
        self._refetch_at: int | None = None

    def handle_list(self, now: int, event: EndpointListReceived) -> None:
        """Takes a list, or changes to it, in."""
        self._lists += 1
        self._backoff_ticks = FIRST_BACKOFF_TICKS
        for entry in event.entries:
            self._update_endpoint(now, entry)
        if event.is_complete:
            self._refetch_at = None
            self._remove_missing(now, {entry.name for entry in event.entries})

    def handle_loss(self, now: int) -> None:
        """Discovery did not answer: asks again after a random time, which doubles up to a limit."""
        longest = 2 * self._backoff_ticks // TICKS_PER_SECOND
        self._runtime.log(f"endpoint list lost retry_within_seconds={longest}")
        self._watch_at = now + int(self._backoff_ticks * (0.5 + self._random_fraction()))
        limit = max(self._rules.discovery_poll_ticks // POLLS_PER_BACKOFF, FIRST_BACKOFF_TICKS)
        self._backoff_ticks = min(2 * self._backoff_ticks, limit)

    def watch_if_due(self, now: int) -> None:
        """Asks discovery for the list and its changes, where that is due."""
        if self._watch_at is not None and self._watch_at <= now:
            self._runtime.watch_endpoints()
            self._watch_at = None

    def refetch_if_due(self, now: int) -> None:
        """Asks for the complete list while the last one is doubted."""
        if self._refetch_at is not None and now >= self._refetch_at:
            self._refetch_at = now + self._refetch_ticks
            self._runtime.fetch_endpoint_list()

    def forget_removed(self, now: int) -> None:
        """Drops endpoints that are removed for good, once no table here can hold an entry for them."""
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
            self._runtime.forget_endpoint(name)

    @property
    def _refetch_ticks(self) -> int:
        return self._rules.drain_grace_ticks // REMINDER_DIVISOR

    def _update_endpoint(self, now: int, entry: EndpointEntry) -> None:
        endpoint = self._fleet.endpoints.get(entry.name)
        if endpoint is None:
            endpoint = Endpoint(entry.name, self._bucket_ticks)
            endpoint.is_new = self._lists > INITIAL_LISTS
            self._fleet.endpoints[entry.name] = endpoint
        if entry.started_at != endpoint.started_at and now - entry.started_at < self._rules.slow_start_ticks:
            self._note_restart(endpoint, entry)
        if self._fleet.settings.lists_capacity:
            endpoint.capacity = entry.listed_weight
        endpoint.set_state(entry.state)
        endpoint.started_at = entry.started_at
        endpoint.endpoint_class = entry.endpoint_class
        endpoint.zone = entry.zone
        self._exclusions.note_change(now, entry.name)

    @staticmethod
    def _note_restart(endpoint: Endpoint, entry: EndpointEntry) -> None:
        """What was reported is of the process before this one."""
        endpoint.forget_attempts()
        endpoint.latency_factor = STARTED_FACTOR
        endpoint.is_ejected = False
        endpoint.ejection_ticks = 0
        stayed_in_service = endpoint.is_in_service and entry.state is EndpointState.IN_SERVICE
        endpoint.restarted_in_service = stayed_in_service and not endpoint.is_excluded

    def _remove_missing(self, now: int, listed: set[str]) -> None:
        """What a complete list lacks is removed, unless it lacks most endpoints.

        Discovery may lose its entries without an error. Then only endpoints that answer no requests any more
        are taken for removed, and the complete list is asked for again.
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
                f"endpoint list doubted listed={len(listed)} in_service={len(sums)} removed={len(missing)}"
            )
        for name in missing:
            self._fleet.endpoints[name].set_state(EndpointState.REMOVED)
            self._exclusions.note_change(now, name)

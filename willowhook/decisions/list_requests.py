"""When the endpoint list is requested: the watch, its backoff after a loss, and complete lists fetched again.

An answer that was lost counts as received, so the drain grace of its changes is running while the list is
requested again. Pauses are therefore limited by that grace, and a timer ends each of them: a controller
without events would notice its end too late.
"""

from __future__ import annotations

import heapq

from ..ticks import TICKS_PER_SECOND
from .context import ControllerContext
from .timing import MIN_LIST_PAUSE_TICKS, max_list_pause_ticks

REFETCH_DIVISOR = 4  # refetch interval of an implausible list = drain grace / 4
MIN_JITTER = 0.5  # smallest factor on the backoff; the largest one is 1


class ListRequests:
    """Requests the endpoint list and its changes from service discovery."""

    def __init__(self, context: ControllerContext) -> None:
        self._runtime = context.runtime
        self._random_fraction = context.random_fraction
        self._rules = context.settings.rules
        self._backoff_ticks = MIN_LIST_PAUSE_TICKS
        self._logged_backoff_ticks = 0
        self._watch_at: int | None = context.started_at if context.settings.list_on_request else None
        self._watch_timers: list[int] = []  # a heap: when the timers are due that were set for a watch
        self._refetch_at: int | None = None

    def record_answer(self) -> None:
        """Resets the backoff after a list was received."""
        self._backoff_ticks = MIN_LIST_PAUSE_TICKS
        self._logged_backoff_ticks = 0

    def record_loss(self, now: int) -> None:
        """Schedules the watch again, after a backoff with jitter.

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

    def start_refetching(self, now: int) -> None:
        """Fetches the complete list again, at intervals, because the last one was implausible."""
        self._refetch_at = now + self._refetch_ticks

    def stop_refetching(self) -> None:
        """Ends `start_refetching`."""
        self._refetch_at = None

    def refetch_if_due(self, now: int) -> None:
        """Fetches the complete list if that is due."""
        if self._refetch_at is not None and now >= self._refetch_at:
            self._refetch_at = now + self._refetch_ticks
            self._runtime.fetch_endpoint_list()

    @property
    def _refetch_ticks(self) -> int:
        return self._rules.drain_grace_ticks // REFETCH_DIVISOR

    def _schedule_watch(self, now: int, delay_ticks: int) -> None:
        self._watch_at = now + delay_ticks
        heapq.heappush(self._watch_timers, self._watch_at)
        self._runtime.schedule_evaluation(delay_ticks)

"""When the endpoint list is requested: the watch, its backoff after a loss, and complete lists fetched again.

An answer that was lost counts as received, so the drain grace of its changes is running while the list is
requested again. Pauses are therefore limited by that grace, and a timer ends each of them: a controller
without events would notice its end too late.

A complete list that was fetched is not fetched again before the answer: service discovery may need longer for
a call than any interval, and repeated requests would only slow it down.
"""

from __future__ import annotations

import heapq

from ..ticks import TICKS_PER_SECOND
from .context import ControllerContext
from .timing import MIN_LIST_PAUSE_TICKS, max_list_pause_ticks

REFETCH_DIVISOR = 4  # an implausible list is fetched again this part of the drain grace after it was received
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
        self._fetch_at: int | None = None
        self._is_fetching = False  # a complete list was fetched, and has been neither received nor lost
        self._request_timers: list[int] = []  # a heap: when the timers are due that were set for a request

    def record_answer(self, is_complete: bool) -> None:
        """Resets the backoff after a list was received."""
        self._backoff_ticks = MIN_LIST_PAUSE_TICKS
        self._logged_backoff_ticks = 0
        if is_complete:
            self._is_fetching = False

    def record_loss(self, now: int) -> None:
        """Schedules the watch again, after a backoff with jitter, and a fetch that was due or may be lost.

        Only a pause that is longer than the one before is logged.
        """
        if self._backoff_ticks > self._logged_backoff_ticks:
            self._logged_backoff_ticks = self._backoff_ticks
            max_wait_seconds = self._backoff_ticks / TICKS_PER_SECOND
            self._runtime.log(f"endpoint list lost retry_within_seconds={max_wait_seconds:g}")
        jitter = MIN_JITTER + (1 - MIN_JITTER) * self._random_fraction()
        self._watch_at = self._schedule_request(now, int(jitter * self._backoff_ticks))
        self._backoff_ticks = min(2 * self._backoff_ticks, max_list_pause_ticks(self._rules))
        if self._is_fetching:
            self._is_fetching = False
            self._fetch_at = self._watch_at
        elif self._fetch_at is not None:
            self._fetch_at = max(self._fetch_at, self._watch_at)

    def take_timer(self, now: int) -> bool:
        """Takes a due timer that was set for a request; returns False if none is due."""
        if not self._request_timers or now < self._request_timers[0]:
            return False
        heapq.heappop(self._request_timers)
        return True

    def send_due(self, now: int) -> None:
        """Requests the list and its later changes, and fetches the complete list, if that is due."""
        if self._watch_at is not None and self._watch_at <= now:
            self._watch_at = None
            self._runtime.watch_endpoints()
        if self._fetch_at is not None and self._fetch_at <= now:
            self._fetch_at = None
            self._is_fetching = True
            self._runtime.fetch_endpoint_list()

    def schedule_refetch(self, now: int) -> None:
        """Fetches the complete list again after an interval, as the one just received was implausible."""
        self._fetch_at = self._schedule_request(now, self._rules.drain_grace_ticks // REFETCH_DIVISOR)

    def cancel_refetch(self) -> None:
        """Reverses `schedule_refetch`."""
        self._fetch_at = None

    def ticks_until_fetch(self, now: int) -> int | None:
        """Returns the time until the complete list is fetched again; None if that is not scheduled."""
        return None if self._fetch_at is None else max(self._fetch_at - now, 0)

    def _schedule_request(self, now: int, delay_ticks: int) -> int:
        """Sets a timer for a request, and returns when it is due."""
        due_at = now + delay_ticks
        heapq.heappush(self._request_timers, due_at)
        self._runtime.schedule_evaluation(delay_ticks)
        return due_at

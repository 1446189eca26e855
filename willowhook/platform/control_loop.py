"""The loop that runs the controller: events are batched, and a flush ends each batch."""

from __future__ import annotations

import trio

from ..decisions.controller import Controller
from ..decisions.events import EvaluationDue, Event
from ..evaluation_timer import EvaluationTimer
from ..ticks import TICKS_PER_SECOND
from .clock import Clock
from .proxy_updates import ProxyUpdates
from .runtime import WriteLog
from .update_statistics import UpdateStatistics

MIN_FLUSH_INTERVAL_S = 0.004  # events within this interval form one batch
PAUSE_PER_FLUSH_TIME = 3.0  # pause after a flush, per duration of the flush; connections are read in it
MAX_WAIT_S = 10.0  # for an event, when no evaluation is scheduled


class ControlLoop:
    """Submits events to the controller, and sends its updates to the proxies.

    Args:
        controller: handles the events and issues commands.
        updates: collects the commands on tables and proxies until the flush.
        evaluations: holds the times of scheduled evaluations.
        clock: the clock for the times of events and flushes.
        large_flush_entries: the size from which on a flush is logged.
        write_log: writes one line to the log.

    Attributes:
        statistics: counts of the updates sent.
        longest_flush_ticks: the longest duration of a flush, evaluations included, since the last reset.
    """

    def __init__(
        self,
        controller: Controller,
        updates: ProxyUpdates,
        evaluations: EvaluationTimer,
        clock: Clock,
        large_flush_entries: float,
        write_log: WriteLog,
    ) -> None:
        self.statistics = UpdateStatistics()
        self.longest_flush_ticks = 0
        self._controller = controller
        self._updates = updates
        self._evaluations = evaluations
        self._clock = clock
        self._large_flush_entries = large_flush_entries
        self._write_log = write_log
        self._woken = trio.Event()

    def submit(self, event: Event) -> None:
        """Submits an event to the controller, and schedules a flush."""
        self._controller.handle(self._clock.now(), event)
        self._woken.set()

    def wake(self) -> None:
        """Schedules a flush."""
        self._woken.set()

    async def run(self) -> None:
        """Flushes after events and evaluations until cancelled. Errors of the controller propagate."""
        while True:
            await self._wait_for_work()
            duration_ticks = self._flush()
            self.longest_flush_ticks = max(self.longest_flush_ticks, duration_ticks)
            pause_s = PAUSE_PER_FLUSH_TIME * duration_ticks / TICKS_PER_SECOND
            await trio.sleep(max(MIN_FLUSH_INTERVAL_S, pause_s))

    async def _wait_for_work(self) -> None:
        due_at = self._evaluations.next_due()
        wait_s = MAX_WAIT_S
        if due_at is not None:
            wait_s = (due_at - self._clock.now()) / TICKS_PER_SECOND
        with trio.move_on_after(max(wait_s, 0.0)):
            await self._woken.wait()
        self._woken = trio.Event()

    def _flush(self) -> int:
        """Runs the evaluations that are due and ends the batch. Returns the duration in ticks."""
        started_at = self._clock.now()
        while self._evaluations.pop_due(started_at):
            self._controller.handle(started_at, EvaluationDue())
        charged_before = self._controller.channel.charged_entries
        self._controller.flush(started_at)
        charged_entries = self._controller.channel.charged_entries - charged_before
        sent_entries = self._updates.flush()
        self._controller.settle_flush(sent_entries)
        self._record_flush(sent_entries, charged_entries)
        return self._clock.now() - started_at

    def _record_flush(self, sent_entries: dict[int, int], charged_entries: int) -> None:
        self.statistics.record_flush(sent_entries)
        flush_entries = sum(sent_entries.values())
        if flush_entries >= self._large_flush_entries:
            self._write_log(
                f"large flush messages={len(sent_entries)} charged_entries={charged_entries} "
                f"sent_entries={flush_entries} largest_message_entries={max(sent_entries.values())} "
                f"queue_entries={self._controller.queue_estimate():.0f}"
            )

"""The decision loop: the only task that calls the controller and the components that feed it."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import trio

from ..decisions.events import EvaluationDue
from ..evaluation_timer import EvaluationTimer
from ..files.layout import ControllerFolder
from ..ticks import TICKS_PER_SECOND
from .clock import Clock
from .decider import Decider
from .decision_queue import DecisionQueue
from .endpoint_directory import EndpointDirectory
from .inbound_events import InboundEvent
from .proxy_state import ProxyStateBook
from .publisher import Publisher
from .report_processor import ReportProcessor

MAX_WAIT_TICKS = TICKS_PER_SECOND
REPORT_POLL_TICKS = (
    TICKS_PER_SECOND // 100
)  # between two passes while load reports wait for processing budget
MAINTENANCE_INTERVAL_TICKS = TICKS_PER_SECOND // 10
MAX_STALL_TICKS = 10 * TICKS_PER_SECOND  # the heartbeat is not renewed if the loop has not run for this long


class DecisionLoop:
    """Handles a batch of waiting events, flushes the controller once, and passes on its messages."""

    def __init__(
        self,
        queue: DecisionQueue,
        dispatch: Callable[[int, InboundEvent], None],
        evaluations: EvaluationTimer,
        controller: Decider,
        reports: ReportProcessor,
        directory: EndpointDirectory,
        proxy_states: ProxyStateBook,
        publisher: Publisher,
        maintenance: Sequence[Callable[[int], None]],
        clock: Clock,
    ) -> None:
        """Receives the components that the loop calls.

        Args:
            queue: the events sent by other tasks.
            dispatch: handles an event of the queue.
            evaluations: the timer of the scheduled evaluations.
            controller: the controller that decides.
            reports: processes the waiting load reports.
            directory: the directory of endpoints.
            proxy_states: the desired states of proxies, to which the controller's commands are applied.
            publisher: the publisher, which is woken after each flush.
            maintenance: functions that are called with the current tick after a flush, ten times a second.
            clock: the clock of this process.
        """
        self._queue = queue
        self._dispatch = dispatch
        self._evaluations = evaluations
        self._controller = controller
        self._reports = reports
        self._directory = directory
        self._proxy_states = proxy_states
        self._publisher = publisher
        self._maintenance = maintenance
        self._clock = clock
        self._decided_at = 0
        self._maintained_at = 0
        self._has_unprocessed_reports = False

    async def run(self) -> None:
        """Runs the loop until cancelled."""
        self._decided_at = self._clock.now()
        self._controller.flush(self._decided_at)  # the first command may request the endpoint list
        while True:
            batch = await self._queue.receive_batch(self._wait_ticks() / TICKS_PER_SECOND)
            self._decide(batch)
            await trio.lowlevel.checkpoint()

    async def run_heartbeat(self, folder: ControllerFolder, interval_seconds: float) -> None:
        """Renews the folder's heartbeat as long as the loop makes progress."""
        while True:
            if self._clock.now() - self._decided_at < MAX_STALL_TICKS:
                folder.record_heartbeat()
            await trio.sleep(interval_seconds)

    def _wait_ticks(self) -> int:
        """Returns how long the loop may wait for an event."""
        now = self._clock.now()
        due = self._evaluations.next_due()
        if due is None:
            due = now + MAX_WAIT_TICKS
        if self._reports.has_waiting():
            due = now if self._has_unprocessed_reports else min(due, now + REPORT_POLL_TICKS)
        return max(due - now, 0)

    def _decide(self, batch: Sequence[InboundEvent]) -> None:
        now = self._decided_at = self._clock.now()
        for event in batch:
            self._dispatch(now, event)
        self._has_unprocessed_reports = self._reports.process_waiting()
        self._reports.maintain(now, len(self._proxy_states.proxies))
        is_maintenance_due = now - self._maintained_at >= MAINTENANCE_INTERVAL_TICKS
        if is_maintenance_due:
            self._directory.update_tiers(now)
        self._directory.publish_tier_changes(now)
        while self._evaluations.pop_due(now):
            self._controller.handle(now, EvaluationDue())
        self._controller.observe_queue(self._publisher.channel.queued_entries)
        self._controller.flush(now)
        self._proxy_states.flush(now)
        self._publisher.wake()
        if is_maintenance_due:
            self._maintained_at = now
            for maintain in self._maintenance:
                maintain(now)

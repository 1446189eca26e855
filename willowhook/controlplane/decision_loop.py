"""The loop that decides: the one task that calls the controller and the components that feed it."""

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
REPORT_POLL_TICKS = TICKS_PER_SECOND // 100  # between two attempts while reports wait for the budget
MAINTENANCE_INTERVAL_TICKS = TICKS_PER_SECOND // 10
MAX_STALL_TICKS = 10 * TICKS_PER_SECOND  # without decisions for longer, the heartbeat is not renewed


class DecisionLoop:
    """Handles all events that wait, flushes the controller once, and passes its messages on."""

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
            queue: the events that other tasks have sent.
            dispatch: handles an event of the queue.
            evaluations: the times at which the controller is to be evaluated.
            controller: the controller that decides.
            reports: the load reports that wait to be processed.
            directory: the directory of endpoints.
            proxy_states: the desired states, which collect the commands of the controller to proxies.
            publisher: the publisher, which is woken for new messages.
            maintenance: functions that are called after a flush, ten times a second, with the current tick.
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
        self._has_budget_for_reports = False

    async def run(self) -> None:
        """Decides until cancelled."""
        self._decided_at = self._clock.now()
        self._controller.flush(self._decided_at)  # its first command may ask for the endpoint list
        while True:
            batch = await self._queue.receive_batch(self._wait_ticks() / TICKS_PER_SECOND)
            self._decide(batch)
            await trio.lowlevel.checkpoint()

    async def run_heartbeat(self, folder: ControllerFolder, interval_seconds: float) -> None:
        """Renews the folder's heartbeat for as long as decisions are made."""
        while True:
            if self._clock.now() - self._decided_at < MAX_STALL_TICKS:
                folder.record_heartbeat()
            await trio.sleep(interval_seconds)

    def _wait_ticks(self) -> int:
        """How long the loop may wait for an event."""
        now = self._clock.now()
        due = self._evaluations.next_due()
        if due is None:
            due = now + MAX_WAIT_TICKS
        if self._reports.has_waiting():
            due = now if self._has_budget_for_reports else min(due, now + REPORT_POLL_TICKS)
        return max(due - now, 0)

    def _decide(self, batch: Sequence[InboundEvent]) -> None:
        now = self._decided_at = self._clock.now()
        for event in batch:
            self._dispatch(now, event)
        self._has_budget_for_reports = self._reports.process_waiting()
        self._reports.maintain(now, len(self._proxy_states.proxies))
        is_maintenance_due = now - self._maintained_at >= MAINTENANCE_INTERVAL_TICKS
        if is_maintenance_due:
            self._directory.update_tiers(now)
        self._directory.show_tier_changes(now)
        while self._evaluations.pop_due(now):
            self._controller.handle(now, EvaluationDue())
        self._controller.flush(now)
        self._proxy_states.flush(now)
        self._publisher.wake()
        if is_maintenance_due:
            self._maintained_at = now
            for maintain in self._maintenance:
                maintain(now)

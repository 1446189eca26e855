"""The loop that lets the controller decide: events are batched, and each batch ends with a flush."""

from __future__ import annotations

import trio

from ..decisions.controller import Controller
from ..decisions.events import EvaluationDue, Event
from ..evaluation_timer import EvaluationTimer
from ..ticks import TICKS_PER_SECOND
from .clock import Clock
from .proxy_updates import ProxyUpdates

MIN_FLUSH_INTERVAL_S = 0.004  # events that are closer together are one batch
PAUSE_PER_FLUSH_TIME = 3.0  # the pause in units of the last flush, so that connections are read in between
MAX_WAIT_S = 10.0  # for an event, when no evaluation is scheduled


class ControlLoop:
    """Hands events to the controller, and its updates to the proxies.

    Args:
        controller: takes the events and gives commands.
        updates: collects the commands on proxies until the flush.
        evaluations: collects the times of evaluations.
        clock: tells the time of events and flushes.

    Attributes:
        longest_flush_ticks: the longest that evaluations and a flush have taken, since it was last reset.
    """

    def __init__(
        self, controller: Controller, updates: ProxyUpdates, evaluations: EvaluationTimer, clock: Clock
    ) -> None:
        self.longest_flush_ticks = 0
        self._controller = controller
        self._updates = updates
        self._evaluations = evaluations
        self._clock = clock
        self._woken = trio.Event()

    def submit(self, event: Event) -> None:
        """Hands an event to the controller, and has a flush follow."""
        self._controller.handle(self._clock.now(), event)
        self._woken.set()

    def wake(self) -> None:
        """Has a flush follow."""
        self._woken.set()

    async def run(self) -> None:
        """Flushes after events and evaluations until cancelled. A fault of the controller is raised."""
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
        """Runs due evaluations and ends the batch; returns how long it took, in ticks."""
        started_at = self._clock.now()
        while self._evaluations.pop_due(started_at):
            self._controller.handle(started_at, EvaluationDue())
        self._controller.flush(started_at)
        self._updates.flush()
        return self._clock.now() - started_at

"""The queue from the tasks that do I/O to the one task that decides."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import trio

QUEUE_CAPACITY = 10_000  # calls; a sender waits while it is full
MAX_BATCH = 5000  # calls that are made before the controller is flushed

DeferredCall = Callable[[int], None]
"""A call to be made in the decision task, with the current tick."""


def _do_nothing(now: int) -> None:
    """Ends the wait of a decision task that has nothing else in its queue."""


class DecisionQueue:
    """Calls that the decision task makes, in the order in which they were sent.

    Controller, proxy intake and everything that they touch belong to that task alone; whatever another task
    has learnt gets there through this queue.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._send, self._receive = trio.open_memory_channel[DeferredCall](QUEUE_CAPACITY)

    async def send(self, call: DeferredCall) -> None:
        """Adds a call; waits while the queue is full."""
        await self._send.send(call)

    def wake(self) -> None:
        """Makes the decision task look for work that is not in this queue."""
        with contextlib.suppress(trio.WouldBlock):  # a full queue wakes it anyway
            self._send.send_nowait(_do_nothing)

    async def receive_batch(self, timeout_seconds: float) -> list[DeferredCall]:
        """All calls that are waiting; none if the first one does not come in time."""
        batch: list[DeferredCall] = []
        with trio.move_on_after(timeout_seconds):
            batch.append(await self._receive.receive())
        while len(batch) < MAX_BATCH:
            try:
                batch.append(self._receive.receive_nowait())
            except trio.WouldBlock:
                break
        return batch

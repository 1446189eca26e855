"""The queue from the tasks that do I/O to the one task that decides."""

from __future__ import annotations

import contextlib

import trio

from .inbound_events import InboundEvent, WorkAvailable

QUEUE_CAPACITY = 10_000  # events; a sender waits while it is full
MAX_BATCH = 5000  # events that are handled before the controller is flushed


class DecisionQueue:
    """Events for the decision task, in the order in which they were sent.

    Only that task may use the controller, the proxy intake and their state; every other task sends its events
    through this queue.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._send, self._receive = trio.open_memory_channel[InboundEvent](QUEUE_CAPACITY)

    async def send(self, event: InboundEvent) -> None:
        """Adds an event; waits while the queue is full."""
        await self._send.send(event)

    def wake(self) -> None:
        """Makes the decision task check for work that is not in this queue."""
        with contextlib.suppress(trio.WouldBlock):  # a full queue wakes it anyway
            self._send.send_nowait(WorkAvailable())

    async def receive_batch(self, timeout_seconds: float) -> list[InboundEvent]:
        """All events that are waiting; none if the first one does not come in time."""
        batch: list[InboundEvent] = []
        with trio.move_on_after(timeout_seconds):
            batch.append(await self._receive.receive())
        while len(batch) < MAX_BATCH:
            try:
                batch.append(self._receive.receive_nowait())
            except trio.WouldBlock:
                break
        return batch

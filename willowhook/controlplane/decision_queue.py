"""The event queue from the I/O tasks to the decision task."""

from __future__ import annotations

import contextlib

import trio

from .inbound_events import InboundEvent, WorkAvailable

QUEUE_CAPACITY = 10_000  # events; senders wait while the queue is full
MAX_BATCH = 5000  # events handled before the controller is flushed


class DecisionQueue:
    """Events for the decision task, in the order in which they were sent.

    Only the decision task may use the controller, the proxy intake and their state; all other tasks send it
    events through this queue.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._send, self._receive = trio.open_memory_channel[InboundEvent](QUEUE_CAPACITY)

    async def send(self, event: InboundEvent) -> None:
        """Adds an event; waits while the queue is full."""
        await self._send.send(event)

    def wake(self) -> None:
        """Makes the decision task check for work that is not in this queue."""
        with contextlib.suppress(trio.WouldBlock):  # events in a full queue wake the task anyway
            self._send.send_nowait(WorkAvailable())

    async def receive_batch(self, timeout_seconds: float) -> list[InboundEvent]:
        """Returns all waiting events; an empty list if none arrives before the timeout."""
        batch: list[InboundEvent] = []
        with trio.move_on_after(timeout_seconds):
            batch.append(await self._receive.receive())
        while len(batch) < MAX_BATCH:
            try:
                batch.append(self._receive.receive_nowait())
            except trio.WouldBlock:
                break
        return batch

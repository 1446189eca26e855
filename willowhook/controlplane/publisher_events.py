"""What the publisher tells the rest of the control plane."""

from __future__ import annotations

from typing import Any

from ..decisions.events import MessageAcknowledged
from .clock import Clock
from .condition_log import ConditionLog
from .decider import EventHandler
from .decision_queue import DecisionQueue, DeferredCall
from .endpoint_directory import EndpointDirectory
from .memory import ControllerMemory


class PublisherEvents:
    """Hands acknowledgements to the controller and versions to the memory; the publisher's listener."""

    def __init__(
        self,
        clock: Clock,
        conditions: ConditionLog,
        directory: EndpointDirectory,
        queue: DecisionQueue,
        handle: EventHandler,
        memory: ControllerMemory | None,
    ) -> None:
        """Takes the components that are told."""
        self._clock = clock
        self._conditions = conditions
        self._directory = directory
        self._queue = queue
        self._handle = handle
        self._memory = memory

    def now(self) -> int:
        """The current tick."""
        return self._clock.now()

    def mode(self, name: str, on: bool, text: str, **parts: Any) -> None:
        """Reports that a condition holds or has ended."""
        self._conditions.report(name, on, text, **parts)

    def is_open(self, host: str) -> bool:
        """Whether an endpoint is listed, not draining, and of a tier in use."""
        return self._directory.is_in_service(host)

    def answered(self, now: int, proxy: int, mark: int, took: int) -> None:
        """Hands the controller the sync marker that a proxy has acknowledged."""
        self._handle(now, MessageAcknowledged(proxy, mark))

    async def soon(self, event: DeferredCall) -> None:
        """Has a call made by the decision task."""
        await self._queue.send(event)

    def knows(self, proxy: str, part: str, version: str) -> None:
        """Stores which version of a part of its resources a proxy runs."""
        if self._memory is not None:
            self._memory.record_version(proxy, part, version)

    def sent(self, proxy: str, term: int, message: int) -> None:
        """Stores the number of the last update message to a proxy."""
        if self._memory is not None:
            self._memory.record_message(proxy, term, message)

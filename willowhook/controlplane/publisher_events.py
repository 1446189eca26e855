"""Passes the events of the publisher to the rest of the control plane."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..decisions.events import MessageAcknowledged
from .context import ServiceContext
from .endpoint_directory import EndpointDirectory
from .inbound_events import PublisherCallDue


class PublisherEvents:
    """The publisher's listener: passes acknowledgements to the controller and versions to the memory."""

    def __init__(self, context: ServiceContext, directory: EndpointDirectory) -> None:
        """Stores the shared context and the endpoint directory."""
        self._context = context
        self._directory = directory

    def now(self) -> int:
        """The current tick."""
        return self._context.now()

    def report_condition(self, name: str, on: bool, text: str, **parts: Any) -> None:
        """Reports that a condition has begun or ended; only changes are logged."""
        self._context.conditions.report(name, on, text, **parts)

    def is_in_service(self, endpoint: str) -> bool:
        """Whether an endpoint is listed, not draining, and of a tier in use."""
        return self._directory.is_in_service(endpoint)

    def handle_acknowledged(self, now: int, proxy: int, marker: int) -> None:
        """Passes the sync marker that a proxy has acknowledged to the controller."""
        self._context.handle(now, MessageAcknowledged(proxy, marker))

    async def post_event(self, event: Callable[[int], None]) -> None:
        """Has the decision task call `event` with the current tick."""
        await self._context.queue.send(PublisherCallDue(event))

    def record_known_version(self, proxy: str, part: str, version: str) -> None:
        """Stores the version of a part of its resources that a proxy runs."""
        if self._context.memory is not None:
            self._context.memory.record_version(proxy, part, version)

    def record_sent(self, proxy: str, term: int, message: int) -> None:
        """Stores the number of the last update message to a proxy."""
        if self._context.memory is not None:
            self._context.memory.record_message(proxy, term, message)

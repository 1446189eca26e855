"""Passes the events of the publisher to the rest of the control plane."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..decisions.events import MessageAcknowledged
from .context import ServiceContext
from .endpoint_directory import EndpointDirectory
from .inbound_events import PublisherCallDue


class PublisherEvents:
    """Hands acknowledgements to the controller and versions to the memory; the publisher's listener."""

    def __init__(self, context: ServiceContext, directory: EndpointDirectory) -> None:
        """Receives the shared context and the endpoints."""
        self._context = context
        self._directory = directory

    def now(self) -> int:
        """The current tick."""
        return self._context.now()

    def report_condition(self, name: str, on: bool, text: str, **parts: Any) -> None:
        """Reports that a condition holds or has ended."""
        self._context.conditions.report(name, on, text, **parts)

    def is_in_service(self, host: str) -> bool:
        """Whether an endpoint is listed, not draining, and of a tier in use."""
        return self._directory.is_in_service(host)

    def handle_acknowledged(self, now: int, proxy: int, marker: int) -> None:
        """Hands the controller the sync marker that a proxy has acknowledged."""
        self._context.handle(now, MessageAcknowledged(proxy, marker))

    async def post_event(self, event: Callable[[int], None]) -> None:
        """Requests a call in the decision task."""
        await self._context.queue.send(PublisherCallDue(event))

    def record_known_version(self, proxy: str, part: str, version: str) -> None:
        """Stores which version of a part of its resources a proxy runs."""
        if self._context.memory is not None:
            self._context.memory.record_version(proxy, part, version)

    def record_sent(self, proxy: str, term: int, message: int) -> None:
        """Stores the number of the last update message to a proxy."""
        if self._context.memory is not None:
            self._context.memory.record_message(proxy, term, message)

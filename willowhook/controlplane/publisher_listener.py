"""The interface through which the publisher notifies the service that runs it."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Protocol


class Condition(StrEnum):
    """Persisting conditions of the publisher. The values are their names in the records."""

    QUEUE_OVER_LIMIT = "queue"
    MESSAGE_CAP_EXCEEDED = "cap"
    FILES_UNWRITABLE = "disk"
    VALIDATION_CHECK_FAILED = "guard"
    VALIDATION_SLOW = "slow guard"
    VALIDATION_DISABLED = "no guard"


class PublisherListener(Protocol):
    """The functions of the service that the publisher uses."""

    def now(self) -> int:
        """Returns the current tick."""

    def report_condition(self, name: str, on: bool, text: str, **parts: Any) -> None:
        """Reports that a persisting condition has begun or ended; only changes are logged."""

    def is_in_service(self, endpoint: str) -> bool:
        """Whether the last endpoint list shows this endpoint as in service."""

    def handle_acknowledged(self, now: int, proxy: int, marker: int) -> None:
        """Called when a proxy has applied a message with a sync marker."""

    async def post_event(self, event: Callable[[int], None]) -> None:
        """Has the decision task call `event` with the current tick."""

    def record_known_version(self, proxy: str, part: str, version: str) -> None:
        """Stores the version that a proxy is known to run; empty if it is uncertain."""

    def record_sent(self, proxy: str, term: int, message: int) -> None:
        """Stores the number of the last message that was sent to a proxy."""

"""The bytes that all connections hold together: incomplete messages, and bytes that are not sent yet."""

from __future__ import annotations


class BufferBudget:
    """Counts the bytes that connections hold, against one limit for all of them.

    Args:
        max_bytes: the limit.

    Attributes:
        held_bytes: the bytes held at present.
    """

    def __init__(self, max_bytes: int) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether the connections hold more than the limit."""
        return self.held_bytes > self._max_bytes

    def change(self, byte_count: int) -> None:
        """Adds bytes that a connection holds now, or subtracts those that it no longer holds."""
        self.held_bytes += byte_count

"""Counts of the updates sent to proxies, for the status line and for the log of large flushes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(slots=True)
class UpdateStatistics:
    """The updates sent since the start, with the entries that the platform counts for them.

    Attributes:
        messages: number of messages.
        entries: entries of all messages, including the overhead of each message.
        largest_flush_entries: entries of the largest flush.
    """

    messages: int = 0
    entries: int = 0
    largest_flush_entries: int = 0

    def record_flush(self, entries_by_proxy: Mapping[int, int]) -> None:
        """Adds the messages of one flush."""
        flush_entries = sum(entries_by_proxy.values())
        self.messages += len(entries_by_proxy)
        self.entries += flush_entries
        self.largest_flush_entries = max(self.largest_flush_entries, flush_entries)

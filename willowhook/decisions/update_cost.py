"""What updates cost in the channel, counted in endpoint entries.

The decisions estimate the queue by these, the file control plane measures it by them. A message costs its
overhead and what it carries; each weight, admission limit, exclusion, readmission and sync marker counts as
one entry at each proxy that it reaches.
"""

from __future__ import annotations

from .settings import ChannelSettings

UPDATE_ENTRIES = 1  # a weight, an admission limit, an exclusion or a readmission, at one proxy
SYNC_MARKER_ENTRIES = 1
BIND_ENTRIES = 1  # naming the table; what the table holds comes on top


def message_overhead(channel: ChannelSettings) -> int:
    """Entries that a message costs before it carries anything."""
    return int(channel.message_overhead_entries)


def bind_cost(entries: int, limits: int, excluded: int) -> int:
    """Entries that binding a proxy to a table costs.

    Args:
        entries: that the table holds.
        limits: admission limits that it holds.
        excluded: endpoints among its entries that are excluded now, and are told to be.
    """
    return BIND_ENTRIES + entries + limits + excluded

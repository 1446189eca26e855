"""The cost of updates in the channel, in endpoint entries.

The decisions use these costs to estimate the queue, and the file control plane to measure it. A message costs
its overhead and its content; each weight, admission limit, exclusion, readmission and sync marker counts as
one entry for each proxy that it is sent to.
"""

from __future__ import annotations

import math

from .settings import ChannelSettings

UPDATE_ENTRIES = 1  # a weight, admission limit, exclusion or readmission, for one proxy
SYNC_MARKER_ENTRIES = 1
BIND_ENTRIES = 1  # the bind itself, without the content of the table


def message_overhead(channel: ChannelSettings) -> int:
    """Returns the cost of a message without content, in entries."""
    return math.ceil(channel.message_overhead_entries)


def bind_cost(entries: int, limits: int, excluded: int) -> int:
    """Returns the cost of binding a proxy to a table, in entries.

    Args:
        entries: number of entries of the table.
        limits: number of admission limits of the table.
        excluded: number of its endpoints that are excluded; the bind includes these exclusions.
    """
    return BIND_ENTRIES + entries + limits + excluded

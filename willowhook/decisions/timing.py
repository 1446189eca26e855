"""The interval of the periodic evaluation, and the time that urgent messages may wait for the spacing."""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND
from .settings import ChannelSettings

EVALUATION_INTERVAL_TICKS = TICKS_PER_SECOND // 2


def urgent_after_ticks(grace_ticks: int, channel: ChannelSettings) -> int:
    """Returns how long a message that has to arrive within a grace may wait for the spacing of messages.

    This is half of the grace that is left after the maximum message delay and the wait for a flush.
    """
    return max(grace_ticks - channel.max_delay_ticks - EVALUATION_INTERVAL_TICKS, 0) // 2

"""The interval of the periodic evaluation, and how long what keeps a rule may wait for other messages."""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND
from .settings import ChannelSettings

EVALUATION_INTERVAL_TICKS = TICKS_PER_SECOND // 2


def urgent_after_ticks(grace_ticks: int, channel: ChannelSettings) -> int:
    """How long a message that has to arrive within this grace may wait for the spacing of messages.

    Half of what the grace leaves, once the delay of the message and the wait for a flush are taken off.
    """
    return max(grace_ticks - channel.max_delay_ticks - EVALUATION_INTERVAL_TICKS, 0) // 2

"""Times that several components share: evaluations, urgent messages, and pauses between list requests."""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND
from .settings import ChannelSettings, RuleSettings

EVALUATION_INTERVAL_TICKS = TICKS_PER_SECOND // 2
MIN_LIST_PAUSE_TICKS = TICKS_PER_SECOND // 10
LIST_PAUSES_PER_GRACE = 8  # the drain grace of an answer that was lost is running already
LIST_PAUSES_PER_POLL = 3


def urgent_after_ticks(grace_ticks: int, channel: ChannelSettings) -> int:
    """Returns how long a message that has to arrive within a grace may wait for the spacing of messages.

    This is half of the grace that is left after the maximum message delay and the wait for a flush.
    """
    return max(grace_ticks - channel.max_delay_ticks - EVALUATION_INTERVAL_TICKS, 0) // 2


def max_list_pause_ticks(rules: RuleSettings) -> int:
    """Returns the longest pause between a failed request for the endpoint list and the next one.

    This is an eighth of the drain grace, or a third of the poll interval if that is stated and shorter.
    """
    pause_ticks = rules.drain_grace_ticks // LIST_PAUSES_PER_GRACE
    if rules.discovery_poll_ticks:
        pause_ticks = min(pause_ticks, rules.discovery_poll_ticks // LIST_PAUSES_PER_POLL)
    return max(pause_ticks, MIN_LIST_PAUSE_TICKS)

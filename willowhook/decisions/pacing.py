"""Paces messages to stay within the message cap, and table updates to a fraction of the channel's rate."""

from __future__ import annotations

from .context import ControllerContext
from .settings import ChannelSettings
from .timing import EVALUATION_INTERVAL_TICKS

TABLE_RATE_FRACTION = 0.5  # share of the channel's rate that table updates may take


class UpdatePacer:
    """Spaces messages and table updates in time."""

    def __init__(self, context: ControllerContext) -> None:
        self._channel = context.channel
        self._spacing_ticks = message_spacing(context.settings.channel)
        self._next_message_at = context.started_at
        self._next_table_updates_at = 0

    def can_send(self, now: int) -> bool:
        """Whether messages may be sent to all proxies now."""
        return now >= self._next_message_at

    def record_messages(self, now: int) -> None:
        """Records that messages were sent to all proxies."""
        self._next_message_at = now + self._spacing_ticks

    def are_table_updates_due(self, now: int) -> bool:
        """Whether messages may be sent for table updates alone."""
        return now >= self._next_table_updates_at

    def expedite_table_updates(self, now: int) -> None:
        """Allows table updates at once, after an endpoint was ejected."""
        self._next_table_updates_at = now

    def record_table_updates(self, now: int, entries: float, has_changes: bool) -> None:
        """Records that table updates were sent, and schedules the next ones.

        Args:
            now: the current time.
            entries: the cost of the updates that were sent.
            has_changes: whether changes are left to send; the next updates then follow without the pause that
                keeps table updates within their share of the channel's rate.
        """
        transfer_ticks = entries / (self._channel.entries_per_tick * TABLE_RATE_FRACTION)
        pause = EVALUATION_INTERVAL_TICKS
        if not has_changes:
            pause = max(pause, int(transfer_ticks))
        self._next_table_updates_at = now + pause


def message_spacing(channel: ChannelSettings) -> int:
    """Returns the ticks between two messages to a proxy that keep it within the message cap."""
    if not channel.message_cap:
        return 0
    return channel.message_cap_window_ticks // max(channel.message_cap - 1, 1) + 1

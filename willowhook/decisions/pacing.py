"""When messages leave and when tables are sent: within the message cap and a part of the channel's rate."""

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
        """Whether messages may leave now."""
        return now >= self._next_message_at

    def record_messages(self, now: int) -> None:
        """Messages have left."""
        self._next_message_at = now + self._spacing_ticks

    def are_table_updates_due(self, now: int) -> bool:
        """Whether table updates may be sent for their own sake."""
        return now >= self._next_table_updates_at

    def expedite_table_updates(self, now: int) -> None:
        """Table updates may be sent at once: an endpoint was ejected."""
        self._next_table_updates_at = now

    def record_table_updates(self, now: int, entries: float, has_changes: bool) -> None:
        """Table updates of this cost were sent.

        Args:
            now: the time.
            entries: their cost.
            has_changes: whether some are left; then the next ones need not be paid for by a pause.
        """
        paid_ticks = entries / (self._channel.entries_per_tick * TABLE_RATE_FRACTION)
        pause = EVALUATION_INTERVAL_TICKS
        if not has_changes:
            pause = max(pause, int(paid_ticks))
        self._next_table_updates_at = now + pause


def message_spacing(channel: ChannelSettings) -> int:
    """Ticks between two messages to a proxy at which it cannot get more than its cap."""
    if not channel.message_cap:
        return 0
    return channel.message_cap_window_ticks // max(channel.message_cap - 1, 1) + 1

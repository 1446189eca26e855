"""How much may wait in the channel, for each kind of update.

Exclusions keep a rule, so they may fill nearly all of the queue. Binds and table updates leave room, so that
the exclusions that come next still reach all proxies within the drain grace.
"""

from __future__ import annotations

from .channel import ChannelEstimate
from .fleet import FleetState

EXCLUSION_FRACTION = 0.95  # share of the queue's limit that exclusions may fill
TABLE_FRACTION = 0.4  # share of the queue's limit that table updates may fill
BIND_DIVISOR = 3  # binds may fill this part of the limit, or of what can leave within the grace
EXCLUSION_BATCH_DIVISOR = 8  # while the queue is long, exclusions gather for this part of the grace
REMINDER_DIVISOR = 4  # proxies that wait for this part of the grace are sent earlier exclusions
CALM_FRACTION = 0.5  # share of the limit for binds below which tables may be sent for their own sake


class QueueLimits:
    """Limits of the queue, in entries."""

    def __init__(self, fleet: FleetState, channel: ChannelEstimate) -> None:
        self._fleet = fleet
        self._channel = channel
        self._settings = fleet.settings.channel
        self._grace_ticks = fleet.settings.rules.drain_grace_ticks

    def for_exclusions(self) -> float:
        """For what keeps the rule on draining endpoints and the rule on empty tables."""
        return self._settings.queue_limit_entries * EXCLUSION_FRACTION

    def for_binds(self) -> float:
        """For binds: a third of the queue, or down to a sixth of it.

        Two rounds of exclusions must still reach all in time: one to the proxies that have joined, one to all
        of the deployment, should they join here. Each costs a proxy a message with one entry.
        """
        reach = self._channel.entries_per_tick * (self._grace_ticks - self._settings.max_delay_ticks)
        proxies = self._fleet.settings.fleet.proxy_count + len(self._fleet.proxies)
        reach -= proxies * (self._channel.overhead_entries + 1)
        limit = self._settings.queue_limit_entries
        return min(limit, max(reach, limit / 2)) / BIND_DIVISOR

    def for_table_updates(self) -> float:
        """For weights: the next exclusions must still reach all proxies within the grace."""
        gathering = self._grace_ticks / EXCLUSION_BATCH_DIVISOR
        in_time = self._grace_ticks - gathering - self._settings.max_delay_ticks
        reach = self._channel.entries_per_tick * in_time
        reach -= len(self._fleet.proxies) * (self._channel.overhead_entries + 1)
        return max(self.for_binds(), min(self._settings.queue_limit_entries * TABLE_FRACTION, reach))

    def for_reminders(self) -> float:
        """For earlier exclusions sent to waiting proxies: after the grace they are of no use."""
        waited = self._grace_ticks / REMINDER_DIVISOR
        in_time = self._grace_ticks - waited - self._settings.max_delay_ticks
        reach = self._channel.entries_per_tick * in_time
        limit = self._settings.queue_limit_entries
        return min(limit * EXCLUSION_FRACTION, max(reach, limit / 2))

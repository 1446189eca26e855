"""Limits on the queued entries in the channel, for each kind of update.

Exclusions keep the drain rule, so they may fill nearly all of the queue. Binds and table updates leave
capacity, so that later exclusions still reach all proxies within the drain grace.
"""

from __future__ import annotations

from .channel import ChannelEstimate
from .fleet import FleetState

EXCLUSION_FRACTION = 0.95  # share of the queue's limit that exclusions may fill
TABLE_FRACTION = 0.4  # share of the queue's limit that table updates may fill
BIND_DIVISOR = 3  # binds may fill 1/3 of the queue's limit, or of the entries that can leave within the grace
EXCLUSION_BATCH_DIVISOR = 8  # while the queue is long, exclusions are batched for 1/8 of the drain grace
REMINDER_DIVISOR = 4  # proxies that wait for 1/4 of the drain grace are sent earlier exclusions
SHORT_QUEUE_FRACTION = 0.5  # share of the bind limit below which messages may be sent for table updates alone


class QueueLimits:
    """Computes limits of the queue, in entries."""

    def __init__(self, fleet: FleetState, channel: ChannelEstimate) -> None:
        self._fleet = fleet
        self._channel = channel
        self._settings = fleet.settings.channel
        self._grace_ticks = fleet.settings.rules.drain_grace_ticks

    def for_exclusions(self) -> float:
        """Returns the limit for updates that keep the rules on draining endpoints and on empty tables."""
        return self._settings.queue_limit_entries * EXCLUSION_FRACTION

    def has_room(self, cost: int) -> bool:
        """Whether updates of this cost keep the queue within its limit, however slow the channel is.

        Every update has to pass this check before it is issued, with the exact cost of its content.
        """
        return self._channel.queue_ceiling() + cost <= self.for_exclusions()

    def for_binds(self) -> float:
        """Returns the limit for binds: from a sixth to a third of the queue.

        Two rounds of exclusions must still arrive in time: one to the proxies that have joined, one to all
        proxies of the deployment, in case they join here. Each round costs one message with one entry per
        proxy.
        """
        sendable = self._channel.entries_per_tick * (self._grace_ticks - self._settings.max_delay_ticks)
        proxies = self._fleet.settings.fleet.proxy_count + len(self._fleet.proxies)
        sendable -= proxies * (self._channel.overhead_entries + 1)
        limit = self._settings.queue_limit_entries
        return min(limit, max(sendable, limit / 2)) / BIND_DIVISOR

    def for_table_updates(self) -> float:
        """Returns the limit for weights: later exclusions must still arrive within the drain grace."""
        batching_ticks = self._grace_ticks / EXCLUSION_BATCH_DIVISOR
        sending_ticks = self._grace_ticks - batching_ticks - self._settings.max_delay_ticks
        sendable = self._channel.entries_per_tick * sending_ticks
        sendable -= len(self._fleet.proxies) * (self._channel.overhead_entries + 1)
        return max(self.for_binds(), min(self._settings.queue_limit_entries * TABLE_FRACTION, sendable))

    def for_reminders(self) -> float:
        """Returns the limit for reminders to waiting proxies, which are useless after the drain grace."""
        waited_ticks = self._grace_ticks / REMINDER_DIVISOR
        sending_ticks = self._grace_ticks - waited_ticks - self._settings.max_delay_ticks
        sendable = self._channel.entries_per_tick * sending_ticks
        limit = self._settings.queue_limit_entries
        return min(limit * EXCLUSION_FRACTION, max(sendable, limit / 2))

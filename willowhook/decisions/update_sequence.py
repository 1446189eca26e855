"""The order of updates in one flush: updates that keep the rules first, then binds, then table updates.

The order is: binds of a join burst to subsets, exclusions, readmissions, reminders, tables without a usable
endpoint, binds, readmissions that wait for long, table updates, the end of a join burst. Binds
and table updates wait while exclusions are pending. With a message cap most updates are spaced; those that
keep the rules do not wait for the spacing.
"""

from __future__ import annotations

from .admission import AdmissionController
from .binding import ProxyBinder
from .context import ControllerContext
from .exclusions import EndpointExclusions
from .locality import LocalitySpillover
from .pacing import UpdatePacer
from .pending_binds import PendingBinds
from .queue_limits import SHORT_QUEUE_FRACTION
from .readmissions import SessionReadmissions
from .reminders import ExclusionReminders
from .subsets import SubsetAssigner
from .table_updates import TableUpdater


class UpdateSequence:
    """Sends the exclusions, binds and table updates that are due, in this order."""

    def __init__(
        self,
        context: ControllerContext,
        pacer: UpdatePacer,
        pending_binds: PendingBinds,
        binder: ProxyBinder,
        subsets: SubsetAssigner,
        exclusions: EndpointExclusions,
        reminders: ExclusionReminders,
        readmissions: SessionReadmissions,
        updater: TableUpdater,
        admission: AdmissionController,
        locality: LocalitySpillover,
    ) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._channel = context.channel
        self._limits = context.limits
        self._pacer = pacer
        self._pending_binds = pending_binds
        self._binder = binder
        self._subsets = subsets
        self._exclusions = exclusions
        self._reminders = reminders
        self._readmissions = readmissions
        self._updater = updater
        self._admission = admission
        self._locality = locality

    def send(self, now: int) -> None:
        """Issues the commands of a flush, and the sync marker of its messages."""
        self._channel.advance_queue_estimate(now)
        if self._may_send_to_all(now):
            self._send_updates(now)
            has_messaged_all = True
        else:
            self._send_urgent_updates(now)
            # updates that wait for the spacing join messages that reach all proxies anyway
            has_messaged_all = self._fleet.proxies.keys() == self._channel.pending.keys()
            if has_messaged_all:
                self._send_updates(now)
        self._fleet.newly_bound.clear()
        if self._channel.pending:
            self._runtime.send_sync_marker(self._channel.flush(now))
            if has_messaged_all:
                self._pacer.record_messages(now)

    def _may_send_to_all(self, now: int) -> bool:
        """Whether the spacing and the message cap allow messages that are not needed to keep a rule."""
        if not self._pacer.can_send(now):
            return False
        return self._channel.message_cap.allows_with_reserve(now, self._fleet.proxies)

    def _send_urgent_updates(self, now: int) -> None:
        """Sends the updates that keep the rules, as far as the message cap allows."""
        urgent_binds = self._binder.urgent(now)
        self._binder.bind_burst(now, urgent_binds)
        self._exclusions.send_urgent(now)
        self._send_reminders_and_fill_tables(now)
        waiting = [proxy for proxy in urgent_binds if proxy in self._pending_binds]
        self._binder.bind_in_order(now, waiting, self._limits.for_binds())

    def _send_updates(self, now: int) -> None:
        """Sends all updates that are due."""
        queue_before = self._channel.queue_estimate()
        due = self._binder.due(now)
        # subset tables contain no excluded endpoint, so these binds need not wait for exclusions
        self._binder.bind_burst(now, due)
        self._exclusions.send(now)
        self._send_reminders_and_fill_tables(now)
        # changed weights join messages that go to most proxies anyway
        is_broadcast = 2 * len(self._channel.pending) > len(self._fleet.proxies)
        if is_broadcast or (self._admission.is_shedding and self._pacer.are_table_updates_due(now)):
            self._updater.has_changes = True
        bind_limit = 0.0 if self._exclusions.has_pending_exclusions() else self._limits.for_binds()
        waiting = [proxy for proxy in due if proxy in self._pending_binds]
        self._binder.bind_in_order(now, waiting, bind_limit)
        self._update_tables(now, is_broadcast, SHORT_QUEUE_FRACTION * bind_limit, queue_before)
        self._binder.end_burst(now, SHORT_QUEUE_FRACTION * bind_limit)

    def _send_reminders_and_fill_tables(self, now: int) -> None:
        all_reminded = self._reminders.send_if_due(now)
        if not all_reminded:
            self._binder.stop_holding_back()  # a bind carries the exclusions that did not fit
        self._subsets.replace_lost_members(now)
        self._updater.fill_empty_tables(now, self._limits.for_exclusions())

    def _update_tables(
        self, now: int, is_broadcast: bool, short_queue_limit: float, queue_before: float
    ) -> None:
        if is_broadcast:
            self._locality.rebalance_all(now)
        table_limit = self._limits.for_table_updates()
        is_queue_short = self._channel.queue_estimate() < short_queue_limit
        are_updates_due = self._pacer.are_table_updates_due(now) and is_queue_short
        # also wait for acknowledgements: the queue estimate shows a slow channel only with delay
        if not (is_broadcast or are_updates_due) or self._channel.unproven_entries() >= table_limit:
            return
        self._readmissions.send_overdue(now, short_queue_limit)  # first, as weights may fill the queue
        has_changes = self._updater.update(now, self._fleet.tables, table_limit)
        self._updater.has_changes = has_changes
        self._pacer.record_table_updates(now, self._channel.queue_estimate() - queue_before, has_changes)

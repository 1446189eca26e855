"""The order of one flush: what keeps the rules first, then binds, then tables.

Join bursts to subsets, exclusions and readmissions, reminders, tables without a usable endpoint, binds, table
updates, the end of a join burst. Binds and table updates wait for exclusions that are left. Under a message
cap most of this is spaced; what keeps the rules does not wait.
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
from .reminders import ExclusionReminders
from .table_updates import TableUpdater


class UpdateSequence:
    """Gives what is due of exclusions, binds and table updates, in this order."""

    def __init__(
        self,
        context: ControllerContext,
        pacer: UpdatePacer,
        pending_binds: PendingBinds,
        binder: ProxyBinder,
        exclusions: EndpointExclusions,
        reminders: ExclusionReminders,
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
        self._exclusions = exclusions
        self._reminders = reminders
        self._updater = updater
        self._admission = admission
        self._locality = locality

    def send(self, now: int) -> None:
        """Gives the commands of a flush, and the sync marker of its messages."""
        self._channel.drain(now)
        if self._may_send_to_all(now):
            self._send_updates(now)
            has_messaged_all = True
        else:
            self._send_urgent_updates(now)
            # what waits for the spacing may go with messages that reach all proxies anyway
            has_messaged_all = self._fleet.proxies.keys() == self._channel.pending.keys()
            if has_messaged_all:
                self._send_updates(now)
        if self._channel.pending:
            self._runtime.send_sync_marker(self._channel.flush(now))
            if has_messaged_all:
                self._pacer.record_messages(now)

    def _may_send_to_all(self, now: int) -> bool:
        """Whether the spacing and the message cap allow messages that keep no rule."""
        if not self._pacer.can_send(now):
            return False
        return self._channel.message_cap.allows_with_reserve(now, self._fleet.proxies)

    def _send_urgent_updates(self, now: int) -> None:
        """Gives what keeps the rules, as far as the message cap allows."""
        urgent_binds = self._binder.urgent(now)
        self._binder.bind_burst(now, urgent_binds)
        self._exclusions.send_urgent(now)
        self._send_reminders_and_fill_tables(now)
        waiting = [proxy for proxy in urgent_binds if proxy in self._pending_binds]
        self._binder.bind_in_order(now, waiting, self._limits.for_binds())

    def _send_updates(self, now: int) -> None:
        """Gives all that is due."""
        queue_before = self._channel.queue_estimate()
        due = self._binder.due(now)
        # a subset table holds nothing that is excluded, so these binds need not wait for exclusions
        self._binder.bind_burst(now, due)
        self._exclusions.send(now)
        self._send_reminders_and_fill_tables(now)
        # where messages go to most proxies anyway, changed weights go with them
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
        self._updater.fill_empty_tables(now, self._limits.for_exclusions())

    def _update_tables(self, now: int, is_broadcast: bool, calm_limit: float, queue_before: float) -> None:
        if is_broadcast:
            self._locality.rebalance_all(now)
        table_limit = self._limits.for_table_updates()
        is_queue_short = self._channel.queue_estimate() < calm_limit
        is_calm = self._pacer.are_table_updates_due(now) and is_queue_short
        # a table update also waits for acknowledgements: a channel that has become slow shows late
        if not (is_broadcast or is_calm) or self._channel.unproven_entries() >= table_limit:
            return
        has_changes = self._updater.update(now, self._fleet.tables, table_limit)
        self._updater.has_changes = has_changes
        self._pacer.record_table_updates(now, self._channel.queue_estimate() - queue_before, has_changes)

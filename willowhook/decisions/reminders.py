"""Reminders: sends proxies that wait to be bound the exclusions from before they joined.

An exclusion is lost with the session that received it, and a proxy that was never bound has a bootstrap table
that may contain removed endpoints. A bind includes these exclusions, so there is only one reminder for all
waiting proxies, sent a fraction of the drain grace after the first of them joined. Exclusions that are sent
after a proxy has joined reach it directly.
"""

from __future__ import annotations

from .context import ControllerContext
from .exclusions import EndpointExclusions
from .pending_binds import PendingBinds
from .queue_limits import REMINDER_DIVISOR
from .subsets import SubsetAssigner
from .update_cost import UPDATE_ENTRIES


class ExclusionReminders:
    """Sends waiting proxies the exclusions from before they joined."""

    def __init__(
        self,
        context: ControllerContext,
        pending_binds: PendingBinds,
        subsets: SubsetAssigner,
        exclusions: EndpointExclusions,
    ) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._channel = context.channel
        self._limits = context.limits
        self._pending_binds = pending_binds
        self._subsets = subsets
        self._exclusions = exclusions
        self._excludes_per_proxy = context.settings.exclusions_outlive_sessions
        self._unreminded: dict[int, None] = {}
        self._last_joined_at = 0
        self._due_at: int | None = None

    def add_proxy(self, now: int, proxy: int) -> None:
        """Schedules a reminder to a proxy that has joined."""
        self._unreminded[proxy] = None
        self._last_joined_at = now
        if self._due_at is None:
            self._due_at = now + self._fleet.settings.rules.drain_grace_ticks // REMINDER_DIVISOR

    def remove_proxy(self, proxy: int) -> None:
        """Drops the reminder to a proxy that has left."""
        self._unreminded.pop(proxy, None)

    def send_if_due(self, now: int) -> bool:
        """Sends the reminders that are due, latest exclusions first.

        Returns:
            False if some were due and exceeded the queue limit or the message cap.
        """
        if self._due_at is None or now < self._due_at:
            return True
        if self._channel.queue_estimate() >= self._limits.for_binds():
            return True
        waiting = [proxy for proxy in self._unreminded if self._is_waiting(proxy)]
        self._unreminded = {}
        self._due_at = None
        return not waiting or self._send(now, waiting)

    def _is_waiting(self, proxy: int) -> bool:
        """Whether a proxy waits for a bind to complete tables; binds to subsets are sent at once."""
        return proxy in self._pending_binds and self._subsets.assigned(proxy) is None

    def _send(self, now: int, waiting: list[int]) -> bool:
        limit = self._limits.for_reminders()
        reminded: list[str] = []
        all_sent = True
        for name in self._earlier_exclusions():
            holders = waiting if self._excludes_per_proxy else self._exclusions.holders(name)
            is_over_limit = (
                self._channel.queue_ceiling() + self._channel.cost(holders, UPDATE_ENTRIES) > limit
            )
            if is_over_limit or not self._channel.can_message(now, holders):
                all_sent = False
                break
            reminded.append(name)
            self._channel.charge(holders, UPDATE_ENTRIES)
            if not self._excludes_per_proxy:
                self._runtime.exclude_endpoint(name)
        if reminded and self._excludes_per_proxy:
            for proxy in waiting:
                self._runtime.exclude_for_proxy(proxy, reminded)
        return all_sent

    def _earlier_exclusions(self) -> list[str]:
        """Returns the endpoints that were excluded before the last proxy joined, latest exclusion first."""
        earlier = [
            endpoint
            for endpoint in self._fleet.endpoints.values()
            if endpoint.is_excluded and endpoint.exclusion_changed_at <= self._last_joined_at
        ]
        earlier.sort(key=lambda endpoint: -endpoint.exclusion_changed_at)
        return [endpoint.name for endpoint in earlier]

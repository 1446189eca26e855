"""Reminders: proxies that wait to be bound are sent the exclusions of before they joined.

An exclusion is lost with the session that carried it, and a proxy that never was bound has a bootstrap table
that may name removed endpoints. A bind carries the same and more, so there is one reminder for all waiting
proxies, a part of the drain grace after the first of them joined. Later exclusions reach them as they are
sent.
"""

from __future__ import annotations

from .context import ControllerContext
from .exclusions import EndpointExclusions
from .pending_binds import PendingBinds
from .queue_limits import REMINDER_DIVISOR
from .subsets import SubsetAssigner
from .update_cost import UPDATE_ENTRIES


class ExclusionReminders:
    """Sends waiting proxies the exclusions of before they joined."""

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
        """A proxy has joined."""
        self._unreminded[proxy] = None
        self._last_joined_at = now
        if self._due_at is None:
            self._due_at = now + self._fleet.settings.rules.drain_grace_ticks // REMINDER_DIVISOR

    def remove_proxy(self, proxy: int) -> None:
        """A proxy has left."""
        self._unreminded.pop(proxy, None)

    def send_if_due(self, now: int) -> bool:
        """Sends reminders that are due, the last exclusions first.

        Returns:
            False if some were due and did not fit in the queue or the message cap.
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
        """Whether a proxy waits for a bind to whole tables; one to a subset comes at once."""
        return proxy in self._pending_binds and self._subsets.assigned(proxy) is None

    def _send(self, now: int, waiting: list[int]) -> bool:
        limit = self._limits.for_reminders()
        told: list[str] = []
        all_told = True
        for name in self._earlier_exclusions():
            holders = waiting if self._excludes_per_proxy else self._exclusions.holders(name)
            is_over_limit = (
                self._channel.queue_ceiling() + self._channel.cost(holders, UPDATE_ENTRIES) > limit
            )
            if is_over_limit or not self._channel.can_message(now, holders):
                all_told = False
                break
            told.append(name)
            self._channel.charge(holders, UPDATE_ENTRIES)
            if not self._excludes_per_proxy:
                self._runtime.exclude_endpoint(name)
        if told and self._excludes_per_proxy:
            for proxy in waiting:
                self._runtime.exclude_for_proxy(proxy, told)
        return all_told

    def _earlier_exclusions(self) -> list[str]:
        """Endpoints that were excluded before the last proxy joined, the last one first."""
        earlier = [
            endpoint
            for endpoint in self._fleet.endpoints.values()
            if endpoint.is_excluded and endpoint.exclusion_changed_at <= self._last_joined_at
        ]
        earlier.sort(key=lambda endpoint: -endpoint.exclusion_changed_at)
        return [endpoint.name for endpoint in earlier]

"""Slow start: a newly started endpoint gets the share that it can serve, which grows with its age."""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND
from .context import ControllerContext
from .model import Endpoint

HOLD_TICKS = 8 * TICKS_PER_SECOND  # proxies avoid failing endpoints for so long after a partition
MIN_SUCCESS_FRACTION = 0.5  # of attempts; at or under it every endpoint is in trouble


class SlowStart:
    """How much of its weight a warming endpoint gets.

    Proxies that avoid endpoints after failures send everything to the one that has not failed yet. A warming
    endpoint would be that one, so it gets nothing while most attempts fail, and for some time after a
    partition or after this controller's start.
    """

    def __init__(self, context: ControllerContext) -> None:
        self._conditions = context.conditions
        self._rules = context.settings.rules
        self._proxies_avoid = context.settings.fleet.avoidance_failures > 0
        self._held_until = 0
        self.hold(context.started_at)

    def hold(self, now: int) -> None:
        """Proxies may be avoiding endpoints from now on: warming ones get nothing for a while."""
        self._held_until = now + HOLD_TICKS if self._proxies_avoid else 0

    def is_warming_up(self, now: int, endpoint: Endpoint) -> bool:
        """Whether it started less than the slow-start time ago."""
        return endpoint.started_at > 0 and now - endpoint.started_at < self._rules.slow_start_ticks

    def weight_fraction(self, now: int, endpoint: Endpoint) -> float:
        """The share of its weight that an endpoint may have now, from 0 to 1."""
        if not self.is_warming_up(now, endpoint):
            return 1.0
        if self._conditions.success_fraction <= MIN_SUCCESS_FRACTION or now < self._held_until:
            return 0.0
        first = self._rules.slow_start_fraction
        age = max(now - endpoint.started_at, 0)
        return first + (1 - first) * (age / self._rules.slow_start_ticks)

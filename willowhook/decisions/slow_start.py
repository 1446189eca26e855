"""Slow start: a newly started endpoint gets the share that it can serve, which grows with its age."""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND
from .context import ControllerContext
from .model import Endpoint

HOLD_TICKS = 8 * TICKS_PER_SECOND  # how long proxies avoid endpoints after a partition or start
HOLD_SUCCESS_FRACTION = 0.5  # share of successful attempts up to which warming endpoints get nothing


class SlowStart:
    """How much of its weight a warming endpoint gets.

    Hazard: a thundering herd. Proxies that avoid endpoints after failures send everything to the one that has
    not failed yet, and a newly started endpoint is that one. So it gets nothing while most attempts fail, and
    for some time after a partition or after this controller's start.
    """

    def __init__(self, context: ControllerContext) -> None:
        self._conditions = context.conditions
        self._rules = context.settings.rules
        self._proxies_avoid = context.settings.fleet.avoidance_failures > 0
        self._held_until = 0
        self.hold_warming_endpoints(context.started_at)

    def hold_warming_endpoints(self, now: int) -> None:
        """Gives warming endpoints nothing for a while, as proxies may be avoiding the others."""
        self._held_until = now + HOLD_TICKS if self._proxies_avoid else 0

    def is_warming_up(self, now: int, endpoint: Endpoint) -> bool:
        """Whether it started less than the slow-start time ago."""
        return endpoint.started_at > 0 and now - endpoint.started_at < self._rules.slow_start_ticks

    def weight_fraction(self, now: int, endpoint: Endpoint) -> float:
        """The share of its weight that an endpoint may have now, from 0 to 1."""
        if not self.is_warming_up(now, endpoint):
            return 1.0
        if self._conditions.success_fraction <= HOLD_SUCCESS_FRACTION or now < self._held_until:
            return 0.0
        first = self._rules.slow_start_fraction
        age = max(now - endpoint.started_at, 0)
        return first + (1 - first) * (age / self._rules.slow_start_ticks)

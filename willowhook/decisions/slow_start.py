"""Slow start: the weight of a newly started endpoint grows with its age, as its capacity does."""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND
from .context import ControllerContext
from .model import Endpoint

HOLD_TICKS = 8 * TICKS_PER_SECOND  # time for which proxies avoid endpoints after a partition or start
HOLD_SUCCESS_FRACTION = 0.5  # up to this success fraction warming endpoints get no weight


class SlowStart:
    """Computes the share of its weight that a warming endpoint gets.

    Prevents a thundering herd: proxies that avoid endpoints after failures send all requests to an endpoint
    that has not failed yet, such as a newly started one. A warming endpoint therefore gets no weight while
    most attempts fail, and for some time after a partition or after the start of this controller.
    """

    def __init__(self, context: ControllerContext) -> None:
        self._conditions = context.conditions
        self._rules = context.settings.rules
        self._proxies_avoid = context.settings.fleet.avoidance_failures > 0
        self._held_until = 0
        self.suspend_warming_weights(context.started_at)

    def suspend_warming_weights(self, now: int) -> None:
        """Gives warming endpoints no weight for `HOLD_TICKS`, as proxies may be avoiding the others."""
        self._held_until = now + HOLD_TICKS if self._proxies_avoid else 0

    def is_warming_up(self, now: int, endpoint: Endpoint) -> bool:
        """Whether an endpoint started less than the slow-start time ago."""
        return endpoint.started_at > 0 and self._age(now, endpoint) < self._rules.slow_start_ticks

    def weight_fraction(self, now: int, endpoint: Endpoint) -> float:
        """Returns the share of its weight that an endpoint may have now, from 0 to 1."""
        if not self.is_warming_up(now, endpoint):
            return 1.0
        if self._conditions.success_fraction <= HOLD_SUCCESS_FRACTION or now < self._held_until:
            return 0.0
        initial_fraction = self._rules.slow_start_fraction
        age_fraction = self._age(now, endpoint) / self._rules.slow_start_ticks
        return initial_fraction + (1 - initial_fraction) * age_fraction

    @staticmethod
    def _age(now: int, endpoint: Endpoint) -> int:
        """Returns the ticks since an endpoint started; 0 if its clock is ahead."""
        return max(now - endpoint.started_at, 0)

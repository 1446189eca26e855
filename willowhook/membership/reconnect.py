"""When a proxy reconnects and when it fails back: spread without coordination, at the configured join rate.

Every proxy draws its own delay from the same settings, so that together they reconnect at about the
configured pace, which prevents a thundering herd. Busy proxies draw from the early part of the window. No
proxy is without a table in the meantime, because it continues with the tables that it has. Times are in any
one unit.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReconnectPace:
    """How fast proxies may join controllers.

    Attributes:
        proxy_count: the number of proxies that may reconnect at the same time.
        joins_per_time: the number of joins per unit of time at all controllers together.
        settling_time: how long a controller must have been alive before any proxy fails back to it.
        minimum_stay: the minimum duration of a proxy's session with one controller.
    """

    proxy_count: int
    joins_per_time: float
    settling_time: float
    minimum_stay: float

    def window(self) -> float:
        """Returns the time that it takes all proxies to join."""
        return self.proxy_count / self.joins_per_time


def reconnect_delay(pace: ReconnectPace, relative_load: float, draw: Callable[[], float]) -> float:
    """Returns how long a proxy that has lost its controller waits before it reconnects.

    `relative_load` is its share of all requests times the number of proxies, 1 for an average proxy: one with
    twice the average requests reconnects in the first half of the window. `draw` returns a random number from
    0 to 1.
    """
    return pace.window() * draw() / max(relative_load, 1.0)


class FailbackPolicy:
    """Decides whether a proxy fails back to a controller that it prefers. One for each proxy."""

    def __init__(self, pace: ReconnectPace, preference: Sequence[str], draw: Callable[[], float]) -> None:
        """`preference` is the proxy's order of controllers, `draw` returns a random number from 0 to 1."""
        self._pace = pace
        self._preference = list(preference)
        self._draw = draw
        self._alive_since: dict[str, float] = {}
        self._joined_at = 0.0
        self._target = ""
        self._due_at = 0.0  # when to fail back to the target

    def record_join(self, now: float) -> None:
        """Records that the proxy has joined a controller."""
        self._joined_at = now
        self._target = ""

    def record_liveness(self, controller: str, is_alive: bool, now: float) -> None:
        """Records whether the proxy sees a controller as alive."""
        if is_alive:
            self._alive_since.setdefault(controller, now)
        else:
            self._alive_since.pop(controller, None)

    def target(self, current: str, now: float) -> str:
        """Returns the controller to fail back to now, or '' to stay. One that flaps never settles."""
        target = self._settled_controller(current, now)
        if target != self._target:  # a new target gets a new delay
            self._target = target
            self._due_at = now + self._pace.window() * self._draw() if target else 0.0
        return target if target and now >= self._due_at else ""

    def _settled_controller(self, current: str, now: float) -> str:
        if now - self._joined_at < self._pace.minimum_stay:
            return ""
        for name in self._preference[: self._preference.index(current)]:
            if now - self._alive_since.get(name, now) >= self._pace.settling_time:
                return name
        return ""

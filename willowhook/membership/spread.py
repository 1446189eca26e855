"""When a proxy dials and when it goes back: spread without talk, at a pace that binds can be paid for.

Every proxy draws its own wait from the same terms, so that together they come at about the stated pace.
Busy proxies draw from the early part of the time, and nobody is without a table while it waits: it goes
on with what it holds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pace:
    """Times in any one unit."""

    fleet: int  # proxies that may come at one time
    joins: float  # in a unit of time, to all directors together
    settle: float  # how long a director must have shown life before anybody goes back to it
    stay: float  # how long a proxy stays with one director at the least

    def window(self) -> float:
        return self.fleet / self.joins


def dial_wait(pace: Pace, share: float, chance: Callable[[], float]) -> float:
    """How long an orphan waits.  `share`: its part of all calls, times the fleet: 1 for a usual proxy.

    The busier, the earlier: a proxy of twice the usual calls waits in the first half of the time.
    """
    return pace.window() * chance() / max(share, 1.0)


def back_wait(pace: Pace, chance: Callable[[], float]) -> float:
    """How long a proxy that may go back waits until it does."""
    return pace.window() * chance()


class Home:
    """Whether to go back to a director that is nearer the head of the proxy's order.  One for each proxy."""

    def __init__(self, pace: Pace, order: Sequence[str], chance: Callable[[], float]) -> None:
        self._pace, self._order, self._chance = pace, list(order), chance
        self._alive_since: dict[str, float] = {}
        self._joined_at, self._go_at = 0.0, -1.0
        self._wish = ""

    def joined(self, now: float) -> None:
        self._joined_at, self._go_at, self._wish = now, -1.0, ""

    def shown(self, director: str, alive: bool, now: float) -> None:
        """What the proxy sees of a director's signs of life."""
        if alive:
            self._alive_since.setdefault(director, now)
        else:
            self._alive_since.pop(director, None)

    def better(self, present: str, now: float) -> str:
        """The director to go to now, or ''.  One that flaps is never gone back to."""
        settled = [
            name
            for name in self._order[: self._order.index(present)]
            if now - self._alive_since.get(name, now) >= self._pace.settle
        ]
        wish = settled[0] if settled and now - self._joined_at >= self._pace.stay else ""
        if wish != self._wish:  # a new wish, a new wait
            self._wish = wish
            self._go_at = now + back_wait(self._pace, self._chance) if wish else -1.0
        return wish if wish and now >= self._go_at else ""

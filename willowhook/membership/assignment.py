"""Which controller a proxy prefers: every process computes the same order without coordination.

The program uses rendezvous hashing: the order of a proxy does not depend on other proxies, and when a
controller fails, its proxies spread over all remaining controllers. The hash ring, with and without bounded
loads, serves as a comparison in benchmarks.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Sequence

import xxhash

RING_POINTS = 100  # per controller; more points make the shares more even


def _hash(*parts: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(parts))


def preference_order(
    proxy: str, controllers: Sequence[str], preferred: frozenset[str] = frozenset()
) -> list[str]:
    """Returns all controllers in the order in which a proxy tries them: those in `preferred` first."""
    return sorted(controllers, key=lambda name: (name not in preferred, _hash(proxy, name)))


def assign_by_rendezvous(proxies: Sequence[str], controllers: Sequence[str]) -> dict[str, str]:
    """Returns the first controller in the preference order of each proxy."""
    return {proxy: min(controllers, key=lambda name: _hash(proxy, name)) for proxy in proxies}


class HashRing:
    """Consistent hashing with several points on the ring for each controller."""

    def __init__(self, controllers: Sequence[str], points: int = RING_POINTS) -> None:
        """Creates a ring with `points` points for each controller."""
        ring = sorted((_hash(name, str(point)), name) for name in controllers for point in range(points))
        self._positions = [position for position, _ in ring]
        self._names = [name for _, name in ring]

    def owner(self, proxy: str) -> str:
        """Returns the controller of the first point after the hash of the proxy."""
        return self._names[self._position_after(proxy) % len(self._names)]

    def assign_with_bounded_load(self, proxies: Sequence[str], slack: float = 0.1) -> dict[str, str]:
        """Assigns all proxies; no controller gets more than its even share plus the fraction `slack` of it.

        A proxy whose controller is full goes to the next point of the ring. The result depends on all
        proxies, so no proxy can compute it alone.
        """
        limit = math.ceil(len(proxies) / len(set(self._names)) * (1 + slack))
        loads = dict.fromkeys(self._names, 0)
        assigned: dict[str, str] = {}
        for proxy in sorted(proxies):
            position = self._position_after(proxy)
            while loads[name := self._names[position % len(self._names)]] >= limit:
                position += 1
            loads[name] += 1
            assigned[proxy] = name
        return assigned

    def _position_after(self, proxy: str) -> int:
        return bisect.bisect(self._positions, _hash(proxy))

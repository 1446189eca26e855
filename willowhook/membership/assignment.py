"""Which controller a proxy prefers: the same order everywhere, without coordination.

The program uses rendezvous hashing: the order of one proxy depends on no other, and when a controller goes,
its proxies spread over all that are left. The hash ring, plain and with bounded loads, is there to be
measured beside it.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Sequence

import xxhash

RING_POINTS = 100  # a controller; more even out its share


def _hash(*parts: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(parts))


def preference_order(
    proxy: str, controllers: Sequence[str], preferred: frozenset[str] = frozenset()
) -> list[str]:
    """All controllers in the order in which a proxy tries them: those in `preferred`, then the others."""
    return sorted(controllers, key=lambda name: (name not in preferred, _hash(proxy, name)))


def assign_by_rendezvous(proxies: Sequence[str], controllers: Sequence[str]) -> dict[str, str]:
    """The first controller in the order of each proxy."""
    return {proxy: min(controllers, key=lambda name: _hash(proxy, name)) for proxy in proxies}


class HashRing:
    """Consistent hashing with several points on the ring for each controller."""

    def __init__(self, controllers: Sequence[str], points: int = RING_POINTS) -> None:
        """Places `points` points for each controller."""
        ring = sorted((_hash(name, str(point)), name) for name in controllers for point in range(points))
        self._positions = [position for position, _ in ring]
        self._names = [name for _, name in ring]

    def owner(self, proxy: str) -> str:
        """The controller of the first point after the proxy's own."""
        return self._names[self._position_after(proxy) % len(self._names)]

    def assign_with_bounded_load(self, proxies: Sequence[str], slack: float = 0.1) -> dict[str, str]:
        """Assigns all proxies; no controller gets more than its even share and `slack` of it.

        A proxy that does not fit goes to the next point of the ring. The result depends on all proxies, so no
        proxy could compute it alone.
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

"""Where a proxy looks for a director: the same order everywhere, without talk.

Rendezvous hashing is what the program uses: the order of one proxy depends on no other, and when a
director goes its proxies spread over all that are left.  The ring and bounded loads stand beside it to be
measured.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Sequence

import xxhash


def _hash(*parts: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(parts))


def order(proxy: str, directors: Sequence[str], near: frozenset[str] = frozenset()) -> list[str]:
    """All directors, the ones in `near` first, each part by rendezvous."""
    return sorted(directors, key=lambda name: (name not in near, _hash(proxy, name)))


def rendezvous(proxies: Sequence[str], directors: Sequence[str]) -> dict[str, str]:
    """Each proxy's first director."""
    return {proxy: min(directors, key=lambda name: _hash(proxy, name)) for proxy in proxies}


class Ring:
    """Consistent hashing with `points` places a director."""

    def __init__(self, directors: Sequence[str], points: int = 100) -> None:
        rows = sorted((_hash(name, str(k)), name) for name in directors for k in range(points))
        self._places, self._names = [row[0] for row in rows], [row[1] for row in rows]

    def first(self, proxy: str) -> str:
        return self._names[bisect.bisect(self._places, _hash(proxy)) % len(self._names)]

    def bounded(self, proxies: Sequence[str], slack: float = 0.1) -> dict[str, str]:
        """No director has more than its part and `slack` of it; what does not fit goes on round the ring.

        Needs to know all proxies: no proxy could do this alone.
        """
        most = math.ceil(len(proxies) / len(set(self._names)) * (1 + slack))
        loads, found = dict.fromkeys(self._names, 0), dict[str, str]()
        for proxy in sorted(proxies):
            at = bisect.bisect(self._places, _hash(proxy))
            while loads[name := self._names[at % len(self._names)]] >= most:
                at += 1
            loads[name] += 1
            found[proxy] = name
        return found

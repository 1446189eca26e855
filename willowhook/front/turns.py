"""In which order calls that wait are answered when many have news at once.  No I/O and no clock.

Whoever has gone without an answer for longest is first, so that a proxy that asks often does not come
before one that waits patiently; of equals, whoever had news first.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable


class Turns:
    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Hashable]] = []
        self._in: dict[Hashable, int] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._in)

    def want(self, key: Hashable, answered_at: int) -> None:
        """`answered_at`: when it was last answered.  One that has its turn coming keeps it."""
        if key not in self._in:
            self._count += 1
            self._in[key] = self._count
            heapq.heappush(self._heap, (answered_at, self._count, key))

    def drop(self, key: Hashable) -> None:
        self._in.pop(key, None)

    def take(self, most: int) -> list[Hashable]:
        found: list[Hashable] = []
        while self._heap and len(found) < most:
            _, count, key = heapq.heappop(self._heap)
            if self._in.get(key) == count:
                del self._in[key]
                found.append(key)
        return found

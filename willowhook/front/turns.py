"""The order in which waiting requests are woken when many can be answered at once. No I/O and no clock.

The one that has gone without a response for longest is first, so that a proxy that sends many requests does
not overtake one that waits; of equals, the one that was added first.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable


class WakeupQueue:
    """A priority queue in which each key is queued at most once."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Hashable]] = []
        self._entry_numbers: dict[Hashable, int] = {}  # the valid heap entry of each queued key
        self._count = 0

    def __len__(self) -> int:
        return len(self._entry_numbers)

    def add(self, key: Hashable, answered_at: int) -> None:
        """Queues a key that was last answered at `answered_at`; a key in the queue keeps its place."""
        if key not in self._entry_numbers:
            self._count += 1
            self._entry_numbers[key] = self._count
            heapq.heappush(self._heap, (answered_at, self._count, key))

    def discard(self, key: Hashable) -> None:
        """Removes a key if it is queued; its heap entry becomes invalid and is skipped later."""
        self._entry_numbers.pop(key, None)

    def pop(self, max_keys: int) -> list[Hashable]:
        """Removes and returns up to `max_keys` keys, in order."""
        keys: list[Hashable] = []
        while self._heap and len(keys) < max_keys:
            _, number, key = heapq.heappop(self._heap)
            if self._entry_numbers.get(key) == number:
                del self._entry_numbers[key]
                keys.append(key)
        return keys

"""A timing wheel: which deadlines have passed, at a cost that does not grow with those that have not.

Deadlines lie in slots of time. A later deadline only notes its new time; the entry moves when its old slot
comes round, so a heartbeat costs one write into a dictionary.
"""

from __future__ import annotations


class TimingWheel:
    """Deadlines by key, in any one whole unit of time."""

    def __init__(self, slot_width: int, slot_count: int, now: int) -> None:
        """Makes a wheel of slots of this width; what lies further than all of them goes round again."""
        self._slot_width = slot_width
        self._slot_count = slot_count
        self._slots: list[dict[str, None]] = [{} for _ in range(slot_count)]
        self._deadlines: dict[str, int] = {}
        self._slot_of: dict[str, int] = {}
        self._next = now // slot_width  # the next slot to look at, counted from time 0

    def __len__(self) -> int:
        """The keys that have a deadline."""
        return len(self._deadlines)

    def set(self, key: str, deadline: int) -> None:
        """Sets or moves the deadline of a key."""
        old = self._deadlines.get(key)
        self._deadlines[key] = deadline
        if old is None or deadline < old:  # a later one is found when the old slot comes round
            self._place(key, deadline)

    def drop(self, key: str) -> None:
        """Takes the deadline of a key back, if it has one."""
        if self._deadlines.pop(key, None) is not None:
            self._slots[self._slot_of.pop(key)].pop(key, None)

    def overdue(self, now: int) -> list[str]:
        """Takes out the keys whose deadlines have passed and returns them in the order of their slots."""
        passed = []
        while self._next <= now // self._slot_width:
            index = self._next % self._slot_count
            self._next += 1
            keys = self._slots[index]
            self._slots[index] = {}
            for key in keys:
                del self._slot_of[key]
                if self._deadlines[key] <= now:
                    del self._deadlines[key]
                    passed.append(key)
                else:
                    self._place(key, self._deadlines[key])
        return passed

    def _place(self, key: str, deadline: int) -> None:
        old = self._slot_of.pop(key, None)
        if old is not None:
            self._slots[old].pop(key, None)
        slot = -(-deadline // self._slot_width)  # rounded up: never early
        slot = min(max(slot, self._next), self._next + self._slot_count - 1)
        index = slot % self._slot_count
        self._slots[index][key] = None
        self._slot_of[key] = index

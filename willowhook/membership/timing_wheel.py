"""A timing wheel: finds passed deadlines at a cost that does not grow with the number of pending ones.

Deadlines are kept in time slots. Postponing a deadline only records its new time; the entry moves when its
old slot is processed, so a heartbeat costs one dictionary write.
"""

from __future__ import annotations


class TimingWheel:
    """Deadlines by key, in whole numbers of any one time unit."""

    def __init__(self, slot_width: int, slot_count: int, now: int) -> None:
        """Creates a wheel; a deadline beyond the last slot is placed again when its slot is processed."""
        self._slot_width = slot_width
        self._slot_count = slot_count
        self._slots: list[dict[str, None]] = [{} for _ in range(slot_count)]
        self._deadlines: dict[str, int] = {}
        self._slot_of: dict[str, int] = {}
        self._next = now // slot_width  # the next slot to process, counted from time 0

    def __len__(self) -> int:
        """Returns the number of keys that have a deadline."""
        return len(self._deadlines)

    def set(self, key: str, deadline: int) -> None:
        """Sets or moves the deadline of a key."""
        old = self._deadlines.get(key)
        self._deadlines[key] = deadline
        if old is None or deadline < old:  # a later one moves when the old slot is processed
            self._place(key, deadline)

    def drop(self, key: str) -> None:
        """Removes the deadline of a key, if it has one."""
        if self._deadlines.pop(key, None) is not None:
            self._slots[self._slot_of.pop(key)].pop(key, None)

    def overdue(self, now: int) -> list[str]:
        """Removes the keys whose deadlines have passed and returns them in the order of their slots."""
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
        old_index = self._slot_of.pop(key, None)
        if old_index is not None:
            self._slots[old_index].pop(key, None)
        slot = -(-deadline // self._slot_width)  # rounded up, so that no deadline passes early
        slot = min(max(slot, self._next), self._next + self._slot_count - 1)
        index = slot % self._slot_count
        self._slots[index][key] = None
        self._slot_of[key] = index

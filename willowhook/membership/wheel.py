"""A timing wheel: who has been silent for too long, at a cost that does not grow with who is not.

Entries are put into slots of time by when they would be overdue.  A sign of life only notes the new time;
the entry is moved when its old slot comes round, so a beat costs one write into a dict.
"""

from __future__ import annotations


class Wheel:
    def __init__(self, slot: int, slots: int, now: int) -> None:
        """`slot`: its width, in the caller's unit of time; what lies further than all slots goes round
        again.
        """
        self._slot, self._slots = slot, slots
        self._rows: list[dict[str, None]] = [{} for _ in range(slots)]
        self._due: dict[str, int] = {}
        self._at = now // slot  # the next slot to look at
        self._where: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._due)

    def set(self, key: str, due: int) -> None:
        """From now on `key` is overdue at `due`, and not before."""
        old = self._due.get(key)
        self._due[key] = due
        if old is None or due < old:  # later ones are found when the old slot comes round
            self._place(key, due)

    def _place(self, key: str, due: int) -> None:
        at = self._where.pop(key, None)
        if at is not None:
            self._rows[at].pop(key, None)
        place = min(max(-(-due // self._slot), self._at), self._at + self._slots - 1) % self._slots
        self._rows[place][key] = None
        self._where[key] = place

    def drop(self, key: str) -> None:
        if self._due.pop(key, None) is not None:
            self._rows[self._where.pop(key)].pop(key, None)

    def overdue(self, now: int) -> list[str]:
        """Takes out and gives, in the order of their slots, all that are overdue."""
        found = []
        while self._at <= now // self._slot:
            place = self._at % self._slots
            self._at += 1
            row, self._rows[place] = self._rows[place], {}
            for key in row:
                del self._where[key]
                if self._due[key] <= now:
                    del self._due[key]
                    found.append(key)
                else:
                    self._place(key, self._due[key])
        return found

"""The clock of decisions: Unix time in tenths of a millisecond, as lists tell when a host started."""

from __future__ import annotations

import time


class Clock:
    """Read from the system's clocks; it never goes back, and a step of the Unix clock does not move it."""

    def __init__(self) -> None:
        self._base = time.time() - time.monotonic()

    def now(self) -> int:
        return int((self._base + time.monotonic()) * 10_000)

"""The clock of the controller: Unix time in ticks, the time scale of start times in endpoint lists."""

from __future__ import annotations

import time

from ..ticks import TICKS_PER_SECOND


class Clock:
    """A clock that never goes back. Steps of the system clock after its creation do not affect it."""

    def __init__(self) -> None:
        self._monotonic_epoch_s = time.time() - time.monotonic()

    def now(self) -> int:
        """The current time in ticks."""
        return int((self._monotonic_epoch_s + time.monotonic()) * TICKS_PER_SECOND)

"""The clock of the controller: Unix time in ticks, in which endpoint lists state the start of an endpoint."""

from __future__ import annotations

import time

from ..ticks import TICKS_PER_SECOND


class Clock:
    """A clock that never goes back. Steps of the system's Unix clock after its creation do not affect it."""

    def __init__(self) -> None:
        self._monotonic_epoch_s = time.time() - time.monotonic()

    def now(self) -> int:
        """The present time in ticks."""
        return int((self._monotonic_epoch_s + time.monotonic()) * TICKS_PER_SECOND)

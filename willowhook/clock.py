"""Reads the machine's monotonic clock in ticks, for all that works on sockets and files."""

from __future__ import annotations

import time

from .ticks import NANOSECONDS_PER_TICK


def monotonic_ticks() -> int:
    """The present time in ticks, from an arbitrary start; the same in every process of the machine."""
    return time.monotonic_ns() // NANOSECONDS_PER_TICK

"""The machine's monotonic clock in ticks, for code that works with sockets and files."""

from __future__ import annotations

import time

from .ticks import NANOSECONDS_PER_TICK


def monotonic_ticks() -> int:
    """The current time in ticks since an arbitrary origin that all processes of the machine share."""
    return time.monotonic_ns() // NANOSECONDS_PER_TICK

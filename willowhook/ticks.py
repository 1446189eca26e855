"""The internal unit of time: one tick is 0.1 ms.

Decisions and protocol code measure time in whole ticks, so that the same input always gives the same result.
Seconds and milliseconds are converted at the boundaries of the program.
"""

from __future__ import annotations

TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10
NANOSECONDS_PER_TICK = 100_000


def ticks_from_seconds(seconds: str | float) -> int:
    """Converts seconds to whole ticks, rounded. Raises ValueError if the text is not a number."""
    return round(float(seconds) * TICKS_PER_SECOND)


def ticks_from_milliseconds(milliseconds: float) -> int:
    """Converts milliseconds to whole ticks, rounded."""
    return round(milliseconds * TICKS_PER_MILLISECOND)

"""The unit of time inside the program: a tick is a tenth of a millisecond.

Decisions and protocol code count time in whole ticks, so that every run with the same input gives the same
result. Seconds and milliseconds are converted where they enter or leave the program.
"""

from __future__ import annotations

TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10
NANOSECONDS_PER_TICK = 100_000


def ticks_from_seconds(seconds: str | float) -> int:
    """Converts seconds to whole ticks, rounded. Raises ValueError on text that is no number."""
    return round(float(seconds) * TICKS_PER_SECOND)


def ticks_from_milliseconds(milliseconds: float) -> int:
    """Converts milliseconds to whole ticks, rounded."""
    return round(milliseconds * TICKS_PER_MILLISECOND)

"""The clock of a controller process, in ticks."""

from __future__ import annotations

import time

from ..clock import monotonic_ticks
from ..registry.endpoint import DiscoveredEndpoint
from ..ticks import TICKS_PER_SECOND, ticks_from_seconds

# Keeps the start of an endpoint positive even if it started before this machine booted.
CLOCK_ORIGIN_TICKS = 100_000 * TICKS_PER_SECOND


class Clock:
    """The machine's monotonic clock, to which the wall-clock start times of endpoints are converted."""

    def __init__(self) -> None:
        """Creates a clock without any converted start times."""
        self._starts: dict[str, tuple[float, int]] = {}  # by endpoint: Unix seconds, ticks of this clock

    def now(self) -> int:
        """Returns the current time in ticks."""
        return CLOCK_ORIGIN_TICKS + monotonic_ticks()

    def start_of(self, endpoint: DiscoveredEndpoint) -> int:
        """Returns when an endpoint's process started, in ticks of this clock; 0 if unknown.

        Each start time is converted once, so a later step of the wall clock does not change the result.
        """
        known_seconds, known_ticks = self._starts.get(endpoint.id, (0.0, 0))
        if known_seconds == endpoint.started:
            return known_ticks
        started_at = 0
        if endpoint.started:
            age_seconds = max(time.time() - endpoint.started, 0.0)
            started_at = max(1, self.now() - ticks_from_seconds(age_seconds))
        self._starts[endpoint.id] = (endpoint.started, started_at)
        return started_at

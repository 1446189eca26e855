"""Counts of the requests to service discovery, for the status line."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class DiscoveryStatistics:
    """What became of the requests to service discovery since the start.

    A request that is neither answered nor lost is in flight, or was given up by this controller.

    Attributes:
        requests: number of requests.
        answers: number of usable answers.
        losses: number of requests that failed, timed out or got an unusable answer.
    """

    requests: int = 0
    answers: int = 0
    losses: int = 0

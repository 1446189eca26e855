"""A controller's state in figures, for log lines and records."""

from __future__ import annotations

from typing import NamedTuple


class ControllerStatus(NamedTuple):
    """What a controller believes now.

    Attributes:
        endpoints_in_service: of those that it knows.
        endpoint_count: all that it knows, with those that drain or are removed.
        load_fraction: share of cores in use at the busiest table, at the last evaluation.
        admitted_fraction: of the requests' work that is let in; 1.4 if nothing is shed.
        queue_entries: that wait in the channel, as far as is known.
    """

    endpoints_in_service: int
    endpoint_count: int
    load_fraction: float
    admitted_fraction: float
    queue_entries: float

"""Status figures of a controller, for log lines and records."""

from __future__ import annotations

from typing import NamedTuple


class ControllerStatus(NamedTuple):
    """Current state of a controller, as far as it knows.

    Attributes:
        endpoints_in_service: number of endpoints in service.
        endpoint_count: number of all known endpoints, including draining and removed ones.
        load_fraction: share of cores in use at the busiest table, at the last evaluation.
        admitted_fraction: admitted share of the work of all requests; 1.4 while no load is shed.
        queue_entries: estimated number of entries that wait in the channel.
        charged_entries: entries charged to the channel since the start.
    """

    endpoints_in_service: int
    endpoint_count: int
    load_fraction: float
    admitted_fraction: float
    queue_entries: float
    charged_entries: int

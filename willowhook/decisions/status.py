"""What a controller reports of itself, for logs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ControllerStatus:
    """The state of a controller.

    Attributes:
        endpoints_in_service: endpoints that the list has in service.
        endpoint_count: endpoints that are known.
        load_fraction: the share of cores in use at the endpoints of the fullest table.
        admitted_fraction: the share of requests that is admitted; over 1: nothing is shed.
        queue_entries: entries that are believed to wait in the channel to the proxies.
    """

    endpoints_in_service: int
    endpoint_count: int
    load_fraction: float
    admitted_fraction: float
    queue_entries: float

"""An endpoint as service discovery lists it, and the error of a list that cannot be used."""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import WillowhookError


class DiscoveryError(WillowhookError):
    """A request to the service registry failed, or its response is no valid endpoint list."""


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """An endpoint as service discovery lists it.

    Attributes:
        id: the identifier of the service instance.
        address: the host name or IP address.
        port: the TCP port.
        draining: whether it is in maintenance and takes no new requests.
        started: the time of its start, Unix time in seconds; 0: unknown.
        weight: the listed weight.
        endpoint_class: the endpoint class.
        cell: the cell that it belongs to.
        zone: the zone of its node.
        tier: the priority tier; it serves when no endpoint of the same class in an earlier tier does.
    """

    id: str
    address: str
    port: int
    draining: bool
    started: float
    weight: float
    endpoint_class: str
    cell: str
    zone: str
    tier: int = 0

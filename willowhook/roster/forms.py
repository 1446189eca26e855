"""The health endpoint of a service registry (`GET /v1/health/service/NAME`), parsed into endpoints.

An endpoint in maintenance (`_service_maintenance:ID`) is draining. Other critical checks don't change how an
endpoint is listed: whether it responds is judged from requests, never from the registry. `Meta` may hold any
keys; `started` (Unix time in seconds), `kind`, `cell` and `tier` (0: always serves) are read from it, all
optional.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

MAINTENANCE_PREFIX = "_service_maintenance:"
VALID_TIERS = frozenset("0123456789")


class DiscoveryError(Exception):
    """A request to the service registry failed, or its response is no valid endpoint list."""


class Weights(msgspec.Struct):
    """The weights of a service, by the state of its checks."""

    Passing: int = 1
    Warning: int = 1


class Service(msgspec.Struct):
    """A registered instance of a service."""

    ID: str
    Address: str = ""
    Port: int = 0
    Meta: dict[str, str] = msgspec.field(default_factory=dict)
    Weights: Weights | None = None


class Node(msgspec.Struct):
    """The machine that an instance runs on."""

    Node: str = ""
    Address: str = ""
    Datacenter: str = ""
    Meta: dict[str, str] = msgspec.field(default_factory=dict)


class Check(msgspec.Struct):
    """The result of a health check."""

    CheckID: str = ""
    Status: str = ""


class Entry(msgspec.Struct):
    """An instance with its node and its checks."""

    Service: Service
    Node: Node = msgspec.field(default_factory=Node)
    Checks: list[Check] = msgspec.field(default_factory=list)


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


_entries_decoder = msgspec.json.Decoder(list[Entry])


def parse_endpoints(body: bytes) -> list[DiscoveredEndpoint]:
    """Parses a response. Raises DiscoveryError if any entry is invalid; there is no partial list."""
    try:
        entries = _entries_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DiscoveryError(f"not a list of entries: {error}") from error
    endpoints: dict[str, DiscoveredEndpoint] = {}
    for index, entry in enumerate(entries):
        service, place = entry.Service, f"[{index}].Service"
        if not service.ID or len(service.ID) > 200 or not service.ID.isprintable():
            raise DiscoveryError(f"{place}.ID is not a valid endpoint name: {service.ID[:40]!r}")
        if service.ID in endpoints:
            raise DiscoveryError(f"{place}.ID {service.ID} is listed twice")
        if not 0 < service.Port < 65536:
            raise DiscoveryError(f"{place}.Port of {service.ID} is {service.Port}")
        address = service.Address or entry.Node.Address
        if not address:
            raise DiscoveryError(f"{place}.Address of {service.ID} is empty, and so is its node's")
        try:
            started = float(service.Meta.get("started", "0"))
        except ValueError as error:
            raise DiscoveryError(f"{place}.Meta.started of {service.ID} is not a number") from error
        if not 0 <= started < 1e12:
            raise DiscoveryError(f"{place}.Meta.started of {service.ID} is {started}")
        tier = service.Meta.get("tier", "0")
        if tier not in VALID_TIERS:
            raise DiscoveryError(
                f"{place}.Meta.tier of {service.ID} is {tier[:20]!r}, not a digit from 0 to 9"
            )
        is_draining = any(
            check.CheckID.startswith(MAINTENANCE_PREFIX) and check.Status == "critical"
            for check in entry.Checks
        )
        zone = entry.Node.Meta.get("zone") or entry.Node.Datacenter
        weight = float(service.Weights.Passing) if service.Weights else 1.0
        endpoint_class, cell = service.Meta.get("kind", ""), service.Meta.get("cell", "")
        properties = (is_draining, started, weight, endpoint_class, cell, zone, int(tier))
        endpoints[service.ID] = DiscoveredEndpoint(service.ID, address, service.Port, *properties)
    return list(endpoints.values())


class BlockingQueryIndex:
    """The index of blocking queries: what to request next, and whether a response is new."""

    def __init__(self) -> None:
        self.index = 0

    def record_index(self, header: bytes | None) -> bool:
        """Records the index of a response; returns whether it differs from the previous one.

        Raises DiscoveryError if the header holds no number. After an index that decreases, or is below 1, the
        next query starts from 0, as the registry's protocol requires.
        """
        try:
            index = int(header or b"")
        except ValueError as error:
            raise DiscoveryError("no valid X-Consul-Index in the response") from error
        is_new = index != self.index
        self.index = 0 if index < self.index or index < 1 else index
        return is_new

"""The health endpoint of a service catalogue (`GET /v1/health/service/NAME`), as published: entries to rows.

A host in maintenance (`_service_maintenance:ID`) drains.  A host whose other checks are critical is listed
as it is: whether it answers is judged from calls, never from the roster.  `Meta` is the form's own free map;
`started` (seconds of the Unix clock), `kind`, `cell` and `tier` (0: serves always) are read there, and are
optional.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

MAINTENANCE = "_service_maintenance:"
TIERS = frozenset("0123456789")


class DiscoveryError(Exception):
    """An answer that is no list of hosts: what is wrong, and where."""


class Weights(msgspec.Struct):
    Passing: int = 1
    Warning: int = 1


class Service(msgspec.Struct):
    ID: str
    Address: str = ""
    Port: int = 0
    Meta: dict[str, str] = msgspec.field(default_factory=dict)
    Weights: Weights | None = None


class Node(msgspec.Struct):
    Node: str = ""
    Address: str = ""
    Datacenter: str = ""
    Meta: dict[str, str] = msgspec.field(default_factory=dict)


class Check(msgspec.Struct):
    CheckID: str = ""
    Status: str = ""


class Entry(msgspec.Struct):
    Service: Service
    Node: Node = msgspec.field(default_factory=Node)
    Checks: list[Check] = msgspec.field(default_factory=list)


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """One listed host.  `started`: seconds of the Unix clock, 0 if not told; `size`: its listed weight."""

    id: str
    address: str
    port: int
    draining: bool
    started: float
    weight: float
    endpoint_class: str
    cell: str
    zone: str
    tier: int = 0  # a later one serves when no host of its kind before it does


_entries = msgspec.json.Decoder(list[Entry])


def parse_endpoints(body: bytes) -> list[DiscoveredEndpoint]:
    """Raises RosterError: an answer is taken whole or not at all."""
    try:
        entries = _entries.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise DiscoveryError(f"not a list of entries: {fault}") from fault
    hosts: dict[str, DiscoveredEndpoint] = {}
    for at, entry in enumerate(entries):
        service, where = entry.Service, f"[{at}].Service"
        if not service.ID or len(service.ID) > 200 or not service.ID.isprintable():
            raise DiscoveryError(f"{where}.ID is no name of a host: {service.ID[:40]!r}")
        if service.ID in hosts:
            raise DiscoveryError(f"{where}.ID {service.ID} is listed twice")
        if not 0 < service.Port < 65536:
            raise DiscoveryError(f"{where}.Port of {service.ID} is {service.Port}")
        address = service.Address or entry.Node.Address
        if not address:
            raise DiscoveryError(f"{where}.Address of {service.ID} is empty, and so is its node's")
        try:
            started = float(service.Meta.get("started", "0"))
        except ValueError as fault:
            raise DiscoveryError(f"{where}.Meta.started of {service.ID} is no number") from fault
        if not 0 <= started < 1e12:
            raise DiscoveryError(f"{where}.Meta.started of {service.ID} is {started}")
        tier = service.Meta.get("tier", "0")
        if tier not in TIERS:
            raise DiscoveryError(f"{where}.Meta.tier of {service.ID} is {tier[:20]!r}, no figure from 0 to 9")
        drains = any(
            check.CheckID.startswith(MAINTENANCE) and check.Status == "critical" for check in entry.Checks
        )
        zone = entry.Node.Meta.get("zone") or entry.Node.Datacenter
        size = float(service.Weights.Passing) if service.Weights else 1.0
        kind, cell = service.Meta.get("kind", ""), service.Meta.get("cell", "")
        told = (drains, started, size, kind, cell, zone, int(tier))
        hosts[service.ID] = DiscoveredEndpoint(service.ID, address, service.Port, *told)
    return list(hosts.values())


class BlockingQueryIndex:
    """The index of blocking queries: what to ask for next, and whether an answer is news."""

    def __init__(self) -> None:
        self.index = 0

    def record_index(self, header: bytes | None) -> bool:
        """True if this answer brings something new.  Raises RosterError without a proper index.

        An index that goes back, or is 0, starts again from nothing, as the form asks.
        """
        try:
            index = int(header or b"")
        except ValueError as fault:
            raise DiscoveryError("no X-Consul-Index in the answer") from fault
        news = index != self.index
        self.index = 0 if index < self.index or index < 1 else index
        return news

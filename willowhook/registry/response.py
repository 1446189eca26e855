"""The health endpoint of a service registry (`GET /v1/health/service/NAME`), parsed into endpoints.

An endpoint in maintenance (`_service_maintenance:ID`) is draining. Other critical checks don't change how an
endpoint is listed: whether it responds is judged from requests, never from the registry. `Meta` may hold any
keys; `started` (Unix time in seconds), `kind`, `cell` and `tier` (0: always serves) are read from it, all
optional.
"""

from __future__ import annotations

import msgspec

from .endpoint import DiscoveredEndpoint, DiscoveryError

MAINTENANCE_PREFIX = "_service_maintenance:"
VALID_TIERS = frozenset("0123456789")
MAX_NAME_LENGTH = 200
MAX_PORT = 65535
MAX_START_TIME_S = 1e12  # since the Unix epoch
SHOWN_CHARACTERS = 40  # of an invalid name or tier, in the error


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


_entries_decoder = msgspec.json.Decoder(list[Entry])


def parse_endpoints(body: bytes) -> list[DiscoveredEndpoint]:
    """Parses a response. Raises DiscoveryError if any entry is invalid; there is no partial list."""
    try:
        entries = _entries_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DiscoveryError(f"not a list of entries: {error}") from error
    endpoints: dict[str, DiscoveredEndpoint] = {}
    for index, entry in enumerate(entries):
        place = f"[{index}].Service"
        endpoint = _read_entry(entry, place)
        if endpoint.id in endpoints:
            raise DiscoveryError(f"{place}.ID {endpoint.id} is listed twice")
        endpoints[endpoint.id] = endpoint
    return list(endpoints.values())


def _read_entry(entry: Entry, place: str) -> DiscoveredEndpoint:
    service = entry.Service
    _check_name(service.ID, place)
    if not 0 < service.Port <= MAX_PORT:
        raise DiscoveryError(f"{place}.Port of {service.ID} is {service.Port}")
    address = service.Address or entry.Node.Address
    if not address:
        raise DiscoveryError(f"{place}.Address of {service.ID} is empty, and so is its node's")
    return DiscoveredEndpoint(
        id=service.ID,
        address=address,
        port=service.Port,
        draining=_is_in_maintenance(entry),
        started=_read_start_time(service, place),
        weight=float(service.Weights.Passing) if service.Weights else 1.0,
        endpoint_class=service.Meta.get("kind", ""),
        cell=service.Meta.get("cell", ""),
        zone=entry.Node.Meta.get("zone") or entry.Node.Datacenter,
        tier=_read_tier(service, place),
    )


def _check_name(name: str, place: str) -> None:
    if not name or len(name) > MAX_NAME_LENGTH or not name.isprintable():
        raise DiscoveryError(f"{place}.ID is not a valid endpoint name: {name[:SHOWN_CHARACTERS]!r}")


def _is_in_maintenance(entry: Entry) -> bool:
    return any(
        check.CheckID.startswith(MAINTENANCE_PREFIX) and check.Status == "critical" for check in entry.Checks
    )


def _read_start_time(service: Service, place: str) -> float:
    try:
        started = float(service.Meta.get("started", "0"))
    except ValueError as error:
        raise DiscoveryError(f"{place}.Meta.started of {service.ID} is not a number") from error
    if not 0 <= started < MAX_START_TIME_S:
        raise DiscoveryError(f"{place}.Meta.started of {service.ID} is {started}")
    return started


def _read_tier(service: Service, place: str) -> int:
    tier = service.Meta.get("tier", "0")
    if tier not in VALID_TIERS:
        shown = repr(tier[:SHOWN_CHARACTERS])
        raise DiscoveryError(f"{place}.Meta.tier of {service.ID} is {shown}, not a digit from 0 to 9")
    return int(tier)

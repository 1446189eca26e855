"""The data types of validation: settings, endpoints, and the tables of a proxy. Times are ticks."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ..decisions.settings import RequestSemantics

ProxyKey = int | str  # a number in the running service, a name in a state file
ContentKey = object  # equal for equal tables


class EndpointMode(Enum):
    """The state of an endpoint, as listed. The values are those of state files and findings."""

    IN_SERVICE = "open"
    DRAINING = "draining"
    REMOVED = "gone"


class UpdateVersion(NamedTuple):
    """The version of an update at one proxy; it only increases."""

    term: int
    epoch: int
    number: int

    def __str__(self) -> str:
        """Returns the form that files and findings use."""
        return f"{self.term}.{self.epoch}.{self.number}"


@dataclass(frozen=True, slots=True)
class RouteConstraints:
    """Which endpoints may serve a route, and whether a request may run more than once.

    Attributes:
        name: the name of the route.
        semantics: whether a request may run more than once.
        same_zone_only: whether only endpoints in the proxy's zone may serve it.
        allowed_zones: the zones of the endpoints that may serve it; empty: any.
        allowed_classes: the classes of the endpoints that may serve it; empty: any.
    """

    name: str
    semantics: RequestSemantics
    same_zone_only: bool = False
    allowed_zones: tuple[str, ...] = ()
    allowed_classes: tuple[str, ...] = ()

    @property
    def has_constraints(self) -> bool:
        """Whether the route restricts the endpoints that may serve it."""
        return bool(self.same_zone_only or self.allowed_zones or self.allowed_classes)


@dataclass(frozen=True, slots=True)
class ValidationSettings:
    """The settings of the deployment that validation needs, and its own margins.

    Attributes:
        routes: the routes by index.
        drain_grace_ticks: the time after which nothing may be sent to a draining or removed endpoint.
        slow_start_ticks: the time after which a newly started endpoint has its full capacity.
        slow_start_fraction: the fraction of its capacity that an endpoint has when it starts.
        recovery_overload_factor: the multiple of its current capacity that a warming endpoint may get.
        entries_per_tick: the rate of the channel.
        queue_limit_entries: the number of entries that may wait in the channel.
        message_cap: messages to one proxy within `message_cap_window_ticks`; 0: no cap.
        message_cap_window_ticks: the window of the message cap.
        proxy_count: the number of proxies of all controllers.
        slow_start_budget_fraction: the fraction of a warming endpoint's load budget that tables may use.
        max_share_factor: the multiple of its even share of all requests that one endpoint may be given.
        capacity_per_second: requests per second that an endpoint can serve, by class, where configured.
        max_capacity_fraction: the fraction of that capacity that tables may use.
    """

    routes: tuple[RouteConstraints, ...]
    drain_grace_ticks: int
    slow_start_ticks: int
    slow_start_fraction: float
    recovery_overload_factor: float
    entries_per_tick: float
    queue_limit_entries: float
    message_cap: int
    message_cap_window_ticks: int
    proxy_count: int
    slow_start_budget_fraction: float = 0.8
    max_share_factor: float = 6.0
    capacity_per_second: Mapping[str, float] = field(default_factory=dict)
    max_capacity_fraction: float = 1.0


@dataclass(slots=True)
class ValidatedEndpoint:
    """An endpoint as listed.

    Attributes:
        name: the name of the endpoint.
        mode: whether it is in service, draining or removed.
        since: the tick at which it was first listed in this mode.
        started_at: the tick at which its process started; 0: long ago, so not in slow start.
        capacity: its capacity relative to the other endpoints; usually 1.
        endpoint_class: its class, such as the kind of machine.
        zone: its zone.
        has_address: whether its address is known.
    """

    name: str
    mode: EndpointMode
    since: int
    started_at: int = 0
    capacity: float = 1.0
    endpoint_class: str = ""
    zone: str = ""
    has_address: bool = True

    @property
    def is_in_service(self) -> bool:
        """Whether it is neither draining nor removed."""
        return self.mode is EndpointMode.IN_SERVICE


@dataclass(frozen=True, slots=True)
class ProxyTables:
    """The tables that a proxy holds, or is to hold.

    Attributes:
        weights: the weights of the endpoints, by route index.
        excluded: endpoints that are not used, regardless of the weights.
        retries: the retry modes by route index.
        limits: admission limits by route index; infinite: none.
        key: a key of the content, if the caller has one; None: the key is made from the content.
    """

    weights: tuple[Mapping[str, float], ...]
    excluded: frozenset[str]
    retries: tuple[int, ...]
    limits: tuple[float, ...]
    key: ContentKey | None = None

    def usable(self, route: int) -> dict[str, float]:
        """Returns the weights of a route's endpoints that are not excluded and have a weight above 0."""
        return {
            endpoint: weight
            for endpoint, weight in self.weights[route].items()
            if endpoint not in self.excluded and weight > 0
        }

    def content_key(self) -> ContentKey:
        """Returns `key`, or else a key made from the content; equal contents have equal keys."""
        if self.key is not None:
            return self.key
        weights = tuple(tuple(sorted(table.items())) for table in self.weights)
        return (weights, self.excluded, self.retries, self.limits)


class RequestShares:
    """Each endpoint's share of the requests under one content of the tables, computed once.

    Attributes:
        tables: the content.
        by_route: by route index, each endpoint's share of the route's requests.
        endpoints: all endpoints that get any requests, in the order of the tables.
        class_count: the number of proxy classes that hold this content; see `exposure`.
    """

    __slots__ = ("by_route", "class_count", "endpoints", "tables")

    def __init__(self, tables: ProxyTables) -> None:
        """Computes the shares; routes that share one table share the result."""
        self.tables = tables
        self.class_count = 0
        self.by_route: list[dict[str, float]] = []
        shares_by_table: dict[int, dict[str, float]] = {}
        for route, weights in enumerate(tables.weights):
            shares = shares_by_table.get(id(weights))
            if shares is None:
                shares = shares_by_table[id(weights)] = _shares(tables.usable(route))
            self.by_route.append(shares)
        self.endpoints = dict.fromkeys(endpoint for shares in self.by_route for endpoint in shares)


def _shares(weights: dict[str, float]) -> dict[str, float]:
    total = sum(weights.values())
    if not (total > 0 and math.isfinite(total)):
        return {}
    return {endpoint: weight / total for endpoint, weight in weights.items()}


@dataclass(frozen=True, slots=True)
class Candidate:
    """An update to validate.

    Attributes:
        proxy: the proxy that it is for.
        tables: the tables that the proxy would hold.
        version: the version of the update.
        cost_entries: its update cost in the channel, in entries.
        is_queued: whether its entries are already counted as waiting.
    """

    proxy: ProxyKey
    tables: ProxyTables
    version: UpdateVersion
    cost_entries: int = 0
    is_queued: bool = False

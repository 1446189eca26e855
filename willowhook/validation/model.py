"""The types that validation works on: settings, endpoints, and what a proxy holds. Times are ticks."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ..decisions.settings import RequestSemantics

ProxyKey = int | str  # a number in service, a name in a state file
ContentKey = object  # the same for the same tables


class EndpointMode(Enum):
    """The state of an endpoint, as listed. The values are those of state files and findings."""

    IN_SERVICE = "open"
    DRAINING = "draining"
    REMOVED = "gone"


class UpdateVersion(NamedTuple):
    """The version of an update at one proxy; it never goes back."""

    term: int
    epoch: int
    number: int

    def __str__(self) -> str:
        """As in files and findings."""
        return f"{self.term}.{self.epoch}.{self.number}"


@dataclass(frozen=True, slots=True)
class RouteConstraints:
    """What may serve a route, and how often a request may run.

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
        """Whether some endpoints may not serve the route."""
        return bool(self.same_zone_only or self.allowed_zones or self.allowed_classes)


@dataclass(frozen=True, slots=True)
class ValidationSettings:
    """The settings of the deployment that validation needs, and its own margins.

    Attributes:
        routes: the routes by index.
        drain_grace_ticks: after this, nothing may be sent to a draining or removed endpoint.
        slow_start_ticks: after this a newly started endpoint has all of its capacity.
        slow_start_fraction: the fraction of its capacity that it has at its start.
        recovery_overload_factor: how far over its capacity an endpoint that warms up may be loaded.
        entries_per_tick: the rate of the channel.
        queue_limit_entries: entries that may wait in the channel.
        message_cap: messages to one proxy within `message_cap_window_ticks`; 0: no cap.
        message_cap_window_ticks: the window of the cap.
        proxy_count: the proxies of all controllers.
        cold_budget_fraction: the fraction of the budget of an endpoint that warms up that tables may use.
        max_share_factor: how many times its even share of all requests one endpoint may be given.
        capacity_per_second: requests that an endpoint can serve, by class, where it is configured.
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
        since: when it was first listed in this mode.
        started_at: when its process started; 0: long ago.
        capacity: relative to the other endpoints; 1 is usual.
        endpoint_class: the kind of machine.
        zone: where it is.
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
    """What a proxy holds, or is to hold.

    Attributes:
        weights: the weights of the endpoints, by route index.
        excluded: endpoints that are not used, whatever the weights say.
        retries: the retry modes by route index, as ordered.
        limits: admission limits by route index; infinite: none.
        key: a key of the content, if the caller knows one; None: the content is the key.
    """

    weights: tuple[Mapping[str, float], ...]
    excluded: frozenset[str]
    retries: tuple[int, ...]
    limits: tuple[float, ...]
    key: ContentKey | None = None

    def usable(self, route: int) -> dict[str, float]:
        """Returns the weights of the endpoints that are used for a route."""
        return {
            endpoint: weight
            for endpoint, weight in self.weights[route].items()
            if endpoint not in self.excluded and weight > 0
        }

    def content_key(self) -> ContentKey:
        """Returns `key`, or else a key made from the content; equal contents have equal keys."""
        if self.key is not None:
            return self.key
        weights = tuple(tuple(sorted(row.items())) for row in self.weights)
        return (weights, self.excluded, self.retries, self.limits)


class RequestShares:
    """The shares of requests by one content of tables, computed once.

    Attributes:
        tables: the content.
        by_route: each endpoint's share of a route's requests.
        endpoints: all that get any requests, in the order of the tables.
        class_count: the classes of proxies that hold this content; see `exposure`.
    """

    __slots__ = ("by_route", "class_count", "endpoints", "tables")

    def __init__(self, tables: ProxyTables) -> None:
        """Computes the shares; routes that share one table share the result."""
        self.tables = tables
        self.class_count = 0
        self.by_route: list[dict[str, float]] = []
        known: dict[int, dict[str, float]] = {}
        for route, weights in enumerate(tables.weights):
            shares = known.get(id(weights))
            if shares is None:
                shares = known[id(weights)] = _shares(tables.usable(route))
            self.by_route.append(shares)
        self.endpoints = dict.fromkeys(endpoint for shares in self.by_route for endpoint in shares)


def _shares(weights: dict[str, float]) -> dict[str, float]:
    total = sum(weights.values())
    if not (total > 0 and math.isfinite(total)):
        return {}
    return {endpoint: weight / total for endpoint, weight in weights.items()}


@dataclass(frozen=True, slots=True)
class Candidate:
    """An update that is to be judged.

    Attributes:
        proxy: the proxy that it is for.
        tables: what the proxy would hold.
        version: the version of the update.
        cost_entries: the cost in the channel, in entries.
        is_queued: whether its entries are counted as waiting already.
    """

    proxy: ProxyKey
    tables: ProxyTables
    version: UpdateVersion
    cost_entries: int = 0
    is_queued: bool = False

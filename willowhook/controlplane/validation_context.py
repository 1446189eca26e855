"""The state that update validation needs: endpoints, proxies, and the effect of each message.

`ValidationContext` keeps the state that validation uses up to date and converts messages to candidates.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import inf

from ..decisions.runtime import AdmissionLimit
from ..decisions.settings import DeploymentSettings, Route
from ..registry.endpoint import DiscoveredEndpoint
from ..ticks import TICKS_PER_SECOND
from ..validation.model import (
    Candidate,
    EndpointMode,
    ProxyTables,
    RouteConstraints,
    UpdateVersion,
    ValidatedEndpoint,
    ValidationSettings,
)
from ..validation.validator import Validator
from ..validation.verdict import Verdict
from ..validation.world import World
from .proxy_resources import ProxyResources
from .proxy_state import UNVERSIONED, ProxyView, UpdateMessage, VersionedTable

MAX_LEARNT_CAPACITY = 2.5  # times the mean; bounds an endpoint's budget if the estimate is wrong
MIN_RATE_CHANGE = 0.2  # of the previous rate; smaller changes are ignored, as each moves a proxy's class
MIN_RATE_PER_SECOND = 0.5  # changes of lower rates are compared with this rate
MAX_CACHED_TABLES = 500


def validation_settings(
    settings: DeploymentSettings,
    slow_start_budget_fraction: float,
    max_share_factor: float,
    capacity_per_second: Mapping[str, float],
) -> ValidationSettings:
    """Returns the settings of validation.

    Args:
        settings: the settings of the deployment.
        slow_start_budget_fraction: the fraction of an endpoint's slow-start budget that tables may use.
        max_share_factor: how many times its even share of all requests an endpoint may get.
        capacity_per_second: the request rate that an endpoint can serve, by endpoint class, if configured.
    """
    rules = settings.rules
    channel = settings.channel
    return ValidationSettings(
        routes=tuple(_route_constraints(route) for route in settings.routes),
        drain_grace_ticks=rules.drain_grace_ticks,
        slow_start_ticks=rules.slow_start_ticks,
        slow_start_fraction=rules.slow_start_fraction,
        recovery_overload_factor=rules.recovery_overload_factor,
        entries_per_tick=channel.entries_per_second / TICKS_PER_SECOND,
        queue_limit_entries=channel.queue_limit_entries,
        message_cap=channel.message_cap,
        message_cap_window_ticks=channel.message_cap_window_ticks,
        proxy_count=settings.fleet.proxy_count,
        slow_start_budget_fraction=slow_start_budget_fraction,
        max_share_factor=max_share_factor,
        capacity_per_second=capacity_per_second,
    )


def _route_constraints(route: Route) -> RouteConstraints:
    return RouteConstraints(
        route.name,
        route.semantics,
        route.same_zone_only,
        route.allowed_zones,
        route.allowed_classes,
    )


class ValidationContext:
    """Keeps the validator's world up to date, and validates messages."""

    def __init__(self, settings: DeploymentSettings, validation: ValidationSettings, shadow: bool) -> None:
        """`shadow`: whether updates that fail validation pass nevertheless, marked as such."""
        self._settings = settings
        self.world = World(validation)
        self.validator = Validator(self.world, shadow)
        self._default_limit = AdmissionLimit(settings.fleet.default_retries, inf)
        self._cached_tables: dict[object, ProxyTables] = {}  # by content
        self._initial: dict[int, ProxyResources] = {}
        self._rates_per_second: dict[int, list[float]] = {}  # by proxy: by route index
        # by proxy: the numbers and effects of its unacknowledged messages
        self._unacknowledged: dict[int, list[tuple[int, ProxyTables]]] = {}
        self.counts: dict[str, int] = {}  # verdicts, by kind

    # The state that validation uses.

    def update_endpoints(
        self, now: int, discovered: list[DiscoveredEndpoint], started_at: Callable[[DiscoveredEndpoint], int]
    ) -> None:
        """Handles the complete endpoint list; `started_at` returns the tick of an endpoint's start."""
        self.world.endpoints.update_list(
            now, [self._endpoint(now, endpoint, started_at(endpoint)) for endpoint in discovered]
        )

    def _endpoint(self, now: int, discovered: DiscoveredEndpoint, started_at: int) -> ValidatedEndpoint:
        capacity = 1.0
        if self._settings.lists_capacity:
            capacity = discovered.weight
        elif discovered.id in self.world.endpoints.by_name:
            capacity = self.world.endpoints.by_name[discovered.id].capacity
        mode = EndpointMode.DRAINING if discovered.draining else EndpointMode.IN_SERVICE
        return ValidatedEndpoint(
            discovered.id, mode, now, started_at, capacity, discovered.endpoint_class, discovered.zone
        )

    def update_capacities(self, capacities: Mapping[str, float]) -> None:
        """Sets the capacities that the decisions learnt, if the endpoint list states none."""
        if not self._settings.lists_capacity:
            min_capacity = 1 / MAX_LEARNT_CAPACITY
            bounded = {
                name: min(max(capacity, min_capacity), MAX_LEARNT_CAPACITY)
                for name, capacity in capacities.items()
            }
            self.world.endpoints.update_capacities(bounded)

    def add_proxy(self, proxy: int, zone: str, rate_per_second: float, initial: ProxyResources) -> None:
        """Registers a proxy that has joined with these resources."""
        routes = self._settings.routes
        rates = [rate_per_second / len(routes)] * len(routes)
        self._initial[proxy] = initial
        self._unacknowledged[proxy] = []
        self._rates_per_second[proxy] = rates
        weights = tuple(initial.weights(route.name) for route in routes)
        retries = (self._default_limit.retries,) * len(routes)
        limits = (self._default_limit.limit,) * len(routes)
        self.world.add_proxy(
            proxy, zone, tuple(rates), ProxyTables(weights, initial.excluded(), retries, limits)
        )

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy that has left."""
        self.world.remove_proxy(proxy)
        self._initial.pop(proxy, None)
        self._rates_per_second.pop(proxy, None)
        self._unacknowledged.pop(proxy, None)

    def update_rate(self, proxy: int, route: int, rate_per_second: float) -> None:
        """Sets the rate of a route's requests at a proxy, if the change is large enough."""
        rates = self._rates_per_second.get(proxy)
        if rates is None:
            return
        if abs(rate_per_second - rates[route]) > MIN_RATE_CHANGE * max(rates[route], MIN_RATE_PER_SECOND):
            rates[route] = rate_per_second
            self.world.update_rates(proxy, tuple(rates))

    def record_acknowledged(self, proxy: int, number: int) -> None:
        """Records that a proxy has applied all messages up to this number."""
        unacknowledged = self._unacknowledged.get(proxy, [])
        applied = [tables for sent, tables in unacknowledged if sent <= number]
        if applied:
            self._unacknowledged[proxy] = [(sent, tables) for sent, tables in unacknowledged if sent > number]
            self.world.record_applied(proxy, applied[-1])

    def record_sent(self, now: int, message: UpdateMessage, version: UpdateVersion) -> None:
        """Records that a message was sent: its proxy may hold its effect from now on."""
        if message.proxy in self._unacknowledged:
            tables = self.effect_of(message.proxy, message.view)
            self.world.record_sent(now, message.proxy, tables, version)
            self._unacknowledged[message.proxy].append((message.number, tables))

    # Messages.

    def effect_of(self, proxy: int, view: ProxyView) -> ProxyTables:
        """Returns the tables that a view results in; cached for all proxies with the same view."""
        key = self._content_key(view)
        if key is None:
            return self._make_tables(proxy, view, None)
        tables = self._cached_tables.get(key)
        if tables is None:
            tables = self._make_tables(proxy, view, key)
            if len(self._cached_tables) > MAX_CACHED_TABLES:
                self._cached_tables.clear()
            self._cached_tables[key] = tables
        return tables

    def _content_key(self, view: ProxyView) -> tuple[int, ...] | None:
        """Returns a key of a view's effect; None if the effect depends on the proxy's initial resources."""
        route_count = len(self._settings.routes)
        versions = [view.bound[route].version for route in range(route_count) if route in view.bound]
        if len(versions) < route_count or UNVERSIONED in versions:
            return None
        return (*versions, view.exclusions_version)

    def _make_tables(self, proxy: int, view: ProxyView, key: object) -> ProxyTables:
        initial = self._initial.get(proxy)
        weights: list[Mapping[str, float]] = []
        limits: list[AdmissionLimit] = []
        for index, route in enumerate(self._settings.routes):
            table = view.bound.get(index)
            if table is None:
                weights.append(initial.weights(route.name) if initial is not None else {})
                limits.append(self._default_limit)
            else:
                weights.append(table.weights)
                limits.append(table.limits.get(index, self._default_limit))
        return ProxyTables(
            tuple(weights),
            frozenset(view.excluded),
            tuple(limit.retries for limit in limits),
            tuple(limit.limit for limit in limits),
            key,
        )

    def judge(
        self, now: int, message: UpdateMessage, version: UpdateVersion, waiting_entries: int
    ) -> Verdict:
        """Validates a message that has left the channel, in which `waiting_entries` still wait."""
        verdict = self.preview(now, message, version, waiting_entries)
        self.counts[verdict.outcome.value] = self.counts.get(verdict.outcome.value, 0) + 1
        return verdict

    def preview(
        self, now: int, message: UpdateMessage, version: UpdateVersion, waiting_entries: int
    ) -> Verdict:
        """Validates a message without counting the verdict."""
        self.world.update_queue(now, waiting_entries)
        tables = self.effect_of(message.proxy, message.view)
        candidate = Candidate(message.proxy, tables, version, message.cost_entries, True)
        return self.validator.validate(now, candidate)

    @staticmethod
    def first_step(view: ProxyView, verdict: Verdict) -> ProxyView:
        """Returns a view with the tables of the first step of a split."""
        first_step_tables: dict[int, VersionedTable] = {}
        bound: dict[int, VersionedTable] = {}
        for route, table in view.bound.items():
            if table.number not in first_step_tables:
                first_step_tables[table.number] = _first_step_table(table, route, verdict)
            bound[route] = first_step_tables[table.number]
        return ProxyView(bound, view.excluded, view.is_sent_away)


def _first_step_table(table: VersionedTable, route: int, verdict: Verdict) -> VersionedTable:
    weights = dict(table.weights)
    for step in verdict.steps[::2]:  # every other step is the first step of one endpoint in slow start
        for endpoint, weight in table.weights.items():
            weights[endpoint] = min(weights[endpoint], step.weights[route].get(endpoint, weight))
    first_step = VersionedTable(table.number, weights, table.limits)
    first_step.is_shared = True
    return first_step

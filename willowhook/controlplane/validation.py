"""What update validation has to know: endpoints, proxies, and the effect of each message.

`ValidationContext` keeps the validator's world up to date and turns messages into its candidates.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import inf
from typing import Any

from ..decisions.runtime import AdmissionLimit
from ..decisions.settings import DeploymentSettings
from ..guard.guard import Candidate, Guard
from ..guard.verdict import Verdict
from ..guard.world import DRAINING, OPEN, GuardTerms, HostFacts, RouteFacts, Tables, World
from ..roster.forms import Host
from ..ticks import TICKS_PER_SECOND
from .proxy_resources import ProxyResources
from .proxy_state import UNVERSIONED, ProxyView, TableState, UpdateMessage

MAX_LEARNT_CAPACITY = 2.5  # times the mean: a wrong estimate must not open an endpoint's budget wide
MIN_RATE_CHANGE = 0.2  # of the rate before; smaller ones are not followed, as each moves a proxy's class
MIN_RATE_PER_SECOND = 0.5  # below this, changes count as if the rate were this
MAX_CACHED_TABLES = 500


def guard_terms(
    settings: DeploymentSettings,
    cold_budget_fraction: float,
    max_share_factor: float,
    capacity_per_second: Mapping[str, float],
) -> GuardTerms:
    """Returns the terms of validation.

    Args:
        settings: of the deployment.
        cold_budget_fraction: of an endpoint's slow-start budget, what tables may use.
        max_share_factor: how many times its even share of all requests an endpoint may get.
        capacity_per_second: requests by endpoint class, where it is configured.
    """
    rules = settings.rules
    channel = settings.channel
    routes = tuple(
        RouteFacts(r.name, r.semantics.value, r.same_zone_only, r.allowed_zones, r.allowed_classes)
        for r in settings.routes
    )
    return GuardTerms(
        routes=routes,
        grace=rules.drain_grace_ticks,
        cold=rules.slow_start_ticks,
        start_capacity=rules.slow_start_fraction,
        fall_multiple=rules.recovery_overload_factor,
        lines_per_tick=channel.entries_per_second / TICKS_PER_SECOND,
        most_waiting=channel.queue_limit_entries,
        messages_most=channel.message_cap,
        messages_over=channel.message_cap_window_ticks,
        fleet=settings.fleet.proxy_count,
        cold_part=cold_budget_fraction,
        swing=max_share_factor,
        capacity=capacity_per_second,
    )


class ValidationContext:
    """Keeps the validator's world, and asks the validator about messages."""

    def __init__(self, settings: DeploymentSettings, terms: GuardTerms, shadow: bool) -> None:
        """`shadow`: whether updates that fail pass all the same, marked as such."""
        self._settings = settings
        self.world = World(terms)
        self.guard = Guard(self.world, shadow)
        self._default_limit = AdmissionLimit(settings.fleet.default_retries, inf)
        self._cached_tables: dict[object, Tables] = {}  # by content
        self._initial: dict[int, ProxyResources] = {}
        self._rates_per_second: dict[int, list[float]] = {}  # by proxy: by route index
        self._unacknowledged: dict[int, list[tuple[int, Tables]]] = {}  # by proxy: message number and effect
        self.counts: dict[str, int] = {}  # verdicts, by kind

    # The world.

    def update_endpoints(self, now: int, hosts: list[Host], started_at: Callable[[Host], int]) -> None:
        """Takes the complete endpoint list; `started_at` gives the tick of an endpoint's start."""
        self.world.list_hosts(now, [self._endpoint(now, host, started_at(host)) for host in hosts])

    def _endpoint(self, now: int, host: Host, started_at: int) -> HostFacts:
        size = 1.0
        if self._settings.lists_capacity:
            size = host.size
        elif host.id in self.world.hosts:
            size = self.world.hosts[host.id].size
        mode = DRAINING if host.draining else OPEN
        return HostFacts(host.id, mode, now, started_at, size, host.kind, host.zone)

    def update_capacities(self, capacities: Mapping[str, float]) -> None:
        """Takes the capacities that the decisions learnt, where the endpoint list tells none."""
        if not self._settings.lists_capacity:
            least, most = 1 / MAX_LEARNT_CAPACITY, MAX_LEARNT_CAPACITY
            self.world.sized({name: min(max(size, least), most) for name, size in capacities.items()})

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
        self.world.join(proxy, zone, tuple(rates), Tables(weights, initial.excluded(), retries, limits))

    def remove_proxy(self, proxy: int) -> None:
        """Forgets a proxy that has left."""
        self.world.leave(proxy)
        self._initial.pop(proxy, None)
        self._rates_per_second.pop(proxy, None)
        self._unacknowledged.pop(proxy, None)

    def update_rate(self, proxy: int, route: int, rate_per_second: float) -> None:
        """Takes the rate of a route's requests at a proxy, if it has changed enough."""
        rates = self._rates_per_second.get(proxy)
        if rates is None:
            return
        if abs(rate_per_second - rates[route]) > MIN_RATE_CHANGE * max(rates[route], MIN_RATE_PER_SECOND):
            rates[route] = rate_per_second
            self.world.rate(proxy, tuple(rates))

    def record_acknowledged(self, proxy: int, number: int) -> None:
        """Notes that a proxy has applied all messages up to this number."""
        waiting = self._unacknowledged.get(proxy, [])
        applied = [tables for sent, tables in waiting if sent <= number]
        if applied:
            self._unacknowledged[proxy] = [(sent, tables) for sent, tables in waiting if sent > number]
            self.world.answered(proxy, applied[-1])

    def record_sent(self, now: int, message: UpdateMessage, version: tuple[int, int, int]) -> None:
        """Notes that a message is on its way: its proxy may hold its effect from now on."""
        if message.proxy in self._unacknowledged:
            tables = self.effect_of(message.proxy, message.view)
            self.world.sent(now, message.proxy, tables, version)
            self._unacknowledged[message.proxy].append((message.number, tables))

    # Messages.

    def effect_of(self, proxy: int, view: ProxyView) -> Tables:
        """Returns what a view makes its proxy hold; worked out once for all proxies with the same view."""
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
        """The same for the same effect; None if it depends on what the proxy joined with."""
        count = len(self._settings.routes)
        versions = [view.bound[route].version for route in range(count) if route in view.bound]
        if len(versions) < count or UNVERSIONED in versions:
            return None
        return (*versions, view.exclusions_version)

    def _make_tables(self, proxy: int, view: ProxyView, key: object) -> Tables:
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
        return Tables(
            tuple(weights),
            frozenset(view.excluded),
            tuple(limit.retries for limit in limits),
            tuple(limit.limit for limit in limits),
            key,
        )

    def judge(
        self, now: int, message: UpdateMessage, version: tuple[int, int, int], waiting_entries: int
    ) -> Verdict:
        """Judges a message that has left the channel, in which `waiting_entries` still wait."""
        self.world.queue(now, waiting_entries)
        tables = self.effect_of(message.proxy, message.view)
        candidate = Candidate(message.proxy, tables, version, message.cost_entries, True)
        verdict = self.guard.judge(now, candidate)
        self.counts[verdict.what] = self.counts.get(verdict.what, 0) + 1
        return verdict

    @staticmethod
    def first_step(view: ProxyView, verdict: Verdict) -> ProxyView:
        """Returns a view with the tables of the first step of a split."""
        cut_tables: dict[int, TableState] = {}
        bound: dict[int, TableState] = {}
        for route, table in view.bound.items():
            if table.number not in cut_tables:
                cut_tables[table.number] = _cut_table(table, route, verdict)
            bound[route] = cut_tables[table.number]
        return ProxyView(bound, view.excluded, view.is_sent_away)


def _cut_table(table: TableState, route: int, verdict: Verdict) -> TableState:
    weights = dict(table.weights)
    for step in verdict.steps[::2]:  # each endpoint in slow start has a first step of its own
        for endpoint, weight in table.weights.items():
            weights[endpoint] = min(weights[endpoint], step.lines[route].get(endpoint, weight))
    cut = TableState(table.number, weights, table.limits)
    cut.is_shared = True
    return cut


def records_of(verdict: Verdict) -> dict[str, Any]:
    """Returns a verdict as the fields of its record."""
    data = verdict.data()
    data["steps"] = [{"at": step["at"], "why": step["why"]} for step in data["steps"]]
    return data

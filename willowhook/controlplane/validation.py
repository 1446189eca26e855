"""The guard at the only way out: what the director knows becomes the guard's world, and messages its
candidates.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ..decisions.settings import DeploymentSettings
from ..guard.guard import Candidate, Guard
from ..guard.verdict import HELD, PASSED, SPLIT, Verdict
from ..guard.world import DRAINING, OPEN, GuardTerms, HostFacts, RouteFacts, Tables, World
from ..roster.forms import Host
from .proxy_resources import ProxyResources
from .proxy_state import ProxyView, TableState, UpdateMessage

SECOND = 10_000
WORTH = 2.5  # of a host beside the mean, at the most, where it is learnt


def guard_terms(
    settings: DeploymentSettings, part: float, swing: float, capacity: Mapping[str, float]
) -> GuardTerms:
    rules, channel = settings.rules, settings.channel
    routes = tuple(
        RouteFacts(r.name, r.semantics.value, r.same_zone_only, r.allowed_zones, r.allowed_classes)
        for r in settings.routes
    )
    return GuardTerms(
        routes, rules.drain_grace_ticks, rules.slow_start_ticks, rules.slow_start_fraction,
        rules.recovery_overload_factor, channel.entries_per_second / SECOND, channel.queue_limit_entries,
        channel.message_cap, channel.message_cap_window_ticks, settings.fleet.proxy_count, part, swing,
        capacity,
    )  # fmt: skip


class ValidationContext:
    def __init__(self, settings: DeploymentSettings, terms: GuardTerms, shadow: bool) -> None:
        self._settings = settings
        self.world = World(terms)
        self.guard = Guard(self.world, shadow)
        self._count = len(settings.routes)
        self._made: dict[object, Tables] = {}  # by content
        self._held: dict[int, ProxyResources] = {}
        self._rates: dict[int, list[float]] = {}
        self._sent: dict[int, list[tuple[int, Tables]]] = {}  # by proxy: messages that were not answered yet
        self.counts: dict[str, int] = {}

    def update_endpoints(self, now: int, hosts: list[Host], start_of: Callable[[Host], int]) -> None:
        weights = self._settings.lists_capacity
        known = self.world.hosts
        self.world.list_hosts(now, [
            HostFacts(host.id, DRAINING if host.draining else OPEN, now, start_of(host),
                      host.size if weights else known[host.id].size if host.id in known else 1.0, host.kind,
                      host.zone)
            for host in hosts
        ])  # fmt: skip

    def update_capacities(self, sizes: Mapping[str, float]) -> None:
        """Worth by what answers told, within a bound each way: a wrong one must not open a budget wide."""
        if not self._settings.lists_capacity:
            self.world.sized({name: min(max(size, 1 / WORTH), WORTH) for name, size in sizes.items()})

    def add_proxy(self, proxy: int, zone: str, rate: float, held: ProxyResources) -> None:
        self._held[proxy], self._sent[proxy] = held, []
        rates = [rate / len(self._settings.routes)] * len(self._settings.routes)
        self._rates[proxy] = rates
        lines = tuple(held.weights(route.name) for route in self._settings.routes)
        usual = (self._settings.fleet.default_retries,) * len(lines)
        tables = Tables(lines, held.out(), usual, (float("inf"),) * len(lines))
        self.world.join(proxy, zone, tuple(rates), tables)

    def remove_proxy(self, proxy: int) -> None:
        self.world.leave(proxy)
        for book in (self._held, self._rates, self._sent):
            book.pop(proxy, None)

    def update_rate(self, proxy: int, route: int, rate: float) -> None:
        rates = self._rates.get(proxy)
        # small changes are not followed: a class is left and entered for each
        if rates is not None and abs(rate - rates[route]) > 0.2 * max(rates[route], 0.5):
            rates[route] = rate
            self.world.rate(proxy, tuple(rates))

    def record_acknowledged(self, proxy: int, number: int) -> None:
        sent = self._sent.get(proxy, [])
        done = [tables for at, tables in sent if at <= number]
        if done:
            self._sent[proxy] = [row for row in sent if row[0] > number]
            self.world.answered(proxy, done[-1])

    def record_sent(self, now: int, message: UpdateMessage, version: tuple[int, int, int]) -> None:
        if message.proxy in self._sent:
            tables = self.tables(message.proxy, message.view)
            self.world.sent(now, message.proxy, tables, version)
            self._sent[message.proxy].append((message.number, tables))

    def tables(self, proxy: int, view: ProxyView) -> Tables:
        """What a message makes its proxy hold; worked out once for all proxies that are to hold the same."""
        serials = [state.serial for state in (view.bound.get(k) for k in range(self._count)) if state]
        key = (*serials, view.serial) if len(serials) == self._count and all(serials) else None
        made = self._made.get(key) if key is not None else None
        if made is None:
            made = self._work_out(proxy, view, key)
            if key is not None:
                if len(self._made) > 500:
                    self._made.clear()
                self._made[key] = made
        return made

    def _work_out(self, proxy: int, view: ProxyView, key: object) -> Tables:
        held = self._held.get(proxy)
        lines: list[Mapping[str, float]] = []
        tries, levels = [], []
        for k, route in enumerate(self._settings.routes):
            state = view.bound.get(k)
            if state is None:
                lines.append(held.weights(route.name) if held else {})
                tries.append(self._settings.fleet.default_retries)
                levels.append(float("inf"))
                continue
            order = state.levels.get(
                k, view.levels.get(k, (self._settings.fleet.default_retries, float("inf")))
            )
            lines.append(state.lines)
            tries.append(order[0])
            levels.append(order[1])
        return Tables(tuple(lines), frozenset(view.excluded), tuple(tries), tuple(levels), key)

    def judge(
        self, now: int, message: UpdateMessage, version: tuple[int, int, int], waiting: int
    ) -> tuple[Verdict, Tables]:
        """`waiting`: lines in the channel, with this message's own if it has not left."""
        self.world.queue(now, waiting)
        tables = self.tables(message.proxy, message.view)
        verdict = self.guard.judge(now, Candidate(message.proxy, tables, version, message.lines, True))
        self.counts[verdict.what] = self.counts.get(verdict.what, 0) + 1
        return verdict, tables

    @staticmethod
    def first_step(message: UpdateMessage, verdict: Verdict) -> UpdateMessage:
        """The message with the tables of a split's first step."""
        view = message.view
        made: dict[int, TableState] = {}
        bound = {}
        for k, state in view.bound.items():
            cut = made.get(state.number)
            if cut is None:
                lines = dict(state.lines)
                for step in verdict.steps[::2]:  # each cold host's own first step
                    for name, weight in state.lines.items():
                        lines[name] = min(lines[name], step.lines[k].get(name, weight))
                cut = made[state.number] = TableState(state.number, lines, state.levels)
                cut.shared = True
            bound[k] = cut
        small = ProxyView(bound, view.excluded, view.levels, view.is_sent_away, 0)
        return UpdateMessage(
            message.number, message.mark, message.proxy, message.lines, message.ordered, small
        )


def records_of(verdict: Verdict) -> dict[str, Any]:
    """A verdict for the director's record."""
    data = verdict.data()
    data["steps"] = [{"at": step["at"], "why": step["why"]} for step in data["steps"]]
    return data


__all__ = ["HELD", "PASSED", "SPLIT", "ValidationContext", "guard_terms", "records_of"]

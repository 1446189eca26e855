"""A world and candidates from JSON, for use in a pipeline: the same code path as in service."""

from __future__ import annotations

import math
from typing import Literal, TypeVar

import msgspec

from ..ticks import TICKS_PER_SECOND, ticks_from_seconds
from .guard import Candidate, Guard
from .verdict import Verdict
from .world import GuardTerms, HostFacts, RouteFacts, Tables, World

SEMANTICS = {"repeatable": "idempotent", "keyed": "deduplicated", "mutating": "at_most_once"}
T = TypeVar("T")


class OfflineError(Exception):
    """What is wrong with a file, and where."""


class Part(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A part of a file."""


class StateTerms(Part, kw_only=True):
    drain_grace_s: float
    cold_s: float
    start_capacity: float
    fall_multiple: float
    lines_per_s: float
    most_waiting_lines: float
    fleet: int
    messages_most: int = 0
    messages_over_s: float = 10.0
    cold_part: float = 0.8
    swing: float = 6.0
    capacity_calls_per_s: dict[str, float] = {}


class StateRoute(Part, kw_only=True):
    name: str
    semantics: Literal["repeatable", "keyed", "mutating"]
    own_zone: bool = False
    zones: list[str] = []
    kinds: list[str] = []


class StateHost(Part, kw_only=True):
    name: str
    mode: Literal["open", "draining", "gone"] = "open"
    told_s_ago: float = 1e6
    started_s_ago: float = 1e9
    size: float = 1.0
    kind: str = ""
    zone: str = ""
    address: bool = True


class StateProxy(Part, kw_only=True):
    name: str
    zone: str = ""
    calls_per_s: dict[str, float] = {}
    lines: dict[str, dict[str, float]] = {}  # by route
    withdrawn: list[str] = []
    in_flight: list[dict[str, dict[str, float]]] = []
    version: str = "0.0.0"


class State(Part, kw_only=True):
    now_s: float
    terms: StateTerms
    routes: list[StateRoute]
    hosts: list[StateHost]
    proxies: list[StateProxy]
    waiting_lines: float = 0.0


class OfflineCandidate(Part, kw_only=True):
    proxy: str
    lines: dict[str, dict[str, float]]
    withdrawn: list[str] = []
    tries: dict[str, int] = {}
    levels: dict[str, float] = {}
    version: str = ""
    cost_lines: int = 0


def read(data: bytes, kind: type[T]) -> T:
    try:
        made: T = msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as fault:
        raise OfflineError(str(fault)) from fault
    return made


def _version(text: str) -> tuple[int, int, int]:
    parts = text.split(".")
    if len(parts) != 3 or not all(part.isdigit() for part in parts):
        raise OfflineError(f"version {text!r} is no TERM.EPOCH.NUMBER")
    return int(parts[0]), int(parts[1]), int(parts[2])


def build(state: State) -> World:
    """Raises OfflineError where names do not fit together."""
    t, now = state.terms, ticks_from_seconds(state.now_s)
    routes = tuple(
        RouteFacts(row.name, SEMANTICS[row.semantics], row.own_zone, tuple(row.zones), tuple(row.kinds))
        for row in state.routes
    )
    world = World(
        GuardTerms(
            routes,
            ticks_from_seconds(t.drain_grace_s),
            ticks_from_seconds(t.cold_s),
            t.start_capacity,
            t.fall_multiple,
            t.lines_per_s / TICKS_PER_SECOND,
            t.most_waiting_lines,
            t.messages_most,
            ticks_from_seconds(t.messages_over_s),
            t.fleet,
            t.cold_part,
            t.swing,
            t.capacity_calls_per_s,
        )
    )
    for row in state.hosts:
        started = now - ticks_from_seconds(row.started_s_ago) if row.started_s_ago < t.cold_s else 0
        facts = HostFacts(row.name, row.mode, 0, started, row.size, row.kind, row.zone, row.address)
        facts.since = now - ticks_from_seconds(row.told_s_ago)
        world.hosts[row.name] = facts
    world.look_again()
    names = [row.name for row in routes]
    for proxy in state.proxies:
        unknown = [name for name in (*proxy.lines, *proxy.calls_per_s) if name not in names]
        if unknown:
            raise OfflineError(f"proxy {proxy.name}: no route {unknown[0]!r}")
        rates = tuple(proxy.calls_per_s.get(name, 0.0) for name in names)
        world.join(proxy.name, proxy.zone, rates, _tables(names, proxy.lines, proxy.withdrawn))
        for k, lines in enumerate(proxy.in_flight):
            world.sent(now, proxy.name, _tables(names, lines, proxy.withdrawn), (0, 0, k))
        world.proxies[proxy.name].newest = _version(proxy.version)
    world.queue(now, state.waiting_lines)
    return world


def _tables(
    names: list[str], lines: dict[str, dict[str, float]], out: list[str], tries: dict[str, int] | None = None,
    levels: dict[str, float] | None = None,
) -> Tables:  # fmt: skip
    return Tables(
        tuple(lines.get(name, {}) for name in names), frozenset(out),
        tuple((tries or {}).get(name, 1) for name in names),
        tuple((levels or {}).get(name, math.inf) for name in names),
    )  # fmt: skip


def check(candidates: bytes, state: bytes) -> list[tuple[str, Verdict]]:
    """Each candidate in turn; one that passes is taken as sent before the next is judged."""
    made = read(state, State)
    world = build(made)
    guard, now = Guard(world), ticks_from_seconds(made.now_s)
    names = [row.name for row in made.routes]
    found = []
    for at, row in enumerate(read(candidates, list[OfflineCandidate])):
        unknown = [name for name in (*row.lines, *row.tries, *row.levels) if name not in names]
        if unknown:
            raise OfflineError(f"[{at}]: no route {unknown[0]!r}")
        facts = world.proxies.get(row.proxy)
        newest = facts.newest if facts is not None else (0, 0, 0)
        version = _version(row.version) if row.version else (newest[0], newest[1], newest[2] + 1)
        tables = _tables(names, row.lines, row.withdrawn, row.tries, row.levels)
        verdict = guard.judge(now, Candidate(row.proxy, tables, version, row.cost_lines))
        if verdict.good and facts is not None:
            world.sent(now, row.proxy, tables, version)
            world.queue(now, world.waiting_now(now) + row.cost_lines)
        found.append((row.proxy, verdict))
    return found

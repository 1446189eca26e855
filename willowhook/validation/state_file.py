"""Validation on files, for use in a pipeline: the same checks as in service.

A state file describes the world, a candidates file the updates. Their keys are fixed, and known here only.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Literal, TypeVar

import msgspec

from ..decisions.settings import RequestSemantics
from ..errors import WillowhookError
from ..ticks import TICKS_PER_SECOND, ticks_from_seconds
from .model import (
    Candidate,
    EndpointMode,
    ProxyTables,
    RouteConstraints,
    UpdateVersion,
    ValidatedEndpoint,
    ValidationSettings,
)
from .validator import Validator
from .verdict import Verdict
from .world import NO_VERSION, World

SEMANTICS = {
    "repeatable": RequestSemantics.IDEMPOTENT,
    "keyed": RequestSemantics.DEDUPLICATED,
    "mutating": RequestSemantics.AT_MOST_ONCE,
}
DEFAULT_RETRIES = 1

T = TypeVar("T")


class StateFileError(WillowhookError):
    """A file does not have the form that it should, or its names do not fit together."""


class Part(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A part of a file. Unknown keys are errors."""


class StateTerms(Part, kw_only=True):
    """Settings, in seconds and lines."""

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
    """A route, its semantics in the words of the configuration."""

    name: str
    semantics: Literal["repeatable", "keyed", "mutating"]
    own_zone: bool = False
    zones: list[str] = []
    kinds: list[str] = []


class StateHost(Part, kw_only=True):
    """An endpoint; times are ages."""

    name: str
    mode: Literal["open", "draining", "gone"] = "open"
    told_s_ago: float = 1e6
    started_s_ago: float = 1e9
    size: float = 1.0
    kind: str = ""
    zone: str = ""
    address: bool = True


class StateProxy(Part, kw_only=True):
    """A proxy with what it holds, and what is on its way to it."""

    name: str
    zone: str = ""
    calls_per_s: dict[str, float] = {}
    lines: dict[str, dict[str, float]] = {}  # by route
    withdrawn: list[str] = []
    in_flight: list[dict[str, dict[str, float]]] = []
    version: str = "0.0.0"


class State(Part, kw_only=True):
    """A state file."""

    now_s: float
    terms: StateTerms
    routes: list[StateRoute]
    hosts: list[StateHost]
    proxies: list[StateProxy]
    waiting_lines: float = 0.0


class StateCandidate(Part, kw_only=True):
    """An update that is to be judged."""

    proxy: str
    lines: dict[str, dict[str, float]]
    withdrawn: list[str] = []
    tries: dict[str, int] = {}
    levels: dict[str, float] = {}
    version: str = ""
    cost_lines: int = 0


def decode_file(data: bytes, kind: type[T]) -> T:
    """Reads a file of this form. Raises StateFileError."""
    try:
        made: T = msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise StateFileError(str(error)) from error
    return made


def validate_candidates(candidates: bytes, state: bytes) -> list[tuple[str, Verdict]]:
    """Judges each candidate in turn; one that passes is taken as sent before the next is judged.

    Args:
        candidates: a file with a list of `StateCandidate`.
        state: a file with a `State`.

    Returns:
        The proxy and the verdict of each.

    Raises:
        StateFileError: a file is malformed, or names do not fit together.
    """
    made = decode_file(state, State)
    world = build_world(made)
    validator = Validator(world)
    now = ticks_from_seconds(made.now_s)
    names = [row.name for row in made.routes]
    verdicts = []
    for index, row in enumerate(decode_file(candidates, list[StateCandidate])):
        _check_names(names, (*row.lines, *row.tries, *row.levels), f"[{index}]")
        proxy = world.proxies.get(row.proxy)
        version = _candidate_version(row, proxy.newest if proxy is not None else NO_VERSION)
        tables = _tables(names, row.lines, row.withdrawn, row.tries, row.levels)
        verdict = validator.validate(now, Candidate(row.proxy, tables, version, row.cost_lines))
        if verdict.has_passed and proxy is not None:
            world.record_sent(now, row.proxy, tables, version)
            world.update_queue(now, world.waiting_entries(now) + row.cost_lines)
        verdicts.append((row.proxy, verdict))
    return verdicts


def build_world(state: State) -> World:
    """Builds the world that a state file describes. Raises StateFileError where names do not fit together."""
    now = ticks_from_seconds(state.now_s)
    world = World(_settings(state))
    for row in state.hosts:
        world.endpoints.by_name[row.name] = _endpoint(row, now, state.terms.cold_s)
    world.endpoints.refresh()
    for proxy in state.proxies:
        _add_proxy(world, now, proxy)
    world.update_queue(now, state.waiting_lines)
    return world


def _settings(state: State) -> ValidationSettings:
    terms = state.terms
    return ValidationSettings(
        routes=tuple(_route(row) for row in state.routes),
        drain_grace_ticks=ticks_from_seconds(terms.drain_grace_s),
        slow_start_ticks=ticks_from_seconds(terms.cold_s),
        slow_start_fraction=terms.start_capacity,
        recovery_overload_factor=terms.fall_multiple,
        entries_per_tick=terms.lines_per_s / TICKS_PER_SECOND,
        queue_limit_entries=terms.most_waiting_lines,
        message_cap=terms.messages_most,
        message_cap_window_ticks=ticks_from_seconds(terms.messages_over_s),
        proxy_count=terms.fleet,
        slow_start_budget_fraction=terms.cold_part,
        max_share_factor=terms.swing,
        capacity_per_second=terms.capacity_calls_per_s,
    )


def _route(row: StateRoute) -> RouteConstraints:
    return RouteConstraints(
        row.name, SEMANTICS[row.semantics], row.own_zone, tuple(row.zones), tuple(row.kinds)
    )


def _endpoint(row: StateHost, now: int, slow_start_s: float) -> ValidatedEndpoint:
    is_young = row.started_s_ago < slow_start_s
    return ValidatedEndpoint(
        name=row.name,
        mode=EndpointMode(row.mode),
        since=now - ticks_from_seconds(row.told_s_ago),
        started_at=now - ticks_from_seconds(row.started_s_ago) if is_young else 0,
        capacity=row.size,
        endpoint_class=row.kind,
        zone=row.zone,
        has_address=row.address,
    )


def _add_proxy(world: World, now: int, proxy: StateProxy) -> None:
    names = [route.name for route in world.settings.routes]
    _check_names(names, (*proxy.lines, *proxy.calls_per_s), f"proxy {proxy.name}")
    rates = tuple(proxy.calls_per_s.get(name, 0.0) for name in names)
    world.add_proxy(proxy.name, proxy.zone, rates, _tables(names, proxy.lines, proxy.withdrawn))
    for index, lines in enumerate(proxy.in_flight):
        tables = _tables(names, lines, proxy.withdrawn)
        world.record_sent(now, proxy.name, tables, UpdateVersion(0, 0, index))
    world.proxies[proxy.name].newest = _read_version(proxy.version)


def _check_names(known: list[str], names: Iterable[str], place: str) -> None:
    unknown = [name for name in names if name not in known]
    if unknown:
        raise StateFileError(f"{place}: no route {unknown[0]!r}")


def _candidate_version(row: StateCandidate, newest: UpdateVersion) -> UpdateVersion:
    """The version that a candidate names; one above the newest if it names none."""
    if row.version:
        return _read_version(row.version)
    return newest._replace(number=newest.number + 1)


def _read_version(text: str) -> UpdateVersion:
    parts = text.split(".")
    if len(parts) != 3 or not all(part.isdigit() for part in parts):
        raise StateFileError(f"version {text!r} is no TERM.EPOCH.NUMBER")
    return UpdateVersion(*map(int, parts))


def _tables(
    routes: list[str],
    lines: Mapping[str, Mapping[str, float]],
    withdrawn: Iterable[str],
    tries: Mapping[str, int] | None = None,
    levels: Mapping[str, float] | None = None,
) -> ProxyTables:
    return ProxyTables(
        weights=tuple(lines.get(route, {}) for route in routes),
        excluded=frozenset(withdrawn),
        retries=tuple((tries or {}).get(route, DEFAULT_RETRIES) for route in routes),
        limits=tuple((levels or {}).get(route, math.inf) for route in routes),
    )

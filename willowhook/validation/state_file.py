"""Validation of files, for use in a pipeline, with the same checks as in the running service.

A state file describes the fleet, a candidates file the updates. Their keys are fixed, and only this module
uses them.
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
    """A file is malformed, or refers to an unknown route."""


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """An object in a file. Unknown keys are errors."""


class StateSettings(StrictStruct, kw_only=True):
    """Settings; times are in seconds, and lines are table entries.

    Attributes:
        drain_grace_s: the drain grace.
        cold_s: the duration of slow start.
        start_capacity: the fraction of its capacity that an endpoint has when it starts.
        fall_multiple: the overload factor of an endpoint in slow start.
        lines_per_s: the rate of the channel.
        most_waiting_lines: the queue limit.
        fleet: the number of proxies of all controllers.
        messages_most: the message cap; 0: no cap.
        messages_over_s: the window of the message cap.
        cold_part: the fraction of the load budget of an endpoint in slow start that tables may use.
        swing: the multiple of its even share of all requests that one endpoint may be given.
        capacity_calls_per_s: requests per second that an endpoint can serve, by class.
    """

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


class StateRoute(StrictStruct, kw_only=True):
    """A route.

    Attributes:
        name: the name of the route.
        semantics: whether a request may run more than once, as in the configuration.
        own_zone: whether only endpoints in the proxy's zone may serve it.
        zones: the zones of the endpoints that may serve it; empty: any.
        kinds: the classes of the endpoints that may serve it; empty: any.
    """

    name: str
    semantics: Literal["repeatable", "keyed", "mutating"]
    own_zone: bool = False
    zones: list[str] = []
    kinds: list[str] = []


class StateEndpoint(StrictStruct, kw_only=True):
    """An endpoint; times are ages in seconds.

    Attributes:
        name: the name of the endpoint.
        mode: whether it is in service (`open`), draining, or removed (`gone`).
        told_s_ago: how long it has been listed in this mode.
        started_s_ago: how long ago its process started.
        size: its capacity relative to the other endpoints.
        kind: its class.
        zone: its zone.
        address: whether its address is known.
    """

    name: str
    mode: Literal["open", "draining", "gone"] = "open"
    told_s_ago: float = 1e6
    started_s_ago: float = 1e9
    size: float = 1.0
    kind: str = ""
    zone: str = ""
    address: bool = True


class StateProxy(StrictStruct, kw_only=True):
    """A proxy with the tables that it holds, and those in flight to it.

    Attributes:
        name: the name of the proxy.
        zone: its zone.
        calls_per_s: its request rates, by route.
        lines: the weights of the endpoints, by route.
        withdrawn: the endpoints that are excluded.
        in_flight: the weights of the updates in flight, in the order they were sent.
        version: the version of the update last sent to it.
    """

    name: str
    zone: str = ""
    calls_per_s: dict[str, float] = {}
    lines: dict[str, dict[str, float]] = {}
    withdrawn: list[str] = []
    in_flight: list[dict[str, dict[str, float]]] = []
    version: str = "0.0.0"


class State(StrictStruct, kw_only=True):
    """The content of a state file.

    Attributes:
        now_s: the current time.
        terms: the settings.
        routes: the routes.
        hosts: the endpoints.
        proxies: the proxies of this controller.
        waiting_lines: the number of table entries that wait in the channel.
    """

    now_s: float
    terms: StateSettings
    routes: list[StateRoute]
    hosts: list[StateEndpoint]
    proxies: list[StateProxy]
    waiting_lines: float = 0.0


class StateCandidate(StrictStruct, kw_only=True):
    """An update to validate.

    Attributes:
        proxy: the name of the proxy that it is for.
        lines: the weights of the endpoints, by route.
        withdrawn: the endpoints that are excluded.
        tries: the retry modes, by route.
        levels: the admission limits, by route.
        version: the version of the update; empty: the one after the newest.
        cost_lines: the update cost, in table entries.
    """

    proxy: str
    lines: dict[str, dict[str, float]]
    withdrawn: list[str] = []
    tries: dict[str, int] = {}
    levels: dict[str, float] = {}
    version: str = ""
    cost_lines: int = 0


def decode_file(data: bytes, kind: type[T]) -> T:
    """Decodes a JSON file of this type. Raises StateFileError."""
    try:
        decoded: T = msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise StateFileError(str(error)) from error
    return decoded


def validate_candidates(candidates: bytes, state: bytes) -> list[tuple[str, Verdict]]:
    """Validates each candidate in turn; one that passes counts as sent when the next is validated.

    Args:
        candidates: the content of a file with a list of `StateCandidate`.
        state: the content of a file with a `State`.

    Returns:
        The proxy and the verdict of each candidate.

    Raises:
        StateFileError: a file is malformed, or refers to an unknown route.
    """
    decoded = decode_file(state, State)
    world = build_world(decoded)
    validator = Validator(world)
    now = ticks_from_seconds(decoded.now_s)
    routes = [route.name for route in decoded.routes]
    verdicts = []
    for index, candidate in enumerate(decode_file(candidates, list[StateCandidate])):
        _check_names(routes, (*candidate.lines, *candidate.tries, *candidate.levels), f"[{index}]")
        proxy = world.proxies.get(candidate.proxy)
        version = _candidate_version(candidate, proxy.newest if proxy is not None else NO_VERSION)
        tables = _tables(routes, candidate.lines, candidate.withdrawn, candidate.tries, candidate.levels)
        verdict = validator.validate(now, Candidate(candidate.proxy, tables, version, candidate.cost_lines))
        if verdict.has_passed and proxy is not None:
            world.record_sent(now, candidate.proxy, tables, version)
            world.update_queue(now, world.waiting_entries(now) + candidate.cost_lines)
        verdicts.append((candidate.proxy, verdict))
    return verdicts


def build_world(state: State) -> World:
    """Builds the state that a state file describes. Raises StateFileError where it names an unknown route."""
    now = ticks_from_seconds(state.now_s)
    world = World(_settings(state))
    for endpoint in state.hosts:
        world.endpoints.by_name[endpoint.name] = _endpoint(endpoint, now, state.terms.cold_s)
    world.endpoints.refresh()
    for proxy in state.proxies:
        _add_proxy(world, now, proxy)
    world.update_queue(now, state.waiting_lines)
    return world


def _settings(state: State) -> ValidationSettings:
    terms = state.terms
    return ValidationSettings(
        routes=tuple(_route(route) for route in state.routes),
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


def _route(route: StateRoute) -> RouteConstraints:
    return RouteConstraints(
        route.name, SEMANTICS[route.semantics], route.own_zone, tuple(route.zones), tuple(route.kinds)
    )


def _endpoint(endpoint: StateEndpoint, now: int, slow_start_s: float) -> ValidatedEndpoint:
    is_warming_up = endpoint.started_s_ago < slow_start_s
    return ValidatedEndpoint(
        name=endpoint.name,
        mode=EndpointMode(endpoint.mode),
        since=now - ticks_from_seconds(endpoint.told_s_ago),
        started_at=now - ticks_from_seconds(endpoint.started_s_ago) if is_warming_up else 0,
        capacity=endpoint.size,
        endpoint_class=endpoint.kind,
        zone=endpoint.zone,
        has_address=endpoint.address,
    )


def _add_proxy(world: World, now: int, proxy: StateProxy) -> None:
    names = [route.name for route in world.settings.routes]
    _check_names(names, (*proxy.lines, *proxy.calls_per_s), f"proxy {proxy.name}")
    rates = tuple(proxy.calls_per_s.get(name, 0.0) for name in names)
    world.add_proxy(proxy.name, proxy.zone, rates, _tables(names, proxy.lines, proxy.withdrawn))
    for index, weights in enumerate(proxy.in_flight):
        tables = _tables(names, weights, proxy.withdrawn)
        world.record_sent(now, proxy.name, tables, UpdateVersion(0, 0, index))
    world.proxies[proxy.name].newest = _read_version(proxy.version)


def _check_names(known: list[str], names: Iterable[str], place: str) -> None:
    unknown = [name for name in names if name not in known]
    if unknown:
        raise StateFileError(f"{place}: unknown route {unknown[0]!r}")


def _candidate_version(candidate: StateCandidate, newest: UpdateVersion) -> UpdateVersion:
    """Returns the version of a candidate; the one after the newest if it states none."""
    if candidate.version:
        return _read_version(candidate.version)
    return newest._replace(number=newest.number + 1)


def _read_version(text: str) -> UpdateVersion:
    parts = text.split(".")
    if len(parts) != 3 or not all(part.isdigit() for part in parts):
        raise StateFileError(f"version {text!r} does not have the form TERM.EPOCH.NUMBER")
    return UpdateVersion(*map(int, parts))


def _tables(
    routes: list[str],
    weights: Mapping[str, Mapping[str, float]],
    excluded: Iterable[str],
    retries: Mapping[str, int] | None = None,
    limits: Mapping[str, float] | None = None,
) -> ProxyTables:
    return ProxyTables(
        weights=tuple(weights.get(route, {}) for route in routes),
        excluded=frozenset(excluded),
        retries=tuple((retries or {}).get(route, DEFAULT_RETRIES) for route in routes),
        limits=tuple((limits or {}).get(route, math.inf) for route in routes),
    )

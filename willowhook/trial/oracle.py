"""A reference model of update validation: simulates a fleet with mean request rates and says what goes wrong.

It shares no code with the validator. It has no checks of its own, only a simulated fleet: proxies that send
what their tables say, endpoints with limited capacity, drains that complete, clients whose requests fail.
Times are in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

STEP_S = 0.25


@dataclass
class SimulatedEndpoint:
    """An endpoint as service discovery shows it."""

    mode: str = "open"  # open, draining or gone (removed from the list)
    since: float = 0.0  # seconds since the mode was notified
    age: float = 1e9  # seconds since its start
    weight: float = 1.0
    endpoint_class: str = ""
    zone: str = ""
    reachable: bool = True
    known: bool = True


@dataclass
class SimulatedProxy:
    """A proxy with its request rate and its table of each route."""

    rates: list[float]
    zone: str
    tables: list[dict[str, float]]
    excluded: set[str] = field(default_factory=set)


@dataclass
class Situation:
    """A fleet, and an update for its first proxy that is validated."""

    endpoints: dict[str, SimulatedEndpoint]
    proxies: list[SimulatedProxy]
    semantics: list[str]
    route_constraints: list[
        tuple[bool, tuple[str, ...]]
    ]  # by route: own zone only, endpoint classes (none: any)
    grace: float  # drain grace
    cold_s: float
    start_capacity: float
    fall_multiple: float
    fall_s: float
    fleet: int  # number of proxies, of which `proxies` may be a part
    # the update for the first proxy
    tables: list[dict[str, float]]
    excluded: set[str]
    retry_modes: list[int]
    admission_limits: list[float]
    version: tuple[int, int, int]
    newest: tuple[int, int, int]  # version that the proxy has
    update_cost: float
    waiting: float
    most_waiting: float
    rate: float
    messages: int = 0
    messages_most: int = 0
    # requests per second by endpoint class, where configured
    class_capacity: dict[str, float] = field(default_factory=dict)


def encoded_weights(table: dict[str, float]) -> dict[str, int] | None:
    """The encoded weights as a proxy reads them; None if a weight cannot be encoded."""
    encoded = {}
    for endpoint, weight in table.items():
        if weight != weight or weight in (math.inf, -math.inf) or weight <= 0:
            return None
        number = int(weight * 10_000 + 0.5) or 1
        if number >= 2**20:
            return None
        encoded[endpoint] = number
    return encoded


def shares(table: dict[str, float], excluded: set[str]) -> dict[str, float]:
    """By endpoint: its share of the requests."""
    total = sum(weight for endpoint, weight in table.items() if endpoint not in excluded)
    return (
        {endpoint: weight / total for endpoint, weight in table.items() if endpoint not in excluded}
        if total
        else {}
    )


def capacity_fraction(situation: Situation, endpoint: SimulatedEndpoint, after: float) -> float:
    """The part of its full capacity that an endpoint has after this time."""
    age = endpoint.age + after
    return (
        1.0
        if age >= situation.cold_s
        else situation.start_capacity + (1 - situation.start_capacity) * age / situation.cold_s
    )


def find_violations(situation: Situation) -> list[str]:
    """What is wrong with the update, in words; nothing if it is good."""
    violations: list[str] = []
    if situation.version <= situation.newest:
        violations.append("the version is not newer than the proxy's")
    if len(situation.tables) != len(situation.semantics):
        violations.append("a route has no table")
    for limit in situation.admission_limits:
        if not limit >= 0:
            violations.append("an admission limit is negative or not a number")
    for table in situation.tables:
        encoded = encoded_weights(table)
        if encoded is None:
            violations.append("a weight cannot be encoded")
            return violations
        read_shares, intended_shares = (
            shares({endpoint: float(number) for endpoint, number in encoded.items()}, set()),
            shares(table, set()),
        )
        if any(
            abs(read_shares[endpoint] - intended_shares[endpoint])
            > max(0.25 * intended_shares[endpoint], 0.001)
            for endpoint in table
        ):
            violations.append("encoding changes the shares of the requests")
    for route, retry_mode in enumerate(situation.retry_modes):
        # is a request executed again if its response is lost?
        if retry_mode not in (0, 1, 2, 3):
            violations.append("an unknown retry mode")
        elif retry_mode >= 2 and situation.semantics[route] != "idempotent":
            violations.append("a request takes effect twice when its response is lost")
    if situation.waiting + situation.update_cost > situation.most_waiting:
        violations.append("the queue limit is exceeded")
    if situation.messages_most and situation.messages + 1 > situation.messages_most:
        violations.append("the message cap of a proxy is exceeded")
    proxy = SimulatedProxy(
        situation.proxies[0].rates, situation.proxies[0].zone, situation.tables, situation.excluded
    )
    fleet = [proxy, *situation.proxies[1:]]
    violations += simulate(situation, proxy, fleet)
    return violations


def simulate(situation: Situation, proxy: SimulatedProxy, fleet: list[SimulatedProxy]) -> list[str]:
    """What goes wrong after the first proxy applied the update, until drains and slow starts are over."""
    violations: dict[str, None] = {}
    fleet_factor = max(1.0, situation.fleet / len(fleet))
    total_rate = sum(sum(proxy_in_fleet.rates) for proxy_in_fleet in fleet) * fleet_factor
    total_weight = max(sum(h.weight for h in situation.endpoints.values() if h.mode == "open"), 1e-9)
    rate_per_weight = total_rate / total_weight
    route_shares = [
        [shares(table, proxy_in_fleet.excluded) for table in proxy_in_fleet.tables]
        for proxy_in_fleet in fleet
    ]
    for route, endpoint_shares in enumerate(route_shares[0]):
        for name in endpoint_shares:
            endpoint = situation.endpoints.get(name)
            if endpoint is None or not endpoint.known:
                violations["requests go to an unknown endpoint"] = None
            elif not endpoint.reachable:
                violations["requests go to an endpoint without an address"] = None
            else:
                own_zone_only, classes = situation.route_constraints[route]
                if (own_zone_only and endpoint.zone != proxy.zone) or (
                    classes and endpoint.endpoint_class not in classes
                ):
                    violations["requests go to an endpoint of a zone or class that the route excludes"] = None
                if endpoint.mode != "open" and endpoint.since >= situation.grace:
                    violations["requests go to a drained endpoint"] = None
    new_rates: dict[str, float] = {}
    old_rates: dict[str, float] = {}
    for index, proxy_in_fleet in enumerate(fleet):
        for route, rate in enumerate(proxy_in_fleet.rates):
            for name, share in route_shares[index][route].items() if route < len(route_shares[index]) else ():
                new_rates[name] = new_rates.get(name, 0.0) + rate * share * fleet_factor
    for index, proxy_in_fleet in enumerate(situation.proxies):
        for route, rate in enumerate(proxy_in_fleet.rates):
            for name, share in (
                shares(proxy_in_fleet.tables[route], proxy_in_fleet.excluded).items()
                if route < len(proxy_in_fleet.tables)
                else ()
            ):
                old_rates[name] = old_rates.get(name, 0.0) + rate * share * fleet_factor
        assert index >= 0
    elapsed = 0.0
    recent_work: dict[str, list[float]] = {}
    while elapsed <= situation.grace + situation.cold_s:
        for route, endpoint_shares in enumerate(route_shares[0]):
            serving = [
                situation.endpoints[h]
                for h in endpoint_shares
                if h in situation.endpoints and situation.endpoints[h].mode == "open"
            ]
            # draining endpoints end within the grace, so that an open, warm one must be in the table
            if not any(e.age >= situation.cold_s for e in serving):
                own_zone_only, classes = situation.route_constraints[route]
                candidates = [
                    h for h in situation.endpoints.values()
                    if h.mode == "open" and h.age >= situation.cold_s and h.reachable and h.known
                    and (not own_zone_only or h.zone == proxy.zone)
                    and (not classes or h.endpoint_class in classes)
                ]  # fmt: skip
                if candidates:
                    violations["a route has no warm endpoint left"] = None
        for name, received in new_rates.items():
            endpoint = situation.endpoints.get(name)
            if (
                endpoint is None
                or endpoint.mode != "open"
                or name not in {h for shares_of_route in route_shares[0] for h in shares_of_route}
            ):
                continue
            if endpoint.age < situation.cold_s:
                recent = recent_work.setdefault(name, [])
                recent.append(received * STEP_S)
                del recent[: max(0, len(recent) - round(situation.fall_s / STEP_S))]
                tolerated = (
                    situation.fall_multiple
                    * capacity_fraction(situation, endpoint, elapsed)
                    * endpoint.weight
                    * rate_per_weight
                    * situation.fall_s
                )
                if len(recent) * STEP_S >= situation.fall_s and sum(recent) > tolerated:
                    violations["an endpoint is overloaded during its slow start"] = None
            if elapsed == 0.0 and received > old_rates.get(name, 0.0) * 1.05:
                # the requests of other controllers' proxies are spread over the fleet by weight
                received = (
                    received / fleet_factor
                    + total_rate * (1 - 1 / fleet_factor) * endpoint.weight / total_weight
                )
                capacity = situation.class_capacity.get(endpoint.endpoint_class)
                if capacity and received > capacity * capacity_fraction(situation, endpoint, 0.0):
                    violations["an endpoint gets more than its capacity"] = None
                if received > 6.0 * endpoint.weight * rate_per_weight:
                    violations["one endpoint gets a multiple of its share"] = None
        elapsed += STEP_S
    return list(violations)

"""An oracle for the table guard: plays a situation forward, call by call in the mean, and says what goes
wrong.

It shares no code with the guard.  It has no checks, only a fleet: proxies that send what they hold, hosts
that can do so much, drains that complete, clients whose calls fail.  Times are seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

STEP = 0.25


@dataclass
class SimulatedEndpoint:
    mode: str = "open"  # open, draining or gone
    since: float = 0.0  # how long ago it was told
    age: float = 1e9
    weight: float = 1.0
    endpoint_class: str = ""
    zone: str = ""
    reachable: bool = True
    known: bool = True


@dataclass
class SimulatedProxy:
    rates: list[float]
    zone: str
    tables: list[dict[str, float]]
    excluded: set[str] = field(default_factory=set)


@dataclass
class Situation:
    endpoints: dict[str, SimulatedEndpoint]
    proxies: list[SimulatedProxy]
    semantics: list[str]
    route_constraints: list[tuple[bool, tuple[str, ...]]]  # by route: own zone only, kinds
    grace: float
    cold_s: float
    start_capacity: float
    fall_multiple: float
    fall_s: float
    fleet: int
    # the candidate, for the first proxy
    tables: list[dict[str, float]]
    excluded: set[str]
    retry_modes: list[int]
    admission_limits: list[float]
    version: tuple[int, int, int]
    newest: tuple[int, int, int]
    update_cost: float
    waiting: float
    most_waiting: float
    rate: float
    messages: int = 0
    messages_most: int = 0
    class_capacity: dict[str, float] = field(default_factory=dict)  # calls a second by kind, where told


def published(lines: dict[str, float]) -> dict[str, int] | None:
    """The whole numbers that a reader would see; None if there are none."""
    found = {}
    for host, weight in lines.items():
        if weight != weight or weight in (math.inf, -math.inf) or weight <= 0:
            return None
        number = int(weight * 10_000 + 0.5) or 1
        if number >= 2**20:
            return None
        found[host] = number
    return found


def shares(lines: dict[str, float], out: set[str]) -> dict[str, float]:
    total = sum(weight for host, weight in lines.items() if host not in out)
    return {host: weight / total for host, weight in lines.items() if host not in out} if total else {}


def ability(s: Situation, host: SimulatedEndpoint, after: float) -> float:
    """The part of its usual work that a host can do, so long from now."""
    age = host.age + after
    return 1.0 if age >= s.cold_s else s.start_capacity + (1 - s.start_capacity) * age / s.cold_s


def find_violations(s: Situation) -> list[str]:
    """What goes wrong, in words; nothing if the candidate is good."""
    wrong: list[str] = []
    if s.version <= s.newest:
        wrong.append("the proxy refuses a version that goes back")
    if len(s.tables) != len(s.semantics):
        wrong.append("calls of a route have no table at all")
    for level in s.admission_limits:
        if not level >= 0:
            wrong.append("a level that lets in less than nothing")
    for lines in s.tables:
        whole = published(lines)
        if whole is None:
            wrong.append("a weight that cannot be published")
            return wrong
        read, meant = shares({h: float(n) for h, n in whole.items()}, set()), shares(lines, set())
        if any(abs(read[h] - meant[h]) > max(0.25 * meant[h], 0.001) for h in lines):
            wrong.append("readers see other shares than were meant")
    for k, tries in enumerate(s.retry_modes):
        # a call whose answer is lost after it ran: does an order make it run again?
        if tries not in (0, 1, 2, 3):
            wrong.append("an order to try that no proxy knows")
        elif tries >= 2 and s.semantics[k] != "idempotent":
            wrong.append("a call has effect twice when its answer is lost")
    if s.waiting + s.update_cost > s.most_waiting:
        wrong.append("more lines wait than may")
    if s.messages_most and s.messages + 1 > s.messages_most:
        wrong.append("more messages to one proxy than may")
    proxy = SimulatedProxy(s.proxies[0].rates, s.proxies[0].zone, s.tables, s.excluded)
    fleet = [proxy, *s.proxies[1:]]
    wrong += played(s, proxy, fleet)
    return wrong


def played(s: Situation, proxy: SimulatedProxy, fleet: list[SimulatedProxy]) -> list[str]:
    wrong: dict[str, None] = {}
    more = max(1.0, s.fleet / len(fleet))
    total = sum(sum(one.rates) for one in fleet) * more
    size_of_all = max(sum(h.weight for h in s.endpoints.values() if h.mode == "open"), 1e-9)
    everyday = total / size_of_all
    part = [[shares(lines, one.excluded) for lines in one.tables] for one in fleet]
    for k, found in enumerate(part[0]):
        for host in found:
            met = s.endpoints.get(host)
            if met is None or not met.known:
                wrong["calls go to a host that nobody knows"] = None
            elif not met.reachable:
                wrong["calls go to no address"] = None
            else:
                own, kinds = s.route_constraints[k]
                if (own and met.zone != proxy.zone) or (kinds and met.endpoint_class not in kinds):
                    wrong["calls go to a host that may not serve them"] = None
                if met.mode != "open" and met.since >= s.grace:
                    wrong["calls go to a drained host"] = None
    sent: dict[str, float] = {}
    before: dict[str, float] = {}
    for at, one in enumerate(fleet):
        for k, rate in enumerate(one.rates):
            for host, share in part[at][k].items() if k < len(part[at]) else ():
                sent[host] = sent.get(host, 0.0) + rate * share * more
    for at, one in enumerate(s.proxies):
        for k, rate in enumerate(one.rates):
            for host, share in shares(one.tables[k], one.excluded).items() if k < len(one.tables) else ():
                before[host] = before.get(host, 0.0) + rate * share * more
        assert at >= 0
    time = 0.0
    window: dict[str, list[float]] = {}
    while time <= s.grace + s.cold_s:
        for k, found in enumerate(part[0]):
            serving = [s.endpoints[h] for h in found if h in s.endpoints and s.endpoints[h].mode == "open"]
            # what drains has gone by the end of its grace; what is left must be there, and warm
            if not any(host.age >= s.cold_s for host in serving):
                own, kinds = s.route_constraints[k]
                spare = [
                    h for h in s.endpoints.values()
                    if h.mode == "open" and h.age >= s.cold_s and h.reachable and h.known
                    and (not own or h.zone == proxy.zone) and (not kinds or h.endpoint_class in kinds)
                ]  # fmt: skip
                if spare:
                    wrong["a route is left without a warm host"] = None
        for host, calls in sent.items():
            met = s.endpoints.get(host)
            if met is None or met.mode != "open" or host not in {h for row in part[0] for h in row}:
                continue
            if met.age < s.cold_s:
                rows = window.setdefault(host, [])
                rows.append(calls * STEP)
                del rows[: max(0, len(rows) - round(s.fall_s / STEP))]
                can = s.fall_multiple * ability(s, met, time) * met.weight * everyday * s.fall_s
                if len(rows) * STEP >= s.fall_s and sum(rows) > can:
                    wrong["a cold host falls over"] = None
            if time == 0.0 and calls > before.get(host, 0.0) * 1.05:
                # what other directors' proxies send is spread over the fleet
                calls = calls / more + total * (1 - 1 / more) * met.weight / size_of_all
                told = s.class_capacity.get(met.endpoint_class)
                if told and calls > told * ability(s, met, 0.0):
                    wrong["a host is given more than it can do"] = None
                if calls > 6.0 * met.weight * everyday:
                    wrong["one host is given nearly all"] = None
        time += STEP
    return list(wrong)

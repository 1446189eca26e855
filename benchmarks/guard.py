"""What update validation costs: `python -m benchmarks.guard`. Running sums against a recheck in full."""

from __future__ import annotations

import math
import random
import statistics
import time
from collections.abc import Callable

from willowhook.decisions.settings import RequestSemantics
from willowhook.ticks import TICKS_PER_SECOND
from willowhook.validation.model import (
    Candidate,
    Endpoint,
    EndpointMode,
    ProxyTables,
    RouteConstraints,
    UpdateVersion,
    ValidationSettings,
)
from willowhook.validation.validator import Validator
from willowhook.validation.world import World

ROUTES = (
    RouteConstraints("load", RequestSemantics.IDEMPOTENT),
    RouteConstraints("save", RequestSemantics.DEDUPLICATED),
    RouteConstraints("submit", RequestSemantics.AT_MOST_ONCE),
)


def median_us(work: Callable[[], object], times: int) -> tuple[float, float]:
    took = []
    for _ in range(times):
        began = time.perf_counter()
        work()
        took.append((time.perf_counter() - began) * 1e6)
    ranked = sorted(took)
    return statistics.median(ranked), ranked[int(len(ranked) * 0.99)]


def fleet(hosts: int, proxies: int, contents: int = 12, cold: int = 3) -> tuple[World, list[ProxyTables]]:
    """Proxies spread over so many contents of tables, each with all hosts; some hosts are cold."""
    chance = random.Random(1)
    terms = ValidationSettings(ROUTES, 25_000, 100_000, 0.3, 4.0, 0.2, 1e9, 0, 100_000, proxies)
    world = World(terms)
    now = 1000 * TICKS_PER_SECOND
    rows = [
        Endpoint(f"h{k}", EndpointMode.IN_SERVICE, 0, now - TICKS_PER_SECOND if k < cold else 0)
        for k in range(hosts)
    ]
    world.endpoints.update_list(0, rows)
    made = []
    for at in range(contents):
        lines = {f"h{k}": 0.2 if k < cold else chance.uniform(0.8, 1.25) for k in range(hosts)}
        made.append(ProxyTables((lines,) * 3, frozenset(), (1, 1, 1), (math.inf,) * 3, at))
    for proxy in range(proxies):
        world.add_proxy(proxy, "", (chance.uniform(1, 5),) * 3, made[proxy % contents])
    return world, made


def main() -> None:
    now = 1000 * TICKS_PER_SECOND
    for hosts, proxies in ((86, 245), (1000, 20_000)):
        world, made = fleet(hosts, proxies)
        validator = Validator(world)
        number = [1]

        def step(world: World = world, made: list[ProxyTables] = made, number: list[int] = number) -> None:
            """A message on its way to one proxy, and its answer."""
            number[0] += 1
            proxy = number[0] % len(world.proxies)
            world.record_sent(now, proxy, made[number[0] * 7 % len(made) - 1], UpdateVersion(1, 1, number[0]))
            world.record_applied(proxy)

        def judge_next(
            validator: Validator = validator, made: list[ProxyTables] = made, number: list[int] = number
        ) -> None:
            number[0] += 1
            proxy = number[0] % len(validator.world.proxies)
            validator.validate(
                now, Candidate(proxy, made[number[0] % len(made)], UpdateVersion(9, 1, number[0]))
            )

        moved = median_us(step, 2000)
        index = median_us(lambda world=world: [world.exposure(f"h{k}") for k in range(3)], 300)  # type: ignore[misc]
        times = 20 if proxies < 1000 else 3
        full = median_us(lambda world=world: [world.exposure_in_full(f"h{k}") for k in range(3)], times)  # type: ignore[misc]
        check = median_us(judge_next, 200)
        ratio = full[0] / index[0]
        print(f"{hosts} hosts, {proxies} proxies: a change of one proxy {moved[0]:.1f} us;", end=" ")
        print(f"three cold hosts by the index {index[0]:.0f} us, in full {full[0]:.0f} us,", end=" ")
        print(f"{ratio:.0f} times as long;", end=" ")
        print(f"a whole check median {check[0]:.0f} us, p99 {check[1]:.0f} us")


if __name__ == "__main__":
    main()

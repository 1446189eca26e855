"""Cost of update validation, with running sums and with a full recheck: `python -m benchmarks.guard`."""

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
    EndpointMode,
    ProxyTables,
    RouteConstraints,
    UpdateVersion,
    ValidatedEndpoint,
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
    durations_us = []
    for _ in range(times):
        began = time.perf_counter()
        work()
        durations_us.append((time.perf_counter() - began) * 1e6)
    sorted_durations = sorted(durations_us)
    return statistics.median(sorted_durations), sorted_durations[int(len(sorted_durations) * 0.99)]


def make_fleet(
    endpoints: int, proxies: int, table_sets: int = 12, cold_endpoints: int = 3
) -> tuple[World, list[ProxyTables]]:
    """Spreads proxies over several sets of tables with all endpoints, of which some are warming up."""
    generator = random.Random(1)
    settings = ValidationSettings(ROUTES, 25_000, 100_000, 0.3, 4.0, 0.2, 1e9, 0, 100_000, proxies)
    world = World(settings)
    now = 1000 * TICKS_PER_SECOND
    listed_endpoints = [
        ValidatedEndpoint(
            f"h{k}", EndpointMode.IN_SERVICE, 0, now - TICKS_PER_SECOND if k < cold_endpoints else 0
        )
        for k in range(endpoints)
    ]
    world.endpoints.update_list(0, listed_endpoints)
    tables = []
    for key in range(table_sets):
        weights = {
            f"h{k}": 0.2 if k < cold_endpoints else generator.uniform(0.8, 1.25) for k in range(endpoints)
        }
        tables.append(ProxyTables((weights,) * 3, frozenset(), (1, 1, 1), (math.inf,) * 3, key))
    for proxy in range(proxies):
        world.add_proxy(proxy, "", (generator.uniform(1, 5),) * 3, tables[proxy % table_sets])
    return world, tables


def main() -> None:
    now = 1000 * TICKS_PER_SECOND
    for endpoints, proxies in ((86, 245), (1000, 20_000)):
        world, tables = make_fleet(endpoints, proxies)
        validator = Validator(world)
        sequence = [1]

        def record_next(
            world: World = world, tables: list[ProxyTables] = tables, sequence: list[int] = sequence
        ) -> None:
            """Records a message to one proxy and the acknowledgement of it."""
            sequence[0] += 1
            proxy = sequence[0] % len(world.proxies)
            world.record_sent(
                now, proxy, tables[sequence[0] * 7 % len(tables) - 1], UpdateVersion(1, 1, sequence[0])
            )
            world.record_applied(proxy)

        def validate_next(
            validator: Validator = validator,
            tables: list[ProxyTables] = tables,
            sequence: list[int] = sequence,
        ) -> None:
            sequence[0] += 1
            proxy = sequence[0] % len(validator.world.proxies)
            validator.validate(
                now, Candidate(proxy, tables[sequence[0] % len(tables)], UpdateVersion(9, 1, sequence[0]))
            )

        record_time = median_us(record_next, 2000)
        indexed = median_us(lambda world=world: [world.exposure(f"h{k}") for k in range(3)], 300)  # type: ignore[misc]
        times = 20 if proxies < 1000 else 3
        full = median_us(lambda world=world: [world.exposure_in_full(f"h{k}") for k in range(3)], times)  # type: ignore[misc]
        check = median_us(validate_next, 200)
        ratio = full[0] / indexed[0]
        print(
            f"{endpoints} endpoints, {proxies} proxies: a change of one proxy {record_time[0]:.1f} us;",
            end=" ",
        )
        print(
            f"three warming endpoints by the index {indexed[0]:.0f} us, in full {full[0]:.0f} us,",
            end=" ",
        )
        print(f"{ratio:.0f} times as long;", end=" ")
        print(f"a complete validation median {check[0]:.0f} us, p99 {check[1]:.0f} us")


if __name__ == "__main__":
    main()

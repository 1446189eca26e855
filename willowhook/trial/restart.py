"""Restarts of a controller while endpoints fail: with its store, without one, and with an hour-old store."""

from __future__ import annotations

import concurrent.futures
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ..ticks import TICKS_PER_SECOND
from .day import Fault, Scenario, draw_scenario
from .judge import CONTROLLER_CLOCK_LEAD_TICKS, InvariantChecker
from .notes import read_events
from .stage import run_fleet

STORE_MODES = ("none", "kept", "aged")
# After a restart, when recovered state makes a difference.
OBSERVED_AFTER_RESTART_TICKS = 3 * TICKS_PER_SECOND


@dataclass
class RestartResult:
    """Result of one scenario with one store mode."""

    store_mode: str
    kept: bool
    service: float
    failed_share: float  # share of the attempts soon after a restart that failed
    attempts: int
    failing_endpoint_share: float  # share of these attempts that went to failing endpoints
    longest_without_entry_ms: float  # longest time without a table entry, from the invariant checker
    join_to_command_ms: float  # median time from a restart's first join to the first command


def restart_scenario(seed: int, restarts: int) -> Scenario:
    """A scenario with failing endpoints and this many restarts of the only controller."""
    length = 14.0 + 6.0 * restarts
    troubles = [Fault("fast_errors", 4.0, length - 6.0, 0.34, 0.9)]
    troubles += [Fault("director_killed", 10.0 + 6.0 * index, 0.7) for index in range(restarts)]
    scenario = draw_scenario(
        seed, length, hosts=12, proxies=8, directors=1, calls_per_s=110.0, troubles=troubles, spare=0
    )
    scenario.channel = msgspec.structs.replace(scenario.channel, messages_most=0)
    return scenario


def run_restart(seed: int, restart_count: int, store_mode: str, folder: Path) -> RestartResult:
    """Runs the scenario with one store mode and evaluates the time after each restart."""
    outcome = run_fleet(restart_scenario(seed, restart_count), folder, store=store_mode)
    proxies = [row for path in folder.glob("proxies*.notes") for row in read_events(str(path))]
    records = InvariantChecker.read_entries(folder / "director-0.records")
    starts = [row["t"] - CONTROLLER_CLOCK_LEAD_TICKS for row in records if row["kind"] == "started"][1:]
    failing_endpoints = {row["host"] for path in folder.glob("host-*.notes") for row in read_events(str(path))
            if row["kind"] == "set"}  # fmt: skip
    attempts = failed = to_failing = 0
    join_to_command_ms = []
    for start in starts:
        within = range(start, start + 6 * TICKS_PER_SECOND)
        join_times = [row["t"] for row in proxies if row["kind"] == "joined" and row["t"] in within]
        if not join_times:
            continue
        first_join = min(join_times)
        command_times = [
            row["t"] - CONTROLLER_CLOCK_LEAD_TICKS
            for row in records
            if row["kind"] == "order" and row["t"] - CONTROLLER_CLOCK_LEAD_TICKS >= first_join
        ]
        join_to_command_ms.append((min(command_times, default=first_join) - first_join) / 10)
        for row in proxies:
            if (
                row["kind"] == "try"
                and first_join <= row["began"] < first_join + OBSERVED_AFTER_RESTART_TICKS
            ):
                attempts += 1
                failed += row["out"] != "answered"
                to_failing += row["h"] in failing_endpoints
    detail = next((v.nearest for v in outcome.verdicts if v.rule == 1), "")
    longest_ms = float(detail.partition("line ")[2].partition(" s")[0] or 0) * 1000
    divisor = max(attempts, 1)
    return RestartResult(store_mode, outcome.kept, outcome.service_level, failed / divisor, attempts,
                   to_failing / divisor, longest_ms,
                   statistics.median(join_to_command_ms or [0.0]))  # fmt: skip


def run_restarts(folder: Path, seeds: range, count: int, say: Callable[[str], None]) -> list[RestartResult]:
    """Runs all store modes for all seeds, and prints a summary of each mode."""
    with concurrent.futures.ProcessPoolExecutor(3) as pool:
        jobs = [
            pool.submit(run_restart, s, count, store_mode, folder / f"{s}-{store_mode}")
            for s in seeds
            for store_mode in STORE_MODES
        ]
        results = [job.result() for job in jobs]
    for store_mode in STORE_MODES:
        of_mode = [result for result in results if result.store_mode == store_mode]
        kept = sum(result.kept for result in of_mode)
        service, failed_share, failing_share, join_to_command_ms = (
            statistics.median(values)
            for values in (
                [result.service for result in of_mode], [result.failed_share for result in of_mode],
                [result.failing_endpoint_share for result in of_mode],
                [result.join_to_command_ms for result in of_mode],
            )
        )  # fmt: skip
        say(f"store {store_mode}: rules kept on {kept} of {len(of_mode)}; service {service:.3f}")
        say(
            f"  soon after a restart {failed_share:.1%} of attempts failed, "
            f"{failing_share:.1%} went to failing endpoints"
        )
        longest_ms = max(result.longest_without_entry_ms for result in of_mode)
        say(
            f"  longest without an entry {longest_ms:.0f} ms; "
            f"first command {join_to_command_ms:.0f} ms after the first join"
        )
    return results

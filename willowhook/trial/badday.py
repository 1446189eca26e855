"""Fault-injection scenarios: a fleet with controllers compared with two baselines on the same arrivals."""

from __future__ import annotations

import concurrent.futures
import statistics
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from .day import Fault, Scenario, draw_scenario
from .stage import RunResult, run_fleet

BASELINES = ("standing", "static")


@dataclass
class SeedResult:
    """Outcomes of one seed: the run with controllers and the runs of the baselines."""

    seed: int
    controlled: RunResult
    baselines: dict[str, RunResult]
    folder: Path


def run_with_baselines(
    scenario: Scenario, folder: Path, baselines: Sequence[str], say: Callable[[str], None], **options: Any
) -> SeedResult:
    """Runs the scenario with controllers, then the same arrivals and faults with each baseline."""
    controlled = run_fleet(scenario, folder / "director", say=say, **options)
    baseline_outcomes = {
        baseline: run_fleet(copy_without_ports(scenario), folder / baseline, baseline)
        for baseline in baselines
    }
    return SeedResult(scenario.seed, controlled, baseline_outcomes, folder)


def copy_without_ports(original: Scenario) -> Scenario:
    """Copies the scenario without the ports that an earlier run assigned."""
    scenario = msgspec.json.decode(msgspec.json.encode(original), type=Scenario)
    for endpoint in scenario.hosts:
        endpoint.port = 0
    for proxy in scenario.proxies:
        proxy.port = 0
    return scenario


def report_lines(result: SeedResult) -> list[str]:
    """Describes the result of one seed for a reader."""
    outcome = result.controlled
    lines = [verdict.summary() for verdict in outcome.verdicts]
    service_by_route = ", ".join(f"{name} {value:.3f}" for name, value in outcome.by_route.items())
    lines.append(
        f"service {outcome.service_level:.3f} ({service_by_route}; "
        f"worst ten seconds {outcome.worst_interval:.3f})"
    )
    lines.append(
        f"{outcome.calls} requests: {outcome.answered} answered, "
        f"{outcome.throttled} throttled, {outcome.dropped} dropped"
    )
    for name, baseline_outcome in result.baselines.items():
        lines.append(
            f"baseline {name}: {baseline_outcome.service_level:.3f} "
            f"(worst ten seconds {baseline_outcome.worst_interval:.3f})"
        )
    for name, usage in sorted(outcome.controllers.items()):
        lines.append(
            f"{name}: {usage['cpu_s']:.1f} s of CPU, {usage['rss_mb']:.0f} MB, "
            f"{usage['messages']:.0f} messages;"
        )
        lines[-1] += f" command to file median {usage['median_ms']:.0f} ms, p99 {usage['p99_ms']:.0f} ms"
    verdict = "all rules kept" if outcome.kept else "RULES BROKEN"
    return [*lines, f"seed {result.seed}: {verdict}; records in {result.folder}"]


def format_spread(values: Sequence[float]) -> str:
    """Formats the median, the minimum and the maximum."""
    if not values:
        return "-"
    ranked = sorted(values)
    return f"median {statistics.median(ranked):.3f}, from {ranked[0]:.3f} to {ranked[-1]:.3f}"


def run_seeds(
    seeds: Sequence[int], make_scenario: Callable[[int], Scenario], folder: str,
    baselines: Sequence[str], at_once: int, say: Callable[[str], None], **options: Any,
) -> list[SeedResult]:  # fmt: skip
    """Runs several seeds, up to `at_once` at a time, each in its own process."""
    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    results = []
    with concurrent.futures.ProcessPoolExecutor(at_once) as pool:
        jobs = [
            pool.submit(
                run_with_baselines, make_scenario(seed), root / str(seed), baselines, _discard, **options
            )
            for seed in seeds
        ]
        for job in jobs:
            result = job.result()
            for line in report_lines(result):
                say(line)
            results.append(result)
    return results


def _discard(text: str) -> None:
    return None


def summary_lines(results: Sequence[SeedResult]) -> list[str]:
    """Summarizes all seeds: rules kept, and service compared with the baselines."""
    kept = sum(result.controlled.kept for result in results)
    lines = [f"rules kept in {kept} of {len(results)} scenarios"]
    lines.append(
        f"service with controllers: {format_spread([result.controlled.service_level for result in results])}"
    )
    for baseline in results[0].baselines if results else ():
        values = [result.baselines[baseline].service_level for result in results]
        advantages = [
            result.controlled.service_level - result.baselines[baseline].service_level for result in results
        ]
        lines.append(
            f"service, {baseline}: {format_spread(values)}; controllers ahead by {format_spread(advantages)}"
        )
    return lines


def default_scenario(seed: int, length_s: float = 40.0) -> Scenario:
    """Draws the default scenario with faults of at least eight kinds."""
    return draw_scenario(seed, length_s)


def short_scenario(seed: int) -> Scenario:
    """A short scenario for CI: few endpoints, a quarter of the length, six faults."""
    troubles = [
        Fault("host_crash", 2.0, 4.0, 0.2),
        Fault("director_killed", 3.0, 1.5),
        Fault("streams_lost", 5.0, 0.3, 0.6),
        Fault("deploy", 5.5, 2.0, 0.2),
        Fault("disk_full", 7.0, 0.8),
        Fault("fast_errors", 7.5, 3.0, 0.2, 0.9),
    ]
    return draw_scenario(seed, 12.0, hosts=6, proxies=4, calls_per_s=40.0, troubles=troubles, spare=0)


def replay_scenario(kinds: Sequence[str], seed: int, length_s: float, **size: Any) -> Scenario:
    """Injects faults of these kinds one after the other, in the middle part of the scenario."""
    active_s = length_s - 12.0
    troubles = [
        Fault(
            kind,
            round(4.0 + active_s * index / max(len(kinds), 1), 2),
            min(6.0, max(2.0, active_s / 3)),
            0.2,
            FAULT_SIZES.get(kind, 0.0),
        )  # fmt: skip
        for index, kind in enumerate(kinds)
    ]
    return draw_scenario(seed, length_s, troubles=troubles, **size)


# The simulator's benchmark names of the fault kinds.
BENCHMARK_FAULT_NAMES = {
    "crash": "host_crash", "hang": "host_hang", "slow": "host_slow", "class_fail": "route_unanswered",
    "ageing": "decline", "false_reports": "false_load", "discovery_down": "roster_away",
    "balancer_crash": "director_killed", "counter_down": "no_director", "reconnect": "streams_lost",
}  # fmt: skip
FAULT_SIZES = {"host_slow": 4.0, "fast_errors": 0.8, "burst": 1.5, "one_sided": 0.5, "false_load": 0.05,
               "conn_squeeze": 0.05}  # fmt: skip

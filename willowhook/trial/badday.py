"""The scripted bad day: directors beside two baselines on the same arrivals, over any number of seeds."""

from __future__ import annotations

import concurrent.futures
import statistics
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from .day import Day, Trouble, draw
from .stage import Outcome, play

BASELINES = ("standing", "static")


@dataclass
class SeedResult:
    seed: int
    controlled: Outcome
    baselines: dict[str, Outcome]
    folder: Path


def run_with_baselines(
    day: Day, folder: Path, baselines: Sequence[str], say: Callable[[str], None], **more: Any
) -> SeedResult:
    """The day with directors, then the same arrivals and troubles with each baseline."""
    first = play(day, folder / "director", say=say, **more)
    others = {how: play(fresh(day), folder / how, how) for how in baselines}
    return SeedResult(day.seed, first, others, folder)


def fresh(day: Day) -> Day:
    """The same day, before anything was started in it."""
    copy = msgspec.json.decode(msgspec.json.encode(day), type=Day)
    for host in copy.hosts:
        host.port = 0
    for proxy in copy.proxies:
        proxy.port = 0
    return copy


def report_lines(done: SeedResult) -> list[str]:
    """What a person reads of one round."""
    got = done.controlled
    lines = [verdict.line() for verdict in got.verdicts]
    routes = ", ".join(f"{name} {value:.3f}" for name, value in got.by_route.items())
    lines.append(f"service {got.service:.3f} ({routes}; worst ten seconds {got.worst:.3f})")
    lines.append(
        f"{got.calls} calls: {got.answered} answered, {got.throttled} throttled, {got.dropped} dropped"
    )
    for name, other in done.baselines.items():
        lines.append(f"beside {name}: {other.service:.3f} (worst ten seconds {other.worst:.3f})")
    for name, use in sorted(got.directors.items()):
        lines.append(
            f"{name}: {use['cpu_s']:.1f} s of CPU, {use['rss_mb']:.0f} MB, {use['messages']:.0f} messages;"
        )
        lines[-1] += f" order to file median {use['median_ms']:.0f} ms, p99 {use['p99_ms']:.0f} ms"
    verdict = "all rules kept" if got.kept else "RULES BROKEN"
    return [*lines, f"seed {done.seed}: {verdict}; records in {done.folder}"]


def spread(values: Sequence[float]) -> str:
    if not values:
        return "-"
    ranked = sorted(values)
    return f"median {statistics.median(ranked):.3f}, from {ranked[0]:.3f} to {ranked[-1]:.3f}"


def run_seeds(
    seeds: Sequence[int], make: Callable[[int], Day], folder: str, baselines: Sequence[str], at_once: int,
    say: Callable[[str], None], **more: Any,
) -> list[SeedResult]:  # fmt: skip
    """Days of several seeds, some at once; each in a process of its own."""
    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    found = []
    with concurrent.futures.ProcessPoolExecutor(at_once) as pool:
        jobs = [
            pool.submit(run_with_baselines, make(seed), root / str(seed), baselines, _quiet, **more)
            for seed in seeds
        ]
        for job in jobs:
            done = job.result()
            for line in report_lines(done):
                say(line)
            found.append(done)
    return found


def _quiet(text: str) -> None:
    return None


def summary_lines(rounds: Sequence[SeedResult]) -> list[str]:
    """Over all seeds: rules, service and its spread beside the baselines."""
    kept = sum(row.controlled.kept for row in rounds)
    lines = [f"rules kept on {kept} of {len(rounds)} days"]
    lines.append(f"service with directors: {spread([row.controlled.service for row in rounds])}")
    for how in rounds[0].baselines if rounds else ():
        values = [row.baselines[how].service for row in rounds]
        ahead = [row.controlled.service - row.baselines[how].service for row in rounds]
        lines.append(f"service, {how}: {spread(values)}; directors ahead by {spread(ahead)}")
    return lines


def default_scenario(seed: int, length_s: float = 40.0) -> Day:
    return draw(seed, length_s)


def short_scenario(seed: int) -> Day:
    """For CI: few hosts, a quarter of the time, five troubles."""
    troubles = [
        Trouble("host_crash", 2.0, 4.0, 0.2),
        Trouble("director_killed", 3.0, 1.5),
        Trouble("streams_lost", 5.0, 0.3, 0.6),
        Trouble("deploy", 5.5, 2.0, 0.2),
        Trouble("disk_full", 7.0, 0.8),
        Trouble("fast_errors", 7.5, 3.0, 0.2, 0.9),
    ]
    return draw(seed, 12.0, hosts=6, proxies=4, calls_per_s=40.0, troubles=troubles, spare=0)


def replay_scenario(kinds: Sequence[str], seed: int, length_s: float, **size: Any) -> Day:
    """A day on which these kinds of trouble strike, one after the other, over the middle of it."""
    room = length_s - 12.0
    troubles = [
        Trouble(
            kind,
            round(4.0 + room * k / max(len(kinds), 1), 2),
            min(6.0, max(2.0, room / 3)),
            0.2,
            SIZES.get(kind, 0.0),
        )  # fmt: skip
        for k, kind in enumerate(kinds)
    ]
    return draw(seed, length_s, troubles=troubles, **size)


# what the bench calls them
BENCHMARK_FAULT_NAMES = {
    "crash": "host_crash", "hang": "host_hang", "slow": "host_slow", "class_fail": "route_unanswered",
    "ageing": "decline", "false_reports": "false_load", "discovery_down": "roster_away",
    "balancer_crash": "director_killed", "counter_down": "no_director", "reconnect": "streams_lost",
}  # fmt: skip
SIZES = {"host_slow": 4.0, "fast_errors": 0.8, "burst": 1.5, "one_sided": 0.5, "false_load": 0.05,
         "conn_squeeze": 0.05}  # fmt: skip

"""`willowhook trial`: end-to-end scenarios on a test fleet on loopback; exit code 1 if a check fails."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from .commands import main


@main.group()
def trial() -> None:
    """Run scenarios with injected faults on a test fleet on loopback, and check the five invariants.

    These are: a table entry for every route, no request executed twice, the drain grace, no endpoint
    overloaded during slow start, and a limited queue.
    """


@trial.command()
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the scenario.")
@click.option("--seeds", type=int, default=1, show_default=True, help="Number of seeds, from --seed on.")
@click.option("--length", type=click.FloatRange(20, 3600), default=40.0, show_default=True, help="Seconds.")
@click.option("--short", is_flag=True, help="Run a small scenario of 12 s.")
@click.option("--baselines/--no-baselines", default=True, show_default=True)
@click.option(
    "--at-once", type=click.IntRange(1, 16), default=1, show_default=True, help="Scenarios in parallel."
)
@click.option("--durability", type=click.Choice(["none", "file", "file_and_folder"]), default="none")
@click.option(
    "--folder", type=click.Path(), default="", help="Folder for records; a temporary one if not given."
)
@click.option("--guard", type=click.Choice(["on", "shadow", "off"]), default="on", show_default=True)
@click.option("--front", type=click.Choice(["files", "calls", "mixed"]), default="files", show_default=True)
@click.option("--store", type=click.Choice(["none", "kept", "aged"]), default="none", show_default=True)
def badday(
    seed: int,
    seeds: int,
    length: float,
    short: bool,
    baselines: bool,
    at_once: int,
    durability: str,
    guard: str,
    front: str,
    store: str,
    folder: str,
) -> None:
    """Run a scripted scenario of faults: controllers die, endpoints fail, and the rules must hold."""
    from functools import partial

    from ..trial import badday as scenarios

    make_scenario = (
        scenarios.short_scenario if short else partial(scenarios.default_scenario, length_s=length)
    )
    baseline_names = scenarios.BASELINES if baselines else ()
    rounds = scenarios.run_seeds(
        range(seed, seed + seeds),
        make_scenario,
        folder,
        baseline_names,
        at_once,
        click.echo,
        durability=durability,
        guard=guard,
        front=front,
        store=store,
    )
    if seeds > 1:
        for line in scenarios.summary_lines(rounds):
            click.echo(line)
    sys.exit(0 if all(round_result.controlled.kept for round_result in rounds) else 1)


@trial.command()
@click.argument("kinds", nargs=-1, required=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--length", type=click.FloatRange(15, 3600), default=40.0, show_default=True)
@click.option("--hosts", type=click.IntRange(2, 400), default=12, show_default=True)
@click.option("--proxies", type=click.IntRange(1, 2000), default=8, show_default=True)
@click.option("--directors", type=click.IntRange(1, 20), default=2, show_default=True)
@click.option(
    "--calls", type=click.FloatRange(1, 5000), default=110.0, show_default=True, help="Requests per second."
)
@click.option("--folder", type=click.Path(), default="")
@click.option("--guard", type=click.Choice(["on", "shadow", "off"]), default="on", show_default=True)
@click.option("--front", type=click.Choice(["files", "calls", "mixed"]), default="files", show_default=True)
@click.option("--store", type=click.Choice(["none", "kept", "aged"]), default="none", show_default=True)
def replay(
    kinds: tuple[str, ...], seed: int, length: float, hosts: int, proxies: int, directors: int, calls: float,
    guard: str, front: str, store: str, folder: str,
) -> None:  # fmt: skip
    """Inject faults of these KINDS into a fleet with real controllers, one after the other.

    The names of the simulator's faults are accepted, too.
    """
    import tempfile

    from ..trial import badday as scenarios
    from ..trial.stage import FAULT_KINDS

    kinds = tuple(scenarios.BENCHMARK_FAULT_NAMES.get(kind, kind) for kind in kinds)
    unknown = [kind for kind in kinds if kind not in FAULT_KINDS and kind != "none"]
    if unknown:
        known = ", ".join(["none", *FAULT_KINDS, *scenarios.BENCHMARK_FAULT_NAMES])
        raise click.BadParameter(f"{', '.join(unknown)}: unknown kinds of faults; known are {known}")
    fault_kinds = [kind for kind in kinds if kind != "none"]
    size = {"hosts": hosts, "proxies": proxies, "directors": directors, "calls_per_s": calls}
    scenario = scenarios.replay_scenario(fault_kinds, seed, length, **size)
    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    result = scenarios.run_with_baselines(
        scenario, root, (), click.echo, guard=guard, front=front, store=store
    )
    for line in scenarios.report_lines(result):
        click.echo(line)
    sys.exit(0 if result.controlled.kept else 1)


@trial.command()
@click.option("--swaps", "count", type=click.IntRange(10, 1_000_000), default=10_000, show_default=True)
@click.option("--readers", type=click.IntRange(1, 64), default=8, show_default=True)
@click.option(
    "--durability", type=click.Choice(["none", "file", "file_and_folder"]), default="file", show_default=True
)
@click.option("--folder", type=click.Path(), default="")
def swaps(count: int, readers: int, durability: str, folder: str) -> None:
    """Swap files continuously under load: no torn read, no request without an endpoint; cost of a swap."""
    import tempfile

    from ..trial.swaps import run_swaps as run

    result = run(
        Path(folder or tempfile.mkdtemp(prefix="willowhook-")), count, readers, durability, click.echo
    )
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)


@trial.command()
@click.option("--kills", type=click.IntRange(1, 10_000), default=200, show_default=True)
@click.option(
    "--every", type=click.FloatRange(0.2, 60), default=1.0, show_default=True, help="Seconds between kills."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--directors", type=click.IntRange(1, 20), default=2, show_default=True)
@click.option("--proxies", type=click.IntRange(1, 2000), default=8, show_default=True)
@click.option("--undisturbed", is_flag=True, help="Run the same scenario without faults of controllers.")
@click.option(
    "--fence/--no-fence", default=True, show_default=True, help="Whether proxies check terms and folders."
)
@click.option("--front", type=click.Choice(["files", "calls", "mixed"]), default="files", show_default=True)
@click.option("--store", type=click.Choice(["none", "kept", "aged"]), default="none", show_default=True)
@click.option("--folder", type=click.Path(), default="")
def takeover(
    kills: int,
    every: float,
    seed: int,
    directors: int,
    proxies: int,
    undisturbed: bool,
    fence: bool,
    front: str,
    store: str,
    folder: str,
) -> None:
    """Kill, suspend and restart controllers repeatedly; no request may take effect twice."""
    import tempfile

    from ..trial.takeover import run_takeover as run

    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    size: dict[str, Any] = {"directors": directors, "proxies": proxies, "front": front, "store": store}
    result = run(seed, kills, every, root, click.echo, fence, not undisturbed, **size)
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)


@trial.command()
@click.option("--proxies", type=click.IntRange(1, 3), default=1, show_default=True)
@click.option("--directors", type=click.IntRange(1, 4), default=2, show_default=True)
@click.option("--terms", type=click.IntRange(1, 4), default=3, show_default=True)
@click.option("--orders", type=click.IntRange(1, 3), default=2, show_default=True)
@click.option("--kills", type=click.IntRange(0, 3), default=1, show_default=True)
@click.option(
    "--without", default="", help="Disable a safeguard: term, order, name, folder, or several joined by +."
)
def claims(proxies: int, directors: int, terms: int, orders: int, kills: int, without: str) -> None:
    """Explore all event sequences of a few proxies and controllers, and check the ownership invariants."""
    from ..membership.model_checker import explore
    from ..membership.takeover_model import Bounds, safeguards_in

    result = explore(Bounds(proxies, directors, terms, orders, kills), safeguards_in(without))
    click.echo(
        f"{result.world_count} worlds, {result.step_count} steps; {result.violation or 'all invariants hold'}"
    )
    for step in result.path:
        click.echo(f"  {step}")
    sys.exit(1 if result.violation else 0)


@trial.command()
@click.option("--proxies", type=click.IntRange(1, 5000), default=245, show_default=True)
@click.option("--hosts", type=click.IntRange(2, 400), default=40, show_default=True)
@click.option(
    "--calls", type=click.FloatRange(1, 5000), default=300.0, show_default=True, help="Requests per second."
)
@click.option("--folder", type=click.Path(), default="")
def orphans(proxies: int, hosts: int, calls: float, folder: str) -> None:
    """Stop the controller of all proxies for good: all must move at once to the controller that is left."""
    import tempfile

    from ..trial.takeover import run_orphans as run

    result = run(Path(folder or tempfile.mkdtemp(prefix="willowhook-")), proxies, hosts, calls)
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)


@trial.command("guard")
@click.option("--tables", type=click.IntRange(10, 10_000_000), default=20_000, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def guard_trial(tables: int, seed: int) -> None:
    """Validate bad and good tables, and compare the verdicts with an oracle that simulates each table."""
    from ..trial.guard_cases import measure_confusion

    result = measure_confusion(tables, seed)
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)


@trial.command()
@click.option("--proxies", type=click.IntRange(2, 2000), default=200, show_default=True)
@click.option("--length", type=click.FloatRange(15, 3600), default=60.0, show_default=True, help="Seconds.")
@click.option("--refuse", type=click.FloatRange(0, 0.5), default=0.01, show_default=True,
              help="Share of versions that a proxy refuses.")  # fmt: skip
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--folder", type=click.Path(), default="")
def versions(proxies: int, length: float, refuse: float, seed: int, folder: str) -> None:
    """Check that controllers know what their proxies run, through refusals, restarts and crashes."""
    import tempfile

    from ..trial.versions import run_versions as run

    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    result = run(root, seed, proxies, length, refuse, click.echo)
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)


@trial.command("bad-version")
@click.option("--proxies", type=click.IntRange(10, 2000), default=200, show_default=True)
@click.option(
    "--share",
    type=click.FloatRange(0.01, 1),
    default=0.05,
    show_default=True,
    help="Share of proxies that refuse.",
)
@click.option("--front", type=click.Choice(["files", "calls", "mixed"]), default="mixed", show_default=True)
@click.option("--folder", type=click.Path(), default="")
def bad_version(proxies: int, share: float, front: str, folder: str) -> None:
    """Publish a table that some proxies refuse: its rollout must stop, and be rolled back."""
    import tempfile

    from ..trial.versions import run_bad_version as run

    result = run(Path(folder or tempfile.mkdtemp(prefix="willowhook-")), proxies, share, front)
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)


@trial.command()
@click.option("--callers", type=click.IntRange(10, 10_000), default=1000, show_default=True)
@click.option(
    "--slow",
    type=click.FloatRange(0, 0.5),
    default=0.05,
    show_default=True,
    help="Share of callers that do not read.",
)
@click.option("--hosts", type=click.IntRange(2, 2000), default=86, show_default=True)
@click.option("--encoding", type=click.Choice(["", "zstd"]), default="", show_default=True)
@click.option("--folder", type=click.Path(), default="")
def herd(callers: int, slow: float, hosts: int, encoding: str, folder: str) -> None:
    """Thundering herd: many requests wait for one change; measure when the last has it, and the cost."""
    import tempfile

    from ..trial.herd import run_herd as run

    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    result = run(root, callers, slow, hosts, encoding, click.echo)
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)


@trial.command("fuzz-front")
@click.option("--inputs", type=click.IntRange(10, 10_000_000), default=20_000, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--folder", type=click.Path(), default="")
def fuzz_front(inputs: int, seed: int, folder: str) -> None:
    """Send malformed requests to a real controller's front: no crash, no hang, no memory growth."""
    import tempfile

    from ..trial.fuzz import run_fuzz as run

    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    result = run(root, inputs, seed, click.echo)
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)


@trial.command("cuts")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--steps", type=click.IntRange(5, 10_000), default=60, show_default=True, help="Number of writes."
)
@click.option(
    "--power-steps", type=click.IntRange(0, 10_000), default=60, show_default=True,
    help="Writes of the history in which the power fails after every operation.",
)  # fmt: skip
def cuts_trial(seed: int, steps: int, power_steps: int) -> None:
    """Truncate and corrupt every file of a store at every byte, and simulate power failures (in memory)."""
    from ..trial.cuts import run_cuts as run

    result = run(seed, steps, power_steps, click.echo)
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)


@trial.command("store-kills")
@click.option("--kills", type=click.IntRange(1, 100_000), default=500, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--folder", type=click.Path(), default="")
def store_kills(kills: int, seed: int, folder: str) -> None:
    """Kill a program that commits and compacts, repeatedly: no acknowledged write may be lost."""
    import tempfile

    from ..trial.kills import run_kills as run

    result = run(Path(folder or tempfile.mkdtemp(prefix="willowhook-")), kills, seed, click.echo)
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)


@trial.command("restart")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seeds", type=click.IntRange(1, 100), default=3, show_default=True)
@click.option("--restarts", type=click.IntRange(1, 1000), default=5, show_default=True)
@click.option("--folder", type=click.Path(), default="")
def restart_trial(seed: int, seeds: int, restarts: int, folder: str) -> None:
    """Restart a controller while endpoints fail: with its store, without it, or with one an hour old."""
    import tempfile

    from ..trial.restart import run_restarts as run

    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    results = run(root, range(seed, seed + seeds), restarts, click.echo)
    sys.exit(0 if all(result.kept for result in results) else 1)


@trial.command("submits")
@click.option("--kills", type=click.IntRange(1, 100_000), default=100, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--folder", type=click.Path(), default="")
def submits_trial(kills: int, seed: int, folder: str) -> None:
    """Kill a program that submits requests, repeatedly: no effect twice, no wrong outcome reported."""
    import tempfile

    from ..trial.submits import run_submits as run

    result = run(Path(folder or tempfile.mkdtemp(prefix="willowhook-")), kills, seed, click.echo)
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)


@trial.command("nginx-same")
@click.option(
    "--calls",
    type=click.IntRange(20, 100_000),
    default=150,
    show_default=True,
    help="Requests for each path, each way.",
)
@click.option(
    "--samples", "only", type=click.IntRange(0, 10_000), default=0, help="Number of samples; 0: all."
)
@click.option("--at-once", type=click.IntRange(1, 32), default=4, show_default=True)
def nginx_same(calls: int, only: int, at_once: int) -> None:
    """Compare nginx blocks with their import, side by side: endpoints, backups, responses and effects."""
    from ..trial.nginx_same import compare_samples

    result = compare_samples(calls, click.echo, only, at_once)
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)


@trial.command("nginx-check")
@click.option("--uris", type=click.IntRange(1, 100_000_000), default=100_000, show_default=True)
@click.option("--inputs", type=click.IntRange(1, 100_000_000), default=50_000, show_default=True)
@click.option("--seed", type=int, default=5, show_default=True)
def nginx_check(uris: int, inputs: int, seed: int) -> None:
    """Check the nginx import in memory: location matching, flat route lists and mutated samples."""
    from ..trial import nginx_check as checks
    from ..trial.corpus import load_samples, verdict_errors

    corpus = load_samples()
    wrong_verdicts = [line for sample in corpus for line in verdict_errors(sample)]
    click.echo(
        f"{len(corpus)} samples, {sum(len(sample.wanted) for sample in corpus)} verdicts:"
        f" {len(wrong_verdicts)} wrong"
    )
    uri_count, mismatches = checks.check_matcher(uris, seed)
    click.echo(f"{uri_count} URIs, matcher compared with the rules: {len(mismatches)} differ")
    lists = checks.check_lists(uris, seed)
    summary = (
        f"{lists.differ} differ, {len(lists.unreported)} of them unreported, "
        f"in {lists.configs} configurations"
    )
    click.echo(f"{lists.uris} URIs, lists compared with the search: {summary}")
    fuzz = checks.check_mutated_samples(inputs, seed)
    click.echo(f"{fuzz.inputs} mutated inputs: {fuzz.parsed} read with {fuzz.directives} directives,"
               f" {len(fuzz.unaccounted)} unaccounted, {len(fuzz.crashes)} crashes,"
               f" slowest {fuzz.slowest_s * 1000:.0f} ms")  # fmt: skip
    for line in [*wrong_verdicts, *mismatches, *lists.unreported, *fuzz.unaccounted, *fuzz.crashes][:20]:
        click.echo(line)
    sys.exit(1 if wrong_verdicts or mismatches or lists.unreported or fuzz.unaccounted or fuzz.crashes else 0)


@trial.command("nginx-director")
@click.option("--folder", type=click.Path(), default="")
def nginx_director(folder: str) -> None:
    """Run a controller on an imported configuration: endpoints, weights, closed paths, use of backups."""
    import tempfile

    from ..trial.nginx_director import run_imported_scenario

    result = run_imported_scenario(Path(folder or tempfile.mkdtemp(prefix="willowhook-")))
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)


@trial.command("flood")
@click.option("--proxies", type=click.IntRange(8, 10_000), default=1000, show_default=True)
@click.option("--hosts", type=click.IntRange(12, 1000), default=120, show_default=True)
@click.option(
    "--phase", "phase_s", type=click.FloatRange(2, 600), default=12.0, show_default=True, help="Seconds."
)
@click.option(
    "--reports-per-s", "per_s", type=click.FloatRange(1, 100_000), default=1500.0, show_default=True
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--folder", type=click.Path(), default="")
def flood_trial(proxies: int, hosts: int, phase_s: float, per_s: float, seed: int, folder: str) -> None:
    """Flood a controller with load reports, some of them hostile, and measure the delay of decisions."""
    import tempfile

    from ..trial.flood import run_flood

    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    result = run_flood(root / "flood", proxies, hosts, phase_s, per_s, click.echo, seed=seed)
    for line in result.lines():
        click.echo(line)
    sys.exit(0 if result.passed else 1)

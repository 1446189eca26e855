"""`willowhook trial`: whole fleets on loopback, with a verdict."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from .commands import main


@main.group()
def trial() -> None:
    """Whole fleets on loopback: stand-ins, troubles, and a verdict on the five rules."""


@trial.command()
@click.option("--seed", type=int, default=1, show_default=True, help="What the day is drawn from.")
@click.option("--seeds", type=int, default=1, show_default=True, help="How many seeds, from --seed on.")
@click.option("--length", type=click.FloatRange(20, 3600), default=40.0, show_default=True, help="Seconds.")
@click.option("--short", is_flag=True, help="A small day of 12 s.")
@click.option("--baselines/--no-baselines", default=True, show_default=True)
@click.option(
    "--at-once", type=click.IntRange(1, 16), default=1, show_default=True, help="Days side by side."
)
@click.option("--durability", type=click.Choice(["none", "file", "file_and_folder"]), default="none")
@click.option(
    "--folder", type=click.Path(), default="", help="Where records go; a temporary one if not given."
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
    """A scripted bad day: directors die, hosts fail, and the rules must hold."""
    from functools import partial

    from ..trial import badday as days

    make = days.short_scenario if short else partial(days.default_scenario, length_s=length)
    names = days.BASELINES if baselines else ()
    rounds = days.run_seeds(
        range(seed, seed + seeds),
        make,
        folder,
        names,
        at_once,
        click.echo,
        durability=durability,
        guard=guard,
        front=front,
        store=store,
    )
    if seeds > 1:
        for line in days.summary_lines(rounds):
            click.echo(line)
    sys.exit(0 if all(row.controlled.kept for row in rounds) else 1)


@trial.command()
@click.argument("kinds", nargs=-1, required=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--length", type=click.FloatRange(15, 3600), default=40.0, show_default=True)
@click.option("--hosts", type=click.IntRange(2, 400), default=12, show_default=True)
@click.option("--proxies", type=click.IntRange(1, 2000), default=8, show_default=True)
@click.option("--directors", type=click.IntRange(1, 20), default=2, show_default=True)
@click.option(
    "--calls", type=click.FloatRange(1, 5000), default=110.0, show_default=True, help="Calls a second."
)
@click.option("--folder", type=click.Path(), default="")
@click.option("--guard", type=click.Choice(["on", "shadow", "off"]), default="on", show_default=True)
@click.option("--front", type=click.Choice(["files", "calls", "mixed"]), default="files", show_default=True)
@click.option("--store", type=click.Choice(["none", "kept", "aged"]), default="none", show_default=True)
def replay(
    kinds: tuple[str, ...], seed: int, length: float, hosts: int, proxies: int, directors: int, calls: float,
    guard: str, front: str, store: str, folder: str,
) -> None:  # fmt: skip
    """Let these KINDS of trouble strike the real director, one after the other; the bench's names do too."""
    import tempfile

    from ..trial import badday as days
    from ..trial.stage import FAULT_KINDS

    kinds = tuple(days.BENCHMARK_FAULT_NAMES.get(kind, kind) for kind in kinds)
    unknown = [kind for kind in kinds if kind not in FAULT_KINDS and kind != "none"]
    if unknown:
        known = ", ".join(["none", *FAULT_KINDS, *days.BENCHMARK_FAULT_NAMES])
        raise click.BadParameter(f"{', '.join(unknown)}: known are {known}")
    names = [kind for kind in kinds if kind != "none"]
    size = {"hosts": hosts, "proxies": proxies, "directors": directors, "calls_per_s": calls}
    day = days.replay_scenario(names, seed, length, **size)
    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    done = days.run_with_baselines(day, root, (), click.echo, guard=guard, front=front, store=store)
    for line in days.report_lines(done):
        click.echo(line)
    sys.exit(0 if done.controlled.kept else 1)


@trial.command()
@click.option("--swaps", "count", type=click.IntRange(10, 1_000_000), default=10_000, show_default=True)
@click.option("--readers", type=click.IntRange(1, 64), default=8, show_default=True)
@click.option(
    "--durability", type=click.Choice(["none", "file", "file_and_folder"]), default="file", show_default=True
)
@click.option("--folder", type=click.Path(), default="")
def swaps(count: int, readers: int, durability: str, folder: str) -> None:
    """Swaps without rest under load: no torn read, no call without a host, and what a swap costs."""
    import tempfile

    from ..trial.swaps import run_swaps as run

    done = run(Path(folder or tempfile.mkdtemp(prefix="willowhook-")), count, readers, durability, click.echo)
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)


@trial.command()
@click.option("--kills", type=click.IntRange(1, 10_000), default=200, show_default=True)
@click.option(
    "--every", type=click.FloatRange(0.2, 60), default=1.0, show_default=True, help="Seconds between."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--directors", type=click.IntRange(1, 20), default=2, show_default=True)
@click.option("--proxies", type=click.IntRange(1, 2000), default=8, show_default=True)
@click.option("--undisturbed", is_flag=True, help="The same day with no director struck.")
@click.option(
    "--fence/--no-fence", default=True, show_default=True, help="Whether proxies look at terms and folders."
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
    """Kill, stop and start directors over and over; nothing may take effect twice."""
    import tempfile

    from ..trial.takeover import run_takeover as run

    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    size: dict[str, Any] = {"directors": directors, "proxies": proxies, "front": front, "store": store}
    done = run(seed, kills, every, root, click.echo, fence, not undisturbed, **size)
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)


@trial.command()
@click.option("--proxies", type=click.IntRange(1, 3), default=1, show_default=True)
@click.option("--directors", type=click.IntRange(1, 4), default=2, show_default=True)
@click.option("--terms", type=click.IntRange(1, 4), default=3, show_default=True)
@click.option("--orders", type=click.IntRange(1, 3), default=2, show_default=True)
@click.option("--kills", type=click.IntRange(0, 3), default=1, show_default=True)
@click.option(
    "--without", default="", help="Take a guard away: term, order, name, folder, or several with +."
)
def claims(proxies: int, directors: int, terms: int, orders: int, kills: int, without: str) -> None:
    """Explore all that can happen between few proxies and directors, and check who rules."""
    from ..membership.model_checker import explore
    from ..membership.takeover_model import Bounds, safeguards_in

    done = explore(Bounds(proxies, directors, terms, orders, kills), safeguards_in(without))
    click.echo(
        f"{done.world_count} worlds, {done.step_count} steps; {done.violation or 'all invariants hold'}"
    )
    for row in done.path:
        click.echo(f"  {row}")
    sys.exit(1 if done.violation else 0)


@trial.command()
@click.option("--proxies", type=click.IntRange(1, 5000), default=245, show_default=True)
@click.option("--hosts", type=click.IntRange(2, 400), default=40, show_default=True)
@click.option(
    "--calls", type=click.FloatRange(1, 5000), default=300.0, show_default=True, help="Calls a second."
)
@click.option("--folder", type=click.Path(), default="")
def orphans(proxies: int, hosts: int, calls: float, folder: str) -> None:
    """All proxies lose their director at once and go to the one that is left."""
    import tempfile

    from ..trial.takeover import run_orphans as run

    done = run(Path(folder or tempfile.mkdtemp(prefix="willowhook-")), proxies, hosts, calls)
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)


@trial.command("guard")
@click.option("--tables", type=click.IntRange(10, 10_000_000), default=20_000, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def guard_trial(tables: int, seed: int) -> None:
    """Bad and good tables, each shown to be so by an oracle that plays it forward, before the guard."""
    from ..trial.guard_cases import measure_confusion

    done = measure_confusion(tables, seed)
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)


@trial.command()
@click.option("--proxies", type=click.IntRange(2, 2000), default=200, show_default=True)
@click.option("--length", type=click.FloatRange(15, 3600), default=60.0, show_default=True, help="Seconds.")
@click.option("--refuse", type=click.FloatRange(0, 0.5), default=0.01, show_default=True,
              help="Share of versions that a proxy refuses.")  # fmt: skip
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--folder", type=click.Path(), default="")
def versions(proxies: int, length: float, refuse: float, seed: int, folder: str) -> None:
    """Both fronts mixed, with refusals, restarts and deaths: does a director know what its proxies run?"""
    import tempfile

    from ..trial.versions import run_versions as run

    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    done = run(root, seed, proxies, length, refuse, click.echo)
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)


@trial.command("bad-version")
@click.option("--proxies", type=click.IntRange(10, 2000), default=200, show_default=True)
@click.option("--share", type=click.FloatRange(0.01, 1), default=0.05, show_default=True, help="Who refuses.")
@click.option("--front", type=click.Choice(["files", "calls", "mixed"]), default="mixed", show_default=True)
@click.option("--folder", type=click.Path(), default="")
def bad_version(proxies: int, share: float, front: str, folder: str) -> None:
    """A table that some proxies refuse: its roll-out stops, and who runs it goes back."""
    import tempfile

    from ..trial.versions import run_bad_version as run

    done = run(Path(folder or tempfile.mkdtemp(prefix="willowhook-")), proxies, share, front)
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)


@trial.command()
@click.option("--callers", type=click.IntRange(10, 10_000), default=1000, show_default=True)
@click.option("--slow", type=click.FloatRange(0, 0.5), default=0.05, show_default=True, help="Do not read.")
@click.option("--hosts", type=click.IntRange(2, 2000), default=86, show_default=True)
@click.option("--encoding", type=click.Choice(["", "zstd"]), default="", show_default=True)
@click.option("--folder", type=click.Path(), default="")
def herd(callers: int, slow: float, hosts: int, encoding: str, folder: str) -> None:
    """Many calls wait, and one change comes: how long until the last has it, and what that costs."""
    import tempfile

    from ..trial.herd import run_herd as run

    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    done = run(root, callers, slow, hosts, encoding, click.echo)
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)


@trial.command("fuzz-front")
@click.option("--inputs", type=click.IntRange(10, 10_000_000), default=20_000, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--folder", type=click.Path(), default="")
def fuzz_front(inputs: int, seed: int, folder: str) -> None:
    """Malformed calls at a real director's front: no crash, no hang, no growth."""
    import tempfile

    from ..trial.fuzz import run_fuzz as run

    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    done = run(root, inputs, seed, click.echo)
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)


@trial.command("cuts")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--steps", type=click.IntRange(5, 10_000), default=60, show_default=True, help="Writes.")
@click.option(
    "--power-steps", type=click.IntRange(0, 10_000), default=60, show_default=True,
    help="Writes of the history in which the power fails after every operation.",
)  # fmt: skip
def cuts_trial(seed: int, steps: int, power_steps: int) -> None:
    """Every file of a store cut and flipped at every byte, and caught by power failures (in memory)."""
    from ..trial.cuts import run_cuts as run

    done = run(seed, steps, power_steps, click.echo)
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)


@trial.command("store-kills")
@click.option("--kills", type=click.IntRange(1, 100_000), default=500, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--folder", type=click.Path(), default="")
def store_kills(kills: int, seed: int, folder: str) -> None:
    """A program that commits and compacts is killed, over and over."""
    import tempfile

    from ..trial.kills import run_kills as run

    done = run(Path(folder or tempfile.mkdtemp(prefix="willowhook-")), kills, seed, click.echo)
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)


@trial.command("restart")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seeds", type=click.IntRange(1, 100), default=3, show_default=True)
@click.option("--restarts", type=click.IntRange(1, 1000), default=5, show_default=True)
@click.option("--folder", type=click.Path(), default="")
def restart_trial(seed: int, seeds: int, restarts: int, folder: str) -> None:
    """A director dies and comes back while hosts fail: with its store, without one, with one an hour old."""
    import tempfile

    from ..trial.restart import run_restarts as run

    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    done = run(root, range(seed, seed + seeds), restarts, click.echo)
    sys.exit(0 if all(row.kept for row in done) else 1)


@trial.command("submits")
@click.option("--kills", type=click.IntRange(1, 100_000), default=100, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--folder", type=click.Path(), default="")
def submits_trial(kills: int, seed: int, folder: str) -> None:
    """A program that submits is killed, over and over: no effect twice, no outcome told wrongly."""
    import tempfile

    from ..trial.submits import run_submits as run

    done = run(Path(folder or tempfile.mkdtemp(prefix="willowhook-")), kills, seed, click.echo)
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)


@trial.command("nginx-same")
@click.option(
    "--calls", type=click.IntRange(20, 100_000), default=150, show_default=True, help="A path, each way."
)
@click.option("--samples", "only", type=click.IntRange(0, 10_000), default=0, help="So many samples; 0: all.")
@click.option("--at-once", type=click.IntRange(1, 32), default=4, show_default=True)
def nginx_same(calls: int, only: int, at_once: int) -> None:
    """Blocks and what was imported of them serve side by side: the same hosts, backups, answers, effects."""
    from ..trial.nginx_same import compare_samples

    done = compare_samples(calls, click.echo, only, at_once)
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)


@trial.command("nginx-check")
@click.option("--uris", type=click.IntRange(1, 100_000_000), default=100_000, show_default=True)
@click.option("--inputs", type=click.IntRange(1, 100_000_000), default=50_000, show_default=True)
@click.option("--seed", type=int, default=5, show_default=True)
def nginx_check(uris: int, inputs: int, seed: int) -> None:
    """Locations beside the rules read one by one, lists beside the search, mutated samples (memory)."""
    from ..trial import nginx_check as checks
    from ..trial.corpus import load_samples, verdict_errors

    rows = load_samples()
    bad = [line for sample in rows for line in verdict_errors(sample)]
    click.echo(f"{len(rows)} samples, {sum(len(row.wanted) for row in rows)} verdicts: {len(bad)} wrong")
    asked, apart = checks.check_matcher(uris, seed)
    click.echo(f"{asked} URIs, matcher beside the rules: {len(apart)} differ")
    lists = checks.check_lists(uris, seed)
    told = f"{lists.differ} differ, {len(lists.unreported)} of them untold, in {lists.configs} configurations"
    click.echo(f"{lists.uris} URIs, lists beside the search: {told}")
    fuzz = checks.check_mutated_samples(inputs, seed)
    click.echo(f"{fuzz.inputs} mutated inputs: {fuzz.parsed} read with {fuzz.directives} directives,"
               f" {len(fuzz.unaccounted)} unaccounted, {len(fuzz.crashes)} crashes,"
               f" slowest {fuzz.slowest_s * 1000:.0f} ms")  # fmt: skip
    for line in [*bad, *apart, *lists.unreported, *fuzz.unaccounted, *fuzz.crashes][:20]:
        click.echo(line)
    sys.exit(1 if bad or apart or lists.unreported or fuzz.unaccounted or fuzz.crashes else 0)


@trial.command("nginx-director")
@click.option("--folder", type=click.Path(), default="")
def nginx_director(folder: str) -> None:
    """A director on what an import made: its hosts, weights, closed paths, and when backups serve."""
    import tempfile

    from ..trial.nginx_director import run_imported_scenario

    done = run_imported_scenario(Path(folder or tempfile.mkdtemp(prefix="willowhook-")))
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)


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
    """Proxies report steadily, all at once, ten times too often, some hostile: how long decisions take."""
    import tempfile

    from ..trial.flood import run_flood

    root = Path(folder or tempfile.mkdtemp(prefix="willowhook-"))
    done = run_flood(root / "flood", proxies, hosts, phase_s, per_s, click.echo, seed=seed)
    for line in done.lines():
        click.echo(line)
    sys.exit(0 if done.passed else 1)

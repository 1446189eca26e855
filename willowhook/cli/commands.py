"""The sub-commands.

Exit codes: 0 done, 1 a trial or check failed, 2 wrong use or configuration, 3 the folder is taken, 4 the
director broke.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from ..config.terms import Terms


@click.group()
@click.version_option(package_name="willowhook", version="0.2.0")
def main() -> None:
    """A director of plain proxies: it publishes their tables as files that are swapped whole."""


def load_terms(path: str) -> Terms:
    from ..config.check import TermsError, read_terms

    try:
        return read_terms(Path(path).read_bytes())
    except OSError as fault:
        click.echo(f"{path}: {fault.strerror}", err=True)
    except TermsError as fault:
        for place, cause in fault.faults:
            click.echo(f"{path}: {place}: {cause}", err=True)
    sys.exit(2)


@main.group(invoke_without_command=True)
@click.option("--config", "path", type=click.Path(), default="", help="The director's configuration, JSON.")
@click.option("--log-format", type=click.Choice(["console", "json"]), default="console", show_default=True)
@click.pass_context
def director(context: click.Context, path: str, log_format: str) -> None:
    """Run one director until SIGTERM; or act on one that runs."""
    if context.invoked_subcommand is not None:
        return
    if not path:
        raise click.UsageError("--config FILE is missing")
    from ..controlplane.main import run

    sys.exit(run(load_terms(path), log_format))


@director.command()
@click.option("--config", "path", required=True, type=click.Path(), help="Its configuration.")
@click.option("--undo", is_flag=True, help="Let proxies come again.")
@click.option("--wait", "wait_s", type=click.FloatRange(0, 86_400), default=0.0, help="Seconds until empty.")
def drain(path: str, undo: bool, wait_s: float) -> None:
    """Hand a running director's proxies to others, one by one.  Exit code 1 if some are left after --wait."""
    import time

    from ..files.layout import DRAIN, UP
    from ..files.ops import DiskOps, remove
    from ..files.swap import swap_file

    folder = Path(load_terms(path).files.folder).absolute()
    if not (folder / UP).is_dir():
        click.echo(f"{folder}: no director has run here", err=True)
        sys.exit(2)
    if undo:
        remove(DiskOps(), str(folder / DRAIN))
        click.echo("no longer draining")
        return
    swap_file(DiskOps(), str(folder), DRAIN, b"")

    def left() -> int:
        return sum(not row.name.startswith(".") for row in (folder / UP).iterdir())

    end = time.monotonic() + wait_s
    while left() and time.monotonic() < end:
        time.sleep(0.1)
    click.echo(f"draining; {left()} proxies are left")
    sys.exit(1 if left() and wait_s else 0)


@main.group()
def config() -> None:
    """Configurations of a director."""


@config.command()
@click.argument("path", type=click.Path())
def check(path: str) -> None:
    """Check a configuration; every fault is told with its place."""
    terms = load_terms(path)
    click.echo(
        f"{path}: good: director {terms.name}, {len(terms.routes)} routes, {terms.fleet.proxies} proxies"
    )


@config.command()
def schema() -> None:
    """Print the JSON Schema of a configuration."""
    from ..config.check import schema as made

    click.echo(json.dumps(made(), indent=1))


@config.command()
def example() -> None:
    """Print a configuration that is good."""
    import msgspec

    from ..config.example import EXAMPLE

    click.echo(msgspec.json.format(msgspec.json.encode(EXAMPLE), indent=1).decode())


@main.group()
def tables() -> None:
    """What lies in a director's folder."""


@tables.command()
@click.argument("folder", type=click.Path())
@click.option("--proxy", "only", default="", help="Show this proxy alone.")
def show(folder: str, only: str) -> None:
    """Show what each proxy of a director's folder would read now."""
    from ..controlplane.proxy_resources import CONTROLLERS_RESOURCE
    from ..files.layout import DOWN
    from ..files.swap import read_group
    from ..xds import tables as forms
    from ..xds.codec import FormError

    root = Path(folder) / DOWN
    if not root.is_dir():
        click.echo(f"{folder}: no director's folder: {root} is not there", err=True)
        sys.exit(2)
    bad = False
    for place in sorted(root.iterdir()):
        if only and place.name != only:
            continue
        try:
            version, files = read_group(str(place))
            clusters = {}
            if "cds.json" in files:
                clusters = {row.name: row for row in forms.read_clusters(files["cds.json"])[1]}
            envelope, rows = forms.read_tables(files["eds.json"])
            click.echo(f"{place.name}: {version}, version {envelope.version_info}")
            if "rds.json" in files:
                for route in forms.read_routes(files["rds.json"])[1][0].virtual_hosts[0].routes:
                    path = " ".join(forms.match_of(route.match)).removeprefix("below ")
                    if route.direct_response is not None:
                        click.echo(f"  {path} -> {route.direct_response.status}")
                        continue
                    to = clusters[route.route.cluster].eds_cluster_config.service_name
                    share, rate = forms.level_of(route.typed_per_filter_config)
                    tries = forms.tries_of(route.route.retry_policy)
                    told = f"share {share:g}" + ("" if rate == float("inf") else f", {rate:.2f} calls/s")
                    click.echo(f"  {path} -> {to}: {told}, tries {tries}")
            for table in rows:
                click.echo(f"  table {table.cluster_name}")
                if table.cluster_name == CONTROLLERS_RESOURCE:
                    click.echo("    it is sent away: this director drains")
                    continue
                for host, address, port, zone, weight, out in forms.lines(table):
                    word = "DRAINING" if out else "open"
                    click.echo(f"    {host:24} {address}:{port:<6} {zone:10} {weight:8.4f} {word}")
        except FileNotFoundError:
            click.echo(f"{place.name}: nothing has been sent")
        except (FormError, OSError, KeyError) as fault:
            click.echo(f"{place.name}: cannot be read: {fault}", err=True)
            bad = True
    sys.exit(1 if bad else 0)


@main.command()
@click.argument("records", type=click.Path())
@click.option("--proxy", default="", help="One proxy in full.")
def versions(records: str, proxy: str) -> None:
    """Who runs which version, what is refused and why, by a director's RECORDS, also of one that runs."""
    from ..records.states import States
    from ..records.writer import read_records

    states = States()
    try:
        for row in read_records(records):
            states.take(row)
    except OSError as fault:
        click.echo(f"{records}: {fault.strerror}", err=True)
        sys.exit(2)
    for line in states.lines(proxy):
        click.echo(line)

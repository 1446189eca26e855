"""The sub-commands.

Exit codes: 0 done, 1 a trial or check failed, 2 wrong use or configuration, 3 the controller's folder cannot
be used, 4 the controller failed.
"""

from __future__ import annotations

import copy
import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from ..config.terms import Terms


DRAIN_POLL_SECONDS = 0.1


@click.group()
@click.version_option(package_name="willowhook", version="0.2.0")
def main() -> None:
    """A controller of plain proxies: it publishes their tables as files that are swapped whole."""


def load_terms(path: str) -> Terms:
    """Reads a configuration; prints what is wrong with it and exits with code 2 if it cannot be used."""
    from ..config.check import ConfigError, parse_config

    try:
        return parse_config(Path(path).read_bytes())
    except OSError as fault:
        click.echo(f"{path}: {fault.strerror}", err=True)
    except ConfigError as fault:
        for place, cause in fault.errors:
            click.echo(f"{path}: {place}: {cause}", err=True)
    sys.exit(2)


@main.group(invoke_without_command=True)
@click.option("--config", "path", type=click.Path(), default="", help="The controller's configuration, JSON.")
@click.option("--log-format", type=click.Choice(["console", "json"]), default="console", show_default=True)
@click.pass_context
def controller(context: click.Context, path: str, log_format: str) -> None:
    """Run one controller until SIGTERM; or act on one that runs."""
    if context.invoked_subcommand is not None:
        return
    if not path:
        raise click.UsageError("--config FILE is missing")
    from ..controlplane.main import run

    sys.exit(run(load_terms(path), log_format))


@controller.command()
@click.option("--config", "path", required=True, type=click.Path(), help="Its configuration.")
@click.option("--undo", is_flag=True, help="Let proxies come again.")
@click.option("--wait", "wait_s", type=click.FloatRange(0, 86_400), default=0.0, help="Seconds until empty.")
def drain(path: str, undo: bool, wait_s: float) -> None:
    """Hand a running controller's proxies to others, one by one.  Exit code 1 if any is left after --wait."""
    from ..files.layout import DRAIN_FILE, INBOUND_FOLDER
    from ..files.ops import DiskOps, remove
    from ..files.swap import swap_file

    folder = Path(load_terms(path).files.folder).absolute()
    proxies = folder / INBOUND_FOLDER
    if not proxies.is_dir():
        click.echo(f"{folder}: no controller has run here", err=True)
        sys.exit(2)
    if undo:
        remove(DiskOps(), str(folder / DRAIN_FILE))
        click.echo("no longer draining")
        return
    swap_file(DiskOps(), str(folder), DRAIN_FILE, b"")
    deadline = time.monotonic() + wait_s
    while _count_proxies(proxies) and time.monotonic() < deadline:
        time.sleep(DRAIN_POLL_SECONDS)
    click.echo(f"draining; {_count_proxies(proxies)} proxies are left")
    sys.exit(1 if _count_proxies(proxies) and wait_s else 0)


def _count_proxies(folder: Path) -> int:
    return sum(not entry.name.startswith(".") for entry in folder.iterdir())


def _add_hidden_alias(group: click.Group, alias: str) -> None:
    """Keeps a former name of a command group, with its options and sub-commands, out of the help."""
    former = copy.copy(group)
    former.name = alias
    former.hidden = True
    main.add_command(former)


_add_hidden_alias(controller, "director")


@main.group()
def config() -> None:
    """Configurations of a controller."""


@config.command()
@click.argument("path", type=click.Path())
def check(path: str) -> None:
    """Check a configuration; every fault is told with its place."""
    terms = load_terms(path)
    click.echo(
        f"{path}: good: controller {terms.name}, {len(terms.routes)} routes, {terms.fleet.proxies} proxies"
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
    """What lies in a controller's folder."""


@tables.command()
@click.argument("folder", type=click.Path())
@click.option("--proxy", "only", default="", help="Show this proxy alone.")
def show(folder: str, only: str) -> None:
    """Show what each proxy of a controller's folder would read now."""
    from ..files.layout import OUTBOUND_FOLDER
    from ..xds.codec import MessageFormatError
    from .tables import print_proxy

    root = Path(folder) / OUTBOUND_FOLDER
    if not root.is_dir():
        click.echo(f"{folder}: no controller's folder: {root} is not there", err=True)
        sys.exit(2)
    has_malformed = False
    for place in sorted(root.iterdir()):
        if only and place.name != only:
            continue
        try:
            print_proxy(place)
        except FileNotFoundError:
            click.echo(f"{place.name}: nothing has been sent")
        except (MessageFormatError, OSError, KeyError) as fault:
            click.echo(f"{place.name}: cannot be read: {fault}", err=True)
            has_malformed = True
    sys.exit(1 if has_malformed else 0)


@main.command()
@click.argument("records", type=click.Path())
@click.option("--proxy", default="", help="One proxy in full.")
def versions(records: str, proxy: str) -> None:
    """Who runs which version, what is refused and why, by a controller's RECORDS, also of one that runs."""
    from ..records.states import ProxyStates
    from ..records.writer import read_records

    states = ProxyStates()
    try:
        for row in read_records(records):
            states.add(row)
    except OSError as fault:
        click.echo(f"{records}: {fault.strerror}", err=True)
        sys.exit(2)
    for line in states.lines(proxy):
        click.echo(line)

"""The root command, and the commands of controllers, configurations, tables and versions.

Exit codes: 0 success, 1 a trial or check failed, 2 wrong usage or configuration, 3 the controller cannot
start, as its folder, a port or its credentials cannot be used, 4 the controller failed.
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
    """Configuration controller of a proxy fleet, which publishes tables as atomically replaced files."""


def load_terms(path: str) -> Terms:
    """Reads a configuration; if it is not valid, prints its errors and exits with code 2."""
    from ..config.check import ConfigError, parse_config

    try:
        return parse_config(Path(path).read_bytes())
    except OSError as error:
        click.echo(f"{path}: {error.strerror}", err=True)
    except ConfigError as error:
        for location, cause in error.errors:
            click.echo(f"{path}: {location}: {cause}", err=True)
    sys.exit(2)


@main.group(invoke_without_command=True)
@click.option("--config", "path", type=click.Path(), default="", help="The controller's configuration, JSON.")
@click.option("--log-format", type=click.Choice(["console", "json"]), default="console", show_default=True)
@click.pass_context
def controller(context: click.Context, path: str, log_format: str) -> None:
    """Run a controller until SIGTERM, or control a running one."""
    if context.invoked_subcommand is not None:
        return
    if not path:
        raise click.UsageError("--config FILE is missing")
    from ..controlplane.main import run

    sys.exit(run(load_terms(path), log_format))


@controller.command()
@click.option(
    "--config", "path", required=True, type=click.Path(), help="The controller's configuration, JSON."
)
@click.option("--undo", is_flag=True, help="Stop draining and accept proxies again.")
@click.option(
    "--wait",
    "wait_s",
    type=click.FloatRange(0, 86_400),
    default=0.0,
    help="Seconds to wait until all proxies have left.",
)
def drain(path: str, undo: bool, wait_s: float) -> None:
    """Move a running controller's proxies to other controllers.  Exit code 1 if any is left after --wait."""
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
    """Adds a former name of a command group, with its options and sub-commands; the help does not show it."""
    hidden_group = copy.copy(group)
    hidden_group.name = alias
    hidden_group.hidden = True
    main.add_command(hidden_group)


_add_hidden_alias(controller, "director")


@main.group()
def config() -> None:
    """Check a controller's configuration, or print its schema or an example."""


@config.command()
@click.argument("path", type=click.Path())
def check(path: str) -> None:
    """Check a configuration and print every error with its location."""
    terms = load_terms(path)
    click.echo(
        f"{path}: valid: controller {terms.name}, {len(terms.routes)} routes, {terms.fleet.proxies} proxies"
    )


@config.command()
def schema() -> None:
    """Print the JSON Schema of a configuration."""
    from ..config.check import schema as config_schema

    click.echo(json.dumps(config_schema(), indent=1))


@config.command()
def example() -> None:
    """Print a valid example of a configuration."""
    import msgspec

    from ..config.example import EXAMPLE

    click.echo(msgspec.json.format(msgspec.json.encode(EXAMPLE), indent=1).decode())


@main.group()
def tables() -> None:
    """Inspect the tables in a controller's folder."""


@tables.command()
@click.argument("folder", type=click.Path())
@click.option("--proxy", "only", default="", help="Show only this proxy.")
def show(folder: str, only: str) -> None:
    """Show the routes and tables that each proxy would now read from a controller's FOLDER."""
    from ..files.layout import OUTBOUND_FOLDER
    from ..xds.codec import MessageFormatError
    from .tables import print_proxy

    root = Path(folder) / OUTBOUND_FOLDER
    if not root.is_dir():
        click.echo(f"{folder}: not a controller's folder: {root} does not exist", err=True)
        sys.exit(2)
    has_malformed = False
    for proxy_folder in sorted(root.iterdir()):
        if only and proxy_folder.name != only:
            continue
        try:
            print_proxy(proxy_folder)
        except FileNotFoundError:
            click.echo(f"{proxy_folder.name}: nothing has been sent")
        except (MessageFormatError, OSError, KeyError) as error:
            click.echo(f"{proxy_folder.name}: cannot be read: {error}", err=True)
            has_malformed = True
    sys.exit(1 if has_malformed else 0)


@main.command()
@click.argument("records", type=click.Path())
@click.option("--proxy", default="", help="Show only this proxy, with all details.")
def versions(records: str, proxy: str) -> None:
    """Show which versions proxies run and what they refused and why, from a controller's RECORDS.

    The controller may be running.
    """
    from ..records.states import ProxyStates
    from ..records.writer import read_records

    states = ProxyStates()
    try:
        for record in read_records(records):
            states.add(record)
    except OSError as error:
        click.echo(f"{records}: {error.strerror}", err=True)
        sys.exit(2)
    for line in states.lines(proxy):
        click.echo(line)

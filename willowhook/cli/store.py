"""`willowhook store`: checks, prints and repairs a store's folder."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any

import click

from .commands import main


@main.group()
def store() -> None:
    """Check, print or repair a store.  Exit codes: 0 intact, 1 damaged, 2 wrong usage, 3 in use."""


def _run_or_exit(operation: Callable[[], Any]) -> Any:
    """Runs a store operation; if it fails, prints the error and exits with 3 (store in use) or 2."""
    from ..store.store import StoreError, StoreInUseError

    try:
        return operation()
    except StoreInUseError as error:
        click.echo(str(error), err=True)
        sys.exit(3)
    except (StoreError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)


@store.command()
@click.argument("folder", type=click.Path())
def check(folder: str) -> None:
    """Check that all committed data is there, and print damage with its file and bytes.

    The store may be in use.
    """
    from ..store import tool

    is_intact, lines = _run_or_exit(lambda: tool.check(folder))
    for line in lines:
        click.echo(line)
    click.echo("whole" if is_intact else "DAMAGED")
    sys.exit(0 if is_intact else 1)


@store.command()
@click.argument("folder", type=click.Path())
@click.option("--space", default="", help="Print only this space.")
@click.option("--key", default="", help="Print only this key.")
def dump(folder: str, space: str, key: str) -> None:
    """Print the entries, one JSON object on each line."""
    from ..store import tool

    for entry in _run_or_exit(lambda: list(tool.dump(folder, space, key))):
        click.echo(json.dumps(entry))


@store.command()
@click.argument("folder", type=click.Path())
def stats(folder: str) -> None:
    """Print sizes and counts as JSON."""
    from ..store import tool

    click.echo(json.dumps(_run_or_exit(lambda: tool.stats(folder)), indent=1))


@store.command()
@click.argument("folder", type=click.Path())
@click.option(
    "--seen",
    is_flag=True,
    help="Acknowledge the loss: from now on, requests without a record count as never sent.",
)
def repair(folder: str, seen: bool) -> None:
    """Keep all readable data, copy damaged files and print what is lost; no data is made up."""
    from ..store import tool

    for line in _run_or_exit(lambda: tool.repair(folder, seen)):
        click.echo(line)

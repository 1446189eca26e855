"""`willowhook store`: a store's folder, by hand."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any

import click

from .commands import main


@main.group()
def store() -> None:
    """A store: is it whole, what is in it.  Exit codes: 0 whole, 1 damaged, 2 wrong use, 3 in use."""


def _safely(what: Callable[[], Any]) -> Any:
    from ..store.store import StoreError, StoreInUseError

    try:
        return what()
    except StoreInUseError as fault:
        click.echo(str(fault), err=True)
        sys.exit(3)
    except (StoreError, OSError) as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)


@store.command()
@click.argument("folder", type=click.Path())
def check(folder: str) -> None:
    """Whether all that was promised is there; damage with its file and bytes.  Also of one in use."""
    from ..store import tool

    whole, lines = _safely(lambda: tool.check(folder))
    for line in lines:
        click.echo(line)
    click.echo("whole" if whole else "DAMAGED")
    sys.exit(0 if whole else 1)


@store.command()
@click.argument("folder", type=click.Path())
@click.option("--space", default="", help="One space alone.")
@click.option("--key", default="", help="One key alone.")
def dump(folder: str, space: str, key: str) -> None:
    """Print the entries, a JSON object a line."""
    from ..store import tool

    for row in _safely(lambda: list(tool.dump(folder, space, key))):
        click.echo(json.dumps(row))


@store.command()
@click.argument("folder", type=click.Path())
def stats(folder: str) -> None:
    """Print sizes and counts, as JSON."""
    from ..store import tool

    click.echo(json.dumps(_safely(lambda: tool.stats(folder)), indent=1))


@store.command()
@click.argument("folder", type=click.Path())
@click.option("--seen", is_flag=True, help="What was lost is known: calls without a record never left again.")
def repair(folder: str, seen: bool) -> None:
    """Keep what can be read, put aside what cannot, say what is lost.  Never invents."""
    from ..store import tool

    for line in _safely(lambda: tool.repair(folder, seen)):
        click.echo(line)

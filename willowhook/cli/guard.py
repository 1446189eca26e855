"""`willowhook guard`: judge tables before any proxy sees them."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from .commands import main


@main.group()
def guard() -> None:
    """Update validation."""


@guard.command()
@click.argument("tables", type=click.Path())
@click.option("--state", required=True, type=click.Path(), help="The world that the tables will meet, JSON.")
@click.option("--json", "as_json", is_flag=True, help="Verdicts as data.")
def check(tables: str, state: str, as_json: bool) -> None:
    """Judge TABLES.  Exit code: 0 passed, 3 split, 4 held, 5 refused (the worst of all), 2 a bad file."""
    from ..validation.state_file import State, StateFileError, decode_file
    from ..validation.state_file import validate_candidates as judge

    try:
        world = Path(state).read_bytes()
        decode_file(world, State)
    except (OSError, StateFileError) as fault:
        click.echo(f"{state}: {fault}", err=True)
        sys.exit(2)
    try:
        verdicts = judge(Path(tables).read_bytes(), world)
    except (OSError, StateFileError) as fault:
        click.echo(f"{tables}: {fault}", err=True)
        sys.exit(2)
    data = [{"proxy": proxy, **verdict.data()} for proxy, verdict in verdicts]
    if as_json:
        click.echo(json.dumps(data, indent=1))
    else:
        for proxy, verdict in verdicts:
            for line in verdict.lines():
                click.echo(f"{proxy}: {line}")
    sys.exit(max((row["exit_code"] for row in data), default=0))

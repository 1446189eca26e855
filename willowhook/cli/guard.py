"""`willowhook guard`: validates candidate tables before they are sent to a proxy."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from .commands import main


@main.group()
def guard() -> None:
    """Validate updates before they are sent to proxies."""


@guard.command()
@click.argument("tables", type=click.Path())
@click.option(
    "--state", required=True, type=click.Path(), help="State of the fleet to validate against, JSON."
)
@click.option("--json", "as_json", is_flag=True, help="Print verdicts as JSON.")
def check(tables: str, state: str, as_json: bool) -> None:
    """Validate the candidate updates in the file TABLES.

    Exit codes: 0 passed, 3 split, 4 held, 5 refused, by the worst verdict; 2 if a file is not valid.
    """
    from ..validation.state_file import State, StateFileError, decode_file
    from ..validation.state_file import validate_candidates as validate

    try:
        state_json = Path(state).read_bytes()
        decode_file(state_json, State)
    except (OSError, StateFileError) as error:
        click.echo(f"{state}: {error}", err=True)
        sys.exit(2)
    try:
        verdicts = validate(Path(tables).read_bytes(), state_json)
    except (OSError, StateFileError) as error:
        click.echo(f"{tables}: {error}", err=True)
        sys.exit(2)
    data = [{"proxy": proxy, **verdict.data()} for proxy, verdict in verdicts]
    if as_json:
        click.echo(json.dumps(data, indent=1))
    else:
        for proxy, verdict in verdicts:
            for line in verdict.lines():
                click.echo(f"{proxy}: {line}")
    sys.exit(max((entry["exit_code"] for entry in data), default=0))

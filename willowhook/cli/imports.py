"""`willowhook import`: what others' configurations say."""

from __future__ import annotations

import sys

import click

from .commands import main


@main.group("import")
def import_() -> None:
    """Read other programs' configurations."""


@import_.command()
@click.argument("path", type=click.Path())
@click.option("--explain", "uri", default="", help="The URI of a call: what it meets.")
@click.option("--host", default="", help="The server's name that it asks for.")
@click.option("--method", default="GET", show_default=True)
@click.option("--mutating", multiple=True, help="A path whose calls must not have their effect twice.")
@click.option("--json", "as_json", is_flag=True, help="Verdicts as JSON, an object a line.")
def nginx(path: str, uri: str, host: str, method: str, mutating: tuple[str, ...], as_json: bool) -> None:
    """What becomes of each directive at PATH; or, with --explain, what one call meets.

    Exit codes: 0, 1 if something is refused, 2 if it cannot be read.
    """
    import json

    from ..nginx.explain import Setup
    from ..nginx.syntax import Loader, SyntaxFault
    from ..nginx.verdicts import REFUSED, verdicts

    try:
        if uri:
            for line in Setup(path).explain(uri, host, method).lines():
                click.echo(line)
            return
        rows = verdicts(Loader().load(path), mutating)
    except SyntaxFault as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    for row in rows:
        told = {"place": str(row.place), "directive": row.directive, "verdict": row.what, "why": row.why}
        click.echo(json.dumps(told) if as_json else row.line())
    sys.exit(1 if any(row.what == REFUSED for row in rows) else 0)

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
@click.option("--explain", "uri", required=True, help="The URI of a call.")
@click.option("--host", default="", help="The server's name that it asks for.")
@click.option("--method", default="GET", show_default=True)
def nginx(path: str, uri: str, host: str, method: str) -> None:
    """Which location, upstream, hosts and tries a call meets by the configuration at PATH."""
    from ..nginx.explain import Setup
    from ..nginx.syntax import SyntaxFault

    try:
        lines = Setup(path).explain(uri, host, method).lines()
    except SyntaxFault as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    for line in lines:
        click.echo(line)

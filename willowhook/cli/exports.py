"""`willowhook export`: tables in others' forms."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from .commands import main


@main.group("export")
def export_() -> None:
    """Write tables for proxies that read another form."""


@export_.command()
@click.argument("group", type=click.Path())
@click.option("--out", required=True, type=click.Path(), help="A folder; its `current` is replaced whole.")
@click.option("--follow", is_flag=True, help="Go on: each change of GROUP is swapped in, until SIGTERM.")
@click.option("--watch", type=click.Choice(["inotify", "poll"]), default="inotify", show_default=True)
def nginx(group: str, out: str, follow: bool, watch: str) -> None:
    """The tables of a proxy's GROUP (a director's `down/PROXY`, or an import's `tables`) as upstream and
    location blocks: OUT/current/upstreams.conf for the http block, OUT/current/locations.conf for a server's.

    Exit codes: 0, 1 if something cannot be said (it is told), 2 if GROUP cannot be read.
    """
    from ..files.swap import FileGroupWriter, read_group
    from ..nginx.export import export
    from ..xds.codec import MessageFormatError

    shelf = FileGroupWriter(out)
    try:
        Path(out).parent.mkdir(parents=True, exist_ok=True)
        if follow:
            _follow(group, shelf, watch)
            return
        made = export(read_group(group)[1])
        shelf.put(made.files)
    except MessageFormatError as fault:
        click.echo(f"{group}: {fault}", err=True)
        sys.exit(2)
    except OSError as fault:
        click.echo(f"{fault.filename or group}: {fault.strerror or fault}", err=True)
        sys.exit(2)
    for line in made.remarks:
        click.echo(f"note: {line}")
    sys.exit(1 if made.remarks else 0)


def _follow(group: str, shelf: object, watch: str) -> None:
    import signal

    import structlog
    import trio

    from ..files.swap import FileGroupWriter
    from ..nginx.follow import Follower

    assert isinstance(shelf, FileGroupWriter)
    follower = Follower(group, shelf, structlog.get_logger(), watch)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    nursery.cancel_scope.cancel()

    trio.run(run)

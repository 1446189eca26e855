"""`willowhook export`: writes tables in the configuration format of other proxies."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from .commands import main


@main.group("export")
def export_() -> None:
    """Export tables for proxies that read another format."""


@export_.command()
@click.argument("group", type=click.Path())
@click.option(
    "--out", required=True, type=click.Path(), help="Output folder; its `current` is replaced atomically."
)
@click.option("--follow", is_flag=True, help="Keep running and export each change of GROUP until SIGTERM.")
@click.option("--watch", type=click.Choice(["inotify", "poll"]), default="inotify", show_default=True)
def nginx(group: str, out: str, follow: bool, watch: str) -> None:
    """Export the tables in GROUP, a proxy's folder of files, as nginx upstream and location blocks.

    GROUP is the `down/PROXY` of a controller's folder, or the `tables` of an import.
    OUT/current/upstreams.conf is for the http block, OUT/current/locations.conf for a server block.

    Exit codes: 0 success, 1 if something cannot be expressed (see the notes), 2 if GROUP cannot be read.
    """
    from ..files.swap import FileGroupWriter, read_group
    from ..nginx.export import export
    from ..xds.codec import MessageFormatError

    writer = FileGroupWriter(out)
    try:
        Path(out).parent.mkdir(parents=True, exist_ok=True)
        if follow:
            _follow(group, writer, watch)
            return
        exported = export(read_group(group)[1])
        writer.put(exported.files)
    except MessageFormatError as error:
        click.echo(f"{group}: {error}", err=True)
        sys.exit(2)
    except OSError as error:
        click.echo(f"{error.filename or group}: {error.strerror or error}", err=True)
        sys.exit(2)
    for remark in exported.remarks:
        click.echo(f"note: {remark}")
    sys.exit(1 if exported.remarks else 0)


def _follow(group: str, writer: object, watch: str) -> None:
    import signal

    import structlog
    import trio

    from ..files.swap import FileGroupWriter
    from ..nginx.follow import Follower

    assert isinstance(writer, FileGroupWriter)
    follower = Follower(group, writer, structlog.get_logger(), watch)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    nursery.cancel_scope.cancel()

    trio.run(run)

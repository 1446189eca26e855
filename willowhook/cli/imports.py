"""`willowhook import`: what others' configurations say."""

from __future__ import annotations

import gc
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from .commands import main

if TYPE_CHECKING:
    from ..nginx.plan import ImportPlan
    from ..nginx.verdicts import Diagnostic


@main.group("import")
def import_() -> None:
    """Read other programs' configurations."""


def _keyed(told: tuple[str, ...]) -> tuple[tuple[str, int], ...]:
    found = []
    for each in told:
        path, equals, window = each.rpartition("=")
        if not equals or not window.isdigit() or not path.startswith("/"):
            raise click.BadParameter(f"{each!r} is no PATH=MILLISECONDS", param_hint="--keyed")
        found.append((path, int(window)))
    return tuple(found)


@import_.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path())
@click.option("--out", default="", help="A folder for what is made of it.")
@click.option("--explain", "uri", default="", help="The URI of a call: what it meets.")
@click.option(
    "--diff", "older", default="", type=click.Path(), help="What changes for calls since this file."
)
@click.option("--host", default="", help="The server's name.")
@click.option("--method", default="GET", show_default=True, help="Of the call to explain.")
@click.option("--mutating", multiple=True, help="A path whose calls must not have their effect twice.")
@click.option("--repeatable", multiple=True, help="A path whose calls may run any number of times.")
@click.option("--keyed", multiple=True, help="PATH=MS: hosts drop a repeat of one key within this time.")
@click.option("--slo-ms", type=click.IntRange(1, 3_600_000), default=1000, show_default=True)
@click.option("--proxies", type=click.IntRange(1, 65_000), default=8, show_default=True)
@click.option("--zone", default="here", show_default=True, help="Of all hosts.")
@click.option("--roster", default="http://127.0.0.1:8500", show_default=True, help="Where the list will be.")
@click.option("--json", "as_json", is_flag=True, help="Verdicts as JSON, an object a line.")
def nginx(
    paths: tuple[str, ...], out: str, uri: str, older: str, host: str, method: str,
    mutating: tuple[str, ...], repeatable: tuple[str, ...], keyed: tuple[str, ...], slo_ms: int,
    proxies: int, zone: str, roster: str, as_json: bool,
) -> None:  # fmt: skip
    """What becomes of each directive at PATHS; with --explain what one call meets, with --diff what changes.

    Exit codes: 0, 1 if something is refused or (--diff) changes, 2 if it cannot be read or made.
    """
    from ..config.check import ConfigError
    from ..nginx.diff import diff
    from ..nginx.explain import explain
    from ..nginx.plan import REFUSED, ImportOptions, ImportPlanError
    from ..nginx.setup import NginxConfig
    from ..nginx.syntax import ConfigSyntaxError, Directive, Loader
    from ..nginx.verdicts import diagnose

    for each in (*mutating, *repeatable):
        if not each.startswith("/"):
            raise click.BadParameter(f"{each!r} is no path: it begins with /")
    gc.disable()  # millions of small parts, all of them needed to the end of a short run
    asked = ImportOptions(host, mutating, repeatable, _keyed(keyed), slo_ms, zone)
    try:
        loader, rows = Loader(), list[Directive]()
        for path in paths:
            rows += loader.load(path)
        if uri:
            for line in explain(NginxConfig(rows), uri, host, method).lines():
                click.echo(line)
            return
        if older:
            changes = diff(NginxConfig(Loader().load(older)), NginxConfig(rows), asked)
            for line in changes:
                click.echo(line)
            click.echo(f"{len(changes)} changes for calls")
            sys.exit(1 if changes else 0)
        found, plan = diagnose(rows, asked)
        if out:
            if plan.server_ambiguity():
                raise ImportPlanError(plan.server_ambiguity())
            if not plan.routes:
                causes = [row.report_line() for row in found if row.outcome == REFUSED]
                text = "no route is left: nothing here passes calls to hosts in a way that can be carried"
                raise ImportPlanError("\n".join([*causes, text]))
            _write(Path(out), plan, found, proxies, roster)
    except (ConfigSyntaxError, ImportPlanError) as fault:
        click.echo(str(fault), err=True)
        sys.exit(2)
    except ConfigError as fault:
        for place, cause in fault.errors:
            click.echo(f"what it would make: {place}: {cause}", err=True)
        sys.exit(2)
    except OSError as fault:
        click.echo(f"{fault.filename}: {fault.strerror}", err=True)
        sys.exit(2)
    for row in found:
        click.echo(json.dumps(row.as_dict()) if as_json else row.report_line())
    if not as_json:
        for line in plan.remarks:
            click.echo(f"note: {line}")
    sys.exit(1 if any(row.outcome == REFUSED for row in found) else 0)


def _write(out: Path, plan: ImportPlan, found: list[Diagnostic], proxies: int, roster: str) -> None:
    """All of it, or nothing: it is made before the first file is written."""
    import msgspec

    from ..files.ops import DiskOps
    from ..files.swap import FileGroupWriter, swap_file
    from ..nginx.result import controller_config, endpoint_list, table_files

    terms = controller_config(plan, proxies, str((out / "director").absolute()), roster)
    report = "".join(f"{row.report_line()}\n" for row in found) + "".join(
        f"note: {row}\n" for row in plan.remarks
    )
    files = {
        "director.json": msgspec.json.format(msgspec.json.encode(terms), indent=1),
        "hosts.json": endpoint_list(plan),
        "report.txt": report.encode(),
        "report.json": msgspec.json.format(msgspec.json.encode([row.as_dict() for row in found]), indent=1),
    }
    group = table_files(plan, terms)
    out.mkdir(parents=True, exist_ok=True)
    for name, data in files.items():
        swap_file(DiskOps(), str(out), name, data)
    FileGroupWriter(str(out / "tables")).put(group)

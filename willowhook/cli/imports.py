"""`willowhook import`: converts the configuration of other proxies."""

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
    """Import the configuration of other proxies."""


def _parse_keyed_paths(options: tuple[str, ...]) -> tuple[tuple[str, int], ...]:
    """Parses the values of `--keyed` into paths and deduplication windows in milliseconds."""
    keyed_paths = []
    for option in options:
        path, equals, window = option.rpartition("=")
        if not equals or not window.isdigit() or not path.startswith("/"):
            raise click.BadParameter(f"{option!r} is not PATH=MILLISECONDS", param_hint="--keyed")
        keyed_paths.append((path, int(window)))
    return tuple(keyed_paths)


@import_.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path())
@click.option("--out", default="", help="Output folder.")
@click.option("--explain", "uri", default="", help="Explain how a request for this URI is handled.")
@click.option(
    "--diff",
    "older",
    default="",
    type=click.Path(),
    help="Print what changes for requests since this older file.",
)
@click.option("--host", default="", help="Name of the server block to use.")
@click.option("--method", default="GET", show_default=True, help="Method of the request to explain.")
@click.option("--mutating", multiple=True, help="A path whose requests must take effect at most once.")
@click.option("--repeatable", multiple=True, help="A path whose requests are idempotent.")
@click.option(
    "--keyed", multiple=True, help="PATH=MS: endpoints drop repeated requests of one key within this time."
)
@click.option("--slo-ms", type=click.IntRange(1, 3_600_000), default=1000, show_default=True)
@click.option("--proxies", type=click.IntRange(1, 65_000), default=8, show_default=True)
@click.option("--zone", default="here", show_default=True, help="Zone of all endpoints.")
@click.option(
    "--roster", default="http://127.0.0.1:8500", show_default=True, help="URL of the endpoint list."
)
@click.option("--json", "as_json", is_flag=True, help="Print verdicts as JSON, one object on each line.")
def nginx(
    paths: tuple[str, ...], out: str, uri: str, older: str, host: str, method: str,
    mutating: tuple[str, ...], repeatable: tuple[str, ...], keyed: tuple[str, ...], slo_ms: int,
    proxies: int, zone: str, roster: str, as_json: bool,
) -> None:  # fmt: skip
    """Import the nginx configuration at PATHS and print how each directive is converted.

    With --explain, print how one request is handled; with --diff, what changes for requests.

    Exit codes: 0 success, 1 if a directive is refused or (--diff) something changes, 2 if the configuration
    cannot be read or converted.
    """
    from ..config.check import ConfigError
    from ..nginx.diff import diff
    from ..nginx.explain import explain
    from ..nginx.plan import REFUSED, ImportOptions, ImportPlanError
    from ..nginx.setup import NginxConfig
    from ..nginx.syntax import ConfigSyntaxError, Directive, Loader
    from ..nginx.verdicts import diagnose

    for declared_path in (*mutating, *repeatable):
        if not declared_path.startswith("/"):
            raise click.BadParameter(f"{declared_path!r} is not a path: a path begins with /")
    gc.disable()  # millions of small objects, all of which are needed until the end of a short run
    options = ImportOptions(host, mutating, repeatable, _parse_keyed_paths(keyed), slo_ms, zone)
    try:
        loader, directives = Loader(), list[Directive]()
        for path in paths:
            directives += loader.load(path)
        if uri:
            for line in explain(NginxConfig(directives), uri, host, method).lines():
                click.echo(line)
            return
        if older:
            changes = diff(NginxConfig(Loader().load(older)), NginxConfig(directives), options)
            for change in changes:
                click.echo(change)
            click.echo(f"{len(changes)} changes for requests")
            sys.exit(1 if changes else 0)
        diagnostics, plan = diagnose(directives, options)
        if out:
            if plan.server_ambiguity():
                raise ImportPlanError(plan.server_ambiguity())
            if not plan.routes:
                causes = [
                    diagnostic.report_line() for diagnostic in diagnostics if diagnostic.outcome == REFUSED
                ]
                text = (
                    "no route is left: no location passes requests to endpoints in a way that can be imported"
                )
                raise ImportPlanError("\n".join([*causes, text]))
            _write_output(Path(out), plan, diagnostics, proxies, roster)
    except (ConfigSyntaxError, ImportPlanError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except ConfigError as error:
        for location, cause in error.errors:
            click.echo(f"generated configuration: {location}: {cause}", err=True)
        sys.exit(2)
    except OSError as error:
        click.echo(f"{error.filename}: {error.strerror}", err=True)
        sys.exit(2)
    for diagnostic in diagnostics:
        click.echo(json.dumps(diagnostic.as_dict()) if as_json else diagnostic.report_line())
    if not as_json:
        for remark in plan.remarks:
            click.echo(f"note: {remark}")
    sys.exit(1 if any(diagnostic.outcome == REFUSED for diagnostic in diagnostics) else 0)


def _write_output(
    out: Path, plan: ImportPlan, diagnostics: list[Diagnostic], proxies: int, roster: str
) -> None:
    """Writes the result of an import; all files are generated before the first one is written."""
    import msgspec

    from ..files.ops import DiskOps
    from ..files.swap import FileGroupWriter, swap_file
    from ..nginx.result import controller_config, endpoint_list, table_files

    terms = controller_config(plan, proxies, str((out / "director").absolute()), roster)
    report = "".join(f"{diagnostic.report_line()}\n" for diagnostic in diagnostics) + "".join(
        f"note: {remark}\n" for remark in plan.remarks
    )
    files = {
        "director.json": msgspec.json.format(msgspec.json.encode(terms), indent=1),
        "hosts.json": endpoint_list(plan),
        "report.txt": report.encode(),
        "report.json": msgspec.json.format(
            msgspec.json.encode([diagnostic.as_dict() for diagnostic in diagnostics]), indent=1
        ),
    }
    group = table_files(plan, terms)
    out.mkdir(parents=True, exist_ok=True)
    for name, data in files.items():
        swap_file(DiskOps(), str(out), name, data)
    FileGroupWriter(str(out / "tables")).put(group)

"""What changes for calls from one configuration to another; lines that change nothing are not told of.

Both are asked about the same URIs, made from the patterns of both: each prefix, what is below and beside it,
texts drawn from expressions, the paths that the operator names; each as GET and as POST.
"""

from __future__ import annotations

import re

from .explain import Answer, explain
from .flat import probe_uris
from .plan import ImportOptions
from .setup import NginxConfig

TRIES = re.compile(r", (one try|\d+ tries)")


def _says(answer: Answer) -> str:
    if answer.status:
        return f"answered {answer.status}"
    if answer.why:
        return answer.why.partition(" (")[0] if "location" not in answer.why else "no host"
    hosts = ", ".join(f"{name} {share:.0%}" for name, share in sorted(answer.shares.items()))
    spare = f", backup {', '.join(sorted(answer.backups))}" if answer.backups else ""
    again = f"{answer.tries} tries" if answer.again_after else "one try"
    return f"{hosts}{spare}, as {answer.uri}, {answer.pick}, {again}, {answer.limit_ms} ms"


def diff(old: NginxConfig, new: NginxConfig, asked: ImportOptions) -> list[str]:
    """A line a change: which calls, what they met, what they will meet; calls that change alike share one."""
    names = dict.fromkeys([asked.server_name] if asked.server_name else [
        name for setup in (old, new) for site in setup.server_blocks for name in site.names or [""]
        if not name.startswith("~")
    ])  # fmt: skip
    found: list[str] = []
    for name in names or [""]:
        host = name.replace("*", "any").lstrip(".")
        asks: dict[str, None] = {}
        for setup in (old, new):
            site = setup.find_server_block(host)
            if site is not None:
                asks.update(dict.fromkeys(probe_uris(site, asked.declared_paths())))
        alike: dict[tuple[str, str, str], list[str]] = {}
        for uri in asks:
            by_get = None
            for method in ("GET", "POST"):
                was, will = explain(old, uri, host, method), explain(new, uri, host, method)
                if was.comes_to() == will.comes_to():
                    continue
                told = (_says(was).replace(uri, "URI"), _says(will).replace(uri, "URI"))
                bare = (TRIES.sub("", told[0]), TRIES.sub("", told[1]))
                if method == "GET":
                    by_get = bare
                elif bare == by_get and (was.tries == will.tries or not (was.shares and will.shares)):
                    continue  # the same change as by GET
                alike.setdefault((method, *told), []).append(uri)
        for (method, before, after), rows in alike.items():
            more = f" and {len(rows) - 1} like it" if len(rows) > 1 else ""
            at = f"{name}: " if len(names) > 1 else ""
            calls = f"{rows[0]}{more}" if method == "GET" else f"{rows[0]} by POST{more}"
            found.append(f"{at}{calls}: {before} -> {after}")
    return found

"""Compares two configurations by what requests meet; edits without an effect on requests are not reported.

Both are evaluated for the same URIs, made from the patterns of both: each prefix, paths below and beside it,
texts that match the regexes, the paths that the operator declares; each with GET and with POST.
"""

from __future__ import annotations

import re

from .explain import Explanation, explain
from .flat import probe_uris
from .plan import ImportOptions
from .setup import NginxConfig

ATTEMPTS_TEXT = re.compile(r", (one try|\d+ tries)")


def _describe(result: Explanation) -> str:
    if result.status:
        return f"answered {result.status}"
    if result.no_upstream_reason:
        return (
            result.no_upstream_reason.partition(" (")[0]
            if "location" not in result.no_upstream_reason
            else "no host"
        )
    endpoints = ", ".join(f"{name} {share:.0%}" for name, share in sorted(result.shares.items()))
    backups = f", backup {', '.join(sorted(result.backups))}" if result.backups else ""
    attempts = f"{result.max_attempts} tries" if result.retry_conditions else "one try"
    return (
        f"{endpoints}{backups}, as {result.uri}, {result.load_balancing}, {attempts}, {result.timeout_ms} ms"
    )


def diff(old: NginxConfig, new: NginxConfig, options: ImportOptions) -> list[str]:
    """One line for each change: the requests, the old result and the new one.

    Requests that change in the same way share a line.
    """
    names = dict.fromkeys([options.server_name] if options.server_name else [
        name for config in (old, new) for server_block in config.server_blocks
        for name in server_block.names or [""]
        if not name.startswith("~")
    ])  # fmt: skip
    lines: list[str] = []
    for name in names or [""]:
        host_name = name.replace("*", "any").lstrip(".")
        probed: dict[str, None] = {}
        for config in (old, new):
            server_block = config.find_server_block(host_name)
            if server_block is not None:
                probed.update(dict.fromkeys(probe_uris(server_block, options.declared_paths())))
        changes: dict[tuple[str, str, str], list[str]] = {}
        for uri in probed:
            get_change = None
            for method in ("GET", "POST"):
                old_result, new_result = (
                    explain(old, uri, host_name, method),
                    explain(new, uri, host_name, method),
                )
                if old_result.observable_outcome() == new_result.observable_outcome():
                    continue
                described = (
                    _describe(old_result).replace(uri, "URI"),
                    _describe(new_result).replace(uri, "URI"),
                )
                without_attempts = (ATTEMPTS_TEXT.sub("", described[0]), ATTEMPTS_TEXT.sub("", described[1]))
                if method == "GET":
                    get_change = without_attempts
                elif without_attempts == get_change and (
                    old_result.max_attempts == new_result.max_attempts
                    or not (old_result.shares and new_result.shares)
                ):
                    continue  # the same change as for GET
                changes.setdefault((method, *described), []).append(uri)
        for (method, before, after), uris in changes.items():
            others = f" and {len(uris) - 1} like it" if len(uris) > 1 else ""
            prefix = f"{name}: " if len(names) > 1 else ""
            requests = f"{uris[0]}{others}" if method == "GET" else f"{uris[0]} by POST{others}"
            lines.append(f"{prefix}{requests}: {before} -> {after}")
    return lines

"""Reads a configuration: its shape, unknown keys with the nearest known, values against each other."""

from __future__ import annotations

import difflib
import json
import re
from collections.abc import Iterator
from typing import Any

import msgspec

from .terms import PathTerms, RouteTerms, Terms

WORST = 4  # a channel is slower than it should be by this at times; a withdrawal must still fit the grace


class ConfigError(Exception):
    """What is wrong with a configuration; `faults` are `(place, cause)`, in order."""

    def __init__(self, errors: list[tuple[str, str]]) -> None:
        super().__init__("; ".join(f"{place}: {cause}" for place, cause in errors))
        self.errors = errors


def parse_config(data: bytes) -> Terms:
    """A whole configuration; raises TermsError with all that is wrong, not only the first."""
    try:
        top = json.loads(data, object_pairs_hook=_once)
    except (ValueError, RecursionError) as fault:
        raise ConfigError([("$", f"not JSON: {fault}")]) from fault
    faults = list(_unknown(top, msgspec.json.schema(Terms), "$"))
    if faults:
        raise ConfigError(faults)
    try:
        terms = msgspec.convert(top, Terms)
    except msgspec.ValidationError as fault:
        cause, _, place = str(fault).partition(" - at `")
        raise ConfigError([(place.rstrip("`") or "$", cause)]) from fault
    faults = list(_against_each_other(terms))
    if faults:
        raise ConfigError(faults)
    return terms


def schema() -> dict[str, Any]:
    """The published JSON Schema of a configuration."""
    return msgspec.json.schema(Terms)


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made = dict(pairs)
    if len(made) < len(pairs):
        names = [name for name, _ in pairs]
        raise ValueError(f"key {next(n for n in names if names.count(n) > 1)!r} stands twice")
    return made


def _unknown(value: Any, shape: dict[str, Any], place: str) -> Any:
    """Unknown keys anywhere, told with the nearest that is known."""
    root = msgspec.json.schema(Terms)["$defs"]

    def walk(value: Any, shape: dict[str, Any], place: str) -> Any:
        if "$ref" in shape:
            shape = root[shape["$ref"].rsplit("/", 1)[1]]
        if isinstance(value, dict) and "properties" in shape:
            known = shape["properties"]
            for key, inner in value.items():
                if key in known:
                    yield from walk(inner, known[key], f"{place}.{key}")
                else:
                    near = difflib.get_close_matches(key, known, 1, 0.4)
                    yield f"{place}.{key}", "unknown key" + (f"; is {near[0]!r} meant?" if near else "")
            for key in shape.get("required", ()):
                if key not in value:
                    yield f"{place}.{key}", "missing"
        elif isinstance(value, list) and "items" in shape:
            for at, inner in enumerate(value):
                yield from walk(inner, shape["items"], f"{place}[{at}]")

    yield from walk(value, shape, place)


def _paths(terms: Terms) -> Iterator[tuple[str, str]]:
    """Every path is one that calls can have, and stands once."""
    seen = dict[tuple[str, str], str]()
    rows: list[tuple[str, str, PathTerms | RouteTerms]] = []
    for at, route in enumerate(terms.routes):
        rows.append((f"$.routes[{at}]", route.name, route))
        rows += [(f"$.routes[{at}].more[{k}]", route.name, row) for k, row in enumerate(route.more)]
    rows += [(f"$.closed[{at}]", "closed", row) for at, row in enumerate(terms.closed)]
    for place, name, row in rows:
        path = row.path.rstrip("/") or "/" if row.match == "below" else row.path
        if row.match == "regex":
            try:
                re.compile(path)
            except re.error as fault:
                yield f"{place}.path", f"no expression: {fault}"
            if row.rewrite:
                yield f"{place}.rewrite", "an expression has no prefix to rewrite"
        elif not path.startswith("/"):
            yield f"{place}.path", f"{path!r} does not begin with /"
        if (row.match, path) in seen:
            yield f"{place}.path", f"is that of {seen[row.match, path]!r} too"
        seen[row.match, path] = name


def _against_each_other(terms: Terms) -> Any:
    channel, rules, fleet, files = terms.channel, terms.rules, terms.fleet, terms.files
    if terms.zone not in terms.zones:
        yield "$.zone", f"{terms.zone!r} is not among the zones {', '.join(terms.zones)}"
    if len(set(terms.zones)) < len(terms.zones):
        yield "$.zones", "a zone stands twice"
    if terms.rank >= terms.directors:
        yield "$.rank", f"{terms.rank} of {terms.directors} directors, which count from 0"
    names = set[str]()
    yield from _paths(terms)
    for at, route in enumerate(terms.routes):
        place = f"$.routes[{at}]"
        if route.name in names:
            yield f"{place}.name", f"{route.name!r} stands twice"
        names.add(route.name)
        if route.slo_time_ms > route.time_limit_ms:
            yield (
                f"{place}.slo_time_ms",
                f"{route.slo_time_ms:g} is over the time limit, {route.time_limit_ms:g}",
            )
        if route.semantics == "keyed" and not (route.group and route.window_ms):
            yield f"{place}.semantics", "a keyed route needs its group and its window_ms"
        if route.semantics != "keyed" and (route.group or route.window_ms):
            yield f"{place}.group", f"only a keyed route has one, and a window; this one is {route.semantics}"
        for zone in route.zones:
            if zone not in terms.zones:
                yield f"{place}.zones", f"{zone!r} is not among the zones"
    if channel.late_ms > channel.late_most_ms:
        yield (
            "$.channel.late_most_ms",
            f"{channel.late_most_ms:g} is under the mean, late_ms {channel.late_ms:g}",
        )
    # one withdrawal for every proxy: its line, its mark and its head
    round_lines = fleet.proxies * (channel.head_lines + 2)
    if round_lines > channel.most_waiting_lines:
        yield (
            "$.channel.most_waiting_lines",
            f"one withdrawal takes {fleet.proxies} proxies x {channel.head_lines + 2} lines = {round_lines},"
            f" more than the {channel.most_waiting_lines:g} that may wait",
        )
    needed = round_lines / channel.lines_per_s * 1000 + channel.late_most_ms
    if needed > rules.drain_grace_ms:
        yield (
            "$.rules.drain_grace_ms",
            f"one withdrawal takes {round_lines} lines at {channel.lines_per_s:g} a second and up to"
            f" {channel.late_most_ms:g} ms to arrive: {needed:.0f} ms; the grace is {rules.drain_grace_ms:g}",
        )
    if rules.cold_ms and rules.start_capacity * rules.fall_multiple <= 1 / WORST:
        yield "$.rules.fall_multiple", "a new host would fall over at a quarter of its usual work"
    if files.proxy_lost_after_ms < 2 * fleet.report_every_ms:
        yield (
            "$.files.proxy_lost_after_ms",
            f"{files.proxy_lost_after_ms:g} is under two reports of {fleet.report_every_ms:g} ms: one late"
            " report would be taken for a lost proxy",
        )
    if fleet.reports_per_s * 60 < fleet.proxies:
        yield "$.fleet.reports_per_s", f"{fleet.proxies} proxies could report less than once a minute"
    front = terms.front
    if front.listen:
        address = front.listen.rpartition(":")[0]
        if front.identity == "none" and address != "localhost" and not address.startswith("127."):
            yield "$.front.identity", f"'none' is for loopback alone, and {address} is not"
        if front.identity == "bearer" and not front.credentials:
            yield "$.front.credentials", "missing: the file of the proxies' tokens"
        if front.idle_ms < 2 * fleet.report_every_ms:
            yield (
                "$.front.idle_ms",
                f"{front.idle_ms:g} is under two reports of {fleet.report_every_ms:g} ms: each would need a"
                " connection of its own",
            )
        if front.connections_most < 4 * fleet.proxies / terms.directors:
            yield (
                "$.front.connections_most",
                f"{fleet.proxies} proxies of {terms.directors} directors make four each, more than"
                f" {front.connections_most}",
            )
    if fleet.load_reports == "probe" and not fleet.probe_path:
        yield "$.fleet.probe_path", "load is told to probes only, and there is no path to probe"

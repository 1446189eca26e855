"""Parses and validates a configuration: structure, unknown keys and contradicting values."""

from __future__ import annotations

import difflib
import json
import re
from collections.abc import Iterator
from typing import Any

import msgspec

from .terms import PathTerms, RouteTerms, Terms

# The overload limit of a new endpoint, `start_capacity` x `fall_multiple` of its usual load, must exceed
# the usual load divided by this.
START_LOAD_DIVISOR = 4


class ConfigError(Exception):
    """A configuration is invalid.

    Attributes:
        errors: all errors as `(place, cause)`, in the order in which they were found.
    """

    def __init__(self, errors: list[tuple[str, str]]) -> None:
        super().__init__("; ".join(f"{place}: {cause}" for place, cause in errors))
        self.errors = errors


def parse_config(data: bytes) -> Terms:
    """Parses a complete configuration. Raises ConfigError with all errors, not only the first."""
    try:
        document = json.loads(data, object_pairs_hook=_reject_duplicate_keys)
    except (ValueError, RecursionError) as error:
        raise ConfigError([("$", f"not JSON: {error}")]) from error
    errors = list(_key_errors(document, msgspec.json.schema(Terms), "$"))
    if errors:
        raise ConfigError(errors)
    try:
        config = msgspec.convert(document, Terms)
    except msgspec.ValidationError as error:
        cause, _, place = str(error).partition(" - at `")
        raise ConfigError([(place.rstrip("`") or "$", cause)]) from error
    errors = list(_cross_field_errors(config))
    if errors:
        raise ConfigError(errors)
    return config


def schema() -> dict[str, Any]:
    """Returns the JSON Schema of a configuration, as it is published."""
    return msgspec.json.schema(Terms)


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    mapping = dict(pairs)
    if len(mapping) < len(pairs):
        keys = [key for key, _ in pairs]
        raise ValueError(f"key {next(name for name in keys if keys.count(name) > 1)!r} occurs more than once")
    return mapping


def _key_errors(value: Any, value_schema: dict[str, Any], place: str) -> Any:
    """Yields unknown keys at any depth, each with the most similar known key, and missing keys."""
    definitions = msgspec.json.schema(Terms)["$defs"]

    def walk(value: Any, value_schema: dict[str, Any], place: str) -> Any:
        if "$ref" in value_schema:
            value_schema = definitions[value_schema["$ref"].rsplit("/", 1)[1]]
        if isinstance(value, dict) and "properties" in value_schema:
            known = value_schema["properties"]
            for key, inner in value.items():
                if key in known:
                    yield from walk(inner, known[key], f"{place}.{key}")
                else:
                    similar = difflib.get_close_matches(key, known, 1, 0.4)
                    yield f"{place}.{key}", "unknown key" + (f"; is {similar[0]!r} meant?" if similar else "")
            for key in value_schema.get("required", ()):
                if key not in value:
                    yield f"{place}.{key}", "missing"
        elif isinstance(value, list) and "items" in value_schema:
            for index, inner in enumerate(value):
                yield from walk(inner, value_schema["items"], f"{place}[{index}]")

    yield from walk(value, value_schema, place)


def _path_errors(config: Terms) -> Iterator[tuple[str, str]]:
    """Yields paths that no request can have and paths that occur more than once."""
    route_by_path = dict[tuple[str, str], str]()
    paths: list[tuple[str, str, PathTerms | RouteTerms]] = []
    for index, route in enumerate(config.routes):
        paths.append((f"$.routes[{index}]", route.name, route))
        paths += [
            (f"$.routes[{index}].more[{position}]", route.name, entry)
            for position, entry in enumerate(route.more)
        ]
    paths += [(f"$.closed[{index}]", "closed", entry) for index, entry in enumerate(config.closed)]
    for place, name, entry in paths:
        normalized = entry.path.rstrip("/") or "/" if entry.match == "below" else entry.path
        if entry.match == "regex":
            try:
                re.compile(normalized)
            except re.error as error:
                yield f"{place}.path", f"invalid regular expression: {error}"
            if entry.rewrite:
                yield f"{place}.rewrite", "a regular expression has no prefix to rewrite"
        elif not normalized.startswith("/"):
            yield f"{place}.path", f"{normalized!r} does not begin with /"
        if (entry.match, normalized) in route_by_path:
            yield f"{place}.path", f"is already used by {route_by_path[entry.match, normalized]!r}"
        route_by_path[entry.match, normalized] = name


def _cross_field_errors(config: Terms) -> Any:
    """Yields values that contradict other values."""
    channel, rules, fleet, files = config.channel, config.rules, config.fleet, config.files
    if config.zone not in config.zones:
        yield "$.zone", f"{config.zone!r} is not among the zones {', '.join(config.zones)}"
    if len(set(config.zones)) < len(config.zones):
        yield "$.zones", "a zone is listed more than once"
    if config.rank >= config.directors:
        yield "$.rank", f"{config.rank} of {config.directors} controllers, which are numbered from 0"
    names = set[str]()
    yield from _path_errors(config)
    for index, route in enumerate(config.routes):
        place = f"$.routes[{index}]"
        if route.name in names:
            yield f"{place}.name", f"{route.name!r} is used by another route"
        names.add(route.name)
        if route.slo_time_ms > route.time_limit_ms:
            yield (
                f"{place}.slo_time_ms",
                f"{route.slo_time_ms:g} is above the time limit, {route.time_limit_ms:g}",
            )
        if route.semantics == "keyed" and not (route.group and route.window_ms):
            yield f"{place}.semantics", "a keyed route needs its group and its window_ms"
        if route.semantics != "keyed" and (route.group or route.window_ms):
            yield (
                f"{place}.group",
                f"only a keyed route has a group and a window; this one is {route.semantics}",
            )
        for zone in route.zones:
            if zone not in config.zones:
                yield f"{place}.zones", f"{zone!r} is not among the zones"
    if channel.late_ms > channel.late_most_ms:
        yield (
            "$.channel.late_most_ms",
            f"{channel.late_most_ms:g} is below the mean, late_ms {channel.late_ms:g}",
        )
    # Excluding an endpoint takes, for each proxy, a table entry, a sync marker and the message overhead.
    entry_count = fleet.proxies * (channel.head_lines + 2)
    if entry_count > channel.most_waiting_lines:
        yield (
            "$.channel.most_waiting_lines",
            f"one exclusion takes {fleet.proxies} proxies x {channel.head_lines + 2} entries = {entry_count},"
            f" more than the queue limit of {channel.most_waiting_lines:g}",
        )
    needed_ms = entry_count / channel.lines_per_s * 1000 + channel.late_most_ms
    if needed_ms > rules.drain_grace_ms:
        yield (
            "$.rules.drain_grace_ms",
            f"one exclusion takes {entry_count} entries at {channel.lines_per_s:g} per second and up to"
            f" {channel.late_most_ms:g} ms to arrive: {needed_ms:.0f} ms;"
            f" the drain grace is {rules.drain_grace_ms:g}",
        )
    if rules.cold_ms and rules.start_capacity * rules.fall_multiple <= 1 / START_LOAD_DIVISOR:
        yield "$.rules.fall_multiple", "a new endpoint would be overloaded by a quarter of its usual load"
    if files.proxy_lost_after_ms < 2 * fleet.report_every_ms:
        yield (
            "$.files.proxy_lost_after_ms",
            f"{files.proxy_lost_after_ms:g} is below two report intervals of {fleet.report_every_ms:g} ms:"
            " one late report would count as a lost proxy",
        )
    if fleet.reports_per_s * 60 < fleet.proxies:
        yield "$.fleet.reports_per_s", f"{fleet.proxies} proxies could report less than once per minute"
    front = config.front
    if front.listen:
        address = front.listen.rpartition(":")[0]
        if front.identity == "none" and address != "localhost" and not address.startswith("127."):
            yield "$.front.identity", f"'none' is allowed on loopback only, and {address} is not"
        if front.identity == "bearer" and not front.credentials:
            yield "$.front.credentials", "missing: the file of the proxies' tokens"
        if front.idle_ms < 2 * fleet.report_every_ms:
            yield (
                "$.front.idle_ms",
                f"{front.idle_ms:g} is below two report intervals of {fleet.report_every_ms:g} ms:"
                " each report would need a connection of its own",
            )
        if front.connections_most < 4 * fleet.proxies / config.directors:
            yield (
                "$.front.connections_most",
                f"{fleet.proxies} proxies of {config.directors} controllers open four connections each,"
                f" more than {front.connections_most}",
            )
    if fleet.load_reports == "probe" and not fleet.probe_path:
        yield "$.fleet.probe_path", "load is read by health checks only, and there is no path for them"

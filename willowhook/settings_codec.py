"""Decodes the settings document of a deployment. No other module uses the keys of the document.

The simulator's adapter receives the document in its first message; the platform server reads it from its
configuration. Times are converted from seconds to ticks. A missing key gets its documented default, and
unknown keys are ignored.
"""

from __future__ import annotations

import json

from .decisions.runtime import RetryMode
from .decisions.settings import (
    AdmissionUnit,
    ChannelSettings,
    DeploymentSettings,
    FleetSettings,
    LoadSource,
    RequestSemantics,
    Route,
    RuleSettings,
)
from .settings_fields import (
    Document,
    SettingsError,
    check_object,
    read_boolean,
    read_booleans,
    read_integer,
    read_number,
    read_object,
    read_objects,
    read_positive_number,
    read_positive_ticks,
    read_string,
    read_strings,
    read_ticks,
)
from .ticks import TICKS_PER_SECOND, ticks_from_seconds

__all__ = [
    "SettingsError",
    "admission_unit",
    "decode_settings",
    "load_source",
    "parse_settings",
    "retry_mode",
]

CAPACITY_WEIGHTS = frozenset({"nominal", "rough"})
ADMISSION_UNITS = {"ratio": AdmissionUnit.FRACTION, "rps": AdmissionUnit.REQUESTS_PER_SECOND}
SEMANTICS = {semantics.value: semantics for semantics in RequestSemantics}
RETRY_CODES = frozenset(RetryMode)
LOAD_SOURCES = {"probe": LoadSource.HEALTH_CHECKS, "none": LoadSource.NONE}

DEFAULT_CAP_WINDOW_S = 10
DEFAULT_OVERLOAD_FACTOR = 1.0


def parse_settings(text: str) -> DeploymentSettings:
    """Parses the JSON text of a settings document. Raises SettingsError."""
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"invalid JSON: {error}") from error
    return decode_settings(document)


def decode_settings(document: Document) -> DeploymentSettings:
    """Decodes a parsed settings document. Raises SettingsError."""
    return _decode(check_object("settings", document))


def load_source(word: str) -> LoadSource:
    """Returns the load source with this name in settings or a configuration; RESPONSES if unknown."""
    return LOAD_SOURCES.get(word, LoadSource.RESPONSES)


def retry_mode(code: int) -> RetryMode:
    """Returns the retry mode with this code; unknown codes allow no retry."""
    return RetryMode(code) if code in RETRY_CODES else RetryMode.NEVER


def admission_unit(word: str) -> AdmissionUnit:
    """Returns the admission unit with this name in settings or a configuration; NONE if unknown."""
    return ADMISSION_UNITS.get(word, AdmissionUnit.NONE)


def _decode(document: Document) -> DeploymentSettings:
    extra = read_object(document, "extra")
    _check_unused_settings(document, extra)
    routes = read_objects(document, "request-classes")
    same_zone_flags = read_booleans(extra, "class-own-zone")
    return DeploymentSettings(
        local_zone=str(document.get("locality", "")),
        zones=read_strings(document, "zones"),
        list_on_request=document.get("discovery") == "subscribe",
        health_checks=read_boolean(read_object(document, "allowed"), "probes"),
        lists_capacity=str(document.get("weights", "none")) in CAPACITY_WEIGHTS,
        routes=tuple(
            _decode_route(route, any(same_zone_flags[index : index + 1]))
            for index, route in enumerate(routes)
        ),
        channel=_decode_channel(extra),
        rules=_decode_rules(read_object(document, "contract"), extra),
        fleet=_decode_fleet(document, extra),
    )


def _decode_route(route: Document, same_zone_only: bool) -> Route:
    return Route(
        name=read_string(route, "name"),
        latency_objective_ticks=read_positive_ticks(route, "aim"),
        deadline_ticks=read_positive_ticks(route, "deadline"),
        priority_weight=read_number(route, "points", 1.0),
        semantics=SEMANTICS.get(str(route.get("semantics")), RequestSemantics.AT_MOST_ONCE),
        same_zone_only=same_zone_only,
        allowed_zones=read_strings(route, "only-zones"),
        allowed_classes=read_strings(route, "only-kinds"),
    )


def _decode_channel(extra: Document) -> ChannelSettings:
    typical_delay_ticks = read_ticks(extra, "late", 0)
    window_ticks = read_ticks(extra, "messages-over", 0)
    return ChannelSettings(
        entries_per_second=read_positive_number(extra, "egress-per-s"),
        message_overhead_entries=read_number(extra, "per-message", 0),
        queue_limit_entries=read_positive_number(extra, "most-waiting"),
        typical_delay_ticks=typical_delay_ticks,
        max_delay_ticks=read_ticks(extra, "late-most", 0) or typical_delay_ticks,
        message_cap=read_integer(extra, "update-cap", 0),
        message_cap_window_ticks=window_ticks or ticks_from_seconds(DEFAULT_CAP_WINDOW_S),
        entry_price=read_number(extra, "push-price", 0),
    )


def _decode_rules(contract: Document, extra: Document) -> RuleSettings:
    return RuleSettings(
        empty_table_grace_ticks=read_ticks(extra, "empty-for"),
        drain_grace_ticks=read_ticks(contract, "drain-grace"),
        discovery_poll_ticks=read_ticks(contract, "ask-every", 0),
        slow_start_fraction=read_number(contract, "start-capacity", 0),
        slow_start_ticks=read_ticks(contract, "cold", 0),
        recovery_overload_factor=read_number(contract, "fall-multiple", 0) or DEFAULT_OVERLOAD_FACTOR,
    )


def _decode_fleet(document: Document, extra: Document) -> FleetSettings:
    return FleetSettings(
        proxy_count=read_integer(extra, "proxies", 0) or 1,
        avoidance_failures=read_integer(extra, "strikes", 0),
        bootstrap_table_size=read_integer(extra, "default-size", 0),
        admission_unit=admission_unit(str(extra.get("admit", "none"))),
        default_retries=retry_mode(read_integer(extra, "retry-default", 0)),
        report_interval_ticks=read_ticks(extra, "period", 0) or TICKS_PER_SECOND,
        cross_zone_price=read_number(read_object(document, "deductions"), "cross-zone", 0),
        load_source=load_source(str(read_object(document, "load-info").get("how", "none"))),
    )


def _check_unused_settings(document: Document, extra: Document) -> None:
    """Validates settings that are not used yet, so that a malformed document is always rejected."""
    for key in ("partitions-n", "try-factor", "reports-per-s", "settle"):
        read_number(extra, key, 0)
    read_number(read_object(document, "contract"), "fall", 0)
    read_strings(read_object(document, "load-info"), "fields")
    read_integer(document, "rank", 0)
    read_integer(document, "balancers", 1)
    for route in read_objects(document, "request-classes"):
        read_number(route, "late-worth", 0)
        read_number(route, "window", 0)

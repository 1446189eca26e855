"""Reads the settings document of a deployment: the one place that knows its keys.

The simulator's adapter gets the document in its first message, the platform server finds it in its
configuration. Times are seconds there and ticks here. A missing key takes its documented meaning, an unknown
one is left alone.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any

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
from .errors import WillowhookError
from .ticks import ticks_from_seconds

CAPACITY_WEIGHTS = frozenset({"nominal", "rough"})
ADMISSION_UNITS = {"ratio": AdmissionUnit.FRACTION, "rps": AdmissionUnit.REQUESTS_PER_SECOND}
SEMANTICS = {semantics.value: semantics for semantics in RequestSemantics}
RETRY_CODES = frozenset(RetryMode)
LOAD_SOURCES = {"probe": LoadSource.HEALTH_CHECKS, "none": LoadSource.NONE}

Document = Mapping[str, Any]  # a JSON object as it was decoded


class SettingsError(WillowhookError):
    """The settings document is of no use; the message names the key or the value."""


def parse_settings(text: str) -> DeploymentSettings:
    """Reads the settings document from its JSON text. Raises SettingsError."""
    try:
        document = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"no JSON: {error}") from error
    return decode_settings(document)


def decode_settings(document: Document) -> DeploymentSettings:
    """Reads the decoded settings document. Raises SettingsError."""
    try:
        return _decode(document)
    except KeyError as error:
        raise SettingsError(f"{error.args[0]} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(str(error)) from error


def load_source(word: str) -> LoadSource:
    """The load source that a settings document or a configuration names."""
    return LOAD_SOURCES.get(word, LoadSource.RESPONSES)


def retry_mode(code: int) -> RetryMode:
    """The retry mode with this code; an unknown one allows no retry."""
    return RetryMode(code) if code in RETRY_CODES else RetryMode.NEVER


def admission_unit(word: str) -> AdmissionUnit:
    """The admission unit that a settings document or a configuration names."""
    return ADMISSION_UNITS.get(word, AdmissionUnit.NONE)


def _decode(document: Document) -> DeploymentSettings:
    extra = document.get("extra", {})
    _check_unread_settings(document, extra)
    return DeploymentSettings(
        local_zone=str(document.get("locality", "")),
        zones=tuple(document.get("zones", ())),
        list_on_request=document.get("discovery") == "subscribe",
        health_checks=bool(document.get("allowed", {}).get("probes", False)),
        lists_capacity=str(document.get("weights", "none")) in CAPACITY_WEIGHTS,
        routes=tuple(_decode_route(row, k, extra) for k, row in enumerate(document["request-classes"])),
        channel=_decode_channel(extra),
        rules=_decode_rules(document.get("contract", {}), extra),
        fleet=_decode_fleet(document, extra),
    )


def _decode_route(row: Document, index: int, extra: Document) -> Route:
    same_zone_flags: Sequence[Any] = extra.get("class-own-zone") or ()
    return Route(
        name=str(row["name"]),
        latency_objective_ticks=ticks_from_seconds(row["aim"]),
        deadline_ticks=ticks_from_seconds(row["deadline"]),
        priority_weight=float(row.get("points", 1.0)),
        semantics=SEMANTICS.get(str(row.get("semantics")), RequestSemantics.AT_MOST_ONCE),
        same_zone_only=index < len(same_zone_flags) and bool(same_zone_flags[index]),
        allowed_zones=tuple(row.get("only-zones") or ()),
        allowed_classes=tuple(row.get("only-kinds") or ()),
    )


def _decode_channel(extra: Document) -> ChannelSettings:
    return ChannelSettings(
        entries_per_second=float(extra["egress-per-s"]),
        message_overhead_entries=float(extra.get("per-message", 0)),
        queue_limit_entries=float(extra["most-waiting"]),
        typical_delay_ticks=ticks_from_seconds(extra.get("late") or 0),
        max_delay_ticks=ticks_from_seconds(extra.get("late-most") or extra.get("late") or 0),
        message_cap=int(extra.get("update-cap") or 0),
        message_cap_window_ticks=ticks_from_seconds(extra.get("messages-over") or 10),
        entry_price=float(extra.get("push-price") or 0),
    )


def _decode_rules(contract: Document, extra: Document) -> RuleSettings:
    return RuleSettings(
        empty_table_grace_ticks=ticks_from_seconds(extra["empty-for"]),
        drain_grace_ticks=ticks_from_seconds(contract["drain-grace"]),
        discovery_poll_ticks=ticks_from_seconds(contract.get("ask-every") or 0),
        slow_start_fraction=float(contract.get("start-capacity") or 0),
        slow_start_ticks=ticks_from_seconds(contract.get("cold") or 0),
        recovery_overload_factor=float(contract.get("fall-multiple") or 1),
    )


def _decode_fleet(document: Document, extra: Document) -> FleetSettings:
    return FleetSettings(
        proxy_count=int(extra.get("proxies") or 1),
        avoidance_failures=int(extra.get("strikes") or 0),
        bootstrap_table_size=int(extra.get("default-size") or 0),
        admission_unit=admission_unit(str(extra.get("admit", "none"))),
        default_retries=retry_mode(int(extra.get("retry-default") or 0)),
        report_interval_ticks=ticks_from_seconds(extra.get("period") or 1),
        cross_zone_price=float(document.get("deductions", {}).get("cross-zone") or 0),
        load_source=load_source(str(document.get("load-info", {}).get("how", "none"))),
    )


def _check_unread_settings(document: Document, extra: Document) -> None:
    """Settings that nothing reads yet must be well formed all the same: a malformed document is refused."""
    int(extra.get("partitions-n") or 0)
    float(extra.get("try-factor") or 0)
    float(extra.get("reports-per-s") or 0)
    ticks_from_seconds(extra.get("settle") or 0)
    ticks_from_seconds(document.get("contract", {}).get("fall") or 0)
    tuple(document.get("load-info", {}).get("fields") or ())
    int(document.get("rank", 0))
    int(document.get("balancers", 1))
    for row in document["request-classes"]:
        float(row.get("late-worth", 0.0))
        ticks_from_seconds(row.get("window") or 0)

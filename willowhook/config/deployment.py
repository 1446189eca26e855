"""Translates the control plane's configuration into a deployment's settings and the order of its paths.

The configuration states times in milliseconds; behind this module they are ticks.
"""

from __future__ import annotations

from typing import NamedTuple

from ..decisions.runtime import RetryMode
from ..decisions.settings import (
    ChannelSettings,
    DeploymentSettings,
    FleetSettings,
    RequestSemantics,
    Route,
    RuleSettings,
)
from ..settings_codec import CAPACITY_WEIGHTS, admission_unit, load_source
from ..ticks import ticks_from_milliseconds
from .terms import ChannelTerms, FleetTerms, PathTerms, RouteTerms, RuleTerms, Terms

SEMANTICS = {  # by their names in the configuration
    "repeatable": RequestSemantics.IDEMPOTENT,
    "keyed": RequestSemantics.DEDUPLICATED,
    "mutating": RequestSemantics.AT_MOST_ONCE,
}


class PathEntry(NamedTuple):
    """A path and the route that it belongs to.

    Attributes:
        route: the index of the route; None: the path is closed.
        config: the configuration of the path; for the route's main path, that of the route itself.
    """

    route: int | None
    config: PathTerms | RouteTerms


def ordered_paths(config: Terms) -> list[PathEntry]:
    """Returns all paths in matching order: by `order`, and of the same order the longest first."""
    paths: list[PathEntry] = []
    for index, route in enumerate(config.routes):
        paths.append(PathEntry(index, route))
        paths += [PathEntry(index, path) for path in route.more]
    paths += [PathEntry(None, path) for path in config.closed]
    return sorted(paths, key=lambda path: (path.config.order, -len(path.config.path)))


def deployment_settings(config: Terms) -> DeploymentSettings:
    """Returns the settings that the decisions use."""
    return DeploymentSettings(
        local_zone=config.zone,
        zones=config.zones,
        list_on_request=config.roster.subscribe,
        health_checks=config.fleet.load_reports == "probe",
        lists_capacity=config.fleet.weights in CAPACITY_WEIGHTS,
        routes=tuple(_route(route) for route in config.routes),
        channel=_channel_settings(config.channel),
        rules=_rule_settings(config.rules),
        fleet=_fleet_settings(config.fleet),
    )


def _route(route: RouteTerms) -> Route:
    return Route(
        name=route.name,
        latency_objective_ticks=ticks_from_milliseconds(route.slo_time_ms),
        deadline_ticks=ticks_from_milliseconds(route.time_limit_ms),
        priority_weight=route.importance,
        semantics=SEMANTICS[route.semantics],
        same_zone_only=route.own_zone,
        allowed_zones=route.zones,
        allowed_classes=route.kinds,
    )


def _channel_settings(channel: ChannelTerms) -> ChannelSettings:
    return ChannelSettings(
        entries_per_second=channel.lines_per_s,
        message_overhead_entries=channel.head_lines,
        queue_limit_entries=channel.most_waiting_lines,
        typical_delay_ticks=ticks_from_milliseconds(channel.late_ms),
        max_delay_ticks=ticks_from_milliseconds(channel.late_most_ms),
        message_cap=channel.messages_most,
        message_cap_window_ticks=ticks_from_milliseconds(channel.messages_over_ms),
        entry_price=channel.order_price,
    )


def _rule_settings(rules: RuleTerms) -> RuleSettings:
    return RuleSettings(
        empty_table_grace_ticks=ticks_from_milliseconds(rules.bare_ms),
        drain_grace_ticks=ticks_from_milliseconds(rules.drain_grace_ms),
        discovery_poll_ticks=ticks_from_milliseconds(rules.ask_every_ms),
        slow_start_fraction=rules.start_capacity,
        slow_start_ticks=ticks_from_milliseconds(rules.cold_ms),
        recovery_overload_factor=rules.fall_multiple,
    )


def _fleet_settings(fleet: FleetTerms) -> FleetSettings:
    return FleetSettings(
        proxy_count=fleet.proxies,
        avoidance_failures=fleet.strikes,
        bootstrap_table_size=fleet.standing,
        admission_unit=admission_unit(fleet.admit),
        default_retries=RetryMode(fleet.usual_tries),
        report_interval_ticks=ticks_from_milliseconds(fleet.report_every_ms),
        cross_zone_price=fleet.cross_zone_price,
        load_source=load_source(fleet.load_reports),
    )

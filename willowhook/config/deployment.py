"""The settings of a deployment and the order of its paths, from the configuration file of the control plane.

The configuration's keys give times in milliseconds; past this module they are ticks.
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

SEMANTICS = {  # by the word of the configuration
    "repeatable": RequestSemantics.IDEMPOTENT,
    "keyed": RequestSemantics.DEDUPLICATED,
    "mutating": RequestSemantics.AT_MOST_ONCE,
}


class PathEntry(NamedTuple):
    """One path and where it leads.

    Attributes:
        route: the index of its route; None: the path is closed.
        terms: of the path; of a route itself where it is the route's own.
    """

    route: int | None
    config: PathTerms | RouteTerms


def ordered_paths(terms: Terms) -> list[PathEntry]:
    """All paths in the order in which a request is matched with them: by `order`, the longer first."""
    paths: list[PathEntry] = []
    for index, route in enumerate(terms.routes):
        paths.append(PathEntry(index, route))
        paths += [PathEntry(index, path) for path in route.more]
    paths += [PathEntry(None, path) for path in terms.closed]
    return sorted(paths, key=lambda path: (path.config.order, -len(path.config.path)))


def deployment_settings(terms: Terms) -> DeploymentSettings:
    """The settings that the decisions read."""
    return DeploymentSettings(
        local_zone=terms.zone,
        zones=terms.zones,
        list_on_request=terms.roster.subscribe,
        health_checks=terms.fleet.load_reports == "probe",
        lists_capacity=terms.fleet.weights in CAPACITY_WEIGHTS,
        routes=tuple(_route(route) for route in terms.routes),
        channel=_channel_settings(terms.channel),
        rules=_rule_settings(terms.rules),
        fleet=_fleet_settings(terms.fleet),
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

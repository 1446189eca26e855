"""A configuration as the facts that the decision module is handed: units only, no choices."""

from __future__ import annotations

from ..decisions.settings import (
    ChannelSettings,
    DeploymentSettings,
    FleetSettings,
    RequestSemantics,
    Route,
    RuleSettings,
)
from ..settings_codec import CAPACITY_WEIGHTS, admission_unit, load_source
from .terms import PathTerms, RouteTerms, Terms

SEMANTICS = {"repeatable": "idempotent", "keyed": "deduplicated", "mutating": "at_most_once"}


def ticks(ms: float) -> int:
    """Milliseconds to whole tenths of one."""
    return round(ms * 10)


def _route(row: RouteTerms) -> Route:
    return Route(
        name=row.name,
        latency_objective_ticks=ticks(row.slo_time_ms),
        deadline_ticks=ticks(row.time_limit_ms),
        priority_weight=row.importance,
        semantics=RequestSemantics(SEMANTICS[row.semantics]),
        same_zone_only=row.own_zone,
        allowed_zones=row.zones,
        allowed_classes=row.kinds,
    )


def paths(terms: Terms) -> list[tuple[int, PathTerms | RouteTerms]]:
    """All paths in the order in which they are tried, with their route's number; -1: closed."""
    rows: list[tuple[int, PathTerms | RouteTerms]] = []
    for k, route in enumerate(terms.routes):
        rows += [(k, route), *((k, row) for row in route.more)]
    rows += [(-1, row) for row in terms.closed]
    return sorted(rows, key=lambda row: (row[1].order, -len(row[1].path)))


def facts(terms: Terms) -> DeploymentSettings:
    channel, rules, fleet = terms.channel, terms.rules, terms.fleet
    return DeploymentSettings(
        local_zone=terms.zone,
        zones=terms.zones,
        list_on_request=terms.roster.subscribe,
        health_checks=fleet.load_reports == "probe",
        lists_capacity=fleet.weights in CAPACITY_WEIGHTS,
        routes=tuple(_route(row) for row in terms.routes),
        channel=ChannelSettings(
            entries_per_second=channel.lines_per_s,
            message_overhead_entries=channel.head_lines,
            queue_limit_entries=channel.most_waiting_lines,
            typical_delay_ticks=ticks(channel.late_ms),
            max_delay_ticks=ticks(channel.late_most_ms),
            message_cap=channel.messages_most,
            message_cap_window_ticks=ticks(channel.messages_over_ms),
            entry_price=channel.order_price,
        ),
        rules=RuleSettings(
            empty_table_grace_ticks=ticks(rules.bare_ms),
            drain_grace_ticks=ticks(rules.drain_grace_ms),
            discovery_poll_ticks=ticks(rules.ask_every_ms),
            slow_start_fraction=rules.start_capacity,
            slow_start_ticks=ticks(rules.cold_ms),
            recovery_overload_factor=rules.fall_multiple,
        ),
        fleet=FleetSettings(
            proxy_count=fleet.proxies,
            avoidance_failures=fleet.strikes,
            default_table_size=fleet.standing,
            admission_unit=admission_unit(fleet.admit),
            default_retries=fleet.usual_tries,
            report_interval_ticks=ticks(fleet.report_every_ms),
            cross_zone_price=fleet.cross_zone_price,
            load_source=load_source(fleet.load_reports),
        ),
    )

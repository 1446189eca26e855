"""A configuration as the facts that the decision module is handed: units only, no choices."""

from __future__ import annotations

from .. import host
from .terms import PathTerms, RouteTerms, Terms

SEMANTICS = {"repeatable": "idempotent", "keyed": "deduplicated", "mutating": "at_most_once"}


def ticks(ms: float) -> int:
    """Milliseconds to whole tenths of one."""
    return round(ms * 10)


def _route(row: RouteTerms) -> host.Route:
    return host.Route(
        row.name,
        ticks(row.slo_time_ms),
        ticks(row.time_limit_ms),
        row.importance,
        row.late_importance,
        SEMANTICS[row.semantics],
        row.group,
        ticks(row.window_ms),
        row.writes,
        row.own_zone,
        row.zones,
        row.kinds,
    )


def paths(terms: Terms) -> list[tuple[int, PathTerms | RouteTerms]]:
    """All paths in the order in which they are tried, with their route's number; -1: closed."""
    rows: list[tuple[int, PathTerms | RouteTerms]] = []
    for k, route in enumerate(terms.routes):
        rows += [(k, route), *((k, row) for row in route.more)]
    rows += [(-1, row) for row in terms.closed]
    return sorted(rows, key=lambda row: (row[1].order, -len(row[1].path)))


def facts(terms: Terms) -> host.Facts:
    channel, rules, fleet = terms.channel, terms.rules, terms.fleet
    return host.Facts(
        rank=terms.rank,
        directors=terms.directors,
        zone=terms.zone,
        zones=terms.zones,
        subscribe=terms.roster.subscribe,
        probes=fleet.load_reports == "probe",
        peers=False,
        weights=fleet.weights,
        routes=tuple(_route(row) for row in terms.routes),
        channel=host.ChannelTerms(
            channel.lines_per_s,
            channel.head_lines,
            channel.most_waiting_lines,
            ticks(channel.late_ms),
            ticks(channel.late_most_ms),
            channel.messages_most,
            ticks(channel.messages_over_ms),
            channel.order_price,
        ),
        rules=host.RuleTerms(
            ticks(rules.bare_ms),
            ticks(rules.drain_grace_ms),
            ticks(rules.ask_every_ms),
            rules.start_capacity,
            ticks(rules.cold_ms),
            rules.fall_multiple,
            ticks(rules.fall_ms),
            rules.gone_is_advice,
        ),
        fleet=host.FleetTerms(
            fleet.proxies,
            0,
            False,
            fleet.pick,
            fleet.strikes,
            fleet.standing,
            fleet.admit,
            fleet.usual_tries,
            fleet.try_factor,
            ticks(fleet.report_every_ms),
            fleet.reports_per_s,
            0,
            fleet.cross_zone_price,
            fleet.load_reports,
            ("busy",),
        ),
    )

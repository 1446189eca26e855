"""What an import makes: a director's configuration, the list of hosts, tables for proxies without one.

Bytes only, no I/O.  The list is in the catalogue's published form, the tables in that of the file front.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

from ..config.check import parse_config
from ..config.deployment import SEMANTICS, ordered_paths
from ..config.example import EXAMPLE
from ..config.terms import ClosedTerms, FileTerms, RecordTerms, Terms
from ..membership.retries import publishable_retries
from ..ticks import ticks_from_milliseconds
from ..xds import forms, tables
from ..xds.codec import encode, encode_response
from .plan import ImportPlan

SERVICE = "tasks"
VERSION = "0.0.1"  # of tables that no director sent
MOST = tables.MAX_UINT32
MAINTENANCE = "_service_maintenance:"


def controller_config(plan: ImportPlan, proxies: int, folder: str, discovery_url: str) -> Terms:
    """A configuration of one director that passes the check; raises TermsError."""
    replace = msgspec.structs.replace
    fleet = replace(
        EXAMPLE.fleet, proxies=proxies, pick=plan.pick(), strikes=plan.strikes,
        weights="nominal" if plan.weighted() else "none", cross_zone_price=0.0, standing=0,
        dial_ms=float(min(plan.dial_ms, 10_000) or 250) if plan.dial_ms < 60_000 else 250.0,
    )  # fmt: skip
    lines = max(EXAMPLE.channel.lines_per_s, 40.0 * proxies)
    channel = replace(EXAMPLE.channel, lines_per_s=lines, most_waiting_lines=2 * lines)
    rules = replace(EXAMPLE.rules, cold_ms=float(plan.cold_ms or EXAMPLE.rules.cold_ms))
    kinds, of = plan.kinds(), {host.id: host.groups for host in plan.endpoints.values()}
    routes = tuple(
        replace(route, kinds=tuple(dict.fromkeys(
            kinds[host] for host in kinds if plan.group_of[route.name] in of[host]
        )))
        for route in plan.routes
    )  # fmt: skip
    zone = plan.options.zone
    made = Terms(
        name="director", zone=zone, zones=(zone,), files=FileTerms(folder=folder),
        roster=replace(EXAMPLE.roster, url=discovery_url, service=SERVICE), routes=routes,
        closed=tuple(plan.closed), channel=channel, rules=rules, fleet=fleet,
        records=RecordTerms(file=f"{folder}.records"),
    )  # fmt: skip
    return parse_config(msgspec.json.encode(made))


def endpoint_list(plan: ImportPlan) -> bytes:
    """The catalogue's answer for all hosts."""
    kinds, zone = plan.kinds(), plan.options.zone
    rows: list[dict[str, Any]] = []
    for host in plan.endpoints.values():
        meta = {"kind": kinds[host.id], "tier": str(host.tier)}
        check = {"CheckID": f"{MAINTENANCE}{host.id}", "Status": "critical"}
        rows.append({
            "Node": {"Node": host.address, "Datacenter": zone},
            "Service": {"ID": host.id, "Address": host.address.strip("[]"), "Port": host.port, "Meta": meta,
                        "Weights": {"Passing": int(host.weight), "Warning": 1}},
            "Checks": [check] if host.draining else [],
        })  # fmt: skip
    return msgspec.json.format(msgspec.json.encode(rows), indent=1)


def table_files(plan: ImportPlan, terms: Terms) -> dict[str, bytes]:
    """The group of files of a proxy that follows no director: the tables as they were."""
    zone, ticks = plan.options.zone, ticks_from_milliseconds(terms.fleet.dial_ms)
    assignments, clusters, rows = dict[str, bytes](), dict[str, bytes](), list[bytes]()
    by_name = {group.name: group for group in plan.groups.values()}
    for name, group in by_name.items():
        lines: list[tables.TableEntry] = []
        # whole multiples, so that whole weights keep their ratios to the last digit
        top = max((row[1] for row in group.rows), default=1.0)
        factor = min(MOST // 4096 // math.ceil(top), tables.SCALE) or MOST / 4096 / top
        for host, weight, _, draining in group.rows:
            at = plan.endpoints[host]
            lines.append(
                (host, at.address.strip("[]"), at.port, zone, weight * factor / tables.SCALE, draining)
            )
        later = {host: tier for host, _, tier, _ in group.rows if tier}
        assignments[name] = encode(tables.assignment(name, lines, later))
    for index, path in ordered_paths(terms):
        if isinstance(path, ClosedTerms):
            rows.append(
                encode(tables.direct_response_route(tables.match(path.match, path.path), path.status))
            )
            continue
        assert index is not None  # as every path but a closed one has a route
        route = terms.routes[index]
        group = by_name[plan.group_of[route.name]]
        to = f"{route.name}@{group.name}"
        pick = "ring" if route.hash_by else group.pick
        clusters[to] = encode(tables.cluster(to, group.name, "eds.json", pick, ticks, terms.fleet.strikes))
        tries = min(
            publishable_retries(SEMANTICS[route.semantics], 2 if route.semantics == "repeatable" else 1),
            route.tries,
        )
        filters = tables.level("rps", route.most_per_s or float("inf"), 1)
        rows.append(
            encode(
                tables.route(
                    route.name,
                    tables.match(path.match, path.path),
                    to,
                    ticks_from_milliseconds(route.time_limit_ms),
                    tables.retry(tries, ticks_from_milliseconds(route.time_limit_ms)),
                    filters,
                    path.rewrite,
                    route.hash_by,
                )
            )
        )
    calls = {"name": "all", "domains": ["*"], "routes": [msgspec.Raw(row) for row in rows]}
    routes = encode({"@type": forms.ROUTES, "name": "calls", "virtual_hosts": [calls]})
    bodies = {"eds": list(assignments.values()), "cds": list(clusters.values()), "rds": [routes]}
    return {
        f"{kind}.json": encode_response(VERSION, forms.TYPE_URLS[kind], VERSION, each)
        for kind, each in bodies.items()
    }  # fmt: skip

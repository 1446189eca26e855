"""Output of an import: a controller's configuration, an endpoint list, tables without a controller.

No I/O.  The endpoint list has the form of the service discovery's answers, the tables that of table files.
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

SERVICE_NAME = "tasks"
TABLE_VERSION = "0.0.1"  # of tables that no controller sent
MAX_TABLE_WEIGHT = tables.MAX_UINT32
MAINTENANCE_CHECK_PREFIX = "_service_maintenance:"


def controller_config(plan: ImportPlan, proxies: int, folder: str, discovery_url: str) -> Terms:
    """The configuration of one controller, checked; raises ConfigError."""
    replace = msgspec.structs.replace
    fleet = replace(
        EXAMPLE.fleet, proxies=proxies, pick=plan.fleet_pick(), strikes=plan.max_failures,
        weights="nominal" if plan.has_unequal_weights() else "none", cross_zone_price=0.0, standing=0,
        dial_ms=float(min(plan.connect_ms, 10_000) or 250) if plan.connect_ms < 60_000 else 250.0,
    )  # fmt: skip
    entries_per_s = max(EXAMPLE.channel.lines_per_s, 40.0 * proxies)
    channel = replace(EXAMPLE.channel, lines_per_s=entries_per_s, most_waiting_lines=2 * entries_per_s)
    rules = replace(EXAMPLE.rules, cold_ms=float(plan.slow_start_ms or EXAMPLE.rules.cold_ms))
    classes, groups_of = (
        plan.endpoint_classes(),
        {endpoint.id: endpoint.groups for endpoint in plan.endpoints.values()},
    )
    routes = tuple(
        replace(route, kinds=tuple(dict.fromkeys(
            classes[endpoint] for endpoint in classes if plan.group_of[route.name] in groups_of[endpoint]
        )))
        for route in plan.routes
    )  # fmt: skip
    zone = plan.options.zone
    config = Terms(
        name="director", zone=zone, zones=(zone,), files=FileTerms(folder=folder),
        roster=replace(EXAMPLE.roster, url=discovery_url, service=SERVICE_NAME), routes=routes,
        closed=tuple(plan.closed_paths), channel=channel, rules=rules, fleet=fleet,
        records=RecordTerms(file=f"{folder}.records"),
    )  # fmt: skip
    return parse_config(msgspec.json.encode(config))


def endpoint_list(plan: ImportPlan) -> bytes:
    """Service discovery's answer that lists all endpoints."""
    classes, zone = plan.endpoint_classes(), plan.options.zone
    entries: list[dict[str, Any]] = []
    for endpoint in plan.endpoints.values():
        metadata = {"kind": classes[endpoint.id], "tier": str(endpoint.tier)}
        maintenance_check = {"CheckID": f"{MAINTENANCE_CHECK_PREFIX}{endpoint.id}", "Status": "critical"}
        entries.append({
            "Node": {"Node": endpoint.address, "Datacenter": zone},
            "Service": {"ID": endpoint.id, "Address": endpoint.address.strip("[]"), "Port": endpoint.port,
                        "Meta": metadata, "Weights": {"Passing": int(endpoint.weight), "Warning": 1}},
            "Checks": [maintenance_check] if endpoint.draining else [],
        })  # fmt: skip
    return msgspec.json.format(msgspec.json.encode(entries), indent=1)


def table_files(plan: ImportPlan, terms: Terms) -> dict[str, bytes]:
    """The table files of a proxy without a controller, with weights and shares as in the source."""
    zone, ticks = plan.options.zone, ticks_from_milliseconds(terms.fleet.dial_ms)
    assignments, clusters, route_messages = dict[str, bytes](), dict[str, bytes](), list[bytes]()
    by_name = {group.name: group for group in plan.groups.values()}
    for name, group in by_name.items():
        entries: list[tables.TableEntry] = []
        # An integer factor keeps the exact ratios of integer weights.
        max_weight = max((row[1] for row in group.rows), default=1.0)
        factor = (
            min(MAX_TABLE_WEIGHT // 4096 // math.ceil(max_weight), tables.SCALE)
            or MAX_TABLE_WEIGHT / 4096 / max_weight
        )
        for endpoint, weight, _, draining in group.rows:
            listed = plan.endpoints[endpoint]
            entries.append(
                (
                    endpoint,
                    listed.address.strip("[]"),
                    listed.port,
                    zone,
                    weight * factor / tables.SCALE,
                    draining,
                )
            )
        tiers = {endpoint: tier for endpoint, _, tier, _ in group.rows if tier}
        assignments[name] = encode(tables.assignment(name, entries, tiers))
    for index, path in ordered_paths(terms):
        if isinstance(path, ClosedTerms):
            route_messages.append(
                encode(tables.direct_response_route(tables.match(path.match, path.path), path.status))
            )
            continue
        assert index is not None  # only closed paths have none
        route = terms.routes[index]
        group = by_name[plan.group_of[route.name]]
        cluster_name = f"{route.name}@{group.name}"
        pick = "ring" if route.hash_by else group.pick
        clusters[cluster_name] = encode(
            tables.cluster(cluster_name, group.name, "eds.json", pick, ticks, terms.fleet.strikes)
        )
        retries = min(
            publishable_retries(SEMANTICS[route.semantics], 2 if route.semantics == "repeatable" else 1),
            route.tries,
        )
        filters = tables.level("rps", route.most_per_s or float("inf"), 1)
        route_messages.append(
            encode(
                tables.route(
                    route.name,
                    tables.match(path.match, path.path),
                    cluster_name,
                    ticks_from_milliseconds(route.time_limit_ms),
                    tables.retry(retries, ticks_from_milliseconds(route.time_limit_ms)),
                    filters,
                    path.rewrite,
                    route.hash_by,
                )
            )
        )
    virtual_host = {"name": "all", "domains": ["*"], "routes": [msgspec.Raw(row) for row in route_messages]}
    routes = encode({"@type": forms.ROUTES, "name": "calls", "virtual_hosts": [virtual_host]})
    bodies = {"eds": list(assignments.values()), "cds": list(clusters.values()), "rds": [routes]}
    return {
        f"{kind}.json": encode_response(TABLE_VERSION, forms.TYPE_URLS[kind], TABLE_VERSION, messages)
        for kind, messages in bodies.items()
    }  # fmt: skip

"""One report in the published form as sums: everything is checked before any of it counts, within bounds."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..ticks import TICKS_PER_SECOND, ticks_from_seconds
from ..xds import forms
from ..xds.codec import FormError, seconds
from ..xds.orca import load
from .sums import Row

LATENCY = "latency_seconds"  # the named metric in which a proxy sums the time of what was answered
MOST_CALLS = 1e9  # of one report; more is no count
MOST_SUM = 1e12
MOST_ROWS = 5_000  # endpoints of one report, over all clusters
LONGEST_S = 3600


@dataclass(slots=True)
class Report:
    """`came`: by route its calls and errors; `since`, `until`: by the proxy's clock, -1 if not told."""

    row: Row = field(default_factory=Row)
    came: dict[str, tuple[float, float]] = field(default_factory=dict)
    length: int = 0
    process: str = ""
    since: int = -1
    until: int = -1


def _times(made: Report, node: forms.Node) -> None:
    """`load_from` and `load_until`, seconds of the proxy's calendar, and `process`, of this life of it."""
    since, until = node.metadata.get("load_from"), node.metadata.get("load_until")
    if since is None or until is None:
        return
    if not (isinstance(since, int | float) and isinstance(until, int | float)):
        raise FormError("node.metadata.load_from and load_until are no numbers")
    if not (0 <= since < until < 1e12 and until - since <= LONGEST_S):
        raise FormError(f"node.metadata.load_from is {since:g} and load_until {until:g}")
    made.since = ticks_from_seconds(since)
    made.until = max(ticks_from_seconds(until), made.since + 1)
    made.process = str(node.metadata.get("process", ""))[:64]


def read(report: forms.LoadStatsRequest, routes: frozenset[str]) -> Report:
    """Raises FormError."""
    made, rows = Report(), 0
    _times(made, report.node)
    spent: dict[tuple[str, str], list[float]] = {}  # answered, errors, time, answered with a time
    told: dict[tuple[str, str], list[float]] = {}
    for cluster in report.cluster_stats:
        made.length = round(seconds(cluster.load_report_interval) * TICKS_PER_SECOND)
        if not 0 < made.length <= LONGEST_S * TICKS_PER_SECOND:
            raise FormError(f"load_report_interval is {cluster.load_report_interval}")
        name = cluster.cluster_name.partition("@")[0]
        route = name if name in routes else ""
        calls = errors = 0
        for locality in cluster.upstream_locality_stats:
            for row in locality.upstream_endpoint_stats:
                rows += 1
                if rows > MOST_ROWS:
                    raise FormError(f"more than {MOST_ROWS} endpoints")
                good, bad = row.total_successful_requests, row.total_error_requests
                if not (0 <= good < MOST_CALLS and 0 <= bad < MOST_CALLS):
                    raise FormError(f"{cluster.cluster_name}: {good} answered and {bad} errors")
                at = row.address.socket_address
                if at is None:
                    raise FormError(f"{cluster.cluster_name}: an endpoint has no address")
                address = f"{at.address}:{at.port_value}"
                mine = spent.get((address, route))
                if mine is None:
                    mine = spent[address, route] = [0, 0, 0.0, 0]
                mine[0] += good
                mine[1] += bad
                calls += good + bad
                errors += bad
                for metric in row.load_metric_stats:
                    name, n = metric.metric_name, metric.num_requests_finished_with_metric
                    total = metric.total_metric_value
                    if not (0 <= n < MOST_CALLS and -MOST_SUM < total < MOST_SUM):
                        raise FormError(f"{cluster.cluster_name}: {name} of {total} over {n}")
                    if name == LATENCY:
                        mine[2] += max(total, 0.0)
                        mine[3] += n
                    elif n:
                        pair = told.get((address, name))
                        if pair is None:
                            pair = told[address, name] = [0.0, 0.0]
                        pair[0] += total
                        pair[1] += n
        dropped = cluster.total_dropped_requests
        if not 0 <= dropped < MOST_CALLS:
            raise FormError(f"{cluster.cluster_name}: {dropped} dropped")
        if route:
            old = made.came.get(route, (0.0, 0.0))
            made.came[route] = (old[0] + calls + dropped, old[1] + errors)
    for (address, route), (answered, failed, took, timed) in spent.items():
        if answered + failed:
            time = took / timed * answered * TICKS_PER_SECOND if timed else 0.0
            made.row.cells[address, route] = (answered + failed, failed, time)
    means: dict[str, dict[str, float]] = {}
    for (address, name), pair in told.items():
        means.setdefault(address, {})[name] = pair[0] / pair[1]
    made.row.loads = {address: load(rows_) for address, rows_ in means.items()}
    return made

"""Reads one load report in its published form: all is checked, within bounds, before any of it counts."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..ticks import TICKS_PER_SECOND, ticks_from_seconds
from ..xds import forms
from ..xds.codec import MessageFormatError, parse_duration
from ..xds.orca import decision_metrics
from .sums import ReportCells, ReportedAttempts

LATENCY = "latency_seconds"  # the named metric that sums the latency of the attempts that succeeded
MAX_REQUESTS = 1e9  # of one count; more is malformed
MAX_METRIC = 1e12
MAX_ROWS = 5_000  # endpoints of one report, over all clusters
MAX_WINDOW_S = 3600
LATEST_TIME_S = 1e12
MAX_PROCESS_LENGTH = 64  # characters


@dataclass(slots=True)
class Report:
    """One load report.

    Attributes:
        contents: the attempts and the load metrics by endpoint.
        requests: requests and failures, by route.
        length: the length of the time that it covers, in ticks; 0: it contains no cluster.
        process: names one run of the proxy's program.
        since: the beginning of that time by the proxy's clock, in ticks; -1: it states no times.
        until: the end of that time; -1: it states no times.
    """

    contents: ReportCells = field(default_factory=ReportCells)
    requests: dict[str, tuple[float, float]] = field(default_factory=dict)
    length: int = 0
    process: str = ""
    since: int = -1
    until: int = -1


@dataclass(slots=True)
class _CellSums:
    """Sums of one endpoint and route."""

    successes: int = 0
    failures: int = 0
    latency_s: float = 0.0
    timed: int = 0  # successes with a latency


@dataclass(slots=True)
class _MetricSums:
    """Sums of one load metric of an endpoint."""

    total: float = 0.0
    count: float = 0.0


def read_report(report: forms.LoadStatsRequest, routes: frozenset[str]) -> Report:
    """Reads a report about these routes; attempts for other routes count for no route. Raises FormError."""
    return _ReportReader(routes).read(report)


class _ReportReader:
    """Adds up the clusters of one report."""

    def __init__(self, routes: frozenset[str]) -> None:
        self._routes = routes
        self._report = Report()
        self._row_count = 0
        self._cells: dict[tuple[str, str], _CellSums] = {}  # by address and route
        self._metrics: dict[tuple[str, str], _MetricSums] = {}  # by address and metric

    def read(self, report: forms.LoadStatsRequest) -> Report:
        self._read_times(report.node)
        for cluster in report.cluster_stats:
            self._read_cluster(cluster)
        cells = self._report.contents.cells
        for key, cell in self._cells.items():
            attempts = cell.successes + cell.failures
            if attempts:
                mean_latency_s = cell.latency_s / cell.timed if cell.timed else 0.0
                latency_sum = mean_latency_s * cell.successes * TICKS_PER_SECOND
                cells[key] = ReportedAttempts(attempts, cell.failures, latency_sum)
        self._report.contents.loads = self._loads()
        return self._report

    def _read_times(self, node: forms.Node) -> None:
        """Reads `load_from` and `load_until`, seconds of the proxy's calendar, and `process`."""
        since = node.metadata.get("load_from")
        until = node.metadata.get("load_until")
        if since is None or until is None:
            return
        if not (isinstance(since, int | float) and isinstance(until, int | float)):
            raise MessageFormatError("node.metadata.load_from and load_until are no numbers")
        if not (0 <= since < until < LATEST_TIME_S and until - since <= MAX_WINDOW_S):
            raise MessageFormatError(f"node.metadata.load_from is {since:g} and load_until {until:g}")
        self._report.since = ticks_from_seconds(since)
        self._report.until = max(ticks_from_seconds(until), self._report.since + 1)
        self._report.process = str(node.metadata.get("process", ""))[:MAX_PROCESS_LENGTH]

    def _read_cluster(self, cluster: forms.ClusterStats) -> None:
        self._report.length = ticks_from_seconds(parse_duration(cluster.load_report_interval))
        if not 0 < self._report.length <= MAX_WINDOW_S * TICKS_PER_SECOND:
            raise MessageFormatError(f"load_report_interval is {cluster.load_report_interval}")
        name = cluster.cluster_name.partition("@")[0]
        route = name if name in self._routes else ""
        requests = 0
        failures = 0
        for locality in cluster.upstream_locality_stats:
            for row in locality.upstream_endpoint_stats:
                self._read_endpoint(cluster.cluster_name, route, row)
                requests += row.total_successful_requests + row.total_error_requests
                failures += row.total_error_requests
        dropped = cluster.total_dropped_requests
        if not 0 <= dropped < MAX_REQUESTS:
            raise MessageFormatError(f"{cluster.cluster_name}: {dropped} dropped")
        if route:
            old = self._report.requests.get(route, (0.0, 0.0))
            self._report.requests[route] = (old[0] + requests + dropped, old[1] + failures)

    def _read_endpoint(self, cluster: str, route: str, row: forms.UpstreamEndpointStats) -> None:
        self._row_count += 1
        if self._row_count > MAX_ROWS:
            raise MessageFormatError(f"more than {MAX_ROWS} endpoints")
        successes = row.total_successful_requests
        failures = row.total_error_requests
        if not (0 <= successes < MAX_REQUESTS and 0 <= failures < MAX_REQUESTS):
            raise MessageFormatError(f"{cluster}: {successes} answered and {failures} errors")
        socket = row.address.socket_address
        if socket is None:
            raise MessageFormatError(f"{cluster}: an endpoint has no address")
        address = f"{socket.address}:{socket.port_value}"
        cell = self._cells.get((address, route))
        if cell is None:
            cell = self._cells[address, route] = _CellSums()
        cell.successes += successes
        cell.failures += failures
        self._read_metrics(cluster, address, cell, row.load_metric_stats)

    def _read_metrics(
        self, cluster: str, address: str, cell: _CellSums, metrics: list[forms.LoadMetricStats]
    ) -> None:
        for metric in metrics:
            name = metric.metric_name
            count = metric.num_requests_finished_with_metric
            total = metric.total_metric_value
            if not (0 <= count < MAX_REQUESTS and -MAX_METRIC < total < MAX_METRIC):
                raise MessageFormatError(f"{cluster}: {name} of {total} over {count}")
            if name == LATENCY:
                cell.latency_s += max(total, 0.0)
                cell.timed += count
            elif count:
                sums = self._metrics.get((address, name))
                if sums is None:
                    sums = self._metrics[address, name] = _MetricSums()
                sums.total += total
                sums.count += count

    def _loads(self) -> dict[str, dict[str, float]]:
        means: dict[str, dict[str, float]] = {}
        for (address, name), sums in self._metrics.items():
            means.setdefault(address, {})[name] = sums.total / sums.count
        return {address: decision_metrics(metrics) for address, metrics in means.items()}

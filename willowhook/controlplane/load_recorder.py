"""Passes the attempts and requests that proxies report to the components that use them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..decisions.events import RequestReport
from ..reports.sample import SampleSums
from ..ticks import TICKS_PER_SECOND
from .context import ServiceContext
from .endpoint_directory import EndpointDirectory
from .handoff_peers import HandoffPeers
from .proxy_events import AttemptsReported, RequestsReported
from .proxy_state import ProxyStateBook
from .publisher import Publisher
from .report_processor import ReportProcessor


@dataclass(slots=True)
class EndpointAttempts:
    """Attempts at one endpoint over all routes; the numbers are estimates and may have fractions."""

    attempts: float = 0.0
    failures: float = 0.0
    latency_sum_ticks: float = 0.0

    def mean_latency_ticks(self) -> int:
        """The mean latency of the attempts that succeeded; 0 if none did."""
        successes = self.attempts - self.failures
        return round(self.latency_sum_ticks / successes) if successes > 0 else 0


class LoadRecorder:
    """Passes reported load to aggregation, rollout, update validation, priority tiers, memory and peers."""

    def __init__(
        self,
        context: ServiceContext,
        proxy_states: ProxyStateBook,
        publisher: Publisher,
        reports: ReportProcessor,
        directory: EndpointDirectory,
        handoff: HandoffPeers,
    ) -> None:
        """Stores the components that are notified."""
        routes = context.terms.routes
        self._priority_weights = {route.name: route.importance for route in routes}
        self._route_indexes = {route.name: index for index, route in enumerate(routes)}
        self._context = context
        self._proxy_states = proxy_states
        self._publisher = publisher
        self._reports = reports
        self._directory = directory
        self._handoff = handoff

    def record_attempts(self, event: AttemptsReported) -> None:
        """Handles the attempts of a proxy; attempts at unknown endpoint addresses are left out."""
        connected = self._proxy_states.proxies.get(event.proxy)
        if connected is None:
            return
        now = self._context.now()
        by_endpoint = self._aggregate(now, connected.zone, event.sample)
        attempts = sum(each.attempts for each in by_endpoint.values())
        failures = sum(each.failures for each in by_endpoint.values())
        self._publisher.rollout.record_requests(now, event.proxy, round(attempts), round(failures))
        for endpoint, endpoint_attempts in by_endpoint.items():
            self._record_endpoint(now, event.proxy, connected.zone, endpoint, endpoint_attempts)

    def _aggregate(self, now: int, zone: str, sample: SampleSums) -> Mapping[str, EndpointAttempts]:
        """Adds a sample to the aggregation. Returns the sample's sums over routes, by endpoint."""
        names = self._directory.names_by_address
        cells = {}
        by_endpoint: dict[str, EndpointAttempts] = {}
        for (address, route), reported in sample.cells.items():
            endpoint = names.get(address)
            if endpoint is None:
                continue
            cells[endpoint, route] = reported
            endpoint_attempts = by_endpoint.setdefault(endpoint, EndpointAttempts())
            endpoint_attempts.attempts += reported.attempts
            endpoint_attempts.failures += reported.failures
            endpoint_attempts.latency_sum_ticks += reported.latency_sum
        loads = {names[address]: load for address, load in sample.loads.items() if address in names}
        self._reports.sums.add(now, zone, sample.since, sample.until, cells, loads)
        return by_endpoint

    def _record_endpoint(
        self, now: int, proxy: int, zone: str, endpoint: str, reported: EndpointAttempts
    ) -> None:
        attempts, failures = round(reported.attempts), round(reported.failures)
        self._directory.record_attempts(now, endpoint, attempts, failures)
        memory = self._context.memory
        if memory is not None:
            mean_latency_ticks = reported.mean_latency_ticks()
            memory.record_attempts(now, endpoint, zone, attempts, failures, mean_latency_ticks)
        self._handoff.record_attempts(
            now, proxy, endpoint, reported.attempts, reported.failures, reported.latency_sum_ticks
        )

    def record_requests(self, event: RequestsReported) -> None:
        """Handles the requests of one route that reached a proxy."""
        report = RequestReport(event.proxy, event.route, event.requests, event.window_ticks)
        self._context.handle(self._context.now(), report)
        rate_per_second = event.requests * TICKS_PER_SECOND / event.window_ticks
        name = self._publisher.sessions[event.proxy].name
        self._reports.update_share(name, rate_per_second * self._priority_weights[event.route])
        route = self._route_indexes[event.route]
        self._publisher.update_validation(
            self._publisher.validation.update_rate, event.proxy, route, rate_per_second
        )

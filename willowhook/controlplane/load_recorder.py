"""Passes the attempts and requests that proxies report to all components that need them."""

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
    """Attempts at one endpoint, over all routes; estimates, so they need not be whole numbers."""

    attempts: float = 0.0
    failures: float = 0.0
    latency_sum_ticks: float = 0.0

    def mean_latency_ticks(self) -> int:
        """The mean latency of the attempts that succeeded; 0 if none did."""
        successes = self.attempts - self.failures
        return round(self.latency_sum_ticks / successes) if successes > 0 else 0


class LoadRecorder:
    """Hands reported load to the aggregation, update validation, tiers, memory and peers."""

    def __init__(
        self,
        context: ServiceContext,
        proxy_states: ProxyStateBook,
        publisher: Publisher,
        reports: ReportProcessor,
        directory: EndpointDirectory,
        handoff: HandoffPeers,
    ) -> None:
        """Receives the components that are notified."""
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
        """Handles the attempts of a proxy; those at endpoints whose address is not known are left out."""
        member = self._proxy_states.proxies.get(event.proxy)
        if member is None:
            return
        now = self._context.now()
        by_endpoint = self._aggregate(now, member.zone, event.sample)
        attempts = sum(each.attempts for each in by_endpoint.values())
        failures = sum(each.failures for each in by_endpoint.values())
        self._publisher.rollout.record_requests(now, event.proxy, round(attempts), round(failures))
        for endpoint, met in by_endpoint.items():
            self._record_endpoint(now, event.proxy, member.zone, endpoint, met)

    def _aggregate(self, now: int, zone: str, sample: SampleSums) -> Mapping[str, EndpointAttempts]:
        """Adds a sample to the aggregation; the result is its sum over routes, by endpoint."""
        names = self._directory.names_by_address
        cells = {}
        by_endpoint: dict[str, EndpointAttempts] = {}
        for (address, route), row in sample.cells.items():
            endpoint = names.get(address)
            if endpoint is None:
                continue
            cells[endpoint, route] = row
            met = by_endpoint.setdefault(endpoint, EndpointAttempts())
            met.attempts += row.attempts
            met.failures += row.failures
            met.latency_sum_ticks += row.latency_sum
        loads = {names[at]: load for at, load in sample.loads.items() if at in names}
        self._reports.sums.add(now, zone, sample.since, sample.until, cells, loads)
        return by_endpoint

    def _record_endpoint(self, now: int, proxy: int, zone: str, endpoint: str, met: EndpointAttempts) -> None:
        attempts, failures = round(met.attempts), round(met.failures)
        self._directory.record_attempts(now, endpoint, attempts, failures)
        memory = self._context.memory
        if memory is not None:
            mean = met.mean_latency_ticks()
            memory.record_attempts(now, endpoint, zone, attempts, failures, mean)
        self._handoff.record_attempts(now, proxy, endpoint, met.attempts, met.failures, met.latency_sum_ticks)

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

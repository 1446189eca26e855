"""Carries out the commands of a controller by way of files and HTTP."""

from __future__ import annotations

import heapq
from collections.abc import Sequence

from ..decisions.runtime import AdmissionLimit
from .context import ServiceContext
from .endpoint_list_reader import EndpointListReader
from .health_checker import HealthChecker
from .proxy_state import ProxyStateBook


class EvaluationTimers:
    """The times at which the controller wants to be evaluated."""

    def __init__(self) -> None:
        """Starts with no times."""
        self._due_ticks: list[int] = []  # a heap

    def schedule(self, due_tick: int) -> None:
        """Adds a time."""
        heapq.heappush(self._due_ticks, due_tick)

    def next_due(self, default: int) -> int:
        """The earliest time; `default` if there is none."""
        return self._due_ticks[0] if self._due_ticks else default

    def pop_due(self, now: int) -> bool:
        """Removes the earliest time if it has come, and says whether it has."""
        if not self._due_ticks or self._due_ticks[0] > now:
            return False
        heapq.heappop(self._due_ticks)
        return True


class FileControllerRuntime:
    """The `ControllerRuntime` of the file and HTTP control plane.

    What concerns proxies changes their desired state, of which messages are made; the rest goes to the
    endpoint list's feed, the health checker and the timers.
    """

    def __init__(
        self,
        context: ServiceContext,
        proxy_states: ProxyStateBook,
        timers: EvaluationTimers,
        endpoint_list: EndpointListReader,
        health_checker: HealthChecker,
    ) -> None:
        """Takes the components that carry the commands out."""
        self._context = context
        self._proxy_states = proxy_states
        self._timers = timers
        self._endpoint_list = endpoint_list
        self._health_checker = health_checker

    # Commands that concern the controller itself.

    def schedule_evaluation(self, delay_ticks: int) -> None:
        """Hands the controller an `EvaluationDue` after this delay, of a tick at least."""
        self._timers.schedule(self._context.now() + max(delay_ticks, 1))

    def log(self, text: str) -> None:
        """Writes one line to the log and the records file."""
        self._context.conditions.announce(text)

    def watch_endpoints(self) -> None:
        """Asks for the endpoint list and, from then on, for its changes."""
        self._endpoint_list.watch()

    def fetch_endpoint_list(self) -> None:
        """Asks for the complete endpoint list once."""
        self._endpoint_list.fetch()

    def check_health(self, endpoint: str) -> None:
        """Sends a health check, unless too many are on their way or the endpoint is not listed."""
        self._health_checker.check(endpoint)

    # Commands that concern proxies.

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Sets the weight of an endpoint in a table; 0 takes its entry out."""
        self._proxy_states.set_weight(table, endpoint, weight)

    def clear_table(self, table: int) -> None:
        """Takes out all entries and limits of a table."""
        self._proxy_states.clear_table(table)

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        """Makes a proxy use a table for these routes."""
        self._proxy_states.bind(proxy, table, routes)

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        """Sets what the proxies that use a table admit of a route."""
        self._proxy_states.set_admission(table, route, admission)

    def exclude_endpoint(self, endpoint: str) -> None:
        """Excludes an endpoint at all proxies, and writes that to the records and to the store.

        Nothing reads the entry of the store back at the next start.
        """
        self._proxy_states.exclude_endpoint(endpoint)
        self._record_exclusion(endpoint, True)

    def readmit_endpoint(self, endpoint: str) -> None:
        """Takes `exclude_endpoint` back."""
        self._proxy_states.readmit_endpoint(endpoint)
        self._record_exclusion(endpoint, False)

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Excludes endpoints at one proxy."""
        self._proxy_states.exclude_for_proxy(proxy, endpoints)

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Readmits endpoints at one proxy."""
        self._proxy_states.readmit_for_proxy(proxy, endpoints)

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops the state that is kept of an endpoint."""
        self._proxy_states.forget_endpoint(endpoint)

    def send_sync_marker(self, marker: int) -> None:
        """Adds a marker to each message of this flush."""
        self._proxy_states.send_sync_marker(marker)

    def _record_exclusion(self, endpoint: str, excluded: bool) -> None:
        self._context.records.note(self._context.now(), "withdraw" if excluded else "readmit", host=endpoint)
        memory = self._context.memory
        if memory is not None:
            memory.record_exclusion(endpoint, excluded)

"""Executes the commands of a controller in the file and HTTP control plane."""

from __future__ import annotations

from collections.abc import Sequence

from ..decisions.runtime import AdmissionLimit
from ..evaluation_timer import EvaluationTimer
from .context import ServiceContext
from .endpoint_list_reader import EndpointListReader
from .health_checker import HealthChecker
from .proxy_state import ProxyStateBook


class FileControllerRuntime:
    """The `ControllerRuntime` of the file and HTTP control plane.

    Commands that concern proxies change their desired state, from which update messages are built. All
    other commands go to the endpoint list reader, the health checker and the evaluation timer.
    """

    def __init__(
        self,
        context: ServiceContext,
        proxy_states: ProxyStateBook,
        evaluations: EvaluationTimer,
        endpoint_list: EndpointListReader,
        health_checker: HealthChecker,
    ) -> None:
        """Receives the components that execute the commands."""
        self._context = context
        self._proxy_states = proxy_states
        self._evaluations = evaluations
        self._endpoint_list = endpoint_list
        self._health_checker = health_checker

    # Commands that concern the controller itself.

    def schedule_evaluation(self, delay_ticks: int) -> None:
        """Schedules an `EvaluationDue` event for the controller after this delay, at least one tick."""
        self._evaluations.schedule(max(delay_ticks, 1))

    def log(self, text: str) -> None:
        """Writes one line to the log and the records file."""
        self._context.conditions.announce(text)

    def watch_endpoints(self) -> None:
        """Requests the endpoint list and subscribes to its changes."""
        self._endpoint_list.watch()

    def fetch_endpoint_list(self) -> None:
        """Requests the complete endpoint list once."""
        self._endpoint_list.fetch()

    def check_health(self, endpoint: str) -> None:
        """Starts a health check unless too many are running or the endpoint is not listed."""
        self._health_checker.check(endpoint)

    # Commands that concern proxies.

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Sets the weight of an endpoint in a table; 0 removes the entry of the endpoint."""
        self._proxy_states.set_weight(table, endpoint, weight)

    def clear_table(self, table: int) -> None:
        """Removes all entries and admission limits of a table."""
        self._proxy_states.clear_table(table)

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        """Binds a proxy to a table for these routes."""
        self._proxy_states.bind(proxy, table, routes)

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        """Sets the admission limit of a route for the proxies that use a table."""
        self._proxy_states.set_admission(table, route, admission)

    def exclude_endpoint(self, endpoint: str) -> None:
        """Excludes an endpoint at all proxies, and writes the exclusion to the records and to the store.

        A restarted controller does not read the stored exclusion back.
        """
        self._proxy_states.exclude_endpoint(endpoint)
        self._record_exclusion(endpoint, True)

    def readmit_endpoint(self, endpoint: str) -> None:
        """Reverses `exclude_endpoint`."""
        self._proxy_states.readmit_endpoint(endpoint)
        self._record_exclusion(endpoint, False)

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Does nothing: each message carries the complete state of its proxy, with all exclusions."""
        self._proxy_states.exclude_for_proxy(proxy, endpoints)

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Does nothing: each message carries the complete state of its proxy, with all exclusions."""
        self._proxy_states.readmit_for_proxy(proxy, endpoints)

    def end_session(self, proxy: int) -> None:
        """Does nothing: silent sessions time out, and files are rewritten until they are acknowledged."""

    def forget_endpoint(self, endpoint: str) -> None:
        """Does nothing: a proxy's own files may still name the endpoint, so it stays excluded."""
        self._proxy_states.forget_endpoint(endpoint)

    def send_sync_marker(self, marker: int) -> None:
        """Adds a marker to each message of this flush."""
        self._proxy_states.send_sync_marker(marker)

    def _record_exclusion(self, endpoint: str, excluded: bool) -> None:
        self._context.records.append(
            self._context.now(), "withdraw" if excluded else "readmit", host=endpoint
        )
        memory = self._context.memory
        if memory is not None:
            memory.record_exclusion(endpoint, excluded)

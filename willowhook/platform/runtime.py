"""Carries out the controller's commands on the platform: the `ControllerRuntime` of the server."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..decisions.runtime import AdmissionLimit
from ..evaluation_timer import EvaluationTimer
from .discovery_watch import DiscoveryWatch
from .proxy_updates import ProxyUpdates

WriteLog = Callable[[str], None]


class PlatformRuntime:
    """Hands each command to the component that carries it out. `ControllerRuntime` describes them."""

    def __init__(
        self,
        updates: ProxyUpdates,
        discovery: DiscoveryWatch,
        evaluations: EvaluationTimer,
        write_log: WriteLog,
    ) -> None:
        self._updates = updates
        self._discovery = discovery
        self._evaluations = evaluations
        self._write_log = write_log

    def schedule_evaluation(self, delay_ticks: int) -> None:
        """The evaluation is due after this delay."""
        self._evaluations.schedule(delay_ticks)

    def log(self, text: str) -> None:
        """Writes one line to the log."""
        self._write_log(text)

    def watch_endpoints(self) -> None:
        """Requests the endpoint list and its changes."""
        self._discovery.resume()

    def fetch_endpoint_list(self) -> None:
        """Requests the complete endpoint list once."""
        self._discovery.fetch_complete_list()

    def check_health(self, endpoint: str) -> None:
        """Never commanded: the protocol has no health checks, and the settings of the server say so."""

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Sets a weight in a table."""
        self._updates.set_weight(table, endpoint, weight)

    def clear_table(self, table: int) -> None:
        """Empties a table."""
        self._updates.clear_table(table)

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        """Binds routes of a proxy to a table."""
        self._updates.bind(proxy, table, routes)

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        """Sets the limit of a route."""
        self._updates.set_admission(table, route, admission)

    def exclude_endpoint(self, endpoint: str) -> None:
        """Excludes an endpoint everywhere."""
        self._updates.exclude_endpoint(endpoint)

    def readmit_endpoint(self, endpoint: str) -> None:
        """Readmits an endpoint everywhere."""
        self._updates.readmit_endpoint(endpoint)

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Excludes endpoints at one proxy."""
        self._updates.exclude_for_proxy(proxy, endpoints)

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Readmits endpoints at one proxy."""
        self._updates.readmit_for_proxy(proxy, endpoints)

    def forget_endpoint(self, endpoint: str) -> None:
        """Forgets an endpoint that is gone for good."""
        self._updates.forget_endpoint(endpoint)

    def send_sync_marker(self, marker: int) -> None:
        """Adds a marker to the messages of this flush."""
        self._updates.send_sync_marker(marker)

"""Executes the controller's commands on the platform: the `ControllerRuntime` of the server."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..decisions.runtime import AdmissionLimit
from ..evaluation_timer import EvaluationTimer
from .discovery_watch import DiscoveryWatch
from .proxy_updates import ProxyUpdates

WriteLog = Callable[[str], None]


class PlatformRuntime:
    """Delegates each command to the component that executes it; `ControllerRuntime` documents the commands.

    Args:
        updates: executes the commands on tables and proxies.
        end_session: ends the session of a proxy.
        discovery: executes the commands on the endpoint list.
        evaluations: holds the times of scheduled evaluations.
        write_log: writes one line to the log.
    """

    def __init__(
        self,
        updates: ProxyUpdates,
        end_session: Callable[[int], None],
        discovery: DiscoveryWatch,
        evaluations: EvaluationTimer,
        write_log: WriteLog,
    ) -> None:
        self._updates = updates
        self._end_session = end_session
        self._discovery = discovery
        self._evaluations = evaluations
        self._write_log = write_log

    def schedule_evaluation(self, delay_ticks: int) -> None:
        """Executed by `EvaluationTimer`."""
        self._evaluations.schedule(delay_ticks)

    def log(self, text: str) -> None:
        """Executed by `write_log`."""
        self._write_log(text)

    def watch_endpoints(self) -> None:
        """Executed by `DiscoveryWatch`."""
        self._discovery.resume()

    def fetch_endpoint_list(self) -> None:
        """Executed by `DiscoveryWatch`."""
        self._discovery.fetch_complete_list()

    def check_health(self, endpoint: str) -> None:
        """Never called: the protocol has no health checks, and `PlatformServer` disables them."""

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Executed by `ProxyUpdates`."""
        self._updates.set_weight(table, endpoint, weight)

    def clear_table(self, table: int) -> None:
        """Executed by `ProxyUpdates`."""
        self._updates.clear_table(table)

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        """Executed by `ProxyUpdates`."""
        self._updates.bind(proxy, table, routes)

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        """Executed by `ProxyUpdates`."""
        self._updates.set_admission(table, route, admission)

    def exclude_endpoint(self, endpoint: str) -> None:
        """Executed by `ProxyUpdates`."""
        self._updates.exclude_endpoint(endpoint)

    def readmit_endpoint(self, endpoint: str) -> None:
        """Executed by `ProxyUpdates`."""
        self._updates.readmit_endpoint(endpoint)

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Executed by `ProxyUpdates`."""
        self._updates.exclude_for_proxy(proxy, endpoints)

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Executed by `ProxyUpdates`."""
        self._updates.readmit_for_proxy(proxy, endpoints)

    def end_session(self, proxy: int) -> None:
        """Executed by `ProxySessions`."""
        self._end_session(proxy)

    def forget_endpoint(self, endpoint: str) -> None:
        """Executed by `ProxyUpdates`."""
        self._updates.forget_endpoint(endpoint)

    def send_sync_marker(self, marker: int) -> None:
        """Executed by `ProxyUpdates`."""
        self._updates.send_sync_marker(marker)

"""The commands that a controller issues: the interface to the process that runs it."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple, Protocol


class RetryMode(IntEnum):
    """When a proxy may retry a request at another endpoint. All wire formats use these values."""

    NEVER = 0
    IF_NOT_EXECUTED = 1  # once, after proof that the first attempt was never executed
    ONCE_AFTER_ANY_FAILURE = 2
    TWICE_AFTER_ANY_FAILURE = 3


class AdmissionLimit(NamedTuple):
    """The admission limit and the retry mode of a route.

    Attributes:
        retries: when a request may be retried.
        limit: the admission limit, in the unit of `FleetSettings.admission_unit`.
    """

    retries: RetryMode
    limit: float


class ControllerRuntime(Protocol):
    """Carries out commands. The commands issued between two flushes reach each proxy as one message.

    Tables and proxies are identified by number, endpoints by name, routes by their index in the settings.
    """

    def schedule_evaluation(self, delay_ticks: int) -> None:
        """Passes the controller an `EvaluationDue` event after this delay."""

    def log(self, text: str) -> None:
        """Writes one line to the log."""

    def watch_endpoints(self) -> None:
        """Requests the endpoint list and subscribes to its changes."""

    def fetch_endpoint_list(self) -> None:
        """Requests the complete endpoint list once; a complete list or an `EndpointListLost` follows."""

    def check_health(self, endpoint: str) -> None:
        """Sends a health check; its result arrives as a `HealthCheckCompleted` event."""

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Sets the weight of an endpoint in a table; 0 removes its entry."""

    def clear_table(self, table: int) -> None:
        """Removes all entries and limits of a table."""

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        """Makes a proxy use a table for these routes, in place of its previous one."""

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        """Sets the admission limit and the retry mode of a route at the proxies that use a table."""

    def exclude_endpoint(self, endpoint: str) -> None:
        """Stops all proxies that may hold an entry for an endpoint from using it, whatever its weight."""

    def readmit_endpoint(self, endpoint: str) -> None:
        """Reverts `exclude_endpoint`."""

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Excludes endpoints at one proxy that joined after the exclusion was sent."""

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Readmits endpoints at one proxy that may hold exclusions of another controller."""

    def end_session(self, proxy: int) -> None:
        """Ends the session of a proxy that acknowledges nothing; the proxy may join again.

        A `ProxyLeft` event follows. Has no effect where the runtime cannot end sessions.
        """

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops an endpoint that was removed for good; no later command names it."""

    def send_sync_marker(self, marker: int) -> None:
        """Adds a marker to each message of this flush; proxies return it in a `MessageAcknowledged` event."""

"""The commands that a controller gives: the interface to whatever runs it."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple, Protocol


class RetryMode(IntEnum):
    """When a proxy may retry a request at another endpoint. The values are those of all wires."""

    NEVER = 0
    IF_NOT_EXECUTED = 1  # once, after proof that the first attempt was never executed
    ONCE_AFTER_ANY_FAILURE = 2
    TWICE_AFTER_ANY_FAILURE = 3


class AdmissionLimit(NamedTuple):
    """What proxies admit of a route, and when they retry it.

    Attributes:
        retries: when a request may be retried.
        limit: the admission limit, in the unit of `FleetSettings.admission_unit`.
    """

    retries: RetryMode
    limit: float


class ControllerRuntime(Protocol):
    """Carries out commands. What is given between two flushes reaches each proxy as one message.

    Tables go by number, proxies by number, endpoints by name, routes by their index in the settings.
    """

    def schedule_evaluation(self, delay_ticks: int) -> None:
        """Hands the controller an `EvaluationDue` after this delay."""

    def log(self, text: str) -> None:
        """Writes one line to the log."""

    def watch_endpoints(self) -> None:
        """Asks for the endpoint list and, from then on, for its changes."""

    def fetch_endpoint_list(self) -> None:
        """Asks for the complete endpoint list once."""

    def check_health(self, endpoint: str) -> None:
        """Sends a health check; its end comes as a `HealthCheckCompleted`."""

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Sets the weight of an endpoint in a table; 0 removes its entry."""

    def clear_table(self, table: int) -> None:
        """Removes all entries and limits of a table."""

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        """Makes a proxy use a table for these routes, in place of what it used."""

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        """Sets what the proxies that use a table admit of a route."""

    def exclude_endpoint(self, endpoint: str) -> None:
        """Tells all proxies that may hold an entry for an endpoint not to use it, whatever the table says."""

    def readmit_endpoint(self, endpoint: str) -> None:
        """Reverts `exclude_endpoint`."""

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Excludes endpoints at one proxy that joined after the exclusion was sent."""

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Readmits endpoints at one proxy that may hold exclusions of another controller."""

    def end_session(self, proxy: int) -> None:
        """Ends the session of a proxy that acknowledges nothing; it may join again.

        The end comes as a `ProxyLeft`. Where proxies cannot be made to leave, nothing happens.
        """

    def forget_endpoint(self, endpoint: str) -> None:
        """Says that an endpoint is gone for good and will not be named again."""

    def send_sync_marker(self, marker: int) -> None:
        """Adds a marker to each message of this flush; its arrival comes as a `MessageAcknowledged`."""

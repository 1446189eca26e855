"""Encodes the commands of the controllers as replies: one line per command, with tab-separated fields."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TextIO

from ..decisions.runtime import AdmissionLimit
from .values import format_number, format_seconds

TIMER_KEY = "0"  # an instance has only one timer
ON, OFF = "1", "0"


class ReplyWriter:
    """Collects the reply lines of all instances, and writes them at the end of a batch."""

    def __init__(self, sink: TextIO) -> None:
        """Writes replies to `sink`."""
        self._sink = sink
        self._lines: list[str] = []

    def add(self, *fields: str) -> None:
        """Adds a line with these fields."""
        self._lines.append("\t".join(fields))

    def add_failure(self, instance: str, error: Exception) -> None:
        """Adds a line that reports the failure of an instance's controller and its cause."""
        self.add("GIVE_IN", instance, _one_line(f"{type(error).__name__}: {error}"))

    def finish(self, batch_id: str) -> None:
        """Completes the reply to a batch and writes it."""
        self._lines.append(f"READY\t{batch_id}\n")
        self._sink.write("\n".join(self._lines))
        self._sink.flush()
        self._lines.clear()


class InstanceCommands:
    """The `ControllerRuntime` of one instance: adds a reply line for each command."""

    def __init__(self, instance: str, reply: ReplyWriter) -> None:
        """Adds the lines of this instance to `reply`."""
        self._instance = instance
        self._reply = reply

    def schedule_evaluation(self, delay_ticks: int) -> None:
        """Requests a REMINDER, the simulator's timer event, at once if the delay is negative.

        It is unrelated to the reminders of the decisions, which repeat exclusions.
        """
        self._add("AFTER", format_seconds(max(delay_ticks, 0)), TIMER_KEY)

    def log(self, text: str) -> None:
        """Adds a line to the log of the simulator."""
        self._add("TRACE", _one_line(text))

    def watch_endpoints(self) -> None:
        """Subscribes to changes of the endpoint list."""
        self._add("LISTEN", ON)

    def fetch_endpoint_list(self) -> None:
        """Requests the complete endpoint list once."""
        self._add("RELOAD")

    def check_health(self, endpoint: str) -> None:
        """Requests a health check; its result arrives as a PROBE_DONE."""
        self._add("SAMPLE", endpoint)

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Sets the weight of a table entry; 0 removes the entry."""
        self._add("ENDPOINT", endpoint, str(table), format_number(weight))

    def clear_table(self, table: int) -> None:
        """Removes all entries and limits of a table."""
        self._add("BLANK", str(table))

    def exclude_endpoint(self, endpoint: str) -> None:
        """Stops all joined proxies from using an endpoint."""
        self._add("BENCH", endpoint, ON)

    def readmit_endpoint(self, endpoint: str) -> None:
        """Reverts `exclude_endpoint`."""
        self._add("BENCH", endpoint, OFF)

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Never called: the simulator applies an exclusion to all joined proxies."""

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Never called: in the simulator a bound proxy applies only the exclusions of its own controller."""

    def end_session(self, proxy: int) -> None:
        """Does nothing: in the simulator a controller cannot end a session."""

    def forget_endpoint(self, endpoint: str) -> None:
        """Does nothing: the simulator keeps endpoints that were removed."""

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        """Makes a proxy use a table for these routes."""
        self._add("USE_TABLE", str(proxy), str(table), _route_mask(routes))

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        """Sets the admission limit and the retry mode of a table for a route."""
        limit = format_number(admission.limit)
        self._add("ALLOW", _route_mask((route,)), str(table), str(admission.retries), limit)

    def send_sync_marker(self, marker: int) -> None:
        """Requests a CONFIRMED from each proxy that this reply sends a message to."""
        self._add("NONCE", OFF, str(marker))  # off: sends no message to proxies that get none otherwise

    def _add(self, name: str, *values: str) -> None:
        self._reply.add(name, self._instance, *values)


def _route_mask(routes: Sequence[int]) -> str:
    return str(sum(1 << route for route in routes))


def _one_line(text: str) -> str:
    return " ".join(text.split())

"""Writes the controllers' commands as the simulator's reply: a line a command, fields split by tabs."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TextIO

from ..decisions.runtime import AdmissionLimit
from .values import format_number, format_seconds

TIMER_KEY = "0"  # an instance has but one timer
ON, OFF = "1", "0"


class ReplyWriter:
    """Gathers the lines of a reply, of all instances, and writes them at the end of the batch."""

    def __init__(self, sink: TextIO) -> None:
        """Writes to this file."""
        self._sink = sink
        self._lines: list[str] = []

    def add(self, *fields: str) -> None:
        """Adds one line."""
        self._lines.append("\t".join(fields))

    def add_failure(self, instance: str, error: Exception) -> None:
        """Says that an instance's controller has failed and why, on one line."""
        self.add("GIVE_IN", instance, _one_line(f"{type(error).__name__}: {error}"))

    def finish(self, batch_id: str) -> None:
        """Ends the reply to a batch and sends it."""
        self._lines.append(f"READY\t{batch_id}\n")
        self._sink.write("\n".join(self._lines))
        self._sink.flush()
        self._lines.clear()


class InstanceCommands:
    """The `ControllerRuntime` of one instance: each command becomes a line of the reply."""

    def __init__(self, instance: str, reply: ReplyWriter) -> None:
        """Adds lines of this instance to the reply."""
        self._instance = instance
        self._reply = reply

    def schedule_evaluation(self, delay_ticks: int) -> None:
        """Asks for a REMINDER, at once if the delay is negative."""
        self._add("AFTER", format_seconds(max(delay_ticks, 0)), TIMER_KEY)

    def log(self, text: str) -> None:
        """Adds a line to the simulator's report."""
        self._add("TRACE", _one_line(text))

    def watch_endpoints(self) -> None:
        """Asks for changes of the endpoint list from now on."""
        self._add("LISTEN", ON)

    def fetch_endpoint_list(self) -> None:
        """Asks for the complete endpoint list once."""
        self._add("RELOAD")

    def check_health(self, endpoint: str) -> None:
        """Asks for a PROBE_DONE."""
        self._add("SAMPLE", endpoint)

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Sets or, with 0, removes an entry of a table."""
        self._add("ENDPOINT", endpoint, str(table), format_number(weight))

    def clear_table(self, table: int) -> None:
        """Removes the entries and limits of a table."""
        self._add("BLANK", str(table))

    def exclude_endpoint(self, endpoint: str) -> None:
        """Keeps the joined proxies from an endpoint."""
        self._add("BENCH", endpoint, ON)

    def readmit_endpoint(self, endpoint: str) -> None:
        """Takes `exclude_endpoint` back."""
        self._add("BENCH", endpoint, OFF)

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Never called: on this wire an exclusion reaches all joined proxies."""

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Never called: on this wire a bound proxy obeys the exclusions of its own controller alone."""

    def end_session(self, proxy: int) -> None:
        """Says nothing: on this wire a controller cannot end a session."""

    def forget_endpoint(self, endpoint: str) -> None:
        """Says nothing: on this wire endpoints that are gone stay known."""

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        """Makes a proxy use a table for these routes."""
        self._add("USE_TABLE", str(proxy), str(table), _route_mask(routes))

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        """Sets a table's admission limit and retries for a route."""
        limit = format_number(admission.limit)
        self._add("ALLOW", _route_mask((route,)), str(table), str(admission.retries), limit)

    def send_sync_marker(self, marker: int) -> None:
        """Asks each proxy that this reply reaches for a CONFIRMED."""
        self._add("NONCE", OFF, str(marker))  # off: proxies that it does not reach get no message for it

    def _add(self, name: str, *values: str) -> None:
        self._reply.add(name, self._instance, *values)


def _route_mask(routes: Sequence[int]) -> str:
    return str(sum(1 << route for route in routes))


def _one_line(text: str) -> str:
    return " ".join(text.split())

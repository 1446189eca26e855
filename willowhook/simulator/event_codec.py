"""Parses the event messages of the simulator, except those of the endpoint list.

A parser gets all fields of a line: the message name, the number of the instance, and the values. It also
validates values that the decisions do not use, so that no malformed line goes unnoticed.

The messages HEAT, LEASED and STANDING_LINE concern slices, which the simulator can give tables of their own.
The adapter does not support such tables: these messages are only validated.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..decisions.events import (
    EndpointReport,
    EvaluationDue,
    HealthCheckCompleted,
    HealthCheckOutcome,
    MessageAcknowledged,
    ProxyJoined,
    ProxyLeft,
    RequestReport,
)
from .messages import EventParser
from .values import parse_bytes, parse_integer, parse_load_report, parse_number, parse_ticks

CPU_UTILIZATION = "busy"  # name of the metric in a load report
TRUE = "1"
OUTCOMES = {
    0: HealthCheckOutcome.HEALTHY,
    1: HealthCheckOutcome.FAILED,
    2: HealthCheckOutcome.OVERLOADED,
    3: HealthCheckOutcome.TIMED_OUT,
    4: HealthCheckOutcome.UNREACHABLE,
}  # any other code: the health check was reset or aborted


@dataclass(frozen=True, slots=True)
class EventFormat:
    """The format of one message.

    Attributes:
        field_count: number of fields, including the message name.
        parse: parses the fields. Raises FieldError.
    """

    field_count: int
    parse: EventParser


def _parse_endpoint_report(fields: list[str]) -> EndpointReport:
    _, _, failures, window, attempts, endpoint, _, mean_latency, load = fields
    parse_ticks("window", window)
    return EndpointReport(
        endpoint=endpoint,
        attempts=parse_integer("n", attempts),
        failures=parse_integer("errors", failures),
        mean_latency_ticks=parse_ticks("elapsed", mean_latency),
        cpu_utilization=parse_load_report("metrics", load).get(CPU_UTILIZATION),
    )


def _parse_request_report(fields: list[str]) -> RequestReport:
    _, _, failures, requests, window, proxy, route = fields
    parse_integer("errors", failures)
    return RequestReport(
        proxy=parse_integer("sidecar", proxy),
        route=route,
        requests=parse_integer("n", requests),
        window_ticks=parse_ticks("window", window),
    )


def _parse_acknowledgement(fields: list[str]) -> MessageAcknowledged:
    _, _, marker, proxy, elapsed = fields
    parse_ticks("elapsed", elapsed)
    return MessageAcknowledged(
        proxy=parse_integer("sidecar", proxy),
        marker=parse_integer("number", marker),
    )


def _parse_timer(fields: list[str]) -> EvaluationDue:
    parse_integer("key-back", fields[2])  # the timer key; an instance has only one timer
    return EvaluationDue()


def _parse_health_check(fields: list[str]) -> HealthCheckCompleted:
    _, _, endpoint, outcome, elapsed, load = fields
    parse_ticks("elapsed", elapsed)
    return HealthCheckCompleted(
        endpoint=endpoint,
        outcome=OUTCOMES.get(parse_integer("how", outcome), HealthCheckOutcome.ABORTED),
        cpu_utilization=parse_load_report("metrics", load).get(CPU_UTILIZATION),
    )


def _parse_proxy_joined(fields: list[str]) -> ProxyJoined:
    _, _, proxy, zone, usual_rate, is_fresh = fields
    return ProxyJoined(
        proxy=parse_integer("sidecar", proxy),
        zone=zone,
        usual_rate_per_second=parse_number("size", usual_rate),
        is_fresh=is_fresh == TRUE,
    )


def _parse_proxy_left(fields: list[str]) -> ProxyLeft:
    return ProxyLeft(parse_integer("sidecar", fields[2]))


def _check_slice_requests(fields: list[str]) -> None:
    """Validates a request report of a slice. Tables by slice are not supported, so it is unused."""
    _, _, table, _, requests, failures, window = fields
    parse_integer("set-id", table)
    parse_integer("n", requests)
    parse_integer("errors", failures)
    parse_ticks("window", window)


def _check_peer_message(fields: list[str]) -> None:
    """Validates a message from another instance. Instances do not coordinate, so its content is unused."""
    _, _, peer, contents = fields
    parse_integer("author", peer)
    parse_bytes("contents", contents)


def _check_slice_lease(fields: list[str]) -> None:
    """Validates a lease of a slice. Tables by slice are not supported, so it is unused."""
    parse_integer("set-id", fields[2])


def _check_slice_entry(fields: list[str]) -> None:
    """Validates a table entry of a slice. Tables by slice are not supported, so it is unused."""
    _, _, _, table, weight = fields
    parse_integer("set-id", table)
    parse_number("size", weight)


EVENT_FORMATS = {
    "DIGEST": EventFormat(9, _parse_endpoint_report),
    "INGRESS": EventFormat(7, _parse_request_report),
    "CONFIRMED": EventFormat(5, _parse_acknowledgement),
    "REMINDER": EventFormat(3, _parse_timer),
    "PROBE_DONE": EventFormat(6, _parse_health_check),
    "ATTACHED": EventFormat(6, _parse_proxy_joined),
    "DISCONNECTED": EventFormat(3, _parse_proxy_left),
    "HEAT": EventFormat(7, _check_slice_requests),
    "INBOX": EventFormat(4, _check_peer_message),
    "LEASED": EventFormat(4, _check_slice_lease),
    "STANDING_LINE": EventFormat(5, _check_slice_entry),
}

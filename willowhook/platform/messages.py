"""Decodes the messages of proxies and collectors into typed events, and defines the replies to them.

The field names of the protocol are used only here, in `endpoint_list` and in `update_encoder`. One exception:
`proxy_sessions` reads the message type `t` to log it for malformed messages.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ..decisions.channel import MARKERS
from ..decisions.events import EndpointReport, MessageAcknowledged, ProxyJoined, RequestReport
from ..decisions.settings import DeploymentSettings
from ..ticks import TICKS_PER_MILLISECOND, ticks_from_milliseconds
from .fields import Fields, MalformedFieldError, describe, read_boolean, read_integer, read_number, read_text
from .framing import encode_frame

# Upper bounds, so that a malformed value is not accepted as a measurement.
MAX_SYNC_MARKER = MARKERS - 1
MAX_REQUESTS = 100_000  # in one report, which covers about a second
MAX_DURATION_MS = 600_000.0
MAX_REQUESTS_PER_SECOND = 1e6
LATENCY_TOLERANCE = 2.0  # relative to the longest deadline, which a mean latency exceeds by noise only

# Load figures and their upper bounds. The settings document and the protocol's specification name them
# differently, and peers use either name. Only the CPU utilization is used. The other figures are checked too:
# one that is out of range shows that the report is malformed, and none of its fields is used then.
# The CPU utilization is a fraction of the cores, so 1 is full use. Its bound is higher because a measured
# fraction can exceed 1 (CPU time and window are measured separately); such a report is not malformed.
CPU_UTILIZATION_KEYS = ("busy", "util")
MAX_LOAD_FIGURES = {
    "busy": 4.0,
    "q": 1e6,
    "rif": 1e6,
    "lat_ms": 6e5,
    "rate": 1e6,
    "fail_rate": 1e6,
    "util": 4.0,
    "queue": 1e6,
    "inflight": 1e6,
    "latency_ms": 6e5,
    "qps": 1e6,
    "eps": 1e6,
}

HEARTBEAT_REPLY = encode_frame({"t": "hb_ok"})
REJECTION = encode_frame({"t": "reject"})


class Heartbeat(NamedTuple):
    """A peer checks whether the connection is alive; the reply is HEARTBEAT_REPLY."""


class CollectorJoined(NamedTuple):
    """A collector, which sends endpoint reports, has identified itself.

    Attributes:
        zone: the collector's zone.
    """

    zone: str


Message = Heartbeat | CollectorJoined | ProxyJoined | EndpointReport | RequestReport | MessageAcknowledged

HEARTBEAT = Heartbeat()


class MessageDecoder:
    """Decodes messages and checks each field.

    Args:
        settings: the settings of the deployment, which define the valid zones, routes and proxy numbers.
    """

    def __init__(self, settings: DeploymentSettings) -> None:
        longest_deadline_ticks = max(route.deadline_ticks for route in settings.routes)
        self._zones = frozenset(settings.zones)
        self._routes = frozenset(route.name for route in settings.routes)
        self._last_proxy = settings.fleet.proxy_count - 1
        self._max_mean_latency_ms = longest_deadline_ticks / TICKS_PER_MILLISECOND * LATENCY_TOLERANCE
        self._decoders: dict[str, Callable[[Fields, int | None], Message]] = {
            "hb": self._decode_heartbeat,
            "attach": self._decode_proxy_joined,
            "telemetry": self._decode_collector_joined,
            "upstream_stats": self._decode_endpoint_report,
            "client_stats": self._decode_request_report,
            "done": self._decode_acknowledgement,
        }

    def decode(self, fields: Fields, proxy: int | None) -> Message:
        """Decodes a message.

        Args:
            fields: the message as a JSON object.
            proxy: the number of the proxy whose connection carried the message; None if the peer is a
                collector or has not identified itself.

        Raises:
            MalformedFieldError: if the message type is unknown, or a field is missing, has another type or is
                out of range.
        """
        message_type = fields.get("t")
        decoder = self._decoders.get(message_type) if type(message_type) is str else None
        if decoder is None:
            raise MalformedFieldError("t: unknown message type")
        return decoder(fields, proxy)

    def _decode_heartbeat(self, _fields: Fields, _proxy: int | None) -> Heartbeat:
        return HEARTBEAT

    def _decode_proxy_joined(self, fields: Fields, _proxy: int | None) -> ProxyJoined:
        return ProxyJoined(
            is_fresh=read_boolean(fields, "fresh"),
            proxy=read_integer(fields, "proxy", self._last_proxy),
            usual_rate_per_second=read_number(fields, "weight", MAX_REQUESTS_PER_SECOND),
            zone=self._read_zone(fields),
        )

    def _decode_collector_joined(self, fields: Fields, _proxy: int | None) -> CollectorJoined:
        return CollectorJoined(self._read_zone(fields))

    def _decode_acknowledgement(self, fields: Fields, proxy: int | None) -> MessageAcknowledged:
        if proxy is None:
            raise MalformedFieldError("t: only a proxy acknowledges messages")
        marker = read_integer(fields, "mark", MAX_SYNC_MARKER)
        read_number(fields, "took_ms", MAX_DURATION_MS)
        return MessageAcknowledged(proxy, marker)

    def _decode_endpoint_report(self, fields: Fields, _proxy: int | None) -> EndpointReport:
        endpoint = read_text(fields, "server")
        self._read_zone(fields)
        attempts = read_integer(fields, "tries", MAX_REQUESTS)
        failures = read_integer(fields, "failed", attempts)
        mean_latency_ms = read_number(fields, "mean_ms", self._max_mean_latency_ms)
        _read_window_ticks(fields)
        cpu_utilization = _read_cpu_utilization(fields)
        return EndpointReport(
            endpoint, attempts, failures, ticks_from_milliseconds(mean_latency_ms), cpu_utilization
        )

    def _decode_request_report(self, fields: Fields, connection_proxy: int | None) -> RequestReport:
        proxy = read_integer(fields, "proxy", self._last_proxy)
        # a collector forwards the reports of any proxy; a proxy may only send its own
        if connection_proxy is not None and proxy != connection_proxy:
            raise MalformedFieldError(
                f"proxy: expected {connection_proxy}, the proxy of the connection, got {proxy}"
            )
        route = read_text(fields, "class")
        if route not in self._routes:
            raise MalformedFieldError("class: unknown route")
        requests = read_integer(fields, "tries", MAX_REQUESTS)
        # may exceed the number of requests: a request of an earlier window may fail in this one
        read_integer(fields, "failed", MAX_REQUESTS)
        return RequestReport(proxy, route, requests, _read_window_ticks(fields))

    def _read_zone(self, fields: Fields) -> str:
        zone = read_text(fields, "zone")
        if zone not in self._zones:
            raise MalformedFieldError("zone: unknown zone")
        return zone


def _read_window_ticks(fields: Fields) -> int:
    window_ms = read_number(fields, "span_ms", MAX_DURATION_MS)
    if window_ms <= 0:
        raise MalformedFieldError("span_ms: expected a number greater than 0")
    return ticks_from_milliseconds(window_ms)


def _read_cpu_utilization(fields: Fields) -> float | None:
    """Returns the CPU utilization, the last one if the report has several, or None if it has none.

    All known load figures are checked.
    """
    load = fields.get("load")
    if load is None:
        return None
    if type(load) is not dict:
        raise MalformedFieldError(f"load: expected an object, got {describe(load)}")
    cpu_utilization = None
    for key in load:
        maximum = MAX_LOAD_FIGURES.get(key)
        if maximum is None:
            continue
        figure = read_number(load, key, maximum)
        if key in CPU_UTILIZATION_KEYS:
            cpu_utilization = figure
    return cpu_utilization

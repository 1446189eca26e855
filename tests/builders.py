"""Builders shared by several test modules: settings, a recording runtime and a controller harness."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from willowhook.decisions.channel import ChannelEstimate
from willowhook.decisions.conditions import FleetConditions
from willowhook.decisions.context import ControllerContext
from willowhook.decisions.controller import Controller
from willowhook.decisions.events import (
    EndpointEntry,
    EndpointListReceived,
    EndpointReport,
    EndpointState,
    EvaluationDue,
    MessageAcknowledged,
    ProxyJoined,
    ProxyLeft,
    RequestReport,
)
from willowhook.decisions.fleet import FleetState
from willowhook.decisions.model import Endpoint
from willowhook.decisions.queue_limits import QueueLimits
from willowhook.decisions.runtime import AdmissionLimit
from willowhook.decisions.settings import DeploymentSettings
from willowhook.settings_codec import parse_settings
from willowhook.ticks import TICKS_PER_MILLISECOND, TICKS_PER_SECOND

SECOND = TICKS_PER_SECOND
SETTINGS = parse_settings((Path(__file__).parent / "options.json").read_text())
SYNC_MARKERS = 65536
IN_SERVICE, DRAINING, REMOVED = EndpointState.IN_SERVICE, EndpointState.DRAINING, EndpointState.REMOVED
WARM = (IN_SERVICE, 0)  # listed as in service, started long ago


def settings_with(**changes: object) -> DeploymentSettings:
    """Returns the example settings with changes; `channel__message_cap=6` changes a nested field."""
    settings = SETTINGS
    for key, value in changes.items():
        outer, _, inner = key.partition("__")
        changed = getattr(settings, outer)._replace(**{inner: value}) if inner else value
        settings = settings._replace(**{outer: changed})
    return settings


@dataclass(frozen=True)
class SentMarker:
    """A sync marker on its way to a proxy.

    Attributes:
        proxy: the proxy that receives the message.
        marker: the number of the marker.
        total_entries: the entries put into the channel up to and including the message.
    """

    proxy: int
    marker: int
    total_entries: float


@dataclass
class RecordingRuntime:
    """A `ControllerRuntime` that records the commands and models the update channel.

    Attributes:
        settings: the settings of the deployment.
        now: the present time in ticks.
        log_lines: the lines logged.
        watch_count: the number of calls of `watch_endpoints`.
        fetch_count: the number of calls of `fetch_endpoint_list`.
        exclusion_count: the number of calls of `exclude_endpoint`.
        tables: the weights by table and endpoint.
        excluded: whether each endpoint is excluded at present.
        bindings: the bound table by proxy and route.
        max_retries: the highest retry mode ever set, by route.
        admission_limits: the admission limits by table and route.
        timers: when evaluations are due, in ticks.
        joined_proxies: the proxies in the order of joining, as a dict to keep the order.
        queued_entries: the entries that wait in the channel.
        message_times: when messages were sent to each proxy, in ticks.
        pending_entries: the entries of the message that the next flush sends, by proxy.
        unacknowledged: the markers of messages that wait in the channel, in the order of sending.
        total_entries: the entries ever put into the channel.
        health_checks: the endpoints for which a health check was requested.
        excluded_for_proxy: the endpoints excluded for one proxy only, by proxy.
        readmitted_for_proxy: the endpoints readmitted for one proxy only, by proxy.
        sync_marker: the marker of the next messages; -1: none yet.
        ended_sessions: the proxies whose session was ended, in order.
    """

    settings: DeploymentSettings
    now: int = 0
    log_lines: list[str] = field(default_factory=list)
    watch_count: int = 0
    fetch_count: int = 0
    exclusion_count: int = 0
    tables: dict[int, dict[str, float]] = field(default_factory=dict)
    excluded: dict[str, bool] = field(default_factory=dict)
    bindings: dict[int, dict[int, int]] = field(default_factory=dict)
    max_retries: dict[int, int] = field(default_factory=dict)
    admission_limits: dict[tuple[int, int], float] = field(default_factory=dict)
    timers: list[int] = field(default_factory=list)
    joined_proxies: dict[int, None] = field(default_factory=dict)
    queued_entries: float = 0.0
    message_times: dict[int, list[int]] = field(default_factory=dict)
    pending_entries: dict[int, int] = field(default_factory=dict)
    unacknowledged: list[SentMarker] = field(default_factory=list)
    total_entries: float = 0.0
    health_checks: list[str] = field(default_factory=list)
    excluded_for_proxy: dict[int, list[str]] = field(default_factory=dict)
    readmitted_for_proxy: dict[int, list[str]] = field(default_factory=dict)
    sync_marker: int = -1
    ended_sessions: list[int] = field(default_factory=list)

    def schedule_evaluation(self, delay_ticks: int) -> None:
        self.timers.append(self.now + delay_ticks)

    def log(self, text: str) -> None:
        self.log_lines.append(text)

    def watch_endpoints(self) -> None:
        self.watch_count += 1

    def fetch_endpoint_list(self) -> None:
        self.fetch_count += 1

    def check_health(self, endpoint: str) -> None:
        assert self.settings.health_checks
        self.health_checks.append(endpoint)

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        assert weight >= 0
        weights = self.tables.setdefault(table, {})
        weights.pop(endpoint, None)
        if weight > 0:
            weights[endpoint] = weight
        self._charge(self._proxies_bound_to(table), 1)

    def clear_table(self, table: int) -> None:
        self.tables.pop(table, None)
        self._charge(self._proxies_bound_to(table), 1)

    def exclude_endpoint(self, endpoint: str) -> None:
        self.exclusion_count += 1
        self._set_excluded(endpoint, True)

    def readmit_endpoint(self, endpoint: str) -> None:
        self._set_excluded(endpoint, False)

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        assert self.settings.exclusions_outlive_sessions and proxy in self.joined_proxies
        self.excluded_for_proxy.setdefault(proxy, []).extend(endpoints)
        self._charge([proxy], len(endpoints))

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        assert self.settings.exclusions_outlive_sessions and proxy in self.joined_proxies
        self.readmitted_for_proxy.setdefault(proxy, []).extend(endpoints)
        self._charge([proxy], len(endpoints))

    def end_session(self, proxy: int) -> None:
        self.ended_sessions.append(proxy)

    def forget_endpoint(self, endpoint: str) -> None:
        assert not any(endpoint in weights for weights in self.tables.values())
        self.excluded.pop(endpoint)

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        assert proxy in self.joined_proxies
        assert routes and all(0 <= route < len(self.settings.routes) for route in routes)
        for route in routes:
            self.bindings.setdefault(proxy, {})[route] = table
        limits = sum(1 for limited, _ in self.admission_limits if limited == table)
        self._charge([proxy], 1 + len(self.tables.get(table, {})) + limits)

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        assert admission.limit >= 0 and 0 <= route < len(self.settings.routes)
        self.max_retries[route] = max(self.max_retries.get(route, 0), admission.retries)
        self.admission_limits[table, route] = admission.limit
        self._charge(self._proxies_bound_to(table), 1)

    def send_sync_marker(self, marker: int) -> None:
        assert 0 <= marker < SYNC_MARKERS
        self.sync_marker = marker

    def send_messages(self) -> None:
        """Puts the message of each proxy with pending entries into the channel."""
        for proxy, entries in self.pending_entries.items():
            cost = entries + self.settings.channel.message_overhead_entries + 1
            self.queued_entries += cost
            self.total_entries += cost
            self.message_times.setdefault(proxy, []).append(self.now)
            self.unacknowledged.append(SentMarker(proxy, self.sync_marker, self.total_entries))
        self.pending_entries.clear()

    def drain_channel(self, until: int, speed: float) -> list[MessageAcknowledged]:
        """Runs the channel until a time, at a share of its rate; returns the acknowledgements due by then."""
        rate = self.settings.channel.entries_per_second * speed
        drained = rate * (until - self.now) / TICKS_PER_SECOND
        self.queued_entries = max(0.0, self.queued_entries - drained)
        self.now = until
        sent = self.total_entries - self.queued_entries + 1e-6  # tolerance for rounding errors
        acknowledged = []
        while self.unacknowledged and self.unacknowledged[0].total_entries <= sent:
            first = self.unacknowledged.pop(0)
            acknowledged.append(MessageAcknowledged(first.proxy, first.marker))
        return acknowledged

    def take_due_timers(self) -> int:
        """Removes the timers that are due and returns their number."""
        due = sum(timer <= self.now for timer in self.timers)
        self.timers = [timer for timer in self.timers if timer > self.now]
        return due

    def remove_proxy(self, proxy: int) -> None:
        """Ends a proxy's session; its messages that wait in the channel are never acknowledged."""
        self.joined_proxies.pop(proxy)
        self.bindings.pop(proxy, None)
        self.message_times.pop(proxy, None)
        self.unacknowledged = [sent for sent in self.unacknowledged if sent.proxy != proxy]

    def _proxies_bound_to(self, table: int) -> list[int]:
        return [proxy for proxy, tables in self.bindings.items() if table in tables.values()]

    def _charge(self, proxies: list[int], entries: int) -> None:
        for proxy in proxies:
            self.pending_entries[proxy] = self.pending_entries.get(proxy, 0) + entries

    def _set_excluded(self, endpoint: str, is_excluded: bool) -> None:
        """Charges an entry to each proxy that may hold the endpoint, as the simulated protocol does."""
        self.excluded[endpoint] = is_excluded
        holding = [table for table, weights in self.tables.items() if endpoint in weights]
        users = {proxy for table in holding for proxy in self._proxies_bound_to(table)}
        reached = [proxy for proxy in self.joined_proxies if proxy in users or proxy not in self.bindings]
        self._charge(reached, 1)


class ControllerHarness:
    """A controller with a `RecordingRuntime`, driven by events and simulated time."""

    def __init__(self, settings: DeploymentSettings = SETTINGS, seed: int = 1) -> None:
        self.runtime = RecordingRuntime(settings)
        self.controller = Controller(self.runtime, settings, seed, 0)

    @property
    def now(self) -> int:
        """The present time in ticks."""
        return self.runtime.now

    def flush(self) -> None:
        """Ends an event batch and sends its messages."""
        self.controller.flush(self.now)
        self.runtime.send_messages()

    def advance(self, ticks: int, channel_speed: float = 1.0) -> None:
        """Advances the time; runs due timers, and the channel at this share of its configured rate."""
        end = self.now + ticks
        while True:
            due = min(self.runtime.timers, default=end + 1)
            until = min(due, end)
            for acknowledged in self.runtime.drain_channel(until, channel_speed):
                self.controller.handle(until, acknowledged)
            if due > end:
                return
            for _ in range(self.runtime.take_due_timers()):
                self.controller.handle(until, EvaluationDue())
            self.flush()

    def receive_endpoint_list(
        self, listed: dict[str, tuple[EndpointState, int]], is_complete: bool = True
    ) -> None:
        """Delivers a list of (state, start) by endpoint; the number in its name gives its zone and class."""
        zones = self.runtime.settings.zones
        entries: list[EndpointEntry] = []
        for name, (state, started_at) in listed.items():
            number = int(name[1:])
            endpoint_class = "fast" if number % 2 else "std"
            zone = zones[number % len(zones)]
            entries.append(EndpointEntry(name, state, started_at, 1.0, endpoint_class, zone))
        self.controller.handle(self.now, EndpointListReceived(is_complete, tuple(entries)))

    def join_proxy(self, proxy: int, rate_per_second: float = 10.0, is_fresh: bool = True) -> None:
        """Opens a proxy's session; its number determines its zone."""
        self.runtime.joined_proxies[proxy] = None
        zones = self.runtime.settings.zones
        joined = ProxyJoined(proxy, zones[proxy % len(zones)], rate_per_second, is_fresh)
        self.controller.handle(self.now, joined)

    def remove_proxy(self, proxy: int) -> None:
        """Ends a proxy's session."""
        self.runtime.remove_proxy(proxy)
        self.controller.handle(self.now, ProxyLeft(proxy))

    def report_endpoint(
        self, name: str, attempts: int, failures: int, latency_ms: float, cpu_utilization: float = 0.5
    ) -> None:
        """Delivers a report of the attempts that proxies made at an endpoint."""
        latency_ticks = int(latency_ms * TICKS_PER_MILLISECOND)
        report = EndpointReport(name, attempts, failures, latency_ticks, cpu_utilization)
        self.controller.handle(self.now, report)

    def report_requests(self, proxy: int, route: str, requests: int) -> None:
        """Delivers the number of requests of a route that reached a proxy since its last report."""
        window = self.runtime.settings.fleet.report_interval_ticks
        self.controller.handle(self.now, RequestReport(proxy, route, requests, window))

    def usable_weights(self, table: int = 0) -> dict[str, float]:
        """Returns the weights of a table, without excluded endpoints."""
        weights = self.runtime.tables.get(table, {})
        return {name: weight for name, weight in weights.items() if not self.runtime.excluded.get(name)}


def start_fleet(
    settings: DeploymentSettings = SETTINGS, endpoints: int = 8, proxies: int = 4
) -> ControllerHarness:
    """Returns a controller with this many warm endpoints and bound proxies."""
    harness = ControllerHarness(settings)
    harness.receive_endpoint_list({f"h{k}": WARM for k in range(endpoints)})
    for proxy in range(proxies):
        harness.join_proxy(proxy)
    harness.flush()
    return harness


def make_context(settings: DeploymentSettings = SETTINGS) -> ControllerContext:
    """Returns the context of a controller that has just started, to test a single component."""
    fleet = FleetState(settings)
    channel = ChannelEstimate(settings.channel, 0)
    return ControllerContext(
        settings=settings,
        runtime=RecordingRuntime(settings),
        fleet=fleet,
        conditions=FleetConditions(pressure=0.1, success_fraction=1.0),
        channel=channel,
        limits=QueueLimits(fleet, channel),
        random_fraction=random.Random(1).random,
        bucket_ticks=SECOND,
        started_at=0,
    )


def add_endpoint(context: ControllerContext, name: str, zone: str = "north", started_at: int = 0) -> Endpoint:
    """Adds an endpoint that is in service to the fleet and returns it."""
    endpoint = Endpoint(name, context.bucket_ticks)
    endpoint.set_state(IN_SERVICE)
    endpoint.zone = zone
    endpoint.started_at = started_at
    context.fleet.endpoints[name] = endpoint
    return endpoint

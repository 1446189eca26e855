"""Peers in the soak test: proxies, collectors of load reports, and clients that never join."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

import trio
from platform_fixtures import MAX_PARTS, ReferenceProxy
from platform_process import ATTACH, SETTINGS
from update_channel import DELIVERY_INTERVAL_S, Delivery, UpdateChannel

from willowhook.platform.fields import Fields
from willowhook.platform.framing import FrameDecoder, encode_frame

REPORT_INTERVAL_S = 1.0
MAX_DELAY_S = SETTINGS["extra"]["late-most"]  # after a message has left the channel


class ControllerAddress(Protocol):
    """The part of a controller that its peers need."""

    name: str
    channel: UpdateChannel

    @property
    def port(self) -> int:
        """The port that it listens on."""


PickController = Callable[["SoakProxy"], ControllerAddress | None]
ReportFinding = Callable[[str], None]


@dataclass
class SoakProxy:
    """A proxy that stays connected to a controller until the connection ends, and then connects again.

    Attributes:
        number, zone: sent when it joins a controller.
        routes: the names of all routes.
        random: the generator of its pauses.
        pick_controller: returns the controller to connect to; None: no controller accepts proxies now.
        report_finding: called with each violation in the updates that it receives.
        reference: the tables that it holds, as a reference implementation applies the updates.
        controller: the controller of its session; None: not connected.
        joined_at: when its session began.
        message_times: when it received the messages of its session.
        reconnects_until: the time until which it reconnects in a loop.
    """

    number: int
    zone: str
    routes: list[str]
    random: random.Random
    pick_controller: PickController
    report_finding: ReportFinding
    controller: ControllerAddress | None = None
    joined_at: float = 0.0
    message_times: list[float] = field(default_factory=list)
    reconnects_until: float = 0.0
    _last_marker: int = 0
    _delivered_at: float = 0.0

    def __post_init__(self) -> None:
        self.reference = ReferenceProxy(self.routes)
        self._is_fresh = True
        self._parts: list[Fields] = []
        self._deliveries: deque[Delivery] = deque()
        self._send_lock = trio.Lock()

    def usable_weights(self, route: str) -> dict[str, float]:
        """Returns the weights of a route's endpoints that are not excluded."""
        weights = self.reference.tables[route]
        return {name: weight for name, weight in weights.items() if name not in self.reference.excluded}

    async def run(self) -> None:
        """Keeps a session with one of the controllers until cancelled."""
        while True:
            controller = self.pick_controller(self)
            if controller is None:
                await trio.sleep(0.05)
                continue
            try:
                stream = await trio.open_tcp_stream("127.0.0.1", controller.port)
            except OSError:
                await trio.sleep(self.random.uniform(0.05, 0.2))
                continue
            await self._run_session(controller, stream)
            await trio.sleep(self.random.uniform(0.0, 0.1))

    async def _run_session(self, controller: ControllerAddress, stream: trio.SocketStream) -> None:
        fields = {"proxy": self.number, "zone": self.zone, "fresh": self._is_fresh}
        was_closed = False
        try:
            async with trio.open_nursery() as nursery:
                await stream.send_all(encode_frame({**ATTACH, **fields}))
                self.joined_at = trio.current_time()
                self.controller = controller
                self.message_times = []
                self._parts = []
                self._deliveries = deque()
                self._delivered_at = 0.0
                self._last_marker = 0
                nursery.start_soon(self._report_requests, stream)
                nursery.start_soon(self._deliver, stream)
                with trio.CancelScope() as scope:
                    if self.reconnects_until > trio.current_time():
                        scope.deadline = trio.current_time() + self.random.uniform(0.02, 0.2)
                    await self._receive(stream, controller.channel)
                    was_closed = True
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            was_closed = True
        finally:
            self.controller = None
            if not was_closed:  # what waits for a proxy stays counted if the controller ends the session
                controller.channel.drop_proxy(self.number)
            await trio.aclose_forcefully(stream)

    async def _receive(self, stream: trio.SocketStream, channel: UpdateChannel) -> None:
        decoder = FrameDecoder()
        while True:
            data = await stream.receive_some(65536)
            if not data:
                return
            for part in decoder.feed(data):
                if part.get("t") == "reject":
                    self.report_finding(f"proxy {self.number} was rejected")
                    return
                self._handle_part(channel, part)

    def _handle_part(self, channel: UpdateChannel, part: Fields) -> None:
        """Puts a message into the channel once its last part has come."""
        self._parts.append(part)
        if part.get("part"):
            return
        if len(self._parts) > MAX_PARTS:
            self.report_finding(f"proxy {self.number}: a message of {len(self._parts)} parts")
        leaves_at = channel.enter(self.number, self._parts)
        self._delivered_at = max(self._delivered_at, leaves_at + self.random.uniform(0.0, MAX_DELAY_S))
        self._deliveries.append(Delivery(self._delivered_at, self._parts))
        self._parts = []
        self.message_times.append(trio.current_time())

    async def _deliver(self, stream: trio.SocketStream) -> None:
        while True:
            await trio.sleep(DELIVERY_INTERVAL_S)
            while self._deliveries and self._deliveries[0].at <= trio.current_time():
                await self._apply(stream, self._deliveries.popleft().parts)

    async def _apply(self, stream: trio.SocketStream, parts: list[Fields]) -> None:
        """Applies a message in the order of its parts, and acknowledges it."""
        for part in parts:
            self.reference.apply_part(part)
        self._is_fresh = False
        marker = parts[-1].get("stamp")
        if marker is not None:
            if marker <= self._last_marker:
                self.report_finding(f"proxy {self.number}: marker {marker} after {self._last_marker}")
            self._last_marker = marker
            acknowledgement = {"t": "done", "proxy": self.number, "mark": marker, "took_ms": 1.0}
            await self._send(stream, acknowledgement)

    async def _report_requests(self, stream: trio.SocketStream) -> None:
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            for route in self.routes:
                report = {"t": "client_stats", "proxy": self.number, "class": route, "tries": 5, "failed": 0}
                await self._send(stream, {**report, "span_ms": 1000.0 * REPORT_INTERVAL_S})

    async def _send(self, stream: trio.SocketStream, message: Fields) -> None:
        async with self._send_lock:
            await stream.send_all(encode_frame(message))


async def run_collector(
    pick_controller: Callable[[], ControllerAddress | None], active_endpoints: Callable[[], list[str]]
) -> None:
    """Reports to one controller at a time that all active endpoints serve requests, until cancelled."""
    while True:
        controller = pick_controller()
        try:
            if controller is not None:
                stream = await trio.open_tcp_stream("127.0.0.1", controller.port)
                async with stream:
                    await stream.send_all(encode_frame({"t": "telemetry", "zone": "north"}))
                    while True:
                        reports = [_endpoint_report(endpoint) for endpoint in active_endpoints()]
                        await stream.send_all(b"".join(map(encode_frame, reports)))
                        await trio.sleep(REPORT_INTERVAL_S)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        await trio.sleep(0.1)


def _endpoint_report(endpoint: str) -> Fields:
    counts = {"tries": 20, "failed": 0, "mean_ms": 40.0, "span_ms": 1000.0 * REPORT_INTERVAL_S}
    return {"t": "upstream_stats", "zone": "north", "server": endpoint, **counts, "load": {"util": 0.5}}


class BadClient(Enum):
    """A client that connects and never joins."""

    SILENT = "silent"
    INCOMPLETE_MESSAGE = "incomplete message"
    GARBAGE = "garbage"
    HEARTBEATS_ONLY = "heartbeats only"


REJECTION_TIMEOUTS_S = dict.fromkeys(BadClient, 3.0) | {BadClient.HEARTBEATS_ONLY: 6.0}
FIRST_BYTES = {
    BadClient.SILENT: b"",
    BadClient.INCOMPLETE_MESSAGE: encode_frame(ATTACH)[:-3],
    BadClient.GARBAGE: b"GET / HTTP/1.1\r\n\r\n",
    BadClient.HEARTBEATS_ONLY: encode_frame({"t": "hb"}),
}


async def run_bad_client(
    kind: BadClient, controller: ControllerAddress, report_finding: ReportFinding
) -> None:
    """Connects, and reports a finding if it is neither rejected nor disconnected in time."""
    try:
        stream = await trio.open_tcp_stream("127.0.0.1", controller.port)
    except OSError:
        return
    timeout_s = REJECTION_TIMEOUTS_S[kind]
    with trio.move_on_after(timeout_s) as scope:
        try:
            async with trio.open_nursery() as nursery:
                await stream.send_all(FIRST_BYTES[kind])
                if kind is BadClient.HEARTBEATS_ONLY:
                    nursery.start_soon(_send_heartbeats, stream)
                await _receive_until_rejected(stream)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
    await trio.aclose_forcefully(stream)
    if scope.cancelled_caught:
        report_finding(f"bad client ({kind.value}) of {controller.name}: not rejected in {timeout_s:.0f} s")


async def _send_heartbeats(stream: trio.SocketStream) -> None:
    while True:
        await trio.sleep(0.2)
        await stream.send_all(encode_frame({"t": "hb"}))


async def _receive_until_rejected(stream: trio.SocketStream) -> None:
    decoder = FrameDecoder()
    while data := await stream.receive_some(4096):
        if any(message.get("t") == "reject" for message in decoder.feed(data)):
            return

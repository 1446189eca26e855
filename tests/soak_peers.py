"""Peers of the soak: proxies that use their connections until the end, collectors, and bad clients."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

import trio
from platform_fixtures import MAX_PARTS, ReferenceProxy
from platform_process import ATTACH

from willowhook.platform.fields import Fields
from willowhook.platform.framing import FrameDecoder, encode_frame

REPORT_INTERVAL_S = 1.0


class Serving(Protocol):
    """A controller, as its peers need it."""

    name: str

    @property
    def port(self) -> int:
        """Where it listens."""


Pick = Callable[["SoakProxy"], Serving | None]
Report = Callable[[str], None]


@dataclass
class SoakProxy:
    """A proxy: it follows a controller until the connection ends, then the next one.

    Attributes:
        number, zone: as it joins.
        random: draws its pauses.
        pick: the controller to connect to; None: none takes proxies now.
        report_finding: is called with what is wrong in the updates it receives.
        plain: the tables that it holds.
        controller: the controller that it has joined; None: none.
        joined_at: when it joined.
        message_times: when it received the messages of this session.
        restless_until: until then it reconnects in a loop.
    """

    number: int
    zone: str
    routes: list[str]
    random: random.Random
    pick: Pick
    report_finding: Report
    controller: Serving | None = None
    joined_at: float = 0.0
    message_times: list[float] = field(default_factory=list)
    restless_until: float = 0.0
    _last_marker: int = 0

    def __post_init__(self) -> None:
        self.plain = ReferenceProxy(self.routes)
        self._is_fresh = True
        self._parts: list[Fields] = []
        self._sending = trio.Lock()

    def usable(self, route: str) -> dict[str, float]:
        """The weights of a route's endpoints that are not excluded."""
        weights = self.plain.tables[route]
        return {host: weight for host, weight in weights.items() if host not in self.plain.excluded}

    async def run(self) -> None:
        """Follows controllers until cancelled."""
        while True:
            controller = self.pick(self)
            if controller is None:
                await trio.sleep(0.05)
                continue
            try:
                stream = await trio.open_tcp_stream("127.0.0.1", controller.port)
            except OSError:
                await trio.sleep(self.random.uniform(0.05, 0.2))
                continue
            await self._follow(controller, stream)
            await trio.sleep(self.random.uniform(0.0, 0.1))

    async def _follow(self, controller: Serving, stream: trio.SocketStream) -> None:
        fields = {"proxy": self.number, "zone": self.zone, "fresh": self._is_fresh}
        try:
            async with trio.open_nursery() as nursery:
                await stream.send_all(encode_frame({**ATTACH, **fields}))
                self.joined_at = trio.current_time()
                self.controller = controller
                self.message_times = []
                self._parts = []
                self._last_marker = 0
                nursery.start_soon(self._report_requests, stream)
                with trio.CancelScope() as scope:
                    if self.restless_until > trio.current_time():
                        scope.deadline = trio.current_time() + self.random.uniform(0.02, 0.2)
                    await self._receive(stream)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.controller = None
            await trio.aclose_forcefully(stream)

    async def _receive(self, stream: trio.SocketStream) -> None:
        decoder = FrameDecoder()
        while True:
            data = await stream.receive_some(65536)
            if not data:
                return
            for part in decoder.feed(data):
                if part.get("t") == "reject":
                    self.report_finding(f"proxy {self.number} was rejected")
                    return
                await self._take_part(stream, part)

    async def _take_part(self, stream: trio.SocketStream, part: Fields) -> None:
        """Applies a message once its last part has come, in the order in which parts were sent."""
        self._parts.append(part)
        if part.get("part"):
            return
        if len(self._parts) > MAX_PARTS:
            self.report_finding(f"proxy {self.number}: a message of {len(self._parts)} parts")
        for each in self._parts:
            self.plain.apply_part(each)
        self._parts = []
        self._is_fresh = False
        self.message_times.append(trio.current_time())
        marker = part.get("stamp")
        if marker is not None:
            if marker <= self._last_marker:
                self.report_finding(f"proxy {self.number}: marker {marker} after {self._last_marker}")
            self._last_marker = marker
            done = {"t": "done", "proxy": self.number, "mark": marker, "took_ms": 1.0}
            await self._send(stream, done)

    async def _report_requests(self, stream: trio.SocketStream) -> None:
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            for route in self.routes:
                report = {"t": "client_stats", "proxy": self.number, "class": route, "tries": 5, "failed": 0}
                await self._send(stream, {**report, "span_ms": 1000.0 * REPORT_INTERVAL_S})

    async def _send(self, stream: trio.SocketStream, message: Fields) -> None:
        async with self._sending:
            await stream.send_all(encode_frame(message))


async def run_collector(pick: Callable[[], Serving | None], active: Callable[[], list[str]]) -> None:
    """Passes on to one controller that all active endpoints answer, until cancelled."""
    while True:
        controller = pick()
        try:
            if controller is not None:
                stream = await trio.open_tcp_stream("127.0.0.1", controller.port)
                async with stream:
                    await stream.send_all(encode_frame({"t": "telemetry", "zone": "north"}))
                    while True:
                        reports = [_endpoint_report(host) for host in active()]
                        await stream.send_all(b"".join(map(encode_frame, reports)))
                        await trio.sleep(REPORT_INTERVAL_S)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        await trio.sleep(0.1)


def _endpoint_report(host: str) -> Fields:
    counts = {"tries": 20, "failed": 0, "mean_ms": 40.0, "span_ms": 1000.0 * REPORT_INTERVAL_S}
    return {"t": "upstream_stats", "zone": "north", "server": host, **counts, "load": {"util": 0.5}}


class BadClient(Enum):
    """A peer that does not join."""

    SILENT = "silent"
    HALF_A_MESSAGE = "half a message"
    GARBAGE = "garbage"
    GOES_ON = "goes on"


REJECTED_WITHIN_S = dict.fromkeys(BadClient, 3.0) | {BadClient.GOES_ON: 6.0}
FIRST_BYTES = {
    BadClient.SILENT: b"",
    BadClient.HALF_A_MESSAGE: encode_frame(ATTACH)[:-3],
    BadClient.GARBAGE: b"GET / HTTP/1.1\r\n\r\n",
    BadClient.GOES_ON: encode_frame({"t": "hb"}),
}


async def run_bad_client(kind: BadClient, controller: Serving, report_finding: Report) -> None:
    """Connects, and reports a finding if it is neither rejected nor closed in time."""
    try:
        stream = await trio.open_tcp_stream("127.0.0.1", controller.port)
    except OSError:
        return
    limit_s = REJECTED_WITHIN_S[kind]
    with trio.move_on_after(limit_s) as scope:
        try:
            async with trio.open_nursery() as nursery:
                await stream.send_all(FIRST_BYTES[kind])
                if kind is BadClient.GOES_ON:
                    nursery.start_soon(_go_on, stream)
                await _receive_until_rejected(stream)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
    await trio.aclose_forcefully(stream)
    if scope.cancelled_caught:
        report_finding(f"bad client ({kind.value}) of {controller.name}: not rejected in {limit_s:.0f} s")


async def _go_on(stream: trio.SocketStream) -> None:
    while True:
        await trio.sleep(0.2)
        await stream.send_all(encode_frame({"t": "hb"}))


async def _receive_until_rejected(stream: trio.SocketStream) -> None:
    decoder = FrameDecoder()
    while data := await stream.receive_some(4096):
        if any(message.get("t") == "reject" for message in decoder.feed(data)):
            return

"""The platform's update channel as its protocol page describes it, and proxies that are reached through it.

It shares no code with the encoder or the decisions: frames, costs and queue are its own.
"""

from __future__ import annotations

import json
import random
import struct
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import trio

from willowhook.platform.fields import Fields

DELIVERY_INTERVAL_S = 0.02
LENGTH = struct.Struct("<I")


def encode(message: Fields) -> bytes:
    body = json.dumps(message).encode()
    return LENGTH.pack(len(body)) + body


def part_cost(part: Fields) -> int:
    """Each line, excluded or readmitted endpoint, level, marker and `replace` counts as one entry."""
    listed = sum(len(part.get(key, ())) for key in ("rows", "drop", "undrop"))
    return listed + sum(key in part for key in ("replace", "gate", "stamp"))


class FrameReader:
    """Splits the bytes of a stream into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Fields]:
        self._buffer += data
        while len(self._buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._buffer)
            end = LENGTH.size + length
            if len(self._buffer) < end:
                return
            message = json.loads(self._buffer[LENGTH.size : end])
            del self._buffer[:end]
            yield message


@dataclass
class WaitingMessage:
    """A message in the channel.

    Attributes:
        proxy: the proxy that it is for.
        cost: its entries, including the overhead.
        leaves_at: when it has left the channel.
    """

    proxy: int
    cost: int
    leaves_at: float


@dataclass
class UpdateChannel:
    """Carries messages one after another at a fixed rate, and records how many entries wait.

    Attributes:
        entries_per_second: the rate at which entries leave.
        limit_entries: the entries that may wait.
        overhead_entries: what a message costs in addition to its entries.
        peak_entries: the most entries that waited at one time.
        breaches: the time and the number of waiting entries, for each message that entered over the limit.
        costs: the cost of each message that entered.
    """

    entries_per_second: float
    limit_entries: float
    overhead_entries: float
    peak_entries: float = 0.0
    breaches: list[tuple[float, float]] = field(default_factory=list)
    costs: list[float] = field(default_factory=list)
    _waiting: deque[WaitingMessage] = field(default_factory=deque)
    _waiting_entries: float = 0.0
    _idle_at: float = 0.0

    def enter(self, proxy: int, parts: list[Fields]) -> float:
        """Adds a message whose last byte has come; returns when it leaves."""
        now = trio.current_time()
        self._remove_departed(now)
        cost = self.overhead_entries + sum(map(part_cost, parts))
        self._idle_at = max(self._idle_at, now) + cost / self.entries_per_second
        self._waiting.append(WaitingMessage(proxy, cost, self._idle_at))
        self._waiting_entries += cost
        self.costs.append(cost)
        self.peak_entries = max(self.peak_entries, self._waiting_entries)
        if self._waiting_entries > self.limit_entries:
            self.breaches.append((now, self._waiting_entries))
        return self._idle_at

    def drop_proxy(self, proxy: int) -> None:
        """Stops counting the messages of a proxy that has left by itself."""
        self._remove_departed(trio.current_time())
        for message in self._waiting:
            if message.proxy == proxy:
                self._waiting_entries -= message.cost
                message.cost = 0

    def _remove_departed(self, now: float) -> None:
        while self._waiting and self._waiting[0].leaves_at <= now:
            self._waiting_entries -= self._waiting.popleft().cost


class Delivery(NamedTuple):
    """A message that has left the channel, or will, and when it reaches its proxy."""

    at: float
    parts: list[Fields]


@dataclass
class ChannelProxy:
    """A proxy that applies and acknowledges each message once the channel has delivered it.

    Attributes:
        number, zone, is_fresh: sent when it joins.
        port: the port of the controller.
        channel: the channel of the controller.
        delays: the generator of the delays after a message has left the channel.
        max_delay_s: the longest of these delays.
        tables: the weights that it holds, by route.
        excluded: the endpoints that it does not use.
        was_closed: whether the controller ended its connection.
    """

    number: int
    zone: str
    is_fresh: bool
    port: int
    channel: UpdateChannel
    delays: random.Random
    max_delay_s: float
    tables: dict[str, dict[str, float]] = field(default_factory=dict)
    excluded: set[str] = field(default_factory=set)
    was_closed: bool = False

    def is_served(self, routes: list[str]) -> bool:
        """Returns whether it has an endpoint to use for each of these routes."""
        return all(self.tables.get(route, {}).keys() - self.excluded for route in routes)

    async def run(self, may_join: trio.Event | None = None) -> None:
        """Connects, joins, and stays connected until cancelled or until the controller ends the connection.

        With `may_join`, it joins when that event is set.
        """
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        attach = {
            "t": "attach",
            "proxy": self.number,
            "zone": self.zone,
            "weight": 1.0,
            "fresh": self.is_fresh,
        }
        deliveries = deque[Delivery]()
        try:
            if may_join is not None:
                await may_join.wait()
            async with trio.open_nursery() as nursery:
                await stream.send_all(encode(attach))
                nursery.start_soon(self._deliver, stream, deliveries)
                await self._receive(stream, deliveries)
                self.was_closed = True
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            self.was_closed = True
        finally:
            if not self.was_closed:
                self.channel.drop_proxy(self.number)
            await trio.aclose_forcefully(stream)

    async def _receive(self, stream: trio.SocketStream, deliveries: deque[Delivery]) -> None:
        reader = FrameReader()
        parts: list[Fields] = []
        delivered_at = 0.0
        while data := await stream.receive_some(65536):
            for part in reader.feed(data):
                parts.append(part)
                if part.get("part"):
                    continue
                delay_s = self.delays.uniform(0.0, self.max_delay_s)
                delivered_at = max(delivered_at, self.channel.enter(self.number, parts) + delay_s)
                deliveries.append(Delivery(delivered_at, parts))
                parts = []

    async def _deliver(self, stream: trio.SocketStream, deliveries: deque[Delivery]) -> None:
        while True:
            await trio.sleep(DELIVERY_INTERVAL_S)
            while deliveries and deliveries[0].at <= trio.current_time():
                parts = deliveries.popleft().parts
                for part in parts:
                    self._apply(part)
                marker = parts[-1].get("stamp")
                if marker is not None:
                    done = {"t": "done", "proxy": self.number, "mark": marker, "took_ms": 1.0}
                    await stream.send_all(encode(done))

    def _apply(self, part: Fields) -> None:
        for route in part.get("for", ()):
            table = {} if part.get("replace") else self.tables.get(route, {})
            for endpoint, weight in part.get("rows", ()):
                table.pop(endpoint, None)
                if weight:
                    table[endpoint] = weight
            self.tables[route] = table
        self.excluded |= set(part.get("drop", ()))
        self.excluded -= set(part.get("undrop", ()))

"""Stand-in clients: an open loop of the day's calls, repeated as clients do, each with an id.

`python -m willowhook.trial.standin_client JSON`.  A call that may run again is repeated after any failure;
any other only after an answer that proves that it never ran.
"""

from __future__ import annotations

import random
import signal
import sys

import msgspec
import trio

from ..clock import monotonic_ticks
from ..ticks import TICKS_PER_SECOND
from ..web.wire import ClientConnection, ConnectionLostError, open_connection
from ..xds.tables import NOT_EXECUTED_HEADER
from .day import Arrival, Scenario, arrivals
from .notes import EventLog


class ClientWorkerConfig(msgspec.Struct):
    day: str  # file
    ports: list[int]
    notes: str
    start: int  # when the day begins, by the machine's clock
    part: int = 0  # this process makes every nth call
    parts: int = 1


class ClientWorker:
    def __init__(self, orders: ClientWorkerConfig, scenario: Scenario) -> None:
        self.config, self.scenario = orders, scenario
        self.event_log = EventLog(orders.notes)
        self.routes = {route.name: route for route in scenario.routes}
        self.idle_connections: dict[int, list[ClientConnection]] = {}
        self.rng = random.Random(scenario.seed + 11)

    async def make_request(self, arrival: Arrival) -> None:
        route = self.routes[arrival.route]
        began = monotonic_ticks()
        out, attempts = "dropped", 0
        with trio.move_on_after(route.time_limit_ms / 1000):
            while True:
                attempt = f"{arrival.id}.{attempts}"
                attempts += 1
                head = [(b"x-attempt", attempt.encode()), (b"x-work-ms", str(arrival.work_ms).encode())]
                if route.semantics == "keyed":
                    head.append((b"x-key", arrival.key.encode()))
                status, proof = await self.send_attempt(self.config.ports[arrival.proxy], route.path, head)
                if status == 200:
                    out = "answered"
                    break
                out = "throttled" if status == 429 else "dropped"
                may = status == 429 or proof or route.semantics == "repeatable"
                if attempts > self.scenario.client_retries or not may:
                    break
                await trio.sleep(self.scenario.client_wait_ms / 1000 * (0.5 + self.rng.random()))
        self.event_log.record(
            "call",
            c=arrival.id,
            r=arrival.route,
            began=began,
            took=monotonic_ticks() - began,
            out=out,
            attempts=attempts,
        )

    async def send_attempt(self, port: int, path: str, head: list[tuple[bytes, bytes]]) -> tuple[int, bool]:
        idle_connections = self.idle_connections.setdefault(port, [])
        caller: ClientConnection | None = None
        while idle_connections and caller is None:
            caller = idle_connections.pop()
            if not caller.usable or not caller.is_open():
                await caller.close()
                caller = None
        try:
            if caller is None:
                caller = await open_connection("127.0.0.1", port, 1.0)
            reply = await caller.request(b"POST", path.encode(), head, b"{}")
        except ConnectionLostError as fault:
            return 0, not fault.sent
        finally:
            if caller is not None:
                if caller.usable:
                    idle_connections.append(caller)
                else:
                    with trio.CancelScope(shield=True):
                        await caller.close()
        return reply.status, reply.header(NOT_EXECUTED_HEADER.encode()) is not None

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.event_log.run)
            async with trio.open_nursery() as calls:
                for k, arrival in enumerate(arrivals(self.scenario)):
                    if k % self.config.parts != self.config.part:
                        continue
                    wait = (self.config.start - monotonic_ticks()) / TICKS_PER_SECOND + arrival.at
                    if wait > 0:
                        await trio.sleep(wait)
                    calls.start_soon(self.make_request, arrival)
            nursery.cancel_scope.cancel()
        self.event_log.flush()


def main() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    orders = msgspec.json.decode(sys.argv[1].encode(), type=ClientWorkerConfig)
    with open(orders.day, "rb") as file:
        day = msgspec.json.decode(file.read(), type=Scenario)
    trio.run(ClientWorker(orders, day).run)


if __name__ == "__main__":
    main()

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


class Clients:
    def __init__(self, orders: ClientWorkerConfig, day: Scenario) -> None:
        self.o, self.day = orders, day
        self.notes = EventLog(orders.notes)
        self.routes = {route.name: route for route in day.routes}
        self.idle: dict[int, list[ClientConnection]] = {}
        self.chance = random.Random(day.seed + 11)

    async def one(self, arrival: Arrival) -> None:
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
                status, proof = await self.ask(self.o.ports[arrival.proxy], route.path, head)
                if status == 200:
                    out = "answered"
                    break
                out = "throttled" if status == 429 else "dropped"
                may = status == 429 or proof or route.semantics == "repeatable"
                if attempts > self.day.client_retries or not may:
                    break
                await trio.sleep(self.day.client_wait_ms / 1000 * (0.5 + self.chance.random()))
        self.notes.record(
            "call",
            c=arrival.id,
            r=arrival.route,
            began=began,
            took=monotonic_ticks() - began,
            out=out,
            attempts=attempts,
        )

    async def ask(self, port: int, path: str, head: list[tuple[bytes, bytes]]) -> tuple[int, bool]:
        idle = self.idle.setdefault(port, [])
        caller: ClientConnection | None = None
        while idle and caller is None:
            caller = idle.pop()
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
                    idle.append(caller)
                else:
                    with trio.CancelScope(shield=True):
                        await caller.close()
        return reply.status, reply.header(NOT_EXECUTED_HEADER.encode()) is not None

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.notes.run)
            async with trio.open_nursery() as calls:
                for k, arrival in enumerate(arrivals(self.day)):
                    if k % self.o.parts != self.o.part:
                        continue
                    wait = (self.o.start - monotonic_ticks()) / TICKS_PER_SECOND + arrival.at
                    if wait > 0:
                        await trio.sleep(wait)
                    calls.start_soon(self.one, arrival)
            nursery.cancel_scope.cancel()
        self.notes.flush()


def main() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    orders = msgspec.json.decode(sys.argv[1].encode(), type=ClientWorkerConfig)
    with open(orders.day, "rb") as file:
        day = msgspec.json.decode(file.read(), type=Scenario)
    trio.run(Clients(orders, day).run)


if __name__ == "__main__":
    main()

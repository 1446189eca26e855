"""Stand-in clients: they make the scenario's requests at their times, and retry them as clients do.

`python -m willowhook.trial.standin_client JSON`. The times do not depend on the answers (an open loop). Each
request has an id. A repeatable request is retried after any failure, any other one only after an answer that
proves that it was not executed.
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
    """What a client process does, as the JSON of its command line."""

    day: str  # path of the scenario
    ports: list[int]  # of the proxies
    notes: str  # path of the event log
    start: int  # of the scenario, in ticks of the monotonic clock
    part: int = 0  # this process makes every nth request, n being `parts`
    parts: int = 1


class ClientWorker:
    """Makes the requests of one process."""

    def __init__(self, config: ClientWorkerConfig, scenario: Scenario) -> None:
        self.config, self.scenario = config, scenario
        self.event_log = EventLog(config.notes)
        self.routes = {route.name: route for route in scenario.routes}
        self.idle_connections: dict[int, list[ClientConnection]] = {}
        self.rng = random.Random(scenario.seed + 11)

    async def make_request(self, arrival: Arrival) -> None:
        """Makes a request and its retries, within the time limit of its route, and records the outcome."""
        route = self.routes[arrival.route]
        began = monotonic_ticks()
        outcome, attempts = "dropped", 0
        with trio.move_on_after(route.time_limit_ms / 1000):
            while True:
                attempt_id = f"{arrival.id}.{attempts}"
                attempts += 1
                headers = [(b"x-attempt", attempt_id.encode()), (b"x-work-ms", str(arrival.work_ms).encode())]
                if route.semantics == "keyed":
                    headers.append((b"x-key", arrival.key.encode()))
                status, is_not_executed = await self.send_attempt(
                    self.config.ports[arrival.proxy], route.path, headers
                )
                if status == 200:
                    outcome = "answered"
                    break
                outcome = "throttled" if status == 429 else "dropped"
                may_retry = status == 429 or is_not_executed or route.semantics == "repeatable"
                if attempts > self.scenario.client_retries or not may_retry:
                    break
                await trio.sleep(self.scenario.client_wait_ms / 1000 * (0.5 + self.rng.random()))
        self.event_log.record(
            "call",
            c=arrival.id,
            r=arrival.route,
            began=began,
            took=monotonic_ticks() - began,
            out=outcome,
            attempts=attempts,
        )

    async def send_attempt(
        self, port: int, path: str, headers: list[tuple[bytes, bytes]]
    ) -> tuple[int, bool]:
        """The status, 0 for a lost connection, and whether the request was provably not executed."""
        idle = self.idle_connections.setdefault(port, [])
        connection: ClientConnection | None = None
        while idle and connection is None:
            connection = idle.pop()
            if not connection.usable or not connection.is_open():
                await connection.close()
                connection = None
        try:
            if connection is None:
                connection = await open_connection("127.0.0.1", port, 1.0)
            reply = await connection.request(b"POST", path.encode(), headers, b"{}")
        except ConnectionLostError as error:
            return 0, not error.sent
        finally:
            if connection is not None:
                if connection.usable:
                    idle.append(connection)
                else:
                    with trio.CancelScope(shield=True):
                        await connection.close()
        return reply.status, reply.header(NOT_EXECUTED_HEADER.encode()) is not None

    async def run(self) -> None:
        """Makes all requests of this process, and waits until they are done."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.event_log.run)
            async with trio.open_nursery() as requests:
                for number, arrival in enumerate(arrivals(self.scenario)):
                    if number % self.config.parts != self.config.part:
                        continue
                    wait_s = (self.config.start - monotonic_ticks()) / TICKS_PER_SECOND + arrival.at
                    if wait_s > 0:
                        await trio.sleep(wait_s)
                    requests.start_soon(self.make_request, arrival)
            nursery.cancel_scope.cancel()
        self.event_log.flush()


def main() -> None:
    """Entry point; the interrupt of a terminal is left to the parent process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    config = msgspec.json.decode(sys.argv[1].encode(), type=ClientWorkerConfig)
    with open(config.day, "rb") as file:
        scenario = msgspec.json.decode(file.read(), type=Scenario)
    trio.run(ClientWorker(config, scenario).run)


if __name__ == "__main__":
    main()

"""A stand-in endpoint: a process with cores, a queue, a slow start, draining and a log of executed requests.

`python -m willowhook.trial.standin_host JSON`. Work is a sleep; its amount is the time on a core of speed 1.
An endpoint that gets too much work while it warms up ends its process and stays down.
"""

from __future__ import annotations

import os
import random
import signal
import sys
from collections import deque
from functools import partial
from typing import Any

import msgspec
import trio

from ..clock import monotonic_ticks
from ..ticks import TICKS_PER_SECOND
from ..web.wire import Call, Reply, serve_connection
from ..xds import orca
from ..xds.tables import NOT_EXECUTED_HEADER
from .day import EndpointPlan
from .notes import EventLog, serve_commands


class EndpointProcessConfig(msgspec.Struct):
    """What an endpoint process does, as the JSON of its command line."""

    plan: EndpointPlan
    notes: str  # path of the event log
    marks: str  # folder of the idempotency keys that were used; the endpoints of a zone share it
    seed: int
    windows: dict[str, float]  # by route: seconds for which a repeat is dropped; 0: never
    start_capacity: float
    cold_s: float  # length of the slow start; 0: already warm
    fall_multiple: float
    fall_s: float


class StandInEndpoint:
    """Serves requests with limited capacity; faults are set as attributes by commands."""

    def __init__(self, config: EndpointProcessConfig) -> None:
        self.config, self.plan = config, config.plan
        self.event_log = EventLog(config.notes)
        self.rng = random.Random(config.seed)
        self.started_at = monotonic_ticks()
        self.cores = trio.Semaphore(config.plan.cores)
        self.waiting = self.open_connections = self.busy = 0
        self.used_core_ticks, self.measured_at, self.utilization = 0.0, monotonic_ticks(), 0.0
        self.hang = self.draining = False
        self.slow, self.fail, self.squeeze = 1.0, 0.0, 1.0
        self.unanswered, self.false_load = "", -1.0
        self.recent_work: deque[tuple[int, float, str]] = deque()  # time, work and proxy
        self.recent_work_sum = 0.0
        self.peak_overload_share = 0.0

    # Capacity

    def warm_fraction(self) -> float:
        """The part of its capacity that it has now."""
        if not self.config.cold_s:
            return 1.0
        age = (monotonic_ticks() - self.started_at) / TICKS_PER_SECOND
        start = self.config.start_capacity
        return min(1.0, start + (1 - start) * age / self.config.cold_s)

    def check_overload(self, work: float, proxy: str) -> None:
        """Ends the process if a warming endpoint got more work in its window than it tolerates."""
        if not self.config.cold_s or self.warm_fraction() >= 1:
            return
        now = monotonic_ticks()
        self.recent_work.append((now, work, proxy))
        self.recent_work_sum += work
        while self.recent_work and self.recent_work[0][0] < now - self.config.fall_s * TICKS_PER_SECOND:
            self.recent_work_sum -= self.recent_work.popleft()[1]
        capacity = self.plan.cores * self.plan.speed * self.warm_fraction()
        budget = self.config.fall_multiple * self.config.fall_s * capacity
        if self.recent_work_sum / budget > self.peak_overload_share:
            self.peak_overload_share = self.recent_work_sum / budget
            self.event_log.record("cold_load", host=self.plan.id, share=round(self.peak_overload_share, 4))
        if self.recent_work_sum > budget:
            work_by_proxy: dict[str, float] = {}
            for _, amount, sender in self.recent_work:
                work_by_proxy[sender] = work_by_proxy.get(sender, 0.0) + amount
            since = self.recent_work[0][0]
            self.event_log.record(
                "fell",
                host=self.plan.id,
                born=self.started_at,
                since=since,
                work=self.recent_work_sum,
                by=work_by_proxy,
            )
            self.event_log.flush()
            os._exit(9)

    def update_utilization(self) -> None:
        """Computes the utilization of the cores, once a quarter of a second has passed."""
        now = monotonic_ticks()
        elapsed = now - self.measured_at
        if elapsed >= TICKS_PER_SECOND // 4:
            self.utilization = min(1.0, self.used_core_ticks / (elapsed * self.plan.cores))
            self.used_core_ticks, self.measured_at = 0.0, now

    def load_header(self) -> bytes:
        """The load in ORCA format, with the false utilization of a fault if one is set."""
        self.update_utilization()
        utilization = self.utilization if self.false_load < 0 else self.false_load
        return orca.write({orca.UTILIZATION: utilization, "named_metrics.queue": float(self.waiting)})

    # Requests

    async def answer(self, call: Call) -> Reply | None:
        """Executes a request, or answers that it was not executed."""
        load_headers = [(orca.HEADER, self.load_header())]
        if call.target == b"/load":
            if self.hang:
                await trio.sleep_forever()
            return Reply(200, load_headers)
        route = call.headers.get(b"x-route", b"").decode()
        attempt = call.headers.get(b"x-attempt", b"").decode()
        proxy = call.headers.get(b"x-proxy", b"").decode()
        work = float(call.headers.get(b"x-work-ms", b"1")) / 1000
        refusal_headers = [*load_headers, (NOT_EXECUTED_HEADER.encode(), b"1")]
        self.event_log.record("got", host=self.plan.id, c=attempt, r=route, p=proxy)
        if self.draining:
            return Reply(503, refusal_headers, b"draining", close=True)
        self.check_overload(work, proxy)
        if self.hang or route == self.unanswered:
            await trio.sleep_forever()
        if self.fail and self.rng.random() < self.fail:
            return Reply(500, load_headers, b"failed")
        if self.waiting >= self.plan.waiting:
            return Reply(503, refusal_headers, b"full")
        self.waiting += 1
        try:
            await self.cores.acquire()
        finally:
            self.waiting -= 1
        try:
            key = call.headers.get(b"x-key", b"").decode()
            if self.is_repeat(route, key, attempt):
                return Reply(200, load_headers, b"done before")
            duration_s = work / (self.plan.speed * self.warm_fraction()) * self.slow
            self.event_log.record(
                "effect", host=self.plan.id, c=attempt, r=route, key=key, zone=self.plan.zone
            )
            self.event_log.flush()  # so that a kill does not lose it
            # work that has begun runs to its end even if the client has left
            with trio.CancelScope(shield=True):
                await trio.sleep(duration_s)
            self.used_core_ticks += duration_s * TICKS_PER_SECOND
        finally:
            self.cores.release()
        return Reply(200, [(orca.HEADER, self.load_header())], b"done")

    def is_repeat(self, route: str, key: str, attempt: str) -> bool:
        """Whether this key was used in the window of the route. Used keys are files that a zone shares."""
        window_s = self.config.windows.get(route, 0.0)
        if not window_s:
            return False
        path = f"{self.config.marks}/{key}"
        try:
            fd = os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY)
            os.write(fd, str(monotonic_ticks()).encode())
            os.close(fd)
            return False
        except FileExistsError:
            with open(path, "rb") as file:
                used_at = int(file.read() or b"0")
            if monotonic_ticks() - used_at <= window_s * TICKS_PER_SECOND:
                self.event_log.record("repeat_dropped", host=self.plan.id, c=attempt)
                return True
            with open(path, "w") as out:
                out.write(str(monotonic_ticks()))
            return False

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves a connection; closes it at once if there are too many."""
        if self.open_connections >= max(1, int(self.plan.connections * self.squeeze)):
            await trio.aclose_forcefully(stream)
            return
        self.open_connections += 1
        self.used_core_ticks += self.plan.handshake_ms * TICKS_PER_SECOND / 1000
        try:
            await serve_connection(stream, self.answer)
        finally:
            self.open_connections -= 1

    # Faults

    def set(self, name: str, value: object) -> None:
        """Sets an attribute that a fault changes. Raises AttributeError if there is none of this name."""
        if not hasattr(self, name):
            raise AttributeError(name)
        setattr(self, name, value)
        self.event_log.record("set", host=self.plan.id, name=name, value=value)

    async def run(self) -> None:
        """Listens, prints the port, and serves until its standard input ends."""
        self.event_log.record("born", host=self.plan.id, cold=bool(self.config.cold_s))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.event_log.run)
            listen = partial(trio.serve_tcp, self.serve, 0, host="127.0.0.1")
            listeners: Any = await nursery.start(listen)
            port = listeners[0].socket.getsockname()[1]
            print(port, flush=True)
            await serve_commands({"set": self.set})  # until the parent process closes standard input
            nursery.cancel_scope.cancel()


def main() -> None:
    """Entry point; the interrupt of a terminal is left to the parent process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    trio.run(StandInEndpoint(msgspec.json.decode(sys.argv[1].encode(), type=EndpointProcessConfig)).run)


if __name__ == "__main__":
    main()

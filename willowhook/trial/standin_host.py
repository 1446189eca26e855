"""A stand-in host: a process with cores, a waiting room, a cold start, a drain and a ledger of effects.

`python -m willowhook.trial.standin_host JSON`.  Work is waited for, not done; it is told in times of a core
of speed 1.  A host that falls over, for being sent too much while cold, ends and stays down.
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
    plan: EndpointPlan
    notes: str
    marks: str  # folder of marks against repeats, shared by the hosts of a zone
    seed: int
    windows: dict[str, float]  # by route: how long a repeat is dropped, s; 0: never
    start_capacity: float
    cold_s: float  # 0: warm already
    fall_multiple: float
    fall_s: float


class StandInEndpoint:
    def __init__(self, orders: EndpointProcessConfig) -> None:
        self.o, self.plan = orders, orders.plan
        self.notes = EventLog(orders.notes)
        self.chance = random.Random(orders.seed)
        self.born = monotonic_ticks()
        self.cores = trio.Semaphore(orders.plan.cores)
        self.waiting = self.open = self.busy = 0
        self.used, self.used_at, self.told = 0.0, monotonic_ticks(), 0.0
        self.hang = self.draining = False
        self.slow, self.fail, self.squeeze = 1.0, 0.0, 1.0
        self.unanswered, self.false_load = "", -1.0
        self.window: deque[tuple[int, float, str]] = deque()  # work that came lately: when, how much, whose
        self.came = 0.0
        self.nearest = 0.0

    # Capacity.

    def warmth(self) -> float:
        if not self.o.cold_s:
            return 1.0
        age = (monotonic_ticks() - self.born) / TICKS_PER_SECOND
        start = self.o.start_capacity
        return min(1.0, start + (1 - start) * age / self.o.cold_s)

    def weigh(self, work: float, proxy: str) -> None:
        """Too much for a cold host, over its window: it falls."""
        if not self.o.cold_s or self.warmth() >= 1:
            return
        now = monotonic_ticks()
        self.window.append((now, work, proxy))
        self.came += work
        while self.window and self.window[0][0] < now - self.o.fall_s * TICKS_PER_SECOND:
            self.came -= self.window.popleft()[1]
        able = self.plan.cores * self.plan.speed * self.warmth()
        budget = self.o.fall_multiple * self.o.fall_s * able
        if self.came / budget > self.nearest:
            self.nearest = self.came / budget
            self.notes.record("cold_load", host=self.plan.id, share=round(self.nearest, 4))
        if self.came > budget:
            by: dict[str, float] = {}
            for _, part, who in self.window:
                by[who] = by.get(who, 0.0) + part
            since = self.window[0][0]
            self.notes.record("fell", host=self.plan.id, born=self.born, since=since, work=self.came, by=by)
            self.notes.flush()
            os._exit(9)

    def gauge(self) -> None:
        now = monotonic_ticks()
        span = now - self.used_at
        if span >= TICKS_PER_SECOND // 4:
            self.told = min(1.0, self.used / (span * self.plan.cores))
            self.used, self.used_at = 0.0, now

    def load(self) -> bytes:
        self.gauge()
        busy = self.told if self.false_load < 0 else self.false_load
        return orca.write({orca.UTILIZATION: busy, "named_metrics.queue": float(self.waiting)})

    # Calls.

    async def answer(self, call: Call) -> Reply | None:
        told = [(orca.HEADER, self.load())]
        if call.target == b"/load":
            if self.hang:
                await trio.sleep_forever()
            return Reply(200, told)
        route = call.headers.get(b"x-route", b"").decode()
        attempt = call.headers.get(b"x-attempt", b"").decode()
        proxy = call.headers.get(b"x-proxy", b"").decode()
        work = float(call.headers.get(b"x-work-ms", b"1")) / 1000
        back = [*told, (NOT_EXECUTED_HEADER.encode(), b"1")]
        self.notes.record("got", host=self.plan.id, c=attempt, r=route, p=proxy)
        if self.draining:
            return Reply(503, back, b"draining", close=True)
        self.weigh(work, proxy)
        if self.hang or route == self.unanswered:
            await trio.sleep_forever()
        if self.fail and self.chance.random() < self.fail:
            return Reply(500, told, b"failed")
        if self.waiting >= self.plan.waiting:
            return Reply(503, back, b"full")
        self.waiting += 1
        try:
            await self.cores.acquire()
        finally:
            self.waiting -= 1
        try:
            key = call.headers.get(b"x-key", b"").decode()
            if self.repeated(route, key, attempt):
                return Reply(200, told, b"done before")
            took = work / (self.plan.speed * self.warmth()) * self.slow
            self.notes.record("effect", host=self.plan.id, c=attempt, r=route, key=key, zone=self.plan.zone)
            self.notes.flush()  # the process may be killed at any time
            # once begun, it runs to its end, whoever still waits
            with trio.CancelScope(shield=True):
                await trio.sleep(took)
            self.used += took * TICKS_PER_SECOND
        finally:
            self.cores.release()
        return Reply(200, [(orca.HEADER, self.load())], b"done")

    def repeated(self, route: str, key: str, attempt: str) -> bool:
        """Marks of keys are files that a zone's hosts share; a repeat within the window has no effect."""
        window = self.o.windows.get(route, 0.0)
        if not window:
            return False
        path = f"{self.o.marks}/{key}"
        try:
            fd = os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY)
            os.write(fd, str(monotonic_ticks()).encode())
            os.close(fd)
            return False
        except FileExistsError:
            with open(path, "rb") as file:
                at = int(file.read() or b"0")
            if monotonic_ticks() - at <= window * TICKS_PER_SECOND:
                self.notes.record("repeat_dropped", host=self.plan.id, c=attempt)
                return True
            with open(path, "w") as out:
                out.write(str(monotonic_ticks()))
            return False

    async def serve(self, stream: trio.SocketStream) -> None:
        if self.open >= max(1, int(self.plan.connections * self.squeeze)):
            await trio.aclose_forcefully(stream)
            return
        self.open += 1
        self.used += self.plan.handshake_ms * TICKS_PER_SECOND / 1000
        try:
            await serve_connection(stream, self.answer)
        finally:
            self.open -= 1

    # Troubles.

    def set(self, name: str, value: object) -> None:
        if not hasattr(self, name):
            raise AttributeError(name)
        setattr(self, name, value)
        self.notes.record("set", host=self.plan.id, name=name, value=value)

    async def run(self) -> None:
        self.notes.record("born", host=self.plan.id, cold=bool(self.o.cold_s))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.notes.run)
            listen = partial(trio.serve_tcp, self.serve, 0, host="127.0.0.1")
            listeners: Any = await nursery.start(listen)
            port = listeners[0].socket.getsockname()[1]
            print(port, flush=True)
            await serve_commands({"set": self.set})  # until the one who started it is gone
            nursery.cancel_scope.cancel()


def main() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    trio.run(StandInEndpoint(msgspec.json.decode(sys.argv[1].encode(), type=EndpointProcessConfig)).run)


if __name__ == "__main__":
    main()

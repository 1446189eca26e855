"""A program that submits is killed, over and over: nothing takes effect twice, no outcome is told wrongly.

The service it submits to is in this process: it answers, refuses with proof, or breaks off before or after
the effect.  The program keeps a ledger, repeats after each start what it may, and says the outcomes.
"""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import trio

from ..clock import monotonic_ticks
from ..store.commit import Committer
from ..store.ledger import RequestLedger
from ..store.outcomes import ANSWERED, DONE, FAILED, NOT_EXECUTED, RETRY
from ..store.store import OUTCOMES, Store
from ..web.wire import Call, ConnectionLostError, Reply, open_connection, serve_connection
from ..xds.tables import NOT_EXECUTED_HEADER

AT_ONCE, MOST_TRIES = 8, 3


def submit_on(folder: str, port: int, life: int) -> None:
    """The main of the program that is killed."""
    store = Store(folder, ranks={"outcomes": OUTCOMES})
    committer = Committer(store)
    ledger = RequestLedger(store, committer)
    out = os.fdopen(1, "wb", buffering=0)

    async def see_through(call: str) -> None:
        """Tries as long as that is safe, then tells."""
        for _ in range(MOST_TRIES):
            if ledger.request(call).retry_decision(monotonic_ticks()) != RETRY:
                break
            number = await ledger.start_attempt(call, monotonic_ticks())
            what = FAILED
            try:
                caller = await open_connection("127.0.0.1", port, 1.0)
                reply = await caller.request(b"POST", b"/submit", [(b"x-key", call.encode())], b"task")
                proof = reply.header(NOT_EXECUTED_HEADER.encode()) is not None
                what = ANSWERED if reply.status == 200 else NOT_EXECUTED if proof else FAILED
                await caller.close()
            except ConnectionLostError as fault:
                what = FAILED if fault.sent else NOT_EXECUTED
            await ledger.end_attempt(call, number, what, monotonic_ticks())
        out.write(f"told {call} {ledger.request(call).state()}\n".encode())
        await ledger.mark_reported(call, monotonic_ticks())

    async def work(k: int) -> None:
        n = 0
        while True:
            n += 1
            call = f"c{life}.{k}.{n}"
            await ledger.begin(call, "mutating", monotonic_ticks())
            await see_through(call)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(committer.run)
            for call in ledger.unreported():
                nursery.start_soon(see_through, call)
            for k in range(AT_ONCE):
                nursery.start_soon(work, k)

    trio.run(run)


@dataclass
class SubmitReport:
    kills: int = 0
    calls: int = 0
    effects: int = 0
    reported_outcomes: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)

    def lines(self) -> list[str]:
        rows = ", ".join(f"{what} {count}" for what, count in sorted(self.reported_outcomes.items()))
        return [
            f"{self.kills} kills, {self.calls} calls, {self.effects} effects; told: {rows}",
            f"{len(self.wrong)} wrong",
            *self.wrong[:8],
        ]

    @property
    def passed(self) -> bool:
        return not self.wrong and self.effects > self.kills


def run_submits(folder: Path, kills: int, seed: int, say: Callable[[str], None]) -> SubmitReport:
    report, chance = SubmitReport(), random.Random(seed)
    effects: Counter[str] = Counter()
    told: dict[str, str] = {}

    async def answer(call: Call) -> Reply | None:
        key, lot = call.headers.get(b"x-key", b"").decode(), chance.random()
        await trio.sleep(chance.uniform(0, 0.01))
        if lot < 0.1:
            return Reply(503, [(NOT_EXECUTED_HEADER.encode(), b"1")])
        if lot < 0.15:
            return None  # broken off before it had any effect
        effects[key] += 1
        if lot < 0.2:
            return None  # and after
        return Reply(200, [], b"done")

    async def lives(port: int) -> None:
        for life in range(kills + 1):
            args = f"submit_on({str(folder / 's')!r}, {port}, {life})"
            code = f"from willowhook.trial.submits import submit_on; {args}"
            process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
            assert process.stdout is not None
            os.set_blocking(process.stdout.fileno(), False)
            end, data, first = time.perf_counter() + 10, b"", False
            while time.perf_counter() < end:
                await trio.sleep(0.005)
                chunk = process.stdout.read() or b""
                data += chunk
                if chunk and not first:
                    first, end = True, time.perf_counter() + chance.uniform(0.0, 0.15)
            process.send_signal(signal.SIGKILL)
            await trio.to_thread.run_sync(process.wait)
            data += process.stdout.read() or b""
            process.stdout.close()
            report.kills += 1
            for line in data.decode().splitlines():
                _, call, what = line.split(" ", 2)
                if told.get(call, what) != what and told[call] == DONE:
                    report.wrong.append(f"{call} was told {told[call]}, then {what}")
                told[call] = what

    async def run() -> None:
        async with trio.open_nursery() as nursery:

            async def serve(stream: trio.SocketStream) -> None:
                await serve_connection(stream, answer)

            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            await lives(listeners[0].socket.getsockname()[1])
            nursery.cancel_scope.cancel()

    trio.run(run)
    report.calls, report.effects, report.reported_outcomes = (
        len(told),
        sum(effects.values()),
        Counter(told.values()),
    )
    for call, count in effects.items():
        if count > 1:
            report.wrong.append(f"{call} had effect {count} times")
    for call, what in told.items():
        if what == DONE and effects[call] != 1:
            report.wrong.append(f"{call} was told to be done, and had effect {effects[call]} times")
        if what == "not done" and effects[call]:
            report.wrong.append(f"{call} was told not to be done, and had its effect")
    return report

"""Kills a program that submits requests repeatedly: no request may take effect twice or be misreported.

The server runs in this process: it answers, refuses with a proof that the request was not executed, or closes
the connection before or after the effect.  The program keeps a request ledger, retries after each start the
requests that are safe to retry, and reports the outcomes.
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

CONCURRENT_REQUESTS, MAX_ATTEMPTS = 8, 3


def run_submitter(folder: str, port: int, process_number: int) -> None:
    """Main function of the program that is killed."""
    store = Store(folder, ranks={"outcomes": OUTCOMES})
    committer = Committer(store)
    ledger = RequestLedger(store, committer)
    output = os.fdopen(1, "wb", buffering=0)

    async def complete(request: str) -> None:
        """Sends attempts while that is safe, then reports the outcome."""
        for _ in range(MAX_ATTEMPTS):
            if ledger.request(request).retry_decision(monotonic_ticks()) != RETRY:
                break
            number = await ledger.start_attempt(request, monotonic_ticks())
            outcome = FAILED
            try:
                connection = await open_connection("127.0.0.1", port, 1.0)
                reply = await connection.request(b"POST", b"/submit", [(b"x-key", request.encode())], b"task")
                is_not_executed = reply.header(NOT_EXECUTED_HEADER.encode()) is not None
                outcome = ANSWERED if reply.status == 200 else NOT_EXECUTED if is_not_executed else FAILED
                await connection.close()
            except ConnectionLostError as error:
                outcome = FAILED if error.sent else NOT_EXECUTED
            await ledger.end_attempt(request, number, outcome, monotonic_ticks())
        output.write(f"told {request} {ledger.request(request).state()}\n".encode())
        await ledger.mark_reported(request, monotonic_ticks())

    async def submit_repeatedly(worker: int) -> None:
        sequence = 0
        while True:
            sequence += 1
            request = f"c{process_number}.{worker}.{sequence}"
            await ledger.begin(request, "mutating", monotonic_ticks())
            await complete(request)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(committer.run)
            for request in ledger.unreported():
                nursery.start_soon(complete, request)
            for worker in range(CONCURRENT_REQUESTS):
                nursery.start_soon(submit_repeatedly, worker)

    trio.run(run)


@dataclass
class SubmitReport:
    """Counts, reported outcomes and wrong outcomes of one run."""

    kills: int = 0
    calls: int = 0
    effects: int = 0
    reported_outcomes: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)

    def lines(self) -> list[str]:
        """Describes the result for a reader."""
        rows = ", ".join(f"{what} {count}" for what, count in sorted(self.reported_outcomes.items()))
        return [
            f"{self.kills} kills, {self.calls} requests, {self.effects} effects; reported: {rows}",
            f"{len(self.wrong)} wrong",
            *self.wrong[:8],
        ]

    @property
    def passed(self) -> bool:
        """Whether the run found no violation."""
        return not self.wrong and self.effects > self.kills


def run_submits(folder: Path, kills: int, seed: int, say: Callable[[str], None]) -> SubmitReport:
    """Kills the program repeatedly and compares its reports with the effects on the server."""
    report, generator = SubmitReport(), random.Random(seed)
    effects: Counter[str] = Counter()
    reported: dict[str, str] = {}

    async def answer(call: Call) -> Reply | None:
        key, draw = call.headers.get(b"x-key", b"").decode(), generator.random()
        await trio.sleep(generator.uniform(0, 0.01))
        if draw < 0.1:
            return Reply(503, [(NOT_EXECUTED_HEADER.encode(), b"1")])
        if draw < 0.15:
            return None  # closed before any effect
        effects[key] += 1
        if draw < 0.2:
            return None  # closed after the effect
        return Reply(200, [], b"done")

    async def run_processes(port: int) -> None:
        for process_number in range(kills + 1):
            invocation = f"run_submitter({str(folder / 's')!r}, {port}, {process_number})"
            code = f"from willowhook.trial.submits import run_submitter; {invocation}"
            process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
            assert process.stdout is not None
            os.set_blocking(process.stdout.fileno(), False)
            kill_at, data, has_output = time.perf_counter() + 10, b"", False
            while time.perf_counter() < kill_at:
                await trio.sleep(0.005)
                chunk = process.stdout.read() or b""
                data += chunk
                if chunk and not has_output:
                    has_output, kill_at = True, time.perf_counter() + generator.uniform(0.0, 0.15)
            process.send_signal(signal.SIGKILL)
            await trio.to_thread.run_sync(process.wait)
            data += process.stdout.read() or b""
            process.stdout.close()
            report.kills += 1
            for line in data.decode().splitlines():
                _, call, outcome = line.split(" ", 2)
                if reported.get(call, outcome) != outcome and reported[call] == DONE:
                    report.wrong.append(f"{call} was reported as {reported[call]}, then as {outcome}")
                reported[call] = outcome

    async def run() -> None:
        async with trio.open_nursery() as nursery:

            async def serve(stream: trio.SocketStream) -> None:
                await serve_connection(stream, answer)

            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            await run_processes(listeners[0].socket.getsockname()[1])
            nursery.cancel_scope.cancel()

    trio.run(run)
    report.calls, report.effects, report.reported_outcomes = (
        len(reported),
        sum(effects.values()),
        Counter(reported.values()),
    )
    for call, count in effects.items():
        if count > 1:
            report.wrong.append(f"{call} took effect {count} times")
    for call, outcome in reported.items():
        if outcome == DONE and effects[call] != 1:
            report.wrong.append(f"{call} was reported as done, but took effect {effects[call]} times")
        if outcome == "not done" and effects[call]:
            report.wrong.append(f"{call} was reported as not done, but took effect")
    return report

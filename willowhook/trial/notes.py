"""Event log of a stand-in process: one JSON object a line, with times of the machine's monotonic clock."""

from __future__ import annotations

import os
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

from ..clock import monotonic_ticks

_encode = msgspec.json.Encoder().encode


class EventLog:
    """Appends events to a file, in buffered writes."""

    def __init__(self, path: str) -> None:
        """Opens the file, which is created if it is missing."""
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644)
        self._lines: list[bytes] = []

    def record(self, kind: str, **parts: Any) -> None:
        """Adds an event of this kind, with its time and these fields."""
        self._lines.append(_encode({"t": monotonic_ticks(), "kind": kind, **parts}))
        if len(self._lines) >= 200:
            self.flush()

    def flush(self) -> None:
        """Writes the buffered events to the file."""
        if self._lines:
            os.write(self._fd, b"\n".join(self._lines) + b"\n")
            self._lines.clear()

    async def run(self) -> None:
        """Flushes the buffer at regular intervals, and when it is cancelled."""
        try:
            while True:
                await trio.sleep(0.2)
                self.flush()
        finally:
            self.flush()


def read_events(path: str) -> list[dict[str, Any]]:
    """All events of a log. A last line that a killed process left incomplete is ignored."""
    with open(path, "rb") as file:
        return [msgspec.json.decode(line) for line in file if line.endswith(b"}\n")]


async def serve_commands(commands: dict[str, Callable[..., Any]]) -> None:
    """Reads `{"do": NAME, ...}` lines from standard input until its end, and calls the named functions.

    The other members of a line are the function's keyword arguments.
    """
    stream = trio.lowlevel.FdStream(os.dup(sys.stdin.fileno()))
    incomplete = b""
    async for chunk in stream:
        incomplete += chunk
        *lines, incomplete = incomplete.split(b"\n")
        for line in lines:
            arguments = msgspec.json.decode(line)
            result = commands[arguments.pop("do")](**arguments)
            if isinstance(result, Awaitable):
                await result

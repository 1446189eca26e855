"""What a stand-in notes at its sockets and files: a JSON object a line, on the machine's monotonic clock."""

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
    def __init__(self, path: str) -> None:
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644)
        self._rows: list[bytes] = []

    def record(self, kind: str, **parts: Any) -> None:
        self._rows.append(_encode({"t": monotonic_ticks(), "kind": kind, **parts}))
        if len(self._rows) >= 200:
            self.flush()

    def flush(self) -> None:
        if self._rows:
            os.write(self._fd, b"\n".join(self._rows) + b"\n")
            self._rows.clear()

    async def run(self) -> None:
        try:
            while True:
                await trio.sleep(0.2)
                self.flush()
        finally:
            self.flush()


def read_events(path: str) -> list[dict[str, Any]]:
    with open(path, "rb") as file:
        return [msgspec.json.decode(line) for line in file if line.endswith(b"}\n")]


async def serve_commands(commands: dict[str, Callable[..., Any]]) -> None:
    """Takes `{"do": NAME, ...}` lines from standard input until it ends, and calls what they name."""
    stream = trio.lowlevel.FdStream(os.dup(sys.stdin.fileno()))
    rest = b""
    async for chunk in stream:
        rest += chunk
        *lines, rest = rest.split(b"\n")
        for line in lines:
            parts = msgspec.json.decode(line)
            result = commands[parts.pop("do")](**parts)
            if isinstance(result, Awaitable):
                await result

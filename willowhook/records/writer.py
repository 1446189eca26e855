"""Appends records to a file, in batches, without ever holding up who makes them."""

from __future__ import annotations

import os
from collections import deque
from typing import Any

import msgspec
import trio

_encode = msgspec.json.Encoder().encode


class RecordWriter:
    """`note` never waits: what cannot be kept is counted, and the count is the next record."""

    def __init__(self, path: str, most_waiting: int) -> None:
        self._path, self._most = path, most_waiting
        self._waiting: deque[dict[str, Any]] = deque()
        self._lost = 0
        self._fd, self._left = -1, b""  # encoded, but not yet written
        self.write_error = ""  # why records cannot be written now

    def append(self, now: int, kind: str, **parts: Any) -> None:
        """`now` in tenths of a millisecond of the director's clock."""
        if not self._path:
            return
        if len(self._waiting) >= self._most:
            self._lost += 1
            return
        if self._lost:
            self._waiting.append({"t": now, "kind": "lost", "records": self._lost})
            self._lost = 0
        self._waiting.append({"t": now, "kind": kind, **parts})

    def flush(self) -> None:
        """Writes what waits; on a disk fault it goes on waiting."""
        if not self._waiting and not self._left:
            return
        try:
            if self._fd < 0:
                os.makedirs(os.path.dirname(os.path.abspath(self._path)), exist_ok=True)
                self._fd = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644)
            self._left += b"".join(_encode(row) + b"\n" for row in self._waiting)
            self._waiting.clear()
            while self._left:
                self._left = self._left[os.write(self._fd, self._left) :]
            self.write_error = ""
        except OSError as fault:
            self.write_error = str(fault)

    async def run(self, every: float) -> None:
        try:
            while True:
                await trio.sleep(every)
                self.flush()
        finally:
            self.flush()


def read_records(path: str) -> list[dict[str, Any]]:
    """All whole records; a line that a dying director left in part is skipped."""
    found = []
    with open(path, "rb") as file:
        for line in file:
            try:
                row = msgspec.json.decode(line)
            except msgspec.DecodeError:
                continue
            if isinstance(row, dict) and "kind" in row:
                found.append(row)
    return found

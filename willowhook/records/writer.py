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
        self._path, self._max_pending = path, most_waiting
        self._pending: deque[dict[str, Any]] = deque()
        self._lost_count = 0
        self._fd, self._unwritten = -1, b""  # encoded, but not yet written
        self.write_error = ""  # why records cannot be written now

    def append(self, now: int, kind: str, **parts: Any) -> None:
        """`now` in tenths of a millisecond of the director's clock."""
        if not self._path:
            return
        if len(self._pending) >= self._max_pending:
            self._lost_count += 1
            return
        if self._lost_count:
            self._pending.append({"t": now, "kind": "lost", "records": self._lost_count})
            self._lost_count = 0
        self._pending.append({"t": now, "kind": kind, **parts})

    def flush(self) -> None:
        """Writes what waits; on a disk fault it goes on waiting."""
        if not self._pending and not self._unwritten:
            return
        try:
            if self._fd < 0:
                os.makedirs(os.path.dirname(os.path.abspath(self._path)), exist_ok=True)
                self._fd = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644)
            self._unwritten += b"".join(_encode(row) + b"\n" for row in self._pending)
            self._pending.clear()
            while self._unwritten:
                self._unwritten = self._unwritten[os.write(self._fd, self._unwritten) :]
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

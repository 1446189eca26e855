"""Appends event records to a file in batches, and reads them."""

from __future__ import annotations

import os
from collections import deque
from typing import Any

import msgspec
import trio

_encode = msgspec.json.Encoder().encode


class RecordWriter:
    """Appends event records to a file; only `flush` waits for the disk.

    Records that exceed the queue are dropped, and a record with their count follows.

    Attributes:
        write_error: why records cannot be written now; empty: they can.
    """

    def __init__(self, path: str, max_pending: int) -> None:
        """`path` is the file; empty: nothing is recorded. `max_pending` limits the queue, in records."""
        self._path, self._max_pending = path, max_pending
        self._pending: deque[dict[str, Any]] = deque()
        self._dropped_count = 0
        self._fd, self._unwritten = -1, b""  # encoded, but not written yet
        self.write_error = ""

    def append(self, now: int, kind: str, **parts: Any) -> None:
        """Queues a record. `now` is in ticks of the controller's clock."""
        if not self._path:
            return
        if len(self._pending) >= self._max_pending:
            self._dropped_count += 1
            return
        if self._dropped_count:
            self._pending.append({"t": now, "kind": "lost", "records": self._dropped_count})
            self._dropped_count = 0
        self._pending.append({"t": now, "kind": kind, **parts})

    def flush(self) -> None:
        """Writes the queued records; after a write error they stay queued."""
        if not self._pending and not self._unwritten:
            return
        try:
            if self._fd < 0:
                os.makedirs(os.path.dirname(os.path.abspath(self._path)), exist_ok=True)
                self._fd = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o644)
            self._unwritten += b"".join(_encode(record) + b"\n" for record in self._pending)
            self._pending.clear()
            while self._unwritten:
                self._unwritten = self._unwritten[os.write(self._fd, self._unwritten) :]
            self.write_error = ""
        except OSError as error:
            self.write_error = str(error)

    async def run(self, interval_seconds: float) -> None:
        """Flushes once per interval, and a last time when it is cancelled."""
        try:
            while True:
                await trio.sleep(interval_seconds)
                self.flush()
        finally:
            self.flush()


def read_records(path: str) -> list[dict[str, Any]]:
    """Returns all complete records; a line that a crashed controller wrote in part is skipped."""
    records = []
    with open(path, "rb") as file:
        for line in file:
            try:
                record = msgspec.json.decode(line)
            except msgspec.DecodeError:
                continue
            if isinstance(record, dict) and "kind" in record:
                records.append(record)
    return records

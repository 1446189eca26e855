"""Follows the table files of one proxy and exports each change, replacing the exported files atomically."""

from __future__ import annotations

import os
from typing import Any

import trio

from ..files.follow import FileGroupFollower
from ..files.swap import FileGroupWriter
from ..xds.codec import MessageFormatError
from .export import export

RETRY_INTERVAL_S = 0.2  # after a failed write


class Follower:
    """Exports a proxy's table group on each change.

    After an error the previous files stay; the error is logged once, and so is the recovery.
    """

    def __init__(
        self,
        group: str,
        output: FileGroupWriter,
        log: Any,
        watch: str = "inotify",
        poll_interval_s: float = 0.05,
    ) -> None:
        self._parent_folder, self._group_name = os.path.split(os.path.abspath(group))
        self._output, self._log = output, log
        self._followers = FileGroupFollower(watch, poll_interval_s, self._export_group)
        self._last_error = ""
        self._pending_files: dict[str, bytes] | None = None
        self._reported_remarks: list[str] = []
        self.swaps = 0

    def _export_group(self, _: str, files: dict[str, bytes]) -> None:
        try:
            exported = export(files)
        except (MessageFormatError, UnicodeDecodeError) as error:
            self._log_error(f"table group cannot be exported: {error}")
            return
        if exported.remarks != self._reported_remarks:
            self._reported_remarks = exported.remarks
            self._log.warning("tables exported with differences", remarks=exported.remarks)
        self._pending_files = exported.files
        self._write_pending()

    def _write_pending(self) -> None:
        if self._pending_files is None:
            return
        try:
            self.swaps += self._output.put(self._pending_files)
        except OSError as error:
            self._log_error(f"exported blocks cannot be written: {error}")
            return
        self._pending_files = None
        if self._last_error:
            self._last_error = ""
            self._log.info("exported blocks are up to date again")

    def _log_error(self, text: str) -> None:
        if text != self._last_error:
            self._last_error = text
            self._log.warning(text)

    async def _retry_writes(self) -> None:
        while True:
            await trio.sleep(RETRY_INTERVAL_S)
            self._write_pending()

    async def run(self) -> None:
        """Runs until cancelled."""
        self._followers.follow("one", self._parent_folder, self._group_name)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._retry_writes)
            await self._followers.run()

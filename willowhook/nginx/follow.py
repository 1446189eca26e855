"""Keeps the blocks of one proxy's group up to date, each change swapped in whole."""

from __future__ import annotations

import os
from typing import Any

import trio

from ..files.follow import FileGroupFollower
from ..files.swap import FileGroupWriter
from ..xds.codec import MessageFormatError
from .export import export

AGAIN_S = 0.2  # after a swap that failed


class Follower:
    """What cannot be read or swapped leaves what was there; one line when that begins, one when it ends."""

    def __init__(
        self, group: str, shelf: FileGroupWriter, log: Any, watch: str = "inotify", every_s: float = 0.05
    ) -> None:
        self._down, self._name = os.path.split(os.path.abspath(group))
        self._shelf, self._log = shelf, log
        self._followers = FileGroupFollower(watch, every_s, self._seen)
        self._bad = ""
        self._waiting: dict[str, bytes] | None = None
        self._told: list[str] = []
        self.swaps = 0

    def _seen(self, _: str, files: dict[str, bytes]) -> None:
        try:
            made = export(files)
        except (MessageFormatError, UnicodeDecodeError) as fault:
            self._fault(f"the group is no set of tables: {fault}")
            return
        if made.remarks != self._told:
            self._told = made.remarks
            self._log.warning("some of it cannot be said", remarks=made.remarks)
        self._waiting = made.files
        self._put()

    def _put(self) -> None:
        if self._waiting is None:
            return
        try:
            self.swaps += self._shelf.put(self._waiting)
        except OSError as fault:
            self._fault(f"blocks cannot be swapped: {fault}")
            return
        self._waiting = None
        if self._bad:
            self._bad = ""
            self._log.info("blocks follow the group again")

    def _fault(self, text: str) -> None:
        if text != self._bad:
            self._bad = text
            self._log.warning(text)

    async def _again(self) -> None:
        while True:
            await trio.sleep(AGAIN_S)
            self._put()

    async def run(self) -> None:
        self._followers.follow("one", self._down, self._name)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._again)
            await self._followers.run()

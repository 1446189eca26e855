"""Reads what proxies put in place, and hands it to the deciding task: each file once, each stay once."""

from __future__ import annotations

import os
import stat
from collections.abc import Callable
from functools import partial

import trio

from ..files.layout import LOAD, PROXY_NAME, STATUS, Folder
from ..files.ops import FileOps
from ..files.swap import read_at, read_group
from ..files.watch import Watch
from .intake import ProxyIntake
from .proxy_files import PROXY_FILES
from .report_desk import ReportDesk


class ProxyFeed:
    """`send` takes calls for the deciding task, in which alone the intake is called."""

    def __init__(
        self, folder: Folder, ops: FileOps, watch: Watch, most: int, intake: ProxyIntake,
        send: trio.MemorySendChannel[Callable[[int], None]], reports: ReportDesk, clock: Callable[[], int],
    ) -> None:  # fmt: skip
        self._reports, self._clock = reports, clock
        self._later: dict[str, int] = {}  # proxies whose report is read then
        self._up, self._down, self._ops, self._watch, self._most = folder.up, folder.down, ops, watch, most
        self._intake, self._send = intake, send
        self._stays: dict[str, tuple[int, ...]] = {}  # of the proxies that are here
        self._read_marks: dict[tuple[str, str], tuple[int, int]] = {}  # of the files read last

    async def read_later(self) -> None:
        while True:
            await trio.sleep(0.05)
            now = self._clock()
            for name in [name for name, due in self._later.items() if due <= now]:
                del self._later[name]
                await self._news(name, LOAD)

    async def run(self) -> None:
        up, watch = self._up, self._watch
        watch.add(up, "")
        for name in self._ops.listdir(up):
            await self._came(name)
        while True:
            for key, file in await watch.changed():
                if key:
                    await self._news(key, file)
                elif file:
                    await self._came(file)
                else:  # some news was lost
                    for name in dict.fromkeys([*self._ops.listdir(up), *self._stays]):
                        await self._came(name)

    async def _news(self, name: str, file: str) -> None:
        """One file of one proxy; all of them if some news was lost."""
        if name not in self._stays:
            await self._came(name)  # it had been given up, or had not shown itself whole
            return
        for each in [file] if file else PROXY_FILES:
            if each == LOAD:
                if self._reports.aside(name):
                    continue
                now = self._clock()
                if self._reports.due(now, name) > now:  # the newest will be there then too
                    self._later.setdefault(name, self._reports.due(now, name))
                    continue
                self._reports.read(now, name)
            data = await self._read(name, each)
            if data is not None and each == LOAD:
                self._reports.offer(self._clock(), name, data)
                await trio.lowlevel.checkpoint()  # of a thousand files none holds up the decisions
            elif data is not None:
                await self._send.send(partial(self._swapped, name, each, data))

    def _swapped(self, name: str, file: str, data: bytes, now: int) -> None:
        self._intake.process_file(now, name, file, data)

    async def _read(self, name: str, file: str) -> bytes | None:
        """A file that was not read yet; one that was is no news, however often it is looked at."""
        path = f"{self._up}/{name}/{file}"
        try:
            mark = self._mark_of(path)
            if self._read_marks.get((name, file)) == mark:
                return None
            data = read_at(None, path, self._most)
            self._read_marks[name, file] = mark
            return data
        except (FileNotFoundError, NotADirectoryError):
            return None
        except OSError as fault:
            cause = str(fault)
            if file == LOAD:
                self._reports.unreadable(self._clock(), name, cause)
            await self._send.send(lambda now: self._intake.reject_unreadable(name, file, cause))
            return None

    @staticmethod
    def _mark_of(path: str) -> tuple[int, int]:
        at = os.lstat(path)
        return at.st_ino, at.st_mtime_ns

    def _stay_of(self, name: str) -> tuple[int, ...]:
        """What tells one stay of a proxy from the next: folders are given the numbers of those that went."""
        path = f"{self._up}/{name}"
        at = os.lstat(path)
        if not stat.S_ISDIR(at.st_mode):
            return ()
        try:
            return at.st_ino, *self._mark_of(f"{path}/{STATUS}")
        except OSError:
            return (at.st_ino,)

    async def _came(self, name: str) -> None:
        """A folder came, or went, or both, or was there all the time."""
        if not PROXY_NAME.match(name):
            return
        try:
            stay = self._stay_of(name)
            if stay:  # also one that was watched: the watch may have gone with a folder of the same name
                self._watch.add(f"{self._up}/{name}", name)
        except OSError:
            stay = ()
        if not stay:
            self._watch.drop(name)
            self.forget(name)
            await self._send.send(lambda now: self._intake.close_session(name, "its folder is gone"))
        elif self._stays.get(name) == stay:
            await self._news(name, "")
        else:
            self.forget(name)
            files = {file: await self._read(name, file) for file in PROXY_FILES}
            found = {file: data for file, data in files.items() if data is not None}
            try:
                lies: dict[str, bytes] | None = read_group(f"{self._down}/{name}")[1]
            except OSError:
                lies = None
            self._stays[name] = stay
            await self._send.send(partial(self._appeared, name, stay, found, lies))

    def forget(self, name: str) -> None:
        """Its next file, or its next folder, is looked at as if it had just come."""
        self._stays.pop(name, None)
        for file in PROXY_FILES:
            self._read_marks.pop((name, file), None)

    def _appeared(
        self,
        name: str,
        stay: tuple[int, ...],
        found: dict[str, bytes],
        lies: dict[str, bytes] | None,
        now: int,
    ) -> None:
        if self._intake.open_session(now, name, found, lies):
            self._stays[name] = stay
        else:  # looked at again when it puts the next file in place
            self.forget(name)

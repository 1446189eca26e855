"""Reads each version of the files that proxies write to their folders once, for the decision task."""

from __future__ import annotations

import contextlib
import os
import stat

import trio

from ..files.layout import LOAD_FILE, PROXY_NAME, STATUS_FILE
from ..files.swap import read_file, read_group
from ..files.watch import Watch
from .context import ServiceContext
from .inbound_events import (
    FolderIdentity,
    ProxyFileUnreadable,
    ProxyFileWritten,
    ProxyFolderFound,
    ProxyFolderRemoved,
)
from .intake import ProxyIntake
from .proxy_files import PROXY_FILES
from .report_processor import ReportProcessor

REPORT_POLL_SECONDS = 0.05  # interval of the checks for deferred load reports that are due

FileIdentity = tuple[int, int]
"""Inode and modification time of a file."""


class ProxyFolderFeed:
    """Watches the folders of proxies and queues their changes; only the decision task calls the intake."""

    def __init__(
        self,
        context: ServiceContext,
        watch: Watch,
        intake: ProxyIntake,
        reports: ReportProcessor,
    ) -> None:
        """Creates a feed that reads nothing until it runs.

        Args:
            context: the shared context.
            watch: reports which files have changed.
            intake: processes the files.
            reports: processes load reports.
        """
        self._inbound_path = context.folder.inbound_path
        self._outbound_path = context.folder.outbound_path
        self._ops = context.ops
        self._max_file_bytes = context.terms.files.largest_report_bytes
        self._queue = context.queue
        self._now = context.now
        self._watch = watch
        self._intake = intake
        self._reports = reports
        self._folders: dict[str, FolderIdentity] = {}  # by proxy: the folder that was read
        self._files_read: dict[tuple[str, str], FileIdentity] = {}  # by proxy and file
        self._deferred_reports: dict[str, int] = {}  # by proxy: the tick at which to read its report
        self._reports_seen: dict[str, FileIdentity] = {}  # by proxy: an unread report counted as activity

    # Tasks.

    async def run(self) -> None:
        """Watches the folders of proxies until cancelled."""
        self._watch.add(self._inbound_path, "")
        for name in self._ops.listdir(self._inbound_path):
            await self._folder_changed(name)
        while True:
            for name, file in await self._watch.changed():
                if name:
                    await self._file_changed(name, file)
                elif file:
                    await self._folder_changed(file)
                else:  # the watch has lost changes
                    for proxy in dict.fromkeys([*self._ops.listdir(self._inbound_path), *self._folders]):
                        await self._folder_changed(proxy)

    async def run_deferred_reads(self) -> None:
        """Reads the load reports that arrived before their turn once they are due, until cancelled."""
        while True:
            await trio.sleep(REPORT_POLL_SECONDS)
            now = self._now()
            for name in [name for name, due in self._deferred_reports.items() if due <= now]:
                del self._deferred_reports[name]
                await self._file_changed(name, LOAD_FILE)

    # Folders.

    async def _folder_changed(self, name: str) -> None:
        """Handles a proxy folder that was created, removed or replaced; an unchanged one is read again."""
        if not PROXY_NAME.match(name):
            return
        identity = self._watch_folder(name)
        if not identity:
            self._watch.drop(name)
            self.forget(name)
            await self._queue.send(ProxyFolderRemoved(name))
        elif self._folders.get(name) == identity:
            await self._file_changed(name, "")
        else:
            await self._read_new_folder(name, identity)

    def _watch_folder(self, name: str) -> FolderIdentity:
        """Watches a folder and returns its identity; replacing a folder ends the watch on the old one."""
        try:
            identity = self._folder_identity(name)
            if identity:
                self._watch.add(f"{self._inbound_path}/{name}", name)
        except OSError:
            return ()
        return identity

    def _folder_identity(self, name: str) -> FolderIdentity:
        """The identity includes the status file, because the file system reuses inode numbers of folders."""
        path = f"{self._inbound_path}/{name}"
        folder_stat = os.lstat(path)
        if not stat.S_ISDIR(folder_stat.st_mode):
            return ()
        try:
            return folder_stat.st_ino, *_file_identity(f"{path}/{STATUS_FILE}")
        except OSError:
            return (folder_stat.st_ino,)

    async def _read_new_folder(self, name: str, identity: FolderIdentity) -> None:
        self.forget(name)
        contents = {file: await self._read(name, file) for file in PROXY_FILES}
        files = {file: data for file, data in contents.items() if data is not None}
        previous: dict[str, bytes] | None = None
        with contextlib.suppress(OSError):  # no controller has written files for this proxy
            previous = read_group(f"{self._outbound_path}/{name}")[1]
        self._folders[name] = identity
        await self._queue.send(ProxyFolderFound(name, identity, files, previous))

    def open_session(self, now: int, found: ProxyFolderFound) -> None:
        """Opens the session of a proxy whose folder was found; called by the decision task."""
        if self._intake.open_session(now, found.name, found.files, found.previous):
            self._folders[found.name] = found.identity
        else:  # the folder is read again when the proxy writes its next file
            self.forget(found.name)

    def has_unread_report(self, name: str) -> bool:
        """Whether a proxy has written a report that is not read yet; true once per report."""
        try:
            identity = _file_identity(f"{self._inbound_path}/{name}/{LOAD_FILE}")
        except OSError:
            return False
        if identity in (self._files_read.get((name, LOAD_FILE)), self._reports_seen.get(name)):
            return False
        self._reports_seen[name] = identity
        return True

    def forget(self, name: str) -> None:
        """Forgets what was read of a proxy, so that its folder and files are read again."""
        self._folders.pop(name, None)
        self._reports_seen.pop(name, None)
        for file in PROXY_FILES:
            self._files_read.pop((name, file), None)

    # Files.

    async def _file_changed(self, name: str, file: str) -> None:
        """Reads one file of a proxy, or all of them if `file` is empty because the watch lost changes."""
        if name not in self._folders:
            await self._folder_changed(name)  # its session was closed, or its folder was incomplete
            return
        for changed_file in [file] if file else PROXY_FILES:
            if changed_file == LOAD_FILE:
                await self._read_report(name)
                continue
            data = await self._read(name, changed_file)
            if data is not None:
                await self._queue.send(ProxyFileWritten(name, changed_file, data))

    async def _read_report(self, name: str) -> None:
        """Reads a load report, or defers it until it is due; a newer one may replace it meanwhile."""
        if self._reports.is_quarantined(name):
            return
        now = self._now()
        readable_at = self._reports.readable_at(now, name)
        if readable_at > now:
            self._deferred_reports.setdefault(name, readable_at)
            return
        self._reports.record_read(now, name)
        data = await self._read(name, LOAD_FILE)
        if data is not None:
            self._reports.offer(self._now(), name, data)
            await trio.lowlevel.checkpoint()  # lets the decision task run between many reports

    async def _read(self, name: str, file: str) -> bytes | None:
        """Returns a file's bytes; None if it was read before, does not exist or cannot be read."""
        path = f"{self._inbound_path}/{name}/{file}"
        try:
            identity = _file_identity(path)
            if self._files_read.get((name, file)) == identity:
                return None
            data = read_file(None, path, self._max_file_bytes)
            self._files_read[name, file] = identity
            return data
        except (FileNotFoundError, NotADirectoryError):
            return None
        except OSError as error:
            cause = str(error)
            if file == LOAD_FILE:
                self._reports.reject_unreadable(self._now(), name, cause)
            await self._queue.send(ProxyFileUnreadable(name, file, cause))
            return None


def _file_identity(path: str) -> FileIdentity:
    """Returns the identity of a file. Raises OSError if there is no such file."""
    file_stat = os.lstat(path)
    return file_stat.st_ino, file_stat.st_mtime_ns

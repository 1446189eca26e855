"""Atomic replacement of files: a reader sees the old content or the new content, never a mix.

A single file is replaced by renaming a new file over it. Files that must change together are in a folder of
their own behind the symlink `current`, which is replaced by a rename. If only one file of a group changes, it
is renamed inside that folder: the others are the same before and after, so they match either version of it.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Mapping

from .ops import DiskOps, FileOps, remove

CURRENT = "current"
TEMP_PREFIX = ".new-"  # of files that are not in place yet
VERSION_PREFIX = "v"  # of the folders of a group
DURABILITY = ("none", "file", "file_and_folder")  # what is durable when a swap returns


def swap_file(ops: FileOps, folder: str, name: str, data: bytes, durability: str = "none") -> None:
    """Atomically replaces the file `folder/name`.

    Raises:
        OSError: the old file is still in place, unless only the sync of the folder failed: then the new file
            is in place, but may be lost in a power failure.
    """
    temp = f"{folder}/{TEMP_PREFIX}{name}"
    try:
        try:
            ops.write(temp, data, durability != "none")
        except FileExistsError:  # left by an interrupted swap
            remove(ops, temp)
            ops.write(temp, data, durability != "none")
        ops.rename(temp, f"{folder}/{name}")
    except OSError:
        # This frees space on a full disk. A file that cannot be deleted is deleted by a later swap or start.
        with contextlib.suppress(OSError):
            remove(ops, temp)
        raise
    if durability == "file_and_folder":
        ops.sync_folder(folder)


class FileGroupWriter:
    """The only writer of a group of files, which are behind `current` in one folder.

    Attributes:
        folder: the folder of the group.
        ops: the file operations.
        durability: one of DURABILITY.
        series: is part of the names of version folders, so that writers of different starts share no name.
        version_count: the number of version folders created; a number is never used again.
        files: the content of the files as last written; empty: the next group is written completely.
        current_version: the version folder that `current` names.
        swap_count: the number of swaps.
    """

    def __init__(
        self, folder: str, ops: FileOps | None = None, durability: str = "none", series: str = ""
    ) -> None:
        self.folder, self.ops, self.durability = folder, ops or DiskOps(), durability
        self.series, self.version_count = series, 0
        self.files = dict[str, bytes]()
        self.current_version = ""
        self.swap_count, self._open = 0, False

    def open(self) -> None:
        """Creates the folder, or takes it over: deletes leftovers and leaves `current` as it is."""
        try:
            self.ops.mkdir(self.folder)
        except FileExistsError:  # written by another writer, so the first group is written completely
            self.current_version = clear_leftovers(self.ops, self.folder)
        self._open = True

    def put(self, files: Mapping[str, bytes]) -> bool:
        """Atomically replaces the files of the group; returns False if they are unchanged.

        Raises:
            OSError: the swap failed, or may have taken effect nevertheless.
        """
        if not self._open:
            self.open()
        changed = [name for name, data in files.items() if self.files.get(name) != data]
        if not changed and files.keys() == self.files.keys():
            return False
        try:
            if self.files and len(changed) == 1 and files.keys() == self.files.keys():
                name = changed[0]
                swap_file(
                    self.ops, f"{self.folder}/{self.current_version}", name, files[name], self.durability
                )
            else:
                self._swap_group(files, changed)
        except OSError:  # it may have taken effect nevertheless, so the next group is written completely
            self.files = {}
            raise
        self.files = dict(files)
        self.swap_count += 1
        return True

    def _swap_group(self, files: Mapping[str, bytes], changed: list[str]) -> None:
        ops, previous_version = self.ops, self.current_version
        self.version_count += 1  # a number is used only once, even if this fails
        version, temp = (
            f"{VERSION_PREFIX}{self.series}{self.version_count}",
            f"{self.folder}/{TEMP_PREFIX}{CURRENT}",
        )
        version_path = f"{self.folder}/{version}"
        try:
            if version in (names := ops.listdir(self.folder)):
                remove(ops, version_path)
            if TEMP_PREFIX + CURRENT in names:
                remove(ops, temp)
            ops.mkdir(version_path)
            for name, data in files.items():
                if name in changed:
                    ops.write(f"{version_path}/{name}", data, self.durability != "none")
                else:
                    ops.link(f"{self.folder}/{previous_version}/{name}", f"{version_path}/{name}")
            if self.durability == "file_and_folder":
                ops.sync_folder(version_path)
            ops.symlink(version, temp)
            ops.rename(temp, f"{self.folder}/{CURRENT}")
        except OSError:
            with contextlib.suppress(OSError):
                remove(ops, temp)
            with contextlib.suppress(OSError):
                if ops.readlink(f"{self.folder}/{CURRENT}") == version:
                    self.current_version = version
            if self.current_version != version:
                with contextlib.suppress(OSError):
                    remove(ops, version_path)
            raise
        self.current_version = version
        if self.durability == "file_and_folder":
            ops.sync_folder(self.folder)
        if previous_version:
            with contextlib.suppress(OSError):  # no new reader uses it; otherwise deleted at the next start
                remove(ops, f"{self.folder}/{previous_version}")


def clear_leftovers(ops: FileOps, folder: str) -> str:
    """Deletes what a crashed writer left, except what `current` names; returns that name, or ''."""
    try:
        version = ops.readlink(f"{folder}/{CURRENT}")
    except (FileNotFoundError, OSError):
        version = ""
    for name in ops.listdir(folder):
        if name.startswith(TEMP_PREFIX) or (
            name.startswith(VERSION_PREFIX) and name != version and name != CURRENT
        ):
            remove(ops, f"{folder}/{name}")
    if version:
        with contextlib.suppress(FileNotFoundError, NotADirectoryError):
            for name in ops.listdir(f"{folder}/{version}"):
                if name.startswith(TEMP_PREFIX):
                    remove(ops, f"{folder}/{version}/{name}")
    return version


def read_group(folder: str, max_file_bytes: int = 64 << 20) -> tuple[str, dict[str, bytes]]:
    """Returns the name of the current version folder and its files, all of one version.

    A version folder that `current` names both before and after the read was not deleted in between, as its
    number is used only once. Otherwise the read starts again with the newer version.

    Raises:
        FileNotFoundError: there is no current version, or it changes too fast.
    """
    for _ in range(100):
        version = os.readlink(f"{folder}/{CURRENT}")
        try:
            fd = os.open(f"{folder}/{version}", os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        except FileNotFoundError:
            continue
        try:
            names = [name for name in sorted(os.listdir(fd)) if not name.startswith(TEMP_PREFIX)]
            files = {name: read_file(fd, name, max_file_bytes) for name in names}
            if os.readlink(f"{folder}/{CURRENT}") == version:
                return version, files
        except FileNotFoundError:
            pass
        finally:
            os.close(fd)
    raise FileNotFoundError(f"{folder}/{CURRENT} changes faster than it can be read")


def read_file(folder_fd: int | None, name: str, max_bytes: int) -> bytes:
    """Returns the content of a regular file; raises OSError if it has more than `max_bytes`."""
    fd = os.open(name, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK, dir_fd=folder_fd)
    with os.fdopen(fd, "rb", buffering=0) as file:
        chunks, size = [], 0
        while chunk := file.read(1 << 20):
            chunks.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                raise OSError(f"{name} is longer than {max_bytes} bytes")
    return b"".join(chunks)

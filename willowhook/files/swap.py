"""Replacing files whole: a reader sees what was there before or what is there now, and never a mix.

One file is replaced by renaming a new one over it.  Files that must change together lie in a folder of their
own behind the symlink `current`, which is replaced by rename.  A group of which one file changes is
changed by renaming that file inside the folder: the others are what they were, so either goes with them.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Mapping

from .ops import DiskOps, FileOps, remove

CURRENT = "current"
TEMP = ".new-"  # prefix of what is not in place yet
VERSION = "v"  # prefix of a group's folder
DURABILITY = ("none", "file", "file_and_folder")  # what is on disk when a swap returns


def swap_file(ops: FileOps, folder: str, name: str, data: bytes, durability: str = "none") -> None:
    """Puts `data` at `folder/name`; raises OSError, and then what was there is there still."""
    temp = f"{folder}/{TEMP}{name}"
    try:
        try:
            ops.write(temp, data, durability != "none")
        except FileExistsError:  # left by a swap that was cut short
            remove(ops, temp)
            ops.write(temp, data, durability != "none")
        ops.rename(temp, f"{folder}/{name}")
    except OSError:
        with contextlib.suppress(OSError):  # a full disk gets its room back; what cannot be cleared waits
            remove(ops, temp)
        raise
    if durability == "file_and_folder":
        ops.sync_folder(folder)


class FileGroupWriter:
    """A group of files behind `current` in one folder, and the only writer of it."""

    def __init__(
        self, folder: str, ops: FileOps | None = None, durability: str = "none", series: str = ""
    ) -> None:
        self.folder, self.ops, self.durability = folder, ops or DiskOps(), durability
        self.series, self.count = series, 0  # of folders; a name is never used twice by one director
        self.files = dict[str, bytes]()
        self.place = ""  # the folder that `current` names
        self.swap_count, self._open = 0, False

    def open(self) -> None:
        """Makes the folder, or takes it over: `current` stays as it is, leftovers go."""
        try:
            self.ops.mkdir(self.folder)
        except FileExistsError:  # what lies there is another's: the first group is written whole
            self.place = clear_leftovers(self.ops, self.folder)
        self._open = True

    def put(self, files: Mapping[str, bytes]) -> bool:
        """Makes these the files of the group, in one step; False if they are so already.  Raises OSError."""
        if not self._open:
            self.open()
        changed = [name for name, data in files.items() if self.files.get(name) != data]
        if not changed and files.keys() == self.files.keys():
            return False
        try:
            if self.files and len(changed) == 1 and files.keys() == self.files.keys():
                name = changed[0]
                swap_file(self.ops, f"{self.folder}/{self.place}", name, files[name], self.durability)
            else:
                self._swap_group(files, changed)
        except OSError:  # it may have taken effect all the same: the next group is written whole
            self.files = {}
            raise
        self.files = dict(files)
        self.swap_count += 1
        return True

    def _swap_group(self, files: Mapping[str, bytes], changed: list[str]) -> None:
        ops, old = self.ops, self.place
        self.count += 1  # a number is used once, also if this fails
        place, temp = f"{VERSION}{self.series}{self.count}", f"{self.folder}/{TEMP}{CURRENT}"
        home = f"{self.folder}/{place}"
        try:
            if place in (names := ops.listdir(self.folder)):
                remove(ops, home)
            if TEMP + CURRENT in names:
                remove(ops, temp)
            ops.mkdir(home)
            for name, data in files.items():
                if name in changed:
                    ops.write(f"{home}/{name}", data, self.durability != "none")
                else:
                    ops.link(f"{self.folder}/{old}/{name}", f"{home}/{name}")
            if self.durability == "file_and_folder":
                ops.sync_folder(home)
            ops.symlink(place, temp)
            ops.rename(temp, f"{self.folder}/{CURRENT}")
        except OSError:
            with contextlib.suppress(OSError):
                remove(ops, temp)
            with contextlib.suppress(OSError):
                if ops.readlink(f"{self.folder}/{CURRENT}") == place:
                    self.place = place
            if self.place != place:
                with contextlib.suppress(OSError):
                    remove(ops, home)
            raise
        self.place = place
        if self.durability == "file_and_folder":
            ops.sync_folder(self.folder)
        if old:
            with contextlib.suppress(OSError):  # in use by nobody who comes now; cleared at the next start
                remove(ops, f"{self.folder}/{old}")


def clear_leftovers(ops: FileOps, folder: str) -> str:
    """Takes out what a writer that died left behind, never what `current` names; gives that name, or ''."""
    try:
        place = ops.readlink(f"{folder}/{CURRENT}")
    except (FileNotFoundError, OSError):
        place = ""
    for name in ops.listdir(folder):
        if name.startswith(TEMP) or (name.startswith(VERSION) and name != place and name != CURRENT):
            remove(ops, f"{folder}/{name}")
    if place:
        with contextlib.suppress(FileNotFoundError, NotADirectoryError):
            for name in ops.listdir(f"{folder}/{place}"):
                if name.startswith(TEMP):
                    remove(ops, f"{folder}/{place}/{name}")
    return place


def read_group(folder: str, most: int = 64 << 20) -> tuple[str, dict[str, bytes]]:
    """The name of the present folder and its files, all of one version.  FileNotFoundError if there is none.

    A folder that `current` named before and after the reading was not cleared in between, as a folder's
    number is used once; any other is given up for the one that came after it.
    """
    for _ in range(100):
        place = os.readlink(f"{folder}/{CURRENT}")
        try:
            fd = os.open(f"{folder}/{place}", os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        except FileNotFoundError:
            continue
        try:
            names = [name for name in sorted(os.listdir(fd)) if not name.startswith(TEMP)]
            files = {name: read_file(fd, name, most) for name in names}
            if os.readlink(f"{folder}/{CURRENT}") == place:
                return place, files
        except FileNotFoundError:
            pass
        finally:
            os.close(fd)
    raise FileNotFoundError(f"{folder}/{CURRENT} changes faster than it can be read")


def read_file(fd: int | None, name: str, most: int) -> bytes:
    """One regular file, whole, of `most` bytes at most; a longer one raises OSError."""
    inner = os.open(name, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK, dir_fd=fd)
    with os.fdopen(inner, "rb", buffering=0) as file:
        parts, size = [], 0
        while chunk := file.read(1 << 20):
            parts.append(chunk)
            size += len(chunk)
            if size > most:
                raise OSError(f"{name} is longer than {most} bytes")
    return b"".join(parts)

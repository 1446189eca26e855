"""The file operations of a swap, behind an interface for the injection of faults."""

from __future__ import annotations

import contextlib
import os
from typing import Protocol


class FileOps(Protocol):
    """Any call may raise OSError and leave a partial effect, as a disk does."""

    def mkdir(self, path: str) -> None:
        """Creates a folder."""
        ...

    def write(self, path: str, data: bytes, sync: bool) -> None:
        """Creates a file with this content; `sync`: makes the content durable."""
        ...

    def link(self, old: str, new: str) -> None:
        """Creates a hard link."""
        ...

    def symlink(self, target: str, path: str) -> None:
        """Creates a symlink."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Renames a file or symlink, replacing what has the new name."""
        ...

    def unlink(self, path: str) -> None:
        """Deletes a file."""
        ...

    def rmdir(self, path: str) -> None:
        """Deletes an empty folder."""
        ...

    def sync_folder(self, path: str) -> None:
        """Makes the names in a folder durable."""
        ...

    def listdir(self, path: str) -> list[str]:
        """Returns the names in a folder."""
        ...

    def readlink(self, path: str) -> str:
        """Returns the target of a symlink."""
        ...


class DiskOps:
    """The file system of the operating system."""

    def mkdir(self, path: str) -> None:
        """Creates a folder."""
        os.mkdir(path)

    def write(self, path: str, data: bytes, sync: bool) -> None:
        """Creates a file with this content; `sync`: makes the content durable."""
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o644)
        try:
            view = memoryview(data)
            while view:  # after a short write, the next one continues or raises
                view = view[os.write(fd, view) :]
            if sync:
                os.fsync(fd)
        finally:
            os.close(fd)

    def link(self, old: str, new: str) -> None:
        """Creates a hard link."""
        os.link(old, new)

    def symlink(self, target: str, path: str) -> None:
        """Creates a symlink."""
        os.symlink(target, path)

    def rename(self, old: str, new: str) -> None:
        """Renames a file or symlink, replacing what has the new name."""
        os.rename(old, new)

    def unlink(self, path: str) -> None:
        """Deletes a file."""
        os.unlink(path)

    def rmdir(self, path: str) -> None:
        """Deletes an empty folder."""
        os.rmdir(path)

    def sync_folder(self, path: str) -> None:
        """Makes the names in a folder durable."""
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def listdir(self, path: str) -> list[str]:
        """Returns the names in a folder, sorted."""
        return sorted(os.listdir(path))

    def readlink(self, path: str) -> str:
        """Returns the target of a symlink."""
        return os.readlink(path)


def remove(ops: FileOps, path: str) -> None:
    """Deletes a file, or a folder with its files. It is no error if there is none."""
    with contextlib.suppress(FileNotFoundError):
        try:
            ops.unlink(path)
        except (IsADirectoryError, PermissionError):
            for name in ops.listdir(path):
                remove(ops, f"{path}/{name}")
            ops.rmdir(path)

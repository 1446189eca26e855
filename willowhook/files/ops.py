"""The file operations that a swap is made of: the one seam at which a fault can be put in."""

from __future__ import annotations

import contextlib
import os
from typing import Protocol


class FileOps(Protocol):
    """Each call may raise OSError and may leave things half done, as a disk does."""

    def mkdir(self, path: str) -> None: ...
    def write(self, path: str, data: bytes, sync: bool) -> None: ...  # a new file, whole
    def link(self, old: str, new: str) -> None: ...
    def symlink(self, target: str, path: str) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def unlink(self, path: str) -> None: ...
    def rmdir(self, path: str) -> None: ...
    def sync_folder(self, path: str) -> None: ...
    def listdir(self, path: str) -> list[str]: ...
    def readlink(self, path: str) -> str: ...


class DiskOps:
    """The file system itself."""

    def mkdir(self, path: str) -> None:
        os.mkdir(path)

    def write(self, path: str, data: bytes, sync: bool) -> None:
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o644)
        try:
            view = memoryview(data)
            while view:  # a short write goes on, or raises
                view = view[os.write(fd, view) :]
            if sync:
                os.fsync(fd)
        finally:
            os.close(fd)

    def link(self, old: str, new: str) -> None:
        os.link(old, new)

    def symlink(self, target: str, path: str) -> None:
        os.symlink(target, path)

    def rename(self, old: str, new: str) -> None:
        os.rename(old, new)

    def unlink(self, path: str) -> None:
        os.unlink(path)

    def rmdir(self, path: str) -> None:
        os.rmdir(path)

    def sync_folder(self, path: str) -> None:
        fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def listdir(self, path: str) -> list[str]:
        return sorted(os.listdir(path))

    def readlink(self, path: str) -> str:
        return os.readlink(path)


def remove(ops: FileOps, path: str) -> None:
    """Takes out a file, or a folder of files; what is gone already is no error."""
    with contextlib.suppress(FileNotFoundError):
        try:
            ops.unlink(path)
        except (IsADirectoryError, PermissionError):
            for name in ops.listdir(path):
                remove(ops, f"{path}/{name}")
            ops.rmdir(path)

"""The disk as the store sees it: the seam at which faults are put in, and at which power can fail."""

from __future__ import annotations

import os
from typing import Protocol


class Disk(Protocol):
    """Each call may raise OSError and leave things half done.  Nothing is promised before `sync`."""

    def listdir(self, folder: str) -> list[str]: ...
    def read(self, path: str) -> bytes: ...
    def create(self, path: str) -> int: ...  # a new file, to be appended to
    def append(self, handle: int, data: bytes) -> int: ...  # how much was taken
    def sync(self, handle: int) -> None: ...
    def close(self, handle: int) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def unlink(self, path: str) -> None: ...
    def sync_folder(self, folder: str) -> None: ...


class RealDisk:
    def listdir(self, folder: str) -> list[str]:
        return os.listdir(folder)

    def read(self, path: str) -> bytes:
        with open(path, "rb") as file:
            return file.read()

    def create(self, path: str) -> int:
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC, 0o644)

    def append(self, handle: int, data: bytes) -> int:
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        os.fdatasync(handle)

    def close(self, handle: int) -> None:
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        os.rename(old, new)

    def unlink(self, path: str) -> None:
        os.unlink(path)

    def sync_folder(self, folder: str) -> None:
        handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

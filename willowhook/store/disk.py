"""The disk operations of the store, behind an interface for the injection of faults and power failures."""

from __future__ import annotations

import os
from typing import Protocol


class Disk(Protocol):
    """Any call may raise OSError and leave a partial effect. Nothing is durable before `sync`."""

    def listdir(self, folder: str) -> list[str]:
        """Returns the names in a folder."""
        ...

    def read(self, path: str) -> bytes:
        """Returns the content of a file."""
        ...

    def create(self, path: str) -> int:
        """Creates a file, which must not exist yet, and returns a handle for appending."""
        ...

    def append(self, handle: int, data: bytes) -> int:
        """Appends data and returns the number of bytes written, which may be fewer."""
        ...

    def sync(self, handle: int) -> None:
        """Makes the content of a file durable."""
        ...

    def close(self, handle: int) -> None:
        """Closes a handle."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Renames a file."""
        ...

    def unlink(self, path: str) -> None:
        """Deletes a file."""
        ...

    def sync_folder(self, folder: str) -> None:
        """Makes created, renamed and deleted names of a folder durable."""
        ...


class RealDisk:
    """The file system of the operating system."""

    def listdir(self, folder: str) -> list[str]:
        """Returns the names in a folder."""
        return os.listdir(folder)

    def read(self, path: str) -> bytes:
        """Returns the content of a file."""
        with open(path, "rb") as file:
            return file.read()

    def create(self, path: str) -> int:
        """Creates a file, which must not exist yet, and returns its file descriptor."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC, 0o644)

    def append(self, handle: int, data: bytes) -> int:
        """Appends data and returns the number of bytes written, which may be fewer."""
        return os.write(handle, data)

    def sync(self, handle: int) -> None:
        """Makes the content of a file durable."""
        os.fdatasync(handle)

    def close(self, handle: int) -> None:
        """Closes a file descriptor."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Renames a file."""
        os.rename(old, new)

    def unlink(self, path: str) -> None:
        """Deletes a file."""
        os.unlink(path)

    def sync_folder(self, folder: str) -> None:
        """Makes created, renamed and deleted names of a folder durable."""
        handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

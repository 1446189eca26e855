"""Watches folders for swapped files: by inotify where it is available, otherwise by polling."""

from __future__ import annotations

import os
from typing import Protocol

import trio
from inotify_simple import INotify, flags

WATCHED_EVENTS = flags.MOVED_TO | flags.MOVED_FROM | flags.CREATE | flags.DELETE | flags.DELETE_SELF


class Watch(Protocol):
    """Watches folders, each under a key that the caller chooses."""

    def add(self, path: str, key: str) -> None:
        """Watches a folder, instead of any other under this key. Raises OSError if there is none."""
        ...

    def drop(self, key: str) -> None:
        """Stops watching the folder of this key."""
        ...

    async def changed(self) -> list[tuple[str, str]]:
        """Waits for changes and returns the key and the file name of each.

        An empty name means that any file of the folder may have changed, as some events may have been lost.
        """
        ...

    def close(self) -> None:
        """Stops watching."""
        ...


class InotifyWatch:
    """A watch by inotify."""

    def __init__(self) -> None:
        self._notify = INotify(nonblocking=True)
        self._keys: dict[int, str] = {}  # by watch descriptor
        self._descriptors: dict[str, int] = {}  # by key

    def add(self, path: str, key: str) -> None:
        """Watches a folder, instead of any other under this key. Raises OSError if there is none."""
        descriptor = self._notify.add_watch(path, WATCHED_EVENTS | flags.ONLYDIR)
        previous = self._descriptors.get(key)
        if previous is not None and previous != descriptor:
            self._remove_watch(previous)
        self._descriptors[key] = descriptor
        self._keys[descriptor] = key

    def _remove_watch(self, descriptor: int) -> None:
        self._keys.pop(descriptor, None)
        try:
            self._notify.rm_watch(descriptor)
        except OSError:  # the folder was deleted, and its watch with it
            return

    def drop(self, key: str) -> None:
        """Stops watching the folder of this key."""
        descriptor = self._descriptors.pop(key, None)
        if descriptor is not None:
            self._remove_watch(descriptor)

    async def changed(self) -> list[tuple[str, str]]:
        """Waits for changes and returns the key and file name of each; no names after an overflow."""
        while True:
            await trio.lowlevel.wait_readable(self._notify.fileno())
            changes: dict[tuple[str, str], None] = {}
            for event in self._notify.read(timeout=0):
                if event.mask & flags.Q_OVERFLOW:
                    return [(key, "") for key in self._descriptors]
                key = self._keys.get(event.wd)
                if key is not None and not event.name.startswith("."):
                    changes[key, event.name] = None
            if changes:
                return list(changes)

    def close(self) -> None:
        """Closes the inotify instance."""
        self._notify.close()


class PollWatch:
    """A watch that compares the inode, modification time and size of all files in each interval."""

    def __init__(self, interval_seconds: float) -> None:
        self._interval_seconds = interval_seconds
        self._paths: dict[str, str] = {}
        self._seen: dict[str, dict[str, tuple[int, int, int]]] = {}

    def add(self, path: str, key: str) -> None:
        """Watches a folder, instead of any other under this key. Raises OSError if there is none."""
        self._paths[key], self._seen[key] = path, self._stat_files(path, strict=True)

    def drop(self, key: str) -> None:
        """Stops watching the folder of this key."""
        self._paths.pop(key, None)
        self._seen.pop(key, None)

    @staticmethod
    def _stat_files(path: str, strict: bool = False) -> dict[str, tuple[int, int, int]]:
        found = {}
        try:
            with os.scandir(path) as entries:
                for entry in entries:
                    if not entry.name.startswith("."):
                        status = entry.stat(follow_symlinks=False)
                        found[entry.name] = (status.st_ino, status.st_mtime_ns, status.st_size)
        except OSError:
            if strict:
                raise
        return found

    async def changed(self) -> list[tuple[str, str]]:
        """Waits for changes and returns the key and the file name of each."""
        while True:
            await trio.sleep(self._interval_seconds)
            changes = []
            for key, path in self._paths.items():
                previous, current = self._seen[key], self._stat_files(path)
                if previous != current:
                    self._seen[key] = current
                    names = dict.fromkeys([*previous, *current])
                    changes += [(key, name) for name in names if previous.get(name) != current.get(name)]
            if changes:
                return changes

    def close(self) -> None:
        """Stops watching."""
        self._paths.clear()


def open_watch(method: str, poll_interval_seconds: float) -> Watch:
    """Opens a watch by `inotify` or `poll`; by polling if inotify is not available."""
    if method == "inotify":
        try:
            return InotifyWatch()
        except OSError:
            return PollWatch(poll_interval_seconds)
    return PollWatch(poll_interval_seconds)

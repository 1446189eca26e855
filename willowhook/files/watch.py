"""Telling that files were swapped: by inotify where it can be had, by looking again and again elsewhere."""

from __future__ import annotations

import os
from typing import Protocol

import trio
from inotify_simple import INotify, flags

WATCHED_EVENTS = flags.MOVED_TO | flags.MOVED_FROM | flags.CREATE | flags.DELETE | flags.DELETE_SELF


class Watch(Protocol):
    """Folders to watch, by a key of the caller's; `changed` waits and gives `(key, name)` pairs.

    A name of '' says that anything in the folder may have changed: some news may have been lost.
    """

    def add(self, path: str, key: str) -> None: ...  # OSError if there is no such folder
    def drop(self, key: str) -> None: ...
    async def changed(self) -> list[tuple[str, str]]: ...
    def close(self) -> None: ...


class InotifyWatch:
    def __init__(self) -> None:
        self._notify = INotify(nonblocking=True)
        self._keys: dict[int, str] = {}
        self._places: dict[str, int] = {}

    def add(self, path: str, key: str) -> None:
        place = self._notify.add_watch(path, WATCHED_EVENTS | flags.ONLYDIR)
        old = self._places.get(key)
        if old is not None and old != place:
            self._forget(old)
        self._places[key] = place
        self._keys[place] = key

    def _forget(self, place: int) -> None:
        self._keys.pop(place, None)
        try:
            self._notify.rm_watch(place)
        except OSError:  # the folder is gone, and its watch with it
            return

    def drop(self, key: str) -> None:
        place = self._places.pop(key, None)
        if place is not None:
            self._forget(place)

    async def changed(self) -> list[tuple[str, str]]:
        while True:
            await trio.lowlevel.wait_readable(self._notify.fileno())
            news: dict[tuple[str, str], None] = {}
            for event in self._notify.read(timeout=0):
                if event.mask & flags.Q_OVERFLOW:
                    return [(key, "") for key in self._places]
                key = self._keys.get(event.wd)
                if key is not None and not event.name.startswith("."):
                    news[key, event.name] = None
            if news:
                return list(news)

    def close(self) -> None:
        self._notify.close()


class PollWatch:
    """Compares identity and time of change of all files each `every` seconds."""

    def __init__(self, every: float) -> None:
        self._every = every
        self._paths: dict[str, str] = {}
        self._seen: dict[str, dict[str, tuple[int, int, int]]] = {}

    def add(self, path: str, key: str) -> None:
        self._paths[key], self._seen[key] = path, self._look(path, strict=True)

    def drop(self, key: str) -> None:
        self._paths.pop(key, None)
        self._seen.pop(key, None)

    @staticmethod
    def _look(path: str, strict: bool = False) -> dict[str, tuple[int, int, int]]:
        found = {}
        try:
            with os.scandir(path) as rows:
                for row in rows:
                    if not row.name.startswith("."):
                        at = row.stat(follow_symlinks=False)
                        found[row.name] = (at.st_ino, at.st_mtime_ns, at.st_size)
        except OSError:
            if strict:
                raise
        return found

    async def changed(self) -> list[tuple[str, str]]:
        while True:
            await trio.sleep(self._every)
            news = []
            for key, path in self._paths.items():
                old, new = self._seen[key], self._look(path)
                if old != new:
                    self._seen[key] = new
                    names = dict.fromkeys([*old, *new])
                    news += [(key, name) for name in names if old.get(name) != new.get(name)]
            if news:
                return news

    def close(self) -> None:
        self._paths.clear()


def open_watch(how: str, every: float) -> Watch:
    """`inotify` or `poll`; where the machine gives no inotify, polling."""
    if how == "inotify":
        try:
            return InotifyWatch()
        except OSError:
            return PollWatch(every)
    return PollWatch(every)

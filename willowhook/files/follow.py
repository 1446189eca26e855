"""How a proxy reads what its director puts in place: many proxies of one process share one watch."""

from __future__ import annotations

import os
from collections.abc import Callable

from .swap import CURRENT, read_group
from .watch import Watch, open_watch

Seen = Callable[[str, dict[str, bytes]], None]  # proxy, its files


class FileGroupFollower:
    """Gives each group of files once, when it has changed; whole, and of one version.

    `seen` is called from the task that runs `run`; a proxy whose files cannot be read is left as it is.
    """

    def __init__(self, how: str, every: float, seen: Seen) -> None:
        self._watch: Watch = open_watch(how, every)
        self._seen = seen
        self._paths: dict[str, str] = {}
        self._parents: dict[str, dict[str, str]] = {}  # folder `down`: name there, proxy
        self._last: dict[str, dict[str, bytes]] = {}

    def follow(self, proxy: str, down: str, name: str) -> None:
        """From now on `down/name` is where this proxy reads."""
        self.unfollow(proxy)
        self._paths[proxy] = f"{down}/{name}"
        if down not in self._parents:
            self._parents[down] = {}
            self._watch.add(down, f"parent:{down}")
        self._parents[down][name] = proxy
        self._arm(proxy)
        self._read(proxy)

    def unfollow(self, proxy: str) -> None:
        path = self._paths.pop(proxy, None)
        self._last.pop(proxy, None)
        if path is not None:
            down, _, name = path.rpartition("/")
            self._parents[down].pop(name, None)
            self._watch.drop(f"group:{proxy}")
            self._watch.drop(f"inner:{proxy}")

    def _arm(self, proxy: str) -> None:
        try:
            self._watch.add(self._paths[proxy], f"group:{proxy}")
        except OSError:
            return  # it is not there yet: `down` is watched

    def _read(self, proxy: str) -> None:
        path = self._paths.get(proxy)
        if path is None:
            return
        try:
            for _ in range(8):
                before = os.readlink(f"{path}/{CURRENT}")
                self._watch.add(f"{path}/{before}", f"inner:{proxy}")  # first watch, then read
                place, files = read_group(path)
                if place == before:
                    break
        except OSError:
            return
        if files != self._last.get(proxy):
            self._last[proxy] = files
            self._seen(proxy, files)

    async def run(self) -> None:
        while True:
            again: dict[str, None] = {}
            for key, name in await self._watch.changed():
                form, _, rest = key.partition(":")
                if form == "parent":
                    here = self._parents.get(rest, {})
                    for proxy in [here[name]] if name in here else [] if name else list(here.values()):
                        self._arm(proxy)
                        again[proxy] = None
                else:
                    again[rest] = None
            for proxy in again:
                self._read(proxy)

"""How proxies read the files that their controller writes: many proxies of one process share one watch."""

from __future__ import annotations

import os
from collections.abc import Callable

from .swap import CURRENT, read_group
from .watch import Watch, open_watch

OnChange = Callable[[str, dict[str, bytes]], None]  # receives the proxy and the content of its files by name


class FileGroupFollower:
    """Reads the file group of each followed proxy whenever it changes; all its files are of one version.

    `on_change` is called in the task of `run`, and once by `follow`. While the files of a proxy cannot be
    read, it is not called for that proxy.
    """

    def __init__(self, watch_method: str, poll_interval_seconds: float, on_change: OnChange) -> None:
        """Opens a watch: see `open_watch`."""
        self._watch: Watch = open_watch(watch_method, poll_interval_seconds)
        self._on_change = on_change
        self._paths: dict[str, str] = {}  # the folder of each proxy's group
        self._parents: dict[str, dict[str, str]] = {}  # by parent folder: the proxy of each name in it
        self._last_files: dict[str, dict[str, bytes]] = {}

    def follow(self, proxy: str, parent: str, name: str) -> None:
        """Follows the file group in the folder `parent/name` for this proxy, instead of any other."""
        self.unfollow(proxy)
        self._paths[proxy] = f"{parent}/{name}"
        if parent not in self._parents:
            self._parents[parent] = {}
            self._watch.add(parent, f"parent:{parent}")
        self._parents[parent][name] = proxy
        self._watch_group(proxy)
        self._read(proxy)

    def unfollow(self, proxy: str) -> None:
        """Stops following the file group of this proxy."""
        path = self._paths.pop(proxy, None)
        self._last_files.pop(proxy, None)
        if path is not None:
            parent, _, name = path.rpartition("/")
            self._parents[parent].pop(name, None)
            self._watch.drop(f"group:{proxy}")
            self._watch.drop(f"inner:{proxy}")

    def _watch_group(self, proxy: str) -> None:
        try:
            self._watch.add(self._paths[proxy], f"group:{proxy}")
        except OSError:
            return  # it does not exist yet; the watch of its parent reports when it does

    def _read(self, proxy: str) -> None:
        path = self._paths.get(proxy)
        if path is None:
            return
        try:
            for _ in range(8):
                expected_version = os.readlink(f"{path}/{CURRENT}")
                # Watched before it is read, so that no change is missed.
                self._watch.add(f"{path}/{expected_version}", f"inner:{proxy}")
                version, files = read_group(path)
                if version == expected_version:
                    break
        except OSError:
            return
        if files != self._last_files.get(proxy):
            self._last_files[proxy] = files
            self._on_change(proxy, files)

    async def run(self) -> None:
        """Reads changed file groups until cancelled."""
        while True:
            changed: dict[str, None] = {}
            for key, name in await self._watch.changed():
                kind, _, target = key.partition(":")
                if kind == "parent":
                    proxies = self._parents.get(target, {})
                    for proxy in (
                        [proxies[name]] if name in proxies else [] if name else list(proxies.values())
                    ):
                        self._watch_group(proxy)
                        changed[proxy] = None
                else:
                    changed[target] = None
            for proxy in changed:
                self._read(proxy)

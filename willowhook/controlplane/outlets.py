"""Where the orders for one proxy go out: a folder of swapped files, or a desk that answers its calls.

Both publish parts of the one versioned core, and hold nothing that it does not.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from ..files.swap import Shelf
from ..membership.version import Version
from ..versions.core import Core, Part, Resource
from ..versions.desk import Desk
from ..xds import forms
from ..xds.codec import response
from .render import DIRECTORS, Rows

FILE = ".json"


class Outlet(Protocol):
    slow: bool  # whether placing may take the time of a disk

    def prepare(self, number: int, rows: Rows, out: frozenset[str]) -> Callable[[], bool]:
        """What, when called, makes this the proxy's newest message, whatever thread it is called in.

        It gives False if nothing that shows has changed, and may raise OSError.
        """

    def again(self) -> Callable[[], bool]:
        """What, when called, puts in place once more what lies there, where it may have been lost."""

    def away(self, row: bytes, number: int) -> None:
        """The proxy is to follow another director."""

    def close(self) -> None: ...


class FileOutlet:
    """A file whose resources are as before keeps its version, so a swap touches only what changed."""

    def __init__(self, shelf: Shelf, core: Core, term: int, epoch: int, slow: bool) -> None:
        self.shelf, self.slow = shelf, slow
        self._core, self._term, self._epoch = core, term, epoch
        self._parts: dict[str, Part] = {}
        self._bodies: dict[str, bytes] = {}
        self._away: bytes | None = None

    def files(self, number: int, rows: Rows) -> dict[str, bytes]:
        version = str(Version(self._term, self._epoch, number))
        for kind, each in rows.items():
            last = self._parts.get(kind)
            told = [(DIRECTORS, self._away)] if kind == "eds" and self._away else []
            part = self._core.part(kind, each + told, last)
            if part is not last:
                self._parts[kind] = part
                bodies = [row.body for row in part.rows.values()]
                self._bodies[kind + FILE] = response(version, forms.FILES[kind], version, bodies)
        return {kind + FILE: self._bodies[kind + FILE] for kind in rows}

    def prepare(self, number: int, rows: Rows, out: frozenset[str]) -> Callable[[], bool]:
        return partial(self.shelf.put, self.files(number, rows))

    def again(self) -> Callable[[], bool]:
        files, self.shelf.held = self.shelf.held, {}
        return partial(self.shelf.put, files) if files else lambda: False

    def away(self, row: bytes, number: int) -> None:
        self._away = row

    def close(self) -> None:
        """The folder is cleared by who made it."""


class WebOutlet:
    """`news(proxy)` is told when a call that waits may have its answer."""

    slow = False

    def __init__(self, desk: Desk, core: Core, news: Callable[[Desk], None]) -> None:
        self.desk, self._core, self._news = desk, core, news
        self.leaves = False

    def prepare(self, number: int, rows: Rows, out: frozenset[str]) -> Callable[[], bool]:
        parts = {kind: self._core.part(kind, each, self.desk.last(kind)) for kind, each in rows.items()}
        changed = self.desk.want(number, parts, out)
        if changed or self.leaves:
            self._news(self.desk)
        return lambda: changed

    def ban(self, row: Resource) -> bool:
        """The desk is to offer what it ran before; whether it could."""
        if self.desk.ban(row):
            self._news(self.desk)
            return True
        return False

    def again(self) -> Callable[[], bool]:
        """A call that had no answer is made again by its proxy."""
        return lambda: False

    def away(self, row: bytes, number: int) -> None:
        self.leaves = True

    def close(self) -> None:
        self._news(self.desk)

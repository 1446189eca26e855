"""A disk in memory on which the power can fail: what was not synced may be there, in part, or not at all.

Of a file's writes since its last sync any may have come to lie, whole or in part, whatever the others did;
what is missing before one that did reads as zeros.  Names (creations, renames, removals) since the folder's
last sync may have come to pass, any of them, as long as those of one name keep their order.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import product

WRITTEN_FRACTIONS = (0.0, 0.5, 1.0)  # of a write that came to lie


@dataclass
class FileNode:
    synced: bytes = b""
    pending: list[bytes] = field(default_factory=list)

    def content(self) -> bytes:
        return self.synced + b"".join(self.pending)


class PowerDisk:
    """`before(what)` is called before each operation, and may raise OSError; `after()` when it is done."""

    def __init__(self) -> None:
        self.names: dict[str, FileNode] = {}  # as a process sees them
        self.durable_names: dict[str, FileNode] = {}
        self.pending_changes: list[tuple[str, str, str, FileNode]] = []  # what, name, other name, node
        self.handles: dict[int, FileNode] = {}
        self.count = 0
        self.before: Callable[[str], None] = lambda what: None
        self.after: Callable[[], None] = lambda: None

    @staticmethod
    def load(files: dict[str, bytes]) -> PowerDisk:
        disk = PowerDisk()
        disk.names = {name: FileNode(data) for name, data in files.items()}
        disk.durable_names = dict(disk.names)
        return disk

    def files(self) -> dict[str, bytes]:
        return {name: node.content() for name, node in self.names.items()}

    def listdir(self, folder: str) -> list[str]:
        return list(self.names)

    def read(self, path: str) -> bytes:
        name = path.rpartition("/")[2]
        if name not in self.names:
            raise FileNotFoundError(errno.ENOENT, name)
        return self.names[name].content()

    def create(self, path: str) -> int:
        name = path.rpartition("/")[2]
        self.before(f"create {name}")
        if name in self.names:
            raise FileExistsError(errno.EEXIST, name)
        node = self.names[name] = FileNode()
        self.pending_changes.append(("create", name, "", node))
        self.count += 1
        self.handles[self.count] = node
        self.after()
        return self.count

    def append(self, handle: int, data: bytes) -> int:
        self.before("append")
        self.handles[handle].pending.append(data)
        self.after()
        return len(data)

    def sync(self, handle: int) -> None:
        self.before("sync")
        node = self.handles[handle]
        node.synced, node.pending = node.content(), []
        self.after()

    def close(self, handle: int) -> None:
        del self.handles[handle]

    def rename(self, old: str, new: str) -> None:
        one, other = old.rpartition("/")[2], new.rpartition("/")[2]
        self.before(f"rename {other}")
        node = self.names[other] = self.names.pop(one)
        self.pending_changes.append(("rename", one, other, node))
        self.after()

    def unlink(self, path: str) -> None:
        name = path.rpartition("/")[2]
        self.before(f"unlink {name}")
        node = self.names.pop(name)
        self.pending_changes.append(("unlink", name, "", node))
        self.after()

    def sync_folder(self, folder: str) -> None:
        self.before("sync_folder")
        self.durable_names, self.pending_changes = dict(self.names), []
        self.after()

    # When the power fails.

    def _name_states(self) -> list[dict[str, FileNode]]:
        found: list[dict[str, FileNode]] = []
        seen: set[tuple[tuple[str, int], ...]] = set()
        many = len(self.pending_changes) > 8
        choices = product((False, True), repeat=0 if many else len(self.pending_changes))
        picks = (
            [
                tuple(k < n for k in range(len(self.pending_changes)))
                for n in range(len(self.pending_changes) + 1)
            ]
            if many
            else choices
        )
        for pick in picks:
            names, late = dict(self.durable_names), set[str]()
            for taken, (what, name, other, node) in zip(pick, self.pending_changes, strict=True):
                if not taken:
                    late |= {name, other}
                    continue
                if late & {name, other} - {""}:
                    break  # an earlier change of that name has not come to pass
                if what == "create":
                    names[name] = node
                elif what == "unlink":
                    names.pop(name, None)
                else:
                    names.pop(name, None)
                    names[other] = node
            else:
                key = tuple(sorted((name, id(node)) for name, node in names.items()))
                if key not in seen:
                    seen.add(key)
                    found.append(names)
        return found

    @staticmethod
    def _contents(node: FileNode, chance: random.Random, most: int) -> list[bytes]:
        count = len(node.pending)
        if not count:
            return [node.synced]
        if len(WRITTEN_FRACTIONS) ** count <= most:
            picks = list(product(WRITTEN_FRACTIONS, repeat=count))
        else:
            picks = [tuple(chance.choice(WRITTEN_FRACTIONS) for _ in range(count)) for _ in range(most)]
            picks += [(1.0,) * count, (0.0,) * count]
        found: dict[bytes, None] = {}
        for pick in picks:
            data = node.synced
            at = len(node.synced)
            for part, piece in zip(pick, node.pending, strict=True):
                taken = piece[: round(len(piece) * part)]
                if taken:
                    data = data.ljust(at, b"\0") + taken
                at += len(piece)
            found[data] = None
        return list(found)

    def crashes(self, chance: random.Random, most: int = 60) -> Iterator[dict[str, bytes]]:
        """What may lie there after the power failed now; so many of them at most, else by chance."""
        for names in self._name_states():
            choices = {name: self._contents(node, chance, most) for name, node in names.items()}
            total = 1
            for rows in choices.values():
                total *= len(rows)
            if total <= most:
                for pick in product(*choices.values()):
                    yield dict(zip(choices, pick, strict=True))
            else:
                for _ in range(most):
                    yield {name: chance.choice(rows) for name, rows in choices.items()}

"""A crash disk: a disk in memory whose power can fail, and that lists the states it may have afterwards.

Of the writes to a file since its last sync, each may be on the disk completely, in part or not at all,
whatever happened to the others; a missing write before one that is there reads as zeros. Changes of names
(create, rename, unlink) since the last sync of the folder may each be on the disk or not, but those of one
name keep their order.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import product

WRITTEN_FRACTIONS = (0.0, 0.5, 1.0)  # parts of an unsynced write that may be on the disk


@dataclass
class FileNode:
    """The content of a file, apart from its name."""

    synced: bytes = b""
    pending: list[bytes] = field(default_factory=list)  # writes since the last sync

    def content(self) -> bytes:
        """The content as a running process reads it."""
        return self.synced + b"".join(self.pending)


class PowerDisk:
    """The file operations of one folder.

    `before(operation)` is called before each operation and may raise OSError; `after()` when it is done.
    """

    def __init__(self) -> None:
        self.names: dict[str, FileNode] = {}  # as a running process sees them
        self.durable_names: dict[str, FileNode] = {}
        self.pending_changes: list[tuple[str, str, str, FileNode]] = []  # operation, name, new name, file
        self.handles: dict[int, FileNode] = {}
        self.count = 0
        self.before: Callable[[str], None] = lambda operation: None
        self.after: Callable[[], None] = lambda: None

    @staticmethod
    def load(files: dict[str, bytes]) -> PowerDisk:
        """A disk with these files, all synced."""
        disk = PowerDisk()
        disk.names = {name: FileNode(data) for name, data in files.items()}
        disk.durable_names = dict(disk.names)
        return disk

    def files(self) -> dict[str, bytes]:
        """The content of all files as a running process reads it."""
        return {name: node.content() for name, node in self.names.items()}

    def listdir(self, folder: str) -> list[str]:
        """The names of all files."""
        return list(self.names)

    def read(self, path: str) -> bytes:
        """The content of a file. Raises FileNotFoundError if there is none."""
        name = path.rpartition("/")[2]
        if name not in self.names:
            raise FileNotFoundError(errno.ENOENT, name)
        return self.names[name].content()

    def create(self, path: str) -> int:
        """Creates a file and returns its handle. Raises FileExistsError if there is one."""
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
        """Appends to a file; returns the number of bytes."""
        self.before("append")
        self.handles[handle].pending.append(data)
        self.after()
        return len(data)

    def sync(self, handle: int) -> None:
        """Makes the content of a file durable."""
        self.before("sync")
        node = self.handles[handle]
        node.synced, node.pending = node.content(), []
        self.after()

    def close(self, handle: int) -> None:
        """Forgets a handle."""
        del self.handles[handle]

    def rename(self, old: str, new: str) -> None:
        """Renames a file, over another one if there is one."""
        old_name, new_name = old.rpartition("/")[2], new.rpartition("/")[2]
        self.before(f"rename {new_name}")
        node = self.names[new_name] = self.names.pop(old_name)
        self.pending_changes.append(("rename", old_name, new_name, node))
        self.after()

    def unlink(self, path: str) -> None:
        """Removes a file."""
        name = path.rpartition("/")[2]
        self.before(f"unlink {name}")
        node = self.names.pop(name)
        self.pending_changes.append(("unlink", name, "", node))
        self.after()

    def sync_folder(self, folder: str) -> None:
        """Makes all changes of names durable."""
        self.before("sync_folder")
        self.durable_names, self.pending_changes = dict(self.names), []
        self.after()

    # After a power failure

    def _name_states(self) -> list[dict[str, FileNode]]:
        """The possible names; with more than eight pending changes, only those of each prefix of them."""
        states: list[dict[str, FileNode]] = []
        seen: set[tuple[tuple[str, int], ...]] = set()
        are_many = len(self.pending_changes) > 8
        choices = product((False, True), repeat=0 if are_many else len(self.pending_changes))
        selections = (
            [
                tuple(index < count for index in range(len(self.pending_changes)))
                for count in range(len(self.pending_changes) + 1)
            ]
            if are_many
            else choices
        )
        for selection in selections:
            names, skipped_names = dict(self.durable_names), set[str]()
            for is_applied, (operation, name, new_name, node) in zip(
                selection, self.pending_changes, strict=True
            ):
                if not is_applied:
                    skipped_names |= {name, new_name}
                    continue
                if skipped_names & {name, new_name} - {""}:
                    break  # an earlier change of that name was not applied
                if operation == "create":
                    names[name] = node
                elif operation == "unlink":
                    names.pop(name, None)
                else:
                    names.pop(name, None)
                    names[new_name] = node
            else:
                key = tuple(sorted((name, id(node)) for name, node in names.items()))
                if key not in seen:
                    seen.add(key)
                    states.append(names)
        return states

    @staticmethod
    def _contents(node: FileNode, rng: random.Random, max_states: int) -> list[bytes]:
        """The possible contents of a file: all combinations if they are few, else a random choice."""
        count = len(node.pending)
        if not count:
            return [node.synced]
        if len(WRITTEN_FRACTIONS) ** count <= max_states:
            selections = list(product(WRITTEN_FRACTIONS, repeat=count))
        else:
            selections = [
                tuple(rng.choice(WRITTEN_FRACTIONS) for _ in range(count)) for _ in range(max_states)
            ]
            selections += [(1.0,) * count, (0.0,) * count]
        contents: dict[bytes, None] = {}
        for selection in selections:
            data = node.synced
            offset = len(node.synced)
            for fraction, piece in zip(selection, node.pending, strict=True):
                written = piece[: round(len(piece) * fraction)]
                if written:
                    data = data.ljust(offset, b"\0") + written
                offset += len(piece)
            contents[data] = None
        return list(contents)

    def crashes(self, rng: random.Random, max_states: int = 60) -> Iterator[dict[str, bytes]]:
        """The files that may be there after a power failure now; a random choice if there are too many."""
        for names in self._name_states():
            choices = {name: self._contents(node, rng, max_states) for name, node in names.items()}
            total = 1
            for contents in choices.values():
                total *= len(contents)
            if total <= max_states:
                for selection in product(*choices.values()):
                    yield dict(zip(choices, selection, strict=True))
            else:
                for _ in range(max_states):
                    yield {name: rng.choice(contents) for name, contents in choices.items()}

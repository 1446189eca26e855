"""Where things lie in a director's folder, and the lock that makes it one director's.

FOLDER/lock                     held by the director; its time of change is the director's sign of life
FOLDER/epoch                    how many directors started here
FOLDER/pace.json                how often proxies are to report, if not as by themselves
FOLDER/list                     the last list of hosts that the roster gave
FOLDER/down/PROXY/current/      cds.json eds.json rds.json: what the director tells the proxy
FOLDER/up/PROXY/                cds.json eds.json rds.json load.json status.json: what the proxy tells
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import re
import time

from .ops import DiskOps, FileOps, remove
from .swap import TEMP, clear_leftovers, read_file, swap_file

LOCK, EPOCH, ENDPOINT_LIST_FILE, DRAIN_FILE, OUTBOUND_FOLDER, INBOUND_FOLDER = (
    "lock",
    "epoch",
    "list",
    "drain",
    "down",
    "up",
)
LOAD_FILE, STATUS_FILE = "load.json", "status.json"
REPORT_INTERVAL_FILE = "pace.json"  # how often proxies are to report, in the published form of that answer
PROXY_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}\Z")


class FolderInUseError(Exception):
    """Another director holds this folder."""


class ControllerFolder:
    """One director's folder.  `open` raises FolderTaken, or OSError if it cannot be used."""

    def __init__(self, path: str, ops: FileOps | None = None) -> None:
        self.path, self.ops = os.path.abspath(path), ops or DiskOps()
        self.outbound_path, self.inbound_path = (
            f"{self.path}/{OUTBOUND_FOLDER}",
            f"{self.path}/{INBOUND_FOLDER}",
        )
        self.epoch, self._lock = 0, -1

    def open(self) -> None:
        """Locks the folder, counts this start, and clears what a director that died left behind."""
        os.makedirs(self.path, exist_ok=True)
        fd = os.open(f"{self.path}/{LOCK}", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as fault:
            owner = os.pread(fd, 200, 0).decode("ascii", "replace").strip() or "another process"
            os.close(fd)
            raise FolderInUseError(
                f"{self.path} is in use by {owner}; one folder serves one director"
            ) from fault
        self._lock = fd
        for path in (self.outbound_path, self.inbound_path):
            with contextlib.suppress(FileExistsError):
                self.ops.mkdir(path)
        for name in self.ops.listdir(self.path):
            if name.startswith(TEMP):
                remove(self.ops, f"{self.path}/{name}")
        here = set(self.ops.listdir(self.inbound_path))
        for name in self.ops.listdir(self.outbound_path):
            if name in here:
                clear_leftovers(self.ops, f"{self.outbound_path}/{name}")
            else:  # nobody reads it
                remove(self.ops, f"{self.outbound_path}/{name}")
        self.epoch = self._next_epoch()
        os.ftruncate(fd, 0)
        os.pwrite(fd, f"process {os.getpid()}, epoch {self.epoch}\n".encode(), 0)
        self.record_heartbeat()

    def _next_epoch(self) -> int:
        """Rises at every start; on disk before anything is said under it."""
        try:
            last = int(read_file(None, f"{self.path}/{EPOCH}", 100))
        except FileNotFoundError:
            last = 0
        except ValueError:  # damaged: the time is larger than any count of starts
            last = int(time.time())
        swap_file(self.ops, self.path, EPOCH, f"{last + 1}\n".encode(), "file_and_folder")
        return last + 1

    def record_heartbeat(self) -> None:
        """The sign of life that proxies look at: the lock's time of change."""
        os.utime(self._lock)

    def close(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1


def last_heartbeat(folder: str) -> float:
    """When the director of this folder last gave a sign of life, by the machine's clock; 0 if never."""
    try:
        return os.stat(f"{folder}/{LOCK}").st_mtime
    except OSError:
        return 0.0

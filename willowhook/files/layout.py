"""The layout of a controller's folder, and the lock that gives it to one controller.

FOLDER/lock                     held by the controller; its modification time is the heartbeat
FOLDER/epoch                    the number of starts of controllers here
FOLDER/pace.json                the report interval of proxies, if it is not their own
FOLDER/list                     the last endpoint list from service discovery
FOLDER/drain                    present while the controller is asked to drain
FOLDER/down/PROXY/current/      cds.json eds.json rds.json: from the controller to the proxy
FOLDER/up/PROXY/                cds.json eds.json rds.json load.json status.json: from the proxy
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import re
import time

from .ops import DiskOps, FileOps, remove
from .swap import TEMP_PREFIX, clear_leftovers, read_file, swap_file

LOCK_FILE, EPOCH_FILE, ENDPOINT_LIST_FILE, DRAIN_FILE, OUTBOUND_FOLDER, INBOUND_FOLDER = (
    "lock",
    "epoch",
    "list",
    "drain",
    "down",
    "up",
)
LOAD_FILE, STATUS_FILE = "load.json", "status.json"
REPORT_INTERVAL_FILE = "pace.json"  # in the published form of a load report response
PROXY_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}\Z")


class FolderInUseError(Exception):
    """Another controller holds this folder."""


class ControllerFolder:
    """The folder of one controller.

    Attributes:
        path: its absolute path.
        ops: the file operations.
        outbound_path: the folder of the files for proxies.
        inbound_path: the folder of the files from proxies.
        epoch: the epoch of this start.
    """

    def __init__(self, path: str, ops: FileOps | None = None) -> None:
        self.path, self.ops = os.path.abspath(path), ops or DiskOps()
        self.outbound_path, self.inbound_path = (
            f"{self.path}/{OUTBOUND_FOLDER}",
            f"{self.path}/{INBOUND_FOLDER}",
        )
        self.epoch, self._lock_handle = 0, -1

    def open(self) -> None:
        """Locks the folder, counts this start, and deletes what a crashed controller left.

        Raises:
            FolderInUseError: another controller holds the folder.
            OSError: the folder cannot be used.
        """
        os.makedirs(self.path, exist_ok=True)
        fd = os.open(f"{self.path}/{LOCK_FILE}", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            owner = os.pread(fd, 200, 0).decode("ascii", "replace").strip() or "another process"
            os.close(fd)
            raise FolderInUseError(
                f"{self.path} is in use by {owner}; one folder serves one director"
            ) from error
        self._lock_handle = fd
        for path in (self.outbound_path, self.inbound_path):
            with contextlib.suppress(FileExistsError):
                self.ops.mkdir(path)
        for name in self.ops.listdir(self.path):
            if name.startswith(TEMP_PREFIX):
                remove(self.ops, f"{self.path}/{name}")
        joined = set(self.ops.listdir(self.inbound_path))
        for name in self.ops.listdir(self.outbound_path):
            if name in joined:
                clear_leftovers(self.ops, f"{self.outbound_path}/{name}")
            else:  # no proxy reads it
                remove(self.ops, f"{self.outbound_path}/{name}")
        self.epoch = self._next_epoch()
        os.ftruncate(fd, 0)
        os.pwrite(fd, f"process {os.getpid()}, epoch {self.epoch}\n".encode(), 0)
        self.record_heartbeat()

    def _next_epoch(self) -> int:
        """Returns an epoch above that of every earlier start. It is durable before it is used."""
        try:
            last = int(read_file(None, f"{self.path}/{EPOCH_FILE}", 100))
        except FileNotFoundError:
            last = 0
        except ValueError:  # corrupt: the current time is larger than any count of starts
            last = int(time.time())
        swap_file(self.ops, self.path, EPOCH_FILE, f"{last + 1}\n".encode(), "file_and_folder")
        return last + 1

    def record_heartbeat(self) -> None:
        """Sets the modification time of the lock, from which proxies see that the controller is alive."""
        os.utime(self._lock_handle)

    def close(self) -> None:
        """Releases the lock."""
        if self._lock_handle >= 0:
            os.close(self._lock_handle)
            self._lock_handle = -1


def last_heartbeat(folder: str) -> float:
    """Returns the time of the last heartbeat in a folder, in seconds since 1970; 0 if there was none."""
    try:
        return os.stat(f"{folder}/{LOCK_FILE}").st_mtime
    except OSError:
        return 0.0

"""File swaps that are interrupted at every step, disk errors, and the lock of a controller's folder."""

from __future__ import annotations

import errno
import os
import resource
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest
import trio

from willowhook.files.follow import FileGroupFollower
from willowhook.files.layout import ControllerFolder, FolderInUseError, last_heartbeat
from willowhook.files.ops import DiskOps
from willowhook.files.swap import FileGroupWriter, read_group, swap_file
from willowhook.files.watch import InotifyWatch, PollWatch, Watch

Files = dict[str, bytes]
ONE: Files = {"cds.json": b"c1", "eds.json": b"e1" * 3000, "rds.json": b"r1"}
EDS: Files = {**ONE, "eds.json": b"e2" * 3000}  # differs in one file, which is renamed in place
TWO: Files = {"cds.json": b"c2", "eds.json": b"e2" * 3000, "rds.json": b"r2"}


class Killed(BaseException):
    """Simulates a SIGKILL: no code of the writer runs after it."""


class FaultyOps(DiskOps):
    """Fails at operation number `at`: before it, in the middle of it, or after it."""

    def __init__(self, at: int, how: str, make_error: Callable[[], BaseException]) -> None:
        self.count, self.at, self.how, self.make_error = 0, at, how, make_error
        self.is_killed = False

    def step(self, operation: Callable[[], None], half: Callable[[], None] | None = None) -> None:
        if self.is_killed:
            raise Killed
        self.count += 1
        if self.count != self.at:
            operation()
            return
        error = self.make_error()
        self.is_killed = isinstance(error, Killed)
        if self.how == "half" and half is not None:
            half()
        elif self.how == "after":
            operation()
        raise error

    def write(self, path: str, data: bytes, sync: bool) -> None:
        write, part = super().write, data[: len(data) // 2]
        self.step(lambda: write(path, data, sync), lambda: write(path, part, False))

    def mkdir(self, path: str) -> None:
        self.step(lambda: os.mkdir(path))

    def link(self, old: str, new: str) -> None:
        self.step(lambda: os.link(old, new))

    def symlink(self, target: str, path: str) -> None:
        self.step(lambda: os.symlink(target, path))

    def rename(self, old: str, new: str) -> None:
        self.step(lambda: os.rename(old, new))

    def unlink(self, path: str) -> None:
        self.step(lambda: os.unlink(path))

    def rmdir(self, path: str) -> None:
        self.step(lambda: os.rmdir(path))

    def sync_folder(self, path: str) -> None:
        self.step(lambda: None)


def write_first_group(folder: Path) -> FileGroupWriter:
    writer = FileGroupWriter(str(folder), series="1-")
    writer.open()
    writer.put(ONE)
    return writer


def names(folder: Path) -> list[str]:
    return sorted(str(path.relative_to(folder)) for path in folder.rglob("*"))


def steps_of(folder: Path, new: Files, durability: str) -> int:
    writer = write_first_group(folder)
    writer.ops, writer.durability = FaultyOps(0, "before", Killed), durability
    writer.put(new)
    assert isinstance(writer.ops, FaultyOps)
    return writer.ops.count


@pytest.mark.parametrize("new", [EDS, TWO], ids=["one file", "group"])
@pytest.mark.parametrize("durability", ["none", "file_and_folder"])
@pytest.mark.parametrize("how", ["before", "half", "after"])
def test_swap_killed_at_any_step_leaves_old_or_new_files_and_no_leftovers(
    tmp_path: Path, new: Files, durability: str, how: str
) -> None:
    steps = steps_of(tmp_path / "count", new, durability)
    assert steps >= 2
    for at in range(1, steps + 1):
        folder = tmp_path / f"{how}{at}"
        writer = write_first_group(folder)
        writer.ops, writer.durability = FaultyOps(at, how, Killed), durability
        with pytest.raises(Killed):
            writer.put(new)
        seen = read_group(str(folder))[1]
        assert seen in (ONE, new)
        next_writer = FileGroupWriter(str(folder), series="2-")  # of the next controller
        next_writer.open()
        assert read_group(str(folder))[1] == seen  # deleting leftovers does not change it
        next_writer.put(TWO)
        assert read_group(str(folder))[1] == TWO
        assert len(names(folder)) == 5  # `current`, its version folder, three files: no leftovers


@pytest.mark.parametrize("new", [EDS, TWO], ids=["one file", "group"])
@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("how", ["before", "half", "after"])
def test_disk_error_at_any_step_fails_only_that_swap(tmp_path: Path, new: Files, code: int, how: str) -> None:
    for at in range(1, steps_of(tmp_path / "count", new, "file_and_folder") + 1):
        folder = tmp_path / f"{how}{at}"
        writer = write_first_group(folder)
        ops = writer.ops = FaultyOps(at, how, lambda: OSError(code, os.strerror(code)))
        writer.durability = "file_and_folder"
        try:
            writer.put(new)
            failed = False
        except OSError as error:
            assert error.errno == code
            failed = True
        assert read_group(str(folder))[1] in ((ONE, new) if failed else (new,))
        assert ops.count >= at
        writer.put(new)  # the same files again, now that the disk works
        assert read_group(str(folder))[1] == new
        writer.put(ONE)
        next_writer = FileGroupWriter(str(folder), series="2-")
        next_writer.open()
        assert len(names(folder)) == 5


def test_failed_file_swap_frees_its_disk_space(tmp_path: Path) -> None:
    swap_file(DiskOps(), str(tmp_path), "a", b"old")
    with pytest.raises(OSError):
        swap_file(
            FaultyOps(1, "half", lambda: OSError(errno.ENOSPC, "full")), str(tmp_path), "a", b"new" * 99
        )
    assert names(tmp_path) == ["a"] and (tmp_path / "a").read_bytes() == b"old"


CHILD = """
import sys
from willowhook.files.swap import FileGroupWriter
writer = FileGroupWriter(sys.argv[1], series=sys.argv[2] + "-")
writer.open()
print("open", flush=True)
for k in range(1, 10**9):
    body = b"%09d" % k
    writer.put({"cds.json": body, "eds.json": body * 2000, "rds.json": body} if k % 3 else
              {**writer.files, "eds.json": body * 2000} if writer.files else {"eds.json": body * 2000})
"""


def test_writers_killed_at_random_times_leave_no_torn_files(tmp_path: Path) -> None:
    folder, stop, torn, read_count = tmp_path / "p", threading.Event(), list[str](), [0]

    def read() -> None:
        while not stop.is_set():
            try:
                files = read_group(str(folder))[1]
            except FileNotFoundError:
                continue
            body = files["eds.json"]
            read_count[0] += 1
            if len(body) != 18_000 or len(set(body[k : k + 9] for k in range(0, 18_000, 9))) != 1:
                torn.append("part of a file")
            if files.get("cds.json") != files.get("rds.json"):
                torn.append("files of two versions")

    reader = threading.Thread(target=read)
    reader.start()
    for run in range(8):
        child = subprocess.Popen([sys.executable, "-c", CHILD, str(folder), str(run)], stdout=subprocess.PIPE)
        assert child.stdout is not None and child.stdout.readline() == b"open\n"
        time.sleep(0.05 + 0.013 * run)
        child.send_signal(signal.SIGKILL)
        child.wait()
        child.stdout.close()
    stop.set()
    reader.join()
    assert not torn and read_count[0] > 50
    writer = FileGroupWriter(str(folder), series="z-")
    writer.open()
    writer.put(TWO)
    assert len(names(folder)) == 5


def test_file_size_limit_keeps_the_old_files(tmp_path: Path) -> None:
    folder = tmp_path / "p"
    write_first_group(folder)
    child = (
        "import sys\nfrom willowhook.files.swap import FileGroupWriter\n"
        "writer = FileGroupWriter(sys.argv[1], series='2-')\n"
        "try:\n writer.put({'eds.json': b'x' * 5000})\nexcept OSError as f:\n print(f.errno)"
    )
    limit = (2000, resource.RLIM_INFINITY)
    result = subprocess.run(
        [sys.executable, "-c", child, str(folder)], capture_output=True, text=True, check=True,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, limit),
    )  # fmt: skip
    assert int(result.stdout) == errno.EFBIG and read_group(str(folder))[1] == ONE and len(names(folder)) == 5


def test_folder_is_held_by_one_controller_and_counts_its_starts(tmp_path: Path) -> None:
    first = ControllerFolder(str(tmp_path / "d"))
    first.open()
    with pytest.raises(FolderInUseError, match=f"process {os.getpid()}, epoch 1"):
        ControllerFolder(str(tmp_path / "d")).open()
    assert abs(last_heartbeat(first.path) - time.time()) < 5
    first.close()
    (tmp_path / "d" / "up" / "p1").mkdir()
    (tmp_path / "d" / "down" / "p1").mkdir()
    (tmp_path / "d" / "down" / "gone").mkdir()
    (tmp_path / "d" / ".new-list").write_bytes(b"half")
    second = ControllerFolder(str(tmp_path / "d"))
    second.open()
    assert second.epoch == 2
    assert names(tmp_path / "d") == ["down", "down/p1", "epoch", "lock", "up", "up/p1"]
    second.close()
    (tmp_path / "d" / "epoch").write_bytes(b"\xff")
    third = ControllerFolder(str(tmp_path / "d"))
    third.open()
    assert third.epoch > 1_000_000  # it increases although the count was corrupt
    third.close()


@pytest.mark.parametrize("how", ["inotify", "poll"])
def test_follower_sees_the_last_of_many_swaps_and_no_mixed_versions(tmp_path: Path, how: str) -> None:
    seen: list[Files] = []

    async def run() -> None:
        follower = FileGroupFollower(how, 0.005, lambda _, files: seen.append(files))
        parent = tmp_path / "down"
        parent.mkdir()
        follower.follow("p", str(parent), "p1")  # before there are files to read
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            writer = FileGroupWriter(str(parent / "p1"), series="1-")
            for k in range(60):
                body = b"%d" % k
                writer.put({"eds.json": body} if k == 0 else {"eds.json": body, "cds.json": b"%d" % (k // 5)})
                await trio.sleep(0.002 if k % 3 else 0.02)
            with trio.fail_after(5):
                while not seen or seen[-1]["eds.json"] != b"59":
                    await trio.sleep(0.01)
            follower.unfollow("p")
            writer.put({"eds.json": b"unseen"})
            await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    trio.run(run)
    assert len(seen) > 10 and seen[-1] == {"eds.json": b"59", "cds.json": b"11"}
    assert all(int(files["eds.json"]) // 5 == int(files.get("cds.json", b"0")) for files in seen)


@pytest.mark.parametrize("make", [InotifyWatch, lambda: PollWatch(0.005)], ids=["inotify", "poll"])
def test_watch_reports_swapped_and_deleted_files(tmp_path: Path, make: Callable[[], Watch]) -> None:
    async def run() -> list[tuple[str, str]]:
        watch, changes = make(), list[tuple[str, str]]()
        watch.add(str(tmp_path), "k")
        with pytest.raises(OSError):
            watch.add(str(tmp_path / "none"), "x")
        swap_file(DiskOps(), str(tmp_path), "a", b"1")
        with trio.fail_after(5):
            changes += await watch.changed()
            os.unlink(tmp_path / "a")
            changes += await watch.changed()
        watch.drop("k")
        watch.close()
        return changes

    assert set(trio.run(run)) == {("k", "a")}

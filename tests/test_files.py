"""Swaps that are cut short at every step, disks that fail, and folders that are taken."""

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
EDS: Files = {**ONE, "eds.json": b"e2" * 3000}  # one file differs: renamed in place
TWO: Files = {"cds.json": b"c2", "eds.json": b"e2" * 3000, "rds.json": b"r2"}


class Killed(BaseException):
    """As a SIGKILL: nothing after it runs."""


class FaultyOps(DiskOps):
    """Breaks at the nth operation: before it, half through it, or after it."""

    def __init__(self, at: int, how: str, fault: Callable[[], BaseException]) -> None:
        self.count, self.at, self.how, self.fault = 0, at, how, fault
        self.dead = False

    def step(self, work: Callable[[], None], half: Callable[[], None] | None = None) -> None:
        if self.dead:
            raise Killed
        self.count += 1
        if self.count != self.at:
            work()
            return
        made = self.fault()
        self.dead = isinstance(made, Killed)
        if self.how == "half" and half is not None:
            half()
        elif self.how == "after":
            work()
        raise made

    def write(self, path: str, data: bytes, sync: bool) -> None:
        whole, part = super().write, data[: len(data) // 2]
        self.step(lambda: whole(path, data, sync), lambda: whole(path, part, False))

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


def stocked(folder: Path) -> FileGroupWriter:
    shelf = FileGroupWriter(str(folder), series="1-")
    shelf.open()
    shelf.put(ONE)
    return shelf


def names(folder: Path) -> list[str]:
    return sorted(str(path.relative_to(folder)) for path in folder.rglob("*"))


def steps_of(folder: Path, new: Files, durability: str) -> int:
    shelf = stocked(folder)
    shelf.ops, shelf.durability = FaultyOps(0, "before", Killed), durability
    shelf.put(new)
    assert isinstance(shelf.ops, FaultyOps)
    return shelf.ops.count


@pytest.mark.parametrize("new", [EDS, TWO], ids=["one file", "group"])
@pytest.mark.parametrize("durability", ["none", "file_and_folder"])
@pytest.mark.parametrize("how", ["before", "half", "after"])
def test_killed_at_every_step_readers_see_old_or_new_and_nothing_is_left(
    tmp_path: Path, new: Files, durability: str, how: str
) -> None:
    steps = steps_of(tmp_path / "count", new, durability)
    assert steps >= 2
    for at in range(1, steps + 1):
        home = tmp_path / f"{how}{at}"
        shelf = stocked(home)
        shelf.ops, shelf.durability = FaultyOps(at, how, Killed), durability
        with pytest.raises(Killed):
            shelf.put(new)
        seen = read_group(str(home))[1]
        assert seen in (ONE, new)
        again = FileGroupWriter(str(home), series="2-")  # the next director
        again.open()
        assert read_group(str(home))[1] == seen  # untouched by the clearing
        again.put(TWO)
        assert read_group(str(home))[1] == TWO
        assert len(names(home)) == 5  # `current`, its folder, three files: no leftover


@pytest.mark.parametrize("new", [EDS, TWO], ids=["one file", "group"])
@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("how", ["before", "half", "after"])
def test_a_disk_that_fails_once_at_any_step_costs_one_swap(
    tmp_path: Path, new: Files, code: int, how: str
) -> None:
    for at in range(1, steps_of(tmp_path / "count", new, "file_and_folder") + 1):
        home = tmp_path / f"{how}{at}"
        shelf = stocked(home)
        ops = shelf.ops = FaultyOps(at, how, lambda: OSError(code, os.strerror(code)))
        shelf.durability = "file_and_folder"
        try:
            shelf.put(new)
            failed = False
        except OSError as fault:
            assert fault.errno == code
            failed = True
        assert read_group(str(home))[1] in ((ONE, new) if failed else (new,))
        assert ops.count >= at
        shelf.put(new)  # the same again, now that the disk is well
        assert read_group(str(home))[1] == new
        shelf.put(ONE)
        fresh = FileGroupWriter(str(home), series="2-")
        fresh.open()
        assert len(names(home)) == 5


def test_a_failed_swap_of_a_file_gives_its_room_back(tmp_path: Path) -> None:
    swap_file(DiskOps(), str(tmp_path), "a", b"old")
    with pytest.raises(OSError):
        swap_file(
            FaultyOps(1, "half", lambda: OSError(errno.ENOSPC, "full")), str(tmp_path), "a", b"new" * 99
        )
    assert names(tmp_path) == ["a"] and (tmp_path / "a").read_bytes() == b"old"


CHILD = """
import sys
from willowhook.files.swap import Shelf
shelf = Shelf(sys.argv[1], series=sys.argv[2] + "-")
shelf.open()
print("open", flush=True)
for k in range(1, 10**9):
    body = b"%09d" % k
    shelf.put({"cds.json": body, "eds.json": body * 2000, "rds.json": body} if k % 3 else
              {**shelf.held, "eds.json": body * 2000} if shelf.held else {"eds.json": body * 2000})
"""


def test_writers_killed_at_random_times_tear_nothing(tmp_path: Path) -> None:
    home, stop, torn, reads = tmp_path / "p", threading.Event(), list[str](), [0]

    def read() -> None:
        while not stop.is_set():
            try:
                files = read_group(str(home))[1]
            except FileNotFoundError:
                continue
            body = files["eds.json"]
            reads[0] += 1
            if len(body) != 18_000 or len(set(body[k : k + 9] for k in range(0, 18_000, 9))) != 1:
                torn.append("a file in part")
            if files.get("cds.json") != files.get("rds.json"):
                torn.append("files of two versions")

    reader = threading.Thread(target=read)
    reader.start()
    for life in range(8):
        child = subprocess.Popen([sys.executable, "-c", CHILD, str(home), str(life)], stdout=subprocess.PIPE)
        assert child.stdout is not None and child.stdout.readline() == b"open\n"
        time.sleep(0.05 + 0.013 * life)
        child.send_signal(signal.SIGKILL)
        child.wait()
        child.stdout.close()
    stop.set()
    reader.join()
    assert not torn and reads[0] > 50
    shelf = FileGroupWriter(str(home), series="z-")
    shelf.open()
    shelf.put(TWO)
    assert len(names(home)) == 5


def test_a_real_limit_of_file_size_keeps_the_old_files(tmp_path: Path) -> None:
    home = tmp_path / "p"
    stocked(home)
    child = (
        "import sys\nfrom willowhook.files.swap import Shelf\nshelf = Shelf(sys.argv[1], series='2-')\n"
        "try:\n shelf.put({'eds.json': b'x' * 5000})\nexcept OSError as f:\n print(f.errno)"
    )
    limit = (2000, resource.RLIM_INFINITY)
    got = subprocess.run(
        [sys.executable, "-c", child, str(home)], capture_output=True, text=True, check=True,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, limit),
    )  # fmt: skip
    assert int(got.stdout) == errno.EFBIG and read_group(str(home))[1] == ONE and len(names(home)) == 5


def test_one_folder_serves_one_director_and_counts_its_starts(tmp_path: Path) -> None:
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
    assert third.epoch > 1_000_000  # rises although the count was damaged
    third.close()


@pytest.mark.parametrize("how", ["inotify", "poll"])
def test_a_follower_sees_the_last_of_many_swaps_and_no_mix(tmp_path: Path, how: str) -> None:
    seen: list[Files] = []

    async def play() -> None:
        followers = FileGroupFollower(how, 0.005, lambda _, files: seen.append(files))
        down = tmp_path / "down"
        down.mkdir()
        followers.follow("p", str(down), "p1")  # before there is anything to read
        async with trio.open_nursery() as nursery:
            nursery.start_soon(followers.run)
            shelf = FileGroupWriter(str(down / "p1"), series="1-")
            for k in range(60):
                body = b"%d" % k
                shelf.put({"eds.json": body} if k == 0 else {"eds.json": body, "cds.json": b"%d" % (k // 5)})
                await trio.sleep(0.002 if k % 3 else 0.02)
            with trio.fail_after(5):
                while not seen or seen[-1]["eds.json"] != b"59":
                    await trio.sleep(0.01)
            followers.unfollow("p")
            shelf.put({"eds.json": b"unseen"})
            await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    trio.run(play)
    assert len(seen) > 10 and seen[-1] == {"eds.json": b"59", "cds.json": b"11"}
    assert all(int(files["eds.json"]) // 5 == int(files.get("cds.json", b"0")) for files in seen)


@pytest.mark.parametrize("make", [InotifyWatch, lambda: PollWatch(0.005)], ids=["inotify", "poll"])
def test_a_watch_tells_of_swaps_and_of_what_goes(tmp_path: Path, make: Callable[[], Watch]) -> None:
    async def play() -> list[tuple[str, str]]:
        watch, found = make(), list[tuple[str, str]]()
        watch.add(str(tmp_path), "k")
        with pytest.raises(OSError):
            watch.add(str(tmp_path / "none"), "x")
        swap_file(DiskOps(), str(tmp_path), "a", b"1")
        with trio.fail_after(5):
            found += await watch.changed()
            os.unlink(tmp_path / "a")
            found += await watch.changed()
        watch.drop("k")
        watch.close()
        return found

    assert set(trio.run(play)) == {("k", "a")}

"""What the store costs: `python -m benchmarks.store [appends|recovery|layouts]`.

Appends beside a sync a record and beside a bare loop of writes and syncs of the same batches; recovery by
size of the log; and, at a million records, the tree in memory beside sorted runs on disk.
"""

from __future__ import annotations

import bisect
import os
import random
import resource
import statistics
import struct
import sys
import tempfile
import time
from pathlib import Path

import trio
import xxhash

from willowhook.store.commit import Committer
from willowhook.store.store import Op, Store

VALUE = b"x" * 120
WRITERS = 64


def ranks(times: list[float]) -> str:
    rows = sorted(times)
    return f"median {rows[len(rows) // 2] * 1000:.2f} ms, p99 {rows[int(len(rows) * 0.99)] * 1000:.2f} ms"


async def committing(
    folder: Path, seconds: float, paced: bool, compacting: bool
) -> tuple[int, float, list[float]]:
    """Records kept, the mean group, and how long each took."""
    store = Store(str(folder))
    committer = Committer(store)
    took: list[float] = []

    async def one(k: int) -> None:
        n = 0
        while True:
            n += 1
            began = time.perf_counter()
            await committer.commit([Op("orders", f"{k}.{n % 200}", n, VALUE)])
            took.append(time.perf_counter() - began)

    async def tidy() -> None:
        while True:
            await trio.sleep(0.2)
            for _ in store.compact(1 << 16):
                await trio.sleep(0.002)

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(committer.run)
            if compacting:
                nursery.start_soon(tidy)
            for k in range(WRITERS):
                nursery.start_soon(one, k)
    store.close()
    return committer.committed_count, committer.committed_count / max(committer.batch_count, 1), took


def bare(folder: Path, seconds: float, group: int, size: int) -> float:
    """Records a second of a loop that writes and syncs batches of this many."""
    folder.mkdir(parents=True, exist_ok=True)
    fd = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    data, count, began = b"y" * size * group, 0, time.perf_counter()
    while time.perf_counter() - began < seconds:
        os.write(fd, data)
        os.fdatasync(fd)
        count += group
    os.close(fd)
    return count / (time.perf_counter() - began)


def appends(root: Path) -> None:
    seconds, ratios, each = 2.0, [], []
    for k in range(5):
        kept, group, took = trio.run(committing, root / f"a{k}", seconds, False)
        rate = kept / seconds
        size = sum(f.stat().st_size for f in (root / f"a{k}").glob("seg-*")) // max(kept, 1)
        plain, single = (
            bare(root / f"b{k}", seconds, round(group), size),
            bare(root / f"c{k}", seconds, 1, size),
        )
        ratios.append(rate / plain)
        each.append(rate / single)
        print(f"  {rate:.0f} records a second in groups of {group:.1f}, {ranks(took)}; bare {plain:.0f}, "
              f"a sync a record {single:.0f}")  # fmt: skip
    print(f"appends: {statistics.median(ratios):.2f} of the bare loop ({min(ratios):.2f} to "
          f"{max(ratios):.2f}), {statistics.median(each):.1f} times a sync a record")  # fmt: skip
    for compacting in (False, True):
        rows = [trio.run(committing, root / f"p{compacting}{k}", 1.5, compacting) for k in range(3)]
        took = [t for _, _, times in rows for t in times]
        rate = statistics.median(kept / 1.5 for kept, _, _ in rows)
        print(f"  compacting {compacting}: {rate:.0f} a second, {ranks(took)}")


def recovery(root: Path) -> None:
    for count in (1000, 10_000, 100_000):
        store = Store(str(root / f"r{count}"))
        for k in range(count):
            store.write([Op("orders", f"k{k % 5000}", k, VALUE)])
        store.flush()
        store.close()
        times = []
        for _ in range(3):
            began = time.perf_counter()
            store = Store(str(root / f"r{count}"))
            times.append(time.perf_counter() - began)
            store.close()
        store = Store(str(root / f"r{count}"))
        list(store.compact())
        store.write([Op("orders", "k0", 0, VALUE)])
        store.flush()
        list(store.compact())
        store.close()
        began = time.perf_counter()
        Store(str(root / f"r{count}")).close()
        print(f"recovery of {count} records: {statistics.median(times) * 1000:.0f} ms; "
              f"after two compactions {(time.perf_counter() - began) * 1000:.0f} ms")  # fmt: skip


class Run:
    """The rival: a sorted run with a sparse index and a filter, read from disk."""

    ROW = struct.Struct("<HI")

    def __init__(self, path: Path, rows: list[tuple[bytes, bytes]]) -> None:
        self.index: list[tuple[bytes, int]] = []
        bits, self.size = len(rows) * 10, 0
        self.filter = bytearray(bits // 8 + 1)
        with open(path, "wb") as file:
            for k, (key, value) in enumerate(rows):
                if k % 64 == 0:
                    self.index.append((key, self.size))
                for bit in self._bits(key):
                    self.filter[bit >> 3] |= 1 << (bit & 7)
                data = self.ROW.pack(len(key), len(value)) + key + value
                file.write(data)
                self.size += len(data)
        self.fd = os.open(path, os.O_RDONLY)
        self.keys = [key for key, _ in self.index]
        self.read = 0

    def _bits(self, key: bytes) -> list[int]:
        digest = xxhash.xxh3_64_intdigest(key)
        one, two, most = digest & 0xFFFFFFFF, digest >> 32, len(self.filter) * 8
        return [(one + n * two) % most for n in range(7)]

    def get(self, key: bytes) -> bytes | None:
        if not all(self.filter[bit >> 3] >> (bit & 7) & 1 for bit in self._bits(key)):
            return None
        at = bisect.bisect_right(self.keys, key) - 1
        if at < 0:
            return None
        end = self.index[at + 1][1] if at + 1 < len(self.index) else self.size
        block = os.pread(self.fd, end - self.index[at][1], self.index[at][1])
        self.read += len(block)
        place = 0
        while place < len(block):
            k, v = self.ROW.unpack_from(block, place)
            place += self.ROW.size
            if block[place : place + k] == key:
                return block[place + k : place + k + v]
            place += k + v
        return None


def layouts(root: Path) -> None:
    count, chance = 1_000_000, random.Random(1)
    rows = [(f"proxy-{k:07d}".encode(), VALUE) for k in range(count)]
    asked = [rows[chance.randrange(count)][0] for _ in range(20_000)]

    def rss() -> float:
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024

    before, began = rss(), time.perf_counter()
    runs = [Run(root / f"run{k}", rows[k::8]) for k in range(8)]
    made = time.perf_counter() - began
    began = time.perf_counter()
    for key in asked:
        assert any(run.get(key) is not None for run in runs)
    each = (time.perf_counter() - began) / len(asked)
    read = sum(run.read for run in runs) / len(asked)
    print(f"sorted runs, 8 of {count // 8}: made in {made:.1f} s, {rss() - before:.0f} MB more, "
          f"a look {each * 1e6:.0f} µs, {read / len(VALUE):.0f} times the bytes asked for; "
          f"written twice (log and run), and once more a merge")  # fmt: skip
    store = Store(str(root / "m"), segment_bytes=64 << 20)
    for k in range(0, count, 100):
        store.write([Op("p", key.decode(), 0, value) for key, value in rows[k : k + 100]])
    store.flush()
    list(store.compact(1 << 20))
    store.close()
    before, began = rss(), time.perf_counter()
    store = Store(str(root / "m"))
    opened = time.perf_counter() - began
    began = time.perf_counter()
    for key in asked:
        assert store.get("p", key.decode()) is not None
    each = (time.perf_counter() - began) / len(asked)
    print(f"a tree in memory: open after {opened:.1f} s, {rss() - before:.0f} MB more, "
          f"a look {each * 1e6:.1f} µs, nothing read; written twice (log and snapshot)")  # fmt: skip


def main() -> None:
    which = sys.argv[1:] or ["appends", "recovery", "layouts"]
    with tempfile.TemporaryDirectory() as name:
        for each in which:
            {"appends": appends, "recovery": recovery, "layouts": layouts}[each](Path(name))


if __name__ == "__main__":
    main()

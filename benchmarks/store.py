"""Cost of the store: `python -m benchmarks.store [appends|recovery|layouts]`.

appends: group commit, beside a sync for each record and beside a plain loop that writes and syncs batches of
the same size. recovery: time by the size of the log. layouts: a tree in memory, beside sorted runs on disk,
at a million records.
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


def describe_latencies(times: list[float]) -> str:
    sorted_times = sorted(times)
    return (
        f"median {sorted_times[len(sorted_times) // 2] * 1000:.2f} ms, "
        f"p99 {sorted_times[int(len(sorted_times) * 0.99)] * 1000:.2f} ms"
    )


async def commit_concurrently(
    folder: Path, seconds: float, paced: bool, compacting: bool
) -> tuple[int, float, list[float]]:
    """Returns the number of committed records, the mean batch size and the latency of each commit."""
    store = Store(str(folder))
    committer = Committer(store)
    latencies: list[float] = []

    async def write_forever(writer: int) -> None:
        sequence = 0
        while True:
            sequence += 1
            began = time.perf_counter()
            await committer.commit([Op("orders", f"{writer}.{sequence % 200}", sequence, VALUE)])
            latencies.append(time.perf_counter() - began)

    async def compact_forever() -> None:
        while True:
            await trio.sleep(0.2)
            for _ in store.compact(1 << 16):
                await trio.sleep(0.002)

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(committer.run)
            if compacting:
                nursery.start_soon(compact_forever)
            for writer in range(WRITERS):
                nursery.start_soon(write_forever, writer)
    store.close()
    return committer.committed_count, committer.committed_count / max(committer.batch_count, 1), latencies


def write_and_sync(folder: Path, seconds: float, batch_size: int, record_size: int) -> float:
    """Returns the records per second of a loop that writes and syncs batches of this many records."""
    folder.mkdir(parents=True, exist_ok=True)
    fd = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    data, count, began = b"y" * record_size * batch_size, 0, time.perf_counter()
    while time.perf_counter() - began < seconds:
        os.write(fd, data)
        os.fdatasync(fd)
        count += batch_size
    os.close(fd)
    return count / (time.perf_counter() - began)


def appends(root: Path) -> None:
    seconds, loop_ratios, single_ratios = 2.0, [], []
    for k in range(5):
        committed, batch_size, latencies = trio.run(commit_concurrently, root / f"a{k}", seconds, False)
        rate = committed / seconds
        record_size = sum(f.stat().st_size for f in (root / f"a{k}").glob("seg-*")) // max(committed, 1)
        loop_rate, single_rate = (
            write_and_sync(root / f"b{k}", seconds, round(batch_size), record_size),
            write_and_sync(root / f"c{k}", seconds, 1, record_size),
        )
        loop_ratios.append(rate / loop_rate)
        single_ratios.append(rate / single_rate)
        print(f"  {rate:.0f} records a second in batches of {batch_size:.1f}, "
              f"{describe_latencies(latencies)}; plain loop {loop_rate:.0f}, "
              f"a sync for each record {single_rate:.0f}")  # fmt: skip
    print(f"appends: {statistics.median(loop_ratios):.2f} of the plain loop ({min(loop_ratios):.2f} to "
          f"{max(loop_ratios):.2f}), "
          f"{statistics.median(single_ratios):.1f} times a sync for each record")  # fmt: skip
    for compacting in (False, True):
        results = [
            trio.run(commit_concurrently, root / f"p{compacting}{k}", 1.5, compacting) for k in range(3)
        ]
        latencies = [t for _, _, times in results for t in times]
        rate = statistics.median(committed / 1.5 for committed, _, _ in results)
        print(f"  compacting {compacting}: {rate:.0f} a second, {describe_latencies(latencies)}")


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


class SortedRun:
    """The alternative: a sorted run on disk, with a sparse index and a Bloom filter."""

    RECORD_HEADER = struct.Struct("<HI")

    def __init__(self, path: Path, records: list[tuple[bytes, bytes]]) -> None:
        self.index: list[tuple[bytes, int]] = []
        bits, self.size = len(records) * 10, 0
        self.filter = bytearray(bits // 8 + 1)
        with open(path, "wb") as file:
            for position, (key, value) in enumerate(records):
                if position % 64 == 0:
                    self.index.append((key, self.size))
                for bit in self._bits(key):
                    self.filter[bit >> 3] |= 1 << (bit & 7)
                data = self.RECORD_HEADER.pack(len(key), len(value)) + key + value
                file.write(data)
                self.size += len(data)
        self.fd = os.open(path, os.O_RDONLY)
        self.keys = [key for key, _ in self.index]
        self.bytes_read = 0

    def _bits(self, key: bytes) -> list[int]:
        digest = xxhash.xxh3_64_intdigest(key)
        hash_1, hash_2, bit_count = digest & 0xFFFFFFFF, digest >> 32, len(self.filter) * 8
        return [(hash_1 + n * hash_2) % bit_count for n in range(7)]

    def get(self, key: bytes) -> bytes | None:
        if not all(self.filter[bit >> 3] >> (bit & 7) & 1 for bit in self._bits(key)):
            return None
        block_index = bisect.bisect_right(self.keys, key) - 1
        if block_index < 0:
            return None
        end = self.index[block_index + 1][1] if block_index + 1 < len(self.index) else self.size
        block = os.pread(self.fd, end - self.index[block_index][1], self.index[block_index][1])
        self.bytes_read += len(block)
        offset = 0
        while offset < len(block):
            key_size, value_size = self.RECORD_HEADER.unpack_from(block, offset)
            offset += self.RECORD_HEADER.size
            if block[offset : offset + key_size] == key:
                return block[offset + key_size : offset + key_size + value_size]
            offset += key_size + value_size
        return None


def layouts(root: Path) -> None:
    count, generator = 1_000_000, random.Random(1)
    records = [(f"proxy-{k:07d}".encode(), VALUE) for k in range(count)]
    requested_keys = [records[generator.randrange(count)][0] for _ in range(20_000)]

    def peak_memory_mb() -> float:
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024

    memory_before, began = peak_memory_mb(), time.perf_counter()
    runs = [SortedRun(root / f"run{k}", records[k::8]) for k in range(8)]
    build_s = time.perf_counter() - began
    began = time.perf_counter()
    for key in requested_keys:
        assert any(run.get(key) is not None for run in runs)
    lookup_s = (time.perf_counter() - began) / len(requested_keys)
    bytes_per_lookup = sum(run.bytes_read for run in runs) / len(requested_keys)
    print(f"sorted runs, 8 of {count // 8}: built in {build_s:.1f} s, "
          f"{peak_memory_mb() - memory_before:.0f} MB more, a lookup {lookup_s * 1e6:.0f} µs, "
          f"{bytes_per_lookup / len(VALUE):.0f} times the bytes requested; "
          f"written twice (log and run), and once more for each merge")  # fmt: skip
    store = Store(str(root / "m"), segment_bytes=64 << 20)
    for k in range(0, count, 100):
        store.write([Op("p", key.decode(), 0, value) for key, value in records[k : k + 100]])
    store.flush()
    list(store.compact(1 << 20))
    store.close()
    memory_before, began = peak_memory_mb(), time.perf_counter()
    store = Store(str(root / "m"))
    open_s = time.perf_counter() - began
    began = time.perf_counter()
    for key in requested_keys:
        assert store.get("p", key.decode()) is not None
    lookup_s = (time.perf_counter() - began) / len(requested_keys)
    print(f"a tree in memory: opened in {open_s:.1f} s, {peak_memory_mb() - memory_before:.0f} MB more, "
          f"a lookup {lookup_s * 1e6:.1f} µs, no bytes read; written twice (log and snapshot)")  # fmt: skip


def main() -> None:
    names = sys.argv[1:] or ["appends", "recovery", "layouts"]
    with tempfile.TemporaryDirectory() as directory:
        for name in names:
            {"appends": appends, "recovery": recovery, "layouts": layouts}[name](Path(directory))


if __name__ == "__main__":
    main()

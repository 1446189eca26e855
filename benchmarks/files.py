"""Cost of configuration files for proxies, beside simple alternatives: `python -m benchmarks.files`.

Prints medians of several runs.
"""

from __future__ import annotations

import os
import resource
import statistics
import tempfile
import time
from collections.abc import Callable

import trio

from willowhook.files.follow import FileGroupFollower
from willowhook.files.ops import DiskOps
from willowhook.files.swap import FileGroupWriter, swap_file
from willowhook.xds import forms, tables
from willowhook.xds.codec import encode, encode_response

ENDPOINTS = 86


def median_us(work: Callable[[], object], times: int, runs: int = 5) -> tuple[float, float, float]:
    """Returns the median time of a call in microseconds, and the smallest and largest median of a run."""
    medians = []
    for _ in range(runs):
        durations = []
        for _ in range(times):
            began = time.perf_counter()
            work()
            durations.append(time.perf_counter() - began)
        medians.append(statistics.median(durations) * 1e6)
    return statistics.median(medians), min(medians), max(medians)


def table() -> forms.ClusterLoadAssignment:
    entries = [(f"host-{k}", "127.0.0.1", 9000 + k, "north", 1.0 + k / 100, False) for k in range(ENDPOINTS)]
    return tables.assignment("t0", entries)


def measure_encoding() -> None:
    from envoy.config.endpoint.v3 import endpoint_pb2
    from google.protobuf import json_format

    assignment = table()
    body = encode(assignment)
    message = json_format.Parse(body.replace(b'"@type":"' + forms.ASSIGNMENT.encode() + b'",', b""),
                              endpoint_pb2.ClusterLoadAssignment())  # fmt: skip
    typed = median_us(lambda: encode(assignment), 300)
    library = median_us(lambda: json_format.MessageToJson(message), 30)
    print(f"encoding a table of {ENDPOINTS} endpoints: typed {typed[0]:.0f} us"
          f" ({typed[1]:.0f} to {typed[2]:.0f}), protobuf's JSON"
          f" {library[0]:.0f} us, {library[0] / typed[0]:.0f} times as long")  # fmt: skip


def measure_durability(folder: str) -> None:
    body = encode_response("1.1", forms.ASSIGNMENT, "1.1", [encode(table())])
    timings = {}
    for mode in ("none", "file", "file_and_folder"):
        timings[mode] = median_us(lambda mode=mode: swap_file(DiskOps(), folder, "a", body, mode), 200)  # type: ignore[misc]
    for mode, timing in timings.items():
        ratio = timing[0] / timings["none"][0]
        print(
            f"replacing a file of {len(body)} bytes, durability {mode}: {timing[0]:.0f} us"
            f" ({timing[1]:.0f} to {timing[2]:.0f}), {ratio:.1f} times as long as with none"
        )


def measure_shared_table(folder: str, proxies: int = 200) -> None:
    """Compares one table file that all bound proxies share with a file for each: bytes time of a change."""
    body = encode_response("1.1", forms.ASSIGNMENT, "1.1", [encode(table())])
    writers = [FileGroupWriter(f"{folder}/p{k}", series="1-") for k in range(proxies)]
    count = [0]

    def write_file_of_each_proxy() -> None:
        count[0] += 1
        files = {"cds.json": b"c", "rds.json": b"r", "eds.json": body + b" " * (count[0] % 9)}
        for writer in writers:
            writer.put(files)

    def write_shared_file() -> None:
        swap_file(DiskOps(), folder, "t0.json", body)

    write_file_of_each_proxy()
    separate, shared = median_us(write_file_of_each_proxy, 3), median_us(write_shared_file, 100)
    size_mb = proxies * len(body) / 1e6
    print(f"a change for {proxies} proxies: a file each {separate[0] / 1000:.1f} ms and {size_mb:.1f} MB,"
          f" one shared file {shared[0]:.0f} us and {len(body)} bytes,"
          f" {separate[0] / shared[0]:.0f} times")  # fmt: skip


async def measure_reading(
    folder: str, mode: str, interval_s: float, proxies: int = 100, swaps: int = 400
) -> None:
    """Measures the delay from a write to its reader, and the reader's idle CPU, for many proxies together."""
    directory = f"{folder}/{mode}-{interval_s}"
    os.mkdir(directory)
    read_at: dict[str, float] = {}
    written_at: dict[str, float] = {}
    delays: list[float] = []

    def record_delay(proxy: str, files: dict[str, bytes]) -> None:
        read_at[proxy] = time.perf_counter()
        if proxy in written_at:
            delays.append(read_at[proxy] - written_at.pop(proxy))

    followers = FileGroupFollower(mode, interval_s, record_delay)
    writers = {f"p{k}": FileGroupWriter(f"{directory}/p{k}", series="1-") for k in range(proxies)}
    for name, writer in writers.items():
        writer.put({"eds.json": b"0"})
        followers.follow(name, directory, name)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(followers.run)
        await trio.sleep(0.2)
        idle_since, cpu_before = time.perf_counter(), resource.getrusage(resource.RUSAGE_SELF)
        await trio.sleep(1.0)
        cpu_after = resource.getrusage(resource.RUSAGE_SELF)
        idle_share = (cpu_after.ru_utime + cpu_after.ru_stime - cpu_before.ru_utime - cpu_before.ru_stime) / (
            time.perf_counter() - idle_since
        )
        for k in range(swaps):
            name = f"p{k % proxies}"
            written_at[name] = time.perf_counter()
            writers[name].put({"eds.json": b"%d" % k})
            await trio.sleep(0.003)
        await trio.sleep(0.3)
        nursery.cancel_scope.cancel()
    sorted_delays_ms = [value * 1000 for value in sorted(delays)]
    title = mode if mode == "inotify" else f"polling every {interval_s * 1000:.0f} ms"
    median_ms, p99_ms = (
        statistics.median(sorted_delays_ms),
        sorted_delays_ms[int(len(sorted_delays_ms) * 0.99)],
    )
    print(f"{title}: write to reader median {median_ms:.2f} ms, p99 {p99_ms:.2f} ms;", end=" ")
    print(f"idle {idle_share:.1%} of a core for {proxies} proxies")


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        measure_encoding()
        measure_durability(folder)
        measure_shared_table(folder)
        trio.run(measure_reading, folder, "inotify", 0.0)
        trio.run(measure_reading, folder, "poll", 0.02)
        trio.run(measure_reading, folder, "poll", 0.1)


if __name__ == "__main__":
    main()

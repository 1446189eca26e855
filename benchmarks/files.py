"""What the file front costs: `python -m benchmarks.files`.  Medians of runs, each beside a plain way."""

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

HOSTS = 86


def median_us(work: Callable[[], object], times: int, runs: int = 5) -> tuple[float, float, float]:
    """Median of a call in microseconds, with the least and the most of the runs' medians."""
    found = []
    for _ in range(runs):
        took = []
        for _ in range(times):
            began = time.perf_counter()
            work()
            took.append(time.perf_counter() - began)
        found.append(statistics.median(took) * 1e6)
    return statistics.median(found), min(found), max(found)


def table() -> forms.ClusterLoadAssignment:
    lines = [(f"host-{k}", "127.0.0.1", 9000 + k, "north", 1.0 + k / 100, False) for k in range(HOSTS)]
    return tables.assignment("t0", lines)


def encoding() -> None:
    from envoy.config.endpoint.v3 import endpoint_pb2
    from google.protobuf import json_format

    made = table()
    body = encode(made)
    plain = json_format.Parse(body.replace(b'"@type":"' + forms.ASSIGNMENT.encode() + b'",', b""),
                              endpoint_pb2.ClusterLoadAssignment())  # fmt: skip
    typed = median_us(lambda: encode(made), 300)
    library = median_us(lambda: json_format.MessageToJson(plain), 30)
    print(f"encoding a table of {HOSTS} hosts: typed {typed[0]:.0f} us ({typed[1]:.0f} to {typed[2]:.0f}),"
          f" protobuf's JSON {library[0]:.0f} us, {library[0] / typed[0]:.0f} times as long")  # fmt: skip


def durability(folder: str) -> None:
    body = encode_response("1.1", forms.ASSIGNMENT, "1.1", [encode(table())])
    rows = {}
    for how in ("none", "file", "file_and_folder"):
        rows[how] = median_us(lambda how=how: swap_file(DiskOps(), folder, "a", body, how), 200)  # type: ignore[misc]
    for how, row in rows.items():
        ratio = row[0] / rows["none"][0]
        print(
            f"a swap of {len(body)} bytes, {how}: {row[0]:.0f} us ({row[1]:.0f} to {row[2]:.0f}),"
            f" {ratio:.1f} of none"
        )


def shared_or_whole(folder: str, proxies: int = 200) -> None:
    """One shared table file for all who are bound, or a file a proxy: bytes and time of one change."""
    body = encode_response("1.1", forms.ASSIGNMENT, "1.1", [encode(table())])
    shelves = [FileGroupWriter(f"{folder}/p{k}", series="1-") for k in range(proxies)]
    count = [0]

    def whole() -> None:
        count[0] += 1
        files = {"cds.json": b"c", "rds.json": b"r", "eds.json": body + b" " * (count[0] % 9)}
        for shelf in shelves:
            shelf.put(files)

    def shared() -> None:
        swap_file(DiskOps(), folder, "t0.json", body)

    whole()
    each, one = median_us(whole, 3), median_us(shared, 100)
    size = proxies * len(body) / 1e6
    print(f"a change for {proxies} proxies: a file each {each[0] / 1000:.1f} ms and {size:.1f} MB, one shared"
          f" file {one[0]:.0f} us and {len(body)} bytes: {each[0] / one[0]:.0f} times")  # fmt: skip


async def reading(folder: str, how: str, every: float, proxies: int = 100, swaps: int = 400) -> None:
    """From a swap to its reader, and the reader's CPU, for many proxies in one process."""
    down = f"{folder}/down-{how}-{every}"
    os.mkdir(down)
    seen: dict[str, float] = {}
    put: dict[str, float] = {}
    took: list[float] = []

    def look(proxy: str, files: dict[str, bytes]) -> None:
        seen[proxy] = time.perf_counter()
        if proxy in put:
            took.append(seen[proxy] - put.pop(proxy))

    followers = FileGroupFollower(how, every, look)
    shelves = {f"p{k}": FileGroupWriter(f"{down}/p{k}", series="1-") for k in range(proxies)}
    for name, shelf in shelves.items():
        shelf.put({"eds.json": b"0"})
        followers.follow(name, down, name)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(followers.run)
        await trio.sleep(0.2)
        idle_from, cpu_from = time.perf_counter(), resource.getrusage(resource.RUSAGE_SELF)
        await trio.sleep(1.0)
        cpu = resource.getrusage(resource.RUSAGE_SELF)
        idle = (cpu.ru_utime + cpu.ru_stime - cpu_from.ru_utime - cpu_from.ru_stime) / (
            time.perf_counter() - idle_from
        )
        for k in range(swaps):
            name = f"p{k % proxies}"
            put[name] = time.perf_counter()
            shelves[name].put({"eds.json": b"%d" % k})
            await trio.sleep(0.003)
        await trio.sleep(0.3)
        nursery.cancel_scope.cancel()
    ranked = [value * 1000 for value in sorted(took)]
    what = how if how == "inotify" else f"polling each {every * 1000:.0f} ms"
    late, worst = statistics.median(ranked), ranked[int(len(ranked) * 0.99)]
    print(f"{what}: swap to reader median {late:.2f} ms, p99 {worst:.2f} ms;", end=" ")
    print(f"idle {idle:.1%} of a core for {proxies} proxies")


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        encoding()
        durability(folder)
        shared_or_whole(folder)
        trio.run(reading, folder, "inotify", 0.0)
        trio.run(reading, folder, "poll", 0.02)
        trio.run(reading, folder, "poll", 0.1)


if __name__ == "__main__":
    main()

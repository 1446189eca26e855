"""Cost of the data structures of load report processing: `python -m benchmarks.intake [--most N]`.

Prints medians of runs in memory. Decaying sums: forward decay with a landmark, decay of each sum whenever it
is added to, and a ring of time buckets. Waiting reports: a random sample of two for each proxy, and a plain
queue of all. Most frequent reporters: exact counts, and a sketch of heavy hitters (Space-Saving, Metwally,
Agrawal and El Abbadi, 2005).
"""

from __future__ import annotations

import argparse
import heapq
import random
import statistics
import time
import tracemalloc
from collections import deque
from collections.abc import Callable

from willowhook.decisions.windows import WindowedSums
from willowhook.reports.fading import ForwardDecay
from willowhook.reports.queue import ReportQueue

HALF_LIFE_TICKS = 20_000
VALUES_PER_REPORT = 36  # the values of a report share its window


def forward_decay(items: list[tuple[int, int]]) -> object:
    decay = ForwardDecay(HALF_LIFE_TICKS)
    cells: dict[int, float] = {}
    gain = 1.0
    for index, (now, key) in enumerate(items):
        if index % VALUES_PER_REPORT == 0:
            gain = decay.gain(now - 5000, now)
        cells[key] = cells.get(key, 0.0) + 3.0 * gain
    return cells


def decay_each_sum(items: list[tuple[int, int]]) -> object:
    cells: dict[int, list[float]] = {}
    for now, key in items:
        cell = cells.get(key)
        if cell is None:
            cells[key] = [now, 3.0]
        else:
            cell[1] = cell[1] * 2.0 ** (-(now - cell[0]) / HALF_LIFE_TICKS) + 3.0
            cell[0] = now
    return cells


def bucket_ring(items: list[tuple[int, int]]) -> object:
    cells: dict[int, WindowedSums] = {}
    for now, key in items:
        cell = cells.get(key)
        if cell is None:
            cell = cells[key] = WindowedSums(5000, 8, 1)
        cell.add(now, 3.0)
    return cells


def sampled_queue(items: list[tuple[int, int]]) -> object:
    queue = ReportQueue(random.Random(1).randrange)
    for now, key in items:
        queue.offer(now, f"p{key}", b"x" * 100)
    while queue.take(0):
        pass
    return queue


def plain_queue(items: list[tuple[int, int]]) -> object:
    queue: deque[tuple[str, bytes]] = deque()
    for _, key in items:
        queue.append((f"p{key}", bytes(b"x" * 100)))
    return queue


def exact_counts(items: list[tuple[int, int]]) -> object:
    counts: dict[int, int] = {}
    for _, key in items:
        counts[key] = counts.get(key, 0) + 1
    return heapq.nlargest(10, counts.items(), key=lambda pair: pair[1]), counts


def space_saving(items: list[tuple[int, int]], capacity: int = 100) -> object:
    counts: dict[int, int] = {}
    for _, key in items:
        if key in counts:
            counts[key] += 1
        elif len(counts) < capacity:
            counts[key] = 1
        else:
            smallest = min(counts, key=counts.__getitem__)
            counts[key] = counts.pop(smallest) + 1
    return counts


GROUPS: dict[str, list[Callable[[list[tuple[int, int]]], object]]] = {
    "decaying sums": [forward_decay, decay_each_sum, bucket_ring],
    "waiting reports": [sampled_queue, plain_queue],
    "top reporters": [exact_counts, space_saving],
}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--most", type=int, default=1_000_000)
    arguments = parser.parse_args()
    print("what               structure       items     keys    ns an item   MB")
    for title, group in GROUPS.items():
        for count in (1_000, 100_000, 1_000_000):
            if count > arguments.most:
                continue
            generator, keys = random.Random(count), min(1000, count // 4)
            items = [(1_000_000 + k // 4, generator.randrange(keys)) for k in range(count)]
            for function in group:
                if function is space_saving and count > 100_000:
                    print(f"{title:18} {function.__name__:15} {count:<9} {keys:<7} not run: see 100,000")
                    continue
                durations_ns = []
                for _ in range(3):
                    began = time.perf_counter_ns()
                    function(items)
                    durations_ns.append((time.perf_counter_ns() - began) / count)
                tracemalloc.start()
                result = function(items[: min(count, 100_000)])
                size_mb = tracemalloc.get_traced_memory()[0] / 1e6
                tracemalloc.stop()
                del result
                ns_per_item = statistics.median(durations_ns)
                print(
                    f"{title:18} {function.__name__:15} {count:<9} {keys:<7} "
                    f"{ns_per_item:<12.0f} {size_mb:.2f}"
                )


if __name__ == "__main__":
    main()

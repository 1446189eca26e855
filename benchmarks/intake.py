"""What the intake's structures cost beside plain ones: `python -m benchmarks.intake [--most N]`.

In memory, medians.  Sums that fade: a landmark, each sum faded when it is added to, and a ring of buckets.
Waiting reports: two held a proxy by chance, beside a plain queue of all.  Who reports most: exact counts
beside a sketch of heavy hitters (Space-Saving, Metwally, Agrawal and El Abbadi, 2005).
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

HALF = 20_000
FIGURES = 36  # of one report, which share its window


def landmark(rows: list[tuple[int, int]]) -> object:
    made = ForwardDecay(HALF)
    cells: dict[int, float] = {}
    gain = 1.0
    for k, (now, key) in enumerate(rows):
        if k % FIGURES == 0:
            gain = made.gain(now - 5000, now)
        cells[key] = cells.get(key, 0.0) + 3.0 * gain
    return cells


def faded_each(rows: list[tuple[int, int]]) -> object:
    cells: dict[int, list[float]] = {}
    for now, key in rows:
        cell = cells.get(key)
        if cell is None:
            cells[key] = [now, 3.0]
        else:
            cell[1] = cell[1] * 2.0 ** (-(now - cell[0]) / HALF) + 3.0
            cell[0] = now
    return cells


def ring(rows: list[tuple[int, int]]) -> object:
    cells: dict[int, WindowedSums] = {}
    for now, key in rows:
        cell = cells.get(key)
        if cell is None:
            cell = cells[key] = WindowedSums(5000, 8, 1)
        cell.add(now, 3.0)
    return cells


def held_two(rows: list[tuple[int, int]]) -> object:
    queue = ReportQueue(random.Random(1).randrange)
    for now, key in rows:
        queue.offer(now, f"p{key}", b"x" * 100)
    while queue.take(0):
        pass
    return queue


def plain_queue(rows: list[tuple[int, int]]) -> object:
    queue: deque[tuple[str, bytes]] = deque()
    for _, key in rows:
        queue.append((f"p{key}", bytes(b"x" * 100)))
    return queue


def exact_counts(rows: list[tuple[int, int]]) -> object:
    counts: dict[int, int] = {}
    for _, key in rows:
        counts[key] = counts.get(key, 0) + 1
    return heapq.nlargest(10, counts.items(), key=lambda row: row[1]), counts


def space_saving(rows: list[tuple[int, int]], most: int = 100) -> object:
    counts: dict[int, int] = {}
    for _, key in rows:
        if key in counts:
            counts[key] += 1
        elif len(counts) < most:
            counts[key] = 1
        else:
            least = min(counts, key=counts.__getitem__)
            counts[key] = counts.pop(least) + 1
    return counts


GROUPS: dict[str, list[Callable[[list[tuple[int, int]]], object]]] = {
    "fading sums": [landmark, faded_each, ring],
    "waiting reports": [held_two, plain_queue],
    "who reports most": [exact_counts, space_saving],
}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--most", type=int, default=1_000_000)
    given = parser.parse_args()
    print("what               structure       items     keys    ns an item   MB")
    for title, group in GROUPS.items():
        for count in (1_000, 100_000, 1_000_000):
            if count > given.most:
                continue
            chance, keys = random.Random(count), min(1000, count // 4)
            rows = [(1_000_000 + k // 4, chance.randrange(keys)) for k in range(count)]
            for what in group:
                if what is space_saving and count > 100_000:
                    print(f"{title:18} {what.__name__:15} {count:<9} {keys:<7} not run: see 100,000")
                    continue
                took = []
                for _ in range(3):
                    began = time.perf_counter_ns()
                    what(rows)
                    took.append((time.perf_counter_ns() - began) / count)
                tracemalloc.start()
                kept = what(rows[: min(count, 100_000)])
                size = tracemalloc.get_traced_memory()[0] / 1e6
                tracemalloc.stop()
                del kept
                each = statistics.median(took)
                print(f"{title:18} {what.__name__:15} {count:<9} {keys:<7} {each:<12.0f} {size:.2f}")


if __name__ == "__main__":
    main()

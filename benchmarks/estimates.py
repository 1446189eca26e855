"""Sampled sums beside the truth and their own bars, over sampling rates: `python -m benchmarks.estimates`.

In memory: proxies whose reports of three routes are overdispersed counts, some hosts busier than others.
Per cell of host and route: the estimate of a stretch, its error, and whether the bar of 95 of 100 holds it.
"""

from __future__ import annotations

import argparse
import math
import random
import statistics

from willowhook.reports.queue import ReportQueue
from willowhook.reports.read import Report
from willowhook.reports.sample import sum_sample
from willowhook.reports.sums import AttemptSums, ReportCells
from willowhook.reports.windows import ReportWindows

ROUTES = {"load": 1.0, "save": 0.8, "submit": 0.3}
PERIOD = 5000


def count(chance: random.Random, mean: float) -> float:
    """A count about twice as spread as chance alone makes it."""
    return float(max(0, round(chance.gauss(mean, math.sqrt(2 * mean)))))


def play(chance: random.Random, proxies: int, hosts: int, k: int) -> tuple[dict[str, list[float]], int, int]:
    """Relative errors by route over hosts, and of how many cells the bar held."""
    truth: dict[tuple[str, str], float] = {}
    made: dict[tuple[str, str], list[float]] = {}
    for _ in range(proxies):
        queue, windows = ReportQueue(chance.randrange), ReportWindows()
        first = Report(ReportCells(), {}, PERIOD, "a", 10**6 - PERIOD, 10**6)
        sum_sample(0, "p", windows, [(0, 0, first)], 1, True)
        size, rows = chance.lognormvariate(0, 0.6), list[Report]()
        for j in range(k + 1):  # the last by itself: it tells of what came behind the newest of the sample
            cells = {
                (f"h{h}", route): AttemptSums(count(chance, 6 * size * share * (1 + h % 3)), 0.0, 0.0)
                for h in range(hosts)
                for route, share in ROUTES.items()
            }
            for key, row in cells.items():
                truth[key] = truth.get(key, 0.0) + row[0]
            rows.append(
                Report(ReportCells(cells), {}, PERIOD, "a", 10**6 + j * PERIOD, 10**6 + (j + 1) * PERIOD)
            )
            queue.offer((j + 1) * PERIOD + chance.randrange(400), "p", b"%d" % j)
            if j < k - 1:
                continue
            taken = queue.take((j + 2) * PERIOD)
            assert taken is not None
            sample = [(at, int(data), rows[int(data)]) for at, data in taken.reports]
            got = sum_sample((j + 2) * PERIOD, "p", windows, sample, taken.arrived, True)
            for key, row in got.cells.items() if got is not None else ():
                pair = made.setdefault(key, [0.0, 0.0])
                pair[0] += row[0]
                pair[1] += row[3]
    errors: dict[str, list[float]] = {route: [] for route in ROUTES}
    held = 0
    for key, value in truth.items():
        estimate, variance = made.get(key, [0.0, 0.0])
        errors[key[1]].append((estimate - value) / value)
        held += abs(estimate - value) <= 1.96 * math.sqrt(variance) + 1e-9
    return errors, held, len(truth)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--proxies", type=int, default=100)
    given = parser.parse_args()
    print("looked at   bias       error of load, save, submit (rms)   bar held")
    for k in (1, 2, 4, 10, 20, 50, 200):
        chance, held, cells = random.Random(k), 0, 0
        errors: dict[str, list[float]] = {route: [] for route in ROUTES}
        for _ in range(max(2, given.rounds * 10 // max(k, 10))):
            one, ok, of = play(chance, given.proxies, 10, k)
            held, cells = held + ok, cells + of
            for route, rows in one.items():
                errors[route] += rows
        rms = ", ".join(f"{math.sqrt(statistics.mean(e * e for e in rows)):.2%}" for rows in errors.values())
        bias = statistics.mean(e for rows in errors.values() for e in rows)
        print(f"{min(1, 3 / (k + 1)):<11.0%} {bias:<+10.2%} {rms:<35} {held / cells:.1%} of {cells}")


if __name__ == "__main__":
    main()

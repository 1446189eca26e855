"""Accuracy of sums estimated from sampled reports, by sampling rate: `python -m benchmarks.estimates`.

Runs in memory. Proxies report overdispersed counts for three routes, and some endpoints are busier than
others. For each cell (an endpoint and a route) the estimate is compared with the true sum, and with its own
95 % confidence interval.
"""

from __future__ import annotations

import argparse
import math
import random
import statistics

from willowhook.reports.queue import ReportQueue
from willowhook.reports.read import Report
from willowhook.reports.sample import sum_sample
from willowhook.reports.sums import ReportCells, ReportedAttempts
from willowhook.reports.windows import ReportWindows

ROUTES = {"load": 1.0, "save": 0.8, "submit": 0.3}
REPORT_PERIOD_TICKS = 5000


def draw_count(generator: random.Random, mean: float) -> float:
    """Draws a count with about twice the variance of a Poisson distribution."""
    return float(max(0, round(generator.gauss(mean, math.sqrt(2 * mean)))))


def simulate(
    generator: random.Random, proxies: int, endpoints: int, report_count: int
) -> tuple[dict[str, list[float]], int, int]:
    """Returns relative errors by route, the cells whose interval holds the truth, and all cells."""
    truth: dict[tuple[str, str], float] = {}
    estimates: dict[tuple[str, str], list[float]] = {}
    for _ in range(proxies):
        queue, windows = ReportQueue(generator.randrange), ReportWindows()
        first = Report(ReportCells(), {}, REPORT_PERIOD_TICKS, "a", 10**6 - REPORT_PERIOD_TICKS, 10**6)
        sum_sample(0, "p", windows, [(0, 0, first)], 1, True)
        load_factor, reports = generator.lognormvariate(0, 0.6), list[Report]()
        for index in range(report_count + 1):  # taken alone, the last covers what follows the sample
            cells = {
                (f"h{h}", route): ReportedAttempts(
                    draw_count(generator, 6 * load_factor * share * (1 + h % 3)), 0.0, 0.0
                )
                for h in range(endpoints)
                for route, share in ROUTES.items()
            }
            for key, attempts in cells.items():
                truth[key] = truth.get(key, 0.0) + attempts[0]
            reports.append(
                Report(
                    ReportCells(cells),
                    {},
                    REPORT_PERIOD_TICKS,
                    "a",
                    10**6 + index * REPORT_PERIOD_TICKS,
                    10**6 + (index + 1) * REPORT_PERIOD_TICKS,
                )
            )
            queue.offer((index + 1) * REPORT_PERIOD_TICKS + generator.randrange(400), "p", b"%d" % index)
            if index < report_count - 1:
                continue
            taken = queue.take((index + 2) * REPORT_PERIOD_TICKS)
            assert taken is not None
            sample = [(at, int(data), reports[int(data)]) for at, data in taken.reports]
            sampled = sum_sample((index + 2) * REPORT_PERIOD_TICKS, "p", windows, sample, taken.arrived, True)
            for key, attempts in sampled.cells.items() if sampled is not None else ():
                sum_and_variance = estimates.setdefault(key, [0.0, 0.0])
                sum_and_variance[0] += attempts[0]
                sum_and_variance[1] += attempts[3]
    errors: dict[str, list[float]] = {route: [] for route in ROUTES}
    covered = 0
    for key, true_sum in truth.items():
        estimate, variance = estimates.get(key, [0.0, 0.0])
        errors[key[1]].append((estimate - true_sum) / true_sum)
        covered += abs(estimate - true_sum) <= 1.96 * math.sqrt(variance) + 1e-9
    return errors, covered, len(truth)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--proxies", type=int, default=100)
    arguments = parser.parse_args()
    print("sampled     bias       error of load, save, submit (rms)   interval holds the truth")
    for report_count in (1, 2, 4, 10, 20, 50, 200):
        generator, covered, cells = random.Random(report_count), 0, 0
        errors: dict[str, list[float]] = {route: [] for route in ROUTES}
        for _ in range(max(2, arguments.rounds * 10 // max(report_count, 10))):
            round_errors, round_covered, round_cells = simulate(
                generator, arguments.proxies, 10, report_count
            )
            covered, cells = covered + round_covered, cells + round_cells
            for route, route_errors in round_errors.items():
                errors[route] += route_errors
        rms = ", ".join(
            f"{math.sqrt(statistics.mean(e * e for e in values)):.2%}" for values in errors.values()
        )
        bias = statistics.mean(e for values in errors.values() for e in values)
        print(
            f"{min(1, 3 / (report_count + 1)):<11.0%} {bias:<+10.2%} {rms:<35} "
            f"{covered / cells:.1%} of {cells}"
        )


if __name__ == "__main__":
    main()

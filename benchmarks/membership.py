"""Cost of membership, as ratios to simple alternatives in the same run: `python -m benchmarks.membership`."""

from __future__ import annotations

import heapq
import random
import statistics
import time
from collections.abc import Callable, Sequence
from itertools import pairwise

from willowhook.membership.assignment import HashRing, assign_by_rendezvous
from willowhook.membership.failure_detector import FailureDetector
from willowhook.membership.timing_wheel import TimingWheel


def timed(work: Callable[[], object], runs: int = 5) -> float:
    durations = []
    for _ in range(runs):
        began = time.perf_counter()
        work()
        durations.append(time.perf_counter() - began)
    return statistics.median(durations)


def measure_assignment(controllers: int, proxies: int) -> None:
    names, proxy_names = (
        [f"director-{k}" for k in range(controllers)],
        [f"proxy-{k}" for k in range(proxies)],
    )

    def ring(names: Sequence[str]) -> dict[str, str]:
        hash_ring = HashRing(names)
        return {proxy: hash_ring.owner(proxy) for proxy in proxy_names}

    methods: dict[str, Callable[[Sequence[str]], dict[str, str]]] = {
        "rendezvous": lambda names: assign_by_rendezvous(proxy_names, names),
        "ring of 100 points": ring,
        "ring, loads bounded to 1.1": lambda names: HashRing(names).assign_with_bounded_load(
            proxy_names, 0.1
        ),
        "modulo (plain)": lambda names: {p: names[k % len(names)] for k, p in enumerate(proxy_names)},
    }
    for method, assign in methods.items():
        before, after = assign(names), assign(names[:-1])
        unavoidable = sum(owner == names[-1] for owner in before.values())
        moved = sum(before[proxy] != after[proxy] for proxy in proxy_names)
        loads = [list(after.values()).count(name) for name in names[:-1]]
        duration = timed(lambda assign=assign: assign(names), 3)  # type: ignore[misc]
        highest_load = max(loads) / (proxies / (controllers - 1))
        print(
            f"{controllers} controllers, {proxies} proxies, {method}: "
            f"{moved} move when one leaves ({unavoidable} have to),",
            end=" ",
        )
        print(f"highest load {highest_load:.2f} of the mean, {duration * 1e6 / proxies:.2f} us per proxy")


def measure_overdue(peers: int, seconds: int = 20) -> None:
    """All peers send a heartbeat each second; ten checks a second. Prints the CPU of a simulated second."""
    names = [f"p{k}" for k in range(peers)]
    generator = random.Random(3)
    offsets = [generator.randrange(10) for _ in names]

    check_durations: list[float] = []

    class Heap:
        def __init__(self) -> None:
            self.entries: list[tuple[int, str]] = []
            self.due: dict[str, int] = {}

        def set(self, name: str, due: int) -> None:
            self.due[name] = due
            heapq.heappush(self.entries, (due, name))

        def overdue(self, now: int) -> list[str]:
            overdue_names = []
            while self.entries and self.entries[0][0] <= now:
                at, name = heapq.heappop(self.entries)
                if self.due.get(name) == at:
                    del self.due[name]
                    overdue_names.append(name)
            return overdue_names

    class Scan:
        def __init__(self) -> None:
            self.due: dict[str, int] = {}

        def set(self, name: str, due: int) -> None:
            self.due[name] = due

        def overdue(self, now: int) -> list[str]:
            return [name for name, at in self.due.items() if at <= now]

    def run(deadlines: TimingWheel | Heap | Scan) -> None:
        check_durations.clear()
        for tick in range(seconds * 10):
            for k in groups[tick % 10]:
                deadlines.set(names[k], tick + 20)
            began = time.perf_counter()
            deadlines.overdue(tick)
            check_durations.append(time.perf_counter() - began)

    groups: list[list[int]] = [[] for _ in range(10)]
    for k, offset in enumerate(offsets):
        groups[offset].append(k)
    factories: dict[str, Callable[[], TimingWheel | Heap | Scan]] = {
        "scan (plain)": Scan, "heap": Heap, "wheel": lambda: TimingWheel(1, 64, 0)
    }  # fmt: skip
    scan_duration = 0.0
    for name, create in factories.items():
        duration = timed(lambda create=create: run(create()), 3)  # type: ignore[misc]
        scan_duration = scan_duration or duration
        longest_ms = max(check_durations) * 1000
        print(
            f"{peers} peers, {name}: {duration / seconds * 1000:.2f} ms a second, "
            f"{duration / scan_duration:.2f} of a scan,",
            end=" ",
        )
        print(f"longest check {longest_ms:.2f} ms")


def measure_failure_detection(jitter: str) -> None:
    """Counts false alarms in an hour of randomly delayed heartbeats, and times the detection of a failure."""
    generator = random.Random(4)
    delay = {
        "steady": lambda: generator.uniform(0, 0.02),
        "rough": lambda: generator.expovariate(1 / 0.08),
        "stalls": lambda: generator.uniform(0, 0.02)
        if generator.random() < 0.995
        else generator.uniform(0.4, 0.9),
    }[jitter]
    arrivals, sent_at = [0.0], 0.0
    while sent_at < 3600:
        sent_at += 0.2
        arrivals.append(max(arrivals[-1] + 0.001, sent_at + delay()))
    for name, create in (
        ("suspicion", lambda: FailureDetector(0.2, 0.4, 1.5)),
        ("0.5 s fixed", lambda: FailureDetector(0.2, 0.5, 0.5)),
        ("1.0 s fixed", lambda: FailureDetector(0.2, 1.0, 1.0)),
    ):
        detector, false_alarms = create(), 0
        for arrival, next_arrival in pairwise(arrivals):
            detector.record_heartbeat(arrival)
            false_alarms += detector.is_suspected(next_arrival - 0.0005)
        last, silence_s = arrivals[-2], 0.0
        while not detector.is_suspected(last + silence_s):
            silence_s += 0.005
        print(
            f"{jitter}, {name}: {false_alarms} false alarms in an hour, "
            f"a failure detected after {silence_s:.2f} s"
        )


def main() -> None:
    for controllers, proxies in ((3, 245), (50, 100_000)):
        measure_assignment(controllers, proxies)
    for peers in (245, 10_000, 100_000):
        measure_overdue(peers)
    for jitter in ("steady", "rough", "stalls"):
        measure_failure_detection(jitter)


if __name__ == "__main__":
    main()

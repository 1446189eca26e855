"""What membership costs: `python -m benchmarks.membership`.  Ratios to a plain way in the same run."""

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
    took = []
    for _ in range(runs):
        began = time.perf_counter()
        work()
        took.append(time.perf_counter() - began)
    return statistics.median(took)


def assignment(directors: int, proxies: int) -> None:
    names, fleet = [f"director-{k}" for k in range(directors)], [f"proxy-{k}" for k in range(proxies)]

    def ring(names: Sequence[str]) -> dict[str, str]:
        made = HashRing(names)
        return {proxy: made.owner(proxy) for proxy in fleet}

    ways: dict[str, Callable[[Sequence[str]], dict[str, str]]] = {
        "rendezvous": lambda names: assign_by_rendezvous(fleet, names),
        "ring of 100 points": ring,
        "ring, loads bounded to 1.1": lambda names: HashRing(names).assign_with_bounded_load(fleet, 0.1),
        "modulo (plain)": lambda names: {p: names[k % len(names)] for k, p in enumerate(fleet)},
    }
    for way, make in ways.items():
        before, after = make(names), make(names[:-1])
        owed = sum(who == names[-1] for who in before.values())
        moved = sum(before[proxy] != after[proxy] for proxy in fleet)
        loads = [list(after.values()).count(name) for name in names[:-1]]
        took = timed(lambda make=make: make(names), 3)  # type: ignore[misc]
        fullest = max(loads) / (proxies / (directors - 1))
        print(
            f"{directors} directors, {proxies} proxies, {way}: {moved} move when one goes ({owed} had to),",
            end=" ",
        )
        print(f"fullest {fullest:.2f} of its part, {took * 1e6 / proxies:.2f} us a proxy")


def silence(peers: int, beats: int = 20) -> None:
    """All beat once a second; looked at ten times a second.  CPU for each simulated second."""
    names = [f"p{k}" for k in range(peers)]
    chance = random.Random(3)
    when = [chance.randrange(10) for _ in names]

    looks: list[float] = []

    class Heap:
        def __init__(self) -> None:
            self.rows: list[tuple[int, str]] = []
            self.due: dict[str, int] = {}

        def set(self, name: str, due: int) -> None:
            self.due[name] = due
            heapq.heappush(self.rows, (due, name))

        def overdue(self, now: int) -> list[str]:
            found = []
            while self.rows and self.rows[0][0] <= now:
                at, name = heapq.heappop(self.rows)
                if self.due.get(name) == at:
                    del self.due[name]
                    found.append(name)
            return found

    class Scan:
        def __init__(self) -> None:
            self.due: dict[str, int] = {}

        def set(self, name: str, due: int) -> None:
            self.due[name] = due

        def overdue(self, now: int) -> list[str]:
            return [name for name, at in self.due.items() if at <= now]

    def run(made: TimingWheel | Heap | Scan) -> None:
        looks.clear()
        for tick in range(beats * 10):
            for k in groups[tick % 10]:
                made.set(names[k], tick + 20)
            began = time.perf_counter()
            made.overdue(tick)
            looks.append(time.perf_counter() - began)

    groups: list[list[int]] = [[] for _ in range(10)]
    for k, at in enumerate(when):
        groups[at].append(k)
    makes: dict[str, Callable[[], TimingWheel | Heap | Scan]] = {
        "scan (plain)": Scan, "heap": Heap, "wheel": lambda: TimingWheel(1, 64, 0)
    }  # fmt: skip
    plain = 0.0
    for name, make in makes.items():
        took = timed(lambda make=make: run(make()), 3)  # type: ignore[misc]
        plain = plain or took
        worst = max(looks) * 1000
        print(
            f"{peers} peers, {name}: {took / beats * 1000:.2f} ms a second, {took / plain:.2f} of a scan,",
            end=" ",
        )
        print(f"longest look {worst:.2f} ms")


def late_files(jitter: str) -> None:
    """Signs of life each 0.2 s, late by chance; false alarms in an hour and time to see a death."""
    chance = random.Random(4)
    delay = {
        "steady": lambda: chance.uniform(0, 0.02),
        "rough": lambda: chance.expovariate(1 / 0.08),
        "stalls": lambda: chance.uniform(0, 0.02) if chance.random() < 0.995 else chance.uniform(0.4, 0.9),
    }[jitter]
    heard, at = [0.0], 0.0
    while at < 3600:
        at += 0.2
        heard.append(max(heard[-1] + 0.001, at + delay()))
    for name, make in (
        ("suspicion", lambda: FailureDetector(0.2, 0.4, 1.5)),
        ("0.5 s fixed", lambda: FailureDetector(0.2, 0.5, 0.5)),
        ("1.0 s fixed", lambda: FailureDetector(0.2, 1.0, 1.0)),
    ):
        peer, false = make(), 0
        for one, two in pairwise(heard):
            peer.record_heartbeat(one)
            false += peer.is_suspected(two - 0.0005)
        last, silent = heard[-2], 0.0
        while not peer.is_suspected(last + silent):
            silent += 0.005
        print(f"{jitter}, {name}: {false} false alarms in an hour, a death seen after {silent:.2f} s")


def main() -> None:
    for directors, proxies in ((3, 245), (50, 100_000)):
        assignment(directors, proxies)
    for peers in (245, 10_000, 100_000):
        silence(peers)
    for jitter in ("steady", "rough", "stalls"):
        late_files(jitter)


if __name__ == "__main__":
    main()

"""A director that dies and comes back while hosts fail: with its store, without one, with one an hour old."""

from __future__ import annotations

import concurrent.futures
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ..ticks import TICKS_PER_SECOND
from .day import Day, Trouble, draw
from .judge import START, Judge
from .notes import read_notes
from .stage import play

WAYS = ("none", "kept", "aged")
SOON = 3 * TICKS_PER_SECOND  # after a restart, in which what was remembered shows


@dataclass
class RestartResult:
    way: str
    kept: bool
    service: float
    failed: float  # share of tries that failed soon after a restart
    tries: int
    to_sick: float  # share of these tries that went to hosts that were failing
    bare_ms: float  # the longest without a line, as the judge has it
    to_order_ms: float  # from a restart's first join to the first order, median


def restart_day(seed: int, restarts: int) -> Day:
    length = 14.0 + 6.0 * restarts
    troubles = [Trouble("fast_errors", 4.0, length - 6.0, 0.34, 0.9)]
    troubles += [Trouble("director_killed", 10.0 + 6.0 * k, 0.7) for k in range(restarts)]
    day = draw(seed, length, hosts=12, proxies=8, directors=1, calls_per_s=110.0, troubles=troubles, spare=0)
    day.channel = msgspec.structs.replace(day.channel, messages_most=0)
    return day


def one(seed: int, restarts: int, way: str, folder: Path) -> RestartResult:
    out = play(restart_day(seed, restarts), folder, store=way)
    proxies = [row for path in folder.glob("proxies*.notes") for row in read_notes(str(path))]
    records = Judge.lines(folder / "director-0.records")
    starts = [row["t"] - START for row in records if row["kind"] == "started"][1:]
    sick = {row["host"] for path in folder.glob("host-*.notes") for row in read_notes(str(path))
            if row["kind"] == "set"}  # fmt: skip
    tries = failed = to_sick = 0
    waits = []
    for start in starts:
        within = range(start, start + 6 * TICKS_PER_SECOND)
        joins = [row["t"] for row in proxies if row["kind"] == "joined" and row["t"] in within]
        if not joins:
            continue
        since = min(joins)
        orders = [row["t"] - START for row in records if row["kind"] == "order" and row["t"] - START >= since]
        waits.append((min(orders, default=since) - since) / 10)
        for row in proxies:
            if row["kind"] == "try" and since <= row["began"] < since + SOON:
                tries += 1
                failed += row["out"] != "answered"
                to_sick += row["h"] in sick
    bare = next((v.nearest for v in out.verdicts if v.rule == 1), "")
    longest = float(bare.partition("line ")[2].partition(" s")[0] or 0) * 1000
    share = max(tries, 1)
    return RestartResult(way, out.kept, out.service, failed / share, tries, to_sick / share, longest,
                   statistics.median(waits or [0.0]))  # fmt: skip


def run_restarts(folder: Path, seeds: range, count: int, say: Callable[[str], None]) -> list[RestartResult]:
    with concurrent.futures.ProcessPoolExecutor(3) as pool:
        jobs = [pool.submit(one, s, count, way, folder / f"{s}-{way}") for s in seeds for way in WAYS]
        found = [job.result() for job in jobs]
    for way in WAYS:
        rows = [row for row in found if row.way == way]
        kept = sum(row.kept for row in rows)
        service, failed, sick, order = (
            statistics.median(values)
            for values in (
                [row.service for row in rows], [row.failed for row in rows], [row.to_sick for row in rows],
                [row.to_order_ms for row in rows],
            )
        )  # fmt: skip
        say(f"store {way}: rules kept on {kept} of {len(rows)}; service {service:.3f}")
        say(f"  soon after a restart {failed:.1%} of tries failed, {sick:.1%} went to hosts that fail")
        longest = max(row.bare_ms for row in rows)
        say(f"  longest without a line {longest:.0f} ms; first order {order:.0f} ms after the first join")
    return found

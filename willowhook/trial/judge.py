"""The judge: were the rules kept, by what passed on the sockets and files alone.

It reads what the stand-ins noted, and of the director only the sizes of its messages, each of which must have
been seen, as a version, by the proxy it went to.  It shares no code with the director.
"""

from __future__ import annotations

import bisect
import json
from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any

from ..ticks import TICKS_PER_SECOND

CONTROLLER_CLOCK_LEAD_TICKS = (
    100_000 * TICKS_PER_SECOND
)  # by how much a director's clock is ahead of the machine's
Entries = list[dict[str, Any]]


@dataclass
class Verdict:
    rule: int
    description: str
    kept: bool
    nearest: str  # the nearest approach to the limit
    violations: list[str] = field(default_factory=list)  # what broke it, with times and ids

    def summary(self) -> str:
        word = "kept  " if self.kept else "BROKEN"
        return f"rule {self.rule} {word} {self.description}: {self.nearest}" + "".join(
            f"\n    {row}" for row in self.violations
        )


@dataclass
class Limits:
    """The figures of the rules, in tenths of a millisecond."""

    bare: int
    grace: int
    cold: int
    most_waiting: float
    lines_per_s: float
    messages_most: int
    messages_over: int
    routes: dict[str, str]  # semantics by route
    windows: dict[str, int]


class InvariantChecker:
    def __init__(self, folder: Path, limits: Limits, zero: int) -> None:
        """`zero`: the day's beginning, for the times that are told."""
        self.limits, self.zero = limits, zero
        self.proxies = self.read(folder, "proxies*.notes")
        self.hosts = self.read(folder, "host-*.notes")
        self.roster = self.read(folder, "roster.notes")
        self.records = {
            path.stem: self.read_entries(path) for path in sorted(folder.glob("director-*.records"))
        }
        self.stage = self.read(folder, "stage.notes")
        self.sessions = self.joined_times()
        self.lists = self.lists_told()

    @staticmethod
    def read_entries(path: Path) -> Entries:
        found = []
        for line in path.read_bytes().splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue  # cut off by a kill
        return found

    def read(self, folder: Path, pattern: str) -> Entries:
        rows = [row for path in sorted(folder.glob(pattern)) for row in self.read_entries(path)]
        return sorted(rows, key=lambda row: row["t"])

    def at(self, t: int) -> str:
        return f"{(t - self.zero) / TICKS_PER_SECOND:.2f} s"

    def joined_times(self) -> dict[str, list[tuple[int, int, str]]]:
        """By proxy: from when to when it was joined to which director.

        What a killed director held is no longer its duty; one that comes back has whom it says has joined.
        """
        sessions: dict[str, list[tuple[int, int, str]]] = defaultdict(list)
        open_at: dict[str, tuple[int, str]] = {}
        end = max((row["t"] for row in self.proxies), default=0)
        for row in self.proxies:
            if row["kind"] == "joined":
                open_at[row["p"]] = (row["t"], row["d"])
            elif row["kind"] in ("left", "died") and row["p"] in open_at:
                since, who = open_at.pop(row["p"])
                sessions[row["p"]].append((since, row["t"], who))
        for proxy, (since, who) in open_at.items():
            sessions[proxy].append((since, end, who))
        return {proxy: self.split(proxy, rows) for proxy, rows in sessions.items()}

    def split(self, proxy: str, rows: list[tuple[int, int, str]]) -> list[tuple[int, int, str]]:
        found = []
        for since, until, who in rows:
            for died in [
                row["t"] for row in self.stage if row["kind"] == "director_died" and row["d"] == who
            ]:
                if since < died < until:
                    found.append((since, died, who))
                    own = [row for row in self.records.get(who, []) if row["kind"] == "joined"]
                    again = [row["t"] - CONTROLLER_CLOCK_LEAD_TICKS for row in own if row["proxy"] == proxy]
                    since = min((t for t in again if t > died), default=until)
            if since < until:
                found.append((since, until, who))
        return found

    def lists_told(self) -> dict[str, list[tuple[int, dict[str, tuple[str, float]], float]]]:
        """By director: when it was given which list, and that moment by the calendar."""
        told: dict[str, list[tuple[int, dict[str, tuple[str, float]], float]]] = defaultdict(list)
        for row in self.roster:
            if row["kind"] == "listed":
                hosts = {host: (mode, started) for host, mode, started in row["hosts"]}
                told[row["d"]].append((row["t"], hosts, row["wall"]))
        return told

    def check_all(self) -> list[Verdict]:
        return [self.bare(), self.twice(), self.drains(), self.cold(), self.queue()]

    # 1: no joined proxy without a line for a route, while an open warm host is listed.

    def warm_times(self, director: str) -> list[tuple[int, bool]]:
        """When this director's list began, or ceased, to show an open warm host."""
        steps = []
        for t, hosts, wall in self.lists.get(director, []):
            ages = [wall - started for mode, started in hosts.values() if mode == "open"]
            warm = [age * TICKS_PER_SECOND >= self.limits.cold for age in ages]
            steps.append((t, any(warm)))
            if ages and not any(warm):
                steps.append((t + round(self.limits.cold - max(ages) * TICKS_PER_SECOND), True))
        return sorted(steps)

    def bare(self) -> Verdict:
        worst, found = 0, []
        usable: dict[str, list[tuple[int, dict[str, int]]]] = defaultdict(list)
        for row in self.proxies:
            if row["kind"] in ("up", "applied"):
                usable[row["p"]].append((row["t"], row["usable"]))
        for proxy, sessions in self.sessions.items():
            for since, until, director in sessions:
                steps = self.warm_times(director)
                for route in self.limits.routes:
                    points = [(t, book.get(route, 0) > 0) for t, book in usable[proxy]]
                    for began, ended in self.gaps(points, steps, since, until):
                        worst = max(worst, ended - began)
                        if ended - began > self.limits.bare:
                            found.append(
                                f"{proxy} had no line for {route} from {self.at(began)} to {self.at(ended)}"
                            )
        worst_s = worst / TICKS_PER_SECOND
        allowed_s = self.limits.bare / TICKS_PER_SECOND
        text = f"longest without a line {worst_s:.2f} s, {allowed_s:.2f} s allowed"
        return Verdict(1, "a line for every route", not found, text, found[:5])

    @staticmethod
    def gaps(
        points: list[tuple[int, bool]], steps: list[tuple[int, bool]], since: int, until: int
    ) -> list[tuple[int, int]]:
        """Times within a session in which there was no line though a warm host was listed."""
        marks = sorted({since, until, *(t for t, _ in points + steps if since < t < until)})
        found: list[tuple[int, int]] = []
        for one, two in pairwise(marks):
            has = [ok for t, ok in points if t <= one]
            warm = [ok for t, ok in steps if t <= one]
            if (has and has[-1]) or not (warm and warm[-1]):
                continue
            if found and found[-1][1] == one:
                found[-1] = (found[-1][0], two)
            else:
                found.append((one, two))
        return found

    # 2: no effect twice by what proxies repeat.

    def twice(self) -> Verdict:
        effects: dict[str, Entries] = defaultdict(list)
        for row in self.hosts:
            if row["kind"] == "effect":
                effects[row["c"]].append(row)
        found, again = [], 0
        for attempt, rows in effects.items():
            semantics = self.limits.routes.get(rows[0]["r"], "mutating")
            if len(rows) > 1 and semantics != "repeatable":  # a group drops repeats: each of these had effect
                places = ", ".join(f"{row['host']} at {self.at(row['t'])}" for row in rows)
                found.append(f"{attempt} ({rows[0]['r']}) had effect {len(rows)} times: {places}")
        tries: dict[str, Entries] = defaultdict(list)
        for row in self.proxies:
            if row["kind"] == "try":
                tries[row["c"]].append(row)
        zones = {row["host"]: row["zone"] for row in self.hosts if row["kind"] == "effect"}
        for attempt, rows in tries.items():
            semantics = self.limits.routes[rows[0]["r"]]
            again += len(rows) - 1
            for first, second in pairwise(rows):
                risky = first["sent"] and not first["proof"] and semantics != "repeatable"
                within = second["began"] - first["sent"] <= self.limits.windows.get(first["r"], 0)
                same = zones.get(first["h"], 1) == zones.get(second["h"], 2)
                if risky and not (semantics == "keyed" and within and same):
                    found.append(
                        f"{attempt} ({first['r']}) went to {second['h']} after {first['h']} may have run it"
                    )
        text = f"{again} second tries of {len(tries)} calls sent, {len(effects)} with effect"
        return Verdict(2, "no effect twice", not found, text, found[:5])

    # 3: nothing sent to a draining or gone host after the grace.

    def shut(self, director: str) -> dict[str, list[tuple[int, int]]]:
        """By host: from when to when this director's list showed it as draining or not at all."""
        spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
        since: dict[str, int] = {}
        seen: dict[str, None] = {}
        for t, hosts, _ in self.lists.get(director, []):
            seen.update(dict.fromkeys(hosts))
            for host in seen:
                closed = hosts.get(host, ("gone", 0.0))[0] != "open"
                if closed and host not in since:
                    since[host] = t
                elif not closed and host in since:
                    spans[host].append((since.pop(host), t))
        for host, t in since.items():
            spans[host].append((t, 1 << 62))
        return spans

    def drains(self) -> Verdict:
        worst, found = 0, []
        shut = {director: self.shut(director) for director in self.lists}
        starts = {proxy: [since for since, _, _ in rows] for proxy, rows in self.sessions.items()}
        for row in self.proxies:
            if row["kind"] != "sent":
                continue
            at = bisect.bisect_right(starts.get(row["p"], []), row["t"]) - 1
            if at < 0:
                continue
            since, until, director = self.sessions[row["p"]][at]
            if row["t"] >= until:
                continue
            for began, ended in shut.get(director, {}).get(row["h"], []):
                late = row["t"] - max(began, since)
                if began <= row["t"] < ended and late > 0:
                    worst = max(worst, late)
                    if late > self.limits.grace:
                        text = f"{row['p']} sent {row['c']} to {row['h']} at {self.at(row['t'])}"
                        found.append(f"{text}, {late / TICKS_PER_SECOND:.2f} s after {director} knew")
        grace = self.limits.grace / TICKS_PER_SECOND
        text = f"latest call {worst / TICKS_PER_SECOND:.2f} s after it was known, {grace:.2f} s allowed"
        return Verdict(3, "drains kept", not found, text, found[:5])

    # 4: no cold host pushed over.

    def cold(self) -> Verdict:
        most, found = 0.0, []
        applied: dict[str, list[int]] = defaultdict(list)
        for row in self.proxies:
            if row["kind"] == "applied":
                applied[row["p"]].append(row["t"])
        for row in self.hosts:
            if row["kind"] == "cold_load":
                most = max(most, row["share"])
            if row["kind"] != "fell":
                continue
            knowing = 0.0
            for proxy, work in row["by"].items():
                at = bisect.bisect_right(self.sessions.get(proxy, []), (row["t"], 1 << 62, "")) - 1
                if at < 0:
                    continue
                since, until, director = self.sessions[proxy][at]
                lists = self.lists.get(director, [])
                knew = next((t for t, hosts, _ in lists if t > row["born"] and row["host"] in hosts), 1 << 62)
                told = any(max(knew, since) < t <= row["t"] for t in applied[proxy])
                if until >= row["t"] and (told or row["t"] > knew + self.limits.grace):
                    knowing += work
            if knowing >= row["work"] * 2 / 3:
                share = knowing / row["work"]
                found.append(
                    f"{row['host']} fell at {self.at(row['t'])}: {share:.0%} of its work sent by who knew"
                )
        text = f"at most {most:.0%} of what would push one over"
        return Verdict(4, "no cold host pushed over", not found, text, found[:5])

    # 5: a short queue, and the cap on messages to one proxy.

    def queue(self) -> Verdict:
        found: list[str] = []
        most = 0.0
        for director, rows in self.records.items():
            waiting, at = 0.0, 0
            for row in rows:
                if row["kind"] == "started":
                    waiting, at = 0.0, row["t"]
                elif row["kind"] == "order":
                    waiting = max(0.0, waiting - (row["t"] - at) * self.limits.lines_per_s / TICKS_PER_SECOND)
                    waiting, at = waiting + row["lines"], row["t"]
                    most = max(most, waiting)
                    if waiting > self.limits.most_waiting:
                        found.append(f"{director}: {waiting:.0f} lines wait after message {row['message']}")
            sizes: dict[tuple[int, int], None] = {}
            epoch = 0
            for row in rows:
                if row["kind"] == "started":
                    epoch = row["epoch"]
                elif row["kind"] == "order":
                    sizes[epoch, row["message"]] = None
            for row in self.proxies:  # a version that no record owns to was sent unseen
                if row["kind"] != "applied" or "v" not in row or row["d"] != director:
                    continue
                if tuple(row["v"]) not in sizes:
                    last = max((key for key in sizes if key[0] == row["v"][0]), default=(0, 0))
                    if tuple(row["v"]) < last:
                        found.append(f"{director}: version {row['v']} at {row['p']} is in no record")
        crowd = self.messages()
        if self.limits.messages_most and crowd > self.limits.messages_most:
            found.append(
                f"{crowd} messages to one proxy within {self.limits.messages_over / TICKS_PER_SECOND:.0f} s"
            )
        allowed = self.limits.most_waiting
        text = f"at most {most:.0f} lines of {allowed:.0f} waiting, {crowd} messages to one proxy"
        if self.limits.messages_most:
            text += f" of {self.limits.messages_most}"
        return Verdict(5, "a short queue", not found, text, found[:5])

    def messages(self) -> int:
        """The most that one proxy applied within the span, within one session."""
        most = 0
        times: dict[tuple[str, str, int, str], list[int]] = defaultdict(list)
        starts = {proxy: [since for since, _, _ in rows] for proxy, rows in self.sessions.items()}
        for row in self.proxies:
            if row["kind"] == "applied":
                session = bisect.bisect_right(starts.get(row["p"], []), row["t"])
                # a message may come as an answer for each type
                times[row["p"], row["d"], session, row.get("part", "")].append(row["t"])
        for book in times.values():
            for k, t in enumerate(book):
                most = max(most, k + 1 - bisect.bisect_left(book, t - self.limits.messages_over))
        return most

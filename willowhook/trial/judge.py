"""The invariant checker of test fleets: it looks only at what passed the sockets and files.

It reads the event logs of the stand-ins. Of a controller's records it uses only the sizes of its messages,
each of which the receiving proxy must have seen as a version, and the proxies that joined a restarted
controller. It shares no code with the controller.
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

# a controller's clock is ahead of the machine's monotonic clock by this
CONTROLLER_CLOCK_LEAD_TICKS = 100_000 * TICKS_PER_SECOND
Entries = list[dict[str, Any]]


@dataclass
class Verdict:
    """Whether one invariant held, and how narrowly."""

    rule: int
    description: str
    kept: bool
    nearest: str  # the nearest approach to the limit, as text
    violations: list[str] = field(default_factory=list)  # with times and ids, at most five

    def summary(self) -> str:
        """One line, and one more for each violation."""
        outcome = "kept  " if self.kept else "BROKEN"
        return f"rule {self.rule} {outcome} {self.description}: {self.nearest}" + "".join(
            f"\n    {violation}" for violation in self.violations
        )


@dataclass
class Limits:
    """The limits of the invariants; times are in ticks."""

    no_endpoint_ticks: int  # longest time of a proxy without a usable endpoint
    drain_grace_ticks: int
    slow_start_ticks: int
    max_waiting_entries: float
    entries_per_s: float
    max_messages: int  # to one proxy within the window; 0: any number
    message_window_ticks: int
    routes: dict[str, str]  # semantics by route
    deduplication_windows: dict[str, int]  # by route


class InvariantChecker:
    """Checks the invariants of one run by the logs in its folder."""

    def __init__(self, folder: Path, limits: Limits, zero: int) -> None:
        """`zero`: when the scenario started; reported times are relative to it."""
        self.limits, self.zero = limits, zero
        self.proxy_events = self.read_sorted(folder, "proxies*.notes")
        self.endpoint_events = self.read_sorted(folder, "host-*.notes")
        self.registry_events = self.read_sorted(folder, "roster.notes")
        self.controller_records = {
            path.stem: self.read_entries(path) for path in sorted(folder.glob("director-*.records"))
        }
        self.harness_events = self.read_sorted(folder, "stage.notes")
        self.sessions = self.find_sessions()
        self.endpoint_lists = self.find_endpoint_lists()

    @staticmethod
    def read_entries(path: Path) -> Entries:
        """The entries of a log, without lines that a kill left incomplete."""
        entries = []
        for line in path.read_bytes().splitlines():
            try:
                entries.append(json.loads(line))
            except ValueError:
                continue  # incomplete: the process was killed while it wrote
        return entries

    def read_sorted(self, folder: Path, pattern: str) -> Entries:
        """The entries of all matching logs, by time."""
        entries = [entry for path in sorted(folder.glob(pattern)) for entry in self.read_entries(path)]
        return sorted(entries, key=lambda entry: entry["t"])

    def time_text(self, t: int) -> str:
        """A time as seconds after the start of the scenario."""
        return f"{(t - self.zero) / TICKS_PER_SECOND:.2f} s"

    def find_sessions(self) -> dict[str, list[tuple[int, int, str]]]:
        """By proxy: start, end and controller of its sessions.

        A session ends when its controller is killed. A restarted controller has a session only from the time
        at which its records say that the proxy has joined.
        """
        sessions: dict[str, list[tuple[int, int, str]]] = defaultdict(list)
        open_at: dict[str, tuple[int, str]] = {}
        end = max((event["t"] for event in self.proxy_events), default=0)
        for event in self.proxy_events:
            if event["kind"] == "joined":
                open_at[event["p"]] = (event["t"], event["d"])
            elif event["kind"] in ("left", "died") and event["p"] in open_at:
                since, controller = open_at.pop(event["p"])
                sessions[event["p"]].append((since, event["t"], controller))
        for proxy, (since, controller) in open_at.items():
            sessions[proxy].append((since, end, controller))
        return {
            proxy: self.split_at_deaths(proxy, proxy_sessions) for proxy, proxy_sessions in sessions.items()
        }

    def split_at_deaths(self, proxy: str, sessions: list[tuple[int, int, str]]) -> list[tuple[int, int, str]]:
        """Ends sessions at the death of their controller; resumes them when it records the proxy's return."""
        split_sessions = []
        for since, until, controller in sessions:
            for died in [
                event["t"]
                for event in self.harness_events
                if event["kind"] == "director_died" and event["d"] == controller
            ]:
                if since < died < until:
                    split_sessions.append((since, died, controller))
                    joins = [
                        event
                        for event in self.controller_records.get(controller, [])
                        if event["kind"] == "joined"
                    ]
                    join_times = [
                        event["t"] - CONTROLLER_CLOCK_LEAD_TICKS for event in joins if event["proxy"] == proxy
                    ]
                    since = min((t for t in join_times if t > died), default=until)
            if since < until:
                split_sessions.append((since, until, controller))
        return split_sessions

    def find_endpoint_lists(self) -> dict[str, list[tuple[int, dict[str, tuple[str, float]], float]]]:
        """By controller: time, endpoints and wall-clock time of each list that the registry sent to it."""
        lists: dict[str, list[tuple[int, dict[str, tuple[str, float]], float]]] = defaultdict(list)
        for event in self.registry_events:
            if event["kind"] == "listed":
                endpoints = {host: (mode, started) for host, mode, started in event["hosts"]}
                lists[event["d"]].append((event["t"], endpoints, event["wall"]))
        return lists

    def check_all(self) -> list[Verdict]:
        """Checks all invariants, in the order of their numbers."""
        return [
            self.check_usable_endpoints(),
            self.check_at_most_once(),
            self.check_drains(),
            self.check_slow_start(),
            self.check_queue(),
        ]

    # 1: no proxy with a session lacks a table entry for a route while an open, warm endpoint is listed.

    def warm_times(self, controller: str) -> list[tuple[int, bool]]:
        """When this controller's list began, or ceased, to show an open, warm endpoint."""
        steps = []
        for t, endpoints, wall in self.endpoint_lists.get(controller, []):
            ages = [wall - started for mode, started in endpoints.values() if mode == "open"]
            warm = [age * TICKS_PER_SECOND >= self.limits.slow_start_ticks for age in ages]
            steps.append((t, any(warm)))
            if ages and not any(warm):
                steps.append((t + round(self.limits.slow_start_ticks - max(ages) * TICKS_PER_SECOND), True))
        return sorted(steps)

    def check_usable_endpoints(self) -> Verdict:
        """A proxy may lack entries for a route only for a limited time."""
        longest, violations = 0, []
        usable: dict[str, list[tuple[int, dict[str, int]]]] = defaultdict(list)
        for event in self.proxy_events:
            if event["kind"] in ("up", "applied"):
                usable[event["p"]].append((event["t"], event["usable"]))
        for proxy, sessions in self.sessions.items():
            for since, until, controller in sessions:
                steps = self.warm_times(controller)
                for route in self.limits.routes:
                    points = [(t, entry_counts.get(route, 0) > 0) for t, entry_counts in usable[proxy]]
                    for began, ended in self.gaps(points, steps, since, until):
                        longest = max(longest, ended - began)
                        if ended - began > self.limits.no_endpoint_ticks:
                            violations.append(
                                f"{proxy} had no table entry for {route}"
                                f" from {self.time_text(began)} to {self.time_text(ended)}"
                            )
        worst_s = longest / TICKS_PER_SECOND
        allowed_s = self.limits.no_endpoint_ticks / TICKS_PER_SECOND
        nearest = f"longest without a line {worst_s:.2f} s, {allowed_s:.2f} s allowed"
        return Verdict(1, "a table entry for every route", not violations, nearest, violations[:5])

    @staticmethod
    def gaps(
        points: list[tuple[int, bool]], steps: list[tuple[int, bool]], since: int, until: int
    ) -> list[tuple[int, int]]:
        """Times of a session without a table entry while a warm endpoint was listed."""
        times = sorted({since, until, *(t for t, _ in points + steps if since < t < until)})
        gaps: list[tuple[int, int]] = []
        for start, end in pairwise(times):
            has_entries = [ok for t, ok in points if t <= start]
            warm = [ok for t, ok in steps if t <= start]
            if (has_entries and has_entries[-1]) or not (warm and warm[-1]):
                continue
            if gaps and gaps[-1][1] == start:
                gaps[-1] = (gaps[-1][0], end)
            else:
                gaps.append((start, end))
        return gaps

    # 2: no retry of a proxy makes a request take effect twice.

    def check_at_most_once(self) -> Verdict:
        """Retries after a possible execution: only of repeatable requests, or within the window and zone."""
        effects: dict[str, Entries] = defaultdict(list)
        for event in self.endpoint_events:
            if event["kind"] == "effect":
                effects[event["c"]].append(event)
        violations, retries = [], 0
        for attempt, events in effects.items():
            semantics = self.limits.routes.get(events[0]["r"], "mutating")
            if (
                len(events) > 1 and semantics != "repeatable"
            ):  # a zone drops repeats, so that each of these took effect
                places = ", ".join(f"{event['host']} at {self.time_text(event['t'])}" for event in events)
                violations.append(f"{attempt} ({events[0]['r']}) had effect {len(events)} times: {places}")
        attempts: dict[str, Entries] = defaultdict(list)
        for event in self.proxy_events:
            if event["kind"] == "try":
                attempts[event["c"]].append(event)
        zones = {event["host"]: event["zone"] for event in self.endpoint_events if event["kind"] == "effect"}
        for attempt, events in attempts.items():
            semantics = self.limits.routes[events[0]["r"]]
            retries += len(events) - 1
            for first, second in pairwise(events):
                may_have_run = first["sent"] and not first["proof"] and semantics != "repeatable"
                in_window = second["began"] - first["sent"] <= self.limits.deduplication_windows.get(
                    first["r"], 0
                )
                same_zone = zones.get(first["h"], 1) == zones.get(second["h"], 2)
                if may_have_run and not (semantics == "keyed" and in_window and same_zone):
                    violations.append(
                        f"{attempt} ({first['r']}) went to {second['h']} after {first['h']} may have run it"
                    )
        nearest = f"{retries} second attempts of {len(attempts)} calls sent, {len(effects)} with effect"
        return Verdict(2, "no effect twice", not violations, nearest, violations[:5])

    # 3: nothing is sent to a draining or removed endpoint after the drain grace.

    def closed_spans(self, controller: str) -> dict[str, list[tuple[int, int]]]:
        """By endpoint: from when to when this controller's list showed it as draining or not at all."""
        spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
        since: dict[str, int] = {}
        seen: dict[str, None] = {}
        for t, endpoints, _ in self.endpoint_lists.get(controller, []):
            seen.update(dict.fromkeys(endpoints))
            for endpoint in seen:
                closed = endpoints.get(endpoint, ("gone", 0.0))[0] != "open"
                if closed and endpoint not in since:
                    since[endpoint] = t
                elif not closed and endpoint in since:
                    spans[endpoint].append((since.pop(endpoint), t))
        for endpoint, t in since.items():
            spans[endpoint].append((t, 1 << 62))
        return spans

    def check_drains(self) -> Verdict:
        """Counts the drain grace from the later of the list and the start of the session."""
        latest, violations = 0, []
        closed = {controller: self.closed_spans(controller) for controller in self.endpoint_lists}
        starts = {proxy: [since for since, _, _ in spans] for proxy, spans in self.sessions.items()}
        for event in self.proxy_events:
            if event["kind"] != "sent":
                continue
            index = bisect.bisect_right(starts.get(event["p"], []), event["t"]) - 1
            if index < 0:
                continue
            since, until, controller = self.sessions[event["p"]][index]
            if event["t"] >= until:
                continue
            for began, ended in closed.get(controller, {}).get(event["h"], []):
                late = event["t"] - max(began, since)
                if began <= event["t"] < ended and late > 0:
                    latest = max(latest, late)
                    if late > self.limits.drain_grace_ticks:
                        text = (
                            f"{event['p']} sent {event['c']} to {event['h']} at {self.time_text(event['t'])}"
                        )
                        violations.append(f"{text}, {late / TICKS_PER_SECOND:.2f} s after {controller} knew")
        grace = self.limits.drain_grace_ticks / TICKS_PER_SECOND
        text = f"latest request {latest / TICKS_PER_SECOND:.2f} s after it was known, {grace:.2f} s allowed"
        return Verdict(3, "drain grace kept", not violations, text, violations[:5])

    # 4: no endpoint fails because it gets too much work while it warms up.

    def check_slow_start(self) -> Verdict:
        """An overload counts if proxies that knew of the slow start sent two thirds of the work."""
        peak, violations = 0.0, []
        applied: dict[str, list[int]] = defaultdict(list)
        for event in self.proxy_events:
            if event["kind"] == "applied":
                applied[event["p"]].append(event["t"])
        for event in self.endpoint_events:
            if event["kind"] == "cold_load":
                peak = max(peak, event["share"])
            if event["kind"] != "fell":
                continue
            informed_work = 0.0
            for proxy, work in event["by"].items():
                index = bisect.bisect_right(self.sessions.get(proxy, []), (event["t"], 1 << 62, "")) - 1
                if index < 0:
                    continue
                since, until, controller = self.sessions[proxy][index]
                endpoint_lists = self.endpoint_lists.get(controller, [])
                listed_at = next(
                    (
                        t
                        for t, endpoints, _ in endpoint_lists
                        if t > event["born"] and event["host"] in endpoints
                    ),
                    1 << 62,
                )
                was_updated = any(max(listed_at, since) < t <= event["t"] for t in applied[proxy])
                if until >= event["t"] and (
                    was_updated or event["t"] > listed_at + self.limits.drain_grace_ticks
                ):
                    informed_work += work
            if informed_work >= event["work"] * 2 / 3:
                share = informed_work / event["work"]
                violations.append(
                    f"{event['host']} was overloaded at {self.time_text(event['t'])}:"
                    f" {share:.0%} of its work came from proxies that knew of its slow start"
                )
        nearest = f"at most {peak:.0%} of the work that would overload one"
        return Verdict(4, "no endpoint overloaded during slow start", not violations, nearest, violations[:5])

    # 5: a limited queue, and the cap on messages to one proxy.

    def check_queue(self) -> Verdict:
        """Recomputes the queue length from the records; every applied version must be in them."""
        violations: list[str] = []
        peak = 0.0
        for controller, entries in self.controller_records.items():
            waiting, updated_at = 0.0, 0
            for entry in entries:
                if entry["kind"] == "started":
                    waiting, updated_at = 0.0, entry["t"]
                elif entry["kind"] == "order":
                    waiting = max(
                        0.0,
                        waiting - (entry["t"] - updated_at) * self.limits.entries_per_s / TICKS_PER_SECOND,
                    )
                    waiting, updated_at = waiting + entry["lines"], entry["t"]
                    peak = max(peak, waiting)
                    if waiting > self.limits.max_waiting_entries:
                        violations.append(
                            f"{controller}: {waiting:.0f} entries wait after message {entry['message']}"
                        )
            versions: dict[tuple[int, int], None] = {}
            epoch = 0
            for entry in entries:
                if entry["kind"] == "started":
                    epoch = entry["epoch"]
                elif entry["kind"] == "order":
                    versions[epoch, entry["message"]] = None
            for entry in self.proxy_events:  # a version without a record was sent outside the queue
                if entry["kind"] != "applied" or "v" not in entry or entry["d"] != controller:
                    continue
                if tuple(entry["v"]) not in versions:
                    last = max((key for key in versions if key[0] == entry["v"][0]), default=(0, 0))
                    if tuple(entry["v"]) < last:
                        violations.append(
                            f"{controller}: version {entry['v']} at {entry['p']} is in no record"
                        )
        peak_messages = self.peak_messages()
        if self.limits.max_messages and peak_messages > self.limits.max_messages:
            violations.append(
                f"{peak_messages} messages to one proxy"
                f" within {self.limits.message_window_ticks / TICKS_PER_SECOND:.0f} s"
            )
        limit = self.limits.max_waiting_entries
        nearest = f"at most {peak:.0f} entries of {limit:.0f} waiting, {peak_messages} messages to one proxy"
        if self.limits.max_messages:
            nearest += f" of {self.limits.max_messages}"
        return Verdict(5, "a limited queue", not violations, nearest, violations[:5])

    def peak_messages(self) -> int:
        """The most messages that one proxy applied within the message window, in one session."""
        peak = 0
        times: dict[tuple[str, str, int, str], list[int]] = defaultdict(list)
        starts = {proxy: [since for since, _, _ in spans] for proxy, spans in self.sessions.items()}
        for event in self.proxy_events:
            if event["kind"] == "applied":
                session = bisect.bisect_right(starts.get(event["p"], []), event["t"])
                # one message may arrive as one response for each resource type
                times[event["p"], event["d"], session, event.get("part", "")].append(event["t"])
        for applied in times.values():
            for index, t in enumerate(applied):
                peak = max(
                    peak, index + 1 - bisect.bisect_left(applied, t - self.limits.message_window_ticks)
                )
        return peak

"""Checks a controller's belief about the versions that its proxies run, by its records and their event logs.

It shares no code with the controller. Before a proxy applies an update, the controller must have recorded
that it is uncertain; whenever the controller records a version as certain, the proxy must run exactly that.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from .judge import CONTROLLER_CLOCK_LEAD_TICKS, Entries, InvariantChecker

UNFLUSHED_TICKS = 4000  # a killed controller may lose its records of this time before its death


@dataclass
class BeliefReport:
    """The counts and the violations of one run."""

    applied: int = 0  # versions that proxies applied
    certain: int = 0  # records that a proxy runs a certain version
    refused: int = 0
    restarts: int = 0  # of proxies that restored their acknowledged state
    violations: list[str] = field(default_factory=list)

    def summary_lines(self) -> list[str]:
        """The counts, and some of the violations."""
        return [
            f"{self.applied} versions applied, {self.refused} refused, {self.restarts} proxies restarted",
            f"{self.certain} times a controller was certain; {len(self.violations)} violations",
            *self.violations[:8],
        ]


def _sessions(proxies: Entries) -> dict[str, list[tuple[int, int, str, int]]]:
    """By proxy: start, end, controller and term of its sessions."""
    sessions: dict[str, list[tuple[int, int, str, int]]] = defaultdict(list)
    open_sessions: dict[str, tuple[int, str, int]] = {}
    for event in proxies:
        if event["kind"] == "joined":
            open_sessions[event["p"]] = (event["t"], event["d"], event["term"])
        elif event["kind"] in ("left", "died") and event["p"] in open_sessions:
            since, controller, term = open_sessions.pop(event["p"])
            sessions[event["p"]].append((since, event["t"], controller, term))
    for proxy, (since, controller, term) in open_sessions.items():
        sessions[proxy].append((since, 1 << 62, controller, term))
    return sessions


def _applied_versions(
    proxies: Entries, result: BeliefReport
) -> dict[tuple[str, str], list[tuple[int, str, str, int]]]:
    """By proxy and resource type: time, version, controller and term of each version that it began to run."""
    versions: dict[tuple[str, str], list[tuple[int, str, str, int]]] = defaultdict(list)
    acknowledged: dict[tuple[str, str], str] = {}
    newest: dict[tuple[str, str, str, int], tuple[int, ...]] = {}
    for event in proxies:
        if event["kind"] == "acked":
            acknowledged[event["p"], event["part"]] = event["version"]
        elif event["kind"] == "refused":
            result.refused += 1
        elif event["kind"] == "took_up":
            result.restarts += 1
            for part, version in event["versions"].items():
                versions[event["p"], part].append((event["t"], version, "", 0))
                if acknowledged.get((event["p"], part)) != version:
                    result.violations.append(
                        f"{event['p']} restored {part} {version}, which it had not acknowledged"
                    )
        elif event["kind"] == "applied":
            result.applied += 1
            part = event.get("part", "group")
            version = (
                event["version"] if part != "group" else ".".join(map(str, [event["term"], *event["v"]]))
            )
            numbers = tuple(int(n) for n in version.split("."))
            key = (event["p"], part, event["d"], event["term"])
            if key in newest and numbers < newest[key]:
                result.violations.append(f"{event['p']} went back from {newest[key]} to {version}")
            newest[key] = numbers
            versions[event["p"], part].append((event["t"], version, event["d"], event["term"]))
    return versions


def check_beliefs(folder: Path) -> BeliefReport:
    """Checks the logs of one run."""
    result = BeliefReport()
    events = [
        entry
        for path in sorted(folder.glob("proxies*.notes"))
        for entry in InvariantChecker.read_entries(path)
    ]
    proxy_events = sorted(events, key=lambda entry: entry["t"])
    harness_events = [
        entry for path in folder.glob("stage.notes") for entry in InvariantChecker.read_entries(path)
    ]
    sessions, versions = _sessions(proxy_events), _applied_versions(proxy_events, result)
    for path in sorted(folder.glob("director-*.records")):
        name = path.stem
        deaths = [
            entry["t"] for entry in harness_events if entry["kind"] == "director_died" and entry["d"] == name
        ]
        beliefs: dict[tuple[str, str, int], list[tuple[int, str]]] = defaultdict(list)
        for entry in InvariantChecker.read_entries(path):
            if entry["kind"] == "belief":
                beliefs[entry["proxy"], entry["part"], entry["term"]].append(
                    (entry["t"] - CONTROLLER_CLOCK_LEAD_TICKS, entry["version"])
                )
        _check_certain(name, beliefs, sessions, versions, result)
        _check_uncertain_before(name, beliefs, versions, deaths, result)
    return result


def _check_certain(
    name: str, beliefs: dict[tuple[str, str, int], list[tuple[int, str]]],
    sessions: dict[str, list[tuple[int, int, str, int]]],
    versions: dict[tuple[str, str], list[tuple[int, str, str, int]]], result: BeliefReport,
) -> None:  # fmt: skip
    """Each version that the controller records as certain is the one that the proxy runs."""
    for (proxy, part, term), records in beliefs.items():
        session = next((c for c in sessions[proxy] if c[2:] == (name, term)), None)
        for t, version in records:
            if not version or session is None or not session[0] <= t < session[1]:
                continue  # the session is over, which the controller may not know yet
            result.certain += 1
            earlier = [run for run in versions[proxy, part] if run[0] <= t]
            if not earlier or earlier[-1][1] != version:
                running = earlier[-1][1] if earlier else "nothing"
                result.violations.append(
                    f"{name} was certain that {proxy} runs {part} {version}: it ran {running}"
                )


def _check_uncertain_before(
    name: str, beliefs: dict[tuple[str, str, int], list[tuple[int, str]]],
    versions: dict[tuple[str, str], list[tuple[int, str, str, int]]], deaths: list[int], result: BeliefReport,
) -> None:  # fmt: skip
    """Before a proxy applies a version, the controller records that it is uncertain."""
    for (proxy, part), applied in versions.items():
        for t, version, controller, term in applied:
            if controller != name or any(0 <= death - t < UNFLUSHED_TICKS for death in deaths):
                continue
            records = beliefs.get((proxy, part, term), [])
            index = bisect.bisect_right([record[0] for record in records], t) - 1
            if index >= 0 and records[index][1] and records[index][1] != version:
                result.violations.append(
                    f"{name} was certain that {proxy} runs {part} {records[index][1]}"
                    f" when it came to run {version}"
                )
            elif index < 0:
                result.violations.append(
                    f"{name} had no record of {proxy} when it came to run {part} {version}"
                )

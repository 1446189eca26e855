"""Whether a director knows what its proxies run, or knows that it does not: its record beside their notes.

Shares no code with the director.  Each time that a proxy applied something, the director must have marked it
as not certain before; each time that the director says what a proxy runs, the proxy must run just that.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from .judge import CONTROLLER_CLOCK_LEAD_TICKS, Entries, InvariantChecker

FLUSH = 4000  # tenths of a millisecond of its record that a killed director may take with it


@dataclass
class BeliefReport:
    applied: int = 0  # versions
    certain: int = 0  # times that a director said what a proxy runs
    refused: int = 0
    restarts: int = 0  # of proxies that came back with what they had
    violations: list[str] = field(default_factory=list)

    def summary_lines(self) -> list[str]:
        return [
            f"{self.applied} versions applied, {self.refused} refused, {self.restarts} proxies came back",
            f"{self.certain} times a director was certain; {len(self.violations)} violations",
            *self.violations[:8],
        ]


def _stays(proxies: Entries) -> dict[str, list[tuple[int, int, str, int]]]:
    """By proxy: from when to when it followed which director in which term."""
    found: dict[str, list[tuple[int, int, str, int]]] = defaultdict(list)
    here: dict[str, tuple[int, str, int]] = {}
    for row in proxies:
        if row["kind"] == "joined":
            here[row["p"]] = (row["t"], row["d"], row["term"])
        elif row["kind"] in ("left", "died") and row["p"] in here:
            since, who, term = here.pop(row["p"])
            found[row["p"]].append((since, row["t"], who, term))
    for proxy, (since, who, term) in here.items():
        found[proxy].append((since, 1 << 62, who, term))
    return found


def _runs(proxies: Entries, out: BeliefReport) -> dict[tuple[str, str], list[tuple[int, str, str, int]]]:
    """By proxy and part: when it began to run which version, of which director and term."""
    runs: dict[tuple[str, str], list[tuple[int, str, str, int]]] = defaultdict(list)
    acked: dict[tuple[str, str], str] = {}
    newest: dict[tuple[str, str, str, int], tuple[int, ...]] = {}
    for row in proxies:
        if row["kind"] == "acked":
            acked[row["p"], row["part"]] = row["version"]
        elif row["kind"] == "refused":
            out.refused += 1
        elif row["kind"] == "took_up":
            out.restarts += 1
            for part, version in row["versions"].items():
                runs[row["p"], part].append((row["t"], version, "", 0))
                if acked.get((row["p"], part)) != version:
                    out.violations.append(
                        f"{row['p']} came back with {part} {version}, which it had not acknowledged"
                    )
        elif row["kind"] == "applied":
            out.applied += 1
            part = row.get("part", "group")
            version = row["version"] if part != "group" else ".".join(map(str, [row["term"], *row["v"]]))
            told = tuple(int(n) for n in version.split("."))
            key = (row["p"], part, row["d"], row["term"])
            if key in newest and told < newest[key]:
                out.violations.append(f"{row['p']} went back from {newest[key]} to {version}")
            newest[key] = told
            runs[row["p"], part].append((row["t"], version, row["d"], row["term"]))
    return runs


def check_beliefs(folder: Path) -> BeliefReport:
    """Reads what one day left behind."""
    out = BeliefReport()
    rows = [
        row for path in sorted(folder.glob("proxies*.notes")) for row in InvariantChecker.read_entries(path)
    ]
    proxies = sorted(rows, key=lambda row: row["t"])
    stage = [row for path in folder.glob("stage.notes") for row in InvariantChecker.read_entries(path)]
    stays, runs = _stays(proxies), _runs(proxies, out)
    for path in sorted(folder.glob("director-*.records")):
        name = path.stem
        died = [row["t"] for row in stage if row["kind"] == "director_died" and row["d"] == name]
        told: dict[tuple[str, str, int], list[tuple[int, str]]] = defaultdict(list)
        for row in InvariantChecker.read_entries(path):
            if row["kind"] == "belief":
                told[row["proxy"], row["part"], row["term"]].append(
                    (row["t"] - CONTROLLER_CLOCK_LEAD_TICKS, row["version"])
                )
        _certain(name, told, stays, runs, out)
        _applied(name, told, runs, died, out)
    return out


def _certain(
    name: str, told: dict[tuple[str, str, int], list[tuple[int, str]]],
    stays: dict[str, list[tuple[int, int, str, int]]],
    runs: dict[tuple[str, str], list[tuple[int, str, str, int]]], out: BeliefReport,
) -> None:  # fmt: skip
    """What a director says that a proxy runs, it runs then."""
    for (proxy, part, term), rows in told.items():
        stay = next((s for s in stays[proxy] if s[2:] == (name, term)), None)
        for t, version in rows:
            if not version or stay is None or not stay[0] <= t < stay[1]:
                continue  # it has left, which the director is still to hear
            out.certain += 1
            before = [row for row in runs[proxy, part] if row[0] <= t]
            if not before or before[-1][1] != version:
                what = before[-1][1] if before else "nothing"
                out.violations.append(f"{name} was certain that {proxy} runs {part} {version}: it ran {what}")


def _applied(
    name: str, told: dict[tuple[str, str, int], list[tuple[int, str]]],
    runs: dict[tuple[str, str], list[tuple[int, str, str, int]]], died: list[int], out: BeliefReport,
) -> None:  # fmt: skip
    """Before a proxy applies something, the director has ceased to be certain."""
    for (proxy, part), rows in runs.items():
        for t, version, who, term in rows:
            if who != name or any(0 <= d - t < FLUSH for d in died):
                continue
            book = told.get((proxy, part, term), [])
            at = bisect.bisect_right([row[0] for row in book], t) - 1
            if at >= 0 and book[at][1] and book[at][1] != version:
                out.violations.append(
                    f"{name} was certain that {proxy} runs {part} {book[at][1]} when it came to run {version}"
                )
            elif at < 0:
                out.violations.append(f"{name} had not told of {proxy} when it came to run {part} {version}")

"""Whole fleets on loopback: a short bad day keeps the rules, and each rule broken on purpose is seen."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
import trio

from willowhook.config.example import EXAMPLE
from willowhook.records.writer import read_records
from willowhook.trial.badday import report_lines, run_with_baselines, short_scenario
from willowhook.trial.day import Fault, arrivals, draw_scenario
from willowhook.trial.judge import Verdict
from willowhook.trial.stage import FleetHarness

TROUBLE = {
    1: [],
    2: [Fault("host_hang", 2.5, 4.0, 0.4)],
    3: [Fault("shrink", 3.0, 5.0, 0.3)],
    4: [Fault("host_crash", 0.5, 1.0, 0.2)],
    5: [],
}


def broken(rule: int, folder: Path, guard: str) -> list[Verdict]:
    """A day under a controller that breaks this rule, with the guard or without."""
    day = draw_scenario(
        rule, 9.0, hosts=5, proxies=3, directors=1, calls_per_s=45.0, troubles=TROUBLE[rule], spare=0
    )
    if rule == 4:  # warm before the first director forgets its caution towards cold hosts
        day.length_s, day.calls_per_s = 14.0, 75.0
        day.rules = msgspec.structs.replace(day.rules, fall_multiple=2.0)
        day.troubles = [Fault("host_crash", 5.0, 2.0, 0.2)]
    command = [sys.executable, str(Path(__file__).parent / "broken_controller.py"), str(rule)]
    return trio.run(FleetHarness(day, folder, director=command, guard=guard).run).verdicts


def test_each_rule_broken_on_purpose_is_seen(tmp_path: Path) -> None:
    def played(rule: int) -> list[Verdict]:
        return broken(rule, tmp_path / str(rule), "shadow")

    with ThreadPoolExecutor(5) as pool:
        verdicts = dict(zip(range(1, 6), pool.map(played, range(1, 6)), strict=True))
    for rule, rows in verdicts.items():
        lines = "\n".join(row.summary() for row in rows)
        assert (
            not rows[rule - 1].kept and rows[rule - 1].violations
        ), f"rule {rule} was not seen broken:\n{lines}"
        if rule in (2, 3, 5):
            assert sum(not row.kept for row in rows) == 1, lines
        # the guard, which shares no code with the judge, saw it coming
        records = read_records(str(tmp_path / str(rule) / "director-0.records"))
        told = {f["rule"] for row in records if row["kind"] == "guard" for f in row["findings"]}
        assert rule in told, f"the judge saw rule {rule} broken, the guard told of {told}"


def test_update_validation_keeps_the_rules_of_a_broken_controller(tmp_path: Path) -> None:
    """Empty tables, orders to try again, a new host given nearly all: stopped on the way out."""

    def played(rule: int) -> list[Verdict]:
        return broken(rule, tmp_path / str(rule), "on")

    with ThreadPoolExecutor(3) as pool:
        for rule, rows in zip((1, 2, 4), pool.map(played, (1, 2, 4)), strict=True):
            assert rows[rule - 1].kept, f"rule {rule}:\n" + "\n".join(row.summary() for row in rows)


def test_a_short_bad_day_keeps_the_rules(tmp_path: Path) -> None:
    done = run_with_baselines(short_scenario(3), tmp_path, (), lambda text: None)
    records = [row for path in tmp_path.glob("*/director-*.records") for row in read_records(str(path))]
    stopped = [row for row in records if row["kind"] == "guard" and row["what"] != "passed"]
    assert not stopped, stopped[0]  # nor does the guard find fault with what the judge lets pass
    assert done.controlled.kept, "\n".join(report_lines(done))
    assert done.controlled.service_level > 0.5 and done.controlled.answered > 200


def test_arrivals_are_the_same_whatever_serves_them() -> None:
    assert arrivals(draw_scenario(5)) == arrivals(draw_scenario(5)) and arrivals(
        draw_scenario(5)
    ) != arrivals(draw_scenario(6))


def test_controller_stops_on_sigterm_and_a_second_one_is_refused(tmp_path: Path) -> None:
    files = msgspec.structs.replace(EXAMPLE.files, folder=str(tmp_path / "d"))
    terms = msgspec.structs.replace(
        EXAMPLE, files=files, records=msgspec.structs.replace(EXAMPLE.records, file="")
    )
    path = tmp_path / "d.json"
    path.write_bytes(msgspec.json.encode(terms))
    args = [
        sys.executable,
        "-m",
        "willowhook.cli",
        "controller",
        "--config",
        str(path),
        "--log-format",
        "json",
    ]
    first = subprocess.Popen(args, stderr=subprocess.PIPE, text=True)
    assert first.stderr is not None
    assert '"event": "controller started"' in first.stderr.readline()
    second = subprocess.run(args, capture_output=True, text=True)
    assert second.returncode == 3 and "one folder serves one director" in second.stderr
    time.sleep(0.2)
    first.send_signal(signal.SIGTERM)
    assert first.wait(10) == 0 and '"event": "controller stopped"' in first.stderr.read()

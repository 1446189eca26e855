"""Test fleets on loopback: the invariants hold under faults, and each kind of violation is detected."""

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

FAULTS_BY_RULE = {
    1: [],
    2: [Fault("host_hang", 2.5, 4.0, 0.4)],
    3: [Fault("shrink", 3.0, 5.0, 0.3)],
    4: [Fault("host_crash", 0.5, 1.0, 0.2)],
    5: [],
}


def run_broken_controller(rule: int, folder: Path, guard: str) -> list[Verdict]:
    """A run with a controller that breaks this rule; `guard` is the mode of update validation."""
    scenario = draw_scenario(
        rule, 9.0, hosts=5, proxies=3, directors=1, calls_per_s=45.0, troubles=FAULTS_BY_RULE[rule], spare=0
    )
    if rule == 4:  # the endpoints must be warm before this controller loses its slow start
        scenario.length_s, scenario.calls_per_s = 14.0, 75.0
        scenario.rules = msgspec.structs.replace(scenario.rules, fall_multiple=2.0)
        scenario.troubles = [Fault("host_crash", 5.0, 2.0, 0.2)]
    command = [sys.executable, str(Path(__file__).parent / "broken_controller.py"), str(rule)]
    return trio.run(FleetHarness(scenario, folder, director=command, guard=guard).run).verdicts


def test_each_rule_broken_on_purpose_is_seen(tmp_path: Path) -> None:
    def run_rule(rule: int) -> list[Verdict]:
        return run_broken_controller(rule, tmp_path / str(rule), "shadow")

    with ThreadPoolExecutor(5) as pool:
        verdicts = dict(zip(range(1, 6), pool.map(run_rule, range(1, 6)), strict=True))
    for rule, results in verdicts.items():
        text = "\n".join(result.summary() for result in results)
        assert (
            not results[rule - 1].kept and results[rule - 1].violations
        ), f"rule {rule} was broken undetected:\n{text}"
        if rule in (2, 3, 5):
            assert sum(not result.kept for result in results) == 1, text
        # update validation, which shares no code with the invariant checker, found it too
        records = read_records(str(tmp_path / str(rule) / "director-0.records"))
        rules_found = {
            finding["rule"]
            for record in records
            if record["kind"] == "guard"
            for finding in record["findings"]
        }
        assert rule in rules_found, f"rule {rule} was broken, update validation found {rules_found}"


def test_update_validation_keeps_the_rules_of_a_broken_controller(tmp_path: Path) -> None:
    """Empty tables, forbidden retries, a new endpoint with nearly all weight: none of it is sent."""

    def run_rule(rule: int) -> list[Verdict]:
        return run_broken_controller(rule, tmp_path / str(rule), "on")

    with ThreadPoolExecutor(3) as pool:
        for rule, results in zip((1, 2, 4), pool.map(run_rule, (1, 2, 4)), strict=True):
            assert results[rule - 1].kept, f"rule {rule}:\n" + "\n".join(
                result.summary() for result in results
            )


def test_a_short_bad_day_keeps_the_rules(tmp_path: Path) -> None:
    outcome = run_with_baselines(short_scenario(3), tmp_path, (), lambda text: None)
    records = [record for path in tmp_path.glob("*/director-*.records") for record in read_records(str(path))]
    not_passed = [record for record in records if record["kind"] == "guard" and record["what"] != "passed"]
    # update validation rejects nothing that the invariant checker accepts
    assert not not_passed, not_passed[0]
    assert outcome.controlled.kept, "\n".join(report_lines(outcome))
    assert outcome.controlled.service_level > 0.5 and outcome.controlled.answered > 200


def test_arrivals_are_the_same_whatever_serves_them() -> None:
    assert arrivals(draw_scenario(5)) == arrivals(draw_scenario(5)) and arrivals(
        draw_scenario(5)
    ) != arrivals(draw_scenario(6))


def test_controller_stops_on_sigterm_and_a_second_one_is_refused(tmp_path: Path) -> None:
    file_settings = msgspec.structs.replace(EXAMPLE.files, folder=str(tmp_path / "d"))
    config = msgspec.structs.replace(
        EXAMPLE, files=file_settings, records=msgspec.structs.replace(EXAMPLE.records, file="")
    )
    config_path = tmp_path / "d.json"
    config_path.write_bytes(msgspec.json.encode(config))
    command = [
        sys.executable,
        "-m",
        "willowhook.cli",
        "controller",
        "--config",
        str(config_path),
        "--log-format",
        "json",
    ]
    first = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    assert first.stderr is not None
    assert '"event": "controller started"' in first.stderr.readline()
    second = subprocess.run(command, capture_output=True, text=True)
    assert second.returncode == 3 and "one folder serves one director" in second.stderr
    time.sleep(0.2)
    first.send_signal(signal.SIGTERM)
    assert first.wait(10) == 0 and '"event": "controller stopped"' in first.stderr.read()

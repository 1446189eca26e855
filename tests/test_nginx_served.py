"""Compares nginx blocks with their import over sockets, and shows that each check detects a difference."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import pytest
import trio

from willowhook.nginx.plan import ImportOptions
from willowhook.trial import nginx_same
from willowhook.trial.corpus import Sample
from willowhook.trial.nginx_director import run_imported_scenario
from willowhook.trial.nginx_same import Comparison, compare_sample, compare_samples, share_difference


def test_samples_are_served_alike_by_blocks_and_tables() -> None:
    result = compare_samples(60, only=14)
    assert result.passed, result.lines()
    assert result.paths > 20 and result.primary_outages > 5 and result.repeats["blocks"] > 0


def run_with_modified_tables(
    text: str, options: ImportOptions, monkeypatch: pytest.MonkeyPatch, change: tuple[bytes, bytes]
) -> Comparison:
    """Runs a sample whose imported tables are modified before the proxy gets them."""
    original = nginx_same.table_files

    def modified_table_files(*args: object) -> dict[str, bytes]:
        files = original(*args)  # type: ignore[arg-type]
        assert any(change[0] in data for data in files.values())
        return {name: data.replace(*change) for name, data in files.items()}

    monkeypatch.setattr(nginx_same, "table_files", modified_table_files)
    result = Comparison()
    trio.run(compare_sample, Sample("false", "false:1", options, text, ()), 200, result)
    return result


CONF = """upstream t { server 10.0.0.1:80 weight=3; server 10.0.0.2:80; server 10.0.0.9:80 backup; }
server { location / { proxy_pass http://t; } location /gone { return 410; } }"""


@pytest.mark.parametrize(
    ("change", "message"),
    [((b'"load_balancing_weight":10000', b'"load_balancing_weight":90000'), "10.0.0.1:80 75%"),
     ((b'"priority":1', b'"priority":0'), "10.0.0.9:80"), ((b'"status":410', b'"status":200'), "answers"),
     ((b'"prefix":"/"', b'"prefix":"/never"'), "reached hosts")],
)  # fmt: skip
def test_modified_tables_are_detected(
    change: tuple[bytes, bytes], message: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    result = run_with_modified_tables(CONF, ImportOptions(), monkeypatch, change)
    assert not result.passed and any(message in line for line in result.differences), result.lines()


def test_a_retry_that_repeats_an_effect_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    change = (b'"connect-failure,refused-stream,retriable-headers"', b'"5xx,reset,connect-failure"')
    result = run_with_modified_tables(CONF, ImportOptions(mutating=("/submit-task",)), monkeypatch, change)
    assert result.repeats["tables"] > 0 and not result.passed


def test_shares_that_differ_by_chance_are_accepted_and_others_reported() -> None:
    assert share_difference(Counter(a=100, b=100), Counter(a=108, b=92)) == ""
    assert "a" in share_difference(Counter(a=100, b=100), Counter(a=150, b=50))
    assert "reached hosts" in share_difference(Counter(a=1), Counter())


def test_controller_on_an_imported_configuration_uses_backups_only_when_needed(tmp_path: Path) -> None:
    result = run_imported_scenario(tmp_path)
    assert result.passed, result.lines()
    assert result.waits["a primary alone again"] >= 4.5

"""Blocks and what was imported of them, on sockets; and each check seen to fail where it must."""

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


def test_some_samples_are_served_alike() -> None:
    found = compare_samples(60, only=14)
    assert found.passed, found.lines()
    assert found.paths > 20 and found.primary_outages > 5 and found.repeats["blocks"] > 0


def played(
    text: str, asked: ImportOptions, monkeypatch: pytest.MonkeyPatch, change: tuple[bytes, bytes]
) -> Comparison:
    """A sample whose imported tables are falsified on their way to the proxy."""
    real = nginx_same.table_files

    def false(*args: object) -> dict[str, bytes]:
        files = real(*args)  # type: ignore[arg-type]
        assert any(change[0] in data for data in files.values())
        return {name: data.replace(*change) for name, data in files.items()}

    monkeypatch.setattr(nginx_same, "table_files", false)
    found = Comparison()
    trio.run(compare_sample, Sample("false", "false:1", asked, text, ()), 200, found)
    return found


CONF = """upstream t { server 10.0.0.1:80 weight=3; server 10.0.0.2:80; server 10.0.0.9:80 backup; }
server { location / { proxy_pass http://t; } location /gone { return 410; } }"""


@pytest.mark.parametrize(
    ("change", "told"),
    [((b'"load_balancing_weight":10000', b'"load_balancing_weight":90000'), "10.0.0.1:80 75%"),
     ((b'"priority":1', b'"priority":0'), "10.0.0.9:80"), ((b'"status":410', b'"status":200'), "answers"),
     ((b'"prefix":"/"', b'"prefix":"/never"'), "reached hosts")],
)  # fmt: skip
def test_tables_that_serve_otherwise_are_seen(
    change: tuple[bytes, bytes], told: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    found = played(CONF, ImportOptions(), monkeypatch, change)
    assert not found.passed and any(told in line for line in found.differences), found.lines()


def test_a_retry_that_repeats_an_effect_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    change = (b'"connect-failure,refused-stream,retriable-headers"', b'"5xx,reset,connect-failure"')
    found = played(CONF, ImportOptions(mutating=("/submit-task",)), monkeypatch, change)
    assert found.repeats["tables"] > 0 and not found.passed


def test_shares_apart_by_chance_are_the_same_and_others_not() -> None:
    assert share_difference(Counter(a=100, b=100), Counter(a=108, b=92)) == ""
    assert "a" in share_difference(Counter(a=100, b=100), Counter(a=150, b=50))
    assert "reached hosts" in share_difference(Counter(a=1), Counter())


def test_a_director_on_an_import_uses_backups_when_it_must(tmp_path: Path) -> None:
    seen = run_imported_scenario(tmp_path)
    assert seen.passed, seen.lines()
    assert seen.waits["a primary alone again"] >= 4.5

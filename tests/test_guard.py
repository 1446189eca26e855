"""The guard: against an oracle, against a full recheck, with its own checks broken, and offline."""

from __future__ import annotations

import json
import math
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.cli.main import main
from willowhook.guard.guard import FAILS_CLOSED, Candidate, Guard
from willowhook.guard.verdict import PASSED, REFUSED, SPLIT, Verdict
from willowhook.guard.world import DRAINING, OPEN, GuardTerms, HostFacts, RouteFacts, Tables, World
from willowhook.ticks import TICKS_PER_SECOND
from willowhook.trial.guard_cases import BAD, GOOD, confusion

TERMS = GuardTerms(
    (RouteFacts("read", "idempotent"), RouteFacts("write", "at_most_once")), 25_000, 100_000, 0.25, 4.0, 0.16,
    3200, 0, 100_000, 4,
)  # fmt: skip
EVEN = {"a": 1.0, "b": 1.0, "c": 1.0, "d": 1.0}


def tables(
    lines: dict[str, float], out: str = "", tries: tuple[int, int] = (1, 1), key: object = None
) -> Tables:
    return Tables((lines, lines), frozenset(out), tries, (math.inf, math.inf), key)


def world(proxies: int = 4) -> World:
    made = World(TERMS)
    made.list_hosts(0, [HostFacts(name, OPEN, 0) for name in "abcd"])
    for proxy in range(proxies):
        made.join(proxy, "", (5.0, 5.0), tables(EVEN))
    return made


def judged(made: World, lines: dict[str, float], now: int = 10 * TICKS_PER_SECOND, **parts: Any) -> Verdict:
    return Guard(made).judge(now, Candidate(0, tables(lines, **parts), (1, 1, 1)))


def test_all_kinds_of_bad_tables_are_stopped_and_no_good_one_is() -> None:
    done = confusion(12 * (len(BAD) + len(GOOD)), 5)
    assert done.good, done.missed[:2] + done.wrongly[:2]
    assert len(BAD) >= 15 and len(done.kinds) == len(BAD) + len(GOOD)


def test_a_table_that_is_good_alone_is_refused_during_a_drain() -> None:
    made = world()
    assert judged(made, {"a": 1.0, "b": 1.0}).good
    rows = [HostFacts(name, DRAINING if name in "ab" else OPEN, 0) for name in "abcd"]
    made.list_hosts(9 * TICKS_PER_SECOND, rows)
    verdict = judged(made, {"a": 1.0, "b": 1.0})
    assert verdict.what == REFUSED and verdict.findings[0].rule == 1
    assert "add a warm host, such as c" in verdict.findings[0].line()


def test_a_cold_host_is_counted_over_all_proxies_and_what_is_on_its_way() -> None:
    made = world()
    made.list_hosts(0, [HostFacts(n, OPEN, 0, 10 * TICKS_PER_SECOND - 1 if n == "d" else 0) for n in "abcd"])
    for proxy in range(4):
        made.sent(0, proxy, tables({**EVEN, "d": 0.001}), (1, 1, 0))
        made.answered(proxy)
    much = {"a": 1.0, "b": 1.0, "c": 1.0, "d": 4.0}
    seen = []
    for proxy in range(4):
        candidate = Candidate(proxy, tables(much), (1, 2, proxy))
        verdict = Guard(made).judge(10 * TICKS_PER_SECOND, candidate)
        seen.append(verdict.what)
        if verdict.good:
            made.sent(10 * TICKS_PER_SECOND, proxy, candidate.tables, candidate.version)
    assert seen[0] == PASSED and seen[-1] in (SPLIT, REFUSED)  # one may; all together may not
    last = Guard(made).judge(10 * TICKS_PER_SECOND, Candidate(3, tables(much), (1, 2, 9)))
    if last.what == SPLIT:
        first = Tables(last.steps[0].lines, frozenset(), (1, 1), (math.inf,) * 2)
        assert Guard(made).judge(10 * TICKS_PER_SECOND, Candidate(3, first, (1, 2, 9))).good
        assert Guard(made).judge(last.steps[1].at + 1, Candidate(3, tables(much), (1, 2, 9))).good


def test_withdrawals_pass_whatever_else_is_wrong_and_the_last_hosts_too() -> None:
    made = world()
    some = {"a": 1.0, "b": 1.0}
    made.join(0, "", (5.0, 5.0), tables(some))
    made.list_hosts(0, [HostFacts(name, DRAINING if name in some else OPEN, 0) for name in "abcd"])
    assert judged(made, some).what == REFUSED
    verdict = judged(made, some, out="ab")
    assert verdict.good and "only withdraws" in verdict.rescue
    made.list_hosts(0, [HostFacts(name, DRAINING, 0) for name in "abcd"])
    late = judged(made, {"a": 1.0}, now=100 * TICKS_PER_SECOND)
    assert late.good and "no host is open" in late.rescue
    assert judged(made, some, out="ab", tries=(1, 3)).what == REFUSED  # no rescue has need of that


def test_shadow_passes_and_says_what_it_would_have_done() -> None:
    verdict = Guard(world(), shadow=True).judge(0, Candidate(0, tables({}), (1, 1, 1)))
    assert verdict.good and verdict.rescue == "shadow: it would be refused" and verdict.findings


@pytest.mark.parametrize("name", list(FAILS_CLOSED))
def test_a_check_that_breaks_fails_in_its_stated_direction(name: str) -> None:
    guard = Guard(world())

    def breaks(*_: object) -> None:
        raise ZeroDivisionError("on purpose")

    guard.checks[name] = breaks
    verdict = guard.judge(10 * TICKS_PER_SECOND, Candidate(0, tables(EVEN), (1, 1, 1)))
    assert verdict.good != FAILS_CLOSED[name] and "on purpose" in verdict.faults[0]
    assert set(guard.checks) == set(FAILS_CLOSED)


step = st.one_of(
    st.tuples(st.just("join"), st.integers(0, 2), st.integers(0, 4)),
    st.tuples(st.just("leave"), st.integers(0, 2)),
    st.tuples(st.just("sent"), st.integers(0, 2), st.integers(0, 4)),
    st.tuples(st.just("answered"), st.integers(0, 2)),
    st.tuples(st.just("rate"), st.integers(0, 2), st.integers(0, 9)),
)
CONTENTS = [
    tables(EVEN, key=1), tables({"a": 3.0, "b": 1.0}, key=2), tables({"c": 1.0}, key=3),
    tables({"a": 1.0, "d": 2.0}, out="d"), tables({}, key=5),
]  # fmt: skip


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(step, max_size=80))
def test_the_index_agrees_with_a_full_recheck_on_every_history(steps: list[Any]) -> None:
    made, sent = World(TERMS), 0
    for what, proxy, *rest in steps:
        if what == "join":
            made.join(proxy, "", (1.0 + proxy, 2.0), CONTENTS[rest[0]])
        elif what == "leave":
            made.leave(proxy)
        elif proxy in made.proxies:
            if what == "sent":
                sent += 1
                made.sent(sent, proxy, CONTENTS[rest[0]], (1, 1, sent))
            elif what == "answered":
                made.answered(proxy)
            else:
                made.rate(proxy, (float(rest[0]), 1.0))
        for host in "abcd":
            assert math.isclose(made.exposure(host), made.exposure_in_full(host), abs_tol=1e-6)
        keys = {key for facts in made.proxies.values() for key in facts.held}
        assert set(made.contents) == keys  # nothing that nobody holds is kept
        assert math.isclose(sum(made.total), sum(sum(f.rates) for f in made.proxies.values()), abs_tol=1e-6)


def test_offline_the_exit_code_is_the_verdict(tmp_path: Any) -> None:
    state = {
        "now_s": 100.0,
        "terms": {"drain_grace_s": 2.5, "cold_s": 10, "start_capacity": 0.25, "fall_multiple": 4,
                  "lines_per_s": 1600, "most_waiting_lines": 3200, "fleet": 2},
        "routes": [{"name": "read", "semantics": "repeatable"}, {"name": "write", "semantics": "mutating"}],
        "hosts": [{"name": n, "mode": "open"} for n in "abc"],
        "proxies": [
            {"name": name, "calls_per_s": {"read": 5, "write": 1},
             "lines": {"read": {"a": 1, "b": 1}, "write": {"a": 1, "b": 1}}}
            for name in ("p1", "p2")
        ],
    }  # fmt: skip
    (tmp_path / "s.json").write_text(json.dumps(state))
    cases = [
        ({"lines": {"read": {"a": 1, "b": 1, "c": 1}, "write": {"a": 1, "b": 1}}}, 0, "verdict: passed"),
        ({"lines": {"read": {"a": 1}, "write": {}}}, 5, "empty route write (rule 1)"),
        ({"lines": {"read": {"a": 1}, "write": {"zz": 1}}}, 5, "known host zz"),
        (
            {"lines": {"read": {"a": 1}, "write": {"a": 1}}, "tries": {"write": 2}},
            5,
            "tries route write (rule 2)",
        ),
        ({"lines": {"read": {"a": 1}, "write": {"a": 1}}, "cost_lines": 9999}, 4, "queue (rule 5)"),
    ]
    for k, (candidate, code, text) in enumerate(cases):
        path = tmp_path / f"{k}.json"
        path.write_text(json.dumps([{"proxy": "p1", **candidate}]))
        got = CliRunner().invoke(main, ["guard", "check", str(path), "--state", str(tmp_path / "s.json")])
        assert got.exit_code == code and text in got.output, got.output
        asked = CliRunner().invoke(
            main, ["guard", "check", str(path), "--state", str(tmp_path / "s.json"), "--json"]
        )
        assert json.loads(asked.output)[0]["exit_code"] == code
    (tmp_path / "bad.json").write_text('[{"proxi": "p1"}]')
    got = CliRunner().invoke(
        main, ["guard", "check", str(tmp_path / "bad.json"), "--state", str(tmp_path / "s.json")]
    )
    assert got.exit_code == 2 and "proxi" in got.output

"""Update validation: against an oracle and a full recomputation, with failing checks, and on files."""

from __future__ import annotations

import json
import math
from dataclasses import replace
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.cli.main import main
from willowhook.decisions.settings import RequestSemantics
from willowhook.ticks import TICKS_PER_SECOND
from willowhook.trial.guard_cases import BAD_CASES, GOOD_CASES, measure_confusion
from willowhook.validation.case import exceeds
from willowhook.validation.model import (
    Candidate,
    EndpointMode,
    ProxyTables,
    RouteConstraints,
    UpdateVersion,
    ValidatedEndpoint,
    ValidationSettings,
)
from willowhook.validation.validator import FAILS_CLOSED, Validator
from willowhook.validation.verdict import Outcome, Verdict
from willowhook.validation.world import World

SETTINGS = ValidationSettings(
    routes=(
        RouteConstraints("read", RequestSemantics.IDEMPOTENT),
        RouteConstraints("write", RequestSemantics.AT_MOST_ONCE),
    ),
    drain_grace_ticks=25_000,
    slow_start_ticks=100_000,
    slow_start_fraction=0.25,
    recovery_overload_factor=4.0,
    entries_per_tick=0.16,
    queue_limit_entries=3200,
    message_cap=0,
    message_cap_window_ticks=100_000,
    proxy_count=4,
)
EVEN = {"a": 1.0, "b": 1.0, "c": 1.0, "d": 1.0}


def tables(
    weights: dict[str, float], excluded: str = "", retries: tuple[int, int] = (1, 1), key: object = None
) -> ProxyTables:
    return ProxyTables((weights, weights), frozenset(excluded), retries, (math.inf, math.inf), key)


def endpoint_list(draining: str = "", warming_up: str = "") -> list[ValidatedEndpoint]:
    """Returns four endpoints, some of them draining, some started just before 10 s."""
    return [
        ValidatedEndpoint(
            name,
            EndpointMode.DRAINING if name in draining else EndpointMode.IN_SERVICE,
            since=0,
            started_at=10 * TICKS_PER_SECOND - 1 if name in warming_up else 0,
        )
        for name in "abcd"
    ]


def make_world(proxies: int = 4) -> World:
    world = World(SETTINGS)
    world.endpoints.update_list(0, endpoint_list())
    for proxy in range(proxies):
        world.add_proxy(proxy, "", (5.0, 5.0), tables(EVEN))
    return world


def validate(
    world: World, weights: dict[str, float], now: int = 10 * TICKS_PER_SECOND, **parts: Any
) -> Verdict:
    return Validator(world).validate(now, Candidate(0, tables(weights, **parts), UpdateVersion(1, 1, 1)))


def test_all_kinds_of_bad_tables_are_stopped_and_no_good_table_is() -> None:
    result = measure_confusion(12 * (len(BAD_CASES) + len(GOOD_CASES)), 5)
    assert result.passed, result.false_passes[:2] + result.false_findings[:2]
    assert len(BAD_CASES) >= 15 and len(result.kinds) == len(BAD_CASES) + len(GOOD_CASES)


def test_a_valid_table_is_refused_while_all_its_endpoints_drain() -> None:
    world = make_world()
    assert validate(world, {"a": 1.0, "b": 1.0}).has_passed
    world.endpoints.update_list(9 * TICKS_PER_SECOND, endpoint_list(draining="ab"))
    verdict = validate(world, {"a": 1.0, "b": 1.0})
    assert verdict.outcome is Outcome.REFUSED and verdict.findings[0].rule == 1
    assert "add a warm endpoint, such as c" in verdict.findings[0].line()


def test_slow_start_budget_counts_all_proxies_and_updates_in_flight() -> None:
    world = make_world()
    world.endpoints.update_list(0, endpoint_list(warming_up="d"))
    for proxy in range(4):
        world.record_sent(0, proxy, tables({**EVEN, "d": 0.001}), UpdateVersion(1, 1, 0))
        world.record_applied(proxy)
    heavy_weights = {"a": 1.0, "b": 1.0, "c": 1.0, "d": 4.0}
    outcomes = []
    for proxy in range(4):
        candidate = Candidate(proxy, tables(heavy_weights), UpdateVersion(1, 2, proxy))
        verdict = Validator(world).validate(10 * TICKS_PER_SECOND, candidate)
        outcomes.append(verdict.outcome)
        if verdict.has_passed:
            world.record_sent(10 * TICKS_PER_SECOND, proxy, candidate.tables, candidate.version)
    assert outcomes[0] is Outcome.PASSED and outcomes[-1] in (
        Outcome.SPLIT,
        Outcome.REFUSED,
    )  # one proxy may send it; all together may not
    now = 10 * TICKS_PER_SECOND
    version = UpdateVersion(1, 2, 9)
    complete = Candidate(3, tables(heavy_weights), version)
    split = Validator(world).validate(now, complete)
    if split.outcome is Outcome.SPLIT:
        first = ProxyTables(split.steps[0].weights, frozenset(), (1, 1), (math.inf,) * 2)
        assert Validator(world).validate(now, Candidate(3, first, version)).has_passed
        assert Validator(world).validate(split.steps[1].not_before + 1, complete).has_passed


def test_update_that_needs_a_whole_slow_start_budget_is_split_at_every_age() -> None:
    """Guards against a verdict that depends on a rounding error.

    Here the update needs exactly the full capacity of the endpoint.
    """
    routes = (SETTINGS.routes[0],) * 3
    world = World(
        replace(SETTINGS, routes=routes, slow_start_fraction=0.3, slow_start_ticks=80_000, proxy_count=8)
    )

    def proxy_tables(weights: dict[str, float]) -> ProxyTables:
        return ProxyTables((weights,) * 3, frozenset(), (1,) * 3, (math.inf,) * 3)

    warm = {"a": 1.0, "b": 1.0, "c": 1.0}
    endpoints = [ValidatedEndpoint(name, EndpointMode.IN_SERVICE, 0, 0) for name in warm]
    world.endpoints.update_list(0, [*endpoints, ValidatedEndpoint("d", EndpointMode.IN_SERVICE, 0, 1)])
    world.add_proxy(0, "", (4 / 3,) * 3, proxy_tables(warm))
    candidate = Candidate(0, proxy_tables({**warm, "d": 12.0}), UpdateVersion(1, 1, 1))
    outcomes = {Validator(world).validate(age, candidate).outcome for age in range(40_000, 79_000, 13)}
    assert outcomes == {Outcome.SPLIT}


def test_rounding_error_does_not_exceed_a_limit() -> None:
    summed = 0.1 + 0.1 + 0.1
    assert summed != 0.3 and not exceeds(summed, 0.3) and not exceeds(0.3, summed)
    assert exceeds(0.3 * (1 + 1e-8), 0.3)


def test_exclusions_and_the_last_endpoints_pass_whatever_else_is_found() -> None:
    world = make_world()
    some = {"a": 1.0, "b": 1.0}
    world.add_proxy(0, "", (5.0, 5.0), tables(some))
    world.endpoints.update_list(0, endpoint_list(draining="ab"))
    assert validate(world, some).outcome is Outcome.REFUSED
    verdict = validate(world, some, excluded="ab")
    assert verdict.has_passed and "only excludes" in verdict.exemption
    world.endpoints.update_list(0, endpoint_list(draining="abcd"))
    late = validate(world, {"a": 1.0}, now=100 * TICKS_PER_SECOND)
    assert late.has_passed and "no endpoint is in service" in late.exemption
    assert (
        validate(world, some, excluded="ab", retries=(1, 3)).outcome is Outcome.REFUSED
    )  # a recovery never needs these retries


def test_shadow_mode_passes_and_says_what_it_would_have_done() -> None:
    verdict = Validator(make_world(), shadow=True).validate(
        0, Candidate(0, tables({}), UpdateVersion(1, 1, 1))
    )
    assert verdict.has_passed and verdict.exemption == "shadow: it would be refused" and verdict.findings


@pytest.mark.parametrize("name", list(FAILS_CLOSED))
def test_a_check_that_raises_fails_in_its_stated_direction(name: str) -> None:
    validator = Validator(make_world())

    def failing_check(*_: object) -> None:
        raise ZeroDivisionError("on purpose")

    validator.checks[name] = failing_check
    verdict = validator.validate(10 * TICKS_PER_SECOND, Candidate(0, tables(EVEN), UpdateVersion(1, 1, 1)))
    assert verdict.has_passed != FAILS_CLOSED[name] and "on purpose" in verdict.check_errors[0]
    assert set(validator.checks) == set(FAILS_CLOSED)


step = st.one_of(
    st.tuples(st.just("join"), st.integers(0, 2), st.integers(0, 4)),
    st.tuples(st.just("leave"), st.integers(0, 2)),
    st.tuples(st.just("send"), st.integers(0, 2), st.integers(0, 4)),
    st.tuples(st.just("acknowledge"), st.integers(0, 2)),
    st.tuples(st.just("rate"), st.integers(0, 2), st.integers(0, 9)),
)
CONTENTS = [
    tables(EVEN, key=1),
    tables({"a": 3.0, "b": 1.0}, key=2),
    tables({"c": 1.0}, key=3),
    tables({"a": 1.0, "d": 2.0}, excluded="d"),
    tables({}, key=5),
]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(step, max_size=80))
def test_running_sums_agree_with_a_full_recheck_on_every_history(steps: list[Any]) -> None:
    made = World(SETTINGS)
    sent = 0
    for what, proxy, *rest in steps:
        if what == "join":
            made.add_proxy(proxy, "", (1.0 + proxy, 2.0), CONTENTS[rest[0]])
        elif what == "leave":
            made.remove_proxy(proxy)
        elif proxy in made.proxies:
            if what == "send":
                sent += 1
                made.record_sent(sent, proxy, CONTENTS[rest[0]], UpdateVersion(1, 1, sent))
            elif what == "acknowledge":
                made.record_applied(proxy)
            else:
                made.update_rates(proxy, (float(rest[0]), 1.0))
        for name in "abcd":
            assert math.isclose(made.exposure(name), made.exposure_in_full(name), abs_tol=1e-6)
        keys = {key for record in made.proxies.values() for key in record.held}
        assert set(made.contents) == keys  # nothing that nobody holds is kept
        total = sum(sum(record.rates) for record in made.proxies.values())
        assert math.isclose(sum(made.total_rates), total, abs_tol=1e-6)


def test_offline_check_exits_with_the_code_of_the_verdict(tmp_path: Any) -> None:
    state = {
        "now_s": 100.0,
        "terms": {"drain_grace_s": 2.5, "cold_s": 10, "start_capacity": 0.25, "fall_multiple": 4,
                  "lines_per_s": 1600, "most_waiting_lines": 3200, "fleet": 2},
        "routes": [{"name": "read", "semantics": "repeatable"}, {"name": "write", "semantics": "mutating"}],
        "hosts": [{"name": name, "mode": "open"} for name in "abc"],
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
    for index, (candidate, code, text) in enumerate(cases):
        path = tmp_path / f"{index}.json"
        path.write_text(json.dumps([{"proxy": "p1", **candidate}]))
        result = CliRunner().invoke(main, ["guard", "check", str(path), "--state", str(tmp_path / "s.json")])
        assert result.exit_code == code and text in result.output, result.output
        json_result = CliRunner().invoke(
            main, ["guard", "check", str(path), "--state", str(tmp_path / "s.json"), "--json"]
        )
        assert json.loads(json_result.output)[0]["exit_code"] == code
    (tmp_path / "bad.json").write_text('[{"proxi": "p1"}]')
    result = CliRunner().invoke(
        main, ["guard", "check", str(tmp_path / "bad.json"), "--state", str(tmp_path / "s.json")]
    )
    assert result.exit_code == 2 and "proxi" in result.output

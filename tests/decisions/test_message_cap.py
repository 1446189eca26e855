"""Tests of the rules under a message cap: updates that keep a rule do not wait for the message spacing."""

from __future__ import annotations

import pytest
from builders import (
    DRAINING,
    IN_SERVICE,
    REMOVED,
    SECOND,
    SETTINGS,
    WARM,
    ControllerHarness,
    settings_with,
    start_fleet,
)
from hypothesis import given, settings
from hypothesis import strategies as st
from test_rules import STEP, RuleRun

from willowhook.decisions.message_cap import MessageCap
from willowhook.decisions.model import REPORT_BUCKETS
from willowhook.decisions.pacing import message_spacing

CAPS = pytest.mark.parametrize("message_cap", [2, 3, 12])


def start_capped_fleet(message_cap: int, endpoints: int = 8, proxies: int = 4) -> ControllerHarness:
    """Returns a fleet whose proxies were just bound, and thereby sent a message."""
    return start_fleet(settings_with(channel__message_cap=message_cap), endpoints, proxies)


def check_cap(harness: ControllerHarness) -> None:
    channel = harness.runtime.settings.channel
    for times in harness.runtime.message_times.values():
        for first, later in zip(times, times[channel.message_cap :], strict=False):
            assert later - first > channel.message_cap_window_ticks


@CAPS
def test_restarted_endpoint_has_its_slow_start_share_at_once(message_cap: int) -> None:
    harness = start_capped_fleet(message_cap)
    harness.advance(10)
    harness.receive_endpoint_list({"h2": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    rules = SETTINGS.rules
    for table in harness.runtime.tables:
        weights = harness.usable_weights(table)
        mean = sum(weights.values()) / len(weights)
        assert weights.get("h2", 0.0) <= rules.recovery_overload_factor * rules.slow_start_fraction * mean
    check_cap(harness)


@CAPS
def test_restarted_endpoint_is_not_out_of_use_until_the_next_spacing(message_cap: int) -> None:
    """Guards against an exclusion whose readmission has to wait until the window of the cap has passed."""
    harness = start_capped_fleet(message_cap, endpoints=1)
    harness.advance(10)
    harness.receive_endpoint_list({"h0": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    assert harness.usable_weights().keys() == {"h0"}
    check_cap(harness)


@CAPS
@pytest.mark.parametrize("state", [DRAINING, REMOVED])
def test_endpoint_that_drains_just_after_a_message_is_excluded_within_the_grace(
    message_cap: int, state: object
) -> None:
    harness = start_capped_fleet(message_cap)
    harness.advance(10)
    listed_at = harness.now
    harness.receive_endpoint_list({"h2": (state, 0)}, is_complete=False)  # type: ignore[dict-item]
    harness.flush()
    grace = SETTINGS.rules.drain_grace_ticks - SETTINGS.channel.max_delay_ticks
    while not harness.runtime.excluded.get("h2"):
        harness.advance(SECOND // 10)
        assert harness.now - listed_at <= grace
    check_cap(harness)


@CAPS
def test_proxy_that_joins_just_after_a_message_is_bound_in_time(message_cap: int) -> None:
    harness = start_capped_fleet(message_cap)
    harness.advance(10)
    harness.join_proxy(4)
    harness.flush()
    harness.advance(SETTINGS.rules.empty_table_grace_ticks - SETTINGS.channel.max_delay_ticks)
    assert set(harness.runtime.bindings[4]) == set(range(len(SETTINGS.routes)))
    check_cap(harness)


@CAPS
def test_table_that_loses_its_last_endpoint_just_after_a_message_is_filled(message_cap: int) -> None:
    harness = start_capped_fleet(message_cap, endpoints=2)  # only h1 is allowed for the fast-only route
    harness.advance(10)
    harness.receive_endpoint_list({"h1": (REMOVED, 0), "h3": WARM}, is_complete=False)
    emptied_at = harness.now
    harness.flush()
    fast_only = harness.runtime.bindings[0][2]
    while harness.usable_weights(fast_only).keys() != {"h3"}:
        harness.advance(SECOND // 10)
        assert harness.now - emptied_at <= SETTINGS.rules.empty_table_grace_ticks
    check_cap(harness)


@CAPS
def test_urgent_messages_include_updates_that_wait_for_the_spacing(message_cap: int) -> None:
    """Guards against weights and readmissions that are never sent while endpoints drain one after another."""
    harness = start_capped_fleet(message_cap)
    harness.receive_endpoint_list({"h1": (DRAINING, 0)}, is_complete=False)
    harness.advance(2 * SECOND)
    harness.receive_endpoint_list({"h1": WARM}, is_complete=False)
    for k in range(2, 7):
        harness.receive_endpoint_list({f"h{k}": (DRAINING, 0)}, is_complete=False)
        harness.advance(6 * SECOND)
    assert harness.usable_weights().keys() >= {"h1"}
    check_cap(harness)


@CAPS
def test_ejection_waits_at_most_for_the_spacing(message_cap: int) -> None:
    harness = start_capped_fleet(message_cap)
    began_at = harness.now
    longest = message_spacing(harness.runtime.settings.channel) + REPORT_BUCKETS * SECOND
    while "h2" in harness.usable_weights():
        for k in range(8):
            harness.report_endpoint(f"h{k}", 20, 20 if k == 2 else 0, 40.0)
        harness.advance(SECOND // 2)
        assert harness.now - began_at <= longest
    check_cap(harness)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(STEP, min_size=20, max_size=60), st.sampled_from([1, 2, 3, 5]))
def test_message_cap_is_kept_however_much_happens(
    steps: list[tuple[int, int, int, float]], message_cap: int
) -> None:
    run = RuleRun(ControllerHarness(settings_with(channel__message_cap=message_cap)), 1)
    run._check = run._check_channel  # type: ignore[method-assign]
    run.play(steps)


def test_message_cap_counts_from_joining_and_within_the_window() -> None:
    cap = MessageCap(settings_with(channel__message_cap=2).channel)
    cap.add_proxy(7)
    cap.record_messages(0, [7])
    assert cap.allows(0, [7]) and not cap.has_no_recent_messages(0, 7)
    cap.record_messages(10, [7])
    assert not cap.allows(10 * SECOND, [7])
    assert cap.allows(11 * SECOND, [7]) and cap.has_no_recent_messages(11 * SECOND, 7)
    cap.remove_proxy(7)
    cap.add_proxy(7)
    assert cap.has_no_recent_messages(10, 7)


def test_message_cap_reserves_one_message_for_updates_that_keep_a_rule() -> None:
    cap = MessageCap(settings_with(channel__message_cap=3).channel)
    cap.add_proxy(7)
    cap.record_messages(0, [7])
    assert cap.allows_with_reserve(0, [7])
    cap.record_messages(0, [7])
    assert cap.allows(0, [7]) and not cap.allows_with_reserve(0, [7])

"""Tests of endpoint list handling: applied changes, implausible lists, and repeated requests."""

from __future__ import annotations

from itertools import pairwise

import pytest
from builders import IN_SERVICE, REMOVED, SECOND, WARM, ControllerHarness, settings_with, start_fleet

from willowhook.decisions.events import EndpointListLost
from willowhook.ticks import TICKS_PER_MILLISECOND


def test_endpoint_missing_from_a_complete_list_is_removed_and_returns_in_slow_start() -> None:
    harness = start_fleet()
    harness.receive_endpoint_list({f"h{k}": WARM for k in range(7)})
    harness.flush()
    assert harness.runtime.excluded["h7"]
    harness.advance(5 * SECOND)
    harness.report_endpoint("h0", 10, 0, 100)
    harness.report_requests(0, "read", 10)
    harness.advance(2 * SECOND)
    harness.receive_endpoint_list({"h7": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    assert not harness.runtime.excluded["h7"] and 0 < harness.usable_weights()["h7"] <= 0.25


@pytest.mark.parametrize("listed", [0, 2])
def test_implausible_list_removes_only_failing_endpoints(listed: int) -> None:
    harness = start_fleet(endpoints=8)
    complete = {f"h{k}": (IN_SERVICE, 0) for k in range(8)}
    partial = dict(list(complete.items())[:listed])
    for _ in range(4):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 20, 20 if k == 7 else 0, 100.0)
        harness.advance(SECOND // 2)
    harness.receive_endpoint_list(partial)
    harness.flush()
    assert harness.runtime.excluded == {"h7": True} and not harness.runtime.fetch_count
    for _ in range(8):  # h6 stops answering too, as it was removed
        for k in range(6):
            harness.report_endpoint(f"h{k}", 20, 0, 100.0)
        harness.advance(SECOND // 2)
    assert harness.runtime.fetch_count
    harness.receive_endpoint_list(partial)
    harness.flush()
    harness.advance(SECOND)
    assert harness.runtime.excluded == {"h7": True, "h6": True}
    previous_fetch_count = harness.runtime.fetch_count
    harness.receive_endpoint_list(dict(list(complete.items())[:6]))
    harness.advance(8 * SECOND)
    assert harness.runtime.fetch_count == previous_fetch_count
    assert set(harness.usable_weights()) <= {f"h{k}" for k in range(6)}
    harness.receive_endpoint_list(
        dict(list(complete.items())[:3])
    )  # a list may remove half of the endpoints at once
    harness.flush()
    harness.advance(SECOND)
    assert sum(harness.runtime.excluded.values()) == 5


def test_failed_endpoint_list_request_is_repeated() -> None:
    harness = start_fleet()
    assert harness.runtime.watch_count == 1
    harness.controller.handle(harness.now, EndpointListLost())
    harness.advance(3 * SECOND)
    assert harness.runtime.watch_count == 2 and len(harness.usable_weights()) == 8


@pytest.mark.parametrize("drain_grace_ms", [1500, 2800, 10_000])
def test_lost_list_is_requested_again_within_an_eighth_of_the_drain_grace_after_each_loss(
    drain_grace_ms: int,
) -> None:
    """Guards against drains that come too late: the grace of an answer that was lost is running already."""
    drain_grace_ticks = drain_grace_ms * TICKS_PER_MILLISECOND
    harness = start_fleet(settings_with(rules__drain_grace_ticks=drain_grace_ticks))
    for losses in range(20):
        harness.controller.handle(harness.now, EndpointListLost())
        harness.flush()
        watch_count = harness.runtime.watch_count
        harness.advance(drain_grace_ticks // 8)  # idle: nothing but the controller's own timers
        assert harness.runtime.watch_count == watch_count + 1, f"not requested after {losses + 1} losses"


def test_pauses_after_losses_grow_and_start_anew_after_a_list() -> None:
    harness = start_fleet(settings_with(rules__drain_grace_ticks=16 * SECOND))
    pauses = [measure_pause_after_a_loss(harness) for _ in range(9)]
    assert max(pauses[:1]) <= SECOND // 10 and min(pauses[-3:]) >= SECOND
    harness.receive_endpoint_list({f"h{k}": WARM for k in range(8)})
    assert measure_pause_after_a_loss(harness) <= SECOND // 10


def measure_pause_after_a_loss(harness: ControllerHarness) -> int:
    harness.controller.handle(harness.now, EndpointListLost())
    harness.flush()
    started_at = harness.now
    watch_count = harness.runtime.watch_count
    while harness.runtime.watch_count == watch_count:
        harness.advance(SECOND // 100)
    return harness.now - started_at


def test_pauses_are_limited_by_the_poll_interval_where_it_is_shorter() -> None:
    harness = start_fleet(
        settings_with(rules__drain_grace_ticks=16 * SECOND, rules__discovery_poll_ticks=SECOND)
    )
    assert max(measure_pause_after_a_loss(harness) for _ in range(9)) <= SECOND // 3 + SECOND // 100


def test_losses_change_neither_the_number_nor_the_times_of_evaluations() -> None:
    """Guards against a request that takes the place of an evaluation, or starts a second series of them."""
    harness = start_fleet()
    evaluated_at: list[int] = []
    harness.controller.exclusions.log_if_late = evaluated_at.append  # type: ignore[method-assign]
    for _ in range(30):
        harness.controller.handle(harness.now, EndpointListLost())
        harness.flush()
        harness.advance(SECOND // 7)
    intervals = {later - earlier for earlier, later in pairwise(evaluated_at)}
    assert len(evaluated_at) >= 8 and intervals == {SECOND // 2}


def test_repeated_losses_are_logged_while_the_pause_grows() -> None:
    harness = start_fleet()
    for _ in range(50):
        harness.controller.handle(harness.now, EndpointListLost())
        harness.advance(SECOND)
    lines = [line for line in harness.runtime.log_lines if line.startswith("endpoint list lost")]
    assert 1 <= len(lines) <= 5 and lines[0] == "endpoint list lost retry_within_seconds=0.1"


def test_removed_endpoints_are_dropped_and_may_return_in_slow_start() -> None:
    harness = start_fleet()
    most_known = 0
    for number in range(40):  # each step replaces an endpoint by one with a new name
        harness.receive_endpoint_list(
            {f"h{number}": (REMOVED, 0), f"h{number + 8}": (IN_SERVICE, harness.now)}, is_complete=False
        )
        harness.report_endpoint(f"h{number + 7}", 10, 0, 100)
        harness.report_requests(0, "read", 10)
        harness.advance(6 * SECOND)
        most_known = max(most_known, len(harness.controller.endpoints), len(harness.runtime.excluded))
    assert most_known < 16 and len(harness.controller.exclusions._changed) < 16
    harness.receive_endpoint_list({"h0": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.advance(4 * SECOND)
    assert 0 < harness.usable_weights()["h0"] < 1

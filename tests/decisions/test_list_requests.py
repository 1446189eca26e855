"""Tests of the requests for the endpoint list: pauses after losses, their timers and log lines."""

from __future__ import annotations

from itertools import pairwise

import pytest
from builders import IN_SERVICE, SECOND, WARM, ControllerHarness, settings_with, start_fleet

from willowhook.decisions.events import EndpointListLost
from willowhook.ticks import TICKS_PER_MILLISECOND


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


IMPLAUSIBLE_LIST = {f"h{k}": WARM for k in range(3)}  # of the eight endpoints that `start_fleet` lists


def start_with_implausible_list(drain_grace_ticks: int = 2 * SECOND) -> ControllerHarness:
    """Returns a controller that has just received a list that lacks most endpoints, all of which answer."""
    harness = start_fleet(settings_with(rules__drain_grace_ticks=drain_grace_ticks))
    receive_implausible_list(harness)
    return harness


def receive_implausible_list(harness: ControllerHarness, is_complete: bool = True) -> None:
    for k in range(8):
        harness.report_endpoint(f"h{k}", 20, 0, 100.0)
    harness.receive_endpoint_list(IMPLAUSIBLE_LIST, is_complete)
    harness.flush()


def test_complete_list_is_not_fetched_again_before_an_answer() -> None:
    """Guards against fetches that replace one another, so that a slow discovery's answers never arrive."""
    harness = start_with_implausible_list()
    harness.advance(20 * SECOND)
    assert harness.runtime.fetch_count == 1
    receive_implausible_list(harness, is_complete=False)  # changes are no answer to the fetch
    harness.advance(20 * SECOND)
    assert harness.runtime.fetch_count == 1
    receive_implausible_list(harness)
    harness.advance(20 * SECOND)
    assert harness.runtime.fetch_count == 2


@pytest.mark.parametrize("drain_grace_ms", [1500, 2000, 3100])
def test_implausible_list_is_fetched_again_a_quarter_of_the_drain_grace_after_it_came(
    drain_grace_ms: int,
) -> None:
    interval_ticks = drain_grace_ms * TICKS_PER_MILLISECOND // 4
    harness = start_with_implausible_list(4 * interval_ticks)
    for fetches in range(5):
        assert harness.controller.ticks_until_list_fetch(harness.now) == interval_ticks
        harness.advance(interval_ticks - 1)
        assert harness.runtime.fetch_count == fetches
        harness.advance(1)
        assert harness.runtime.fetch_count == fetches + 1
        assert harness.controller.ticks_until_list_fetch(harness.now) is None
        harness.advance(7 * interval_ticks // 3)  # what the answer takes
        receive_implausible_list(harness)


def test_fetch_that_is_lost_is_repeated_with_the_watch_after_each_loss() -> None:
    """Guards against an implausible list that stays in force because the answer to its fetch was lost."""
    harness = start_with_implausible_list()
    harness.advance(SECOND // 2)
    for losses in range(1, 9):
        assert harness.runtime.fetch_count == losses
        watch_count = harness.runtime.watch_count
        harness.controller.handle(harness.now, EndpointListLost())
        harness.flush()
        assert harness.runtime.fetch_count == losses
        harness.advance(SECOND // 4)
        assert harness.runtime.fetch_count == losses + 1
        assert harness.runtime.watch_count == watch_count + 1
    harness.receive_endpoint_list({f"h{k}": WARM for k in range(8)})
    harness.controller.handle(harness.now, EndpointListLost())
    harness.advance(20 * SECOND)
    assert harness.runtime.fetch_count == 9


def test_fetch_that_is_scheduled_does_not_shorten_the_pause_after_a_loss() -> None:
    harness = start_with_implausible_list(drain_grace_ticks=16 * SECOND)
    for _ in range(9):
        harness.controller.handle(harness.now, EndpointListLost())
        harness.flush()
        watch_count = harness.runtime.watch_count
        while harness.runtime.watch_count == watch_count:
            assert not harness.runtime.fetch_count
            harness.advance(SECOND // 100)
        if harness.runtime.fetch_count:
            break
    assert harness.now >= 4 * SECOND and harness.runtime.fetch_count == 1


def test_plausible_list_ends_the_fetches() -> None:
    harness = start_with_implausible_list()
    harness.receive_endpoint_list({f"h{k}": (IN_SERVICE, 0) for k in range(8)})
    harness.advance(20 * SECOND)
    assert not harness.runtime.fetch_count

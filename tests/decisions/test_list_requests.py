"""Tests of the requests for the endpoint list: pauses after losses, their timers and log lines."""

from __future__ import annotations

from itertools import pairwise

import pytest
from builders import SECOND, WARM, ControllerHarness, settings_with, start_fleet

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

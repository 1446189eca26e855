"""Tests of endpoint list handling: applied changes, implausible lists, and repeated requests."""

from __future__ import annotations

import pytest
from builders import IN_SERVICE, REMOVED, SECOND, WARM, settings_with, start_fleet

from willowhook.decisions.events import EndpointListLost


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


@pytest.mark.parametrize("reports_late_ticks", [0, SECOND // 2, 3 * SECOND // 2])
def test_endpoints_that_left_with_most_others_are_excluded_within_the_drain_grace(
    reports_late_ticks: int,
) -> None:
    """Guards against an implausible list that is right: endpoints that left stay in use past the grace."""
    drain_grace_ticks = 2 * SECOND
    harness = start_fleet(settings_with(rules__drain_grace_ticks=drain_grace_ticks), endpoints=11)
    lost = [f"h{k}" for k in range(6)]
    lost_at = 5 * SECOND
    listed_at = lost_at + 7 * SECOND // 10
    excluded_at: dict[str, int] = {}
    for step in range(100):
        now = step * SECOND // 10
        harness.advance(now - harness.now)
        if now == listed_at:  # discovery answers nothing more after this list
            harness.receive_endpoint_list({f"h{k}": WARM for k in range(6, 11)})
        if now % (SECOND // 2) == 0:
            is_down = now - reports_late_ticks > lost_at
            for k in range(11):
                harness.report_endpoint(f"h{k}", 10, 10 if is_down and k < 6 else 0, 100.0)
        harness.flush()
        for name in lost:
            if harness.runtime.excluded.get(name):
                excluded_at.setdefault(name, now)
    assert set(excluded_at) == set(lost)
    max_delay_ticks = harness.runtime.settings.channel.max_delay_ticks
    assert max(excluded_at.values()) <= listed_at + drain_grace_ticks - max_delay_ticks
    assert sorted(harness.usable_weights()) == sorted(f"h{k}" for k in range(6, 11))


def test_endpoints_that_an_implausible_list_lacks_stay_in_service_while_nothing_is_reported() -> None:
    """Guards against a stall of the reports that is taken for the end of most endpoints."""
    harness = start_fleet()
    for _ in range(4):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 10, 0, 100.0)
        harness.advance(SECOND // 2)
    harness.receive_endpoint_list({"h0": WARM})
    harness.advance(10 * SECOND)
    assert len(harness.usable_weights()) == 8
    harness.receive_endpoint_list({f"h{k}": WARM for k in range(8)})
    for _ in range(4):  # listed again: outlier detection alone judges failures
        for k in range(8):
            harness.report_endpoint(f"h{k}", 10, 6 if k == 7 else 0, 100.0)
        harness.advance(SECOND // 2)
    assert len(harness.usable_weights()) == 8


def test_failed_endpoint_list_request_is_repeated() -> None:
    harness = start_fleet()
    assert harness.runtime.watch_count == 1
    harness.controller.handle(harness.now, EndpointListLost())
    harness.advance(3 * SECOND)
    assert harness.runtime.watch_count == 2 and len(harness.usable_weights()) == 8


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

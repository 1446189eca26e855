"""Tests of readmissions at proxies that may hold exclusions of other controllers."""

from __future__ import annotations

import pytest
from builders import (
    DRAINING,
    IN_SERVICE,
    REMOVED,
    SECOND,
    WARM,
    ControllerHarness,
    settings_with,
    start_fleet,
)

from willowhook.decisions import readmissions

SETTINGS = settings_with(exclusions_outlive_sessions=True)


def start_after_another_controller(proxies: int = 4) -> ControllerHarness:
    """Returns a controller with 8 endpoints that odd proxies joined from another one, and even ones fresh."""
    harness = start_fleet(SETTINGS, proxies=0)
    for _ in range(3):  # the endpoints that are listed later count as new
        harness.receive_endpoint_list({f"h{k}": WARM for k in range(8)})
    report_and_advance(harness, 20)  # longer than slow start
    for proxy in range(proxies):
        harness.join_proxy(proxy, is_fresh=proxy % 2 == 0)
    harness.flush()
    report_and_advance(harness, 5)
    assert set(harness.runtime.bindings) == set(range(proxies))
    return harness


def report_and_advance(harness: ControllerHarness, seconds: int) -> None:
    for _ in range(seconds):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 10, 0, 100)
        for proxy in harness.runtime.joined_proxies:
            harness.report_requests(proxy, "read", 10)
        harness.advance(SECOND)


def test_endpoint_first_listed_after_the_bind_is_readmitted_where_it_may_be_excluded() -> None:
    """Guards against endpoints that stay excluded for good after their controller was restarted."""
    harness = start_after_another_controller()
    harness.receive_endpoint_list({"h9": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    report_and_advance(harness, 4)
    assert harness.runtime.readmitted_for_proxy == {1: ["h9"], 3: ["h9"]}
    assert harness.usable_weights()["h9"] > 0
    report_and_advance(harness, 8)
    assert harness.runtime.readmitted_for_proxy == {1: ["h9"], 3: ["h9"]}


def test_readmission_goes_in_the_message_of_the_weight_and_costs_one_entry() -> None:
    harness = start_after_another_controller()
    messages: list[dict[int, int]] = []
    send_messages = harness.runtime.send_messages

    def record_and_send() -> None:
        messages.append(dict(harness.runtime.pending_entries))
        send_messages()

    harness.runtime.send_messages = record_and_send  # type: ignore[method-assign]
    harness.receive_endpoint_list({"h9": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    while not harness.runtime.readmitted_for_proxy:
        report_and_advance(harness, 1)
        assert harness.now < 60 * SECOND
    (entries,) = [each for each in messages if len(set(each.values())) > 1]
    assert entries[1] == entries[0] + 1 and entries[3] == entries[2] + 1


def test_endpoint_without_a_weight_is_readmitted_after_a_third_of_slow_start() -> None:
    harness = start_after_another_controller()
    harness.controller.updater.update = lambda *_: False  # type: ignore[method-assign]
    harness.receive_endpoint_list({"h9": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    report_and_advance(harness, 4)
    assert not harness.runtime.readmitted_for_proxy
    report_and_advance(harness, 2)
    assert harness.runtime.readmitted_for_proxy == {1: ["h9"], 3: ["h9"]}


def test_endpoint_first_listed_before_the_bind_is_readmitted_after_it() -> None:
    harness = start_after_another_controller()
    harness.receive_endpoint_list({"h9": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    report_and_advance(harness, 20)  # longer than slow start
    harness.join_proxy(5, is_fresh=False)
    harness.flush()
    report_and_advance(harness, 6)
    assert harness.runtime.readmitted_for_proxy[5] == ["h9"]


def test_endpoint_that_returns_after_it_was_dropped_is_readmitted_at_all_proxies() -> None:
    harness = start_after_another_controller()
    harness.receive_endpoint_list({"h7": (REMOVED, 0)}, is_complete=False)
    harness.flush()
    report_and_advance(harness, 40)
    assert "h7" not in harness.controller.endpoints
    harness.receive_endpoint_list({"h7": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    report_and_advance(harness, 4)
    assert {proxy: names for proxy, names in harness.runtime.readmitted_for_proxy.items()} == {
        proxy: ["h7"] for proxy in range(4)
    }


def test_endpoint_that_drains_again_before_its_readmission_is_left_excluded() -> None:
    harness = start_after_another_controller()
    harness.receive_endpoint_list({"h9": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.receive_endpoint_list({"h9": (DRAINING, harness.now)}, is_complete=False)
    harness.flush()
    report_and_advance(harness, 8)
    assert not harness.runtime.readmitted_for_proxy


def test_proxy_that_waits_to_be_bound_is_not_sent_readmissions() -> None:
    """Guards against a warming endpoint that a proxy uses with its weight from before the restart."""
    harness = start_after_another_controller(proxies=0)
    harness.controller.pending_binds.add = lambda *_, **__: None  # type: ignore[method-assign]
    harness.join_proxy(1, is_fresh=False)
    harness.receive_endpoint_list({"h9": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    report_and_advance(harness, 8)
    assert not harness.runtime.readmitted_for_proxy


def test_readmissions_of_many_new_endpoints_wait_for_a_short_queue() -> None:
    """Guards against readmissions that delay binds and exclusions, or pass the limit of the queue."""
    harness = start_after_another_controller(proxies=120)
    listed = {f"h{k}": (IN_SERVICE, harness.now) for k in range(8, 48)}
    harness.receive_endpoint_list(listed, is_complete=False)
    harness.flush()
    longest = 0.0
    for _ in range(300):
        harness.advance(SECOND // 10)
        longest = max(longest, harness.runtime.queued_entries)
    assert longest <= SETTINGS.channel.queue_limit_entries
    assert all(
        sorted(harness.runtime.readmitted_for_proxy[proxy]) == sorted(listed) for proxy in range(1, 120, 2)
    )


def test_number_of_remembered_names_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(readmissions, "MAX_DROPPED_NAMES", 3)
    harness = start_after_another_controller(proxies=0)
    tracker = harness.controller._readmissions
    for name in ("a", "b", "c", "d"):
        tracker.drop_endpoint(name)
    assert list(tracker._dropped) == ["b", "c", "d"]

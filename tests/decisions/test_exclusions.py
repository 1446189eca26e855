"""Tests of exclusions and readmissions of draining, removed and returning endpoints."""

from __future__ import annotations

from builders import DRAINING, IN_SERVICE, REMOVED, SECOND, settings_with, start_fleet


def test_draining_endpoint_is_excluded_at_once() -> None:
    harness = start_fleet()
    harness.receive_endpoint_list({"h2": (DRAINING, 0)}, is_complete=False)
    harness.flush()
    assert harness.runtime.excluded["h2"] and "h2" not in harness.usable_weights()


def test_exclusions_in_a_large_fleet_go_in_few_messages_and_in_time() -> None:
    settings = settings_with(
        fleet__proxy_count=200, channel__queue_limit_entries=5000, channel__entries_per_second=3000
    )
    harness = start_fleet(settings, endpoints=60, proxies=200)
    harness.advance(2 * SECOND)
    for k in range(16):
        harness.receive_endpoint_list({f"h{k}": (DRAINING, 0)}, is_complete=False)
        harness.flush()
        harness.advance(SECOND // 8)
        assert harness.runtime.queued_entries <= 5000
    harness.advance(SECOND)
    assert all(harness.runtime.excluded[f"h{k}"] for k in range(16))


def test_warming_endpoint_is_readmitted_once_no_proxy_waits_to_be_bound() -> None:
    settings = settings_with(
        fleet__proxy_count=160, channel__entries_per_second=800, channel__queue_limit_entries=1700
    )
    harness = start_fleet(settings, endpoints=60)
    harness.advance(SECOND)
    harness.receive_endpoint_list({"h0": (REMOVED, 0)}, is_complete=False)
    harness.flush()
    for proxy in range(60, 160):
        harness.join_proxy(proxy)
    harness.flush()
    harness.receive_endpoint_list({"h0": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    harness.advance(SECOND // 4)
    assert len(harness.controller.pending_binds) and harness.runtime.excluded["h0"]
    harness.advance(12 * SECOND)
    assert not harness.controller.pending_binds and not harness.runtime.excluded["h0"]

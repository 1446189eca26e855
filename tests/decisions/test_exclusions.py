"""Tests of exclusions and readmissions of draining, removed and returning endpoints."""

from __future__ import annotations

from builders import DRAINING, IN_SERVICE, REMOVED, SECOND, WARM, settings_with, start_fleet


def test_draining_endpoint_is_excluded_at_once() -> None:
    harness = start_fleet()
    harness.receive_endpoint_list({"h2": (DRAINING, 0)}, is_complete=False)
    harness.flush()
    assert harness.runtime.excluded["h2"] and "h2" not in harness.usable_weights()


def test_exclusions_in_a_large_fleet_are_batched_and_in_time() -> None:
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


def test_exclusions_are_not_sent_one_by_one_while_the_queue_drains() -> None:
    """Guards against messages whose overhead takes most of the channel's rate."""
    settings = settings_with(
        fleet__proxy_count=40, channel__entries_per_second=800, channel__queue_limit_entries=3200
    )
    harness = start_fleet(settings, endpoints=60, proxies=40)
    harness.advance(4 * SECOND)
    harness.runtime.queued_entries = harness.controller.channel.queued = 3000.0
    draining = {f"h{k}": (DRAINING, 0) for k in range(30)}
    harness.receive_endpoint_list(draining, is_complete=False)
    batches = []
    while sum(harness.runtime.excluded.get(name, False) for name in draining) < len(draining):
        before = harness.runtime.exclusion_count
        harness.advance(SECOND // 20)
        harness.flush()
        batches.append(harness.runtime.exclusion_count - before)
        assert len(batches) < 200
    overhead = harness.controller.channel.overhead_entries
    sizes = [size for size in batches if size]
    assert all(size >= overhead for size in sizes[:-1]), sizes


def test_exclusions_that_wait_for_long_are_logged_once_with_what_is_ahead_of_them() -> None:
    """Guards against late exclusions without a log line that gives the reason."""
    settings = settings_with(
        fleet__proxy_count=40, channel__entries_per_second=800, channel__queue_limit_entries=3200
    )
    harness = start_fleet(settings, endpoints=60, proxies=40)
    harness.advance(4 * SECOND)
    harness.receive_endpoint_list({"h0": (DRAINING, 0)}, is_complete=False)
    harness.flush()
    harness.advance(4 * SECOND)
    assert not [line for line in harness.runtime.log_lines if line.startswith("exclusions late")]
    for _ in range(2):  # two separate periods with late exclusions
        harness.runtime.queued_entries = harness.controller.channel.queued = 3000.0
        draining = {f"h{k}": (DRAINING, 0) for k in range(1, 31)}
        harness.receive_endpoint_list(draining, is_complete=False)
        harness.flush()
        harness.advance(8 * SECOND)
        harness.receive_endpoint_list({name: WARM for name in draining}, is_complete=False)
        harness.flush()
        harness.advance(8 * SECOND)
    late_lines = [line for line in harness.runtime.log_lines if line.startswith("exclusions late")]
    assert (
        len(late_lines) == 2 and " waiting_proxies=0" in late_lines[0] and " endpoints=30 " in late_lines[0]
    )


def test_healthy_endpoints_that_wait_for_the_spacing_are_not_logged_as_late() -> None:
    """Guards against a log line on late exclusions under a message cap when nothing is to be excluded."""
    settings = settings_with(channel__message_cap=2, channel__message_cap_window_ticks=30 * SECOND)
    harness = start_fleet(settings)
    harness.advance(SECOND)
    for _ in range(3):
        harness.receive_endpoint_list({f"h{k}": WARM for k in range(8)})
        harness.flush()
        harness.advance(6 * SECOND)
    assert not [line for line in harness.runtime.log_lines if line.startswith("exclusions late")]


def test_exclusions_without_a_drain_grace_are_sent_at_once() -> None:
    """Guards against a crash with a drain grace of 0, which settings may state."""
    harness = start_fleet(settings_with(rules__drain_grace_ticks=0))
    harness.advance(2 * SECOND)
    assert not [line for line in harness.runtime.log_lines if line.startswith("exclusions late")]
    harness.receive_endpoint_list({f"h{k}": (DRAINING, 0) for k in range(3)}, is_complete=False)
    harness.flush()
    harness.advance(SECOND)
    assert [name for name, is_excluded in harness.runtime.excluded.items() if is_excluded] == [
        "h0",
        "h1",
        "h2",
    ]

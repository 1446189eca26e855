"""Tests of reminders of earlier exclusions."""

from __future__ import annotations

from builders import DRAINING, SECOND, settings_with, start_fleet


def test_waiting_proxy_is_reminded_of_an_exclusion_before_it_joined() -> None:
    harness = start_fleet(endpoints=60)
    harness.advance(SECOND)
    harness.receive_endpoint_list({"h0": (DRAINING, 0)}, is_complete=False)
    harness.flush()
    for proxy in range(60, 160):
        harness.join_proxy(proxy, is_fresh=False)
    harness.flush()
    sent = harness.runtime.exclusion_count
    harness.advance(2 * SECOND)
    assert harness.runtime.exclusion_count == sent + 1 and harness.runtime.excluded["h0"]


def test_waiting_proxy_is_reminded_of_all_earlier_exclusions_however_old() -> None:
    settings = settings_with(
        exclusions_outlive_sessions=True,
        rules__drain_grace_ticks=4 * SECOND,
        channel__entries_per_second=6000,
    )
    harness = start_fleet(settings, endpoints=60)
    harness.advance(SECOND)
    for k in range(3):
        harness.receive_endpoint_list({f"h{k}": (DRAINING, 0)}, is_complete=False)
        harness.flush()
        harness.advance(4 * SECOND)
    for proxy in range(60, 160):  # a fresh proxy has a bootstrap table from the initial list
        harness.join_proxy(proxy, is_fresh=proxy % 2 == 0)
    harness.flush()
    harness.advance(SECOND)
    waiting = [proxy for proxy in range(60, 160) if proxy not in harness.runtime.bindings]
    assert len(waiting) > 10
    harness.advance(SECOND // 2)
    excluded = harness.runtime.excluded_for_proxy
    assert all(set(excluded[proxy]) == {"h0", "h1", "h2"} for proxy in waiting)
    harness.advance(4 * SECOND)
    assert all(len(names) == 3 for names in harness.runtime.excluded_for_proxy.values())

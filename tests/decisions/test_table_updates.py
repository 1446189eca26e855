"""Tests of table updates: which changes are sent, in which order, and when."""

from __future__ import annotations

from builders import IN_SERVICE, SECOND, WARM, settings_with, start_fleet


def test_proxy_bound_to_an_empty_table_gets_the_first_listed_endpoints_at_once() -> None:
    """Guards against tables that stay empty after the first request for the endpoint list failed."""
    harness = start_fleet(endpoints=0)
    harness.advance(SECOND)
    harness.receive_endpoint_list({f"h{k}": WARM for k in range(2)})
    harness.flush()
    assert set(harness.usable_weights()) == {"h0", "h1"}
    harness.advance(SECOND)
    harness.receive_endpoint_list({"h4": WARM, "h5": WARM})  # all others are removed
    harness.flush()
    assert set(harness.usable_weights()) == {"h4", "h5"}


def test_changed_weights_of_all_tables_are_sent_by_magnitude() -> None:
    settings = settings_with(fleet__cross_zone_price=0.08, channel__entry_price=0.01)
    harness = start_fleet(settings, endpoints=80, proxies=60)
    harness.advance(20 * SECOND)
    for endpoint in harness.controller.endpoints.values():
        endpoint.latency_factor = 0.5
    harness.controller.updater.has_changes = True
    harness.advance(24 * SECOND)
    used = {table for bound in harness.runtime.bindings.values() for table in bound.values()}
    assert len(used) == 4
    assert all(max(harness.usable_weights(table).values()) < 0.6 for table in used)


def test_changed_weights_wait_for_the_solver_and_are_sent_as_one_batch() -> None:
    settings = settings_with(channel__entry_price=0.001)
    harness = start_fleet(settings, endpoints=20, proxies=40)
    harness.advance(20 * SECOND)
    before = {proxy: len(times) for proxy, times in harness.runtime.message_times.items()}
    for endpoint in harness.controller.endpoints.values():
        endpoint.latency_factor = 0.5
    harness.advance(SECOND)  # drifting weights alone cause no message
    assert {proxy: len(times) for proxy, times in harness.runtime.message_times.items()} == before
    harness.controller.updater.has_changes = True
    harness.advance(SECOND // 2)
    changed = sum(weight == 0.5 for weight in harness.usable_weights().values())
    assert changed > 15  # not a few entries per message, as its overhead is seven
    assert {len(times) - before[proxy] for proxy, times in harness.runtime.message_times.items()} == {1}
    grace_ticks = settings.rules.drain_grace_ticks
    left_ticks = grace_ticks - settings.channel.max_delay_ticks - grace_ticks // 8
    in_time = left_ticks * settings.channel.entries_per_second / SECOND
    assert harness.controller.channel.queued + 40 * 8 <= in_time + 40  # an exclusion still arrives in time


def test_update_batches_to_a_stalled_channel_wait_for_acknowledgements() -> None:
    """Guards against a full queue: several batches may be sent before an acknowledgement is overdue."""
    settings = settings_with(channel__entry_price=0.001, channel__max_delay_ticks=15_000)
    harness = start_fleet(settings, endpoints=40, proxies=40)
    harness.advance(20 * SECOND)
    highest = 0.0
    for step in range(8):
        for k, endpoint in enumerate(harness.controller.endpoints.values()):
            endpoint.latency_factor = 1.6 if (k + step) % 2 else 0.6
        harness.controller.updater.has_changes = True
        harness.advance(SECOND // 2, 0.0)
        highest = max(highest, harness.runtime.queued_entries)
    assert 0.2 < highest / settings.channel.queue_limit_entries < 0.85


def test_resends_take_at_most_a_twentieth_of_the_channel_rate() -> None:
    harness = start_fleet(endpoints=40, proxies=40)
    harness.advance(15 * SECOND)
    first = harness.controller.channel.last_marker
    for second in range(60):
        if second % 2 == 0:
            harness.remove_proxy(second % 7)
            harness.join_proxy(second % 7, is_fresh=False)
            harness.flush()
        harness.controller.updater.has_changes = True
        harness.advance(SECOND)
    assert harness.controller.channel.last_marker - first < 30 + 60 * 0.05 * 1600 * 2 / (40 * 8)


def test_endpoint_that_enters_under_load_shedding_waits_for_no_weight_update() -> None:
    waits = []
    for admitted_fraction in (1.4, 0.8):
        harness = start_fleet()
        for _ in range(12):
            for k in range(8):
                harness.report_endpoint(f"h{k}", 10, 0, 100, cpu_utilization=0.8)
            harness.report_requests(0, "read", 10)
            harness.advance(SECOND)
        solver, start = harness.controller.solver, harness.now
        solver._next_step_at = solver._next_changes_at = start + 9 * SECOND
        harness.controller.admission.admitted_fraction = admitted_fraction
        harness.controller.updater.has_changes = False
        harness.receive_endpoint_list({"h8": (IN_SERVICE, 0)}, is_complete=False)
        harness.flush()
        while "h8" not in harness.usable_weights():
            harness.advance(SECOND // 10)
            assert harness.now < start + 60 * SECOND, "h8 never enters"
        waits.append(harness.now - start)
    assert waits[1] <= SECOND < 8 * SECOND < waits[0]

"""Plain cases, and seeded random runs that check the rules after every step."""

from __future__ import annotations

from dataclasses import replace

import pytest
from builders import SECOND, SETTINGS, ControllerHarness, settings_with
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from willowhook.decisions.channel import UpdateChannel
from willowhook.decisions.events import (
    EndpointListLost,
    EndpointState,
    HealthCheckCompleted,
    HealthCheckOutcome,
)
from willowhook.decisions.settings import AdmissionUnit, LoadSource
from willowhook.decisions.subsets import SubsetMode

IN_SERVICE, DRAINING, REMOVED = EndpointState.IN_SERVICE, EndpointState.DRAINING, EndpointState.REMOVED
READY = (IN_SERVICE, 0)


def joined_channel(proxies: int) -> UpdateChannel:
    """A channel that carries 0.16 entries a tick, with an overhead of 7, to so many proxies."""
    parts = {"entries_per_second": 1600.0, "message_overhead_entries": 6.0, "max_delay_ticks": 4000}
    channel = UpdateChannel(replace(SETTINGS.channel, **parts), 0)
    for proxy in range(proxies):
        channel.add_proxy(proxy)
    return channel


def started(harness: ControllerHarness, hosts: int = 8, proxies: int = 4) -> ControllerHarness:
    harness.receive_endpoint_list({f"h{k}": READY for k in range(hosts)})
    for proxy in range(proxies):
        harness.join_proxy(proxy)
    harness.flush()
    return harness


def test_a_joining_proxy_is_bound_once_to_full_tables() -> None:
    harness = started(ControllerHarness())
    assert len(harness.usable_weights(0)) == 8 and set(harness.usable_weights(1)) == {"h1", "h3", "h5", "h7"}
    assert set(harness.runtime.bindings) == {0, 1, 2, 3}
    assert all(book == {0: 0, 1: 0, 2: 1} for book in harness.runtime.bindings.values())


def test_who_was_bound_before_there_was_a_host_gets_the_first_that_is_listed_at_once() -> None:
    """Found by a test of the running director: its first question for the list had failed."""
    harness = started(ControllerHarness(), hosts=0)
    harness.advance(SECOND)
    harness.receive_endpoint_list({f"h{k}": READY for k in range(2)})
    harness.flush()
    assert set(harness.usable_weights()) == {"h0", "h1"}
    harness.advance(SECOND)
    harness.receive_endpoint_list({"h4": READY, "h5": READY})  # all others are gone
    harness.flush()
    assert set(harness.usable_weights()) == {"h4", "h5"}


def test_weights_follow_heard_latency_in_damped_steps() -> None:
    harness = started(ControllerHarness())
    for _ in range(12):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 20, 0, 400 if k == 0 else 100 if k == 1 else 200)
        harness.advance(SECOND)
    weights = harness.usable_weights()
    assert weights["h0"] < 0.62 and weights["h1"] > 1.5 and 0.9 < weights["h2"] < 1.1


def test_a_draining_host_is_shut_out_at_once() -> None:
    harness = started(ControllerHarness())
    harness.receive_endpoint_list({"h2": (DRAINING, 0)}, is_complete=False)
    harness.flush()
    assert harness.runtime.excluded["h2"] and "h2" not in harness.usable_weights()


def test_a_host_missing_from_a_whole_list_is_gone_and_comes_back_cold() -> None:
    harness = started(ControllerHarness())
    harness.receive_endpoint_list({f"h{k}": READY for k in range(7)})
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
def test_a_list_that_lacks_most_hosts_is_believed_of_those_that_answer_no_more(listed: int) -> None:
    harness = started(ControllerHarness(), hosts=8)
    whole = {f"h{k}": (IN_SERVICE, 0) for k in range(8)}
    few = dict(list(whole.items())[:listed])
    for _ in range(4):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 20, 20 if k == 7 else 0, 100.0)
        harness.advance(SECOND // 2)
    harness.receive_endpoint_list(few)
    harness.flush()
    assert harness.runtime.excluded == {"h7": True} and not harness.runtime.fetch_count
    for _ in range(8):  # h6 stops to answer, too: it went
        for k in range(6):
            harness.report_endpoint(f"h{k}", 20, 0, 100.0)
        harness.advance(SECOND // 2)
    assert harness.runtime.fetch_count
    harness.receive_endpoint_list(few)
    harness.flush()
    harness.advance(SECOND)
    assert harness.runtime.excluded == {"h7": True, "h6": True}
    asked = harness.runtime.fetch_count
    harness.receive_endpoint_list(dict(list(whole.items())[:6]))
    harness.advance(8 * SECOND)
    assert harness.runtime.fetch_count == asked and set(harness.usable_weights()) <= {
        f"h{k}" for k in range(6)
    }
    harness.receive_endpoint_list(dict(list(whole.items())[:3]))  # half of them may go at once
    harness.flush()
    harness.advance(SECOND)
    assert sum(harness.runtime.excluded.values()) == 5


def test_a_failing_host_rests_then_returns_and_rests_longer() -> None:
    harness, used = started(ControllerHarness()), ""
    for _ in range(32):
        for k in range(8):
            if k or "h0" in harness.usable_weights():  # nobody tries it while it rests
                harness.report_endpoint(f"h{k}", 10, 10 if k == 0 else 0, 100)
        harness.advance(SECOND)
        used += "x" if "h0" in harness.usable_weights() else "-"
    rests = [len(rest) for rest in used.split("x") if rest]
    assert 4 <= rests[0] <= 8 and 9 <= rests[1] <= 13  # and then it waits for the next wave


def test_a_trouble_of_everything_takes_nothing_out() -> None:
    harness = started(ControllerHarness())
    for _ in range(6):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 10, 8, 100)
        harness.advance(SECOND)
    assert len(harness.usable_weights()) == 8


def test_sick_hosts_are_used_when_the_others_drain() -> None:
    harness = started(ControllerHarness())
    for _ in range(3):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 10, 10 if k in (1, 3) else 0, 100)
        harness.advance(SECOND)
    assert set(harness.usable_weights(1)) == {"h5", "h7"}
    harness.receive_endpoint_list({"h5": (DRAINING, 0), "h7": (DRAINING, 0)}, is_complete=False)
    harness.flush()
    assert set(harness.usable_weights(1)) == {"h1", "h3"}


def test_overload_throttles_the_least_important_route_first() -> None:
    harness = started(ControllerHarness())
    for _ in range(12):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 20, 0, 700, cpu_utilization=1.0)
        for proxy in range(4):
            for route in ("read", "save", "book"):
                harness.report_requests(proxy, route, 10)
        harness.advance(SECOND)
    levels = harness.runtime.admission_limits
    assert levels[0, 0] < 0.9 and levels[0, 0] < levels[0, 1] <= 1
    began = [text for text in harness.runtime.log_lines if text.startswith("load shedding began ")]
    assert any(" before=1.40 " in text for text in began)


def test_no_cold_host_is_used_while_hardly_a_try_is_answered() -> None:
    harness = started(ControllerHarness())
    harness.advance(SECOND)
    harness.receive_endpoint_list({"h6": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    assert "h6" not in harness.usable_weights()  # nor before anything is heard, as after a restart
    for _ in range(6):
        for k in range(6):
            harness.report_endpoint(f"h{k}", 50, 48, 2000, cpu_utilization=1.0)
        for proxy in range(4):
            harness.report_requests(proxy, "read", 100)
        harness.advance(SECOND)
    harness.receive_endpoint_list({"h7": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    assert "h7" not in harness.usable_weights() and len(harness.usable_weights()) >= 2


def test_a_zone_that_misses_its_probes_gets_nothing_until_it_answers() -> None:
    harness = started(
        ControllerHarness(settings_with(health_checks=True, fleet__load_source=LoadSource.HEALTH_CHECKS))
    )
    for outcome, expected in ((HealthCheckOutcome.TIMED_OUT, 4), (HealthCheckOutcome.HEALTHY, 8)):
        for _ in range(8):
            for name in harness.runtime.health_checks:
                far = int(name[1:]) % 2
                told = HealthCheckCompleted(name, outcome if far else HealthCheckOutcome.HEALTHY, None)
                harness.controller.handle(harness.now, told)
            harness.runtime.health_checks.clear()
            harness.advance(SECOND)
        assert len(harness.usable_weights()) == expected
    assert set(harness.usable_weights(1)) == {"h1", "h3", "h5", "h7"}


def test_a_director_started_into_a_jam_lets_no_cold_host_in() -> None:
    harness = started(ControllerHarness(settings_with(fleet__avoidance_failures=8)))
    harness.advance(SECOND)
    harness.receive_endpoint_list({"h7": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    for _ in range(12):
        for k in range(7):
            harness.report_endpoint(f"h{k}", 20, 4, 900, cpu_utilization=0.8)
        harness.report_requests(0, "read", 10)
        assert "h7" not in harness.usable_weights() or harness.now >= 8 * SECOND
        harness.advance(SECOND)
    assert "h7" in harness.usable_weights()


def test_the_last_hosts_used_are_warm_ones() -> None:
    harness = started(ControllerHarness())
    harness.advance(SECOND)
    harness.receive_endpoint_list({f"h{k}": (IN_SERVICE, harness.now) for k in range(4)}, is_complete=False)
    for up in list(harness.controller.endpoints.values())[4:]:
        up.is_ejected, up.ejected_until = True, 100 * SECOND
    harness.advance(3 * SECOND)
    assert set(harness.usable_weights()) == {"h4", "h5", "h6", "h7"}


def test_no_cold_host_is_used_while_proxies_shun_what_a_cut_hid() -> None:
    harness = started(
        ControllerHarness(
            settings_with(
                health_checks=True, fleet__load_source=LoadSource.HEALTH_CHECKS, fleet__avoidance_failures=8
            )
        )
    )
    for second in range(22):
        for name in harness.runtime.health_checks:
            cut = int(name[1:]) % 2 and second < 8
            outcome = HealthCheckOutcome.TIMED_OUT if cut else HealthCheckOutcome.HEALTHY
            harness.controller.handle(harness.now, HealthCheckCompleted(name, outcome, 0.3))
        harness.runtime.health_checks.clear()
        if second == 9:
            harness.receive_endpoint_list({"h6": (IN_SERVICE, harness.now)}, is_complete=False)
        harness.advance(SECOND)
        assert second in (15, 16, 17) or ("h6" in harness.usable_weights()) == (second < 9 or second > 17)


def test_levels_stay_while_reports_stop() -> None:
    harness = started(ControllerHarness())
    for second in range(14):
        if second < 8:
            for k in range(8):
                harness.report_endpoint(f"h{k}", 20, 0, 900, cpu_utilization=1.0)
            for proxy in range(4):
                harness.report_requests(proxy, "read", 10)
        harness.advance(SECOND)
        if second == 10:
            level = harness.runtime.admission_limits[0, 0]
    assert level < 1 and harness.runtime.admission_limits[0, 0] == level


def test_where_crossing_is_dear_a_zone_keeps_its_calls() -> None:
    harness = started(ControllerHarness(settings_with(fleet__cross_zone_price=0.08)))
    tables = {harness.runtime.bindings[proxy][0] for proxy in harness.runtime.joined_proxies}
    assert len(tables) == 2 and all(len(harness.usable_weights(table)) == 8 for table in tables)
    near = harness.usable_weights(harness.runtime.bindings[0][0])
    assert near["h0"] > 5 * near["h1"] > 0


def test_a_lost_list_is_asked_for_again() -> None:
    harness = started(ControllerHarness())
    assert harness.runtime.watch_count == 1
    harness.controller.handle(harness.now, EndpointListLost())
    harness.advance(3 * SECOND)
    assert harness.runtime.watch_count == 2 and len(harness.usable_weights()) == 8


def test_withdrawals_at_size_go_in_few_messages_and_in_time() -> None:
    terms = settings_with(
        fleet__proxy_count=200, channel__queue_limit_entries=5000, channel__entries_per_second=3000
    )
    harness = started(ControllerHarness(terms), hosts=60, proxies=200)
    harness.advance(2 * SECOND)
    for k in range(16):
        harness.receive_endpoint_list({f"h{k}": (DRAINING, 0)}, is_complete=False)
        harness.flush()
        harness.advance(SECOND // 8)
        assert harness.runtime.queued_entries <= 5000
    harness.advance(SECOND)
    assert all(harness.runtime.excluded[f"h{k}"] for k in range(16))


def test_who_waits_to_be_bound_is_told_again_of_hosts_that_went() -> None:
    harness = started(ControllerHarness(), hosts=60)
    harness.advance(SECOND)
    harness.receive_endpoint_list({"h0": (DRAINING, 0)}, is_complete=False)
    harness.flush()
    for proxy in range(60, 160):
        harness.join_proxy(proxy, is_fresh=False)
    harness.flush()
    told = harness.runtime.exclusion_count
    harness.advance(2 * SECOND)
    assert harness.runtime.exclusion_count == told + 1 and harness.runtime.excluded["h0"]


def test_who_waits_to_be_bound_is_told_of_all_that_went_before_it_joined_however_long_ago() -> None:
    terms = settings_with(
        exclusions_outlive_sessions=True,
        rules__drain_grace_ticks=4 * SECOND,
        channel__entries_per_second=6000,
    )
    harness = started(ControllerHarness(terms), hosts=60)
    harness.advance(SECOND)
    for k in range(3):
        harness.receive_endpoint_list({f"h{k}": (DRAINING, 0)}, is_complete=False)
        harness.flush()
        harness.advance(4 * SECOND)
    for proxy in range(60, 160):  # a fresh one holds hosts of the list at its start
        harness.join_proxy(proxy, is_fresh=proxy % 2 == 0)
    harness.flush()
    harness.advance(SECOND)
    waiting = [p for p in range(60, 160) if p not in harness.runtime.bindings]
    assert len(waiting) > 10
    harness.advance(SECOND // 2)
    assert all(set(harness.runtime.excluded_for_proxy[p]) == {"h0", "h1", "h2"} for p in waiting)
    harness.advance(4 * SECOND)
    assert all(len(told) == 3 for told in harness.runtime.excluded_for_proxy.values())


def test_too_many_to_be_bound_in_time_get_parts_of_the_tables_first_and_the_whole_later() -> None:
    held = {"exclusions_outlive_sessions": True, "rules__slow_start_ticks": SECOND}
    terms = settings_with(rules__drain_grace_ticks=4 * SECOND, fleet__proxy_count=100, **held)
    harness = started(ControllerHarness(terms), hosts=80, proxies=0)
    harness.advance(5 * SECOND)
    wide = {table.number for table in harness.controller.fleet.default_tables}
    for k in range(40):  # what is withdrawn is more than can be told to each
        harness.receive_endpoint_list({f"h{k}": (DRAINING, 0)}, is_complete=False)
    harness.advance(4 * SECOND)
    for proxy in range(100):
        harness.join_proxy(proxy, is_fresh=False)
        harness.flush()
    harness.advance(3 * SECOND)  # the grace less the way there
    assert len(harness.runtime.bindings) == 100 and not harness.controller.pending_binds
    assert harness.runtime.queued_entries < 1600
    parts = [harness.runtime.bindings[proxy][0] for proxy in range(100)]
    assert len(set(parts) - wide) > 1
    assert all(harness.usable_weights(table) and "h0" not in harness.usable_weights(table) for table in parts)
    harness.advance(30 * SECOND)
    assert {table for book in harness.runtime.bindings.values() for table in book.values()} <= wide
    assert harness.controller.subsets.mode is SubsetMode.OFF and len(harness.controller.fleet.tables) == len(
        wide
    )


def test_a_crowd_that_joins_while_hosts_go_has_its_parts_before_the_withdrawals() -> None:
    held = {
        "exclusions_outlive_sessions": True,
        "rules__slow_start_ticks": SECOND,
        "channel__entries_per_second": 3000.0,
    }
    sizes = {
        "fleet__proxy_count": 900,
        "channel__queue_limit_entries": 28_000.0,
        "rules__drain_grace_ticks": 10 * SECOND,
    }
    harness = started(ControllerHarness(settings_with(**held, **sizes)), hosts=80, proxies=60)
    harness.advance(30 * SECOND)
    harness.receive_endpoint_list({f"h{k}": (DRAINING, 0) for k in range(25)}, is_complete=False)
    harness.flush()
    for proxy in range(100, 900):
        harness.join_proxy(proxy, is_fresh=False)
    harness.flush()
    harness.receive_endpoint_list({f"h{k}": (DRAINING, 0) for k in range(25, 45)}, is_complete=False)
    harness.flush()
    harness.advance(2 * SECOND)
    assert (
        not harness.controller.pending_binds and harness.runtime.queued_entries < 7 * 3000
    )  # so all have it within the grace
    harness.advance(7 * SECOND)
    gone = {f"h{k}" for k in range(45)}
    assert all(
        host not in gone
        for p in (100, 899)
        for t in harness.runtime.bindings[p].values()
        for host in harness.usable_weights(t)
    )


def test_while_answers_come_however_late_nothing_in_the_channel_is_lost() -> None:
    channel = joined_channel(3)
    for _ in range(2):
        channel.charge([0, 1, 2], 100)
        channel.flush(0)
    channel.acknowledge(70_000, 0, 1)
    channel.update_overdue(80_000, 20_000)
    channel.drain(80_000)
    assert channel.queue_ceiling() == channel.unproven_entries() == 5 * 107
    channel.update_overdue(95_000, 20_000)  # nothing comes any more
    channel.drain(95_000)
    assert channel.queue_ceiling() == channel.unproven_entries() == 0


def test_what_may_wait_at_the_most_is_all_that_no_answer_proves_to_have_left() -> None:
    channel = joined_channel(2)
    channel.charge([0, 1], 300)
    assert channel.queue_ceiling() == 614
    channel.flush(0)
    channel.drain(3000)  # at the stated rate 480 have left: one that slowed down may hold them all
    assert channel.queue_estimate() == 134 and channel.queue_ceiling() == 614
    channel.charge([0], 10)
    assert channel.queue_ceiling() == 631
    channel.flush(3000)
    channel.acknowledge(3000, 0, 1)
    channel.drain(3000)
    assert channel.queue_ceiling() == 307 + 17


def test_messages_leave_in_turn_and_what_is_long_overdue_is_lost() -> None:
    channel = joined_channel(2)
    for number in (1, 2):
        channel.charge([0, 1], 10)
        assert channel.flush(0) == number
    channel.update_overdue(6000, 50_000)
    assert channel.overdue == 68
    channel.acknowledge(6000, 1, 1)  # the rest of its moment may still wait, and the second message to both
    channel.update_overdue(6000, 50_000)
    assert channel.overdue == channel.unproven_entries() == 51
    channel.acknowledge(6000, 1, 2)
    channel.update_overdue(6000, 50_000)
    assert channel.overdue == 17
    channel.update_overdue(60_000, 50_000)
    assert channel.overdue == channel.unproven_entries() == 0


def test_lines_that_no_answer_proves_to_have_left_count_as_waiting_but_for_those_on_their_way() -> None:
    """Guards against rule 5 while a channel stalls, which the estimate at the stated rate does not know."""
    channel = joined_channel(50)
    channel.charge([*range(50)], 33)
    channel.flush(0)
    channel.drain(10_000)
    assert channel.queued == 400 and channel.queue_estimate() == 2000 - 640
    channel.drain(20_000)
    assert channel.queued == 0 and channel.queue_estimate() == 2000 - 640
    channel.charge([0], 3)
    assert channel.queue_estimate() == 2010 - 640
    channel.flush(20_000)
    channel.acknowledge(20_000, 0, 2)
    channel.drain(20_000)
    assert channel.queue_estimate() == 10


def test_a_cold_host_is_readmitted_when_nobody_waits_to_be_bound() -> None:
    harness = started(
        ControllerHarness(
            settings_with(
                fleet__proxy_count=160, channel__entries_per_second=800, channel__queue_limit_entries=1700
            )
        ),
        hosts=60,
    )
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


def test_moved_lines_of_all_tables_go_by_how_far_they_moved() -> None:
    terms = settings_with(fleet__cross_zone_price=0.08, channel__entry_price=0.01)
    harness = started(ControllerHarness(terms), hosts=80, proxies=60)
    harness.advance(20 * SECOND)
    for up in harness.controller.endpoints.values():
        up.latency_factor = 0.5
    harness.controller.updater.has_changes = True
    harness.advance(24 * SECOND)
    used = {table for book in harness.runtime.bindings.values() for table in book.values()}
    assert len(used) == 4 and all(max(harness.usable_weights(table).values()) < 0.6 for table in used)


def test_a_kind_is_worth_its_answered_calls_for_its_cores_in_use() -> None:
    harness = started(ControllerHarness(settings_with(lists_capacity=False)))
    for _ in range(8):
        for k in range(8):  # the odd ones answer three times as many at the same load and latency
            harness.report_endpoint(f"h{k}", 30 if k % 2 else 10, 0, 200, cpu_utilization=0.6)
        harness.advance(SECOND)
    assert 2.5 < harness.usable_weights()["h1"] / harness.usable_weights()["h0"] < 3.5


def test_some_of_a_kind_in_trouble_do_not_change_what_the_kind_is_worth() -> None:
    """Guards against weights that favour slow kinds while four of eleven fast hosts are stuck."""
    harness = started(ControllerHarness(settings_with(lists_capacity=False)))
    for _ in range(4):
        for k in range(8):
            stuck = k == 1
            harness.report_endpoint(f"h{k}", 2 if stuck else 10 + 10 * (k % 2), 0, 200, 1.0 if stuck else 0.5)
        harness.advance(SECOND)
    assert (
        abs(harness.controller.endpoints["h3"].capacity / harness.controller.endpoints["h2"].capacity - 2)
        < 0.01
    )


def test_who_brings_a_table_is_bound_after_the_first_solve_of_a_director_that_starts() -> None:
    """Guards against binding a fleet to equal weights, in place of those that others have learnt."""
    harness = ControllerHarness(settings_with(fleet__default_table_size=5))
    harness.receive_endpoint_list({f"h{k}": READY for k in range(8)})
    harness.join_proxy(0, is_fresh=False)
    harness.join_proxy(1)  # its standing table does as well until then
    harness.flush()
    assert not harness.runtime.bindings
    harness.receive_endpoint_list({"h0": (DRAINING, 0)}, is_complete=False)  # withdrawals do not wait
    harness.flush()
    assert harness.runtime.excluded["h0"]
    for k in range(1, 8):
        harness.report_endpoint(f"h{k}", 20, 0, 400 if k == 2 else 200)
    harness.advance(SECOND)
    assert (
        set(harness.runtime.bindings) == {0, 1}
        and harness.usable_weights()["h2"] < harness.usable_weights()["h4"]
    )


def test_who_brings_a_table_does_not_wait_for_long_nor_while_most_hosts_are_gone() -> None:
    harness = ControllerHarness()
    harness.receive_endpoint_list({f"h{k}": READY for k in range(8)})
    harness.join_proxy(0, is_fresh=False)
    harness.advance(2 * SECOND)
    assert 0 not in harness.runtime.bindings
    harness.advance(3 * SECOND // 2)
    assert 0 in harness.runtime.bindings
    harness = ControllerHarness()
    harness.receive_endpoint_list({f"h{k}": READY for k in range(8)})
    harness.join_proxy(0, is_fresh=False)
    harness.receive_endpoint_list({f"h{k}": (DRAINING, 0) for k in range(4)}, is_complete=False)
    harness.advance(SECOND)
    assert 0 in harness.runtime.bindings


def test_idle_hosts_that_refuse_most_tries_are_dealt_out_for_a_while() -> None:
    harness = started(ControllerHarness(), hosts=40, proxies=40)
    for second in range(60):
        for k in range(40):
            harness.report_endpoint(f"h{k}", 20, 18 if 9 < second < 13 else 0, 100, cpu_utilization=0.3)
        for proxy in range(40):
            harness.report_requests(proxy, "read", 10)
        harness.advance(SECOND)
        sizes = {
            len(harness.usable_weights(table))
            for book in harness.runtime.bindings.values()
            for table in book.values()
        }
        assert max(sizes) <= 3 if 20 < second < 40 else second < 20 or second < 50 or max(sizes) == 40
    assert all(book[2] != book[0] for book in harness.runtime.bindings.values())


# The draws of 06ecd3e, whatever the text of the tests: hypothesis derives its own from a test's source.
SMALL_SEED = int(
    "18507589675156629836438903636574051552834477246760412887221168569894667526402147725351398500605282794"
    "233989809136222"
)
LARGE_SEED = int(
    "26551310450229261309061273261659595310070810024207163807120916956335125800952744883427041180612268338"
    "676271661592634"
)
STEP = st.tuples(st.integers(0, 7), st.integers(0, 9), st.integers(0, 1000), st.sampled_from([0.3, 1.0]))


@seed(SMALL_SEED)
@settings(derandomize=True, deadline=None, max_examples=120)
@given(
    st.lists(STEP, min_size=5, max_size=60),
    st.sampled_from(AdmissionUnit),
    st.sampled_from([0, 12]),
)
def test_the_rules_hold_after_every_step(
    steps: list[tuple[int, int, int, float]], admit: AdmissionUnit, most: int
) -> None:
    play(ControllerHarness(settings_with(fleet__admission_unit=admit, channel__message_cap=most)), steps, 1)


@seed(LARGE_SEED)
@settings(derandomize=True, deadline=None, max_examples=5)
@given(st.lists(STEP.map(lambda step: (*step[:3], 1.0)), min_size=15, max_size=30))
def test_the_rules_hold_at_size(steps: list[tuple[int, int, int, float]]) -> None:
    channel = {"channel__queue_limit_entries": 5000, "channel__entries_per_second": 1700}
    terms = settings_with(
        fleet__proxy_count=200, fleet__default_table_size=5, lists_capacity=False, **channel
    )
    play(ControllerHarness(terms), [(1, k, 500, 1.0) for k in range(10)] + steps, 20)


def test_an_endpoint_that_restarts_while_a_message_cap_spaces_messages_has_its_slow_start_share() -> None:
    """Found by hypothesis once the draws had changed; in KNOWN-RED.txt."""
    steps = [(0, 0, 0, 0.3), (0, 0, 0, 0.3), (0, 0, 0, 0.3), (1, 0, 1, 0.3), (0, 0, 0, 0.3)]
    play(ControllerHarness(settings_with(channel__message_cap=12)), steps, 1)


def play(harness: ControllerHarness, steps: list[tuple[int, int, int, float]], each: int) -> None:
    """Each step is about one host and one proxy of ten, or at size about several."""
    ten, several = 10 * max(each // 2, 1), max(each // 5, 1)
    modes: dict[str, tuple[str, int]] = {f"h{k}": READY for k in range(ten)}
    harness.receive_endpoint_list(modes)
    told: dict[str, int] = {}
    bare: dict[int, int] = {}
    for what, k, size, speed in steps:
        name, mode = f"h{k}", (IN_SERVICE, DRAINING, REMOVED)[size % 3]
        proxies = [
            p for p in range(k * each, (k + 1) * each) if (p in harness.runtime.joined_proxies) == (what != 1)
        ]
        if what == 0:
            rows = {
                f"h{k + 10 * j}": (mode, harness.now if mode == IN_SERVICE else 0) for j in range(several)
            }
            modes.update(rows)
            harness.receive_endpoint_list(rows, is_complete=False)
        elif what == 3:
            harness.report_endpoint(name, size % 30, min(size % 30, size // 40), size)
        elif what == 4:
            for j in range(ten):
                harness.report_endpoint(f"h{j}", 20, size % 19, size * 2)
        elif what == 6:
            harness.controller.handle(harness.now, EndpointListLost())
        for proxy in proxies if what in (1, 2, 5) else ():
            if what == 1:
                harness.join_proxy(proxy, size / 10)
            elif what == 2:
                harness.remove_proxy(proxy)
            else:
                harness.report_requests(proxy, SETTINGS.routes[size % 3].name, size)
        harness.flush()
        harness.advance(size * 10, speed)
        check(harness, modes, told, bare, each == 1)


def check(
    harness: ControllerHarness,
    modes: dict[str, tuple[str, int]],
    told: dict[str, int],
    bare: dict[int, int],
    small: bool,
) -> None:
    runtime, now, terms = harness.runtime, harness.now, harness.runtime.settings
    assert runtime.queued_entries <= terms.channel.queue_limit_entries
    for times in runtime.message_times.values():
        recent = [t for t in times if t > now - terms.channel.message_cap_window_ticks]
        assert not terms.channel.message_cap or len(recent) <= terms.channel.message_cap
    assert all(tries <= 1 for tries in runtime.max_retries.values())  # nothing is tried after any failure
    for name, (mode, since) in modes.items():
        told[name] = told.get(name, now) if mode != IN_SERVICE else now
        if mode != IN_SERVICE and now - told[name] >= terms.rules.drain_grace_ticks:
            assert runtime.excluded.get(name), f"{name} still open"
        share = terms.rules.slow_start_fraction
        grown = share + (1 - share) * (now - since) / terms.rules.slow_start_ticks
        if mode == IN_SERVICE and since and grown < 1 and now - since >= (0 if small else SECOND):
            for table in runtime.tables:  # a cold host's share of the average stays under what it can do
                weights = list(harness.usable_weights(table).values())
                mean = sum(weights) / max(len(weights), 1)
                share = harness.usable_weights(table).get(name, 0.0) / mean if mean else 0.0
                assert share <= terms.rules.recovery_overload_factor * grown
    warm = [n for n, (mode, since) in modes.items() if mode == IN_SERVICE and not since]
    for proxy in runtime.joined_proxies:
        book = runtime.bindings.get(proxy, {})
        open_to = [[n for n in warm if not r.allowed_classes or int(n[1:]) % 2] for r in terms.routes]
        lacks = any(
            open_to[k] and (k not in book or not harness.usable_weights(book[k]))
            for k in range(len(terms.routes))
        )
        lacks = lacks and (small or bool(book))  # at size it holds its standing table until it is bound
        bare[proxy] = bare.get(proxy, now) if lacks else now
        assert now - bare[proxy] <= terms.rules.empty_table_grace_ticks


def test_lines_wait_for_a_solve_and_leave_as_one_wave_that_a_withdrawal_can_follow_in_time() -> None:
    terms = settings_with(channel__entry_price=0.001)
    harness = started(ControllerHarness(terms), hosts=20, proxies=40)
    harness.advance(20 * SECOND)
    before = {proxy: len(times) for proxy, times in harness.runtime.message_times.items()}
    for up in harness.controller.endpoints.values():
        up.latency_factor = 0.5
    harness.advance(SECOND)  # weights may have drifted: no message for that alone
    assert {proxy: len(times) for proxy, times in harness.runtime.message_times.items()} == before
    harness.controller.updater.has_changes = True
    harness.advance(SECOND // 2)
    assert (
        sum(w == 0.5 for w in harness.usable_weights().values()) > 15
    )  # not three lines a message, as a head costs seven
    assert {len(times) - before[proxy] for proxy, times in harness.runtime.message_times.items()} == {1}
    left = terms.rules.drain_grace_ticks - terms.channel.max_delay_ticks - terms.rules.drain_grace_ticks // 8
    assert harness.controller.channel.queued + 40 * 8 <= left * terms.channel.entries_per_second / SECOND + 40


def test_waves_into_a_channel_that_stalls_wait_for_answers_of_the_last() -> None:
    """Guards against rule 5, as on the long day: three waves within what an answer takes to be missed."""
    terms = settings_with(channel__entry_price=0.001, channel__max_delay_ticks=15_000)
    harness = started(ControllerHarness(terms), hosts=40, proxies=40)
    harness.advance(20 * SECOND)
    highest = 0.0
    for step in range(8):
        for k, up in enumerate(harness.controller.endpoints.values()):
            up.latency_factor = 1.6 if (k + step) % 2 else 0.6
        harness.controller.updater.has_changes = True
        harness.advance(SECOND // 2, 0.0)
        highest = max(highest, harness.runtime.queued_entries)
    assert 0.2 < highest / terms.channel.queue_limit_entries < 0.85


def test_what_is_told_again_takes_a_twentieth_of_the_rate() -> None:
    harness = started(ControllerHarness(), hosts=40, proxies=40)
    harness.advance(15 * SECOND)
    lines = harness.controller.channel.last_marker
    for second in range(60):
        if second % 2 == 0:
            harness.remove_proxy(second % 7)
            harness.join_proxy(second % 7, is_fresh=False)
            harness.flush()
        harness.controller.updater.has_changes = True
        harness.advance(SECOND)
    assert harness.controller.channel.last_marker - lines < 30 + 60 * 0.05 * 1600 * 2 / (40 * 8)


def test_hosts_that_are_gone_are_forgotten_and_may_come_back_cold() -> None:
    harness = started(ControllerHarness())
    most = 0
    for day in range(40):  # new hosts under new ids all day
        harness.receive_endpoint_list(
            {f"h{day}": (REMOVED, 0), f"h{day + 8}": (IN_SERVICE, harness.now)}, is_complete=False
        )
        harness.report_endpoint(f"h{day + 7}", 10, 0, 100)
        harness.report_requests(0, "read", 10)
        harness.advance(6 * SECOND)
        most = max(most, len(harness.controller.endpoints), len(harness.runtime.excluded))
    assert most < 16 and len(harness.controller.exclusions._changed) < 16
    harness.receive_endpoint_list({"h0": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.advance(4 * SECOND)
    assert 0 < harness.usable_weights()["h0"] < 1


def test_a_zone_that_loses_hosts_sends_more_elsewhere_with_the_withdrawal() -> None:
    harness = started(ControllerHarness(settings_with(fleet__cross_zone_price=0.08)), hosts=12, proxies=8)
    for _ in range(8):
        for k in range(12):
            harness.report_endpoint(f"h{k}", 10, 0, 100)
        for proxy in range(8):
            harness.report_requests(proxy, "read", 10)
        harness.advance(SECOND)
    near = next(
        table for table in harness.controller.fleet.tables if table.zone == "north" and 0 in table.routes
    )
    before = near.remote_factor
    harness.receive_endpoint_list({f"h{k}": (DRAINING, 0) for k in (0, 2, 4, 6)}, is_complete=False)
    harness.flush()
    while not harness.runtime.excluded.get("h6"):
        harness.advance(SECOND // 10)
    assert before < 0.2 and near.remote_factor > 2 * before
    assert harness.usable_weights(near.number)["h1"] > 2 * before  # in the same message


def test_while_calls_are_throttled_a_host_that_comes_in_waits_for_no_solve() -> None:
    waits = []
    for room in (1.4, 0.8):
        harness = started(ControllerHarness())
        for _ in range(12):
            for k in range(8):
                harness.report_endpoint(f"h{k}", 10, 0, 100, cpu_utilization=0.8)
            harness.report_requests(0, "read", 10)
            harness.advance(SECOND)
        solver, start = harness.controller.solver, harness.now
        solver._next_step_at = solver._next_changes_at = start + 9 * SECOND
        harness.controller.admission.admitted_fraction = room
        harness.controller.updater.has_changes = False
        harness.receive_endpoint_list({"h8": (IN_SERVICE, 0)}, is_complete=False)
        harness.flush()
        while "h8" not in harness.usable_weights():
            harness.advance(SECOND // 10)
        waits.append(harness.now - start)
    assert waits[1] <= SECOND < 8 * SECOND < waits[0]

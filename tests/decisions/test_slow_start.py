"""Tests of slow start."""

from __future__ import annotations

import pytest
from builders import IN_SERVICE, SECOND, add_endpoint, make_context, settings_with, start_fleet

from willowhook.decisions.events import HealthCheckCompleted, HealthCheckOutcome
from willowhook.decisions.model import Endpoint
from willowhook.decisions.settings import LoadSource
from willowhook.decisions.slow_start import SlowStart


def test_warming_endpoint_gets_no_weight_while_most_attempts_fail() -> None:
    harness = start_fleet()
    harness.advance(SECOND)
    harness.receive_endpoint_list({"h6": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    # nor before the first reports, as after a restart of the controller
    assert "h6" not in harness.usable_weights()
    for _ in range(6):
        for k in range(6):
            harness.report_endpoint(f"h{k}", 50, 48, 2000, cpu_utilization=1.0)
        for proxy in range(4):
            harness.report_requests(proxy, "read", 100)
        harness.advance(SECOND)
    harness.receive_endpoint_list({"h7": (IN_SERVICE, harness.now)}, is_complete=False)
    harness.flush()
    assert "h7" not in harness.usable_weights() and len(harness.usable_weights()) >= 2


def test_warming_endpoint_gets_no_weight_when_the_controller_starts_under_overload() -> None:
    harness = start_fleet(settings_with(fleet__avoidance_failures=8))
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


def test_warming_endpoint_gets_no_weight_while_proxies_avoid_a_partitioned_zone() -> None:
    harness = start_fleet(
        settings_with(
            health_checks=True, fleet__load_source=LoadSource.HEALTH_CHECKS, fleet__avoidance_failures=8
        )
    )
    for second in range(22):
        for name in harness.runtime.health_checks:
            is_unreachable = int(name[1:]) % 2 and second < 8
            outcome = HealthCheckOutcome.TIMED_OUT if is_unreachable else HealthCheckOutcome.HEALTHY
            harness.controller.handle(harness.now, HealthCheckCompleted(name, outcome, 0.3))
        harness.runtime.health_checks.clear()
        if second == 9:
            harness.receive_endpoint_list({"h6": (IN_SERVICE, harness.now)}, is_complete=False)
        harness.advance(SECOND)
        assert second in (15, 16, 17) or ("h6" in harness.usable_weights()) == (second < 9 or second > 17)


def test_weight_fraction_of_a_warming_endpoint_grows_from_its_initial_value_to_one() -> None:
    context = make_context()
    slow_start = SlowStart(context)
    endpoint = add_endpoint(context, "h0", started_at=10_000)
    ages = (0, 75_000, 150_000)  # 0, 0.5 and 1 of the slow-start time
    assert [slow_start.weight_fraction(10_000 + age, endpoint) for age in ages] == [0.25, 0.625, 1.0]
    assert [slow_start.is_warming_up(10_000 + age, endpoint) for age in ages] == [True, True, False]
    assert slow_start.weight_fraction(0, endpoint) == 0.25  # its clock is ahead of the controller's


def test_weight_fraction_while_half_of_the_attempts_fail_is_zero_for_warming_endpoints_only() -> None:
    context = make_context()
    slow_start = SlowStart(context)
    context.conditions.success_fraction = 0.5
    assert slow_start.weight_fraction(20_000, add_endpoint(context, "h0", started_at=10_000)) == 0.0
    assert slow_start.weight_fraction(20_000, add_endpoint(context, "h1")) == 1.0


@pytest.mark.parametrize(("avoidance_failures", "held_fraction"), [(0, 0.25), (3, 0.0)])
def test_weight_fraction_after_a_partition_is_zero_where_proxies_avoid_endpoints(
    avoidance_failures: int, held_fraction: float
) -> None:
    context = make_context(settings_with(fleet__avoidance_failures=avoidance_failures))
    slow_start = SlowStart(context)
    slow_start.suspend_warming_weights(20 * SECOND)
    endpoint = add_endpoint(context, "h0", started_at=28 * SECOND)
    assert slow_start.weight_fraction(28 * SECOND - 1, endpoint) == held_fraction
    assert slow_start.weight_fraction(28 * SECOND, endpoint) == 0.25


def test_endpoint_whose_clock_is_ahead_has_its_whole_weight_where_nothing_warms_up() -> None:
    """Guards against a division by a slow-start time of 0."""
    context = make_context(settings_with(rules__slow_start_ticks=0))
    endpoint = Endpoint("h0", SECOND)
    endpoint.started_at = 2 * SECOND
    slow_start = SlowStart(context)
    assert not slow_start.is_warming_up(SECOND, endpoint)
    assert slow_start.weight_fraction(SECOND, endpoint) == 1.0

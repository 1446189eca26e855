"""Tests of the weight solver: latency factors and learnt capacities."""

from __future__ import annotations

from builders import SECOND, settings_with, start_fleet


def test_weights_follow_reported_latency_in_damped_steps() -> None:
    harness = start_fleet()
    for _ in range(12):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 20, 0, 400 if k == 0 else 100 if k == 1 else 200)
        harness.advance(SECOND)
    weights = harness.usable_weights()
    assert weights["h0"] < 0.62 and weights["h1"] > 1.5 and 0.9 < weights["h2"] < 1.1


def test_class_capacity_is_its_successes_per_core_in_use() -> None:
    harness = start_fleet(settings_with(lists_capacity=False))
    for _ in range(8):
        for k in range(
            8
        ):  # odd endpoints serve three times as many attempts at equal utilization and latency
            harness.report_endpoint(f"h{k}", 30 if k % 2 else 10, 0, 200, cpu_utilization=0.6)
        harness.advance(SECOND)
    assert 2.5 < harness.usable_weights()["h1"] / harness.usable_weights()["h0"] < 3.5


def test_faulty_endpoints_do_not_change_the_capacity_of_their_class() -> None:
    """Guards against weights that favour a slow class because some endpoints of a fast class are stuck."""
    harness = start_fleet(settings_with(lists_capacity=False))
    for _ in range(4):
        for k in range(8):
            attempts, utilization = (2, 1.0) if k == 1 else (10 + 10 * (k % 2), 0.5)  # h1 is stuck
            harness.report_endpoint(f"h{k}", attempts, 0, 200, utilization)
        harness.advance(SECOND)
    endpoints = harness.controller.endpoints
    assert abs(endpoints["h3"].capacity / endpoints["h2"].capacity - 2) < 0.01

"""Tests of the load estimate, and of listed weights at the extremes."""

from __future__ import annotations

import pytest
from builders import SECOND, ControllerHarness, settings_with

from willowhook.decisions.events import EndpointEntry, EndpointListReceived, EndpointState
from willowhook.decisions.load import IDLE_UTILIZATION


@pytest.mark.parametrize("weight", [0.0, 1.0])
def test_utilization_of_endpoints_that_are_listed_without_capacity_counts_as_not_reported(
    weight: float,
) -> None:
    """Guards against a crash where all endpoints that report load are listed with a weight of 0."""
    harness = ControllerHarness(settings_with(lists_capacity=True))
    entries = [EndpointEntry(f"h{k}", EndpointState.IN_SERVICE, 0, weight, "fast", "north") for k in range(3)]
    harness.controller.handle(0, EndpointListReceived(True, tuple(entries)))
    harness.join_proxy(0)
    harness.flush()
    for _ in range(4):
        for entry in entries:
            harness.report_endpoint(entry.name, 10, 0, 100, cpu_utilization=0.8)
        harness.report_requests(0, "read", 30)
        harness.advance(SECOND)
    assert harness.controller.status(harness.now).load_fraction == pytest.approx(
        0.8 if weight else IDLE_UTILIZATION
    )
    assert set(harness.usable_weights()) == {"h0", "h1", "h2"}


def test_listed_weights_of_any_size_and_any_change_of_them_are_handled() -> None:
    """Guards against quotients of weights that are 0 or infinite by rounding."""
    harness = ControllerHarness(settings_with(lists_capacity=True, fleet__cross_zone_price=0.08))
    for proxy in range(4):
        harness.join_proxy(proxy)
    for weights in ((1e9, 1e9), (5e-324, 1e9), (1e9, 5e-324), (0.0, 1.0), (5e-324, 5e-324)):
        entries = tuple(
            EndpointEntry(
                f"h{k}", EndpointState.IN_SERVICE, 0, weights[k % 2], "fast", ("north", "south")[k % 2]
            )
            for k in range(4)
        )
        harness.controller.handle(harness.now, EndpointListReceived(True, entries))
        harness.flush()
        harness.advance(4 * SECOND)
        assert harness.usable_weights(), weights

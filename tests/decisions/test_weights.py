"""Tests of the weight of an endpoint in a table."""

from __future__ import annotations

from builders import DRAINING, IN_SERVICE, SECOND, start_fleet


def test_ejected_endpoints_are_used_when_all_others_drain() -> None:
    harness = start_fleet()
    for _ in range(3):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 10, 10 if k in (1, 3) else 0, 100)
        harness.advance(SECOND)
    assert set(harness.usable_weights(1)) == {"h5", "h7"}
    harness.receive_endpoint_list({"h5": (DRAINING, 0), "h7": (DRAINING, 0)}, is_complete=False)
    harness.flush()
    assert set(harness.usable_weights(1)) == {"h1", "h3"}


def test_last_resort_prefers_endpoints_that_are_not_warming_up() -> None:
    harness = start_fleet()
    harness.advance(SECOND)
    harness.receive_endpoint_list({f"h{k}": (IN_SERVICE, harness.now) for k in range(4)}, is_complete=False)
    for endpoint in list(harness.controller.endpoints.values())[4:]:
        endpoint.is_ejected, endpoint.ejected_until = True, 100 * SECOND
    harness.advance(3 * SECOND)
    assert set(harness.usable_weights()) == {"h4", "h5", "h6", "h7"}

"""Tests of locality spillover."""

from __future__ import annotations

import pytest
from builders import DRAINING, SECOND, WARM, ControllerHarness, settings_with, start_fleet


def test_zone_keeps_its_requests_where_crossing_zones_is_expensive() -> None:
    harness = start_fleet(settings_with(fleet__cross_zone_price=0.08))
    tables = {harness.runtime.bindings[proxy][0] for proxy in harness.runtime.joined_proxies}
    assert len(tables) == 2 and all(len(harness.usable_weights(table)) == 8 for table in tables)
    weights = harness.usable_weights(harness.runtime.bindings[0][0])
    assert weights["h0"] > 5 * weights["h1"] > 0


def test_zone_that_loses_endpoints_spills_over_in_the_message_of_the_exclusions() -> None:
    harness = start_fleet(settings_with(fleet__cross_zone_price=0.08), endpoints=12, proxies=8)
    for _ in range(8):
        for k in range(12):
            harness.report_endpoint(f"h{k}", 10, 0, 100)
        for proxy in range(8):
            harness.report_requests(proxy, "read", 10)
        harness.advance(SECOND)
    north = next(
        table for table in harness.controller.fleet.tables if table.zone == "north" and 0 in table.routes
    )
    previous_factor = north.remote_factor
    harness.receive_endpoint_list({f"h{k}": (DRAINING, 0) for k in (0, 2, 4, 6)}, is_complete=False)
    harness.flush()
    while not harness.runtime.excluded.get("h6"):
        harness.advance(SECOND // 10)
        assert harness.now < 20 * SECOND, "h6 is never excluded"
    assert previous_factor < 0.2
    assert north.remote_factor > 2 * previous_factor
    assert harness.usable_weights(north.number)["h1"] > 2 * previous_factor  # in the same message


def test_idle_proxies_count_alike_where_no_joined_proxy_has_a_usual_rate() -> None:
    """Guards against a crash of a controller that only idle proxies have joined."""
    harness = ControllerHarness(settings_with(fleet__cross_zone_price=0.08))
    harness.receive_endpoint_list({f"h{k}": WARM for k in range(8)})
    for proxy in range(3):
        harness.join_proxy(proxy, rate_per_second=0.0)
    harness.flush()
    harness.receive_endpoint_list({"h7": (DRAINING, 0)}, is_complete=False)
    harness.flush()
    harness.advance(5 * SECOND)
    assert harness.runtime.excluded == {"h7": True}
    factors = {table.zone: table.remote_factor for table in harness.controller.fleet.tables}
    equal_rates = ControllerHarness(settings_with(fleet__cross_zone_price=0.08))
    equal_rates.receive_endpoint_list({f"h{k}": WARM for k in range(7)})
    for proxy in range(3):
        equal_rates.join_proxy(proxy, rate_per_second=7.0)
    equal_rates.flush()
    equal_rates.advance(5 * SECOND)
    assert factors == pytest.approx(
        {table.zone: table.remote_factor for table in equal_rates.controller.fleet.tables}
    )

"""Tests of binding: when joining proxies are bound to their tables."""

from __future__ import annotations

from builders import DRAINING, SECOND, WARM, ControllerHarness, settings_with, start_fleet


def test_joining_proxy_is_bound_once_to_complete_tables() -> None:
    harness = start_fleet()
    assert len(harness.usable_weights(0)) == 8
    assert set(harness.usable_weights(1)) == {"h1", "h3", "h5", "h7"}
    assert set(harness.runtime.bindings) == {0, 1, 2, 3}
    assert all(tables == {0: 0, 1: 0, 2: 1} for tables in harness.runtime.bindings.values())


def test_proxy_with_an_earlier_table_is_bound_after_the_first_weight_update() -> None:
    """Guards against replacing weights learnt by another controller with equal weights."""
    harness = ControllerHarness(settings_with(fleet__bootstrap_table_size=5))
    harness.receive_endpoint_list({f"h{k}": WARM for k in range(8)})
    harness.join_proxy(0, is_fresh=False)
    harness.join_proxy(1)  # its bootstrap table serves it equally well until then
    harness.flush()
    assert not harness.runtime.bindings
    harness.receive_endpoint_list({"h0": (DRAINING, 0)}, is_complete=False)  # exclusions do not wait
    harness.flush()
    assert harness.runtime.excluded["h0"]
    for k in range(1, 8):
        harness.report_endpoint(f"h{k}", 20, 0, 400 if k == 2 else 200)
    harness.advance(SECOND)
    assert set(harness.runtime.bindings) == {0, 1}
    assert harness.usable_weights()["h2"] < harness.usable_weights()["h4"]


def test_proxies_keep_their_tables_while_no_endpoint_is_known() -> None:
    """Guards against emptying the tables of all proxies when a controller starts while discovery is down."""
    harness = ControllerHarness(settings_with(exclusions_outlive_sessions=True))
    harness.join_proxy(0, is_fresh=False)
    harness.join_proxy(1)
    harness.advance(20 * SECOND)
    harness.receive_endpoint_list({})
    harness.advance(5 * SECOND)
    assert not harness.runtime.bindings and not harness.runtime.message_times
    harness.receive_endpoint_list({f"h{k}": WARM for k in range(8)})
    harness.flush()
    assert set(harness.runtime.bindings) == {0, 1} and len(harness.usable_weights()) == 8


def test_proxy_with_an_earlier_table_is_bound_within_seconds_or_sooner_during_mass_drains() -> None:
    harness = ControllerHarness()
    harness.receive_endpoint_list({f"h{k}": WARM for k in range(8)})
    harness.join_proxy(0, is_fresh=False)
    harness.advance(2 * SECOND)
    assert 0 not in harness.runtime.bindings
    harness.advance(3 * SECOND // 2)
    assert 0 in harness.runtime.bindings
    harness = ControllerHarness()
    harness.receive_endpoint_list({f"h{k}": WARM for k in range(8)})
    harness.join_proxy(0, is_fresh=False)
    harness.receive_endpoint_list({f"h{k}": (DRAINING, 0) for k in range(4)}, is_complete=False)
    harness.advance(SECOND)
    assert 0 in harness.runtime.bindings

"""Tests of outlier detection."""

from __future__ import annotations

from builders import SECOND, start_fleet


def test_failing_endpoint_is_ejected_and_then_ejected_for_longer() -> None:
    harness = start_fleet()
    used = ""
    for _ in range(32):
        for k in range(8):
            if k or "h0" in harness.usable_weights():  # no attempts while it is ejected
                harness.report_endpoint(f"h{k}", 10, 10 if k == 0 else 0, 100)
        harness.advance(SECOND)
        used += "x" if "h0" in harness.usable_weights() else "-"
    ejections = [len(seconds) for seconds in used.split("x") if seconds]
    assert 4 <= ejections[0] <= 8 and 9 <= ejections[1] <= 13  # and then it waits for the next batch


def test_failures_at_all_endpoints_eject_none() -> None:
    harness = start_fleet()
    for _ in range(6):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 10, 8, 100)
        harness.advance(SECOND)
    assert len(harness.usable_weights()) == 8


def test_endpoint_that_did_well_for_long_is_ejected_as_for_the_first_time() -> None:
    """Guards against ejections that get longer over the life of the controller."""
    harness = start_fleet()
    for second in range(150):
        for k in range(8):
            fails = k == 0 and (second < 4 or 140 < second < 144)
            harness.report_endpoint(f"h{k}", 10, 10 if fails else 0, 100)
        harness.advance(SECOND)
    ejections = [line for line in harness.runtime.log_lines if line.startswith("endpoint ejected")]
    assert [line.rpartition("seconds=")[2] for line in ejections] == ["5", "5"]

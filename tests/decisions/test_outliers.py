"""Tests of outlier detection."""

from __future__ import annotations

from builders import SECOND, start_fleet


def test_failing_endpoint_is_ejected_and_then_ejected_for_longer() -> None:
    harness = start_fleet()
    usage = ""
    for _ in range(32):
        for k in range(8):
            if k or "h0" in harness.usable_weights():  # no attempts while it is ejected
                harness.report_endpoint(f"h{k}", 10, 10 if k == 0 else 0, 100)
        harness.advance(SECOND)
        usage += "x" if "h0" in harness.usable_weights() else "-"
    ejection_seconds = [len(seconds) for seconds in usage.split("x") if seconds]
    assert 4 <= ejection_seconds[0] <= 8 and 9 <= ejection_seconds[1] <= 13  # 5 and 10 s, then the next batch


def test_failures_at_all_endpoints_eject_none() -> None:
    harness = start_fleet()
    for _ in range(6):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 10, 8, 100)
        harness.advance(SECOND)
    assert len(harness.usable_weights()) == 8


def test_endpoint_that_was_healthy_for_long_is_ejected_for_the_first_duration() -> None:
    """Guards against ejection durations that are never reset while the controller runs."""
    harness = start_fleet()
    for second in range(150):
        for k in range(8):
            fails = k == 0 and (second < 4 or 140 < second < 144)
            harness.report_endpoint(f"h{k}", 10, 10 if fails else 0, 100)
        harness.advance(SECOND)
    ejection_lines = [line for line in harness.runtime.log_lines if line.startswith("endpoint ejected")]
    assert [line.rpartition("seconds=")[2] for line in ejection_lines] == ["5", "5"]

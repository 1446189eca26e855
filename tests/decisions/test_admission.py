"""Tests of admission control."""

from __future__ import annotations

from builders import SECOND, start_fleet


def test_overload_sheds_the_route_of_least_priority_first() -> None:
    harness = start_fleet()
    for _ in range(12):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 20, 0, 700, cpu_utilization=1.0)
        for proxy in range(4):
            for route in ("read", "save", "book"):
                harness.report_requests(proxy, route, 10)
        harness.advance(SECOND)
    limits = harness.runtime.admission_limits
    assert limits[0, 0] < 0.9 and limits[0, 0] < limits[0, 1] <= 1
    began = [text for text in harness.runtime.log_lines if text.startswith("load shedding began ")]
    assert any(" before=1.40 " in text for text in began)


def test_admission_limits_stay_while_no_reports_come() -> None:
    harness = start_fleet()
    for second in range(14):
        if second < 8:
            for k in range(8):
                harness.report_endpoint(f"h{k}", 20, 0, 900, cpu_utilization=1.0)
            for proxy in range(4):
                harness.report_requests(proxy, "read", 10)
        harness.advance(SECOND)
        if second == 10:
            limit = harness.runtime.admission_limits[0, 0]
    assert limit < 1 and harness.runtime.admission_limits[0, 0] == limit

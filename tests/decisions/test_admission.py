"""Tests of admission control."""

from __future__ import annotations

import pytest
from builders import SECOND, SETTINGS, make_context, settings_with, start_fleet
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.decisions.admission import AdmissionController
from willowhook.decisions.demand import RequestDemand
from willowhook.decisions.events import RequestReport
from willowhook.decisions.fleet import build_default_tables
from willowhook.decisions.runtime import AdmissionLimit
from willowhook.decisions.settings import AdmissionUnit


def test_overload_sheds_the_route_of_lowest_priority_first() -> None:
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
    start_lines = [line for line in harness.runtime.log_lines if line.startswith("load shedding began ")]
    assert any(" before=1.40 " in line for line in start_lines)
    assert (
        start_lines[0].rpartition("limited_routes=")[2] == "read"
        and " projected_utilization=" in start_lines[0]
    )


@pytest.mark.parametrize("cpu_utilization", [0.5, 1.0])
def test_latency_of_zero_counts_as_in_time(cpu_utilization: float) -> None:
    """Guards against a crash when most endpoints answer faster than the unit of the reported latency."""
    harness = start_fleet()
    for _ in range(12):
        for k in range(8):
            harness.report_endpoint(f"h{k}", 20, 0, 0.0, cpu_utilization=cpu_utilization)
        for proxy in range(4):
            harness.report_requests(proxy, "read", 10)
        harness.advance(SECOND)
    assert harness.controller.admission.is_shedding == (cpu_utilization == 1.0)


def test_admission_limits_are_kept_without_reports() -> None:
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


def admission_with(rates: list[float]) -> AdmissionController:
    """Returns admission control with these demand rates of read, save and book, at one proxy each."""
    demand = RequestDemand(SETTINGS.routes)
    for proxy, (route, rate) in enumerate(zip(SETTINGS.routes, rates, strict=True)):
        if rate:
            demand.record(RequestReport(proxy, route.name, int(rate), SECOND), is_shedding=False)
    return AdmissionController(make_context(), demand)


@pytest.mark.parametrize(
    ("admitted_fraction", "expected"),
    [
        (1.4, [1.0, 1.0, 1.0]),  # nothing is shed
        (0.8, [0.3, 1.0, 1.0]),  # read has the lowest priority weight per latency objective
        (0.6, [0.1, 1.0, 0.1 + 8.5 / 15]),
        (0.3, [0.1, 0.8, 0.1]),
        (0.1, [0.1, 0.1, 0.1]),  # the minimum of each
    ],
)
def test_route_fractions_admit_work_by_priority_above_a_floor(
    admitted_fraction: float, expected: list[float]
) -> None:
    admission = admission_with([10.0, 10.0, 10.0])  # latency objectives of 1, 1 and 1.5 s: 35 s of work
    admission.admitted_fraction = admitted_fraction
    assert admission.route_fractions() == pytest.approx(expected)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 50), min_size=3, max_size=3), st.floats(0.1, 1.4))
def test_route_fractions_admit_the_admitted_fraction_of_all_work(
    rates: list[int], admitted_fraction: float
) -> None:
    admission = admission_with([float(rate) for rate in rates])
    admission.admitted_fraction = admitted_fraction
    work = [rate * route.latency_objective_ticks for rate, route in zip(rates, SETTINGS.routes, strict=True)]
    fractions = admission.route_fractions()
    admitted = sum(fraction * part for fraction, part in zip(fractions, work, strict=True))
    assert admitted == pytest.approx(min(admitted_fraction, 1.0) * sum(work))


def test_route_fraction_without_demand_is_the_minimum_plus_one() -> None:
    assert admission_with([0.0, 0.0, 10.0]).route_fractions() == pytest.approx([1.1, 1.1, 1.0])


@pytest.mark.parametrize(("admitted_fraction", "retries"), [(1.0, 1), (0.999, 0)])
def test_limits_allow_a_retry_only_while_everything_is_admitted(
    admitted_fraction: float, retries: int
) -> None:
    admission = admission_with([10.0, 10.0, 10.0])
    admission.admitted_fraction = admitted_fraction
    table = build_default_tables(SETTINGS)[0]
    assert admission.limits(table, [0.5, 0.6, 0.7]) == {
        0: AdmissionLimit(retries, 0.5),
        1: AdmissionLimit(retries, 0.6),
    }


def test_limits_in_requests_per_second_are_an_even_allowance_for_each_proxy() -> None:
    per_second = settings_with(fleet__admission_unit=AdmissionUnit.REQUESTS_PER_SECOND)
    demand = RequestDemand(SETTINGS.routes)
    for proxy, requests in enumerate((2, 10, 20)):
        demand.record(RequestReport(proxy, "read", requests, SECOND), is_shedding=False)
    admission = AdmissionController(make_context(per_second), demand)
    table = build_default_tables(per_second)[0]
    limits = admission.limits(table, [0.5, 0.5, 0.5])
    assert limits[0].limit == pytest.approx(7.0)  # 2 + 7 + 7 = 0.5 * 32 requests per second
    assert limits[1].limit == 1e6  # no demand known: no limit
    assert admission.limits(table, [0.999, 0.0, 0.0])[0].limit == 1e6
    assert admission.limits(table, [0.0, 0.0, 0.0])[0].limit == 0.1  # the minimum rate

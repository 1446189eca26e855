"""Tests of the request rates by route and proxy."""

from __future__ import annotations

from builders import SECOND, SETTINGS

from willowhook.decisions.demand import RequestDemand
from willowhook.decisions.events import RequestReport

READ, SAVE, _ = SETTINGS.routes


def report(proxy: int, requests: int) -> RequestReport:
    """Returns a report of this many read requests at a proxy within two seconds."""
    return RequestReport(proxy, "read", requests, 2 * SECOND)


def test_demand_moves_halfway_to_each_reported_rate() -> None:
    demand = RequestDemand(SETTINGS.routes)
    demand.record(report(0, 20), is_shedding=False)
    assert demand.by_proxy(READ) == {0: 10.0}
    demand.record(report(0, 40), is_shedding=False)
    demand.record(report(1, 4), is_shedding=False)
    assert demand.by_proxy(READ) == {0: 15.0, 1: 2.0}
    assert demand.total(READ) == 17.0 and demand.total(SAVE) == 0


def test_demand_under_load_shedding_keeps_known_rates_and_adds_new_ones() -> None:
    demand = RequestDemand(SETTINGS.routes)
    demand.record(report(0, 20), is_shedding=False)
    demand.record(report(0, 400), is_shedding=True)
    demand.record(report(1, 40), is_shedding=True)
    assert demand.by_proxy(READ) == {0: 10.0, 1: 20.0}


def test_demand_forgets_a_proxy_that_left() -> None:
    demand = RequestDemand(SETTINGS.routes)
    demand.record(report(0, 20), is_shedding=False)
    demand.forget_proxy(0)
    demand.forget_proxy(1)  # never reported
    assert demand.total(READ) == 0

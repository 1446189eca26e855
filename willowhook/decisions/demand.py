"""Request demand: the request rates of routes at proxies, from load reports."""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND
from .events import RequestReport
from .settings import Route

SMOOTHING = 0.5  # share of the gap to the newest reported rate that one report covers


class RequestDemand:
    """Smoothed request rates by route and proxy, in requests per second."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._rates: dict[str, dict[int, float]] = {route.name: {} for route in routes}

    def record(self, report: RequestReport, is_shedding: bool) -> None:
        """Updates the rate of a route at a proxy.

        While load is shed, client retries inflate the reported rate, so a known rate is kept unchanged.
        """
        rates = self._rates[report.route]
        rate = report.requests * TICKS_PER_SECOND / report.window_ticks
        known_rate = rates.get(report.proxy, rate)
        rates[report.proxy] = known_rate + (rate - known_rate) * (0.0 if is_shedding else SMOOTHING)

    def forget_proxy(self, proxy: int) -> None:
        """Drops the rates of a proxy that has left."""
        for rates in self._rates.values():
            rates.pop(proxy, None)

    def by_proxy(self, route: Route) -> dict[int, float]:
        """Returns the rate of a route at each proxy that reported it."""
        return self._rates[route.name]

    def total(self, route: Route) -> float:
        """Returns the rate of a route over all proxies."""
        return sum(self._rates[route.name].values())

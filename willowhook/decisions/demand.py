"""The requests that reach the proxies, by route and proxy, as their reports say."""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND
from .events import RequestReport
from .settings import Route

SMOOTHING = 0.5  # share of the gap to the newest report by which a rate moves


class RequestDemand:
    """Rates by route and proxy, in requests per second."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._rates: dict[str, dict[int, float]] = {route.name: {} for route in routes}

    def record(self, report: RequestReport, is_shedding: bool) -> None:
        """Updates the rate of a route at a proxy.

        While load is shed, clients that retry swell the count, so a known rate stays as it is.
        """
        rates = self._rates[report.route]
        rate = report.requests * TICKS_PER_SECOND / report.window_ticks
        known = rates.get(report.proxy, rate)
        rates[report.proxy] = known + (rate - known) * (0.0 if is_shedding else SMOOTHING)

    def forget_proxy(self, proxy: int) -> None:
        """A proxy has left."""
        for rates in self._rates.values():
            rates.pop(proxy, None)

    def by_proxy(self, route: Route) -> dict[int, float]:
        """The rate of a route at each proxy that reported it."""
        return self._rates[route.name]

    def total(self, route: Route) -> float:
        """The rate of a route over all proxies."""
        return sum(self._rates[route.name].values())

"""Locality spillover: where cross-zone requests have a price, a zone keeps the requests it can serve."""

from __future__ import annotations

from .admission import AdmissionController
from .context import ControllerContext
from .model import EndpointTable
from .weights import EndpointWeights

MAX_KEPT_FRACTION = 0.95  # maximum share of a zone's requests kept local; the rest still reaches other zones
MIN_ZONE_DEMAND_FRACTION = 0.01  # minimum share of all requests assumed for a zone


class LocalitySpillover:
    """Sets the factor on the weights of remote endpoints in the table of a zone."""

    def __init__(
        self, context: ControllerContext, admission: AdmissionController, weights: EndpointWeights
    ) -> None:
        self._fleet = context.fleet
        self._admission = admission
        self._weights = weights

    def rebalance_all(self, now: int) -> None:
        """Updates the remote factors of all tables."""
        for table in self._fleet.tables:
            self.rebalance(now, table)

    def rebalance(self, now: int, table: EndpointTable) -> None:
        """Updates the remote factor of a table; while load is shed, all endpoints serve all zones."""
        table.remote_factor = 1.0
        if table.zone is None or self._admission.is_shedding:
            return
        local, remote = self._capacity_by_side(now, table)
        if not local or not remote:
            return
        demand = max(self._demand_fraction(table.zone), MIN_ZONE_DEMAND_FRACTION)
        kept = min(MAX_KEPT_FRACTION, local / (local + remote) / demand)
        if kept * remote > 0:  # 0 by underflow if the local endpoints have next to no capacity
            table.remote_factor = min(1.0, local * (1 - kept) / (kept * remote))

    def _capacity_by_side(self, now: int, table: EndpointTable) -> tuple[float, float]:
        """Returns the total weight of the endpoints in the zone of the table, and of all others."""
        local = remote = 0.0
        for endpoint in self._fleet.endpoints.values():
            weight = self._weights.weight(now, table, endpoint)
            if endpoint.zone == table.zone:
                local += weight
            else:
                remote += weight
        return local, remote

    def _demand_fraction(self, zone: str) -> float:
        """Returns the share of all requests at the proxies of a zone; absent proxies count as average.

        All proxies count alike if no joined one has a usual rate: an idle proxy states 0.
        """
        sessions = self._fleet.proxies.values()
        are_all_idle = not any(session.usual_rate_per_second for session in sessions)
        rates = [
            (session.zone, 1.0 if are_all_idle else session.usual_rate_per_second) for session in sessions
        ]
        total = sum(rate for _, rate in rates) or 1.0
        absent = self._fleet.absent_proxies * total / max(len(rates), 1)
        local = sum(rate for proxy_zone, rate in rates if proxy_zone == zone)
        return (local + absent / len(self._fleet.settings.zones)) / (total + absent)

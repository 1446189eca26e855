"""The weight of an endpoint in a table, from what the other components know of it."""

from __future__ import annotations

from .context import ControllerContext
from .model import Endpoint, EndpointTable
from .partitions import PartitionDetector
from .slow_start import SlowStart


class EndpointWeights:
    """Weighs endpoints: capacity times latency factor, cut by slow start and locality."""

    def __init__(
        self, context: ControllerContext, slow_start: SlowStart, partitions: PartitionDetector
    ) -> None:
        self._fleet = context.fleet
        self._slow_start = slow_start
        self._partitions = partitions

    def weight(self, now: int, table: EndpointTable, endpoint: Endpoint) -> float:
        """The weight that an endpoint should have in a table."""
        if endpoint.is_ejected or endpoint.zone in self._partitions.unreachable_zones:
            return 0.0
        if not self._fleet.is_eligible(table, endpoint):
            return 0.0
        latency_factor = endpoint.latency_factor
        slow_start = self._slow_start.weight_fraction(now, endpoint)
        if slow_start < 1:
            if table.subset is not None:
                return 0.0  # too few others to share the requests with
            # its latency is low because it is idle, and must not raise it over its slow-start share
            latency_factor = min(latency_factor, 1.0)
        remote_factor = table.remote_factor if endpoint.zone != table.zone else 1.0
        return endpoint.capacity * latency_factor * slow_start * remote_factor

    def weights(self, now: int, table: EndpointTable) -> dict[str, float]:
        """The weights of all endpoints in a table.

        If all weights are 0, the allowed endpoints count alike, ejected ones too, and warming ones only if
        there are no others: a proxy must not be left without an endpoint.
        """
        endpoints = self._fleet.endpoints
        weigh = self.weight
        weights = {name: weigh(now, table, endpoint) for name, endpoint in endpoints.items()}
        if any(weights.values()):
            return weights
        eligible = [name for name, endpoint in endpoints.items() if self._fleet.is_eligible(table, endpoint)]
        warm = [name for name in eligible if not self._slow_start.is_warming_up(now, endpoints[name])]
        last_resort = set(warm or eligible)
        return {name: float(name in last_resort) for name in endpoints}

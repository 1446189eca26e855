"""Computes the weight of an endpoint in a table from capacity, latency, slow start and locality."""

from __future__ import annotations

from .context import ControllerContext
from .model import Endpoint, EndpointTable
from .partitions import PartitionDetector
from .slow_start import SlowStart


class EndpointWeights:
    """Computes weights: capacity times latency factor, reduced by slow start and locality."""

    def __init__(
        self, context: ControllerContext, slow_start: SlowStart, partitions: PartitionDetector
    ) -> None:
        self._fleet = context.fleet
        self._slow_start = slow_start
        self._partitions = partitions

    def weight(self, now: int, table: EndpointTable, endpoint: Endpoint) -> float:
        """Returns the weight that an endpoint should have in a table."""
        if endpoint.is_ejected or endpoint.zone in self._partitions.unreachable_zones:
            return 0.0
        if not self._fleet.is_eligible(table, endpoint):
            return 0.0
        latency_factor = endpoint.latency_factor
        slow_start = self._slow_start.weight_fraction(now, endpoint)
        if slow_start < 1:
            if table.subset is not None:
                return 0.0  # a subset has too few other endpoints to share its requests
            # its latency is low because it is idle and must not raise its weight above its slow-start share
            latency_factor = min(latency_factor, 1.0)
        remote_factor = table.remote_factor if endpoint.zone != table.zone else 1.0
        return endpoint.capacity * latency_factor * slow_start * remote_factor

    def weights(self, now: int, table: EndpointTable) -> dict[str, float]:
        """Returns the weights of all endpoints in a table.

        If all weights are 0, all eligible endpoints get equal weights, even ejected ones, and warming ones
        only if there are no others, because a proxy must not be left without an endpoint.
        """
        endpoints = self._fleet.endpoints
        weight_of = self.weight
        weights = {name: weight_of(now, table, endpoint) for name, endpoint in endpoints.items()}
        if any(weights.values()):
            return weights
        eligible = [name for name, endpoint in endpoints.items() if self._fleet.is_eligible(table, endpoint)]
        warmed_up = [name for name in eligible if not self._slow_start.is_warming_up(now, endpoints[name])]
        last_resort = set(warmed_up or eligible)
        return {name: float(name in last_resort) for name in endpoints}

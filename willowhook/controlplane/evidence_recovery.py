"""Restores the evidence that the controller stored before its restart."""

from __future__ import annotations

from collections.abc import Sequence

from ..decisions.events import EndpointReport
from ..registry.endpoint import DiscoveredEndpoint
from ..ticks import TICKS_PER_MILLISECOND
from .context import ServiceContext


class EvidenceRecovery:
    """Restores stored evidence once, with the first endpoint list that has any endpoints."""

    def __init__(self, context: ServiceContext) -> None:
        """Receives the shared context."""
        self._context = context
        self._is_done = False

    def restore(self, now: int, endpoints: Sequence[DiscoveredEndpoint]) -> None:
        """Reports the stored evidence of endpoints in service to the controller; later calls do nothing."""
        memory = self._context.memory
        if memory is None or self._is_done or not endpoints:
            return
        self._is_done = True
        evidence = memory.recent_evidence(
            {endpoint.id: endpoint.started for endpoint in endpoints if not endpoint.draining}
        )
        for entry in evidence:
            sums = entry.sums
            self._context.handle(
                now, EndpointReport(entry.endpoint, sums.tries, sums.errors, sums.mean, None)
            )
        self._context.records.append(now, "recalled", hosts=len(evidence), life=memory.last_epoch)
        if evidence:
            oldest_ms = max(entry.age_ticks for entry in evidence) // TICKS_PER_MILLISECOND
            self._context.log.info("stored evidence restored", endpoints=len(evidence), oldest_ms=oldest_ms)

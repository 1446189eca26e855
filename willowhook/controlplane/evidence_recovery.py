"""Hands a restarted controller the evidence that it stored before."""

from __future__ import annotations

from collections.abc import Sequence

from ..decisions.events import EndpointReport
from ..records.writer import Records
from ..roster.forms import Host
from ..ticks import TICKS_PER_MILLISECOND
from .condition_log import Logger
from .decider import EventHandler
from .memory import ControllerMemory


class EvidenceRecovery:
    """Restores stored evidence once, with the first endpoint list that has any endpoints."""

    def __init__(
        self, memory: ControllerMemory | None, handle: EventHandler, records: Records, log: Logger
    ) -> None:
        """Takes the memory, if there is a store, and who is handed the evidence."""
        self._memory = memory
        self._handle = handle
        self._records = records
        self._log = log

    def restore(self, now: int, endpoints: Sequence[Host]) -> None:
        """Reports the stored evidence of endpoints in service to the controller; later calls do nothing."""
        if self._memory is None or not endpoints:
            return
        memory, self._memory = self._memory, None
        evidence = memory.recent_evidence({each.id: each.started for each in endpoints if not each.draining})
        for each in evidence:
            sums = each.sums
            self._handle(now, EndpointReport(each.endpoint, sums.tries, sums.errors, sums.mean, None))
        self._records.note(now, "recalled", hosts=len(evidence), life=memory.last_epoch)
        if evidence:
            oldest_ms = max(each.age_ticks for each in evidence) // TICKS_PER_MILLISECOND
            self._log.info("stored evidence restored", endpoints=len(evidence), oldest_ms=oldest_ms)

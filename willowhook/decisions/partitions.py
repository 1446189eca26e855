"""Network partitions: zones that cannot be reached from here, by health checks that time out together."""

from __future__ import annotations

from .context import ControllerContext
from .model import Endpoint
from .slow_start import SlowStart

MISSED_FRACTION = 0.7  # share of a zone's endpoints that missed their last check when it is cut off


class PartitionDetector:
    """Judges zones by the health checks of their endpoints.

    Requests to a zone that is cut off time out seconds before the reports on them tell. Without health checks
    nothing is detected.

    Attributes:
        unreachable_zones: those that are cut off now.
    """

    def __init__(self, context: ControllerContext, slow_start: SlowStart) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._slow_start = slow_start
        self.unreachable_zones: list[str] = []

    def update(self, now: int) -> bool:
        """Judges all zones again; returns whether the set of unreachable zones has changed."""
        checked = self._checked_endpoints(now)
        zones = self._find_unreachable(checked)
        if zones == self.unreachable_zones:
            return False
        self.unreachable_zones = zones
        self._slow_start.hold_warming_endpoints(now)
        self._runtime.log(
            f"zones unreachable zones={','.join(zones) or 'none'} checked_endpoints={len(checked)}"
        )
        return True

    def _checked_endpoints(self, now: int) -> list[Endpoint]:
        # a warming endpoint answers its health checks whatever becomes of the rest
        return [
            endpoint
            for endpoint in self._fleet.endpoints.values()
            if endpoint.is_in_service
            and endpoint.next_health_check_at
            and not self._slow_start.is_warming_up(now, endpoint)
        ]

    def _find_unreachable(self, checked: list[Endpoint]) -> list[str]:
        settings = self._fleet.settings
        missed = {
            zone: [endpoint.missed_health_check for endpoint in checked if endpoint.zone == zone]
            for zone in settings.zones
        }
        local = missed.get(settings.local_zone, [])
        if not local or sum(local) > (1 - MISSED_FRACTION) * len(local):
            return []  # the trouble is here, or everywhere
        return [
            zone for zone, rows in missed.items() if len(rows) > 1 and sum(rows) > MISSED_FRACTION * len(rows)
        ]

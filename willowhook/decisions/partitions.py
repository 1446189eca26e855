"""Network partition detection: finds unreachable zones by health checks that fail together."""

from __future__ import annotations

from .context import ControllerContext
from .model import Endpoint
from .slow_start import SlowStart

MISSED_FRACTION = 0.7  # share of missed last checks above which a zone is unreachable


class PartitionDetector:
    """Detects unreachable zones by the health checks of their endpoints.

    Reports would show a partition only seconds after the first requests have timed out. Without health checks
    no partition is detected.

    Attributes:
        unreachable_zones: zones that are currently unreachable.
    """

    def __init__(self, context: ControllerContext, slow_start: SlowStart) -> None:
        self._fleet = context.fleet
        self._runtime = context.runtime
        self._slow_start = slow_start
        self.unreachable_zones: list[str] = []

    def update(self, now: int) -> bool:
        """Updates the unreachable zones; returns whether they have changed."""
        checked = self._checked_endpoints(now)
        zones = self._find_unreachable(checked)
        if zones == self.unreachable_zones:
            return False
        self.unreachable_zones = zones
        self._slow_start.suspend_warming_weights(now)
        self._runtime.log(
            f"zones unreachable zones={','.join(zones) or 'none'} checked_endpoints={len(checked)}"
        )
        return True

    def _checked_endpoints(self, now: int) -> list[Endpoint]:
        # warming endpoints are left out: they answer health checks even if the others of their zone do not
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
            return []  # the local zone is affected too, so the problem is not a partition of other zones
        return [
            zone
            for zone, results in missed.items()
            if len(results) > 1 and sum(results) > MISSED_FRACTION * len(results)
        ]

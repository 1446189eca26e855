"""What the components of one controller share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .channel import ChannelEstimate
from .conditions import FleetConditions
from .fleet import FleetState
from .queue_limits import QueueLimits
from .runtime import ControllerRuntime
from .settings import DeploymentSettings


@dataclass(frozen=True, slots=True)
class ControllerContext:
    """Shared state and the way out.

    Attributes:
        settings: the deployment's.
        runtime: carries out the commands.
        fleet: endpoints, proxies and tables.
        conditions: what the reports say of the fleet as a whole.
        channel: the estimate of what waits in the channel to the proxies.
        limits: how much may wait there.
        random_fraction: a seeded source of numbers from 0 to 1.
        bucket_ticks: the length of the buckets in which reports are summed.
        started_at: when this controller started.
    """

    settings: DeploymentSettings
    runtime: ControllerRuntime
    fleet: FleetState
    conditions: FleetConditions
    channel: ChannelEstimate
    limits: QueueLimits
    random_fraction: Callable[[], float]
    bucket_ticks: int
    started_at: int

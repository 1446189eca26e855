"""The state that the components of one controller share."""

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
    """Shared state, and the runtime that carries out commands.

    Attributes:
        settings: the settings of the deployment.
        runtime: carries out the commands.
        fleet: endpoints, proxies and tables.
        conditions: fleet-wide conditions derived from the reports.
        channel: the estimate of the queue in the channel to the proxies.
        limits: limits of that queue.
        random_fraction: a seeded source of random numbers from 0 to 1.
        bucket_ticks: the length of the time buckets in which reports are summed.
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

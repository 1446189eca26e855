"""The interface between the control plane and the controller that makes the decisions."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from ..decisions.events import Event
from ..decisions.runtime import ControllerRuntime
from ..decisions.settings import DeploymentSettings


class Decider(Protocol):
    """Makes the decisions: a `Controller`, or a test double."""

    def handle(self, now: int, event: Event) -> None:
        """Processes one event."""

    def observe_queue(self, entries: float) -> None:
        """Records how many entries wait in the channel; called before `flush`."""

    def flush(self, now: int) -> None:
        """Issues the commands that result from the events since the last flush."""

    def queue_estimate(self) -> float:
        """Returns the estimated number of entries that wait in the channel."""

    def learnt_capacities(self) -> Mapping[str, float]:
        """Returns each endpoint's capacity relative to the mean, listed or learnt, by endpoint name."""


class ControllerPort:
    """Forwards events to the controller, which is created last: its first commands need all components."""

    def __init__(self) -> None:
        """Creates a port without a controller."""
        self._controller: Decider | None = None

    def attach(self, controller: Decider) -> None:
        """Sets the controller that receives the events."""
        self._controller = controller

    def handle(self, now: int, event: Event) -> None:
        """Forwards an event."""
        assert self._controller is not None, f"{type(event).__name__} before the controller was attached"
        self._controller.handle(now, event)


DeciderFactory = Callable[[ControllerRuntime, DeploymentSettings, int, int], Decider]
"""Creates a decider from its runtime, its settings, the seed of its random numbers and the current tick."""

EventHandler = Callable[[int, Event], None]
"""Passes the current tick and an event to the decider; only the decision task may call it."""

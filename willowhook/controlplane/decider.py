"""The interface of the decisions, as the control plane runs them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from ..decisions.events import Event
from ..decisions.runtime import ControllerRuntime
from ..decisions.settings import DeploymentSettings


class Decider(Protocol):
    """What makes the decisions: a `Controller`, or a stand-in for it in a test."""

    def handle(self, now: int, event: Event) -> None:
        """Processes one event."""

    def flush(self, now: int) -> None:
        """Issues the commands that follow from the events since the last flush."""

    def queue_estimate(self) -> float:
        """The entries that wait on the channel, as the decider estimates them."""

    def learnt_capacities(self) -> Mapping[str, float]:
        """The capacities learnt from load reports, by the name of the endpoint."""


class ControllerPort:
    """Hands events to the controller, which is made last: its first commands need the other components."""

    def __init__(self) -> None:
        """Creates a port without a controller."""
        self._controller: Decider | None = None

    def attach(self, controller: Decider) -> None:
        """Sets the controller that events go to."""
        self._controller = controller

    def handle(self, now: int, event: Event) -> None:
        """Hands on an event."""
        assert self._controller is not None, f"{type(event).__name__} before the controller was made"
        self._controller.handle(now, event)


DeciderFactory = Callable[[ControllerRuntime, DeploymentSettings, int, int], Decider]
"""Makes a decider from its runtime, its settings, the seed of its random numbers and the current tick."""

EventHandler = Callable[[int, Event], None]
"""Hands an event to the decider, with the current tick; only the decision task may call it."""

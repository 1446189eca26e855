"""The messages that the simulator sends to the adapter, apart from the events of the decisions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from ..decisions.events import Event
from ..decisions.settings import DeploymentSettings
from ..errors import WillowhookError
from .values import FieldError

EventParser = Callable[[list[str]], Event | None]


class MalformedMessageError(WillowhookError):
    """A line of the simulator is not what its wire allows; the message names the message and the field."""


@dataclass(frozen=True, slots=True)
class BatchStarted:
    """A batch of events begins.

    Attributes:
        now: the time of all its events, in ticks.
        batch_id: as the reply has to repeat it.
    """

    now: int
    batch_id: str


@dataclass(frozen=True, slots=True)
class BatchEnded:
    """The batch is complete and waits for its reply."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance of the controller starts, or starts again.

    Attributes:
        instance: its number, as text.
        seed: of its random numbers.
        settings: of its deployment.
    """

    instance: str
    seed: int
    settings: DeploymentSettings


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """An instance has been killed and loses its state."""

    instance: str


class InstanceEvent(NamedTuple):
    """An event of one instance. Its fields are decoded on demand: an instance that has failed needs none.

    A named tuple, as most lines are events and it is made faster than a frozen dataclass.

    Attributes:
        instance: the number of the instance, as text.
        fields: the line's fields; the first is the name of the message.
        parse: reads the fields.
    """

    instance: str
    fields: list[str]
    parse: EventParser

    def decode(self) -> Event | None:
        """The event for the decisions; None if it does not concern them. Raises MalformedMessageError."""
        try:
            return self.parse(self.fields)
        except FieldError as error:
            raise MalformedMessageError(f"{self.fields[0]}: {error}") from error


Message = BatchStarted | BatchEnded | InstanceStarted | InstanceStopped | InstanceEvent

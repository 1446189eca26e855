"""The messages that the simulator sends to the adapter; the events in them are defined by the decisions."""

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
    """A line of the simulator violates the wire format; the error names the message and the field."""


@dataclass(frozen=True, slots=True)
class BatchStarted:
    """A batch of events starts.

    Attributes:
        now: the time of all its events, in ticks.
        batch_id: identifier of the batch, which the reply repeats.
    """

    now: int
    batch_id: str


@dataclass(frozen=True, slots=True)
class BatchEnded:
    """The batch is complete; the simulator waits for the reply."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """A controller instance starts or restarts.

    Attributes:
        instance: the number of the instance, as text.
        seed: seed of its random numbers.
        settings: the settings of its deployment.
    """

    instance: str
    seed: int
    settings: DeploymentSettings


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """An instance was killed; its state is lost."""

    instance: str


class InstanceEvent(NamedTuple):
    """An event of one instance. Its fields are decoded on demand, as events of failed instances are ignored.

    A named tuple because most lines are events, and it is faster to create than a frozen dataclass.

    Attributes:
        instance: the number of the instance, as text.
        fields: the fields of the line; the first is the message name.
        parse: parses the fields.
    """

    instance: str
    fields: list[str]
    parse: EventParser

    def decode(self) -> Event | None:
        """Returns the event, or None if the decisions do not use it. Raises MalformedMessageError."""
        try:
            return self.parse(self.fields)
        except FieldError as error:
            raise MalformedMessageError(f"{self.fields[0]}: {error}") from error


Message = BatchStarted | BatchEnded | InstanceStarted | InstanceStopped | InstanceEvent

"""Runs the controller instances that the simulator starts, and processes events batch by batch.

The simulator starts one process for any number of instances, which share only the reader and the writer. The
codec modules define the wire format.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Iterable
from typing import TextIO

from ..decisions.controller import Controller
from ..decisions.events import Event
from ..errors import WillowhookError
from .codec import MessageReader
from .commands import InstanceCommands, ReplyWriter
from .messages import (
    BatchEnded,
    BatchStarted,
    InstanceEvent,
    InstanceStarted,
    InstanceStopped,
    MalformedMessageError,
    Message,
)

SHOWN_CHARACTERS = 200  # of a malformed line, in the error message


class SimulatorAdapter:
    """Passes events to the controllers of the instances, and returns their commands.

    If the controller of an instance raises, the failure is reported to the simulator, and the instance is
    ignored until it is started again. A malformed line ends the process.
    """

    def __init__(self, source: Iterable[str], sink: TextIO, errors: TextIO = sys.stderr) -> None:
        """Reads lines from `source`, writes replies to `sink` and error messages to `errors`."""
        self._reader = MessageReader(source)
        self._reply = ReplyWriter(sink)
        self._errors = errors
        self._now = 0
        self._batch_id: str | None = None
        self._controllers: dict[str, Controller] = {}
        self._failed: set[str] = set()
        self._unflushed: dict[str, None] = {}  # instances with an event in this batch, in order of arrival

    def run(self) -> int:
        """Handles batches until the input ends. Returns the exit code: 1 if a line was malformed, else 0."""
        try:
            for message in self._reader.messages():
                self._process(message)
        except (WillowhookError, ValueError) as error:  # ValueError: input that is not UTF-8
            line = self._reader.line[:SHOWN_CHARACTERS]
            self._errors.write(f"willowhook.simulator: {type(error).__name__}: {error} in line: {line}\n")
            return 1
        return 0

    def _process(self, message: Message) -> None:
        match message:
            case InstanceEvent():
                self._process_event(message)
            case BatchStarted():
                self._now = message.now
                self._batch_id = message.batch_id
            case BatchEnded():
                self._end_batch()
            case InstanceStarted():
                self._start_instance(message)
            case InstanceStopped():
                self._controllers.pop(message.instance, None)
                self._unflushed.pop(message.instance, None)

    def _process_event(self, message: InstanceEvent) -> None:
        instance = message.instance
        controller = self._controllers.get(instance)
        if controller is None:
            if instance in self._failed:
                return
            raise MalformedMessageError(f"instance {instance} has not been started")
        self._unflushed[instance] = None
        event = message.decode()  # outside the try: a malformed line is not a failure of the controller
        if event is not None:
            self._handle(instance, controller, event)

    def _handle(self, instance: str, controller: Controller, event: Event) -> None:
        try:
            controller.handle(self._now, event)
        except Exception as error:  # any failure affects only this instance
            self._fail_instance(instance, error)

    def _start_instance(self, message: InstanceStarted) -> None:
        instance = message.instance
        self._failed.discard(instance)
        self._controllers.pop(instance, None)
        self._unflushed[instance] = None
        commands = InstanceCommands(instance, self._reply)
        try:
            controller = Controller(commands, message.settings, message.seed, self._now)
        except Exception as error:  # any failure affects only this instance
            self._fail_instance(instance, error)
        else:
            self._controllers[instance] = controller

    def _end_batch(self) -> None:
        if self._batch_id is None:
            raise MalformedMessageError("COMMIT without a preceding CLOCK")
        for instance in self._unflushed:
            controller = self._controllers.get(instance)
            if controller is None:
                continue
            try:
                controller.flush(self._now)
            except Exception as error:  # any failure affects only this instance
                self._fail_instance(instance, error)
        self._unflushed.clear()
        self._reply.finish(self._batch_id)

    def _fail_instance(self, instance: str, error: Exception) -> None:
        traceback.print_exception(error, file=self._errors)
        self._reply.add_failure(instance, error)
        self._controllers.pop(instance, None)
        self._failed.add(instance)

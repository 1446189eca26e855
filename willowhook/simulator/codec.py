"""Parses the lines of the simulator into typed messages. A message is one line of tab-separated fields."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from ..settings_codec import parse_settings
from .endpoint_lists import EndpointListRegistry
from .event_codec import EVENT_FORMATS, EventFormat
from .messages import (
    BatchEnded,
    BatchStarted,
    InstanceEvent,
    InstanceStarted,
    InstanceStopped,
    MalformedMessageError,
    Message,
)
from .values import FieldError, parse_integer, parse_ticks

LIST_CHANGE_FIELDS = 5
CLOCK_FIELDS = 3
HELLO_FIELDS = 4
TEARDOWN_FIELDS = 2


class MessageReader:
    """Parses lines into messages.

    Attributes:
        line: the last line that was parsed, without its line ending.
    """

    def __init__(self, lines: Iterable[str]) -> None:
        """Parses these lines."""
        self.line = ""
        self._lines = iter(lines)
        self._lists = EndpointListRegistry()
        list_change = EventFormat(LIST_CHANGE_FIELDS, self._lists.parse_change)
        self._event_formats = {**EVENT_FORMATS, "ROSTER_CHANGE": list_change}
        self._control_parsers: dict[str, Callable[[list[str]], Message | None]] = {
            "CLOCK": self._parse_clock,
            "COMMIT": self._parse_commit,
            "REGISTER": self._register_list,
            "HELLO": self._parse_hello,
            "TEARDOWN": self._parse_teardown,
        }

    def messages(self) -> Iterator[Message]:
        """Yields messages until the input ends. Raises MalformedMessageError, SettingsError."""
        for line in self._lines:
            self.line = line.rstrip("\r\n")
            message = self._parse(self.line)
            if message is not None:
                yield message

    def _parse(self, line: str) -> Message | None:
        """Returns the message of a line; None for an empty line or the registration of an endpoint list."""
        fields = line.split("\t")
        name = fields[0]
        event_format = self._event_formats.get(name)
        if event_format is not None:
            if len(fields) != event_format.field_count:
                raise _wrong_field_count(fields, event_format.field_count)
            return InstanceEvent(fields[1], fields, event_format.parse)
        parse_control = self._control_parsers.get(name)
        if parse_control is not None:
            try:
                return parse_control(fields)
            except FieldError as error:
                raise MalformedMessageError(f"{name}: {error}") from error
        if line:
            raise MalformedMessageError(f"unknown message {name!r}")
        return None

    def _parse_clock(self, fields: list[str]) -> BatchStarted:
        if len(fields) < CLOCK_FIELDS:
            raise _wrong_field_count(fields, CLOCK_FIELDS)
        return BatchStarted(parse_ticks("clock", fields[1]), fields[2])

    def _parse_commit(self, _: list[str]) -> BatchEnded:
        return BatchEnded()

    def _register_list(self, fields: list[str]) -> None:
        self._lists.register(fields, self._lines)

    def _parse_hello(self, _: list[str]) -> InstanceStarted:
        fields = self.line.split("\t", HELLO_FIELDS - 1)  # the settings take the rest of the line
        if len(fields) < HELLO_FIELDS:
            raise _wrong_field_count(fields, HELLO_FIELDS)
        instance, seed, settings = fields[1:]
        return InstanceStarted(instance, parse_integer("entropy", seed), parse_settings(settings))

    def _parse_teardown(self, fields: list[str]) -> InstanceStopped:
        if len(fields) < TEARDOWN_FIELDS:
            raise _wrong_field_count(fields, TEARDOWN_FIELDS)
        return InstanceStopped(fields[1])


def _wrong_field_count(fields: list[str], expected: int) -> MalformedMessageError:
    return MalformedMessageError(f"{fields[0]} has {len(fields) - 1} values, expected {expected - 1}")

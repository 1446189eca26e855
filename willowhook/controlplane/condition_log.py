"""Logs persisting conditions: one line when a condition begins and one when it ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..records.writer import RecordWriter


class Logger(Protocol):
    """The part of a structlog logger that the control plane uses."""

    def info(self, event: str, /, **fields: Any) -> Any:
        """Logs an ordinary event."""

    def warning(self, event: str, /, **fields: Any) -> Any:
        """Logs an event that an operator should look at."""


class BindableLogger(Logger, Protocol):
    """A logger to which fields can be bound that all its lines carry."""

    def bind(self, **fields: Any) -> Logger:
        """Returns a logger whose lines carry these fields."""


class ConditionLog:
    """Tracks named conditions, such as a full queue or a disk error, and reports only their changes."""

    def __init__(self, log: Logger, records: RecordWriter, now: Callable[[], int]) -> None:
        """`now` returns the current tick."""
        self._log = log
        self._records = records
        self._now = now
        self._active: dict[str, bool] = {}

    def report(self, name: str, active: bool, event: str, **fields: Any) -> None:
        """Sets a condition's state; a change is logged as `event` and noted in the records file.

        The beginning of a condition is logged as a warning, its end as information. A condition that was
        never reported counts as inactive.
        """
        if self._active.get(name, False) == active:
            return
        self._active[name] = active
        log = self._log.warning if active else self._log.info
        log(event, **fields)
        shown = {key: str(value) for key, value in fields.items()}
        self._records.append(self._now(), "mode", name=name, on=active, **shown)

    def announce(self, text: str) -> None:
        """Logs a line for the operator and notes it in the records file."""
        self._log.info(text)
        self._records.append(self._now(), "said", text=text)

"""Turns answers of discovery, and their absence, into events."""

from __future__ import annotations

from ..decisions.events import EndpointListLost
from .endpoint_list import EndpointListDecoder
from .fields import Fields
from .proxy_sessions import SubmitEvent
from .runtime import WriteLog


class EndpointListFeed:
    """Submits the changes of the endpoint list, and logs when discovery is lost and when it recovers."""

    def __init__(self, submit: SubmitEvent, write_log: WriteLog) -> None:
        """Starts with no list."""
        self._submit = submit
        self._write_log = write_log
        self._decoder = EndpointListDecoder()
        self._is_lost = False

    def load(self, answer: Fields) -> int | None:
        """Takes a list that the configuration holds, and returns its version. Raises FieldError."""
        received = self._decoder.decode(answer)
        if received.is_complete or received.entries:
            self._submit(received)
        return self._decoder.version

    def handle_answer(self, answer: Fields) -> int | None:
        """Takes an answer of discovery, and returns the version of the list then. Raises FieldError."""
        version = self.load(answer)
        if self._is_lost:
            self._is_lost = False
            self._write_log("discovery recovered")
        return version

    def handle_loss(self, reason: str) -> None:
        """Takes note that discovery did not answer, or not with a list; only the first loss is logged."""
        if not self._is_lost:
            self._is_lost = True
            self._write_log(f"discovery lost error={reason!r}")
        self._submit(EndpointListLost())

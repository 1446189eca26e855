"""Converts answers from service discovery, and losses of it, into events."""

from __future__ import annotations

from ..decisions.events import EndpointListLost
from .endpoint_list import EndpointListDecoder
from .fields import Fields
from .proxy_sessions import SubmitEvent
from .runtime import WriteLog


class DiscoveryEvents:
    """Submits the changes of the endpoint list, and logs when discovery is lost and when it recovers.

    It logs one line per loss and one per recovery. The controller's decisions also log a line, `endpoint list
    lost`, with the pause before its retry, while that grows.

    Args:
        submit: handles the events.
        write_log: writes one line to the log.
    """

    def __init__(self, submit: SubmitEvent, write_log: WriteLog) -> None:
        self._submit = submit
        self._write_log = write_log
        self._decoder = EndpointListDecoder()
        self._is_lost = False

    def load(self, answer: Fields) -> int | None:
        """Handles the list of the configuration and returns its version. Raises MalformedFieldError."""
        received = self._decoder.decode(answer)
        if received.is_complete or received.entries:
            self._submit(received)
        return self._decoder.version

    def handle_answer(self, answer: Fields) -> int | None:
        """Handles an answer from service discovery and returns the list version that it results in.

        Raises MalformedFieldError.
        """
        version = self.load(answer)
        if self._is_lost:
            self._is_lost = False
            self._write_log("discovery recovered")
        return version

    def handle_loss(self, reason: str) -> None:
        """Handles an answer that did not arrive or was invalid; only the first failure in a row is logged."""
        if not self._is_lost:
            self._is_lost = True
            self._write_log(f"discovery lost error={reason!r}")
        self._submit(EndpointListLost())

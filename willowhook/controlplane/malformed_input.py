"""Malformed input of proxies: each is reported once, until a well-formed file of the kind comes."""

from __future__ import annotations

from collections.abc import Callable

from .proxy_events import ProxyInputRejected


class MalformedInputReporter:
    """Emits `ProxyInputRejected` for the first of several malformed inputs of a proxy.

    Attributes:
        last_cause: why the input that was rejected last was malformed.
    """

    def __init__(self, emit: Callable[[ProxyInputRejected], None]) -> None:
        """Receives what takes the events."""
        self._emit = emit
        self._rejected_files: dict[str, str] = {}  # by proxy: the file that was found malformed last
        self.last_cause = ""

    def reject(self, name: str, file: str, cause: str) -> None:
        """Notes malformed input; it is reported unless the same file of the proxy was malformed before."""
        self.last_cause = cause
        if self._rejected_files.get(name) != file:
            self._rejected_files[name] = file
            self._emit(ProxyInputRejected(name, f"{file}: {cause}"))

    def accept(self, name: str, file: str) -> None:
        """A well-formed file has come."""
        if self._rejected_files.get(name) == file:
            del self._rejected_files[name]

    def accept_all(self, name: str) -> None:
        """A session was opened: nothing of the proxy is malformed."""
        self._rejected_files.pop(name, None)

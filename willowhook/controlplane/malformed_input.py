"""Reports malformed input of a proxy once, until a well-formed file of the same name arrives."""

from __future__ import annotations

from collections.abc import Callable

from .proxy_events import ProxyInputRejected


class MalformedInputReporter:
    """Emits `ProxyInputRejected` for the first of several malformed inputs of a proxy.

    Attributes:
        last_cause: what was malformed in the input that was rejected last.
    """

    def __init__(self, emit: Callable[[ProxyInputRejected], None]) -> None:
        """`emit` receives the events."""
        self._emit = emit
        self._rejected_files: dict[str, str] = {}  # by proxy: the file that was malformed last
        self.last_cause = ""

    def reject(self, name: str, file: str, cause: str) -> None:
        """Records malformed input; it is reported unless the same file of the proxy was malformed before."""
        self.last_cause = cause
        if self._rejected_files.get(name) != file:
            self._rejected_files[name] = file
            self._emit(ProxyInputRejected(name, f"{file}: {cause}"))

    def accept(self, name: str, file: str) -> None:
        """Records that a well-formed file has arrived."""
        if self._rejected_files.get(name) == file:
            del self._rejected_files[name]

    def accept_all(self, name: str) -> None:
        """Forgets the malformed input of a proxy, whose session was opened."""
        self._rejected_files.pop(name, None)

"""Where the updates of one proxy go: a folder of atomically swapped files, or a session answering its calls.

Both publish sets of the one resource store.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from ..files.swap import FileGroupWriter
from ..membership.version import Version
from ..versions.discovery_session import DiscoverySession
from ..versions.resources import TABLES, Resource, ResourceSet, ResourceStore
from ..xds import forms
from ..xds.codec import encode_response
from .proxy_resources import CONTROLLERS_RESOURCE, ResourcesByType

FILE_SUFFIX = ".json"


class UpdateSink(Protocol):
    """Receives the updates of one proxy.

    Attributes:
        may_block: whether what `prepare` and `prepare_rewrite` return may wait for a disk.
    """

    may_block: bool

    def prepare(
        self, number: int, resources: ResourcesByType, excluded: frozenset[str]
    ) -> Callable[[], bool]:
        """Returns what makes this the proxy's newest message when it is called, in whatever thread.

        The call returns False if nothing that the proxy can see has changed, and may raise OSError.
        """

    def prepare_rewrite(self) -> Callable[[], bool]:
        """Returns what, when called, puts the newest message in place again, where it may have been lost.

        The call returns whether it wrote anything, and may raise OSError.
        """

    def send_away(self, resource: bytes) -> None:
        """Makes the proxy join another controller; `resource` says so in the next message."""

    def close(self) -> None:
        """Called when the proxy has left."""


class FileUpdateSink:
    """A folder of files. A file whose resources are as before keeps its version, so it is not swapped."""

    def __init__(
        self, file_writer: FileGroupWriter, store: ResourceStore, term: int, epoch: int, may_block: bool
    ) -> None:
        """`term` and `epoch` are the first two parts of the versions in its files."""
        self.file_writer = file_writer
        self.may_block = may_block
        self._store = store
        self._term = term
        self._epoch = epoch
        self._sets: dict[str, ResourceSet] = {}  # by type, as last written
        self._files: dict[str, bytes] = {}
        self._send_away_resource: bytes | None = None

    def files(self, number: int, resources: ResourcesByType) -> dict[str, bytes]:
        """Returns the files of a message by name; the unchanged ones as they were."""
        version = str(Version(self._term, self._epoch, number))
        for kind, rows in resources.items():
            last = self._sets.get(kind)
            resource_set = self._store.make_set(kind, self._with_send_away(kind, rows), last)
            if resource_set is not last:
                self._sets[kind] = resource_set
                bodies = [each.body for each in resource_set.resources.values()]
                self._files[kind + FILE_SUFFIX] = encode_response(
                    version, forms.TYPE_URLS[kind], version, bodies
                )
        return {kind + FILE_SUFFIX: self._files[kind + FILE_SUFFIX] for kind in resources}

    def prepare(
        self, number: int, resources: ResourcesByType, excluded: frozenset[str]
    ) -> Callable[[], bool]:
        """See `UpdateSink.prepare`."""
        return partial(self.file_writer.put, self.files(number, resources))

    def prepare_rewrite(self) -> Callable[[], bool]:
        """See `UpdateSink.prepare_rewrite`; the files are written whole."""
        files = self.file_writer.files
        self.file_writer.files = {}
        return partial(self.file_writer.put, files) if files else _write_nothing

    def send_away(self, resource: bytes) -> None:
        """See `UpdateSink.send_away`."""
        self._send_away_resource = resource

    def close(self) -> None:
        """Does nothing: the component that made the folder removes it."""

    def _with_send_away(self, kind: str, rows: list[tuple[str, bytes]]) -> list[tuple[str, bytes]]:
        if kind != TABLES or not self._send_away_resource:
            return rows
        return [*rows, (CONTROLLERS_RESOURCE, self._send_away_resource)]


class HttpUpdateSink:
    """A session that answers a proxy's calls."""

    may_block = False

    def __init__(
        self, session: DiscoverySession, store: ResourceStore, notify: Callable[[DiscoverySession], None]
    ) -> None:
        """`notify` is called when a waiting call may have its answer."""
        self.session = session
        self.is_sent_away = False
        self._store = store
        self._notify = notify

    def prepare(
        self, number: int, resources: ResourcesByType, excluded: frozenset[str]
    ) -> Callable[[], bool]:
        """See `UpdateSink.prepare`; the message is offered at once."""
        sets = {
            kind: self._store.make_set(kind, rows, self.session.newest(kind))
            for kind, rows in resources.items()
        }
        has_changed = self.session.want(number, sets, excluded)
        if has_changed or self.is_sent_away:
            self._notify(self.session)
        return lambda: has_changed

    def halt(self, resource: Resource) -> bool:
        """Offers what the proxy ran before in place of this version. Returns whether it can."""
        if self.session.halt(resource):
            self._notify(self.session)
            return True
        return False

    def prepare_rewrite(self) -> Callable[[], bool]:
        """Nothing is written: a proxy repeats a call that had no answer."""
        return _write_nothing

    def send_away(self, resource: bytes) -> None:
        """See `UpdateSink.send_away`; the answer to the proxy's next call says so."""
        self.is_sent_away = True

    def close(self) -> None:
        """Ends the call that is waiting."""
        self._notify(self.session)


def _write_nothing() -> bool:
    return False

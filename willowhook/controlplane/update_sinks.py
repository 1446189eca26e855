"""The destinations of one proxy's updates: a folder of atomically replaced files, or a discovery session.

Both publish resource sets of the same resource store.
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
        may_block: whether the functions that `prepare` and `prepare_rewrite` return may wait for a disk.
    """

    may_block: bool

    def prepare(
        self, number: int, resources: ResourcesByType, excluded: frozenset[str]
    ) -> Callable[[], bool]:
        """Returns a function that publishes this as the proxy's newest message; any thread may call it.

        The function returns False if nothing that the proxy can see has changed. It may raise OSError.
        """

    def prepare_rewrite(self) -> Callable[[], bool]:
        """Returns a function that writes the newest message again, in case it was lost.

        The function returns whether it wrote anything. It may raise OSError.
        """

    def send_away(self, resource: bytes) -> None:
        """Makes the next message ask the proxy to join another controller, by including `resource`."""

    def close(self) -> None:
        """Called when the proxy has left."""


class FileUpdateSink:
    """A folder of files. A file whose resources have not changed keeps its version and is not replaced."""

    def __init__(
        self, file_writer: FileGroupWriter, store: ResourceStore, term: int, epoch: int, may_block: bool
    ) -> None:
        """`term` and `epoch` are the first two parts of the versions in its files."""
        self.file_writer = file_writer
        self.may_block = may_block
        self._store = store
        self._term = term
        self._epoch = epoch
        self._sets: dict[str, ResourceSet] = {}  # by type, as last published
        self._files: dict[str, bytes] = {}
        self._send_away_resource: bytes | None = None

    def files(self, number: int, resources: ResourcesByType) -> dict[str, bytes]:
        """Returns the files of a message by name; unchanged files keep their version."""
        version = str(Version(self._term, self._epoch, number))
        for kind, named_bodies in resources.items():
            previous_set = self._sets.get(kind)
            resource_set = self._store.make_set(kind, self._with_send_away(kind, named_bodies), previous_set)
            if resource_set is not previous_set:
                self._sets[kind] = resource_set
                bodies = [resource.body for resource in resource_set.resources.values()]
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
        """See `UpdateSink.prepare_rewrite`; all files are written, whether changed or not."""
        files = self.file_writer.files
        self.file_writer.files = {}
        return partial(self.file_writer.put, files) if files else _write_nothing

    def send_away(self, resource: bytes) -> None:
        """See `UpdateSink.send_away`."""
        self._send_away_resource = resource

    def close(self) -> None:
        """Does nothing: the session manager removes the folder."""

    def _with_send_away(self, kind: str, named_bodies: list[tuple[str, bytes]]) -> list[tuple[str, bytes]]:
        if kind != TABLES or not self._send_away_resource:
            return named_bodies
        return [*named_bodies, (CONTROLLERS_RESOURCE, self._send_away_resource)]


class HttpUpdateSink:
    """A discovery session, which answers a proxy's requests."""

    may_block = False

    def __init__(
        self, session: DiscoverySession, store: ResourceStore, notify: Callable[[DiscoverySession], None]
    ) -> None:
        """`notify` is called when a waiting request can be answered."""
        self.session = session
        self.is_sent_away = False
        self._store = store
        self._notify = notify

    def prepare(
        self, number: int, resources: ResourcesByType, excluded: frozenset[str]
    ) -> Callable[[], bool]:
        """See `UpdateSink.prepare`; the message is offered to the session at once."""
        sets = {
            kind: self._store.make_set(kind, named_bodies, self.session.newest(kind))
            for kind, named_bodies in resources.items()
        }
        has_changed = self.session.want(number, sets, excluded)
        if has_changed or self.is_sent_away:
            self._notify(self.session)
        return lambda: has_changed

    def halt(self, resource: Resource) -> bool:
        """Offers the previous version of a halted resource. Returns whether the session has one."""
        if self.session.halt(resource):
            self._notify(self.session)
            return True
        return False

    def prepare_rewrite(self) -> Callable[[], bool]:
        """See `UpdateSink.prepare_rewrite`; nothing is written, as a proxy repeats unanswered requests."""
        return _write_nothing

    def send_away(self, resource: bytes) -> None:
        """See `UpdateSink.send_away`; the answer to the proxy's next request includes it."""
        self.is_sent_away = True

    def close(self) -> None:
        """Ends the waiting request, if any."""
        self._notify(self.session)


def _write_nothing() -> bool:
    return False

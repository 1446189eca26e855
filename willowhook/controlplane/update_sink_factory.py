"""Creates the sink that receives the updates of a proxy that joins."""

from __future__ import annotations

from ..files.swap import FileGroupWriter
from ..versions.resources import ResourceStore
from .context import ServiceContext
from .discovery_feed import DiscoveryFeed
from .proxy_events import ProxySessionOpened
from .update_sinks import FileUpdateSink, UpdateSink


class UpdateSinkFactory:
    """Creates file sinks, and sinks with a session for proxies that use the xDS discovery server."""

    def __init__(
        self,
        context: ServiceContext,
        file_writer_type: type[FileGroupWriter],
        store: ResourceStore,
        discovery: DiscoveryFeed | None,
    ) -> None:
        """Stores the class that writes files, the resource store, and the xDS discovery server if any."""
        self._context = context
        self._file_writer_type = file_writer_type
        self._store = store
        self._discovery = discovery
        self._count = 0  # of sessions; keeps the names of file versions unique to one session

    def make(self, session: ProxySessionOpened) -> UpdateSink:
        """Creates the sink of a session. A folder that cannot be opened is reported and retried later."""
        self._count += 1
        if session.uses_discovery and self._discovery is not None:
            return self._discovery.make_sink(session.proxy, session.name, session.held)
        epoch = self._context.epoch
        durability = self._context.terms.files.durability
        path = f"{self._context.folder.outbound_path}/{session.name}"
        file_writer = self._file_writer_type(path, self._context.ops, durability, f"{epoch}-{self._count}-")
        try:
            file_writer.open()
        except OSError as error:
            self._context.conditions.report(
                "disk", True, "files cannot be written", proxy=session.name, cause=str(error)
            )
        return FileUpdateSink(file_writer, self._store, session.term, epoch, durability != "none")

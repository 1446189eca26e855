"""Passes each event that enters the decision task to the component that handles it."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..registry.endpoint import DiscoveredEndpoint
from .context import ServiceContext
from .discovery_feed import DiscoveryFeed
from .handoff_peers import HandoffPeers
from .inbound_events import (
    DiscoveryEvent,
    EndpointListFetched,
    FolderEvent,
    HandoffAcknowledged,
    HandoffReceived,
    InboundEvent,
    PartAcknowledged,
    ProxyCalled,
    ProxyFileUnreadable,
    ProxyFileWritten,
    ProxyFolderFound,
    ProxyFolderRemoved,
    PublisherCallDue,
    ResourceRejected,
    SessionRequested,
    WorkAvailable,
)
from .intake import ProxyIntake
from .proxy_events import UpdateApplied
from .proxy_folder_feed import ProxyFolderFeed
from .publisher import Publisher


class InboundDispatcher:
    """Handles the events of the decision queue."""

    def __init__(
        self,
        context: ServiceContext,
        intake: ProxyIntake,
        publisher: Publisher,
        folder_feed: ProxyFolderFeed,
        discovery: DiscoveryFeed | None,
        handoff: HandoffPeers,
        update_endpoints: Callable[[int, Sequence[DiscoveredEndpoint]], None],
    ) -> None:
        """Stores the components that handle the events."""
        self._context = context
        self._intake = intake
        self._publisher = publisher
        self._folder_feed = folder_feed
        self._discovery = discovery
        self._handoff = handoff
        self._update_endpoints = update_endpoints

    def handle(self, now: int, event: InboundEvent) -> None:
        """Handles one event; an event that no component handles goes to the controller."""
        match event:
            case WorkAvailable():
                pass  # the decision loop checks for work after every event batch
            case EndpointListFetched():
                self._update_endpoints(now, event.endpoints)
            case HandoffReceived():
                self._handoff.take_packet(now, event.packet)
            case HandoffAcknowledged():
                self._handoff.acknowledge(event)
            case PublisherCallDue():
                event.call(now)
            case ProxyFolderFound() | ProxyFolderRemoved() | ProxyFileWritten() | ProxyFileUnreadable():
                self._handle_folder(now, event)
            case (
                SessionRequested()
                | ProxyCalled()
                | UpdateApplied()
                | ResourceRejected()
                | PartAcknowledged()
            ):
                self._handle_discovery(now, event)
            case _:
                self._context.handle(now, event)

    def _handle_folder(self, now: int, event: FolderEvent) -> None:
        """Handles a change in the folders of proxies."""
        match event:
            case ProxyFolderFound():
                self._folder_feed.open_session(now, event)
            case ProxyFolderRemoved():
                self._intake.close_session(event.name, "folder removed")
            case ProxyFileWritten():
                self._intake.process_file(now, event.name, event.file, event.data)
            case ProxyFileUnreadable():
                self._intake.reject_unreadable(event.name, event.file, event.cause)

    def _handle_discovery(self, now: int, event: DiscoveryEvent) -> None:
        """Handles an event of the xDS discovery server."""
        match event:
            case SessionRequested():
                assert self._discovery is not None, "only the discovery server sends this event"
                self._discovery.open_session(now, event)
            case ProxyCalled():
                self._intake.record_activity(now, event.name)
            case UpdateApplied():
                self._publisher.handle_acknowledged(now, event.proxy, event.message)
            case ResourceRejected():
                self._publisher.handle_resource_rejected(now, event.proxy, event.resource, event.cause)
            case PartAcknowledged():
                self._publisher.handle_part_acknowledged(now, event.proxy, event.part)

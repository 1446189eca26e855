"""Opens and closes the sessions of proxies in all components that keep state of a proxy."""

from __future__ import annotations

from ..decisions.events import ProxyJoined, ProxyLeft
from ..files.ops import remove
from .book import OrderBook
from .context import ServiceContext
from .discovery_feed import DiscoveryFeed
from .handoff_peers import HandoffPeers
from .outlet_factory import OutletFactory
from .proxy_events import ProxySessionClosed, ProxySessionOpened
from .proxy_folder_feed import ProxyFolderFeed
from .publish import Publisher, Reader
from .report_processor import ReportProcessor


class ProxySessions:
    """Tells the controller and the other components of the proxies that join and leave."""

    def __init__(
        self,
        context: ServiceContext,
        book: OrderBook,
        publisher: Publisher,
        outlets: OutletFactory,
        feed: ProxyFolderFeed,
        discovery: DiscoveryFeed | None,
        reports: ReportProcessor,
        handoff: HandoffPeers,
    ) -> None:
        """Takes the components that are told."""
        self._context = context
        self._book = book
        self._publisher = publisher
        self._outlets = outlets
        self._feed = feed
        self._discovery = discovery
        self._reports = reports
        self._handoff = handoff

    def open(self, session: ProxySessionOpened) -> None:
        """Takes in a proxy that has joined."""
        now = self._context.now()
        proxy, name, zone, held = session.proxy, session.name, session.zone, session.held
        rate, is_fresh, term = session.usual_rate_per_second, session.is_fresh, session.term
        outlet = self._outlets.make(session)
        self._publisher.joined(Reader(proxy, name, term, held, outlet, session.uses_discovery))
        endpoints = {index: held.hosts(route.name) for index, route in enumerate(self._context.terms.routes)}
        self._book.join(proxy, zone, endpoints, rate)
        self._context.records.note(now, "joined", proxy=name, zone=zone, rate=rate, fresh=is_fresh, term=term)
        self._context.log.info("proxy joined", proxy=name, zone=zone, fresh=is_fresh, term=term)
        self._handoff.use_evidence(now, name, term)
        self._publisher.tell_guard(self._publisher.watchman.joined, proxy, zone, rate, held)
        self._context.handle(now, ProxyJoined(proxy, zone, rate, is_fresh))

    def close(self, session: ProxySessionClosed) -> None:
        """Lets go of a proxy that has left."""
        now = self._context.now()
        proxy, name = session.proxy, session.name
        reader = self._publisher.readers[proxy]
        self._reports.drop_proxy(name)
        self._handoff.send_evidence(now, proxy, name, reader.term)
        self._publisher.left(proxy)
        self._book.leave(proxy)
        if not reader.web:
            self._feed.forget(name)
            self._remove_folder(name)
        elif self._discovery is not None:
            self._discovery.close_session(name)
        self._context.records.note(now, "left", proxy=name, why=session.reason)
        self._context.log.info("proxy left", proxy=name, reason=session.reason)
        self._context.handle(now, ProxyLeft(proxy))

    def _remove_folder(self, name: str) -> None:
        try:
            remove(self._context.ops, f"{self._context.folder.down}/{name}")
        except OSError as error:
            self._context.conditions.report(
                "disk", True, "folder of a proxy cannot be removed", proxy=name, cause=str(error)
            )

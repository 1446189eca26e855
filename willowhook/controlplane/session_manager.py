"""Opens and closes the sessions of proxies in all components that keep state about a proxy."""

from __future__ import annotations

from ..decisions.events import ProxyJoined, ProxyLeft
from ..files.ops import remove
from .context import ServiceContext
from .discovery_feed import DiscoveryFeed
from .handoff_peers import HandoffPeers
from .proxy_events import ProxySessionClosed, ProxySessionOpened
from .proxy_folder_feed import ProxyFolderFeed
from .proxy_session import PublisherSession
from .proxy_state import ProxyStateBook
from .publisher import Publisher
from .report_processor import ReportProcessor
from .update_sink_factory import UpdateSinkFactory


class SessionManager:
    """Notifies the controller and the other components of the proxies that join and leave."""

    def __init__(
        self,
        context: ServiceContext,
        proxy_states: ProxyStateBook,
        publisher: Publisher,
        sinks: UpdateSinkFactory,
        feed: ProxyFolderFeed,
        discovery: DiscoveryFeed | None,
        reports: ReportProcessor,
        handoff: HandoffPeers,
    ) -> None:
        """Receives the components that are notified."""
        self._context = context
        self._proxy_states = proxy_states
        self._publisher = publisher
        self._sinks = sinks
        self._feed = feed
        self._discovery = discovery
        self._reports = reports
        self._handoff = handoff

    def open(self, session: ProxySessionOpened) -> None:
        """Registers a proxy that has joined."""
        now = self._context.now()
        proxy, name, zone, held = session.proxy, session.name, session.zone, session.held
        rate, is_fresh, term = session.usual_rate_per_second, session.is_fresh, session.term
        sink = self._sinks.make(session)
        self._publisher.add_session(PublisherSession(proxy, name, term, held, sink, session.uses_discovery))
        endpoints = {
            index: held.endpoints_of(route.name) for index, route in enumerate(self._context.terms.routes)
        }
        self._proxy_states.add_proxy(proxy, zone, endpoints, rate)
        self._context.records.append(
            now, "joined", proxy=name, zone=zone, rate=rate, fresh=is_fresh, term=term
        )
        self._context.log.info("proxy joined", proxy=name, zone=zone, fresh=is_fresh, term=term)
        self._handoff.use_evidence(now, name, term)
        self._publisher.update_validation(self._publisher.validation.add_proxy, proxy, zone, rate, held)
        self._context.handle(now, ProxyJoined(proxy, zone, rate, is_fresh))

    def close(self, session: ProxySessionClosed) -> None:
        """Removes a proxy that has left."""
        now = self._context.now()
        proxy, name = session.proxy, session.name
        published = self._publisher.sessions[proxy]
        self._reports.drop_proxy(name)
        self._handoff.send_evidence(now, proxy, name, published.term)
        self._publisher.remove_session(proxy)
        self._proxy_states.remove_proxy(proxy)
        if not published.uses_discovery:
            self._feed.forget(name)
            self._remove_folder(name)
        elif self._discovery is not None:
            self._discovery.close_session(name)
        self._context.records.append(now, "left", proxy=name, why=session.reason)
        self._context.log.info("proxy left", proxy=name, reason=session.reason)
        self._context.handle(now, ProxyLeft(proxy))

    def _remove_folder(self, name: str) -> None:
        try:
            remove(self._context.ops, f"{self._context.folder.outbound_path}/{name}")
        except OSError as error:
            self._context.conditions.report(
                "disk", True, "folder of a proxy cannot be removed", proxy=name, cause=str(error)
            )

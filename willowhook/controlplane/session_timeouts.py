"""Closes the sessions of inactive proxies, whether they use files or the xDS discovery server."""

from __future__ import annotations

from .discovery_feed import DiscoveryFeed
from .intake import ProxyIntake
from .proxy_folder_feed import ProxyFolderFeed


class SessionTimeouts:
    """Closes timed-out sessions, except of proxies whose input this controller has yet to process."""

    def __init__(
        self, intake: ProxyIntake, folder_feed: ProxyFolderFeed, discovery: DiscoveryFeed | None
    ) -> None:
        """Stores the intake and the two feeds through which proxies are heard."""
        self._intake = intake
        self._folder_feed = folder_feed
        self._discovery = discovery

    def close_silent_sessions(self, now: int) -> None:
        """Closes the sessions that have timed out; called by the decision task."""
        self._intake.close_silent_sessions(now, self._is_waiting_for_controller)

    def _is_waiting_for_controller(self, name: str) -> bool:
        """Whether a proxy has written a report that was not read, or made a request that was not answered."""
        if self._folder_feed.has_unread_report(name):
            return True
        return self._discovery is not None and self._discovery.has_unanswered_request(name)

"""Closes the sessions of proxies that show no sign of life, from whichever side they would come."""

from __future__ import annotations

from .discovery_feed import DiscoveryFeed
from .intake import ProxyIntake
from .proxy_folder_feed import ProxyFolderFeed


class SessionTimeouts:
    """Tells proxies that are silent from those that this controller has not read or answered yet."""

    def __init__(
        self, intake: ProxyIntake, folder_feed: ProxyFolderFeed, discovery: DiscoveryFeed | None
    ) -> None:
        """Receives the sessions and the two sides on which proxies are heard."""
        self._intake = intake
        self._folder_feed = folder_feed
        self._discovery = discovery

    def close_silent_sessions(self, now: int) -> None:
        """Closes the sessions that have timed out; for the decision task."""
        self._intake.close_silent_sessions(now, self._is_waiting_for_controller)

    def _is_waiting_for_controller(self, name: str) -> bool:
        """Whether a proxy has sent something that was not read, or made a call that was not answered."""
        if self._folder_feed.has_unread_report(name):
            return True
        return self._discovery is not None and self._discovery.has_unanswered_call(name)

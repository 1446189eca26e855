"""Drains this controller: its proxies are sent to other controllers, one by one."""

from __future__ import annotations

import os

from ..files.layout import DRAIN_FILE
from .channel import RateLimitedChannel
from .context import ServiceContext
from .proxy_state import ProxyStateBook


class ControllerDrain:
    """Sends proxies away while the operator's drain file exists in the controller's folder."""

    def __init__(
        self, context: ServiceContext, proxy_states: ProxyStateBook, channel: RateLimitedChannel
    ) -> None:
        """Receives the context, the proxies to send away, and the channel to them."""
        self._path = f"{context.folder.path}/{DRAIN_FILE}"
        self._conditions = context.conditions
        self._proxy_states = proxy_states
        self._channel = channel
        self._is_draining = False

    def step(self, now: int) -> None:
        """Sends away at most one proxy, that of the lowest request rate, if the queue is low."""
        is_wanted = os.path.exists(self._path)
        if is_wanted != self._is_draining:
            self._is_draining = is_wanted
            event = "controller draining" if is_wanted else "controller draining cancelled"
            self._conditions.report("drain", is_wanted, event, proxies=len(self._proxy_states.proxies))
        if not is_wanted or not self._channel.is_low:
            return
        proxies = self._proxy_states.proxies.items()
        candidates = [
            (connected.rate_per_second, proxy) for proxy, connected in proxies if not connected.is_sent_away
        ]
        if candidates:
            _, proxy = min(candidates)
            self._proxy_states.send_away(proxy)

"""Follows the roster by blocking queries; every answer that brings news is the whole list."""

from __future__ import annotations

from urllib.parse import quote, urlsplit

import trio

from ..web.wire import ClientConnection, ConnectionLostError, open_connection
from .forms import BlockingQueryIndex, DiscoveredEndpoint, DiscoveryError, parse_endpoints

SLACK = 1.0 / 16  # the form lets a server answer a wait late by this share


class DiscoveryClient:
    """Asks one roster.  A question that fails raises RosterError; the next one dials anew."""

    def __init__(
        self, url: str, service: str, wait_seconds: float, timeout_seconds: float, client_name: str = ""
    ) -> None:
        parts = urlsplit(url)
        self._address, self._port = parts.hostname or "", parts.port or 80
        self._path = f"{parts.path.rstrip('/')}/v1/health/service/{quote(service, safe='')}"
        self._wait, self._patience = wait_seconds, timeout_seconds
        self._agent = f"willowhook/{client_name}".encode()
        self._cursor = BlockingQueryIndex()
        self.last_body = b"[]"  # of the last list, as it came
        self._caller: ClientConnection | None = None

    async def fetch(self, is_immediate: bool) -> list[DiscoveredEndpoint] | None:
        """The list: at once if `whole`, else when it has changed; None if the wait passed without news."""
        cursor = BlockingQueryIndex() if is_immediate else self._cursor
        query = f"?index={cursor.index}&wait={self._wait:g}s" if cursor.index else ""
        wait = self._wait * (1 + SLACK) if cursor.index else 0.0
        try:
            with trio.fail_after(wait + self._patience):
                if self._caller is None or not self._caller.usable:
                    self._caller = await open_connection(self._address, self._port, self._patience)
                head = [(b"user-agent", self._agent)]
                reply = await self._caller.request(b"GET", (self._path + query).encode(), head)
        except (ConnectionLostError, trio.TooSlowError) as fault:
            await self.close()
            raise DiscoveryError(f"no answer: {type(fault).__name__}: {fault}".rstrip(": ")) from fault
        if reply.status != 200:
            raise DiscoveryError(f"answered with status {reply.status}")
        news = cursor.record_index(reply.header(b"x-consul-index"))
        if cursor is not self._cursor:
            self._cursor.index = cursor.index
        if not news:
            return None
        hosts = parse_endpoints(reply.body)
        self.last_body = reply.body
        return hosts

    async def close(self) -> None:
        if self._caller is not None:
            caller, self._caller = self._caller, None
            await caller.close()

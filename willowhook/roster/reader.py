"""A client of the service registry that uses blocking queries; each list that it returns is complete."""

from __future__ import annotations

from urllib.parse import quote, urlsplit

import trio

from ..web.wire import ClientConnection, ConnectionLostError, open_connection
from .forms import BlockingQueryIndex, DiscoveredEndpoint, DiscoveryError, parse_endpoints

WAIT_SLACK = 1.0 / 16  # the registry may delay its response by up to this fraction of the wait


class DiscoveryClient:
    """Queries one service registry. A failed request raises DiscoveryError; the next one connects again."""

    def __init__(
        self, url: str, service: str, wait_seconds: float, timeout_seconds: float, client_name: str = ""
    ) -> None:
        url_parts = urlsplit(url)
        self._address, self._port = url_parts.hostname or "", url_parts.port or 80
        self._path = f"{url_parts.path.rstrip('/')}/v1/health/service/{quote(service, safe='')}"
        self._wait_seconds, self._timeout_seconds = wait_seconds, timeout_seconds
        self._user_agent = f"willowhook/{client_name}".encode()
        self._query_index = BlockingQueryIndex()
        self.last_body = b"[]"  # of the last endpoint list, as received
        self._caller: ClientConnection | None = None

    async def fetch(self, is_immediate: bool) -> list[DiscoveredEndpoint] | None:
        """Returns the endpoint list: at once if `is_immediate`, else when it changes; None: no change."""
        query_index = BlockingQueryIndex() if is_immediate else self._query_index
        query = f"?index={query_index.index}&wait={self._wait_seconds:g}s" if query_index.index else ""
        wait_seconds = self._wait_seconds * (1 + WAIT_SLACK) if query_index.index else 0.0
        try:
            with trio.fail_after(wait_seconds + self._timeout_seconds):
                if self._caller is None or not self._caller.usable:
                    self._caller = await open_connection(self._address, self._port, self._timeout_seconds)
                headers = [(b"user-agent", self._user_agent)]
                response = await self._caller.request(b"GET", (self._path + query).encode(), headers)
        except (ConnectionLostError, trio.TooSlowError) as error:
            await self.close()
            raise DiscoveryError(f"no response: {type(error).__name__}: {error}".rstrip(": ")) from error
        if response.status != 200:
            raise DiscoveryError(f"response status {response.status}")
        is_new = query_index.record_index(response.header(b"x-consul-index"))
        if query_index is not self._query_index:
            self._query_index.index = query_index.index
        if not is_new:
            return None
        endpoints = parse_endpoints(response.body)
        self.last_body = response.body
        return endpoints

    async def close(self) -> None:
        """Closes the connection, if there is one."""
        if self._caller is not None:
            caller, self._caller = self._caller, None
            await caller.close()

"""A client of the service registry that uses blocking queries; each list that it returns is complete."""

from __future__ import annotations

from urllib.parse import quote, urlsplit

import trio

from ..answer_time_limit import AnswerTimeLimit
from ..web.wire import ClientConnection, ConnectionLostError, Reply, open_connection
from .blocking_query import BlockingQueryIndex
from .endpoint import DiscoveredEndpoint, DiscoveryError
from .response import parse_endpoints

WAIT_SLACK = 1.0 / 16  # the registry may delay its response by up to this fraction of the wait
MAX_TIMEOUT_FACTOR = 4  # the longest time limit, relative to the configured one
STATUS_OK = 200


class DiscoveryClient:
    """Queries one service registry. A failed request raises DiscoveryError; the next one connects again.

    `timeout_seconds` is the time limit of a response, in addition to the wait for a change. A registry that
    needs longer is allowed what it needs, up to MAX_TIMEOUT_FACTOR times that.
    """

    def __init__(
        self, url: str, service: str, wait_seconds: float, timeout_seconds: float, client_name: str = ""
    ) -> None:
        url_parts = urlsplit(url)
        self._address, self._port = url_parts.hostname or "", url_parts.port or 80
        self._path = f"{url_parts.path.rstrip('/')}/v1/health/service/{quote(service, safe='')}"
        self._wait_seconds, self._timeout_seconds = wait_seconds, timeout_seconds
        self._user_agent = f"willowhook/{client_name}".encode()
        self._time_limit = AnswerTimeLimit(timeout_seconds, MAX_TIMEOUT_FACTOR * timeout_seconds)
        self._query_index = BlockingQueryIndex()
        self.last_body = b"[]"  # of the last endpoint list, as received
        self._caller: ClientConnection | None = None

    async def fetch(self, is_immediate: bool) -> list[DiscoveredEndpoint] | None:
        """Returns the endpoint list: at once if `is_immediate`, else when it changes; None: no change."""
        query_index = BlockingQueryIndex() if is_immediate else self._query_index
        query = f"?index={query_index.index}&wait={self._wait_seconds:g}s" if query_index.index else ""
        wait_seconds = self._wait_seconds if query_index.index else 0.0
        started_at = trio.current_time()
        response = await self._request((self._path + query).encode(), wait_seconds)
        if response.status != STATUS_OK:
            raise DiscoveryError(f"response status {response.status}")
        is_new = query_index.record_index(response.header(b"x-consul-index"))
        self._record_answer_time(trio.current_time() - started_at - wait_seconds, wait_seconds, is_new)
        if query_index is not self._query_index:
            self._query_index.index = query_index.index
        if not is_new:
            return None
        endpoints = parse_endpoints(response.body)
        self.last_body = response.body
        return endpoints

    async def _request(self, target: bytes, wait_seconds: float) -> Reply:
        """Sends a query and returns the response. Raises DiscoveryError if there is none in time."""
        headers = [(b"user-agent", self._user_agent)]
        try:
            with trio.fail_after(wait_seconds * (1 + WAIT_SLACK) + self._time_limit.seconds):
                if self._caller is None or not self._caller.usable:
                    self._caller = await open_connection(self._address, self._port, self._timeout_seconds)
                response = await self._caller.request(b"GET", target, headers)
        except (ConnectionLostError, trio.TooSlowError) as error:
            if isinstance(error, trio.TooSlowError):
                self._time_limit.record_timeout()
            await self.close()
            raise DiscoveryError(f"no response: {type(error).__name__}: {error}".rstrip(": ")) from error
        self._time_limit.record_answer()
        return response

    def _record_answer_time(self, answer_seconds: float, wait_seconds: float, is_new: bool) -> None:
        """Records the time that the registry needed, unless a change may have ended its wait."""
        if answer_seconds >= 0 and not (wait_seconds and is_new):
            self._time_limit.record_answer_time(answer_seconds)

    async def close(self) -> None:
        """Closes the connection, if there is one."""
        if self._caller is not None:
            caller, self._caller = self._caller, None
            await caller.close()

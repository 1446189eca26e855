"""Reads the endpoint list of service discovery for the decision task."""

from __future__ import annotations

import trio

from ..decisions.events import EndpointListLost
from ..decisions.timing import max_list_pause_ticks
from ..files.layout import ENDPOINT_LIST_FILE
from ..files.swap import read_file, swap_file
from ..registry.client import DiscoveryClient
from ..registry.endpoint import DiscoveredEndpoint, DiscoveryError
from ..registry.response import parse_endpoints
from ..ticks import TICKS_PER_SECOND
from .context import ServiceContext
from .inbound_events import EndpointListFetched

MAX_LIST_BYTES = 1 << 26


class EndpointListReader:
    """Sends the decision task each changed endpoint list and each failure to read it."""

    def __init__(self, context: ServiceContext) -> None:
        """Creates a reader that sends no request until one of its tasks runs."""
        self._context = context
        self._settings = context.terms.roster
        self._conditions = context.conditions
        self._retry_seconds = max_list_pause_ticks(context.settings.rules) / TICKS_PER_SECOND
        self._watch_requested = trio.Event()
        self._fetch_requested = trio.Event()
        if not self._settings.subscribe:
            self._watch_requested.set()

    def last_saved(self) -> list[DiscoveredEndpoint]:
        """Returns the list saved by an earlier start, which may be stale; empty if there is none."""
        try:
            return parse_endpoints(
                read_file(None, f"{self._context.folder.path}/{ENDPOINT_LIST_FILE}", MAX_LIST_BYTES)
            )
        except (OSError, DiscoveryError):
            return []

    def watch(self) -> None:
        """Requests the list and subscribes to its changes."""
        self._watch_requested.set()

    def fetch(self) -> None:
        """Requests the complete list once; a request in flight is not repeated."""
        self._fetch_requested.set()

    async def run_watch(self) -> None:
        """Watches the list while a watch is requested, until cancelled."""
        client = self._make_client()
        needs_complete_list = True
        while True:
            await self._watch_requested.wait()
            if await self._poll(client, needs_complete_list):
                needs_complete_list = False
                continue
            needs_complete_list = True
            if self._settings.subscribe:  # the controller decides when to request a watch again
                self._watch_requested = trio.Event()
                await self._context.queue.send(EndpointListLost())
            else:
                await trio.sleep(self._retry_seconds)

    async def run_fetches(self) -> None:
        """Fetches a complete list for each request, until cancelled."""
        client = self._make_client()
        while True:
            await self._fetch_requested.wait()
            is_received = await self._poll(client, True)
            self._fetch_requested = trio.Event()  # one that was requested meanwhile has this answer
            if not is_received:
                await self._context.queue.send(EndpointListLost())

    def _make_client(self) -> DiscoveryClient:
        settings = self._settings
        wait_seconds = settings.wait_ms / 1000
        timeout_seconds = settings.timeout_ms / 1000
        return DiscoveryClient(
            settings.url,
            settings.service,
            wait_seconds,
            timeout_seconds,
            client_name=self._context.terms.name,
        )

    async def _poll(self, client: DiscoveryClient, needs_complete_list: bool) -> bool:
        """Sends one request to service discovery; returns whether it succeeded."""
        try:
            endpoints = await client.fetch(needs_complete_list)
        except DiscoveryError as error:
            self._conditions.report("roster", True, "endpoint list unavailable", cause=str(error))
            return False
        self._conditions.report("roster", False, "endpoint list available again")
        if endpoints is not None:
            await self._context.queue.send(EndpointListFetched(endpoints))
            self._save(client.last_body)
        return True

    def _save(self, body: bytes) -> None:
        try:
            swap_file(self._context.ops, self._context.folder.path, ENDPOINT_LIST_FILE, body)
        except OSError as error:
            self._conditions.report("list", True, "endpoint list cannot be saved", cause=str(error))
        else:
            self._conditions.report("list", False, "endpoint list saved again")

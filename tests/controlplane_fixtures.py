"""Settings and test doubles for the tests of the control plane."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
import trio

from willowhook.config.deployment import deployment_settings
from willowhook.config.example import EXAMPLE
from willowhook.controlplane.proxy_resources import ProxyResources, ResourcesByType
from willowhook.controlplane.proxy_session import PublisherSession
from willowhook.controlplane.proxy_state import ProxyStateBook
from willowhook.controlplane.publisher import Publisher
from willowhook.controlplane.resource_renderer import ResourceRenderer
from willowhook.controlplane.update_sinks import FileUpdateSink
from willowhook.files.swap import FileGroupWriter
from willowhook.records.writer import RecordWriter
from willowhook.registry.endpoint import DiscoveredEndpoint
from willowhook.versions.resources import ResourceStore, first_era

SETTINGS = deployment_settings(EXAMPLE)
ONE_ROUND_SECONDS = 0.2  # shorter than the wait of the publisher's loop between two rounds
ALL_ROUTES = range(len(SETTINGS.routes))
MESSAGE_OVERHEAD = int(SETTINGS.channel.message_overhead_entries)


def file_sink(term: int, epoch: int) -> FileUpdateSink:
    """Returns a sink that prepares files but is not used to write them."""
    return FileUpdateSink(FileGroupWriter("nowhere"), ResourceStore(first_era(epoch, 5)), term, epoch, False)


class RecordingListener:
    """Records the notifications of the publisher, in place of the service."""

    def __init__(self) -> None:
        self.time = 0
        self.conditions: dict[str, bool] = {}
        self.acknowledged: list[tuple[int, int]] = []
        self.events: list[Callable[[int], None]] = []
        self.out_of_service: set[str] = set()

    def now(self) -> int:
        return self.time

    def report_condition(self, name: str, on: bool, text: str, **fields: Any) -> None:
        self.conditions[name] = on

    def is_in_service(self, endpoint: str) -> bool:
        return endpoint not in self.out_of_service

    def handle_acknowledged(self, now: int, proxy: int, marker: int) -> None:
        self.acknowledged.append((proxy, marker))

    async def post_event(self, event: Callable[[int], None]) -> None:
        self.events.append(event)

    def record_known_version(self, proxy: str, part: str, version: str) -> None:
        """Does nothing."""

    def record_sent(self, proxy: str, term: int, message: int) -> None:
        """Does nothing."""


class RecordingRecords(RecordWriter):
    """Keeps records in memory."""

    def __init__(self) -> None:
        super().__init__("", 0)
        self.entries: list[dict[str, Any]] = []

    def append(self, now: int, kind: str, **fields: Any) -> None:
        self.entries.append({"kind": kind, **fields})


class FakeSink:
    """A sink whose writes return `outcome` (whether a file changed) or raise it."""

    may_block = False

    def __init__(self) -> None:
        self.outcome: bool | OSError = True
        self.written: list[tuple[int, ResourcesByType]] = []
        self.rewrites = 0

    def prepare(
        self, number: int, resources: ResourcesByType, excluded: frozenset[str]
    ) -> Callable[[], bool]:
        def place() -> bool:
            if isinstance(self.outcome, OSError):
                raise self.outcome
            self.written.append((number, resources))
            return self.outcome

        return place

    def prepare_rewrite(self) -> Callable[[], bool]:
        def place() -> bool:
            self.rewrites += 1
            return True

        return place

    def send_away(self, resource: bytes) -> None:
        """Does nothing."""

    def close(self) -> None:
        """Does nothing."""


class PublisherHarness:
    """A publisher with one proxy. Its loop runs only in `publish`, one round at a time."""

    def __init__(self, **channel: float) -> None:
        self.settings = SETTINGS._replace(channel=SETTINGS.channel._replace(**channel))
        self.listener = RecordingListener()
        self.records = RecordingRecords()
        self.sink = FakeSink()
        renderer = ResourceRenderer(EXAMPLE, 1)
        renderer.set_addresses({name: ("127.0.0.1", 80 + ord(name), "north") for name in "abc"})
        log = structlog.get_logger()
        self.proxy_states = ProxyStateBook(self.settings, lambda message: self.publisher.enqueue(message))
        self.publisher = Publisher(
            EXAMPLE, self.settings, self.listener, self.records, log, renderer, 1, self.proxy_states
        )
        endpoints = [
            DiscoveredEndpoint(name, "127.0.0.1", 80 + ord(name), False, 0.0, 1.0, "", "", "north")
            for name in "abc"
        ]
        self.publisher.validation.update_endpoints(0, endpoints, lambda endpoint: 0)
        self.session = self.join(0)

    def join(self, proxy: int) -> PublisherSession:
        """Adds a proxy without initial tables."""
        initial = ProxyResources()
        session = PublisherSession(proxy, f"p{proxy}", 1, initial, self.sink)
        self.publisher.add_session(session)
        self.proxy_states.add_proxy(proxy, "north", {})
        self.publisher.validation.add_proxy(proxy, "north", 5.0, initial)
        return session

    def update_table(self, weights: dict[str, float], marker: int | None = None) -> None:
        """Sets these weights in table 0, binds all routes of proxy 0 to it, and flushes."""
        for name, weight in weights.items():
            self.proxy_states.set_weight(0, name, weight)
        self.proxy_states.bind(0, 0, ALL_ROUTES)
        if marker is not None:
            self.proxy_states.send_sync_marker(marker)
        self.proxy_states.flush(self.listener.time)

    async def publish(self, ticks: int) -> None:
        """Advances the time and runs one round of the publisher's loop; needs a mock clock."""
        self.listener.time += ticks
        with trio.move_on_after(ONE_ROUND_SECONDS):
            await self.publisher.run()

"""Proxies that call: the director's side of the front.

What desks tell goes to the deciding task in the order in which it was told; the front's own state is kept by
the tasks that serve calls, in the same thread.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from ..config.terms import FrontTerms
from ..files.layout import STATUS
from ..front.bodies import Bodies
from ..front.discovery import Discovery
from ..front.identity import Bearer, CredentialError, Identity, Unproven
from ..front.limits import Gate
from ..front.serve import Server, Times
from ..versions.core import Core, Part, Resource
from ..versions.desk import Desk
from ..xds import forms
from ..xds.codec import encode
from .intake import Intake
from .proxy_resources import ProxyResources
from .publisher import Publisher
from .report_desk import ReportDesk
from .resource_renderer import references
from .update_sinks import HttpUpdateSink

SECOND = 10_000
Event = Callable[[int], None]


def identity_of(terms: FrontTerms) -> Identity:
    """Raises CredentialError, or OSError if the file cannot be read."""
    if terms.identity == "none":
        return Unproven()
    if not terms.credentials:
        raise CredentialError("front.credentials names no file")
    with open(terms.credentials, "rb") as file:
        return Bearer(file.read())


class WebFeed:
    def __init__(
        self, name: str, terms: FrontTerms, report_s: float, core: Core, publisher: Publisher, intake: Intake,
        send: Callable[[Event], Any], reports: ReportDesk,
    ) -> None:  # fmt: skip
        self._reports = reports
        self._terms, self._core, self._publisher, self._intake = terms, core, publisher, intake
        self._send = send
        self._desks: dict[str, Desk] = {}
        self._names: dict[int, str] = {}
        self._events: list[Event] = []
        self.gate = Gate(
            terms.connections_most, terms.proxy_connections_most, terms.asks_per_s / SECOND, terms.asks_burst
        )
        self.bodies = Bodies(terms.cache_bytes, terms.compress_from_bytes)
        back = terms.come_back_ms / 1000
        self.front = Discovery(name, self, identity_of(terms), self.gate, self.bodies, back, report_s)
        times = Times(
            terms.header_ms / 1000, terms.write_ms / 1000, terms.idle_ms / 1000, terms.wait_ms / 1000
        )
        self.server = Server(self.gate, times, terms.largest_ask_bytes, self.front.handle, self.front.ended)

    async def run(self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED) -> None:
        address, _, port = self._terms.listen.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=address, backlog=2048)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.front.run)
            task_status.started(listeners[0].socket.getsockname()[1])
            await trio.serve_listeners(self.server.serve, listeners)

    # Proxies come and go, in the deciding task.

    def outlet(self, proxy: int, name: str, held: ProxyResources) -> HttpUpdateSink:
        desk = Desk(
            proxy, self._core, self, references, self._publisher.renderer.exclude_from, held.resources()
        )
        self._desks[name], self._names[proxy] = desk, name
        return HttpUpdateSink(desk, self._core, self.front.news)

    def left(self, proxy: int, name: str) -> None:
        desk = self._desks.pop(name, None)
        self._names.pop(proxy, None)
        if desk is not None:
            self.front.forget(desk)

    # The front's hall.

    def here(self, name: str) -> tuple[int, bool] | None:
        presence = self._intake.present.get(name)
        return (presence.term, presence.web) if presence is not None else None

    def desk(self, name: str) -> Desk | None:
        return self._desks.get(name)

    def leaves(self, name: str) -> bool:
        presence = self._intake.present.get(name)
        reader = self._publisher.sessions.get(presence.number) if presence is not None else None
        return reader is not None and isinstance(reader.sink, HttpUpdateSink) and reader.sink.is_sent_away

    def called(self, name: str) -> None:
        self._events.append(lambda now: self._intake.called(now, name))

    def delivered(self, name: str) -> None:
        presence = self._intake.present.get(name)
        if presence is not None:
            self._publisher.handle_delivered(presence.number)

    async def arrive(self, name: str, node: forms.Node, holds: list[Any], fresh: bool) -> str:
        done, fault = trio.Event(), ""
        status = encode({"node": node, "generic_xds_configs": holds})
        files = {STATUS: status}
        if not fresh:
            files["eds.json"] = encode(forms.DiscoveryRequest("held", node))

        def appear(now: int) -> None:
            nonlocal fault
            presence = self._intake.present.get(name)
            term = node.metadata.get("term", 0)
            here = presence is not None and presence.web and presence.term == term
            if not here and not self._intake.appeared(now, name, files, None, True):
                fault = self._intake.last_fault
            done.set()

        await self._send(appear)
        await done.wait()
        return fault

    async def report(self, name: str, body: bytes) -> None:
        self._reports.offer(self._publisher.now(), name, body)

    def ask_every(self, interval_s: float) -> None:
        self.front.ask_every(interval_s)

    async def settled(self) -> None:
        events, self._events = self._events, []
        for event in events:
            await self._send(event)

    # What desks tell.

    def applied(self, proxy: int, number: int) -> None:
        self._events.append(lambda now: self._publisher.handle_acknowledged(now, proxy, number))

    def refused(self, proxy: int, row: Resource, error: str) -> None:
        self._events.append(lambda now: self._publisher.handle_resource_rejected(now, proxy, row, error))

    def taken(self, proxy: int, part: Part) -> None:
        self._events.append(lambda now: self._publisher.handle_part_acknowledged(now, proxy, part))

    def believes(self, proxy: int, kind: str, version: str, state: str) -> None:
        reader = self._publisher.sessions.get(proxy)
        if reader is not None:
            self._publisher.record_known_version(reader, kind, version, state)

"""A stand-in roster: a service catalogue's health endpoint with blocking queries; late, failing, frozen."""

from __future__ import annotations

import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio

from ..web.wire import Call, Reply, serve_connection
from .day import EndpointPlan
from .notes import EventLog


class StandInRegistry:
    def __init__(self, event_log: EventLog, late_s: float) -> None:
        self.event_log, self.late = event_log, late_s
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}  # as they are shown
        self.changed = trio.Event()
        self.is_unavailable = self.is_frozen = False
        self.body_override: bytes | None = None  # a roster that lies
        self.port = 0
        self.nursery: trio.Nursery | None = None

    def make_entry(self, plan: EndpointPlan, draining: bool, started: float) -> dict[str, Any]:
        checks = [{"CheckID": f"_service_maintenance:{plan.id}", "Status": "critical"}] if draining else []
        meta = {"kind": plan.kind, "started": f"{started:.3f}" if started else "0"}
        return {
            "Node": {"Node": plan.id, "Datacenter": plan.zone, "Meta": {"zone": plan.zone}},
            "Service": {"ID": plan.id, "Address": "127.0.0.1", "Port": plan.port, "Meta": meta},
            "Checks": checks,
        }

    def register(self, plan: EndpointPlan, draining: bool = False, started: float = 0.0) -> None:
        """The host is listed, a while from now."""
        self._later(plan.id, self.make_entry(plan, draining, started))

    def deregister(self, host: str) -> None:
        self._later(host, None)

    def _later(self, host: str, entry: dict[str, Any] | None) -> None:
        if self.nursery is None:
            self.set_entry(host, entry)
        else:
            self.nursery.start_soon(self._after, host, entry)

    async def _after(self, host: str, entry: dict[str, Any] | None) -> None:
        await trio.sleep(self.late)
        self.set_entry(host, entry)

    def set_entry(self, host: str, entry: dict[str, Any] | None) -> None:
        if entry is None:
            self.entries.pop(host, None)
        else:
            self.entries[host] = entry
        self.index += 1
        if not self.is_frozen:
            self.wake_watchers()

    def wake_watchers(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def unfreeze(self) -> None:
        self.is_frozen = False
        self.wake_watchers()

    async def answer(self, call: Call) -> Reply | None:
        if self.is_unavailable:
            return Reply(500, body=b"no leader")
        parts = urlsplit(call.target.decode("latin-1"))
        query = parse_qs(parts.query)
        index = int(query.get("index", ["0"])[0])
        wait = float(query.get("wait", ["0s"])[0].rstrip("s"))
        who = call.headers.get(b"user-agent", b"").decode().removeprefix("willowhook/")
        with trio.move_on_after(wait):
            while index and (self.index <= index or self.is_frozen) and not self.is_unavailable:
                await self.changed.wait()
        if self.is_unavailable:
            return Reply(500, body=b"no leader")
        if self.body_override is not None:
            return Reply(200, [(b"x-consul-index", b"%d" % (self.index + 1))], self.body_override)
        shown = self.index if not self.is_frozen else index or self.index
        rows = [
            [
                e["Service"]["ID"],
                "draining" if e["Checks"] else "open",
                float(e["Service"]["Meta"]["started"]),
            ]
            for e in self.entries.values()
        ]
        if shown != index:
            self.event_log.record("listed", d=who, index=shown, hosts=rows, wall=time.time())
        return Reply(200, [(b"x-consul-index", b"%d" % shown)], msgspec.json.encode([*self.entries.values()]))

    async def run(self, task_status: trio.TaskStatus[int]) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery

            async def serve(stream: trio.SocketStream) -> None:
                await serve_connection(stream, self.answer)

            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.port = listeners[0].socket.getsockname()[1]
            task_status.started(self.port)
            await trio.serve_listeners(serve, listeners)

"""A stand-in registry: the health query of a service catalogue, which can be late, fail or freeze."""

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
    """A service registry on loopback, whose entries the test sets."""

    def __init__(self, event_log: EventLog, delay_s: float) -> None:
        self.event_log, self.delay_s = event_log, delay_s
        self.index = 1  # of the last change, as the catalogue counts them
        self.entries: dict[str, dict[str, Any]] = {}  # as clients see them
        self.changed = trio.Event()
        self.is_unavailable = self.is_frozen = False
        self.body_override: bytes | None = None  # replaces the list, to send wrong data
        self.port = 0
        self.nursery: trio.Nursery | None = None

    def make_entry(self, plan: EndpointPlan, draining: bool, started: float) -> dict[str, Any]:
        """An entry in the catalogue's format; `started` is a wall-clock time, 0 if it is warm."""
        checks = [{"CheckID": f"_service_maintenance:{plan.id}", "Status": "critical"}] if draining else []
        meta = {"kind": plan.kind, "started": f"{started:.3f}" if started else "0"}
        return {
            "Node": {"Node": plan.id, "Datacenter": plan.zone, "Meta": {"zone": plan.zone}},
            "Service": {"ID": plan.id, "Address": "127.0.0.1", "Port": plan.port, "Meta": meta},
            "Checks": checks,
        }

    def register(self, plan: EndpointPlan, draining: bool = False, started: float = 0.0) -> None:
        """Lists the endpoint, after the configured delay."""
        self._set_after_delay(plan.id, self.make_entry(plan, draining, started))

    def deregister(self, host: str) -> None:
        """Removes the endpoint, after the configured delay."""
        self._set_after_delay(host, None)

    def _set_after_delay(self, host: str, entry: dict[str, Any] | None) -> None:
        if self.nursery is None:
            self.set_entry(host, entry)
        else:
            self.nursery.start_soon(self._delayed_set, host, entry)

    async def _delayed_set(self, host: str, entry: dict[str, Any] | None) -> None:
        await trio.sleep(self.delay_s)
        self.set_entry(host, entry)

    def set_entry(self, host: str, entry: dict[str, Any] | None) -> None:
        """Sets or removes an entry at once."""
        if entry is None:
            self.entries.pop(host, None)
        else:
            self.entries[host] = entry
        self.index += 1
        if not self.is_frozen:
            self.wake_watchers()

    def wake_watchers(self) -> None:
        """Lets all blocking queries look again."""
        self.changed.set()
        self.changed = trio.Event()

    def unfreeze(self) -> None:
        """Shows the changes since the registry was frozen."""
        self.is_frozen = False
        self.wake_watchers()

    async def answer(self, call: Call) -> Reply | None:
        """Answers a query, once the list is newer than its index or its wait time is over."""
        if self.is_unavailable:
            return Reply(500, body=b"no leader")
        target = urlsplit(call.target.decode("latin-1"))
        query = parse_qs(target.query)
        index = int(query.get("index", ["0"])[0])
        wait_s = float(query.get("wait", ["0s"])[0].rstrip("s"))
        client_name = call.headers.get(b"user-agent", b"").decode().removeprefix("willowhook/")
        with trio.move_on_after(wait_s):
            while index and (self.index <= index or self.is_frozen) and not self.is_unavailable:
                await self.changed.wait()
        if self.is_unavailable:
            return Reply(500, body=b"no leader")
        if self.body_override is not None:
            return Reply(200, [(b"x-consul-index", b"%d" % (self.index + 1))], self.body_override)
        shown_index = self.index if not self.is_frozen else index or self.index
        listed = [
            [
                entry["Service"]["ID"],
                "draining" if entry["Checks"] else "open",
                float(entry["Service"]["Meta"]["started"]),
            ]
            for entry in self.entries.values()
        ]
        if shown_index != index:
            self.event_log.record("listed", d=client_name, index=shown_index, hosts=listed, wall=time.time())
        return Reply(
            200, [(b"x-consul-index", b"%d" % shown_index)], msgspec.json.encode([*self.entries.values()])
        )

    async def run(self, task_status: trio.TaskStatus[int]) -> None:
        """Serves queries, and reports its port when it listens."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery

            async def serve(stream: trio.SocketStream) -> None:
                await serve_connection(stream, self.answer)

            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.port = listeners[0].socket.getsockname()[1]
            task_status.started(self.port)
            await trio.serve_listeners(serve, listeners)

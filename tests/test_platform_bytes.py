"""Characterization of the bytes that the controller sends to proxies, recorded from commit 06ecd3e.

A seeded script plays discovery, proxies and collectors against the controller on a simulated clock, without
sockets. The digests of the bytes sent must equal those in `data/platform_bytes.json`: a change of names or
structure must not alter them. After a change that is meant to alter the bytes, run this file as a program to
record them again; the commit that does so explains why.
"""

from __future__ import annotations

import copy
import hashlib
import json
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import cache
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from willowhook.platform import connection_server, server
from willowhook.platform.address import Address
from willowhook.platform.configuration import ControllerConfiguration
from willowhook.platform.connection import Connection
from willowhook.platform.fields import MalformedFieldError
from willowhook.settings_codec import decode_settings

Message = dict[str, Any]
DATA = Path(__file__).parent / "data" / "platform_bytes.json"
START_MS = 1_700_000_000_000  # Unix time at which the script starts


class RecordingSocket:
    def __init__(self, connection: int, sent: list[tuple[int, bytes]]) -> None:
        self._connection, self._sent = connection, sent

    def send(self, data: bytes) -> int:
        self._sent.append((self._connection, bytes(data)))
        return len(data)


class RecordingConnection(Connection):
    def close(self) -> None:
        if self.is_open:
            self.is_open = False
            self.socket.send(b"<closed>")


class ControllerDriver:
    """Adapter: all uses of the project's internals are in this class, its connection and the imports above.

    It replaces the clock and the client of discovery, and gives the controller's own connections recording
    sockets. The controller's own loop runs, on trio's mock clock.
    """

    def __init__(self, settings: Message, seed: int, known: Message) -> None:
        self.sent: list[tuple[int, bytes]] = []  # connection and bytes, in order; b"<closed>" for a close
        self.is_watching, self.complete_list_requests = False, 0
        self._connections: list[Connection] = []
        unused_address = Address("127.0.0.1", 1)
        configuration = ControllerConfiguration(
            "n0", unused_address, unused_address, seed, 1024, 128, known, decode_settings(settings)
        )
        with (
            mock.patch.object(server, "Clock", lambda: self),
            mock.patch.object(server, "DiscoveryWatch", self._discovery_client),
        ):
            self._server = server.PlatformServer(configuration, lambda: configuration, lambda line: None)
        self._connection_server = self._server._sessions.connections

    def _discovery_client(
        self,
        address: object,
        handle_answer: Callable[..., int],
        handle_loss: Callable[..., None],
        seconds_until_fetch: Callable[[], float],
    ) -> ControllerDriver:
        self._handle_answer, self._handle_loss = handle_answer, handle_loss
        return self

    # Called by the controller: its clock, and its client of discovery.

    def now(self) -> int:
        return START_MS * 10 + round(trio.current_time() * 10_000)

    def resume(self) -> None:
        self.is_watching = True

    def fetch_complete_list(self) -> None:
        self.complete_list_requests += 1

    # Called by the script.

    @staticmethod
    def run(
        settings: Message, seed: int, known: Message, script: Callable[[ControllerDriver], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            driver = ControllerDriver(settings, seed, known)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(driver._server._decide)
                await script(driver)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock())

    async def advance(self, seconds: float) -> None:
        """Advances the simulated time, and wakes the controller at each of its deadlines on the way."""
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, MockClock)
        end_time = trio.current_time() + seconds
        while True:
            await wait_all_tasks_blocked()
            remaining_s = end_time - trio.current_time()
            next_deadline_s = trio.lowlevel.current_statistics().seconds_to_next_deadline
            if next_deadline_s >= remaining_s:
                clock.jump(max(remaining_s, 0.0))
                return
            clock.jump(max(next_deadline_s, 0.0))

    def connect(self) -> int:
        number = len(self._connections)
        with mock.patch.object(connection_server, "Connection", RecordingConnection):
            connection = self._connection_server.add_connection(RecordingSocket(number, self.sent))  # type: ignore[arg-type]
        self._connections.append(connection)
        return number

    def is_open(self, connection: int) -> bool:
        return self._connections[connection].is_open

    def deliver_bytes(self, connection: int, data: bytes) -> None:
        """Delivers bytes as the task that reads from the socket does."""
        self._connection_server.receive(self._connections[connection], data)

    def close(self, connection: int) -> None:
        self._connection_server.close(self._connections[connection])

    def deliver_answer(self, answer: Message) -> bool:
        """Returns whether the answer was accepted; a malformed one counts as a loss of discovery."""
        try:
            self._handle_answer(answer)
        except MalformedFieldError as error:
            self.report_discovery_loss(str(error))
            return False
        return True

    def report_discovery_loss(self, reason: str) -> None:
        self.is_watching = False
        self._handle_loss(reason)

    def ejected_by_endpoint(self) -> dict[str, bool]:
        """The endpoints that the controller knows, and whether each is ejected for its failures."""
        return {name: endpoint.is_ejected for name, endpoint in self._server._controller.endpoints.items()}


# Nothing below uses internals of the project.


def encode(message: Message) -> bytes:
    body = json.dumps(message).encode()
    return len(body).to_bytes(4, "little") + body


def decode(data: bytes) -> list[Message]:
    messages, position = [], 0
    while position < len(data):
        size = int.from_bytes(data[position : position + 4], "little")
        messages.append(json.loads(data[position + 4 : position + 4 + size]))
        position += 4 + size
    return messages


def default_settings() -> Message:
    settings: Message = json.loads((Path(__file__).parent / "options.json").read_text())
    settings["extra"] |= {"proxies": 24}
    return settings


def zone_table_settings() -> Message:
    """Zone tables, listed weights, a message cap, limits in requests per second, a small channel."""
    settings = copy.deepcopy(default_settings())
    settings |= {
        "zones": ["north", "south", "east"],
        "weights": "nominal",
        "deductions": {"cross-zone": 0.08},
    }
    settings["extra"] |= {"update-cap": 12, "messages-over": 4.0, "egress-per-s": 1100.0}
    settings["extra"] |= {"most-waiting": 2400.0, "admit": "rps", "strikes": 2, "default-size": 6}
    settings["extra"] |= {"class-own-zone": [False, True, False]}
    settings["discovery"] = "push"
    return settings


VARIANTS = {
    "plain": (default_settings, 200, 11),
    "zonal": (zone_table_settings, 100, 29),
}  # settings, endpoints, seed


class ServiceDiscovery:
    """The stand-in for discovery: the endpoints, their health and the version of the list."""

    def __init__(self, zones: list[str], size: int, random_source: random.Random) -> None:
        self.version, self.random_source = 10, random_source
        self.entries: dict[str, Message] = {}
        for number in range(size):
            entry = {"host": f"e{number:03}", "health": "active", "site": zones[number % len(zones)]}
            entry |= {
                "class": "std" if number % 3 else "fast",
                "block": number % 7,
                "share": 1.0 + number % 4 / 2,
            }
            self.entries[entry["host"]] = {**entry, "dial": f"10.0.0.{number}:80", "born_ms": START_MS - 9e6}
        self.draining_since: dict[str, int] = {}  # by endpoint: the step at which it began to drain
        self.removed: dict[str, int] = {}

    def active_endpoints(self) -> list[str]:
        return [name for name, entry in self.entries.items() if entry["health"] == "active"]

    def complete_list(self, share: float = 1.0) -> Message:
        entries = [entry for entry in self.entries.values() if self.random_source.random() < share]
        return {"seq": self.version, "whole": True, "hosts": entries}

    def changes(self, changed: list[Message]) -> Message:
        self.version += 1
        return {"seq": self.version, "whole": False, "hosts": changed}

    def drain(self, count: int, step: int) -> list[Message]:
        names = self.random_source.sample(self.active_endpoints(), count)
        for name in names:
            self.entries[name]["health"], self.draining_since[name] = "leaving", step
        return [dict(self.entries[name]) for name in names]

    def finish_draining(self, step: int) -> list[Message]:
        """Of the drained endpoints, restarts and lists every second one again and removes the others."""
        due = [name for name, since in self.draining_since.items() if step - since >= 35]
        for name in due:
            del self.draining_since[name]
            if int(name[1:]) % 2:
                self.entries[name] |= {"health": "active", "born_ms": START_MS + step * 100}
            else:
                self.entries[name]["health"], self.removed[name] = "left", step
        entries = [dict(self.entries[name]) for name in due]
        for name in due:
            if self.entries[name]["health"] == "left":
                del self.entries[name]
        return entries

    def restart(self, count: int, step: int) -> list[Message]:
        """Restarts endpoints without draining them."""
        names = self.random_source.sample(self.active_endpoints(), count)
        for name in names:
            self.entries[name]["born_ms"] = START_MS + step * 100
        return [dict(self.entries[name]) for name in names]


class ScriptedPeer:
    """One connection to the controller, whose bytes arrive split at arbitrary positions."""

    def __init__(self, driver: ControllerDriver, random_source: random.Random) -> None:
        self.driver, self.random_source = driver, random_source
        self.connection, self.unsent = driver.connect(), b""

    def enqueue(self, *messages: Message) -> None:
        self.unsent += b"".join(map(encode, messages))

    def flush(self) -> None:
        """Delivers the enqueued bytes in two pieces; at times it leaves some of them for the next flush."""
        end = len(self.unsent)
        if self.random_source.random() < 0.15:
            end = self.random_source.randint(0, end)
        middle = self.random_source.randint(0, end)
        for piece in (self.unsent[:middle], self.unsent[middle:end]):
            if piece and self.driver.is_open(self.connection):
                self.driver.deliver_bytes(self.connection, piece)
        self.unsent = self.unsent[end:]


MALFORMED_MESSAGES: list[Message] = [
    {"t": "odd"}, {}, {"t": 5}, {"t": "done"}, {"t": "done", "mark": "x", "took_ms": 1.0},
    {"t": "done", "mark": 70_000, "took_ms": 1.0}, {"t": "done", "mark": 1, "took_ms": -1.0},
    {"t": "done", "mark": True, "took_ms": 1.0}, {"t": "client_stats", "proxy": 99},
    {"t": "client_stats", "proxy": 1, "class": "nothing", "tries": 1, "failed": 0, "span_ms": 500.0},
    {"t": "client_stats", "proxy": 1, "class": "read", "tries": 1, "failed": 0, "span_ms": 0},
    {"t": "client_stats", "proxy": 1, "class": "read", "tries": -1, "failed": 0, "span_ms": 500.0},
    {"t": "upstream_stats", "server": "e001"},
    {"t": "upstream_stats", "server": "e001", "zone": "mars", "tries": 3, "failed": 0, "mean_ms": 9.0,
     "span_ms": 1000.0},
    {"t": "upstream_stats", "server": "e001", "zone": "north", "tries": 3, "failed": 4, "mean_ms": 9.0,
     "span_ms": 1000.0},
    {"t": "upstream_stats", "server": "e001", "zone": "north", "tries": 3, "failed": 0, "mean_ms": 1e9,
     "span_ms": 1000.0},
    {"t": "upstream_stats", "server": "e001", "zone": "north", "tries": 3, "failed": 0, "mean_ms": 9.0,
     "span_ms": 1000.0, "load": [1]},
    {"t": "upstream_stats", "server": "e001", "zone": "north", "tries": 3, "failed": 0, "mean_ms": 9.0,
     "span_ms": 1000.0, "load": {"busy": "full"}},
    {"t": "attach", "proxy": 3, "zone": "north", "weight": 1.0, "fresh": True},
]  # fmt: skip
UNDECODABLE_BYTES = [b"\3\0\0\0[1]", b"\4\0\0\0nope", b"\xff\xff\xff\x7f", b"GET / HTTP/1.1\r\n\r\n"]
INVALID_FIRST_MESSAGES = [
    {"t": "done", "mark": 1, "took_ms": 1.0}, {"t": "attach", "proxy": 24, "zone": "north"},
    {"t": "attach", "proxy": 2, "zone": "mars", "weight": 1.0, "fresh": True},
    {"t": "attach", "proxy": 2, "zone": "north", "weight": 1.0, "fresh": 1}, {"t": "telemetry", "zone": 4},
]  # fmt: skip
MALFORMED_ENTRIES: list[Any] = [
    {"host": "e001", "health": "odd"}, {"host": "e002", "health": "active", "born_ms": "x"}, None, 7,
    {"host": "e003", "health": "active", "born_ms": 0, "share": -1.0, "class": "std", "site": "north"},
    {"health": "active"}, {"host": "", "health": "left"},
]  # fmt: skip


class Script:
    """A script of 95 s; `step` is the time in tenths of a second and advances by two."""

    def __init__(self, driver: ControllerDriver, zones: list[str], size: int, seed: int) -> None:
        self.driver, self.zones, self.step = driver, zones, 0
        self.random_source = random.Random(seed)
        self.service_discovery = ServiceDiscovery(zones, size, self.random_source)
        self.peers: list[ScriptedPeer] = []
        self.collectors: list[ScriptedPeer] = []
        self.proxies: dict[int, ScriptedPeer] = {}  # by proxy: its newest connection
        self.owner_by_connection: dict[int, str] = {}  # whose bytes a connection carries
        # step at which it is due, connection and message of each
        self.pending_acknowledgements: list[tuple[int, ScriptedPeer, Message]] = []
        self.digests: dict[str, Any] = {}
        self.total_digest = hashlib.sha256()
        self.counts: Counter[str] = Counter()
        self.low_admission_limits: list[float] = []
        self.complete_table_sizes: list[int] = []  # number of entries of tables sent completely
        self.sent_weights: dict[tuple[str, ...], list[float]] = {}  # by proxy, routes and endpoint: in order
        self.ejected_endpoints: dict[str, None] = {}
        self.forgotten_endpoints: dict[str, None] = {}
        self.processed_count = 0

    async def run(self) -> None:
        for self.step in range(0, 950, 2):
            self.play_discovery()
            self.play_joins_and_leaves()
            self.send_reports()
            self.send_malformed_messages()
            for peer in list(self.peers):
                peer.flush()
            await self.driver.advance(0.2)
            self.process_sent_bytes()
            self.record_endpoint_states()

    # Discovery.

    def play_discovery(self) -> None:
        step, service_discovery = self.step, self.service_discovery
        if 300 <= step < 400:  # discovery does not answer
            if self.driver.is_watching:
                self.driver.report_discovery_loss("timeout")
                self.counts["lost"] += 1
            return
        if step == 2:
            self.deliver_answer(service_discovery.complete_list())
        if step == 200:  # a list that lacks most entries
            self.deliver_answer(service_discovery.complete_list(0.3))
        elif step == 250:  # an older version, once
            self.deliver_answer({**service_discovery.complete_list(), "seq": service_discovery.version - 5})
        elif step == 280:
            self.deliver_answer(
                {"seq": service_discovery.version, "whole": False, "hosts": MALFORMED_ENTRIES}
            )
        elif step in (284, 286):  # entries without a name: accepted the second time
            self.deliver_answer(
                {
                    **service_discovery.complete_list(),
                    "hosts": [*service_discovery.complete_list()["hosts"], *MALFORMED_ENTRIES],
                }
            )
        elif step == 290:
            self.deliver_answer({"seq": "x", "whole": True, "hosts": []})
            self.deliver_answer({"seq": 5, "whole": None, "hosts": []})
            self.deliver_answer({"seq": service_discovery.version + 1, "whole": True})
            self.deliver_answer({"seq": 5, "whole": False, "hosts": []})  # an older version without changes
        elif step % 16 == 10 and self.driver.is_watching:
            self.deliver_answer(service_discovery.changes(self.list_changes()))
        elif step % 10 == 6 and self.driver.complete_list_requests:
            self.driver.complete_list_requests = 0
            self.counts["full list wanted"] += 1
            self.deliver_answer(service_discovery.complete_list())

    def list_changes(self) -> list[Message]:
        step, service_discovery = self.step, self.service_discovery
        entries = service_discovery.finish_draining(step)
        if step % 32 == 10:
            entries += service_discovery.drain(60 if step == 714 else 4, step)
        elif step % 64 == 26:
            entries += service_discovery.restart(3, step)
        return entries

    def deliver_answer(self, answer: Message) -> None:
        accepted = self.driver.deliver_answer(json.loads(json.dumps(answer)))
        self.counts["answer accepted" if accepted else "answer refused"] += 1

    # Proxies and collectors.

    def play_joins_and_leaves(self) -> None:
        step = self.step
        if step == 4:
            for zone in self.zones:
                peer = self.connect_peer("telemetry")
                peer.enqueue({"t": "telemetry", "zone": zone})
                self.collectors.append(peer)
        if step == 6:  # a join burst
            for proxy in range(16):
                self.join(proxy, fresh=proxy % 3 > 0)
        if step in (120, 140, 160, 180):
            for proxy in range(16 + (step - 120) // 10, 18 + (step - 120) // 10):
                self.join(proxy, fresh=True)
        if step in (400, 410, 430):  # a second connection while the first is open
            older_peer = self.connect_peer("strangers")
            self.join(step // 10 - 40, fresh=False)
            self.proxies[step // 10 - 40].flush()
            # it connected before the peer that has joined
            older_peer.enqueue(self.attach(step // 10 - 40, fresh=False))
        if step == 540:
            for proxy in range(2, 14):
                self.driver.close(self.proxies[proxy].connection)
        if step == 552:  # the same proxies reconnect in a burst
            for proxy in range(2, 14):
                self.join(proxy, fresh=proxy % 2 == 0)
        if step % 96 == 50 and step > 200:
            proxy = self.random_source.randrange(1, 24)
            self.driver.close(self.proxies[proxy].connection)
            self.join(proxy, fresh=self.random_source.random() < 0.5)

    def connect_peer(self, owner: str) -> ScriptedPeer:
        peer = ScriptedPeer(self.driver, self.random_source)
        self.owner_by_connection[peer.connection] = owner
        self.peers.append(peer)
        return peer

    def join(self, proxy: int, fresh: bool) -> None:
        peer = self.proxies[proxy] = self.connect_peer(str(proxy))
        peer.enqueue(self.attach(proxy, fresh))

    def attach(self, proxy: int, fresh: bool) -> Message:
        zone = self.zones[proxy * 7 % len(self.zones)]
        return {"t": "attach", "proxy": proxy, "zone": zone, "weight": 5.0 + proxy % 5, "fresh": fresh}

    # Reports.

    def send_reports(self) -> None:
        if self.step < 15:
            return
        for index, name in enumerate(self.service_discovery.entries):
            if (index + self.step // 2) % 5 == 0:
                peer = self.collectors[index // 5 % len(self.collectors)]
                peer.enqueue(self.endpoint_report(name, self.zones[self.collectors.index(peer)]))
        for proxy, peer in self.proxies.items():
            if (proxy + self.step // 2) % 5 == 0:
                peer.enqueue(*(self.proxy_report(proxy, route) for route in ("read", "save", "book")))

    def endpoint_report(self, name: str, zone: str) -> Message:
        number, random_source = int(name[1:]), self.random_source
        utilization, mean_latency_ms, failure_rate = 0.5, 60.0 + number % 5 * 8, 0.01
        if number % 11 == 3:  # slow endpoints
            mean_latency_ms *= 3
        if number % 40 == 7 and 120 <= self.step < 260:  # failing endpoints
            failure_rate = 0.97
        if 420 <= self.step < 540:  # overload
            utilization, mean_latency_ms, failure_rate = 1.05, mean_latency_ms * 12, 0.25
        if 600 <= self.step < 640:  # idle endpoints refuse connections
            utilization, failure_rate = 0.2, 0.85
        tries = random_source.randint(8, 30)
        failed = sum(random_source.random() < failure_rate for _ in range(tries))
        load = {
            "busy": round(utilization * random_source.uniform(0.9, 1.1), 3),
            "q": random_source.randint(0, 9),
        }
        report = {"t": "upstream_stats", "zone": zone, "server": name, "tries": tries, "failed": failed}
        report |= {"mean_ms": round(mean_latency_ms * random_source.uniform(0.8, 1.2), 2), "span_ms": 1000.0}
        return report if number % 17 == 5 else {**report, "load": load}

    def proxy_report(self, proxy: int, route: str) -> Message:
        tries = self.random_source.randint(3, 12) * (2 if 420 <= self.step < 540 else 1)
        report = {"t": "client_stats", "proxy": proxy, "class": route, "tries": tries, "failed": tries // 9}
        return {**report, "span_ms": 1000.0}

    # Malformed messages and heartbeats.

    def send_malformed_messages(self) -> None:
        random_source, step = self.random_source, self.step
        if step % 20 == 12:
            for peer in [*self.proxies.values(), *self.collectors]:
                peer.enqueue({"t": "hb"})
        if step % 6 == 4 and step > 20:
            sender = random_source.choice(
                [*self.collectors, *(self.proxies[p] for p in list(self.proxies)[1:])]
            )
            sender.enqueue(MALFORMED_MESSAGES[step // 6 % (len(MALFORMED_MESSAGES) - 1)])
            self.counts["malformed"] += 1
        if step % 50 == 40:
            self.connect_peer("strangers").enqueue(
                INVALID_FIRST_MESSAGES[step // 50 % len(INVALID_FIRST_MESSAGES)]
            )
        if step % 50 == 46:
            unidentified_peer = self.connect_peer("strangers")
            unidentified_peer.enqueue({"t": "hb"})
            unidentified_peer.unsent += UNDECODABLE_BYTES[step // 50 % len(UNDECODABLE_BYTES)]
        # undecodable bytes on the connection of an identified proxy
        for proxy, failure_step in ((3, 332), (7, 776)):
            if step == failure_step:
                self.proxies[proxy].unsent += UNDECODABLE_BYTES[proxy % 4]
            elif step == failure_step + 8:
                self.join(proxy, fresh=True)
        if step == 500:
            self.proxies[3].enqueue(MALFORMED_MESSAGES[-1])  # it joins again on the same connection

    # Bytes sent by the controller.

    def process_sent_bytes(self) -> None:
        new_messages, self.processed_count = self.driver.sent[self.processed_count :], len(self.driver.sent)
        peer_by_connection = {peer.connection: peer for peer in self.peers}
        for connection, data in new_messages:
            owner = self.owner_by_connection[connection]
            self.digests.setdefault(owner, hashlib.sha256()).update(data)
            self.total_digest.update(f"{self.step} {owner} {len(data)} ".encode() + data)
            self.counts["messages sent"] += 1
            if data == b"<closed>":
                self.counts["closed"] += 1
                self.peers.remove(peer_by_connection[connection])
                continue
            for part in decode(data):
                self.process_part(owner, part, peer_by_connection[connection])
        self.send_acknowledgements()

    def process_part(self, owner: str, part: Message, peer: ScriptedPeer) -> None:
        self.counts.update(key for key in part if key != "t")
        self.counts[part["t"]] += 1
        if "gate" in part and part["gate"] < 0.99:
            self.low_admission_limits.append(part["gate"])
        if part.get("replace"):
            self.complete_table_sizes.append(len(part["rows"]))
        if "rows" in part:
            self.record_weights(owner, part)
        if "stamp" in part:
            self.schedule_acknowledgement(owner, part["stamp"], peer)

    def record_weights(self, owner: str, part: Message) -> None:
        """Records the weights sent to each proxy, by the routes they apply to."""
        for name, weight in part["rows"]:
            weights = self.sent_weights.setdefault((owner, *part["for"], name), [])
            self.counts["resent"] += not part.get("replace") and weights[-1:] == [weight]
            weights.append(weight)

    def schedule_acknowledgement(self, owner: str, marker: int, peer: ScriptedPeer) -> None:
        """Schedules most acknowledgements soon, some late, some never; all late while the channel is slow."""
        draw = self.random_source.random()
        delay = self.random_source.randint(1, 4) if draw < 0.8 else self.random_source.randint(10, 40)
        delay += 30 * (450 <= self.step < 500)
        if draw < 0.93:
            done = {"t": "done", "proxy": int(owner), "mark": marker, "took_ms": delay * 100.0}
            self.pending_acknowledgements.append((self.step + delay, peer, done))
        else:
            self.counts["never acknowledged"] += 1

    def send_acknowledgements(self) -> None:
        for _, peer, message in (
            pending for pending in self.pending_acknowledgements if pending[0] <= self.step
        ):
            peer.enqueue(message)
            self.counts["acknowledged"] += 1
        self.pending_acknowledgements = [
            pending for pending in self.pending_acknowledgements if pending[0] > self.step
        ]

    def record_endpoint_states(self) -> None:
        if self.step % 10 == 0:
            known_endpoints = self.driver.ejected_by_endpoint()
            self.ejected_endpoints.update(
                (name, None) for name, is_ejected in known_endpoints.items() if is_ejected
            )
            self.forgotten_endpoints.update(
                (name, None) for name in self.service_discovery.removed if name not in known_endpoints
            )

    def recorded_result(self) -> dict[str, Any]:
        receivers = {owner: self.digests[owner].hexdigest() for owner in sorted(self.digests)}
        return {
            "total": self.total_digest.hexdigest(),
            "counts": dict(sorted(self.counts.items())),
            **receivers,
        }


@cache
def run_variant(name: str) -> Script:
    """Runs the script with the settings of a variant, once per process."""
    make_settings, size, seed = VARIANTS[name]
    settings = make_settings()
    scripts: list[Script] = []

    async def script(driver: ControllerDriver) -> None:
        scripts.append(Script(driver, settings["zones"], size, seed))
        await scripts[0].run()

    entries = ServiceDiscovery(settings["zones"], size, random.Random(0)).complete_list()["hosts"]
    ControllerDriver.run(settings, seed, {"seq": 4, "whole": True, "hosts": entries[: size * 3 // 4]}, script)
    return scripts[0]


@pytest.mark.parametrize("name", VARIANTS)
def test_bytes_sent_are_those_recorded(name: str) -> None:
    assert run_variant(name).recorded_result() == json.loads(DATA.read_text())[name]


@pytest.mark.parametrize("name", VARIANTS)
def test_script_makes_the_controller_send_every_kind_of_command(name: str) -> None:
    script = run_variant(name)
    counts = script.counts
    assert {str(proxy) for proxy in range(24)} | {"telemetry", "strangers"} == set(script.digests)
    assert counts["messages sent"] > 2000 and counts["acknowledged"] > 1000
    assert min(counts[key] for key in ("drop", "undrop", "gate", "replace", "stamp", "hb_ok")) > 100
    assert counts["reject"] > 30 and counts["closed"] > 50 and counts["malformed"] > 100
    assert counts["never acknowledged"] > 50 and counts["resent"] > 0


@pytest.mark.parametrize("name", VARIANTS)
def test_script_makes_the_controller_make_every_kind_of_decision(name: str) -> None:
    script, active = run_variant(name), len(run_variant(name).service_discovery.active_endpoints())
    assert script.counts["answer refused"] >= 4 and script.counts["answer accepted"] > 40
    assert script.counts["lost"] > 1 and script.counts["full list wanted"] > 0
    assert script.low_admission_limits and script.ejected_endpoints and script.forgotten_endpoints
    assert script.ejected_endpoints.keys() <= {
        key[-1] for key, weights in script.sent_weights.items() if 0.0 in weights
    }
    assert any(has_slow_start(weights) for weights in script.sent_weights.values())
    # subsets for proxies that join in a burst, and complete tables
    assert min(script.complete_table_sizes) < active / 4 and max(script.complete_table_sizes) > active * 0.8


def has_slow_start(weights: list[float]) -> bool:
    """Whether a weight of 0 is followed by three increases."""
    windows = zip(weights, weights[1:], weights[2:], weights[3:], strict=False)
    return any(a == 0 < b < c < d for a, b, c, d in windows)


def test_two_variants_differ() -> None:
    assert run_variant("plain").recorded_result()["total"] != run_variant("zonal").recorded_result()["total"]


if __name__ == "__main__":
    DATA.write_text(
        json.dumps({name: run_variant(name).recorded_result() for name in VARIANTS}, indent=1) + "\n"
    )

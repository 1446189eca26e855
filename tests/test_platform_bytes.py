"""Characterization of the bytes that the controller sends to proxies, recorded from commit 06ecd3e.

A seeded script plays discovery, proxies and telemetry against the controller on a simulated clock, without
sockets.  The digests of the bytes sent must equal those in `data/platform_bytes.json`: a change of names or
structure leaves them as they are.  To record them anew, after a change that is meant to alter the bytes, run
this file as a program; the commit that does so explains why.
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
    """Adapter: every use of the project's internals is in this class, its connection and the imports above.

    It stands in for the clock and for the client of discovery, and puts recording sockets under the
    controller's own connections.  The controller's own loop runs, on trio's mock clock.
    """

    def __init__(self, settings: Message, seed: int, known: Message) -> None:
        self.sent: list[tuple[int, bytes]] = []  # connection and bytes, in order; closes as b"<closed>"
        self.watching, self.full_list_wanted = False, 0
        self._connections: list[Connection] = []
        nowhere = Address("127.0.0.1", 1)
        start = ControllerConfiguration("n0", nowhere, nowhere, seed, 1024, known, decode_settings(settings))
        with (
            mock.patch.object(server, "Clock", lambda: self),
            mock.patch.object(server, "DiscoveryWatch", self._discovery_client),
        ):
            self._server = server.PlatformServer(start, lambda: start, lambda line: None)
        self._connection_server = self._server._sessions.connections

    def _discovery_client(
        self, address: object, handle_answer: Callable[..., int], handle_loss: Callable[..., None]
    ) -> ControllerDriver:
        self._handle_answer, self._handle_loss = handle_answer, handle_loss
        return self

    # What the controller calls: its clock, and its client of discovery.

    def now(self) -> int:
        return START_MS * 10 + round(trio.current_time() * 10_000)

    def resume(self) -> None:
        self.watching = True

    def fetch_complete_list(self) -> None:
        self.full_list_wanted += 1

    # What the script calls.

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
        """Lets simulated time pass; the controller wakes at each of its own deadlines in between."""
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, MockClock)
        end = trio.current_time() + seconds
        while True:
            await wait_all_tasks_blocked()
            left = end - trio.current_time()
            due = trio.lowlevel.current_statistics().seconds_to_next_deadline
            if due >= left:
                clock.jump(max(left, 0.0))
                return
            clock.jump(max(due, 0.0))

    def connect(self) -> int:
        number = len(self._connections)
        with mock.patch.object(connection_server, "Connection", RecordingConnection):
            connection = self._connection_server.add_connection(RecordingSocket(number, self.sent))  # type: ignore[arg-type]
        self._connections.append(connection)
        return number

    def is_open(self, connection: int) -> bool:
        return self._connections[connection].is_open

    def deliver_bytes(self, connection: int, data: bytes) -> None:
        """As the reader of a socket does with what it received."""
        self._connection_server.receive(self._connections[connection], data)

    def close(self, connection: int) -> None:
        self._connection_server.close(self._connections[connection])

    def discovery_answer(self, answer: Message) -> bool:
        """Whether it was accepted; one that is of no use counts as discovery lost."""
        try:
            self._handle_answer(answer)
        except MalformedFieldError as error:
            self.discovery_lost(str(error))
            return False
        return True

    def discovery_lost(self, why: str) -> None:
        self.watching = False
        self._handle_loss(why)

    def endpoints(self) -> dict[str, bool]:
        """The endpoints that the controller holds, and whether each is ejected for its failures."""
        return {name: endpoint.is_ejected for name, endpoint in self._server._controller.endpoints.items()}


# Nothing below uses names of the project.


def encode(message: Message) -> bytes:
    body = json.dumps(message).encode()
    return len(body).to_bytes(4, "little") + body


def decode(data: bytes) -> list[Message]:
    found, at = [], 0
    while at < len(data):
        size = int.from_bytes(data[at : at + 4], "little")
        found.append(json.loads(data[at + 4 : at + 4 + size]))
        at += 4 + size
    return found


def plain_settings() -> Message:
    settings: Message = json.loads((Path(__file__).parent / "options.json").read_text())
    settings["extra"] |= {"proxies": 24}
    return settings


def zonal_settings() -> Message:
    """Zone tables, listed weights, a cap on messages, levels as calls a second, a small channel."""
    settings = copy.deepcopy(plain_settings())
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
    "plain": (plain_settings, 200, 11),
    "zonal": (zonal_settings, 100, 29),
}  # settings, endpoints, seed


class Roster:
    """Discovery: the endpoints, their health and the version of the list."""

    def __init__(self, zones: list[str], size: int, chance: random.Random) -> None:
        self.version, self.chance = 10, chance
        self.entries: dict[str, Message] = {}
        for k in range(size):
            entry = {"host": f"e{k:03}", "health": "active", "site": zones[k % len(zones)]}
            entry |= {"class": "std" if k % 3 else "fast", "block": k % 7, "share": 1.0 + k % 4 / 2}
            self.entries[entry["host"]] = {**entry, "dial": f"10.0.0.{k}:80", "born_ms": START_MS - 9e6}
        self.leaving: dict[str, int] = {}  # step at which each began to drain
        self.removed: dict[str, int] = {}

    def active(self) -> list[str]:
        return [name for name, entry in self.entries.items() if entry["health"] == "active"]

    def full(self, share: float = 1.0) -> Message:
        rows = [entry for entry in self.entries.values() if self.chance.random() < share]
        return {"seq": self.version, "whole": True, "hosts": rows}

    def increment(self, changed: list[Message]) -> Message:
        self.version += 1
        return {"seq": self.version, "whole": False, "hosts": changed}

    def drain(self, count: int, step: int) -> list[Message]:
        names = self.chance.sample(self.active(), count)
        for name in names:
            self.entries[name]["health"], self.leaving[name] = "leaving", step
        return [dict(self.entries[name]) for name in names]

    def settle(self, step: int) -> list[Message]:
        """Of those that have drained: every second one restarts and comes back, the others are removed."""
        due = [name for name, since in self.leaving.items() if step - since >= 35]
        for name in due:
            del self.leaving[name]
            if int(name[1:]) % 2:
                self.entries[name] |= {"health": "active", "born_ms": START_MS + step * 100}
            else:
                self.entries[name]["health"], self.removed[name] = "left", step
        rows = [dict(self.entries[name]) for name in due]
        for name in due:
            if self.entries[name]["health"] == "left":
                del self.entries[name]
        return rows

    def restart(self, count: int, step: int) -> list[Message]:
        """Endpoints that start anew without draining."""
        names = self.chance.sample(self.active(), count)
        for name in names:
            self.entries[name]["born_ms"] = START_MS + step * 100
        return [dict(self.entries[name]) for name in names]


class Client:
    """One connection to the controller, whose bytes arrive cut in odd pieces."""

    def __init__(self, driver: ControllerDriver, chance: random.Random) -> None:
        self.driver, self.chance = driver, chance
        self.connection, self.waiting = driver.connect(), b""

    def say(self, *messages: Message) -> None:
        self.waiting += b"".join(map(encode, messages))

    def flush(self) -> None:
        """Now and then a part is left for the next time."""
        end = len(self.waiting)
        if self.chance.random() < 0.15:
            end = self.chance.randint(0, end)
        middle = self.chance.randint(0, end)
        for piece in (self.waiting[:middle], self.waiting[middle:end]):
            if piece and self.driver.is_open(self.connection):
                self.driver.deliver_bytes(self.connection, piece)
        self.waiting = self.waiting[end:]


MALFORMED: list[Message] = [
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
NOT_READABLE = [b"\3\0\0\0[1]", b"\4\0\0\0nope", b"\xff\xff\xff\x7f", b"GET / HTTP/1.1\r\n\r\n"]
BAD_FIRST = [
    {"t": "done", "mark": 1, "took_ms": 1.0}, {"t": "attach", "proxy": 24, "zone": "north"},
    {"t": "attach", "proxy": 2, "zone": "mars", "weight": 1.0, "fresh": True},
    {"t": "attach", "proxy": 2, "zone": "north", "weight": 1.0, "fresh": 1}, {"t": "telemetry", "zone": 4},
]  # fmt: skip
BAD_ENTRIES: list[Any] = [
    {"host": "e001", "health": "odd"}, {"host": "e002", "health": "active", "born_ms": "x"}, None, 7,
    {"host": "e003", "health": "active", "born_ms": 0, "share": -1.0, "class": "std", "site": "north"},
    {"health": "active"}, {"host": "", "health": "left"},
]  # fmt: skip


class Script:
    """Ninety-five seconds; `step` is the time in tenths of a second, and goes on by two."""

    def __init__(self, driver: ControllerDriver, zones: list[str], size: int, seed: int) -> None:
        self.driver, self.zones, self.step = driver, zones, 0
        self.chance = random.Random(seed)
        self.roster = Roster(zones, size, self.chance)
        self.clients: list[Client] = []
        self.telemetry: list[Client] = []
        self.proxies: dict[int, Client] = {}  # by proxy: its newest connection
        self.owner: dict[int, str] = {}  # by connection: whose bytes they are
        self.due: list[tuple[int, Client, Message]] = []  # acknowledgements: step, connection, message
        self.digests: dict[str, Any] = {}
        self.total = hashlib.sha256()
        self.counts: Counter[str] = Counter()
        self.low_gates: list[float] = []
        self.table_sizes: list[int] = []  # rows of tables sent whole
        self.weights: dict[tuple[str, ...], list[float]] = {}  # by proxy, routes and endpoint: in turn
        self.ejected: dict[str, None] = {}
        self.forgotten: dict[str, None] = {}
        self.taken = 0

    async def run(self) -> None:
        for self.step in range(0, 950, 2):
            self.discovery()
            self.membership()
            self.reports()
            self.noise()
            for client in list(self.clients):
                client.flush()
            await self.driver.advance(0.2)
            self.hear()
            self.observe()

    # Discovery.

    def discovery(self) -> None:
        step, roster = self.step, self.roster
        if 300 <= step < 400:  # discovery does not answer
            if self.driver.watching:
                self.driver.discovery_lost("timeout")
                self.counts["lost"] += 1
            return
        if step == 2:
            self.answer(roster.full())
        if step == 200:  # a list that lacks most entries
            self.answer(roster.full(0.3))
        elif step == 250:  # an older version, once
            self.answer({**roster.full(), "seq": roster.version - 5})
        elif step == 280:
            self.answer({"seq": roster.version, "whole": False, "hosts": BAD_ENTRIES})
        elif step in (284, 286):  # entries without a name: accepted the second time
            self.answer({**roster.full(), "hosts": [*roster.full()["hosts"], *BAD_ENTRIES]})
        elif step == 290:
            self.answer({"seq": "x", "whole": True, "hosts": []})
            self.answer({"seq": 5, "whole": None, "hosts": []})
            self.answer({"seq": roster.version + 1, "whole": True})
            self.answer({"seq": 5, "whole": False, "hosts": []})  # one that is behind, and empty
        elif step % 16 == 10 and self.driver.watching:
            self.answer(roster.increment(self.changes()))
        elif step % 10 == 6 and self.driver.full_list_wanted:
            self.driver.full_list_wanted = 0
            self.counts["full list wanted"] += 1
            self.answer(roster.full())

    def changes(self) -> list[Message]:
        step, roster = self.step, self.roster
        rows = roster.settle(step)
        if step % 32 == 10:
            rows += roster.drain(60 if step == 714 else 4, step)
        elif step % 64 == 26:
            rows += roster.restart(3, step)
        return rows

    def answer(self, answer: Message) -> None:
        accepted = self.driver.discovery_answer(json.loads(json.dumps(answer)))
        self.counts["answer accepted" if accepted else "answer refused"] += 1

    # Proxies and telemetry.

    def membership(self) -> None:
        step = self.step
        if step == 4:
            for zone in self.zones:
                client = self.connect("telemetry")
                client.say({"t": "telemetry", "zone": zone})
                self.telemetry.append(client)
        if step == 6:  # a crowd that joins at once
            for proxy in range(16):
                self.join(proxy, fresh=proxy % 3 > 0)
        if step in (120, 140, 160, 180):
            for proxy in range(16 + (step - 120) // 10, 18 + (step - 120) // 10):
                self.join(proxy, fresh=True)
        if step in (400, 410, 430):  # a second connection while the first is open
            stale = self.connect("strangers")
            self.join(step // 10 - 40, fresh=False)
            self.proxies[step // 10 - 40].flush()
            stale.say(self.attach(step // 10 - 40, fresh=False))  # it dialled before the one that joined
        if step == 540:
            for proxy in range(2, 14):
                self.driver.close(self.proxies[proxy].connection)
        if step == 552:  # and back, all at once
            for proxy in range(2, 14):
                self.join(proxy, fresh=proxy % 2 == 0)
        if step % 96 == 50 and step > 200:
            proxy = self.chance.randrange(1, 24)
            self.driver.close(self.proxies[proxy].connection)
            self.join(proxy, fresh=self.chance.random() < 0.5)

    def connect(self, owner: str) -> Client:
        client = Client(self.driver, self.chance)
        self.owner[client.connection] = owner
        self.clients.append(client)
        return client

    def join(self, proxy: int, fresh: bool) -> None:
        client = self.proxies[proxy] = self.connect(str(proxy))
        client.say(self.attach(proxy, fresh))

    def attach(self, proxy: int, fresh: bool) -> Message:
        zone = self.zones[proxy * 7 % len(self.zones)]
        return {"t": "attach", "proxy": proxy, "zone": zone, "weight": 5.0 + proxy % 5, "fresh": fresh}

    # Reports.

    def reports(self) -> None:
        if self.step < 15:
            return
        for k, name in enumerate(self.roster.entries):
            if (k + self.step // 2) % 5 == 0:
                client = self.telemetry[k // 5 % len(self.telemetry)]
                client.say(self.endpoint_report(name, self.zones[self.telemetry.index(client)]))
        for proxy, client in self.proxies.items():
            if (proxy + self.step // 2) % 5 == 0:
                client.say(*(self.proxy_report(proxy, route) for route in ("read", "save", "book")))

    def endpoint_report(self, name: str, zone: str) -> Message:
        k, chance = int(name[1:]), self.chance
        busy, mean, failing = 0.5, 60.0 + k % 5 * 8, 0.01
        if k % 11 == 3:  # slow ones
            mean *= 3
        if k % 40 == 7 and 120 <= self.step < 260:  # failing ones
            failing = 0.97
        if 420 <= self.step < 540:  # overload
            busy, mean, failing = 1.05, mean * 12, 0.25
        if 600 <= self.step < 640:  # idle endpoints refuse connections
            busy, failing = 0.2, 0.85
        tries = chance.randint(8, 30)
        failed = sum(chance.random() < failing for _ in range(tries))
        load = {"busy": round(busy * chance.uniform(0.9, 1.1), 3), "q": chance.randint(0, 9)}
        report = {"t": "upstream_stats", "zone": zone, "server": name, "tries": tries, "failed": failed}
        report |= {"mean_ms": round(mean * chance.uniform(0.8, 1.2), 2), "span_ms": 1000.0}
        return report if k % 17 == 5 else {**report, "load": load}

    def proxy_report(self, proxy: int, route: str) -> Message:
        tries = self.chance.randint(3, 12) * (2 if 420 <= self.step < 540 else 1)
        report = {"t": "client_stats", "proxy": proxy, "class": route, "tries": tries, "failed": tries // 9}
        return {**report, "span_ms": 1000.0}

    # Malformed messages and heartbeats.

    def noise(self) -> None:
        chance, step = self.chance, self.step
        if step % 20 == 12:
            for client in [*self.proxies.values(), *self.telemetry]:
                client.say({"t": "hb"})
        if step % 6 == 4 and step > 20:
            speaker = chance.choice([*self.telemetry, *(self.proxies[p] for p in list(self.proxies)[1:])])
            speaker.say(MALFORMED[step // 6 % (len(MALFORMED) - 1)])
            self.counts["malformed"] += 1
        if step % 50 == 40:
            self.connect("strangers").say(BAD_FIRST[step // 50 % len(BAD_FIRST)])
        if step % 50 == 46:
            stranger = self.connect("strangers")
            stranger.say({"t": "hb"})
            stranger.waiting += NOT_READABLE[step // 50 % len(NOT_READABLE)]
        for proxy, at in ((3, 332), (7, 776)):  # bytes that cannot be read, on a connection that is known
            if step == at:
                self.proxies[proxy].waiting += NOT_READABLE[proxy % 4]
            elif step == at + 8:
                self.join(proxy, fresh=True)
        if step == 500:
            self.proxies[3].say(MALFORMED[-1])  # it joins once more on its own connection

    # What the controller sent.

    def hear(self) -> None:
        news, self.taken = self.driver.sent[self.taken :], len(self.driver.sent)
        by_connection = {client.connection: client for client in self.clients}
        for connection, data in news:
            owner = self.owner[connection]
            self.digests.setdefault(owner, hashlib.sha256()).update(data)
            self.total.update(f"{self.step} {owner} {len(data)} ".encode() + data)
            self.counts["messages sent"] += 1
            if data == b"<closed>":
                self.counts["closed"] += 1
                self.clients.remove(by_connection[connection])
                continue
            for part in decode(data):
                self.read(owner, part, by_connection[connection])
        self.acknowledge()

    def read(self, owner: str, part: Message, client: Client) -> None:
        self.counts.update(key for key in part if key != "t")
        self.counts[part["t"]] += 1
        if "gate" in part and part["gate"] < 0.99:
            self.low_gates.append(part["gate"])
        if part.get("replace"):
            self.table_sizes.append(len(part["rows"]))
        if "rows" in part:
            self.follow(owner, part)
        if "stamp" in part:
            self.schedule(owner, part["stamp"], client)

    def follow(self, owner: str, part: Message) -> None:
        """The weights that each proxy is told, by the routes they are for."""
        for name, weight in part["rows"]:
            told = self.weights.setdefault((owner, *part["for"], name), [])
            self.counts["resent"] += not part.get("replace") and told[-1:] == [weight]
            told.append(weight)

    def schedule(self, owner: str, mark: int, client: Client) -> None:
        """Acknowledgements: most soon, some late, some never; all are late while the channel is slow."""
        way = self.chance.random()
        delay = self.chance.randint(1, 4) if way < 0.8 else self.chance.randint(10, 40)
        delay += 30 * (450 <= self.step < 500)
        if way < 0.93:
            done = {"t": "done", "proxy": int(owner), "mark": mark, "took_ms": delay * 100.0}
            self.due.append((self.step + delay, client, done))
        else:
            self.counts["never acknowledged"] += 1

    def acknowledge(self) -> None:
        for _, client, message in (row for row in self.due if row[0] <= self.step):
            client.say(message)
            self.counts["acknowledged"] += 1
        self.due = [row for row in self.due if row[0] > self.step]

    def observe(self) -> None:
        if self.step % 10 == 0:
            held = self.driver.endpoints()
            self.ejected.update((name, None) for name, ejected in held.items() if ejected)
            self.forgotten.update((name, None) for name in self.roster.removed if name not in held)

    def result(self) -> dict[str, Any]:
        receivers = {owner: self.digests[owner].hexdigest() for owner in sorted(self.digests)}
        return {"total": self.total.hexdigest(), "counts": dict(sorted(self.counts.items())), **receivers}


@cache
def played(name: str) -> Script:
    make, size, seed = VARIANTS[name]
    settings = make()
    scripts: list[Script] = []

    async def script(driver: ControllerDriver) -> None:
        scripts.append(Script(driver, settings["zones"], size, seed))
        await scripts[0].run()

    hosts = Roster(settings["zones"], size, random.Random(0)).full()["hosts"]
    ControllerDriver.run(settings, seed, {"seq": 4, "whole": True, "hosts": hosts[: size * 3 // 4]}, script)
    return scripts[0]


@pytest.mark.parametrize("name", VARIANTS)
def test_bytes_sent_are_those_recorded(name: str) -> None:
    assert played(name).result() == json.loads(DATA.read_text())[name]


@pytest.mark.parametrize("name", VARIANTS)
def test_script_makes_the_controller_send_every_kind_of_order(name: str) -> None:
    script = played(name)
    counts = script.counts
    assert {str(proxy) for proxy in range(24)} | {"telemetry", "strangers"} == set(script.digests)
    assert counts["messages sent"] > 2000 and counts["acknowledged"] > 1000
    assert min(counts[key] for key in ("drop", "undrop", "gate", "replace", "stamp", "hb_ok")) > 100
    assert counts["reject"] > 30 and counts["closed"] > 50 and counts["malformed"] > 100
    assert counts["never acknowledged"] > 50 and counts["resent"] > 0


@pytest.mark.parametrize("name", VARIANTS)
def test_script_makes_the_controller_take_every_kind_of_decision(name: str) -> None:
    script, active = played(name), len(played(name).roster.active())
    assert script.counts["answer refused"] >= 4 and script.counts["answer accepted"] > 40
    assert script.counts["lost"] > 1 and script.counts["full list wanted"] > 0
    assert script.low_gates and script.ejected and script.forgotten
    assert script.ejected.keys() <= {key[-1] for key, weights in script.weights.items() if 0.0 in weights}
    assert any(slow_start(weights) for weights in script.weights.values())
    # parts of tables for those who join at once, and whole ones
    assert min(script.table_sizes) < active / 4 and max(script.table_sizes) > active * 0.8


def slow_start(weights: list[float]) -> bool:
    """Whether the weight was 0, then grew three times."""
    rows = zip(weights, weights[1:], weights[2:], weights[3:], strict=False)
    return any(a == 0 < b < c < d for a, b, c, d in rows)


def test_two_variants_differ() -> None:
    assert played("plain").result()["total"] != played("zonal").result()["total"]


if __name__ == "__main__":
    DATA.write_text(json.dumps({name: played(name).result() for name in VARIANTS}, indent=1) + "\n")

"""Stand-ins for the platform: discovery, proxies, collectors, endpoints, and the launcher of controllers.

Standard library only. They follow the operators' protocol page. One process plays all stand-ins; each controller
is a process of its own, started with `run` of deploy/balancer.toml. Every address is on 127.0.0.1.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SLACK_S = 0.3  # the protocol page: time limits of the rules are 300 ms longer on sockets
FIRST_ANSWER_S = 1.0  # and begin no sooner than 1 s after the controller's first answer
REQUEST_S = 0.2  # time that an endpoint works on a request
CONNECT_TIMEOUT_S = 0.25  # how long a proxy waits for a connection
REPORT_PERIOD_S = 0.5
REPORT_DELAY_S = 0.4
WATCH = re.compile(r"GET (/v1/servers)(?:\?after=(\d+)&wait_ms=(\d+))? ")


def trouble() -> bool:
    """Whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def make_settings(**changes) -> dict:
    """Settings of a small deployment: 6 proxies, 10 endpoints, two zones, three classes."""
    settings = {
        "family": "control",
        "balancers": 2,
        "rank": 0,
        "locality": "north",
        "zones": ["north", "south"],
        "kinds": ["fast"],
        "tick": 0.004,
        "weights": "none",
        "discovery": "subscribe",
        "allowed": {"probes": False, "peers": False, "dial-timeout": CONNECT_TIMEOUT_S, "conn-idle": 15.0},
        "contract": {
            "ask-every": 10.0,
            "cold": 17.0,
            "start-capacity": 0.3,
            "drain-grace": 2.8,
            "fall-multiple": 4.0,
            "fall": 2.0,
        },
        "deductions": {"cross-zone": 0.08},
        "load-info": {"how": "answers", "fields": ["busy", "q"]},
        "extra": {
            "admit": "rps",
            "class-own-zone": [False, False, False],
            "class-writes": [False, True, True],
            "default-size": 5,
            "egress-per-s": 1900.0,
            "most-waiting": 3800.0,
            "per-message": 6.0,
            "empty-for": 2.9,
            "late": 0.213,
            "late-most": 0.532,
            "lb-method": "pair",
            "homed-by-zone": False,
            "messages-over": 10.0,
            "update-cap": 0,
            "period": REPORT_PERIOD_S,
            "reports-per-s": 200.0,
            "proxies": 6,
            "push-price": 0.12,
            "retry-default": 1,
            "settle": 4.0,
            "strikes": 0,
            "try-factor": 1.0,
            "partitions-n": 0,
        },
        "request-classes": [
            _request_class("load", "idempotent", 1.0, 1.5, 5.0),
            _request_class("save", "deduplicated", 2.0, 1.0, 2.5),
            _request_class("submit", "at_most_once", 2.0, 1.5, 4.0),
        ],
    }
    for path, value in changes.items():
        part, _, key = path.partition("__")
        key = key.replace("_", "-")
        if key:
            settings[part][key] = value
        else:
            settings[part] = value
    return settings


def _request_class(name: str, semantics: str, points: float, aim: float, deadline: float) -> dict:
    return {
        "name": name,
        "semantics": semantics,
        "points": points,
        "aim": aim,
        "deadline": deadline,
        "late-worth": 0.1,
        "group": "zone",
        "window": 2.5,
    }


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()
        self.broken: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def rule_broken(self, text: str) -> None:
        self.broken.append(text)
        self.write(f"RULE BROKEN: {text}")


def frame(message: dict) -> bytes:
    body = json.dumps(message).encode()
    return struct.pack("<I", len(body)) + body


async def read_frame(reader: asyncio.StreamReader) -> dict:
    size = struct.unpack("<I", await reader.readexactly(4))[0]
    return json.loads(await reader.readexactly(size))


class Endpoint:
    """An endpoint: its true state, and the state that discovery lists."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.runs = True
        self.started_at_ms = 0.0
        self.accepted = 0

    def entry(self, health: str) -> dict:
        return {
            "host": self.name,
            "dial": f"{HOST}:1",
            "site": self.zone,
            "class": "fast",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": self.started_at_ms,
        }


class Discovery:
    """The list of endpoints, and what each controller was told of it."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.version = 1
        self.listed: dict[str, dict] = {}
        self._changes: list[tuple[int, dict]] = []
        self._changed = asyncio.Event()

    def publish(self, endpoints: list[Endpoint], health: str) -> None:
        """Lists endpoints as active or leaving, or takes them off the list (left)."""
        self.version += 1
        for endpoint in endpoints:
            entry = endpoint.entry(health)
            self._changes.append((self.version, entry))
            if health == "left":
                self.listed.pop(endpoint.name, None)
            else:
                self.listed[endpoint.name] = entry
        self.fleet.record.write(f"discovery: {health} {' '.join(each.name for each in endpoints)}")
        self._changed.set()
        self._changed = asyncio.Event()

    def whole_list(self) -> dict:
        return {"seq": self.version, "whole": True, "hosts": list(self.listed.values())}

    async def serve(self, controller: Controller, reader, writer) -> None:
        """Answers the requests on one connection of a controller."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                match = WATCH.match(head)
                called_at = self.fleet.record.now()
                wait_s = 0.0
                if match is None:
                    return
                if match[2] is None:
                    answer = self.whole_list()
                else:
                    wait_s = int(match[3]) / 1000
                    answer = await self._wait_for_changes(int(match[2]), wait_s)
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
                controller.record_told(answer, called_at, wait_s)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _wait_for_changes(self, after: int, wait_s: float) -> dict:
        if after >= self.version:
            try:
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except TimeoutError:
                pass
        latest = {entry["host"]: entry for version, entry in self._changes if version > after}
        return {"seq": self.version, "whole": False, "hosts": list(latest.values())}


class Link:
    """The path from one controller to discovery. A cut path is silent in both directions.

    While it is cut, open connections stay open and nothing passes; new ones do not come up, because the queue of
    the listening socket is full. When it is whole again, the connections from before the cut are reset.
    """

    def __init__(self, fleet: Fleet, controller: Controller) -> None:
        self.fleet = fleet
        self.controller = controller
        self.is_cut = False
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((HOST, 0))
        self._socket.listen(16)
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]
        self._open: list[asyncio.StreamWriter] = []
        self._filler: socket.socket | None = None
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        try:
            accepted, peer = self._socket.accept()
        except OSError:
            return
        if self._filler is not None and peer == self._filler.getsockname():
            accepted.close()
            self._filler.close()
            self._filler = None
        else:
            accepted.setblocking(False)
            self.fleet.start(self._relay(accepted))

    async def _relay(self, accepted: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=accepted)
        self._open.append(writer)
        await self.fleet.discovery.serve(self.controller, reader, _RelayedWriter(writer, self))

    def cut(self) -> None:
        self.is_cut = True
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.listen(0)
        self._filler = socket.create_connection((HOST, self.port), 1.0)

    def restore(self) -> None:
        for writer in self._open:
            writer.transport.abort()
        self._open.clear()
        self._socket.listen(16)
        self.is_cut = False
        asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()


class _RelayedWriter:
    """Discovery's end of a connection; what is written while the path is cut is lost."""

    def __init__(self, writer: asyncio.StreamWriter, link: Link) -> None:
        self._writer = writer
        self._link = link

    def write(self, data: bytes) -> None:
        if not self._link.is_cut:
            self._writer.write(data)

    async def drain(self) -> None:
        if not self._link.is_cut:
            await self._writer.drain()

    def close(self) -> None:
        self._writer.close()


class Controller:
    """A controller process, its configuration, its channel, and what discovery told it."""

    def __init__(self, fleet: Fleet, name: str, zone: str) -> None:
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self._reservation = socket.socket()  # keeps the port for restarts; it never listens
        self._reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reservation.bind((HOST, 0))
        self.port = self._reservation.getsockname()[1]
        self.link = Link(fleet, self)
        self.process: subprocess.Popen | None = None
        self.is_expected_to_end = False
        self.first_answer_at: float | None = None
        self.held = fleet.discovery.whole_list()  # the list as this controller last held it
        self.told: dict[str, tuple[str, float]] = {}  # by endpoint: listed state, and since when it is told
        self.channel_free_at = 0.0
        self.generation = 0

    @property
    def is_used(self) -> bool:
        """Whether proxies and collectors connect to it."""
        return self.first_answer_at is not None and not self.is_expected_to_end

    def record_told(self, answer: dict, called_at: float, wait_s: float) -> None:
        """Records a written answer. One that the cut path lost counts 2 s after the wait of its call ends."""
        told_at = self.fleet.record.now()
        if self.link.is_cut:
            told_at = called_at + wait_s + 2.0
        else:
            self._update_held(answer)
        if answer["whole"]:
            listed = {entry["host"] for entry in answer["hosts"]}
            for name in set(self.told) - listed:
                self._record_state(name, "left", told_at)
        for entry in answer["hosts"]:
            self._record_state(entry["host"], entry["health"], told_at)

    def _record_state(self, name: str, health: str, told_at: float) -> None:
        old = self.told.get(name)
        is_same_kind = old is not None and (old[0] == "active") == (health == "active")
        since = min(old[1], told_at) if is_same_kind else told_at
        self.told[name] = (health, since)
        if old is None or old[0] != health:
            self.fleet.record.write(f"{self.name}: told {name} {health}, counts from {told_at:.3f}")

    def _update_held(self, answer: dict) -> None:
        hosts = {} if answer["whole"] else {entry["host"]: entry for entry in self.held["hosts"]}
        for entry in answer["hosts"]:
            hosts.pop(entry["host"], None)
            if entry["health"] != "left":
                hosts[entry["host"]] = entry
        self.held = {"seq": answer["seq"], "whole": True, "hosts": list(hosts.values())}

    async def start(self) -> None:
        """Starts the process as the deploy file says, and waits until it answers."""
        folder = self.fleet.folder
        temporary = folder / f"tmp-{self.name}-{self.generation}"
        temporary.mkdir()
        configuration = folder / f"{self.name}.json"
        settings = {**self.fleet.settings, "locality": self.zone}
        document = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.link.port}",
            "seed": f"{self.fleet.random.getrandbits(60):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.held,
            "settings": settings,
        }
        configuration.write_text(json.dumps(document))
        self.generation += 1
        self.first_answer_at = None
        self.is_expected_to_end = False
        self.told = {entry["host"]: (entry["health"], self.fleet.record.now()) for entry in self.held["hosts"]}
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(temporary),
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": document["listen"],
            "ROUTER_DISCOVERY": document["discovery"],
            "ROUTER_CONFIG": str(configuration),
        }
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        log = (folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.fleet.record.write(f"{self.name}: started, process {self.generation}")
        await asyncio.wait_for(self._wait_for_answer(), 30)
        self.first_answer_at = self.fleet.record.now()
        self.fleet.record.write(f"{self.name}: answers")

    async def _wait_for_answer(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(frame({"t": "hb"}))
                answer = await read_frame(reader)
                writer.close()
                if answer.get("t") == "hb_ok":
                    return
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.02)

    async def end(self, number: signal.Signals) -> None:
        """Sends SIGTERM or SIGKILL; waits for the end."""
        assert self.process is not None
        self.is_expected_to_end = True
        self.fleet.record.write(f"{self.name}: {number.name}")
        self.process.send_signal(number)
        await asyncio.to_thread(self.process.wait)
        self.fleet.record.write(f"{self.name}: ended with {self.process.returncode}")
        self.channel_free_at = 0.0
        self.fleet.forget_attempts(self)

    def unexpected_end(self) -> int | None:
        """The exit code of a process that ended without a signal from the script; else None."""
        if self.process is None or self.is_expected_to_end:
            return None
        return self.process.poll()


class Proxy:
    """A proxy: joins a controller, keeps its tables and exclusions, and sends requests by its tables."""

    def __init__(self, fleet: Fleet, number: int, zone: str, rate: float, weight: float) -> None:
        self.fleet = fleet
        self.number = number
        self.zone = zone
        self.rate = rate  # requests a second, over all classes
        self.weight = weight  # the figure that it states when it joins
        self.home: Controller | None = None  # the controller that it dials first; others only if it does not answer
        self.controller: Controller | None = None
        self.joined_at = 0.0
        self.is_fresh = True
        self.excluded: set[str] = set()
        self.open: Counter[str] = Counter()
        self.usage: Counter[str] = Counter()
        self.unserved: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.sent = 0
        local = [each for each in fleet.endpoints.values() if each.zone == zone]
        chosen = fleet.random.sample(local, min(5, len(local)))
        self.tables = {name: {each.name: 1.0 for each in chosen} for name in fleet.class_names}
        self._writer: asyncio.StreamWriter | None = None

    def usable(self, class_name: str) -> dict[str, float]:
        table = self.tables[class_name]
        return {name: weight for name, weight in table.items() if weight > 0 and name not in self.excluded}

    async def run(self) -> None:
        """Keeps a stream to a controller."""
        while True:
            controller = self._choose()
            if controller is not None:
                await self._join(controller)
            await asyncio.sleep(self.fleet.random.uniform(0.06, 0.3))

    def leave(self) -> None:
        """Ends the stream, as when it goes back to its home controller."""
        if self._writer is not None:
            self._writer.transport.abort()

    def _choose(self) -> Controller | None:
        if self.home is not None and self.home.is_used:
            return self.home
        used = [each for each in self.fleet.controllers if each.is_used]
        local = [each for each in used if each.zone == self.zone]
        if self.fleet.settings["extra"]["homed-by-zone"] and local:
            used = local
        return self.fleet.random.choice(used) if used else None

    async def _join(self, controller: Controller) -> None:
        try:
            reader, writer = await asyncio.open_connection(HOST, controller.port)
        except OSError:
            return
        self._writer = writer
        reporting = None
        try:
            message = {"t": "attach", "proxy": self.number, "zone": self.zone}
            writer.write(frame({**message, "weight": self.weight, "fresh": self.is_fresh}))
            await writer.drain()
            self.controller = controller
            self.joined_at = self.fleet.record.now()
            self.fleet.record.write(f"proxy {self.number}: joins {controller.name}, fresh={self.is_fresh}")
            reporting = asyncio.create_task(self._report(writer))
            await self._receive(controller, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.fleet.record.write(f"proxy {self.number}: left {controller.name}")
            self.controller = None
            self._writer = None
            if reporting is not None:
                reporting.cancel()
            writer.transport.abort()

    async def _receive(self, controller: Controller, reader, writer) -> None:
        parts: list[dict] = []
        last_delivery = 0.0
        while True:
            part = await read_frame(reader)
            if part.get("t") == "reject":
                self.fleet.record.write(f"proxy {self.number}: rejected by {controller.name}")
                return
            parts.append(part)
            if part.get("part"):
                continue
            now = self.fleet.record.now()
            extra = self.fleet.settings["extra"]
            lines = extra["per-message"] + sum(map(_count_lines, parts))
            controller.channel_free_at = max(controller.channel_free_at, now) + lines / extra["egress-per-s"]
            late = self.fleet.random.uniform(0.05, 2 * extra["late"])
            last_delivery = max(last_delivery, controller.channel_free_at + min(late, extra["late-most"]))
            message, parts = parts, []
            loop = asyncio.get_running_loop()
            loop.call_later(last_delivery - now, self._apply, message, controller, writer, now)

    def _apply(self, message: list[dict], controller: Controller, writer, received_at: float) -> None:
        if self._writer is not writer:
            return  # the stream broke while the message was under way
        for part in message:
            for class_name in part.get("for", self.fleet.class_names):
                if part.get("replace"):
                    self.tables[class_name] = {}
                for name, weight in part.get("rows", ()):
                    self.tables[class_name].pop(name, None)
                    if weight > 0:
                        self.tables[class_name][name] = weight
            if "rows" in part or part.get("replace"):
                self.is_fresh = False
            self.excluded |= set(part.get("drop", ()))
            self.excluded -= set(part.get("undrop", ()))
            if part.get("drop") or part.get("undrop"):
                self.fleet.record.write(
                    f"proxy {self.number}: {controller.name} orders drop={' '.join(part.get('drop', []))} "
                    f"undrop={' '.join(part.get('undrop', []))}"
                )
        marks = [part["stamp"] for part in message if "stamp" in part]
        if marks and not writer.is_closing():
            took_ms = 1000 * (self.fleet.record.now() - received_at)
            writer.write(frame({"t": "done", "proxy": self.number, "mark": marks[-1], "took_ms": took_ms}))

    async def _report(self, writer: asyncio.StreamWriter) -> None:
        """Reports the requests of each class; no request, no report."""
        while True:
            await asyncio.sleep(REPORT_PERIOD_S)
            usage, self.usage = self.usage, Counter()
            unserved, self.unserved = self.unserved, Counter()
            await asyncio.sleep(REPORT_DELAY_S)
            for name, tries in usage.items():
                if writer.is_closing():
                    return
                message = {"t": "client_stats", "proxy": self.number, "class": name, "tries": tries}
                writer.write(frame({**message, "failed": unserved[name], "span_ms": 1000 * REPORT_PERIOD_S}))

    async def send_requests(self) -> None:
        """Sends requests at its rate, of two endpoints drawn by weight to the one with fewer open."""
        names = self.fleet.class_names
        shares = [0.45, 0.37, 0.18]
        while self.rate:
            await asyncio.sleep(self.fleet.random.expovariate(self.rate))
            class_name = self.fleet.random.choices(names, shares)[0]
            self.usage[class_name] += 1
            self._send(class_name, tried=None)

    def _send(self, class_name: str, tried: str | None) -> None:
        lines = self.usable(class_name)
        if tried is not None:
            lines.pop(tried, None)
        if not lines:
            self.refused[class_name] += 1
            self.unserved[class_name] += 1
            return
        drawn = self.fleet.random.choices(list(lines), list(lines.values()), k=2)
        name = min(drawn, key=lambda each: self.open[each])
        endpoint = self.fleet.endpoints[name]
        self.sent += 1
        self.fleet.judge_send(self, endpoint)
        is_cut = self.fleet.cut_zone is not None and (self.zone == self.fleet.cut_zone) != (
            endpoint.zone == self.fleet.cut_zone
        )
        is_reached = endpoint.runs and not is_cut
        took_s = REQUEST_S if is_reached else (CONNECT_TIMEOUT_S if is_cut else 0.001)
        self.open[name] += 1
        endpoint.accepted += is_reached
        asyncio.get_running_loop().call_later(took_s, self._end, class_name, name, is_reached, tried)

    def _end(self, class_name: str, name: str, is_reached: bool, tried: str | None) -> None:
        self.open[name] -= 1
        self.fleet.record_attempt(self, name, is_reached)
        if not is_reached:  # it never ran, so one further try is allowed
            if tried is None:
                self._send(class_name, tried=name)
            else:
                self.unserved[class_name] += 1


def _count_lines(part: dict) -> int:
    counted = len(part.get("rows", ())) + len(part.get("drop", ())) + len(part.get("undrop", ()))
    return counted + sum(key in part for key in ("gate", "stamp", "replace"))


class Fleet:
    """All stand-ins of one case, and the judge of the rules."""

    def __init__(self, case: str, settings: dict, endpoints: list[tuple[str, str]]) -> None:
        self.record = Record(Path(case))
        self.settings = settings
        self.random = random.Random(int(os.environ.get("SEED", "41")))
        self.class_names = [each["name"] for each in settings["request-classes"]]
        self.folder = Path(tempfile.mkdtemp(prefix="willowhook-review-"))
        self.endpoints = {name: Endpoint(name, zone) for name, zone in endpoints}
        self.discovery = Discovery(self)
        self.discovery.publish(list(self.endpoints.values()), "active")
        self.controllers: list[Controller] = []
        self.proxies: list[Proxy] = []
        self.cut_zone: str | None = None
        self.judges_drains = False
        self._attempts: dict[tuple[str, str, str], list[int]] = {}  # controller, zone, endpoint: tries, failed
        self._tasks: set[asyncio.Task] = set()
        self._no_line_since: dict[tuple[int, str], float] = {}
        self._reported: set[tuple] = set()
        self._late_sends: dict[tuple[int, str], tuple[int, float]] = {}  # how many, and how late the last one was

    def start(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failure = task.exception()

    failure: BaseException | None = None

    def add_controller(self, name: str, zone: str) -> Controller:
        controller = Controller(self, name, zone)
        self.controllers.append(controller)
        return controller

    def add_proxy(self, number: int, zone: str, rate: float, weight: float, home: Controller) -> Proxy:
        proxy = Proxy(self, number, zone, rate, weight)
        proxy.home = home
        self.proxies.append(proxy)
        self.start(proxy.run())
        self.start(proxy.send_requests())
        return proxy

    # Reports on endpoints.

    def record_attempt(self, proxy: Proxy, name: str, is_success: bool) -> None:
        if proxy.controller is not None:
            counts = self._attempts.setdefault((proxy.controller.name, proxy.zone, name), [0, 0])
            counts[0] += 1
            counts[1] += not is_success

    def forget_attempts(self, controller: Controller) -> None:
        """Drops what is not reported yet to a controller that has ended."""
        for key in [key for key in self._attempts if key[0] == controller.name]:
            del self._attempts[key]

    async def run_collector(self, controller: Controller, zone: str) -> None:
        """Reports what the proxies of a zone that joined a controller met at each endpoint."""
        while True:
            if not controller.is_used:
                await asyncio.sleep(0.1)
                continue
            try:
                _, writer = await asyncio.open_connection(HOST, controller.port)
                writer.write(frame({"t": "telemetry", "zone": zone}))
                while controller.is_used:
                    await asyncio.sleep(REPORT_PERIOD_S)
                    keys = [key for key in self._attempts if key[:2] == (controller.name, zone)]
                    counted = {key: self._attempts.pop(key) for key in keys}
                    await asyncio.sleep(REPORT_DELAY_S)
                    if not controller.is_used or writer.is_closing():
                        break
                    for (_, _, name), (tries, failed) in counted.items():
                        message = {"t": "upstream_stats", "zone": zone, "server": name, "tries": tries}
                        message |= {"failed": failed, "span_ms": 1000 * (REPORT_PERIOD_S + REPORT_DELAY_S)}
                        message["mean_ms"] = 1000 * REQUEST_S if tries > failed else 0.0
                        if tries > failed:
                            message["load"] = {"util": 0.5, "queue": 0}
                        writer.write(frame(message))
                    await writer.drain()
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.1)

    def start_collectors(self) -> None:
        for controller in self.controllers:
            for zone in self.settings["zones"]:
                self.start(self.run_collector(controller, zone))

    # The rules.

    def judge_send(self, proxy: Proxy, endpoint: Endpoint) -> None:
        """The drain rule: no send later than the grace after the controller was told."""
        controller = proxy.controller
        if not self.judges_drains or controller is None or not controller.is_used:
            return
        health, told_at = controller.told.get(endpoint.name, ("active", 0.0))
        if health == "active":
            return
        begins_at = max(told_at, proxy.joined_at, controller.first_answer_at + FIRST_ANSWER_S)
        late_s = self.record.now() - begins_at - self.settings["contract"]["drain-grace"] - SLACK_S
        if late_s > 0:
            count, _ = self._late_sends.get((proxy.number, endpoint.name), (0, 0.0))
            self._late_sends[proxy.number, endpoint.name] = (count + 1, late_s)
            key = ("drain", proxy.number, endpoint.name)
            if key not in self._reported:
                self._reported.add(key)
                self.record.rule_broken(
                    f"proxy {proxy.number}, joined to {controller.name}, sends to {endpoint.name}, which is "
                    f"{health}, {late_s:.2f} s later than the grace and the slack allow"
                )

    async def judge_empty_tables(self) -> None:
        """The rule on proxies without a line: counts while a warm open endpoint is listed as well."""
        limit_s = self.settings["extra"]["empty-for"] + SLACK_S
        own_zone = self.settings["extra"]["class-own-zone"]
        while True:
            await asyncio.sleep(0.05)
            now = self.record.now()
            for proxy in self.proxies:
                for class_name, keeps_zone in zip(self.class_names, own_zone, strict=True):
                    key = (proxy.number, class_name)
                    if proxy.usable(class_name) or not self._has_open_endpoint(proxy, keeps_zone):
                        self._no_line_since.pop(key, None)
                        continue
                    begins_at = proxy.controller.first_answer_at + FIRST_ANSWER_S
                    since = max(self._no_line_since.setdefault(key, now), begins_at)
                    if now - since > limit_s and key not in self._reported:
                        self._reported.add(key)
                        self.record.rule_broken(
                            f"proxy {proxy.number}, joined to {proxy.controller.name}, has had no line for class "
                            f"{class_name} for over {limit_s:.1f} s while a warm open endpoint is listed; its table "
                            f"has {' '.join(proxy.tables[class_name])}; it still shuts out "
                            f"{' '.join(sorted(proxy.excluded))}"
                        )

    def _has_open_endpoint(self, proxy: Proxy, keeps_zone: bool) -> bool:
        controller = proxy.controller
        if controller is None or not controller.is_used:
            return False
        warm_before_ms = 1000 * (time.time() - self.settings["contract"]["cold"])
        return any(
            controller.told.get(entry["host"], ("left", 0.0))[0] == "active"
            and entry["born_ms"] <= warm_before_ms
            and (not keeps_zone or entry["site"] == proxy.zone)
            for entry in self.discovery.listed.values()
        )

    def judge_processes(self) -> None:
        """A controller that ends without SIGTERM or SIGKILL has crashed."""
        for controller in self.controllers:
            code = controller.unexpected_end()
            if code is not None:
                controller.is_expected_to_end = True
                self.record.rule_broken(f"{controller.name} ended by itself with exit code {code}: a crash")

    async def sleep(self, seconds: float) -> None:
        """Waits, and looks for crashes meanwhile."""
        end_at = self.record.now() + seconds
        while self.record.now() < end_at:
            await asyncio.sleep(min(0.05, max(end_at - self.record.now(), 0.0)))
            self.judge_processes()
            if self.failure is not None:
                raise self.failure

    async def close(self) -> None:
        """Ends all processes that were started, and writes what they logged and what was sent."""
        for task in list(self._tasks):
            task.cancel()
        for controller in self.controllers:
            controller.link.close()
            if controller.process is not None and controller.process.poll() is None:
                controller.process.kill()
                controller.process.wait()
        for proxy in self.proxies:
            refused = " ".join(f"{name}={count}" for name, count in proxy.refused.items()) or "none"
            self.record.write(f"proxy {proxy.number}: sent {proxy.sent} tries; refused for want of a line: {refused}")
        for (number, name), (count, late_s) in self._late_sends.items():
            self.record.write(f"proxy {number}: {count} tries to {name} after the limit, the last one {late_s:.2f} s")
        for endpoint in self.endpoints.values():
            self.record.write(f"endpoint {endpoint.name}: ran {endpoint.accepted} requests")
        for controller in self.controllers:
            log = self.folder / f"{controller.name}.log"
            for line in log.read_text(errors="replace").splitlines() if log.exists() else ():
                self.record.write(f"log of {controller.name}: {line.replace(str(ROOT), '.')}")
        shutil.rmtree(self.folder, ignore_errors=True)


def main(play, case: str, settings: dict, endpoints: list[tuple[str, str]]) -> None:
    """Plays a case and exits: 1 if a rule was broken, 0 if all held, 2 if the case could not run."""

    async def run() -> int:
        fleet = Fleet(case, settings, endpoints)
        fleet.record.write(f"TROUBLE={int(trouble())}")
        try:
            async with asyncio.timeout(110):
                await play(fleet)
        except BaseException as error:  # whatever it is, the case has not run to its end
            fleet.record.write(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await fleet.close()
            for text in fleet.record.broken:
                print("rule broken:", text)
        return 1 if fleet.record.broken else 0

    logging.getLogger("asyncio").setLevel(logging.ERROR)  # writes to a broken stream are no news here
    code = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)

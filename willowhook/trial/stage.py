"""Runs one day on loopback: starts all there is, lets troubles strike, ends it, and has it judged."""

from __future__ import annotations

import fcntl
import hashlib
import json
import math
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import IO, Any

import msgspec
import trio

from ..clock import monotonic_ticks
from ..config.terms import FrontTerms, GuardTerms, StoreTerms, Terms
from ..files.layout import DRAIN_FILE
from ..store.store import Op, Store
from ..ticks import TICKS_PER_SECOND, ticks_from_milliseconds
from .day import ZONES, EndpointPlan, Fault, Scenario, controller_config
from .judge import InvariantChecker, Limits, Verdict
from .notes import EventLog, read_events
from .standin_client import ClientWorkerConfig
from .standin_host import EndpointProcessConfig
from .standin_link import bearer_token
from .standin_proxy import ControllerAddress, ProxyWorkerConfig
from .standin_roster import StandInRegistry

FORMS = {"files": ("files",), "calls": ("whole", "delta"), "mixed": ("files", "delta", "files", "whole")}
CREW = 25  # so many proxies at most are one process
FELL = 9  # exit code of a host that was pushed over


@dataclass
class HostProcess:
    plan: EndpointPlan
    process: subprocess.Popen[bytes] | None = None
    draining: bool = False
    warm_from: int = 0


@dataclass
class RunResult:
    verdicts: list[Verdict]
    service_level: float
    by_route: dict[str, float]
    worst_interval: float  # of ten-second stretches
    calls: int
    answered: int
    throttled: int
    dropped: int
    controllers: dict[str, dict[str, float]] = field(default_factory=dict)

    @property
    def kept(self) -> bool:
        return all(verdict.kept for verdict in self.verdicts)


class FleetHarness:
    """`how`: `director`, or a baseline: `standing` (no director) or `static` (one table of all hosts)."""

    def __init__(
        self, day: Scenario, folder: Path, mode: str = "director", director: Sequence[str] = (),
        say: Callable[[str], None] = lambda text: None, durability: str = "none", guard: str = "on",
        front: str = "files", store: str = "none",
    ) -> None:  # fmt: skip
        """`front`: files, calls or mixed, by which proxies are told; `store`: none, kept, or aged by an hour
        at each restart.
        """
        self.store = store
        self.day, self.folder, self.mode, self.say = day, folder, mode, say
        self.command = list(director) or [sys.executable, "-m", "willowhook.cli"]
        self.durability, self.fenced, self.guard = durability, True, guard
        self.front = front
        for k, plan in enumerate(day.proxies):
            plan.form = FORMS[front][k % len(FORMS[front])]
        self.refuse, self.odd_weight, self.odd_share = 0.0, 0, 0.05
        folder.mkdir(parents=True, exist_ok=True)
        self.event_log = EventLog(str(folder / "stage.notes"))
        self.chance = random.Random(day.seed + 5)
        self.hosts = {plan.id: HostProcess(plan) for plan in day.hosts}
        self.spare = (
            [plan.id for plan in day.hosts[len(day.hosts) - day.host_slots :]] if day.host_slots else []
        )
        self.registry = StandInRegistry(EventLog(str(folder / "roster.notes")), day.roster_late_s)
        self.controllers: dict[int, subprocess.Popen[bytes]] = {}
        self.proxy_workers: list[tuple[list[str], subprocess.Popen[bytes]]] = []
        self.logs: list[IO[bytes]] = []
        self.clients: list[subprocess.Popen[bytes]] = []
        self.usage: dict[str, dict[str, float]] = {}
        self.starts = 0
        self.ports = Ports()
        self.front_ports = self.ports.take(day.directors)

    # Processes.

    def start(self, args: list[str], log: str, **kind: Any) -> subprocess.Popen[bytes]:
        file = open(self.folder / log, "ab")  # noqa: SIM115 - closed with the stage
        self.logs.append(file)
        return subprocess.Popen(args, stderr=file, stdin=subprocess.PIPE, **kind)

    async def start_host(self, host: HostProcess, cold: bool) -> None:
        rules = self.day.rules
        self.starts += 1
        windows = {
            route.name: route.window_ms / 1000 for route in self.day.routes if route.semantics == "keyed"
        }
        marks = self.folder / f"marks-{host.plan.zone}"
        marks.mkdir(exist_ok=True)
        orders = EndpointProcessConfig(
            host.plan, str(self.folder / f"{host.plan.id}.notes"), str(marks),
            self.day.seed * 100 + self.starts,
            windows, rules.start_capacity, rules.cold_ms / 1000 if cold else 0.0, rules.fall_multiple,
            rules.fall_ms / 1000,
        )  # fmt: skip
        args = [sys.executable, "-m", "willowhook.trial.standin_host", msgspec.json.encode(orders).decode()]
        host.process = self.start(args, "hosts.log", stdout=subprocess.PIPE)
        out = host.process.stdout
        assert out is not None
        port = await trio.to_thread.run_sync(out.readline)
        host.plan.port = int(port)
        host.draining = False
        if cold:
            host.warm_from = monotonic_ticks() + ticks_from_milliseconds(rules.cold_ms)
        self.registry.register(host.plan, started=time.time() if cold else 0.0)

    def tell(self, process: subprocess.Popen[bytes] | None, **order: Any) -> None:
        if process is not None and process.poll() is None and process.stdin is not None:
            try:
                process.stdin.write(json.dumps(order).encode() + b"\n")
                process.stdin.flush()
            except BrokenPipeError:
                return  # it has just died

    def tell_crews(self, **order: Any) -> None:
        for _, process in self.proxy_workers:
            self.tell(process, **order)

    def controller_folder(self, rank: int) -> str:
        return str(self.folder / f"director-{rank}")

    def start_controller(self, rank: int) -> None:
        url = f"http://127.0.0.1:{self.registry.port}"
        records = str(self.folder / f"director-{rank}.records")
        terms = controller_config(
            self.day, rank, self.controller_folder(rank), url, records, durability=self.durability
        )
        terms = msgspec.structs.replace(terms, guard=msgspec.convert({"mode": self.guard}, GuardTerms))
        terms = self.with_discovery_server(terms, rank)
        if self.store != "none":
            place = self.folder / f"store-{rank}"
            if self.store == "aged" and place.exists():
                age_store(str(place), 3600)
            terms = msgspec.structs.replace(terms, store=StoreTerms(folder=str(place)))
        path = self.folder / f"director-{rank}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(terms)))
        args = [*self.command, "director", "--config", str(path), "--log-format", "json"]
        self.controllers[rank] = self.start(args, f"director-{rank}.log", stdout=subprocess.DEVNULL)
        self.event_log.record("director_up", d=f"director-{rank}")

    def with_discovery_server(self, terms: Terms, rank: int) -> Terms:
        if self.front == "files":
            return terms
        path = self.folder / "credentials.json"
        sums = {plan.id: hashlib.sha256(bearer_token(plan.id)).hexdigest() for plan in self.day.proxies}
        path.write_bytes(msgspec.json.encode({"proxies": sums}))
        front = FrontTerms(
            listen=f"127.0.0.1:{self.front_ports[rank]}", credentials=str(path), wait_ms=2000, header_ms=3000,
            come_back_ms=300,
        )  # fmt: skip
        return msgspec.structs.replace(terms, front=front)

    def kill_controller(self, rank: int) -> None:
        process = self.controllers.pop(rank)
        self.note_usage(rank, process.pid)
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.event_log.record("director_died", d=f"director-{rank}")

    def note_usage(self, rank: int, pid: int) -> None:
        try:
            parts = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
            cpu = (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")
            rss = int(parts[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except OSError:
            return
        book = self.usage.setdefault(f"director-{rank}", {"cpu_s": 0.0, "rss_mb": 0.0})
        book["cpu_s"] += cpu
        book["rss_mb"] = max(book["rss_mb"], rss)

    def open_endpoints(self) -> list[tuple[str, str, int, str]]:
        """What the roster shows as open."""
        shown = self.registry.entries
        return [
            (plan.id, "127.0.0.1", plan.port, plan.zone)
            for plan in (host.plan for host in self.hosts.values())
            if plan.id in shown and not shown[plan.id]["Checks"]
        ]

    async def start_proxies(self) -> None:
        day, fleet = self.day, self.day.fleet
        places = [
            ControllerAddress(
                f"director-{rank}", self.controller_folder(rank), ZONES[rank % 2], self.front_ports[rank]
            )
            for rank in range(day.directors)
        ]
        parts = math.ceil(len(day.proxies) / CREW)
        for part in range(parts):
            plans = day.proxies[part::parts]
            orders = ProxyWorkerConfig(
                plans, places, self.open_endpoints(), day.routes, str(self.folder / f"proxies{part}.notes"),
                day.seed + part, fleet.standing, fleet.pick, fleet.strikes, 4.0, fleet.dial_ms / 1000,
                fleet.report_every_ms / 1000, day.director_lost_after_s, day.redial_s, day.calls_per_s,
                fixed=self.mode != "director", fenced=self.fenced, fleet=len(day.proxies),
                refuse=self.refuse, odd_weight=self.odd_weight, odd_share=self.odd_share,
            )  # fmt: skip
            if self.mode == "standing":
                orders = msgspec.structs.replace(orders, fixed=False, directors=[])
            path = self.folder / f"proxies{part}.json"
            path.write_bytes(msgspec.json.encode(orders))
            args = [sys.executable, "-m", "willowhook.trial.standin_proxy", f"@{path}"]
            process = self.start(args, "proxies.log", stdout=subprocess.PIPE)
            out = process.stdout
            assert out is not None
            await trio.to_thread.run_sync(out.readline)
            self.proxy_workers.append(([plan.id for plan in plans], process))

    # The day.

    async def run(self) -> RunResult:
        day = self.day
        scope = trio.CancelScope()
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.registry.event_log.run)
                await nursery.start(self.registry.run)
                self.nursery = nursery
                try:
                    await self.run_scenario(nursery)
                    self.check_processes()
                finally:
                    self.stop()
                    scope.cancel()
        self.registry.event_log.flush()
        return self.outcome(day)

    async def run_scenario(self, nursery: trio.Nursery) -> None:
        day = self.day
        self.registry.nursery = None  # what is listed at the start is shown at once
        first = [host for host in self.hosts.values() if host.plan.id not in self.spare]
        for group in range(0, len(first), 16):
            async with trio.open_nursery() as starts:
                for host in first[group : group + 16]:
                    starts.start_soon(self.start_host, host, False)
        self.registry.nursery = nursery
        if self.mode == "director":
            for rank in range(day.directors):
                self.start_controller(rank)
        ports = self.ports.take(len(day.proxies))
        for plan, port in zip(day.proxies, ports, strict=True):
            plan.port = port
        if self.mode == "director":
            await trio.sleep(1.0)
        await self.start_proxies()
        path = self.folder / "day.json"
        path.write_bytes(msgspec.json.encode(day))
        self.zero = monotonic_ticks() + TICKS_PER_SECOND
        parts = math.ceil(day.calls_per_s / 300)
        for part in range(parts):
            orders = ClientWorkerConfig(
                str(path), ports, str(self.folder / f"clients{part}.notes"), self.zero, part, parts
            )
            args = [
                sys.executable,
                "-m",
                "willowhook.trial.standin_client",
                msgspec.json.encode(orders).decode(),
            ]
            self.clients.append(self.start(args, "clients.log", stdout=subprocess.DEVNULL))
        for trouble in day.troubles:
            wait = (self.zero - monotonic_ticks()) / TICKS_PER_SECOND + trouble.at_s
            if wait > 0:
                await trio.sleep(wait)
            strike = getattr(self, f"strike_{trouble.kind}", None)
            if strike is not None:
                self.say(f"{trouble.at_s:6.1f} s  {trouble.kind}, {trouble.for_s:.1f} s")
                self.event_log.record("trouble", what=trouble.kind)
                nursery.start_soon(strike, trouble)
        longest = max(route.time_limit_ms for route in day.routes) / 1000
        with trio.move_on_after(
            (self.zero - monotonic_ticks()) / TICKS_PER_SECOND + day.length_s + longest + 5
        ):
            for client in self.clients:
                await trio.to_thread.run_sync(client.wait, abandon_on_cancel=True)

    def stop(self) -> None:
        for rank, process in self.controllers.items():
            self.note_usage(rank, process.pid)
        processes = [process for _, process in self.proxy_workers]
        processes += [host.process for host in self.hosts.values() if host.process]
        for process in [*processes, *self.clients]:
            if process.stdin:
                process.stdin.close()
        for process in self.clients:
            process.terminate()
            process.wait()
        for process in self.controllers.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in [*processes, *self.controllers.values()]:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for process in processes:
            if process.stdout:
                process.stdout.close()
        for file in self.logs:
            file.close()
        self.ports.close()
        self.event_log.flush()

    def check_processes(self) -> None:
        """A stand-in that broke makes the day worth nothing.  Raises RuntimeError."""
        dead = [
            f"proxies {names[0]}..." for names, process in self.proxy_workers if process.poll() is not None
        ]
        codes = [(host.plan.id, host.process.poll()) for host in self.hosts.values() if host.process]
        dead += [f"{name} with {code}" for name, code in codes if code not in (None, FELL)]
        if dead:
            raise RuntimeError(f"a stand-in broke, see its log: {', '.join(dead)}")
        for rank, process in self.controllers.items():
            if process.poll() is not None:
                raise RuntimeError(f"director-{rank} ended with {process.returncode}, see its log")

    def limits(self) -> Limits:
        day = self.day
        routes: dict[str, str] = {route.name: route.semantics for route in day.routes}
        windows = {route.name: ticks_from_milliseconds(route.window_ms) for route in day.routes}
        return Limits(
            ticks_from_milliseconds(day.rules.bare_ms),
            ticks_from_milliseconds(day.rules.drain_grace_ms),
            ticks_from_milliseconds(day.rules.cold_ms),
            day.channel.most_waiting_lines,
            day.channel.lines_per_s,
            day.channel.messages_most,
            ticks_from_milliseconds(day.channel.messages_over_ms),
            routes,
            windows,
        )

    def note_delays(self) -> None:
        """From an order to its file in place, and the longest queue, by each director's own record."""
        for path in sorted(self.folder.glob("director-*.records")):
            rows = [row for row in InvariantChecker.read_entries(path) if row["kind"] == "sent"]
            took = sorted(row["after"] / 10 for row in rows) or [0.0]
            book = self.usage.setdefault(path.stem, {"cpu_s": 0.0, "rss_mb": 0.0})
            book["messages"], book["median_ms"] = len(rows), took[len(took) // 2]
            book["p99_ms"] = took[int(len(took) * 0.99)]

    def outcome(self, day: Scenario) -> RunResult:
        self.note_delays()
        verdicts = (
            InvariantChecker(self.folder, self.limits(), self.zero).check_all()
            if self.mode == "director"
            else []
        )
        calls = [row for path in self.folder.glob("clients*.notes") for row in read_events(str(path))]
        routes = {route.name: route for route in day.routes}
        worth: dict[str, list[float]] = {}
        stretches: dict[int, list[float]] = {}
        counts = {"answered": 0, "throttled": 0, "dropped": 0}
        for row in calls:
            route = routes[row["r"]]
            counts[row["out"]] += 1
            got = 0.0
            if row["out"] == "answered":
                got = 1.0 if row["took"] <= route.slo_time_ms * 10 else route.late_importance
            for book in (
                worth.setdefault(route.name, [0.0, 0.0]),
                stretches.setdefault((row["began"] - self.zero) // (10 * TICKS_PER_SECOND), [0.0, 0.0]),
            ):
                book[0] += got * route.importance
                book[1] += route.importance
        total = [sum(column) for column in zip(*worth.values(), strict=True)] if worth else [0.0, 1.0]
        return RunResult(
            verdicts, total[0] / total[1], {name: a / b for name, (a, b) in sorted(worth.items())},
            min((a / b for a, b in stretches.values() if b > 50), default=0.0), len(calls),
            counts["answered"], counts["throttled"], counts["dropped"], self.usage,
        )  # fmt: skip

    # Troubles.  Each is given its row, strikes, waits, and mends what it can.

    def some_hosts(self, part: float) -> list[HostProcess]:
        """Hosts that are up and serving; never so many that none is left."""
        up = [h for h in self.hosts.values() if h.process and h.process.poll() is None and not h.draining]
        up = [h for h in up if monotonic_ticks() >= h.warm_from]
        count = min(max(1, round(part * len(self.day.hosts))), max(len(up) - 3, 0))
        return self.chance.sample(up, count)

    def some_proxies(self, part: float) -> list[str]:
        names = [plan.id for plan in self.day.proxies]
        return self.chance.sample(names, max(1, round(part * len(names))))

    async def on_hosts(self, row: Fault, name: str, value: Any, back: Any) -> None:
        hosts = [(host, host.process) for host in self.some_hosts(row.part)]
        for _, process in hosts:
            self.tell(process, do="set", name=name, value=value)
        await trio.sleep(row.for_s)
        for _, process in hosts:
            self.tell(process, do="set", name=name, value=back)

    async def strike_host_hang(self, row: Fault) -> None:
        await self.on_hosts(row, "hang", True, False)

    async def strike_host_slow(self, row: Fault) -> None:
        await self.on_hosts(row, "slow", row.size or 3.0, 1.0)

    async def strike_fast_errors(self, row: Fault) -> None:
        await self.on_hosts(row, "fail", row.size or 0.7, 0.0)

    async def strike_route_unanswered(self, row: Fault) -> None:
        await self.on_hosts(row, "unanswered", row.route or self.day.routes[0].name, "")

    async def strike_false_load(self, row: Fault) -> None:
        await self.on_hosts(row, "false_load", row.size, -1.0)

    async def strike_conn_squeeze(self, row: Fault) -> None:
        await self.on_hosts(row, "squeeze", row.size or 0.05, 1.0)

    async def crash(self, host: HostProcess) -> None:
        if host.process is not None:
            host.process.kill()
            await trio.to_thread.run_sync(host.process.wait)
            if host.process.stdin:
                host.process.stdin.close()
            if host.process.stdout:
                host.process.stdout.close()
            host.process = None
        self.registry.deregister(host.plan.id)

    async def strike_host_crash(self, row: Fault) -> None:
        hosts = self.some_hosts(row.part)
        for host in hosts:
            await self.crash(host)
        await trio.sleep(row.for_s)
        for host in hosts:
            await self.start_host(host, True)

    async def strike_zone_loss(self, row: Fault) -> None:
        """All hosts of one zone die at once, and come back cold."""
        zone = self.chance.choice(ZONES)
        up = [host for host in self.hosts.values() if host.process and not host.draining]
        hosts = [
            host for host in up if host.plan.zone == zone and host.process and host.process.poll() is None
        ]
        for host in hosts:
            await self.crash(host)
        await trio.sleep(row.for_s)
        for host in hosts:
            if host.process is None:
                await self.start_host(host, True)

    async def strike_decline(self, row: Fault) -> None:
        """Slower and slower, then dead, and back."""
        hosts = self.some_hosts(row.part)
        for step in range(1, 6):
            for host in hosts:
                self.tell(host.process, do="set", name="slow", value=1.0 + step)
            await trio.sleep(row.for_s / 5)
        for host in hosts:
            await self.crash(host)
        await trio.sleep(2)
        for host in hosts:
            await self.start_host(host, True)

    async def drain(self, host: HostProcess, for_s: float) -> None:
        """Told to the roster first; the host goes on for a while and then ends."""
        host.draining = True
        self.registry.register(host.plan, draining=True)
        await trio.sleep(for_s)
        await self.crash(host)

    async def strike_deploy(self, row: Fault) -> None:
        """Hosts are replaced one after the other; each successor starts cold."""
        hosts = self.some_hosts(row.part)
        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(self.replace, host)
                await trio.sleep(row.for_s / max(len(hosts), 1))

    async def replace(self, host: HostProcess) -> None:
        await self.drain(host, 3.5)
        await trio.sleep(0.5)
        await self.start_host(host, True)

    async def strike_shrink(self, row: Fault) -> None:
        for host in self.some_hosts(row.part):
            self.nursery.start_soon(self.drain, host, row.for_s)

    async def strike_grow(self, row: Fault) -> None:
        for name in self.spare:
            if self.hosts[name].process is None:
                await self.start_host(self.hosts[name], True)

    async def strike_burst(self, row: Fault) -> None:
        """It is in the arrivals."""

    async def strike_roster_away(self, row: Fault) -> None:
        self.registry.is_unavailable = True
        self.registry.wake_watchers()
        await trio.sleep(row.for_s)
        self.registry.is_unavailable = False

    async def strike_roster_frozen(self, row: Fault) -> None:
        self.registry.is_frozen = True
        await trio.sleep(row.for_s)
        self.registry.unfreeze()

    async def strike_roster_lies(self, row: Fault) -> None:
        self.registry.body_override = b'[{"Service": {"ID": "x", "Port": 99999}}]'
        self.registry.wake_watchers()
        await trio.sleep(row.for_s)
        self.registry.body_override = None

    async def strike_director_killed(self, row: Fault) -> None:
        if self.controllers:
            rank = self.chance.choice(sorted(self.controllers))
            self.kill_controller(rank)
            await trio.sleep(row.for_s)
            self.start_controller(rank)

    async def strike_director_drained(self, row: Fault) -> None:
        """An operator hands a director's proxies to the others, and lets them come again later."""
        if self.controllers:
            place = f"{self.controller_folder(self.chance.choice(sorted(self.controllers)))}/{DRAIN_FILE}"
            with open(place, "wb"):
                self.event_log.record("drain", d=place.split("/")[-2])
            await trio.sleep(row.for_s)
            os.unlink(place)

    async def strike_disk_full(self, row: Fault) -> None:
        """No file of a director can grow: each write fails as on a full disk."""
        if self.controllers:
            process = self.controllers[self.chance.choice(sorted(self.controllers))]
            limits = resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
            await trio.sleep(row.for_s)
            if process.poll() is None:
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, limits)

    async def strike_proxy_killed(self, row: Fault) -> None:
        names = self.some_proxies(row.part)
        self.tell_crews(do="kill", proxies=names)
        await trio.sleep(row.for_s)
        self.tell_crews(do="start", proxies=names, hosts=self.open_endpoints())

    async def strike_streams_lost(self, row: Fault) -> None:
        self.tell_crews(do="drop_streams", proxies=self.some_proxies(row.part or 0.5), away_s=row.for_s)

    async def strike_no_director(self, row: Fault) -> None:
        self.tell_crews(do="drop_streams", proxies=self.some_proxies(row.part or 0.5), away_s=row.for_s)

    async def strike_zone_cut(self, row: Fault) -> None:
        self.tell_crews(do="cut", zones=[self.chance.choice(ZONES)])
        await trio.sleep(row.for_s)
        self.tell_crews(do="cut", zones=[])

    async def strike_one_sided(self, row: Fault) -> None:
        hosts = [host.plan.id for host in self.some_hosts(row.part)]
        proxies = self.some_proxies(0.5)
        self.tell_crews(do="lossy", proxies=proxies, hosts=hosts, share=row.size or 0.5)
        await trio.sleep(row.for_s)
        self.tell_crews(do="lossy", proxies=[], hosts=[], share=0)


def age_store(folder: str, seconds: int) -> None:
    """As if its director had been away for so much longer."""
    store = Store(folder)
    for space, rows in list(store.state.items()):
        store.write(
            [Op(space, key, e.timestamp - seconds * TICKS_PER_SECOND, e.value) for key, e in rows.items()]
        )
    store.flush()
    store.close()


FAULT_KINDS = sorted(name.removeprefix("strike_") for name in dir(FleetHarness) if name.startswith("strike_"))


class Ports:
    """A block of ports outside those that connections are given, held against days side by side."""

    BLOCKS, SIZE, FIRST = 40, 500, 11_000

    def __init__(self) -> None:
        for block in range(self.BLOCKS):
            path = f"{tempfile.gettempdir()}/willowhook-ports-{os.getuid()}-{block}"
            self._lock = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(self._lock)
                continue
            self._next = self.FIRST + block * self.SIZE
            return
        raise RuntimeError("too many trials at one time")

    def take(self, count: int) -> list[int]:
        found = list[int]()
        while len(found) < count:
            self._next += 1
            with socket.socket() as sock:
                try:
                    sock.bind(("127.0.0.1", self._next))
                except OSError:
                    continue
                found.append(self._next)
        return found

    def close(self) -> None:
        os.close(self._lock)


def run_fleet(day: Scenario, folder: Path, mode: str = "director", **more: Any) -> RunResult:
    """One day, from its start to its verdict, in a folder of its own that is left for reading."""
    if folder.exists():
        shutil.rmtree(folder)
    stage = FleetHarness(day, folder, mode, **more)
    return trio.run(partial(stage.run))

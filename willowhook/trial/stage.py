"""Runs a scenario on loopback: starts a test fleet, injects faults, stops it and checks the invariants."""

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

UPDATE_FORMS = {
    "files": ("files",),
    "calls": ("whole", "delta"),
    "mixed": ("files", "delta", "files", "whole"),
}
PROXIES_PER_PROCESS = 25  # at most
OVERLOAD_EXIT_CODE = 9  # of an endpoint that failed because it got too much work while it warmed up


@dataclass
class EndpointProcess:
    """An endpoint of the fleet and its process, if it has one."""

    plan: EndpointPlan
    process: subprocess.Popen[bytes] | None = None
    draining: bool = False
    warm_at: int = 0  # ticks; when its slow start ends


@dataclass
class RunResult:
    """What a run of a scenario has shown."""

    verdicts: list[Verdict]
    service_level: float  # value of the answers, as a share of the value of all requests
    by_route: dict[str, float]
    worst_interval: float  # lowest service level of ten seconds
    calls: int
    answered: int
    throttled: int
    dropped: int
    controllers: dict[str, dict[str, float]] = field(default_factory=dict)  # usage by name

    @property
    def kept(self) -> bool:
        """Whether all invariants held."""
        return all(verdict.kept for verdict in self.verdicts)


class FleetHarness:
    """A test fleet of processes on loopback that runs one scenario.

    `mode` is `director`, or a baseline without controllers: `standing` (proxies keep the table that they
    start with) or `static` (one table of all endpoints).
    """

    def __init__(
        self, day: Scenario, folder: Path, mode: str = "director", director: Sequence[str] = (),
        say: Callable[[str], None] = lambda text: None, durability: str = "none", guard: str = "on",
        front: str = "files", store: str = "none",
    ) -> None:  # fmt: skip
        """Creates the folder and reserves ports; starts nothing.

        `front`: how proxies get updates, by files, by requests (calls) or mixed. `store`: none, kept over a
        controller's restart, or aged by an hour at each restart.
        """
        self.store = store
        self.day, self.folder, self.mode, self.log_progress = day, folder, mode, say
        self.controller_command = list(director) or [sys.executable, "-m", "willowhook.cli"]
        self.durability, self.fenced, self.guard = durability, True, guard
        self.front = front
        for index, plan in enumerate(day.proxies):
            plan.form = UPDATE_FORMS[front][index % len(UPDATE_FORMS[front])]
        self.refuse, self.odd_weight, self.odd_share = 0.0, 0, 0.05
        folder.mkdir(parents=True, exist_ok=True)
        self.event_log = EventLog(str(folder / "stage.notes"))
        self.chance = random.Random(day.seed + 5)
        self.endpoints = {plan.id: EndpointProcess(plan) for plan in day.hosts}
        self.spare_endpoints = (
            [plan.id for plan in day.hosts[len(day.hosts) - day.host_slots :]] if day.host_slots else []
        )
        self.registry = StandInRegistry(EventLog(str(folder / "roster.notes")), day.roster_late_s)
        self.controllers: dict[int, subprocess.Popen[bytes]] = {}
        self.proxy_workers: list[tuple[list[str], subprocess.Popen[bytes]]] = []
        self.log_files: list[IO[bytes]] = []
        self.clients: list[subprocess.Popen[bytes]] = []
        self.controller_usage: dict[str, dict[str, float]] = {}
        self.endpoint_starts = 0
        self.ports = PortBlock()
        self.discovery_ports = self.ports.reserve(day.directors)

    # Processes

    def start_process(self, args: list[str], log: str, **options: Any) -> subprocess.Popen[bytes]:
        """Starts a process with a pipe to its standard input, and its standard error in this log file."""
        file = open(self.folder / log, "ab")  # noqa: SIM115 - closed by stop()
        self.log_files.append(file)
        return subprocess.Popen(args, stderr=file, stdin=subprocess.PIPE, **options)

    async def start_endpoint(self, endpoint: EndpointProcess, cold: bool) -> None:
        """Starts its process and registers it. A `cold` one begins a slow start."""
        rules = self.day.rules
        self.endpoint_starts += 1
        windows = {
            route.name: route.window_ms / 1000 for route in self.day.routes if route.semantics == "keyed"
        }
        marks_folder = self.folder / f"marks-{endpoint.plan.zone}"
        marks_folder.mkdir(exist_ok=True)
        config = EndpointProcessConfig(
            endpoint.plan, str(self.folder / f"{endpoint.plan.id}.notes"), str(marks_folder),
            self.day.seed * 100 + self.endpoint_starts,
            windows, rules.start_capacity, rules.cold_ms / 1000 if cold else 0.0, rules.fall_multiple,
            rules.fall_ms / 1000,
        )  # fmt: skip
        args = [sys.executable, "-m", "willowhook.trial.standin_host", msgspec.json.encode(config).decode()]
        endpoint.process = self.start_process(args, "hosts.log", stdout=subprocess.PIPE)
        output = endpoint.process.stdout
        assert output is not None
        port = await trio.to_thread.run_sync(output.readline)
        endpoint.plan.port = int(port)
        endpoint.draining = False
        if cold:
            endpoint.warm_at = monotonic_ticks() + ticks_from_milliseconds(rules.cold_ms)
        self.registry.register(endpoint.plan, started=time.time() if cold else 0.0)

    def send_command(self, process: subprocess.Popen[bytes] | None, **command: Any) -> None:
        """Sends it a command; nothing if the process has ended."""
        if process is not None and process.poll() is None and process.stdin is not None:
            try:
                process.stdin.write(json.dumps(command).encode() + b"\n")
                process.stdin.flush()
            except BrokenPipeError:
                return  # the process has just ended

    def send_to_proxies(self, **command: Any) -> None:
        """Sends a command to all proxy processes."""
        for _, process in self.proxy_workers:
            self.send_command(process, **command)

    def controller_folder(self, rank: int) -> str:
        """The folder of the controller with this rank."""
        return str(self.folder / f"director-{rank}")

    def start_controller(self, rank: int) -> None:
        """Writes the configuration of this controller and starts its process."""
        url = f"http://127.0.0.1:{self.registry.port}"
        record_file = str(self.folder / f"director-{rank}.records")
        config = controller_config(
            self.day, rank, self.controller_folder(rank), url, record_file, durability=self.durability
        )
        config = msgspec.structs.replace(config, guard=msgspec.convert({"mode": self.guard}, GuardTerms))
        config = self.with_discovery_server(config, rank)
        if self.store != "none":
            store_folder = self.folder / f"store-{rank}"
            if self.store == "aged" and store_folder.exists():
                age_store(str(store_folder), 3600)
            config = msgspec.structs.replace(config, store=StoreTerms(folder=str(store_folder)))
        config_path = self.folder / f"director-{rank}.json"
        config_path.write_bytes(msgspec.json.format(msgspec.json.encode(config)))
        args = [*self.controller_command, "director", "--config", str(config_path), "--log-format", "json"]
        self.controllers[rank] = self.start_process(args, f"director-{rank}.log", stdout=subprocess.DEVNULL)
        self.event_log.record("director_up", d=f"director-{rank}")

    def with_discovery_server(self, config: Terms, rank: int) -> Terms:
        """This configuration with a discovery server, unless proxies get files only."""
        if self.front == "files":
            return config
        credentials_path = self.folder / "credentials.json"
        token_hashes = {
            plan.id: hashlib.sha256(bearer_token(plan.id)).hexdigest() for plan in self.day.proxies
        }
        credentials_path.write_bytes(msgspec.json.encode({"proxies": token_hashes}))
        discovery_server = FrontTerms(
            listen=f"127.0.0.1:{self.discovery_ports[rank]}", credentials=str(credentials_path),
            wait_ms=2000, header_ms=3000, come_back_ms=300,
        )  # fmt: skip
        return msgspec.structs.replace(config, front=discovery_server)

    def kill_controller(self, rank: int) -> None:
        """Kills a controller without a chance to clean up."""
        process = self.controllers.pop(rank)
        self.record_usage(rank, process.pid)
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.event_log.record("director_died", d=f"director-{rank}")

    def record_usage(self, rank: int, pid: int) -> None:
        """Adds the CPU time of this process and its resident memory to the usage of its controller."""
        try:
            fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
            cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
            rss_mb = int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except OSError:
            return
        usage = self.controller_usage.setdefault(f"director-{rank}", {"cpu_s": 0.0, "rss_mb": 0.0})
        usage["cpu_s"] += cpu_s
        usage["rss_mb"] = max(usage["rss_mb"], rss_mb)

    def open_endpoints(self) -> list[tuple[str, str, int, str]]:
        """Id, address, port and zone of the endpoints that the registry shows as open."""
        entries = self.registry.entries
        return [
            (plan.id, "127.0.0.1", plan.port, plan.zone)
            for plan in (endpoint.plan for endpoint in self.endpoints.values())
            if plan.id in entries and not entries[plan.id]["Checks"]
        ]

    async def start_proxies(self) -> None:
        """Starts the proxy processes, and waits until all listen."""
        day, fleet = self.day, self.day.fleet
        controllers = [
            ControllerAddress(
                f"director-{rank}", self.controller_folder(rank), ZONES[rank % 2], self.discovery_ports[rank]
            )
            for rank in range(day.directors)
        ]
        worker_count = math.ceil(len(day.proxies) / PROXIES_PER_PROCESS)
        for worker in range(worker_count):
            proxy_plans = day.proxies[worker::worker_count]
            config = ProxyWorkerConfig(
                proxy_plans, controllers, self.open_endpoints(), day.routes,
                str(self.folder / f"proxies{worker}.notes"), day.seed + worker, fleet.standing,
                fleet.pick, fleet.strikes, 4.0, fleet.dial_ms / 1000,
                fleet.report_every_ms / 1000, day.director_lost_after_s, day.redial_s, day.calls_per_s,
                fixed=self.mode != "director", fenced=self.fenced, fleet=len(day.proxies),
                refuse=self.refuse, odd_weight=self.odd_weight, odd_share=self.odd_share,
            )  # fmt: skip
            if self.mode == "standing":
                config = msgspec.structs.replace(config, fixed=False, directors=[])
            config_path = self.folder / f"proxies{worker}.json"
            config_path.write_bytes(msgspec.json.encode(config))
            args = [sys.executable, "-m", "willowhook.trial.standin_proxy", f"@{config_path}"]
            process = self.start_process(args, "proxies.log", stdout=subprocess.PIPE)
            output = process.stdout
            assert output is not None
            await trio.to_thread.run_sync(output.readline)
            self.proxy_workers.append(([plan.id for plan in proxy_plans], process))

    # The run

    async def run(self) -> RunResult:
        """Runs the scenario from the start of its processes to the check of its invariants."""
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
        return self.evaluate(day)

    async def run_scenario(self, nursery: trio.Nursery) -> None:
        """Starts all processes, injects the faults, and waits until the clients are done."""
        day = self.day
        self.registry.nursery = None  # so that the first entries are shown without delay
        first = [
            endpoint for endpoint in self.endpoints.values() if endpoint.plan.id not in self.spare_endpoints
        ]
        for offset in range(0, len(first), 16):
            async with trio.open_nursery() as starting:
                for endpoint in first[offset : offset + 16]:
                    starting.start_soon(self.start_endpoint, endpoint, False)
        self.registry.nursery = nursery
        if self.mode == "director":
            for rank in range(day.directors):
                self.start_controller(rank)
        proxy_ports = self.ports.reserve(len(day.proxies))
        for plan, port in zip(day.proxies, proxy_ports, strict=True):
            plan.port = port
        if self.mode == "director":
            await trio.sleep(1.0)
        await self.start_proxies()
        scenario_path = self.folder / "day.json"
        scenario_path.write_bytes(msgspec.json.encode(day))
        self.zero = monotonic_ticks() + TICKS_PER_SECOND
        worker_count = math.ceil(day.calls_per_s / 300)
        for worker in range(worker_count):
            config = ClientWorkerConfig(
                str(scenario_path),
                proxy_ports,
                str(self.folder / f"clients{worker}.notes"),
                self.zero,
                worker,
                worker_count,
            )
            args = [
                sys.executable,
                "-m",
                "willowhook.trial.standin_client",
                msgspec.json.encode(config).decode(),
            ]
            self.clients.append(self.start_process(args, "clients.log", stdout=subprocess.DEVNULL))
        for fault in day.troubles:
            wait_s = (self.zero - monotonic_ticks()) / TICKS_PER_SECOND + fault.at_s
            if wait_s > 0:
                await trio.sleep(wait_s)
            inject = getattr(self, f"strike_{fault.kind}", None)
            if inject is not None:
                self.log_progress(f"{fault.at_s:6.1f} s  {fault.kind}, {fault.for_s:.1f} s")
                self.event_log.record("trouble", what=fault.kind)
                nursery.start_soon(inject, fault)
        longest_s = max(route.time_limit_ms for route in day.routes) / 1000
        with trio.move_on_after(
            (self.zero - monotonic_ticks()) / TICKS_PER_SECOND + day.length_s + longest_s + 5
        ):
            for client in self.clients:
                await trio.to_thread.run_sync(client.wait, abandon_on_cancel=True)

    def stop(self) -> None:
        """Stops all processes; kills those that do not end within ten seconds."""
        for rank, process in self.controllers.items():
            self.record_usage(rank, process.pid)
        processes = [process for _, process in self.proxy_workers]
        processes += [endpoint.process for endpoint in self.endpoints.values() if endpoint.process]
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
        for log_file in self.log_files:
            log_file.close()
        self.ports.close()
        self.event_log.flush()

    def check_processes(self) -> None:
        """Raises RuntimeError if a stand-in or a controller has failed: the run shows nothing then."""
        failed = [
            f"proxies {names[0]}..." for names, process in self.proxy_workers if process.poll() is not None
        ]
        exit_codes = [
            (endpoint.plan.id, endpoint.process.poll())
            for endpoint in self.endpoints.values()
            if endpoint.process
        ]
        failed += [
            f"{name} with exit code {exit_code}"
            for name, exit_code in exit_codes
            if exit_code not in (None, OVERLOAD_EXIT_CODE)
        ]
        if failed:
            raise RuntimeError(f"stand-ins failed, see their logs: {', '.join(failed)}")
        for rank, process in self.controllers.items():
            if process.poll() is not None:
                raise RuntimeError(f"director-{rank} ended with exit code {process.returncode}, see its log")

    def invariant_limits(self) -> Limits:
        """The limits of the invariants, from the scenario."""
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

    def record_delays(self) -> None:
        """Adds the number of updates, and their times from order to sent, to each controller's usage."""
        for path in sorted(self.folder.glob("director-*.records")):
            sent = [entry for entry in InvariantChecker.read_entries(path) if entry["kind"] == "sent"]
            delays_ms = sorted(entry["after"] / 10 for entry in sent) or [0.0]
            usage = self.controller_usage.setdefault(path.stem, {"cpu_s": 0.0, "rss_mb": 0.0})
            usage["messages"], usage["median_ms"] = len(sent), delays_ms[len(delays_ms) // 2]
            usage["p99_ms"] = delays_ms[int(len(delays_ms) * 0.99)]

    def evaluate(self, day: Scenario) -> RunResult:
        """Checks the invariants, and adds up what the clients got."""
        self.record_delays()
        verdicts = (
            InvariantChecker(self.folder, self.invariant_limits(), self.zero).check_all()
            if self.mode == "director"
            else []
        )
        requests = [
            request for path in self.folder.glob("clients*.notes") for request in read_events(str(path))
        ]
        routes = {route.name: route for route in day.routes}
        value_by_route: dict[str, list[float]] = {}
        value_by_interval: dict[int, list[float]] = {}
        counts = {"answered": 0, "throttled": 0, "dropped": 0}
        for request in requests:
            route = routes[request["r"]]
            counts[request["out"]] += 1
            value = 0.0
            if request["out"] == "answered":
                value = 1.0 if request["took"] <= route.slo_time_ms * 10 else route.late_importance
            for value_sums in (
                value_by_route.setdefault(route.name, [0.0, 0.0]),
                value_by_interval.setdefault(
                    (request["began"] - self.zero) // (10 * TICKS_PER_SECOND), [0.0, 0.0]
                ),
            ):
                value_sums[0] += value * route.importance
                value_sums[1] += route.importance
        total = (
            [sum(column) for column in zip(*value_by_route.values(), strict=True)]
            if value_by_route
            else [0.0, 1.0]
        )
        return RunResult(
            verdicts, total[0] / total[1], {name: a / b for name, (a, b) in sorted(value_by_route.items())},
            min((a / b for a, b in value_by_interval.values() if b > 50), default=0.0), len(requests),
            counts["answered"], counts["throttled"], counts["dropped"], self.controller_usage,
        )  # fmt: skip

    # Faults: each function injects one kind, waits, and restores what it can. It is found by its name.

    def sample_endpoints(self, part: float) -> list[EndpointProcess]:
        """A sample of the endpoints that serve; at least three others keep serving."""
        serving = [
            h for h in self.endpoints.values() if h.process and h.process.poll() is None and not h.draining
        ]
        serving = [h for h in serving if monotonic_ticks() >= h.warm_at]
        count = min(max(1, round(part * len(self.day.hosts))), max(len(serving) - 3, 0))
        return self.chance.sample(serving, count)

    def sample_proxies(self, part: float) -> list[str]:
        """The ids of this fraction of the proxies."""
        names = [plan.id for plan in self.day.proxies]
        return self.chance.sample(names, max(1, round(part * len(names))))

    async def set_on_endpoints(self, fault: Fault, name: str, value: Any, restored: Any) -> None:
        """Sets an attribute on a sample of the endpoints, and restores it after the duration of the fault."""
        endpoints = [(endpoint, endpoint.process) for endpoint in self.sample_endpoints(fault.part)]
        for _, process in endpoints:
            self.send_command(process, do="set", name=name, value=value)
        await trio.sleep(fault.for_s)
        for _, process in endpoints:
            self.send_command(process, do="set", name=name, value=restored)

    async def strike_host_hang(self, fault: Fault) -> None:
        """Endpoints accept requests and never answer."""
        await self.set_on_endpoints(fault, "hang", True, False)

    async def strike_host_slow(self, fault: Fault) -> None:
        """Requests take `size` times as long, 3 by default."""
        await self.set_on_endpoints(fault, "slow", fault.size or 3.0, 1.0)

    async def strike_fast_errors(self, fault: Fault) -> None:
        """Endpoints answer this fraction of the requests with an error at once."""
        await self.set_on_endpoints(fault, "fail", fault.size or 0.7, 0.0)

    async def strike_route_unanswered(self, fault: Fault) -> None:
        """Endpoints never answer the requests of one route."""
        await self.set_on_endpoints(fault, "unanswered", fault.route or self.day.routes[0].name, "")

    async def strike_false_load(self, fault: Fault) -> None:
        """Endpoints report this utilization instead of their own."""
        await self.set_on_endpoints(fault, "false_load", fault.size, -1.0)

    async def strike_conn_squeeze(self, fault: Fault) -> None:
        """Endpoints accept only this fraction of their connections."""
        await self.set_on_endpoints(fault, "squeeze", fault.size or 0.05, 1.0)

    async def crash_endpoint(self, endpoint: EndpointProcess) -> None:
        """Kills its process, if any, and deregisters it."""
        if endpoint.process is not None:
            endpoint.process.kill()
            await trio.to_thread.run_sync(endpoint.process.wait)
            if endpoint.process.stdin:
                endpoint.process.stdin.close()
            if endpoint.process.stdout:
                endpoint.process.stdout.close()
            endpoint.process = None
        self.registry.deregister(endpoint.plan.id)

    async def strike_host_crash(self, fault: Fault) -> None:
        """Endpoints crash, and restart with a slow start."""
        endpoints = self.sample_endpoints(fault.part)
        for endpoint in endpoints:
            await self.crash_endpoint(endpoint)
        await trio.sleep(fault.for_s)
        for endpoint in endpoints:
            await self.start_endpoint(endpoint, True)

    async def strike_zone_loss(self, fault: Fault) -> None:
        """All endpoints of one zone crash at once, and restart with a slow start."""
        zone = self.chance.choice(ZONES)
        up = [endpoint for endpoint in self.endpoints.values() if endpoint.process and not endpoint.draining]
        endpoints = [
            endpoint
            for endpoint in up
            if endpoint.plan.zone == zone and endpoint.process and endpoint.process.poll() is None
        ]
        for endpoint in endpoints:
            await self.crash_endpoint(endpoint)
        await trio.sleep(fault.for_s)
        for endpoint in endpoints:
            if endpoint.process is None:
                await self.start_endpoint(endpoint, True)

    async def strike_decline(self, fault: Fault) -> None:
        """Endpoints get slower in steps, crash, and restart."""
        endpoints = self.sample_endpoints(fault.part)
        for step in range(1, 6):
            for endpoint in endpoints:
                self.send_command(endpoint.process, do="set", name="slow", value=1.0 + step)
            await trio.sleep(fault.for_s / 5)
        for endpoint in endpoints:
            await self.crash_endpoint(endpoint)
        await trio.sleep(2)
        for endpoint in endpoints:
            await self.start_endpoint(endpoint, True)

    async def drain_endpoint(self, endpoint: EndpointProcess, for_s: float) -> None:
        """Registers it as draining; its process goes on for this long and ends."""
        endpoint.draining = True
        self.registry.register(endpoint.plan, draining=True)
        await trio.sleep(for_s)
        await self.crash_endpoint(endpoint)

    async def strike_deploy(self, fault: Fault) -> None:
        """Endpoints are replaced one after the other; each successor begins a slow start."""
        endpoints = self.sample_endpoints(fault.part)
        async with trio.open_nursery() as nursery:
            for endpoint in endpoints:
                nursery.start_soon(self.replace_endpoint, endpoint)
                await trio.sleep(fault.for_s / max(len(endpoints), 1))

    async def replace_endpoint(self, endpoint: EndpointProcess) -> None:
        """Drains an endpoint and starts it again."""
        await self.drain_endpoint(endpoint, 3.5)
        await trio.sleep(0.5)
        await self.start_endpoint(endpoint, True)

    async def strike_shrink(self, fault: Fault) -> None:
        """Endpoints drain and are not replaced."""
        for endpoint in self.sample_endpoints(fault.part):
            self.nursery.start_soon(self.drain_endpoint, endpoint, fault.for_s)

    async def strike_grow(self, fault: Fault) -> None:
        """The spare endpoints start, with a slow start."""
        for name in self.spare_endpoints:
            if self.endpoints[name].process is None:
                await self.start_endpoint(self.endpoints[name], True)

    async def strike_burst(self, fault: Fault) -> None:
        """Nothing to inject: `arrivals` has the additional requests."""

    async def strike_roster_away(self, fault: Fault) -> None:
        """All queries of the registry fail."""
        self.registry.is_unavailable = True
        self.registry.wake_watchers()
        await trio.sleep(fault.for_s)
        self.registry.is_unavailable = False

    async def strike_roster_frozen(self, fault: Fault) -> None:
        """The registry does not show changes."""
        self.registry.is_frozen = True
        await trio.sleep(fault.for_s)
        self.registry.unfreeze()

    async def strike_roster_lies(self, fault: Fault) -> None:
        """The registry sends a list with invalid entries."""
        self.registry.body_override = b'[{"Service": {"ID": "x", "Port": 99999}}]'
        self.registry.wake_watchers()
        await trio.sleep(fault.for_s)
        self.registry.body_override = None

    async def strike_director_killed(self, fault: Fault) -> None:
        """A controller is killed and restarted."""
        if self.controllers:
            rank = self.chance.choice(sorted(self.controllers))
            self.kill_controller(rank)
            await trio.sleep(fault.for_s)
            self.start_controller(rank)

    async def strike_director_drained(self, fault: Fault) -> None:
        """An operator drains a controller for a while: its proxies are sent to the others."""
        if self.controllers:
            drain_file = (
                f"{self.controller_folder(self.chance.choice(sorted(self.controllers)))}/{DRAIN_FILE}"
            )
            with open(drain_file, "wb"):
                self.event_log.record("drain", d=drain_file.split("/")[-2])
            await trio.sleep(fault.for_s)
            os.unlink(drain_file)

    async def strike_disk_full(self, fault: Fault) -> None:
        """No file of a controller can grow, so that each write fails as on a full disk."""
        if self.controllers:
            process = self.controllers[self.chance.choice(sorted(self.controllers))]
            limits = resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
            await trio.sleep(fault.for_s)
            if process.poll() is None:
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, limits)

    async def strike_proxy_killed(self, fault: Fault) -> None:
        """Proxies are killed and restarted with a standing table."""
        names = self.sample_proxies(fault.part)
        self.send_to_proxies(do="kill", proxies=names)
        await trio.sleep(fault.for_s)
        self.send_to_proxies(do="start", proxies=names, hosts=self.open_endpoints())

    async def strike_streams_lost(self, fault: Fault) -> None:
        """Proxies lose their sessions, and cannot start new ones for the duration."""
        self.send_to_proxies(
            do="drop_streams", proxies=self.sample_proxies(fault.part or 0.5), away_s=fault.for_s
        )

    async def strike_no_director(self, fault: Fault) -> None:
        """Proxies lose their sessions, and cannot start new ones for the duration."""
        self.send_to_proxies(
            do="drop_streams", proxies=self.sample_proxies(fault.part or 0.5), away_s=fault.for_s
        )

    async def strike_zone_cut(self, fault: Fault) -> None:
        """A network partition separates one zone from the others."""
        self.send_to_proxies(do="cut", zones=[self.chance.choice(ZONES)])
        await trio.sleep(fault.for_s)
        self.send_to_proxies(do="cut", zones=[])

    async def strike_one_sided(self, fault: Fault) -> None:
        """Half of the proxies lose a fraction of their attempts to some endpoints."""
        endpoints = [endpoint.plan.id for endpoint in self.sample_endpoints(fault.part)]
        proxies = self.sample_proxies(0.5)
        self.send_to_proxies(do="lossy", proxies=proxies, hosts=endpoints, share=fault.size or 0.5)
        await trio.sleep(fault.for_s)
        self.send_to_proxies(do="lossy", proxies=[], hosts=[], share=0)


def age_store(folder: str, seconds: int) -> None:
    """Makes all values of a store older, as if its controller had been down for so long."""
    store = Store(folder)
    for space, entries in list(store.state.items()):
        store.write(
            [
                Op(space, key, entry.timestamp - seconds * TICKS_PER_SECOND, entry.value)
                for key, entry in entries.items()
            ]
        )
    store.flush()
    store.close()


FAULT_KINDS = sorted(name.removeprefix("strike_") for name in dir(FleetHarness) if name.startswith("strike_"))


class PortBlock:
    """A block of ports below those of outgoing connections, locked against parallel runs."""

    BLOCKS, SIZE, FIRST = 40, 500, 11_000

    def __init__(self) -> None:
        """Locks a free block. Raises RuntimeError if there is none."""
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
        raise RuntimeError("no free block of ports: too many fleets run at the same time")

    def reserve(self, count: int) -> list[int]:
        """The next ports of the block at which nobody listens."""
        ports = list[int]()
        while len(ports) < count:
            self._next += 1
            with socket.socket() as sock:
                try:
                    sock.bind(("127.0.0.1", self._next))
                except OSError:
                    continue
                ports.append(self._next)
        return ports

    def close(self) -> None:
        """Unlocks the block."""
        os.close(self._lock)


def run_fleet(day: Scenario, folder: Path, mode: str = "director", **options: Any) -> RunResult:
    """Runs a scenario in this folder, whose earlier content is deleted and whose new content stays."""
    if folder.exists():
        shutil.rmtree(folder)
    harness = FleetHarness(day, folder, mode, **options)
    return trio.run(partial(harness.run))

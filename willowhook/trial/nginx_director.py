"""Runs a real controller on an imported nginx configuration, with a stand-in proxy and stand-in endpoints.

Backups must serve only while the last primary drains or is dead; shares must follow the weights of the server
blocks; a closed path must stay closed.  Everything runs on loopback, controller and proxy in own processes.
"""

from __future__ import annotations

import json
import subprocess
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import trio

from ..config.terms import RosterTerms, Terms
from ..nginx.plan import ImportOptions
from ..nginx.result import controller_config, endpoint_list
from ..nginx.syntax import parse
from ..nginx.verdicts import diagnose
from ..web.wire import ConnectionLostError, open_connection
from .day import ProxyPlan
from .nginx_same import StandInEndpoints
from .notes import EventLog
from .ports import PortReservations
from .standin_proxy import ControllerAddress, ProxyWorkerConfig
from .standin_roster import StandInRegistry

CONF = """
upstream tasks {
  server 10.0.0.1:80 weight=3; server 10.0.0.2:80 weight=1; server 10.0.0.8:80 backup;
}
upstream saves { server 10.0.0.4:80; server 10.0.0.5:80; }
server {
  location / { proxy_pass http://tasks; proxy_read_timeout 3s; }
  location ~ \\.json$ { proxy_pass http://saves; proxy_read_timeout 3s; }
  location = /closed { return 410; }
}
"""
TASKS, BACKUP, SAVES = ("10.0.0.1:80", "10.0.0.2:80"), "10.0.0.8:80", ("10.0.0.4:80", "10.0.0.5:80")


@dataclass
class Observations:
    """Endpoints and statuses that requests met, by the name of each part of the scenario."""

    hosts: dict[str, Counter[str]] = field(default_factory=dict)
    answers: dict[str, Counter[int]] = field(default_factory=dict)
    waits: dict[str, float] = field(default_factory=dict)  # seconds until the awaited state was reached
    failures: list[str] = field(default_factory=list)
    guard_verdicts: dict[str, int] = field(default_factory=dict)  # verdicts of update validation

    @property
    def passed(self) -> bool:
        """Whether the run found no violation."""
        return not self.failures

    def lines(self) -> list[str]:
        """Describes the result for a reader."""
        lines = [f"{name}: {dict(counts.most_common())}" for name, counts in self.hosts.items()]
        lines += [f"{name}: after {wait:.2f} s" for name, wait in self.waits.items()]
        return [*lines, f"update validation: {self.guard_verdicts}", *self.failures]

    def expect(self, holds: bool, failure: str) -> None:
        """Records the failure if the condition does not hold."""
        if not holds:
            self.failures.append(failure)


class ImportedScenario:
    """Runs a controller and a proxy as processes; endpoints, service discovery and clients run here."""

    def __init__(self, folder: Path, observations: Observations) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self.observations = folder, observations
        self._request_count = 0
        directives = parse(CONF, "day")
        _, plan = diagnose(directives, ImportOptions(mutating=("/submit-task",)))
        self.plan = plan
        self.terms: Terms = controller_config(plan, 4, str(folder / "director"), "http://127.0.0.1:1")
        self._processes: list[subprocess.Popen[bytes]] = []

    async def run(self) -> None:
        """Starts all parts, runs the scenario and stops them."""
        with PortReservations() as reservations, trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                self.hosts = StandInEndpoints(nursery, reservations)
                self.port = reservations.reserve()
                for name in self.plan.endpoints:
                    await self.hosts.start(name)
                self.roster = StandInRegistry(EventLog(str(self.folder / "roster.notes")), 0.0)
                for entry in json.loads(endpoint_list(self.plan)):
                    name = entry["Service"]["ID"]
                    entry["Service"] |= {"Address": "127.0.0.1", "Port": self.hosts.ports[name]}
                    entry["Service"]["Meta"]["started"] = "0"
                    self.roster.entries[name] = entry
                await nursery.start(self.roster.run)
                try:
                    await self._start_processes()
                    await self._run_scenario()
                finally:
                    for process in self._processes:
                        process.terminate()
                    for process in self._processes:
                        process.wait()
                scope.cancel()
        self._check_validation()

    def _check_validation(self) -> None:
        with open(self.folder / "director.records", "rb") as file:
            for line in file:
                record = json.loads(line)
                if record.get("kind") == "guarded":
                    self.observations.guard_verdicts = record["counts"]
        self.observations.expect(
            self.observations.guard_verdicts.get("passed", 0) > 0, "update validation passed no update"
        )
        self.observations.expect(
            not self.observations.guard_verdicts.get("refused", 0),
            f"update validation refused updates: {self.observations.guard_verdicts}",
        )

    async def _start_processes(self) -> None:
        replace = msgspec.structs.replace
        url = f"http://127.0.0.1:{self.roster.port}"
        roster = RosterTerms(url=url, service=self.terms.roster.service, wait_ms=4000, timeout_ms=1000)
        rules = replace(self.terms.rules, cold_ms=2000)
        records = replace(self.terms.records, file=str(self.folder / "director.records"))
        terms = replace(self.terms, roster=roster, rules=rules, records=records)
        path = self.folder / "director.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(terms)))
        log = open(self.folder / "log", "ab")  # noqa: SIM115 - inherited by the processes
        command = [sys.executable, "-m", "willowhook.cli", "director", "--config", str(path)]
        self._processes.append(subprocess.Popen(command, stderr=log, stdout=subprocess.DEVNULL))
        lock = Path(terms.files.folder) / "lock"
        with trio.fail_after(10):
            while not lock.exists():
                await trio.sleep(0.05)
        place = ControllerAddress(terms.name, terms.files.folder, terms.zone)
        endpoints = [
            (host.id, "127.0.0.1", self.hosts.ports[host.id], terms.zone)
            for host in self.plan.endpoints.values()
        ]
        settings = ProxyWorkerConfig(
            [ProxyPlan("proxy-0", terms.zone, 1.0, self.port)], [place], endpoints[:1], list(terms.routes),
            str(self.folder / "proxy.notes"), 1, 1, terms.fleet.pick, 0, 2.0, 0.25, 0.25, 2.0, 0.2, 200.0,
        )  # fmt: skip
        path = self.folder / "proxy.json"
        path.write_bytes(msgspec.json.encode(settings))
        command = [sys.executable, "-m", "willowhook.trial.standin_proxy", f"@{path}"]
        proxy = subprocess.Popen(command, stderr=log, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self._processes.append(proxy)
        assert proxy.stdout is not None
        await trio.to_thread.run_sync(proxy.stdout.readline)
        log.close()

    # Requests.

    async def _request(self, path: str) -> tuple[int, str]:
        """Sends a request; returns the status and the endpoint that answered."""
        self._request_count += 1
        headers = [(b"x-attempt", b"c%d" % self._request_count), (b"x-call", b"c%d" % self._request_count)]
        try:
            connection = await open_connection("127.0.0.1", self.port, 1.0)
            reply = await connection.request(b"GET", path.encode(), headers)
            await connection.close()
        except ConnectionLostError:
            return 0, ""
        return reply.status, reply.body.decode("latin-1")

    async def _measure(self, name: str, path: str, count: int) -> Counter[str]:
        counts, answers = Counter[str](), Counter[int]()
        for _ in range(count):
            status, endpoint = await self._request(path)
            answers[status] += 1
            if status == 200:
                counts[endpoint] += 1
        self.observations.hosts[name], self.observations.answers[name] = counts, answers
        return counts

    async def _wait_for_endpoint(
        self, name: str, path: str, is_expected: Callable[[str], bool], timeout_s: float, requests: int = 20
    ) -> None:
        """Waits until this many consecutive requests all reach an endpoint that fulfills the condition."""
        started_at, consecutive = trio.current_time(), 0
        while consecutive < requests:
            status, endpoint = await self._request(path)
            consecutive = consecutive + 1 if status == 200 and is_expected(endpoint) else 0
            await trio.sleep(0.005)
            if trio.current_time() - started_at > timeout_s:
                self.observations.failures.append(
                    f"{name}: not within {timeout_s:g} s; last {status} {endpoint}"
                )
                return
        self.observations.waits[name] = trio.current_time() - started_at

    # Scenario.

    async def _run_scenario(self) -> None:
        observations = self.observations
        await self._wait_for_endpoint("tables of the import", "/x", lambda endpoint: endpoint in TASKS, 10)
        counts = await self._measure("in calm", "/x", 400)
        observations.expect(
            not counts[BACKUP], f"a backup serves although primaries are available: {dict(counts)}"
        )
        observations.expect(
            1.5 < counts[TASKS[0]] / max(counts[TASKS[1]], 1) < 6,
            f"weights 3 to 1 resulted in {dict(counts)}",
        )
        counts = await self._measure("by the expression", "/a.json", 100)
        observations.expect(
            set(counts) == set(SAVES), f"requests of the expression's location reach {dict(counts)}"
        )
        status, _ = await self._request("/closed")
        observations.expect(status == 410, f"a closed path answers {status}")
        for name in TASKS:
            self._drain(name, True)
        await self._wait_for_endpoint(
            "the backup, after both primaries drain", "/x", lambda endpoint: endpoint == BACKUP, 6
        )
        await self._measure("while they drain", "/x", 50)
        self._drain(TASKS[0], False)
        # Until the backup is out again, three of four requests reach the primary: twenty in a row may be
        # chance.
        await self._wait_for_endpoint(
            "a primary alone again", "/x", lambda endpoint: endpoint == TASKS[0], 14, requests=60
        )
        await self._measure("one primary is back", "/x", 50)
        self.hosts.stop(TASKS[0])
        await self._wait_for_endpoint(
            "the backup, after the primary died unlisted", "/x", lambda endpoint: endpoint == BACKUP, 14
        )
        await self._measure("while it is dead", "/x", 50)

    def _drain(self, name: str, is_draining: bool) -> None:
        check = {"CheckID": f"_service_maintenance:{name}", "Status": "critical"}
        entry: dict[str, Any] = {**self.roster.entries[name], "Checks": [check] if is_draining else []}
        self.roster.set_entry(name, entry)


def run_imported_scenario(folder: Path) -> Observations:
    """Runs the scenario in this folder and returns what was observed."""
    observations = Observations()
    trio.run(ImportedScenario(folder, observations).run)
    return observations

"""A real director on what an import made: the catalogue's list, a stand-in proxy, hosts, and what calls meet.

Backups serve when the last primary drains or dies, and not before nor long after; shares follow the weights
of the blocks; a path that was closed stays closed.  Loopback, processes of their own.
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
from ..nginx.plan import Asked
from ..nginx.result import host_list, terms_of
from ..nginx.syntax import parse
from ..nginx.verdicts import verdicts
from ..web.wire import ConnectionLostError, open_connection
from .day import ProxyPlan
from .nginx_same import Hosts
from .notes import Notes
from .ports import PortReservations
from .standin_proxy import DirectorPlace, ProxyOrders
from .standin_roster import StandInRoster

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
    """What calls met, by the name of each stretch of the day."""

    hosts: dict[str, Counter[str]] = field(default_factory=dict)
    answers: dict[str, Counter[int]] = field(default_factory=dict)
    waits: dict[str, float] = field(default_factory=dict)  # seconds until what was awaited came
    faults: list[str] = field(default_factory=list)
    guard: dict[str, int] = field(default_factory=dict)  # the guard's verdicts

    @property
    def passed(self) -> bool:
        return not self.faults

    def lines(self) -> list[str]:
        rows = [f"{name}: {dict(met.most_common())}" for name, met in self.hosts.items()]
        rows += [f"{name}: after {wait:.2f} s" for name, wait in self.waits.items()]
        return [*rows, f"guard: {self.guard}", *self.faults]

    def want(self, what: bool, text: str) -> None:
        if not what:
            self.faults.append(text)


class DirectorDay:
    """One director, one proxy, one process each; hosts, roster and calls are here."""

    def __init__(self, folder: Path, seen: Observations) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self.seen = folder, seen
        self._count = 0
        rows = parse(CONF, "day")
        _, plan = verdicts(rows, Asked(mutating=("/submit-task",)))
        self.plan = plan
        self.terms: Terms = terms_of(plan, 4, str(folder / "director"), "http://127.0.0.1:1")
        self._processes: list[subprocess.Popen[bytes]] = []

    async def run(self) -> None:
        with PortReservations() as reservations, trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                self.hosts = Hosts(nursery, reservations)
                self.port = reservations.reserve()
                for name in self.plan.hosts:
                    await self.hosts.start(name)
                self.roster = StandInRoster(Notes(str(self.folder / "roster.notes")), 0.0)
                for entry in json.loads(host_list(self.plan)):
                    name = entry["Service"]["ID"]
                    entry["Service"] |= {"Address": "127.0.0.1", "Port": self.hosts.ports[name]}
                    entry["Service"]["Meta"]["started"] = "0"
                    self.roster.entries[name] = entry
                await nursery.start(self.roster.run)
                try:
                    await self._start()
                    await self._play()
                finally:
                    for process in self._processes:
                        process.terminate()
                    for process in self._processes:
                        process.wait()
                scope.cancel()
        self._guard()

    def _guard(self) -> None:
        with open(self.folder / "director.records", "rb") as file:
            for line in file:
                row = json.loads(line)
                if row.get("kind") == "guarded":
                    self.seen.guard = row["counts"]
        self.seen.want(self.seen.guard.get("passed", 0) > 0, "the guard passed nothing")
        self.seen.want(not self.seen.guard.get("refused", 0), f"the guard refused: {self.seen.guard}")

    async def _start(self) -> None:
        replace = msgspec.structs.replace
        url = f"http://127.0.0.1:{self.roster.port}"
        roster = RosterTerms(url=url, service=self.terms.roster.service, wait_ms=4000, timeout_ms=1000)
        rules = replace(self.terms.rules, cold_ms=2000)
        records = replace(self.terms.records, file=str(self.folder / "director.records"))
        terms = replace(self.terms, roster=roster, rules=rules, records=records)
        path = self.folder / "director.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(terms)))
        log = open(self.folder / "log", "ab")  # noqa: SIM115 - of the processes
        command = [sys.executable, "-m", "willowhook.cli", "director", "--config", str(path)]
        self._processes.append(subprocess.Popen(command, stderr=log, stdout=subprocess.DEVNULL))
        lock = Path(terms.files.folder) / "lock"
        with trio.fail_after(10):
            while not lock.exists():
                await trio.sleep(0.05)
        place = DirectorPlace(terms.name, terms.files.folder, terms.zone)
        first = [
            (host.id, "127.0.0.1", self.hosts.ports[host.id], terms.zone) for host in self.plan.hosts.values()
        ]
        orders = ProxyOrders(
            [ProxyPlan("proxy-0", terms.zone, 1.0, self.port)], [place], first[:1], list(terms.routes),
            str(self.folder / "proxy.notes"), 1, 1, terms.fleet.pick, 0, 2.0, 0.25, 0.25, 2.0, 0.2, 200.0,
        )  # fmt: skip
        path = self.folder / "proxy.json"
        path.write_bytes(msgspec.json.encode(orders))
        command = [sys.executable, "-m", "willowhook.trial.standin_proxy", f"@{path}"]
        proxy = subprocess.Popen(command, stderr=log, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self._processes.append(proxy)
        assert proxy.stdout is not None
        await trio.to_thread.run_sync(proxy.stdout.readline)
        log.close()

    # Calls.

    async def _call(self, path: str) -> tuple[int, str]:
        """Status and the host that answered."""
        self._count += 1
        head = [(b"x-attempt", b"c%d" % self._count), (b"x-call", b"c%d" % self._count)]
        try:
            caller = await open_connection("127.0.0.1", self.port, 1.0)
            reply = await caller.request(b"GET", path.encode(), head)
            await caller.close()
        except ConnectionLostError:
            return 0, ""
        return reply.status, reply.body.decode("latin-1")

    async def _stretch(self, name: str, path: str, count: int) -> Counter[str]:
        met, answers = Counter[str](), Counter[int]()
        for _ in range(count):
            status, host = await self._call(path)
            answers[status] += 1
            if status == 200:
                met[host] += 1
        self.seen.hosts[name], self.seen.answers[name] = met, answers
        return met

    async def _until(
        self, name: str, path: str, what: Callable[[str], bool], patience: float, calls: int = 20
    ) -> None:
        """So many calls on end that all meet such a host."""
        began, row = trio.current_time(), 0
        while row < calls:
            status, host = await self._call(path)
            row = row + 1 if status == 200 and what(host) else 0
            await trio.sleep(0.005)
            if trio.current_time() - began > patience:
                self.seen.faults.append(f"{name}: not within {patience:g} s; last {status} {host}")
                return
        self.seen.waits[name] = trio.current_time() - began

    # The day.

    async def _play(self) -> None:
        seen = self.seen
        await self._until("tables of the import", "/x", lambda host: host in TASKS, 10)
        met = await self._stretch("in calm", "/x", 400)
        seen.want(not met[BACKUP], f"a backup serves beside primaries: {dict(met)}")
        seen.want(1.5 < met[TASKS[0]] / max(met[TASKS[1]], 1) < 6, f"3 to 1 became {dict(met)}")
        met = await self._stretch("by the expression", "/a.json", 100)
        seen.want(set(met) == set(SAVES), f"the expression's calls meet {dict(met)}")
        status, _ = await self._call("/closed")
        seen.want(status == 410, f"a closed path answers {status}")
        for name in TASKS:
            self._drain(name, True)
        await self._until("the backup, after both primaries drain", "/x", lambda host: host == BACKUP, 6)
        await self._stretch("while they drain", "/x", 50)
        self._drain(TASKS[0], False)
        # until the backup is held again, three calls of four meet the primary: twenty on end may be chance
        await self._until("a primary alone again", "/x", lambda host: host == TASKS[0], 14, calls=60)
        await self._stretch("one primary is back", "/x", 50)
        self.hosts.stop(TASKS[0])
        await self._until(
            "the backup, after the primary died unlisted", "/x", lambda host: host == BACKUP, 14
        )
        await self._stretch("while it is dead", "/x", 50)

    def _drain(self, name: str, on: bool) -> None:
        check = {"CheckID": f"_service_maintenance:{name}", "Status": "critical"}
        entry: dict[str, Any] = {**self.roster.entries[name], "Checks": [check] if on else []}
        self.roster._set(name, entry)


def run_imported_scenario(folder: Path) -> Observations:
    seen = Observations()
    trio.run(DirectorDay(folder, seen).run)
    return seen

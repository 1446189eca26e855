"""One running director: a nursery of concerns round the decision module, which one task alone calls.

What happens comes as calls on one bounded channel of memory.  All that is there at one time is one moment:
the module is told of it, asked once what it wants to order, and the orders go to the publisher's queue.
"""

from __future__ import annotations

import contextlib
import heapq
import os
import random
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

import structlog
import trio

from ..config.deployment import deployment_settings
from ..config.terms import Terms
from ..decisions.controller import Controller
from ..decisions.events import (
    EndpointEntry,
    EndpointListLost,
    EndpointListReceived,
    EndpointReport,
    EndpointState,
    EvaluationDue,
    HealthCheckCompleted,
    HealthCheckOutcome,
    MessageAcknowledged,
    ProxyJoined,
    ProxyLeft,
    RequestReport,
)
from ..decisions.windows import WindowedSums
from ..files.layout import DRAIN, PACE, Folder
from ..files.ops import DiskOps, FileOps, remove
from ..files.swap import Shelf, swap_file
from ..files.watch import Watch, open_watch
from ..membership.handoff import EndpointSums, Hint, HintReceiver, HintSender, Packet
from ..membership.priority_tiers import PriorityTiers, TieredEndpoint
from ..records.writer import Records
from ..reports.sample import SampleSums
from ..roster.forms import Host
from ..store.store import StoreError
from ..ticks import ticks_from_milliseconds as ticks
from ..versions.core import Core, first_era
from ..web.wire import Broken, Caller, dial
from ..xds import forms, orca
from ..xds.codec import FormError, encode
from .book import Message, OrderBook
from .intake import Intake
from .links import Post, listen, read, write
from .list_feed import ListFeed
from .memory import Memory
from .outlets import FileOutlet, Outlet
from .proxy_feed import ProxyFeed
from .publish import Publisher, Reader
from .render import Address, Held, Renderer
from .report_desk import ReportDesk
from .web_feed import WebFeed

SECOND = 10_000
MET_BUCKETS = 5  # seconds of what was met, that are handed on
MOST_PROBES = 500  # at once
SLOW_US = 50_000  # of one check of the guard: longer is told of
RESEND = 2 * SECOND  # files that are not answered by then are put in place again
START = 100_000 * SECOND  # of this clock: hosts may have started before the machine's own clock did
STATUS_OUTCOMES = {200: HealthCheckOutcome.HEALTHY, 503: HealthCheckOutcome.OVERLOADED}
Event = Callable[[int], None]


class Orders:
    """The decision module's host: orders to proxies go to the book, others to the service."""

    def __init__(self, service: Service) -> None:
        book = service.book
        self.schedule_evaluation, self.log = service.wake, service.say
        self.watch_endpoints, self.fetch_endpoint_list = service.follow, service.fetch
        self.check_health = service.probe
        self.set_weight, self.clear_table, self.bind = book.set_weight, book.clear_table, book.bind
        self.exclude_for_proxy, self.readmit_for_proxy = book.exclude_for_proxy, book.readmit_for_proxy
        self.forget_endpoint = book.forget_endpoint
        self.set_admission, self.send_sync_marker = book.set_admission, book.send_sync_marker
        self._service = service

    def exclude_endpoint(self, endpoint: str) -> None:
        self._service.book.exclude_endpoint(endpoint)
        self._note(endpoint, True)

    def readmit_endpoint(self, endpoint: str) -> None:
        self._service.book.readmit_endpoint(endpoint)
        self._note(endpoint, False)

    def _note(self, host: str, on: bool) -> None:
        self._service.records.note(self._service.clock.now(), "withdraw" if on else "readmit", host=host)
        if self._service.memory is not None:
            self._service.memory.withdrawn(host, on)


class Clock:
    """The machine's monotonic clock in tenths of a millisecond; times of hosts' starts are brought to it."""

    def __init__(self) -> None:
        self._starts: dict[str, tuple[float, int]] = {}

    def now(self) -> int:
        return START + time.monotonic_ns() // 100_000

    def start_of(self, host: Host) -> int:
        """The same figure for one start, whatever becomes of the machine's calendar later."""
        told, at = self._starts.get(host.id, (0.0, 0))
        if told != host.started:
            age = time.time() - host.started
            at = max(1, self.now() - round(max(age, 0.0) * SECOND)) if host.started else 0
            self._starts[host.id] = (host.started, at)
        return at


class Service:
    """The director of one folder.  `run` ends when cancelled, or raises what broke."""

    def __init__(
        self, terms: Terms, ops: FileOps | None = None, log: Any = None,
        decider: Callable[..., Any] = Controller, shelf: type[Shelf] = Shelf,
    ) -> None:  # fmt: skip
        self.terms, self.settings = terms, deployment_settings(terms)
        self.ops, self.clock = ops or DiskOps(), Clock()
        self._decider, self._shelf = decider, shelf
        self.log = (log or structlog.get_logger()).bind(director=terms.name)
        self.folder = Folder(terms.files.folder, self.ops)
        self.records = Records(terms.records.file, terms.records.most_waiting)
        self._send, self._receive = trio.open_memory_channel[Event](10_000)
        self._timers: list[int] = []
        self._probes_out = 0
        self._decided_at = 0
        self._names: dict[int, str] = {}
        self._hosts: dict[str, Host] = {}
        self._list: list[Host] = []
        self._pools_of: dict[str, tuple[str, ...]] = {}  # by kind
        self.tiers = PriorityTiers(self, ticks(terms.rules.cold_ms))
        self._reshow = False  # a tier was let in or held: the list must be shown again
        self._by_address: dict[str, str] = {}
        self._joins = 0
        self._worth = {route.name: route.importance for route in terms.routes}
        self._route_at = {route.name: k for k, route in enumerate(terms.routes)}
        self._terms_of: dict[int, int] = {}  # of each proxy's stay
        self._draining = False
        self._met: dict[
            int, dict[str, WindowedSums]
        ] = {}  # by proxy and host: tries, errors, time of the answered
        links = terms.links
        lasts = ticks(links.lasts_ms)
        self._hints = HintReceiver(lasts)
        self._posts = [Post(url, links.timeout_ms / 1000) for url in links.peers]
        self._tellers: list[HintSender] = []
        self.link_port = self.front_port = 0
        self._known: dict[str, Address] = {}  # of all hosts ever listed
        self._modes: dict[str, bool] = {}
        self._noted_at = 0
        self._nursery: trio.Nursery | None = None

    # Start and end.

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Raises FolderTaken or OSError if the folder cannot be had."""
        terms = self.terms
        self.folder.open()
        with contextlib.suppress(FileNotFoundError):
            self.ops.unlink(f"{self.folder.path}/{PACE}")  # of a life before
        self._watch: Watch = open_watch(terms.files.watch, terms.files.poll_every_ms / 1000)
        epoch = self.folder.epoch
        self.renderer = Renderer(terms, epoch)
        self.memory: Memory | None = None
        if terms.store.folder:
            try:
                lasts = ticks(terms.store.lasts_ms)
                self.memory = Memory(terms.store.folder, terms.name, epoch, lasts, self.say)
            except (StoreError, OSError) as fault:  # it is advice: a director does without
                self._mode("store", True, "no store", cause=str(fault))
        self._recalled = False
        routes = tuple(route.name for route in terms.routes)
        self.book = OrderBook(self.settings, self._ordered)
        self.core = Core(first_era(epoch, int.from_bytes(os.urandom(3), "big")))
        self.publisher = Publisher(
            terms, self.settings, self, self.records, self.log, self.core, self.renderer, epoch, self.book
        )
        self.channel, self.watchman = self.publisher.channel, self.publisher.watchman
        self.intake = Intake(
            self, terms.name, epoch, routes, ticks(terms.files.proxy_lost_after_ms), lambda: self.book.count
        )
        self.reports = ReportDesk(
            terms.intake, terms.fleet.reports_per_s, ticks(terms.fleet.report_every_ms),
            ticks(terms.files.proxy_lost_after_ms), self, self.intake,
            self._hand_sums, self.records, self.log, random.Random(terms.seed * 1000 + epoch).randrange,
        )  # fmt: skip
        self.web: WebFeed | None = None
        if terms.front.listen:
            report_s = terms.fleet.report_every_ms / 1000
            self.web = WebFeed(
                terms.name,
                terms.front,
                report_s,
                self.core,
                self.publisher,
                self.intake,
                self._send.send,
                self.reports,
            )
        self.lists = ListFeed(terms, self.folder.path, self.ops, self._mode, self._hand_list, self._hand_loss)
        now = self.clock.now()
        self.director = self._decider(Orders(self), self.settings, terms.seed * 1000 + epoch, now)
        self.log.info("started", epoch=epoch, folder=self.folder.path, process=os.getpid())
        self.records.note(now, "started", director=terms.name, epoch=epoch, wall=time.time())
        self._listed(self.clock.now(), self.lists.last())
        most = terms.files.largest_report_bytes
        self.proxies = ProxyFeed(
            self.folder, self.ops, self._watch, most, self.intake, self._send, self.reports, self.clock.now
        )
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self.records.run, 0.1)
                nursery.start_soon(self._beat)
                nursery.start_soon(self.lists.follow)
                nursery.start_soon(self.lists.fetch_whole)
                nursery.start_soon(self.publisher.run)
                if self.memory is not None:
                    nursery.start_soon(self.memory.run)
                nursery.start_soon(self.proxies.run)
                nursery.start_soon(self.proxies.read_later)
                nursery.start_soon(self._decide)
                for k in range(len(self._posts)):
                    first, lasts = SECOND // 5, ticks(terms.links.lasts_ms)
                    self._tellers.append(
                        HintSender(terms.name, epoch, partial(self._hand_on, k), first, lasts)
                    )
                if self.web is not None:
                    front: Any = await nursery.start(self.web.run)
                    self.front_port = int(front)
                    self.log.info("answers calls", port=self.front_port)
                if terms.links.listen:
                    port: Any = await nursery.start(listen, terms.links, self._handed)
                    self.link_port = int(port)
                task_status.started()
        finally:
            self.log.info("ended", queue_most=self.channel.most, messages=self.book.count)
            self._note_guard()
            self.records.note(self.clock.now(), "ended")
            self.records.flush()
            self._watch.close()
            self.folder.close()
            if self.memory is not None:
                self.memory.close()

    def _note_guard(self) -> None:
        """What the guard did in this life, and what a check cost."""
        took = sorted(self.publisher.guard_us) or [0]
        self.records.note(
            self.clock.now(), "guarded", counts=self.watchman.counts, median_us=took[len(took) // 2],
            p99_us=took[int(len(took) * 0.99)],
        )  # fmt: skip

    def _mode(self, name: str, on: bool, text: str, **parts: Any) -> None:
        """One line when a trouble begins, and one when it ends."""
        if self._modes.get(name, False) != on:
            self._modes[name] = on
            (self.log.warning if on else self.log.info)(text, **parts)
            shown = {key: str(value) for key, value in parts.items()}
            self.records.note(self.clock.now(), "mode", name=name, on=on, **shown)

    # Draining this director: its proxies are handed over one by one.

    def _drain(self, now: int) -> None:
        """One proxy a tenth of a second at most, of least traffic first, as the queue has room."""
        wanted = os.path.exists(f"{self.folder.path}/{DRAIN}")
        if wanted != self._draining:
            self._draining = wanted
            text = "draining: proxies are sent to others" if wanted else "no longer draining"
            self._mode("drain", wanted, text, proxies=len(self.book.members))
        if not wanted or self.channel.waiting > self.settings.channel.queue_limit_entries / 6:
            return
        here = self.book.members
        rows = sorted((member.rate, proxy) for proxy, member in here.items() if not member.leave)
        if rows:
            self.book.send_away(rows[0][1])

    async def _beat(self) -> None:
        """Signs of life, as long as decisions are made: a director that is stuck must look dead."""
        patience = 10 * SECOND
        while True:
            if self.clock.now() - self._decided_at < patience:
                self.folder.beat()
            await trio.sleep(self.terms.files.beat_every_ms / 1000)

    # Decisions: one task calls the module.

    async def _decide(self) -> None:
        last_look, more = 0, False
        self._decided_at = self.clock.now()
        self.director.flush(self._decided_at)  # the first moment: it may want the list
        while True:
            now = self.clock.now()
            due = self._timers[0] if self._timers else now + SECOND
            if len(self.reports.queue):  # what could not be looked at yet: as soon as there is room
                due = now if more else min(due, now + SECOND // 100)
            events: list[Event] = []
            with trio.move_on_after(max(due - now, 0) / SECOND):
                events.append(await self._receive.receive())
            while len(events) < 5000:
                try:
                    events.append(self._receive.receive_nowait())
                except trio.WouldBlock:
                    break
            now = self._decided_at = self.clock.now()
            for event in events:
                event(now)
            more = self.reports.work()
            self.reports.look(now, len(self.book.members))
            if now - last_look >= SECOND // 10:
                self.tiers.evaluate(now)
            if self._reshow:
                self._show(now)
            while self._timers and self._timers[0] <= now:
                heapq.heappop(self._timers)
                self.director.handle(now, EvaluationDue())
            self.director.flush(now)
            self.book.moment_over(now)
            self.publisher.wake()
            if now - last_look >= SECOND // 10:
                last_look = now
                self.intake.look(now)
                self._drain(now)
                for teller in self._tellers:
                    teller.resend_due(now)
                self._compare(now)
            await trio.lowlevel.checkpoint()

    def _compare(self, now: int) -> None:
        """The module's estimate of its channel beside the true queue."""
        believed, true = self.director.queue_estimate(), self.channel.waiting
        if now // SECOND != self._noted_at:
            self._noted_at = now // SECOND
            self.publisher.tell_guard(self.watchman.learnt, self.director.learnt_capacities())
            self.records.note(
                now, "queue", believed=round(believed, 1), waiting=true, messages=len(self.channel)
            )
        apart = abs(believed - true) > max(self.settings.channel.queue_limit_entries / 4, 100)
        self._mode("drift", apart, "queue and estimate apart" if apart else "queue and estimate agree",
                   believed=round(believed), waiting=true)  # fmt: skip

    # Orders that are not for proxies.

    def say(self, text: str) -> None:
        self.log.info(text)
        self.records.note(self.clock.now(), "said", text=text)

    def follow(self) -> None:
        self.lists.watch(True)

    def fetch(self) -> None:
        self.lists.fetch()

    def wake(self, delay_ticks: int) -> None:
        heapq.heappush(self._timers, self.clock.now() + max(delay_ticks, 1))

    def probe(self, host: str) -> None:
        entry = self._hosts.get(host)
        if entry is not None and self._nursery is not None and self._probes_out < MOST_PROBES:
            self._probes_out += 1
            self._nursery.start_soon(self._probe, entry)

    # The channel and the files.

    def _ordered(self, message: Message) -> None:
        self.publisher.put(message)

    def mode(self, name: str, on: bool, text: str, **parts: Any) -> None:
        self._mode(name, on, text, **parts)

    def now(self) -> int:
        return self.clock.now()

    def is_open(self, host: str) -> bool:
        """Whether the last list showed it as open."""
        entry = self._hosts.get(host)
        return entry is not None and not entry.draining

    def answered(self, now: int, proxy: int, mark: int, took: int) -> None:
        self.director.handle(now, MessageAcknowledged(proxy, mark))

    def knows(self, proxy: str, part: str, version: str) -> None:
        if self.memory is not None:
            self.memory.believes(proxy, part, version)

    def sent(self, proxy: str, term: int, message: int) -> None:
        if self.memory is not None:
            self.memory.ordered(proxy, term, message)

    async def soon(self, event: Event) -> None:
        await self._send.send(event)

    # The roster.

    async def _hand_list(self, hosts: list[Host]) -> None:
        await self._send.send(lambda now: self._listed(now, hosts))

    async def _hand_loss(self) -> None:
        await self._send.send(lambda now: self.director.handle(now, EndpointListLost()))

    def _listed(self, now: int, hosts: list[Host]) -> None:
        self._by_address.update({f"{host.address}:{host.port}": host.id for host in hosts})
        self.renderer.readdress({**self._known, **{h.id: (h.address, h.port, h.zone) for h in hosts}})
        self._known.update({host.id: (host.address, host.port, host.zone) for host in hosts})
        rows = [[h.id, "draining" if h.draining else "open", h.started] for h in hosts]
        self.records.note(now, "list", hosts=rows)
        if self.memory is not None:
            self.memory.listed({host.id: [host.draining, host.started] for host in hosts})
        self._list = hosts
        self.reports.sums.keep(frozenset(host.id for host in hosts))
        start = self.clock.start_of
        self.tiers.update_list(
            now, [TieredEndpoint(h.id, self._pools(h.kind), h.tier, h.draining, start(h)) for h in hosts]
        )
        self._show(now)
        if self.memory is not None:
            self._recall(now, hosts)

    def _pools(self, kind: str) -> tuple[str, ...]:
        """The sets of hosts, one of routes that may use the same kinds each, in which this kind is."""
        return self._pools_of.setdefault(kind, tuple(dict.fromkeys(
            " ".join(route.allowed_classes)
            for route in self.settings.routes
            if not route.allowed_classes or kind in route.allowed_classes
        )))  # fmt: skip

    def set_active(self, endpoint: str, is_active: bool, reason: str) -> None:
        self._reshow = True
        self.records.note(self.clock.now(), "tier", host=endpoint, on=is_active, cause=reason)
        self.log.info(
            "a later tier is let in" if is_active else "a later tier is held", host=endpoint, cause=reason
        )

    def _show(self, now: int) -> None:
        """The list to the guard and the module; what is held drains."""
        self._reshow = False
        hosts = [
            replace(host, draining=True) if self.tiers.is_standby(host.id) else host for host in self._list
        ]
        self._hosts = {host.id: host for host in hosts}
        self.publisher.tell_guard(self.watchman.listed, now, hosts, self.clock.start_of)
        self.director.handle(now, EndpointListReceived(True, tuple(map(self._entry, hosts))))

    def _entry(self, host: Host) -> EndpointEntry:
        state = EndpointState.DRAINING if host.draining else EndpointState.IN_SERVICE
        return EndpointEntry(host.id, state, self.clock.start_of(host), host.size, host.kind, host.zone)

    def _recall(self, now: int, hosts: list[Host]) -> None:
        """Once, with the first list: what this director met with these hosts in its life before."""
        if self._recalled or not hosts or self.memory is None:
            return
        self._recalled = True
        rows = self.memory.recall({host.id: host.started for host in hosts if not host.draining})
        for host, sums, _ in rows:
            self.director.handle(now, EndpointReport(host, sums.tries, sums.errors, sums.mean, None))
        self.records.note(now, "recalled", hosts=len(rows), life=self.memory.last_life)
        if rows:
            self.log.info("recalls what it met", hosts=len(rows), oldest_ms=max(row[2] for row in rows) // 10)

    async def _probe(self, host: Host) -> None:
        outcome, told = HealthCheckOutcome.TIMED_OUT, dict[str, float]()
        caller: Caller | None = None
        try:
            with trio.move_on_after(self.terms.fleet.dial_ms / 1000):
                caller = await dial(host.address, host.port)
                reply = await caller.call(b"GET", self.terms.fleet.probe_path.encode(), most=1 << 16)
                outcome = STATUS_OUTCOMES.get(reply.status, HealthCheckOutcome.FAILED)
                told = orca.load(orca.read(reply.header(orca.HEADER) or b""))
        except Broken as fault:
            outcome = HealthCheckOutcome.ABORTED if fault.sent else HealthCheckOutcome.UNREACHABLE
        finally:
            self._probes_out -= 1
            if caller is not None:
                with trio.CancelScope(shield=True):
                    await caller.close()
        event = HealthCheckCompleted(host.id, outcome, told.get("busy"))
        await self._send.send(lambda now: self.director.handle(now, event))

    # The intake's ear.

    def joined(
        self, proxy: int, name: str, zone: str, rate: float, fresh: bool, held: Held, term: int, web: bool
    ) -> None:
        now = self.clock.now()
        self._terms_of[proxy] = term
        self._joins += 1
        self._names[proxy] = name
        self.publisher.joined(
            Reader(proxy, name, term, held, self._outlet(proxy, name, term, held, web), web)
        )
        hosts = {k: held.hosts(route.name) for k, route in enumerate(self.terms.routes)}
        self.book.join(proxy, zone, hosts, rate)
        self.records.note(now, "joined", proxy=name, zone=zone, rate=rate, fresh=fresh, term=term)
        self.log.info("proxy joined", proxy=name, zone=zone, fresh=fresh, term=term)
        self._use_hint(now, name, zone, term)
        self.publisher.tell_guard(self.watchman.joined, proxy, zone, rate, held)
        self.director.handle(now, ProxyJoined(proxy, zone, rate, fresh))

    def left(self, proxy: int, name: str, why: str) -> None:
        now = self.clock.now()
        self.reports.forget(name)
        self._tell_peers(now, proxy, name)
        web = self.publisher.readers[proxy].web
        self.publisher.left(proxy)
        self.book.leave(proxy)
        if web:
            if self.web is not None:
                self.web.left(proxy, name)
            self.records.note(now, "left", proxy=name, why=why)
            self.log.info("proxy left", proxy=name, why=why)
            self.director.handle(now, ProxyLeft(proxy))
            return
        self.proxies.forget(name)
        try:
            remove(self.ops, f"{self.folder.down}/{name}")
        except OSError as fault:
            self._mode("disk", True, "a proxy's folder cannot be cleared", proxy=name, cause=str(fault))
        self.records.note(now, "left", proxy=name, why=why)
        self.log.info("proxy left", proxy=name, why=why)
        self.director.handle(now, ProxyLeft(proxy))

    def _outlet(self, proxy: int, name: str, term: int, held: Held, web: bool) -> Outlet:
        if web and self.web is not None:
            return self.web.outlet(proxy, name, held)
        series = f"{self.folder.epoch}-{self._joins}-"
        durability = self.terms.files.durability
        shelf = self._shelf(f"{self.folder.down}/{name}", self.ops, durability, series)
        try:
            shelf.open()
        except OSError as fault:
            self._mode("disk", True, "files cannot be swapped", proxy=name, cause=str(fault))
        return FileOutlet(shelf, self.core, term, self.folder.epoch, durability != "none")

    def applied(self, proxy: int, number: int) -> None:
        self.publisher.applied(self.clock.now(), proxy, number)

    def refused(self, proxy: int, kind: str, number: int, cause: str) -> None:
        self.publisher.refused_group(self.clock.now(), proxy, kind, number, cause)

    # Handoff, where there are links.

    def _tell_peers(self, now: int, proxy: int, name: str) -> None:
        """What was met with this proxy, to all who may get it."""
        hosts = {}
        for host, ring in self._met.pop(proxy, {}).items():
            tries, errors, spent = ring.total(now, MET_BUCKETS)
            if tries:
                hosts[host] = EndpointSums(int(tries), int(errors), round(spent / max(tries - errors, 1)))
        if hosts:
            hint = Hint(name, self._terms_of[proxy], MET_BUCKETS * SECOND, hosts)
            for teller in self._tellers:
                teller.send(now, hint)

    def _hand_on(self, k: int, packet: Packet) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._post, k, packet, write(packet, self._known))

    async def _post(self, k: int, packet: Packet, body: bytes) -> None:
        if await self._posts[k].send(body):
            teller = self._tellers[k]
            await self._send.send(lambda now: teller.acknowledge(packet.epoch, packet.number))

    async def _handed(self, body: bytes) -> bool:
        try:
            packet = read(body, self._by_address)
        except FormError as fault:
            self._mode("link", True, "a peer tells what cannot be read", cause=str(fault))
            return False
        self._mode("link", False, "peers tell what can be read")
        await self._send.send(lambda now: self._hints.take(now, packet))
        return True

    def _use_hint(self, now: int, name: str, zone: str, term: int) -> None:
        """Evidence of the proxy's stay with another, as if it had been heard here."""
        hint = self._hints.claim(now, name, term)
        if hint is None:
            return
        for host, (tries, errors, mean) in hint.endpoints.items():
            self.director.handle(now, EndpointReport(host, tries, errors, mean, None))
        self.records.note(now, "hint", proxy=name, term=hint.term, hosts=len(hint.endpoints))

    def met(self, proxy: int, whole: SampleSums) -> None:
        """What a proxy met with hosts, of all its reports of a stretch."""
        now, member = self.clock.now(), self.book.members.get(proxy)
        if member is None:
            return
        zone, cells = member.zone, {}
        by_host: dict[str, list[float]] = {}
        for (address, route), row in whole.cells.items():
            host = self._by_address.get(address)
            if host is not None:
                cells[host, route] = row
                sums = by_host.setdefault(host, [0.0, 0.0, 0.0])
                for k in range(3):
                    sums[k] += row[k]
        loads = {self._by_address[at]: told for at, told in whole.loads.items() if at in self._by_address}
        self.reports.sums.add(now, zone, whole.since, whole.until, cells, loads)
        tries, errors = (sum(sums[k] for sums in by_host.values()) for k in (0, 1))
        self.publisher.rollout.met(now, proxy, round(tries), round(errors))
        for host, (came, failed, spent) in by_host.items():
            self.tiers.record_attempts(now, host, round(came), round(failed))
            if self.memory is not None:
                mean = round(spent / (came - failed)) if came > failed else 0
                self.memory.met(now, host, zone, round(came), round(failed), mean)
            if self._posts:
                ring = self._met.setdefault(proxy, {}).get(host)
                if ring is None:
                    ring = self._met[proxy][host] = WindowedSums(SECOND, MET_BUCKETS, 3)
                ring.add(now, came, failed, spent)

    def _hand_sums(
        self, host: str, zone: str, tries: int, errors: int, mean: int, window: int, load: dict[str, float]
    ) -> None:
        self.director.handle(self.clock.now(), EndpointReport(host, tries, errors, mean, load.get("busy")))

    def wake_up(self) -> None:
        """The deciding task has something to do, if it has nothing else."""
        with contextlib.suppress(trio.WouldBlock):  # it has
            self._send.send_nowait(lambda now: None)

    def ask_every(self, interval: int) -> None:
        """How often proxies are to report, where they read it: by calls, and in one file for all others."""
        if self.web is not None:
            self.web.ask_every(interval / SECOND)
        said = encode(forms.LoadStatsResponse(True, f"{interval / SECOND:.3f}s"))
        try:
            swap_file(self.ops, self.folder.path, PACE, said)
        except OSError as fault:
            self._mode("pace", True, "the pace of reports cannot be told", cause=str(fault))
        else:
            self._mode("pace", False, "the pace of reports can be told again")

    def came(self, proxy: int, route: str, calls: int, dropped: int, window: int) -> None:
        self.director.handle(self.clock.now(), RequestReport(proxy, route, calls, window))
        self.reports.weigh(self._names[proxy], calls * SECOND / window * self._worth[route])
        self.publisher.tell_guard(self.watchman.came, proxy, self._route_at[route], calls * SECOND / window)

    def fault(self, name: str, cause: str) -> None:
        self.log.warning("bad file of a proxy", proxy=name, cause=cause)
        self.records.note(self.clock.now(), "fault", proxy=name, cause=cause)

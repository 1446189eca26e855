"""One running director: a nursery of concerns round the decision module, which one task alone calls.

What happens comes as calls on one bounded channel of memory.  All that is there at one time is one moment:
the module is told of it, asked once what it wants to order, and the orders go to the publisher's queue.
"""

from __future__ import annotations

import heapq
import os
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

import structlog
import trio

from ..config.facts import facts, ticks
from ..config.terms import Terms
from ..files.layout import DRAIN, Folder
from ..files.ops import DiskOps, FileOps, remove
from ..files.swap import Shelf
from ..files.watch import Watch, open_watch
from ..membership.handoff import Hint, Listener, Packet, Teller
from ..records.writer import Records
from ..roster.forms import Host
from ..rules import Director
from ..state import Ring
from ..web.wire import Broken, Caller, dial
from ..xds import orca
from ..xds.codec import FormError
from .book import Message, OrderBook
from .channel import Channel
from .intake import Intake
from .links import Post, listen, read, write
from .list_feed import ListFeed
from .proxy_feed import ProxyFeed
from .render import Address, Files, Held, Renderer
from .watchman import HELD, SPLIT, Watchman, guard_terms, records_of

SECOND = 10_000
MET_BUCKETS = 5  # seconds of what was met, that are handed on
MOST_PROBES = 500  # at once
SLOW_US = 50_000  # of one check of the guard: longer is told of
RESEND = 2 * SECOND  # files that are not answered by then are put in place again
START = 100_000 * SECOND  # of this clock: hosts may have started before the machine's own clock did
OK, ERROR, FULL, TIMED_OUT, DOWN, BROKE = range(6)  # outcomes of a probe
Event = Callable[[int], None]


class Orders:
    """The decision module's host: orders to proxies go to the book, others to the service."""

    def __init__(self, service: Service) -> None:
        book = service.book
        self.after, self.log, self.watch, self.fetch = (
            service.wake,
            service.say,
            service.follow,
            service.fetch,
        )
        self.probe, self.line, self.clear, self.bind = service.probe, book.line, book.clear, book.bind
        self.allow, self.mark = book.allow, book.mark
        self._service = service

    def withdraw(self, host: str, on: bool) -> None:
        self._service.book.withdraw(host, on)
        self._service.records.note(self._service.clock.now(), "withdraw" if on else "readmit", host=host)

    def tell(self, peer: int | None, data: bytes) -> None:
        raise NotImplementedError("directors do not talk to each other")


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
        decider: Callable[..., Any] = Director, shelf: type[Shelf] = Shelf,
    ) -> None:  # fmt: skip
        self.terms, self.facts = terms, facts(terms)
        self.ops, self.clock = ops or DiskOps(), Clock()
        self._decider, self._shelf = decider, shelf
        self.log = (log or structlog.get_logger()).bind(director=terms.name)
        self.folder = Folder(terms.files.folder, self.ops)
        self.records = Records(terms.records.file, terms.records.most_waiting)
        self.channel = Channel(self.facts.channel)
        self._send, self._receive = trio.open_memory_channel[Event](10_000)
        self._timers: list[tuple[int, int, int]] = []
        self._timer_count = 0
        self._woken = trio.Event()  # the publisher has something to do
        self._probes_out = 0
        self._decided_at = 0
        self._names: dict[int, str] = {}
        self._hosts: dict[str, Host] = {}
        self._by_address: dict[str, str] = {}
        self._shelves: dict[int, Shelf] = {}
        self._files: dict[int, Files] = {}
        self._held: dict[int, Held] = {}
        self._joins = 0
        self._route_at = {route.name: k for k, route in enumerate(terms.routes)}
        self._terms_of: dict[int, int] = {}  # of each proxy's stay
        self._resend: dict[int, tuple[int, int]] = {}  # by proxy: when to look for its answer, and the wait
        self._draining = False
        self._met: dict[int, dict[str, Ring]] = {}  # by proxy and host: tries, errors, time of the answered
        links = terms.links
        lasts = ticks(links.lasts_ms)
        self._hints = Listener(lasts)
        self._posts = [Post(url, links.timeout_ms / 1000) for url in links.peers]
        self._tellers: list[Teller] = []
        self.link_port = 0
        made = guard_terms(
            self.facts, terms.guard.cold_part, terms.guard.swing, terms.guard.capacity_calls_per_s
        )
        self.watchman = Watchman(self.facts, made, terms.guard.mode == "shadow")
        self._guarded = terms.guard.mode != "off"
        self._later: dict[int, tuple[int, Message]] = {}  # held by the guard, until when
        self._unsent: dict[int, Message] = {}  # whose swap failed: the newest, which holds all
        self._marks: dict[int, list[tuple[int, int, int]]] = {}  # by proxy: message, mark, when ordered
        self._guard_us: deque[int] = deque(maxlen=10_000)
        self._put: dict[int, int] = {}  # by proxy: the message whose files lie there
        self._known: dict[str, Address] = {}  # of all hosts ever listed
        self._modes: dict[str, bool] = {}
        self._noted_at = 0
        self._nursery: trio.Nursery | None = None

    # Start and end.

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Raises FolderTaken or OSError if the folder cannot be had."""
        terms = self.terms
        self.folder.open()
        self._watch: Watch = open_watch(terms.files.watch, terms.files.poll_every_ms / 1000)
        epoch = self.folder.epoch
        self.renderer = Renderer(terms, epoch)
        routes = tuple(route.name for route in terms.routes)
        self.intake = Intake(self, terms.name, epoch, routes, ticks(terms.files.proxy_lost_after_ms))
        self.book = OrderBook(self.facts, self._ordered)
        self.lists = ListFeed(terms, self.folder.path, self.ops, self._mode, self._hand_list, self._hand_loss)
        now = self.clock.now()
        self.director = self._decider(Orders(self), self.facts, terms.seed * 1000 + epoch, now)
        self.log.info("started", epoch=epoch, folder=self.folder.path, process=os.getpid())
        self.records.note(now, "started", director=terms.name, epoch=epoch, wall=time.time())
        self._listed(self.clock.now(), self.lists.last())
        most = terms.files.largest_report_bytes
        self.proxies = ProxyFeed(self.folder, self.ops, self._watch, most, self.intake, self._send)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self.records.run, 0.1)
                nursery.start_soon(self._beat)
                nursery.start_soon(self.lists.follow)
                nursery.start_soon(self.lists.fetch_whole)
                nursery.start_soon(self._publish)
                nursery.start_soon(self.proxies.run)
                nursery.start_soon(self._decide)
                for k in range(len(self._posts)):
                    first, lasts = SECOND // 5, ticks(terms.links.lasts_ms)
                    self._tellers.append(Teller(terms.name, epoch, partial(self._hand_on, k), first, lasts))
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

    def _note_guard(self) -> None:
        """What the guard did in this life, and what a check cost."""
        took = sorted(self._guard_us) or [0]
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
        if not wanted or self.channel.waiting > self.facts.channel.most_waiting / 6:
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
        last_look = 0
        self._decided_at = self.clock.now()
        self.director.moment_over(self._decided_at)  # the first moment: it may want the list
        while True:
            now = self.clock.now()
            due = self._timers[0][0] if self._timers else now + SECOND
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
            while self._timers and self._timers[0][0] <= now:
                self.director.timer_due(now, heapq.heappop(self._timers)[2])
            self.director.moment_over(now)
            self.book.moment_over(now)
            self._woken.set()
            if now - last_look >= SECOND // 10:
                last_look = now
                self.intake.look(now)
                self._drain(now)
                for teller in self._tellers:
                    teller.look(now)
                self._compare(now)
            await trio.lowlevel.checkpoint()

    def _compare(self, now: int) -> None:
        """The module's estimate of its channel beside the true queue."""
        believed, true = self.director.channel.load(), self.channel.waiting
        if now // SECOND != self._noted_at:
            self._noted_at = now // SECOND
            if isinstance(self.director, Director):
                sizes = {name: up.size for name, up in self.director.hosts.items()}
                self._tell_guard(self.watchman.learnt, sizes)
            self.records.note(
                now, "queue", believed=round(believed, 1), waiting=true, messages=len(self.channel)
            )
        apart = abs(believed - true) > max(self.facts.channel.most_waiting / 4, 100)
        self._mode("drift", apart, "queue and estimate apart" if apart else "queue and estimate agree",
                   believed=round(believed), waiting=true)  # fmt: skip

    # Orders that are not for proxies.

    def say(self, text: str) -> None:
        self.log.info(text)
        self.records.note(self.clock.now(), "said", text=text)

    def follow(self, on: bool) -> None:
        self.lists.watch(on)

    def fetch(self) -> None:
        self.lists.fetch()

    def wake(self, delay: int, key: int) -> None:
        self._timer_count += 1
        heapq.heappush(self._timers, (self.clock.now() + max(delay, 1), self._timer_count, key))

    def probe(self, host: str) -> None:
        entry = self._hosts.get(host)
        if entry is not None and self._nursery is not None and self._probes_out < MOST_PROBES:
            self._probes_out += 1
            self._nursery.start_soon(self._probe, entry)

    # The channel and the files.

    def _ordered(self, message: Message) -> None:
        kept = self.channel.put(message)
        self.intake.newest = message.number
        self._mode("queue", not kept, "queue over its limit" if not kept else "queue within its limit",
                   waiting=self.channel.waiting, most=self.facts.channel.most_waiting)  # fmt: skip
        name = self._names.get(message.proxy, "")
        self.records.note(message.ordered, "order", message=message.number, mark=message.mark, proxy=name,
                          lines=message.lines)  # fmt: skip

    async def _publish(self) -> None:
        """Messages leave in turn; one whose swap fails is tried again until a later one holds it."""
        retry_at = 0
        while True:
            now = self.clock.now()
            while (taken := self.channel.take(now)) is not None:
                message, kept = taken
                if not kept:
                    self._mode("cap", True, "more messages to one proxy than allowed", proxy=message.proxy)
                self._later.pop(message.proxy, None)  # a later message holds all of it
                allowed = self._guard(now, message)
                if allowed is None or await self._swap(allowed):
                    self._unsent.pop(message.proxy, None)
                else:
                    self._unsent[message.proxy] = message
                    retry_at = now + SECOND // 5
                now = self.clock.now()
            if self._unsent and now >= retry_at:
                for proxy, message in list(self._unsent.items()):
                    allowed = self._guard(now, message)
                    if allowed is None or await self._swap(allowed):
                        self._unsent.pop(proxy, None)
                retry_at = self.clock.now() + SECOND // 5
            for message in self._due_later(now):
                allowed = self._guard(now, message)
                if allowed is not None and not await self._swap(allowed):
                    self._unsent[message.proxy] = allowed
                    retry_at = now + SECOND // 5
            await self._look_for_answers(now)
            due = self.channel.due()
            waits = [due - now] if due is not None else []
            waits += [retry_at - now] if self._unsent else []
            waits += [min(at for at, _ in self._later.values()) - now] if self._later else []
            self._woken = trio.Event()
            with trio.move_on_after(max(min(waits, default=SECOND), 0) / SECOND):
                await self._woken.wait()

    def _due_later(self, now: int) -> list[Message]:
        """What the guard held until now, under numbers of its own: a first step may have had theirs."""
        found = []
        for proxy, (at, message) in list(self._later.items()):
            if now >= at:
                del self._later[proxy]
                if not self.channel.has(proxy):  # else what waits there holds all of it
                    number = self.intake.newest = self.book.next_number()
                    found.append(replace(message, number=number, mark=-1))
        return found

    def _version(self, message: Message) -> tuple[int, int, int]:
        return self._terms_of[message.proxy], self.folder.epoch, message.number

    def _tell_guard(self, what: Callable[..., None], *told: Any) -> None:
        """The guard's world is kept; if that breaks, what it says is worth nothing and it is off."""
        if self._guarded:
            try:
                what(*told)
            except Exception as fault:
                self._guard_broke(fault)

    def _guard_broke(self, fault: Exception) -> None:
        """Open: orders of the module have kept the rules without a guard; none at all would break them."""
        self._guarded = False
        self._mode("no guard", True, "the guard broke and is off", cause=repr(fault))

    def _guard(self, now: int, message: Message) -> Message | None:
        """The message as it may go out now; None if it may not, or not yet."""
        proxy = message.proxy
        if not self._guarded or proxy not in self._shelves:
            return message
        began = time.perf_counter()
        try:
            verdict, _ = self.watchman.judge(now, message, self._version(message), self.channel.waiting)
        except Exception as broken:
            self._guard_broke(broken)
            return message
        took = round((time.perf_counter() - began) * 1e6)
        self._mode("slow guard", took > SLOW_US, "a check of the guard took long" if took > SLOW_US
                   else "checks of the guard are quick again", took_us=took)  # fmt: skip
        if verdict.good and not verdict.rescue and not verdict.faults:
            self._guard_us.append(took)
            return message
        name = self._names[proxy]
        self.records.note(
            now, "guard", message=message.number, proxy=name, took_us=took, **records_of(verdict)
        )
        for fault in verdict.faults:
            self._mode("guard", True, "a check of the guard broke", cause=fault)
        if verdict.good:
            return message
        why = verdict.findings[0].line()
        self.log.warning("held by the guard" if verdict.what in (HELD, SPLIT) else "refused by the guard",
                         proxy=name, message=message.number, verdict=verdict.what, cause=why)  # fmt: skip
        if verdict.what in (HELD, SPLIT):
            until = verdict.until() or max((step.at for step in verdict.steps), default=now + SECOND)
            self._later[proxy] = (max(until, now + SECOND // 10), message)
        return self.watchman.first_step(message, verdict) if verdict.what == SPLIT else None

    async def _look_for_answers(self, now: int) -> None:
        """Files that nobody answered are put in place again: a late rename of another may lie over them."""
        for proxy, (due, wait) in list(self._resend.items()):
            if now < due:
                continue
            lies, presence = self._put.get(proxy, 0), self.intake.present.get(self._names[proxy])
            shelf = self._shelves.get(proxy)
            if shelf is None or presence is None or presence.applied >= lies:
                del self._resend[proxy]
                continue
            self._resend[proxy] = (now + 2 * wait, min(2 * wait, 30 * SECOND))
            try:
                files, shelf.held = shelf.held, {}
                if files:
                    await trio.to_thread.run_sync(shelf.put, files)
                    name = self._names[proxy]
                    self.records.note(now, "again", proxy=name, message=lies)
            except OSError:
                continue  # the disk's trouble is told where orders are swapped

    async def _swap(self, message: Message) -> bool:
        """Puts a message in place.  True also if its proxy has left: it is nobody's any more."""
        proxy = message.proxy
        shelf, name = self._shelves.get(proxy), self._names.get(proxy, "")
        if shelf is None:
            return True
        term = self._terms_of[proxy]
        files = self.renderer.files(term, message.number, message.view, self._held[proxy], self._files[proxy])
        try:
            if self.terms.files.durability == "none":
                swapped = shelf.put(files)
            else:  # a disk may take its time: the loop does not wait for it
                swapped = await trio.to_thread.run_sync(shelf.put, files)
        except OSError as fault:
            self._mode("disk", True, "files cannot be swapped", proxy=name, cause=str(fault))
            return False
        self._mode("disk", False, "files can be swapped again", proxy=name)
        now = self.clock.now()
        self.records.note(now, "sent", message=message.number, proxy=name, waiting=self.channel.waiting,
                          after=now - message.ordered, swapped=swapped)  # fmt: skip
        if self._shelves.get(proxy) is shelf:  # it may have left and come again while the disk worked
            self._tell_guard(self.watchman.sent, now, message, self._version(message))
            if swapped:
                self._put[proxy] = message.number
                self._resend.setdefault(proxy, (now + RESEND, RESEND))
            # where nothing that shows has changed, the answer to what lies there answers this too
            lies = self._put.get(proxy, 0)
            self._marks[proxy].append((lies, message.mark, message.ordered))
            if not swapped:
                await self._send.send(lambda now: self._answered_already(proxy, lies))
        return True

    def _answered_already(self, proxy: int, number: int) -> None:
        presence = self.intake.present.get(self._names[proxy])
        if presence is not None and presence.applied >= number:
            self.applied(proxy, number)

    # The roster.

    async def _hand_list(self, hosts: list[Host]) -> None:
        await self._send.send(lambda now: self._listed(now, hosts))

    async def _hand_loss(self) -> None:
        await self._send.send(lambda now: self.director.list_lost(now))

    def _listed(self, now: int, hosts: list[Host]) -> None:
        self._hosts = {host.id: host for host in hosts}
        self._by_address.update({f"{host.address}:{host.port}": host.id for host in hosts})
        self.renderer.readdress({**self._known, **{h.id: (h.address, h.port, h.zone) for h in hosts}})
        self._known.update({host.id: (host.address, host.port, host.zone) for host in hosts})
        rows = [[h.id, "draining" if h.draining else "open", h.started] for h in hosts]
        self.records.note(now, "list", hosts=rows)
        self._tell_guard(self.watchman.listed, now, hosts, self.clock.start_of)
        self.director.list_began(now, True)
        for host in hosts:
            mode = "terminating" if host.draining else "in_service"
            started = self.clock.start_of(host)
            self.director.host_listed(now, host.id, mode, started, host.cell, host.size, host.kind, host.zone)
        self.director.list_ended(now)

    async def _probe(self, host: Host) -> None:
        began, outcome, told = self.clock.now(), TIMED_OUT, dict[str, float]()
        caller: Caller | None = None
        try:
            with trio.move_on_after(self.terms.fleet.dial_ms / 1000):
                caller = await dial(host.address, host.port)
                reply = await caller.call(b"GET", self.terms.fleet.probe_path.encode(), most=1 << 16)
                outcome = OK if reply.status == 200 else FULL if reply.status == 503 else ERROR
                told = orca.load(orca.read(reply.header(orca.HEADER) or b""))
        except Broken as fault:
            outcome = BROKE if fault.sent else DOWN
        finally:
            self._probes_out -= 1
            if caller is not None:
                with trio.CancelScope(shield=True):
                    await caller.close()
        took = self.clock.now() - began
        await self._send.send(lambda now: self.director.probe_done(now, host.id, outcome, took, told))

    # The intake's ear.

    def joined(
        self, proxy: int, name: str, zone: str, rate: float, fresh: bool, held: Held, term: int
    ) -> None:
        now = self.clock.now()
        self._terms_of[proxy] = term
        self._joins += 1
        self._names[proxy], self._held[proxy], self._files[proxy] = name, held, Files()
        series = f"{self.folder.epoch}-{self._joins}-"
        shelf = self._shelf(f"{self.folder.down}/{name}", self.ops, self.terms.files.durability, series)
        try:
            shelf.open()
        except OSError as fault:
            self._mode("disk", True, "files cannot be swapped", proxy=name, cause=str(fault))
        self._shelves[proxy], self._marks[proxy] = shelf, []
        hosts = {k: held.hosts(route.name) for k, route in enumerate(self.terms.routes)}
        self.book.join(proxy, zone, hosts, rate)
        self.records.note(now, "joined", proxy=name, zone=zone, rate=rate, fresh=fresh, term=term)
        self.log.info("proxy joined", proxy=name, zone=zone, fresh=fresh, term=term)
        self._use_hint(now, name, zone, term)
        self._tell_guard(self.watchman.joined, proxy, zone, rate, held)
        self.director.proxy_joined(now, proxy, zone, rate, fresh)

    def left(self, proxy: int, name: str, why: str) -> None:
        now = self.clock.now()
        self._tell_peers(now, proxy, name)
        self._tell_guard(self.watchman.left, proxy)
        self._later.pop(proxy, None)
        self.book.leave(proxy)
        self.channel.forget(proxy)
        books: tuple[dict[int, Any], ...] = (self._shelves, self._files, self._held, self._marks)
        for known in (*books, self._unsent, self._put, self._resend):
            known.pop(proxy, None)
        self.proxies.forget(name)
        try:
            remove(self.ops, f"{self.folder.down}/{name}")
        except OSError as fault:
            self._mode("disk", True, "a proxy's folder cannot be cleared", proxy=name, cause=str(fault))
        self.records.note(now, "left", proxy=name, why=why)
        self.log.info("proxy left", proxy=name, why=why)
        self.director.proxy_left(now, proxy)

    def applied(self, proxy: int, number: int) -> None:
        """The module is told of the newest mark that this proves to have been applied."""
        now, book = self.clock.now(), self._marks.get(proxy, [])
        done = [row for row in book if row[0] <= number]
        if not done:
            return
        del book[: len(done)]
        self._tell_guard(self.watchman.applied, proxy, number)
        _, mark, ordered = done[-1]
        self.records.note(now, "applied", message=number, proxy=self._names[proxy], after=now - ordered)
        if mark >= 0:
            self.director.mark_answered(now, proxy, mark, now - ordered)

    def refused(self, proxy: int, kind: str, number: int, cause: str) -> None:
        name = self._names[proxy]
        self.log.warning("refused by a proxy", proxy=name, form=kind, message=number, cause=cause)
        self.records.note(self.clock.now(), "refused", proxy=name, form=kind, message=number, cause=cause)

    # Handoff, where there are links.

    def _tell_peers(self, now: int, proxy: int, name: str) -> None:
        """What was met with this proxy, to all who may get it."""
        hosts = {}
        for host, ring in self._met.pop(proxy, {}).items():
            tries, errors, spent = ring.total(now, MET_BUCKETS)
            if tries:
                hosts[host] = (int(tries), int(errors), round(spent / max(tries - errors, 1)))
        if hosts:
            hint = Hint(name, self._terms_of[proxy], MET_BUCKETS * SECOND, hosts)
            for teller in self._tellers:
                teller.tell(now, hint)

    def _hand_on(self, k: int, packet: Packet) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._post, k, packet, write(packet, self._known))

    async def _post(self, k: int, packet: Packet, body: bytes) -> None:
        if await self._posts[k].send(body):
            teller = self._tellers[k]
            await self._send.send(lambda now: teller.answered(packet.epoch, packet.number))

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
        for host, (tries, errors, mean) in hint.hosts.items():
            self.director.hosts_heard(now, host, zone, tries, errors, mean, hint.window, {})
        self.records.note(now, "hint", proxy=name, term=hint.term, hosts=len(hint.hosts))

    def heard(
        self,
        proxy: int,
        address: str,
        tries: int,
        errors: int,
        mean: int,
        window: int,
        told: dict[str, float],
    ) -> None:
        host = self._by_address.get(address)
        if host is not None:
            zone = self.book.members[proxy].zone
            if self._posts:
                ring = self._met.setdefault(proxy, {}).get(host)
                if ring is None:
                    ring = self._met[proxy][host] = Ring(SECOND, MET_BUCKETS, 3)
                ring.add(self.clock.now(), tries, errors, mean * (tries - errors))
            self.director.hosts_heard(self.clock.now(), host, zone, tries, errors, mean, window, told)

    def came(self, proxy: int, route: str, calls: int, dropped: int, window: int) -> None:
        self.director.calls_came(self.clock.now(), proxy, route, calls, dropped, window)
        self._tell_guard(self.watchman.came, proxy, self._route_at[route], calls * SECOND / window)

    def fault(self, name: str, cause: str) -> None:
        self.log.warning("bad file of a proxy", proxy=name, cause=cause)
        self.records.note(self.clock.now(), "fault", proxy=name, cause=cause)

"""One director in service: what comes in becomes calls on the decision module, its orders go out on streams.

Calls are made where messages are read; one task ends each moment.  A fault of the module ends the program.
"""

from __future__ import annotations

import heapq
import resource
import signal
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import trio

from ..decisions.controller import Controller
from ..decisions.events import EndpointListLost, EvaluationDue, ProxyJoined, ProxyLeft
from .clock import Clock
from .configuration import Start, Unusable
from .connections import OK, Link, Links
from .discovery_watch import Watch
from .endpoint_list import Listing
from .framing import Fields, Spoilt, Unreadable
from .messages import Reader
from .proxy_updates import Orders

SECOND = 10_000
TICK_S = 0.004  # between moments at least: what comes closer together is one moment
SHARE = 3.0  # and so many times as long as the last moment took, for reading to have its turn
TELL_S = 10.0  # between lines on what is believed
REREAD_S = (0.0, 0.1, 0.2, 0.4, 0.8, 1.6)  # before each look at a new configuration: it may be half written
SPOILT_TOLD = 20  # messages that are told one by one; the others are counted


class Node:
    """The module's host, and all that calls it.  `say` writes a line of the log."""

    def __init__(self, start: Start, reread: Callable[[], Start], say: Callable[[str], None]) -> None:
        # no probes and nothing from director to director in the protocol, and withdrawals outlive a stream
        settings = replace(start.settings, health_checks=False, exclusions_outlive_sessions=True)
        self._settings, self._reread, self._say = settings, reread, say
        self._clock, self._reader, self._listing = Clock(), Reader(settings), Listing()
        self._orders = Orders(settings, self._send)
        self._streams: dict[int, Link] = {}  # by proxy
        self._timers: list[int] = []  # when evaluations are due
        self._stirred = trio.Event()
        self._links = Links(start.listen, start.sockets, self._heard, self._ended)
        self._spoilt = self._longest = 0
        self._module = Controller(self, settings, start.seed, self._clock.now())
        # orders on proxies go where streams are known
        self.set_weight, self.clear_table = self._orders.set_weight, self._orders.clear_table
        self.exclude_endpoint = self._orders.exclude_endpoint
        self.readmit_endpoint = self._orders.readmit_endpoint
        self.exclude_for_proxy = self._orders.exclude_for_proxy
        self.readmit_for_proxy = self._orders.readmit_for_proxy
        self.bind, self.forget_endpoint = self._orders.bind, self._orders.forget_endpoint
        self.set_admission, self.send_sync_marker = self._orders.set_admission, self._orders.send_sync_marker
        after = -1
        try:
            after = self._take_list(start.known)
        except Spoilt as fault:
            say(f"the list of the configuration is of no use: {fault}")
        self._watch = Watch(start.discovery, self._told, self._lost, after)
        self._hard = False  # discovery is lost

    # The module's host, but for orders on proxies.

    def schedule_evaluation(self, delay_ticks: int) -> None:
        heapq.heappush(self._timers, self._clock.now() + max(delay_ticks, 0))

    def log(self, text: str) -> None:
        self._say(text)

    def watch_endpoints(self) -> None:
        self._watch.watch(True)

    def fetch_endpoint_list(self) -> None:
        self._watch.fetch()

    def check_health(self, endpoint: str) -> None:
        """Never ordered: the settings say that there are none."""

    # What comes in.

    def _heard(self, link: Link, message: Fields) -> None:
        kind = message.get("t")
        if kind == "hb":
            self._links.send(link, OK)
            return
        try:
            if not link.known:
                self._met(link, kind, message)
            elif kind == "upstream_stats":
                self._module.handle(self._clock.now(), self._reader.upstream(message))
            elif kind == "client_stats":
                self._module.handle(self._clock.now(), self._reader.client(message))
            elif kind == "done" and link.proxy >= 0:
                self._module.handle(self._clock.now(), self._reader.done(message, link.proxy))
            else:
                raise Spoilt("t")
        except Spoilt as fault:
            self._spoilt += 1
            if self._spoilt <= SPOILT_TOLD:
                self._say(f"spoilt: {fault} of {str(kind)[:40]!r}")
            return
        self._stirred.set()

    def _met(self, link: Link, kind: object, message: Fields) -> None:
        """The first message says who speaks; who says anything else is turned away."""
        try:
            if kind == "telemetry":
                link.zone = self._reader.zone(message)
            elif kind == "attach":
                self._joined(link, self._reader.attach(message))
            else:
                raise Spoilt("t")
        except Spoilt as fault:
            raise Unreadable(f"no joining: {fault}") from fault
        self._links.meet(link)

    def _joined(self, link: Link, joined: ProxyJoined) -> None:
        proxy = joined.proxy
        old = self._streams.get(proxy)
        if old is not None and old.turn > link.turn:  # read in one go, in any order: this is the one it left
            raise Spoilt("proxy")
        if old is not None:  # it dialled again before its old stream was seen to end
            self._links.end(old)
        link.proxy = proxy
        self._streams[proxy] = link
        self._orders.join(proxy, joined.is_fresh)
        self._module.handle(self._clock.now(), joined)

    def _ended(self, link: Link) -> None:
        if link.proxy >= 0 and self._streams.get(link.proxy) is link:
            del self._streams[link.proxy]
            self._orders.leave(link.proxy)
            self._module.handle(self._clock.now(), ProxyLeft(link.proxy))
            self._stirred.set()

    def _send(self, proxy: int, frames: list[bytes], rows: int) -> None:
        self._links.send(self._streams[proxy], b"".join(frames))

    # The list.

    def _told(self, answer: Fields) -> int:
        after = self._take_list(answer)
        if self._hard:
            self._hard = False
            self._say("discovery answers again")
        return after

    def _take_list(self, answer: Fields) -> int:
        received = self._listing.read(answer)
        if received.is_complete or received.entries:
            self._module.handle(self._clock.now(), received)
            self._stirred.set()
        return self._listing.seq

    def _lost(self, why: str) -> None:
        if not self._hard:
            self._hard = True
            self._say(f"no list from discovery: {why}")
        self._module.handle(self._clock.now(), EndpointListLost())
        self._stirred.set()

    # Tasks.

    async def run(self) -> None:
        """Until SIGTERM or SIGINT.  Raises OSError if the address cannot be had."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                for task in (self._links.serve, self._watch.follow, self._decide, self._believe):
                    nursery.start_soon(task)
                async for each in signals:
                    if each != signal.SIGHUP:
                        nursery.cancel_scope.cancel()
                        break
                    nursery.start_soon(self._configured)

    async def _configured(self) -> None:
        """The file of the configuration was replaced: discovery may answer elsewhere."""
        for pause in REREAD_S:
            await trio.sleep(pause)
            try:
                start = self._reread()
                break
            except Unusable as fault:
                if not pause:
                    self._say(f"the new configuration is not used: {fault}")
        else:
            return
        self._watch.move(start.discovery)
        self._links.limit(start.sockets)
        self._say(f"configured anew: discovery at {start.discovery[0]}:{start.discovery[1]}")

    async def _decide(self) -> None:
        if not self._settings.list_on_request:
            self._watch.watch(True)
        while True:
            wait = (self._timers[0] - self._clock.now()) / SECOND if self._timers else TELL_S
            with trio.move_on_after(max(wait, 0.0)):
                await self._stirred.wait()
            self._stirred = trio.Event()
            began = now = self._clock.now()
            while self._timers and self._timers[0] <= now:
                heapq.heappop(self._timers)
                self._module.handle(now, EvaluationDue())
            self._module.flush(now)
            self._orders.moment_over()
            took = self._clock.now() - began
            self._longest = max(self._longest, took)
            await trio.sleep(max(TICK_S, SHARE * took / SECOND))

    async def _believe(self) -> None:
        while True:
            await trio.sleep(TELL_S)
            module = self._module
            status = module.status(self._clock.now())
            memory = resource.getrusage(resource.RUSAGE_SELF)
            self._say(
                f"believed: {len(self._streams)} proxies, "
                f"{status.endpoints_in_service} of {status.endpoint_count} hosts in service, "
                f"load {status.load_fraction:.2f}, "
                f"room {status.admitted_fraction:.2f}, queue {status.queue_entries:.0f}; "
                f"{self._links.held} links, {memory.ru_maxrss >> 10} MB, "
                f"{memory.ru_utime + memory.ru_stime:.1f} s of CPU, "
                f"longest moment {self._longest / 10:.0f} ms, {self._spoilt} messages spoilt, "
                f"{self._links.turned_away} turned away"
            )
            self._longest = 0


def run(start: Start, reread: Callable[[], Start], say: Callable[[str], None]) -> None:
    trio.run(partial(_run, start, reread, say))


async def _run(start: Start, reread: Callable[[], Start], say: Callable[[str], None]) -> None:
    await Node(start, reread, say).run()

"""Runs a controller with one injected fault that the soak test must detect: `soak_faults.py FAULT`."""

from __future__ import annotations

import math
import sys
import time
from collections.abc import Callable
from typing import Any, NamedTuple
from unittest.mock import patch

import trio

from willowhook.decisions.binding import ProxyBinder
from willowhook.decisions.exclusions import EndpointExclusions
from willowhook.decisions.list_requests import ListRequests
from willowhook.decisions.message_cap import MessageCap
from willowhook.decisions.pacing import UpdatePacer
from willowhook.decisions.queue_limits import QueueLimits
from willowhook.decisions.slow_start import SlowStart
from willowhook.platform.connection import Connection
from willowhook.platform.connection_server import ConnectionServer
from willowhook.platform.discovery_watch import DiscoveryWatch
from willowhook.platform.process import run_process
from willowhook.platform.proxy_updates import ProxyUpdates
from willowhook.ticks import TICKS_PER_SECOND

STARTUP_DELAY_S = 10.5  # over READY_WITHIN_S of the soak test
PAUSE_AFTER_LOSS_TICKS = 5 * TICKS_PER_SECOND  # over the drain grace of the soak test
WASTED_BYTES = 80 << 20  # over MAX_RESIDENT_MB of the soak test

Install = Callable[[], object]


class Fault(NamedTuple):
    """A fault, and the finding that the soak test must report for it.

    Attributes:
        install: injects the fault into this process.
        finding: text that one of the findings must contain.
    """

    install: Install
    finding: str


def replace_method(owner: type, name: str, function: Callable[..., Any]) -> Install:
    """Returns a function that replaces a method until the process ends."""
    return lambda: patch.object(owner, name, function).start()


def _drop_updates_of_proxy_0() -> None:
    """Proxy 0 is sent the tables that it is bound to, and no update after that."""
    send_pending = ProxyUpdates._send_pending

    def send_first_tables_only(self: ProxyUpdates, proxy: int, session: Any, cache: Any) -> None:
        if proxy != 0 or session.tables_to_replace:
            send_pending(self, proxy, session, cache)

    patch.object(ProxyUpdates, "_send_pending", send_first_tables_only).start()


def _never_bind_proxy_1() -> None:
    bind = ProxyUpdates.bind

    def bind_others(self: ProxyUpdates, proxy: int, table: int, routes: Any) -> None:
        if proxy != 1:
            bind(self, proxy, table, routes)

    patch.object(ProxyUpdates, "bind", bind_others).start()


def _bind_without_endpoints() -> None:
    due = ProxyBinder.due

    def due_without_endpoints(self: ProxyBinder, now: int) -> list[int]:
        return (
            due(self, now) if self._fleet.endpoints else self._pending_binds.in_order(with_earlier_table=True)
        )

    patch.object(ProxyBinder, "due", due_without_endpoints).start()


def _leak_descriptors() -> None:
    leaked_sockets: list[Any] = []
    close = Connection.close

    def close_and_leak(self: Connection) -> None:
        if self.is_open:
            leaked_sockets.append(self.socket.dup())
        close(self)

    patch.object(Connection, "close", close_and_leak).start()


def _follow_discovery_once() -> None:
    exchange_once = DiscoveryWatch._exchange_once

    async def exchange_first_time_only(self: DiscoveryWatch) -> None:
        if self.version:
            await trio.sleep_forever()
        await exchange_once(self)

    patch.object(DiscoveryWatch, "_exchange_once", exchange_first_time_only).start()


def _pause_after_losses() -> None:
    schedule_request = ListRequests._schedule_request

    def schedule_later(self: ListRequests, now: int, _delay_ticks: int) -> int:
        return schedule_request(self, now, PAUSE_AFTER_LOSS_TICKS)

    patch.object(ListRequests, "_schedule_request", schedule_later).start()


def _cancel_requests_for_fetches() -> None:
    """Fetches the complete list by the clock, in place of the request in flight."""
    send_due = ListRequests.send_due

    def send_due_by_the_clock(self: ListRequests, now: int) -> None:
        send_due(self, now)
        if self._is_fetching and self._fetch_at is None:
            self.schedule_refetch(now)

    def fetch_in_place(self: DiscoveryWatch) -> None:
        self._wants_complete_list = True
        self._resumed.set()
        self._exchange_scope.cancel()

    patch.object(ListRequests, "send_due", send_due_by_the_clock).start()
    patch.object(DiscoveryWatch, "fetch_complete_list", fetch_in_place).start()


def _ignore_message_cap() -> None:
    patch.object(MessageCap, "_has_room", lambda *_: True).start()
    patch.object(UpdatePacer, "can_send", lambda *_: True).start()


def _ignore_slow_start() -> None:
    patch.object(SlowStart, "is_warming_up", lambda *_: False).start()
    patch.object(ProxyBinder, "stop_holding_back", lambda *_: None).start()


def _ignore_queue_limit() -> None:
    patch.object(QueueLimits, "has_room", lambda *_: True).start()
    for name in ("for_exclusions", "for_binds", "for_table_updates"):
        patch.object(QueueLimits, name, lambda _: math.inf).start()


def _waste_memory() -> None:
    patch.object(sys, "wasted", b"x" * WASTED_BYTES, create=True).start()


def _reject_nobody() -> None:
    async def wait_forever(_server: ConnectionServer) -> None:
        await trio.sleep_forever()

    patch.object(ConnectionServer, "_reject_overdue_connections", wait_forever).start()


FAULTS = {
    "dropped notification": Fault(_drop_updates_of_proxy_0, "proxy 0 may use"),
    "grace overrun": Fault(replace_method(EndpointExclusions, "_exclude", lambda *_: False), "may use"),
    "proxy never bound": Fault(_never_bind_proxy_1, "proxy 1 has no endpoint"),
    "bound without a list": Fault(_bind_without_endpoints, "told no list, left proxy"),
    "stuck restart": Fault(lambda: time.sleep(STARTUP_DELAY_S), "starts took over"),
    "leaked descriptors": Fault(_leak_descriptors, "descriptors"),
    "memory": Fault(_waste_memory, " MB"),
    "discovery followed once": Fault(_follow_discovery_once, "did not ask for the last list"),
    "long pauses after a loss": Fault(_pause_after_losses, "(leaving)"),
    "fetches that cancel requests": Fault(_cancel_requests_for_fetches, " may use "),
    "no message cap": Fault(_ignore_message_cap, "messages in"),
    "no queue limit": Fault(_ignore_queue_limit, "entries waited"),
    "no slow start": Fault(_ignore_slow_start, "of the weight of a warm one"),
    "nobody rejected": Fault(_reject_nobody, "bad client"),
    "wrong exit code": Fault(lambda: None, "ended with code 7"),
    "output that is no log line": Fault(lambda: print("oops", file=sys.stderr), "oops"),
}


def main(name: str) -> int:
    FAULTS[name].install()
    exit_code = run_process()
    return 7 if name == "wrong exit code" else exit_code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))

"""Events to calls on the module of each instance, and the module's orders to lines of the reply."""

from __future__ import annotations

import base64
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import TextIO

from ..facts import read_facts
from ..host import Facts
from ..rules import Director
from ..units import load_report, number, seconds, ticks

LIST_FORMS = frozenset(("incr", "total", "warm_copy", "lost"))
HOST_MODES = frozenset(("in_service", "terminating", "terminated"))
ListRow = tuple[str, str, int, str, float, str, str]  # as `host_listed` takes it


class WireError(Exception):
    """A line that is not what the wire's page says."""


class Orders:
    """The module's host: each order is a line of the reply."""

    def __init__(self, who: str, reply: list[str]) -> None:
        self._who = who
        self._reply = reply

    def _put(self, *parts: str) -> None:
        self._reply.append("\t".join(parts))

    def after(self, delay: int, key: int) -> None:
        self._put("AFTER", self._who, seconds(max(delay, 0)), str(key))

    def log(self, text: str) -> None:
        self._put("TRACE", self._who, " ".join(text.split()))

    def watch(self, on: bool) -> None:
        self._put("LISTEN", self._who, "1" if on else "0")

    def fetch(self) -> None:
        self._put("RELOAD", self._who)

    def probe(self, host: str) -> None:
        self._put("SAMPLE", self._who, host)

    def tell(self, peer: int | None, data: bytes) -> None:
        contents = base64.b64encode(data).decode() or "-"
        self._put("NOTIFY", self._who, "all" if peer is None else str(peer), contents)

    def line(self, table: int, host: str, weight: float) -> None:
        self._put("ENDPOINT", self._who, host, str(table), number(weight))

    def clear(self, table: int) -> None:
        self._put("BLANK", self._who, str(table))

    def withdraw(self, host: str, on: bool) -> None:
        self._put("BENCH", self._who, host, "1" if on else "0")

    def forget(self, host: str) -> None:
        """On this wire hosts that have gone stay known; nothing has to be said."""

    def bind(self, proxy: int, table: int, routes: int) -> None:
        self._put("USE_TABLE", self._who, str(proxy), str(table), str(routes))

    def shut_out(self, proxy: int, hosts: list[str]) -> None:
        """Never ordered: on this wire a withdrawal goes to all joined proxies."""

    def let_back(self, proxy: int, hosts: list[str]) -> None:
        """Never ordered: on this wire a bound proxy obeys the withdrawals of its director alone."""

    def allow(self, table: int, routes: int, tries: int, level: float) -> None:
        self._put("ALLOW", self._who, str(routes), str(table), str(tries), number(level))

    def mark(self, number: int, everyone: bool) -> None:
        self._put("NONCE", self._who, "1" if everyone else "0", str(number))


class Link:
    """One process: any number of instances, which share nothing but the reader."""

    def __init__(self, source: Iterable[str], sink: TextIO, errors: TextIO = sys.stderr) -> None:
        self._lines = iter(source)
        self._sink = sink
        self._errors = errors
        self._now = 0
        self._reply: list[str] = []
        self._directors: dict[str, Director] = {}
        self._broken: set[str] = set()
        self._sheets: dict[str, list[list[str]]] = {}
        self._touched: dict[str, None] = {}
        self._calls: dict[str, tuple[int, Callable[[Director, list[str]], None]]] = {
            "DIGEST": (9, self._digest),
            "INGRESS": (7, self._ingress),
            "HEAT": (7, self._heat),
            "CONFIRMED": (5, self._confirmed),
            "REMINDER": (3, self._reminder),
            "PROBE_DONE": (6, self._probe_done),
            "ATTACHED": (6, self._attached),
            "DISCONNECTED": (3, self._disconnected),
            "INBOX": (4, self._inbox),
            "LEASED": (4, self._leased),
            "STANDING_LINE": (5, self._standing_line),
            "ROSTER_CHANGE": (5, self._roster_change),
        }

    def run(self) -> int:
        """Reads batches to the end of the input; 0, or 1 after one plain message on what is wrong."""
        line = ""
        try:
            for line in self._lines:
                self._take(line.rstrip("\r\n"))
        except (WireError, ValueError, KeyError, IndexError) as fault:
            shown = line.rstrip("\r\n")[:200]
            self._errors.write(f"benchlink: {type(fault).__name__}: {fault} in line: {shown}\n")
            return 1
        return 0

    def _take(self, line: str) -> None:
        parts = line.split("\t")
        name = parts[0]
        if name in self._calls:
            size, call = self._calls[name]
            if len(parts) != size:
                raise WireError(f"{name} has {len(parts) - 1} values, not {size - 1}")
            director = self._directors.get(parts[1])
            if director is not None:
                self._touched[parts[1]] = None
                call(director, parts)
            elif parts[1] not in self._broken:
                raise WireError(f"instance {parts[1]} has had no HELLO")
        elif name == "CLOCK":
            self._clock, self._batch = parts[1], parts[2]
            self._now = ticks(self._clock)
        elif name == "COMMIT":
            self._commit()
        elif name == "REGISTER":
            self._sheets[parts[1]] = [self._entry(next(self._lines, "")) for _ in range(int(parts[2]))]
        elif name == "HELLO":
            who, seed, options = line.split("\t", 3)[1:]
            facts, orders = read_facts(options), Orders(who, self._reply)
            self._broken.discard(who)
            self._directors.pop(who, None)
            self._touched[who] = None
            self._guard(who, self._start, who, orders, facts, int(seed))
        elif name == "TEARDOWN":
            self._directors.pop(parts[1], None)
            self._touched.pop(parts[1], None)
        elif line:
            raise WireError(f"unknown message {name!r}")

    @staticmethod
    def _entry(line: str) -> list[str]:
        parts = line.rstrip("\r\n").split("\t")
        if len(parts) != 8 or parts[0] != "ENTRY" or parts[2] not in HOST_MODES:
            raise WireError(f"not an ENTRY: {line.rstrip()[:120]}")
        return parts

    def _commit(self) -> None:
        for who in list(self._touched):
            director = self._directors.get(who)
            if director is not None:
                self._guard(who, director.moment_over, self._now)
        self._touched.clear()
        self._reply.append(f"READY\t{self._batch}\n")
        self._sink.write("\n".join(self._reply))
        self._sink.flush()
        self._reply.clear()

    def _guard(self, who: str, method: Callable[..., None], *values: object) -> None:
        """Calls the module.  Values are decoded before: a malformed line is never taken for its fault."""
        try:
            method(*values)
        except Exception as fault:  # the module broke: said on the wire, never hidden
            self._give_in(who, fault)

    def _start(self, who: str, orders: Orders, facts: Facts, seed: int) -> None:
        self._directors[who] = Director(orders, facts, seed, self._now)

    def _give_in(self, who: str, fault: Exception) -> None:
        traceback.print_exception(fault, file=self._errors)
        text = " ".join(f"{type(fault).__name__}: {fault}".split())
        self._reply.append(f"GIVE_IN\t{who}\t{text}")
        self._directors.pop(who, None)
        self._broken.add(who)

    def _digest(self, director: Director, p: list[str]) -> None:
        values = (p[5], p[6], int(p[4]), int(p[2]), ticks(p[7]), ticks(p[3]), load_report(p[8]))
        self._guard(p[1], director.hosts_heard, self._now, *values)

    def _ingress(self, director: Director, p: list[str]) -> None:
        values = (int(p[5]), p[6], int(p[3]), int(p[2]), ticks(p[4]))
        self._guard(p[1], director.calls_came, self._now, *values)

    def _heat(self, director: Director, p: list[str]) -> None:
        """Slices are not served: their messages are read, so that a malformed one is told, and left alone."""
        int(p[2]), int(p[4]), int(p[5]), ticks(p[6])

    def _confirmed(self, director: Director, p: list[str]) -> None:
        self._guard(p[1], director.mark_answered, self._now, int(p[3]), int(p[2]), ticks(p[4]))

    def _reminder(self, director: Director, p: list[str]) -> None:
        self._guard(p[1], director.timer_due, self._now, int(p[2]))

    def _probe_done(self, director: Director, p: list[str]) -> None:
        self._guard(
            p[1], director.probe_done, self._now, p[2], int(p[3]), ticks(p[4]), load_report(p[5])
        )  # fmt: skip

    def _attached(self, director: Director, p: list[str]) -> None:
        self._guard(p[1], director.proxy_joined, self._now, int(p[2]), p[3], float(p[4]), p[5] == "1")

    def _disconnected(self, director: Director, p: list[str]) -> None:
        self._guard(p[1], director.proxy_left, self._now, int(p[2]))

    def _inbox(self, director: Director, p: list[str]) -> None:
        """Directors do not coordinate: what a peer says is read and left alone."""
        int(p[2]), base64.b64decode(b"" if p[3] == "-" else p[3], validate=True)

    def _leased(self, director: Director, p: list[str]) -> None:
        int(p[2])

    def _standing_line(self, director: Director, p: list[str]) -> None:
        int(p[3]), float(p[4])

    def _roster_change(self, director: Director, p: list[str]) -> None:
        form = p[4]
        if form not in LIST_FORMS:
            raise WireError(f"unknown list form {form!r}")
        if form == "lost":
            self._guard(p[1], director.list_lost, self._now)
            return
        if p[3] not in self._sheets:
            raise WireError(f"no REGISTER {p[3]}")
        rows: list[ListRow] = []
        for _, host, mode, started, cell, size, kind, zone in self._sheets[p[3]]:
            since, share = 0 if started == "-" else ticks(started), 1.0 if size == "-" else float(size)
            rows.append((host, mode, since, cell, share, kind, zone))
        self._guard(p[1], self._hand_list, director, form != "incr", rows)

    def _hand_list(self, director: Director, whole: bool, rows: list[ListRow]) -> None:
        director.list_began(self._now, whole)
        for row in rows:
            director.host_listed(self._now, *row)
        director.list_ended(self._now)

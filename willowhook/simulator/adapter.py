"""Events to calls on the module of each instance, and the module's orders to lines of the reply."""

from __future__ import annotations

import base64
import sys
import traceback
from collections.abc import Callable, Iterable, Sequence
from typing import TextIO

from ..decisions.controller import Controller
from ..decisions.events import (
    EndpointEntry,
    EndpointListLost,
    EndpointListReceived,
    EndpointReport,
    EndpointState,
    EvaluationDue,
    Event,
    HealthCheckCompleted,
    HealthCheckOutcome,
    MessageAcknowledged,
    ProxyJoined,
    ProxyLeft,
    RequestReport,
)
from ..decisions.runtime import AdmissionLimit
from ..decisions.settings import DeploymentSettings
from ..errors import WillowhookError
from ..settings_codec import parse_settings
from .values import load_report, number, seconds, ticks

LIST_FORMS = frozenset(("incr", "total", "warm_copy", "lost"))
HOST_MODES = {
    "in_service": EndpointState.IN_SERVICE,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
OUTCOMES = {3: HealthCheckOutcome.TIMED_OUT, 4: HealthCheckOutcome.UNREACHABLE}


class WireError(WillowhookError):
    """A line that is not what the wire's page says."""


class Orders:
    """The module's host: each order is a line of the reply."""

    def __init__(self, who: str, reply: list[str]) -> None:
        self._who = who
        self._reply = reply

    def _put(self, *parts: str) -> None:
        self._reply.append("\t".join(parts))

    def schedule_evaluation(self, delay_ticks: int) -> None:
        self._put("AFTER", self._who, seconds(max(delay_ticks, 0)), "0")

    def log(self, text: str) -> None:
        self._put("TRACE", self._who, " ".join(text.split()))

    def watch_endpoints(self) -> None:
        self._put("LISTEN", self._who, "1")

    def fetch_endpoint_list(self) -> None:
        self._put("RELOAD", self._who)

    def check_health(self, endpoint: str) -> None:
        self._put("SAMPLE", self._who, endpoint)

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        self._put("ENDPOINT", self._who, endpoint, str(table), number(weight))

    def clear_table(self, table: int) -> None:
        self._put("BLANK", self._who, str(table))

    def exclude_endpoint(self, endpoint: str) -> None:
        self._put("BENCH", self._who, endpoint, "1")

    def readmit_endpoint(self, endpoint: str) -> None:
        self._put("BENCH", self._who, endpoint, "0")

    def forget_endpoint(self, endpoint: str) -> None:
        """On this wire hosts that have gone stay known; nothing has to be said."""

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        self._put("USE_TABLE", self._who, str(proxy), str(table), str(sum(1 << route for route in routes)))

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Never ordered: on this wire a withdrawal goes to all joined proxies."""

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Never ordered: on this wire a bound proxy obeys the withdrawals of its director alone."""

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        limit = number(admission.limit)
        self._put("ALLOW", self._who, str(1 << route), str(table), str(admission.retries), limit)

    def send_sync_marker(self, marker: int) -> None:
        self._put("NONCE", self._who, "0", str(marker))


class Link:
    """One process: any number of instances, which share nothing but the reader."""

    def __init__(self, source: Iterable[str], sink: TextIO, errors: TextIO = sys.stderr) -> None:
        self._lines = iter(source)
        self._sink = sink
        self._errors = errors
        self._now = 0
        self._reply: list[str] = []
        self._directors: dict[str, Controller] = {}
        self._broken: set[str] = set()
        self._sheets: dict[str, list[list[str]]] = {}
        self._touched: dict[str, None] = {}
        self._calls: dict[str, tuple[int, Callable[[Controller, list[str]], None]]] = {
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
        except (WillowhookError, ValueError, KeyError, IndexError) as fault:
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
            settings, orders = parse_settings(options), Orders(who, self._reply)
            self._broken.discard(who)
            self._directors.pop(who, None)
            self._touched[who] = None
            self._guard(who, self._start, who, orders, settings, int(seed))
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
                self._guard(who, director.flush, self._now)
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

    def _start(self, who: str, orders: Orders, settings: DeploymentSettings, seed: int) -> None:
        self._directors[who] = Controller(orders, settings, seed, self._now)

    def _give_in(self, who: str, fault: Exception) -> None:
        traceback.print_exception(fault, file=self._errors)
        text = " ".join(f"{type(fault).__name__}: {fault}".split())
        self._reply.append(f"GIVE_IN\t{who}\t{text}")
        self._directors.pop(who, None)
        self._broken.add(who)

    def _handle(self, director: Controller, who: str, event: Event) -> None:
        self._guard(who, director.handle, self._now, event)

    def _digest(self, director: Controller, p: list[str]) -> None:
        load = load_report(p[8])
        ticks(p[3])  # the span of the report
        event = EndpointReport(p[5], int(p[4]), int(p[2]), ticks(p[7]), load.get("busy"))
        self._handle(director, p[1], event)

    def _ingress(self, director: Controller, p: list[str]) -> None:
        int(p[2])  # requests that failed
        self._handle(director, p[1], RequestReport(int(p[5]), p[6], int(p[3]), ticks(p[4])))

    def _heat(self, director: Controller, p: list[str]) -> None:
        """Slices are not served: their messages are read, so that a malformed one is told, and left alone."""
        int(p[2]), int(p[4]), int(p[5]), ticks(p[6])

    def _confirmed(self, director: Controller, p: list[str]) -> None:
        ticks(p[4])  # how long it took
        self._handle(director, p[1], MessageAcknowledged(int(p[3]), int(p[2])))

    def _reminder(self, director: Controller, p: list[str]) -> None:
        int(p[2])  # the key: there is one timer
        self._handle(director, p[1], EvaluationDue())

    def _probe_done(self, director: Controller, p: list[str]) -> None:
        outcome, load = OUTCOMES.get(int(p[3]), HealthCheckOutcome.HEALTHY), load_report(p[5])
        ticks(p[4])  # how long it took
        self._handle(director, p[1], HealthCheckCompleted(p[2], outcome, load.get("busy")))

    def _attached(self, director: Controller, p: list[str]) -> None:
        self._handle(director, p[1], ProxyJoined(int(p[2]), p[3], float(p[4]), p[5] == "1"))

    def _disconnected(self, director: Controller, p: list[str]) -> None:
        self._handle(director, p[1], ProxyLeft(int(p[2])))

    def _inbox(self, director: Controller, p: list[str]) -> None:
        """Directors do not coordinate: what a peer says is read and left alone."""
        int(p[2]), base64.b64decode(b"" if p[3] == "-" else p[3], validate=True)

    def _leased(self, director: Controller, p: list[str]) -> None:
        int(p[2])

    def _standing_line(self, director: Controller, p: list[str]) -> None:
        int(p[3]), float(p[4])

    def _roster_change(self, director: Controller, p: list[str]) -> None:
        form = p[4]
        if form not in LIST_FORMS:
            raise WireError(f"unknown list form {form!r}")
        if form == "lost":
            self._handle(director, p[1], EndpointListLost())
            return
        if p[3] not in self._sheets:
            raise WireError(f"no REGISTER {p[3]}")
        entries: list[EndpointEntry] = []
        for _, host, mode, started, _, size, kind, zone in self._sheets[p[3]]:
            since, weight = 0 if started == "-" else ticks(started), 1.0 if size == "-" else float(size)
            entries.append(EndpointEntry(host, HOST_MODES[mode], since, weight, kind, zone))
        self._handle(director, p[1], EndpointListReceived(form != "incr", tuple(entries)))

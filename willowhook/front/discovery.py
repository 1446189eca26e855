"""The published discovery protocol over HTTP: whole sets and differences, by POST that waits for a change.

Whole: `POST /v3/discovery:{clusters,endpoints,routes}` with a `DiscoveryRequest`.  By difference, and load
reports: the published method's own path with the same messages in JSON.  One connection is what one stream is
elsewhere: its first call of a type has the node and says what is held.  A call that has nothing new to hear
waits; 304 when the wait is over.  Errors are `google.rpc.Status`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec
import trio

from ..clock import monotonic_ticks
from ..membership.ownership import OwnershipClaim, check_claim
from ..ticks import TICKS_PER_SECOND
from ..versions.discovery_session import DiscoverySession
from ..versions.exchange import ResourceRequest, ResourceResponse
from ..versions.resources import KINDS
from ..web.wire import Call, Reply
from ..xds import forms
from ..xds.codec import MessageFormatError, decode, encode, encode_response
from .bodies import ResponseCache, chosen
from .identity import Identity
from .limits import Gate
from .serve import Line, Waiting, refusal
from .turns import Turns

LONGEST_HOLD_S = 2.0
BATCH = 32  # calls that are woken before others get a turn of the loop
SERVICES = {"cds": ("cluster", "Cluster"), "eds": ("endpoint", "Endpoint"), "rds": ("route", "Route")}
WHOLE = {f"/v3/discovery:{word}s".encode(): kind for kind, (word, _) in SERVICES.items()}
BY_DELTA = {
    f"/envoy.service.{word}.v3.{name}DiscoveryService/Delta{name}s".encode(): kind
    for kind, (word, name) in SERVICES.items()
}
REPORTS = b"/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
JSON = (b"content-type", b"application/json")


class DiscoveryBackend(Protocol):
    """The director, as the front needs it."""

    def session_state(self, name: str) -> tuple[int, bool] | None:
        """The term of a proxy that has joined, and whether it calls; None if it has not."""

    def discovery_session(self, name: str) -> DiscoverySession | None: ...
    def is_redirected(self, name: str) -> bool: ...
    def record_request(self, name: str) -> None: ...
    def record_delivery(self, name: str) -> None: ...
    async def join(self, name: str, node: forms.Node, holds: list[Any], fresh: bool) -> str:
        """The proxy joins; what is wrong with what it says, or ''."""

    async def submit_report(self, name: str, body: bytes) -> None: ...
    async def flush_events(self) -> None:
        """What the desks told is handed on."""


@dataclass(slots=True)
class Said:
    """What was said on one connection."""

    node: forms.Node | None = None
    desk: DiscoverySession | None = None
    kinds: dict[str, None] = field(default_factory=dict)


@dataclass(eq=False, slots=True)
class Waiter:
    desk: DiscoverySession
    name: str
    kind: str
    whole: bool
    encoding: bytes
    call: Waiting | None = None
    over: str = ""  # why it ends without news


class DiscoveryServer:
    """`handle` and `ended` are a server's; `news` is told by desks; `run` wakes who waits, in turn."""

    def __init__(
        self, director: str, hall: DiscoveryBackend, identity: Identity, gate: Gate, bodies: ResponseCache,
        back_s: float, report_s: float,
    ) -> None:  # fmt: skip
        self._director, self._hall, self._identity, self._gate = director, hall, identity, gate
        self.bodies, self._back_s, self._report_s = bodies, back_s, report_s
        self._waiting: dict[tuple[DiscoverySession, str], Waiter] = {}
        self._answered: dict[DiscoverySession, int] = {}
        self._turns = Turns()
        self._kick = trio.Event()
        self.answers = self.over = 0

    # Calls.

    async def handle_request(self, line: Line, call: Call) -> Reply | Waiting:
        who = self._identity.authenticate(call.headers, line.peer)
        if who is None:
            return refusal(401, 16, "no credential that is known", 0, True)
        path, said = call.target.split(b"?")[0], line.state
        if said is None:
            said = line.state = Said()
        kind, whole = WHOLE.get(path, ""), path in WHOLE
        kind = kind or BY_DELTA.get(path, "")
        if not kind and path != REPORTS:
            return refusal(404, 12, "no method of this path")
        if call.method != b"POST":
            return refusal(405, 12, "POST it")
        try:
            return await self._spoken(line, said, call, who, kind, whole)
        except MessageFormatError as fault:
            return refusal(400, 3, str(fault)[:300])

    async def _spoken(
        self, line: Line, said: Said, call: Call, who: str, kind: str, whole: bool
    ) -> Reply | Waiting:
        if not kind:
            report = decode(call.body, forms.LoadStatsRequest)
            if (wrong := self._node(line, said, report.node, who)) is not None:
                return wrong
            return await self._report(line, call)
        asked: forms.DiscoveryRequest | forms.DeltaDiscoveryRequest
        if whole:
            asked = decode(call.body, forms.DiscoveryRequest)
        else:
            asked = decode(call.body, forms.DeltaDiscoveryRequest)
        if (wrong := self._node(line, said, asked.node, who)) is not None:
            return wrong
        if asked.type_url not in ("", forms.TYPE_URLS[kind]):
            return refusal(400, 3, f"type_url is {asked.type_url[:80]!r}, not {forms.TYPE_URLS[kind]!r}")
        first = kind not in said.kinds
        if (wrong := await self._present(line.proxy, said, asked, first)) is not None:
            return wrong
        said.kinds[kind] = None
        desk = said.desk
        assert desk is not None
        self._hall.record_request(line.proxy)
        answer = desk.handle_request(self._ask(asked, kind, first))
        await self._hall.flush_events()
        self.notify_session(desk)  # what this told may be what a call for another type waits for
        encoding = chosen(call.headers.get(b"accept-encoding", b""))
        waiter = Waiter(desk, line.proxy, kind, whole, encoding)
        if self._hall.is_redirected(line.proxy):
            return self._away()
        if answer is not None:
            self._end(desk, kind, "another call for the same has come")
            return self._reply(waiter, answer)
        return self._wait(waiter)

    def _node(self, line: Line, said: Said, node: forms.Node, who: str) -> Reply | None:
        """Nobody asks or answers for another; a node that was told on this connection need not come again."""
        if node.id:
            if who and node.id != who:
                return refusal(403, 7, f"the credential is of {who!r}, the node {node.id[:80]!r}", 0, True)
            said.node = node
        if said.node is None:
            return refusal(400, 3, "node: the first call of a connection has it")
        name = who or said.node.id
        if name == line.proxy:
            return None
        if line.proxy:
            return refusal(403, 7, f"this connection is of {line.proxy!r}", 0, True)
        if not self._gate.named(name):
            return refusal(429, 8, "too many connections of one proxy", self._back_s, True)
        line.proxy = name
        return None

    async def _present(
        self, name: str, said: Said, asked: forms.DiscoveryRequest | forms.DeltaDiscoveryRequest, first: bool
    ) -> Reply | None:
        """A proxy that is not here joins with its first call; one of another stay is told so."""
        wait = self._gate.asks(monotonic_ticks(), name)
        if wait:
            return refusal(429, 8, "too many calls", wait / TICKS_PER_SECOND)
        here, node = self._hall.session_state(name), said.node
        assert node is not None
        term = node.metadata.get("term", 0)
        if here is not None and here[1] and isinstance(term, int | float):
            told = str(node.metadata.get("director", ""))
            mine = check_claim(self._director, told, term=here[0], claimed_term=int(term))
            if mine is OwnershipClaim.OUTDATED:
                return refusal(409, 9, f"term {int(term)} is over, {here[0]} is now", 0, True)
            if mine is OwnershipClaim.OWNED and said.desk is not None:
                if self._hall.discovery_session(name) is said.desk:
                    return None
                return refusal(503, 14, "this stay is over", self._back_s, True)
            if mine is OwnershipClaim.OWNED:
                said.desk = self._hall.discovery_session(name)
                if said.desk is not None:
                    return None
        if not first or said.desk is not None:
            return refusal(503, 14, "this stay is over", self._back_s, True)
        holds = node.metadata.pop("holds", [])
        if not isinstance(holds, list):
            raise MessageFormatError("node.metadata.holds is no list")
        fresh = not (asked.version_info if isinstance(asked, forms.DiscoveryRequest)
                     else asked.initial_resource_versions) and not holds  # fmt: skip
        fault = await self._hall.join(name, node, holds, fresh)
        if fault:
            return refusal(400, 3, fault)
        said.desk = self._hall.discovery_session(name)
        if said.desk is None:
            return refusal(503, 14, "this stay is over", self._back_s, True)
        return None

    @staticmethod
    def _ask(
        asked: forms.DiscoveryRequest | forms.DeltaDiscoveryRequest, kind: str, first: bool
    ) -> ResourceRequest:
        error = asked.error_detail.message[:500] or "no cause told" if asked.error_detail is not None else ""
        if isinstance(asked, forms.DiscoveryRequest):
            names = tuple(asked.resource_names)
            return ResourceRequest(
                kind, True, first, asked.version_info, None, asked.response_nonce, error, names
            )
        holds = asked.initial_resource_versions if first else None
        add, drop = tuple(asked.resource_names_subscribe), tuple(asked.resource_names_unsubscribe)
        return ResourceRequest(kind, False, first, "", holds, asked.response_nonce, error, add, drop)

    def set_report_interval(self, interval_s: float) -> None:
        """How often proxies are to report, from their next answer on."""
        self._report_s = interval_s

    async def _report(self, line: Line, call: Call) -> Reply:
        wait = self._gate.asks(monotonic_ticks(), line.proxy)
        if wait:
            return refusal(429, 8, "too many calls", wait / TICKS_PER_SECOND)
        if self._hall.session_state(line.proxy) is None:
            return refusal(400, 9, "ask for resources first")
        await self._hall.submit_report(line.proxy, call.body)
        # who reports far too often gets its answer when a report would have been due: it is asked to wait
        now = monotonic_ticks()
        due = line.reported_at + round(self._report_s * TICKS_PER_SECOND * 0.75)
        wait = due - now if line.reported_at >= 0 else 0
        if wait > 0:
            await trio.sleep(min(wait / TICKS_PER_SECOND, LONGEST_HOLD_S))
        line.reported_at = monotonic_ticks()
        return Reply(
            200, [JSON], encode(forms.LoadStatsResponse(True, f"{self._report_s:.3f}".rstrip("0") + "s"))
        )

    # Answers.

    def _wait(self, waiter: Waiter) -> Waiting:
        """A later call for the same ends one that waits."""
        self._end(waiter.desk, waiter.kind, "another call for the same has come")
        key = (waiter.desk, waiter.kind)
        self._waiting[key] = waiter

        def ended() -> None:
            if self._waiting.get(key) is waiter:
                del self._waiting[key]
                self._turns.drop(key)

        waiter.call = Waiting(lambda over: self._look(waiter, over), ended=ended)
        return waiter.call

    def _look(self, waiter: Waiter, over: bool) -> Reply | None:
        if (
            self._hall.is_redirected(waiter.name)
            or self._hall.discovery_session(waiter.name) is not waiter.desk
        ):
            return self._away()
        if waiter.over:
            return Reply(304)
        answer = waiter.desk.pending_response(waiter.kind, waiter.whole)
        if answer is not None:
            return self._reply(waiter, answer)
        if over:
            self.over += 1
            self._hall.record_request(waiter.name)
        return Reply(304) if over else None

    def _away(self) -> Reply:
        return refusal(503, 14, "this director drains: follow another", self._back_s, True)

    def _end(self, desk: DiscoverySession, kind: str, why: str) -> None:
        old = self._waiting.pop((desk, kind), None)
        if old is not None:
            old.over = why
            if old.call is not None:
                old.call.wake.set()

    def _reply(self, waiter: Waiter, answer: ResourceResponse) -> Reply:
        """From here on the proxy may run it."""
        waiter.desk.record_sent(waiter.kind, answer)
        self._answered[waiter.desk] = monotonic_ticks()
        self._hall.record_delivery(waiter.name)
        self.answers += 1
        body, encoding = self.bodies.get(*self._body(waiter, answer), waiter.encoding)
        headers = [JSON, (b"content-encoding", encoding)] if encoding else [JSON]
        return Reply(200, headers, body)

    def _body(self, waiter: Waiter, answer: ResourceResponse) -> tuple[Any, Callable[[], bytes]]:
        part, url = answer.resource_set, forms.TYPE_URLS[waiter.kind]
        if answer.delta is None:
            rows = [row.body for row in part.resources.values()]
            key: Any = (waiter.kind, part.version)
            return key, lambda: encode_response(part.version, url, answer.nonce, rows)
        delta = answer.delta
        changed = [forms.Resource(r.name, r.version, msgspec.Raw(r.body)) for r in delta.changed]
        key = (waiter.kind, part.version, answer.base.version) if answer.base is not None else None
        if answer.base is None and not delta.removed and len(changed) == len(part.resources):
            key = (waiter.kind, part.version, "")
        removed = list(delta.removed)
        return key, lambda: encode(
            forms.DeltaDiscoveryResponse(part.version, changed, url, removed, answer.nonce)
        )

    # News.

    def notify_session(self, desk: DiscoverySession) -> None:
        """What waits at this desk may have its answer."""
        for kind in KINDS:
            if (desk, kind) in self._waiting:
                self._turns.want((desk, kind), self._answered.get(desk, 0))
        if len(self._turns):
            self._kick.set()

    def has_waiting_call(self, desk: DiscoverySession) -> bool:
        """Whether a call for any kind of resources waits for news."""
        return any((desk, kind) in self._waiting for kind in KINDS)

    def remove_session(self, desk: DiscoverySession) -> None:
        """The proxy left; its calls are told."""
        self.notify_session(desk)
        self._answered.pop(desk, None)

    async def run(self) -> None:
        while True:
            await self._kick.wait()
            self._kick = trio.Event()
            while len(self._turns):
                for key in self._turns.take(BATCH):
                    waiter = self._waiting.get(key)  # type: ignore[call-overload]
                    if waiter is not None and waiter.call is not None:
                        waiter.call.wake.set()
                await trio.lowlevel.checkpoint()

    def handle_connection_closed(self, line: Line) -> None:
        """A connection is over: what was on its way may have come or not."""
        said: Said | None = line.state
        if said is not None and said.desk is not None:
            for kind in said.kinds:
                said.desk.handle_connection_lost(kind)

    def __len__(self) -> int:
        return len(self._waiting)

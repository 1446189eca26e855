"""What proxies say in their folders, as events: who is here, what they hold, applied, met and were asked.

Bytes come in, calls on the `Ear` go out.  A proxy whose file is bad is told of once, until a good one comes;
it costs nobody else anything.  No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from ..files.layout import LOAD, PROXY_NAME, STATUS
from ..membership.ownership import OwnershipClaim, check_claim
from ..membership.timing_wheel import TimingWheel
from ..membership.version import VersionError, parse_version
from ..reports.read import Report, read
from ..reports.sample import SampleSums, sum_sample
from ..reports.windows import ReportWindows
from ..xds import forms
from ..xds.codec import FormError, decode, read_response
from .render import Held, read_held

SECOND = 10_000
REQUESTS = {name + ".json": name for name in forms.FILES}
MOST_PROXIES = 65_535


class Ear(Protocol):
    """Who is told.  Proxies go by number."""

    def joined(
        self, proxy: int, name: str, zone: str, rate: float, fresh: bool, held: Held, term: int, web: bool
    ) -> None: ...
    def left(self, proxy: int, name: str, why: str) -> None: ...
    def applied(self, proxy: int, number: int) -> None: ...
    def refused(self, proxy: int, kind: str, number: int, cause: str) -> None: ...
    def met(self, proxy: int, whole: SampleSums) -> None: ...
    def came(self, proxy: int, route: str, calls: int, dropped: int, window: int) -> None: ...
    def fault(self, name: str, cause: str) -> None: ...


@dataclass(slots=True)
class Presence:
    number: int
    name: str
    term: int
    heard_at: int
    web: bool = False  # it calls; otherwise it has a folder
    applied: int = 0  # the newest message known to be applied
    refused: dict[str, int] = field(default_factory=dict)


class Intake:
    """`newest()`: the last message ordered; no proxy can have applied a later one."""

    def __init__(
        self, ear: Ear, director: str, epoch: int, routes: tuple[str, ...], lost_after: int,
        newest: Callable[[], int],
    ) -> None:  # fmt: skip
        self._ear, self._director, self._epoch = ear, director, epoch
        self._routes, self._lost_after = frozenset(routes), lost_after
        self._numbers: dict[str, int] = {}
        self.present: dict[str, Presence] = {}
        self._bad: dict[str, str] = {}  # by proxy: the file that was last found bad
        self._overdue = TimingWheel(max(lost_after // 20, 1), 64, 0)
        self._newest = newest
        self.windows = ReportWindows()
        self.last_fault = ""  # why the last that was found bad was so

    def appeared(
        self, now: int, name: str, files: Mapping[str, bytes], lies: Mapping[str, bytes] | None = None,
        web: bool = False,
    ) -> bool:  # fmt: skip
        """A proxy's folder is there, with these files.  False if they do not make a proxy yet.

        `lies`: the group that a director of before left for this proxy; if it is of this stay, the proxy
        holds it, or will, rather than what its status told when it came.
        """
        if name in self.present:
            self.gone(now, name, "came again")
        try:
            if not PROXY_NAME.match(name):
                raise FormError("the folder's name is no name of a proxy")
            if STATUS not in files:
                return False
            status = decode(files[STATUS], forms.ClientConfig)
            self._check_node(name, status.node)
            held = read_held([(row.type_url, bytes(row.xds_config)) for row in status.generic_xds_configs])
            term = self._term(status.node)
            if lies is not None and (told_here := self._told_before(lies, term)) is not None:
                held = told_here
            try:
                rate = float(status.node.metadata.get("usual_calls_per_s", 0))
            except (TypeError, ValueError) as fault:
                raise FormError("node.metadata.usual_calls_per_s is no number") from fault
            if not 0 <= rate < 1e7:
                raise FormError(f"node.metadata.usual_calls_per_s is {rate:g}")
            number = self._numbers.setdefault(name, len(self._numbers))
            if number >= MOST_PROXIES:
                del self._numbers[name]
                raise FormError(f"more than {MOST_PROXIES} proxies have come")
            told = status.node.metadata.get("director", self._director)
            if told != self._director:
                raise FormError(f"node.metadata.director is {told!r}, and this is {self._director!r}")
            requests = [decode(files[file], forms.DiscoveryRequest) for file in REQUESTS if file in files]
        except FormError as fault:
            self._found_bad(name, STATUS, str(fault))
            return False
        self._bad.pop(name, None)
        self.present[name] = Presence(number, name, term, now, web)
        self._overdue.set(name, now + self._lost_after + 1)
        fresh = not any(request.version_info for request in requests)
        self._ear.joined(number, name, status.node.locality.zone, rate, fresh, held, term, web)
        return True

    def gone(self, now: int, name: str, why: str) -> None:
        presence = self.present.pop(name, None)
        if presence is not None:
            self._overdue.drop(name)
            self._ear.left(presence.number, name, why)

    def called(self, now: int, name: str) -> None:
        """A proxy that is here has called: a sign of life."""
        presence = self.present.get(name)
        if presence is not None:
            presence.heard_at = now
            self._overdue.set(name, now + self._lost_after + 1)

    def look(self, now: int) -> None:
        """Proxies that have said nothing for too long have left."""
        for name in self._overdue.overdue(now):
            silent = now - self.present[name].heard_at
            self.gone(now, name, f"silent for {silent / SECOND:.1f} s")

    def swapped(self, now: int, name: str, file: str, data: bytes) -> None:
        """A proxy that is here has put this file in place."""
        presence = self.present.get(name)
        if presence is None:
            return
        try:
            if file in REQUESTS:
                request = decode(data, forms.DiscoveryRequest)
                if not self._mine(now, presence, request.node):
                    return
                self._request(presence, REQUESTS[file], request)
            elif file == LOAD:
                self.loads(now, name, [(now, data)], 1)
                return
            elif file != STATUS:
                raise FormError("no file of this name is known")
        except FormError as fault:
            self._found_bad(name, file, str(fault))
            return
        presence.heard_at = now
        self._overdue.set(name, now + self._lost_after + 1)
        if self._bad.get(name) == file:
            del self._bad[name]

    def unreadable(self, name: str, file: str, cause: str) -> None:
        self._found_bad(name, file, cause)

    def _found_bad(self, name: str, file: str, cause: str) -> None:
        self.last_fault = cause
        if self._bad.get(name) != file:  # once, not at every report
            self._bad[name] = file
            self._ear.fault(name, f"{file}: {cause}")

    @staticmethod
    def _check_node(name: str, node: forms.Node) -> None:
        if node.id != name:
            raise FormError(f"node.id is {node.id[:80]!r}, in the folder of {name!r}")

    @staticmethod
    def _told_before(lies: Mapping[str, bytes], term: int) -> Held | None:
        """None if the group is of another stay, or is no whole group."""
        try:
            envelopes = [read_response(lies[f"{kind}.json"], url) for kind, url in forms.FILES.items()]
            if any(parse_version(envelope.version_info).term != term for envelope in envelopes):
                return None
            return read_held([(row.type_url, bytes(raw)) for row in envelopes for raw in row.resources])
        except (KeyError, FormError, VersionError):
            return None

    @staticmethod
    def _term(node: forms.Node) -> int:
        """The proxy's term, 0 from one that keeps none."""
        term = node.metadata.get("term", 0)
        if not isinstance(term, int | float) or not 0 <= term < 1e12 or term != int(term):
            raise FormError(f"node.metadata.term is {str(term)[:40]}, no whole number")
        return int(term)

    def _mine(self, now: int, presence: Presence, node: forms.Node) -> bool:
        """Whether this file is of the proxy's stay with this director, by what the proxy says itself."""
        self._check_node(presence.name, node)
        told = str(node.metadata.get("director", ""))
        said = check_claim(self._director, told, presence.term, self._term(node))
        if said is OwnershipClaim.RELEASED:
            self.gone(now, presence.name, f"follows {told or 'another'} in term {self._term(node)}")
        return said is OwnershipClaim.OWNED

    def _request(self, presence: Presence, kind: str, request: forms.DiscoveryRequest) -> None:
        if request.type_url != forms.FILES[kind]:
            raise FormError(f"type_url is {request.type_url[:80]!r}, not {forms.FILES[kind]!r}")
        if not request.response_nonce:
            return
        try:
            version = parse_version(request.response_nonce)
        except VersionError as fault:
            raise FormError(f"response_nonce: {fault}") from fault
        if version.epoch > self._epoch or version.term > presence.term:
            here = f"term {presence.term}, epoch {self._epoch}"
            raise FormError(f"response_nonce is {version}, and this is {here}")
        if (version.term, version.epoch) != (presence.term, self._epoch):
            return  # what was sent in another stay, or by another before this one
        number = version.number
        if number > self._newest():
            raise FormError(f"response_nonce is of message {number}, and {self._newest()} is the last")
        if request.error_detail is not None:
            if presence.refused.get(kind) != number:
                presence.refused[kind] = number
                self._ear.refused(presence.number, kind, number, request.error_detail.message[:500])
        elif number > presence.applied:
            presence.applied = number
            self._ear.applied(presence.number, number)

    def loads(
        self, now: int, name: str, rows: Sequence[tuple[int, bytes]], came: int
    ) -> list[tuple[str, bytes]]:
        """Reports of one proxy, and when each came: all `came` of them, or two drawn of these.  Gives what
        was bad, with the cause.
        """
        presence, good = self.present.get(name), list[tuple[int, int, Report]]()
        bad: list[tuple[str, bytes]] = []
        if presence is None:
            return []
        for at, data in rows:
            try:
                report = decode(data, forms.LoadStatsRequest)
                if not self._mine(now, presence, report.node):
                    if name not in self.present:  # it has left, by its own word
                        return bad
                    continue
                good.append((at, xxhash.xxh64_intdigest(data), read(report, self._routes)))
            except FormError as fault:
                bad.append((str(fault), data))
                self._found_bad(name, LOAD, str(fault))
        if good and not bad and self._bad.get(name) == LOAD:
            del self._bad[name]
        if not good:
            return bad
        presence.heard_at = now
        self._overdue.set(name, now + self._lost_after + 1)
        made = sum_sample(now, name, self.windows, good, came, not presence.web)
        if made is not None:
            if made.cells:
                self._ear.met(presence.number, made)
            for route, (calls, errors) in made.came.items():
                self._ear.came(presence.number, route, round(calls), round(errors), made.window)
        return bad

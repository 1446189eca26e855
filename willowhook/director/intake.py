"""What proxies say in their folders, as events: who is here, what they hold, applied, met and were asked.

Bytes come in, calls on the `Ear` go out.  A proxy whose file is bad is told of once, until a good one comes;
it costs nobody else anything.  No I/O and no clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from ..files.layout import LOAD, PROXY_NAME, STATUS
from ..membership.claim import VersionError, names_me, read_version
from ..membership.wheel import Wheel
from ..xds import forms
from ..xds.codec import FormError, decode, read_response, seconds
from ..xds.orca import load
from .render import Held, read_held

SECOND = 10_000
REQUESTS = {name + ".json": name for name in forms.FILES}
LATENCY = "latency_seconds"  # the named metric in which a proxy sums the time of what was answered
MOST_CALLS = 1e9  # of one report; more is no count
MOST_PROXIES = 65_535


class Ear(Protocol):
    """Who is told.  Proxies go by number."""

    def joined(
        self, proxy: int, name: str, zone: str, rate: float, fresh: bool, held: Held, term: int, web: bool
    ) -> None: ...
    def left(self, proxy: int, name: str, why: str) -> None: ...
    def applied(self, proxy: int, number: int) -> None: ...
    def refused(self, proxy: int, kind: str, number: int, cause: str) -> None: ...
    def heard(
        self,
        proxy: int,
        address: str,
        tries: int,
        errors: int,
        mean: int,
        window: int,
        told: dict[str, float],
    ) -> None: ...
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
        self._overdue = Wheel(max(lost_after // 20, 1), 64, 0)
        self._newest = newest
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
                report = decode(data, forms.LoadStatsRequest)
                if not self._mine(now, presence, report.node):
                    return
                self._load(presence, report)
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
            if any(read_version(envelope.version_info).term != term for envelope in envelopes):
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
        said = names_me(self._director, told, presence.term, self._term(node))
        if said == "left":
            self.gone(now, presence.name, f"follows {told or 'another'} in term {self._term(node)}")
        return said == "mine"

    def _request(self, presence: Presence, kind: str, request: forms.DiscoveryRequest) -> None:
        if request.type_url != forms.FILES[kind]:
            raise FormError(f"type_url is {request.type_url[:80]!r}, not {forms.FILES[kind]!r}")
        if not request.response_nonce:
            return
        try:
            version = read_version(request.response_nonce)
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

    def _load(self, presence: Presence, report: forms.LoadStatsRequest) -> None:
        """Sums of one period.  All of a report is checked before any of it counts."""
        hosts: dict[str, list[float]] = {}  # address: answered, errors, latency sum, answered with latency
        told: dict[str, dict[str, list[float]]] = {}
        came = []
        window = 0
        for cluster in report.cluster_stats:
            window = round(seconds(cluster.load_report_interval) * SECOND)
            if not 0 < window <= 3600 * SECOND:
                raise FormError(f"load_report_interval is {cluster.load_report_interval}")
            sums = [0, 0]
            for locality in cluster.upstream_locality_stats:
                for row in locality.upstream_endpoint_stats:
                    good, bad = row.total_successful_requests, row.total_error_requests
                    if not (0 <= good < MOST_CALLS and 0 <= bad < MOST_CALLS):
                        raise FormError(f"{cluster.cluster_name}: {good} answered and {bad} errors")
                    at = row.address.socket_address
                    if at is None:
                        raise FormError(f"{cluster.cluster_name}: an endpoint has no address")
                    address = f"{at.address}:{at.port_value}"
                    mine = hosts.setdefault(address, [0, 0, 0.0, 0])
                    mine[0] += good
                    mine[1] += bad
                    sums[0] += good
                    sums[1] += bad
                    for metric in row.load_metric_stats:
                        n, total = metric.num_requests_finished_with_metric, metric.total_metric_value
                        if not (0 <= n < MOST_CALLS and math.isfinite(total) and abs(total) < 1e12):
                            raise FormError(
                                f"{cluster.cluster_name}: {metric.metric_name} of {total} over {n}"
                            )
                        if metric.metric_name == LATENCY:
                            mine[2] += max(total, 0.0)
                            mine[3] += n
                        elif n:
                            pair = told.setdefault(address, {}).setdefault(metric.metric_name, [0.0, 0.0])
                            pair[0] += total
                            pair[1] += n
            dropped = cluster.total_dropped_requests
            if not 0 <= dropped < MOST_CALLS:
                raise FormError(f"{cluster.cluster_name}: {dropped} dropped")
            route = cluster.cluster_name.partition("@")[0]
            if route in self._routes:
                came.append((route, sums[0] + sums[1] + dropped, sums[1]))
        for address, (answered, failed, spent, timed) in hosts.items():
            mean = round(spent / timed * SECOND) if timed else 0
            loads = {name: total / n for name, (total, n) in told.get(address, {}).items()}
            args = (address, int(answered + failed), int(failed), mean, window, load(loads))
            if answered + failed:
                self._ear.heard(presence.number, *args)
        for route, calls, errors in came:
            self._ear.came(presence.number, route, calls, errors, window)

"""What proxies say in their folders, as events: who is here, what they hold, applied, met and were asked.

Bytes come in, calls on the `Ear` go out.  A proxy whose file is bad is told of once, until a good one comes;
it costs nobody else anything.  No I/O and no clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from ..files.layout import LOAD, PROXY_NAME, STATUS
from ..xds import forms
from ..xds.codec import FormError, decode, seconds
from ..xds.orca import load
from .render import Held, read_held

SECOND = 10_000
REQUESTS = {name + ".json": name for name in forms.FILES}
LATENCY = "latency_seconds"  # the named metric in which a proxy sums the time of what was answered
MOST_CALLS = 1e9  # of one report; more is no count
MOST_PROXIES = 65_535


class Ear(Protocol):
    """Who is told.  Proxies go by number."""

    def joined(self, proxy: int, name: str, zone: str, rate: float, fresh: bool, held: Held) -> None: ...
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
    heard_at: int
    applied: int = 0  # the newest message known to be applied
    refused: dict[str, int] = field(default_factory=dict)


class Intake:
    def __init__(self, ear: Ear, director: str, epoch: int, routes: tuple[str, ...], lost_after: int) -> None:
        self._ear, self._director, self._epoch = ear, director, epoch
        self._routes, self._lost_after = frozenset(routes), lost_after
        self._numbers: dict[str, int] = {}
        self.present: dict[str, Presence] = {}
        self._bad: dict[str, str] = {}  # by proxy: the file that was last found bad
        self.newest = 0  # the last message ordered; no proxy can have applied a later one

    def appeared(self, now: int, name: str, files: Mapping[str, bytes]) -> bool:
        """A proxy's folder is there, with these files.  False if they do not make a proxy yet."""
        if name in self.present:
            self.gone(now, name, "came again")
        try:
            if not PROXY_NAME.match(name):
                raise FormError("the folder's name is no name of a proxy")
            if STATUS not in files:
                return False
            status = decode(files[STATUS], forms.ClientConfig)
            self._check_node(name, status.node)
            held = read_held(status)
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
            requests = [decode(files[file], forms.DiscoveryRequest) for file in REQUESTS if file in files]
        except FormError as fault:
            self._found_bad(name, STATUS, str(fault))
            return False
        self._bad.pop(name, None)
        self.present[name] = Presence(number, name, now)
        fresh = not any(request.version_info for request in requests)
        self._ear.joined(number, name, status.node.locality.zone, rate, fresh, held)
        return True

    def gone(self, now: int, name: str, why: str) -> None:
        presence = self.present.pop(name, None)
        if presence is not None:
            self._ear.left(presence.number, name, why)

    def look(self, now: int) -> None:
        """Proxies that have said nothing for too long have left."""
        for presence in list(self.present.values()):
            silent = now - presence.heard_at
            if silent > self._lost_after:
                self.gone(now, presence.name, f"silent for {silent / SECOND:.1f} s")

    def swapped(self, now: int, name: str, file: str, data: bytes) -> None:
        """A proxy that is here has put this file in place."""
        presence = self.present.get(name)
        if presence is None:
            return
        try:
            if file in REQUESTS:
                self._request(presence, REQUESTS[file], decode(data, forms.DiscoveryRequest))
            elif file == LOAD:
                self._load(presence, decode(data, forms.LoadStatsRequest))
            elif file != STATUS:
                raise FormError("no file of this name is known")
        except FormError as fault:
            self._found_bad(name, file, str(fault))
            return
        presence.heard_at = now
        if self._bad.get(name) == file:
            del self._bad[name]

    def unreadable(self, name: str, file: str, cause: str) -> None:
        self._found_bad(name, file, cause)

    def _found_bad(self, name: str, file: str, cause: str) -> None:
        if self._bad.get(name) != file:  # once, not at every report
            self._bad[name] = file
            self._ear.fault(name, f"{file}: {cause}")

    @staticmethod
    def _check_node(name: str, node: forms.Node) -> None:
        if node.id != name:
            raise FormError(f"node.id is {node.id[:80]!r}, in the folder of {name!r}")

    def _request(self, presence: Presence, kind: str, request: forms.DiscoveryRequest) -> None:
        self._check_node(presence.name, request.node)
        if request.type_url != forms.FILES[kind]:
            raise FormError(f"type_url is {request.type_url[:80]!r}, not {forms.FILES[kind]!r}")
        if not request.response_nonce:
            return
        epoch, _, number_text = request.response_nonce.partition(".")
        if not (epoch.isdigit() and number_text.isdigit()) or len(request.response_nonce) > 40:
            raise FormError(f"response_nonce is {request.response_nonce[:40]!r}, which was never sent")
        number = int(number_text)
        if int(epoch) != self._epoch:
            if int(epoch) > self._epoch:
                raise FormError(f"response_nonce is of epoch {epoch}, and this is {self._epoch}")
            return  # what another before this one sent
        if number > self.newest:
            raise FormError(f"response_nonce is of message {number}, and {self.newest} is the last")
        if request.error_detail is not None:
            if presence.refused.get(kind) != number:
                presence.refused[kind] = number
                self._ear.refused(presence.number, kind, number, request.error_detail.message[:500])
        elif number > presence.applied:
            presence.applied = number
            self._ear.applied(presence.number, number)

    def _load(self, presence: Presence, report: forms.LoadStatsRequest) -> None:
        """Sums of one period.  All of a report is checked before any of it counts."""
        self._check_node(presence.name, report.node)
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

"""What the decision module is handed: the orders it can give, and the facts of its deployment.

Times are whole tenths of a millisecond.  There is no logic here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

ALL_TABLES = 65535  # as the table of `allow`: every joined proxy


class Host(Protocol):
    """The orders.  What is ordered between two `moment_over` calls reaches each proxy as one message."""

    def after(self, delay: int, key: int) -> None: ...  # calls `timer_due(key)` later
    def log(self, text: str) -> None: ...
    def watch(self, on: bool) -> None: ...  # cds: ask for the list and its changes, or stop
    def fetch(self) -> None: ...  # cds: ask for the whole list once
    def probe(self, host: str) -> None: ...
    def tell(self, peer: int | None, data: bytes) -> None: ...  # None: every peer
    def line(self, table: int, host: str, weight: float) -> None: ...  # eds: 0 takes the line out
    def clear(self, table: int) -> None: ...
    def withdraw(self, host: str, on: bool) -> None: ...  # whatever tables the joined proxies hold
    def forget(self, host: str) -> None: ...  # it has gone for good: nothing will be ordered of it
    def bind(self, proxy: int, table: int, routes: int) -> None: ...  # rds: a bit a route, 0: all
    def shut_out(self, proxy: int, hosts: list[str]) -> None: ...  # withdrawn before it joined
    def let_back(self, proxy: int, hosts: list[str]) -> None: ...  # whom other directors may have shut out
    def allow(self, table: int, routes: int, tries: int, level: float) -> None: ...
    def mark(self, number: int, everyone: bool) -> None: ...  # answered by `mark_answered`


@dataclass(frozen=True, slots=True)
class Route:
    name: str
    slo_time: int
    time_limit: int
    importance: float
    late_importance: float
    semantics: str  # idempotent, deduplicated or at_most_once
    group: str  # deduplicated: the hosts that drop a repeat: all, zone or cell
    window: int  # deduplicated: for how long they do
    writes: bool
    own_zone: bool
    zones: tuple[str, ...]  # hosts it may use; empty: any
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ChannelTerms:
    lines_per_s: float
    head_lines: float
    most_waiting: float
    late: int
    late_most: int
    messages_most: int  # to one proxy within `messages_over`; 0: no cap
    messages_over: int
    order_price: float


@dataclass(frozen=True, slots=True)
class RuleTerms:
    bare: int
    drain_grace: int
    ask_every: int
    start_capacity: float
    cold: int
    fall_multiple: float
    fall: int
    gone_is_advice: bool


@dataclass(frozen=True, slots=True)
class FleetTerms:
    proxies: int
    slices: int
    one_owner: bool
    pick: str  # lottery, wheel or pair
    strikes: int
    standing: int
    admit: str  # ratio, rps or none
    usual_tries: int
    try_factor: float
    period: int
    reports_per_s: float
    settle: int
    cross_zone_price: float
    load_reports: str  # answers, probe or none
    load_fields: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Facts:
    rank: int
    directors: int
    zone: str
    zones: tuple[str, ...]
    subscribe: bool  # the list comes only when asked for
    probes: bool
    peers: bool
    weights: str  # what a listed size means: none, nominal, rough or live
    routes: tuple[Route, ...]
    channel: ChannelTerms
    rules: RuleTerms
    fleet: FleetTerms
    keeps_shut: bool = False  # a proxy keeps, once bound, whom another director shut out of it

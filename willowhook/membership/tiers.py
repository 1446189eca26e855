"""Hosts that serve only when none before them does: which tiers of a group are let in now.

A group is the hosts that one route may use; a host may be in several, with one tier, and is let in if one of
them wants it.  The first tier is always let in.  A later tier is let in when no host of the tiers
before it is open and answers, and is held again when one of them is, warm, for a while: a lone cold host must
not get at once what a whole tier served.  What is held is shown to the decisions as draining, so that nothing
is sent there after the grace.

No I/O and no clock.  Times are tenths of a millisecond.  Source: the published priorities of locality
endpoints, of which one acts when those before it have no healthy host.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from ..decisions.windows import WindowedSums
from ..ticks import TICKS_PER_SECOND

BUCKET, BUCKETS = 5_000, 6  # three seconds of tries that failed
LEAST_TRIES = 8  # so many failed on end: it does not answer
HOLD = 5 * TICKS_PER_SECOND  # a later tier stays for so long after one before it is back


class TierHost(Protocol):
    """Who is told."""

    def let_in(self, host: str, on: bool, cause: str) -> None: ...


@dataclass(slots=True)
class Row:
    groups: tuple[str, ...]
    tier: int
    draining: bool
    started: int  # 0: warm
    met: WindowedSums = field(default_factory=lambda: WindowedSums(BUCKET, BUCKETS, 1))
    silent: bool = False  # it does not answer, and has not answered since


@dataclass(slots=True)
class Group:
    hosts: list[str] = field(default_factory=list)
    last: int = 0  # the last tier that is let in
    tiers: tuple[int, ...] = ()
    back: int = -1  # since when an earlier tier would do; -1: none does


class Tiers:
    """`cold`: how long a host that starts is cold."""

    def __init__(self, host: TierHost, cold: int) -> None:
        self._host, self._cold = host, cold
        self._rows: dict[str, Row] = {}
        self._groups: dict[str, Group] = {}
        self._in: dict[str, bool] = {}  # of hosts that were ever of a later tier

    def held(self, host: str) -> bool:
        """Whether it must not be used now, though it is listed."""
        return not self._in.get(host, True)

    def listed(self, now: int, rows: Iterable[tuple[str, tuple[str, ...], int, bool, int]]) -> None:
        """The whole list: host, groups, tier, whether it drains, start."""
        old, self._rows = self._rows, {}
        last = {name: group.last for name, group in self._groups.items()}
        back = {name: group.back for name, group in self._groups.items()}
        self._groups = {}
        for name, groups, tier, draining, started in rows:
            before = old.get(name)
            row = Row(groups, tier, draining, started)
            if before is not None and before.started == started:  # a host that starts anew is another
                row.met, row.silent = before.met, before.silent
            self._rows[name] = row
            for group in groups:
                self._groups.setdefault(group, Group(last=last.get(group, 0))).hosts.append(name)
        for name, made in self._groups.items():
            made.tiers = tuple(sorted({self._rows[host].tier for host in made.hosts}))
            made.back = back.get(name, -1)
            if made.last not in made.tiers:
                made.last, made.back = made.tiers[0], -1
        self._in = {host: on for host, on in self._in.items() if host in self._rows}
        self.look(now)

    def heard(self, now: int, host: str, tries: int, errors: int) -> None:
        row = self._rows.get(host)
        if row is None or all(len(self._groups[group].tiers) < 2 for group in row.groups):
            return
        if errors < tries:  # what failed before it does not count any more
            row.met.clear()
            row.silent = False
            return
        row.met.add(now, tries)
        row.silent = row.silent or row.met.total(now, BUCKETS)[0] >= LEAST_TRIES

    def look(self, now: int) -> None:
        """Lets in and holds what the time has come for."""
        concerned = dict[str, str]()
        for group in self._groups.values():
            if len(group.tiers) > 1 or any(host in self._in for host in group.hosts):
                cause = self._look(now, group)
                concerned.update((host, cause) for host in group.hosts)
        for host, cause in concerned.items():
            row = self._rows[host]
            on = any(row.tier <= self._groups[group].last for group in row.groups)
            if (host in self._in or not on) and self._in.get(host) is not on:
                self._in[host] = on
                self._host.let_in(host, on, cause)

    def _look(self, now: int, group: Group) -> str:
        """Brings the group's last tier up to now, and says why it is that."""
        wanted = next((tier for tier in group.tiers if self._serves(group, tier)), group.last)
        if wanted > group.last:
            group.last, group.back = wanted, -1
        elif wanted < group.last and any(self._warm(now, group, t) for t in group.tiers if t < group.last):
            if group.back < 0:
                group.back = now
            if now - group.back >= HOLD:
                group.last, group.back = wanted, -1
        else:
            group.back = -1
        return f"tier {group.last} of {len(group.tiers)} is the last that must serve"

    def _serves(self, group: Group, tier: int) -> bool:
        return any(self._of(host, tier) for host in group.hosts)

    def _warm(self, now: int, group: Group, tier: int) -> bool:
        rows = [self._rows[host] for host in group.hosts if self._of(host, tier)]
        return any(not row.started or now - row.started >= self._cold for row in rows)

    def _of(self, host: str, tier: int) -> bool:
        """Open, of this tier, and not known to be silent."""
        row = self._rows[host]
        return row.tier == tier and not row.draining and not row.silent

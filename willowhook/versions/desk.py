"""One proxy's desk: what it is to run, what it may be offered now, and what it answered.

The order is make before break: clusters and tables first, the routes that lead to them once the proxy has
them, and what no route leads to any more last.  What a proxy refuses is not offered to it again; of several
that were refused together it is found out which.  Answers to one call are worked out here; which front
asks, and in which form, does not matter.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from .belief import Belief
from .core import Core, Delta, Part, Resource

CLUSTERS, TABLES, ROUTES = "cds", "eds", "rds"
KINDS = (CLUSTERS, TABLES, ROUTES)
MOST_NAMES = 10_000  # that one proxy may subscribe to
Uses = Callable[[Resource], tuple[str, ...]]  # names of what a cluster (its table) or routes (clusters) use
Drained = Callable[[Resource, frozenset[str]], bytes]  # a table with these hosts withdrawn


class Host(Protocol):
    """Who is told; `version` is '' where it is not certain."""

    def applied(self, proxy: int, number: int) -> None: ...
    def refused(self, proxy: int, row: Resource, error: str) -> None: ...
    def taken(self, proxy: int, part: Part) -> None: ...
    def believes(self, proxy: int, kind: str, version: str, state: str) -> None: ...


@dataclass(slots=True)
class Ask:
    """One call of a proxy.  `first`: of its connection, so that it tells what it holds."""

    kind: str
    whole: bool  # or by difference
    first: bool = False
    version: str = ""  # that it says it runs; in the whole form
    holds: Mapping[str, str] | None = None  # versions by name; in the form by difference
    nonce: str = ""
    error: str = ""
    add: tuple[str, ...] = ()
    drop: tuple[str, ...] = ()


@dataclass(slots=True)
class Answer:
    part: Part
    nonce: str
    base: Part | None  # that `delta` is against, where one answer serves many
    delta: Delta | None  # None: the part whole


class Desk:
    def __init__(
        self, proxy: int, core: Core, host: Host, uses: Uses, drained: Drained,
        held: Mapping[str, list[tuple[str, bytes]]],
    ) -> None:  # fmt: skip
        """`held`: what the proxy says it holds from elsewhere, by type and name."""
        self.proxy, self._core, self._host, self._uses, self._drained = proxy, core, host, uses, drained
        self.beliefs = {kind: Belief(kind) for kind in KINDS}
        # until it has acknowledged something of ours, its routes lead to what it came with
        self._came = {kind: core.part(kind, rows) for kind, rows in held.items() if rows}
        self._wanted: dict[str, Part] = {}
        self._offers: dict[str, Part] = {}
        self._numbers: list[tuple[int, dict[str, Part]]] = []  # messages that are not known to be applied
        self._names: dict[str, dict[str, None] | None] = dict.fromkeys(KINDS)  # None: all there are
        self._suspects: dict[str, dict[str, Resource]] = {kind: {} for kind in KINDS}
        self._banned: dict[tuple[str, str], Resource] = {}
        self._kept: dict[str, dict[str, Resource]] = {kind: {} for kind in KINDS}  # that it refused to drop
        self._floors = dict.fromkeys(KINDS, (0, 0))  # versions that it says it has, of parts that are no more
        self._out: frozenset[str] = frozenset()

    # What it is to run.

    def want(self, number: int, parts: Mapping[str, Part], out: frozenset[str]) -> bool:
        """From now on it is to run these; types that are not named stay as they are.

        False if it is offered nothing that it was not offered before.  `out`: hosts that are withdrawn.
        """
        before = dict(self._offers)
        for kind, part in parts.items():
            self._wanted[kind] = part
            self._forget_refusals(kind, part)
        self._out = out
        self._numbers.append((number, dict(self._wanted)))
        self._settle()
        news = any(before.get(kind) is not part for kind, part in self._offers.items())
        self._look_applied()
        return news

    def last(self, kind: str) -> Part | None:
        """What it was offered last: what comes next must be newer."""
        newest = self._offers.get(kind)
        for part in (self._wanted.get(kind), *self.beliefs[kind].flights.values(), self.beliefs[kind].known):
            if part is not None and (newest is None or part.at > newest.at):
                newest = part
        return newest

    def ban(self, row: Resource) -> bool:
        """This version was stopped for all; who runs it goes back to what it ran before, if that can be."""
        self._banned[row.kind, row.name] = row
        before = self._offers.get(row.kind)
        self._settle()
        return self._offers.get(row.kind) is not before

    def _forget_refusals(self, kind: str, part: Part) -> None:
        """A corrected version, or none, is no more refused."""
        belief = self.beliefs[kind]
        for name, row in list(belief.refused.items()):
            if part.rows.get(name) is not row:
                del belief.refused[name]
                belief.errors.pop(name, None)
        kept, suspects = self._kept[kind], self._suspects[kind]
        for name in [name for name in kept if name in part.rows]:
            del kept[name]
        for name, row in list(suspects.items()):
            if part.rows.get(name) is not row:
                del suspects[name]
        for key, row in list(self._banned.items()):
            if key[0] == kind and part.rows.get(key[1]) is not row:
                del self._banned[key]

    # What it may be offered now.

    def offer(self, kind: str) -> Part | None:
        return self._offers.get(kind)

    def _settle(self) -> None:
        for kind, staged in ((CLUSTERS, self._clusters), (TABLES, self._tables), (ROUTES, self._routes)):
            rows = staged()
            if rows is None:
                continue
            rows = self._safe(kind, rows)
            if kind == ROUTES and not rows:
                continue  # it refused them and has none of ours: it goes on with what it has
            names = self._names[kind]
            if names is not None:
                rows = {name: row for name, row in rows.items() if name in names}
            last, wanted = self.last(kind), self._wanted.get(kind)
            above = max(last.at if last is not None else (0, 0), self._floors[kind])
            if wanted is not None and rows == wanted.rows and wanted.at >= above:
                self._offers[kind] = wanted
            else:
                self._offers[kind] = self._core.assemble(kind, rows, last, self._floors[kind])

    def _in_use(self) -> dict[str, None]:
        """Clusters that its routes may lead to by now."""
        belief = self.beliefs[ROUTES]
        parts = [*belief.flights.values()]
        now = belief.known or self._came.get(ROUTES)
        if now is not None:
            parts.append(now)
        return {name: None for part in parts for row in part.rows.values() for name in self._uses(row)}

    def _old(self, kind: str, name: str) -> Resource | None:
        """A resource that it holds, as it holds it."""
        for part in (self.beliefs[kind].known, self._came.get(kind)):
            if part is not None and name in part.rows:
                return part.rows[name]
        return None

    def _held(self, kind: str) -> Mapping[str, Resource]:
        """What it holds of ours, or what it came with."""
        known, came = self.beliefs[kind].known, self._came.get(kind)
        return known.rows if known is not None else came.rows if came is not None else {}

    def _has(self, kind: str, row: Resource) -> bool:
        belief = self.beliefs[kind]
        if belief.known is not None or belief.flights:
            return belief.holds(row)
        came = self._came.get(kind)
        return came is not None and row.name in came.rows and came.rows[row.name].body == row.body

    def _clusters(self) -> dict[str, Resource] | None:
        wanted = self._wanted.get(CLUSTERS)
        if wanted is None:
            return None
        rows = dict(wanted.rows)
        for name in self._in_use():
            if name not in rows and (old := self._old(CLUSTERS, name)) is not None:
                rows[name] = old
        return rows

    def _tables(self) -> dict[str, Resource] | None:
        wanted = self._wanted.get(TABLES)
        if wanted is None:
            return None
        rows = dict(wanted.rows)
        for name in self._in_use():
            cluster = self._old(CLUSTERS, name)
            for table in self._uses(cluster) if cluster is not None else ():
                if table in rows or (old := self._old(TABLES, table)) is None:
                    continue
                body = self._drained(old, self._out)  # as long as it is in use, drains hold for it too
                rows[table] = self._core.resource(TABLES, table, body, old)
        return rows

    def _routes(self) -> dict[str, Resource] | None:
        """The wanted ones, once all that they lead to is known to be held."""
        wanted, now = self._wanted.get(ROUTES), self.beliefs[ROUTES].known
        if wanted is None:
            return None
        rows = dict(wanted.rows)
        if all(self._reachable(row) for row in rows.values()):
            return rows
        return dict(now.rows) if now is not None else None

    def _reachable(self, routes: Resource) -> bool:
        for name in self._uses(routes):
            row = self._sure(CLUSTERS, name)
            if row is None or any(self._sure(TABLES, table) is None for table in self._uses(row)):
                return False
        return True

    def _sure(self, kind: str, name: str) -> Resource | None:
        """A resource of this name that it holds whichever of the answers on their way has come."""
        if any(name not in part.rows for part in self.beliefs[kind].flights.values()):
            return None
        return self._held(kind).get(name)

    def _safe(self, kind: str, rows: dict[str, Resource]) -> dict[str, Resource]:
        """Without what it refused, or what was stopped: in its place what it holds."""
        belief, suspects = self.beliefs[kind], self._suspects[kind]
        if suspects:  # one at a time, and nothing else new
            one = next(iter(suspects))
            return {name: row for name, row in self._held(kind).items() if name != one} | {one: suspects[one]}
        made: dict[str, Resource] = {}
        for name, row in rows.items():
            if belief.refused.get(name) is row:
                if name in (held := self._held(kind)):
                    made[name] = held[name]
                continue
            if self._banned.get((kind, name)) is row:
                back = self._back(kind, name, row)
                if back is not None:
                    made[name] = back
                continue
            made[name] = row
        held = self._held(kind)
        return made | {n: held.get(n, row) for n, row in self._kept[kind].items() if n not in made}

    def _back(self, kind: str, name: str, row: Resource) -> Resource | None:
        """What it goes back to from a version that was stopped; that version if there is nothing else."""
        belief = self.beliefs[kind]
        held = belief.known.rows.get(name) if belief.known is not None else None
        if held is not row:
            return held
        before = belief.before.get(name)
        if before is None or (kind == ROUTES and not self._reachable(before)):
            return held
        return self._core.resource(kind, name, before.body, row)

    # What it says.

    def ask(self, ask: Ask) -> Answer | None:
        """Takes what the call tells and gives the answer, or None: it is to wait for one."""
        belief = self.beliefs[ask.kind]
        self._learn(ask)
        if ask.nonce and ask.error:
            self._refused(belief, ask)
        elif ask.nonce:
            self._acknowledged(belief, ask.nonce)
        elif ask.whole and ask.version:
            self._says_it_runs(belief, ask.version)
        if ask.first:
            self._introduced(belief, ask)
        if ask.first or ask.add or ask.drop or ask.whole:
            self._subscribe(belief, ask)
        self._settle()
        self._look_applied()
        return self.due(ask.kind, ask.whole)

    def due(self, kind: str, whole: bool) -> Answer | None:
        """The answer that a waiting call gets now; None if it has all."""
        belief, offer = self.beliefs[kind], self._offers.get(kind)
        if offer is None or offer is belief.known:
            return None
        base = belief.base()
        held = self._held(kind)
        if offer.rows == held:
            return None
        if (
            belief.known is None
            and held
            and {n: row.body for n, row in offer.rows.items()}
            == {name: row.body for name, row in held.items()}
        ):
            return None  # it came with just this, whatever version it knows it by
        if whole:
            return Answer(offer, offer.version, None, None)
        delta = self._core.delta(base, offer)
        known = base if isinstance(base, Part) else None
        came = known.version if known is not None else "0"
        return Answer(offer, f"{came}-{offer.version}", known, delta)

    def leaves(self, kind: str, answer: Answer) -> None:
        """Just before the answer leaves."""
        belief = self.beliefs[kind]
        belief.sent(answer.nonce, answer.part)
        self._tell(belief)

    def lost(self, kind: str) -> None:
        """The connection ended: what was on its way may have come or not."""
        belief = self.beliefs[kind]
        if belief.flights and not belief.cut:
            belief.cut = True
            self._tell(belief)

    def _learn(self, ask: Ask) -> None:
        """A version that it holds must be older than what it is offered, also after a loss of all memory."""
        era = max(map(self._core.ahead, [ask.version, *(ask.holds or {}).values()]), default=0)
        if era:
            self._core.rebase(era)
            self.renew()

    def renew(self) -> None:
        """All that it is to run, under versions of the era that has begun."""
        for parts in (self._wanted, self._came):
            for kind, part in list(parts.items()):
                parts[kind] = self._core.part(kind, [(name, row.body) for name, row in part.rows.items()])
        self._offers.clear()
        if self._numbers:
            self._numbers = [(self._numbers[-1][0], dict(self._wanted))]

    def _introduced(self, belief: Belief, ask: Ask) -> None:
        """On a new connection it says what it holds; that is where differences begin."""
        if ask.whole:
            if belief.known is not None and ask.version != belief.known.version:
                self._lost_base(belief, {}, self._core.find(ask.kind, ask.version))
            return
        holds = dict(ask.holds or {})
        if belief.known is None:
            belief.told = holds
        elif belief.known.versions() != holds:
            # it may have applied what was on its way when the connection ended
            same = [part for part in belief.flights.values() if part.versions() == holds]
            self._lost_base(belief, holds, same[-1] if same else None)

    def _lost_base(self, belief: Belief, told: dict[str, str], runs: Part | None) -> None:
        """It holds something other than what it was known to hold."""
        belief.known, belief.told = runs, told if runs is None else {}
        self._came.pop(belief.kind, None)
        belief.flights.clear()
        if runs is not None:
            self._host.taken(self.proxy, runs)
        self._tell(belief)

    def _says_it_runs(self, belief: Belief, version: str) -> None:
        """The version in its call, where no nonce says more."""
        for nonce, part in list(belief.flights.items()):
            if part.version == version:
                self._acknowledged(belief, nonce)
                return
        if belief.known is None:
            part_known = self._core.find(belief.kind, version)
            if part_known is not None:
                belief.known = part_known
                self._tell(belief)
            else:
                self._floors[belief.kind] = self._core.own(version)

    def _acknowledged(self, belief: Belief, nonce: str) -> None:
        part = belief.acknowledged(nonce)
        if part is None:
            return
        suspects = self._suspects[belief.kind]
        for name in [name for name, row in suspects.items() if part.rows.get(name) is row]:
            del suspects[name]
        self._tell(belief)
        self._host.taken(self.proxy, part)
        self._look_applied()

    def _refused(self, belief: Belief, ask: Ask) -> None:
        new = belief.refusal(ask.nonce, ask.error)
        if new is None:
            return
        if belief.known is None:  # what it came with is no news to it, whatever version it knows that by
            came = self._held(belief.kind)
            new = tuple(row for row in new if row.name not in came or came[row.name].body != row.body)
        suspects = self._suspects[belief.kind]
        if not new:  # what it would not let go it keeps, until something else is wanted
            rows = self._offers[belief.kind].rows if belief.kind in self._offers else {}
            kept = {n: row for n, row in self._held(belief.kind).items() if n not in rows}
            self._kept[belief.kind].update(kept)
            for row in kept.values():
                self._host.refused(self.proxy, row, ask.error)
        elif len(new) == 1:
            belief.refused[new[0].name] = new[0]
            suspects.pop(new[0].name, None)
            self._host.refused(self.proxy, new[0], ask.error)
        else:  # one of them, or several: each is offered by itself
            suspects.update({row.name: row for row in new})
        self._tell(belief)

    def _subscribe(self, belief: Belief, ask: Ask) -> None:
        """Names that it wants; `*`, or none at all, is everything.

        What it asks for anew it is sent anew, whatever it is known to hold.
        """
        names = self._names[ask.kind]
        if ask.whole or ask.first:
            names = dict.fromkeys(ask.add) if ask.add and "*" not in ask.add else None
        elif "*" in ask.add:
            names = None
        elif ask.add or ask.drop:
            kept: dict[str, None] | None = {} if names is None and "*" in ask.drop else names
            if kept is not None:
                names = {name: None for name in [*kept, *ask.add] if name not in ask.drop}
            held = belief.known.rows if belief.known is not None else {}
            if not belief.flights and any(name in held for name in ask.add):
                belief.told = {n: row.version for n, row in held.items() if n not in ask.add}
                left = {n: row for n, row in held.items() if n not in ask.add}
                self._came[ask.kind] = self._core.assemble(ask.kind, left)
                belief.known = None
                self._tell(belief)
        self._names[ask.kind] = dict(list(names.items())[:MOST_NAMES]) if names is not None else None

    # What follows.

    def _look_applied(self) -> None:
        """Tells of the newest message whose every resource is known to be held."""
        done = -1
        for k, (_, parts) in enumerate(self._numbers):
            if all(self._has(kind, row) for kind, part in parts.items() for row in part.rows.values()):
                done = k
        if done >= 0:
            number = self._numbers[done][0]
            del self._numbers[: done + 1]
            self._host.applied(self.proxy, number)
        elif len(self._numbers) > 100:
            del self._numbers[:50]

    def _tell(self, belief: Belief) -> None:
        self._host.believes(self.proxy, belief.kind, belief.runs(), belief.state)

    def states(self) -> dict[str, tuple[str, str, dict[str, str]]]:
        """By type: state, version if it is certain, and refusals, for operators."""
        return {
            kind: (belief.state, belief.runs(), dict(belief.errors)) for kind, belief in self.beliefs.items()
        }

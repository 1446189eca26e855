"""All decisions of one director: who is bound to what, with which weights, levels and tries.

How to call it: `Controller(runtime, settings, seed, now)`, then one method for each thing that happens, and
`moment_over` after the last of one moment: it gives the orders, through the `Host` of `host.py`.
The design it follows, and where it departs from it, is in docs/design.md.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from statistics import median
from typing import Any

from .events import (
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
from .model import NEVER, Channel, Ring, Table, Upstream, cap, middle
from .runtime import AdmissionLimit, ControllerRuntime
from .settings import AdmissionUnit, DeploymentSettings, LoadSource

# Time, in tenths of a millisecond.
SECOND, BEAT = 10_000, 5_000  # a beat is between looks at health and levels
BUCKETS = 4  # of a reporting period or a second, for a judgement of a host
# Weights: the design's, all open values.
SOLVE_EVERY, DAMPING = 3 * SECOND, 0.5  # between steps; of the gap to the target, a step
CLAMP, ENTRY = 2.0, 0.5  # factor of its base that a target stays within; factor of a newly started host
CHANGE, MOVED = 0.1, 9.0  # logarithm of a move: the least that is sent; as which in or out counts
OUT, FAR, TOLD = 0, 1, 2  # turns of lines: out for its health, then moved far, then told before
TUNING_RATE, PAYBACK = 0.5, 2 * SECOND  # of the channel's rate, the most; by when a line earns its price
WAVE, RESEND_RATE = 0.4, 0.05  # of the lines that may wait, a table's wave; of the rate, what is told again
GATHER = 8  # withdrawals gather for an eighth of the grace, or three while not all fit
NEARLY = 0.95  # of the lines that may wait, withdrawals fill
REMIND = 4  # who waits to be bound for a quarter of the grace is told who went before it joined
GONE = 30 * SECOND  # after its withdrawal a host is forgotten: no stream waits so long for a table
NEAR_PRICE, NEAR_MOST = 0.05, 0.95  # price of crossing from which calls are kept near; most kept
# Health, as shares of tries, of hosts and times.
DEAD_SHARE, REST = 0.75, 5 * SECOND  # dropped above the better hosts: out; for how long first, then doubled
CUT_SHARE = 0.7  # of a zone's hosts, those that missed their last probe: it is cut
PROBE_EVERY, FRESH = 2 * SECOND, 5 * SECOND  # half that at busy hosts; how long a load report counts
SHUNNED, AGROUND = 8 * SECOND, 0.5  # cold hosts are held out: after a start or a cut; share of tries answered
# Narrow tables: share answered by idle hosts under which they begin, hosts in one, time of the first.
BARRED, FEW, NARROW = 0.4, 2, 30 * SECOND
# Levels. Load is cores in use; late is the time of the answered over SLO time; room is the share let in.
TIGHT, FULL, SOON = 0.45, 0.93, 1.02  # throttle at: late; load, now and as it rises
GOOD, LOW, IDLE = 0.88, 0.75, 0.65  # load that levels fall to, rise to; under which late is no overload
AHEAD, FALL_GAIN, RISE_GAIN, RISE = 0.7, 5.0, 4.0, 1.5  # a lag: how far ahead, of the way there, most growth
OPEN, FLOOR, UNLIMITED = 1.4, 0.1, 1e6  # room that throttles nothing; least share of a route; no limit


class Controller:
    def __init__(self, runtime: ControllerRuntime, settings: DeploymentSettings, seed: int, now: int) -> None:
        self.runtime, self.settings, self.born = runtime, settings, now
        self.chance = random.Random(seed).random
        self.width = max(settings.fleet.report_interval_ticks, SECOND)
        self.lag = (
            settings.channel.typical_delay_ticks + self.width * 3 // 2 + SECOND
        )  # from an order to reports that show it
        self.listed = settings.lists_capacity  # a listed size tells of worth
        self.probing = settings.health_checks and settings.fleet.load_source is LoadSource.HEALTH_CHECKS
        self.hosts: dict[str, Upstream] = {}
        self.cuts: list[str] = []  # zones that cannot be reached from here
        self.shunned = now + SHUNNED if settings.fleet.avoidance_failures else 0  # proxies may avoid some
        groups: dict[tuple[object, ...], list[int]] = {}
        for k, route in enumerate(settings.routes):
            near = route.same_zone_only or settings.fleet.cross_zone_price >= NEAR_PRICE
            for zone in settings.zones if near else ("",):
                groups.setdefault(
                    (route.allowed_classes, route.allowed_zones, route.same_zone_only, zone), []
                ).append(k)
        sorts = enumerate(groups.items())
        self.tables = [Table(n, ks, settings.routes[ks[0]], str(key[-1])) for n, (key, ks) in sorts]
        self.proxies: dict[int, tuple[str, float]] = {}  # zone, usual calls a second
        self.bound: dict[int, int] = {}  # to the tables of its group, or the wide ones: -1
        self.wide, self.groups = list(self.tables), dict[int, int]()  # groups, while tables are narrow
        self.narrow_until, self.narrow, self.last = 0, NARROW, len(self.tables)
        self.parts, self.few = 1, FEW  # of the wide tables; hosts in one
        self.own = [table for table in self.wide if table.zone == self.wide[0].zone]  # as many as any proxy's
        # to be bound, who waits longest and is busiest first; whether others gave it orders
        self.joined: dict[int, tuple[int, float, bool]] = {}
        self.rates: dict[str, dict[int, float]] = {r.name: {} for r in settings.routes}  # calls a second
        self.room, self.rooms = OPEN, [OPEN] * 32  # the share let in; by beat, a ring
        self.stress, self.good = 0.0, 0.0  # of all hosts; the share of tries heard to be answered
        self.loads = [1.0] * 8  # cores in use, by beat
        self.answered = Ring(self.width, BUCKETS, 2)  # answered and tried
        most = settings.channel.message_cap  # messages are spaced so that no proxy can get more than its cap
        self.spacing = settings.channel.message_cap_window_ticks // max(most - 1, 1) + 1 if most else 0
        self.rate, head = (
            settings.channel.entries_per_second / SECOND,
            int(settings.channel.message_overhead_entries) + 1,
        )
        self.channel = Channel(
            self.rate, head, settings.channel.max_delay_ticks, now
        )  # a head holds its mark too
        self.order_after, self.send_after, self.solve_at = 0, now, now
        self.news, self.news_at, self.resend_at = True, now, 0  # weights may have moved; lines be told again
        self.shifted: dict[str, int] = {}  # hosts that may have to be withdrawn or readmitted, since when
        self.untold: dict[int, None] = {}  # joined, and not told yet of hosts that went before
        self.learnt: dict[int, None] = {}  # others gave it orders, and may have shut out who came back
        self.learning = now + SOLVE_EVERY  # till its first solve at most: proxies' tables know more
        self.whole, self.listing, self.lists = False, [""], 0  # the list that is coming in; how many came
        self.joined_at, self.remind_at, self.relist_at = 0, NEVER, NEVER  # relist: the whole list once more
        self.listen_at, self.backoff = (now if settings.list_on_request else -1), SECOND
        self._handlers: dict[type[Event], Callable[[int, Any], None]] = {
            ProxyJoined: self.proxy_joined,
            ProxyLeft: self.proxy_left,
            EndpointListReceived: self.list_received,
            EndpointListLost: self.list_lost,
            EndpointReport: self.hosts_heard,
            RequestReport: self.calls_came,
            HealthCheckCompleted: self.probe_done,
            MessageAcknowledged: self.mark_answered,
            EvaluationDue: self.timer_due,
        }
        runtime.schedule_evaluation(BEAT)

    # Join, bind, fill, resend, solve, pace: the ordinary path.

    def handle(self, now: int, event: Event) -> None:
        """Takes one event in; what follows from it is ordered by the next `flush`."""
        self._handlers[type(event)](now, event)

    def queue_estimate(self) -> float:
        """The entries that wait on the channel, as this controller estimates them."""
        return self.channel.load()

    def learnt_capacities(self) -> dict[str, float]:
        """The capacity of each endpoint as learnt from its load, by the endpoint's name."""
        return {name: up.size for name, up in self.hosts.items()}

    def proxy_joined(self, now: int, event: ProxyJoined) -> None:
        proxy, zone, rate, fresh = event.proxy, event.zone, event.usual_rate_per_second, event.is_fresh
        self.proxies[proxy], self.channel.waiting[proxy] = (zone, rate), []
        # it may have lost a withdrawal with its stream, or hold hosts that went before it ever had one
        self.untold[proxy], self.joined_at = None, now
        self.remind_at = min(self.remind_at, now + self.settings.rules.drain_grace_ticks // REMIND)
        if self.settings.exclusions_outlive_sessions and not fresh:
            self.learnt[proxy] = None
        # who holds few hosts may lose them all
        self.joined[proxy] = (now // SECOND - 2 * fresh, -rate, not fresh)
        if self.narrow_until:
            self.groups.setdefault(proxy, int(self.chance() * self.parts))

    def proxy_left(self, now: int, event: ProxyLeft) -> None:
        proxy = event.proxy
        for book in self.rates.values():
            book.pop(proxy, None)
        waiting = self.channel.waiting
        for known in (self.proxies, self.bound, self.joined, self.untold, self.learnt, waiting):
            known.pop(proxy, None)

    def flush(self, now: int) -> None:
        """Gives the orders of this moment: those that keep rules first, then binds, then tables."""
        if 0 <= self.listen_at <= now:
            self.runtime.watch_endpoints()
            self.listen_at = -1
        if now < self.send_after:
            return
        self.channel.drain(now)
        before = self.channel.load()
        known = now < self.learning and 2 * sum(up.withdrawn for up in self.hosts.values()) < len(self.hosts)
        standing = (
            self.settings.fleet.default_table_size and not self.listed
        )  # a standing table says as much as the list
        due = [proxy for proxy, (*_, learnt) in self.joined.items() if not (known and (learnt or standing))]
        due.sort(key=self.joined.__getitem__)
        new = [proxy for proxy in due if proxy not in self.bound]
        if new and not self.narrow_until and self.late(new):
            # a part holds nothing that has to be withdrawn, and costs less than telling what has
            self.take_in(now, self.go_part(now, new), math.inf)
        self.guard(now)
        # where messages go to most anyway, what moved goes with them
        riding = 2 * len(self.channel.moment) > len(self.proxies)
        self.news = self.news or riding or (self.room < OPEN and now >= self.order_after)
        # what keeps rules waits for nothing else
        limit = 0.0 if any(not self.hosts[name].withdrawn for name in self.shifted) else self.limit()
        self.take_in(now, [proxy for proxy in due if proxy in self.joined], limit)
        for table in self.tables if riding else ():
            self.spill(now, table)
        # a wave, or the rest of one that was cut, also waits for answers: a channel that slows shows late
        wave = self.wave()
        calm = now >= self.order_after and self.channel.load() < limit / 2
        if (riding or calm) and self.channel.unproven() < wave:
            self.news = self.tune(now, self.tables, wave)
            spent = (self.channel.load() - before) / (self.rate * TUNING_RATE)
            self.order_after = now + (BEAT if self.news else max(BEAT, int(spent)))
        if self.groups and not self.narrow_until and not self.joined:
            self.go_whole(now, limit / 2)
        if self.channel.moment:
            self.runtime.send_sync_marker(
                self.channel.send(now)
            )  # answered by `mark_answered`, so arrival is known
            self.send_after = now + self.spacing

    def take_in(self, now: int, due: list[int], limit: float) -> None:
        # a table that nobody uses yet is brought up to date before anyone is bound, and costs nothing
        if due and self.channel.load() < limit:
            self.tune(now, [table for table in self.tables if not self.users(table)], limit)
        for proxy in due:
            if self.channel.load() >= limit:
                break
            self.bind(now, proxy)
            del self.joined[proxy]

    def bind(self, now: int, proxy: int) -> None:
        self.bound[proxy] = self.groups.get(proxy, -1)
        tables = [t for t in self.tables if t.group == self.bound[proxy] and self.near(t, proxy)]
        if proxy in self.learnt:
            self.let_back(now, proxy, tables)
        for table in tables:
            self.runtime.bind(proxy, table.number, table.routes)
            out = sum(self.hosts[name].withdrawn for name in table.sent)
            self.channel.charge([proxy], 2 + len(table.sent) + len(table.levels) + out)
            table.owed = dict.fromkeys(table.sent)

    # Parts: too many to be bound in time to whole tables get a part of them first.

    def late(self, due: list[int]) -> bool:
        """Whether so many wait that whole tables come too late for what is withdrawn there."""
        cost = self.channel.cost(due, sum(len(table.sent) + len(table.levels) + 2 for table in self.own))
        return self.channel.load() + cost > self.rate * self.settings.rules.drain_grace_ticks / 2

    def go_part(self, now: int, due: list[int]) -> list[int]:
        """Deals who waits to groups with a part of the wide tables each; gives those who fit in the queue."""
        if not self.groups:
            if max(self.bound.values(), default=-1) >= 0:
                return []  # some still have narrow tables, of numbers that are used again
            # so large that all who may still come are bound in half the grace, but as a standing table
            most = len(due) + max(self.settings.fleet.proxy_count - len(self.proxies), 0)
            lines = self.rate * self.settings.rules.drain_grace_ticks / 2 / most - self.channel.head
            self.few = max(FEW, self.settings.fleet.default_table_size, int(lines / len(self.own)) - 2)
            self.split(now, self.few)
            self.runtime.log(f"{len(due)} wait to be bound: first to {self.parts} parts of the tables")
        self.groups = {proxy: int(self.chance() * self.parts) for proxy in due} | self.groups
        cost = self.channel.head + len(self.own) * (2 + self.few + len(self.settings.routes))
        left = self.settings.channel.queue_limit_entries * NEARLY - self.channel.ceiling()
        return due[: max(0, int(left / cost))]

    def go_whole(self, now: int, limit: float) -> None:
        """Binds those with a part to the wide tables, in turn, while the channel has room."""
        for proxy in list(self.groups):
            if self.channel.load() >= limit:
                return
            del self.groups[proxy]
            if proxy in self.proxies:
                self.bind(now, proxy)
        self.tables = list(self.wide)

    def split(self, now: int, few: int) -> None:
        """Adds to the wide tables parts of so many hosts, for as many groups of proxies."""
        self.tables, zones = list(self.wide), dict.fromkeys(table.zone for table in self.wide)
        self.last = self.last if max(self.bound.values(), default=-1) >= 0 else len(self.wide)
        ready = sum(up.mode is EndpointState.IN_SERVICE for up in self.hosts.values())
        self.parts = max(1, ready // (few * len(zones)))
        for table in self.wide:
            fit = [up for up in self.hosts.values() if self.open_to(table, up)]
            fit = [up for up in fit if self.weight(now, table, up) and not up.withdrawn] or fit
            ups = [up for up in fit if table.zone in ("", up.zone)] or fit
            ups.sort(key=lambda up: -up.size * up.factor)
            for k in range(self.parts if ups else 0):
                self.last += 1
                self.runtime.clear_table(self.last)
                narrow = Table(self.last, table.routes, table.like, table.zone, k)
                places = range(k, max(len(ups), k + 1 + self.parts * (FEW - 1)), self.parts)
                narrow.only = [ups[place % len(ups)] for place in places]
                self.tables.append(narrow)

    def let_back(self, now: int, proxy: int, tables: list[Table]) -> None:
        """Who came from another director is told of hosts that came back while it may have been there."""
        ready = {
            n: u for n, u in self.hosts.items() if u.mode is EndpointState.IN_SERVICE and not u.withdrawn
        }
        since = now - self.settings.rules.slow_start_ticks
        back = [n for n, up in ready.items() if max(up.started * (not up.new), up.shifted_at) > since]
        if self.bound[proxy] >= 0:  # with a part of a table, what is not in it can wait
            back = [name for name in back if any(name in table.sent for table in tables)]
        else:
            del self.learnt[proxy]
        if back:
            self.runtime.readmit_for_proxy(proxy, back)
            self.channel.charge([proxy], len(back))

    def tune(self, now: int, tables: list[Table], limit: float) -> bool:
        """Sends levels and hosts in or out, then lines that moved, the furthest first, then those owed.

        A message costs as much as several lines, so lines wait for a solve, and a table goes in one wave.
        True if lines that moved are left.
        """
        found, shares = [], self.shares()
        for table in tables:
            users = self.users(table)
            for k, (tries, level) in self.levels(table, shares).items():
                before = table.levels.get(k)
                if before is None or before[0] != tries or abs(level - before[1]) > CHANGE / 2 * before[1]:
                    self.runtime.set_admission(table.number, k, AdmissionLimit(tries, level))
                    table.levels[k] = (tries, level)
                    self.channel.charge(users, 1)
            moves = self.moves(now, table, users)
            whole = sum(moved for _, moved, *_ in moves)
            wanted = [row for row in moves if self.news or not users or row[0] == OUT]
            found += [((row[0], -whole, -row[1]), table, users, row) for row in wanted]
        left, again, quiet = False, 0, not any(row[0] < TOLD for *_, row in found)
        for _, table, users, (turn, _, name, weight) in sorted(found, key=lambda row: row[0]):
            if users and (self.channel.load() >= limit or (turn == TOLD and not quiet)):
                left = turn < TOLD
                break
            again += turn == TOLD and self.channel.cost(users, 1)
            self.line(table, users, name, weight)
        self.resend_at = max(self.resend_at, now + int(again / (self.rate * RESEND_RATE)))
        return left

    def moves(self, now: int, table: Table, users: list[int]) -> list[tuple[int, float, str, float]]:
        """The lines worth sending, with the turn of each and how far it moved."""
        weights = {name: self.weight(now, table, up) for name, up in self.hosts.items()}
        if not any(weights.values()):  # the last hosts left are used, however they fare
            left = [name for name, up in self.hosts.items() if self.open_to(table, up)]
            left = [name for name in left if not self.cold(now, self.hosts[name])] or left
            weights = {name: float(name in left) for name in self.hosts}
        # a line must move far enough to earn, by its part of the calls, what it costs at all users
        books = [(k in table.routes, self.rates[route.name]) for k, route in enumerate(self.settings.routes)]
        part = sum(book.get(p, 0.0) for own, book in books if own for p in users)
        part /= sum(sum(book.values()) for _, book in books) or 1.0
        price = self.settings.channel.entry_price * len(users) * len(weights)
        quantum = max(CHANGE, math.sqrt(price / (self.rate * PAYBACK * max(part, FLOOR))))
        bare, found = self.bare(table), []
        for name, weight in weights.items():
            old = table.sent.get(name, 0.0)
            moved = abs(math.log(weight / old)) if weight and old else MOVED if weight or old else 0.0
            if moved > quantum:
                last = self.hosts[name].withdrawn
                hurry = not weight or (not old and (bare or self.room < OPEN))  # who has none waits for none
                turn = OUT if hurry and not last else FAR
                found.append((turn, moved * part * (not last), name, weight))
            elif name in table.owed and weight and now >= self.resend_at:
                found.append((TOLD, 0.0, name, weight))
        return found

    def users(self, table: Table) -> list[int]:
        return [p for p, group in self.bound.items() if group == table.group and self.near(table, p)]

    def near(self, table: Table, proxy: int) -> bool:
        return table.zone in ("", self.proxies[proxy][0])

    def bare(self, table: Table) -> bool:
        return all(self.hosts[name].withdrawn for name in table.sent)

    def line(self, table: Table, users: list[int], name: str, weight: float) -> None:
        self.runtime.set_weight(table.number, name, weight)
        self.channel.charge(users, 1)
        table.owed.pop(name, None)
        table.sent.pop(name, None)
        if weight > 0:
            table.sent[name] = weight

    def solve(self, now: int) -> bool:
        """A step of every weight towards base weight x median latency / own latency, among hosts alike."""
        sums = {
            n: u.heard.total(now, BUCKETS)
            for n, u in self.hosts.items()
            if u.mode is EndpointState.IN_SERVICE
        }
        latency = {name: s / (t - e) for name, (t, e, s) in sums.items() if t - e >= 2 and s > 0}
        if not latency or (len(latency) < len(sums) / 2 and now < self.born + SOLVE_EVERY):
            return False
        if not self.listed:
            self.appraise(now, sums)
        alike: dict[float, list[float]] = {}  # what base weights say of speed is not counted twice
        for name, late in latency.items():
            alike.setdefault(self.hosts[name].size, []).append(late)
        usual = {size: median(lates) for size, lates in alike.items()}
        for name, up in self.hosts.items():
            mates = usual.get(up.size, median(latency.values()))
            target = min(CLAMP, max(1 / CLAMP, mates / latency.get(name, mates)))
            up.factor += DAMPING * (target - up.factor)
        for table in self.tables:
            self.spill(now, table)
        return True

    def appraise(self, now: int, sums: dict[str, list[float]]) -> None:
        """Where no weight is listed, a kind of host is worth the calls it answers for its cores in use."""
        told: dict[str, list[float]] = {}  # by its middle host: some of a kind may be in trouble
        for name, (tries, errors, _) in sums.items():
            up = self.hosts[name]
            if tries > errors and now - up.busy_at < FRESH and not self.cold(now, up):
                told.setdefault(up.kind, []).append((tries - errors) / max(up.busy, FLOOR))
        worth = {kind: median(rows) for kind, rows in told.items()}
        known = [worth[up.kind] for up in self.hosts.values() if up.kind in worth]
        for up in self.hosts.values():
            up.size = worth[up.kind] * len(known) / sum(known) if up.kind in worth else 1.0

    def spill(self, now: int, table: Table) -> None:
        """Where crossing zones is dear, a zone keeps its calls as far as its hosts' weight allows."""
        table.far, sides = 1.0, [0.0, 0.0]
        for up in self.hosts.values() if table.zone else ():
            sides[up.zone == table.zone] += self.weight(now, table, up)
        far, near = sides
        if near and far and self.room >= OPEN:  # under overload every host serves all
            rates = [rate for _, rate in self.proxies.values()] or [1.0]
            unseen = max(self.settings.fleet.proxy_count - len(self.proxies), 0) * sum(rates) / len(rates)
            own = sum(rate for zone, rate in self.proxies.values() if zone == table.zone)
            calls = (own + unseen / len(self.settings.zones)) / (sum(rates) + unseen)
            kept = min(NEAR_MOST, near / (near + far) / max(calls, 0.01))
            table.far = min(1.0, near * (1 - kept) / (kept * far))

    def weight(self, now: int, table: Table, up: Upstream) -> float:
        if not self.open_to(table, up) or up.sick or up.zone in self.cuts:
            return 0.0
        far = table.far if up.zone != table.zone else 1.0
        warmth, learnt = self.warmth(now, up), up.factor
        if table.group >= 0 and warmth < 1:
            return 0.0  # too few others to share with
        learnt = min(learnt, 1.0) if warmth < 1 else learnt  # idle as it is, a cold host has its ramp only
        return up.size * learnt * warmth * far

    def open_to(self, table: Table, up: Upstream) -> bool:
        like = table.like
        near = up.zone == table.zone or not like.same_zone_only
        fits = (not like.allowed_classes or up.kind in like.allowed_classes) and (
            not like.allowed_zones or up.zone in like.allowed_zones
        )
        return up.mode is EndpointState.IN_SERVICE and near and fits and (not table.only or up in table.only)

    # The channel: one estimate paces everything.

    def limit(self) -> float:
        """A third of the queue, or down to a sixth so that two rounds of withdrawals reach all in time."""
        terms = self.settings.channel
        reach = self.rate * (self.settings.rules.drain_grace_ticks - terms.max_delay_ticks)
        reach -= (self.settings.fleet.proxy_count + len(self.proxies)) * (self.channel.head + 1)
        return min(terms.queue_limit_entries, max(reach, terms.queue_limit_entries / 2)) / 3

    def wave(self) -> float:
        """What may wait once tables went out: withdrawals that come next still reach all in time."""
        terms, grace = self.settings.channel, self.settings.rules.drain_grace_ticks
        reach = self.rate * (grace - grace / GATHER - terms.max_delay_ticks)
        reach -= len(self.proxies) * (self.channel.head + 1)
        return max(self.limit(), min(terms.queue_limit_entries * WAVE, reach))

    def mark_answered(self, now: int, event: MessageAcknowledged) -> None:
        self.channel.answered(now, event.proxy, event.marker)

    # Rules first: what the list says of draining, gone and new hosts.

    def guard(self, now: int) -> None:
        """Withdraws what drains or is gone, from those who may hold it; readmits at its present weight."""
        most, ups, left = self.settings.channel.queue_limit_entries * NEARLY, self.hosts, dict[str, int]()
        wanted = {
            name: ups[name].mode is EndpointState.IN_SERVICE and not ups[name].anew for name in self.shifted
        }
        shifted = [name for name, wish in wanted.items() if ups[name].withdrawn == wish]
        # while a round of messages waits, more gather for a little: a message costs more than its line
        news = [now - self.shifted[name] for name in shifted if not ups[name].withdrawn]
        age = max(news, default=0) * GATHER // self.settings.rules.drain_grace_ticks
        fits = self.channel.ceiling() + self.channel.cost([*self.proxies], len(news)) <= most
        wait, gather = self.channel.load() >= self.limit(), age < 3 and not (fits and age >= 1)
        for name in sorted(shifted, key=lambda name: (ups[name].withdrawn, ups[name].shifted_at)):
            up, tables = ups[name], self.having(name)
            holders = list(self.proxies) if up.withdrawn else self.holders(name)
            cost = self.channel.cost(holders, 1 + up.withdrawn * len(tables))
            early = up.withdrawn and (wait or (self.joined and self.cold(now, up)))  # tables of before
            if early or (wait and gather) or self.channel.ceiling() + cost > most:
                left[name] = self.shifted[name]
                continue
            for table in tables if up.withdrawn else []:  # what the old process was worth may be too much
                self.line(table, self.users(table), name, self.weight(now, table, up))
            up.withdrawn, up.shifted_at = not up.withdrawn, now
            (self.runtime.exclude_endpoint if up.withdrawn else self.runtime.readmit_endpoint)(name)
            self.channel.charge(holders, 1)
            if up.anew:
                up.anew, left[name] = False, now
        self.shifted = left
        self.remind(now)
        for table in self.tables:  # filled before any proxy is bound to it, and never left with nothing open
            if self.bare(table):
                table.only = [] if table.sent else table.only  # a narrow one that lost its hosts
                self.spill(now, table)
                self.tune(now, [table], most)

    def remind(self, now: int) -> None:
        """Tells who waits to be bound of hosts that went before it joined, the last to go first."""
        if now < self.remind_at or self.channel.load() >= self.limit():
            return
        waiting = [p for p in self.untold if p in self.joined and p not in self.groups]  # parts come at once
        self.untold, self.remind_at = {}, NEVER
        grace, terms, told = self.settings.rules.drain_grace_ticks, self.settings.channel, list[str]()
        reach = self.rate * (
            grace - grace / REMIND - terms.max_delay_ticks
        )  # what is told later is of no use
        most = min(terms.queue_limit_entries * NEARLY, max(reach, terms.queue_limit_entries / 2))
        gone = [name for name, up in self.hosts.items() if up.withdrawn and up.shifted_at <= self.joined_at]
        for name in sorted(gone, key=lambda name: -self.hosts[name].shifted_at) if waiting else ():
            holders = waiting if self.settings.exclusions_outlive_sessions else self.holders(name)
            if self.channel.ceiling() + self.channel.cost(holders, 1) > most:
                self.learning = 0  # binds, that tell less, wait for nothing then
                break
            told.append(name)
            self.channel.charge(holders, 1)
            if not self.settings.exclusions_outlive_sessions:
                self.runtime.exclude_endpoint(name)
        for proxy in waiting if told and self.settings.exclusions_outlive_sessions else ():
            self.runtime.exclude_for_proxy(proxy, told)

    def having(self, name: str) -> list[Table]:
        return [table for table in self.tables if name in table.sent]

    def holders(self, name: str) -> list[int]:
        users = [proxy for table in self.having(name) for proxy in self.users(table)]
        return [*dict.fromkeys([*self.joined, *users])]

    def list_received(self, now: int, event: EndpointListReceived) -> None:
        self.whole, self.listing, self.backoff, self.lists = event.is_complete, [], SECOND, self.lists + 1
        for entry in event.entries:
            self.host_listed(now, entry)
        self.list_ended(now)

    def host_listed(self, now: int, entry: EndpointEntry) -> None:
        name, mode, started, size = entry.name, entry.state, entry.started_at, entry.listed_weight
        kind, zone = entry.endpoint_class, entry.zone
        up = self.hosts.get(name)
        if up is None:
            up = self.hosts[name] = Upstream(self.width, BUCKETS)
            up.new = self.lists > 2  # neither in the copy of before the start nor in the first answer
        if (
            started != up.started and now - started < self.settings.rules.slow_start_ticks
        ):  # what was heard is of before
            up.heard.forget()
            up.factor, up.sick, up.rest = ENTRY, False, 0
            up.anew = (
                mode is up.mode is EndpointState.IN_SERVICE and not up.withdrawn
            )  # then readmitted at its ramp
        if self.listed:
            up.size = size
        up.mode, up.started, up.kind, up.zone = mode, started, kind, zone
        self.listing.append(name)
        self.shifted.setdefault(name, now)

    def list_ended(self, now: int) -> None:
        """What a whole list lacks is gone; if that is most hosts, the roster may have lost its entries."""
        here, self.relist_at = set(self.listing), NEVER if self.whole else self.relist_at
        gone = [n for n in self.hosts if n not in here] if self.whole else []
        sums = {
            n: up.heard.total(now, 2)
            for n, up in self.hosts.items()
            if gone and up.mode is EndpointState.IN_SERVICE
        }
        if 2 * sum(name in sums for name in gone) > len(sums):  # then only who answers no tries any more
            gone = [n for n in gone if n not in sums or sums[n][0] <= 2 * sums[n][1]]
            self.relist_at = now + self.settings.rules.drain_grace_ticks // REMIND
            self.runtime.log(f"{len(here)} hosts listed of {len(sums)} in service, {len(gone)} believed gone")
        for name in gone:
            self.hosts[name].mode = EndpointState.REMOVED
            self.shifted.setdefault(name, now)

    def forget(self, now: int) -> None:
        """Hosts that are gone for good, once no proxy here can hold a line for them any more."""
        gone = [n for n, u in self.hosts.items() if u.mode is EndpointState.REMOVED and u.withdrawn]
        for name in [n for n in gone if now - self.hosts[n].shifted_at > GONE and not self.having(n)]:
            del self.hosts[name]
            self.shifted.pop(name, None)
            self.runtime.forget_endpoint(name)

    def list_lost(self, now: int, _: EndpointListLost) -> None:
        self.runtime.log(f"list lost: asking again within {2 * self.backoff // SECOND} s")
        self.listen_at = now + int(self.backoff * (0.5 + self.chance()))
        self.backoff = min(2 * self.backoff, max(self.settings.rules.discovery_poll_ticks // 3, SECOND))

    # Ramp: a cold host's weight follows what it can do.

    def cold(self, now: int, up: Upstream) -> bool:
        return up.started > 0 and now - up.started < self.settings.rules.slow_start_ticks

    def warmth(self, now: int, up: Upstream) -> float:
        if not self.cold(now, up):
            return 1.0
        # in a jam, after a cut or a start proxies shun the hosts that failed them, and a cold one gets it all
        held = self.good <= AGROUND or now < self.shunned
        start, grown = (
            self.settings.rules.slow_start_fraction,
            max(now - up.started, 0) / self.settings.rules.slow_start_ticks,
        )
        return 0.0 if held else start + (1 - start) * grown

    # Health: from the late sums of what the proxies met, and from probes where load is told only to them.

    def hosts_heard(self, now: int, event: EndpointReport) -> None:
        up = self.hosts.get(event.endpoint)
        if up is not None:
            answered = event.attempts - event.failures
            up.heard.add(now, event.attempts, event.failures, event.mean_latency_ticks * answered)
            self.answered.add(now, answered, event.attempts)
            if event.cpu_utilization is not None:
                up.busy, up.busy_at = event.cpu_utilization, now

    def probe_done(self, now: int, event: HealthCheckCompleted) -> None:
        up = self.hosts.get(event.endpoint) or Upstream(
            self.width, BUCKETS
        )  # of before a restart, maybe unknown
        outcome, told = event.outcome, event.cpu_utilization
        up.missed = outcome in (HealthCheckOutcome.TIMED_OUT, HealthCheckOutcome.UNREACHABLE)
        # a probe that times out tells of a full host only if the calls that it answers are late too
        tries, errors, spent = up.heard.total(now, 2)
        late = spent > (tries - errors) * TIGHT * min(r.latency_objective_ticks for r in self.settings.routes)
        timed_out = outcome is HealthCheckOutcome.TIMED_OUT
        full = timed_out and (late or not self.stress) and up.zone not in self.cuts
        if full or told is not None:
            up.busy, up.busy_at = 1.0 if told is None else told, now

    def look(self, now: int) -> None:
        """Takes out hosts that drop nearly all where others do not, and back when they have rested."""
        # who answers some stays: in one-sided trouble and in a jam the others cannot carry its calls too
        ready = [
            (n, u, u.heard.total(now, BUCKETS))
            for n, u in self.hosts.items()
            if u.mode is EndpointState.IN_SERVICE
        ]
        shares = sorted(e / t for _, u, (t, e, _) in ready if t >= 3 and not u.sick)
        usual = shares[len(shares) // 4] if shares else 0.0  # of the better hosts: half a fleet may fail
        for name, up, (tries, errors, _) in ready:
            share = errors / max(tries, 1.0)
            was = up.sick
            if up.sick and now >= up.out_until:
                up.sick = False
                up.heard.forget()
                self.runtime.log(f"{name} is back")
            elif not up.sick and errors >= 3 and share - usual > DEAD_SHARE:
                up.rest = min(2 * up.rest, 4 * REST) or REST
                up.sick, up.out_until = True, now + up.rest
                self.runtime.log(f"{name} is out: {errors:.0f} of {tries:.0f} dropped, usual {usual:.2f}")
            if up.sick and not was:
                self.order_after, self.news = now, True

    def find_cuts(self, now: int) -> None:
        """Hosts of a zone that miss their probes together, while near ones answer, cannot be reached."""
        probed = [u for u in self.hosts.values() if u.mode is EndpointState.IN_SERVICE and u.probe_at]
        probed = [u for u in probed if not self.cold(now, u)]  # a cold one answers whatever the rest does
        missed = {zone: [u.missed for u in probed if u.zone == zone] for zone in self.settings.zones}
        cuts = [zone for zone, m in missed.items() if len(m) > 1 and sum(m) > CUT_SHARE * len(m)]
        near = missed.get(self.settings.local_zone, [])
        if not near or sum(near) > (1 - CUT_SHARE) * len(near):
            cuts = []  # the trouble is here, or everywhere
        if cuts != self.cuts:
            self.news = True
            self.runtime.log(f"zones cut off: {' '.join(cuts) or 'none'}, of {len(probed)} hosts probed")
            self.shunned = now + SHUNNED if self.settings.fleet.avoidance_failures else 0
        self.cuts = cuts

    # Narrow tables: idle hosts that refuse connections get fewer of them, as each proxy uses a few hosts.

    def go_narrow(self, now: int, good: float, busy: float) -> None:
        """Deals hosts and proxies to groups, each with a narrow table in place of each wide one."""
        self.runtime.log(f"narrow tables: good {good:.2f}, busy {busy:.2f}")
        self.narrow_until, self.narrow = now + self.narrow, 2 * self.narrow
        self.split(now, FEW)
        turn = [*range(self.parts), *reversed(range(self.parts))]
        for zone in dict.fromkeys(table.zone for table in self.wide):  # about as much traffic to each group
            proxies = [p for p, (near, _) in self.proxies.items() if zone in ("", near)]
            for k, proxy in enumerate(sorted(proxies, key=lambda p: -self.proxies[p][1])):
                self.groups[proxy] = turn[k % len(turn)]
        self.joined = dict.fromkeys(self.proxies, (now // SECOND, 0.0, False))

    # Levels and tries: throttle early under overload, least importance first.

    def calls_came(self, now: int, event: RequestReport) -> None:
        proxy, route, calls, window = event.proxy, event.route, event.requests, event.window_ticks
        if proxy in self.proxies and window > 0:
            rate = calls * SECOND / window
            old = self.rates[route].get(proxy, rate)
            # while throttled, clients that come again swell the count: it stays
            self.rates[route][proxy] = old + (rate - old) * (0.5 if self.room >= OPEN else 0.0)

    def gauge(self, now: int) -> None:
        """Judges by the middle of the tries: what is wrong at some hosts only is for weights and health."""
        busy = max(self.load_of(now, table) for table in self.wide)
        if not self.stress and busy < AGROUND and any(u.busy_at >= 0 for u in self.hosts.values()):
            self.good = 1.0  # before the first sums, load that is told says as much
        rise = (busy - self.loads[now // BEAT - 4 & 7]) * self.lag * AHEAD / (4 * BEAT)
        self.loads[now // BEAT & 7] = busy
        # it will have risen when an order shows; at first reports only fill in
        soon = busy + max(rise, 0.0) * (busy > IDLE and now > self.born + 10 * BEAT)
        sums = [
            u.heard.total(now, 2)
            for u in self.hosts.values()
            if u.mode is EndpointState.IN_SERVICE and not u.sick
        ]
        sums = [row for row in sums if row[0] > row[1]]
        calls = [(sum(self.rates[r.name].values()), r.latency_objective_ticks) for r in self.settings.routes]
        answered, tried = self.answered.total(now, 2, back=1)
        if not sums or tried == 0 or not any(n for n, _ in calls):
            return  # reports have stopped, or not begun: levels stay
        mean = middle([(spent / (tries - errors), tries) for tries, errors, spent in sums])
        good = 1 - middle([(errors / tries, tries) for tries, errors, _ in sums])
        late = mean * sum(n for n, _ in calls) / sum(n * slo for n, slo in calls)
        if max(good, answered / tried) < BARRED and busy < GOOD and late < TIGHT and not self.narrow_until:
            self.go_narrow(now, good, busy)
        good = good if late > TIGHT else 1.0  # drops where what is answered is in time are no overload
        self.stress, self.good = late + 1 - good, min(good, answered / tried)
        was, lag = self.room, min(self.lag + int(mean), 30 * BEAT)
        self.steer(now, lag, late, good, busy, soon)
        if (was < OPEN) != (self.room < OPEN):
            self.runtime.log(f"room {was:.2f} to {self.room:.2f}: {late=:.2f}, {good=:.2f}, {busy=:.2f}")

    def steer(self, now: int, lag: int, late: float, good: float, busy: float, soon: float) -> None:
        """Moves the room, the share of the calls' work that is let in."""
        # what is heard now answers to the levels of a while ago
        then = min(1.0, sum(self.rooms[(now - lag) // BEAT + i & 31] for i in (-1, 0, 1)) / 3)
        # while throttled and cores idle, what is late or dropped is left over from before
        ease = good * min(1.0, TIGHT / late) if soon > IDLE or self.room >= OPEN else 1.0
        full, near = (FULL, SOON) if self.room >= 1 else (GOOD, GOOD)
        if busy > full or soon > near or ease < 1:
            want = then * min(1.0, GOOD / soon) * ease
            self.room = min(self.room, 1.0)
            self.room += min(want - self.room, 0.0) * min(FALL_GAIN * BEAT / lag, 1.0)
        elif soon < LOW and self.room < OPEN:
            self.room += max(then * min(LOW / soon, RISE) - self.room, 0.0) * min(RISE_GAIN * BEAT / lag, 1.0)
        self.room = max(self.room, FLOOR) if self.room < OPEN * 0.97 else OPEN

    def load_of(self, now: int, table: Table) -> float:
        """The share of its hosts' cores in use, as far as reported lately, by weight."""
        ups = [u for u in self.hosts.values() if now - u.busy_at < FRESH and self.open_to(table, u)]
        rows = [(u.busy, u.size * u.factor * max(self.warmth(now, u), FLOOR)) for u in ups]
        unknown = GOOD if self.settings.fleet.load_source is LoadSource.NONE else IDLE
        return max(sum(b * w for b, w in rows) / sum(w for _, w in rows), 0.1) if rows else unknown

    def shares(self) -> list[float]:
        """What the room lets in of each route, the most important for its time first, from a floor up."""
        demand = [
            route.latency_objective_ticks * sum(self.rates[route.name].values())
            for route in self.settings.routes
        ]
        left = (self.room - FLOOR) * sum(demand)
        shares = [FLOOR] * len(demand)
        rows = enumerate(self.settings.routes)
        for k, _ in sorted(rows, key=lambda row: -row[1].priority_weight / row[1].latency_objective_ticks):
            part = min(max(left, 0.0), (1 - FLOOR) * demand[k])
            shares[k] += part / demand[k] if demand[k] else 1.0
            left -= part
        return shares

    def levels(self, table: Table, shares: list[float]) -> dict[int, tuple[int, float]]:
        result = {}
        for k in table.routes:
            share = level = shares[k]
            if (
                self.settings.fleet.admission_unit is AdmissionUnit.REQUESTS_PER_SECOND
            ):  # calls a second at each proxy, small ones first
                rates = list(self.rates[self.settings.routes[k].name].values())
                level = max(cap(rates, share), FLOOR) if share < 0.999 and rates else UNLIMITED
            result[k] = (1 if self.room >= 1 else 0, level)  # a second try is one more call for a full fleet
        return result

    # The beat.

    def timer_due(self, now: int, _: EvaluationDue) -> None:
        self.channel.look(now, 2 * self.settings.rules.drain_grace_ticks)
        self.forget(now)
        self.find_cuts(now)
        self.look(now)
        self.gauge(now)
        self.rooms[now // BEAT & 31] = self.room
        for name, up in self.hosts.items():
            if self.probing and up.mode is EndpointState.IN_SERVICE and now >= up.probe_at:
                self.runtime.check_health(name)
                pause = PROBE_EVERY if up.busy < IDLE else PROBE_EVERY // 2
                up.probe_at = now + int(pause * (0.5 + self.chance()))
        if 0 < self.narrow_until <= now:
            self.runtime.log(f"wide tables: {len(self.proxies)} proxies to bind")
            self.narrow_until, self.groups = 0, {}
            self.joined = dict.fromkeys(self.proxies, (now // SECOND, 0.0, False))
        if now >= self.relist_at:
            self.relist_at = now + self.settings.rules.drain_grace_ticks // REMIND
            self.runtime.fetch_endpoint_list()
        if now >= self.solve_at:
            solved = self.solve(now)
            self.learning = 0 if solved else self.learning
            self.solve_at = now + (SOLVE_EVERY if solved else BEAT)
            if solved or now >= self.news_at:
                self.news, self.news_at = True, now + SOLVE_EVERY
        self.runtime.schedule_evaluation(BEAT)

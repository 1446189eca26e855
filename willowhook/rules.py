"""All decisions of one director: who is bound to what, with which weights, levels and tries.

How to call it: `Director(host, facts, seed, now)`, then one method for each thing that happens, and
`moment_over` after the last of one moment: it gives the orders, through the `Host` of `host.py`.
The design it follows, and where it departs from it, is in docs/design.md.
"""

from __future__ import annotations

import math
import random
from statistics import median

from .host import Facts, Host, Route

SECOND = 10_000  # times are whole tenths of a millisecond
BEAT = 5_000  # between looks at health, ramps and levels
SOLVE_EVERY = 3 * SECOND  # the design's period for weights
DAMPING = 0.5  # of the gap to the target, a step
CLAMP = 2.0  # a target stays within this factor of its base
CHANGE = 0.1  # a weight is sent when it moved by more than this share
ENTRY = 0.5  # of the average weight, for a newly started host
BUCKETS = 4  # of heard time that a judgement rests on
TUNING_RATE = 0.5  # of the channel's rate, the most that weights may use
SICK_SHARE = 0.25  # errors above the fleet's usual share that make a host sick
SICK_SIGMAS = 3.0  # and how sure that has to be
REST = 5 * SECOND  # a sick host's first time out; doubles with each relapse
TRIAL = 0.25  # of its weight, for a host on trial
TRIAL_CALLS = 4  # good answers that end a trial
KEEP = 0.3  # share of the ready hosts that no judgement takes out
TIGHT = 0.45  # latency over SLO time that levels steer to, where it is higher
EASY = 0.4  # latency and drops under which judgements of single hosts need less
CALM = 0.35  # under which a repeatable call may try twice
FULL = 0.93  # of the hosts' cores in use, from which throttling begins
GOOD = 0.88  # what levels fall to
LOW = 0.75  # and what they rise to: between the two they stay
IDLE = 0.65  # of the cores in use, under which late and dropped calls are no sign of overload
SLACK = 1.15  # levels fall under 1 only where demand passes what they steer to by this much
RISE = 2.0  # the most that levels steer over what they were
GAIN, FADE = 0.3, 0.005  # how the best rate answered lately follows a rise, and fades, a beat
DRAIN = 0.6  # of that rate, what is let in at least, so that a backlog drains
GROW = 1.05  # and over it, what is let in at most
CUT = 0.4  # the least that one step steers to, of what levels were
FALL_GAIN, RISE_GAIN = 3.0, 1.5  # of the way there, in the time from an order to what reports show
PROBE_EVERY = 2 * SECOND  # where load is reported only to probes
FRESH = 5 * SECOND  # how long a load report counts
FIRST_CUT = 0.75  # what levels fall to at once: a backlog has built up since what is heard now
NEAR_PRICE = 0.05  # for each call that crosses zones, from which a zone keeps its calls
UNEVEN = 1.25  # near latency over far, from which more leaves a zone than weights say
NEAR_MOST = 0.95  # of its calls, the most that a zone keeps, so that what is far stays known
REPEATS = 0.005  # of the gap, a second, at which rates follow what comes while throttled
OPEN = 1.4  # the share from which nothing is throttled: what was held back may be more than is known
AHEAD = 0.5  # of the lag, how far a rise in load is followed ahead
SOON = 1.1  # over full, by a rise followed ahead, from which throttling begins
FLOOR = 0.1  # least share of a route that is let in
TIMED_OUT = 3  # a probe's outcome
UNLIMITED = 1e6  # calls a second at a proxy: no limit


class Ring:
    """Sums in fixed buckets of time, used again in a ring."""

    def __init__(self, width: int, fields: int) -> None:
        self.width, self.fields = width, fields
        self.stamps = [-1] * BUCKETS
        self.sums = [[0.0] * fields for _ in range(BUCKETS)]

    def add(self, now: int, *values: float) -> None:
        stamp = now // self.width
        k = stamp % BUCKETS
        if self.stamps[k] != stamp:
            self.stamps[k], self.sums[k] = stamp, [0.0] * self.fields
        for i, value in enumerate(values):
            self.sums[k][i] += value

    def total(self, now: int, buckets: int = BUCKETS) -> list[float]:
        oldest = now // self.width - buckets
        rows = [row for stamp, row in zip(self.stamps, self.sums, strict=True) if stamp > oldest]
        return [sum(column) for column in zip(*rows, strict=True)] if rows else [0.0] * self.fields

    def rates(self, now: int) -> list[float]:
        """A second, over the two buckets before this one."""
        stamp = now // self.width
        rows = [row for at, row in zip(self.stamps, self.sums, strict=True) if stamp - 2 <= at < stamp]
        return [sum(row[i] for row in rows) / 2 * SECOND / self.width for i in range(self.fields)]

    def forget(self) -> None:
        self.stamps = [-1] * BUCKETS


class Upstream:
    """A listed host, as this director knows it."""

    def __init__(self, width: int) -> None:
        self.mode, self.started, self.size, self.kind, self.zone = "", 0, 1.0, "", ""
        self.heard = Ring(width, 3)  # tries, errors, time of the answered
        self.factor = 1.0  # what latency has made of its base weight
        self.latency = 0.0  # as last heard, or the median
        self.sick, self.out_until, self.rest = False, 0, REST  # out until then, then on trial
        self.busy, self.busy_at, self.probe_at = 0.0, -1, 0
        self.usual_busy, self.lean = 0.5, 1.0
        self.withdrawn = False  # as ordered


class Table:
    """A shared table: the routes that may use the same hosts."""

    def __init__(self, number: int, routes: list[int], like: Route, zone: str) -> None:
        self.number, self.routes, self.like = number, routes, like
        self.zone = zone  # of its proxies, if it is for one
        self.far, self.push = 1.0, 1.0  # what hosts elsewhere count there, and how much more than weights say
        self.mask = sum(1 << k for k in routes)
        self.sent: dict[str, float] = {}
        self.levels: dict[int, tuple[int, float]] = {}  # by route: tries and level, as ordered
        self.stale = False  # a proxy was bound since the table last went out whole


class Director:
    def __init__(self, host: Host, facts: Facts, seed: int, now: int) -> None:
        self.host, self.facts = host, facts
        self.chance = random.Random(seed).random
        self.width = max(facts.fleet.period, SECOND)
        self.hosts: dict[str, Upstream] = {}
        self.tables: list[Table] = []
        near = facts.fleet.cross_zone_price >= NEAR_PRICE
        groups: dict[tuple[object, ...], list[int]] = {}
        for k, route in enumerate(facts.routes):
            for zone in facts.zones if near or route.own_zone else ("",):
                groups.setdefault((route.kinds, route.zones, route.own_zone, zone), []).append(k)
        for number, (key, routes) in enumerate(groups.items()):
            self.tables.append(Table(number, routes, facts.routes[routes[0]], str(key[-1])))
        self.proxies: dict[int, tuple[str, float]] = {}  # zone, usual calls a second
        self.bound: dict[int, bool] = {}
        self.came = {r.name: Ring(self.width, 1) for r in facts.routes}
        self.rates: dict[str, dict[int, float]] = {r.name: {} for r in facts.routes}  # calls a second
        self.room, self.stress, self.rooms = OPEN, 0.0, [OPEN] * 32  # rooms: by beat, a ring
        self.born = now
        self.loads = [1.0] * 8  # busy, by beat
        self.answered, self.best = Ring(self.width, 2), 0.0  # calls a second, now and at best lately
        self.waiting: dict[int, list[tuple[int, int]]] = {}  # the channel: lines by proxy, not yet confirmed
        self.queue, self.lost = 0, 0.0  # lost: lines to proxies that left, which may still wait
        self.moment: dict[int, int] = {}  # lines by proxy, ordered since the last moment was over
        self.mark, self.tune_after = 0, 0
        most = facts.channel.messages_most  # messages are spaced so that no proxy can get more than its cap
        self.spacing = facts.channel.messages_over // max(most - 1, 1) + 1 if most else 0
        self.send_after = now
        self.listing: dict[str, None] | None = None
        self.listen_at, self.backoff = (now if facts.subscribe else -1), SECOND
        self.solve_at = now + SOLVE_EVERY
        host.after(BEAT, 0)

    # Join, bind, fill, resend, solve, pace: the ordinary path.

    def proxy_joined(self, now: int, proxy: int, zone: str, rate: float, fresh: bool) -> None:
        self.proxies[proxy] = (zone, rate)
        self.bound[proxy] = False
        self.waiting[proxy] = []

    def proxy_left(self, now: int, proxy: int) -> None:
        lines = sum(lines for _, lines in self.waiting.pop(proxy, []))
        self.queue, self.lost = self.queue - lines, self.lost + lines
        for book in self.rates.values():
            book.pop(proxy, None)
        self.proxies.pop(proxy, None)
        self.bound.pop(proxy, None)

    def moment_over(self, now: int) -> None:
        """Gives the orders of this moment: those that keep rules first, then binds, resends, tuning."""
        if 0 <= self.listen_at <= now:
            self.host.watch(True)
            self.listen_at = -1
        if now < self.send_after:
            return
        self.guard(now)
        limit = self.facts.channel.most_waiting / 2
        for proxy, done in list(self.bound.items()):
            cost = sum(2 + len(t.sent) + len(t.levels) for t in self.tables_of(proxy))
            if not done and self.load() + cost < limit:
                for table in self.tables_of(proxy):
                    self.host.bind(proxy, table.number, table.mask)
                    table.stale = True
                self.bound[proxy] = True
                self.charge([proxy], cost)
        if now >= self.tune_after and self.load() < limit / 2:
            before = self.load()
            for table in self.tables:
                if self.load() < limit:
                    self.tune(now, table)
            pace = self.facts.channel.lines_per_s / SECOND * TUNING_RATE
            self.tune_after = now + BEAT + int((self.load() - before) / pace)
        self.send(now)

    def tune(self, now: int, table: Table) -> None:
        """Sends the lines that moved, or all of them where a proxy was bound since."""
        for name, up in self.hosts.items():
            weight, old = self.weight(now, table, up), table.sent.get(name, 0.0)
            if (table.stale and weight) or (weight == 0) != (old == 0) or abs(weight - old) > CHANGE * old:
                self.line(table, name, weight)
        table.stale = False
        for k, (tries, level) in self.levels(table).items():
            before = table.levels.get(k)
            if before is None or before[0] != tries or abs(level - before[1]) > CHANGE / 2 * before[1]:
                self.host.allow(table.number, 1 << k, tries, level)
                table.levels[k] = (tries, level)
                self.charge(self.users(table), 1)

    def users(self, table: Table) -> list[int]:
        return [p for p, done in self.bound.items() if done and table.zone in ("", self.proxies[p][0])]

    def tables_of(self, proxy: int) -> list[Table]:
        return [table for table in self.tables if table.zone in ("", self.proxies[proxy][0])]

    def line(self, table: Table, name: str, weight: float) -> None:
        self.host.line(table.number, name, weight)
        self.charge(self.users(table), 1)
        table.sent.pop(name, None)
        if weight > 0:
            table.sent[name] = weight

    def solve(self, now: int) -> None:
        """A step of every weight towards listed weight x median latency / own latency."""
        latency: dict[str, float] = {}
        for name, up in self.hosts.items():
            tries, errors, spent = up.heard.total(now)
            if up.mode == "in_service" and tries - errors >= 2:
                latency[name] = spent / (tries - errors)
        if not latency:
            return
        middle = median(latency.values())
        for name, up in self.hosts.items():
            target = min(CLAMP, max(1 / CLAMP, middle / latency[name])) if latency.get(name) else 1.0
            up.latency = latency.get(name, middle)
            up.factor += DAMPING * (target - up.factor)
        for table in self.tables:  # the same latency may hide idle cores: under load, weights lean to them
            mean = self.busy(now, table)
            for up in self.hosts.values():
                if self.open_to(table, up) and 0 <= now - up.busy_at < FRESH:
                    lean = up.lean * (mean / max(up.usual_busy, 0.1)) ** 0.3 if mean > IDLE else up.lean**0.5
                    up.lean = min(2.0, max(0.5, lean))
            break
        for table in self.tables:
            self.spill(now, table)

    def spill(self, now: int, table: Table) -> None:
        """Where crossing zones is dear, a zone keeps its calls as far as its part of the weight goes.

        More leave while its hosts answer later than those elsewhere; under overload every host serves all.
        """
        table.far, sums = 1.0, [[0.0, 0.0], [0.0, 0.0]]  # weight, and weight by latency: near, elsewhere
        for up in self.hosts.values():
            side, weight = sums[up.zone != table.zone], self.weight(now, table, up)
            side[0] += weight
            side[1] += weight * up.latency
        (near, near_late), (far, far_late) = sums
        if table.zone and near and far and self.room >= OPEN:
            rates = [rate for _, rate in self.proxies.values()] or [1.0]
            unseen = max(self.facts.fleet.proxies - len(self.proxies), 0) * sum(rates) / len(rates)
            own = sum(rate for zone, rate in self.proxies.values() if zone == table.zone)
            calls = (own + unseen / len(self.facts.zones)) / (sum(rates) + unseen)
            ratio = near_late / near * far / far_late if far_late else 1.0
            table.push = min(20.0, max(1.0, table.push * min(2.0, max(0.7, (ratio / UNEVEN) ** 2))))
            kept = min(NEAR_MOST, near / (near + far) / max(calls, 0.01))
            table.far = min(1.0, table.push * near * (1 - kept) / (kept * far))

    def weight(self, now: int, table: Table, up: Upstream) -> float:
        if not self.open_to(table, up) or (up.sick and now < up.out_until):
            return 0.0
        far = table.far if table.zone and up.zone != table.zone else 1.0
        return up.size * up.factor * up.lean * self.warmth(now, up) * (TRIAL if up.sick else 1.0) * far

    def open_to(self, table: Table, up: Upstream) -> bool:
        like = table.like
        near = up.zone == table.zone or not like.own_zone
        fits = (not like.kinds or up.kind in like.kinds) and (not like.zones or up.zone in like.zones)
        return up.mode == "in_service" and near and fits

    # The channel: lines that no proxy has confirmed yet are taken to wait.

    def load(self) -> float:
        moment = sum(self.moment.values()) + len(self.moment) * (self.facts.channel.head_lines + 1)
        return self.queue + self.lost + moment

    def charge(self, proxies: list[int], lines: int) -> None:
        for proxy in proxies:
            self.moment[proxy] = self.moment.get(proxy, 0) + lines

    def send(self, now: int) -> None:
        """Books the moment's messages, and tags them so that their arrival is known."""
        if not self.moment:
            return
        self.mark = (self.mark + 1) % 65536
        self.host.mark(self.mark, False)
        for proxy, lines in self.moment.items():
            whole = lines + int(self.facts.channel.head_lines) + 1
            self.waiting[proxy].append((self.mark, whole))
            self.queue += whole
        self.moment.clear()
        self.send_after = now + self.spacing

    def mark_answered(self, now: int, proxy: int, number: int, elapsed: int) -> None:
        book = self.waiting.get(proxy, [])
        for i, (mark, _) in enumerate(book):
            if mark == number:
                self.queue -= sum(lines for _, lines in book[: i + 1])
                del book[: i + 1]
                return

    # Rules first: what the list says of draining, gone and new hosts.

    def guard(self, now: int) -> None:
        everyone = list(self.proxies)
        changed = sum(up.withdrawn != (up.mode != "in_service") for up in self.hosts.values())
        most = len(everyone) * (self.facts.channel.head_lines + 1 + changed * (1 + len(self.tables)))
        if changed and self.load() + most > self.facts.channel.most_waiting:
            return
        for name, up in self.hosts.items():
            out = up.mode != "in_service"
            if out != up.withdrawn:
                self.host.withdraw(name, out)
                self.charge(everyone, 1)
                for table in self.tables:
                    if out and name in table.sent:
                        self.line(table, name, 0.0)
            up.withdrawn = out
        for table in self.tables:
            if not table.sent:  # a table is filled before any proxy is bound to it, and never left empty
                self.spill(now, table)
                self.tune(now, table)

    def list_began(self, now: int, whole: bool) -> None:
        self.listing = {} if whole else None
        self.backoff = SECOND

    def host_listed(
        self, now: int, name: str, mode: str, started: int, cell: str, size: float, kind: str, zone: str
    ) -> None:
        if name not in self.hosts:
            self.hosts[name] = Upstream(self.width)
            self.hosts[name].started = started if now - started >= self.facts.rules.cold else 0
        up = self.hosts[name]
        if started != up.started:  # a new process: nothing heard of the old one holds
            up.heard.forget()
            up.factor, up.sick, up.rest = ENTRY, False, REST
        if self.facts.weights in ("nominal", "rough"):
            up.size = size
        up.mode, up.started, up.kind, up.zone = mode, started, kind, zone
        if self.listing is not None:
            self.listing[name] = None

    def list_ended(self, now: int) -> None:
        if self.listing is not None:
            for name, up in self.hosts.items():
                if name not in self.listing:
                    up.mode = "terminated"
        for table in self.tables:  # the last hosts left are used, however they fare
            left = [up for up in self.hosts.values() if self.open_to(table, up)]
            if all(up.sick for up in left):
                for up in left:
                    up.sick = False
        self.tune_after = now

    def list_lost(self, now: int) -> None:
        if self.facts.subscribe:
            self.host.log(f"list lost: asking again within {2 * self.backoff // SECOND} s")
            self.listen_at = now + int(self.backoff * (0.5 + self.chance()))
            self.backoff = min(2 * self.backoff, max(self.facts.rules.ask_every // 3, SECOND))

    # Ramp: a cold host's weight follows what it can do.

    def warmth(self, now: int, up: Upstream) -> float:
        rules = self.facts.rules
        age = now - up.started
        if not up.started or age >= rules.cold:
            return 1.0
        return rules.start_capacity + (1 - rules.start_capacity) * max(age, 0) / rules.cold

    # Health: from the late sums of what the proxies met.

    def hosts_heard(
        self, now: int, name: str, zone: str, tries: int, errors: int, latency: int, window: int,
        load: dict[str, float],
    ) -> None:  # fmt: skip
        up = self.hosts.get(name)
        if up is not None:
            up.heard.add(now, tries, errors, latency * (tries - errors))
            self.answered.add(now, tries - errors, tries)
            self.load_told(now, up, load)

    def load_told(self, now: int, up: Upstream, load: dict[str, float]) -> None:
        if "busy" in load:
            up.busy, up.busy_at = load["busy"], now
            up.usual_busy += 0.2 * (up.busy - up.usual_busy)

    def look(self, now: int) -> None:
        """Takes out the hosts that fail where others do not; gives those that rested a trial."""
        ready = [(n, u) for n, u in self.hosts.items() if u.mode == "in_service"]
        sums = {name: up.heard.total(now) for name, up in ready}
        shares = [e / t for t, e, _ in sums.values() if t >= 3]
        usual = median(shares) if shares else 0.0
        times = [s / (t - e) for t, e, s in sums.values() if t - e >= 2]
        middle = median(times) if times else 0.0
        bar = SICK_SHARE if self.stress < EASY else SICK_SHARE * 2
        for name, up in ready:
            tries, errors, spent = sums[name]
            # a host that answers late and drops the rest is crowded, not sick: its weight falls instead
            crowded = tries - errors >= 2 and spent / (tries - errors) > 1.5 * middle
            share = errors / tries if tries else 0.0
            sure = (share - usual) * math.sqrt(tries) > SICK_SIGMAS * math.sqrt(usual * (1 - usual) + 0.02)
            if up.sick:
                if now < up.out_until:
                    up.heard.forget()
                elif errors >= 2 and share > usual + SICK_SHARE:
                    up.rest = min(2 * up.rest, 4 * REST)
                    up.out_until = now + up.rest
                    self.host.log(f"{name} fails its trial: {errors:.0f} of {tries:.0f} dropped")
                elif tries - errors >= TRIAL_CALLS:
                    up.sick = False
                    self.host.log(f"{name} is back: {errors:.0f} of {tries:.0f} dropped")
            elif errors >= 3 and share > usual + bar and sure and not crowded and self.spared(up):
                up.sick, up.out_until = True, now + up.rest
                self.host.log(f"{name} is out: {errors:.0f} of {tries:.0f} dropped, usual {usual:.2f}")

    def spared(self, up: Upstream) -> bool:
        """Whether every table keeps enough other hosts if this one goes out."""
        for table in self.tables:
            if self.open_to(table, up):
                others = [u for u in self.hosts.values() if u is not up and self.open_to(table, u)]
                if sum(not u.sick for u in others) < max(2, KEEP * (len(others) + 1)):
                    return False
        return True

    # Levels and tries: throttle early under overload, least importance first.

    def calls_came(self, now: int, proxy: int, route: str, calls: int, dropped: int, window: int) -> None:
        if proxy in self.proxies and window > 0:
            self.came[route].add(now, calls)
            rate = calls * SECOND / window
            old = self.rates[route].get(proxy, rate)
            # while throttled, clients that come again swell the count: it is followed slowly
            gain = 0.5 if self.room >= OPEN else REPEATS * window / SECOND
            self.rates[route][proxy] = old + (rate - old) * gain

    def gauge(self, now: int) -> None:
        """One figure of stress: answered calls' latency over their SLO time, and the share dropped."""
        tries = errors = spent = 0.0
        for up in self.hosts.values():
            if not up.sick:
                t, e, s = up.heard.total(now, 2)
                tries, errors, spent = tries + t, errors + e, spent + s
        mix = [(self.came[r.name].total(now)[0], r.slo_time) for r in self.facts.routes]
        calls = sum(n for n, _ in mix)
        if tries - errors < 1 or calls < 1:
            return
        slo = sum(n * aim for n, aim in mix) / calls
        late, good = spent / (tries - errors) / slo, (tries - errors) / tries
        self.stress = late + 1 - good
        busy = max((self.busy(now, table) for table in self.tables), default=GOOD)
        # load that rises will have risen further by the time an order shows
        rise = busy - self.loads[(now // BEAT - 4) & 7]
        self.loads[now // BEAT & 7] = busy
        level = busy
        if busy > IDLE and rise > 0 and now > self.born + 8 * BEAT:  # a first rise tells only of late reports
            busy += rise * self.lag() * AHEAD / (4 * BEAT)
        # what is heard now answers to the levels of a while ago
        lag = min(self.lag() + int(spent / (tries - errors)), (len(self.rooms) - 2) * BEAT)
        ago = [self.rooms[(now - lag) // BEAT + i & 31] for i in (-1, 0, 1)]
        then, pace = min(1.0, sum(ago) / 3), BEAT / lag
        answered, tried = self.answered.rates(now)
        self.best += max((answered - self.best) * GAIN, -self.best * FADE)
        if tried == 0:  # reports have stopped, or not begun: levels stay
            return
        fit = then * self.best / tried  # what would let in as much as was answered
        # while cores idle, what is late or dropped is left over from before
        ease = max(good, CUT) * min(1.0, TIGHT / late) if busy > IDLE else 1.0
        was = self.room
        full, soon = (FULL, FULL * SOON) if self.room >= 1 else (GOOD, GOOD)
        if level > full or busy > soon or ease * SLACK < 1:
            # a backlog must not push levels far under what the fleet can do, unless nothing is in time
            want = max(then * min(1.0, GOOD / busy) * ease, fit * (DRAIN if late < 1 else DRAIN / 2))
            self.room = min(self.room, FIRST_CUT if level > full or ease * SLACK < 1 else 1.0)
            self.room += min(want - self.room, 0.0) * min(FALL_GAIN * pace, 1.0)
        elif busy < LOW and self.room < OPEN:
            want = min(then * min(LOW / busy, RISE), fit * GROW)
            self.room += max(want - self.room, 0.0) * min(RISE_GAIN * pace, 1.0)
        self.room = max(self.room, FLOOR) if self.room < OPEN * 0.97 else OPEN
        if (was < OPEN) != (self.room < OPEN):
            mode = "on" if self.room < OPEN else "off"
            self.host.log(f"throttling {mode}: late {late:.2f}, good {good:.2f}, busy {busy:.2f}")

    def busy(self, now: int, table: Table) -> float:
        """The share of its hosts' cores in use, as far as reported lately, by weight in the table."""
        unknown = GOOD if self.facts.fleet.load_reports == "none" else IDLE
        ups = [u for u in self.hosts.values() if self.open_to(table, u) and not u.sick]
        rows = [(u.size * u.factor, u.busy) for u in ups if 0 <= now - u.busy_at < FRESH]
        return max(sum(w * b for w, b in rows) / sum(w for w, _ in rows), 0.1) if rows else unknown

    def lag(self) -> int:
        """From an order to the reports that show it."""
        return self.facts.channel.late + self.width * 3 // 2 + SECOND

    def levels(self, table: Table) -> dict[int, tuple[int, float]]:
        routes = self.facts.routes
        demand = {r.name: r.slo_time * sum(self.rates[r.name].values()) for r in routes}
        left = self.room * sum(demand.values())
        shares: dict[str, float] = {}
        order = sorted(routes, key=lambda r: -r.importance / r.slo_time)
        for i, route in enumerate(order):
            keep = FLOOR * sum(demand[r.name] for r in order[i + 1 :])
            part = max(FLOOR, (left - keep) / demand[route.name]) if demand[route.name] > 0 else OPEN
            shares[route.name] = part if (part < 1 or route is order[-1]) and self.room < OPEN else OPEN
            left -= min(part, 1.0) * demand[route.name]
        result = {}
        for k in table.routes:
            calm = self.room >= OPEN and self.stress < CALM and routes[k].semantics == "idempotent"
            share, by_rate = shares[routes[k].name], self.facts.fleet.admit == "rps"
            result[k] = (
                2 if calm else 1,
                self.allowance(routes[k].name, share) if by_rate else min(share, 1.0),
            )
        return result

    def allowance(self, route: str, share: float) -> float:
        """Calls a second at each proxy, the same for all, that let in this share of the route's calls."""
        rates = sorted(self.rates[route].values())
        left = share * sum(rates)
        if share >= OPEN or not rates:
            return UNLIMITED
        for i, rate in enumerate(rates):
            if rate * (len(rates) - i) >= left:
                return max(left / (len(rates) - i), 0.1)
            left -= rate
        return max(rates[-1] * share, 0.1)

    # The beat.

    def timer_due(self, now: int, key: int) -> None:
        self.lost = max(0.0, self.lost - self.facts.channel.lines_per_s * TUNING_RATE * BEAT / SECOND)
        self.look(now)
        self.gauge(now)
        self.rooms[now // BEAT & 31] = self.room
        if self.facts.probes and self.facts.fleet.load_reports == "probe":
            for name, up in self.hosts.items():
                if up.mode == "in_service" and now >= up.probe_at:
                    self.host.probe(name)
                    pause = PROBE_EVERY if up.busy < IDLE else PROBE_EVERY // 2
                    up.probe_at = now + int(pause * (0.5 + self.chance()))
        if now >= self.solve_at:
            self.solve_at = now + SOLVE_EVERY
            self.solve(now)
        self.host.after(BEAT, 0)

    def probe_done(self, now: int, name: str, outcome: int, elapsed: int, load: dict[str, float]) -> None:
        if name in self.hosts:
            # a probe that waits in line with the calls and times out tells of a full host
            self.load_told(now, self.hosts[name], {"busy": 1.0} if outcome == TIMED_OUT else load)

    def peer_told(self, now: int, peer: int, data: bytes) -> None:
        """Directors do not coordinate: what a peer says changes nothing."""

    def slice_given(self, now: int, table: int, given: bool) -> None:
        """Deployments with slices are not served."""

    def slice_line(self, now: int, table: int, name: str, weight: float) -> None:
        """Deployments with slices are not served."""

    def slice_calls_came(self, now: int, table: int, route: str, calls: int, dropped: int, span: int) -> None:
        """Deployments with slices are not served."""

"""Judges a candidate by its effect on the world that it will meet.

One method a check.  Each looks at the tables of one proxy, as they would be, beside what all others
hold.  The worst finding is the verdict; withdrawals of hosts that drain, and the last hosts there are,
pass whatever is found.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from .verdict import HELD, PASSED, REFUSED, SPLIT, Finding, Step, Verdict
from .world import OPEN, HostFacts, Shares, Tables, World

SCALE = 10_000  # a weight of 1 as the whole number that is published
LEAST_TRIES, MOST_TRIES = 0, 3
ROUND_PART = 0.25  # by how much a share may change when weights become whole numbers
MOST_RATIO = 1e6  # of the largest to the smallest weight in one table

# Which way a check fails that breaks itself.  Closed where the last tables, which passed, are safe to go on
# with; open where a refusal could keep back a rescue, or costs more than what it guards against.
FAILS_CLOSED = {
    "tries": True,  # a wrong order to try again may have an effect twice, and cannot be taken back
    "weights": True,  # what cannot be written down cannot be sent
    "version": True,  # a version that goes back is refused by the proxy anyway
    "cold": True,  # a host without a line is not pushed over
    "known": True,  # a line for a host that nobody knows brings nothing
    "places": True,  # a host that may not serve a route gets none of its calls
    "empty": False,  # the table may be the rescue
    "drained": False,  # the table may carry the withdrawal
    "capacity": False,  # overload throttles; a refusal could leave a dead host's calls where they are
    "swing": False,  # the same
    "queue": False,  # the channel measures its limit itself
}


OF_CONTENT = ("weights", "known", "places", "tries")  # the same for all proxies of a zone


@dataclass(frozen=True, slots=True)
class Candidate:
    proxy: object
    tables: Tables
    version: tuple[int, int, int]
    lines: int = 0  # what it costs in the channel
    queued: bool = False  # its lines wait already


class Guard:
    """`shadow`: what would be refused passes, marked as such."""

    def __init__(self, world: World, shadow: bool = False) -> None:
        self.world, self.shadow = world, shadow
        self._rises: dict[str, float] = {}  # of the candidate that is judged
        self._fine: dict[tuple[object, object], int] = {}  # contents and zone: found fine under which listing
        self.checks: dict[str, Callable[[int, Candidate, Shares, Verdict], None]] = {
            "version": self.check_version,
            "weights": self.check_weights,
            "known": self.check_known,
            "places": self.check_places,
            "tries": self.check_tries,
            "drained": self.check_drained,
            "empty": self.check_empty,
            "cold": self.check_cold,
            "capacity": self.check_capacity,
            "swing": self.check_swing,
            "queue": self.check_queue,
        }

    def judge(self, now: int, candidate: Candidate) -> Verdict:
        """Never raises: a check that breaks fails in its stated direction, and is told of."""
        verdict = Verdict()
        try:
            shares = self._shares(candidate.tables)
            whole = candidate.proxy in self.world.proxies and len(shares.by_route) == len(
                self.world.terms.routes
            )
            self._rises = self.world.rises(candidate.proxy, shares) if whole else {}
        except Exception as fault:
            verdict.add(Finding("shares", REFUSED, 0, f"cannot be worked out: {fault!r}", "mend the tables"))
            return verdict
        zone = self.world.proxies[candidate.proxy].zone if candidate.proxy in self.world.proxies else ""
        content = (candidate.tables.key, zone)
        fine = candidate.tables.key is not None and self._fine.get(content) == self.world.listing
        for name, check in self.checks.items():
            if fine and name in OF_CONTENT:
                continue  # the same tables were looked at for another proxy
            try:
                check(now, candidate, shares, verdict)
            except Exception as fault:
                closed = FAILS_CLOSED[name]
                way = "closed" if closed else "open"
                verdict.faults.append(f"check {name} broke and fails {way}: {fault!r}")
                if closed:
                    verdict.add(
                        Finding(name, REFUSED, 0, "the check itself broke", "report it with the record")
                    )
        if verdict.what == PASSED and not verdict.faults and candidate.tables.key is not None:
            if len(self._fine) > 1000:
                self._fine.clear()
            self._fine[content] = self.world.listing
        if verdict.what != PASSED:
            self._rescue(now, candidate, verdict)
        if self.shadow and verdict.what != PASSED:
            verdict.rescue = verdict.rescue or f"shadow: it would be {verdict.what}"
            verdict.what = PASSED
        return verdict

    def _shares(self, tables: Tables) -> Shares:
        known = self.world.contents.get(tables.key) if tables.key is not None else None
        return known or Shares(tables)

    def _rescue(self, now: int, candidate: Candidate, verdict: Verdict) -> None:
        """What only takes away, or is the best that there is, is never in the way."""
        bad = [finding for finding in verdict.findings if finding.verdict != PASSED]
        if any(finding.check in ("tries", "weights", "version", "shares") for finding in bad):
            return
        facts = self.world.proxies.get(candidate.proxy)
        last = self.world.contents[facts.held[-1]].tables if facts is not None and facts.held else None
        if last is not None and last.lines == candidate.tables.lines and last.tries == candidate.tables.tries:
            more = candidate.tables.withdrawn - last.withdrawn
            back = last.withdrawn - candidate.tables.withdrawn
            due = [self.world.hosts.get(name) for name in sorted(more)]
            if more and not back and all(host is None or host.mode != OPEN for host in due):
                verdict.what, verdict.rescue = PASSED, "it only withdraws hosts that drain or are gone"
                return
        still = [host for host in self.world.hosts.values() if host.mode == OPEN]
        if all(finding.check == "cold" for finding in bad) and all(
            self.world.warmth(now, h) < 1 for h in still
        ):
            verdict.what, verdict.rescue = PASSED, "cold hosts are all there are"
        elif not still:
            verdict.what, verdict.rescue = (
                PASSED,
                "no host is open: every choice is bad, and this one is taken",
            )

    def route(self, k: int) -> str:
        return self.world.terms.routes[k].name

    # Form.

    def check_version(self, now: int, candidate: Candidate, shares: Shares, verdict: Verdict) -> None:
        facts = self.world.proxies.get(candidate.proxy)
        if facts is None:
            verdict.add(Finding("version", REFUSED, 0, "the proxy has not joined", "wait until it has"))
        elif candidate.version <= facts.newest:
            told, had = ".".join(map(str, candidate.version)), ".".join(map(str, facts.newest))
            verdict.add(
                Finding("version", REFUSED, 0, f"{told} goes back, {had} was sent", f"go on above {had}")
            )

    def check_weights(self, now: int, candidate: Candidate, shares: Shares, verdict: Verdict) -> None:
        seen: dict[int, None] = {}
        for k, lines in enumerate(candidate.tables.lines):
            if id(lines) in seen:
                continue
            seen[id(lines)] = None
            for host, weight in lines.items():
                if not (math.isfinite(weight) and weight > 0):
                    text = f"the weight is {weight}"
                    verdict.add(Finding("weights", REFUSED, 0, text, "a weight above 0", self.route(k), host))
                    return
            if not lines:
                continue
            least, most = min(lines.values()), max(lines.values())
            if most / least > MOST_RATIO or most * SCALE > 2**32 / 4096:
                text = f"weights from {least:g} to {most:g}"
                mend = f"keep them within {MOST_RATIO:g} of each other"
                verdict.add(
                    Finding("weights", REFUSED, 0, text, mend, self.route(k), "", most / least, MOST_RATIO)
                )
                continue
            total = sum(lines.values())
            whole = {host: max(round(weight * SCALE), 1) for host, weight in lines.items()}
            sum_whole = sum(whole.values())
            for host, weight in lines.items():
                was, becomes = weight / total, whole[host] / sum_whole
                if abs(becomes - was) > ROUND_PART * was and abs(becomes - was) > 0.001:
                    text = f"its share is {was:.2%}, but {becomes:.2%} as whole numbers"
                    mend = f"scale all weights up by {1 / (least * SCALE):.0f} or more"
                    verdict.add(Finding("weights", REFUSED, 0, text, mend, self.route(k), host, becomes, was))
                    break
        for k, level in enumerate(candidate.tables.levels):
            if math.isnan(level) or level < 0:
                text = f"the level is {level}"
                verdict.add(Finding("weights", REFUSED, 0, text, "a level of 0 or more", self.route(k)))
        if len(candidate.tables.lines) != len(self.world.terms.routes):
            text = f"{len(candidate.tables.lines)} routes of {len(self.world.terms.routes)}"
            verdict.add(Finding("weights", REFUSED, 1, text, "name a table for every route"))

    def check_known(self, now: int, candidate: Candidate, shares: Shares, verdict: Verdict) -> None:
        for host in shares.hosts:
            facts = self.world.hosts.get(host)
            if facts is None:
                verdict.add(Finding("known", REFUSED, 0, "no list names it", "take it out", "", host))
            elif not facts.address:
                verdict.add(Finding("known", REFUSED, 0, "it has no address", "take it out", "", host))

    def check_places(self, now: int, candidate: Candidate, shares: Shares, verdict: Verdict) -> None:
        facts = self.world.proxies.get(candidate.proxy)
        zone = facts.zone if facts is not None else ""
        for k, row in enumerate(shares.by_route):
            told = self.world.terms.routes[k]
            if not (told.own_zone or told.zones or told.kinds):
                continue
            for name in row:
                host = self.world.hosts.get(name)
                if host is not None and not self.world.fits(k, host, zone):
                    text = f"it is {host.kind or 'of no kind'} in {host.zone}, which may not serve this route"
                    verdict.add(Finding("places", REFUSED, 0, text, "take it out", self.route(k), name))

    # Rule 2.

    def check_tries(self, now: int, candidate: Candidate, shares: Shares, verdict: Verdict) -> None:
        for k, tries in enumerate(candidate.tables.tries):
            semantics = self.world.terms.routes[k].semantics
            if not LEAST_TRIES <= tries <= MOST_TRIES:
                text = f"tries {tries} is no order"
                verdict.add(Finding("tries", REFUSED, 2, text, "0 to 3", self.route(k)))
            elif tries > 1 and semantics != "idempotent":
                text = f"tries {tries} after any failure, and calls are {semantics}"
                verdict.add(Finding("tries", REFUSED, 2, text, "1 at the most", self.route(k), "", tries, 1))

    # Rule 3.

    def check_drained(self, now: int, candidate: Candidate, shares: Shares, verdict: Verdict) -> None:
        for name in self.world.shut:
            if name not in shares.hosts:
                continue
            host = self.world.hosts[name]
            if now >= host.since + self.world.terms.grace:
                past = now - host.since
                text = f"it is {host.mode} since {past}, the grace is {self.world.terms.grace}"
                limit = self.world.terms.grace
                verdict.add(Finding("drained", REFUSED, 3, text, "withdraw it", "", name, past, limit))

    # Rule 1.

    def check_empty(self, now: int, candidate: Candidate, shares: Shares, verdict: Verdict) -> None:
        """A route must be left with an open warm host, now and when what drains has gone."""
        facts = self.world.proxies.get(candidate.proxy)
        zone = facts.zone if facts is not None else ""
        for k, row in enumerate(shares.by_route):
            hosts, warm = self.world.hosts, self.world.warmth
            if any(
                name in hosts and hosts[name].mode == OPEN and warm(now, hosts[name]) >= 1 for name in row
            ):
                continue  # most often the first
            left = [hosts[name] for name in row if name in hosts]
            still = [host for host in left if host.mode == OPEN]
            better = self._warm(now, k, zone)
            if not better:
                continue  # there is nothing warm that it could name
            if still:
                text = f"all {len(still)} hosts that are left when drains complete are cold"
            elif left:
                text = f"all {len(left)} hosts drain or are gone"
            else:
                text = "no line is left"
            mend = f"add a warm host, such as {better[0].name}"
            verdict.add(Finding("empty", REFUSED, 1, text, mend, self.route(k), "", len(still), 1))

    def _warm(self, now: int, route: int, zone: str) -> list[HostFacts]:
        found = []
        for host in self.world.hosts.values():
            if host.mode == OPEN and host.address and self.world.fits(route, host, zone):
                if self.world.warmth(now, host) >= 1:
                    return [host]
                found.append(host)
        return []

    # Rule 4.

    def usual_load(self) -> float:
        """The calls a second that one open host of size 1 has when all is even."""
        return sum(self.world.total) * self.world.others() / max(self.world.open_size, 1e-9)

    def budget(self, now: int, host: HostFacts) -> float:
        """What all proxies together may send a cold host, in calls a second, by the stated ramp."""
        terms = self.world.terms
        return (
            terms.cold_part
            * terms.fall_multiple
            * self.world.warmth(now, host)
            * host.size
            * self.usual_load()
        )

    def check_cold(self, now: int, candidate: Candidate, shares: Shares, verdict: Verdict) -> None:
        for host in self.world.cold(now):
            name = host.name
            if name not in self._rises:
                continue  # no more than before: what takes away is never in the way
            others = self.world.others()
            before = self.world.exposure(name)
            after = before + self._rises[name]
            calls, budget = after * others, self.budget(now, host)
            if calls <= budget or budget <= 0 or after <= before * (1 + 1e-9):
                continue
            terms = self.world.terms
            need = calls / budget * self.world.warmth(now, host)
            text = f"{calls:.1f} calls/s may come, {budget:.1f} are allowed while it is cold"
            own = self._own(candidate.proxy, shares, name)
            part = max(0.0, (budget / others - (after - own)) / own) if own else 0.0
            if need <= 1:
                until = host.started + round(
                    (need - terms.start_capacity) / (1 - terms.start_capacity) * terms.cold
                )
                mend = f"{part:.0%} of its share now, or all of it from {until}"
                verdict.add(Finding("cold", SPLIT, 4, text, mend, "", name, calls, budget, max(until, now)))
                verdict.steps += self._ramp(now, candidate, name, part, max(until, now))
            else:
                mend = f"{part:.0%} of its share"
                verdict.add(Finding("cold", REFUSED, 4, text, mend, "", name, calls, budget))

    def _own(self, proxy: object, shares: Shares, name: str) -> float:
        """The calls a second that these tables send there from this proxy."""
        rates = self.world.proxies[proxy].rates
        return sum(rate * shares.by_route[k].get(name, 0.0) for k, rate in enumerate(rates))

    @staticmethod
    def _ramp(now: int, candidate: Candidate, host: str, part: float, until: int) -> list[Step]:
        """First with the weight cut so that its share is within the budget, then whole."""
        first = []
        for lines in candidate.tables.lines:
            rest = sum(weight for name, weight in lines.items() if name != host)
            weight = lines.get(host, 0.0)
            total = rest + weight
            share = weight / total * part * 0.95 if total else 0.0
            cut = {**lines, host: share * rest / (1 - share)} if weight and rest else dict(lines)
            first.append({name: w for name, w in cut.items() if w > 0})
        return [
            Step(now, tuple(first), f"{host} at {part:.0%} of its weight"),
            Step(until, tuple(dict(lines) for lines in candidate.tables.lines), "the whole table"),
        ]

    # Load.

    def check_capacity(self, now: int, candidate: Candidate, shares: Shares, verdict: Verdict) -> None:
        terms = self.world.terms
        if not terms.capacity or candidate.proxy not in self.world.proxies:
            return
        for name, more in self._rises.items():
            host = self.world.hosts.get(name)
            able = terms.capacity.get(host.kind, 0.0) if host is not None else 0.0
            if host is None or not able:
                continue
            able *= self.world.warmth(now, host) * terms.most_of_capacity
            before = self.world.exposure(name) + self.world.elsewhere(host)
            calls = before + more
            if calls > able and calls > before * 1.02:
                text = f"{calls:.1f} calls/s may come, it can do {able:.1f}"
                mend = f"{able / calls:.0%} of its weight"
                verdict.add(Finding("capacity", REFUSED, 0, text, mend, "", name, calls, able))

    def check_swing(self, now: int, candidate: Candidate, shares: Shares, verdict: Verdict) -> None:
        """No host is given many times its part of all calls while others that could share are open."""
        usual, load = self.usual_load(), self.world.load
        if usual <= 0:
            return
        part = self.world.terms.swing * usual
        for name, more in self._rises.items():
            host = self.world.hosts.get(name)
            before = load.get(name, 0.0)
            if host is None or before + more <= part * host.size / 2 or more <= before * 0.02:
                continue
            calls, limit = before + more + self.world.elsewhere(host), part * host.size
            if calls <= limit or self._alone(candidate.proxy, shares, name, before, usual * host.size):
                continue
            count = len(self.world.hosts) - len(self.world.shut)
            whole = sum(self.world.total) * self.world.others()
            text = f"{calls:.1f} of {whole:.1f} calls/s may come"
            mend = f"spread them: {count} hosts are open"
            verdict.add(Finding("swing", REFUSED, 0, text, mend, "", name, calls, limit))

    def _alone(self, proxy: object, shares: Shares, name: str, before: float, even: float) -> bool:
        """Whether one busy proxy spreads its calls over the few hosts it has: what came before is no more
        than an even part, and the host gets at most twice its part of the proxy's own calls.
        """
        if before > even or len(self.world.proxies) < 2:
            return False
        own = sum(self.world.proxies[proxy].rates)
        widest = max(len(row) for row in shares.by_route if name in row)
        return widest > 1 and self._own(proxy, shares, name) <= 2 * own / widest

    # Rule 5.

    def check_queue(self, now: int, candidate: Candidate, shares: Shares, verdict: Verdict) -> None:
        terms = self.world.terms
        waiting = self.world.waiting_now(now) + (0 if candidate.queued else candidate.lines)
        if waiting > terms.most_waiting:
            until = now + math.ceil((waiting - terms.most_waiting) / terms.lines_per_tick)
            text = f"{waiting:.0f} lines would wait, {terms.most_waiting:.0f} may"
            mend = f"send it from {until}"
            most = terms.most_waiting
            verdict.add(Finding("queue", HELD, 5, text, mend, "", "", waiting, most, until))
        facts = self.world.proxies.get(candidate.proxy)
        if facts is None or not terms.messages_most:
            return
        lately = [at for at in facts.sent_at if at > now - terms.messages_over]
        if len(lately) >= terms.messages_most:
            until = lately[-terms.messages_most] + terms.messages_over
            text = f"{len(lately)} messages went to this proxy of late, {terms.messages_most} may"
            mend = f"send it from {until}"
            verdict.add(
                Finding("queue", HELD, 5, text, mend, "", "", len(lately), terms.messages_most, until)
            )

"""The versioned core, beliefs, desks and the staged roll-out: against plain models, in any order."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from willowhook.ticks import TICKS_PER_SECOND
from willowhook.versions.core import Core, Part, Resource, first_era, next_era, read_version
from willowhook.versions.desk import CLUSTERS, KINDS, ROUTES, TABLES, Answer, Ask, Desk
from willowhook.versions.rollout import BACK, GO, Rollout, RolloutTerms


def uses(row: Resource) -> tuple[str, ...]:
    """Bodies of these tests: names of what is used, after a colon."""
    text = row.body.decode().partition(":")[2]
    return tuple(text.split(",")) if text else ()


def drained(row: Resource, out: frozenset[str]) -> bytes:
    return row.body


class Ear:
    def __init__(self) -> None:
        self.done: list[int] = []
        self.no: list[tuple[str, str]] = []
        self.beliefs: dict[str, tuple[str, str]] = {}

    def applied(self, proxy: int, number: int) -> None:
        self.done.append(number)

    def refused(self, proxy: int, row: Resource, error: str) -> None:
        self.no.append((row.name, row.version))

    def taken(self, proxy: int, part: Part) -> None:
        """Nobody counts here."""

    def believes(self, proxy: int, kind: str, version: str, state: str) -> None:
        self.beliefs[kind] = (version, state)


class Proxy:
    """A plain reading of the protocol's other side: it holds what it was told last, and refuses older."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[str, tuple[str, bytes]]] = {kind: {} for kind in KINDS}
        self.version = dict.fromkeys(KINDS, "")

    def holds(self, kind: str) -> dict[str, str]:
        return {name: version for name, (version, _) in self.rows[kind].items()}

    def apply(self, kind: str, answer: Answer) -> None:
        new = read_version(answer.part.version)
        old = read_version(self.version[kind])
        if answer.delta is None:
            assert new is not None and (old is None or new >= old), f"{old} goes back to {new}"
            self.rows[kind] = {n: (r.version, r.body) for n, r in answer.part.rows.items()}
        else:
            for row in answer.delta.changed:
                had = self.rows[kind].get(row.name)
                older = read_version(had[0]) if had else None
                now = read_version(row.version)
                assert now is not None and (older is None or now > older), f"{row.name} goes back"
                self.rows[kind][row.name] = (row.version, row.body)
            for name in answer.delta.removed:
                self.rows[kind].pop(name, None)
        self.version[kind] = answer.part.version
        self.whole()

    def whole(self) -> None:
        """Whatever its routes lead to is there: make before break."""
        for _, routes in self.rows[ROUTES].values():
            for cluster in routes.decode().partition(":")[2].split(","):
                assert cluster in self.rows[CLUSTERS], f"no cluster {cluster}"
                table = self.rows[CLUSTERS][cluster][1].decode().partition(":")[2]
                assert table in self.rows[TABLES], f"no table {table}"


def content(core: Core, desk: Desk, tables: list[int], weight: int) -> dict[str, Part]:
    rows = {
        TABLES: [(f"t{n}", b"w%d" % weight) for n in tables],
        CLUSTERS: [(f"c{n}", b"x:t%d" % n) for n in tables],
        ROUTES: [("calls", b"r%d:" % (weight // 3) + ",".join(f"c{n}" for n in tables).encode())],
    }
    return {kind: core.part(kind, each, desk.last(kind)) for kind, each in rows.items()}


def test_parts_are_shared_and_content_that_comes_back_is_newer() -> None:
    core = Core(first_era(3, 7))
    one = core.part(TABLES, [("a", b"1"), ("b", b"2")])
    assert core.part(TABLES, [("a", b"1"), ("b", b"2")]) is one
    two = core.part(TABLES, [("a", b"1"), ("b", b"3")], one)
    assert two.rows["a"] is one.rows["a"] and two.at > one.at
    back = core.part(TABLES, [("a", b"1"), ("b", b"2")], two)
    assert back.at > two.at and back.rows["b"].at > two.rows["b"].at and back.rows["a"] is one.rows["a"]
    assert core.part(TABLES, [("a", b"1"), ("b", b"2")], two) is back  # the next that goes the same way
    delta = core.delta(one, two)
    assert [row.name for row in delta.changed] == ["b"] and core.delta(one, two) is delta
    assert core.delta({"a": one.rows["a"].version, "z": "1.1"}, one).removed == ("z",)
    version = one.version
    assert core.find(TABLES, version) is one
    assert next_era(first_era(9, 1), core.era) > first_era(9, 1 << 19)


@pytest.mark.parametrize("text", ["", "1", "1.", ".1", "a.b", "1.2.3", "-1.2", "1." + "9" * 60, "1.²"])
def test_what_is_no_version_is_told_from_one(text: str) -> None:
    assert read_version(text) is None


class Talk(RuleBasedStateMachine):
    """One proxy and one desk: answers come, are lost, doubled, refused; both sides restart."""

    def __init__(self) -> None:
        super().__init__()
        self.core, self.ear = Core(first_era(1, 5)), Ear()
        self.proxy = Proxy()
        self.weight, self.salt = 0, 5
        self.lives = 1
        self.fresh()

    def fresh(self) -> None:
        """A new stay: the desk is new, and the proxy tells what it holds on its first calls."""
        held = {kind: [(n, body) for n, (_, body) in rows.items()] for kind, rows in self.proxy.rows.items()}
        self.desk = Desk(1, self.core, self.ear, uses, drained, held)
        self.first = dict.fromkeys(KINDS, True)
        self.flying: dict[str, list[Answer]] = {kind: [] for kind in KINDS}
        self.nonce = dict.fromkeys(KINDS, "")
        self.number = 0
        self.refused: dict[str, None] = {}

    @rule(tables=st.lists(st.integers(0, 3), min_size=1, max_size=3, unique=True), step=st.integers(0, 2))
    def order(self, tables: list[int], step: int) -> None:
        self.weight += step
        self.number += 1
        self.desk.want(self.number, content(self.core, self.desk, tables, self.weight), frozenset())

    def call(self, kind: str, whole: bool, error: str = "") -> None:
        first, self.first[kind] = self.first[kind], False
        ask = Ask(
            kind, whole, first, self.proxy.version[kind] if whole else "",
            self.proxy.holds(kind) if first and not whole else None, self.nonce[kind], error,
        )  # fmt: skip
        answer = self.desk.ask(ask)
        self.nonce[kind] = ""
        if answer is not None:
            self.desk.leaves(kind, answer)
            self.flying[kind] = [answer]  # it listens to the answer of its newest call alone

    @rule(kind=st.sampled_from(KINDS), whole=st.booleans())
    def ask(self, kind: str, whole: bool) -> None:
        self.call(kind, whole)

    @rule(kind=st.sampled_from(KINDS), whole=st.booleans())
    def comes(self, kind: str, whole: bool) -> None:
        """An answer arrives, is applied, and its acknowledgement is the next call."""
        if self.flying[kind]:
            answer = self.flying[kind].pop()
            self.proxy.apply(kind, answer)
            self.nonce[kind] = answer.nonce
            self.call(kind, whole)

    @rule(kind=st.sampled_from(KINDS))
    def is_refused(self, kind: str) -> None:
        if self.flying[kind]:
            answer = self.flying[kind].pop()
            assert kind != ROUTES or answer.part.rows, "an empty set of routes"
            if kind == CLUSTERS:  # whatever is tried one by one, what its routes lead to stays
                for _, routes in self.proxy.rows[ROUTES].values():
                    assert set(routes.decode().partition(":")[2].split(",")) <= set(answer.part.rows)
            self.nonce[kind] = answer.nonce
            self.call(kind, answer.delta is None, "no")

    @rule(kind=st.sampled_from(KINDS), arrived=st.booleans())
    def connection_lost(self, kind: str, arrived: bool) -> None:
        if self.flying[kind]:
            answer = self.flying[kind].pop()
            if arrived:
                self.proxy.apply(kind, answer)
        self.nonce[kind] = ""
        self.desk.lost(kind)
        self.first[kind] = True

    @rule(kind=st.sampled_from(KINDS))
    def an_old_acknowledgement_comes_twice(self, kind: str) -> None:
        before = self.desk.beliefs[kind].known
        for nonce in ("7.7", "0-7.7", before.version if before is not None else "x"):
            self.desk.beliefs[kind].acknowledged(nonce)
        assert self.desk.beliefs[kind].known is before

    @rule()
    def proxy_restarts(self) -> None:
        """It comes back with what it acknowledged last, in a new stay."""
        self.fresh()

    @rule(wiped=st.booleans())
    def director_restarts(self, wiped: bool) -> None:
        """With nothing in memory; with its count of lives, or without."""
        self.lives = 1 if wiped else self.lives + 1
        self.salt = (self.salt * 7919 + 17) % (1 << 20)
        self.core = Core(first_era(self.lives, self.salt))
        self.fresh()

    @invariant()
    def belief_is_true_or_uncertain(self) -> None:
        for kind in KINDS:
            belief = self.desk.beliefs[kind]
            if belief.runs() and not self.flying[kind] and not self.first[kind]:
                told = belief.known
                assert told is not None
                held = {name: body for name, (_, body) in self.proxy.rows[kind].items()}
                assert {n: row.body for n, row in told.rows.items()} == held

    @precondition(lambda self: self.number > 0)
    @rule(whole=st.booleans())
    def all_settles(self, whole: bool) -> None:
        """Left alone, a proxy that refuses nothing ends with just what is wanted of it."""
        bad = {kind: dict(self.desk.beliefs[kind].refused) for kind in KINDS}
        for _ in range(30):
            quiet = not any(self.flying.values())
            for kind in KINDS:
                self.comes(kind, whole)
                if not self.flying[kind]:
                    self.call(kind, whole)
                quiet = quiet and not self.flying[kind]
            if quiet:
                break
        else:
            raise AssertionError("answers without end")
        if any(bad.values()) or any(self.desk._suspects.values()):
            return
        for kind in KINDS:
            wanted = self.desk._wanted[kind]
            held = {name: body for name, (_, body) in self.proxy.rows[kind].items()}
            assert held == {name: row.body for name, row in wanted.rows.items()}
        assert not self.desk._numbers  # the newest message is known to be applied


TestTalk = Talk.TestCase
TestTalk.settings = settings(derandomize=True, max_examples=150, stateful_step_count=40, deadline=None)


def joined(tables: list[int]) -> tuple[Core, Ear, Desk, Proxy]:
    core, ear = Core(first_era(1, 1)), Ear()
    desk = Desk(1, core, ear, uses, drained, {})
    desk.want(1, content(core, desk, tables, 0), frozenset())
    return core, ear, desk, Proxy()


def settle(desk: Desk, proxy: Proxy, bad: str = "") -> int:
    """Calls until nothing is new; answers that bring `bad` are refused.  Gives how many were."""
    no = 0
    for _ in range(40):
        quiet = True
        for kind in KINDS:
            answer = desk.ask(Ask(kind, False))
            while answer is not None:
                quiet = False
                desk.leaves(kind, answer)
                if any(row.body.decode() == bad for row in answer.delta.changed if answer.delta):  # type: ignore[union-attr]
                    no += 1
                    answer = desk.ask(Ask(kind, False, nonce=answer.nonce, error="bad weights"))
                else:
                    proxy.apply(kind, answer)
                    answer = desk.ask(Ask(kind, False, nonce=answer.nonce))
        if quiet:
            return no
    raise AssertionError("answers without end")


def test_of_several_refused_together_the_bad_one_is_found_and_never_sent_again() -> None:
    core, ear, desk, proxy = joined([1, 2, 3])
    settle(desk, proxy)
    assert ear.done == [1] and ear.beliefs[TABLES][1] == "acknowledged"
    rows = [("t1", b"w5"), ("t2", b"bad"), ("t3", b"w5")]
    desk.want(2, {TABLES: core.part(TABLES, rows, desk.last(TABLES))}, frozenset())
    assert settle(desk, proxy, "bad") == 2  # once with the others, once alone
    assert [name for name, _ in ear.no] == ["t2"] and ear.beliefs[TABLES][1] == "refused"
    assert {n: body for n, (_, body) in proxy.rows[TABLES].items()} == {"t1": b"w5", "t2": b"w0", "t3": b"w5"}
    assert settle(desk, proxy, "bad") == 0 and ear.done == [1]
    assert desk.states()[TABLES][2] == {"t1": "bad weights", "t2": "bad weights", "t3": "bad weights"}
    rows[1] = ("t2", b"good")
    desk.want(3, {TABLES: core.part(TABLES, rows, desk.last(TABLES))}, frozenset())
    assert settle(desk, proxy, "bad") == 0 and ear.done == [1, 3] and not desk.beliefs[TABLES].refused
    assert desk.beliefs[TABLES].state == "acknowledged"


@pytest.mark.parametrize("whole", [False, True])
def test_a_proxy_that_refuses_everything_is_not_asked_without_end(whole: bool) -> None:
    """Also where an answer only takes away: seen in a trial, 478 times in 8 s."""
    core, ear = Core(first_era(1, 1)), Ear()
    rows = {TABLES: [("old", b"w")], CLUSTERS: [("c", b"x:old")], ROUTES: [("calls", b"r:c")]}
    desk, proxy = Desk(1, core, ear, uses, drained, rows), Proxy()
    answers = 0
    for number, tables in ((2, [1]), (3, [3]), (4, [1, 2, 4])):
        desk.want(number, content(core, desk, tables, number), frozenset())
        for _ in range(20):
            for kind in KINDS:
                answer = desk.ask(Ask(kind, whole))
                while answer is not None:
                    answers += 1
                    assert answers < 60, (kind, answer.part.versions(), desk._suspects, desk._kept)
                    desk.leaves(kind, answer)
                    answer = desk.ask(Ask(kind, whole, nonce=answer.nonce, error="no"))
    assert 3 <= answers <= 30, answers
    proxy.rows = {kind: {name: ("", body) for name, body in each} for kind, each in rows.items()}
    desk.want(5, content(core, desk, [5], 99), frozenset())
    settle(desk, proxy)
    assert ear.done[-1] == 5


def test_a_resource_that_is_taken_away_while_refused_is_forgotten() -> None:
    core, ear, desk, proxy = joined([1, 2])
    settle(desk, proxy)
    rows = [("t1", b"w0"), ("t2", b"w0"), ("t9", b"bad")]
    desk.want(2, {TABLES: core.part(TABLES, rows, desk.last(TABLES))}, frozenset())
    assert settle(desk, proxy, "bad") == 1 and "t9" not in proxy.rows[TABLES]
    desk.want(3, {TABLES: core.part(TABLES, rows[:2], desk.last(TABLES))}, frozenset())
    assert settle(desk, proxy) == 0 and ear.done[-1] == 3 and not desk.beliefs[TABLES].refused


def test_routes_that_were_stopped_go_back_to_those_before() -> None:
    core, ear, desk, proxy = joined([1])
    settle(desk, proxy)
    good = proxy.rows[ROUTES]["calls"][1]
    bad = core.part(ROUTES, [("calls", b"odd:c1")], desk.last(ROUTES))
    desk.want(2, {ROUTES: bad}, frozenset())
    settle(desk, proxy)
    assert proxy.rows[ROUTES]["calls"][1] == b"odd:c1"
    assert desk.ban(bad.rows["calls"])
    settle(desk, proxy)
    assert proxy.rows[ROUTES]["calls"][1] == good  # under a newer version, which the proxy has checked
    desk.want(3, {ROUTES: core.part(ROUTES, [("calls", b"new:c1")], desk.last(ROUTES))}, frozenset())
    settle(desk, proxy)
    assert proxy.rows[ROUTES]["calls"][1] == b"new:c1" and ear.done[-1] == 3


def test_a_subscription_is_a_part_of_what_is_wanted_and_may_change_while_a_call_waits() -> None:
    core, _, desk, proxy = joined([1, 2, 3])
    answer = desk.ask(Ask(TABLES, False, first=True, holds={}, add=("t1",)))
    assert answer is not None and list(answer.part.rows) == ["t1"]
    desk.leaves(TABLES, answer)
    proxy.apply(TABLES, answer)
    assert desk.ask(Ask(TABLES, False, nonce=answer.nonce)) is None  # it waits
    more = desk.ask(Ask(TABLES, False, add=("t3",)))
    assert more is not None and more.delta is not None and [r.name for r in more.delta.changed] == ["t3"]
    desk.leaves(TABLES, more)
    less = desk.ask(Ask(TABLES, False, nonce=more.nonce, drop=("t1",)))
    assert less is not None and less.delta is not None and less.delta.removed == ("t1",)
    desk.leaves(TABLES, less)
    again = desk.ask(Ask(TABLES, False, nonce=less.nonce, add=("t3",)))  # asked for anew: sent anew
    assert again is not None and again.delta is not None and [r.name for r in again.delta.changed] == ["t3"]
    everything = desk.ask(Ask(TABLES, True))
    assert everything is not None and len(everything.part.rows) == 3


def test_a_director_without_memory_goes_on_above_what_the_proxy_has() -> None:
    core = Core(first_era(1, 3))
    desk = Desk(1, core, Ear(), uses, drained, {})
    desk.want(1, content(core, desk, [1], 0), frozenset())
    ahead = f"{first_era(40, 9)}.17"
    answer = desk.ask(Ask(TABLES, True, first=True, version=ahead))
    assert answer is not None
    version, told = read_version(answer.part.version), read_version(ahead)
    assert version is not None and told is not None and version > told
    era = core.era
    for absurd in (f"{1 << 62}.1", "x.y", "9" * 50):
        desk.ask(Ask(TABLES, True, first=True, version=absurd))
    assert core.era == era


# The staged roll-out.


class Halts:
    def __init__(self) -> None:
        self.rows: list[tuple[Any, ...]] = []

    def halted(self, unit: Any, bad: Any, good: Any, why: str) -> None:
        self.rows.append(("halted", bad, good, why))

    def released(self, unit: Any) -> None:
        self.rows.append(("released",))


def out(
    rollout: Rollout, now: int, content: int, proxies: range, bad: set[int] = frozenset()
) -> dict[int, Any]:  # type: ignore[assignment]
    """Offers a content to all; those in `bad` refuse it.  Gives what each was given."""
    given = {}
    for proxy in proxies:
        what, chosen = rollout.choose(now, proxy, "t", content)
        given[proxy] = chosen
        if chosen is None:
            continue
        rollout.offered(now, proxy, "t", chosen)
        if proxy in bad and chosen == content:
            rollout.refused(now, proxy, "t", chosen, "bad")
        else:
            rollout.took(now, proxy, "t", chosen)
    return given


def test_a_content_that_many_refuse_is_stopped_and_the_next_goes_to_few_first() -> None:
    halts = Halts()
    rollout = Rollout(RolloutTerms(), halts)
    everyone = range(100)
    out(rollout, 0, 1, everyone)
    assert rollout.tracks["t"].good == 1 and not halts.rows
    bad = {20, 41, 60, 80}
    given = out(rollout, 10, 2, everyone, bad)
    stopped = [proxy for proxy in everyone if given[proxy] == 1]
    assert halts.rows[0][:3] == ("halted", 2, 1) and min(stopped) == 42  # the second refusal of 42 was enough
    given = out(rollout, 20, 3, everyone)
    canaries = [proxy for proxy in everyone if given[proxy] == 3]
    assert 1 <= len(canaries) <= 6 and {20, 41} & set(canaries)
    rollout.look(20 + TICKS_PER_SECOND)
    assert len(halts.rows) == 1
    rollout.look(30 + 2 * TICKS_PER_SECOND)
    assert halts.rows[-1] == ("released",)
    assert set(out(rollout, 5 * TICKS_PER_SECOND, 4, everyone).values()) == {4}


def test_a_canary_that_refuses_or_whose_calls_go_worse_stops_it_again() -> None:
    for way in ("refuses", "worse"):
        halts = Halts()
        rollout = Rollout(RolloutTerms(), halts)
        everyone = range(50)
        out(rollout, 0, 1, everyone)
        out(rollout, 1, 2, everyone, {0, 1, 2})
        track = rollout.tracks["t"]
        canaries = set(track.canaries)
        out(rollout, 2, 3, everyone, canaries if way == "refuses" else set())
        for proxy in everyone:
            rollout.met(2 * TICKS_PER_SECOND, proxy, 30, 20 if way == "worse" and proxy in canaries else 1)
        rollout.look(TICKS_PER_SECOND + 2 * TICKS_PER_SECOND)
        assert [row[:2] for row in halts.rows][:2] == [("halted", 2), ("halted", 3)], way
        assert rollout.choose(4 * TICKS_PER_SECOND, 49, "t", 3) == (BACK, 1)


def test_canaries_that_say_nothing_hold_nobody_up_for_long() -> None:
    halts = Halts()
    rollout = Rollout(RolloutTerms(), halts)
    out(rollout, 0, 1, range(10))
    out(rollout, 1, 2, range(10), {0, 1})
    for proxy in list(rollout.tracks["t"].canaries):
        rollout.left(proxy)
    rollout.look(TICKS_PER_SECOND)
    assert halts.rows[-1] == ("released",) and rollout.choose(TICKS_PER_SECOND, 9, "t", 5) == (GO, 5)


def test_one_proxy_that_refuses_everything_stops_nobody() -> None:
    halts = Halts()
    rollout = Rollout(RolloutTerms(), halts)
    for content_ in range(1, 30):
        out(rollout, content_, content_, range(40), {7})
    assert not halts.rows and rollout.tracks["t"].good == 29 and len(rollout.tracks["t"].contents) <= 17


def test_the_first_content_of_all_goes_out_whoever_refuses_it() -> None:
    halts = Halts()
    rollout = Rollout(RolloutTerms(), halts)
    out(rollout, 0, 1, range(10), {0, 1})
    assert halts.rows[0][:3] == ("halted", 1, None)
    assert rollout.choose(1, 9, "t", 1) == (BACK, None) and rollout.choose(1, 9, "t", 2) == (GO, 2)


def test_always_staged_every_content_goes_to_few_first() -> None:
    halts = Halts()
    rollout = Rollout(RolloutTerms(mode="always"), halts)
    out(rollout, 0, 1, range(40))
    given = out(rollout, 10, 2, range(40))
    assert 1 <= sum(chosen == 2 for chosen in given.values()) <= 4
    rollout.look(3 * TICKS_PER_SECOND)
    assert halts.rows == [("released",)]
    assert set(out(rollout, 3 * TICKS_PER_SECOND, 2, range(40)).values()) == {2}
    assert sum(chosen == 3 for chosen in out(rollout, 4 * TICKS_PER_SECOND, 3, range(40)).values()) <= 4


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("oatrl"), st.integers(0, 5), st.integers(1, 6)), max_size=80))
def test_what_is_good_everywhere_was_taken_by_all_who_run_it(steps: list[tuple[str, int, int]]) -> None:
    """Beside a brute-force reading: nobody's last offer is older, and whoever did not take it refused it or
    has got something newer.
    """
    halts = Halts()
    rollout = Rollout(RolloutTerms(refuse_share=0.5, refuse_least=100), halts)
    offers: dict[int, list[int]] = {}
    took: dict[int, set[int]] = {}
    no: dict[int, set[int]] = {}
    newest, was = 0, None
    for what, proxy, _ in steps:
        if what == "o":
            newest += 1
        elif what == "a" and newest:
            rollout.offered(0, proxy, "t", newest)
            offers.setdefault(proxy, []).append(newest)
        elif what == "t" and offers.get(proxy):
            rollout.took(0, proxy, "t", offers[proxy][-1])
            took.setdefault(offers[proxy][-1], set()).add(proxy)
        elif what == "r" and offers.get(proxy):
            rollout.refused(0, proxy, "t", offers[proxy][-1], "no")
            no.setdefault(offers[proxy][-1], set()).add(proxy)
        elif what == "l":
            rollout.left(proxy)
            offers.pop(proxy, None)
        track = rollout.tracks.get("t")
        good = track.good if track is not None else None
        if good is not None and good != was:
            for p, rows in offers.items():
                assert rows[-1] >= good or p in no.get(rows[-1], ()), "somebody has not got so far"
                if rows[-1] == good:
                    assert p in took.get(good, ()) or p in no.get(good, ())
        was = good

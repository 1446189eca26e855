"""Claims, the explored worlds, and the structures beside plain ones."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from willowhook.membership.assign import Ring, order, rendezvous
from willowhook.membership.claim import (
    AHEAD,
    APPLY,
    OLD,
    STALE,
    Claim,
    Version,
    VersionError,
    names_me,
    read_version,
    safe_tries,
)  # fmt: skip
from willowhook.membership.explore import GUARDS, Bounds, explore
from willowhook.membership.handoff import Hint, Listener, Packet, Teller
from willowhook.membership.spread import Home, Pace, dial_wait
from willowhook.membership.suspicion import Suspicion
from willowhook.membership.wheel import Wheel


def test_versions_come_back_and_others_are_refused() -> None:
    assert read_version("3.12.4") == Version(3, 12, 4) and str(Version(3, 12, 4)) == "3.12.4"
    for bad in ("", "1.2", "1.2.3.4", "a.b.c", "1.2.-3", "1.2.\u0663", "9" * 70 + ".1.1"):
        with pytest.raises(VersionError):
            read_version(bad)


def test_a_claim_takes_orders_of_its_own_term_and_forward_only() -> None:
    claim = Claim(4)
    claim.join("a", claim.next_term())
    assert claim.look(Version(4, 9, 9)) == STALE and claim.look(Version(6, 1, 1)) == AHEAD
    assert claim.look(Version(5, 1, 2)) == APPLY
    claim.apply(Version(5, 1, 2))
    assert claim.look(Version(5, 1, 2)) == OLD and claim.look(Version(5, 1, 1)) == OLD
    assert claim.look(Version(5, 2, 1)) == APPLY  # the same director, started again
    with pytest.raises(ValueError, match="not above"):
        claim.join("b", 5)
    claim.join("b", 6)
    assert claim.look(Version(5, 2, 2)) == STALE


def test_what_a_file_says_of_who_rules() -> None:
    assert names_me("a", "a", 3, 3) == names_me("a", "", 3, 3) == "mine"
    assert names_me("a", "a", 3, 2) == names_me("a", "b", 3, 2) == "older"
    assert names_me("a", "b", 3, 3) == names_me("a", "a", 3, 4) == "left"
    assert [safe_tries(s, 3) for s in ("idempotent", "deduplicated", "at_most_once")] == [3, 1, 1]


@pytest.mark.parametrize("bounds", [Bounds(1, 2, 3, 1, 1), Bounds(2, 2, 2, 1, 0)])
def test_all_worlds_of_few_keep_the_invariants(bounds: Bounds) -> None:
    done = explore(bounds)
    assert not done.broken and done.worlds > 4000


@pytest.mark.parametrize("guard", GUARDS)
def test_without_a_guard_an_invariant_fails(guard: str) -> None:
    done = explore(Bounds(1, 2, 3, 2, 1), guard)
    assert done.broken.startswith("forward" if guard == "order" else "this stay") and len(done.path) > 3


class ManyStays(RuleBasedStateMachine):
    """Three directors, long histories, renames late by any time: beyond what can be explored."""

    def __init__(self) -> None:
        super().__init__()
        self.claim, self.stay = Claim(), 0
        self.believes: dict[str, int] = {}
        self.epochs = dict.fromkeys("abc", 1)
        self.count = 0
        self.late: list[tuple[str, Version, int]] = []
        self.down: dict[str, tuple[Version, int]] = {}
        self.applied: list[tuple[str, Version, int]] = []

    @rule(director=st.sampled_from("abc"))
    def join(self, director: str) -> None:
        self.claim.join(director, self.claim.next_term())
        self.stay += 1
        self.applied.clear()

    @rule()
    def read(self) -> None:
        if self.claim.director:
            self.believes[self.claim.director] = self.claim.term

    @precondition(lambda self: self.believes)
    @rule(data=st.data())
    def order(self, data: Any) -> None:
        director = data.draw(st.sampled_from(sorted(self.believes)))
        self.count += 1
        term = self.believes[director]
        self.late.append((director, Version(term, self.epochs[director], self.count), term))

    @precondition(lambda self: self.late)
    @rule(data=st.data())
    def land(self, data: Any) -> None:
        director, version, term = self.late.pop(data.draw(st.integers(0, len(self.late) - 1)))
        self.down[director] = (version, term)

    @rule(director=st.sampled_from("abc"))
    def restart(self, director: str) -> None:
        self.epochs[director] += 1
        self.believes.pop(director, None)

    @rule()
    def take(self) -> None:
        lies = self.down.get(self.claim.director)
        if lies is not None and self.claim.look(lies[0]) == APPLY:
            self.claim.apply(lies[0])
            self.applied.append((self.claim.director, *lies))

    @invariant()
    def ruled_by_one(self) -> None:
        assert len({who for who, _, _ in self.applied}) <= 1
        assert all(term == self.claim.term for _, _, term in self.applied)
        versions = [(v.epoch, v.number) for _, v, _ in self.applied]
        assert versions == sorted(set(versions))


TestManyStays = ManyStays.TestCase
TestManyStays.settings = settings(derandomize=True, max_examples=150, stateful_step_count=60, deadline=None)


def test_rendezvous_moves_only_what_it_must_and_spreads_what_it_moves() -> None:
    proxies, directors = [f"p{k}" for k in range(3000)], [f"d{k}" for k in range(5)]
    before, after = rendezvous(proxies, directors), rendezvous(proxies, directors[:-1])
    moved = [proxy for proxy in proxies if before[proxy] != after[proxy]]
    assert all(before[proxy] == "d4" for proxy in moved)
    counts = [sum(after[proxy] == name for proxy in moved) for name in directors[:-1]]
    assert max(counts) < 1.4 * min(counts)
    assert all(order(p, directors)[0] == before[p] for p in proxies[:50])
    assert order("p", ["x", "y", "z"], frozenset({"y"}))[0] == "y"
    loads = list(Ring(directors).bounded(proxies, 0.1).values())
    assert max(loads.count(name) for name in directors) <= 661
    assert Ring(directors).first("p1") in directors


class Scan:
    """The plain way: look at everyone."""

    def __init__(self) -> None:
        self.due: dict[str, int] = {}

    def overdue(self, now: int) -> list[str]:
        found = [key for key, due in self.due.items() if due <= now]
        for key in found:
            del self.due[key]
        return found


step = st.tuples(st.sampled_from(["set", "drop", "look"]), st.sampled_from("abcdefgh"), st.integers(0, 400))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(step, max_size=80), st.integers(1, 30), st.integers(2, 9))
def test_a_wheel_tells_what_a_scan_does_within_a_slot(steps: list[Any], slot: int, slots: int) -> None:
    wheel, scan, now = Wheel(slot, slots, 0), Scan(), 0
    told: set[str] = set()  # by the scan, and still to come from the wheel
    for what, key, n in steps:
        if what == "set":
            wheel.set(key, now + n)
            scan.due[key] = now + n
            told.discard(key)
        elif what == "drop":
            wheel.drop(key)
            scan.due.pop(key, None)
            told.discard(key)
        else:
            now += n
            told |= set(scan.overdue(now))
            got = set(wheel.overdue(now))
            assert got <= told  # never early
            told -= got
            late = set(wheel.overdue(now + slot)) if not told else set()
            for extra in late:  # looked at a slot ahead: only what is due by then
                assert scan.due.pop(extra) <= now + slot
            assert len(wheel) == len(scan.due) + len(told)
    now += 500 + slot
    assert set(wheel.overdue(now)) == told | set(scan.overdue(now)) and len(wheel) == 0


def test_suspicion_waits_for_the_irregular_and_never_beyond_its_bounds() -> None:
    chance = random.Random(1)
    steady, rough = Suspicion(0.2, 0.3, 3.0), Suspicion(0.2, 0.3, 3.0)
    now = 0.0
    for _ in range(200):
        steady.heard(now)
        rough.heard(now + chance.uniform(0, 0.15) if chance.random() < 0.9 else now + 0.19)
        now += 0.2
    assert not Suspicion(0.2, 0.3, 3.0).suspected(99.0)

    def silent(peer: Suspicion) -> float:
        at = now
        while not peer.suspected(at):
            at += 0.01
        return at - now

    assert 0.05 < silent(steady) < silent(rough) <= 3.0
    assert not steady.suspected(now + 0.05)


def test_the_busy_dial_first_and_nobody_goes_back_to_one_that_flaps() -> None:
    chance, pace = random.Random(2), Pace(200, 50.0, 3.0, 5.0)
    busy = [dial_wait(pace, 4.0, chance.random) for _ in range(300)]
    usual = [dial_wait(pace, 1.0, chance.random) for _ in range(300)]
    assert max(busy) <= 1.0 < max(usual) <= 4.0
    home = Home(pace, ["a", "b"], chance.random)
    home.joined(0.0)
    went = ""
    for tick in range(400):  # `a` is there for two seconds of each four
        now = tick / 10
        home.shown("a", now % 4 < 2, now)
        home.shown("b", True, now)
        went = went or home.better("b", now)
    assert went == ""
    for tick in range(400, 600):
        home.shown("a", True, tick / 10)
        if went := home.better("b", tick / 10):
            break
    assert went == "a" and 43.0 <= tick / 10 <= 47.2


def packets(count: int) -> list[Packet]:
    return [Packet("a", 1, k, Hint(f"p{k % 3}", k, 10, {"h": (k + 1, 0, 5)})) for k in range(count)]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, 8), max_size=60), st.lists(st.integers(0, 60), max_size=6))
def test_a_listener_knows_the_newest_of_each_proxy_whatever_the_link_does(
    arrive: list[int], ask: list[int]
) -> None:
    """Any packets, in any order, any number of times."""
    listener, sent, given_out = Listener(1000), packets(9), dict[str, int]()
    heard: dict[str, int] = {}
    for k, at in enumerate(arrive):
        listener.take(0, sent[at])
        proxy, term = sent[at].hint.proxy, sent[at].hint.term
        if term > given_out.get(proxy, -1):
            heard[proxy] = max(heard.get(proxy, -1), term)
        if k in ask:
            hint = listener.claim(10, proxy, 100)
            newest = heard.pop(proxy, None)
            assert (hint.term if hint else None) == newest
            if newest is not None:
                given_out[proxy] = newest
            assert listener.claim(10, proxy, 100) is None  # once


def test_a_hint_of_a_later_stay_or_of_long_ago_is_of_no_use() -> None:
    listener = Listener(1000)
    late = Packet("a", 1, 1, Hint("p", 7, 10, {}))
    listener.take(0, late)
    assert listener.claim(10, "p", 7) is None  # not before its stay
    listener.take(0, Packet("a", 1, 2, Hint("p", 8, 10, {})))
    assert listener.claim(1001, "p", 9) is None
    listener.take(2000, late)  # doubled, after it was given out
    assert listener.claim(2001, "p", 10) is None


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.booleans(), max_size=12))
def test_a_teller_goes_on_until_answered_and_not_for_ever(lost: list[bool]) -> None:
    sent: list[Packet] = []
    teller = Teller("a", 3, sent.append, 100, 3000)
    teller.tell(0, Hint("p", 1, 10, {}))
    seen = 0
    for now in range(0, 4000, 50):
        teller.look(now)
        for packet in sent[seen:]:
            seen += 1
            if seen <= len(lost) and not lost[seen - 1]:
                teller.answered(2, packet.number)  # of another start: no answer
                teller.answered(3, packet.number)
    assert len(teller) == 0 and 1 <= len(sent) <= 6
    first_kept = next((k for k, gone in enumerate(lost) if not gone), None)
    if first_kept is not None and first_kept < 5:
        assert len(sent) == first_kept + 1
    teller.tell(5000, Hint("p", 2, 10, {}))
    teller.tell(5001, Hint("p", 3, 10, {}))
    assert len(teller) == 1  # the newer is all that is of use

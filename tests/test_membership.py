"""Assignment, reconnection and failure detection, compared with simple implementations."""

from __future__ import annotations

import random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.membership.assignment import HashRing, assign_by_rendezvous, preference_order
from willowhook.membership.failure_detector import FailureDetector
from willowhook.membership.reconnect import FailbackPolicy, ReconnectPace, reconnect_delay
from willowhook.membership.timing_wheel import TimingWheel

PROXIES = [f"p{k}" for k in range(3000)]
CONTROLLERS = [f"d{k}" for k in range(5)]


def test_rendezvous_moves_only_the_proxies_of_a_lost_controller_and_spreads_them() -> None:
    before = assign_by_rendezvous(PROXIES, CONTROLLERS)
    after = assign_by_rendezvous(PROXIES, CONTROLLERS[:-1])
    moved = [proxy for proxy in PROXIES if before[proxy] != after[proxy]]
    assert all(before[proxy] == "d4" for proxy in moved)
    counts = [sum(after[proxy] == name for proxy in moved) for name in CONTROLLERS[:-1]]
    assert max(counts) < 1.4 * min(counts)


def test_the_preference_order_begins_with_the_assigned_controller() -> None:
    assigned = assign_by_rendezvous(PROXIES, CONTROLLERS)
    assert all(preference_order(proxy, CONTROLLERS)[0] == assigned[proxy] for proxy in PROXIES[:50])


def test_the_preference_order_puts_preferred_controllers_first() -> None:
    assert preference_order("p", ["x", "y", "z"], frozenset({"y"}))[0] == "y"


def test_a_hash_ring_keeps_its_bound_on_the_load() -> None:
    loads = list(HashRing(CONTROLLERS).assign_with_bounded_load(PROXIES, 0.1).values())
    assert max(loads.count(name) for name in CONTROLLERS) <= 661
    assert HashRing(CONTROLLERS).owner("p1") in CONTROLLERS


class Scan:
    """The simple way to find passed deadlines: check all of them."""

    def __init__(self) -> None:
        self.deadlines: dict[str, int] = {}

    def overdue(self, now: int) -> list[str]:
        passed = [key for key, deadline in self.deadlines.items() if deadline <= now]
        for key in passed:
            del self.deadlines[key]
        return passed


WHEEL_STEP = st.tuples(
    st.sampled_from(["set", "drop", "advance"]), st.sampled_from("abcdefgh"), st.integers(0, 400)
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(WHEEL_STEP, max_size=80), st.integers(1, 30), st.integers(2, 9))
def test_a_timing_wheel_finds_what_a_scan_finds_within_a_slot(
    steps: list[Any], slot_width: int, slot_count: int
) -> None:
    wheel = TimingWheel(slot_width, slot_count, 0)
    scan = Scan()
    now = 0
    passed: set[str] = set()  # by the scan, and still to come from the wheel
    for action, key, number in steps:
        if action == "set":
            wheel.set(key, now + number)
            scan.deadlines[key] = now + number
            passed.discard(key)
        elif action == "drop":
            wheel.drop(key)
            scan.deadlines.pop(key, None)
            passed.discard(key)
        else:
            now += number
            passed |= set(scan.overdue(now))
            found = set(wheel.overdue(now))
            assert found <= passed  # never early
            passed -= found
            ahead = set(wheel.overdue(now + slot_width)) if not passed else set()
            for extra in ahead:  # looked at a slot ahead: only what is due by then
                assert scan.deadlines.pop(extra) <= now + slot_width
            assert len(wheel) == len(scan.deadlines) + len(passed)
    now += 500 + slot_width
    assert set(wheel.overdue(now)) == passed | set(scan.overdue(now))
    assert len(wheel) == 0


def test_a_failure_detector_waits_longer_for_irregular_peers_and_never_beyond_its_bounds() -> None:
    draw = random.Random(1)
    steady = FailureDetector(0.2, 0.3, 3.0)
    irregular = FailureDetector(0.2, 0.3, 3.0)
    now = 0.0
    for _ in range(200):
        steady.record_heartbeat(now)
        delay = draw.uniform(0, 0.15) if draw.random() < 0.9 else 0.19
        irregular.record_heartbeat(now + delay)
        now += 0.2

    def silence_until_suspected(peer: FailureDetector) -> float:
        at = now
        while not peer.is_suspected(at):
            at += 0.01
        return at - now

    assert 0.05 < silence_until_suspected(steady) < silence_until_suspected(irregular) <= 3.0
    assert not steady.is_suspected(now + 0.05)


def test_a_failure_detector_does_not_suspect_a_peer_that_was_never_there() -> None:
    detector = FailureDetector(0.2, 0.3, 3.0)
    assert not detector.is_suspected(99.0)
    assert detector.suspicion(99.0) == 0.0


PACE = ReconnectPace(200, 50.0, 3.0, 5.0)


def test_busy_proxies_reconnect_first() -> None:
    draw = random.Random(2)
    busy = [reconnect_delay(PACE, 4.0, draw.random) for _ in range(300)]
    usual = [reconnect_delay(PACE, 1.0, draw.random) for _ in range(300)]
    assert max(busy) <= 1.0 < max(usual) <= 4.0


def test_a_proxy_fails_back_to_a_controller_that_has_settled_and_not_to_one_that_flaps() -> None:
    draw = random.Random(2)
    policy = FailbackPolicy(PACE, ["a", "b"], draw.random)
    policy.record_join(0.0)
    for tenth in range(400):  # `a` is alive for two of every four seconds
        now = tenth / 10
        policy.record_liveness("a", now % 4 < 2, now)
        policy.record_liveness("b", True, now)
        assert policy.target("b", now) == ""
    target = ""
    for tenth in range(400, 600):
        now = tenth / 10
        policy.record_liveness("a", True, now)
        target = policy.target("b", now)
        if target:
            break
    assert target == "a" and 43.0 <= now <= 47.2

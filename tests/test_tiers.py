"""Later tiers act when no host before them does, and no sooner; held, they drain."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from willowhook.membership.tiers import HOLD, LEAST_TRIES, Tiers
from willowhook.ticks import TICKS_PER_SECOND

COLD = 8 * TICKS_PER_SECOND


class Told:
    def __init__(self) -> None:
        self.rows: list[tuple[str, bool]] = []

    def let_in(self, host: str, on: bool, cause: str) -> None:
        assert cause
        self.rows.append((host, on))


def made(*rows: tuple[str, int, bool, int], now: int = 100 * TICKS_PER_SECOND) -> tuple[Tiers, Told]:
    told = Told()
    tiers = Tiers(told, COLD)
    tiers.listed(now, [(name, ("g",), tier, drains, started) for name, tier, drains, started in rows])
    return tiers, told


def test_a_backup_is_held_until_the_last_primary_drains_and_after_a_warm_one_is_back() -> None:
    now = 100 * TICKS_PER_SECOND
    tiers, told = made(("a", 0, False, 0), ("b", 1, False, 0))
    assert tiers.held("b") and not tiers.held("a") and told.rows == [("b", False)]
    tiers.listed(now, [("a", ("g",), 0, True, 0), ("b", ("g",), 1, False, 0)])
    assert not tiers.held("b") and told.rows[-1] == ("b", True)
    started = now + TICKS_PER_SECOND
    rows = [("a", ("g",), 0, False, started), ("b", ("g",), 1, False, 0)]
    tiers.listed(started, rows)
    tiers.look(started + COLD - 1)
    assert not tiers.held("b")  # the primary is cold: what served stays
    tiers.look(started + COLD)
    tiers.look(started + COLD + HOLD - 1)
    assert not tiers.held("b")
    tiers.look(started + COLD + HOLD)
    assert tiers.held("b") and not tiers.held("a")


def test_silent_primaries_count_as_none_until_one_answers() -> None:
    now = 100 * TICKS_PER_SECOND
    tiers, _ = made(("a", 0, False, 0), ("b", 1, False, 0), ("c", 2, False, 0))
    tiers.heard(now, "a", LEAST_TRIES - 1, LEAST_TRIES - 1)
    tiers.look(now)
    assert tiers.held("b")
    tiers.heard(now, "a", 1, 1)
    tiers.look(now)
    assert not tiers.held("b") and tiers.held("c")
    tiers.heard(now, "b", 30, 30)
    tiers.look(now)
    assert not tiers.held("c")
    tiers.heard(now + TICKS_PER_SECOND, "a", 3, 2)
    tiers.look(now + TICKS_PER_SECOND)
    tiers.look(now + TICKS_PER_SECOND + HOLD)
    assert tiers.held("b") and tiers.held("c")


def test_a_host_of_two_groups_is_let_in_where_one_of_them_wants_it() -> None:
    tiers = Tiers(told := Told(), COLD)
    rows = [("a", ("g",), 0, False, 0), ("b", ("g", "h"), 1, False, 0), ("c", ("h",), 0, True, 0)]
    tiers.listed(TICKS_PER_SECOND, rows)
    assert not tiers.held("b")
    tiers.listed(TICKS_PER_SECOND, [*rows[:2], ("c", ("h",), 0, False, 0)])
    tiers.look(TICKS_PER_SECOND + HOLD)
    assert tiers.held("b") and told.rows == [("b", False)]


def test_groups_of_one_tier_are_left_alone_and_backups_alone_serve() -> None:
    tiers, told = made(("a", 0, False, 0), ("b", 0, True, 0))
    assert told.rows == [] and not tiers.held("a") and not tiers.held("never seen")
    tiers, told = made(("b", 1, False, 0))
    assert not tiers.held("b")


class Machine(RuleBasedStateMachine):
    """Any lists and any news: somebody who can serve is let in; later ones do not stay long."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.told = 100 * TICKS_PER_SECOND, Told()
        self.tiers = Tiers(self.told, COLD)
        self.hosts: dict[str, tuple[int, bool, int]] = {}
        self.silent: set[str] = set()
        self.earlier_since: int | None = None

    @rule(name=st.sampled_from("abcdef"), tier=st.integers(0, 2), drains=st.booleans(), cold=st.booleans())
    def list_one(self, name: str, tier: int, drains: bool, cold: bool) -> None:
        before = self.hosts.get(name, (0, False, -1))
        started = self.now if cold else before[2] if before[2] >= 0 else 0
        if started != before[2]:
            self.silent.discard(name)
        self.hosts[name] = (tier, drains, started)
        self.show()

    @rule(name=st.sampled_from("abcdef"))
    def gone(self, name: str) -> None:
        self.hosts.pop(name, None)
        self.silent.discard(name)
        self.show()

    def show(self) -> None:
        self.tiers.listed(self.now, [(n, ("g",), t, d, s) for n, (t, d, s) in self.hosts.items()])

    @rule(name=st.sampled_from("abcdef"), good=st.booleans())
    def calls(self, name: str, good: bool) -> None:
        many = len({tier for tier, _, _ in self.hosts.values()}) > 1
        self.tiers.heard(self.now, name, 10, 0 if good else 10)
        if name in self.hosts and many:
            (self.silent.discard if good else self.silent.add)(name)
        self.tiers.look(self.now)

    @rule(s=st.integers(1, 9))
    def time(self, s: int) -> None:
        for _ in range(s):
            self.now += TICKS_PER_SECOND
            self.tiers.look(self.now)

    @invariant()
    def whoever_serves_is_let_in(self) -> None:
        able = {n: t for n, (t, d, _) in self.hosts.items() if not d and n not in self.silent}
        used = {n: t for n, t in able.items() if not self.tiers.held(n)}
        if able:
            assert used and min(used.values()) == min(able.values())
            assert all(n in used for n, t in able.items() if t == min(able.values()))

    @invariant()
    def later_ones_stay_no_longer_than_they_must(self) -> None:
        able = {n: (t, s) for n, (t, d, s) in self.hosts.items() if not d and n not in self.silent}
        used = max((t for n, (t, _) in able.items() if not self.tiers.held(n)), default=0)
        warm = any(t < used and self.now - s >= COLD for t, s in able.values())
        if not warm:
            self.earlier_since = None
        elif self.earlier_since is None:
            self.earlier_since = self.now
        if self.earlier_since is not None:
            assert self.now - self.earlier_since <= HOLD + TICKS_PER_SECOND


Machine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestMachine = Machine.TestCase

"""A later tier is active only when no endpoint of the earlier tiers serves; otherwise it is on standby."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from willowhook.membership.priority_tiers import (
    DEACTIVATION_DELAY_TICKS,
    UNRESPONSIVE_FAILURES,
    PriorityTiers,
    TieredEndpoint,
)
from willowhook.ticks import TICKS_PER_SECOND

SLOW_START = 8 * TICKS_PER_SECOND
START = 100 * TICKS_PER_SECOND
GROUP = ("g",)


class RecordingListener:
    def __init__(self) -> None:
        self.changes: list[tuple[str, bool]] = []

    def set_active(self, endpoint: str, is_active: bool, reason: str) -> None:
        assert reason
        self.changes.append((endpoint, is_active))


def listed(
    name: str, tier: int, is_draining: bool = False, started_at: int = 0, groups: tuple[str, ...] = GROUP
) -> TieredEndpoint:
    return TieredEndpoint(name, groups, tier, is_draining, started_at)


def tiers_of(*endpoints: TieredEndpoint) -> tuple[PriorityTiers, RecordingListener]:
    listener = RecordingListener()
    tiers = PriorityTiers(listener, SLOW_START)
    tiers.update_list(START, endpoints)
    return tiers, listener


def test_backup_is_standby_until_the_last_primary_drains_and_after_one_has_warmed_up() -> None:
    tiers, listener = tiers_of(listed("a", 0), listed("b", 1))
    assert tiers.is_standby("b") and not tiers.is_standby("a")
    assert listener.changes == [("b", False)]
    tiers.update_list(START, [listed("a", 0, is_draining=True), listed("b", 1)])
    assert not tiers.is_standby("b") and listener.changes[-1] == ("b", True)
    started_at = START + TICKS_PER_SECOND
    tiers.update_list(started_at, [listed("a", 0, started_at=started_at), listed("b", 1)])
    tiers.evaluate(started_at + SLOW_START - 1)
    assert not tiers.is_standby("b")  # the primary is in slow start: the backup stays active
    warm_at = started_at + SLOW_START
    tiers.evaluate(warm_at)
    tiers.evaluate(warm_at + DEACTIVATION_DELAY_TICKS - 1)
    assert not tiers.is_standby("b")
    tiers.evaluate(warm_at + DEACTIVATION_DELAY_TICKS)
    assert tiers.is_standby("b") and not tiers.is_standby("a")


def test_unresponsive_primaries_are_ignored_until_one_responds() -> None:
    tiers, _ = tiers_of(listed("a", 0), listed("b", 1), listed("c", 2))
    tiers.record_attempts(START, "a", UNRESPONSIVE_FAILURES - 1, UNRESPONSIVE_FAILURES - 1)
    tiers.evaluate(START)
    assert tiers.is_standby("b")
    tiers.record_attempts(START, "a", 1, 1)
    tiers.evaluate(START)
    assert not tiers.is_standby("b") and tiers.is_standby("c")
    tiers.record_attempts(START, "b", 30, 30)
    tiers.evaluate(START)
    assert not tiers.is_standby("c")
    later = START + TICKS_PER_SECOND
    tiers.record_attempts(later, "a", 3, 2)
    tiers.evaluate(later)
    tiers.evaluate(later + DEACTIVATION_DELAY_TICKS)
    assert tiers.is_standby("b") and tiers.is_standby("c")


def test_endpoint_of_two_groups_is_active_if_one_of_them_needs_it() -> None:
    listener = RecordingListener()
    tiers = PriorityTiers(listener, SLOW_START)
    first = listed("a", 0)
    shared = listed("b", 1, groups=("g", "h"))
    tiers.update_list(TICKS_PER_SECOND, [first, shared, listed("c", 0, is_draining=True, groups=("h",))])
    assert not tiers.is_standby("b")
    tiers.update_list(TICKS_PER_SECOND, [first, shared, listed("c", 0, groups=("h",))])
    tiers.evaluate(TICKS_PER_SECOND + DEACTIVATION_DELAY_TICKS)
    assert tiers.is_standby("b") and listener.changes == [("b", False)]


def test_groups_with_one_tier_are_not_changed() -> None:
    tiers, listener = tiers_of(listed("a", 0), listed("b", 0, is_draining=True))
    assert listener.changes == []
    assert not tiers.is_standby("a") and not tiers.is_standby("never listed")


def test_backup_without_a_primary_is_active() -> None:
    tiers, _ = tiers_of(listed("b", 1))
    assert not tiers.is_standby("b")


class ListsAndReports(RuleBasedStateMachine):
    """Any lists and any reports: some endpoint that can serve is active; later tiers do not stay long."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START
        self.tiers = PriorityTiers(RecordingListener(), SLOW_START)
        self.endpoints: dict[str, TieredEndpoint] = {}
        self.unresponsive: set[str] = set()
        self.earlier_ready_since: int | None = None

    @rule(
        name=st.sampled_from("abcdef"), tier=st.integers(0, 2), drains=st.booleans(), restarts=st.booleans()
    )
    def list_endpoint(self, name: str, tier: int, drains: bool, restarts: bool) -> None:
        before = self.endpoints.get(name)
        started_at = self.now if restarts else before.started_at if before is not None else 0
        if before is None or started_at != before.started_at:
            self.unresponsive.discard(name)
        self.endpoints[name] = listed(name, tier, drains, started_at)
        self.update_list()

    @rule(name=st.sampled_from("abcdef"))
    def remove_endpoint(self, name: str) -> None:
        self.endpoints.pop(name, None)
        self.unresponsive.discard(name)
        self.update_list()

    def update_list(self) -> None:
        self.tiers.update_list(self.now, self.endpoints.values())

    @rule(name=st.sampled_from("abcdef"), succeeds=st.booleans())
    def report_attempts(self, name: str, succeeds: bool) -> None:
        has_several_tiers = len({endpoint.tier for endpoint in self.endpoints.values()}) > 1
        self.tiers.record_attempts(self.now, name, 10, 0 if succeeds else 10)
        if name in self.endpoints and has_several_tiers:
            (self.unresponsive.discard if succeeds else self.unresponsive.add)(name)
        self.tiers.evaluate(self.now)

    @rule(seconds=st.integers(1, 9))
    def advance(self, seconds: int) -> None:
        for _ in range(seconds):
            self.now += TICKS_PER_SECOND
            self.tiers.evaluate(self.now)

    def available(self) -> list[TieredEndpoint]:
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if not endpoint.is_draining and endpoint.name not in self.unresponsive
        ]

    def active(self) -> list[TieredEndpoint]:
        return [endpoint for endpoint in self.available() if not self.tiers.is_standby(endpoint.name)]

    @invariant()
    def the_first_tier_that_can_serve_is_active(self) -> None:
        available = self.available()
        active = self.active()
        if available:
            first_tier = min(endpoint.tier for endpoint in available)
            assert active and min(endpoint.tier for endpoint in active) == first_tier
            assert all(endpoint in active for endpoint in available if endpoint.tier == first_tier)

    @invariant()
    def later_tiers_stay_active_no_longer_than_they_must(self) -> None:
        last_active = max((endpoint.tier for endpoint in self.active()), default=0)
        has_earlier_warmed_up = any(
            endpoint.tier < last_active and self.now - endpoint.started_at >= SLOW_START
            for endpoint in self.available()
        )
        if not has_earlier_warmed_up:
            self.earlier_ready_since = None
        elif self.earlier_ready_since is None:
            self.earlier_ready_since = self.now
        if self.earlier_ready_since is not None:
            assert self.now - self.earlier_ready_since <= DEACTIVATION_DELAY_TICKS + TICKS_PER_SECOND


ListsAndReports.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestListsAndReports = ListsAndReports.TestCase

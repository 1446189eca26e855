"""Versions, the fencing of updates by terms, and the model checker of the ownership protocol."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from willowhook.decisions.settings import RequestSemantics
from willowhook.membership.model_checker import explore
from willowhook.membership.ownership import (
    OwnershipClaim,
    ProxyOwnership,
    UpdateVerdict,
    check_claim,
)
from willowhook.membership.retries import publishable_retries, stricter_retries
from willowhook.membership.takeover_model import (
    NEEDED_SAFEGUARDS,
    Bounds,
    Safeguard,
    Safeguards,
    safeguards_in,
)
from willowhook.membership.version import Version, VersionError, parse_version


def test_a_version_is_read_from_its_own_text() -> None:
    assert str(Version(3, 12, 4)) == "3.12.4"
    assert parse_version("3.12.4") == Version(3, 12, 4)


@pytest.mark.parametrize("text", ["", "1.2", "1.2.3.4", "a.b.c", "1.2.-3", "1.2.\u0663", "9" * 70 + ".1.1"])
def test_parse_version_rejects_invalid_text(text: str) -> None:
    with pytest.raises(VersionError):
        parse_version(text)


def test_a_proxy_applies_updates_of_its_own_term_and_forward_only() -> None:
    ownership = ProxyOwnership(4)
    ownership.join("a", ownership.next_term())
    assert ownership.check(Version(4, 9, 9)) is UpdateVerdict.STALE
    assert ownership.check(Version(6, 1, 1)) is UpdateVerdict.AHEAD
    assert ownership.check(Version(5, 1, 2)) is UpdateVerdict.APPLY
    ownership.record_applied(Version(5, 1, 2))
    assert ownership.check(Version(5, 1, 2)) is UpdateVerdict.OLD
    assert ownership.check(Version(5, 1, 1)) is UpdateVerdict.OLD
    assert ownership.check(Version(5, 2, 1)) is UpdateVerdict.APPLY  # the same controller after a restart
    with pytest.raises(ValueError, match="not above"):
        ownership.join("b", 5)
    ownership.join("b", 6)
    assert ownership.check(Version(5, 2, 2)) is UpdateVerdict.STALE


def test_an_unfenced_proxy_applies_whatever_is_new() -> None:
    ownership = ProxyOwnership(4)
    ownership.join("a", 5)
    assert ownership.check(Version(4, 9, 9), is_fenced=False) is UpdateVerdict.APPLY
    ownership.record_applied(Version(4, 9, 9))
    assert ownership.check(Version(4, 9, 9), is_fenced=False) is UpdateVerdict.OLD
    assert ownership.check(Version(3, 1, 1), is_fenced=False) is UpdateVerdict.APPLY


def test_a_claim_is_read_by_the_controller_it_names_and_its_term() -> None:
    assert check_claim("a", "a", term=3, claimed_term=3) is OwnershipClaim.OWNED
    assert check_claim("a", "", term=3, claimed_term=3) is OwnershipClaim.OWNED
    assert check_claim("a", "a", term=3, claimed_term=2) is OwnershipClaim.OUTDATED
    assert check_claim("a", "b", term=3, claimed_term=2) is OwnershipClaim.OUTDATED
    assert check_claim("a", "b", term=3, claimed_term=3) is OwnershipClaim.RELEASED
    assert check_claim("a", "a", term=3, claimed_term=4) is OwnershipClaim.RELEASED


def test_only_idempotent_requests_are_retried_after_any_failure() -> None:
    semantics = (RequestSemantics.IDEMPOTENT, RequestSemantics.DEDUPLICATED, RequestSemantics.AT_MOST_ONCE)
    assert [publishable_retries(kind, 3) for kind in semantics] == [3, 1, 1]
    assert publishable_retries(RequestSemantics.AT_MOST_ONCE, 0) == 0
    assert stricter_retries(2, 1) == stricter_retries(1, 3) == 1


@pytest.mark.parametrize("bounds", [Bounds(1, 2, 3, 1, 1), Bounds(2, 2, 2, 1, 0)])
def test_all_worlds_within_the_bounds_keep_the_invariants(bounds: Bounds) -> None:
    found = explore(bounds)
    assert not found.violation and found.world_count > 4000


def test_explore_raises_an_error_above_its_limit_of_worlds() -> None:
    with pytest.raises(RuntimeError, match="more than 100 worlds"):
        explore(Bounds(1, 2, 3, 1, 1), max_worlds=100)


@pytest.mark.parametrize("without", NEEDED_SAFEGUARDS)
def test_without_a_safeguard_an_invariant_fails(without: Safeguards) -> None:
    found = explore(Bounds(1, 2, 3, 2, 1), without)
    expected = "forward only" if without == {Safeguard.ORDER} else "current term"
    assert found.violation.startswith(expected) and len(found.path) > 3
    assert found.path[-1] == found.violation


def test_safeguards_are_read_from_their_names() -> None:
    assert safeguards_in("") == frozenset()
    assert safeguards_in("folder+name") == {Safeguard.FOLDER, Safeguard.WRITTEN_TERM}


class ManySessions(RuleBasedStateMachine):
    """Three controllers, long histories, renames late by any time: beyond what can be explored."""

    def __init__(self) -> None:
        super().__init__()
        self.ownership = ProxyOwnership()
        self.believed_terms: dict[str, int] = {}
        self.epochs = dict.fromkeys("abc", 1)
        self.update_count = 0
        self.pending: list[tuple[str, Version, int]] = []
        self.updates: dict[str, tuple[Version, int]] = {}
        self.applied: list[tuple[str, Version, int]] = []

    @rule(controller=st.sampled_from("abc"))
    def join(self, controller: str) -> None:
        self.ownership.join(controller, self.ownership.next_term())
        self.applied.clear()

    @rule()
    def read_claim(self) -> None:
        if self.ownership.controller:
            self.believed_terms[self.ownership.controller] = self.ownership.term

    @precondition(lambda self: self.believed_terms)
    @rule(data=st.data())
    def write_update(self, data: Any) -> None:
        controller = data.draw(st.sampled_from(sorted(self.believed_terms)))
        self.update_count += 1
        term = self.believed_terms[controller]
        version = Version(term, self.epochs[controller], self.update_count)
        self.pending.append((controller, version, term))

    @precondition(lambda self: self.pending)
    @rule(data=st.data())
    def rename(self, data: Any) -> None:
        position = data.draw(st.integers(0, len(self.pending) - 1))
        controller, version, term = self.pending.pop(position)
        self.updates[controller] = (version, term)

    @rule(controller=st.sampled_from("abc"))
    def restart(self, controller: str) -> None:
        self.epochs[controller] += 1
        self.believed_terms.pop(controller, None)

    @rule()
    def apply_update(self) -> None:
        update = self.updates.get(self.ownership.controller)
        if update is not None and self.ownership.check(update[0]) is UpdateVerdict.APPLY:
            self.ownership.record_applied(update[0])
            self.applied.append((self.ownership.controller, *update))

    @invariant()
    def one_controller_owns_the_proxy(self) -> None:
        assert len({controller for controller, _, _ in self.applied}) <= 1
        assert all(term == self.ownership.term for _, _, term in self.applied)
        versions = [(version.epoch, version.number) for _, version, _ in self.applied]
        assert versions == sorted(set(versions))


TestManySessions = ManySessions.TestCase
TestManySessions.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=60, deadline=None
)

"""Tests of the proxies that wait to be bound, and of their order."""

from __future__ import annotations

from builders import SECOND

from willowhook.decisions.pending_binds import PendingBinds


def test_pending_binds_order_by_waiting_time_and_then_by_traffic() -> None:
    pending = PendingBinds()
    pending.add(5 * SECOND, 0, rate_per_second=90.0, is_fresh=False)
    pending.add(4 * SECOND + SECOND // 2, 1, rate_per_second=10.0, is_fresh=False)
    pending.add(4 * SECOND, 2, rate_per_second=50.0, is_fresh=False)  # in the same second as proxy 1
    assert pending.in_order(with_earlier_table=True) == [2, 1, 0]


def test_pending_bind_of_a_fresh_proxy_counts_as_two_seconds_older() -> None:
    pending = PendingBinds()
    pending.add(4 * SECOND, 0, rate_per_second=90.0, is_fresh=False)
    pending.add(5 * SECOND, 1, rate_per_second=1.0, is_fresh=True)
    # counts as joined in the same second as proxy 0, but without an earlier table
    pending.add(6 * SECOND, 2, rate_per_second=90.0, is_fresh=True)
    assert pending.in_order(with_earlier_table=True) == [1, 2, 0]
    assert pending.in_order(with_earlier_table=False) == [1, 2]


def test_rebind_all_replaces_the_waiting_proxies() -> None:
    pending = PendingBinds()
    pending.add(0, 0, rate_per_second=1.0, is_fresh=False)
    pending.rebind_all(SECOND, [3, 2])
    assert list(pending) == [3, 2] and 0 not in pending
    assert pending.in_order(with_earlier_table=False) == [3, 2]


def test_removed_proxy_no_longer_waits() -> None:
    pending = PendingBinds()
    pending.add(0, 0, rate_per_second=1.0, is_fresh=True)
    pending.remove(0)
    pending.remove(1)  # never waited
    assert not pending and pending.in_order(with_earlier_table=True) == []

"""Tests of the queue limits. The channel carries 0.16 entries per tick, and its queue limit is 3200."""

from __future__ import annotations

import pytest
from builders import make_context, settings_with


def test_exclusions_may_fill_nearly_all_of_the_queue() -> None:
    assert make_context().limits.for_exclusions() == pytest.approx(0.95 * 3200)


@pytest.mark.parametrize(
    ("proxies", "limit"),
    [
        (6, 3200 / 3),  # a third of the queue
        # a third of the entries that are sent in time, less one message per proxy
        (200, (0.16 * (25_000 - 4350) - 200 * 8) / 3),
        (2000, 3200 / 6),  # at least a sixth of the queue
    ],
)
def test_bind_limit_leaves_capacity_for_exclusions_to_all_proxies(proxies: int, limit: float) -> None:
    assert make_context(settings_with(fleet__proxy_count=proxies)).limits.for_binds() == pytest.approx(limit)


def test_table_update_limit_is_a_share_of_the_queue_or_lets_later_exclusions_arrive_in_time() -> None:
    assert make_context().limits.for_table_updates() == pytest.approx(0.4 * 3200)
    sendable = 0.16 * (25_000 - 25_000 // 8 - 12_000)
    slow = make_context(settings_with(channel__max_delay_ticks=12_000, fleet__proxy_count=200))
    assert slow.limits.for_table_updates() == pytest.approx(min(0.4 * 3200, sendable))
    slower = make_context(settings_with(channel__max_delay_ticks=20_000))
    assert slower.limits.for_table_updates() == slower.limits.for_binds()


def test_reminder_limit_is_the_entries_sent_within_the_rest_of_the_drain_grace() -> None:
    assert make_context().limits.for_reminders() == pytest.approx(0.16 * (25_000 - 6250 - 4350))
    slow = make_context(settings_with(channel__max_delay_ticks=20_000))
    assert slow.limits.for_reminders() == pytest.approx(3200 / 2)

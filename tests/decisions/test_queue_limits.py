"""Tests of the queue's limits. The example carries 0.16 entries a tick and lets 3200 wait."""

from __future__ import annotations

import pytest
from builders import make_context, settings_with


def test_exclusions_may_fill_nearly_all_of_the_queue() -> None:
    assert make_context().limits.for_exclusions() == pytest.approx(0.95 * 3200)


@pytest.mark.parametrize(
    ("proxies", "limit"),
    [
        (6, 3200 / 3),  # a third of the queue
        (200, (0.16 * (25_000 - 4350) - 200 * 8) / 3),  # of what leaves in time, less a message to each
        (2000, 3200 / 6),  # a sixth of the queue at the least
    ],
)
def test_bind_limit_leaves_room_for_exclusions_to_all_proxies(proxies: int, limit: float) -> None:
    assert make_context(settings_with(fleet__proxy_count=proxies)).limits.for_binds() == pytest.approx(limit)


def test_table_update_limit_is_a_part_of_the_queue_or_what_leaves_before_exclusions_do() -> None:
    assert make_context().limits.for_table_updates() == pytest.approx(0.4 * 3200)
    in_time = 0.16 * (25_000 - 25_000 // 8 - 12_000)
    slow = make_context(settings_with(channel__max_delay_ticks=12_000, fleet__proxy_count=200))
    assert slow.limits.for_table_updates() == pytest.approx(min(0.4 * 3200, in_time))
    slower = make_context(settings_with(channel__max_delay_ticks=20_000))
    assert slower.limits.for_table_updates() == slower.limits.for_binds()


def test_reminder_limit_is_what_leaves_within_the_rest_of_the_drain_grace() -> None:
    assert make_context().limits.for_reminders() == pytest.approx(0.16 * (25_000 - 6250 - 4350))
    slow = make_context(settings_with(channel__max_delay_ticks=20_000))
    assert slow.limits.for_reminders() == pytest.approx(3200 / 2)

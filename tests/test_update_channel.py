"""Tests of the update channel: its rate, its order, and the limits that it checks."""

from __future__ import annotations

from types import SimpleNamespace

from controlplane_fixtures import SETTINGS
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.controlplane.channel import RateLimitedChannel
from willowhook.controlplane.proxy_state import ProxyView, UpdateMessage
from willowhook.controlplane.update_queue import UpdateQueue
from willowhook.ticks import TICKS_PER_SECOND


def message(number: int, proxy: int, cost_entries: int, ordered_at: int) -> UpdateMessage:
    return UpdateMessage(number, None, proxy, cost_entries, ordered_at, ProxyView({}, {}))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 4000), st.integers(1, 300), st.integers(0, 3)), max_size=40))
def test_messages_leave_in_order_and_never_above_the_rate(rows: list[tuple[int, int, int]]) -> None:
    channel = RateLimitedChannel(SETTINGS.channel)
    now = 100_000
    left: list[tuple[int, UpdateMessage]] = []
    rate = SETTINGS.channel.entries_per_second / 10_000
    for number, (pause, cost_entries, proxy) in enumerate(rows):
        now += pause
        while (departure := channel.take(now)) is not None:
            left.append((now, departure.message))
        channel.put(message(number, proxy, cost_entries, now))
    while (due := channel.next_departure()) is not None:
        now = max(now, int(due) + 1)
        departure = channel.take(now)
        assert departure is not None
        left.append((now, departure.message))
    assert channel.waiting_entries == 0
    assert [each.number for _, each in left] == list(range(len(rows)))
    for left_at, each in left:
        assert left_at >= each.ordered_at + each.cost_entries / rate - 1
    total = sum(cost_entries for _, cost_entries, _ in rows)
    if left:  # never faster than its rate, over any stretch from the start
        span = left[-1][0] - left[0][1].ordered_at
        assert span >= total / rate - 1 or any(pause for pause, _, _ in rows)


def test_queue_limit_and_message_cap_breaches_are_reported() -> None:
    limits = SETTINGS.channel._replace(
        queue_limit_entries=100,
        message_cap=2,
        message_cap_window_ticks=TICKS_PER_SECOND,
    )
    channel = RateLimitedChannel(limits)
    assert channel.put(message(1, 0, 90, 0))
    assert not channel.put(message(2, 0, 20, 0))
    channel.put(message(3, 0, 1, 0))
    within_cap = []
    for now in (5000, 6000, 7000):
        departure = channel.take(now)
        assert departure is not None
        within_cap.append(departure.is_within_cap)
    assert within_cap == [True, True, False]
    assert channel.peak_waiting_entries == 111
    assert channel.peak_messages_in_window == 3
    channel.put(message(4, 1, 5, 0))
    assert channel.drop_proxy(1) == 1
    assert channel.waiting_entries == 0


# Guards against messages that are queued again without asking whether the queue has room.
def test_held_message_is_queued_again_only_when_the_queue_has_room() -> None:
    held = message(1, 0, 60, 0)
    session = SimpleNamespace(name="p0", withheld=SimpleNamespace(message=held, until=0))
    context = SimpleNamespace(
        sessions=SimpleNamespace(by_number={}, unfinished_sessions=lambda: [session]),
        listener=SimpleNamespace(report_condition=lambda *_, **__: None),
        records=SimpleNamespace(record_queued=lambda *_: None),
    )
    numbers = SimpleNamespace(next_message_number=lambda: 7)
    limits = SETTINGS.channel._replace(queue_limit_entries=100)
    queue = UpdateQueue(context, limits, numbers)  # type: ignore[arg-type]
    queue.put(message(2, 1, 41, 0))
    queue.put_held_messages(0)
    assert session.withheld is not None and queue.channel.waiting_entries == 41
    assert queue.take(TICKS_PER_SECOND) is not None
    queue.put_held_messages(TICKS_PER_SECOND)
    assert session.withheld is None and queue.channel.waiting_entries == 60

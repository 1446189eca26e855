"""Tests of the estimate of the entries queued in the update channel."""

from __future__ import annotations

from builders import SETTINGS

from willowhook.decisions.channel import MAX_UNACKNOWLEDGED_MESSAGES, ChannelEstimate


def joined_channel(proxies: int) -> ChannelEstimate:
    """Returns a channel of 0.16 entries per tick with an overhead of 7 entries per message."""
    changes = {"entries_per_second": 1600.0, "message_overhead_entries": 6.0, "max_delay_ticks": 4000}
    channel = ChannelEstimate(SETTINGS.channel._replace(**changes), 0)
    for proxy in range(proxies):
        channel.add_proxy(proxy)
    return channel


def test_channel_with_late_acknowledgements_gives_up_no_message() -> None:
    channel = joined_channel(3)
    for _ in range(2):
        channel.charge([0, 1, 2], 100)
        channel.flush(0)
    channel.acknowledge(70_000, 0, 1)
    channel.update_overdue(80_000, 20_000)
    channel.advance_queue_estimate(80_000)
    assert channel.queue_ceiling() == channel.unproven_entries() == 5 * 107
    channel.update_overdue(95_000, 20_000)  # no further acknowledgement arrives
    channel.advance_queue_estimate(95_000)
    assert channel.queue_ceiling() == channel.unproven_entries() == 0


# Guards against a queue that is taken to be short because the controller ended sessions.
def test_messages_of_a_session_that_the_controller_ended_count_until_they_are_proven() -> None:
    channel = joined_channel(3)
    channel.charge([0, 1], 300)
    channel.flush(0)
    channel.remove_proxy(0, is_still_counted=True)
    channel.remove_proxy(1)  # its stream broke, so its messages no longer count
    channel.advance_queue_estimate(3000)
    assert channel.queue_ceiling() == channel.unproven_entries() == 307
    channel.charge([2], 10)
    channel.flush(3000)
    channel.acknowledge(4000, 2, 2)  # proves that the first flush has left
    channel.advance_queue_estimate(4000)
    assert channel.unproven_entries() == 0


# Guards against an estimate of the queue that parts from what the messages hold.
def test_charges_are_replaced_by_what_was_sent() -> None:
    channel = joined_channel(3)
    channel.charge([0, 1, 2], 10)
    channel.flush(0)
    channel.settle_flush({0: 17, 1: 12})  # the third proxy was sent nothing
    assert channel.queue_estimate() == channel.queue_ceiling() == channel.unproven_entries() == 29
    channel.charge([2], 3)
    channel.flush(0)
    channel.remove_proxy(2)  # its connection failed as the message was sent
    channel.settle_flush({2: 10})
    assert channel.unproven_entries() == 29


# Guards against a queue that others fill as well, such as messages that are queued again.
def test_queue_ceiling_counts_an_observed_queue_and_what_was_charged_since() -> None:
    channel = joined_channel(1)
    channel.observe_queue(500)
    channel.charge([0], 3)
    assert channel.queue_estimate() == 10 and channel.queue_ceiling() == 510
    channel.observe_queue(2)
    assert channel.queue_ceiling() == 10


def test_queue_ceiling_counts_all_entries_not_proven_to_have_left() -> None:
    channel = joined_channel(2)
    channel.charge([0, 1], 300)
    assert channel.queue_ceiling() == 614
    channel.flush(0)
    # at the stated rate 480 have left; in a slow channel all may be queued
    channel.advance_queue_estimate(3000)
    assert channel.queue_estimate() == 134 and channel.queue_ceiling() == 614
    channel.charge([0], 10)
    assert channel.queue_ceiling() == 631
    channel.flush(3000)
    channel.acknowledge(3000, 0, 1)
    channel.advance_queue_estimate(3000)
    assert channel.queue_ceiling() == 307 + 17


def test_messages_leave_in_order_and_long_overdue_ones_are_given_up() -> None:
    channel = joined_channel(2)
    for number in (1, 2):
        channel.charge([0, 1], 10)
        assert channel.flush(0) == number
    channel.update_overdue(6000, 50_000)
    assert channel.overdue == 68
    channel.acknowledge(6000, 1, 1)  # the rest of its flush and the second flush may still be queued
    channel.update_overdue(6000, 50_000)
    assert channel.overdue == channel.unproven_entries() == 51
    channel.acknowledge(6000, 1, 2)
    channel.update_overdue(6000, 50_000)
    assert channel.overdue == 17
    channel.update_overdue(60_000, 50_000)
    assert channel.overdue == channel.unproven_entries() == 0


def test_queue_estimate_counts_unproven_entries_except_those_on_their_way() -> None:
    """Guards against overfilling the queue of a stalled channel, which the stated rate does not show."""
    channel = joined_channel(50)
    channel.charge([*range(50)], 33)
    channel.flush(0)
    channel.advance_queue_estimate(10_000)
    assert channel.queued == 400 and channel.queue_estimate() == 2000 - 640
    channel.advance_queue_estimate(20_000)
    assert channel.queued == 0 and channel.queue_estimate() == 2000 - 640
    channel.charge([0], 3)
    assert channel.queue_estimate() == 2010 - 640
    channel.flush(20_000)
    channel.acknowledge(20_000, 0, 2)
    channel.advance_queue_estimate(20_000)
    assert channel.queue_estimate() == 10


def test_proxy_that_acknowledges_nothing_while_others_do_is_unresponsive() -> None:
    channel = joined_channel(2)
    for number in range(1, MAX_UNACKNOWLEDGED_MESSAGES + 2):
        assert channel.unresponsive_proxies() == []
        channel.charge([0, 1], 1)
        channel.flush(0)
        channel.acknowledge(0, 0, number)
    channel.charge([0, 1], 1)
    channel.flush(0)
    assert channel.unresponsive_proxies() == []  # its last message may still be queued
    channel.acknowledge(0, 0, channel.last_marker)
    assert channel.unresponsive_proxies() == [1]
    waiting = channel.unproven_entries()
    assert channel.give_up_messages(1) == MAX_UNACKNOWLEDGED_MESSAGES + 1
    assert len(channel.unacknowledged[1]) == 1 and channel.unproven_entries() == waiting


def test_no_proxy_is_unresponsive_while_nothing_is_acknowledged() -> None:
    channel = joined_channel(2)
    for _ in range(3 * MAX_UNACKNOWLEDGED_MESSAGES):
        channel.charge([0, 1], 1)
        channel.flush(0)
    assert channel.unresponsive_proxies() == []

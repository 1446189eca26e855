"""Tests of pacing: message spacing under a cap, and pauses between table updates."""

from __future__ import annotations

from builders import SETTINGS, make_context, settings_with
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.decisions.pacing import UpdatePacer, message_spacing


@settings(derandomize=True, deadline=None)
@given(st.integers(1, 200), st.integers(1, 200_000))
def test_message_spacing_keeps_the_cap_in_every_window(message_cap: int, window_ticks: int) -> None:
    deployment = settings_with(
        channel__message_cap=message_cap, channel__message_cap_window_ticks=window_ticks
    )
    assert message_cap * message_spacing(deployment.channel) > window_ticks


def test_message_spacing_without_a_cap_is_zero() -> None:
    assert message_spacing(SETTINGS.channel) == 0


def test_pacer_with_a_message_cap_spaces_messages() -> None:
    pacer = UpdatePacer(make_context(settings_with(channel__message_cap=11)))  # in 100,000 ticks
    assert pacer.can_send(0)
    pacer.record_messages(0)
    assert not pacer.can_send(10_000) and pacer.can_send(10_001)


def test_pacer_pauses_table_updates_to_keep_them_within_half_the_channel_rate() -> None:
    pacer = UpdatePacer(make_context())
    assert pacer.are_table_updates_due(0)
    pacer.record_table_updates(0, entries=1600.0, has_changes=False)  # at half of 0.16 entries a tick
    assert not pacer.are_table_updates_due(19_999) and pacer.are_table_updates_due(20_000)


def test_pacer_pauses_table_updates_for_one_evaluation_if_changes_are_left_or_few_were_sent() -> None:
    pacer = UpdatePacer(make_context())
    for entries, has_changes in ((1600.0, True), (1.0, False)):
        pacer.record_table_updates(0, entries, has_changes)
        assert not pacer.are_table_updates_due(4999) and pacer.are_table_updates_due(5000)


def test_pacer_allows_table_updates_at_once_after_an_ejection() -> None:
    pacer = UpdatePacer(make_context())
    pacer.record_table_updates(0, entries=1600.0, has_changes=False)
    pacer.expedite_table_updates(100)
    assert pacer.are_table_updates_due(100)

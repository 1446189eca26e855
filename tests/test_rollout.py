"""Staged rollout: which contents are halted, which proxies get the next one, and which count as good."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.ticks import TICKS_PER_SECOND
from willowhook.versions.rollout import Rollout, RolloutMode, RolloutSettings
from willowhook.versions.rollout_track import MAX_CONTENTS, Content


class RecordingListener:
    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def handle_halted(self, unit: Any, bad: Any, good: Any, cause: str) -> None:
        self.calls.append(("halted", bad, good, cause))

    def handle_released(self, unit: Any) -> None:
        self.calls.append(("released",))


def offer_to_all(
    rollout: Rollout,
    now: int,
    content: int,
    proxies: range,
    rejecting: frozenset[int] | set[int] = frozenset(),
) -> dict[int, Content | None]:
    """Offers a content to all; those in `rejecting` reject it. Returns the content that each was sent."""
    sent = {}
    for proxy in proxies:
        chosen = rollout.choose(now, proxy, "t", content)
        sent[proxy] = chosen
        if chosen is None:
            continue
        rollout.record_offered(now, proxy, "t", chosen)
        if proxy in rejecting and chosen == content:
            rollout.record_rejected(now, proxy, "t", chosen, "bad")
        else:
            rollout.record_acknowledged(now, proxy, "t", chosen)
    return sent


def test_new_content_is_halted_also_while_all_remembered_ones_are_in_use() -> None:
    """Guards against a content that is forgotten as soon as it is offered, so that nothing could halt it."""
    listener = RecordingListener()
    rollout = Rollout(RolloutSettings(), listener)
    for proxy in range(MAX_CONTENTS):  # each runs a content of its own
        offer_to_all(rollout, proxy, proxy, range(proxy, proxy + 1))
    bad = MAX_CONTENTS
    offer_to_all(rollout, 100, bad, range(100, 200), rejecting=set(range(100, 200)))
    assert bad in rollout.tracks["t"].halted and listener.calls[0][:2] == ("halted", bad)


def test_content_that_many_reject_is_halted_and_the_next_goes_to_canaries() -> None:
    listener = RecordingListener()
    rollout = Rollout(RolloutSettings(), listener)
    everyone = range(100)
    offer_to_all(rollout, 0, 1, everyone)
    assert rollout.tracks["t"].good == 1 and not listener.calls
    bad = {20, 41, 60, 80}
    sent = offer_to_all(rollout, 10, 2, everyone, bad)
    not_updated = [proxy for proxy in everyone if sent[proxy] == 1]
    assert listener.calls[0][:3] == ("halted", 2, 1)
    assert min(not_updated) == 42  # the second rejection was enough
    sent = offer_to_all(rollout, 20, 3, everyone)
    canaries = [proxy for proxy in everyone if sent[proxy] == 3]
    assert 1 <= len(canaries) <= 6 and {20, 41} & set(canaries)
    rollout.evaluate(20 + TICKS_PER_SECOND)
    assert len(listener.calls) == 1
    rollout.evaluate(30 + 2 * TICKS_PER_SECOND)
    assert listener.calls[-1] == ("released",)
    assert set(offer_to_all(rollout, 5 * TICKS_PER_SECOND, 4, everyone).values()) == {4}


def test_a_canary_that_rejects_or_whose_requests_fail_more_halts_again() -> None:
    for failure in ("rejects", "worse"):
        listener = RecordingListener()
        rollout = Rollout(RolloutSettings(), listener)
        everyone = range(50)
        offer_to_all(rollout, 0, 1, everyone)
        offer_to_all(rollout, 1, 2, everyone, {0, 1, 2})
        track = rollout.tracks["t"]
        canaries = set(track.canaries)
        offer_to_all(rollout, 2, 3, everyone, canaries if failure == "rejects" else set())
        for proxy in everyone:
            rollout.record_requests(
                2 * TICKS_PER_SECOND, proxy, 30, 20 if failure == "worse" and proxy in canaries else 1
            )
        rollout.evaluate(TICKS_PER_SECOND + 2 * TICKS_PER_SECOND)
        assert [call[:2] for call in listener.calls][:2] == [("halted", 2), ("halted", 3)], failure
        assert rollout.choose(4 * TICKS_PER_SECOND, 49, "t", 3) == 1


def test_silent_canaries_hold_up_the_others_only_for_a_while() -> None:
    listener = RecordingListener()
    rollout = Rollout(RolloutSettings(), listener)
    offer_to_all(rollout, 0, 1, range(10))
    offer_to_all(rollout, 1, 2, range(10), {0, 1})
    for proxy in list(rollout.tracks["t"].canaries):
        rollout.remove_proxy(proxy)
    rollout.evaluate(TICKS_PER_SECOND)
    assert listener.calls[-1] == ("released",) and rollout.choose(TICKS_PER_SECOND, 9, "t", 5) == 5


def test_one_proxy_that_rejects_everything_halts_nothing() -> None:
    listener = RecordingListener()
    rollout = Rollout(RolloutSettings(), listener)
    for content in range(1, 30):
        offer_to_all(rollout, content, content, range(40), {7})
    assert not listener.calls and rollout.tracks["t"].good == 29 and len(rollout.tracks["t"].contents) <= 17


def test_a_halted_first_content_has_no_substitute_and_the_next_goes_out() -> None:
    listener = RecordingListener()
    rollout = Rollout(RolloutSettings(), listener)
    offer_to_all(rollout, 0, 1, range(10), {0, 1})
    assert listener.calls[0][:3] == ("halted", 1, None)
    assert rollout.choose(1, 9, "t", 1) is None and rollout.choose(1, 9, "t", 2) == 2


def test_mode_always_sends_every_content_to_canaries_first() -> None:
    listener = RecordingListener()
    rollout = Rollout(RolloutSettings(mode=RolloutMode.ALWAYS), listener)
    offer_to_all(rollout, 0, 1, range(40))
    sent = offer_to_all(rollout, 10, 2, range(40))
    assert 1 <= sum(chosen == 2 for chosen in sent.values()) <= 4
    rollout.evaluate(3 * TICKS_PER_SECOND)
    assert listener.calls == [("released",)]
    assert set(offer_to_all(rollout, 3 * TICKS_PER_SECOND, 2, range(40)).values()) == {2}
    assert (
        sum(chosen == 3 for chosen in offer_to_all(rollout, 4 * TICKS_PER_SECOND, 3, range(40)).values()) <= 4
    )


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("oatrl"), st.integers(0, 5), st.integers(1, 6)), max_size=80))
def test_good_content_was_acknowledged_by_all_who_run_it(steps: list[tuple[str, int, int]]) -> None:
    """Beside a brute-force reading: nobody's last offer is older, and whoever did not take it refused it or
    has got something newer.
    """
    listener = RecordingListener()
    rollout = Rollout(RolloutSettings(max_rejected_fraction=0.5, min_rejections=100), listener)
    offers: dict[int, list[int]] = {}
    took: dict[int, set[int]] = {}
    no: dict[int, set[int]] = {}
    newest, was = 0, None
    for what, proxy, _ in steps:
        if what == "o":
            newest += 1
        elif what == "a" and newest:
            rollout.record_offered(0, proxy, "t", newest)
            offers.setdefault(proxy, []).append(newest)
        elif what == "t" and offers.get(proxy):
            rollout.record_acknowledged(0, proxy, "t", offers[proxy][-1])
            took.setdefault(offers[proxy][-1], set()).add(proxy)
        elif what == "r" and offers.get(proxy):
            rollout.record_rejected(0, proxy, "t", offers[proxy][-1], "no")
            no.setdefault(offers[proxy][-1], set()).add(proxy)
        elif what == "l":
            rollout.remove_proxy(proxy)
            offers.pop(proxy, None)
        track = rollout.tracks.get("t")
        good = track.good if track is not None else None
        if good is not None and good != was:
            for p, rows in offers.items():
                assert rows[-1] >= good or p in no.get(rows[-1], ()), "somebody has not got so far"
                if rows[-1] == good:
                    assert p in took.get(good, ()) or p in no.get(good, ())
        was = good

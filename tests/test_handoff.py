"""Hints between controllers: sent until acknowledged, kept once even if the link loses or repeats packets."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.membership.handoff import EndpointSums, Hint, HintReceiver, HintSender, Packet


def packets(count: int) -> list[Packet]:
    return [
        Packet("a", 1, k, Hint(f"p{k % 3}", k, 10, {"h": EndpointSums(k + 1, 0, 5)})) for k in range(count)
    ]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, 8), max_size=60), st.lists(st.integers(0, 60), max_size=6))
def test_a_receiver_keeps_the_newest_hint_of_each_proxy_whatever_the_link_does(
    arrivals: list[int], claims_after: list[int]
) -> None:
    """Any packets, in any order, any number of times."""
    receiver = HintReceiver(1000)
    sent = packets(9)
    claimed: dict[str, int] = {}
    kept: dict[str, int] = {}
    for place, index in enumerate(arrivals):
        receiver.take(0, sent[index])
        proxy, term = sent[index].hint.proxy, sent[index].hint.term
        if term > claimed.get(proxy, -1):
            kept[proxy] = max(kept.get(proxy, -1), term)
        if place in claims_after:
            hint = receiver.claim(10, proxy, 100)
            newest = kept.pop(proxy, None)
            assert (hint.term if hint else None) == newest
            if newest is not None:
                claimed[proxy] = newest
            assert receiver.claim(10, proxy, 100) is None  # once


def test_claim_ignores_hints_of_a_later_session_and_expired_hints() -> None:
    receiver = HintReceiver(1000)
    packet = Packet("a", 1, 1, Hint("p", 7, 10, {}))
    receiver.take(0, packet)
    assert receiver.claim(10, "p", 7) is None  # a hint is only for later terms
    receiver.take(0, Packet("a", 1, 2, Hint("p", 8, 10, {})))
    assert receiver.claim(1001, "p", 9) is None
    receiver.take(2000, packet)  # a duplicate, after the hint was claimed
    assert receiver.claim(2001, "p", 10) is None


def test_full_receiver_keeps_the_newest_hints() -> None:
    receiver = HintReceiver(1000, max_kept=2)
    for name in "abc":
        receiver.take(0, Packet("a", 1, 1, Hint(name, 1, 10, {})))
    assert [receiver.claim(1, name, 2) is not None for name in "abc"] == [False, True, True]


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.booleans(), max_size=12))
def test_a_sender_goes_on_until_acknowledged_and_not_for_ever(is_lost: list[bool]) -> None:
    sent: list[Packet] = []
    sender = HintSender("a", 3, sent.append, 100, 3000)
    sender.send(0, Hint("p", 1, 10, {}))
    seen = 0
    for now in range(0, 4000, 50):
        sender.resend_due(now)
        for packet in sent[seen:]:
            seen += 1
            if seen <= len(is_lost) and not is_lost[seen - 1]:
                sender.acknowledge(2, packet.number)  # of another epoch: no acknowledgement
                sender.acknowledge(3, packet.number)
    assert len(sender) == 0 and 1 <= len(sent) <= 6
    first_received = next((k for k, lost in enumerate(is_lost) if not lost), None)
    if first_received is not None and first_received < 5:
        assert len(sent) == first_received + 1
    sender.send(5000, Hint("p", 2, 10, {}))
    sender.send(5001, Hint("p", 3, 10, {}))
    assert len(sender) == 1  # the newer replaces the older


def test_acknowledgement_of_an_earlier_epoch_is_ignored() -> None:
    sender = HintSender("a", 3, lambda packet: None, 100, 3000)
    sender.send(0, Hint("p", 1, 10, {}))
    sender.acknowledge(2, 1)
    assert len(sender) == 1
    sender.acknowledge(3, 1)
    assert len(sender) == 0

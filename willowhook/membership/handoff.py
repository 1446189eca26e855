"""Hinted handoff between linked controllers: sends evidence about a proxy to those that it may join next.

A hint is only evidence. It does not make a controller the owner of a proxy; only the proxy decides that. A
controller that a proxy joins without a hint does the same with less evidence. So the link may lose, duplicate
and reorder packets: a packet is resent until it is acknowledged or too old, and is accepted once.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

KEPT_HINTS = 10_000
BACKOFF_FACTOR = 2


class EndpointSums(NamedTuple):
    """Sums over the attempts of a proxy at one endpoint.

    Attributes:
        attempts: the number of attempts that have ended.
        failures: the number of failures among them.
        mean_latency_ticks: the mean latency of the attempts that succeeded.
    """

    attempts: int
    failures: int
    mean_latency_ticks: int


@dataclass(frozen=True, slots=True)
class Hint:
    """The evidence about a proxy from one session.

    Attributes:
        proxy: its name.
        term: its fencing term in that session.
        window: the time that the evidence covers, in ticks.
        endpoints: the sums by the endpoint's name.
    """

    proxy: str
    term: int
    window: int
    endpoints: Mapping[str, EndpointSums]


@dataclass(frozen=True, slots=True)
class Packet:
    """A hint in transit.

    Attributes:
        sender: the name of the controller that sends it.
        epoch: the epoch of the sender; the numbers of packets start again with each epoch.
        number: the number of the packet within the epoch.
        hint: the hint that it carries.
    """

    sender: str
    epoch: int
    number: int
    hint: Hint


@dataclass(slots=True)
class _PendingPacket:
    packet: Packet
    sent_at: int  # when it was first sent
    backoff: int
    resend_at: int


class HintSender:
    """Sends each packet to one peer until it is acknowledged, with exponential backoff. Times in ticks."""

    def __init__(
        self, sender: str, epoch: int, send: Callable[[Packet], None], first_backoff: int, lifetime: int
    ) -> None:
        """Creates a sender for this controller; a packet that is older than `lifetime` is dropped."""
        self._sender = sender
        self._epoch = epoch
        self._send = send
        self._first_backoff = first_backoff
        self._lifetime = lifetime
        self._pending: dict[int, _PendingPacket] = {}
        self._count = 0

    def __len__(self) -> int:
        """Returns the number of unacknowledged packets."""
        return len(self._pending)

    def send(self, now: int, hint: Hint) -> None:
        """Sends a hint, which replaces an older one of the same proxy."""
        for number, pending in list(self._pending.items()):
            if pending.packet.hint.proxy == hint.proxy:
                del self._pending[number]
        self._count += 1
        packet = Packet(self._sender, self._epoch, self._count, hint)
        self._pending[self._count] = _PendingPacket(
            packet, now, self._first_backoff, now + self._first_backoff
        )
        self._send(packet)

    def acknowledge(self, epoch: int, number: int) -> None:
        """Stops resending a packet; an acknowledgement of another epoch is ignored."""
        if epoch == self._epoch:
            self._pending.pop(number, None)

    def resend_due(self, now: int) -> None:
        """Resends the packets that are due, and drops those that are too old."""
        for number, pending in list(self._pending.items()):
            if now - pending.sent_at >= self._lifetime:
                del self._pending[number]
            elif now >= pending.resend_at:
                pending.backoff *= BACKOFF_FACTOR
                pending.resend_at = now + pending.backoff
                self._send(pending.packet)


class HintReceiver:
    """Keeps the newest hint of each proxy until it is claimed or too old. Times in ticks."""

    def __init__(self, lifetime: int, max_kept: int = KEPT_HINTS) -> None:
        """Keeps at most the newest `max_kept` hints, for `lifetime` ticks each."""
        self._lifetime = lifetime
        self._max_kept = max_kept
        self._hints: dict[str, tuple[int, Hint]] = {}  # by proxy: when it was received, and the hint
        self._claimed_terms: dict[str, int] = {}  # by proxy: the term of the hint claimed last

    def take(self, now: int, packet: Packet) -> None:
        """Accepts any packet, in any order and any number of times; the caller acknowledges all of them."""
        hint = packet.hint
        if self._knows_newer(hint):
            return
        self._hints.pop(hint.proxy, None)  # reinserted at the end: the newest hint comes last
        self._hints[hint.proxy] = (now, hint)
        while len(self._hints) > self._max_kept:
            del self._hints[next(iter(self._hints))]

    def claim(self, now: int, proxy: str, term: int) -> Hint | None:
        """Returns, once, the evidence about a proxy from before this term; None: there is none of use."""
        entry = self._hints.pop(proxy, None)
        if entry is None:
            return None
        received_at, hint = entry
        self._claimed_terms[proxy] = hint.term
        if len(self._claimed_terms) > self._max_kept:
            del self._claimed_terms[next(iter(self._claimed_terms))]
        return hint if hint.term < term and now - received_at <= self._lifetime else None

    def _knows_newer(self, hint: Hint) -> bool:
        kept = self._hints.get(hint.proxy)
        if kept is not None and kept[1].term >= hint.term:
            return True
        claimed_term = self._claimed_terms.get(hint.proxy)
        return claimed_term is not None and claimed_term >= hint.term

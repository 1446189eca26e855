"""Direct handoff, where an installation allows links: what a director knew of a proxy, told to who may
get it.

A hint is evidence and nothing else.  It makes nobody the ruler of a proxy: that is the proxy's claim
alone.  A director that gets a proxy without a hint does the same, only with less known.  So the link may
lose, double and reorder: a packet is sent again until it is answered or of no more use, and taken once.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

Sums = tuple[int, int, int]  # tries, errors, mean time of the answered in tenths of a millisecond


@dataclass(frozen=True, slots=True)
class Hint:
    """What was met by one proxy in one stay, by host, over the last `window`."""

    proxy: str
    term: int
    window: int
    hosts: Mapping[str, Sums]


@dataclass(frozen=True, slots=True)
class Packet:
    sender: str
    epoch: int  # of the sender's start: its numbers begin anew with each
    number: int
    hint: Hint


class Teller:
    """The side that tells: each packet until it is answered, ever more seldom, for `lasts` at the most."""

    def __init__(
        self, sender: str, epoch: int, send: Callable[[Packet], None], first: int, lasts: int
    ) -> None:
        self._sender, self._epoch, self._send = sender, epoch, send
        self._first, self._lasts = first, lasts
        self._open: dict[int, tuple[Packet, int, int, int]] = {}  # packet, since, wait, when next
        self._count = 0

    def tell(self, now: int, hint: Hint) -> None:
        for number, (packet, *_) in list(self._open.items()):
            if packet.hint.proxy == hint.proxy:  # the newer is all that is of use
                del self._open[number]
        self._count += 1
        packet = Packet(self._sender, self._epoch, self._count, hint)
        self._open[self._count] = (packet, now, self._first, now + self._first)
        self._send(packet)

    def answered(self, epoch: int, number: int) -> None:
        if epoch == self._epoch:
            self._open.pop(number, None)

    def look(self, now: int) -> None:
        for number, (packet, since, wait, due) in list(self._open.items()):
            if now - since >= self._lasts:
                del self._open[number]
            elif now >= due:
                self._open[number] = (packet, since, 2 * wait, now + 2 * wait)
                self._send(packet)

    def __len__(self) -> int:
        return len(self._open)


class Listener:
    """The side that is told: the newest hint of each proxy, for `lasts`, given out once."""

    def __init__(self, lasts: int, most: int = 10_000) -> None:
        self._lasts, self._most = lasts, most
        self._hints: dict[str, tuple[int, Hint]] = {}
        self._last: dict[str, tuple[int, int]] = {}  # by proxy: term and packet's place that were given out

    def take(self, now: int, packet: Packet) -> None:
        """Any packet, in any order, any number of times.  All are to be answered."""
        hint = packet.hint
        known = self._hints.get(hint.proxy)
        used = self._last.get(hint.proxy)
        if (known is not None and known[1].term >= hint.term) or (used is not None and used[0] >= hint.term):
            return
        self._hints.pop(hint.proxy, None)
        self._hints[hint.proxy] = (now, hint)
        while len(self._hints) > self._most:
            del self._hints[next(iter(self._hints))]

    def claim(self, now: int, proxy: str, term: int) -> Hint | None:
        """What is known of this proxy from before this stay; given out once, and never late."""
        found = self._hints.pop(proxy, None)
        if found is None:
            return None
        at, hint = found
        self._last[proxy] = (hint.term, 0)
        if len(self._last) > self._most:
            del self._last[next(iter(self._last))]
        return hint if hint.term < term and now - at <= self._lasts else None

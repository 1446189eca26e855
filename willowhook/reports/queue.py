"""Reports that wait to be looked at: bounded, fair among proxies, an unbiased sample if too many come.

Each proxy has room for two reports.  Of `k` that came since it was last served, any two are kept with the
same chance (reservoir sampling, Vitter 1985), so `k / 2` times their sum is unbiased whatever was dropped,
and the two tell how far apart reports of that time are.  Proxies are served by deficit round robin (Shreedhar
and Varghese 1996), with shares by what their calls weigh; those that were never heard go first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

ROOM = 2
LEAST, MOST = 0.25, 4.0  # of a proxy's share beside the mean one
COST = 1.0  # of one report


@dataclass(slots=True)
class Held:
    """What one proxy has waiting."""

    rows: list[tuple[int, bytes]] = field(default_factory=list)  # when it came, the report
    came: int = 0  # since it was last served
    deficit: float = 0.0
    share: float = 1.0
    heard: bool = False  # ever


@dataclass(frozen=True, slots=True)
class Taken:
    proxy: str
    rows: tuple[tuple[int, bytes], ...]
    came: int  # of so many these are a sample


class Queue:
    """`draw(n)`: a whole number under `n`, by chance."""

    def __init__(self, draw: Callable[[int], int], room: int = ROOM) -> None:
        self._draw, self._room = draw, room
        self._held: dict[str, Held] = {}
        self._first: deque[str] = deque()  # never heard
        self._turn: deque[str] = deque()
        self.came = self.dropped = 0
        self.bytes = 0

    def __len__(self) -> int:
        """Proxies that wait."""
        return len(self._first) + len(self._turn)

    def offer(self, now: int, proxy: str, data: bytes) -> None:
        held = self._held.get(proxy)
        if held is None:
            held = self._held[proxy] = Held()
        self.came += 1
        held.came += 1
        if held.came == 1:
            (self._turn if held.heard else self._first).append(proxy)
        if len(held.rows) < self._room:
            held.rows.append((now, data))
            self.bytes += len(data)
            return
        self.dropped += 1
        at = self._draw(held.came)
        if at < self._room:
            self.bytes += len(data) - len(held.rows[at][1])
            held.rows[at] = (now, data)

    def take(self, now: int) -> Taken | None:
        """The next proxy's; None if nobody waits."""
        if self._first:
            return self._serve(now, self._first.popleft())
        while self._turn:
            proxy = self._turn.popleft()
            held = self._held[proxy]
            held.deficit += held.share
            if held.deficit >= COST * len(held.rows) or len(self._turn) == 0:
                held.deficit = max(0.0, held.deficit - COST * len(held.rows))
                return self._serve(now, proxy)
            self._turn.append(proxy)
        return None

    def _serve(self, now: int, proxy: str) -> Taken:
        held = self._held[proxy]
        taken = Taken(proxy, tuple(held.rows), held.came)
        self.bytes -= sum(len(data) for _, data in held.rows)
        held.rows, held.came, held.heard = [], 0, True
        return taken

    def weigh(self, proxy: str, share: float) -> None:
        """`share`: what its calls weigh beside the mean proxy's."""
        held = self._held.get(proxy)
        if held is not None:
            held.share = min(max(share, LEAST), MOST)

    def forget(self, proxy: str) -> None:
        held = self._held.pop(proxy, None)
        if held is not None and held.came:
            self.bytes -= sum(len(data) for _, data in held.rows)
            for line in (self._first, self._turn):
                if proxy in line:
                    line.remove(proxy)

"""How surely a silent peer is gone: from how regular its signs of life were, not from one fixed time-out.

The measure is that of accrual failure detectors: minus the logarithm of the chance that a sign of life
comes this late, with intervals taken as normal, their spread never under a floor.  A bound on silence
stands beside it both ways.
"""

from __future__ import annotations

import math
from collections import deque


class Suspicion:
    """Times in any one unit.  `usual`: the interval that is announced."""

    def __init__(
        self, usual: float, least: float, most: float, threshold: float = 8.0, kept: int = 64
    ) -> None:
        """Never suspected before `least` of silence, always after `most`, else from `threshold` on."""
        self._usual, self._least, self._most, self._threshold = usual, least, most, threshold
        self._gaps: deque[float] = deque(maxlen=kept)
        self._sum = self._squares = 0.0
        self._last: float | None = None

    def heard(self, now: float) -> None:
        if self._last is not None and now > self._last:
            gap = min(now - self._last, self._most)
            if len(self._gaps) == self._gaps.maxlen:
                old = self._gaps[0]
                self._sum -= old
                self._squares -= old * old
            self._gaps.append(gap)
            self._sum += gap
            self._squares += gap * gap
        self._last = now

    def level(self, now: float) -> float:
        """0 and more; each 1 is a tenth of the chance that it is still there."""
        if self._last is None:
            return 0.0
        silent, n = now - self._last, len(self._gaps)
        mean = self._sum / n if n >= 4 else self._usual
        spread = math.sqrt(max(self._squares / n - mean * mean, 0.0)) if n >= 4 else self._usual / 2
        spread = max(spread, self._usual / 5)
        return -math.log10(max(math.erfc((silent - mean) / spread / math.sqrt(2)) / 2, 1e-300))

    def suspected(self, now: float) -> bool:
        if self._last is None:
            return False
        silent = now - self._last
        if silent <= self._least:
            return False
        return silent >= self._most or self.level(now) >= self._threshold

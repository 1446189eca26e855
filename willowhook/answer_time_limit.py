"""How long a client waits for the answers of a service before it gives a request up."""

from __future__ import annotations

from collections import deque

RECENT_ANSWERS = 4
ANSWER_TIME_MARGIN = 1.5  # the limit, relative to the slowest of the recent answers
MAX_DOUBLINGS = 8  # the largest limit is reached long before


class AnswerTimeLimit:
    """Follows the time that a service needs for its answers.

    The limit is short while answers are quick, so that a lost one is noticed early. A limit that stayed below
    what the service needs would refuse every answer, and each request that is given up adds to the load of a
    slow service. So the limit grows with the recent answers, and doubles with each time-out in a row but the
    first, which may be an answer that was lost on its way.

    Args:
        min_seconds: the limit while answers are quick.
        max_seconds: the largest limit.

    Attributes:
        timeouts: the time-outs in a row.
    """

    def __init__(self, min_seconds: float, max_seconds: float) -> None:
        self.timeouts = 0
        self._min_seconds = min_seconds
        self._max_seconds = max_seconds
        self._recent_seconds: deque[float] = deque(maxlen=RECENT_ANSWERS)

    @property
    def seconds(self) -> float:
        """How long the answer to the next request may take."""
        slowest = max(self._recent_seconds, default=0.0)
        doublings = min(max(self.timeouts - 1, 0), MAX_DOUBLINGS)
        limit = max(self._min_seconds, ANSWER_TIME_MARGIN * slowest) * 2.0**doublings
        return min(limit, self._max_seconds)

    def record_answer(self) -> None:
        """Records that a request was answered."""
        self.timeouts = 0

    def record_answer_time(self, seconds: float) -> None:
        """Records the time that the service needed for an answer."""
        self._recent_seconds.append(seconds)

    def record_timeout(self) -> None:
        """Records a request that was given up after the limit."""
        self.timeouts += 1

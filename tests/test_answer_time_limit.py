"""The time limit of requests, which follows the time that a service needs."""

from __future__ import annotations

import pytest

from willowhook.answer_time_limit import AnswerTimeLimit


def test_limit_is_the_smallest_one_while_answers_are_quick() -> None:
    limit = AnswerTimeLimit(1.2, 6.0)
    assert limit.seconds == 1.2
    for _ in range(10):
        limit.record_answer_time(0.7)
        assert limit.seconds == 1.2


def test_limit_follows_the_slowest_of_the_recent_answers() -> None:
    limit = AnswerTimeLimit(1.2, 6.0)
    limit.record_answer_time(2.0)
    for answers in range(1, 4):
        limit.record_answer_time(0.1)
        assert limit.seconds == 3.0, f"after {answers} quick answers"
    limit.record_answer_time(0.1)
    assert limit.seconds == 1.2


def test_limit_doubles_with_each_timeout_in_a_row_but_the_first() -> None:
    limit = AnswerTimeLimit(1.2, 6.0)
    limits = []
    for _ in range(5):
        limit.record_timeout()
        limits.append(limit.seconds)
    assert limits == [1.2, 2.4, 4.8, 6.0, 6.0]
    limit.record_answer()
    assert limit.seconds == 1.2 and limit.timeouts == 0


@pytest.mark.parametrize("timeouts", [100, 100_000])
def test_limit_is_bounded_after_many_timeouts(timeouts: int) -> None:
    """Guards against a float that overflows when a service is silent for hours."""
    limit = AnswerTimeLimit(1.2, 6.0)
    for _ in range(timeouts):
        limit.record_timeout()
    assert limit.seconds == 6.0


@pytest.mark.parametrize("needed_seconds", [0.5, 1.3, 2.5, 3.9, 5.9])
def test_service_that_needs_longer_is_heard_and_is_not_given_up_again(needed_seconds: float) -> None:
    """Guards against a limit that stays below what the service needs, so that every answer is refused."""
    limit = AnswerTimeLimit(1.2, 6.0)
    while limit.seconds < needed_seconds:
        limit.record_timeout()
        assert limit.timeouts < 6
    for _ in range(9):
        limit.record_answer()
        limit.record_answer_time(needed_seconds)
        assert limit.seconds > needed_seconds

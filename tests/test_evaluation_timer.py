"""The evaluation timer, which every server that runs a controller uses."""

from __future__ import annotations

from willowhook.evaluation_timer import EvaluationTimer


class FakeClock:
    def __init__(self) -> None:
        self.ticks = 1000

    def now(self) -> int:
        return self.ticks


def test_evaluations_fall_due_in_the_order_of_their_times() -> None:
    clock = FakeClock()
    timer = EvaluationTimer(clock)
    assert timer.next_due() is None and not timer.pop_due(10**9)
    timer.schedule(300)
    timer.schedule(100)
    timer.schedule(-5)  # is due at once
    assert timer.next_due() == 1000
    assert timer.pop_due(1000) and not timer.pop_due(1000)
    clock.ticks = 1150
    assert timer.next_due() == 1100  # although that time has passed
    assert timer.pop_due(1150) and not timer.pop_due(1150)
    assert timer.pop_due(1300) and timer.next_due() is None


def test_evaluations_at_the_same_time_each_fall_due_once() -> None:
    timer = EvaluationTimer(FakeClock())
    timer.schedule(30)
    timer.schedule(10)
    timer.schedule(10)
    assert timer.next_due() == 1010 and not timer.pop_due(1009)
    assert timer.pop_due(1010) and timer.pop_due(1010) and not timer.pop_due(1010)
    assert timer.next_due() == 1030 and timer.pop_due(1031) and timer.next_due() is None

"""Load report processing: each span of time counts once, late reports decay, samples are unbiased."""

from __future__ import annotations

import math
import random
import statistics
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.reports.budget import DECREASE_DELAY_TICKS, ReportBudget
from willowhook.reports.fading import ForwardDecay
from willowhook.reports.quarantine import (
    MALFORMED_IN_A_ROW,
    MALFORMED_WINDOW_TICKS,
    MIN_QUARANTINE_TICKS,
    Quarantine,
)
from willowhook.reports.queue import ReportQueue
from willowhook.reports.read import MAX_ENDPOINTS, Report, read_report
from willowhook.reports.sample import sum_sample
from willowhook.reports.sums import (
    FlushedSums,
    ReportCells,
    ReportedAttempts,
    ReportSums,
    combine_reports,
)
from willowhook.reports.windows import CLOCK_RESET_TICKS, RETENTION_TICKS, ReportWindows
from willowhook.ticks import TICKS_PER_SECOND
from willowhook.xds import forms
from willowhook.xds.codec import MessageFormatError

HALF = 2 * TICKS_PER_SECOND


# Decay.


def by_hand(rows: list[tuple[int, int, float]], now: int) -> float:
    """The decayed sum by numerical integration: each value in a thousand parts, weighted by their ages."""
    total = 0.0
    for since, until, value in rows:
        for part in range(1000):
            at = since + (until - since) * (part + 0.5) / 1000
            total += value / 1000 * 2 ** (-(now - at) / HALF)
    return total


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 99_999), st.integers(1, 20_000), st.floats(0.1, 1e4)), min_size=1, max_size=8
    ),
    st.randoms(use_true_random=False),
)  # fmt: skip
def test_decayed_sums_are_those_of_a_replay_in_any_order(
    rows: list[tuple[int, int, float]], chance: random.Random
) -> None:
    made, kept = ForwardDecay(HALF), 0.0
    windows = [(since + 200_000, since + 200_000 + length, value) for since, length, value in rows]
    now = max(until for _, until, _ in windows) + chance.randrange(30_000)
    chance.shuffle(windows)
    for since, until, value in windows:
        kept *= made.move_landmark(until)
        kept += value * made.gain(since, until)
    assert math.isclose(kept * made.scale(now), by_hand(windows, now), rel_tol=1e-4)


def test_attempts_are_handed_over_with_the_weight_of_their_age() -> None:
    for age in (0, HALF // 2, HALF, 3 * HALF):
        handed_over: list[int] = []
        sums = ReportSums(HALF, lambda flushed, received=handed_over: received.append(flushed.attempts))
        now = 100 * TICKS_PER_SECOND
        sums.add(now, "z", now - age - 100, now - age, {("h", "r"): ReportedAttempts(1e6, 0.0, 0.0, 0.0)}, {})
        sums.flush()
        assert abs(handed_over[0] / 1e6 / 2 ** (-age / HALF) - 1) < 0.001


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.floats(0.0, 3.0), st.floats(0.0, 1.0)), min_size=1, max_size=12))
def test_each_success_that_is_handed_over_has_a_latency(reports: list[tuple[float, float]]) -> None:
    """Guards against a mean latency of 0, with which all latencies seem to be within the objective."""
    latency_ticks = 500
    handed_over: list[FlushedSums] = []
    sums = ReportSums(HALF, handed_over.append)
    for attempts, failure_fraction in reports:
        failures = attempts * failure_fraction
        cell = ReportedAttempts(attempts, failures, (attempts - failures) * latency_ticks, 0.0)
        sums.add(HALF, "z", HALF - 100, HALF, {("h", "r"): cell}, {})
        sums.flush()
    for flushed in handed_over:
        if flushed.attempts > flushed.failures:
            assert abs(flushed.mean_latency_ticks - latency_ticks) <= len(reports)
        assert 0 <= flushed.failures <= flushed.attempts and flushed.attempts
    reported = sum(attempts for attempts, _ in reports)
    passed_on = sum(flushed.attempts for flushed in handed_over)
    assert reported - 2 < passed_on <= reported + 1e-6


# ReportWindows.


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 60), st.integers(1, 8), st.sampled_from("ab")), min_size=1, max_size=25
    ),
    st.integers(-1_000_000, 1_000_000),
)
def test_every_part_of_the_time_counts_once_whatever_is_repeated(
    rows: list[tuple[int, int, str]], skew: int
) -> None:
    """Beside a replay that marks each tenth of a second; with few enough gaps that none is forgotten."""
    windows, marked, now = ReportWindows(), set[int](), 10_000_000
    for since, length, process in rows:
        now += 50
        cells = set(range(since, since + length))
        new = len(cells - marked) / length
        marked |= cells
        since_t, until_t = 5_000_000 + skew + since * 1000, 5_000_000 + skew + (since + length) * 1000
        covered = windows.record_timed(now, "p", process, since_t, until_t)
        assert math.isclose(covered.part, new, abs_tol=1e-9)


def test_a_report_that_is_resent_after_a_restart_is_not_counted_again() -> None:
    windows = ReportWindows()
    assert windows.record_timed(100_000, "p", "one", 40_000, 50_000).part == 1
    assert windows.record_timed(110_000, "p", "one", 50_000, 60_000).part == 1
    for process in ("one", "two", ""):
        assert windows.record_timed(111_000, "p", process, 50_000, 60_000).part == 0
        assert windows.record_timed(111_000, "p", process, 40_000, 50_000).part == 0
    assert windows.record_timed(111_000, "p", "two", 55_000, 65_000).part == 0.5
    assert windows.repeats == 6
    assert (
        windows.record_untimed(1, "q", 5000, 77).part == 1
        and windows.record_untimed(2, "q", 5000, 77).part == 0
    )


def test_the_windows_of_a_proxy_outlive_its_session_until_their_retention_ends() -> None:
    windows = ReportWindows()
    windows.record_timed(TICKS_PER_SECOND, "p", "one", 40_000, 50_000)
    windows.drop_expired(RETENTION_TICKS // 2)
    assert (
        windows.record_timed(RETENTION_TICKS // 2, "p", "two", 40_000, 50_000).part == 0 and len(windows) == 1
    )
    windows.drop_expired(2 * RETENTION_TICKS)
    assert len(windows) == 0


def test_a_late_report_is_distinguished_from_a_clock_offset() -> None:
    windows = ReportWindows()
    assert windows.record_timed(1_000_000, "p", "a", 2_000_000, 2_005_000).until == 1_000_000
    late = windows.record_timed(1_035_000, "p", "a", 2_005_000, 2_010_000)
    assert late.until == 1_005_000 + 3  # three seconds late, less the allowed clock drift
    windows.record_timed(1_040_000, "p", "a", 2_010_000, 2_015_000)
    assert windows.record_timed(1_045_000, "p", "b", 2_015_000, 2_020_000).until == 1_045_000


def test_a_clock_that_was_set_back_is_distinguished_from_resent_reports() -> None:
    def windows_after_reset(step: int) -> ReportWindows:
        windows, now, end = ReportWindows(), 1_000_000, 1_000_000
        for _ in range(40):
            windows.record_timed(now, "p", "a", end - 5000, end)
            now, end = now + 5000, end + 5000
        end -= 190_000
        for _ in range(60):
            windows.record_timed(now, "p", "a", end - 5000, end)
            now, end = now + 5000, end + step
        return windows

    assert windows_after_reset(5000).clock_resets == 1 and CLOCK_RESET_TICKS < 60 * 5000
    # the same old report each time
    assert windows_after_reset(0).clock_resets == 0 and windows_after_reset(0).repeats == 60


# Samples.


def report(attempts: int, since: int, length: int = 5000) -> Report:
    contents = ReportCells({("h", "r"): ReportedAttempts(float(attempts), 0.0, float(attempts * 10))})
    return Report(contents, {"r": (float(attempts), 0.0)}, length, "a", since, since + length)


@pytest.mark.parametrize("k", [1, 2, 3, 5, 20, 100])
def test_samples_are_unbiased_and_their_intervals_hold_the_truth(k: int) -> None:
    chance = random.Random(k)
    ratios, covered_count, rounds = [], 0, 120
    for _ in range(rounds):
        truth = estimate = variance = 0.0
        for p in range(40):
            queue, windows = ReportQueue(chance.randrange), ReportWindows()
            sum_sample(0, "p", windows, [(0, 0, report(0, 1_000_000 - 5000))], 1, False)
            reports, mean = {}, 5 + 3 * p
            for j in range(k):
                sent = report(max(0, round(chance.gauss(mean, math.sqrt(mean)))), 1_000_000 + 5000 * j)
                truth += sent.contents.cells["h", "r"][0]
                reports[b"%d" % j] = sent
                arrived_at = (j + 1) * 5000 + chance.randrange(400)  # a random network delay
                queue.offer(arrived_at, "p", b"%d" % j)
            for last in (False, True):
                if last:  # the next report reveals the time after the newest of the sample
                    reports[b"last"] = report(mean, 1_000_000 + 5000 * k)
                    truth += mean
                    queue.offer((k + 1) * 5000, "p", b"last")
                taken = queue.take((k + last) * 5000)
                assert taken is not None and taken.arrived == (1 if last else k) and len(taken.reports) <= 2
                sample = [(arrived_at, 0, reports[data]) for arrived_at, data in taken.reports]
                sums = sum_sample(k * 5000, "p", windows, sample, taken.arrived, True)
                assert sums is not None
                estimate += sums.cells["h", "r"][0]
                variance += sums.cells["h", "r"][3]
        ratios.append(estimate / truth)
        covered_count += abs(estimate - truth) <= 1.96 * math.sqrt(variance) + 1e-6
    assert abs(statistics.mean(ratios) - 1) < 0.02
    assert covered_count / rounds > (0.999 if k <= 2 else 0.88)


def test_copies_and_short_reports_do_not_inflate_a_sum() -> None:
    windows = ReportWindows()
    sum_sample(0, "p", windows, [(0, 0, report(50, 0))], 1, True)
    copy = report(50, 5000)
    sums = sum_sample(5000, "p", windows, [(5000, 0, copy), (5000, 0, copy)], 400, True)
    assert sums is not None and sums.cells["h", "r"][0] == 50
    assert sum_sample(6000, "p", windows, [(6000, 0, copy)], 100, True) is None
    tenths = [(10_000, 0, report(5, 10_000 + 500 * k, 500)) for k in (3, 8)]
    sums = sum_sample(15_000, "p", windows, tenths, 10, True)
    # the sample ends after nine tenths; the time after its newest report is not estimated
    assert sums is not None and sums.cells["h", "r"][0] == 45
    sums = sum_sample(15_000, "p", windows, [(15_000, 0, report(5, 14_500, 500))], 1, True)
    assert sums is not None and sums.cells["h", "r"][0] == 5


def test_reports_that_were_replaced_unread_are_estimated_from_those_read() -> None:
    windows = ReportWindows()
    sum_sample(0, "p", windows, [(0, 0, report(50, 0))], 1, True)
    # the two reports before it were never read
    sums = sum_sample(20_000, "p", windows, [(20_000, 0, report(40, 15_000))], 1, True)
    assert sums is not None and sums.cells["h", "r"][0] == 120 and sums.requests["r"] == (120, 0)
    assert sums.cells["h", "r"][3] > 0  # the estimate has an uncertainty
    # the time of this one is already estimated
    assert sum_sample(20_001, "p", windows, [(20_001, 0, report(45, 10_000))], 1, True) is None
    sums = sum_sample(40_000, "q", windows, [(0, 0, report(50, 0)), (9, 1, report(40, 15_000))], 2, False)
    assert sums is not None and sums.cells["h", "r"][0] == 90  # without gaps nothing is estimated


def test_the_variance_of_a_single_report_goes_by_its_count() -> None:
    assert combine_reports([ReportCells({("h", "r"): ReportedAttempts(9.0, 0.0, 0.0)})], 4.0) == {
        ("h", "r"): (36.0, 0.0, 0.0, 108.0)
    }


def test_the_estimate_of_attempts_decays_and_keeps_its_interval() -> None:
    sums = ReportSums(HALF, lambda *_: None)
    sums.add(HALF, "z", HALF - 100, HALF, {("h", "r"): ReportedAttempts(100.0, 10.0, 0.0, 25.0)}, {})
    now = sums.estimate_attempts(HALF, "h", "z", "r")
    later = sums.estimate_attempts(2 * HALF, "h", "z", "r")
    assert math.isclose(now.value, 100.0, rel_tol=0.01) and math.isclose(later.value, now.value / 2)
    assert math.isclose(now.half_width, 1.96 * 5, rel_tol=0.01)
    assert now.holds(95.0) and not now.holds(80.0)
    assert sums.estimate_attempts(HALF, "other", "z", "r").value == 0.0


def test_sums_of_endpoints_that_are_not_kept_are_dropped() -> None:
    handed_over: list[str] = []
    sums = ReportSums(HALF, lambda handed: handed_over.append(handed.endpoint))
    cells = {(name, "r"): ReportedAttempts(9.0, 0.0, 0.0, 0.0) for name in ("h", "other")}
    sums.add(HALF, "z", HALF - 100, HALF, cells, {})
    sums.keep(frozenset({"h"}))
    assert len(sums) == 1 and sums.flush() == 1 and handed_over == ["h"]


# The queue.


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.one_of(st.sampled_from("abcd"), st.just("take"), st.just("gone")), max_size=80))
def test_a_proxy_waits_once_and_memory_is_bounded(steps: list[str]) -> None:
    queue, waiting = ReportQueue(random.Random(1).randrange), dict[str, int]()
    for now, step in enumerate(steps):
        if step == "take":
            taken = queue.take(now)
            assert (taken is None) == (not waiting)
            if taken is not None:
                assert waiting.pop(taken.proxy) == taken.arrived >= len(taken.reports)
        elif step == "gone":
            queue.remove_proxy("a")
            waiting.pop("a", None)
        else:
            queue.offer(now, step, b"x" * 10)
            waiting[step] = waiting.get(step, 0) + 1
        assert len(queue) == len(waiting) and queue.waiting_bytes <= 20 * len(waiting)


def test_heavier_proxies_are_served_more_often_and_the_lightest_too() -> None:
    queue, served = ReportQueue(random.Random(1).randrange), dict.fromkeys("abc", 0)
    for name in "abc":
        queue.offer(0, name, b"")
    while queue.take(0):
        pass
    queue.set_share("a", 4.0)
    queue.set_share("c", 0.01)
    for now in range(3000):
        for name in "abc":
            queue.offer(now, name, b"")
        taken = queue.take(now)
        if taken:
            served[taken.proxy] += 1
    assert served["a"] > 1.5 * served["b"] > 2 * served["c"] > 0


# ReportBudget and quarantine.


def test_the_interval_rises_under_load_and_falls_back_when_there_is_room() -> None:
    intervals: list[int] = []
    budget = ReportBudget(100, 0.5, 5000, 40_000, intervals.append)
    assert sum(budget.spend(TICKS_PER_SECOND, 1) for _ in range(50)) == 10
    assert sum(budget.spend(TICKS_PER_SECOND + k, 1) for k in range(TICKS_PER_SECOND)) in (99, 100, 101)
    budget.adapt_interval(0, 150, 40)
    assert intervals == [6250]  # more often than requested: one step
    budget.adapt_interval(0, 400, 200)
    assert intervals[-1] == 25_000
    for k in range(60):
        budget.adapt_interval(k * DECREASE_DELAY_TICKS, 10, 10)
    assert intervals[-1] == 5000 and intervals[1:] == sorted(intervals[1:], reverse=True)
    budget.adapt_interval(0, 400, 100_000)
    assert intervals[-1] == 40_000


def test_processing_time_is_bounded_by_its_share() -> None:
    budget, used_ticks = ReportBudget(1e6, 0.25, 5000, 40_000, print), 0
    for now in range(0, 10 * TICKS_PER_SECOND, 5):
        if budget.spend(now, 1):
            budget.record_time(10)  # a millisecond each
            used_ticks += 10
    assert 0.24 < used_ticks / (10 * TICKS_PER_SECOND) < 0.27


class RecordingListener:
    def __init__(self) -> None:
        self.notifications: list[tuple[Any, ...]] = []

    def quarantined(self, proxy: str, duration: int, cause: str, evidence: bytes) -> None:
        self.notifications.append((proxy, duration, cause, evidence))

    def released(self, proxy: str) -> None:
        self.notifications.append((proxy,))


def test_a_quarantine_doubles_each_time_and_is_released() -> None:
    listener = RecordingListener()
    quarantine, now = Quarantine(listener), 0
    for k in range(MALFORMED_IN_A_ROW):
        assert not quarantine.should_skip(now, "p")
        quarantine.record_malformed(now, "p", f"bad {k}", b"\xff" * 500)
    assert quarantine.should_skip(now, "p") and listener.notifications == [
        ("p", MIN_QUARANTINE_TICKS, "bad 2", b"\xff" * 200)
    ]
    now += MIN_QUARANTINE_TICKS
    quarantine.release_due(now)
    assert not quarantine.should_skip(now, "p") and listener.notifications[-1] == ("p",)
    quarantine.record_malformed(now, "p", "again", b"")
    assert listener.notifications[-1][1] == 2 * MIN_QUARANTINE_TICKS and not quarantine.should_skip(
        now, "other"
    )
    now += 2 * MIN_QUARANTINE_TICKS
    quarantine.should_skip(now, "p")
    quarantine.record_valid(now + MALFORMED_WINDOW_TICKS, "p")
    quarantine.record_malformed(now + MALFORMED_WINDOW_TICKS, "p", "once", b"")
    assert not quarantine.should_skip(now + MALFORMED_WINDOW_TICKS, "p")


def test_a_report_is_bounded_and_its_times_are_checked() -> None:
    address = forms.Address(forms.SocketAddress("127.0.0.1", 81))
    endpoints = [forms.UpstreamEndpointStats(address, 1)] * (MAX_ENDPOINTS + 1)
    zone = forms.UpstreamLocalityStats(upstream_endpoint_stats=endpoints)
    oversized = forms.LoadStatsRequest(cluster_stats=[forms.ClusterStats("r@t", "", [zone], 0, [], "1s")])
    with pytest.raises(MessageFormatError, match="more than 5000 endpoints"):
        read_report(oversized, frozenset("r"))
    for times, cause in (
        ((5, 4), "load_from is 5"),
        (("x", 4), "are not numbers"),
        ((0, 1e13), "load_until 1e"),
    ):
        node = forms.Node(metadata={"load_from": times[0], "load_until": times[1]})
        with pytest.raises(MessageFormatError, match=cause):
            read_report(forms.LoadStatsRequest(node), frozenset())

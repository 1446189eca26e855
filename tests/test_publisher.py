"""Tests of the publisher: messages are staged, validated, written, and tracked until they are applied."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio
from controlplane_fixtures import MESSAGE_OVERHEAD, PublisherHarness
from trio.testing import MockClock

from willowhook.controlplane.proxy_session import MAX_REFUSAL_BACKOFF_TICKS
from willowhook.controlplane.update_validator import MIN_HOLD_TICKS
from willowhook.controlplane.update_writer import FIRST_REWRITE_TICKS
from willowhook.decisions.update_cost import SYNC_MARKER_ENTRIES
from willowhook.registry.endpoint import DiscoveredEndpoint
from willowhook.ticks import TICKS_PER_SECOND
from willowhook.validation.model import Candidate
from willowhook.validation.verdict import Finding, Outcome, Rule, Verdict

EVEN = {"a": 1.0, "b": 1.0, "c": 1.0}


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def verdict_of(outcome: Outcome, until: int | None = None) -> Callable[[int, Candidate], Verdict]:
    """Returns a validation function that gives every candidate the same verdict."""

    def validate(now: int, candidate: Candidate) -> Verdict:
        verdict = Verdict()
        verdict.add(
            Finding(
                check="queue",
                outcome=outcome,
                rule=Rule.QUEUE,
                text="as configured",
                remedy="nothing",
                until=until,
            )
        )
        return verdict

    return validate


def test_a_message_is_written_and_its_marker_acknowledged_once_applied() -> None:
    async def scenario() -> None:
        harness = PublisherHarness()
        harness.update_table(EVEN, marker=7)
        await harness.publish(TICKS_PER_SECOND)
        assert [number for number, _ in harness.sink.written] == [1]
        assert harness.session.written == 1
        harness.publisher.handle_acknowledged(harness.listener.time, 0, 1)
        assert harness.listener.acknowledged == [(0, 7)]
        assert harness.session.acknowledged == 1
        order = next(row for row in harness.records.entries if row["kind"] == "order")
        cost = 1 + len(EVEN) + MESSAGE_OVERHEAD + SYNC_MARKER_ENTRIES
        assert (order["message"], order["mark"], order["lines"]) == (1, 7, cost)

    run(scenario)


def test_a_message_without_marker_is_recorded_with_marker_minus_one() -> None:
    harness = PublisherHarness()
    harness.update_table(EVEN)
    assert [row["mark"] for row in harness.records.entries if row["kind"] == "order"] == [-1]


def test_a_queue_over_its_limit_is_reported_until_it_is_within() -> None:
    harness = PublisherHarness(queue_limit_entries=MESSAGE_OVERHEAD + 1 + len(EVEN))
    harness.update_table(EVEN)
    assert harness.listener.conditions["queue"] is False
    harness.update_table({"a": 2.0})
    assert harness.listener.conditions["queue"] is True


def test_failed_writes_are_retried_until_they_succeed() -> None:
    async def scenario() -> None:
        harness = PublisherHarness()
        harness.sink.outcome = OSError("disk full")
        harness.update_table(EVEN)
        await harness.publish(TICKS_PER_SECOND)
        assert harness.session.unwritten is not None
        assert harness.listener.conditions["disk"] is True
        harness.sink.outcome = True
        await harness.publish(TICKS_PER_SECOND)
        assert harness.session.unwritten is None
        assert harness.listener.conditions["disk"] is False
        assert [number for number, _ in harness.sink.written] == [1]

    run(scenario)


def test_a_message_that_changes_nothing_is_acknowledged_by_the_answer_to_the_one_before() -> None:
    async def scenario() -> None:
        harness = PublisherHarness()
        harness.update_table(EVEN, marker=1)
        await harness.publish(TICKS_PER_SECOND)
        harness.publisher.handle_acknowledged(harness.listener.time, 0, 1)
        harness.sink.outcome = False
        harness.update_table(EVEN, marker=2)
        await harness.publish(TICKS_PER_SECOND)
        assert len(harness.listener.events) == 1
        harness.listener.events[0](harness.listener.time)
        assert harness.listener.acknowledged == [(0, 1), (0, 2)]

    run(scenario)


def test_unacknowledged_files_are_rewritten_after_a_growing_pause() -> None:
    async def scenario() -> None:
        harness = PublisherHarness()
        harness.update_table(EVEN)
        await harness.publish(TICKS_PER_SECOND)
        await harness.publish(FIRST_REWRITE_TICKS - 1)
        assert harness.sink.rewrites == 0
        await harness.publish(1)
        assert harness.sink.rewrites == 1
        await harness.publish(2 * FIRST_REWRITE_TICKS - 1)
        assert harness.sink.rewrites == 1
        await harness.publish(1)
        assert harness.sink.rewrites == 2
        harness.publisher.handle_acknowledged(harness.listener.time, 0, 1)
        await harness.publish(30 * TICKS_PER_SECOND)
        assert harness.sink.rewrites == 2
        assert harness.session.rewrite is None

    run(scenario)


def test_rejected_files_are_not_rewritten() -> None:
    async def scenario() -> None:
        harness = PublisherHarness()
        harness.update_table(EVEN)
        await harness.publish(TICKS_PER_SECOND)
        harness.publisher.handle_group_rejected(harness.listener.time, 0, "eds", 1, "no such table")
        await harness.publish(30 * TICKS_PER_SECOND)
        assert harness.sink.rewrites == 0

    run(scenario)


def test_a_held_message_goes_out_later_under_a_new_number_without_its_marker() -> None:
    async def scenario() -> None:
        harness = PublisherHarness()
        validator = harness.publisher.validation.validator
        judge = validator.validate
        until = 2 * TICKS_PER_SECOND
        validator.validate = verdict_of(Outcome.HELD, until)  # type: ignore[method-assign]
        harness.update_table(EVEN, marker=3)
        await harness.publish(TICKS_PER_SECOND)
        assert harness.sink.written == []
        assert harness.session.withheld is not None and harness.session.withheld.until == until
        validator.validate = judge  # type: ignore[method-assign]
        await harness.publish(TICKS_PER_SECOND)  # queues the message again
        await harness.publish(TICKS_PER_SECOND)
        assert [number for number, _ in harness.sink.written] == [2]
        marks = [row["mark"] for row in harness.records.entries if row["kind"] == "order"]
        assert marks == [3, -1]

    run(scenario)


def test_a_held_message_is_dropped_when_a_later_one_leaves() -> None:
    async def scenario() -> None:
        harness = PublisherHarness()
        validator = harness.publisher.validation.validator
        judge = validator.validate
        validator.validate = verdict_of(Outcome.HELD, 60 * TICKS_PER_SECOND)  # type: ignore[method-assign]
        harness.update_table(EVEN)
        await harness.publish(TICKS_PER_SECOND)
        validator.validate = judge  # type: ignore[method-assign]
        harness.update_table({"a": 2.0})
        await harness.publish(TICKS_PER_SECOND)
        assert harness.session.withheld is None
        assert [number for number, _ in harness.sink.written] == [2]

    run(scenario)


def test_a_hold_without_a_time_lasts_the_default() -> None:
    async def scenario() -> None:
        harness = PublisherHarness()
        validator = harness.publisher.validation.validator
        validator.validate = verdict_of(Outcome.HELD)  # type: ignore[method-assign]
        harness.update_table(EVEN)
        await harness.publish(TICKS_PER_SECOND)
        assert harness.session.withheld is not None
        assert harness.session.withheld.until == 2 * TICKS_PER_SECOND > harness.listener.time + MIN_HOLD_TICKS

    run(scenario)


def test_a_refused_message_is_not_written_and_not_queued_again() -> None:
    async def scenario() -> None:
        harness = PublisherHarness()
        validator = harness.publisher.validation.validator
        validator.validate = verdict_of(Outcome.REFUSED)  # type: ignore[method-assign]
        harness.update_table(EVEN)
        await harness.publish(TICKS_PER_SECOND)
        await harness.publish(TICKS_PER_SECOND)
        assert harness.sink.written == []
        assert harness.session.withheld is None
        assert len(harness.publisher.channel) == 0

    run(scenario)


def test_a_refused_message_goes_out_once_it_would_not_be_refused() -> None:
    """Guards against a refused message that is never validated again."""

    async def scenario() -> None:
        harness = PublisherHarness()
        validator = harness.publisher.validation.validator
        judge = validator.validate
        validator.validate = verdict_of(Outcome.REFUSED)  # type: ignore[method-assign]
        harness.update_table(EVEN)
        for _ in range(10):
            await harness.publish(TICKS_PER_SECOND)
        assert harness.sink.written == [] and harness.publisher.validation.counts == {"refused": 1}
        validator.validate = judge  # type: ignore[method-assign]
        for _ in range(6):
            await harness.publish(TICKS_PER_SECOND)
        assert [number for number, _ in harness.sink.written] == [2]
        assert harness.session.refused is None

    run(scenario)


def test_a_message_refused_for_slow_start_goes_out_once_the_endpoint_is_warm() -> None:
    async def scenario() -> None:
        harness = PublisherHarness()
        endpoints = [
            DiscoveredEndpoint(name, "127.0.0.1", 80 + ord(name), False, 0.0, 1.0, "", "", "north")
            for name in "abcdef"
        ]
        harness.publisher.validation.update_endpoints(
            0, endpoints, lambda endpoint: 1 if endpoint.id == "c" else 0
        )
        harness.update_table({"a": 1.0, "b": 1.0, "c": 50.0})
        warm_at = 1 + harness.settings.rules.slow_start_ticks
        while harness.listener.time < warm_at - TICKS_PER_SECOND:
            await harness.publish(TICKS_PER_SECOND)
            assert harness.sink.written == []
        await harness.publish(MAX_REFUSAL_BACKOFF_TICKS + TICKS_PER_SECOND)
        await harness.publish(TICKS_PER_SECOND)
        assert [number for number, _ in harness.sink.written] == [2]
        assert harness.publisher.validation.counts["refused"] == 1

    run(scenario)


def test_a_refused_message_is_dropped_when_a_later_one_leaves() -> None:
    async def scenario() -> None:
        harness = PublisherHarness()
        validator = harness.publisher.validation.validator
        judge = validator.validate
        validator.validate = verdict_of(Outcome.REFUSED)  # type: ignore[method-assign]
        harness.update_table(EVEN)
        await harness.publish(TICKS_PER_SECOND)
        validator.validate = judge  # type: ignore[method-assign]
        harness.update_table({"a": 2.0})
        for _ in range(6):
            await harness.publish(TICKS_PER_SECOND)
        assert [number for number, _ in harness.sink.written] == [2]
        assert harness.session.refused is None

    run(scenario)


def test_validation_that_raises_is_disabled_and_messages_go_out() -> None:
    def raises(now: int, candidate: Candidate) -> Verdict:
        raise KeyError("on purpose")

    async def scenario() -> None:
        harness = PublisherHarness()
        harness.publisher.validation.validator.validate = raises  # type: ignore[method-assign]
        harness.update_table(EVEN)
        await harness.publish(TICKS_PER_SECOND)
        assert [number for number, _ in harness.sink.written] == [1]
        assert harness.listener.conditions["no guard"] is True

    run(scenario)


@pytest.mark.parametrize("removed", [set(), {"a"}])
def test_a_halted_table_is_replaced_by_the_last_good_one(removed: set[str]) -> None:
    """Endpoints that were removed meanwhile are left out of the good table."""

    async def scenario() -> None:
        harness = PublisherHarness()
        harness.join(1)
        harness.publisher.rollout.record_offered(0, 1, ("t", 0), 1)  # a second proxy, so that two can reject
        harness.update_table(EVEN)
        await harness.publish(TICKS_PER_SECOND)
        good = harness.session.newest_contents
        unit, content = good[0]
        rollout = harness.publisher.rollout
        for proxy in (0, 1):
            rollout.record_offered(0, proxy, unit, content)
            rollout.record_acknowledged(0, proxy, unit, content)
        assert rollout.tracks[unit].good == content
        harness.update_table({"b": 5.0} | {name: 0.0 for name in removed})
        await harness.publish(TICKS_PER_SECOND)
        bad = harness.session.newest_contents[0].content
        assert bad != content
        harness.listener.out_of_service = removed
        for proxy in (0, 1):
            rollout.record_offered(1, proxy, unit, bad)
            rollout.record_rejected(1, proxy, unit, bad, "bad weights")
        await harness.publish(TICKS_PER_SECOND)  # queues updates to the proxies that ran the halted table
        await harness.publish(TICKS_PER_SECOND)
        assert harness.session.newest_contents == good
        assert harness.session.is_substituted
        kinds = [row["kind"] for row in harness.records.entries]
        assert "halted" in kinds and "rollback" in kinds
        tables = dict(harness.sink.written[-1][1]["eds"])
        assert all(
            (f'"{name}"'.encode() in body) != (name in removed) for body in tables.values() for name in EVEN
        )

    run(scenario)


def test_a_good_table_without_an_endpoint_in_service_replaces_nothing() -> None:
    async def scenario() -> None:
        harness = PublisherHarness()
        harness.update_table({"a": 1.0})
        await harness.publish(TICKS_PER_SECOND)
        unit, content = harness.session.newest_contents[0]
        rollout = harness.publisher.rollout
        rollout.record_acknowledged(0, 0, unit, content)
        harness.listener.out_of_service = {"a"}
        harness.update_table({"a": 0.0, "b": 1.0})
        rollout.tracks[unit].halted[content + 1] = "on purpose"  # type: ignore[operator]
        await harness.publish(TICKS_PER_SECOND)
        assert harness.session.newest_contents[0].content == content + 1  # type: ignore[operator]
        assert not harness.session.is_substituted

    run(scenario)


def test_messages_of_a_proxy_that_left_are_dropped() -> None:
    async def scenario() -> None:
        harness = PublisherHarness()
        harness.update_table(EVEN)
        harness.publisher.remove_session(0)
        harness.proxy_states.remove_proxy(0)
        await harness.publish(TICKS_PER_SECOND)
        assert harness.sink.written == []
        assert harness.publisher.channel.waiting_entries == 0

    run(scenario)

"""Tests of network partition detection by health checks."""

from __future__ import annotations

import pytest
from builders import SECOND, add_endpoint, make_context, settings_with, start_fleet

from willowhook.decisions.events import HealthCheckCompleted, HealthCheckOutcome
from willowhook.decisions.partitions import PartitionDetector
from willowhook.decisions.settings import LoadSource
from willowhook.decisions.slow_start import SlowStart


def test_zone_that_misses_health_checks_gets_no_weight_until_it_answers() -> None:
    harness = start_fleet(settings_with(health_checks=True, fleet__load_source=LoadSource.HEALTH_CHECKS))
    for outcome, expected in ((HealthCheckOutcome.TIMED_OUT, 4), (HealthCheckOutcome.HEALTHY, 8)):
        for _ in range(8):
            for name in harness.runtime.health_checks:
                is_remote = int(name[1:]) % 2
                reached = outcome if is_remote else HealthCheckOutcome.HEALTHY
                harness.controller.handle(harness.now, HealthCheckCompleted(name, reached, None))
            harness.runtime.health_checks.clear()
            harness.advance(SECOND)
        assert len(harness.usable_weights()) == expected
    assert set(harness.usable_weights(1)) == {"h1", "h3", "h5", "h7"}


def detector_after(missed: dict[str, int], checked: int = 10) -> tuple[PartitionDetector, bool]:
    """Returns a detector after these missed health checks by zone, and whether it found a change."""
    context = make_context()
    for zone, misses in missed.items():
        for number in range(checked):
            endpoint = add_endpoint(context, f"{zone}-{number}", zone)
            endpoint.next_health_check_at = 1
            endpoint.missed_health_check = number < misses
    detector = PartitionDetector(context, SlowStart(context))
    return detector, detector.update(0)


@pytest.mark.parametrize(
    ("missed", "unreachable"),
    [
        ({"north": 0, "south": 7}, []),
        ({"north": 0, "south": 8}, ["south"]),  # more than 0.7 of the zone
        ({"north": 3, "south": 8}, ["south"]),
        ({"north": 4, "south": 10}, []),  # the zone of the controller misses too many as well
        ({"south": 10}, []),  # no local endpoints to compare with
    ],
)
def test_zone_is_unreachable_when_it_misses_health_checks_and_the_local_one_does_not(
    missed: dict[str, int], unreachable: list[str]
) -> None:
    detector, has_changed = detector_after(missed)
    assert detector.unreachable_zones == unreachable and has_changed == bool(unreachable)
    assert not detector.update(1)  # no change the second time


def test_zone_with_a_single_checked_endpoint_is_never_unreachable() -> None:
    assert detector_after({"north": 0, "south": 1}, checked=1)[0].unreachable_zones == []


def test_warming_and_unchecked_endpoints_do_not_count_for_a_partition() -> None:
    context = make_context()
    for number in range(4):
        add_endpoint(context, f"n{number}", "north").next_health_check_at = 1
        add_endpoint(context, f"s{number}", "south", started_at=1).next_health_check_at = 1
        add_endpoint(context, f"u{number}", "south")
    for endpoint in context.fleet.endpoints.values():
        endpoint.missed_health_check = endpoint.zone == "south"
    assert not PartitionDetector(context, SlowStart(context)).update(2)

"""Tests of network partitions, as found by health checks."""

from __future__ import annotations

from builders import SECOND, settings_with, start_fleet

from willowhook.decisions.events import HealthCheckCompleted, HealthCheckOutcome
from willowhook.decisions.settings import LoadSource


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

"""The status line of the platform server, and the events submitted for discovery answers."""

from __future__ import annotations

import re

import pytest
from platform_fixtures import list_entry

from willowhook.decisions.events import EndpointListLost, EndpointListReceived, Event
from willowhook.decisions.status import ControllerStatus
from willowhook.platform.discovery_events import DiscoveryEvents
from willowhook.platform.discovery_statistics import DiscoveryStatistics
from willowhook.platform.fields import MalformedFieldError
from willowhook.platform.status_log import ServerStatus, format_status
from willowhook.platform.update_statistics import UpdateStatistics


def test_status_line_has_figures_as_key_value_pairs() -> None:
    controller = ControllerStatus(
        endpoints_in_service=190,
        endpoint_count=200,
        load_fraction=0.618,
        admitted_fraction=1.4,
        queue_entries=12.4,
        charged_entries=950,
    )
    status = ServerStatus(
        proxies=12,
        controller=controller,
        connections=14,
        longest_flush_ticks=83,
        malformed_messages=2,
        rejected_connections=3,
        discovery=DiscoveryStatistics(requests=58, answers=5, losses=2),
        updates=UpdateStatistics(messages=90, entries=940, largest_flush_entries=310),
    )
    line = format_status(status)
    assert re.fullmatch(
        r"status proxies=12 endpoints_in_service=190 endpoints=200 load=0\.62 admitted_fraction=1\.40 "
        r"queue_entries=12 charged_entries=950 sent_entries=940 largest_flush_entries=310 "
        r"connections=14 memory_mb=\d+ cpu_s=\d+\.\d longest_flush_ms=8 "
        r"malformed_messages=2 rejected_connections=3 "
        r"discovery_requests=58 discovery_answers=5 discovery_losses=2",
        line,
    )


def test_discovery_events_logs_a_loss_once_and_its_recovery() -> None:
    events: list[Event] = []
    log: list[str] = []
    discovery_events = DiscoveryEvents(events.append, log.append)
    assert discovery_events.load({"seq": 3, "whole": True, "hosts": [list_entry("a")]}) == 3
    assert isinstance(events[0], EndpointListReceived)
    discovery_events.handle_loss("timeout")
    discovery_events.handle_loss("timeout")
    assert events[1:] == [EndpointListLost(), EndpointListLost()]
    assert log == ["discovery lost error='timeout'"]
    with pytest.raises(MalformedFieldError):
        discovery_events.handle_answer({"seq": "x"})
    assert len(log) == 1
    assert (
        discovery_events.handle_answer({"seq": 3, "whole": False, "hosts": []}) == 3
    )  # no changes, so no event
    assert len(events) == 3 and log[1:] == ["discovery recovered"]

"""Tests the components of the service that need no proxies: clock, conditions, queue, handoff packets."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
import trio
from click.testing import CliRunner
from controlplane_fixtures import SETTINGS
from msgspec import structs
from trio.testing import MockClock

from willowhook.cli.main import main
from willowhook.config.example import EXAMPLE
from willowhook.controlplane.clock import Clock
from willowhook.controlplane.condition_log import ConditionLog
from willowhook.controlplane.context import ServiceContext
from willowhook.controlplane.decider import ControllerPort
from willowhook.controlplane.decision_queue import DecisionQueue
from willowhook.controlplane.endpoint_list_reader import EndpointListReader
from willowhook.controlplane.handoff_codec import decode_packet, encode_packet
from willowhook.controlplane.inbound_events import ProxyFolderRemoved, WorkAvailable
from willowhook.decisions.events import EndpointListLost, EvaluationDue
from willowhook.membership.handoff import EndpointSums, Hint, Packet
from willowhook.records.writer import RecordWriter, read_records
from willowhook.registry.client import DiscoveryClient
from willowhook.registry.endpoint import DiscoveredEndpoint
from willowhook.ticks import TICKS_PER_SECOND
from willowhook.xds.codec import MessageFormatError

ENDPOINT = DiscoveredEndpoint("a", "127.0.0.1", 9000, False, 0.0, 1.0, "", "", "north", 0)


class ListLogger:
    def __init__(self) -> None:
        self.lines: list[tuple[str, str, dict[str, Any]]] = []

    def info(self, event: str, /, **fields: Any) -> None:
        self.lines.append(("info", event, fields))

    def warning(self, event: str, /, **fields: Any) -> None:
        self.lines.append(("warning", event, fields))


def test_clock_converts_a_start_once_and_keeps_it(monkeypatch: pytest.MonkeyPatch) -> None:
    wall_clock = [1000.0]
    monkeypatch.setattr("willowhook.controlplane.clock.time.time", lambda: wall_clock[0])
    clock = Clock()
    assert clock.start_of(ENDPOINT) == 0
    started = replace(ENDPOINT, started=990.0)
    start = clock.start_of(started)
    assert 0 <= clock.now() - start - 10 * TICKS_PER_SECOND < TICKS_PER_SECOND
    wall_clock[0] += 3600  # a step of the wall clock
    assert clock.start_of(started) == start
    assert (
        clock.start_of(replace(ENDPOINT, started=wall_clock[0] + 5)) <= clock.now()
    )  # a start in the future


def test_condition_log_reports_changes_only(tmp_path: Path) -> None:
    log, records = ListLogger(), RecordWriter(str(tmp_path / "records"), 100)
    conditions = ConditionLog(log, records, lambda: 7)
    conditions.report("disk", False, "disk works again")
    conditions.report("disk", True, "disk failed", cause="full")
    conditions.report("disk", True, "disk failed", cause="still full")
    conditions.report("disk", False, "disk works again")
    records.flush()
    assert log.lines == [("warning", "disk failed", {"cause": "full"}), ("info", "disk works again", {})]
    entries = [entry for entry in read_records(str(tmp_path / "records")) if entry["kind"] == "mode"]
    assert [(entry["t"], entry["name"], entry["on"], entry.get("cause")) for entry in entries] == [
        (7, "disk", True, "full"),
        (7, "disk", False, None),
    ]


def test_decision_queue_returns_all_waiting_events_and_none_after_the_timeout() -> None:
    async def run() -> None:
        queue = DecisionQueue()
        assert await queue.receive_batch(0.01) == []
        queue.wake()
        await queue.send(EndpointListLost())
        await queue.send(ProxyFolderRemoved("p1"))
        assert await queue.receive_batch(5.0) == [
            WorkAvailable(),
            EndpointListLost(),
            ProxyFolderRemoved("p1"),
        ]

    trio.run(run)


def test_controller_port_rejects_events_before_a_controller_is_attached() -> None:
    port, handled = ControllerPort(), list[Any]()

    class Decider:
        def handle(self, now: int, event: Any) -> None:
            handled.append((now, event))

    with pytest.raises(AssertionError, match="EvaluationDue before the controller was attached"):
        port.handle(1, EvaluationDue())
    port.attach(Decider())  # type: ignore[arg-type]
    port.handle(2, EvaluationDue())
    assert handled == [(2, EvaluationDue())]


def test_failed_list_requests_are_repeated_within_an_eighth_of_the_drain_grace() -> None:
    """Guards against drains that come too late after a loss where the reader repeats requests by itself."""
    settings = SETTINGS._replace(rules=SETTINGS.rules._replace(drain_grace_ticks=3 * TICKS_PER_SECOND))
    terms = structs.replace(EXAMPLE, roster=structs.replace(EXAMPLE.roster, subscribe=False))
    context = SimpleNamespace(terms=terms, settings=settings, conditions=None)
    requested_at: list[float] = []

    class FailingReader(EndpointListReader):
        async def _poll(self, client: DiscoveryClient, needs_complete_list: bool) -> bool:
            requested_at.append(trio.current_time())
            return False

    async def run() -> None:
        with trio.move_on_after(30):
            await FailingReader(cast(ServiceContext, context)).run_watch()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    pauses = [later - earlier for earlier, later in pairwise(requested_at)]
    assert len(pauses) > 70 and max(pauses) <= 3 / 8


def test_fetch_in_flight_is_not_repeated() -> None:
    """Guards against fetches that add to the load of a slow discovery before the last one is answered."""
    context = SimpleNamespace(terms=EXAMPLE, settings=SETTINGS, conditions=None)
    fetched_at: list[float] = []

    class SlowReader(EndpointListReader):
        async def _poll(self, client: DiscoveryClient, needs_complete_list: bool) -> bool:
            fetched_at.append(trio.current_time())
            await trio.sleep(3)
            return True

    async def run() -> None:
        reader = SlowReader(cast(ServiceContext, context))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reader.run_fetches)
            for _ in range(5):  # during the first fetch
                reader.fetch()
                await trio.sleep(0.5)
            await trio.sleep(7.5)
            reader.fetch()
            await trio.sleep(10)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    assert [time - fetched_at[0] for time in fetched_at] == [0, 10]


def test_handoff_packet_is_decoded_as_encoded_without_unknown_endpoints() -> None:
    addresses = {"a": ("127.0.0.1", 9000, "north"), "b": ("127.0.0.1", 9001, "south")}
    known = {"a": EndpointSums(10, 2, 5000), "b": EndpointSums(3, 3, 0)}
    evidence = {**known, "no address": EndpointSums(1, 0, 1)}
    packet = Packet("c1", 4, 17, Hint("p1", 3, 5 * TICKS_PER_SECOND, evidence))
    data = encode_packet(packet, addresses)
    names = {"127.0.0.1:9000": "a", "127.0.0.1:9001": "b"}
    decoded = decode_packet(data, names)
    assert (decoded.sender, decoded.epoch, decoded.number) == ("c1", 4, 17)
    assert decoded.hint == Hint("p1", 3, 5 * TICKS_PER_SECOND, known)
    assert decode_packet(data, {"127.0.0.1:9001": "b"}).hint.endpoints == {"b": known["b"]}
    with pytest.raises(MessageFormatError, match=r"node\.metadata must hold a director"):
        decode_packet(data.replace(b'"number":17', b'"number":-1'), names)


def test_former_command_name_is_a_hidden_alias_with_the_same_sub_commands() -> None:
    commands = CliRunner().invoke(main, ["--help"]).output
    assert "controller" in commands and "director" not in commands
    for words in ([], ["drain"]):
        new = CliRunner().invoke(main, ["controller", *words, "--help"])
        old = CliRunner().invoke(main, ["director", *words, "--help"])
        assert new.exit_code == old.exit_code == 0 and "--config" in old.output
        assert old.output == new.output.replace("main controller", "main director")
    assert CliRunner().invoke(main, ["director"]).exit_code == 2  # --config is missing

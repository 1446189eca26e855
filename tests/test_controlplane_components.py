"""The components of the service that need no proxies: clock, conditions, queue, timers, hand-off packets."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import trio
from click.testing import CliRunner

from willowhook.cli.main import main
from willowhook.controlplane.clock import Clock
from willowhook.controlplane.condition_log import ConditionLog
from willowhook.controlplane.decider import ControllerPort
from willowhook.controlplane.decision_queue import DecisionQueue
from willowhook.controlplane.handoff_codec import decode_packet, encode_packet
from willowhook.controlplane.inbound_events import ProxyFolderRemoved, WorkAvailable
from willowhook.decisions.events import EndpointListLost, EvaluationDue
from willowhook.membership.handoff import EndpointSums, Hint, Packet
from willowhook.records.writer import RecordWriter, read_records
from willowhook.roster.forms import DiscoveredEndpoint
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
    wall = [1000.0]
    monkeypatch.setattr("willowhook.controlplane.clock.time.time", lambda: wall[0])
    clock = Clock()
    assert clock.start_of(ENDPOINT) == 0
    started = replace(ENDPOINT, started=990.0)
    start = clock.start_of(started)
    assert 0 <= clock.now() - start - 10 * TICKS_PER_SECOND < TICKS_PER_SECOND
    wall[0] += 3600  # a step of the wall clock
    assert clock.start_of(started) == start
    assert clock.start_of(replace(ENDPOINT, started=wall[0] + 5)) <= clock.now()  # it is in the future


def test_condition_log_reports_changes_only(tmp_path: Path) -> None:
    log, records = ListLogger(), RecordWriter(str(tmp_path / "records"), 100)
    conditions = ConditionLog(log, records, lambda: 7)
    conditions.report("disk", False, "disk works again")
    conditions.report("disk", True, "disk failed", cause="full")
    conditions.report("disk", True, "disk failed", cause="still full")
    conditions.report("disk", False, "disk works again")
    records.flush()
    assert log.lines == [("warning", "disk failed", {"cause": "full"}), ("info", "disk works again", {})]
    rows = [row for row in read_records(str(tmp_path / "records")) if row["kind"] == "mode"]
    assert [(row["t"], row["name"], row["on"], row.get("cause")) for row in rows] == [
        (7, "disk", True, "full"),
        (7, "disk", False, None),
    ]


def test_decision_queue_gives_all_waiting_events_and_none_after_the_timeout() -> None:
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


def test_controller_port_refuses_events_before_there_is_a_controller() -> None:
    port, handled = ControllerPort(), list[Any]()

    class Decider:
        def handle(self, now: int, event: Any) -> None:
            handled.append((now, event))

    with pytest.raises(AssertionError, match="EvaluationDue before the controller was made"):
        port.handle(1, EvaluationDue())
    port.attach(Decider())  # type: ignore[arg-type]
    port.handle(2, EvaluationDue())
    assert handled == [(2, EvaluationDue())]


def test_handoff_packet_is_read_as_it_was_written_without_unknown_endpoints() -> None:
    addresses = {"a": ("127.0.0.1", 9000, "north"), "b": ("127.0.0.1", 9001, "south")}
    known = {"a": EndpointSums(10, 2, 5000), "b": EndpointSums(3, 3, 0)}
    evidence = {**known, "no address": EndpointSums(1, 0, 1)}
    packet = Packet("c1", 4, 17, Hint("p1", 3, 5 * TICKS_PER_SECOND, evidence))
    data = encode_packet(packet, addresses)
    names = {"127.0.0.1:9000": "a", "127.0.0.1:9001": "b"}
    read = decode_packet(data, names)
    assert (read.sender, read.epoch, read.number) == ("c1", 4, 17)
    assert read.hint == Hint("p1", 3, 5 * TICKS_PER_SECOND, known)
    assert decode_packet(data, {"127.0.0.1:9001": "b"}).hint.endpoints == {"b": known["b"]}
    with pytest.raises(MessageFormatError, match=r"node\.metadata has a director"):
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

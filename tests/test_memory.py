"""What a controller stores for its next start: aged, never trusted over the list, never in the way."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from service_harness import FakeDiscovery, FileProxy, RecordingLog, wait_until

from willowhook.config.example import EXAMPLE
from willowhook.controlplane.memory import ControllerMemory, Sums
from willowhook.controlplane.service import Service
from willowhook.store.store import Op, Store
from willowhook.ticks import TICKS_PER_SECOND
from willowhook.web.wire import serve_connection


def store_evidence(folder: Path, rows: list[tuple[int, str, str, int, int, int]]) -> None:
    """One start in which this was met: when, endpoint, zone, attempts, failures, mean latency."""
    memory = ControllerMemory(str(folder), "d", 1, 10 * TICKS_PER_SECOND, lambda text: None)
    for row in rows:
        memory.record_attempts(*row)
    memory.close()


def test_recent_evidence_is_restored_for_listed_endpoints_that_did_not_restart(
    tmp_path: Path,
) -> None:
    rows = [(0, "a", "north", 30, 3, 50), (0, "b", "north", 9, 9, 0), (0, "c", "south", 5, 0, 7)]
    store_evidence(tmp_path / "s", [*rows, (TICKS_PER_SECOND, "a", "north", 10, 1, 90)])
    memory = ControllerMemory(str(tmp_path / "s"), "d", 2, 10 * TICKS_PER_SECOND, lambda text: None)
    assert memory.last_epoch == 1
    soon = memory.wall_clock() / TICKS_PER_SECOND + 5
    # b started anew, c is not listed, z was never met
    found = memory.recent_evidence({"a": 0.0, "b": soon, "z": 0.0})
    assert [(each.endpoint, each.sums) for each in found] == [
        ("a", Sums("north", 40, 4, 60, TICKS_PER_SECOND))
    ]
    assert 0 <= found[0].age_ticks < 5 * TICKS_PER_SECOND
    memory.close()


def test_old_evidence_is_not_restored(tmp_path: Path) -> None:
    store_evidence(tmp_path / "s", [(0, "a", "north", 30, 3, 50), (TICKS_PER_SECOND, "a", "north", 1, 0, 9)])
    store = Store(str(tmp_path / "s"))
    for key, entry in store.by_key("met"):
        store.write([Op("met", key, entry.timestamp - 3600 * TICKS_PER_SECOND, entry.value)])
    store.flush()
    store.close()
    memory = ControllerMemory(str(tmp_path / "s"), "d", 2, 10 * TICKS_PER_SECOND, lambda text: None)
    assert memory.recent_evidence({"a": 0.0}) == []
    memory.close()


def test_unlisted_endpoints_are_removed_from_the_store(tmp_path: Path) -> None:
    memory = ControllerMemory(str(tmp_path / "s"), "d", 1, TICKS_PER_SECOND, lambda text: None)
    memory.record_endpoints({"a": (False, 0.0), "b": (True, 1.0)})
    memory.record_exclusion("b", True)
    memory.close()
    memory = ControllerMemory(str(tmp_path / "s"), "d", 2, TICKS_PER_SECOND, lambda text: None)
    assert {key for key, _ in memory.store.by_key("hosts")} == {"a", "b"}
    assert [key for key, _ in memory.store.by_key("withdrawn")] == ["b"]
    memory.record_endpoints({"a": (False, 0.0)})
    memory.close()
    store = Store(str(tmp_path / "s"))
    assert [key for key, _ in store.by_key("hosts")] == ["a"] and not store.by_key("withdrawn")
    store.close()


@pytest.mark.parametrize("taken", [False, True])
def test_restarted_controller_restores_evidence_and_runs_without_a_locked_store(
    tmp_path: Path, taken: bool
) -> None:
    log = RecordingLog()
    held: list[Any] = []

    async def life(number: int) -> None:
        discovery = FakeDiscovery()

        async def handler(stream: trio.SocketStream) -> None:
            await serve_connection(stream, discovery.answer)

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            url = f"http://127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            nursery.start_soon(trio.serve_listeners, handler, listeners)
            replace = msgspec.structs.replace
            terms = replace(
                EXAMPLE,
                fleet=replace(EXAMPLE.fleet, standing=0),  # proxies played by hand start with nothing
                files=replace(EXAMPLE.files, folder=str(tmp_path / "d"), proxy_lost_after_ms=20_000),
                roster=replace(EXAMPLE.roster, url=url, wait_ms=300, timeout_ms=200),
                records=replace(EXAMPLE.records, file=str(tmp_path / "records")),
                store=replace(EXAMPLE.store, folder=str(tmp_path / "s")),
            )
            service = Service(terms, log=log)
            with trio.fail_after(20):
                await nursery.start(service.run)
                one = FileProxy(service, f"p{number}")
                one.join()
                await wait_until(lambda: len(one.usable_endpoints()) == 3)
                if number == 1:
                    now = service.clock.now()
                    for k in range(3):
                        service.memory.record_attempts(now + k * TICKS_PER_SECOND, "a", "north", 20, 15, 100)  # type: ignore[union-attr]
                    one.acknowledge()
                    await trio.sleep(0.5)
                elif not taken:
                    await wait_until(lambda: "stored evidence restored" in log.texts())
                    assert service.controller.endpoints["a"].attempts(service.clock.now(), 10).attempts > 0
            nursery.cancel_scope.cancel()

    trio.run(life, 1)
    if taken:
        held.append(Store(str(tmp_path / "s")))
    trio.run(life, 2)
    assert ("store unavailable" in log.texts("warning")) == taken
    for store in held:
        store.close()
    store = Store(str(tmp_path / "s"))
    assert store.get("proxies", "p1") is not None and store.get("lives", EXAMPLE.name) is not None
    store.close()

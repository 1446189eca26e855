"""What a director keeps for its next life: aged, never trusted over the list, never in the way."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
from test_service import ByHand, Log, Roster, until

from willowhook.config.example import EXAMPLE
from willowhook.controlplane.memory import Memory
from willowhook.controlplane.service import Service
from willowhook.store.store import Op, Store
from willowhook.ticks import TICKS_PER_SECOND
from willowhook.web.wire import answer_calls


def lived(folder: Path, rows: list[tuple[int, str, str, int, int, int]]) -> None:
    """One life in which this was met: when, host, zone, tries, errors, mean."""
    memory = Memory(str(folder), "d", 1, 10 * TICKS_PER_SECOND, lambda text: None)
    for row in rows:
        memory.met(*row)
    memory.close()


def test_what_was_met_of_late_is_recalled_for_hosts_that_are_listed_and_did_not_start_anew(
    tmp_path: Path,
) -> None:
    rows = [(0, "a", "north", 30, 3, 50), (0, "b", "north", 9, 9, 0), (0, "c", "south", 5, 0, 7)]
    lived(tmp_path / "s", [*rows, (TICKS_PER_SECOND, "a", "north", 10, 1, 90)])
    memory = Memory(str(tmp_path / "s"), "d", 2, 10 * TICKS_PER_SECOND, lambda text: None)
    assert memory.last_life == 1
    soon = memory.calendar() / TICKS_PER_SECOND + 5
    # b started anew, c is not listed, z was never met
    found = memory.recall({"a": 0.0, "b": soon, "z": 0.0})
    assert [(host, s.zone, s.tries, s.errors, s.mean, s.window) for host, s, _ in found] == [
        ("a", "north", 40, 4, 60, TICKS_PER_SECOND)
    ]
    assert 0 <= found[0][2] < 5 * TICKS_PER_SECOND
    memory.close()


def test_what_is_old_is_of_no_use(tmp_path: Path) -> None:
    lived(tmp_path / "s", [(0, "a", "north", 30, 3, 50), (TICKS_PER_SECOND, "a", "north", 1, 0, 9)])
    store = Store(str(tmp_path / "s"))
    for key, entry in store.by_key("met"):
        store.write([Op("met", key, entry.at - 3600 * TICKS_PER_SECOND, entry.value)])
    store.flush()
    store.close()
    memory = Memory(str(tmp_path / "s"), "d", 2, 10 * TICKS_PER_SECOND, lambda text: None)
    assert memory.recall({"a": 0.0}) == []
    memory.close()


def test_hosts_that_are_no_longer_listed_are_forgotten(tmp_path: Path) -> None:
    memory = Memory(str(tmp_path / "s"), "d", 1, TICKS_PER_SECOND, lambda text: None)
    memory.listed({"a": [False, 0.0], "b": [True, 1.0]})
    memory.withdrawn("b", True)
    memory.close()
    memory = Memory(str(tmp_path / "s"), "d", 2, TICKS_PER_SECOND, lambda text: None)
    assert {key for key, _ in memory.store.by_key("hosts")} == {"a", "b"}
    assert [key for key, _ in memory.store.by_key("withdrawn")] == ["b"]
    memory.listed({"a": [False, 0.0]})
    memory.close()
    store = Store(str(tmp_path / "s"))
    assert [key for key, _ in store.by_key("hosts")] == ["a"] and not store.by_key("withdrawn")
    store.close()


@pytest.mark.parametrize("taken", [False, True])
def test_a_director_recalls_its_last_life_and_does_without_a_store_that_it_cannot_have(
    tmp_path: Path, taken: bool
) -> None:
    log = Log()
    held: list[Any] = []

    async def life(number: int) -> None:
        roster = Roster()

        async def handler(stream: trio.SocketStream) -> None:
            await answer_calls(stream, roster.answer)

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
                one = ByHand(service, f"p{number}")
                one.join()
                await until(lambda: len(one.hosts()) == 3)
                if number == 1:
                    now = service.clock.now()
                    for k in range(3):
                        service.memory.met(now + k * TICKS_PER_SECOND, "a", "north", 20, 15, 100)  # type: ignore[union-attr]
                    one.answer()
                    await trio.sleep(0.5)
                elif not taken:
                    await until(lambda: "recalls what it met" in log.texts())
                    assert service.director.endpoints["a"].attempts(service.clock.now(), 10).attempts > 0
            nursery.cancel_scope.cancel()

    trio.run(life, 1)
    if taken:
        held.append(Store(str(tmp_path / "s")))
    trio.run(life, 2)
    assert ("no store" in log.texts("warning")) == taken
    for store in held:
        store.close()
    store = Store(str(tmp_path / "s"))
    assert store.get("proxies", "p1") is not None and store.get("lives", EXAMPLE.name) is not None
    store.close()

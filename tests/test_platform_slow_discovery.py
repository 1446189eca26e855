"""Service discovery that needs long for each call, with real controller processes."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import trio
from platform_process import (
    ATTACH,
    SETTINGS,
    ControllerProcess,
    FakeDiscovery,
    Peer,
    received_exclusions,
    received_weights,
)

from willowhook.web.wire import Call, Reply, serve_connection

SLACK_S = 0.3  # added to time limits that are checked over sockets, by the protocol
RECEIVED_WITHIN_S = 6.0  # by the protocol, a change counts as received this long after it was listed
DRAIN_GRACE_S = SETTINGS["contract"]["drain-grace"]
ENDPOINTS = tuple(f"h{number}" for number in range(11))
REMAINING = ENDPOINTS[:4]
CONTROLLERS = 10  # that share a discovery, which needs 2 s for a call of each
SHARED_DELAY_S = 0.2

Scenario = Callable[[ControllerProcess, "SlowDiscovery", Peer], Awaitable[None]]


class SlowDiscovery(FakeDiscovery):
    """A discovery server that needs a fixed time for each call, after the whole wait for a change.

    Attributes:
        delay_s: the time that it needs for a call.
        works_in_turn: whether it works on one call at a time, also if the caller has given it up.
        connection_count: the number of connections that it has accepted.
        answered_at: when it first answered a version of the list, by port and version, in the clock of trio.
    """

    max_change_wait_s = 60.0

    def __init__(self, delay_s: float, *, works_in_turn: bool = False) -> None:
        super().__init__()
        self.delay_s = delay_s
        self.works_in_turn = works_in_turn
        self.connection_count = 0
        self.answered_at: dict[tuple[int, int], float] = {}
        self._turn = trio.Lock()

    async def answer_at(self, port: int, request: Call) -> Reply:
        reply = await self.answer(request)
        if self.works_in_turn:
            async with self._turn:
                await trio.sleep(self.delay_s)
        else:
            await trio.sleep(self.delay_s)
        version = json.loads(reply.body)["seq"]
        self.answered_at.setdefault((port, version), trio.current_time())
        return reply

    async def serve(self, port: int, task_status: trio.TaskStatus[object] = trio.TASK_STATUS_IGNORED) -> None:
        async def serve_counted(stream: trio.SocketStream) -> None:
            self.connection_count += 1
            await serve_connection(stream, partial(self.answer_at, port))

        await trio.serve_tcp(serve_counted, port, host="127.0.0.1", task_status=task_status)


async def play(folder: Path, delay_s: float, scenario: Scenario, known: tuple[str, ...] = ()) -> None:
    """Runs a scenario with a controller that starts with a list of the `known` endpoints."""
    folder.mkdir()
    discovery = SlowDiscovery(delay_s)
    for endpoint in ENDPOINTS:
        discovery.set_entry(endpoint)
    controller = ControllerProcess(folder, discovery=discovery)
    controller.known = {
        "seq": discovery.version,
        "whole": True,
        "hosts": [discovery.entries[name] for name in known],
    }
    controller.write_configuration(controller.discovery_port)
    if known:
        discovery.remove_entries(*[name for name in ENDPOINTS if name not in REMAINING])
    async with controller.running():
        proxy = await controller.connect()
        await proxy.send(ATTACH)
        await scenario(controller, discovery, proxy)


async def wait_until_logged(controller: ControllerProcess, text: str) -> None:
    try:
        with trio.fail_after(5):
            while text not in controller.read_log():
                await trio.sleep(0.02)
    except trio.TooSlowError as error:
        raise AssertionError(f"no line with {text!r} within 5 s, log:\n{controller.read_log()}") from error


async def expect_exclusion_in_time(controller: ControllerProcess, proxy: Peer, endpoint: str) -> None:
    """Checks that a proxy is told to exclude an endpoint, just listed as draining, within the drain grace."""
    discovery = controller.discovery
    assert isinstance(discovery, SlowDiscovery)
    version = discovery.version
    listed_at = trio.current_time()
    await proxy.receive_until(lambda received: endpoint in received_exclusions(received))
    answered_at = discovery.answered_at[controller.discovery_port, version]
    received_at = min(answered_at, listed_at + RECEIVED_WITHIN_S)
    assert trio.current_time() <= received_at + DRAIN_GRACE_S + SLACK_S


def play_all(
    tmp_path: Path, delays_s: tuple[float, ...], scenario: Scenario, known: tuple[str, ...] = ()
) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for delay_s in delays_s:
                nursery.start_soon(play, tmp_path / f"{delay_s}", delay_s, scenario, known)

    trio.run(main)


def test_drain_is_kept_after_a_list_that_lacks_most_endpoints_while_discovery_is_slow(tmp_path: Path) -> None:
    """Guards against fetches of the complete list that cancel one another, so that no change is received."""

    async def scenario(controller: ControllerProcess, discovery: SlowDiscovery, proxy: Peer) -> None:
        await proxy.receive_until(lambda received: set(received_weights(received)) == set(ENDPOINTS))
        discovery.remove_entries(*[name for name in ENDPOINTS if name not in REMAINING])
        await wait_until_logged(controller, "endpoint list implausible")
        await trio.sleep(4.0)
        discovery.set_entry(REMAINING[0], "leaving")
        await expect_exclusion_in_time(controller, proxy, REMAINING[0])
        assert discovery.connection_count == 1  # no request was given up

    play_all(tmp_path, (0.0, 0.3, 0.7, 1.1), scenario)


def test_drain_is_kept_after_a_restart_with_an_old_list_while_discovery_is_slow(tmp_path: Path) -> None:
    """Guards against the same where most endpoints of the configured list have left before the start."""

    async def scenario(controller: ControllerProcess, discovery: SlowDiscovery, proxy: Peer) -> None:
        await wait_until_logged(controller, "endpoint list implausible")
        await proxy.receive_until(lambda received: set(REMAINING) <= set(received_weights(received)))
        await trio.sleep(2.0)
        discovery.set_entry(REMAINING[0], "leaving")
        await expect_exclusion_in_time(controller, proxy, REMAINING[0])
        assert discovery.connection_count == 1  # no request was given up

    play_all(tmp_path, (0.0, 0.3, 0.7, 1.1), scenario, known=ENDPOINTS)


def test_discovery_is_followed_when_its_answers_take_longer_than_the_first_time_limit(tmp_path: Path) -> None:
    """Guards against a time limit below what discovery needs, so that no complete list is ever received."""

    async def scenario(controller: ControllerProcess, discovery: SlowDiscovery, proxy: Peer) -> None:
        await proxy.receive_until(lambda received: set(received_weights(received)) == set(ENDPOINTS))
        connection_count = discovery.connection_count
        await trio.sleep(5.0)
        discovery.set_entry(ENDPOINTS[0], "leaving")
        await expect_exclusion_in_time(controller, proxy, ENDPOINTS[0])
        assert discovery.connection_count == connection_count  # no request was given up since

    play_all(tmp_path, (1.4, 1.9, 2.3), scenario)


def test_drain_is_kept_after_an_implausible_list_at_controllers_that_share_a_discovery(
    tmp_path: Path,
) -> None:
    """Guards against requests that several controllers repeat until a shared discovery is overloaded."""
    discovery = SlowDiscovery(SHARED_DELAY_S, works_in_turn=True)
    for endpoint in ENDPOINTS:
        discovery.set_entry(endpoint)

    async def play_one(number: int, has_implausible_list: trio.Event, is_drained: trio.Event) -> None:
        folder = tmp_path / f"n{number}"
        folder.mkdir()
        controller = ControllerProcess(folder, discovery=discovery, seed=f"{number}")
        async with controller.running():
            proxy = await controller.connect()
            await proxy.send(ATTACH)
            await proxy.receive_until(lambda received: set(received_weights(received)) == set(ENDPOINTS))
            await trio.sleep(2.0)
            if discovery.version == len(ENDPOINTS) + 1:  # the first of them
                discovery.remove_entries(*[name for name in ENDPOINTS if name not in REMAINING])
            await wait_until_logged(controller, "endpoint list implausible")
            has_implausible_list.set()
            await is_drained.wait()
            await expect_exclusion_in_time(controller, proxy, REMAINING[0])

    async def main() -> None:
        is_drained = trio.Event()
        has_implausible_list = [trio.Event() for _ in range(CONTROLLERS)]
        async with trio.open_nursery() as nursery:
            for number, event in enumerate(has_implausible_list):
                nursery.start_soon(play_one, number, event, is_drained)
            for event in has_implausible_list:
                await event.wait()
            await trio.sleep(4.0)
            discovery.set_entry(REMAINING[0], "leaving")
            is_drained.set()

    trio.run(main)

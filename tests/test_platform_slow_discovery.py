"""Service discovery that needs long for each call, with real controller processes."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
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

Scenario = Callable[[ControllerProcess, "SlowDiscovery", Peer], Awaitable[None]]


class SlowDiscovery(FakeDiscovery):
    """A discovery server that needs a fixed time for each call, after the whole wait for a change.

    Attributes:
        delay_s: the time that it needs for a call.
        connection_count: the number of connections that it has accepted.
        answered_at: when each version of the list was first answered, in the clock of trio.
    """

    max_change_wait_s = 60.0

    def __init__(self, delay_s: float) -> None:
        super().__init__()
        self.delay_s = delay_s
        self.connection_count = 0
        self.answered_at: dict[int, float] = {}

    async def answer(self, request: Call) -> Reply:
        reply = await super().answer(request)
        await trio.sleep(self.delay_s)
        self.answered_at.setdefault(json.loads(reply.body)["seq"], trio.current_time())
        return reply

    async def serve(self, port: int, task_status: trio.TaskStatus[object] = trio.TASK_STATUS_IGNORED) -> None:
        async def serve_counted(stream: trio.SocketStream) -> None:
            self.connection_count += 1
            await serve_connection(stream, self.answer)

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
    with trio.fail_after(5):
        while text not in controller.read_log():
            await trio.sleep(0.02)


async def expect_timely_drain(discovery: SlowDiscovery, proxy: Peer, endpoint: str) -> None:
    """Drains an endpoint, and checks that the proxy is told to exclude it within the drain grace."""
    discovery.set_entry(endpoint, "leaving")
    version = discovery.version
    listed_at = trio.current_time()
    await proxy.receive_until(lambda received: endpoint in received_exclusions(received))
    received_at = min(discovery.answered_at[version], listed_at + RECEIVED_WITHIN_S)
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
        await expect_timely_drain(discovery, proxy, REMAINING[0])
        assert discovery.connection_count == 1  # no request was given up

    play_all(tmp_path, (0.0, 0.3, 0.7, 1.1), scenario)


def test_drain_is_kept_after_a_restart_with_an_old_list_while_discovery_is_slow(tmp_path: Path) -> None:
    """Guards against the same where most endpoints of the configured list have left before the start."""

    async def scenario(controller: ControllerProcess, discovery: SlowDiscovery, proxy: Peer) -> None:
        await wait_until_logged(controller, "endpoint list implausible")
        await proxy.receive_until(lambda received: set(REMAINING) <= set(received_weights(received)))
        await trio.sleep(2.0)
        await expect_timely_drain(discovery, proxy, REMAINING[0])
        assert discovery.connection_count == 1  # no request was given up

    play_all(tmp_path, (0.0, 0.3, 0.7, 1.1), scenario, known=ENDPOINTS)


def test_discovery_is_followed_when_its_answers_take_longer_than_the_first_time_limit(tmp_path: Path) -> None:
    """Guards against a time limit below what discovery needs, so that no complete list is ever received."""

    async def scenario(_controller: ControllerProcess, discovery: SlowDiscovery, proxy: Peer) -> None:
        await proxy.receive_until(lambda received: set(received_weights(received)) == set(ENDPOINTS))
        connection_count = discovery.connection_count
        await trio.sleep(5.0)
        await expect_timely_drain(discovery, proxy, ENDPOINTS[0])
        assert discovery.connection_count == connection_count  # no request was given up since

    play_all(tmp_path, (1.4, 1.9, 2.3), scenario)

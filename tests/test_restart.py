"""A controller that restarts: what its proxies may use of what the controller before had taken away."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio
from service_harness import FakeDiscovery, FileProxy, RecordingLog, serve, wait_until

from willowhook.config.example import EXAMPLE
from willowhook.controlplane.service import Service

DRAIN_GRACE_S = EXAMPLE.rules.drain_grace_ms / 1000
WATCHED_S = DRAIN_GRACE_S + 0.5
PROXIES = [f"p{number}" for number in range(12)]


@pytest.mark.parametrize("discovery_mode", ["good", "stall"])
@pytest.mark.parametrize("is_removed", [False, True], ids=["draining", "removed"])
def test_endpoint_excluded_before_a_restart_is_not_used_after_it(
    tmp_path: Path, is_removed: bool, discovery_mode: str
) -> None:
    """Guards against exclusions that end with the process: the store's records of them are not read back."""

    async def exclude(service: Service, discovery: FakeDiscovery, _log: RecordingLog) -> None:
        proxies = await _join_all(service)
        discovery.endpoints["a"] = True
        discovery.index += 1
        await wait_until(lambda: all("a" not in proxy.usable_endpoints() for proxy in proxies))
        _answer_all(proxies)
        await trio.sleep(0.5)

    async def watch(service: Service, discovery: FakeDiscovery, _log: RecordingLog) -> None:
        if is_removed:
            del discovery.endpoints["a"]
        else:
            discovery.endpoints["a"] = True
        discovery.index = 7
        discovery.mode = discovery_mode
        proxies = [FileProxy(service, name) for name in PROXIES]
        with trio.move_on_after(WATCHED_S):
            while True:
                assert all(proxy.usable_endpoints() == {"b", "c"} for proxy in proxies)
                await trio.sleep(0.05)
                _answer_all(proxies)

    serve(tmp_path, exclude, store_folder=str(tmp_path / "s"))
    serve(tmp_path, watch, store_folder=str(tmp_path / "s"))


def test_endpoint_removed_during_a_restart_is_not_used_past_the_grace(tmp_path: Path) -> None:
    """Guards against an endpoint that no controller excluded, as none ran when it was removed."""

    async def serve_all(service: Service, _discovery: FakeDiscovery, _log: RecordingLog) -> None:
        _answer_all(await _join_all(service))
        await trio.sleep(0.5)

    async def watch(service: Service, discovery: FakeDiscovery, _log: RecordingLog) -> None:
        del discovery.endpoints["a"]
        discovery.index = 7
        proxies = [FileProxy(service, name) for name in PROXIES]
        await wait_until(lambda: all("a" not in proxy.usable_endpoints() for proxy in proxies), DRAIN_GRACE_S)
        with trio.move_on_after(WATCHED_S):
            while True:
                _answer_all(proxies)
                assert all(
                    "a" not in proxy.usable_endpoints() and proxy.usable_endpoints() for proxy in proxies
                )
                await trio.sleep(0.05)

    serve(tmp_path, serve_all, store_folder=str(tmp_path / "s"))
    serve(tmp_path, watch, store_folder=str(tmp_path / "s"))


async def _join_all(service: Service) -> list[FileProxy]:
    proxies = [FileProxy(service, name) for name in PROXIES]
    for proxy in proxies:
        proxy.join()
    await wait_until(lambda: all(proxy.usable_endpoints() == {"a", "b", "c"} for proxy in proxies))
    _answer_all(proxies)
    return proxies


def _answer_all(proxies: list[FileProxy]) -> None:
    for proxy in proxies:
        proxy.acknowledge()

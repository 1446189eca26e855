"""Tests that endpoints excluded or removed before or during a restart stay unused after it."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio
from service_harness import FakeDiscovery, FileProxy, RecordingLog, serve, wait_until

from willowhook.config.example import EXAMPLE
from willowhook.controlplane.service import Service

DRAIN_GRACE_SECONDS = EXAMPLE.rules.drain_grace_ms / 1000
WATCH_SECONDS = DRAIN_GRACE_SECONDS + 0.5
PROXIES = [f"p{number}" for number in range(12)]


@pytest.mark.parametrize("discovery_mode", ["good", "stall"])
@pytest.mark.parametrize("is_removed", [False, True], ids=["draining", "removed"])
def test_endpoint_excluded_before_a_restart_is_not_used_after_it(
    tmp_path: Path, is_removed: bool, discovery_mode: str
) -> None:
    """Guards against exclusions that end with the process, as stored exclusions are not read back."""

    async def exclude(service: Service, discovery: FakeDiscovery, _log: RecordingLog) -> None:
        proxies = await _join_all(service)
        discovery.endpoints["a"] = True
        discovery.index += 1
        await wait_until(lambda: all("a" not in proxy.usable_endpoints() for proxy in proxies))
        _acknowledge_all(proxies)
        await trio.sleep(0.5)

    async def watch(service: Service, discovery: FakeDiscovery, _log: RecordingLog) -> None:
        if is_removed:
            del discovery.endpoints["a"]
        else:
            discovery.endpoints["a"] = True
        discovery.index = 7
        discovery.mode = discovery_mode
        proxies = [FileProxy(service, name) for name in PROXIES]
        with trio.move_on_after(WATCH_SECONDS):
            while True:
                assert all(proxy.usable_endpoints() == {"b", "c"} for proxy in proxies)
                await trio.sleep(0.05)
                _acknowledge_all(proxies)

    serve(tmp_path, exclude, store_folder=str(tmp_path / "s"))
    serve(tmp_path, watch, store_folder=str(tmp_path / "s"))


def test_endpoint_removed_during_a_restart_is_not_used_after_the_drain_grace(tmp_path: Path) -> None:
    """Guards against using an endpoint that no controller excluded, as none ran when it was removed."""

    async def serve_all(service: Service, _discovery: FakeDiscovery, _log: RecordingLog) -> None:
        _acknowledge_all(await _join_all(service))
        await trio.sleep(0.5)

    async def watch(service: Service, discovery: FakeDiscovery, _log: RecordingLog) -> None:
        del discovery.endpoints["a"]
        discovery.index = 7
        proxies = [FileProxy(service, name) for name in PROXIES]
        await wait_until(
            lambda: all("a" not in proxy.usable_endpoints() for proxy in proxies), DRAIN_GRACE_SECONDS
        )
        with trio.move_on_after(WATCH_SECONDS):
            while True:
                _acknowledge_all(proxies)
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
    _acknowledge_all(proxies)
    return proxies


def _acknowledge_all(proxies: list[FileProxy]) -> None:
    for proxy in proxies:
        proxy.acknowledge()

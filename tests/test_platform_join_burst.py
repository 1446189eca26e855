"""Join bursts at one real controller, behind a channel that counts the entries that wait in it."""

from __future__ import annotations

import random
from dataclasses import dataclass
from pathlib import Path

import pytest
import trio
from platform_process import SETTINGS, ControllerProcess
from soak import SoakController, raise_descriptor_limit
from soak_discovery import SoakDiscovery
from update_channel import ChannelProxy, UpdateChannel

from willowhook.platform.fields import Fields

NORTH, SOUTH = SETTINGS["zones"]
QUEUE_LIMIT_S = 2.0  # the limit of the queue, in seconds of the channel's rate, as in the protocol's example
OVERHEAD_ENTRIES = 6.0
MAX_DELAY_S = 0.435
SETTLING_S = 4.0  # the weight solver's first step comes 3 s after the start
FIRST_LIST_CHANGE_S = 1.2  # after the loss of the zone
SECOND_LIST_CHANGE_S = 2.1
ZONE_LOST_S = 5.0
CONNECTING_S = 0.25  # within which the proxies of the zone connect, before they all join at once
SLACK_S = 0.3  # added to time limits that are checked over sockets, by the protocol
EMPTY_TABLE_GRACE_S = SETTINGS["extra"]["empty-for"]
ROUTES = [route["name"] for route in SETTINGS["request-classes"]]


@dataclass(frozen=True)
class FleetSize:
    """A fleet that loses a zone, and the share of it that one surviving controller serves.

    Attributes:
        proxies, endpoints: of the whole fleet, half of them in each zone.
        entries_per_second: the rate of the controller's channel.
        served: the proxies that the controller serves at first, half of them in each zone.
        orphans: the proxies of the other zone that join it when their controllers are lost.
        returning: the proxies of the lost zone that join it when the zone returns.
    """

    proxies: int
    endpoints: int
    entries_per_second: float
    served: int
    orphans: int
    returning: int


TENTH = FleetSize(160, 20, 700.0, served=32, orphans=24, returning=80)
QUARTER = FleetSize(400, 50, 2281.25, served=80, orphans=60, returning=200)
FULL = FleetSize(1600, 200, 18250.0, served=320, orphans=240, returning=414)


class ZoneLoss:
    """A controller that survives the loss of the southern zone, with its proxies, channel and discovery."""

    def __init__(self, size: FleetSize, seed: int, folder: Path) -> None:
        self.size = size
        self.random = random.Random(seed)
        self.discovery = SoakDiscovery(random.Random(seed + 1), sends_changes=True)
        self.channel = UpdateChannel(
            size.entries_per_second, QUEUE_LIMIT_S * size.entries_per_second, OVERHEAD_ENTRIES
        )
        folder.mkdir(exist_ok=True)
        process = ControllerProcess(folder, make_settings(size), sockets=2 * size.proxies + 64)
        self.controller = SoakController("n1", process, folder)
        self.returned: list[ChannelProxy] = []
        self._next_proxy = 0

    def play(self) -> None:
        """Plays the loss and the return of the zone."""
        raise_descriptor_limit()
        for number in range(self.size.endpoints):
            self.discovery.change(f"h{number}", "active", 0.0)
        trio.run(self._play)

    async def _play(self) -> None:
        try:
            async with trio.open_nursery() as nursery:
                port = self.controller.process.discovery_port
                await nursery.start(self.discovery.serve, "n1", port)
                await self.controller.start()
                await self._lose_and_return_zone(nursery)
                nursery.cancel_scope.cancel()
        finally:
            await self.controller.kill()

    async def _lose_and_return_zone(self, nursery: trio.Nursery) -> None:
        half = self.size.served // 2
        self._join(nursery, half, NORTH, SETTLING_S / 4, is_fresh=True)
        with trio.CancelScope() as southern:
            async with trio.open_nursery() as southern_nursery:
                self._join(southern_nursery, half, SOUTH, SETTLING_S / 4, is_fresh=True)
                await trio.sleep(SETTLING_S)
                southern.cancel()
        self._join(nursery, self.size.orphans, NORTH, FIRST_LIST_CHANGE_S, is_fresh=False)
        lost = [name for name, each in self.discovery.endpoints.items() if each.entry()["site"] == SOUTH]
        await trio.sleep(FIRST_LIST_CHANGE_S)
        self._remove_endpoints(lost[: len(lost) // 10])
        await trio.sleep(SECOND_LIST_CHANGE_S - FIRST_LIST_CHANGE_S)
        self._remove_endpoints(lost[len(lost) // 10 :])
        await trio.sleep(ZONE_LOST_S - SECOND_LIST_CHANGE_S)
        zone_returned = trio.Event()
        self.returned = self._join(
            nursery, self.size.returning, SOUTH, CONNECTING_S, is_fresh=True, at=zone_returned
        )
        await trio.sleep(2 * CONNECTING_S)
        zone_returned.set()
        await trio.sleep(EMPTY_TABLE_GRACE_S + SLACK_S)

    def _join(
        self,
        nursery: trio.Nursery,
        count: int,
        zone: str,
        within_s: float,
        *,
        is_fresh: bool,
        at: trio.Event | None = None,
    ) -> list[ChannelProxy]:
        """Makes proxies connect within a time and join at once, or when an event is set."""
        proxies = []
        for _ in range(count):
            delays = random.Random(self.random.random())
            port = self.controller.port
            proxy = ChannelProxy(self._next_proxy, zone, is_fresh, port, self.channel, delays, MAX_DELAY_S)
            nursery.start_soon(self._run_after, delays.uniform(0.0, within_s), proxy, at)
            proxies.append(proxy)
            self._next_proxy += 1
        return proxies

    async def _run_after(self, delay_s: float, proxy: ChannelProxy, may_join: trio.Event | None) -> None:
        await trio.sleep(delay_s)
        await proxy.run(may_join)

    def _remove_endpoints(self, names: list[str]) -> None:
        for name in names:
            self.discovery.change(name, "left")


def make_settings(size: FleetSize) -> Fields:
    extra: Fields = {
        "egress-per-s": size.entries_per_second,
        "most-waiting": QUEUE_LIMIT_S * size.entries_per_second,
        "per-message": OVERHEAD_ENTRIES,
        "late-most": MAX_DELAY_S,
        "proxies": size.proxies,
        "default-size": 5,
    }
    routes = [{**route, "only-kinds": []} for route in SETTINGS["request-classes"]]
    return {
        **SETTINGS,
        "request-classes": routes,
        "contract": {**SETTINGS["contract"], "drain-grace": 2.0},
        "deductions": {"cross-zone": 0.08},
        "extra": {**SETTINGS["extra"], **extra},
    }


# Guards against a join burst that puts more entries into the channel than its queue limit.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("size", [TENTH, QUARTER, FULL], ids=["tenth", "quarter", "full"])
def test_join_burst_after_a_zone_loss_keeps_the_queue_limit(
    size: FleetSize, seed: int, tmp_path: Path
) -> None:
    run = ZoneLoss(size, seed, tmp_path / "n1")
    run.play()
    channel = run.channel
    log = run.controller.logs[0].read_text()
    unserved = [proxy.number for proxy in run.returned if not proxy.is_served(ROUTES)]
    assert not unserved, f"{len(unserved)} proxies have no endpoint\n{log}"
    assert not channel.breaches, (
        f"{len(channel.breaches)} breaches, {channel.peak_entries:.0f} entries waited, "
        f"{channel.limit_entries:.0f} may; largest message {max(channel.costs):.0f}\n{log}"
    )

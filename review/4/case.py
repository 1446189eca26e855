"""A data centre with 6 of 11 task servers is lost for 5 s, while discovery works 0.7 s on each call."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

from fleet import Fleet, play, settings

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
LOST_S = 5.0  # FLEET.md, zone+mass: "a zone is lost for 5 s"
NOTICE_S = 0.6  # quito-shared.toml, notice_s = [0.55, 4.6]
ADD_S = 0.7  # quito-shared.toml, add_s = [0.67, 2.2]
CALL_S = 0.7  # quito-shared.toml, timeout_ms = 1000: a call may wait that long
TOLD_S = 6.0  # PROTOCOL.md: "counts as told 6 s later at the latest"


async def main() -> int:
    fleet = Fleet(Path(__file__).parent, {"quito-norte": 6, "quito-sur": 5}, proxies=8, seed=SEED,
                  settings_=settings(8))
    fleet.discovery.delay_s = CALL_S
    try:
        await fleet.start()
        await asyncio.sleep(12)
        lost = [host for host in fleet.hosts.values() if host.zone == "quito-norte"]
        if TROUBLE:
            fleet.log("trouble: the task servers of quito-norte die")
            for host in lost:
                host.alive = False
            await asyncio.sleep(NOTICE_S)
            for host in lost:
                host.health = "left"
            fleet.discovery.publish(*[host.name for host in lost])
            await asyncio.sleep(LOST_S - NOTICE_S)
            for host in lost:
                host.alive = True
                host.born_ms = time.time() * 1000
            fleet.log("the task servers of quito-norte are back, cold")
            await asyncio.sleep(ADD_S)
            for host in lost:
                host.health = "active"
            fleet.discovery.publish(*[host.name for host in lost])
            await asyncio.sleep(10)
        # an ordinary drain, with and without the trouble: it ends the run
        leaving = next(host for host in fleet.hosts.values() if host.zone == "quito-sur")
        leaving.health = "leaving"
        fleet.discovery.publish(leaving.name)
        await asyncio.sleep(TOLD_S)
        for director in fleet.directors:
            fleet.count_as_told(director, [leaving.name])
        await asyncio.sleep(fleet.grace_s + 4)
    finally:
        await fleet.finish()
    # only the later drain decides: sends to the lost task servers have a cause of their own as well (issue 45 (5))
    late = [text for text in fleet.violations if f" to {leaving.name}," in text]
    print(f"sends={fleet.sends} late sends: {len(late)} to the drained task server, "
          f"{len(fleet.violations) - len(late)} to lost ones; discovery={fleet.discovery.stats}")
    for text in late[:3] + late[-2:]:
        print(text)
    return 1 if late else 0


sys.exit(play(main))

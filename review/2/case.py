"""Proxies keep shutting out endpoints that came back after their controller was restarted."""

import os
import signal
import time

from platform_standins import main, make_settings, trouble

ENDPOINTS = [(f"e{number}", ("north", "south")[number % 2]) for number in range(10)]
OUTAGE_S = 5.0
NOTICE_S = 1.0  # until discovery takes the lost endpoints off the list
ADD_S = 0.9  # until discovery lists those that are back


async def restart(controller):
    await controller.end(signal.SIGTERM)
    await controller.start()


async def play(fleet):
    first = fleet.add_controller("n0", "north")
    second = fleet.add_controller("n1", "south")
    await first.start()
    await second.start()
    fleet.start_collectors()
    fleet.start(fleet.judge_empty_tables())
    for number in range(6):
        fleet.add_proxy(number, ("north", "south")[number % 2], rate=18.0, weight=18.0, home=None)
    await fleet.sleep(8.0)
    part = os.environ.get("PART", "both")  # zone, restart: one of the two alone, to see that it does no harm
    lost = [each for each in fleet.endpoints.values() if each.zone == "north"]
    lost_at = fleet.record.now()
    if trouble() and part != "restart":
        fleet.record.write("zone north: all endpoints are lost")
        for endpoint in lost:
            endpoint.runs = False
        await fleet.sleep(NOTICE_S)
        fleet.discovery.publish(lost, "left")
    await fleet.sleep(0.9)
    if trouble() and part != "zone":
        # a planned restart of all directors, one at a time
        await restart(first)
        await fleet.sleep(0.3)
        await restart(second)
    if trouble() and part != "restart":
        await fleet.sleep(lost_at + OUTAGE_S - fleet.record.now())
        fleet.record.write("zone north: all endpoints are back, cold")
        for endpoint in lost:
            endpoint.runs = True
            endpoint.started_at_ms = 1000 * time.time()
        await fleet.sleep(ADD_S)
        fleet.discovery.publish(lost, "active")
    # until the endpoints are warm, the limit on empty tables has passed, and 8 s more
    await fleet.sleep(fleet.settings["contract"]["cold"] + fleet.settings["extra"]["empty-for"] + 8.0)


main(play, ".", make_settings(extra__class_own_zone=[True, False, False]), ENDPOINTS)

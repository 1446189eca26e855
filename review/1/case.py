"""A controller that only idle proxies have joined crashes when an endpoint drains."""

import signal

from platform_standins import main, make_settings, trouble

ENDPOINTS = [(f"e{number}", ("north", "south")[number % 2]) for number in range(10)]


async def play(fleet):
    first = fleet.add_controller("n0", "north")
    second = fleet.add_controller("n1", "south")
    await first.start()
    await second.start()
    fleet.start_collectors()
    # five busy proxies, and one that gets no requests at present
    for number in range(5):
        zone = ("north", "south")[number % 2]
        fleet.add_proxy(number, zone, rate=20.0, weight=20.0, home=(first, second)[number % 2])
    await fleet.sleep(1.0)
    idle = fleet.add_proxy(5, "south", rate=0.0, weight=0.0, home=second)
    await fleet.sleep(7.0)
    if trouble():
        # the one disruption: a director is killed outright, and starts again from nothing
        for proxy in fleet.proxies:
            proxy.home = first if proxy.home is second and proxy is not idle else proxy.home
        await second.end(signal.SIGKILL)
        await fleet.sleep(2.0)
        await second.start()
        await fleet.sleep(1.0)
        idle.leave()  # goes back to its director; the others go back later
    await fleet.sleep(6.0)
    # in both modes: an endpoint is taken out of service in the ordinary way
    leaving = fleet.endpoints["e3"]
    fleet.discovery.publish([leaving], "leaving")
    await fleet.sleep(3.0)
    fleet.discovery.publish([leaving], "left")
    leaving.runs = False
    await fleet.sleep(6.0)


main(play, ".", make_settings(), ENDPOINTS)

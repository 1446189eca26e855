"""After a partition from discovery the controllers ask again too late, and a drain is not kept."""

from platform_standins import main, make_settings, trouble

ENDPOINTS = [(f"e{number}", ("north", "south")[number % 2]) for number in range(10)]
CUT_S = 5.1


async def play(fleet):
    fleet.judges_drains = True
    controllers = [fleet.add_controller(f"n{number}", "north") for number in range(3)]
    controllers.append(fleet.add_controller("n3", "south"))
    for controller in controllers:
        await controller.start()
    fleet.start_collectors()
    for number in range(6):
        home = controllers[number % 3] if number < 4 else controllers[3]
        fleet.add_proxy(number, home.zone, rate=18.0, weight=18.0, home=home)
    await fleet.sleep(8.0)
    # in both modes: one endpoint of the south drains, and a moment later one of the north
    fleet.discovery.publish([fleet.endpoints["e1"]], "leaving")
    await fleet.sleep(0.15)
    if trouble():
        # the one disruption: zone north, with its proxies and controllers, is cut off from the others
        fleet.record.write("zone north is cut off; discovery is on the other side")
        fleet.cut_zone = "north"
        for controller in controllers[:3]:
            controller.link.cut()
    cut_at = fleet.record.now()
    await fleet.sleep(0.05)
    fleet.discovery.publish([fleet.endpoints["e2"]], "leaving")
    await fleet.sleep(cut_at + CUT_S - fleet.record.now())
    if trouble():
        fleet.cut_zone = None
        for controller in controllers[:3]:
            controller.link.restore()
        fleet.record.write("zone north is connected again")
    await fleet.sleep(12.0)


main(play, ".", make_settings(balancers=4, extra__homed_by_zone=True), ENDPOINTS)

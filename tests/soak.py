"""Seeded soak runs of two controller processes, their proxies and service discovery under disturbances.

The seed determines what a run does. The checks observe only sockets and processes, and compare them with the
settings and with the limits of the protocol. They use no code of `willowhook.decisions`.
"""

from __future__ import annotations

import random
import re
import resource
import signal
import subprocess
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from pathlib import Path

import trio
from platform_process import SETTINGS, ControllerProcess, reserve_port
from soak_discovery import AnswerMode, ListedEndpoint, SoakDiscovery
from soak_peers import BadClient, SoakProxy, run_bad_client, run_collector
from update_channel import UpdateChannel

from willowhook.platform.fields import Fields

# Limits given by the protocol and by the settings.
SLACK_S = 0.3  # tolerance added to time limits that are checked over sockets
FIRST_ANSWER_GRACE_S = 1.0  # time limits start no earlier than this after a controller's first answer
KILL_AFTER_TERM_S = 0.7  # the protocol allows SIGKILL from then on
READY_WITHIN_S = 10.0
READY_FRACTION = 0.9  # of all starts, at least this many are ready in time
LIST_FETCH_TIMEOUT_S = 6.0  # applies while service discovery is able to answer
MAX_RESIDENT_MB = 64
SPARE_DESCRIPTORS = 24  # allowed in addition to connections

DRAIN_GRACE_S = SETTINGS["contract"]["drain-grace"]
EMPTY_TABLE_GRACE_S = SETTINGS["extra"]["empty-for"]
SLOW_START_S = SETTINGS["contract"]["cold"]
START_CAPACITY = SETTINGS["contract"]["start-capacity"]
CAP_WINDOW_S = SETTINGS["extra"]["messages-over"]
ROUTES = [route["name"] for route in SETTINGS["request-classes"]]
FAST_ONLY = {route["name"] for route in SETTINGS["request-classes"] if "only-kinds" in route}

MAX_FINDINGS_PER_KIND = 3
CHECK_INTERVAL_S = 0.1
DISTURBANCES_PER_RUN = 9
UNCHANGED_ENDPOINTS = 4  # the first ones in the list stay warm and active
SETTLING_S = DRAIN_GRACE_S + LIST_FETCH_TIMEOUT_S / 2
ENTRIES_PER_SECOND_AND_PROXY = 16.0  # of the channel, at least
QUEUE_LIMIT_S = SETTINGS["extra"]["most-waiting"] / SETTINGS["extra"]["egress-per-s"]
LOG_LINE = re.compile(r"\d+\.\d{3} \S")


class Disturbance(Enum):
    """A kind of disturbance; a run is a sequence of them."""

    TERMINATE = auto()
    KILL = auto()
    KILL_WITHOUT_DISCOVERY = auto()
    RELOAD = auto()
    RELOAD_AND_TERMINATE = auto()
    CHANGE_MODE = auto()
    LOSE_ANSWERS = auto()
    LACK_ENDPOINTS = auto()
    RECONNECT = auto()
    BAD_CLIENTS = auto()


FREQUENT_DISTURBANCES = (Disturbance.TERMINATE, Disturbance.CHANGE_MODE)  # drawn twice as often as others


@dataclass(frozen=True)
class SoakPlan:
    """The parameters of a run, drawn from its seed.

    Attributes:
        seed: the seed of everything drawn during the run.
        proxies, endpoints: the numbers of proxies and of endpoints at the start.
        bad_clients: the number of clients, at least 4, that connect at once without joining.
        message_cap: the message cap in the settings; 0: none.
        overload_factor: the setting that limits how far slow start may overload an endpoint.
        sends_changes: whether service discovery answers a watch with the changed entries only.
        disturbances: the disturbances, in order.
        answer_delay_s: how long service discovery works on each request.
    """

    seed: int
    proxies: int
    endpoints: int
    bad_clients: int
    message_cap: int
    overload_factor: float
    sends_changes: bool
    disturbances: tuple[Disturbance, ...]
    answer_delay_s: float = 0.0


def draw_plan(seed: int) -> SoakPlan:
    """Draws the plan of a seed; small numbers of proxies are as likely as large ones."""
    generator = random.Random(seed)
    return SoakPlan(
        seed=seed,
        proxies=round(5 * 40 ** generator.random()),
        endpoints=generator.randint(5, 24),
        bad_clients=generator.choice([0, 0, 0, 100, 300]),
        message_cap=generator.choice([0, 0, 12, 40]),
        overload_factor=generator.choice([1.5, 3.0]),
        sends_changes=generator.random() < 0.5,
        disturbances=tuple(generator.choices([*Disturbance, *FREQUENT_DISTURBANCES], k=DISTURBANCES_PER_RUN)),
        answer_delay_s=generator.choice([0.0, 0.0, 0.3, 0.8]),
    )


@dataclass
class SoakController:
    """A controller and its present process.

    Attributes:
        name: its name in findings.
        process: its command, configuration and ports.
        folder: the directory of its log files.
        running: its present process; None before the first start.
        first_answer_at: when its present process first answered a heartbeat; None: not yet.
        started_at: when its present process was started.
        is_ending: whether its present process has been sent SIGTERM or SIGKILL.
        ready_times_s: the time from each start to the first answer.
        logs: the log files, one for each process.
        channel: carries the updates of its present process; one that is killed loses what waits.
    """

    name: str
    process: ControllerProcess
    folder: Path
    running: subprocess.Popen[bytes] | None = None
    first_answer_at: float | None = None
    started_at: float = 0.0
    is_ending: bool = False
    ready_times_s: list[float] = field(default_factory=list)
    logs: list[Path] = field(default_factory=list)
    channel: UpdateChannel = field(init=False)

    def __post_init__(self) -> None:
        self._renew_channel()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self.process.port

    @property
    def accepts_proxies(self) -> bool:
        """Whether proxies may connect to it."""
        return self.first_answer_at is not None and not self.is_ending

    async def start(self) -> None:
        """Starts the process and waits for its first answer."""
        self.logs.append(self.folder / f"{self.name}-{len(self.logs)}.log")
        self.is_ending = False
        self._renew_channel()
        self.first_answer_at = None
        self.started_at = trio.current_time()
        with self.logs[-1].open("wb") as log:
            self.running = subprocess.Popen(**self.process.command(), stderr=log)
        try:
            await self.process.wait_until_ready()
        except (trio.TooSlowError, AssertionError) as error:
            raise AssertionError(self._describe_failed_start()) from error
        self.first_answer_at = trio.current_time()
        self.ready_times_s.append(self.first_answer_at - self.started_at)

    def _renew_channel(self) -> None:
        extra = self.process.settings["extra"]
        self.channel = UpdateChannel(extra["egress-per-s"], extra["most-waiting"], extra["per-message"])

    def _describe_failed_start(self) -> str:
        assert self.running is not None
        log = self.logs[-1].read_text()
        return f"{self.name} at port {self.port} did not answer; exit code {self.running.poll()}, log:\n{log}"

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to its process."""
        assert self.running is not None
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.is_ending = True
        self.running.send_signal(number)

    async def kill(self) -> int:
        """Kills the process and returns the exit code, which is the process's own if it had already ended."""
        assert self.running is not None
        self.is_ending = True
        self.running.kill()
        return await trio.to_thread.run_sync(self.running.wait)


class SoakRun:
    """One run of a plan; `findings` lists the violations."""

    def __init__(self, plan: SoakPlan, folder: Path, arguments: Sequence[str] = ()) -> None:
        """Prepares a run; `arguments`, if any, replace the interpreter's arguments for a controller."""
        self.plan = plan
        self.findings: list[str] = []
        self.random = random.Random(plan.seed + 1)
        self.discovery = SoakDiscovery(random.Random(plan.seed + 2), plan.sends_changes, plan.answer_delay_s)
        self.controllers = [self._make_controller(folder, number, arguments) for number in range(2)]
        self.proxies = [
            SoakProxy(
                number,
                SETTINGS["zones"][number % 2],
                ROUTES,
                random.Random(plan.seed + 3 + number),
                self._pick_controller,
                self.report_finding,
            )
            for number in range(plan.proxies)
        ]
        self._empty_tables_since: dict[tuple[int, str], float] = {}
        self._had_endpoint: set[tuple[int, str]] = set()  # proxy and route
        self._findings_by_kind: Counter[str] = Counter()
        self._last_endpoint_number = 0

    def report_finding(self, text: str) -> None:
        """Records a violation; of findings that differ only in numbers, only the first few are kept."""
        kind = re.sub(r"\d+(\.\d+)?", "N", text)
        self._findings_by_kind[kind] += 1
        if self._findings_by_kind[kind] <= MAX_FINDINGS_PER_KIND:
            self.findings.append(text)

    def run(self) -> list[str]:
        """Executes the plan and returns the findings."""
        trio.run(self._main)
        return self.findings

    # Phases of a run.

    async def _main(self) -> None:
        for _ in range(self.plan.endpoints):
            self._add_endpoint(0.0)
        try:
            async with trio.open_nursery() as self._nursery:
                for controller in self.controllers:
                    process = controller.process
                    await self._nursery.start(self.discovery.serve, controller.name, process.discovery_port)
                    self._nursery.start_soon(self._run_collector, controller)
                await self._start_all()
                for proxy in self.proxies:
                    self._nursery.start_soon(proxy.run)
                self._nursery.start_soon(self._check_periodically)
                await self._disturb_repeatedly()
                await self._settle()
                self._nursery.cancel_scope.cancel()
        finally:
            for controller in self.controllers:
                if controller.running is not None:
                    controller.running.kill()
                    controller.running.wait()
        self._check_logs()
        self._check_ready_times()

    async def _start_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for controller in self.controllers:
                nursery.start_soon(controller.start)

    async def _disturb_repeatedly(self) -> None:
        await trio.sleep(1.0)
        for disturbance in self.plan.disturbances:
            for _ in range(self.random.randint(0, 3)):
                self._change_endpoint_list()
            await self._disturb(disturbance)
            await trio.sleep(self.random.uniform(0.1, 0.8))

    async def _disturb(self, disturbance: Disturbance) -> None:
        methods: dict[Disturbance, Callable[[], Awaitable[None]]] = {
            Disturbance.TERMINATE: self._terminate,
            Disturbance.KILL: self._kill,
            Disturbance.KILL_WITHOUT_DISCOVERY: self._kill_without_discovery,
            Disturbance.RELOAD: self._reload,
            Disturbance.RELOAD_AND_TERMINATE: self._reload_and_terminate,
            Disturbance.CHANGE_MODE: self._change_mode,
            Disturbance.LOSE_ANSWERS: self._lose_answers,
            Disturbance.LACK_ENDPOINTS: self._lack_endpoints,
            Disturbance.RECONNECT: self._reconnect,
            Disturbance.BAD_CLIENTS: self._connect_bad_clients,
        }
        await methods[disturbance]()

    async def _settle(self) -> None:
        """Waits until the fleet is stable, runs the final checks, and ends the controllers."""
        self.discovery.mode = AnswerMode.GOOD
        self._change_endpoint_list()
        await trio.sleep(SETTLING_S)
        for controller in self.controllers:
            if self._sent_list_at(controller, self.discovery.version) is None:
                self.report_finding(f"{controller.name} did not ask for the last list within {SETTLING_S} s")
            self._check_resources(controller, at_rest=True)
            controller.send_signal(signal.SIGTERM)
        await trio.sleep(KILL_AFTER_TERM_S)
        for controller in self.controllers:
            await self._check_end(controller)

    # Disturbances.

    async def _terminate(self) -> None:
        """Sends SIGTERM, sometimes twice; proxies stay connected; sends SIGKILL at the earliest time."""
        controller = self.random.choice(self.controllers)
        controller.send_signal(signal.SIGTERM)
        if self.random.random() < 0.4:
            await trio.sleep(self.random.choice([0.0, 0.001, 0.01, 0.1]))
            controller.send_signal(signal.SIGTERM)
        await trio.sleep(KILL_AFTER_TERM_S)
        await self._check_end(controller)
        await trio.sleep(self.random.uniform(0.0, 0.5))
        await controller.start()

    async def _kill(self) -> None:
        """Sends SIGKILL without a SIGTERM before it, and starts the controller again."""
        controller = self.random.choice(self.controllers)
        await controller.kill()
        await trio.sleep(self.random.uniform(0.0, 0.5))
        await controller.start()

    async def _kill_without_discovery(self) -> None:
        """Kills a controller; service discovery is silent while it starts again and proxies rejoin it."""
        self.discovery.mode = AnswerMode.SILENT
        await self._kill()
        await self._reconnect()
        await trio.sleep(self.random.uniform(0.5, 1.5))
        self.discovery.mode = AnswerMode.GOOD

    async def _reload(self) -> None:
        """Sends SIGHUP once or more; the new configuration moves discovery and may be truncated at first."""
        controller = self.random.choice(self.controllers)
        process = controller.process
        port = reserve_port()
        await self._nursery.start(self.discovery.serve, controller.name, port)
        process.write_configuration(port)
        complete_text = process.configuration_path.read_text()
        if self.random.random() < 0.5:
            process.configuration_path.write_text(complete_text[: self.random.randrange(len(complete_text))])
        for _ in range(self.random.randint(1, 4)):
            controller.send_signal(signal.SIGHUP)
            await trio.sleep(self.random.choice([0.0, 0.0, 0.01]))
        await trio.sleep(self.random.uniform(0.0, 0.5))
        process.configuration_path.write_text(complete_text)

    async def _reload_and_terminate(self) -> None:
        """Sends SIGHUP, and SIGTERM while the reload may still be in progress."""
        controller = self.random.choice(self.controllers)
        controller.send_signal(signal.SIGHUP)
        await trio.sleep(self.random.choice([0.0, 0.001, 0.02]))
        controller.send_signal(signal.SIGTERM)
        if self.random.random() < 0.5:
            controller.send_signal(signal.SIGHUP)
        await trio.sleep(KILL_AFTER_TERM_S)
        await self._check_end(controller)
        await controller.start()

    async def _change_mode(self) -> None:
        """Makes service discovery answer in another mode for a while."""
        self.discovery.mode = self.random.choice(list(AnswerMode))
        self._change_endpoint_list()
        await trio.sleep(self.random.uniform(0.3, 2.5))
        self.discovery.mode = AnswerMode.GOOD

    async def _lack_endpoints(self) -> None:
        """Makes service discovery answer with empty lists until each controller was sent one."""
        self.discovery.mode = AnswerMode.EMPTY
        self._change_endpoint_list()
        await trio.sleep(self.discovery.answer_delay_s + self.random.uniform(0.3, 0.6))
        self.discovery.mode = AnswerMode.GOOD

    async def _lose_answers(self) -> None:
        """Makes an endpoint drain while the answers of service discovery are lost."""
        self.discovery.mode = AnswerMode.SILENT
        warm = [each for each in self.discovery.endpoints.values() if self._is_warm(each)]
        if len(warm) > UNCHANGED_ENDPOINTS:
            self.discovery.change(self.random.choice(warm[UNCHANGED_ENDPOINTS:]).name, "leaving")
        await trio.sleep(self.random.uniform(0.3, 2.5))
        self.discovery.mode = AnswerMode.GOOD

    async def _reconnect(self) -> None:
        """Makes some or all proxies reconnect in a loop."""
        share = self.random.choice([0.1, 1.0])
        for proxy in self.proxies:
            if self.random.random() < share:
                proxy.reconnects_until = trio.current_time() + self.random.uniform(0.2, 1.0)

    async def _connect_bad_clients(self) -> None:
        """Connects many clients that send nothing, or no message that lets them join."""
        controller = self.random.choice(self.controllers)
        for _ in range(max(self.plan.bad_clients, 4)):
            kind = self.random.choice(list(BadClient))
            self._nursery.start_soon(
                run_bad_client, kind, controller, self._make_finding_reporter(controller)
            )

    def _make_finding_reporter(self, controller: SoakController) -> Callable[[str], None]:
        """Returns a function that reports findings until the controller's process is told to end."""
        process = controller.running

        def report(text: str) -> None:
            if controller.running is process and not controller.is_ending:
                self.report_finding(text)

        return report

    def _change_endpoint_list(self) -> None:
        """Makes one endpoint drain, leave, return, restart or appear; the first few stay warm and active."""
        endpoints = self.discovery.endpoints
        active = [each for each in endpoints.values() if each.health == "active"]
        warm = [each for each in active if self._is_warm(each)]
        inactive = [each for each in endpoints.values() if each.health != "active"]
        action = self.random.randrange(5)
        now_ms = time.time() * 1000
        if action < 2 and len(warm) > UNCHANGED_ENDPOINTS:
            endpoint = self.random.choice(warm[UNCHANGED_ENDPOINTS:])
            self.discovery.change(endpoint.name, ("leaving", "left")[action])
        elif action == 2 and len(warm) > UNCHANGED_ENDPOINTS:
            restarted = self.random.choice(warm[UNCHANGED_ENDPOINTS:])
            self.discovery.change(restarted.name, "active", now_ms)
        elif action == 3 and inactive:
            self.discovery.change(self.random.choice(inactive).name, "active", now_ms)
        else:
            self._add_endpoint(now_ms)

    @staticmethod
    def _is_warm(endpoint: ListedEndpoint) -> bool:
        return endpoint.health == "active" and endpoint.started_at_ms == 0

    def _add_endpoint(self, started_at_ms: float) -> None:
        self._last_endpoint_number += 1
        self.discovery.change(f"h{self._last_endpoint_number}", "active", started_at_ms)

    # Peers.

    def _pick_controller(self, proxy: SoakProxy) -> SoakController | None:
        ready = [each for each in self.controllers if each.accepts_proxies]
        return proxy.random.choice(ready) if ready else None

    async def _run_collector(self, controller: SoakController) -> None:
        def active() -> list[str]:
            return [each.name for each in self.discovery.endpoints.values() if each.health == "active"]

        await run_collector(lambda: controller if controller.accepts_proxies else None, active)

    # Checks.

    async def _check_periodically(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            for controller in self.controllers:
                self._check_resources(controller, at_rest=False)
                self._check_queue(controller)
            for proxy in self.proxies:
                self._check_proxy(proxy)

    def _check_proxy(self, proxy: SoakProxy) -> None:
        controller = proxy.controller
        if not isinstance(controller, SoakController) or not controller.accepts_proxies:
            self._reset_empty_table_times(proxy)
            return
        assert controller.first_answer_at is not None
        self._check_kept_tables(proxy, controller)
        since = max(proxy.joined_at, controller.first_answer_at + FIRST_ANSWER_GRACE_S)
        self._check_drains(proxy, controller, since)
        self._check_empty_tables(proxy, controller, since)
        self._check_warming(proxy, controller, since)
        self._check_message_cap(proxy)

    def _check_drains(self, proxy: SoakProxy, controller: SoakController, since: float) -> None:
        now = trio.current_time()
        used_endpoints = {name for route in ROUTES for name in proxy.usable_weights(route)}
        for name in used_endpoints:
            endpoint = self.discovery.endpoints[name]
            if endpoint.health == "active":
                continue
            received_at = self.discovery.received_list_at(
                controller.name, endpoint.changed_version, controller.started_at
            )
            if received_at is not None and now - max(received_at, since) > DRAIN_GRACE_S + SLACK_S:
                self.report_finding(
                    f"{controller.name}: proxy {proxy.number} may use {name} ({endpoint.health}) "
                    f"{now - max(received_at, since):.1f} s after the list was received"
                )

    def _check_empty_tables(self, proxy: SoakProxy, controller: SoakController, since: float) -> None:
        now = trio.current_time()
        for route in ROUTES:
            key = (proxy.number, route)
            if proxy.usable_weights(route) or not self._has_warm_endpoint(controller, route):
                self._empty_tables_since.pop(key, None)
                continue
            empty_since = max(self._empty_tables_since.setdefault(key, now), since)
            if now - empty_since > EMPTY_TABLE_GRACE_S + SLACK_S:
                self.report_finding(
                    f"{controller.name}: proxy {proxy.number} has no endpoint for {route} "
                    f"for {now - empty_since:.1f} s"
                )

    def _check_kept_tables(self, proxy: SoakProxy, controller: SoakController) -> None:
        """Checks that a controller without an endpoint list since its start empties no table of a proxy."""
        has_no_list = not self.discovery.has_sent_list_since(controller.name, controller.started_at)
        for route in ROUTES:
            key = (proxy.number, route)
            if proxy.usable_weights(route):
                self._had_endpoint.add(key)
            elif has_no_list and key in self._had_endpoint:
                self.report_finding(
                    f"{controller.name}: told no list, left proxy {proxy.number} no endpoint for {route}"
                )

    def _reset_empty_table_times(self, proxy: SoakProxy) -> None:
        for route in ROUTES:
            self._empty_tables_since.pop((proxy.number, route), None)

    def _sent_list_at(self, controller: SoakController, version: int) -> float | None:
        """Returns when a controller's present process was sent this version of the list; None: not yet."""
        return self.discovery.sent_list_at(controller.name, version, controller.started_at)

    def _has_warm_endpoint(self, controller: SoakController, route: str) -> bool:
        """Returns whether the controller was sent an endpoint that has warmed up and may serve a route."""
        return any(
            each.health == "active"
            and time.time() - each.started_at_ms / 1000 > SLOW_START_S
            and (route not in FAST_ONLY or each.endpoint_class == "fast")
            and self._sent_list_at(controller, each.changed_version) is not None
            for each in self.discovery.endpoints.values()
        )

    def _check_warming(self, proxy: SoakProxy, controller: SoakController, since: float) -> None:
        """Checks that endpoints that are warming up get no more than the weight that their capacity allows.

        The check starts when the controller has known of an endpoint's start for the drain grace. Weights are
        compared with the mean of the warm endpoints only, since a mean over all endpoints would fall with the
        number of endpoints that are warming up.
        """
        now = trio.current_time()
        for route in ROUTES:
            weights = proxy.usable_weights(route)
            ages_s = {
                name: time.time() - self.discovery.endpoints[name].started_at_ms / 1000 for name in weights
            }
            warm_weights = [weight for name, weight in weights.items() if ages_s[name] >= SLOW_START_S]
            warm_mean = sum(warm_weights) / max(len(warm_weights), 1)
            for name, weight in weights.items():
                sent_list_at = self._sent_list_at(controller, self.discovery.endpoints[name].changed_version)
                if ages_s[name] >= SLOW_START_S or sent_list_at is None or not warm_weights:
                    continue
                capacity = START_CAPACITY + (1 - START_CAPACITY) * ages_s[name] / SLOW_START_S
                is_check_due = now - max(sent_list_at, since) > DRAIN_GRACE_S + SLACK_S
                if is_check_due and weight > self.plan.overload_factor * capacity * warm_mean:
                    self.report_finding(
                        f"{controller.name}: proxy {proxy.number} gives {name}, {ages_s[name]:.1f} s old, "
                        f"{weight / warm_mean:.2f} of the weight of a warm one for {route}"
                    )

    def _check_message_cap(self, proxy: SoakProxy) -> None:
        cap = self.plan.message_cap
        times = proxy.message_times
        if cap and len(times) > cap and times[-1] - times[-1 - cap] < CAP_WINDOW_S - SLACK_S:
            self.report_finding(
                f"proxy {proxy.number} got {cap + 1} messages in {times[-1] - times[-1 - cap]:.2f} s"
            )

    def _check_queue(self, controller: SoakController) -> None:
        for _, entries in controller.channel.breaches:
            self.report_finding(
                f"{controller.name}: {entries:.0f} entries waited, {controller.channel.limit_entries:.0f} may"
            )
        controller.channel.breaches.clear()

    def _check_resources(self, controller: SoakController, *, at_rest: bool) -> None:
        if controller.running is None or not controller.accepts_proxies:
            return
        pid = controller.running.pid
        try:
            status = Path(f"/proc/{pid}/status").read_text()
            descriptors = len(list(Path(f"/proc/{pid}/fd").iterdir()))
        except OSError:
            return  # the process has just ended
        resident = re.search(r"VmRSS:\s+(\d+) kB", status)
        if resident and int(resident[1]) / 1024 > MAX_RESIDENT_MB:
            self.report_finding(f"{controller.name} holds {int(resident[1]) / 1024:.0f} MB")
        descriptor_limit = controller.process.limits["sockets"]
        if at_rest:
            connected = sum(proxy.controller is controller for proxy in self.proxies)
            descriptor_limit = connected + 1 + SPARE_DESCRIPTORS  # one collector of load reports
        if descriptors > descriptor_limit:
            self.report_finding(
                f"{controller.name} holds {descriptors} descriptors, {descriptor_limit} are allowed"
            )

    async def _check_end(self, controller: SoakController) -> None:
        """Checks after SIGTERM that the process has ended with code 0; kills it if it still runs."""
        assert controller.running is not None
        if controller.running.poll() is None:
            await controller.kill()
            return  # the protocol allows a process not to end by itself in this time
        if controller.running.returncode != 0:
            self.report_finding(f"{controller.name} ended with code {controller.running.returncode}")

    def _check_logs(self) -> None:
        for controller in self.controllers:
            for log in controller.logs:
                for line in log.read_text().splitlines():
                    if not LOG_LINE.match(line) or "internal error" in line:
                        self.report_finding(f"{log.name} has the line {line!r}")
                        break

    def _check_ready_times(self) -> None:
        times = [each for controller in self.controllers for each in controller.ready_times_s]
        slow = [each for each in times if each > READY_WITHIN_S]
        if len(slow) > (1 - READY_FRACTION) * len(times):
            self.report_finding(f"{len(slow)} of {len(times)} starts took over {READY_WITHIN_S} s")

    def _make_controller(self, folder: Path, number: int, arguments: Sequence[str]) -> SoakController:
        directory = folder / f"n{number}"
        directory.mkdir(parents=True)
        rate = max(SETTINGS["extra"]["egress-per-s"], ENTRIES_PER_SECOND_AND_PROXY * self.plan.proxies)
        extra: Fields = {
            "proxies": self.plan.proxies,
            "update-cap": self.plan.message_cap,
            "egress-per-s": rate,
            "most-waiting": QUEUE_LIMIT_S * rate,
        }
        contract: Fields = {"fall-multiple": self.plan.overload_factor}
        settings = {
            **SETTINGS,
            "extra": {**SETTINGS["extra"], **extra},
            "contract": {**SETTINGS["contract"], **contract},
        }
        process = ControllerProcess(
            directory, settings, sockets=2 * (self.plan.proxies + self.plan.bad_clients) + 64
        )
        process.arguments = list(arguments) or process.arguments
        process.write_configuration(process.discovery_port)
        return SoakController(f"n{number}", process, directory)


def raise_descriptor_limit() -> None:
    """Raises the descriptor limit of the test process, which holds the connections of all stand-ins."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard_limit, 16384), hard_limit))

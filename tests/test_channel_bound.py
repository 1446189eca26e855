"""The bound on the queue in the channel, for any fleet, tables, endpoint lists and order of joins.

A controller and the encoder of the platform run without I/O before a channel that counts the bytes that leave
them, by the protocol's rules and with code of its own.
"""

from __future__ import annotations

import math
import os
import random
from collections import deque
from dataclasses import dataclass, field

from builders import DRAINING, IN_SERVICE, REMOVED, SECOND, settings_with
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from update_channel import FrameReader, part_cost

from willowhook.decisions.controller import Controller
from willowhook.decisions.events import (
    EndpointEntry,
    EndpointListReceived,
    EndpointReport,
    EvaluationDue,
    MessageAcknowledged,
    ProxyJoined,
    ProxyLeft,
    RequestReport,
)
from willowhook.decisions.settings import DeploymentSettings
from willowhook.platform.proxy_updates import ProxyUpdates
from willowhook.platform.update_encoder import EncodedParts

EXAMPLES = int(os.environ.get("CHANNEL_BOUND_EXAMPLES", "40"))
STEP_TICKS = SECOND // 50
STEPS = 500
ROUND_ENTRIES = 2  # of a message with one exclusion and its marker, in addition to the overhead


@dataclass(frozen=True)
class Plan:
    """What a run draws from.

    Attributes:
        seed: of everything drawn during the run.
        proxies, endpoints, zones: the size of the fleet.
        overhead_entries: the overhead of a message.
        limit_rounds: the queue limit, in messages of one entry to all proxies.
        speed: the share of the stated rate at which the channel works.
        message_cap: the message cap; 0: none.
        has_zone_tables: whether each zone has tables of its own.
        bootstrap_table_size: the size of a proxy's first table.
    """

    seed: int
    proxies: int
    endpoints: int
    zones: int
    overhead_entries: float
    limit_rounds: float
    speed: float
    message_cap: int
    has_zone_tables: bool
    bootstrap_table_size: int

    def settings(self) -> DeploymentSettings:
        """Returns the settings of the deployment."""
        limit = self.limit_rounds * self.proxies * (self.overhead_entries + ROUND_ENTRIES)
        return settings_with(
            zones=tuple(f"zone{number}" for number in range(self.zones)),
            exclusions_outlive_sessions=True,
            health_checks=False,
            channel__message_overhead_entries=self.overhead_entries,
            channel__queue_limit_entries=limit,
            channel__entries_per_second=limit / 2,
            channel__message_cap=self.message_cap,
            fleet__proxy_count=self.proxies,
            fleet__cross_zone_price=0.08 if self.has_zone_tables else 0.0,
            fleet__bootstrap_table_size=self.bootstrap_table_size,
        )


plans = st.builds(
    Plan,
    seed=st.integers(0, 2**32),
    proxies=st.sampled_from([3, 20, 60, 150]),
    endpoints=st.integers(1, 50),
    zones=st.integers(1, 3),
    overhead_entries=st.sampled_from([0.0, 2.5, 6.0, 12.0]),
    limit_rounds=st.sampled_from([1.1, 1.5, 3.0, 8.0]),
    speed=st.sampled_from([1.0, 0.5, 0.1]),
    message_cap=st.sampled_from([0, 0, 12]),
    has_zone_tables=st.booleans(),
    bootstrap_table_size=st.sampled_from([0, 5]),
)


@dataclass
class QueuedMessage:
    """A message that waits in the channel."""

    proxy: int
    cost: float
    marker: int | None
    left_entries: float


@dataclass
class CountingChannel:
    """Counts the entries of the messages that wait, and carries them at a fixed rate.

    Attributes:
        overhead_entries: the overhead of a message.
        peak_entries: the most entries that waited at one time.
        flush_costs: by proxy, the cost of its message in the present flush.
    """

    overhead_entries: float
    peak_entries: float = 0.0
    flush_costs: dict[int, float] = field(default_factory=dict)
    queue: deque[QueuedMessage] = field(default_factory=deque)

    def enter(self, proxy: int, data: bytes) -> None:
        parts = list(FrameReader().feed(data))
        cost = self.overhead_entries + sum(map(part_cost, parts))
        self.flush_costs[proxy] = self.flush_costs.get(proxy, 0.0) + cost
        self.queue.append(QueuedMessage(proxy, cost, parts[-1].get("stamp"), cost))
        self.peak_entries = max(self.peak_entries, sum(message.cost for message in self.queue))

    def carry(self, entries: float) -> list[QueuedMessage]:
        """Returns the messages that have left after this many entries."""
        departed = []
        while self.queue and entries > 0:
            carried = min(entries, self.queue[0].left_entries)
            self.queue[0].left_entries -= carried
            entries -= carried
            if self.queue[0].left_entries <= 0:
                departed.append(self.queue.popleft())
        return departed

    def drop_proxy(self, proxy: int) -> None:
        self.queue = deque(message for message in self.queue if message.proxy != proxy)


class ChannelRuntime(ProxyUpdates):
    """Executes the commands on proxies and tables, and sends the messages into the channel."""

    def __init__(self, deployment: DeploymentSettings, channel: CountingChannel) -> None:
        self.channel = channel
        self.evaluation_delays: list[int] = []
        self.ended_sessions: list[int] = []
        super().__init__(deployment, self._enter)

    def _enter(self, proxy: int, update: EncodedParts) -> None:
        self.channel.enter(proxy, b"".join(update.frames))

    def schedule_evaluation(self, delay_ticks: int) -> None:
        self.evaluation_delays.append(delay_ticks)

    def end_session(self, proxy: int) -> None:
        self.ended_sessions.append(proxy)

    def ignore(self, *_: object) -> None: ...

    log = watch_endpoints = fetch_endpoint_list = check_health = ignore


class BoundRun:
    """One run of a plan: random events, and a check of each flush."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.settings = plan.settings()
        self.random = random.Random(plan.seed)
        self.channel = CountingChannel(plan.overhead_entries)
        self.runtime = ChannelRuntime(self.settings, self.channel)
        self.now = 0
        self.controller = Controller(self.runtime, self.settings, plan.seed, 0)
        self.joined: dict[int, None] = {}
        self.silent = {number for number in range(plan.proxies) if self.random.random() < 0.05}
        self.states = {f"h{number}": IN_SERVICE for number in range(plan.endpoints)}
        self.started_at = dict.fromkeys(self.states, 0)
        self.timers: list[int] = []
        self.acknowledgements: list[tuple[int, int, int]] = []  # due, proxy, marker

    def run(self) -> None:
        self.change_list(list(self.states), IN_SERVICE)
        for _ in range(STEPS):
            self.now += STEP_TICKS
            self.carry()
            self.disturb()
            self.report()
            self.flush()

    def carry(self) -> None:
        per_step = self.settings.channel.entries_per_second * self.plan.speed * STEP_TICKS / SECOND
        for message in self.channel.carry(per_step):
            delay = self.random.randrange(self.settings.channel.max_delay_ticks + 1)
            if message.marker is not None and message.proxy not in self.silent:
                self.acknowledgements.append((self.now + delay, message.proxy, message.marker))
        due = [each for each in self.acknowledgements if each[0] <= self.now]
        self.acknowledgements = [each for each in self.acknowledgements if each[0] > self.now]
        for _, proxy, marker in due:
            if proxy in self.joined:
                self.controller.handle(self.now, MessageAcknowledged(proxy, marker))

    def disturb(self) -> None:
        draw = self.random.random()
        absent = [number for number in range(self.plan.proxies) if number not in self.joined]
        if draw < 0.05:
            for proxy in self.random.sample(absent, len(absent)):
                self.join(proxy)
        elif draw < 0.2 and absent:
            self.join(self.random.choice(absent))
        elif draw < 0.22 and self.joined:
            for proxy in self.random.sample(list(self.joined), self.random.randint(1, len(self.joined))):
                self.leave(proxy)
        elif draw < 0.3:
            self.change_endpoints()

    def join(self, proxy: int) -> None:
        zone = self.settings.zones[proxy % self.plan.zones]
        is_fresh = self.random.random() < 0.5
        self.joined[proxy] = None
        self.runtime.open_session(proxy, is_fresh)
        self.controller.handle(self.now, ProxyJoined(proxy, zone, 1.0 + proxy, is_fresh))

    def leave(self, proxy: int) -> None:
        """A proxy's stream breaks: its messages no longer count."""
        del self.joined[proxy]
        self.channel.drop_proxy(proxy)
        self.acknowledgements = [each for each in self.acknowledgements if each[1] != proxy]
        self.runtime.close_session(proxy)
        self.controller.handle(self.now, ProxyLeft(proxy))

    def change_endpoints(self) -> None:
        state = self.random.choice([DRAINING, REMOVED, IN_SERVICE, IN_SERVICE])
        zone = self.random.randrange(self.plan.zones)
        names = list(self.states)
        scope = self.random.choice(["one", "zone", "some", "new"])
        if scope == "new":
            self.change_list([f"h{len(names)}"], IN_SERVICE)
        elif scope == "zone":
            self.change_list([name for name in names if int(name[1:]) % self.plan.zones == zone], state)
        else:
            count = 1 if scope == "one" else self.random.randint(1, len(names))
            self.change_list(self.random.sample(names, count), state)

    def change_list(self, names: list[str], state: object) -> None:
        entries = []
        for name in names:
            number = int(name[1:])
            if state is IN_SERVICE and self.now and self.random.random() < 0.7:
                self.started_at[name] = self.now
            self.states[name] = state  # type: ignore[assignment]
            zone = self.settings.zones[number % self.plan.zones]
            endpoint_class = "fast" if number % 3 else "std"
            started_at = self.started_at.setdefault(name, self.now)
            entries.append(EndpointEntry(name, self.states[name], started_at, 1.0, endpoint_class, zone))
        self.controller.handle(self.now, EndpointListReceived(False, tuple(entries)))

    def report(self) -> None:
        if self.now % SECOND:
            return
        refuses = self.random.random() < 0.2
        for name in self.states:
            failures = self.random.choice([0, 0, 0, 19]) if not refuses else 18
            latency = self.random.randrange(10, 3000) * SECOND // 1000
            self.controller.handle(
                self.now, EndpointReport(name, 20, failures, latency, self.random.random())
            )
        for proxy in self.joined:
            for route in self.settings.routes:
                requests = RequestReport(proxy, route.name, self.random.randrange(50), SECOND)
                self.controller.handle(self.now, requests)

    def flush(self) -> None:
        self.timers += [self.now + delay for delay in self.runtime.evaluation_delays]
        self.runtime.evaluation_delays.clear()
        due = sum(timer <= self.now for timer in self.timers)
        self.timers = [timer for timer in self.timers if timer > self.now]
        for _ in range(due):
            self.controller.handle(self.now, EvaluationDue())
        self.controller.flush(self.now)
        self.check_flush()
        self.end_sessions()

    def check_flush(self) -> None:
        """Sends the messages, and compares their entries with those that were charged for them."""
        flush = self.controller.channel.last_marker
        charged = {
            proxy: messages[-1].entries
            for proxy, messages in self.controller.channel.unacknowledged.items()
            if messages and messages[-1].marker == flush
        }
        self.channel.flush_costs.clear()
        sent_entries = self.runtime.flush()
        self.controller.settle_flush(sent_entries)
        settled = self.controller.channel.unacknowledged
        for proxy, cost in self.channel.flush_costs.items():
            assert cost <= charged.get(proxy, 0), f"proxy {proxy}: sent {cost}, charged {charged.get(proxy)}"
            assert settled[proxy][-1].entries == sent_entries[proxy] == math.ceil(cost)
        assert charged.keys() >= sent_entries.keys() == self.channel.flush_costs.keys()
        limit = self.settings.channel.queue_limit_entries
        assert self.channel.peak_entries <= limit, f"{self.channel.peak_entries} of {limit} wait"

    def end_sessions(self) -> None:
        """Ends the sessions that the controller wants ended: their messages go on counting."""
        for proxy in self.runtime.ended_sessions:
            del self.joined[proxy]
            self.runtime.close_session(proxy)
            self.controller.handle(self.now, ProxyLeft(proxy, is_ended_by_controller=True))
        self.runtime.ended_sessions.clear()


# Guards against updates that are charged less than they hold, and against sends that don't ask the limit.
@settings(
    max_examples=EXAMPLES, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
@given(plans)
def test_queue_stays_within_its_limit_for_any_fleet_and_order_of_joins(plan: Plan) -> None:
    BoundRun(plan).run()

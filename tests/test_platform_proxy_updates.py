"""Updates to proxies: a plain proxy holds what was commanded, and pays for what the controller charged."""

from __future__ import annotations

from typing import Any

from builders import SECOND, SETTINGS, settings_with
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from platform_fixtures import ReferenceProxy

from willowhook.decisions.controller import Controller
from willowhook.decisions.events import (
    EndpointEntry,
    EndpointListReceived,
    EndpointReport,
    EndpointState,
    EvaluationDue,
    MessageAcknowledged,
    ProxyJoined,
    ProxyLeft,
)
from willowhook.decisions.runtime import AdmissionLimit
from willowhook.decisions.settings import DeploymentSettings
from willowhook.platform.framing import FrameDecoder
from willowhook.platform.proxy_updates import ProxyUpdates
from willowhook.platform.update_encoder import EncodedParts

# Of the examples. A derandomized test draws them by its source: these are the draws of its text on 06ecd3e.
COMMANDS_SEED = int(
    "2605604781672522612501177897840866760238009657961113518655"
    "2893522698502010544580808063485146990270976708229783239649"
)

ROUTE_NAMES = [route.name for route in SETTINGS.routes]

endpoints = st.sampled_from("abcd")
commands = st.one_of(
    st.tuples(st.just("set weight"), st.integers(0, 2), endpoints, st.sampled_from([0.0, 0.5, 1.0])),
    st.tuples(st.just("exclude"), endpoints, st.booleans()),
    st.tuples(st.just("bind"), st.integers(0, 2), st.integers(0, 2), st.integers(0, 7)),
    st.tuples(
        st.just("admission"),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, 3),
        st.sampled_from([0.5, 2.0]),
    ),
    st.tuples(st.just("clear"), st.integers(0, 2)),
    st.tuples(st.just("sync marker"), st.integers(0, 9)),
    st.tuples(st.just("reconnect"), st.integers(0, 2)),
    st.tuples(st.just("flush")),
)


class CommandedState:
    """What the proxies should hold after a script of commands."""

    def __init__(self) -> None:
        self.proxies = {number: ReferenceProxy(ROUTE_NAMES) for number in range(3)}
        self.updates = ProxyUpdates(SETTINGS, lambda proxy, update: self.proxies[proxy].apply(update.frames))
        self.bound: dict[int, dict[int, int]] = {number: {} for number in self.proxies}
        self.tables: dict[int, dict[str, float]] = {number: {} for number in range(3)}
        self.excluded: set[str] = set()
        for number in self.proxies:
            self.updates.open_session(number, True)

    def give(self, command: str, *arguments: Any) -> None:
        updates = self.updates
        if command == "reconnect":
            self.reconnect(*arguments)
        elif command == "flush":
            updates.flush()
        elif command == "admission":
            table, route, retries, limit = arguments
            updates.set_admission(table, route, AdmissionLimit(retries, limit))
        elif command == "sync marker":
            updates.send_sync_marker(*arguments)
        elif command == "set weight":
            self.set_weight(*arguments)
        elif command == "clear":
            updates.clear_table(*arguments)
            self.tables[arguments[0]].clear()
        elif command == "exclude":
            self.exclude(*arguments)
        elif command == "bind":
            self.bind(*arguments)

    def reconnect(self, number: int) -> None:
        self.updates.close_session(number)
        self.updates.open_session(number, True)
        self.proxies[number] = ReferenceProxy(ROUTE_NAMES)
        self.bound[number] = {}

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        self.updates.set_weight(table, endpoint, weight)
        self.tables[table].pop(endpoint, None)
        if weight:
            self.tables[table][endpoint] = weight

    def exclude(self, endpoint: str, is_excluded: bool) -> None:
        if is_excluded:
            self.updates.exclude_endpoint(endpoint)
            self.excluded.add(endpoint)
        else:
            self.updates.readmit_endpoint(endpoint)
            self.excluded.discard(endpoint)

    def bind(self, proxy: int, table: int, route_bits: int) -> None:
        routes = [route for route in range(3) if route_bits == 0 or route_bits >> route & 1]
        self.updates.bind(proxy, table, routes)
        self.bound[proxy].update(dict.fromkeys(routes, table))


@seed(COMMANDS_SEED)
@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(commands, max_size=50))
def test_proxy_holds_what_was_commanded(script: list[Any]) -> None:
    state = CommandedState()
    for command, *arguments in [*script, ("flush",)]:
        state.give(command, *arguments)
    for number, proxy in state.proxies.items():
        for route, table in state.bound[number].items():
            held = proxy.tables[ROUTE_NAMES[route]]
            assert held == state.tables[table]
            usable = [endpoint for endpoint in state.tables[table] if endpoint not in state.excluded]
            assert [endpoint for endpoint in held if endpoint not in proxy.excluded] == usable


def test_session_closed_by_a_send_costs_the_others_none_of_their_updates() -> None:
    sent: dict[int, list[list[bytes]]] = {}

    def send(proxy: int, update: EncodedParts) -> None:
        sent.setdefault(proxy, []).append(update.frames)
        if proxy == 1:  # its connection fails as it is written to
            updates.close_session(1)

    updates = ProxyUpdates(SETTINGS, send)
    for proxy in (0, 1, 2):
        updates.open_session(proxy, False)
        updates.bind(proxy, 0, range(len(ROUTE_NAMES)))
    updates.set_weight(0, "a", 1.0)
    updates.readmit_for_proxy(2, ["a"])
    updates.flush()
    assert list(sent) == [0, 1, 2]
    last_part = list(FrameDecoder().feed(sent[2][0][-1]))
    assert last_part == [{"t": "assign", "undrop": ["a"]}]
    updates.readmit_endpoint("b")  # another controller may have excluded it at proxies that are not fresh
    updates.flush()
    assert len(sent[0]) == 2 and len(sent[1]) == 1
    updates.exclude_for_proxy(2, ["b", "c"])  # they were excluded before it joined: the others know
    updates.exclude_for_proxy(1, ["b"])  # it has left
    updates.flush()
    assert len(sent[0]) == 2 and len(sent[1]) == 1
    assert list(FrameDecoder().feed(sent[2][-1][0])) == [{"t": "assign", "drop": ["b", "c"]}]


class CountingRuntime(ProxyUpdates):
    """A runtime that counts the entries that leave, and carries out the commands on proxies only."""

    def __init__(self, deployment: DeploymentSettings) -> None:
        route_names = [route.name for route in deployment.routes]
        self.proxies = {number: ReferenceProxy(route_names) for number in range(6)}
        self.sent_entries = 0
        super().__init__(deployment, self.count)

    def count(self, proxy: int, update: EncodedParts) -> None:
        entries_before = self.proxies[proxy].entry_count
        self.proxies[proxy].apply(update.frames)
        assert self.proxies[proxy].entry_count - entries_before == update.entry_count
        self.sent_entries += update.entry_count + int(SETTINGS.channel.message_overhead_entries)

    def ignore(self, *_: object) -> None: ...

    forget_endpoint = end_session = schedule_evaluation = log = ignore
    watch_endpoints = fetch_endpoint_list = check_health = ignore


def test_entries_sent_are_those_that_the_controller_charged() -> None:
    deployment = settings_with(exclusions_outlive_sessions=True, fleet__cross_zone_price=0.08)
    zones = deployment.zones
    runtime = CountingRuntime(deployment)
    controller = Controller(runtime, deployment, 1, 0)
    now = 0
    charged_entries = 0
    charge = controller.channel.charge

    def record_charge(proxies: list[int], entries: int) -> None:
        nonlocal charged_entries
        charged_entries += controller.channel.cost(proxies, entries)
        charge(proxies, entries)

    controller.channel.charge = record_charge  # type: ignore[method-assign]
    in_service = EndpointState.IN_SERVICE
    listed = [EndpointEntry(f"h{k}", in_service, 0, 1.0, "fast", zones[k % 2]) for k in range(8)]
    controller.handle(0, EndpointListReceived(True, tuple(listed)))
    for number in runtime.proxies:
        runtime.open_session(number, number % 2 == 0)
        controller.handle(0, ProxyJoined(number, zones[number % 2], 5.0, number % 2 == 0))
    for step in range(60):
        now += SECOND // 2
        state = EndpointState.DRAINING if step % 20 == 9 else in_service
        if step % 10 == 9:
            changed = EndpointEntry("h3", state, 0 if step < 10 else now, 1.0, "fast", zones[1])
            controller.handle(now, EndpointListReceived(False, (changed,)))
        if step % 15 == 14:
            number = step % 6
            runtime.close_session(number)
            controller.handle(now, ProxyLeft(number))
            runtime.open_session(number, False)
            controller.handle(now, ProxyJoined(number, zones[number % 2], 5.0, False))
        for k in range(8):
            controller.handle(now, EndpointReport(f"h{k}", 9, 0, 300 + 100 * k * (step % 7), 0.5))
        controller.handle(now, EvaluationDue())
        controller.flush(now)
        runtime.flush()
        # an entry set twice in a batch, or at a session that was closed, is sent once or not at all
        assert runtime.sent_entries <= charged_entries
        for number, proxy in runtime.proxies.items():
            for marker in proxy.sync_markers[-1:]:
                controller.handle(now, MessageAcknowledged(number, marker))
    assert runtime.sent_entries > 0.8 * charged_entries  # the rest is what a bind repeats in its batch

"""The platform's protocol without sockets: frames, spoilt fields, lists, orders at a plain proxy."""

from __future__ import annotations

from dataclasses import astuple
from functools import partial
from typing import Any

import pytest
from builders import SECOND, SETTINGS, settings_with
from hypothesis import given, settings
from hypothesis import strategies as st

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
    RequestReport,
)
from willowhook.decisions.runtime import AdmissionLimit
from willowhook.platform.endpoint_list import Listing
from willowhook.platform.framing import MOST, Cutter, Fields, Spoilt, Unreadable, frame
from willowhook.platform.messages import Reader
from willowhook.platform.proxy_updates import Orders

IN_SERVICE = EndpointState.IN_SERVICE
ATTACH = {"t": "attach", "proxy": 4, "zone": "south", "weight": 21.5, "fresh": True}
DONE = {"t": "done", "proxy": 4, "mark": 905, "took_ms": 310.4}
UPSTREAM = {
    "t": "upstream_stats", "zone": "north", "server": "s-1", "tries": 212, "failed": 3, "mean_ms": 41.7,
    "span_ms": 1000.0, "load": {"util": 0.61, "queue": 2, "later": "x"},
}  # fmt: skip
CLIENT = {"t": "client_stats", "proxy": 4, "class": "read", "tries": 19, "failed": 0, "span_ms": 500.0}
READER = Reader(SETTINGS)
READERS = {"attach": READER.attach, "done": partial(READER.done, proxy=4), "upstream_stats": READER.upstream,
           "client_stats": READER.client}  # fmt: skip
FREE = {("done", "proxy")}  # the stream says whose mark it is
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=3), inner, max_size=2),
    max_leaves=4,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.dictionaries(st.text(max_size=5), values, max_size=4), max_size=6), st.data())
def test_messages_come_out_as_they_went_in_however_they_are_cut(messages: list[Fields], data: Any) -> None:
    sent = b"".join(map(frame, messages))
    cuts = sorted(data.draw(st.lists(st.integers(0, len(sent)), max_size=8)))
    cutter, got = Cutter(), []
    for start, end in zip([0, *cuts], [*cuts, len(sent)], strict=True):
        got += list(cutter.take(sent[start:end]))
    assert len(got) == len(messages)
    for new, old in zip(got, messages, strict=True):
        assert frame(new) == frame(old)


@pytest.mark.parametrize("bad", [b"GET / HTTP/1.1\r\n\r\n", (MOST + 1).to_bytes(4, "little"), b"\2\0\0\0[]",
                                 b"\3\0\0\0\xff\xff\xff", b"\0\0\0\0", b"\1\0\0\0{"])  # fmt: skip
def test_what_cannot_be_read_ends_the_connection_after_the_good_ones(bad: bytes) -> None:
    got = []
    with pytest.raises(Unreadable):
        for message in Cutter().take(frame(DONE) + bad):
            got.append(message)
    assert got == [DONE]


def test_fields_become_the_values_of_calls() -> None:
    assert READER.attach(ATTACH) == ProxyJoined(4, "south", 21.5, True)
    assert READER.done(DONE, 4) == MessageAcknowledged(4, 905)
    report = EndpointReport("s-1", 212, 3, 417, 0.61)
    assert READER.upstream(UPSTREAM) == report
    assert READER.upstream({**UPSTREAM, "load": {"busy": 0.61, "q": 2}}) == report  # the settings' words
    assert READER.client(CLIENT) == RequestReport(4, "read", 19, 5000)
    # calls that were let in earlier may fail in a span that none came in
    assert READER.client({**CLIENT, "tries": 0, "failed": 1}) == RequestReport(4, "read", 0, 5000)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.sampled_from([ATTACH, DONE, UPSTREAM, CLIENT]), st.data(), values)
def test_a_spoilt_field_is_told_or_within_its_range(good: Fields, data: Any, value: object) -> None:
    key = data.draw(st.sampled_from([key for key in good if key != "t" and (good["t"], key) not in FREE]))
    missing = {k: v for k, v in good.items() if k != key}
    if key != "load":
        with pytest.raises(Spoilt):
            READERS[good["t"]](missing)
    try:
        told = READERS[good["t"]]({**missing, key: value})
    except Spoilt:
        return
    fields = astuple(told)
    assert all(type(each) in (int, float, str, bool) or each is None for each in fields)
    assert all(each >= 0 for each in (*fields, value) if isinstance(each, int | float))
    assert type(value) is type(good[key]) or key == "load" or type(good[key]) is float


def entry(host: str, health: str = "active", **more: object) -> Fields:
    row = {"host": host, "dial": "10.1.0.1:7", "site": "north", "class": "fast", "block": 3, "share": 1.0}
    return {**row, "health": health, "born_ms": 1_700_000_000_000.5, **more}


def test_a_list_keeps_its_good_entries_and_what_was_known_of_spoilt_ones() -> None:
    listing = Listing()
    listed = listing.read({"seq": 7, "whole": True, "hosts": [entry("a"), entry("b", born_ms=0)]})
    first = EndpointEntry("a", IN_SERVICE, 17_000_000_000_005, 1.0, "fast", "north")
    assert listed.is_complete and listed.entries[0] == first
    assert listed.entries[1].started_at == 0
    bad = [entry("a", health="odd"), entry("b", born_ms="x"), 5, entry("c", share=-1), entry("d", "leaving")]
    with pytest.raises(Spoilt):  # a host may be missing as its entry has no name: asked again
        listing.read({"seq": 8, "whole": True, "hosts": bad})
    again = [(row.name, row.state) for row in listing.read({"seq": 8, "whole": True, "hosts": bad}).entries]
    assert again == [("a", IN_SERVICE), ("b", IN_SERVICE), ("d", EndpointState.DRAINING)]
    assert listing.seq == 8 and listing.spoilt == 8
    with pytest.raises(Spoilt):
        listing.read({"seq": 9, "whole": True})
    assert listing.seq == 8
    left = listing.read({"seq": 9, "whole": False, "hosts": [entry("a", "left")]})
    assert left.entries[0].state is EndpointState.REMOVED


def test_an_answer_older_than_the_list_or_without_names_does_not_replace_it_at_once() -> None:
    listing = Listing()
    listing.read({"seq": 7, "whole": True, "hosts": [entry("a"), entry("b")]})
    for _ in range(2):  # an old change never counts
        with pytest.raises(Spoilt):
            listing.read({"seq": 5, "whole": False, "hosts": [entry("a", "leaving")]})
    assert (
        listing.read({"seq": 5, "whole": False, "hosts": []}) == EndpointListReceived(False, ())
        and listing.seq == 7
    )
    for _ in range(3):  # all entries spoilt: no empty list
        with pytest.raises(Spoilt):
            listing.read({"seq": 8, "whole": True, "hosts": [{"host": 5}, None]})
    assert listing.read({"seq": 8, "whole": True, "hosts": []}) == EndpointListReceived(True, ())
    with pytest.raises(Spoilt):
        listing.read({"seq": 2, "whole": True, "hosts": [entry("a")]})
    anew = listing.read({"seq": 2, "whole": True, "hosts": [entry("a")]})  # discovery began anew
    assert anew.is_complete and len(anew.entries) == 1 and listing.seq == 2


class Proxy:
    """A plain proxy, by the protocol's page."""

    def __init__(self, names: list[str]) -> None:
        self.names = names
        self.tables: dict[str, dict[str, float]] = {name: {} for name in names}
        self.levels: dict[str, tuple[int, float]] = {}
        self.out: set[str] = set()
        self.stamps: list[int] = []
        self.rows = 0

    def take(self, frames: list[bytes]) -> None:
        parts = list(Cutter().take(b"".join(frames)))
        assert len(parts) <= 64 and [part.get("part", False) for part in parts[:-1]] == [True] * (
            len(parts) - 1
        )
        assert not parts[-1].get("part", False)
        for part in parts:
            for name in part.get("for", self.names):
                if part.get("replace"):
                    self.tables[name], _ = {}, self.levels.pop(name, None)
                for host, weight in part.get("rows", ()):
                    self.tables[name].pop(host, None)
                    if weight:
                        self.tables[name][host] = weight
                if "gate" in part:
                    self.levels[name] = (part["again"], part["gate"])
            self.out |= set(part.get("drop", ()))
            self.out -= set(part.get("undrop", ()))
            if "stamp" in part:
                self.stamps.append(part["stamp"])
            counted = [*part.get("rows", ()), *part.get("drop", ()), *part.get("undrop", ())]
            self.rows += len(counted) + ("replace" in part) + ("gate" in part) + ("stamp" in part)


hosts = st.sampled_from("abcd")
steps = st.one_of(
    st.tuples(st.just("line"), st.integers(0, 2), hosts, st.sampled_from([0.0, 0.5, 1.0])),
    st.tuples(st.just("withdraw"), hosts, st.booleans()),
    st.tuples(st.just("bind"), st.integers(0, 2), st.integers(0, 2), st.integers(0, 7)),
    st.tuples(
        st.just("allow"), st.integers(0, 2), st.integers(0, 2), st.integers(0, 3), st.sampled_from([0.5, 2.0])
    ),
    st.tuples(st.just("clear"), st.integers(0, 2)),
    st.tuples(st.just("mark"), st.integers(0, 9)),
    st.tuples(st.just("leave"), st.integers(0, 2)),
    st.tuples(st.just("over")),
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(steps, max_size=50))
def test_a_plain_proxy_holds_what_was_ordered(script: list[Any]) -> None:
    names = [route.name for route in SETTINGS.routes]
    proxies = {n: Proxy(names) for n in range(3)}
    orders = Orders(SETTINGS, lambda proxy, frames, rows: proxies[proxy].take(frames))
    bound: dict[int, dict[int, int]] = {n: {} for n in proxies}
    tables: dict[int, dict[str, float]] = {n: {} for n in range(3)}
    out: set[str] = set()
    for n in proxies:
        orders.join(n, True)
    for what, *rest in [*script, ("over",)]:
        if what == "leave":
            orders.leave(rest[0])
            orders.join(rest[0], True)
            proxies[rest[0]], bound[rest[0]] = Proxy(names), {}
            continue
        if what == "over":
            orders.moment_over()
        elif what == "allow":
            orders.set_admission(rest[0], rest[1], AdmissionLimit(rest[2], rest[3]))
        elif what == "mark":
            orders.send_sync_marker(rest[0])
        elif what == "line":
            orders.set_weight(*rest)
            tables[rest[0]].pop(rest[1], None)
            tables[rest[0]].update({rest[1]: rest[2]} if rest[2] else {})
        elif what == "clear":
            orders.clear_table(rest[0])
            tables[rest[0]].clear()
        elif what == "withdraw":
            (orders.exclude_endpoint if rest[1] else orders.readmit_endpoint)(rest[0])
            (out.add if rest[1] else out.discard)(rest[0])
        elif what == "bind":
            routes = [k for k in range(3) if rest[2] == 0 or rest[2] >> k & 1]
            orders.bind(rest[0], rest[1], routes)
            bound[rest[0]].update(dict.fromkeys(routes, rest[1]))
    for n, proxy in proxies.items():
        for route, table in bound[n].items():
            assert proxy.tables[names[route]] == tables[table]
            used = [host for host in tables[table] if host not in out]
            assert [host for host in proxy.tables[names[route]] if host not in proxy.out] == used


def test_who_was_under_others_is_told_whom_to_let_back_and_a_broken_stream_costs_nobody_else_his_orders() -> (
    None
):
    told: dict[int, list[list[bytes]]] = {}
    names = [route.name for route in SETTINGS.routes]

    def out(proxy: int, frames: list[bytes], rows: int) -> None:
        told.setdefault(proxy, []).append(frames)
        if proxy == 1:  # found broken as it was written to
            orders.leave(1)

    orders = Orders(SETTINGS, out)
    for proxy in (0, 1, 2):
        orders.join(proxy, False)
        orders.bind(proxy, 0, range(len(names)))
    orders.set_weight(0, "a", 1.0)
    orders.readmit_for_proxy(2, ["a"])
    orders.moment_over()
    assert list(told) == [0, 1, 2]
    last = list(Cutter().take(told[2][0][-1]))
    assert last == [{"t": "assign", "undrop": ["a"]}]
    orders.readmit_endpoint("b")  # another may have shut it out of who was under orders before
    orders.moment_over()
    assert len(told[0]) == 2 and len(told[1]) == 1
    orders.exclude_for_proxy(2, ["b", "c"])  # they went before it joined: the others know
    orders.exclude_for_proxy(1, ["b"])  # it has left
    orders.moment_over()
    assert len(told[0]) == 2 and len(told[1]) == 1
    assert list(Cutter().take(told[2][-1][0])) == [{"t": "assign", "drop": ["b", "c"]}]


class Counting(Orders):
    """The module's host: orders counted as they leave."""

    def __init__(self, terms: Any) -> None:
        self.proxies = {n: Proxy([route.name for route in terms.routes]) for n in range(6)}
        self.lines = 0
        super().__init__(terms, self.count)

    def count(self, proxy: int, frames: list[bytes], rows: int) -> None:
        before = self.proxies[proxy].rows
        self.proxies[proxy].take(frames)
        assert self.proxies[proxy].rows - before == rows
        self.lines += rows + int(SETTINGS.channel.message_overhead_entries)

    def nothing(self, *_: object) -> None: ...

    forget_endpoint = schedule_evaluation = log = nothing
    watch_endpoints = fetch_endpoint_list = check_health = nothing


def test_rows_on_streams_are_those_that_the_module_charged() -> None:
    terms = settings_with(exclusions_outlive_sessions=True, fleet__cross_zone_price=0.08)
    host = Counting(terms)
    module, now = Controller(host, terms, 1, 0), 0
    charged = 0
    charge = module.channel.charge

    def note(proxies: list[int], lines: int) -> None:
        nonlocal charged
        charged += module.channel.cost(proxies, lines)
        charge(proxies, lines)

    module.channel.charge = note  # type: ignore[method-assign]
    ready = EndpointState.IN_SERVICE
    entries = [EndpointEntry(f"h{k}", ready, 0, 1.0, "fast", terms.zones[k % 2]) for k in range(8)]
    module.handle(0, EndpointListReceived(True, tuple(entries)))
    for n in host.proxies:
        host.join(n, n % 2 == 0)
        module.handle(0, ProxyJoined(n, terms.zones[n % 2], 5.0, n % 2 == 0))
    for beat in range(60):
        now += SECOND // 2
        state = EndpointState.DRAINING if beat % 20 == 9 else ready
        if beat % 10 == 9:
            entry = EndpointEntry("h3", state, 0 if beat < 10 else now, 1.0, "fast", terms.zones[1])
            module.handle(now, EndpointListReceived(False, (entry,)))
        if beat % 15 == 14:
            host.leave(beat % 6)
            module.handle(now, ProxyLeft(beat % 6))
            host.join(beat % 6, False)
            module.handle(now, ProxyJoined(beat % 6, terms.zones[beat % 6 % 2], 5.0, False))
        for k in range(8):
            module.handle(now, EndpointReport(f"h{k}", 9, 0, 300 + 100 * k * (beat % 7), 0.5))
        module.handle(now, EvaluationDue())
        module.flush(now)
        host.moment_over()
        assert host.lines <= charged  # a line ordered twice in a moment, or of a stream that went, goes once
        for n, proxy in host.proxies.items():
            for stamp in proxy.stamps[-1:]:
                module.handle(now, MessageAcknowledged(n, stamp))
    assert host.lines > 0.8 * charged  # what is told again in the moment of a bind

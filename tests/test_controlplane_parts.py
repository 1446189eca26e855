"""The order book, the channel, what proxies say, and how their files are made: no I/O, no clock."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.config.deployment import deployment_settings
from willowhook.config.example import EXAMPLE
from willowhook.controlplane.book import Message, OrderBook, View
from willowhook.controlplane.channel import Channel
from willowhook.controlplane.intake import Intake
from willowhook.controlplane.outlets import FileOutlet
from willowhook.controlplane.render import Held, Renderer
from willowhook.decisions.runtime import AdmissionLimit
from willowhook.files.swap import Shelf
from willowhook.ticks import TICKS_PER_SECOND
from willowhook.versions.core import Core, first_era
from willowhook.xds import forms, tables
from willowhook.xds.codec import encode

SETTINGS = deployment_settings(EXAMPLE)
ALL_ROUTES = range(len(SETTINGS.routes))
HEAD = int(SETTINGS.channel.message_overhead_entries)


class Rebuilt:
    """A plain model: each proxy's own copy, changed order by order as the bench's wire page says."""

    def __init__(self) -> None:
        self.lines: dict[int, dict[str, float]] = {}
        self.bound: dict[int, dict[int, int]] = {}
        self.out: set[str] = set()

    def holds(self, proxy: int) -> dict[int, dict[str, tuple[float, bool]]]:
        return {
            route: {h: (w, h in self.out) for h, w in self.lines.get(table, {}).items()}
            for route, table in self.bound[proxy].items()
        }


def shown(message: Message) -> dict[int, dict[str, tuple[float, bool]]]:
    view = message.view
    return {
        route: {h: (w, h in view.withdrawn) for h, w in state.lines.items()}
        for route, state in view.bound.items()
    }


step = st.one_of(
    st.tuples(st.just("line"), st.integers(0, 2), st.sampled_from("abcd"), st.sampled_from([0.0, 0.5, 1.0])),
    st.tuples(st.just("withdraw"), st.sampled_from("abcd"), st.booleans()),
    st.tuples(st.just("bind"), st.integers(0, 2), st.integers(0, 2), st.integers(0, 7)),
    st.tuples(st.just("join"), st.integers(0, 2)),
    st.tuples(st.just("leave"), st.integers(0, 2)),
    st.tuples(st.just("over")),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(step, max_size=60))
def test_every_message_shows_what_its_proxy_is_to_hold_at_its_own_moment(steps: list[Any]) -> None:
    sent: list[tuple[Message, dict[int, dict[str, tuple[float, bool]]]]] = []
    model = Rebuilt()
    book = OrderBook(SETTINGS, lambda message: sent.append((message, model.holds(message.proxy))))
    for what, *rest in steps:
        if what == "line":
            table, host, weight = rest
            book.set_weight(table, host, weight)
            rows = model.lines.setdefault(table, {})
            rows.pop(host, None)
            if weight:
                rows[host] = weight
        elif what == "withdraw":
            (book.exclude_endpoint if rest[1] else book.readmit_endpoint)(rest[0])
            (model.out.add if rest[1] else model.out.discard)(rest[0])
        elif what == "bind" and rest[0] in book.members:
            routes = [k for k in range(3) if rest[2] == 0 or rest[2] >> k & 1]
            book.bind(rest[0], rest[1], routes)
            model.bound[rest[0]].update(dict.fromkeys(routes, rest[1]))
        elif what == "join":
            book.join(rest[0], "north", {})
            model.bound[rest[0]] = {}
        elif what == "leave":
            book.leave(rest[0])
        elif what == "over":
            book.moment_over(0)
    numbers = [message.number for message, _ in sent]
    assert numbers == sorted(set(numbers))
    for message, held in sent:  # looked at after all that came later: what was sent did not change
        assert shown(message) == held


def test_a_moment_is_one_message_a_proxy_and_its_lines_are_those_of_the_wire_page() -> None:
    sent: list[Message] = []
    book = OrderBook(SETTINGS, sent.append)
    for proxy in (0, 1, 2):
        book.join(proxy, "north", {0: frozenset({"a"} if proxy == 2 else ())})
    book.set_weight(0, "a", 1.0)
    book.set_weight(0, "b", 1.0)
    book.set_admission(0, 0, AdmissionLimit(1, 5.0))
    book.exclude_endpoint("a")  # only proxy 2 holds it, in its standing table
    book.bind(0, 0, ALL_ROUTES)
    book.send_sync_marker(7)
    book.moment_over(5)
    # a line, two lines, a level, one withdrawn; the head and the mark
    assert [(m.proxy, m.lines, m.mark) for m in sent] == [(2, 1 + HEAD + 1, 7), (0, 5 + HEAD + 1, 7)]
    sent.clear()
    book.set_weight(0, "b", 0.5)
    book.moment_over(6)
    assert [(m.proxy, m.lines, m.mark) for m in sent] == [(0, 1 + HEAD, -1)]


def message(number: int, proxy: int, lines: int, ordered: int) -> Message:
    return Message(number, -1, proxy, lines, ordered, View({}, {}, {}))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 4000), st.integers(1, 300), st.integers(0, 3)), max_size=40))
def test_the_channel_keeps_its_rate_and_its_order(rows: list[tuple[int, int, int]]) -> None:
    channel, now, left = Channel(SETTINGS.channel), 100_000, list[tuple[int, Message]]()
    rate = SETTINGS.channel.entries_per_second / TICKS_PER_SECOND
    for k, (pause, lines, proxy) in enumerate(rows):
        now += pause
        while (taken := channel.take(now)) is not None:
            left.append((now, taken[0]))
        channel.put(message(k, proxy, lines, now))
    while (due := channel.due()) is not None:
        now = max(now, int(due) + 1)
        taken = channel.take(now)
        assert taken is not None
        left.append((now, taken[0]))
    assert channel.waiting == 0 and [m.number for _, m in left] == list(range(len(rows)))
    for t, m in left:
        assert t >= m.ordered + m.lines / rate - 1
    total = sum(lines for _, lines, _ in rows)
    if left:  # never faster than its rate, over any stretch from the start
        assert left[-1][0] - left[0][1].ordered >= total / rate - 1 or any(pause for pause, _, _ in rows)


def test_the_channel_tells_of_a_full_queue_and_of_too_many_messages() -> None:
    channel = Channel(
        replace(SETTINGS.channel, queue_limit_entries=100, message_cap=2, message_cap_window_ticks=10_000)
    )
    assert channel.put(message(1, 0, 90, 0)) and not channel.put(message(2, 0, 20, 0))
    channel.put(message(3, 0, 1, 0))
    kept = []
    for now in (5000, 6000, 7000):
        taken = channel.take(now)
        assert taken is not None
        kept.append(taken[1])
    assert kept == [True, True, False] and channel.most == 111 and channel.most_messages == 3
    channel.put(message(4, 1, 5, 0))
    assert channel.forget(1) == 1 and channel.waiting == 0


class Listener:
    def __init__(self) -> None:
        self.told: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Any:
        return lambda *args: self.told.append((name, *args))

    def names(self) -> list[str]:
        return [row[0] for row in self.told]


NODE = forms.Node(
    "p1", "calls", forms.Locality(zone="north"), {"usual_calls_per_s": 5, "term": 2, "director": "d"}
)
STATUS = encode(forms.ClientConfig(NODE))


def listening(now: int = 0) -> tuple[Listener, Intake]:
    ear = Listener()
    intake = Intake(ear, "d", 3, ("load",), 20_000, lambda: 50)
    assert intake.appeared(now, "p1", {"status.json": STATUS})
    ear.told.clear()
    return ear, intake


def answer(nonce: str, fault: str = "", node: forms.Node = NODE, type_url: str = forms.ASSIGNMENT) -> bytes:
    detail = forms.Status(3, fault) if fault else None
    return encode(forms.DiscoveryRequest("3.1", node, [], type_url, nonce, detail))


def test_answers_rise_and_refusals_are_told_once() -> None:
    ear, intake = listening()
    for nonce in ("2.3.7", "2.3.7", "2.3.5", "2.2.99", "1.3.40", "2.3.9"):
        intake.swapped(1, "p1", "eds.json", answer(nonce))
    intake.swapped(2, "p1", "eds.json", answer("2.3.12", "no such table"))
    intake.swapped(2, "p1", "eds.json", answer("2.3.12", "no such table"))
    assert ear.told == [("applied", 0, 7), ("applied", 0, 9), ("refused", 0, "eds", 12, "no such table")]


@pytest.mark.parametrize(
    ("file", "data", "cause"),
    [
        ("eds.json", b'{"version_info": "3', "not a DiscoveryRequest"),
        ("eds.json", b"\x00\x01\xff" * 50, "not a DiscoveryRequest"),
        ("eds.json", answer("2.3.7", type_url=forms.ROUTES), "type_url is"),
        ("eds.json", answer("2.3.7", node=forms.Node("p2")), "node.id is 'p2'"),
        ("eds.json", answer("2.3.7", node=forms.Node("p1", metadata={"term": 2.5})), "no whole number"),
        ("eds.json", answer("2.3.51"), "message 51, and 50 is the last"),
        ("eds.json", answer("2.4.1"), "2.4.1, and this is term 2, epoch 3"),
        ("eds.json", answer("3.3.1"), "3.3.1, and this is term 2, epoch 3"),
        ("eds.json", answer("x"), "no TERM.EPOCH.NUMBER"),
        ("load.json", encode([1, 2]), "not a LoadStatsRequest"),
        ("load.json", b'{"cluster_stats": [{"load_report_interval": "-1s"}]}', "node.id is ''"),
        ("other.json", b"{}", "no file of this name"),
    ],
)
def test_a_bad_file_is_told_once_and_a_good_one_ends_it(file: str, data: bytes, cause: str) -> None:
    ear, intake = listening()
    intake.swapped(1, "p1", file, data)
    intake.swapped(2, "p1", file, data)
    assert ear.names() == ["fault"] and cause in ear.told[0][2] and "p1" in intake.present
    if file == "eds.json":
        intake.swapped(3, "p1", file, answer("2.3.7"))
        intake.swapped(4, "p1", file, data)
        assert ear.names() == ["fault", "applied", "fault"]


def load(good: int, bad: int, spent: float = 1.0, dropped: int = 0, metric: float = 0.5) -> bytes:
    at = forms.Address(forms.SocketAddress("127.0.0.1", 81))
    row = forms.UpstreamEndpointStats(at, good, 0, bad, good + bad)
    row.load_metric_stats = [
        forms.LoadMetricStats("latency_seconds", good, spent),
        forms.LoadMetricStats("cpu_utilization", 2, 2 * metric),
    ]  # fmt: skip
    zone = forms.UpstreamLocalityStats(upstream_endpoint_stats=[row])
    stats = forms.ClusterStats("load@t0", "", [zone], dropped, [], "0.5s")
    return encode(forms.LoadStatsRequest(NODE, [stats]))


def test_sums_are_handed_on_whole_or_not_at_all() -> None:
    ear, intake = listening()
    intake.swapped(1, "p1", "load.json", load(4, 1, 2.0, 3))
    assert ear.names() == ["met", "came"] and ear.told[1] == ("came", 0, "load", 8, 1, 5000)
    whole = ear.told[0][2]
    assert whole.cells == {("127.0.0.1:81", "load"): (5, 1, 20_000, 0)} and whole.window == 5000
    assert whole.loads == {"127.0.0.1:81": {"busy": 0.5}}
    ear.told.clear()
    for bad in (load(-1, 0), load(1, 0, spent=float("inf")), load(10**12, 0), load(1, 0, dropped=-2)):
        intake.swapped(2, "p1", "load.json", bad)
    assert ear.names() == ["fault"]


def node(term: int, director: str = "d") -> forms.Node:
    return forms.Node(
        "p1", "calls", NODE.locality, {"usual_calls_per_s": 5, "term": term, "director": director}
    )


def test_a_director_rules_only_while_the_newest_file_names_it() -> None:
    ear, intake = listening()
    late = encode(forms.LoadStatsRequest(node(1)))  # of its last stay, put in place late
    intake.swapped(1, "p1", "load.json", late)
    intake.swapped(1, "p1", "eds.json", answer("2.3.7", node=node(1)))
    assert ear.told == [] and intake.present["p1"].heard_at == 0
    intake.swapped(2, "p1", "load.json", encode(forms.LoadStatsRequest(node(2, "other"))))
    assert ear.told == [("left", 0, "p1", "follows other in term 2")]
    assert not intake.appeared(3, "p1", {"status.json": encode(forms.ClientConfig(node(3, "other")))})
    assert intake.appeared(4, "p1", {"status.json": encode(forms.ClientConfig(node(4)))})
    assert ear.told[-1][0] == "joined" and ear.told[-1][7] == 4
    intake.swapped(5, "p1", "load.json", encode(forms.LoadStatsRequest(node(5))))
    assert ear.told[-1] == ("left", 0, "p1", "follows d in term 5")  # it came again: its folder tells how


def test_a_director_that_starts_again_takes_what_it_left_there_for_held() -> None:
    sent: list[Message] = []
    book, renderer = OrderBook(SETTINGS, sent.append), Renderer(EXAMPLE, 2)
    renderer.readdress({"a": ("127.0.0.1", 81, "north")})
    book.join(0, "north", {})
    book.set_weight(0, "a", 1.0)
    book.bind(0, 0, ALL_ROUTES)
    book.moment_over(0)
    lies = outlet(2, 2).files(9, renderer.rows(sent[-1].view, Held()))
    for term, hosts in ((2, {"a"}), (3, set())):
        ear = Listener()
        intake = Intake(ear, "d", 3, ("load",), 20_000, lambda: 50)
        assert intake.appeared(0, "p1", {"status.json": encode(forms.ClientConfig(node(term)))}, lies)
        held = ear.told[0][6]
        assert set(held.hosts("load")) == hosts


def test_a_silent_proxy_has_left_and_a_foreign_or_broken_one_never_joins() -> None:
    ear, intake = listening(now=0)
    intake.swapped(15_000, "p1", "load.json", load(1, 0))
    intake.look(30_000)
    assert ear.names() == ["met", "came"]
    intake.look(36_000)
    assert ear.told[-1] == ("left", 0, "p1", "silent for 2.1 s") and not intake.present
    assert not intake.appeared(0, "p2", {"status.json": STATUS})  # p1's status in p2's folder
    assert not intake.appeared(0, "p3", {})
    assert not intake.appeared(0, "p4", {"status.json": b"\x80"})
    assert ear.names()[-2:] == ["fault", "fault"]
    intake.swapped(0, "p4", "load.json", load(1, 0))  # unknown: nobody's news
    assert intake.appeared(1, "p1", {"status.json": STATUS, "eds.json": answer("2.3.7")})
    assert ear.told[-1][:2] == ("joined", 0) and ear.told[-1][5] is False  # the same number, and not fresh


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.sampled_from(["eds.json", "load.json", "status.json"]), st.binary(max_size=80), st.integers(0, 300))
def test_no_bytes_break_the_intake(file: str, noise: bytes, cut: int) -> None:
    ear, intake = listening()
    whole = load(4, 1)
    for data in (noise, whole[:cut] + noise + whole[cut:], whole[:cut]):
        intake.swapped(1, "p1", file, data)
        intake.appeared(1, "px", {"status.json": data})
    assert "p1" in intake.present


def outlet(term: int, epoch: int) -> FileOutlet:
    return FileOutlet(Shelf("nowhere"), Core(first_era(epoch, 5)), term, epoch, False)


def test_only_the_file_that_changed_gets_a_new_version_and_unbound_proxies_keep_their_tables() -> None:
    sent: list[Message] = []
    book, renderer, files = OrderBook(SETTINGS, sent.append), Renderer(EXAMPLE, 4), outlet(6, 4)
    renderer.readdress({"a": ("127.0.0.1", 81, "north"), "b": ("127.0.0.1", 82, "south")})
    standing = tables.assignment("standing", [("a", "127.0.0.1", 81, "north", 1.0, False)])
    row = tables.route("load", "/load-task", "load@standing", 1, tables.retry(1, 0), {})
    cluster = tables.cluster("load@standing", "standing", "", "pair", 1, 0)
    held = Held({"load": ([row], encode(cluster), "standing")}, {"standing": standing})
    book.join(0, "north", {0: held.hosts("load")})
    book.exclude_endpoint("a")
    book.moment_over(0)
    first = files.files(1, renderer.rows(sent[-1].view, held))
    assert set(first) == {"eds.json"}
    assert tables.lines(tables.read_tables(first["eds.json"])[1][0])[0][5]  # draining in the standing table
    book.set_weight(0, "b", 1.0)
    book.bind(0, 0, ALL_ROUTES)
    book.set_admission(0, 0, AdmissionLimit(0, 2.0))
    book.moment_over(1)
    second = files.files(2, renderer.rows(sent[-1].view, held))
    assert set(second) == {"cds.json", "eds.json", "rds.json"}
    routes = tables.read_routes(second["rds.json"])[1][0].virtual_hosts[0].routes
    by_name = {route.name: route for route in routes}
    assert tables.tries_of(by_name["load"].route.retry_policy) == 0
    assert abs(tables.level_of(by_name["load"].typed_per_filter_config)[1] - 2.0) < 1e-6
    book.set_weight(0, "b", 0.5)
    book.moment_over(2)
    third = files.files(3, renderer.rows(sent[-1].view, held))
    assert third["cds.json"] == second["cds.json"] and third["rds.json"] == second["rds.json"]
    assert tables.read_tables(third["eds.json"])[0].nonce == "6.4.3"

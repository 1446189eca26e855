"""What proxies say, as the intake reads it: no I/O, no clock."""

from __future__ import annotations

from typing import Any

import pytest
from controlplane_fixtures import ALL_ROUTES, SETTINGS, file_sink
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.config.example import EXAMPLE
from willowhook.controlplane.intake import Intake
from willowhook.controlplane.proxy_resources import ProxyResources
from willowhook.controlplane.proxy_state import ProxyStateBook, UpdateMessage
from willowhook.controlplane.resource_renderer import ResourceRenderer
from willowhook.xds import forms
from willowhook.xds.codec import encode


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
    sent: list[UpdateMessage] = []
    book, renderer = ProxyStateBook(SETTINGS, sent.append), ResourceRenderer(EXAMPLE, 2)
    renderer.set_addresses({"a": ("127.0.0.1", 81, "north")})
    book.add_proxy(0, "north", {})
    book.set_weight(0, "a", 1.0)
    book.bind(0, 0, ALL_ROUTES)
    book.flush(0)
    lies = file_sink(2, 2).files(9, renderer.render(sent[-1].view, ProxyResources()))
    for term, hosts in ((2, {"a"}), (3, set())):
        ear = Listener()
        intake = Intake(ear, "d", 3, ("load",), 20_000, lambda: 50)
        assert intake.appeared(0, "p1", {"status.json": encode(forms.ClientConfig(node(term)))}, lies)
        held = ear.told[0][6]
        assert set(held.endpoints_of("load")) == hosts


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

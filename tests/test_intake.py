"""What proxies say, as the intake reads it: no I/O, no clock."""

from __future__ import annotations

import pytest
from controlplane_fixtures import ALL_ROUTES, SETTINGS, file_sink
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.config.example import EXAMPLE
from willowhook.controlplane.intake import ProxyIntake
from willowhook.controlplane.proxy_events import (
    AttemptsReported,
    ProxyEvent,
    ProxyInputRejected,
    ProxySessionClosed,
    ProxySessionOpened,
    RequestsReported,
    UpdateApplied,
    UpdateRejected,
)
from willowhook.controlplane.proxy_resources import ProxyResources
from willowhook.controlplane.proxy_state import ProxyStateBook, UpdateMessage
from willowhook.controlplane.resource_renderer import ResourceRenderer
from willowhook.xds import forms
from willowhook.xds.codec import encode

NODE = forms.Node(
    "p1", "calls", forms.Locality(zone="north"), {"usual_calls_per_s": 5, "term": 2, "director": "d"}
)
STATUS = encode(forms.ClientConfig(NODE))


def make_intake() -> tuple[list[ProxyEvent], ProxyIntake]:
    events: list[ProxyEvent] = []
    return events, ProxyIntake(events.append, "d", 3, ("load",), 20_000, lambda: 50)


def intake_with_a_session(now: int = 0) -> tuple[list[ProxyEvent], ProxyIntake]:
    events, intake = make_intake()
    assert intake.open_session(now, "p1", {"status.json": STATUS})
    events.clear()
    return events, intake


def types_of(events: list[ProxyEvent]) -> list[type]:
    return [type(event) for event in events]


def answer(nonce: str, fault: str = "", node: forms.Node = NODE, type_url: str = forms.ASSIGNMENT) -> bytes:
    detail = forms.Status(3, fault) if fault else None
    return encode(forms.DiscoveryRequest("3.1", node, [], type_url, nonce, detail))


def test_acknowledgements_rise_and_rejections_are_emitted_once() -> None:
    events, intake = intake_with_a_session()
    for nonce in ("2.3.7", "2.3.7", "2.3.5", "2.2.99", "1.3.40", "2.3.9"):
        intake.process_file(1, "p1", "eds.json", answer(nonce))
    intake.process_file(2, "p1", "eds.json", answer("2.3.12", "no such table"))
    intake.process_file(2, "p1", "eds.json", answer("2.3.12", "no such table"))
    assert events == [UpdateApplied(0, 7), UpdateApplied(0, 9), UpdateRejected(0, "eds", 12, "no such table")]


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
def test_malformed_file_is_reported_once_until_a_well_formed_one(file: str, data: bytes, cause: str) -> None:
    events, intake = intake_with_a_session()
    intake.process_file(1, "p1", file, data)
    intake.process_file(2, "p1", file, data)
    (event,) = events
    assert isinstance(event, ProxyInputRejected) and event.name == "p1"
    assert cause in event.cause and "p1" in intake.sessions
    if file == "eds.json":
        intake.process_file(3, "p1", file, answer("2.3.7"))
        intake.process_file(4, "p1", file, data)
        assert types_of(events) == [ProxyInputRejected, UpdateApplied, ProxyInputRejected]


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


def test_load_report_counts_completely_or_not_at_all() -> None:
    events, intake = intake_with_a_session()
    intake.process_file(1, "p1", "load.json", load(4, 1, 2.0, 3))
    attempts, requests = events
    assert requests == RequestsReported(0, "load", 8, 1, 5000)
    assert isinstance(attempts, AttemptsReported)
    whole = attempts.sample
    assert whole.cells == {("127.0.0.1:81", "load"): (5, 1, 20_000, 0)} and whole.window == 5000
    assert whole.loads == {"127.0.0.1:81": {"busy": 0.5}}
    events.clear()
    for bad in (load(-1, 0), load(1, 0, spent=float("inf")), load(10**12, 0), load(1, 0, dropped=-2)):
        intake.process_file(2, "p1", "load.json", bad)
    assert types_of(events) == [ProxyInputRejected]


def node(term: int, director: str = "d") -> forms.Node:
    return forms.Node(
        "p1", "calls", NODE.locality, {"usual_calls_per_s": 5, "term": term, "director": director}
    )


def test_session_lasts_only_while_the_newest_file_names_the_controller() -> None:
    events, intake = intake_with_a_session()
    late = encode(forms.LoadStatsRequest(node(1)))  # of its last stay, put in place late
    intake.process_file(1, "p1", "load.json", late)
    intake.process_file(1, "p1", "eds.json", answer("2.3.7", node=node(1)))
    assert events == [] and intake.sessions["p1"].heard_at == 0
    intake.process_file(2, "p1", "load.json", encode(forms.LoadStatsRequest(node(2, "other"))))
    assert events == [ProxySessionClosed(0, "p1", "follows other in term 2")]
    assert not intake.open_session(3, "p1", {"status.json": encode(forms.ClientConfig(node(3, "other")))})
    assert intake.open_session(4, "p1", {"status.json": encode(forms.ClientConfig(node(4)))})
    assert isinstance(events[-1], ProxySessionOpened) and events[-1].term == 4
    intake.process_file(5, "p1", "load.json", encode(forms.LoadStatsRequest(node(5))))
    assert events[-1] == ProxySessionClosed(
        0, "p1", "follows d in term 5"
    )  # it came again: its folder tells how


def test_restarted_controller_takes_its_former_files_as_held() -> None:
    sent: list[UpdateMessage] = []
    book, renderer = ProxyStateBook(SETTINGS, sent.append), ResourceRenderer(EXAMPLE, 2)
    renderer.set_addresses({"a": ("127.0.0.1", 81, "north")})
    book.add_proxy(0, "north", {})
    book.set_weight(0, "a", 1.0)
    book.bind(0, 0, ALL_ROUTES)
    book.flush(0)
    previous = file_sink(2, 2).files(9, renderer.render(sent[-1].view, ProxyResources()))
    for term, hosts in ((2, {"a"}), (3, set())):
        events, intake = make_intake()
        assert intake.open_session(0, "p1", {"status.json": encode(forms.ClientConfig(node(term)))}, previous)
        (event,) = events
        assert isinstance(event, ProxySessionOpened) and set(event.held.endpoints_of("load")) == hosts


def test_silent_session_is_closed_and_a_foreign_or_malformed_one_never_opens() -> None:
    events, intake = intake_with_a_session(now=0)
    intake.process_file(15_000, "p1", "load.json", load(1, 0))
    intake.close_silent_sessions(30_000)
    assert types_of(events) == [AttemptsReported, RequestsReported]
    intake.close_silent_sessions(36_000)
    assert events[-1] == ProxySessionClosed(0, "p1", "silent for 2.1 s") and not intake.sessions
    assert not intake.open_session(0, "p2", {"status.json": STATUS})  # p1's status in p2's folder
    assert not intake.open_session(0, "p3", {})
    assert not intake.open_session(0, "p4", {"status.json": b"\x80"})
    assert types_of(events)[-2:] == [ProxyInputRejected, ProxyInputRejected]
    intake.process_file(0, "p4", "load.json", load(1, 0))  # unknown: nobody's news
    assert intake.open_session(1, "p1", {"status.json": STATUS, "eds.json": answer("2.3.7")})
    event = events[-1]
    assert isinstance(event, ProxySessionOpened)
    assert event.proxy == 0 and event.is_fresh is False  # the same number as before


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.sampled_from(["eds.json", "load.json", "status.json"]), st.binary(max_size=80), st.integers(0, 300))
def test_no_bytes_break_the_intake(file: str, noise: bytes, cut: int) -> None:
    events, intake = intake_with_a_session()
    whole = load(4, 1)
    for data in (noise, whole[:cut] + noise + whole[cut:], whole[:cut]):
        intake.process_file(1, "p1", file, data)
        intake.open_session(1, "px", {"status.json": data})
    assert "p1" in intake.sessions

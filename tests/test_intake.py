"""Tests of the intake: how it reads the files and requests of proxies."""

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


def answer(nonce: str, error: str = "", node: forms.Node = NODE, type_url: str = forms.ASSIGNMENT) -> bytes:
    detail = forms.Status(3, error) if error else None
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
        ("eds.json", answer("2.3.7", node=forms.Node("p1", metadata={"term": 2.5})), "not a whole number"),
        ("eds.json", answer("2.3.51"), "message 51, but 50 is the last one"),
        ("eds.json", answer("2.4.1"), "2.4.1, but this is term 2, epoch 3"),
        ("eds.json", answer("3.3.1"), "3.3.1, but this is term 2, epoch 3"),
        ("eds.json", answer("x"), "no TERM.EPOCH.NUMBER"),
        ("load.json", encode([1, 2]), "not a LoadStatsRequest"),
        ("load.json", b'{"cluster_stats": [{"load_report_interval": "-1s"}]}', "node.id is ''"),
        ("other.json", b"{}", "unknown file name"),
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


def load(
    successes: int, failures: int, latency_sum: float = 1.0, dropped: int = 0, utilization: float = 0.5
) -> bytes:
    address = forms.Address(forms.SocketAddress("127.0.0.1", 81))
    endpoint_stats = forms.UpstreamEndpointStats(address, successes, 0, failures, successes + failures)
    endpoint_stats.load_metric_stats = [
        forms.LoadMetricStats("latency_seconds", successes, latency_sum),
        forms.LoadMetricStats("cpu_utilization", 2, 2 * utilization),
    ]  # fmt: skip
    zone = forms.UpstreamLocalityStats(upstream_endpoint_stats=[endpoint_stats])
    cluster_stats = forms.ClusterStats("load@t0", "", [zone], dropped, [], "0.5s")
    return encode(forms.LoadStatsRequest(NODE, [cluster_stats]))


def test_load_report_counts_completely_or_not_at_all() -> None:
    events, intake = intake_with_a_session()
    intake.process_file(1, "p1", "load.json", load(4, 1, 2.0, 3))
    attempts, requests = events
    assert requests == RequestsReported(0, "load", 8, 1, 5000)
    assert isinstance(attempts, AttemptsReported)
    sample = attempts.sample
    assert sample.cells == {("127.0.0.1:81", "load"): (5, 1, 20_000, 0)} and sample.window == 5000
    assert sample.loads == {"127.0.0.1:81": {"busy": 0.5}}
    events.clear()
    for malformed in (
        load(-1, 0),
        load(1, 0, latency_sum=float("inf")),
        load(10**12, 0),
        load(1, 0, dropped=-2),
    ):
        intake.process_file(2, "p1", "load.json", malformed)
    assert types_of(events) == [ProxyInputRejected]


def node(term: int, controller: str = "d") -> forms.Node:
    return forms.Node(
        "p1", "calls", NODE.locality, {"usual_calls_per_s": 5, "term": term, "director": controller}
    )


def test_session_lasts_only_while_the_newest_file_names_the_controller() -> None:
    events, intake = intake_with_a_session()
    late_report = encode(forms.LoadStatsRequest(node(1)))  # of its previous session, written late
    intake.process_file(1, "p1", "load.json", late_report)
    intake.process_file(1, "p1", "eds.json", answer("2.3.7", node=node(1)))
    assert events == [] and intake.sessions["p1"].last_activity_at == 0
    intake.process_file(2, "p1", "load.json", encode(forms.LoadStatsRequest(node(2, "other"))))
    assert events == [ProxySessionClosed(0, "p1", "follows other in term 2")]
    assert not intake.open_session(3, "p1", {"status.json": encode(forms.ClientConfig(node(3, "other")))})
    assert intake.open_session(4, "p1", {"status.json": encode(forms.ClientConfig(node(4)))})
    assert isinstance(events[-1], ProxySessionOpened) and events[-1].term == 4
    intake.process_file(5, "p1", "load.json", encode(forms.LoadStatsRequest(node(5))))
    assert events[-1] == ProxySessionClosed(
        0, "p1", "follows d in term 5"
    )  # the proxy has begun another session, which its folder will open


def test_restarted_controller_takes_its_former_files_as_held() -> None:
    sent: list[UpdateMessage] = []
    book, renderer = ProxyStateBook(SETTINGS, sent.append), ResourceRenderer(EXAMPLE, 2)
    renderer.set_addresses({"a": ("127.0.0.1", 81, "north")})
    book.add_proxy(0, "north", {})
    book.set_weight(0, "a", 1.0)
    book.bind(0, 0, ALL_ROUTES)
    book.flush(0)
    previous = file_sink(2, 2).files(9, renderer.render(sent[-1].view, ProxyResources()))
    for term, endpoints in ((2, {"a"}), (3, set())):
        events, intake = make_intake()
        assert intake.open_session(0, "p1", {"status.json": encode(forms.ClientConfig(node(term)))}, previous)
        (event,) = events
        assert isinstance(event, ProxySessionOpened) and set(event.held.endpoints_of("load")) == endpoints


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
    intake.process_file(0, "p4", "load.json", load(1, 0))  # ignored: the proxy has no session
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

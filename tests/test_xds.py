"""xDS messages parse with the published protobuf types, and read back as they were written."""

from __future__ import annotations

import json
import math

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.xds import forms, orca, tables
from willowhook.xds.codec import (
    MessageFormatError,
    decode,
    encode,
    encode_response,
    format_duration,
    parse_duration,
    read_response,
)

ENTRIES = [("a", "127.0.0.1", 81, "north", 0.25, False), ("b", "127.0.0.1", 82, "south", 1.5, True)]


def parse_strictly(data: bytes, kind: str):  # type: ignore[no-untyped-def]
    """Parses a message with the published types, which reject unknown fields.

    The imports that look unused register the types that `Any` needs.
    """
    from envoy.config.cluster.v3 import cluster_pb2  # noqa: F401
    from envoy.config.endpoint.v3 import endpoint_pb2  # noqa: F401
    from envoy.config.route.v3 import route_pb2  # noqa: F401
    from envoy.extensions.filters.http.fault.v3 import fault_pb2  # noqa: F401
    from envoy.extensions.filters.http.local_ratelimit.v3 import local_rate_limit_pb2  # noqa: F401
    from envoy.extensions.retry.host.previous_hosts.v3 import previous_hosts_pb2  # noqa: F401
    from envoy.service.discovery.v3 import discovery_pb2
    from envoy.service.load_stats.v3 import lrs_pb2
    from envoy.service.status.v3 import csds_pb2
    from google.protobuf import json_format

    module = {
        "DiscoveryResponse": discovery_pb2, "DiscoveryRequest": discovery_pb2,
        "DeltaDiscoveryRequest": discovery_pb2, "DeltaDiscoveryResponse": discovery_pb2,
        "LoadStatsResponse": lrs_pb2, "LoadStatsRequest": lrs_pb2, "ClientConfig": csds_pb2,
    }[kind]  # fmt: skip
    return json_format.Parse(data, getattr(module, kind)())


def encoded_routes(limits: list[tuple[str, float]], retry_mode: int) -> bytes:
    routes = [
        tables.route(
            f"r{k}", f"/r{k}", "c", 15_000, tables.retry(retry_mode, 9000), tables.level(admit, value, 1)
        )
        for k, (admit, value) in enumerate(limits)
    ]
    return encode_response("1.7", forms.ROUTES, "1.7", [encode(tables.route_set("calls", routes))])


@pytest.mark.parametrize("retry_mode", [0, 1, 2, 3])
def test_every_kind_of_response_parses_with_the_published_types(retry_mode: int) -> None:
    eds = encode_response("1.7", forms.ASSIGNMENT, "1.7", [encode(tables.assignment("t0", ENTRIES))])
    response = parse_strictly(eds, "DiscoveryResponse")
    assert response.version_info == "1.7" and response.resources[0].type_url == forms.ASSIGNMENT
    for pick, consecutive_5xx in (("pair", 5), ("lottery", 0), ("wheel", 1)):
        cluster = tables.cluster("c", "t0", "eds.json", pick, 2500, consecutive_5xx)
        parse_strictly(encode_response("1.7", forms.CLUSTER, "1.7", [encode(cluster)]), "DiscoveryResponse")
    rds = encoded_routes(
        [("rps", 12.34), ("ratio", 0.4), ("rps", 0.0), ("none", 0.1), ("rps", 1e6)], retry_mode
    )
    parse_strictly(rds, "DiscoveryResponse")


def test_delta_messages_parse_with_the_published_types() -> None:
    node = forms.Node("p1", "calls", forms.Locality(zone="north"), {"term": 3, "holds": [{"name": "t0"}]})
    request = forms.DeltaDiscoveryRequest(
        node, forms.ASSIGNMENT, ["t0", "*"], ["t1"], {"t0": "1.7"}, "1.6-1.7", forms.Status(3, "no")
    )
    parsed_request = parse_strictly(encode(request), "DeltaDiscoveryRequest")
    assert (
        dict(parsed_request.initial_resource_versions) == {"t0": "1.7"}
        and parsed_request.error_detail.message == "no"
    )
    table = msgspec.Raw(encode(tables.assignment("t0", ENTRIES)))
    response = forms.DeltaDiscoveryResponse(
        "1.8", [forms.Resource("t0", "1.8", table)], forms.ASSIGNMENT, ["t1"], "1.7-1.8"
    )
    parsed = parse_strictly(encode(response), "DeltaDiscoveryResponse")
    assert parsed.resources[0].resource.type_url == forms.ASSIGNMENT and list(parsed.removed_resources) == [
        "t1"
    ]
    parse_strictly(encode(forms.LoadStatsResponse(True, "1.5s")), "LoadStatsResponse")


def test_every_kind_of_request_parses_with_the_published_types() -> None:
    node = forms.Node("p1", "calls", forms.Locality(zone="north"), {"usual_calls_per_s": 3.5})
    request = forms.DiscoveryRequest(
        "1.7", node, ["t0"], forms.ASSIGNMENT, "1.8", forms.Status(3, "no table")
    )
    assert parse_strictly(encode(request), "DiscoveryRequest").error_detail.message == "no table"
    address = forms.Address(forms.SocketAddress("127.0.0.1", 81))
    metric = forms.LoadMetricStats("cpu_utilization", 3, 1.5)
    endpoint_stats = forms.UpstreamEndpointStats(address, 3, 1, 2, 5, [metric])
    locality_stats = forms.UpstreamLocalityStats(forms.Locality(zone="north"), 3, 2, 5, [endpoint_stats])
    stats = forms.ClusterStats(
        "r@t0", "", [locality_stats], 4, [forms.DroppedRequests("throttled", 4)], "0.5s"
    )
    load = parse_strictly(encode(forms.LoadStatsRequest(node, [stats])), "LoadStatsRequest")
    assert (
        load.cluster_stats[0].upstream_locality_stats[0].upstream_endpoint_stats[0].total_error_requests == 2
    )
    config = forms.GenericXdsConfig(forms.ASSIGNMENT, "t0", "1.7", raw_table(), "ACKED")
    parse_strictly(encode(forms.ClientConfig(node, [config])), "ClientConfig")


def raw_table():  # type: ignore[no-untyped-def]
    import msgspec

    return msgspec.Raw(encode(tables.assignment("t0", ENTRIES)))


def test_json_of_the_protobuf_library_can_be_read() -> None:
    from google.protobuf import json_format

    eds = encode_response("1.7", forms.ASSIGNMENT, "1.7", [encode(tables.assignment("t0", ENTRIES))])
    rewritten = json_format.MessageToJson(
        parse_strictly(eds, "DiscoveryResponse"), preserving_proto_field_name=True
    )
    assert tables.lines(tables.read_tables(rewritten.encode())[1][0]) == ENTRIES


weights = st.floats(1e-4, 100, allow_nan=False)
names = st.text("abcdef-0123456789", min_size=1, max_size=8)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.dictionaries(names, st.tuples(st.integers(1, 65535), st.sampled_from("xyz"), weights, st.booleans()))
)
def test_a_table_comes_back_as_it_went(rows: dict[str, tuple[int, str, float, bool]]) -> None:
    there = [(name, "127.0.0.1", *row) for name, row in rows.items()]
    back = tables.lines(decode(encode(tables.assignment("t", there)), forms.ClusterLoadAssignment))
    assert sorted(row[:4] + row[5:] for row in back) == sorted(row[:4] + row[5:] for row in there)
    for row in back:
        assert abs(row[4] - rows[row[0]][2]) <= 0.5 / tables.SCALE + 1e-9


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.sampled_from(["rps", "ratio", "none"]), st.floats(0, 1e5, allow_nan=False), st.integers(0, 3))
def test_levels_and_tries_come_back_as_they_went(admit: str, value: float, tries: int) -> None:
    row = tables.route("r", "/r", "c", 1, tables.retry(tries, 100), tables.level(admit, value, 1))
    back = decode(encode(row), forms.Route)
    share, rate = tables.level_of(back.typed_per_filter_config)
    assert tables.tries_of(back.route.retry_policy) == tries
    if admit == "none" or (admit == "ratio" and value >= 1) or value >= tables.UNLIMITED:
        assert (share, rate) == (1.0, math.inf)
    elif admit == "ratio" or value < tables.LEAST:
        assert abs(share - value * (admit == "ratio")) < 1e-6 and rate == math.inf
    else:
        assert share == 1.0 and abs(rate / value - 1) < 1e-3


def test_the_longest_path_is_matched_first() -> None:
    routes = [tables.route(path, path, "c", 1, tables.retry(1, 0), {}) for path in ("/a", "/a/b/c", "/a/b")]
    ordered = tables.route_set("calls", routes).virtual_hosts[0].routes
    assert [route.name for route in ordered] == ["/a/b/c", "/a/b", "/a"]


@pytest.mark.parametrize(
    ("body", "cause"),
    [
        (b"", "not a DiscoveryResponse"),
        (b"\xff\xfe\x00", "not a DiscoveryResponse"),
        (b"[" * 10_000, "not a DiscoveryResponse"),
        (b'{"type_url": "x"}', "type_url is 'x'"),
        (b'{"version_info": 3}', "Expected `str`"),
    ],
)
def test_a_malformed_response_is_rejected_with_its_cause(body: bytes, cause: str) -> None:
    with pytest.raises(MessageFormatError, match=cause):
        read_response(body, forms.ASSIGNMENT)


def test_a_malformed_resource_is_named() -> None:
    malformed = encode_response(
        "1", forms.ASSIGNMENT, "1", [b'{"@type": "%s", "endpoints": 3}' % forms.ASSIGNMENT.encode()]
    )
    with pytest.raises(MessageFormatError, match=r"resources\[0\].*endpoints"):
        tables.read_tables(malformed)
    table = json.loads(encode(tables.assignment("t0", ENTRIES)))
    table["endpoints"][0]["lb_endpoints"][0]["load_balancing_weight"] = 0
    with pytest.raises(MessageFormatError, match="'a' has no weight"):
        tables.lines(decode(json.dumps(table).encode(), forms.ClusterLoadAssignment))


def test_durations_and_load_reports() -> None:
    assert (
        format_duration(2500) == "0.25s" and format_duration(10_000) == "1s" and parse_duration("1.5s") == 1.5
    )
    for malformed in ("1", "xs", "nans", "infs"):
        with pytest.raises(MessageFormatError):
            parse_duration(malformed)
    metrics = orca.read(orca.write({"cpu_utilization": 0.5, "named_metrics.queue": 3}))
    assert orca.decision_metrics(metrics) == {"busy": 0.5, "q": 3.0}
    assert (
        orca.read(b'JSON {"cpu_utilization": 0.25, "named_metrics": {"queue": 2}}')["named_metrics.queue"]
        == 2
    )
    assert (
        orca.read(b"BIN abc") == {}
        and orca.read(b"JSON {") == {}
        and orca.read(b"TEXT a=nan,b,c=1") == {"c": 1}
    )

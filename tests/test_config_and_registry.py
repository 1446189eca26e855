"""Invalid configurations, and a service registry that sends invalid lists, stalls, goes back or stops."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import jsonschema
import msgspec
import pytest
import trio
from click.testing import CliRunner

from willowhook.cli.main import main
from willowhook.config.check import ConfigError, parse_config, schema
from willowhook.config.example import EXAMPLE
from willowhook.registry.blocking_query import BlockingQueryIndex
from willowhook.registry.client import DiscoveryClient
from willowhook.registry.endpoint import DiscoveryError
from willowhook.registry.response import parse_endpoints
from willowhook.web.wire import Call, Reply, RequestHandler, serve_connection

EXAMPLE_DOCUMENT = json.loads(msgspec.json.encode(EXAMPLE))


def example_with(place: str, value: Any) -> bytes:
    """Returns the example with one value replaced, or removed if it is None."""
    document = json.loads(json.dumps(EXAMPLE_DOCUMENT))
    if place.startswith("front."):
        document["front"] = {"listen": "10.0.0.1:80"}
    *path, last = [int(part) if part.isdigit() else part for part in place.split(".")]
    inner = document
    for part in path:
        inner = inner[part]
    if value is None:
        del inner[last]
    else:
        inner[last] = value
    return json.dumps(document).encode()


def test_example_passes_validation_and_schema() -> None:
    assert parse_config(json.dumps(EXAMPLE_DOCUMENT).encode()) == EXAMPLE
    jsonschema.validate(EXAMPLE_DOCUMENT, schema())
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(json.loads(example_with("channel.lines_per_s", 0)), schema())


@pytest.mark.parametrize(
    ("place", "value", "expected"),
    [
        ("front.listen", "10.0.0.1:80", ("$.front.credentials", "missing")),
        ("front.identity", "none", ("$.front.identity", "is allowed on loopback only")),
        ("front.idle_ms", 5, ("$.front.idle_ms", "below two report intervals")),
        (
            "front.connections_most",
            5,
            ("$.front.connections_most", "open four connections each, more than 5"),
        ),
        ("chanel", {}, ("$.chanel", "is 'channel' meant?")),
        ("rules.drain_grace", 3, ("$.rules.drain_grace", "is 'drain_grace_ms' meant?")),
        ("routes.1.slo_ms", 3, ("$.routes[1].slo_ms", "'slo_time_ms'")),
        ("rules.bare_ms", None, ("$.rules.bare_ms", "missing")),
        ("channel.lines_per_s", "x", ("$.channel.lines_per_s", "Expected `float`")),
        ("fleet.pick", "best", ("$.fleet.pick", "best")),
        ("zone", "west", ("$.zone", "not among the zones north, south")),
        ("rank", 2, ("$.rank", "2 of 2 controllers")),
        ("routes.1.name", "load", ("$.routes[1].name", "is used by another route")),
        ("routes.1.path", "/load-task/", ("$.routes[1].path", "already used by 'load'")),
        ("routes.0.slo_time_ms", 9000, ("$.routes[0].slo_time_ms", "above the time limit, 4000")),
        ("routes.1.window_ms", 0, ("$.routes[1].semantics", "needs its group and its window_ms")),
        ("routes.2.window_ms", 9, ("$.routes[2].group", "only a keyed route")),
        ("rules.drain_grace_ms", 200, ("$.rules.drain_grace_ms", "64 entries at 1600 per second")),
        ("channel.most_waiting_lines", 60, ("$.channel.most_waiting_lines", "8 proxies x 8 entries = 64")),
        ("channel.late_most_ms", 1, ("$.channel.late_most_ms", "below the mean")),
        (
            "files.proxy_lost_after_ms",
            700,
            ("$.files.proxy_lost_after_ms", "below two report intervals of 500"),
        ),
    ],
)
def test_parse_config_reports_each_error_with_place_and_cause(
    place: str, value: Any, expected: tuple[str, str]
) -> None:
    with pytest.raises(ConfigError) as caught:
        parse_config(example_with(place, value))
    assert any(
        found == expected[0] and expected[1] in cause for found, cause in caught.value.errors
    ), caught.value.errors


@pytest.mark.parametrize("data", [b"", b"{", b"\xff", b'{"name": 1, "name": 2}', b"[" * 100_000, b"3"])
def test_parse_config_rejects_malformed_documents(data: bytes) -> None:
    with pytest.raises(ConfigError, match=r"\$"):
        parse_config(data)


def test_config_check_command_prints_file_place_and_cause(tmp_path: Any) -> None:
    runner, path = CliRunner(mix_stderr=False), tmp_path / "d.json"
    path.write_bytes(example_with("rules.bare", 1))
    result = runner.invoke(main, ["config", "check", str(path)])
    assert (
        result.exit_code == 2 and f"{path}: $.rules.bare: unknown key; is 'bare_ms' meant?" in result.stderr
    )
    assert runner.invoke(main, ["config", "check", str(tmp_path / "none")]).exit_code == 2
    example = runner.invoke(main, ["config", "example"])
    path.write_text(example.stdout)
    assert runner.invoke(main, ["config", "check", str(path)]).exit_code == 0
    assert json.loads(runner.invoke(main, ["config", "schema"]).stdout)["$defs"]
    assert runner.invoke(main, ["tables", "show", str(tmp_path / "none")]).exit_code == 2


def entry(**service: Any) -> dict[str, Any]:
    meta = {"started": "3.5", "kind": "wide"}
    base = {"ID": "a", "Address": "127.0.0.1", "Port": 80, "Meta": meta}
    return {"Node": {"Datacenter": "north"}, "Service": {**base, **service}, "Checks": []}


def test_parse_endpoints_reads_entries() -> None:
    draining = {**entry(ID="b"), "Checks": [{"CheckID": "_service_maintenance:b", "Status": "critical"}]}
    failing = {**entry(ID="c"), "Checks": [{"CheckID": "http", "Status": "critical"}]}
    endpoints = parse_endpoints(json.dumps([entry(), draining, failing]).encode())
    properties = [
        (endpoint.id, endpoint.draining, endpoint.started, endpoint.zone, endpoint.endpoint_class)
        for endpoint in endpoints
    ]
    assert properties == [(name, name == "b", 3.5, "north", "wide") for name in "abc"]


@pytest.mark.parametrize(
    ("response", "cause"),
    [
        ([entry(Port=0)], r"\[0\].Service.Port of a is 0"),
        ([entry(), entry()], r"\[1\].Service.ID a is listed twice"),
        ([entry(ID="")], "is not a valid endpoint name"),
        ([entry(ID="x\n")], "is not a valid endpoint name"),
        ([entry(Address="")], "is empty, and so is its node's"),
        ([entry(Meta={"started": "soon"})], "Meta.started of a is not a number"),
        ([entry(Meta={"started": "-1"})], "Meta.started of a is -1"),
        ({"a": 1}, "not a list of entries"),
        ([{}], "not a list of entries"),
    ],
)
def test_parse_endpoints_rejects_invalid_lists(response: Any, cause: str) -> None:
    with pytest.raises(DiscoveryError, match=cause):
        parse_endpoints(json.dumps(response).encode())


def test_query_index_that_decreases_starts_again() -> None:
    query_index = BlockingQueryIndex()
    assert (
        query_index.record_index(b"7")
        and not query_index.record_index(b"7")
        and query_index.record_index(b"9")
    )
    assert query_index.record_index(b"3") and query_index.index == 0
    with pytest.raises(DiscoveryError):
        query_index.record_index(None)


@asynccontextmanager
async def serving_registry(answer: RequestHandler) -> AsyncIterator[str]:
    """Serves a service registry; returns its URL."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(partial(trio.serve_tcp, partial(serve_connection, answer=answer), 0))
        yield f"http://127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.cancel_scope.cancel()


def test_discovery_client_waits_for_changes_and_reports_every_failure() -> None:
    registry = {"index": 5, "mode": "good"}
    targets: list[bytes] = []

    async def answer(request: Call) -> Reply | None:
        targets.append(request.target)
        if registry["mode"] == "stall":
            await trio.sleep_forever()
        if registry["mode"] == "break":
            return None
        if registry["mode"] == "error":
            return Reply(500)
        headers = [(b"x-consul-index", b"%d" % registry["index"])] if registry["mode"] != "no index" else []
        body = json.dumps([entry()]).encode() if registry["mode"] == "good" else b"<html>"
        return Reply(200, headers, body)

    async def scenario() -> None:
        async with serving_registry(answer) as url:
            client = DiscoveryClient(f"{url}/x", "tasks", 0.1, 0.15)
            first = await client.fetch(True)
            assert first is not None and first[0].id == "a" and targets[0] == b"/x/v1/health/service/tasks"
            assert await client.fetch(False) is None and b"index=5&wait=0.1s" in targets[-1]
            registry["index"] = 6
            assert await client.fetch(False) is not None
            for mode, cause in (("stall", "no response"), ("break", "no response"), ("error", "status 500"),
                               ("no index", "X-Consul-Index")):  # fmt: skip
                registry["mode"] = mode
                with pytest.raises(DiscoveryError, match=cause):
                    await client.fetch(False)
            registry.update(mode="html", index=8)
            with pytest.raises(DiscoveryError, match="not a list"):
                await client.fetch(False)
            registry["mode"] = "good"
            assert await client.fetch(True) is not None
        with pytest.raises(DiscoveryError, match="no response"):
            await client.fetch(True)

    trio.run(scenario)


def test_registry_that_needs_longer_than_the_timeout_is_heard_after_a_few_requests() -> None:
    """Guards against a time limit below what the registry needs, so that no list is ever received."""
    delay_seconds = 0.45
    request_count = 0

    async def answer(_request: Call) -> Reply | None:
        nonlocal request_count
        request_count += 1
        await trio.sleep(delay_seconds)
        return Reply(200, [(b"x-consul-index", b"5")], json.dumps([entry()]).encode())

    async def scenario() -> None:
        async with serving_registry(answer) as url:
            client = DiscoveryClient(url, "tasks", 0.1, 0.15)
            for _ in range(3):
                with pytest.raises(DiscoveryError, match="no response"):
                    await client.fetch(True)
            for _ in range(3):  # the limit follows what the registry needs
                assert await client.fetch(True) is not None

    trio.run(scenario)
    assert request_count == 6

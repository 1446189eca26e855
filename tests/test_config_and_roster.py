"""Configurations with faults, and a roster that lies, stalls, goes back, or stops."""

from __future__ import annotations

import json
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
from willowhook.roster.forms import BlockingQueryIndex, DiscoveryError, parse_endpoints
from willowhook.roster.reader import DiscoveryClient
from willowhook.web.wire import Call, Reply, serve_connection

GOOD = json.loads(msgspec.json.encode(EXAMPLE))


def changed(place: str, value: Any) -> bytes:
    """The example with one value put in, or taken out where it is None."""
    top = json.loads(json.dumps(GOOD))
    if place.startswith("front."):
        top["front"] = {"listen": "10.0.0.1:80"}
    *path, last = [int(part) if part.isdigit() else part for part in place.split(".")]
    inner = top
    for part in path:
        inner = inner[part]
    if value is None:
        del inner[last]
    else:
        inner[last] = value
    return json.dumps(top).encode()


def test_the_example_is_good_by_the_check_and_by_the_schema() -> None:
    assert parse_config(json.dumps(GOOD).encode()) == EXAMPLE
    jsonschema.validate(GOOD, schema())
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(json.loads(changed("channel.lines_per_s", 0)), schema())


@pytest.mark.parametrize(
    ("place", "value", "told"),
    [
        ("front.listen", "10.0.0.1:80", ("$.front.credentials", "missing")),
        ("front.identity", "none", ("$.front.identity", "is for loopback alone")),
        ("front.idle_ms", 5, ("$.front.idle_ms", "under two reports")),
        ("front.connections_most", 5, ("$.front.connections_most", "make four each, more than 5")),
        ("chanel", {}, ("$.chanel", "is 'channel' meant?")),
        ("rules.drain_grace", 3, ("$.rules.drain_grace", "is 'drain_grace_ms' meant?")),
        ("routes.1.slo_ms", 3, ("$.routes[1].slo_ms", "'slo_time_ms'")),
        ("rules.bare_ms", None, ("$.rules.bare_ms", "missing")),
        ("channel.lines_per_s", "x", ("$.channel.lines_per_s", "Expected `float`")),
        ("fleet.pick", "best", ("$.fleet.pick", "best")),
        ("zone", "west", ("$.zone", "not among the zones north, south")),
        ("rank", 2, ("$.rank", "2 of 2 directors")),
        ("routes.1.name", "load", ("$.routes[1].name", "stands twice")),
        ("routes.1.path", "/load-task/", ("$.routes[1].path", "that of 'load' too")),
        ("routes.0.slo_time_ms", 9000, ("$.routes[0].slo_time_ms", "over the time limit, 4000")),
        ("routes.1.window_ms", 0, ("$.routes[1].semantics", "needs its group and its window_ms")),
        ("routes.2.window_ms", 9, ("$.routes[2].group", "only a keyed route")),
        ("rules.drain_grace_ms", 200, ("$.rules.drain_grace_ms", "64 lines at 1600 a second")),
        ("channel.most_waiting_lines", 60, ("$.channel.most_waiting_lines", "8 proxies x 8 lines = 64")),
        ("channel.late_most_ms", 1, ("$.channel.late_most_ms", "under the mean")),
        ("files.proxy_lost_after_ms", 700, ("$.files.proxy_lost_after_ms", "under two reports of 500")),
    ],
)
def test_each_fault_is_told_with_its_place_and_cause(place: str, value: Any, told: tuple[str, str]) -> None:
    with pytest.raises(ConfigError) as caught:
        parse_config(changed(place, value))
    assert any(at == told[0] and told[1] in cause for at, cause in caught.value.errors), caught.value.errors


@pytest.mark.parametrize("data", [b"", b"{", b"\xff", b'{"name": 1, "name": 2}', b"[" * 100_000, b"3"])
def test_what_is_no_configuration_is_told(data: bytes) -> None:
    with pytest.raises(ConfigError, match=r"\$"):
        parse_config(data)


def test_the_command_names_file_place_and_cause(tmp_path: Any) -> None:
    run, path = CliRunner(mix_stderr=False), tmp_path / "d.json"
    path.write_bytes(changed("rules.bare", 1))
    got = run.invoke(main, ["config", "check", str(path)])
    assert got.exit_code == 2 and f"{path}: $.rules.bare: unknown key; is 'bare_ms' meant?" in got.stderr
    assert run.invoke(main, ["config", "check", str(tmp_path / "none")]).exit_code == 2
    example = run.invoke(main, ["config", "example"])
    path.write_text(example.stdout)
    assert run.invoke(main, ["config", "check", str(path)]).exit_code == 0
    assert json.loads(run.invoke(main, ["config", "schema"]).stdout)["$defs"]
    assert run.invoke(main, ["tables", "show", str(tmp_path / "none")]).exit_code == 2


def entry(**service: Any) -> dict[str, Any]:
    meta = {"started": "3.5", "kind": "wide"}
    base = {"ID": "a", "Address": "127.0.0.1", "Port": 80, "Meta": meta}
    return {"Node": {"Datacenter": "north"}, "Service": {**base, **service}, "Checks": []}


def test_entries_become_hosts() -> None:
    draining = {**entry(ID="b"), "Checks": [{"CheckID": "_service_maintenance:b", "Status": "critical"}]}
    sick = {**entry(ID="c"), "Checks": [{"CheckID": "http", "Status": "critical"}]}
    hosts = parse_endpoints(json.dumps([entry(), draining, sick]).encode())
    shown = [(h.id, h.draining, h.started, h.zone, h.endpoint_class) for h in hosts]
    assert shown == [(name, name == "b", 3.5, "north", "wide") for name in "abc"]


@pytest.mark.parametrize(
    ("rows", "cause"),
    [
        ([entry(Port=0)], r"\[0\].Service.Port of a is 0"),
        ([entry(), entry()], r"\[1\].Service.ID a is listed twice"),
        ([entry(ID="")], "no name of a host"),
        ([entry(ID="x\n")], "no name of a host"),
        ([entry(Address="")], "is empty, and so is its node's"),
        ([entry(Meta={"started": "soon"})], "Meta.started of a is no number"),
        ([entry(Meta={"started": "-1"})], "Meta.started of a is -1"),
        ({"a": 1}, "not a list of entries"),
        ([{}], "not a list of entries"),
    ],
)
def test_a_list_that_lies_is_refused_whole(rows: Any, cause: str) -> None:
    with pytest.raises(DiscoveryError, match=cause):
        parse_endpoints(json.dumps(rows).encode())


def test_an_index_that_goes_back_starts_again() -> None:
    cursor = BlockingQueryIndex()
    assert cursor.record_index(b"7") and not cursor.record_index(b"7") and cursor.record_index(b"9")
    assert cursor.record_index(b"3") and cursor.index == 0
    with pytest.raises(DiscoveryError):
        cursor.record_index(None)


def test_the_reader_waits_for_news_and_tells_of_every_failure() -> None:
    bodies = {"index": 5, "how": "good"}
    asked: list[bytes] = []

    async def answer(call: Call) -> Reply | None:
        asked.append(call.target)
        if bodies["how"] == "stall":
            await trio.sleep_forever()
        if bodies["how"] == "break":
            return None
        if bodies["how"] == "error":
            return Reply(500)
        head = [(b"x-consul-index", b"%d" % bodies["index"])] if bodies["how"] != "bare" else []
        body = json.dumps([entry()]).encode() if bodies["how"] == "good" else b"<html>"
        return Reply(200, head, body)

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(trio.serve_tcp, partial(serve_connection, answer=answer), 0)
            )
            port = listeners[0].socket.getsockname()[1]
            roster = DiscoveryClient(f"http://127.0.0.1:{port}/x", "tasks", 0.1, 0.15)
            first = await roster.fetch(True)
            assert first is not None and first[0].id == "a" and asked[0] == b"/x/v1/health/service/tasks"
            assert await roster.fetch(False) is None and b"index=5&wait=0.1s" in asked[-1]
            bodies["index"] = 6
            assert await roster.fetch(False) is not None
            for how, cause in (("stall", "no answer"), ("break", "no answer"), ("error", "status 500"),
                               ("bare", "X-Consul-Index")):  # fmt: skip
                bodies["how"] = how
                with pytest.raises(DiscoveryError, match=cause):
                    await roster.fetch(False)
            bodies.update(how="html", index=8)
            with pytest.raises(DiscoveryError, match="not a list"):
                await roster.fetch(False)
            bodies["how"] = "good"
            assert await roster.fetch(True) is not None
            nursery.cancel_scope.cancel()
        with pytest.raises(DiscoveryError, match="no answer"):
            await roster.fetch(True)

    trio.run(play)

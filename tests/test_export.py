"""Export of tables as nginx blocks: importing them again gives the same hosts, shares, paths and answers."""

from __future__ import annotations

import math
from functools import reduce
from pathlib import Path
from typing import Any

import pytest
import structlog
import trio
from click.testing import CliRunner
from hypothesis import assume, given, seed, settings
from hypothesis import strategies as st

from willowhook.cli.main import main
from willowhook.files.swap import FileGroupWriter, read_group
from willowhook.nginx.export import LOCATIONS, UPSTREAMS, anchored_regex, export
from willowhook.nginx.follow import Follower
from willowhook.nginx.plan import ImportOptions, ImportPlan
from willowhook.nginx.result import controller_config, table_files
from willowhook.nginx.setup import NginxConfig
from willowhook.nginx.syntax import parse
from willowhook.xds import forms, tables
from willowhook.xds.codec import MessageFormatError, encode, encode_response

# Keeps the examples of 811251d: a derandomized test would otherwise derive its seed from its source.
REIMPORT_SEED = int(
    "574650642517425715588445413875885451938526306764364478292"
    "1070708814475622877439357057205494397719760172931381329604"
)

Route = tuple[str, str, str, int, float, str]  # match, path, table or status, ms, level, rewrite
PATHS = ["/", "/a", "/ab", "/a/b", "/a/b/", "/x.gif", "/load-task"]


def table_group(
    endpoints_by_table: dict[str, dict[str, tuple[int, bool, int]]],
    picks_by_table: dict[str, str],
    routes: list[Route],
) -> dict[str, bytes]:
    """A proxy's table files: weight, draining, tier of endpoints and the pick by table; routes in order."""
    eds, cds, rds = [], [], []
    for name, endpoints in endpoints_by_table.items():
        entries = [
            (endpoint, endpoint, 80, "z", weight / tables.SCALE, draining)
            for endpoint, (weight, draining, _) in endpoints.items()
        ]
        tiers = {endpoint: tier for endpoint, (_, _, tier) in endpoints.items() if tier}
        eds.append(encode(tables.assignment(name, entries, tiers)))
        pick, _, hash_by = picks_by_table[name].partition(" ")
        cds.append(encode(tables.cluster(f"r@{name}", name, "", pick, 3000, 0)))
    for match, path, target, ms, level, rewrite in routes:
        match_message = tables.match(match, path)
        if target.isdigit():
            rds.append(tables.direct_response_route(match_message, int(target)))
            continue
        hash_by = picks_by_table[target].partition(" ")[2]
        filters = tables.level("rps", level, 1)
        rds.append(
            tables.route(
                "r", match_message, f"r@{target}", ms * 10, tables.retry(0, 0), filters, rewrite, hash_by
            )
        )
    configuration = encode(tables.route_configuration("calls", rds))
    bodies = {"eds": eds, "cds": cds, "rds": [configuration]}
    return {
        f"{kind}.json": encode_response("1.1.1", forms.TYPE_URLS[kind], "1.1.1", messages)
        for kind, messages in bodies.items()
    }


def reimport(files: dict[str, bytes]) -> dict[str, bytes]:
    """Exports the files and imports the blocks again; empty if no route is left."""
    exported = export(files)
    text = exported.files[UPSTREAMS].decode() + "server {" + exported.files[LOCATIONS].decode() + "}"
    plan = ImportPlan(NginxConfig(parse(text)), ImportOptions())
    if not plan.routes:
        return {}
    return table_files(plan, controller_config(plan, 8, "run/d", "http://127.0.0.1:1"))


def request_outcome(files: dict[str, bytes], path: str) -> Any:
    """Everything that decides how a request for this path is served."""
    assignments = {message.cluster_name: message for message in tables.read_tables(files["eds.json"])[1]}
    clusters = {message.name: message for message in tables.read_clusters(files["cds.json"])[1]}
    routes = tables.read_routes(files["rds.json"])[1][0].virtual_hosts[0].routes
    route = tables.first_match(routes, path)
    if route is None:
        return None
    if route.direct_response is not None:
        return route.direct_response.status
    cluster = clusters[route.route.cluster]
    table = assignments[cluster.eds_cluster_config.service_name]
    tiers = tables.priorities(table)
    weights = {entry[0]: round(entry[4] * tables.SCALE) for entry in tables.lines(table)}
    divisor = reduce(math.gcd, weights.values())
    endpoints = {
        entry[1]: (weights[entry[0]] // divisor, entry[5], tiers[entry[0]]) for entry in tables.lines(table)
    }  # fmt: skip
    requests_per_s = round(tables.level_of(route.typed_per_filter_config)[1], 6)
    return (
        endpoints,
        cluster.lb_policy,
        route.route.hash_policy,
        route.route.timeout,
        requests_per_s,
        tables.upstream_path(route, path),
    )


hosts = st.dictionaries(
    st.sampled_from(["h1", "h2", "h3", "h4"]), st.integers(1, 1_000_000), min_size=1, max_size=4
)
RINGS = ["ring source_ip", "ring header:x-user", "ring header::path", "ring query:q", "ring cookie:c"]
picks = st.sampled_from(["wheel", "pair", "lottery", *RINGS])
matches = st.one_of(
    st.tuples(st.sampled_from(["exact", "prefix", "below"]), st.sampled_from(PATHS)),
    st.tuples(st.just("regex"), st.sampled_from(["(?s).*(?:\\.gif$).*", "(?s)/a.*", "(?si).*(?:B).*"])),
)


@seed(REIMPORT_SEED)
@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(st.tuples(hosts, picks), min_size=1, max_size=3),
    st.lists(
        st.tuples(matches, st.integers(0, 4), st.sampled_from([math.inf, 2.0, 40.0])), min_size=1, max_size=6
    ),
    st.sets(st.sampled_from(["h1", "h2"])),
    st.sets(st.sampled_from(["h3", "h4"])),
)  # fmt: skip
def test_import_of_an_export_is_what_was_exported(
    rows: list[tuple[dict[str, int], str]], ways: list[tuple[tuple[str, str], int, float]],
    out: set[str], later: set[str],
) -> None:  # fmt: skip
    made, how, routes = {}, {}, list[Route]()
    for k, (weights, pick) in enumerate(rows):
        tiers = pick in ("wheel",) and any(host not in later for host in weights)
        made[f"t{k}"] = {
            h: (w, h in out, int(tiers and h in later)) for h, w in weights.items()
        }  # fmt: skip
        how[f"t{k}"] = pick
    if any(tier for rows_ in made.values() for _, _, tier in rows_.values()):  # one rank a host, everywhere
        for rows_ in made.values():
            keep = {h: (w, o, int(h in later)) for h, (w, o, _) in rows_.items()}
            rows_.clear()
            rows_.update(keep)
            if all(tier for _, _, tier in rows_.values()):
                rows_["h0"] = (1, False, 0)
        how = dict.fromkeys(how, "wheel")
    for (match, path), to, level in ways:
        target = f"t{to}" if f"t{to}" in made else "403"
        routes.append((match, path, target, 1500, level if target != "403" else math.inf, ""))
    routes.append(("prefix", "/zz/", "t0", 900, math.inf, "/y/"))
    files = table_group(made, how, routes)
    back = reimport(files)
    assume(back)
    for path in [*PATHS, "/b", "/a/c", "/B", "/q.gif", "/a/q.gif", "/abc", "/zz/1", "/load-task/1"]:
        assert request_outcome(back, path) == request_outcome(files, path), (
            path,
            export(files).files[LOCATIONS].decode(),
        )


def test_remarks_name_what_blocks_cannot_express() -> None:
    def remarks(pick: str, rows: dict[str, tuple[int, bool, int]], tries: int = 0) -> str:
        files = table_group({"t": rows}, {"t": pick}, [("below", "/", "t", 1000, math.inf, "")])
        if tries:
            row = tables.route("r", tables.match("below", "/"), "r@t", 1000, tables.retry(tries, 100), {})
            sets = encode(tables.route_configuration("calls", [row]))
            files["rds.json"] = encode_response("1.1.1", forms.ROUTES, "1.1.1", [sets])
        return " ".join(export(files).remarks)

    assert remarks("wheel", {"a": (1, False, 0)}) == ""
    assert "backup servers exclude random and hash balancing" in remarks(
        "lottery", {"a": (1, False, 0), "b": (1, False, 1)}
    )
    assert "a single backup tier" in remarks(
        "wheel", {"a": (1, False, 0), "b": (1, False, 1), "c": (1, False, 2)}
    )
    assert "is empty" in remarks("wheel", {})
    assert "after proof" in remarks("wheel", {"a": (1, False, 0)}, 1)
    with pytest.raises(MessageFormatError, match="eds.json is missing"):
        export({"cds.json": b"", "rds.json": b""})
    assert anchored_regex("(?s)a|b") == "(?s)^(?:a|b)$"


def test_follower_exports_changes_and_keeps_files_after_an_invalid_group(tmp_path: Path) -> None:
    def files(weight: int) -> dict[str, bytes]:
        rows = {"a": (weight, False, 0), "b": (10, False, 0)}
        return table_group({"t": rows}, {"t": "wheel"}, [("below", "/", "t", 1000, math.inf, "")])

    group_of, out = FileGroupWriter(str(tmp_path / "p1")), tmp_path / "out"
    group_of.put(files(10))
    follower = Follower(str(tmp_path / "p1"), FileGroupWriter(str(out)), structlog.get_logger())

    def text() -> str:
        try:
            return read_group(str(out))[1][UPSTREAMS].decode()
        except OSError:
            return ""

    async def until(what: str) -> None:
        with trio.fail_after(8):
            while what not in text():
                await trio.sleep(0.01)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await until("server a:80 weight=1;")
            group_of.put(files(30))
            await until("server a:80 weight=3;")
            group_of.put({**files(50), "eds.json": b"{"})
            await trio.sleep(0.2)
            assert "weight=3" in text()
            group_of.put(files(70))
            await until("server a:80 weight=7;")
            nursery.cancel_scope.cancel()

    trio.run(run)
    done = CliRunner().invoke(
        main, ["export", "nginx", str(tmp_path / "p1"), "--out", str(tmp_path / "once")]
    )
    assert done.exit_code == 0, done.output
    assert read_group(str(tmp_path / "once"))[1] == read_group(str(out))[1]
    done = CliRunner().invoke(main, ["export", "nginx", str(tmp_path / "none"), "--out", str(tmp_path / "x")])
    assert done.exit_code == 2 and "No such file" in done.output

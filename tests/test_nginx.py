"""The configuration language, and which location a URI falls to, beside a brute-force reading."""

from __future__ import annotations

import json
import re
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.cli.main import main
from willowhook.config.check import parse_config
from willowhook.files.swap import read_group
from willowhook.nginx.after import left_after
from willowhook.nginx.locations import Location, LocationMatcher, read_locations
from willowhook.nginx.syntax import ConfigSyntaxError, Directive, Loader, parse, text_of
from willowhook.nginx.upstreams import Retry, Upstream, passed_to, retry_of, upstream_of
from willowhook.nginx.verdicts import CARRIED, DIFFERS, NOT_CARRIED, REFUSED
from willowhook.roster.forms import parse_endpoints
from willowhook.trial import nginx_check
from willowhook.trial.corpus import Sample, load_samples, verdict_errors
from willowhook.xds import tables

GOOD = """
# a comment; with { marks }
upstream tasks {   server 10.0.0.1:80 weight=3;server "10.0.0.2:80" backup; }
server { location ~* \\.(gif|jpg)$ { proxy_pass http://tasks; }
  set $x "${y};{a}" ; log_format main '$host "$request" it''s'
;
}
"""


def shown(rows: list[Directive]) -> list[object]:
    return [
        [row.name, *(w.text for w in row.args), shown(row.block)] if row.block is not None
        else [row.name, *(w.text for w in row.args)]
        for row in rows
    ]  # fmt: skip


def test_words_quotes_escapes_variables_comments_and_places() -> None:
    rows = parse(GOOD.replace("it''s", "it\\'s"), "a.conf")
    assert shown(rows) == [
        ["upstream", "tasks", [["server", "10.0.0.1:80", "weight=3"], ["server", "10.0.0.2:80", "backup"]]],
        ["server", [["location", "~*", "\\.(gif|jpg)$", [["proxy_pass", "http://tasks"]]],
                    ["set", "$x", "${y};{a}"], ["log_format", "main", '$host "$request" it\'s']]],
    ]  # fmt: skip
    place = rows[0].block[1].args[0].position  # type: ignore[index]
    assert str(place) == "a.conf:3:55" and rows[0].block[1].args[0].quoted  # type: ignore[index]
    assert shown(parse("a b#c ${d}e \\;f;")) == [["a", "b#c", "${d}e", "\\;f"]]


@pytest.mark.parametrize(
    ("text", "place", "cause"),
    [("a {\n b;\n", "x:3:1", "within a block that begins in line 1"), ("a b", "x:1:4", "';' is missing"),
     ("a }", "x:1:3", "is ';' missing?"), ("a;\n {", "x:2:2", "without a directive's name"),
     ("a; ;", "x:1:4", "';'"),
     ("a 'b", "x:1:3", "a quote that does not end"), ('a "b"c;', "x:1:3", "no space after one that does"),
     ("a {" * 200 + "}" * 200, "x:1:1", "blocks 200 deep, 100 are read")],
)  # fmt: skip
def test_errors_name_place_and_cause(text: str, place: str, cause: str) -> None:
    with pytest.raises(ConfigSyntaxError) as caught:
        parse(text, "x")
    assert str(caught.value).startswith(f"{place}: ") and cause in str(caught.value)


def test_includes_are_read_in_place_and_cycles_and_bad_bytes_are_told(tmp_path: Path) -> None:
    (tmp_path / "d").mkdir()
    (tmp_path / "main").write_bytes(b"\xef\xbb\xbfa;\nhttp { include d/*.conf; }\nz;")
    (tmp_path / "d" / "2.conf").write_text("two;")
    (tmp_path / "d" / "1.conf").write_text("one;\ninclude ../tail;")
    (tmp_path / "tail").write_text("tail;")
    rows = Loader().load(str(tmp_path / "main"))
    assert [row.name for row in rows[1].block or []] == ["include", "one", "include", "tail", "two"]
    assert (rows[1].block or [])[3].position.file.endswith("tail")
    (tmp_path / "tail").write_text("include main;")
    with pytest.raises(ConfigSyntaxError, match="it includes itself: .*main -> .*1.conf -> .*tail -> .*main"):
        Loader().load(str(tmp_path / "main"))
    (tmp_path / "tail").unlink()
    with pytest.raises(ConfigSyntaxError, match=r"1.conf:2:1: .*tail: No such file"):
        Loader().load(str(tmp_path / "main"))
    with pytest.raises(ConfigSyntaxError, match="x:2:3: no UTF-8: byte 0xff"):
        text_of(b"a;\nb \xff;", "x")


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    st.lists(
        st.sampled_from(["a", " ", ";", "{", "}", '"', "'", "\\", "#", "\n", "${", "$", "location /x"]),
        max_size=30,
    )
)
def test_no_text_breaks_the_reader(parts: list[str]) -> None:
    try:
        rows = parse("".join(parts))
    except ConfigSyntaxError as fault:
        assert fault.position.line >= 1 and fault.position.column >= 1
    else:
        assert all(row.name for top in rows for row in top.walk())


# Locations.


def matcher(text: str) -> tuple[LocationMatcher, list[Location]]:
    rows = read_locations(parse(text))
    return LocationMatcher(rows), rows


def test_the_published_example() -> None:
    found, _ = matcher(
        "location = / { A; } location / { B; } location /documents/ { C; } location ^~ /images/ { D; }"
        r" location ~* \.(gif|jpg|jpeg)$ { E; } location @down { F; }"
    )
    wanted = {"/": "A", "/index.html": "B", "/documents/document.html": "C", "/images/1.gif": "D",
              "/documents/1.jpg": "E"}  # fmt: skip
    for uri, name in wanted.items():
        got = found.find(uri)
        assert got is not None and (got.directive.block or [])[0].name == name, uri
    named = found.named("@down")
    assert named is not None and found.find("nothing") is None


def test_the_matcher_beside_a_brute_force_reading() -> None:
    assert nginx_check.check_matcher(20_000) == (20_000, [])


def test_a_list_that_says_other_than_the_search_is_told_of() -> None:
    made = nginx_check.check_lists(10_000)
    assert made.uris == 10_000 and made.differ > 0 and not made.unreported


@pytest.mark.parametrize(
    ("text", "cause"),
    [("location /a {} location ^~ /a {}", "stands twice, first at"), ("location ~ ( {}", "no regular"),
     ("location = /a { location /a {} }", "which is exact"), ("location /a { location /b {} }", "is outside"),
     ("location /a { location @b {} }", "in the server alone"), ("location a b c {}", "here are 3 words")],
)  # fmt: skip
def test_locations_that_cannot_be_are_told(text: str, cause: str) -> None:
    with pytest.raises(ConfigSyntaxError, match=re.escape(cause)):
        matcher(text)


# Upstreams.


def upstream(text: str) -> Upstream:
    return upstream_of(parse(f"upstream u {{ {text} }}")[0])


def test_servers_and_their_parameters() -> None:
    got = upstream(
        "server a weight=3 max_fails=0 fail_timeout=1m30s; server [::1]:81 max_conns=7 slow_start=500ms;"
        " server b:82 backup; server c down; least_conn; keepalive 16; zone z 64k;"
    )
    rows = [(s.address, s.port, s.weight, s.max_fails, s.fail_timeout_ms) for s in got.servers]
    assert rows[:2] == [("a", 80, 3, 0, 90_000), ("[::1]", 81, 1, 1, 10_000)]
    assert got.servers[1].max_conns == 7 and got.servers[1].slow_start_ms == 500
    assert got.shares() == {"a:80": 0.75, "[::1]:81": 0.25} and got.pick == "pair"
    assert [s.address for s in got.backups()] == ["b"]
    assert upstream("server b backup; server c down;").shares() == {"b:80": 1.0}
    ring = upstream("hash $request_uri consistent; server a; server b;")
    assert (ring.pick, ring.key, ring.ring) == ("hash", "$request_uri", True)
    assert upstream("random two least_conn; server a;").pick == "pair"


@pytest.mark.parametrize(
    ("text", "cause"),
    [("", "has no server"), ("server;", "without an address"), ("server a weight=0;", "whole number of 1"),
     ("server a fail_timeout=3x;", "no time"), ("server a fast;", "no parameter"),
     ("server a x=1;", "no parameter"), ("hash; server a;", "without a key"),
     ("server unix:/s;", "no host of a fleet"), ("server a:99999;", "no address"),
     ("ip_hash; server a; server b backup;", "a backup server goes with no ip_hash")],
)  # fmt: skip
def test_upstreams_that_cannot_be_are_told(text: str, cause: str) -> None:
    with pytest.raises(ConfigSyntaxError, match=cause):
        upstream(text)


def test_what_is_tried_again_is_inherited_and_said_by_condition() -> None:
    outer = retry_of(parse("proxy_next_upstream error http_503; proxy_next_upstream_tries 3;"), Retry())
    inner = retry_of(parse("proxy_next_upstream_timeout 5s;"), outer)
    assert (inner.conditions, inner.tries, inner.timeout_ms) == (("error", "http_503"), 3, 5000)
    assert inner.may_run_twice() == ("error", "http_503")
    off = retry_of(parse("proxy_next_upstream off;"), outer)
    assert off.off and off.may_run_twice() == ()
    assert retry_of(parse("proxy_next_upstream error non_idempotent;"), outer).non_idempotent
    with pytest.raises(ConfigSyntaxError, match="'http_999' is no condition"):
        retry_of(parse("proxy_next_upstream http_999;"), outer)
    assert passed_to(parse("proxy_pass http://tasks/new/;")[0]) == ("tasks", "/new/")
    assert passed_to(parse("proxy_pass https://tasks;")[0]) == ("tasks", "")
    with pytest.raises(ConfigSyntaxError, match="neither http"):
        passed_to(parse("proxy_pass tasks;")[0])


CONF = """
http {
  proxy_next_upstream error timeout http_503;
  upstream tasks { server a weight=3; server b; server spare backup; }
  server { listen 80 default_server; server_name x.example *.example;
    location / { proxy_pass http://tasks; }
    location /submit-task { proxy_pass http://tasks/v2/submit; proxy_next_upstream_tries 2; }
    location = /ping { return 204; } }
  server { server_name y.example; location /only { proxy_pass http://10.0.0.9:81; proxy_next_upstream off; } }
}
"""


def test_a_call_is_explained_with_location_upstream_shares_and_tries(tmp_path: Path) -> None:
    path = tmp_path / "nginx.conf"
    path.write_text(CONF)

    def told(*args: str) -> str:
        return CliRunner().invoke(main, ["import", "nginx", str(path), "--explain", *args]).output

    text = told("/load-task/7")
    assert "location / " in text and "75.0% a:80" in text and "backup spare:80" in text
    assert "at most 3 tries; one more after error, timeout, http_503" in text
    text = told("/submit-task/9?x=1", "--method", "POST")
    assert "as /v2/submit/9?x=1" in text and "at most 1 tries; one more after nothing" in text
    assert "at most 2 tries" in told("/submit-task/9")
    assert "answers 204" in told("/ping")
    assert "no location fits" in told("/x", "--host", "y.example")
    assert "upstream 10.0.0.9:81" in told("/only", "--host", "y.example")
    assert "location / " in told("/q", "--host", "z.example")  # by *.example
    path.write_text(CONF.replace("weight=3", "weight=0"))
    done = CliRunner().invoke(main, ["import", "nginx", str(path), "--explain", "/"])
    assert done.exit_code == 2 and "nginx.conf:4:" in done.output


@pytest.mark.parametrize("sample", load_samples(), ids=lambda sample: sample.name)
def test_each_directive_has_its_verdict(sample: Sample) -> None:
    assert verdict_errors(sample) == []


def test_the_corpus_is_whole_and_a_wrong_mark_is_seen() -> None:
    rows = load_samples()
    assert len(rows) >= 120 and len({row.name for row in rows}) == len(rows)
    assert {mark for row in rows for mark in row.wanted} == {CARRIED, DIFFERS, NOT_CARRIED, REFUSED}
    one = rows[0]
    assert verdict_errors(replace(one, wanted=(REFUSED, *one.wanted[1:]))) and verdict_errors(
        replace(one, wanted=one.wanted[1:])
    )


def test_mutated_samples_are_read_with_a_verdict_each_or_told() -> None:
    made = nginx_check.check_mutated_samples(1500)
    assert (made.crashes, made.unaccounted) == ([], []) and 0 < made.parsed < 1500 and made.slowest_s < 2


A_CONF = """
limit_req_zone $server_name zone=all:1m rate=50r/s;
split_clients $remote_addr $variant { 10% new; * old; }
upstream old { server 127.0.0.1:9001 weight=3; server 127.0.0.1:9002; server 127.0.0.1:9003 backup; }
upstream new { hash $http_x_user consistent; server 127.0.0.1:9004; server 127.0.0.1:9005 down; }
server {
  location / { proxy_pass http://old; }
  location = /ping { return 204; }
  location ^~ /static/ { root /var/www; }
  location /api/ { proxy_pass http://new/v2/; limit_req zone=all;
    location ~ \\.json$ { proxy_pass http://old; } }
  location ~* \\.(gif|jpg)$ { proxy_pass http://new; }
  location /split { proxy_pass http://$variant; }
}
"""


def imported(tmp_path: Path, text: str, *more: str) -> tuple[Result, Path]:
    (tmp_path / "nginx.conf").write_text(text)
    out = tmp_path / "out"
    args = ["import", "nginx", str(tmp_path / "nginx.conf"), "--out", str(out), *more]
    return CliRunner().invoke(main, args), out


def test_what_is_made_passes_the_check_and_says_what_was_meant(tmp_path: Path) -> None:
    done, out = imported(tmp_path, A_CONF, "--mutating", "/submit-task", "--repeatable", "/api")
    assert done.exit_code == 0, done.output
    terms = parse_config((out / "director.json").read_bytes())
    hosts = {host.id: host for host in parse_endpoints((out / "hosts.json").read_bytes())}
    assert [hosts[f"127.0.0.1:900{k}"].weight for k in (1, 2, 4)] == [675, 225, 100]  # 9 to 1 in the split
    assert hosts["127.0.0.1:9003"].tier == 1 and hosts["127.0.0.1:9005"].draining
    assert {host.tier for host in hosts.values()} == {0, 1}
    assert terms.fleet.weights == "nominal"
    for route in terms.routes:  # the kinds of a route name its hosts, and no others
        named = {host.id[-4:] for host in hosts.values() if host.endpoint_class in route.kinds}
        assert named in ({"9001", "9002", "9003"}, {"9004", "9005"}, {"9001", "9002", "9003", "9004", "9005"})
    place, files = read_group(str(out / "tables"))
    routes = tables.read_routes(files["rds.json"])[1][0].virtual_hosts[0].routes
    clusters = {row.name: row for row in tables.read_clusters(files["cds.json"])[1]}

    def goes(path: str) -> tuple[str, str, str]:
        row = tables.first_match(routes, path)
        assert row is not None
        if row.direct_response is not None:
            return str(row.direct_response.status), "", ""
        cluster = clusters[row.route.cluster]
        return cluster.eds_cluster_config.service_name, tables.upstream_path(row, path), cluster.lb_policy

    assert goes("/x") == ("old", "/x", "ROUND_ROBIN") and goes("/ping") == ("204", "", "")
    assert goes("/static/a.gif") == ("404", "", "") and goes("/b.GIF")[0] == "new"
    assert goes("/api/a") == ("new", "/v2/a", "RING_HASH") and goes("/api/a.json")[:2] == (
        "old",
        "/api/a.json",
    )
    assert goes("/split")[0] == "new-old"
    submit = tables.first_match(routes, "/submit-task/7")
    assert submit is not None and tables.tries_of(submit.route.retry_policy) == 1
    old = next(row for row in tables.read_tables(files["eds.json"])[1] if row.cluster_name == "old")
    assert tables.priorities(old) == {"127.0.0.1:9001": 0, "127.0.0.1:9002": 0, "127.0.0.1:9003": 1}
    report = json.loads((out / "report.json").read_bytes())
    assert len(report) == len(re.findall(r"[;{]", A_CONF)) == len({row["place"] for row in report})


def test_nothing_is_written_where_no_service_comes_out(tmp_path: Path) -> None:
    for text, cause in (
        ("server { location / { return 204; } }", "no route is left"),
        ("server { location / { proxy_pass http://a; } } server { location / { proxy_pass http://b; } }",
         "name one with --host"),
        ("server { location / { proxy_pass http://a }", "nginx.conf:1:"),
        ("".join(f"upstream u{k} {{ server a{k}; }}" for k in range(65)) + "server {"
         + "".join(f"location /{k}/ {{ proxy_pass http://u{k}; }}" for k in range(65)) + "}",
         "65 routes differ"),
    ):  # fmt: skip
        done, out = imported(tmp_path, text)
        assert done.exit_code == 2 and cause in done.output and not out.exists(), done.output


T = "server { location / { proxy_pass http://t; } }"
BROKEN = [
    (T.replace("t;", "t"), "1:43: '}' without a directive or block before it ends: is ';' missing?"),
    (T[:-1] + "\n", "the file ends within a block that begins in line 1"),
    ("upstream t { server a:eighty; }" + T, "refused: 1:21: 'a:eighty' is no address"),
    (T.replace("t;", "tasks;") + "upstream task { server a; }", "is 'task' meant?"),
    ("include missing.conf;", "1:1: "),
    ("server { location ~ ^/(a|b { return 404; } }", "no regular expression"),
    ("upstream t { server a wieght=3; }" + T, "'wieght' is no parameter of server"),
    (T.replace("http", '"http'), "a quote that does not end"),
    (T + T, "name one with --host"),
    (T.replace("t;", "t; proxy_read_timeout soon;"), "1:63: 'soon' is no time"),
]


@pytest.mark.parametrize(("text", "told"), BROKEN)
def test_ten_broken_files_are_told_with_place_and_cause(tmp_path: Path, text: str, told: str) -> None:
    done, _ = imported(tmp_path, text)
    assert told in done.output, done.output
    assert "Traceback" not in done.output


def test_what_changes_for_calls_and_no_more(tmp_path: Path) -> None:
    old, new = tmp_path / "old.conf", tmp_path / "new.conf"
    base = "upstream t { server a; server b; } server { location / { proxy_pass http://t; } %s }"
    old.write_text(base % "")

    def told(text: str) -> list[str]:
        new.write_text(text)
        done = CliRunner().invoke(main, ["import", "nginx", str(new), "--diff", str(old)])
        rows = done.output.splitlines()
        assert done.exit_code == (0 if len(rows) == 1 else 1)
        return rows[:-1]

    assert (
        told("# moved\nserver { location / { proxy_pass http://t; } }\nupstream t { server b; server a; }")
        == []
    )
    assert told(base % "location /x { proxy_pass http://t; }") == []
    rows = told(base % "location /x { return 403; }")
    assert len(rows) == 1 and rows[0].startswith("/x") and "-> answered 403" in rows[0]
    rows = told((base % "").replace("server b", "server b weight=3"))
    assert "a:80 50%, b:80 50%" in rows[0] and "a:80 25%, b:80 75%" in rows[0]
    rows = told(base % "proxy_next_upstream error non_idempotent;")
    assert any("by POST" in row and "one try" in row and "2 tries" in row for row in rows)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.sampled_from(
        [*nginx_check.EXPRESSIONS, r"a{2,3}b?", r"^/(a|ab)/?b+", r"[^a/]+\\.x", "(ab|a)+1$", "^$"]
    ),
    st.lists(st.sampled_from(nginx_check.PIECES), max_size=3),
    st.lists(st.sampled_from(nginx_check.PIECES), max_size=3),
    st.booleans(),
)
def test_an_expression_is_worked_into_a_prefix_exactly(
    text: str, before: list[str], after: list[str], nocase: bool
) -> None:
    prefix, path = "".join(before), "".join([*before, *after])
    rest = left_after(text, prefix, nocase)
    assert rest is not None
    wanted = re.search(text, path, re.IGNORECASE if nocase else 0) is not None
    made = f"{re.escape(prefix)}(?{'i' if nocase else ''}:{rest or '.*'})"
    assert (re.fullmatch(made, path, re.DOTALL) is not None) is wanted

"""Parsing of nginx configurations, location matching, import, --explain and --diff."""

from __future__ import annotations

import json
import re
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from willowhook.cli.main import main
from willowhook.config.check import parse_config
from willowhook.files.swap import read_group
from willowhook.nginx.after import left_after
from willowhook.nginx.locations import Location, LocationMatcher, read_locations
from willowhook.nginx.syntax import ConfigSyntaxError, Directive, Loader, decode_text, parse
from willowhook.nginx.upstreams import (
    RetryPolicy,
    Upstream,
    parse_proxy_pass,
    parse_retry_policy,
    parse_upstream,
)
from willowhook.nginx.verdicts import CARRIED, DIFFERS, NOT_CARRIED, REFUSED
from willowhook.registry.response import parse_endpoints
from willowhook.trial import nginx_check
from willowhook.trial.corpus import Sample, load_samples, verdict_errors
from willowhook.xds import tables

# Keeps the examples of 811251d: a derandomized test would otherwise derive its seed from its source.
ARBITRARY_TEXT_SEED = int(
    "1227542646966815678793465443089349873913831020128598012017"
    "9569091601754553695865047675257949500058564563274717043278"
)

QUOTING_EXAMPLE = """
# a comment; with { marks }
upstream tasks {   server 10.0.0.1:80 weight=3;server "10.0.0.2:80" backup; }
server { location ~* \\.(gif|jpg)$ { proxy_pass http://tasks; }
  set $x "${y};{a}" ; log_format main '$host "$request" it''s'
;
}
"""


def shown(directives: list[Directive]) -> list[object]:
    return [
        [directive.name, *(word.text for word in directive.args), shown(directive.block)]
        if directive.block is not None
        else [directive.name, *(word.text for word in directive.args)]
        for directive in directives
    ]  # fmt: skip


def test_words_quotes_escapes_variables_comments_and_positions() -> None:
    directives = parse(QUOTING_EXAMPLE.replace("it''s", "it\\'s"), "a.conf")
    assert shown(directives) == [
        ["upstream", "tasks", [["server", "10.0.0.1:80", "weight=3"], ["server", "10.0.0.2:80", "backup"]]],
        ["server", [["location", "~*", "\\.(gif|jpg)$", [["proxy_pass", "http://tasks"]]],
                    ["set", "$x", "${y};{a}"], ["log_format", "main", '$host "$request" it\'s']]],
    ]  # fmt: skip
    position = directives[0].block[1].args[0].position  # type: ignore[index]
    assert str(position) == "a.conf:3:55" and directives[0].block[1].args[0].quoted  # type: ignore[index]
    assert shown(parse("a b#c ${d}e \\;f;")) == [["a", "b#c", "${d}e", "\\;f"]]


@pytest.mark.parametrize(
    ("text", "position", "cause"),
    [("a {\n b;\n", "x:3:1", "within a block that begins in line 1"), ("a b", "x:1:4", "';' is missing"),
     ("a }", "x:1:3", "is ';' missing?"), ("a;\n {", "x:2:2", "without a directive's name"),
     ("a; ;", "x:1:4", "';'"),
     ("a 'b", "x:1:3", "an unterminated quote"), ('a "b"c;', "x:1:3", "no space after a closing quote"),
     ("a {" * 200 + "}" * 200, "x:1:1", "blocks nested 200 deep, 100 are allowed")],
)  # fmt: skip
def test_syntax_errors_name_position_and_cause(text: str, position: str, cause: str) -> None:
    with pytest.raises(ConfigSyntaxError) as caught:
        parse(text, "x")
    assert str(caught.value).startswith(f"{position}: ") and cause in str(caught.value)


def test_includes_are_expanded_and_cycles_and_invalid_utf8_are_reported(tmp_path: Path) -> None:
    (tmp_path / "d").mkdir()
    (tmp_path / "main").write_bytes(b"\xef\xbb\xbfa;\nhttp { include d/*.conf; }\nz;")
    (tmp_path / "d" / "2.conf").write_text("two;")
    (tmp_path / "d" / "1.conf").write_text("one;\ninclude ../tail;")
    (tmp_path / "tail").write_text("tail;")
    directives = Loader().load(str(tmp_path / "main"))
    assert [child.name for child in directives[1].block or []] == ["include", "one", "include", "tail", "two"]
    assert (directives[1].block or [])[3].position.file.endswith("tail")
    (tmp_path / "tail").write_text("include main;")
    with pytest.raises(ConfigSyntaxError, match="include cycle: .*main -> .*1.conf -> .*tail -> .*main"):
        Loader().load(str(tmp_path / "main"))
    (tmp_path / "tail").unlink()
    with pytest.raises(ConfigSyntaxError, match=r"1.conf:2:1: .*tail: No such file"):
        Loader().load(str(tmp_path / "main"))
    with pytest.raises(ConfigSyntaxError, match="x:2:3: invalid UTF-8: byte 0xff"):
        decode_text(b"a;\nb \xff;", "x")


@seed(ARBITRARY_TEXT_SEED)
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
    except ConfigSyntaxError as error:
        assert error.position.line >= 1 and error.position.column >= 1
    else:
        assert all(row.name for top in rows for row in top.walk())


# Locations.


def matcher(text: str) -> tuple[LocationMatcher, list[Location]]:
    locations = read_locations(parse(text))
    return LocationMatcher(locations), locations


def test_location_search_follows_the_published_example() -> None:
    locations, _ = matcher(
        "location = / { A; } location / { B; } location /documents/ { C; } location ^~ /images/ { D; }"
        r" location ~* \.(gif|jpg|jpeg)$ { E; } location @down { F; }"
    )
    expected = {"/": "A", "/index.html": "B", "/documents/document.html": "C", "/images/1.gif": "D",
              "/documents/1.jpg": "E"}  # fmt: skip
    for uri, name in expected.items():
        location = locations.find(uri)
        assert location is not None and (location.directive.block or [])[0].name == name, uri
    named = locations.named("@down")
    assert named is not None and locations.find("nothing") is None


def test_matcher_agrees_with_a_brute_force_search() -> None:
    assert nginx_check.check_matcher(20_000) == (20_000, [])


def test_differences_between_flat_list_and_search_are_reported() -> None:
    result = nginx_check.check_lists(10_000)
    assert result.uris == 10_000 and result.differ > 0 and not result.unreported


@pytest.mark.parametrize(
    ("text", "cause"),
    [("location /a {} location ^~ /a {}", "is defined twice, first at"),
     ("location ~ ( {}", "invalid regular"),
     ("location = /a { location /a {} }", "which is exact"), ("location /a { location /b {} }", "is outside"),
     ("location /a { location @b {} }", "only allowed at server level"),
     ("location a b c {}", "got 3 words")],
)  # fmt: skip
def test_invalid_locations_are_reported(text: str, cause: str) -> None:
    with pytest.raises(ConfigSyntaxError, match=re.escape(cause)):
        matcher(text)


# Upstreams.


def upstream(text: str) -> Upstream:
    return parse_upstream(parse(f"upstream u {{ {text} }}")[0])


def test_servers_and_their_parameters() -> None:
    block = upstream(
        "server a weight=3 max_fails=0 fail_timeout=1m30s; server [::1]:81 max_conns=7 slow_start=500ms;"
        " server b:82 backup; server c down; least_conn; keepalive 16; zone z 64k;"
    )
    servers = [
        (server.address, server.port, server.weight, server.max_fails, server.fail_timeout_ms)
        for server in block.servers
    ]
    assert servers[:2] == [("a", 80, 3, 0, 90_000), ("[::1]", 81, 1, 1, 10_000)]
    assert block.servers[1].max_conns == 7 and block.servers[1].slow_start_ms == 500
    assert block.shares() == {"a:80": 0.75, "[::1]:81": 0.25} and block.load_balancing == "pair"
    assert [server.address for server in block.backups()] == ["b"]
    assert upstream("server b backup; server c down;").shares() == {"b:80": 1.0}
    hashed = upstream("hash $request_uri consistent; server a; server b;")
    assert (hashed.load_balancing, hashed.hash_key, hashed.consistent_hash) == ("hash", "$request_uri", True)
    assert upstream("random two least_conn; server a;").load_balancing == "pair"


@pytest.mark.parametrize(
    ("text", "cause"),
    [("", "has no server"), ("server;", "without an address"), ("server a weight=0;", "not an integer of 1"),
     ("server a fail_timeout=3x;", "not a valid time"), ("server a fast;", "not a parameter of server"),
     ("server a x=1;", "not a parameter of server"), ("hash; server a;", "without a key"),
     ("server unix:/s;", "cannot be an endpoint of a fleet"), ("server a:99999;", "not a valid address"),
     ("ip_hash; server a; server b backup;", "backup servers cannot be combined with ip_hash")],
)  # fmt: skip
def test_invalid_upstreams_are_reported(text: str, cause: str) -> None:
    with pytest.raises(ConfigSyntaxError, match=cause):
        upstream(text)


def test_retry_policy_is_inherited_and_lists_its_conditions() -> None:
    outer = parse_retry_policy(
        parse("proxy_next_upstream error http_503; proxy_next_upstream_tries 3;"), RetryPolicy()
    )
    inner = parse_retry_policy(parse("proxy_next_upstream_timeout 5s;"), outer)
    assert (inner.conditions, inner.max_attempts, inner.timeout_ms) == (("error", "http_503"), 3, 5000)
    assert inner.retried_conditions() == ("error", "http_503")
    off = parse_retry_policy(parse("proxy_next_upstream off;"), outer)
    assert off.disabled and off.retried_conditions() == ()
    assert parse_retry_policy(parse("proxy_next_upstream error non_idempotent;"), outer).non_idempotent
    with pytest.raises(ConfigSyntaxError, match="'http_999' is not a condition"):
        parse_retry_policy(parse("proxy_next_upstream http_999;"), outer)
    assert parse_proxy_pass(parse("proxy_pass http://tasks/new/;")[0]) == ("tasks", "/new/")
    assert parse_proxy_pass(parse("proxy_pass https://tasks;")[0]) == ("tasks", "")
    with pytest.raises(ConfigSyntaxError, match="neither http"):
        parse_proxy_pass(parse("proxy_pass tasks;")[0])


EXPLAINED_CONFIGURATION = """
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


def test_explain_shows_location_upstream_shares_and_attempts(tmp_path: Path) -> None:
    path = tmp_path / "nginx.conf"
    path.write_text(EXPLAINED_CONFIGURATION)

    def explain_output(*args: str) -> str:
        return CliRunner().invoke(main, ["import", "nginx", str(path), "--explain", *args]).output

    text = explain_output("/load-task/7")
    assert "location / " in text and "75.0% a:80" in text and "backup spare:80" in text
    assert "at most 3 attempts; retry conditions: error, timeout, http_503" in text
    text = explain_output("/submit-task/9?x=1", "--method", "POST")
    assert "as /v2/submit/9?x=1" in text and "at most 1 attempts; retry conditions: none" in text
    assert "at most 2 attempts" in explain_output("/submit-task/9")
    assert "answers 204" in explain_output("/ping")
    assert "no location fits" in explain_output("/x", "--host", "y.example")
    assert "upstream 10.0.0.9:81" in explain_output("/only", "--host", "y.example")
    assert "location / " in explain_output("/q", "--host", "z.example")  # by *.example
    path.write_text(EXPLAINED_CONFIGURATION.replace("weight=3", "weight=0"))
    result = CliRunner().invoke(main, ["import", "nginx", str(path), "--explain", "/"])
    assert result.exit_code == 2 and "nginx.conf:4:" in result.output


@pytest.mark.parametrize("sample", load_samples(), ids=lambda sample: sample.name)
def test_each_directive_has_its_expected_outcome(sample: Sample) -> None:
    assert verdict_errors(sample) == []


def test_corpus_covers_all_outcomes_and_a_wrong_expectation_is_detected() -> None:
    corpus = load_samples()
    assert len(corpus) >= 120 and len({sample.name for sample in corpus}) == len(corpus)
    assert {mark for sample in corpus for mark in sample.wanted} == {CARRIED, DIFFERS, NOT_CARRIED, REFUSED}
    first = corpus[0]
    assert verdict_errors(replace(first, wanted=(REFUSED, *first.wanted[1:]))) and verdict_errors(
        replace(first, wanted=first.wanted[1:])
    )


def test_mutated_samples_are_diagnosed_or_rejected_without_a_crash() -> None:
    result = nginx_check.check_mutated_samples(1500)
    assert (
        (result.crashes, result.unaccounted) == ([], []) and 0 < result.parsed < 1500 and result.slowest_s < 2
    )


IMPORTED_CONFIGURATION = """
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


def imported(tmp_path: Path, text: str, *options: str) -> tuple[Result, Path]:
    (tmp_path / "nginx.conf").write_text(text)
    output_folder = tmp_path / "out"
    args = ["import", "nginx", str(tmp_path / "nginx.conf"), "--out", str(output_folder), *options]
    return CliRunner().invoke(main, args), output_folder


def test_import_makes_a_valid_configuration_with_the_same_routing(tmp_path: Path) -> None:
    result, output_folder = imported(
        tmp_path, IMPORTED_CONFIGURATION, "--mutating", "/submit-task", "--repeatable", "/api"
    )
    assert result.exit_code == 0, result.output
    config = parse_config((output_folder / "director.json").read_bytes())
    hosts = {host.id: host for host in parse_endpoints((output_folder / "hosts.json").read_bytes())}
    assert [hosts[f"127.0.0.1:900{n}"].weight for n in (1, 2, 4)] == [675, 225, 100]  # 90% and 10%
    assert hosts["127.0.0.1:9003"].tier == 1 and hosts["127.0.0.1:9005"].draining
    assert {host.tier for host in hosts.values()} == {0, 1}
    assert config.fleet.weights == "nominal"
    for route in config.routes:  # a route's classes select exactly its endpoints
        selected = {host.id[-4:] for host in hosts.values() if host.endpoint_class in route.kinds}
        assert selected in (
            {"9001", "9002", "9003"},
            {"9004", "9005"},
            {"9001", "9002", "9003", "9004", "9005"},
        )
    _folder, files = read_group(str(output_folder / "tables"))
    routes = tables.read_routes(files["rds.json"])[1][0].virtual_hosts[0].routes
    clusters = {message.name: message for message in tables.read_clusters(files["cds.json"])[1]}

    def routed_to(path: str) -> tuple[str, str, str]:
        matched = tables.first_match(routes, path)
        assert matched is not None
        if matched.direct_response is not None:
            return str(matched.direct_response.status), "", ""
        cluster = clusters[matched.route.cluster]
        return cluster.eds_cluster_config.service_name, tables.upstream_path(matched, path), cluster.lb_policy

    assert routed_to("/x") == ("old", "/x", "ROUND_ROBIN") and routed_to("/ping") == ("204", "", "")
    assert routed_to("/static/a.gif") == ("404", "", "") and routed_to("/b.GIF")[0] == "new"
    assert routed_to("/api/a") == ("new", "/v2/a", "RING_HASH") and routed_to("/api/a.json")[:2] == (
        "old",
        "/api/a.json",
    )
    assert routed_to("/split")[0] == "new-old"
    submit_route = tables.first_match(routes, "/submit-task/7")
    assert submit_route is not None and tables.tries_of(submit_route.route.retry_policy) == 1
    old_table = next(
        message for message in tables.read_tables(files["eds.json"])[1] if message.cluster_name == "old"
    )
    assert tables.priorities(old_table) == {"127.0.0.1:9001": 0, "127.0.0.1:9002": 0, "127.0.0.1:9003": 1}
    report = json.loads((output_folder / "report.json").read_bytes())
    assert (
        len(report)
        == len(re.findall(r"[;{]", IMPORTED_CONFIGURATION))
        == len({entry["place"] for entry in report})
    )


def test_nothing_is_written_if_no_service_can_be_made(tmp_path: Path) -> None:
    for text, cause in (
        ("server { location / { return 204; } }", "no route is left"),
        ("server { location / { proxy_pass http://a; } } server { location / { proxy_pass http://b; } }",
         "name one with --host"),
        ("server { location / { proxy_pass http://a }", "nginx.conf:1:"),
        ("".join(f"upstream u{k} {{ server a{k}; }}" for k in range(65)) + "server {"
         + "".join(f"location /{k}/ {{ proxy_pass http://u{k}; }}" for k in range(65)) + "}",
         "65 routes differ"),
    ):  # fmt: skip
        result, output_folder = imported(tmp_path, text)
        assert result.exit_code == 2 and cause in result.output and not output_folder.exists(), result.output


MINIMAL = "server { location / { proxy_pass http://t; } }"
BROKEN_CONFIGURATIONS = [
    (MINIMAL.replace("t;", "t"), "1:43: unexpected '}' before the end of a directive: is ';' missing?"),
    (MINIMAL[:-1] + "\n", "the file ends within a block that begins in line 1"),
    ("upstream t { server a:eighty; }" + MINIMAL, "refused: 1:21: 'a:eighty' is not a valid address"),
    (MINIMAL.replace("t;", "tasks;") + "upstream task { server a; }", "is 'task' meant?"),
    ("include missing.conf;", "1:1: "),
    ("server { location ~ ^/(a|b { return 404; } }", "invalid regular expression"),
    ("upstream t { server a wieght=3; }" + MINIMAL, "'wieght' is not a parameter of server"),
    (MINIMAL.replace("http", '"http'), "an unterminated quote"),
    (MINIMAL + MINIMAL, "name one with --host"),
    (MINIMAL.replace("t;", "t; proxy_read_timeout soon;"), "1:63: 'soon' is not a valid time"),
]


@pytest.mark.parametrize(("text", "message"), BROKEN_CONFIGURATIONS)
def test_broken_files_are_reported_with_position_and_cause(tmp_path: Path, text: str, message: str) -> None:
    result, _ = imported(tmp_path, text)
    assert message in result.output, result.output
    assert "Traceback" not in result.output


def test_diff_reports_only_changes_that_requests_meet(tmp_path: Path) -> None:
    old, new = tmp_path / "old.conf", tmp_path / "new.conf"
    base = "upstream t { server a; server b; } server { location / { proxy_pass http://t; } %s }"
    old.write_text(base % "")

    def diff_lines(text: str) -> list[str]:
        new.write_text(text)
        result = CliRunner().invoke(main, ["import", "nginx", str(new), "--diff", str(old)])
        lines = result.output.splitlines()
        assert result.exit_code == (0 if len(lines) == 1 else 1)
        return lines[:-1]

    assert (
        diff_lines(
            "# moved\nserver { location / { proxy_pass http://t; } }\nupstream t { server b; server a; }"
        )
        == []
    )
    assert diff_lines(base % "location /x { proxy_pass http://t; }") == []
    lines = diff_lines(base % "location /x { return 403; }")
    assert len(lines) == 1 and lines[0].startswith("/x") and "-> answered 403" in lines[0]
    lines = diff_lines((base % "").replace("server b", "server b weight=3"))
    assert "a:80 50%, b:80 50%" in lines[0] and "a:80 25%, b:80 75%" in lines[0]
    lines = diff_lines(base % "proxy_next_upstream error non_idempotent;")
    assert any("by POST" in line and "one try" in line and "2 tries" in line for line in lines)


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

"""The configuration language, and which location a URI falls to, beside a brute-force reading."""

from __future__ import annotations

import json
import random
import re
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.cli.main import main
from willowhook.nginx.locations import Location, Matcher, read_all
from willowhook.nginx.syntax import Directive, Loader, SyntaxFault, parse, text_of
from willowhook.nginx.upstreams import Retry, Upstream, passed_to, retry_of, upstream_of
from willowhook.nginx.verdicts import CARRIED, DIFFERS, LEFT, REFUSED, verdicts

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
    place = rows[0].block[1].args[0].place  # type: ignore[index]
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
    with pytest.raises(SyntaxFault) as caught:
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
    assert (rows[1].block or [])[3].place.file.endswith("tail")
    (tmp_path / "tail").write_text("include main;")
    with pytest.raises(SyntaxFault, match="it includes itself: .*main -> .*1.conf -> .*tail -> .*main"):
        Loader().load(str(tmp_path / "main"))
    (tmp_path / "tail").unlink()
    with pytest.raises(SyntaxFault, match=r"1.conf:2:1: .*tail: No such file"):
        Loader().load(str(tmp_path / "main"))
    with pytest.raises(SyntaxFault, match="x:2:3: no UTF-8: byte 0xff"):
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
    except SyntaxFault as fault:
        assert fault.place.line >= 1 and fault.place.column >= 1
    else:
        assert all(row.name for top in rows for row in top.walk())


# Locations.


def matcher(text: str) -> tuple[Matcher, list[Location]]:
    rows = read_all(parse(text))
    return Matcher(rows), rows


def brute(rows: list[Location], uri: str) -> tuple[Location | None, bool]:
    """The rules, read one by one, over all locations; and whether the search is over."""
    for row in rows:
        if row.kind == "=" and row.pattern == uri:
            return row, True
    chosen: Location | None = None
    for row in rows:
        longer = chosen is None or len(row.pattern) > len(chosen.pattern)
        if row.kind in ("", "^~") and uri.startswith(row.pattern) and longer:
            chosen = row
    remembered = chosen
    if chosen is not None:
        deeper, over = brute(chosen.inner, uri)
        if over:
            return deeper, True
        remembered = deeper or chosen
    if chosen is None or chosen.kind != "^~":
        for row in rows:
            if row.kind in ("~", "~*"):
                flags = re.IGNORECASE if row.kind == "~*" else 0
                if re.search(row.pattern, uri, flags):
                    return brute(row.inner, uri)[0] or row, True
    return remembered, False


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


PIECES = ["/", "a", "b", "ab", "/a", "/ab/", ".x", ".X", "1"]


def block(chance: random.Random, within: str, depth: int) -> str:
    rows, seen = [], set[tuple[str, str]]()
    for _ in range(chance.randint(1, 5)):
        kind = chance.choice(["=", "^~", "", "", "~", "~*"])
        if kind in ("~", "~*"):
            pattern = chance.choice([r"\.x$", "a+b", "/ab", "[b1]", "^/a", "x"])
        else:
            pattern = within + "".join(chance.choice(PIECES) for _ in range(chance.randint(0, 3)))
        key = ("p" if kind in ("", "^~") else kind, pattern)
        if key in seen or not pattern:
            continue
        seen.add(key)
        inner = ""
        if depth and kind != "=" and chance.random() < 0.4:
            inner = block(chance, pattern if kind in ("", "^~") else "", depth - 1)
        rows.append(f"location {kind} {pattern} {{ {inner} }}")
    return " ".join(rows)


def test_the_matcher_beside_a_brute_force_reading() -> None:
    chance, count = random.Random(5), 0
    for _ in range(400):
        found, rows = matcher(block(chance, "/", 2))
        for _ in range(50):
            uri = "/" + "".join(chance.choice(PIECES) for _ in range(chance.randint(0, 5)))
            assert found.find(uri) is brute(rows, uri)[0], uri
            count += 1
    assert count == 20_000


@pytest.mark.parametrize(
    ("text", "cause"),
    [("location /a {} location ^~ /a {}", "stands twice, first at"), ("location ~ ( {}", "no regular"),
     ("location = /a { location /a {} }", "which is exact"), ("location /a { location /b {} }", "is outside"),
     ("location /a { location @b {} }", "in the server alone"), ("location a b c {}", "here are 3 words")],
)  # fmt: skip
def test_locations_that_cannot_be_are_told(text: str, cause: str) -> None:
    with pytest.raises(SyntaxFault, match=re.escape(cause)):
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
    with pytest.raises(SyntaxFault, match=cause):
        upstream(text)


def test_what_is_tried_again_is_inherited_and_said_by_condition() -> None:
    outer = retry_of(parse("proxy_next_upstream error http_503; proxy_next_upstream_tries 3;"), Retry())
    inner = retry_of(parse("proxy_next_upstream_timeout 5s;"), outer)
    assert (inner.conditions, inner.tries, inner.timeout_ms) == (("error", "http_503"), 3, 5000)
    assert inner.may_run_twice() == ("error", "http_503")
    off = retry_of(parse("proxy_next_upstream off;"), outer)
    assert off.off and off.may_run_twice() == ()
    assert retry_of(parse("proxy_next_upstream error non_idempotent;"), outer).non_idempotent
    with pytest.raises(SyntaxFault, match="'http_999' is no condition"):
        retry_of(parse("proxy_next_upstream http_999;"), outer)
    assert passed_to(parse("proxy_pass http://tasks/new/;")[0]) == ("tasks", "/new/")
    assert passed_to(parse("proxy_pass https://tasks;")[0]) == ("tasks", "")
    with pytest.raises(SyntaxFault, match="neither http"):
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
    assert "passes nothing on" in told("/ping")
    assert "no location fits" in told("/x", "--host", "y.example")
    assert "upstream 10.0.0.9:81" in told("/only", "--host", "y.example")
    assert "location / " in told("/q", "--host", "z.example")  # by *.example
    path.write_text(CONF.replace("weight=3", "weight=0"))
    done = CliRunner().invoke(main, ["import", "nginx", str(path), "--explain", "/"])
    assert done.exit_code == 2 and "nginx.conf:4:" in done.output


SAMPLES: list[tuple[str, list[str]]] = [
    ("location /a/ { proxy_pass http://t; }", [CARRIED, CARRIED]),
    ("location /a { proxy_pass http://t/b; }", [DIFFERS, DIFFERS]),
    ("location = /a { proxy_pass https://t; }", [DIFFERS, DIFFERS]),
    ("location ~ x { proxy_pass http://$up; }", [LEFT, LEFT]),
    ("location @n { internal; }", [LEFT, LEFT]),
    ("location ~ ( { }", [REFUSED]),
    ("upstream t { server a; server b weight=2; }", [CARRIED, CARRIED, CARRIED]),
    (
        "upstream t { server a max_conns=3; server b backup; server c down; }",
        [CARRIED, DIFFERS, DIFFERS, CARRIED],
    ),
    ("upstream t { server a slow_start=9s; zone z 1m; keepalive 3; }", [CARRIED, DIFFERS, LEFT, LEFT]),
    ("upstream t { hash $k consistent; server a; }", [CARRIED, DIFFERS, CARRIED]),
    ("upstream t { random; server a; }", [CARRIED, CARRIED, CARRIED]),
    ("upstream t { }", [REFUSED]),
    ("upstream t { server a weight=-1; }", [REFUSED, REFUSED]),
    ("location /submit-task { proxy_next_upstream error non_idempotent; }", [DIFFERS, REFUSED]),
    ("location /submit { proxy_next_upstream error non_idempotent; }", [DIFFERS, REFUSED]),
    ("location / { proxy_next_upstream timeout; }", [CARRIED, DIFFERS]),
    ("location /submit-task/ { proxy_next_upstream off; }", [CARRIED, CARRIED]),
    ("location /load { proxy_next_upstream error non_idempotent; }", [DIFFERS, DIFFERS]),
    ("proxy_next_upstream http_500 non_idempotent;", [REFUSED]),
    ("limit_req zone=a; limit_conn b 3; proxy_read_timeout 3s;", [DIFFERS, LEFT, DIFFERS]),
    ("events { worker_connections 3; } unheard_of x;", [LEFT, LEFT, LEFT]),
    ("gzip on; ssl_certificate a; proxy_set_header a b; map $a $b { default c; }", [LEFT] * 5),
]


@pytest.mark.parametrize(("text", "wanted"), SAMPLES)
def test_each_directive_has_its_verdict(text: str, wanted: list[str]) -> None:
    found = verdicts(parse(text), ("/submit-task",))
    assert [row.what for row in found] == wanted, [row.line() for row in found]
    assert all(row.why for row in found if row.what != CARRIED)


def test_every_directive_is_in_the_report_once(tmp_path: Path) -> None:
    text = CONF + "".join(sample for sample, wanted in SAMPLES if REFUSED not in wanted)
    count = len(re.findall(r"[;{]", text))  # each ends with one of the two
    path = tmp_path / "nginx.conf"
    path.write_text(text)
    done = CliRunner().invoke(main, ["import", "nginx", str(path), "--json"])
    rows = [json.loads(line) for line in done.output.splitlines()]
    assert len(rows) == count == len({row["place"] for row in rows}) and done.exit_code == 0
    assert CliRunner().invoke(main, ["import", "nginx", str(path), "--mutating", "/load"]).exit_code == 1


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.integers(0, len(SAMPLES) - 1),
    st.integers(0, 60),
    st.sampled_from(["", ";", "{", "}", "x", "$", " ", "0"]),
)
def test_a_mutated_sample_is_read_with_a_verdict_each_or_told(k: int, at: int, piece: str) -> None:
    text = SAMPLES[k][0]
    text = text[:at] + piece + text[at + 1 :]
    try:
        rows = parse(text)
    except SyntaxFault:
        return
    assert len(verdicts(rows)) == sum(1 for top in rows for _ in top.walk())

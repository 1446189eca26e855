"""The adapter, with the wire page's own shapes of messages."""

from __future__ import annotations

import io
import json
from pathlib import Path

import pytest

from willowhook.simulator import adapter
from willowhook.simulator.values import load_report, number, seconds, ticks

MORE_BAD = ["ROSTER_CHANGE\t3\t1\t0\tnews", "REGISTER\t0\tx"]
BAD = ["WHAT\t3", "DIGEST\t3\t1", "REMINDER\t9\t0", "REMINDER\t3\tx", *MORE_BAD]
OPTIONS = json.dumps(json.loads((Path(__file__).parent / "options.json").read_text()))
START = [
    "CLOCK\t8.41225\t1",
    f"HELLO\t3\t42\t{OPTIONS}",
    "REGISTER\t0\t2",
    "ENTRY\thost-a\tin_service\t-\t0\t1\tfast\tnorth",
    "ENTRY\thost-b\tin_service\t6.1\t0\t1.5\tfast\tsouth",
    "ROSTER_CHANGE\t3\t41\t0\twarm_copy",
    "ATTACHED\t3\t41\tnorth\t6.5\t1",
    "COMMIT",
]


def play(*lines: str) -> tuple[int, str, str]:
    sink, errors = io.StringIO(), io.StringIO()
    code = adapter.Link((line + "\n" for line in lines), sink, errors).run()
    return code, sink.getvalue(), errors.getvalue()


def test_units() -> None:
    assert ticks("0.04825") == 482 and ticks("8.5") == 85_000 and seconds(123_456) == "12.3456"
    assert number(0.75) == "0.75" and number(0.0) == "0" and number(1e6) == "1000000"
    assert load_report("busy:0.62,q:3") == {"busy": 0.62, "q": 3.0} and load_report("-") == {}


def test_empty_batch() -> None:
    assert play("CLOCK\t8.41225\t1", "COMMIT") == (0, "READY\t1\n", "")


def test_a_start_binds_what_attaches() -> None:
    code, out, errors = play(*START)
    assert (code, errors) == (0, "")
    assert "LISTEN\t3\t1" in out and "USE_TABLE\t3\t41\t0\t3" in out and out.endswith("READY\t1\n")
    assert "ENDPOINT\t3\thost-a\t0\t1\n" in out


def test_teardown_and_hello_in_one_batch_start_afresh() -> None:
    again = ["CLOCK\t9.5\t2", "TEARDOWN\t3", *START[1:6], "COMMIT"]
    code, out, errors = play(*START, *again)
    assert (code, errors) == (0, "") and "USE_TABLE" not in out.split("READY\t1\n")[1]


def test_every_event_is_decoded() -> None:
    events = [
        "DIGEST\t3\t1\t1.0\t14\thost-a\tnorth\t0.04825\tbusy:0.62,q:3,later:1",
        "INGRESS\t3\t0\t9\t2.0\t41\tread",
        "CONFIRMED\t3\t1\t41\t0.4125",
        "PROBE_DONE\t3\thost-a\t0\t0.0014\tbusy:0.62",
        "INBOX\t3\t2\taGkgNw==",
        "LEASED\t3\t117\t1",
        "STANDING_LINE\t3\thost-a\t117\t1",
        "HEAT\t3\t117\tread\t23\t2\t1.0",
        "ROSTER_CHANGE\t3\t41\t0\tlost",
        "REMINDER\t3\t0",
        "DISCONNECTED\t3\t41",
    ]
    code, out, errors = play(*START, "CLOCK\t9.0\t2", *events, "COMMIT")
    assert (code, errors) == (0, "") and out.endswith("READY\t2\n")


@pytest.mark.parametrize("line", BAD)
def test_a_malformed_line_ends_the_link_with_one_plain_message(line: str) -> None:
    code, _, errors = play(*START, "CLOCK\t9.0\t2", line)
    assert code == 1 and errors.count("\n") == 1 and line in errors


def test_a_fault_of_the_module_is_given_in(monkeypatch: pytest.MonkeyPatch) -> None:
    def breaks(*_: object) -> None:
        raise IndexError("index out of range")

    monkeypatch.setattr(adapter.Controller, "handle", breaks)
    code, out, errors = play(*START, "CLOCK\t9.0\t2", "REMINDER\t3\t0", "COMMIT")
    assert code == 0 and "GIVE_IN\t3\tIndexError: index out of range" in out and "Traceback" in errors

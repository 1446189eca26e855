"""Files written by commit 06ecd3e are read to the same content, and printed formats keep their bytes.

The fixtures are in `data/stored`: the folder `store` (segments, marks and two snapshots, of two runs of a
writer), a `records` file whose last line was cut off, a configuration, and the output of two commands.
Beside them `expected.json` tells what they hold.  They are not to be written anew: their use is their age.
"""

from __future__ import annotations

import base64
import json
import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from willowhook.cli.main import main
from willowhook.config.check import parse_config
from willowhook.records.states import ProxyStates
from willowhook.records.writer import read_records
from willowhook.store.commit import Committer
from willowhook.store.disk import RealDisk
from willowhook.store.ledger import RequestLedger
from willowhook.store.store import Op, Reader, Store, recover

STORED = Path(__file__).parent / "data" / "stored"
Content = dict[str, dict[str, list[Any]]]  # by space and key: number, time, value in base64

# Adapter: the project's names are in the imports above and in these functions.


def content_of(state: Any) -> Content:
    """What `store dump` prints, in one object; a space without entries is as good as none."""
    return {
        space: {
            key: [entry.number, entry.at, base64.b64encode(entry.value).decode()]
            for key, entry in sorted(rows.items())
        }
        for space, rows in sorted(state.items())
        if rows
    }


def read_store(folder: Path) -> tuple[int, list[str], Content]:
    """Last number, damage, content, as a reader beside the writer sees it."""
    reader = Reader(str(folder))
    number = reader.refresh()
    return number, [row.describe() for row in reader.recovery.corruptions], content_of(reader.state)


def recovered_store(folder: Path) -> dict[str, Any]:
    got = recover(RealDisk(), str(folder))
    segments = [[row.name, row.first, row.last] for row in got.segments]
    counts = {"id": got.store_id, "epoch": got.epoch, "number": got.number, "frames": got.report.frames}
    return {**counts, "snapshots": got.snapshots, "segments": segments}


def write_to_store(folder: Path, space: str, key: str, value: bytes) -> Content:
    """Opens it as the one writer, adds an entry, and gives the content after."""
    store = Store(str(folder))
    try:
        store.write([Op(space, key, 99, value)])
        store.flush()
        return content_of(store.state)
    finally:
        store.close()


def calls_of(folder: Path) -> dict[str, Any]:
    """What the ledger of calls in a copy of the folder knows of each; which outcomes were not told."""
    store = Store(str(folder))
    try:
        ledger = RequestLedger(store, Committer(store))
        calls = {key: ledger.request(key) for key, _ in store.by_key("outcomes")}
        known = {key: {**msgspec.to_builtins(call), "state": call.state()} for key, call in calls.items()}
        return {"known": json.loads(json.dumps(known)), "not told": ledger.unreported()}
    finally:
        store.close()


def read_record_file(path: Path) -> list[dict[str, Any]]:
    return read_records(str(path))


def told_of_records(path: Path, proxy: str) -> list[str]:
    states = ProxyStates()
    for row in read_records(str(path)):
        states.add(row)
    return states.lines(proxy)


def configuration(data: bytes) -> Any:
    """All values, defaults too, as plain data."""
    return json.loads(msgspec.json.encode(parse_config(data)))


def command(*arguments: str) -> tuple[int, bytes]:
    got = CliRunner().invoke(main, list(arguments))
    return got.exit_code, got.stdout_bytes


# Nothing below uses names of the project.


def expected() -> dict[str, Any]:
    found: dict[str, Any] = json.loads((STORED / "expected.json").read_text())
    return found


def test_store_is_read_to_the_same_content(tmp_path: Path) -> None:
    folder = shutil.copytree(STORED / "store", tmp_path / "store")
    want = expected()["store"]
    assert read_store(folder) == (want["recovered"]["number"], [], want["content"])
    assert recovered_store(folder) == want["recovered"]
    assert sum(map(len, want["content"].values())) > 20


def test_store_is_read_from_either_snapshot(tmp_path: Path) -> None:
    want = expected()["store"]["content"]
    snapshots = sorted(path.name for path in (STORED / "store").glob("snap-*"))
    assert len(snapshots) == 2
    for name in snapshots:
        folder = shutil.copytree(STORED / "store", tmp_path / f"without-{name}")
        (folder / name).unlink()
        assert read_store(folder)[1:] == ([], want)


def test_store_is_written_on_where_it_ended(tmp_path: Path) -> None:
    folder = shutil.copytree(STORED / "store", tmp_path / "store")
    want = expected()["store"]
    number = want["recovered"]["number"] + 1
    added = {"later": [number, 99, base64.b64encode(b"v").decode()]}
    content = write_to_store(folder, "orders", "later", b"v")
    assert content == {**want["content"], "orders": {**want["content"]["orders"], **added}}
    assert read_store(folder) == (number, [], content)


def test_ledger_of_calls_is_read_to_the_same_outcomes(tmp_path: Path) -> None:
    want = expected()["store"]["ledger"]
    assert calls_of(shutil.copytree(STORED / "store", tmp_path / "store")) == want
    assert {call["state"] for call in want["known"].values()} == {"done", "not done", "unknown"}


def flip_a_bit(segment: Path, at: int) -> None:
    data = bytearray(segment.read_bytes())
    data[at] ^= 1
    segment.write_bytes(data)


def test_damage_of_the_last_entry_is_told(tmp_path: Path) -> None:
    folder = shutil.copytree(STORED / "store", tmp_path / "store")
    segment, number = sorted(folder.glob("seg-*"))[-1], expected()["store"]["recovered"]["number"]
    flip_a_bit(segment, -1)
    found, damage, content = read_store(folder)
    assert len(damage) == 1 and segment.name in damage[0] and f"{number} to {number}" in damage[0]
    assert found == number and "lives" not in content and command("store", "check", str(folder))[0] == 1


def test_damage_of_an_entry_that_a_snapshot_holds_loses_nothing(tmp_path: Path) -> None:
    folder = shutil.copytree(STORED / "store", tmp_path / "store")
    flip_a_bit(sorted(folder.glob("seg-*"))[-1], 60)
    assert read_store(folder)[1:] == ([], expected()["store"]["content"])


@pytest.mark.parametrize("arguments", [["check"], ["dump"], ["stats"]])
def test_store_commands_print_the_same(tmp_path: Path, arguments: list[str]) -> None:
    folder = shutil.copytree(STORED / "store", tmp_path / "store")
    code, output = command("store", *arguments, str(folder))
    assert (code, output.decode()) == (0, expected()["store"][arguments[0]])


def test_records_are_read_to_the_same_rows() -> None:
    want = expected()["records"]
    assert read_record_file(STORED / "records") == want["rows"] and len(want["rows"]) > 10
    for proxy, lines in want["told"].items():
        assert told_of_records(STORED / "records", proxy) == lines
        code, output = command("versions", str(STORED / "records"), "--proxy", proxy)
        assert (code, output.decode().splitlines()) == (0, lines)


def test_configuration_is_read_to_the_same_values() -> None:
    want = expected()["configuration"]
    assert configuration((STORED / "config.json").read_bytes()) == want["config.json"]
    assert configuration((STORED / "example.json").read_bytes()) == want["example.json"]
    assert command("config", "check", str(STORED / "config.json"))[0] == 0


@pytest.mark.parametrize("name", ["example", "schema"])
def test_printed_configuration_keeps_its_bytes(name: str) -> None:
    assert command("config", name) == (0, (STORED / f"{name}.json").read_bytes())

"""Tests a real controller in this process, with proxies that the test plays."""

from __future__ import annotations

import os
import resource
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec
import pytest
import trio
from click.testing import CliRunner
from process_signals import HANDLED, has_signal
from service_harness import FakeDiscovery, FileProxy, RecordingLog, serve, wait_until

from willowhook.cli.main import main
from willowhook.config.example import EXAMPLE
from willowhook.controlplane.proxy_folder_feed import ProxyFolderFeed
from willowhook.controlplane.service import Service
from willowhook.decisions.events import EndpointListReceived, ProxyJoined
from willowhook.files.layout import FolderInUseError
from willowhook.files.ops import DiskOps
from willowhook.files.swap import read_group
from willowhook.records.writer import RecordWriter, read_records
from willowhook.xds import forms
from willowhook.xds.codec import encode, encode_response


@pytest.mark.parametrize("durability", ["none", "file_and_folder"])
@pytest.mark.parametrize("watch", ["inotify", "poll"])
def test_proxy_joins_gets_its_tables_and_a_drain_and_leaves(
    tmp_path: Path, watch: str, durability: str
) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = FileProxy(service, "p1")
        proxy.join()
        await wait_until(lambda: proxy.usable_endpoints() == {"a", "b", "c"})
        proxy.acknowledge()
        await wait_until(lambda: not any(service.controller.channel.unacknowledged.values()))
        discovery.endpoints["b"], discovery.index = True, 2
        await wait_until(lambda: proxy.usable_endpoints() == {"a", "c"})
        proxy.write_load_report()
        os.rename(proxy.up, proxy.root / "away")
        await wait_until(lambda: not service.intake.sessions and not proxy.down.exists())

    log = serve(tmp_path, play, watch=watch, durability=durability, poll_every_ms=20)
    assert log.texts("warning") == [] and "proxy left" in log.texts()
    kinds = [record["kind"] for record in read_records(str(tmp_path / "records"))]
    assert {"started", "list", "joined", "order", "sent", "applied", "withdraw", "left", "ended"} <= set(
        kinds
    )


def test_silent_proxy_session_is_closed_and_reopened(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = FileProxy(service, "p1")
        proxy.join()
        await wait_until(lambda: "p1" in service.intake.sessions)
        await wait_until(lambda: "p1" not in service.intake.sessions)
        proxy.write_load_report()
        await wait_until(
            lambda: "p1" in service.intake.sessions and proxy.usable_endpoints() == {"a", "b", "c"}
        )

    log = serve(tmp_path, play, proxy_lost_after_ms=1200)
    assert [line[2]["reason"][:6] for line in log.lines if line[1] == "proxy left"] == ["silent"]


def test_proxy_whose_reports_are_not_read_yet_is_not_silent(tmp_path: Path) -> None:
    """Guards against timing out sessions because the controller itself is late in reading reports."""

    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = FileProxy(service, "p1")
        proxy.join()
        await wait_until(lambda: "p1" in service.intake.sessions)
        term = service.intake.sessions["p1"].term
        for _ in range(20):  # nearly four times the timeout
            proxy.write_load_report()
            await trio.sleep(0.2)
            assert "p1" in service.intake.sessions and service.intake.sessions["p1"].term == term
        assert "proxy left" not in log.texts()
        await wait_until(lambda: "proxy left" in log.texts())

    async def read_nothing(_self: ProxyFolderFeed, _name: str) -> None:
        """Plays a reader that never catches up."""

    with patch.object(ProxyFolderFeed, "_read_report", read_nothing):
        serve(tmp_path, play, proxy_lost_after_ms=1200)


BAD_NODE = forms.Node("bad", metadata={"term": 1})


def test_proxy_folder_replaced_under_the_same_inode_opens_a_new_session(tmp_path: Path) -> None:
    """Guards against mistaking a new folder for the deleted one.

    The file system may reuse the inode number; the proxy was then never bound again.
    """

    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = FileProxy(service, "p1")
        proxy.join()
        await wait_until(lambda: len(proxy.usable_endpoints()) == 3)
        for term in range(2, 12):
            shutil.rmtree(proxy.up)
            proxy.node.metadata["term"] = term
            proxy.join()
            await wait_until(
                lambda term=term: [session.term for session in service.intake.sessions.values()] == [term]
            )  # type: ignore[misc]
            proxy.write_load_report()
            await wait_until(lambda: bool(proxy.usable_endpoints()))

    serve(tmp_path, play)


MALFORMED = {
    "truncated": b'{"node": {"id": "bad"',
    "huge": b" " * (2 << 20),
    "wrong type": b"[1, 2, 3]",
    "old version": encode(forms.DiscoveryRequest("0.1", BAD_NODE, [], forms.ASSIGNMENT, "1.0.1")),
    "a version never sent": encode(forms.DiscoveryRequest("", BAD_NODE, [], forms.ASSIGNMENT, "1.1.99999")),
    "foreign node": encode(forms.DiscoveryRequest("", forms.Node("p1"), [], forms.ASSIGNMENT, "1.1.1")),
    "binary": bytes(range(256)) * 40,
}


def test_malformed_files_affect_only_their_proxy(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        good, bad = FileProxy(service, "p1"), FileProxy(service, "bad")
        good.join()
        bad.join()
        await wait_until(lambda: good.usable_endpoints() == bad.usable_endpoints() == {"a", "b", "c"})
        for step, (kind, data) in enumerate(MALFORMED.items()):
            before = len(log.texts("warning"))
            for _ in range(3):
                bad.put("eds.json", data)
                await trio.sleep(0.03)
            # A version of an earlier controller is not malformed.
            expected = 0 if kind == "old version" else 1
            await wait_until(
                lambda before=before, expected=expected: len(log.texts("warning")) == before + expected
            )  # type: ignore[misc]
            bad.acknowledge()  # well formed again
            good.acknowledge()
            good.write_load_report()
            bad.write_load_report()
            drained = "abc"[step % 2]
            discovery.endpoints["a"], discovery.endpoints["b"] = drained == "a", drained == "b"
            discovery.index += 1
            await wait_until(
                lambda drained=drained: drained not in good.usable_endpoints()
                and drained not in bad.usable_endpoints()
            )  # type: ignore[misc]
        os.mkfifo(bad.up / ".pipe")
        os.rename(bad.up / ".pipe", bad.up / "load.json")  # reading must not block
        (bad.up / "rds.json").unlink()
        os.symlink("/dev/zero", bad.up / "rds.json")
        good.write_load_report()
        assert {"p1", "bad"} <= set(service.intake.sessions)

    serve(tmp_path, play)


def test_folders_that_are_not_proxies_are_ignored(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        up = Path(service.folder.inbound_path)
        (up / "a file").write_bytes(b"")
        (up / "plain").write_bytes(b"")
        FileProxy(service, "empty").join(b"")
        FileProxy(service, "noise").join(b"\xff" * 1000)
        proxy = FileProxy(service, "p1")
        proxy.join()
        await wait_until(lambda: bool(proxy.usable_endpoints()))
        assert list(service.intake.sessions) == ["p1"]

    log = serve(tmp_path, play)
    assert sorted(line[2]["proxy"] for line in log.lines if line[1] == "input of a proxy rejected") == [
        "empty",
        "noise",
    ]


def test_discovery_failure_is_reported_once_and_tables_stay(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = FileProxy(service, "p1")
        proxy.join()
        await wait_until(lambda: len(proxy.usable_endpoints()) == 3)
        for mode in ("malformed", "stall"):
            before = log.texts("warning").count("endpoint list unavailable")
            discovery.mode = mode
            discovery.index += 1
            await wait_until(
                lambda before=before: log.texts("warning").count("endpoint list unavailable") > before
            )  # type: ignore[misc]
            await trio.sleep(0.5)
            proxy.write_load_report()
            assert log.texts("warning").count("endpoint list unavailable") == before + 1
            assert len(proxy.usable_endpoints()) == 3
            discovery.mode = "good"
            await wait_until(lambda: log.texts()[-1] == "endpoint list available again", 15)

    serve(tmp_path, play)


def test_full_disk_is_reported_once_and_the_last_update_is_written_after_it(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = FileProxy(service, "p1")
        proxy.join()
        await wait_until(lambda: len(proxy.usable_endpoints()) == 3)
        limits = resource.getrlimit(resource.RLIMIT_FSIZE)
        before = read_group(str(proxy.down))[1]
        resource.setrlimit(resource.RLIMIT_FSIZE, (10, limits[1]))
        try:
            discovery.endpoints["b"], discovery.index = True, 2
            await wait_until(lambda: "files cannot be written" in log.texts("warning"))
            await trio.sleep(0.5)
            assert read_group(str(proxy.down))[1] == before
        finally:
            resource.setrlimit(resource.RLIMIT_FSIZE, limits)
        await wait_until(lambda: proxy.usable_endpoints() == {"a", "c"})

    log = serve(tmp_path, play)
    assert log.texts("warning").count("files cannot be written") == 1
    assert "files can be written again" in log.texts()


def test_second_controller_cannot_lock_the_folder(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        with pytest.raises(FolderInUseError, match="one folder serves one director"):
            await Service(service.terms, log=RecordingLog()).run()

    serve(tmp_path, play)


def test_records_survive_a_disk_error_and_a_truncated_line(tmp_path: Path) -> None:
    path = tmp_path / "records"
    records = RecordWriter(str(path), 3)
    for number in range(5):
        records.append(number, "x", n=number)
    records.flush()
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (path.stat().st_size + 10, limits[1]))
    records.append(9, "y")
    records.flush()
    assert records.write_error
    resource.setrlimit(resource.RLIMIT_FSIZE, limits)
    records.flush()
    with path.open("ab") as file:
        file.write(b'{"t":1,"kin')
    entries = read_records(str(path))
    assert [entry.get("n", entry.get("records")) for entry in entries] == [
        0,
        1,
        2,
        2,
        None,
    ] and time.time() > 0


def test_linked_controllers_hand_off_evidence_with_the_proxy(tmp_path: Path) -> None:
    """Evidence of a proxy is used by the controller that the proxy moves to, and only once it has joined."""

    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        replace = msgspec.structs.replace
        links = replace(service.terms.links, peers=(f"http://127.0.0.1:{service.handoff_port}",))
        files = replace(service.terms.files, folder=str(tmp_path / "other"))
        other = Service(replace(service.terms, name="other", files=files, links=links), log=RecordingLog())
        async with trio.open_nursery() as nursery:
            await nursery.start(other.run)
            proxy = FileProxy(other, "p1")
            proxy.join()
            await wait_until(lambda: len(proxy.usable_endpoints()) == 3)
            address = forms.Address(forms.SocketAddress("127.0.0.1", 9001))
            endpoint_stats = forms.UpstreamEndpointStats(
                address, 8, 0, 2, 10, [forms.LoadMetricStats("latency_seconds", 8, 4.0)]
            )
            locality = forms.UpstreamLocalityStats(upstream_endpoint_stats=[endpoint_stats])
            stats = forms.ClusterStats("load@t0", "", [locality], load_report_interval="1s")
            proxy.put("load.json", encode(forms.LoadStatsRequest(proxy.node, [stats])))
            await wait_until(lambda: bool(other.handoff._evidence))
            shutil.rmtree(proxy.up)
            await wait_until(
                lambda: bool(service.handoff._hints._hints) and "b" in service.controller.endpoints
            )
            now = service.clock.now()
            assert service.controller.endpoints["b"].attempts(now) == (0, 0, 0)
            moved = FileProxy(service, "p1")
            moved.node.metadata["term"] = 2
            moved.join()
            await wait_until(lambda: len(moved.usable_endpoints()) == 3)
            attempts = service.controller.endpoints["b"].attempts(service.clock.now())
            assert attempts == (10, 2, 8 * 5000)
            await wait_until(lambda: len(other.handoff._senders[0]) == 0)
            nursery.cancel_scope.cancel()

    serve(tmp_path, play, listen="127.0.0.1:0")


def test_malformed_handoff_packets_are_reported_once(tmp_path: Path) -> None:
    from willowhook.controlplane.links import PeerClient

    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        client = PeerClient(f"http://127.0.0.1:{service.handoff_port}", 1.0)
        for body in (b"", b"{}", b"\xff" * 300, b'{"node": {"id": "p", "metadata": {"director": 3}}}'):
            assert not await client.send(body)
        assert not await PeerClient("http://127.0.0.1:1", 0.2).send(b"{}")

    log = serve(tmp_path, play, listen="127.0.0.1:0")
    assert log.texts("warning") == ["handoff packet of a peer rejected"]


def test_update_split_by_validation_goes_out_in_steps_under_rising_versions(tmp_path: Path) -> None:
    """The decider gives a new endpoint nearly all weight: it gets a part first, and all once it is warm."""

    class NewEndpointDecider:
        def __init__(self, runtime: Any, settings: Any, seed: int, now: int) -> None:
            self.runtime, self.endpoints, self.joined = runtime, list[str](), list[int]()
            self.routes = range(len(settings.routes))
            runtime.watch_endpoints()
            runtime.schedule_evaluation(100)

        def observe_queue(self, entries: float) -> None: ...

        def queue_estimate(self) -> float:
            return 0.0

        def learnt_capacities(self) -> dict[str, float]:
            return {}

        def handle(self, now: int, event: Any) -> None:
            """Binds joining proxies and adds new endpoints; ignores all other events."""
            if isinstance(event, ProxyJoined):
                self.runtime.bind(event.proxy, 0, self.routes)
            elif isinstance(event, EndpointListReceived):
                for name in (entry.name for entry in event.entries if entry.name not in self.endpoints):
                    self.endpoints.append(name)
                    self.runtime.set_weight(0, name, 12.0 if name == "new" else 1.0)

        def flush(self, now: int) -> None:
            """Does nothing: commands are issued at once."""

    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = FileProxy(service, "p1")
        proxy.join()
        await wait_until(lambda: proxy.usable_endpoints() == {"a", "b", "c"})
        # Validation also counts unacknowledged updates and would reject the next one.
        proxy.acknowledge()
        await wait_until(lambda: service.intake.sessions["p1"].applied == service.proxy_states.message_count)
        discovery.endpoints["new"], discovery.started["new"], discovery.index = False, time.time() - 6.0, 2
        await wait_until(lambda: "new" in proxy.usable_endpoints())
        first_weights = proxy.weights()
        assert first_weights["new"] < 12 and "update held by validation" in log.texts("warning")
        proxy.acknowledge()
        await wait_until(lambda: proxy.weights()["new"] == 12, 12)
        assert proxy.message_number() > 0 and service.validation.counts["split"] >= 1

    serve(tmp_path, play, decider=NewEndpointDecider)


def test_unacknowledged_files_are_written_again(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = FileProxy(service, "p1")
        proxy.join()
        await wait_until(lambda: len(proxy.usable_endpoints()) == 3)
        ops, stale = DiskOps(), proxy.down / "vlate"
        stale.mkdir()
        (stale / "eds.json").write_bytes(encode_response("0.1.9", forms.ASSIGNMENT, "0.1.9", []))
        ops.symlink("vlate", str(proxy.down / ".late"))
        ops.rename(str(proxy.down / ".late"), str(proxy.down / "current"))
        assert proxy.usable_endpoints() == set()
        await wait_until(lambda: len(proxy.usable_endpoints()) == 3)  # without any command
        proxy.acknowledge()
        await wait_until(
            lambda: all(session.rewrite is None for session in service.publisher.sessions.values())
        )

    serve(tmp_path, play)
    assert any(record["kind"] == "again" for record in read_records(str(tmp_path / "records")))


def test_signals_in_series_do_not_interrupt_the_stop(tmp_path: Path) -> None:
    """Guards against a second SIGTERM that kills the controller by its default action during the stop."""
    replace = msgspec.structs.replace
    files = replace(EXAMPLE.files, folder=str(tmp_path / "d"))
    records = replace(EXAMPLE.records, file=str(tmp_path / "records"))
    config, log = tmp_path / "c.json", tmp_path / "log"
    config.write_bytes(msgspec.json.encode(replace(EXAMPLE, files=files, records=records)))
    command = [sys.executable, "-m", "willowhook.cli", "controller", "--config", str(config)]
    with log.open("wb") as output, subprocess.Popen(command, stderr=output) as process:
        while not has_signal(process.pid, HANDLED, signal.SIGTERM):
            time.sleep(0.01)
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            time.sleep(0.0005)
    assert process.returncode == 0 and "controller stopped" in log.read_text()


def test_draining_controller_sends_its_proxies_away_one_by_one(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxies = [FileProxy(service, f"p{number}") for number in range(4)]
        for number, proxy in enumerate(proxies):
            proxy.node.metadata["usual_calls_per_s"] = 4 - number
            proxy.join()
        await wait_until(lambda: all(len(proxy.usable_endpoints()) == 3 for proxy in proxies))
        config = tmp_path / "d.json"
        config.write_bytes(msgspec.json.encode(service.terms))
        result = await trio.to_thread.run_sync(
            lambda: CliRunner().invoke(main, ["controller", "drain", "--config", str(config)])
        )
        assert result.exit_code == 0 and "4 proxies are left" in result.output
        sent_away: list[str] = []
        while len(sent_away) < 4:
            await trio.sleep(0.02)
            sent_away += [
                proxy.name for proxy in proxies if proxy.name not in sent_away and proxy.is_sent_away()
            ]
            assert len(sent_away) < 4 or sent_away[0] == "p3"  # the lowest request rate first
        assert all(len(proxy.usable_endpoints()) == 3 for proxy in proxies)  # their tables are unchanged
        CliRunner().invoke(main, ["controller", "drain", "--config", str(config), "--undo"])
        await wait_until(lambda: "controller draining cancelled" in log.texts())

    serve(tmp_path, play)


@pytest.mark.parametrize(
    "method",
    [
        "judge",
        "record_sent",
        "update_endpoints",
        "add_proxy",
        "record_acknowledged",
        "update_rate",
        "remove_proxy",
    ],
)
def test_failed_validation_is_switched_off_and_updates_go_on(tmp_path: Path, method: str) -> None:
    calls: list[str] = []

    def fail(*_: Any, **__: Any) -> None:
        calls.append(method)
        raise KeyError("on purpose")

    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        setattr(service.validation, method, fail)
        proxy = FileProxy(service, "p1")
        proxy.join()
        await wait_until(lambda: len(proxy.usable_endpoints()) == 3)
        proxy.acknowledge()
        stats = forms.ClusterStats("load@t0", load_report_interval="1s", total_dropped_requests=9)
        proxy.put("load.json", encode(forms.LoadStatsRequest(proxy.node, [stats])))
        discovery.endpoints["b"], discovery.index = True, 2
        await wait_until(lambda: proxy.usable_endpoints() == {"a", "c"})
        if method != "remove_proxy":  # the load report may be read later than the endpoint list
            await wait_until(lambda: calls)
        shutil.rmtree(proxy.up)
        await wait_until(lambda: not service.intake.sessions)
        await wait_until(lambda: calls)

    log = serve(tmp_path, play)
    assert log.texts("warning") == ["validation failed and is disabled"]

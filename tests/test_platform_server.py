"""The controller process on the platform, with a fake discovery server, proxies and unidentified peers."""

from __future__ import annotations

import os
import re
import signal
import socket
import subprocess
from pathlib import Path

import pytest
import trio
from platform_process import (
    ATTACH,
    SETTINGS,
    ControllerProcess,
    CuttableDiscovery,
    FakeDiscovery,
    received_exclusions,
    received_weights,
    reserve_port,
)
from process_signals import BLOCKED, has_signal

from willowhook.decisions.channel import MAX_UNACKNOWLEDGED_MESSAGES
from willowhook.platform.discovery_watch import CHANGE_WAIT_MS
from willowhook.platform.framing import encode_frame

# Limits given by the protocol.
ANSWER_DELIVERY_S = 2.0  # after the wait of a request, its answer counts as received
SLACK_S = 0.3  # tolerance added to the limit on draining endpoints, over sockets

FIRST_BYTES_OF_UNIDENTIFIED = {
    "silent": b"",
    "half a message": encode_frame(ATTACH)[:-3],
    "http": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "too long": (2 << 20).to_bytes(4, "little") + b"x" * 99,
    "an update": encode_frame({"t": "assign", "drop": ["h0"]}),
    "a report before joining": encode_frame({"t": "client_stats", "proxy": 0}),
    "unknown proxy": encode_frame({**ATTACH, "proxy": 6}),
    "unknown zone": encode_frame({"t": "telemetry", "zone": "west"}),
    "no JSON": b"\4\0\0\0nope",
}


def test_proxy_is_served_through_draining_reconnection_reload_and_termination(tmp_path: Path) -> None:
    controller = ControllerProcess(tmp_path)
    new_discovery = FakeDiscovery()
    for endpoint in ("h0", "h1"):
        controller.discovery.set_entry(endpoint)

    async def scenario(process: subprocess.Popen[bytes]) -> None:
        proxy = await controller.connect()
        for byte in encode_frame(ATTACH):  # sent byte by byte
            await proxy.stream.send_all(bytes([byte]))
        await proxy.receive_until(lambda received: set(received_weights(received)) == {"h0", "h1"})
        controller.discovery.set_entry("h1", "leaving")
        await proxy.receive_until(lambda received: received_exclusions(received) == ["h1"])
        # malformed messages are ignored, and the connection stays open
        await proxy.send({"t": "done", "mark": "x"}, {"t": "odd"}, {"t": "client_stats"}, {"t": "hb"})
        await proxy.receive_until(lambda received: {"t": "hb_ok"} in received)
        reconnected = await controller.connect()  # before the old connection is closed
        await reconnected.send({**ATTACH, "fresh": False})
        await reconnected.receive_until(lambda received: "h0" in received_weights(received))
        with trio.fail_after(5):
            await proxy.receive_until_closed()
        new_discovery.version = controller.discovery.version
        new_discovery.entries = dict(controller.discovery.entries)
        new_port = reserve_port()
        async with trio.open_nursery() as nursery:
            await nursery.start(new_discovery.serve, new_port)
            controller.configuration_path.write_text("{")
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.3)
            controller.write_configuration(new_port)
            process.send_signal(signal.SIGHUP)
            with trio.fail_after(5):
                while not new_discovery.request_count:
                    await trio.sleep(0.02)
            new_discovery.set_entry("h2")
            await reconnected.receive_until(lambda received: "h2" in received_weights(received))
            nursery.cancel_scope.cancel()
        process.send_signal(signal.SIGTERM)
        with trio.fail_after(5):
            while process.poll() is None:
                await trio.sleep(0.02)
        assert process.returncode == 0

    log = controller.run(scenario)
    assert "configuration reload failed" in log and "configuration reloaded" in log
    assert "Traceback" not in log
    assert len(re.findall(r"malformed message type='(?:done|odd|client_stats)' error=", log)) == 3


def test_proxy_is_sent_no_empty_table_while_discovery_lists_nothing(tmp_path: Path) -> None:
    """Guards against a controller that starts without a list and clears the tables of its proxies."""
    controller = ControllerProcess(tmp_path)

    async def scenario(_process: subprocess.Popen[bytes]) -> None:
        proxy = await controller.connect()
        await proxy.send({**ATTACH, "fresh": False})
        with trio.move_on_after(2.0):
            await proxy.receive_until(lambda received: bool(received))
        assert not proxy.received
        controller.discovery.set_entry("h0")
        await proxy.receive_until(lambda received: set(received_weights(received)) == {"h0"})

    controller.run(scenario)


def test_drain_is_kept_after_a_cut_that_ends_a_second_before_the_grace(tmp_path: Path) -> None:
    """Guards against pauses between requests to a lost discovery that outlast the drain grace.

    The answer with the drain is lost, and counts as received 2 s after the wait of its request. There are
    several seeds, as the pauses are drawn.
    """
    drain_grace_s = SETTINGS["contract"]["drain-grace"]
    late_s: dict[str, float] = {}

    async def play(seed: str) -> None:
        folder = tmp_path / seed
        folder.mkdir()
        discovery = CuttableDiscovery()
        controller = ControllerProcess(folder, seed=seed, discovery=discovery)
        for endpoint in ("h0", "h1"):
            discovery.set_entry(endpoint)
        async with controller.running():
            proxy = await controller.connect()
            await proxy.send(ATTACH)
            await proxy.receive_until(lambda received: set(received_weights(received)) == {"h0", "h1"})
            discovery.set_entry("h2")
            with trio.fail_after(5):  # until the next request waits
                while f"after={discovery.version}&" not in discovery.last_target:
                    await trio.sleep(0.01)
            received_at = discovery.last_requested_at + CHANGE_WAIT_MS / 1000 + ANSWER_DELIVERY_S
            discovery.cut()
            discovery.set_entry("h1", "leaving")
            await trio.sleep_until(received_at + drain_grace_s - 1.0)
            discovery.restore()
            await proxy.receive_until(lambda received: "h1" in received_exclusions(received))
            late_s[seed] = trio.current_time() - received_at - drain_grace_s - SLACK_S

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for seed in ("1", "2", "3", "4"):
                nursery.start_soon(play, seed)

    trio.run(main)
    assert max(late_s.values()) <= 0, late_s


def test_partially_written_configuration_is_reread_without_another_signal(tmp_path: Path) -> None:
    controller = ControllerProcess(tmp_path)
    new_discovery = FakeDiscovery()

    async def scenario(process: subprocess.Popen[bytes]) -> None:
        async with trio.open_nursery() as nursery:
            new_port = reserve_port()
            await nursery.start(new_discovery.serve, new_port)
            controller.write_configuration(new_port)
            text = controller.configuration_path.read_text()
            controller.configuration_path.write_text(text[: len(text) // 2])
            process.send_signal(signal.SIGHUP)
            with trio.fail_after(5):
                while "configuration reload failed" not in controller.read_log():
                    await trio.sleep(0.01)
            controller.configuration_path.write_text(text)
            with trio.fail_after(5):
                while not new_discovery.request_count:
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    assert controller.run(scenario).count("configuration reload failed") == 1


@pytest.mark.parametrize(
    "value", [10**400, 0, "4.0", float("inf")], ids=["large", "zero", "text", "infinite"]
)
def test_malformed_setting_at_sighup_keeps_the_current_configuration(tmp_path: Path, value: object) -> None:
    """Guards against a number in the file that terminates the process."""
    controller = ControllerProcess(tmp_path)
    controller.discovery.set_entry("h0")
    controller.settings = {
        **controller.settings,
        "extra": {**controller.settings["extra"], "egress-per-s": value},
    }

    async def scenario(process: subprocess.Popen[bytes]) -> None:
        controller.write_configuration(reserve_port())
        process.send_signal(signal.SIGHUP)
        with trio.fail_after(5):
            while "configuration reload failed" not in controller.read_log():
                await trio.sleep(0.02)
        proxy = await controller.connect()
        await proxy.send(ATTACH)
        await proxy.receive_until(lambda received: set(received_weights(received)) == {"h0"})
        process.send_signal(signal.SIGTERM)
        assert await trio.to_thread.run_sync(process.wait) == 0

    controller.run(scenario)


@pytest.mark.parametrize("second", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_signals_in_series_end_the_process_with_code_0(tmp_path: Path, second: signal.Signals) -> None:
    """Guards against a second signal that has its default action while the process exits."""
    controller = ControllerProcess(tmp_path)
    controller.discovery.set_entry("h0")

    async def scenario(process: subprocess.Popen[bytes]) -> None:
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            process.send_signal(second)
            await trio.sleep(0.0005)
        assert process.returncode == 0

    assert "error" not in controller.run(scenario)


def test_signals_during_startup_are_blocked_until_the_server_runs(tmp_path: Path) -> None:
    """Guards against a SIGHUP that terminates a process before it has installed its receiver."""
    controller = ControllerProcess(tmp_path)
    with (
        controller.log_path.open("wb") as log,
        subprocess.Popen(**controller.command(), stderr=log) as process,
    ):
        while not has_signal(process.pid, BLOCKED, signal.SIGHUP):
            assert not _is_listening(controller.port), "the controller serves without having blocked signals"
        process.send_signal(signal.SIGHUP)
        trio.run(controller.wait_until_ready)
        assert "configuration reloaded" in controller.read_log()
        process.send_signal(signal.SIGTERM)
        assert process.wait(5) == 0


def _is_listening(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


def test_proxy_that_joins_on_two_connections_in_one_event_loop_pass_keeps_the_newer(tmp_path: Path) -> None:
    controller = ControllerProcess(tmp_path)
    controller.discovery.set_entry("h0")

    async def scenario(process: subprocess.Popen[bytes]) -> None:
        process.send_signal(signal.SIGSTOP)  # so that all messages are read in one pass of the event loop
        older = await controller.connect()
        newer = await controller.connect()
        await older.send(ATTACH, ATTACH, {"t": "hb"})  # also joins twice on one connection
        await newer.send({**ATTACH, "fresh": False})
        process.send_signal(signal.SIGCONT)
        await newer.receive_until(lambda received: "h0" in received_weights(received))
        with trio.fail_after(5):
            await older.receive_until_closed()
        controller.discovery.set_entry("h0", "leaving")
        await newer.receive_until(lambda received: received_exclusions(received) == ["h0"])
        assert process.poll() is None

    assert "Traceback" not in controller.run(scenario)


def test_unidentified_peers_are_rejected_in_time_and_leave_descriptors_for_proxies(tmp_path: Path) -> None:
    controller = ControllerProcess(tmp_path, sockets=64)
    controller.discovery.set_entry("h0")

    async def expect_close(first_bytes: bytes) -> None:
        peer = await controller.connect()
        with trio.fail_after(3):
            try:
                if first_bytes:
                    await peer.stream.send_all(first_bytes)
                await peer.receive_until_closed()
            except trio.BrokenResourceError:
                pass

    async def scenario(process: subprocess.Popen[bytes]) -> None:
        async with trio.open_nursery() as nursery:
            for first_bytes in FIRST_BYTES_OF_UNIDENTIFIED.values():
                nursery.start_soon(expect_close, first_bytes)
        unidentified_peers = [
            await controller.connect() for _ in range(150)
        ]  # more than its limit of descriptors
        proxy = await controller.connect()
        await proxy.send(ATTACH)
        await proxy.receive_until(lambda received: "h0" in received_weights(received))
        assert len(os.listdir(f"/proc/{process.pid}/fd")) <= 64
        for peer in unidentified_peers:
            await peer.stream.aclose()
        assert process.poll() is None

    controller.run(scenario)


def test_peer_that_does_not_read_is_closed_and_delays_no_other(tmp_path: Path) -> None:
    controller = ControllerProcess(tmp_path)
    for number in range(40):
        controller.discovery.set_entry(f"h{number}-{'x' * 150}")

    async def scenario(process: subprocess.Popen[bytes]) -> None:
        slow = await controller.connect()
        good = await controller.connect()
        await slow.send(ATTACH)
        await good.send({**ATTACH, "proxy": 1})
        await good.receive_until(lambda received: len(received_weights(received)) == 40)
        with pytest.raises(trio.BrokenResourceError):
            for _ in range(100):
                await slow.send(*[{"t": "hb"}] * 10_000)
        await good.send({"t": "hb"})
        await good.receive_until(lambda received: received[-1] == {"t": "hb_ok"})
        assert process.poll() is None

    controller.run(scenario)


def test_proxy_that_never_acknowledges_while_others_do_is_closed_and_logged(tmp_path: Path) -> None:
    """Guards against unbounded unacknowledged messages, and against a close without a log line."""
    controller = ControllerProcess(tmp_path)
    for endpoint in ("h0", "h1"):
        controller.discovery.set_entry(endpoint)

    async def scenario(process: subprocess.Popen[bytes]) -> None:
        proxy = await controller.connect()
        await proxy.send(ATTACH)
        silent = await controller.connect()
        await silent.send({**ATTACH, "proxy": 1})
        await proxy.receive_until(lambda received: set(received_weights(received)) == {"h0", "h1"})
        for _ in range(MAX_UNACKNOWLEDGED_MESSAGES):
            for health, field in (("leaving", "drop"), ("active", "undrop")):
                proxy.received.clear()
                controller.discovery.set_entry("h1", health)
                await proxy.receive_until(
                    lambda received, field=field: any(field in part for part in received)
                )
        with trio.fail_after(3):
            await silent.receive_until_closed()
        await proxy.send({"t": "hb"})
        await proxy.receive_until(lambda received: {"t": "hb_ok"} in received)

    assert re.search(r"proxy unresponsive proxy=1 unacknowledged_messages=\d+", controller.run(scenario))


def test_address_in_use_ends_the_process_with_code_2(tmp_path: Path) -> None:
    controller = ControllerProcess(tmp_path)
    with socket.socket() as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # the port is reserved
        other.bind(("127.0.0.1", controller.port))
        other.listen()
        completed = subprocess.run(**controller.command(), stderr=subprocess.PIPE, text=True, timeout=20)
    assert completed.returncode == 2
    assert f"cannot listen address=127.0.0.1:{controller.port} error=" in completed.stderr


def test_missing_configuration_ends_the_process_with_code_2(tmp_path: Path) -> None:
    controller = ControllerProcess(tmp_path)
    controller.configuration_path.unlink()
    completed = subprocess.run(**controller.command(), stderr=subprocess.PIPE, text=True, timeout=20)
    assert completed.returncode == 2
    assert len(completed.stderr.splitlines()) == 1
    assert "cannot start error='ROUTER_CONFIG cannot be read: No such file or directory'" in completed.stderr

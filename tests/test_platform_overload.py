"""Peers that send too much, too slowly or nothing sound: memory of the process, answers to other peers."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio
from platform_process import ControllerProcess, Peer
from soak import raise_descriptor_limit
from update_channel import LENGTH, encode

from willowhook.platform.fields import Fields

MEMORY_LIMIT_MB = 128
PEERS = 300
FLOOD_S = 3.0
LATEST_ANSWER_S = 0.5  # by which an answer may be late
LONG_MESSAGES = 3  # of each peer
MESSAGE_BYTES = 1 << 20  # the longest, by the protocol
COLLECTOR = encode({"t": "telemetry", "zone": "north"})
MANY_FIELDS = b"{" + b",".join(b'"%x":0' % number for number in range(95_000)) + b"}"
HEARTBEAT: Fields = {"t": "hb"}

Client = Callable[[trio.SocketStream], Awaitable[None]]


class Overload:
    """A controller process beside clients of one kind, and a peer that measures its answers.

    Attributes:
        answer_times_s: the times of the answers to the measuring peer.
        peak_memory_mb: the peak memory of the process.
    """

    def __init__(self, folder: Path) -> None:
        self.process = ControllerProcess(folder, sockets=2 * PEERS, memory_mb=MEMORY_LIMIT_MB)
        self.answer_times_s: list[float] = []
        self.peak_memory_mb = 0

    def run(self, client: Client, count: int) -> None:
        raise_descriptor_limit()

        async def scenario(process: object) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._measure_answers)
                async with trio.open_nursery() as clients:
                    for _ in range(count):
                        clients.start_soon(self._run_client, client)
                nursery.cancel_scope.cancel()
            status = Path(f"/proc/{process.pid}/status").read_text()  # type: ignore[attr-defined]
            peak = re.search(r"VmHWM:\s+(\d+) kB", status)
            assert peak is not None
            self.peak_memory_mb = int(peak[1]) // 1024

        self.process.run(scenario)

    async def _run_client(self, client: Client) -> None:
        stream = await trio.open_tcp_stream("127.0.0.1", self.process.port)
        try:
            with trio.move_on_after(FLOOD_S):
                await stream.send_all(COLLECTOR)
                await client(stream)
                await trio.sleep_forever()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # the controller has closed the connection
        finally:
            await trio.aclose_forcefully(stream)

    async def _measure_answers(self) -> None:
        peer: Peer = await self.process.connect()
        await peer.send({"t": "telemetry", "zone": "south"})
        while True:
            answers = len(peer.received)
            started_at = trio.current_time()
            await peer.send(HEARTBEAT)
            await peer.receive_until(lambda received, answers=answers: len(received) > answers)
            self.answer_times_s.append(trio.current_time() - started_at)
            await trio.sleep(0.05)


async def stop_within_a_message(stream: trio.SocketStream) -> None:
    await stream.send_all(LENGTH.pack(MESSAGE_BYTES) + b" " * (MESSAGE_BYTES * 9 // 10))


async def send_many_short_fields(stream: trio.SocketStream) -> None:
    for _ in range(LONG_MESSAGES):
        await stream.send_all(LENGTH.pack(len(MANY_FIELDS)) + MANY_FIELDS)


def flood_with(make_message: Callable[[int], Fields]) -> Client:
    async def flood(stream: trio.SocketStream) -> None:
        number = 0
        while True:
            await stream.send_all(b"".join(encode(make_message(number + k)) for k in range(200)))
            number += 200

    return flood


def make_report(number: int) -> Fields:
    counts = {"tries": 5, "failed": 5, "mean_ms": 1.0, "span_ms": 1000.0}
    return {"t": "upstream_stats", "zone": "north", "server": f"s{number}", **counts}


# Guards against memory beyond the limit, and late answers, by hundreds of peers with long messages.
@pytest.mark.parametrize("client", [stop_within_a_message, send_many_short_fields])
def test_many_peers_with_long_messages_keep_the_memory_limit(client: Client, tmp_path: Path) -> None:
    overload = Overload(tmp_path)
    overload.run(client, PEERS)
    assert overload.peak_memory_mb <= MEMORY_LIMIT_MB
    assert max(overload.answer_times_s) <= LATEST_ANSWER_S


# Guards against a single peer that keeps others waiting, or fills the memory under ever new names.
@pytest.mark.parametrize(
    "client",
    [flood_with(make_report), flood_with(lambda number: {"t": "upstream_stats", "server": number})],
    ids=["new names", "unsound"],
)
def test_one_peer_that_floods_does_not_delay_others(client: Client, tmp_path: Path) -> None:
    overload = Overload(tmp_path)
    overload.run(client, 1)
    assert overload.peak_memory_mb <= MEMORY_LIMIT_MB
    assert max(overload.answer_times_s) <= LATEST_ANSWER_S

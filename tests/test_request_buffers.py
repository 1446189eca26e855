"""Many clients that stop within a long request: the HTTP front, and the peers of the file control plane."""

from __future__ import annotations

from functools import partial

import trio

from willowhook.controlplane import links
from willowhook.controlplane.links import PeerClient, serve_peers
from willowhook.front.limits import Gate
from willowhook.front.serve import MAX_BUFFERED_BODIES, Line, Server, Timeouts
from willowhook.web.wire import Call, Reply, open_connection

CLIENTS = 120
BODY_BYTES = 1 << 20
SENT_BYTES = BODY_BYTES * 9 // 10
LATEST_ANSWER_S = 0.5  # by which an answer may be late
HEAD = b"POST %s HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n"


async def stop_within_a_body(port: int, target: bytes) -> None:
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        try:
            await stream.send_all(HEAD % (target, BODY_BYTES) + b" " * SENT_BYTES)
            await stream.receive_some(1)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # the connection was closed


# Guards against memory that grows with the number of clients that stop within a long request.
def test_front_bounds_the_bodies_of_all_incomplete_requests() -> None:
    async def answer(_line: Line, _request: Call) -> Reply:
        return Reply(200, body=b"{}")

    async def main() -> tuple[int, float]:
        timeouts = Timeouts(header=5.0, write=5.0, idle=30.0, wait=10.0)
        server = Server(Gate(4000, 12, 1, 9), timeouts, BODY_BYTES, answer, lambda line: None)
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1"))
            port = listeners[0].socket.getsockname()[1]
            for _ in range(CLIENTS):
                nursery.start_soon(stop_within_a_body, port, b"/")
            await trio.sleep(1.0)
            started_at = trio.current_time()
            connection = await open_connection("127.0.0.1", port)
            assert (await connection.request(b"GET", b"/")).status == 200
            answer_time_s = trio.current_time() - started_at
            nursery.cancel_scope.cancel()
        return server.peak_buffered_bytes, answer_time_s

    peak_bytes, answer_time_s = trio.run(main)
    assert 0 < peak_bytes <= (MAX_BUFFERED_BODIES + 1) * BODY_BYTES
    assert answer_time_s <= LATEST_ANSWER_S


# Guards against the same at the address for peers, where a packet must still be taken.
def test_peers_that_stop_within_a_packet_make_way_for_others() -> None:
    packets: list[bytes] = []
    open_streams = peak_streams = 0
    serve_connection = links.serve_connection

    async def count_connections(*arguments: object) -> None:
        nonlocal open_streams, peak_streams
        open_streams += 1
        peak_streams = max(peak_streams, open_streams)
        try:
            await serve_connection(*arguments)  # type: ignore[arg-type]
        finally:
            open_streams -= 1

    async def accept(body: bytes) -> bool:
        packets.append(body)
        return True

    async def main() -> float:
        async with trio.open_nursery() as nursery:
            port = await nursery.start(serve_peers, "127.0.0.1:0", accept)
            for _ in range(CLIENTS):
                nursery.start_soon(stop_within_a_body, port, links.HANDOFF_PATH)
            await trio.sleep(1.0)
            started_at = trio.current_time()
            assert await PeerClient(f"http://127.0.0.1:{port}", 2.0).send(b"packet")
            answer_time_s = trio.current_time() - started_at
            nursery.cancel_scope.cancel()
        return answer_time_s

    links.serve_connection = count_connections  # type: ignore[assignment]
    try:
        answer_time_s = trio.run(main)
    finally:
        links.serve_connection = serve_connection
    assert packets == [b"packet"]
    assert peak_streams <= links.MAX_CONNECTIONS
    assert answer_time_s <= LATEST_ANSWER_S
